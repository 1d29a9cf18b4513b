//! What an owner holds back, and for whom. It is logged, since a pool with free capacity and
//! waiting tasks looks the same whether its workers lack an answer, a record or a task.

use super::{Owner, roster::Doubt};
use crate::model::{
    job::{StepId, TaskId},
    unit::Now,
};

/// What keeps a pool's tasks from its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Held {
    /// Tasks of earlier jobs that wait, since a worker that has not been polled may run them.
    pub(crate) tasks: usize,
    /// Workers to which earlier owners could give work and that have not reported all their runs.
    pub(crate) unasked: usize,
    /// Workers that may get work now.
    pub(crate) takers: usize,
}

impl Owner {
    /// What is held back now.
    pub(crate) fn held(&self, now: Now) -> Held {
        let unasked = |id| self.roster.holding(id).is_some();
        let workers = self.workers.values();
        let unasked =
            workers.clone().filter(|worker| !worker.told_all && unasked(&worker.report.id));
        let takers = workers.clone().filter(|worker| {
            let emptied = self.emptying.contains_key(&worker.report.host);
            worker.takes_work(now.steady) && !emptied
        });
        let doubt = self.doubt(now.steady);
        let tasks = match &doubt {
            Doubt::Only(tasks) if tasks.is_empty() => 0,
            _ => self.held_by(&doubt),
        };
        Held { tasks, unasked: unasked.count(), takers: takers.count() }
    }

    /// The number of waiting tasks whose runs are unconfirmed.
    fn held_by(&self, doubt: &Doubt) -> usize {
        let steps = self.jobs.values().filter(|job| job.is_open()).flat_map(|job| {
            job.steps.iter().map(|((time, step), tasks)| {
                let of = StepId { job: job.id, time: *time, step: *step };
                let numbered = (0u32..).zip(&tasks.tasks);
                let waiting = numbered.filter(|(_, task)| task.is_waiting() && !task.accounted);
                waiting.filter(|(index, _)| doubt.covers(&TaskId { of, index: *index })).count()
            })
        });
        steps.sum()
    }
}
