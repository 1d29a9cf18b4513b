//! Which worker a task goes to.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::{
        job::{StepTasks, Task},
        worker::Worker,
    },
    model::{
        id::{HostId, Incarnation},
        job::{Room, Step},
        unit::{Revision, Steady},
    },
};

/// A ticket that ends sooner than this is not used, in milliseconds: an order takes a few.
pub(crate) const TICKET_MARGIN_MS: u64 = 150;

/// How long a lasting task looks for a worker that stays, in milliseconds.
const STARVED_MS: u64 = 1_000;

/// How many workers each reason rules out for a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Refusals {
    silent: u32,
    leaving: u32,
    /// Suspended, without the label, or not yet in the roster.
    suspended: u32,
    spread: u32,
    ticket: u32,
    room: u32,
}

/// What a placement looks at beside the task.
pub(crate) struct Scene<'a> {
    pub(crate) workers: &'a BTreeMap<Incarnation, Worker>,
    /// Hosts that are being emptied.
    pub(crate) emptying: &'a BTreeMap<HostId, Revision>,
    /// Workers whose room is kept for tasks that last.
    pub(crate) reserved: &'a BTreeSet<Incarnation>,
    pub(crate) now: Steady,
}

impl Scene<'_> {
    /// Whether a worker may run a step at all, room and tickets aside.
    pub(crate) fn is_eligible(&self, worker: &Worker, step: &Step) -> bool {
        worker.takes_work(self.now)
            && !self.emptying.contains_key(&worker.report.host)
            && (step.label.is_empty() || worker.report.labels.contains(&step.label))
    }

    /// Whether a task that lasts may begin on a host that is to be emptied: only while others run
    /// there, since a host that was empty once is no longer ours, and only once nothing else was
    /// found for a while. Else tasks that must not be away together would hold each other up.
    fn may_return(&self, worker: &Worker, step: &Step, tasks: &StepTasks) -> bool {
        let starved = tasks.starved.is_some_and(|since| STARVED_MS < self.now.since(since));
        step.lasting
            && starved
            && worker.takes_work(self.now)
            && !worker.copies.is_empty()
            && (step.label.is_empty() || worker.report.labels.contains(&step.label))
    }

    /// The worker for a task, if one has room: near the data first, then those that have not
    /// failed lately, then the one that is left with the least room, so that wide tasks find some.
    pub(crate) fn worker_for(
        &self,
        step: &Step,
        tasks: &StepTasks,
        task: &Task,
        ticketed: bool,
        rack: Option<&str>,
    ) -> Option<&Worker> {
        let fits = |worker: &&Worker| {
            worker.trial.is_none()
                && self.may_take(worker, step, tasks, ticketed)
                && rack.is_none_or(|rack| worker.rack() == rack)
        };
        self.workers.values().filter(fits).min_by_key(|worker| {
            let far = !step.near.is_empty() && worker.rack() != step.near;
            let failed = task.failed_at.contains(&worker.report.id);
            // A task that has failed before needs a worker that is known to do its work.
            let suspect = worker.is_suspect();
            let left = worker.cpu_left();
            // A worker that is lost beside other new runs would not tell which of them did it, and it
            // takes all that runs there with it.
            let new = task.suspect && !worker.is_settled();
            let by_count = step.fills || task.suspect;
            let load = if by_count { worker.copies.len() as u32 } else { left };
            (failed, suspect, new, !worker.is_listed(), far, load)
        })
    }

    /// Whether a worker has room for a task of a step and may run it, a trial there aside.
    pub(crate) fn may_take(
        &self,
        worker: &Worker,
        step: &Step,
        tasks: &StepTasks,
        ticketed: bool,
    ) -> bool {
        (self.is_eligible(worker, step) || self.may_return(worker, step, tasks))
            && (step.lasting || !self.reserved.contains(&worker.report.id))
            && worker.report.room.fits(&worker.used, &step.charge())
            && self.is_spread(worker, step, tasks)
            && (!ticketed || self.has_ticket(worker, tasks))
    }

    /// The worker on which a task that lasts finds room first, if no other work begins there: the
    /// one with the most room left.
    pub(crate) fn to_reserve(&self, step: &Step, tasks: &StepTasks) -> Option<&Worker> {
        let charge = step.charge();
        let could = |worker: &&Worker| {
            self.is_eligible(worker, step)
                && worker.report.room.fits(&Room::default(), &charge)
                && self.is_spread(worker, step, tasks)
        };
        self.workers.values().filter(could).max_by_key(|worker| worker.cpu_left())
    }

    /// Why the tasks of a step find no worker, for the log: how many workers each reason rules out.
    pub(crate) fn refusals(&self, step: &Step, tasks: &StepTasks, ticketed: bool) -> Refusals {
        let mut refusals = Refusals::default();
        for worker in self.workers.values() {
            let reason = if !worker.touched || !worker.is_heard(self.now) {
                &mut refusals.silent
            } else if worker.report.leaves_ms.is_some()
                || self.emptying.contains_key(&worker.report.host)
            {
                &mut refusals.leaving
            } else if !self.is_eligible(worker, step) {
                &mut refusals.suspended
            } else if !self.is_spread(worker, step, tasks) {
                &mut refusals.spread
            } else if ticketed && !self.has_ticket(worker, tasks) {
                &mut refusals.ticket
            } else {
                &mut refusals.room
            };
            *reason += 1;
        }
        refusals
    }

    fn is_spread(&self, worker: &Worker, step: &Step, tasks: &StepTasks) -> bool {
        if step.apart == 0 {
            return true;
        }
        let id = &worker.report.id;
        let there = |task: &&Task| task.copies.iter().any(|copy| copy.worker == *id);
        (tasks.tasks.iter().filter(there).count() as u32) < step.apart
    }

    fn has_ticket(&self, worker: &Worker, tasks: &StepTasks) -> bool {
        let ticket = tasks.tickets.get(&worker.report.id);
        ticket.is_some_and(|(_, over)| self.now.after(TICKET_MARGIN_MS) < *over)
    }
}
