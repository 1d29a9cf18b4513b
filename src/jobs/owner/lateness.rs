//! Starts and waiting tasks by whether their jobs can still end in time, and polls that are overdue
//! here. Counted for the log; no decision rests on it.

use super::Owner;
use crate::{
    jobs::{
        event::Effect,
        urgency::{self, ByLateness, Urgency},
    },
    model::{job::JobId, unit::Now},
};

/// What waits at an owner that may be late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Lateness {
    /// Waiting tasks whose earlier steps are done.
    pub(crate) due: ByLateness,
    /// Workers that get no work because the answer to their poll is overdue, although they have
    /// answered the one before.
    pub(crate) overdue_polls: usize,
}

impl Owner {
    /// Counts the starts among these effects.
    pub(super) fn count_starts(&mut self, effects: &[Effect], now: Now) {
        // Starts of a job follow each other.
        let mut last: Option<(JobId, Urgency)> = None;
        for effect in effects {
            let Effect::Start { start, .. } = effect else {
                continue;
            };
            let id = start.task.of.job;
            let urgency = match last {
                Some((job, urgency)) if job == id => urgency,
                _ => match self.jobs.get(&id) {
                    Some(job) => urgency::of(job, &self.durations, false, now),
                    None => continue,
                },
            };
            last = Some((id, urgency));
            self.starts.add(urgency, 1);
        }
    }

    /// Returns the starts since the last call.
    pub(crate) fn take_starts(&mut self) -> ByLateness {
        std::mem::take(&mut self.starts)
    }

    /// What waits now.
    pub(crate) fn lateness(&self, now: Now) -> Lateness {
        let mut lateness = Lateness::default();
        for job in self.jobs.values().filter(|job| job.is_open() && job.left != 0) {
            let due = job
                .steps
                .iter()
                .filter(|((time, number), step)| step.left != 0 && job.is_due(*time, *number, now))
                .flat_map(|(_, step)| &step.tasks);
            let waiting = due.filter(|task| task.is_waiting()).count() as u64;
            if waiting != 0 {
                let urgency = urgency::of(job, &self.durations, false, now);
                lateness.due.add(urgency, waiting);
            }
        }
        let overdue = self.workers.values().filter(|worker| {
            worker.has_reported && worker.missed_polls == 0 && !worker.is_responsive(now.steady)
        });
        lateness.overdue_polls = overdue.count();
        lateness
    }
}
