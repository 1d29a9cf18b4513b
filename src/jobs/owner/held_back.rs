//! Tasks that an owner holds back, and why. This is logged, since a pool with free capacity and
//! waiting tasks does not show whether its workers have not been polled, have no record in the
//! roster, or may get work but get no task.

use super::{Owner, roster::Unconfirmed};
use crate::{
    jobs::start::eligible,
    model::{
        job::{StepId, TaskId},
        unit::Now,
    },
};

/// Why tasks of a pool are not started on its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct HeldBack {
    /// Tasks of earlier jobs that wait, since a worker that has not been polled may run them.
    pub(crate) tasks: usize,
    /// Workers to which earlier owners could give work and that have not reported all their runs.
    pub(crate) unpolled: usize,
    /// Workers that may get work now.
    pub(crate) available: usize,
}

impl Owner {
    /// What is held back now.
    pub(crate) fn held_back(&self, now: Now) -> HeldBack {
        let is_rostered = |id| self.roster.holding(id).is_some();
        let workers = self.workers.values();
        let unpolled =
            workers.clone().filter(|worker| !worker.reported_all && is_rostered(&worker.report.id));
        let available = workers.clone().filter(|worker| {
            let is_draining = self.draining.contains_key(&worker.report.host);
            worker.takes_work(now.steady)
                && !is_draining
                && eligible::allows_zone(&self.zones, worker)
        });
        let unconfirmed = self.unconfirmed(now.steady);
        let tasks = match unconfirmed.is_empty() {
            true => 0,
            false => self.count_unconfirmed(&unconfirmed),
        };
        HeldBack { tasks, unpolled: unpolled.count(), available: available.count() }
    }

    /// The number of waiting tasks whose runs are unconfirmed.
    fn count_unconfirmed(&self, unconfirmed: &Unconfirmed) -> usize {
        let steps = self.jobs.values().filter(|job| job.is_open()).flat_map(|job| {
            job.steps.iter().map(|((occurrence, step), tasks)| {
                let of = StepId { job: job.id, occurrence: *occurrence, step: *step };
                let numbered = (0u32..).zip(&tasks.tasks);
                let waiting =
                    numbered.filter(|(_, task)| task.is_waiting() && !task.location_known);
                waiting
                    .filter(|(index, _)| {
                        unconfirmed.delays(&TaskId { of, index: *index }, job.step(of.step))
                    })
                    .count()
            })
        });
        steps.sum()
    }
}
