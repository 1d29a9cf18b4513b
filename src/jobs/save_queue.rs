//! The queue of jobs whose progress is to be written. Jobs that ended come first, since callers
//! wait for the result; the others follow in the order of their changes, so that jobs that
//! change often do not delay them.

use std::collections::{HashSet, VecDeque};

use crate::model::job::JobId;

/// Jobs whose progress waits to be written, and jobs with a write in progress.
#[derive(Debug, Default)]
pub(crate) struct SaveQueue {
    ended: VecDeque<JobId>,
    open: VecDeque<JobId>,
    queued: HashSet<JobId>,
    writing: HashSet<JobId>,
}

impl SaveQueue {
    /// The number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Queues a job that has changed. A job with a write in progress is not queued: once the write
    /// has ended, its caller queues a job that has changed since.
    pub(crate) fn add(&mut self, id: JobId, ended: bool) {
        if self.writing.contains(&id) {
            return;
        }
        let is_new = self.queued.insert(id);
        // A waiting job that ends moves to the queue of ended jobs; its old entry is skipped.
        match ended {
            true => self.ended.push_back(id),
            false if is_new => self.open.push_back(id),
            false => {}
        }
    }

    /// The next jobs to be written, at most `limit`. Their writes count as in progress until
    /// `SaveQueue::finish` is called for them.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<JobId> {
        let mut taken = Vec::new();
        while taken.len() < limit {
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

    /// Records that the write of a job's progress has ended, whether or not it succeeded.
    pub(crate) fn finish(&mut self, id: JobId) {
        self.writing.remove(&id);
    }
}
