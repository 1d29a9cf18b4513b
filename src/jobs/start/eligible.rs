//! Step 3: at which workers a task may run. Every way to start a task asks [`TaskPlacer`].

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::{
        job::{StepTasks, Task},
        start::free::FreeCapacity,
        table::Table,
        worker::Worker,
    },
    model::{
        id::{HostId, Incarnation, ZoneId},
        job::Step,
        unit::{Revision, Steady},
        zone::Zones,
    },
};

/// Tickets that expire sooner than this are not used, in milliseconds: an order takes a few
/// milliseconds.
pub(crate) const TICKET_MARGIN_MS: u64 = 150;

/// How long a long-running task waits for a worker before it may use a host that is being drained,
/// in milliseconds.
const STARVED_MS: u64 = 1_000;

/// How long the members of a gang may still be sent although their zone was evacuated meanwhile, in
/// milliseconds.
const GANG_SEND_MS: u64 = 1_000;

/// How many workers each reason rules out for a step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Refusals {
    silent: u32,
    leaving: u32,
    /// In an availability zone where nothing may start.
    zone: u32,
    /// Suspended, without the label, or not yet in the roster.
    suspended: u32,
    spread: u32,
    ticket: u32,
    room: u32,
}

/// The state on which a placement is based, besides the task.
pub(crate) struct TaskPlacer<'a> {
    pub(crate) workers: &'a Table<Incarnation, Worker>,
    pub(crate) free: &'a FreeCapacity,
    /// Hosts that are being drained.
    pub(crate) draining: &'a BTreeMap<HostId, Revision>,
    /// Workers whose resources are reserved for long-running tasks.
    pub(crate) reserved: &'a BTreeSet<Incarnation>,
    pub(crate) zones: &'a Zones,
    /// Whether the tasks of long-running steps are spread over availability zones and racks.
    pub(crate) spreads_zones: bool,
    pub(crate) now: Steady,
}

/// Whether anything may start at a worker, by its availability zone. Every way to start a task asks
/// this, whatever else it checks: those that look for a worker through [`TaskPlacer`], announced
/// starts before they are sent, and each order once more when it is sent.
pub(crate) fn allows_zone(zones: &Zones, worker: &Worker) -> bool {
    zones.may_start(&worker.report.zone)
}

/// Whether a start that was decided earlier may be sent now to a worker in a zone. The members of a
/// gang are decided together: those that were not sent yet follow the others, unless they have
/// waited for long.
pub(crate) fn may_still_start(
    zones: &Zones,
    zone: &ZoneId,
    is_gang: bool,
    decided: Steady,
    now: Steady,
) -> bool {
    zones.may_start(zone) || is_gang && now.since(decided) <= GANG_SEND_MS
}

impl TaskPlacer<'_> {
    /// Whether a worker may run a step, regardless of resources and tickets.
    pub(crate) fn is_eligible(&self, worker: &Worker, step: &Step) -> bool {
        worker.takes_work(self.now)
            && allows_zone(self.zones, worker)
            && !self.draining.contains_key(&worker.report.host)
            && (step.label.is_empty() || worker.report.labels.contains(&step.label))
    }

    /// Whether a long-running task may start on a host that is being drained: only while other
    /// tasks run there, since the fleet owner may act on a host once it has been empty, and only
    /// after no other worker was found for a while. Otherwise, tasks that must not be down together
    /// could block each other.
    fn may_start_on_draining_host(&self, worker: &Worker, step: &Step, tasks: &StepTasks) -> bool {
        let starved = tasks.unplaced_since.is_some_and(|since| STARVED_MS < self.now.since(since));
        step.long_running
            && starved
            && worker.takes_work(self.now)
            && allows_zone(self.zones, worker)
            && !worker.runs.is_empty()
            && (step.label.is_empty() || worker.report.labels.contains(&step.label))
    }

    /// Whether a worker may run a task of a step and has the resources for it, regardless of an
    /// isolated retry there.
    pub(crate) fn can_run(
        &self,
        worker: &Worker,
        step: &Step,
        tasks: &StepTasks,
        needs_ticket: bool,
    ) -> bool {
        (self.is_eligible(worker, step) || self.may_start_on_draining_host(worker, step, tasks))
            && (step.long_running || !self.reserved.contains(&worker.report.id))
            && worker.report.capacity.fits(&worker.used, &step.charge())
            && self.satisfies_spread(worker, step, tasks)
            && (!needs_ticket || self.has_ticket(worker, tasks))
    }

    /// Why the tasks of a step find no worker, for the log.
    pub(crate) fn refusals(&self, step: &Step, tasks: &StepTasks, needs_ticket: bool) -> Refusals {
        let mut refusals = Refusals::default();
        for worker in self.workers.values() {
            let reason = if !worker.has_reported || !worker.is_responsive(self.now) {
                &mut refusals.silent
            } else if worker.report.leaves_ms.is_some()
                || self.draining.contains_key(&worker.report.host)
            {
                &mut refusals.leaving
            } else if !allows_zone(self.zones, worker) {
                &mut refusals.zone
            } else if !self.is_eligible(worker, step) {
                &mut refusals.suspended
            } else if !self.satisfies_spread(worker, step, tasks) {
                &mut refusals.spread
            } else if needs_ticket && !self.has_ticket(worker, tasks) {
                &mut refusals.ticket
            } else {
                &mut refusals.room
            };
            *reason += 1;
        }
        refusals
    }

    pub(super) fn satisfies_spread(&self, worker: &Worker, step: &Step, tasks: &StepTasks) -> bool {
        if step.max_per_worker == 0 {
            return true;
        }
        let id = &worker.report.id;
        let runs_there = |task: &&Task| task.runs.iter().any(|task_run| task_run.worker == *id);
        (tasks.tasks.iter().filter(runs_there).count() as u32) < step.max_per_worker
    }

    fn has_ticket(&self, worker: &Worker, tasks: &StepTasks) -> bool {
        let ticket = tasks.tickets.get(&worker.report.id);
        ticket.is_some_and(|(_, expires)| self.now.after(TICKET_MARGIN_MS) < *expires)
    }
}
