//! Which jobs' progress is written next: jobs that ended come first, since callers wait to be told,
//! the others in the order in which they changed, so that none waits for ever behind busy ones.

use std::collections::{HashSet, VecDeque};

use crate::model::job::JobId;

/// Jobs whose progress waits to be written, and those whose write is on its way.
#[derive(Debug, Default)]
pub(crate) struct SaveQueue {
    ended: VecDeque<JobId>,
    open: VecDeque<JobId>,
    queued: HashSet<JobId>,
    writing: HashSet<JobId>,
}

impl SaveQueue {
    /// How many jobs wait.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Takes note that a job has changed. While its write is on its way nothing is queued: whoever
    /// settles it sees that it has changed since.
    pub(crate) fn add(&mut self, id: JobId, ended: bool) {
        if self.writing.contains(&id) {
            return;
        }
        let news = self.queued.insert(id);
        // One that waits already and ends moves to the front; its other place is passed over.
        match ended {
            true => self.ended.push_back(id),
            false if news => self.open.push_back(id),
            false => {}
        }
    }

    /// The next jobs to be written, at most so many. Their writes are on their way until
    /// [`SaveQueue::settle`] is told of them.
    pub(crate) fn take(&mut self, most: usize) -> Vec<JobId> {
        let mut taken = Vec::new();
        while taken.len() < most {
            let Some(id) = self.ended.pop_front().or_else(|| self.open.pop_front()) else {
                break;
            };
            if self.queued.remove(&id) {
                self.writing.insert(id);
                taken.push(id);
            }
        }
        taken
    }

    /// Takes note that a job's write has ended.
    pub(crate) fn settle(&mut self, id: JobId) {
        self.writing.remove(&id);
    }
}
