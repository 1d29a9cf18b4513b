//! Simulation of a plan: runs the decisions of a wave on a copy of one pool with expected
//! durations. The cost of a plan comes from it, and policy experiments add random failures to it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    time::Duration,
};

use crate::{
    decide::{
        budget::{self, BudgetStatus},
        repair,
        rules::Rules,
        wave::{self, Step, WaveContext},
    },
    model::{
        fleet::{Fleet, TaskRef},
        host::{HostState, TaskReport},
        id::{HostId, OpId, PoolId, RackId, ServiceId},
        plan::Plan,
        record::Record,
        unit::{Epoch, Revision, Time},
    },
};

/// Receipt time of the host list that keeps it fresh throughout a simulation.
const ALWAYS_FRESH: Time = Time::from_millis(u64::MAX / 2);

/// A simulated event.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A leaving host has no requests in flight.
    Quiet(HostId, Epoch),
    /// The endpoint of this start of a task answers.
    Ready(TaskRef, u64),
    /// A host has finished its reboot.
    Rebooted(HostId, Epoch),
    /// A host fails.
    Fail(HostId),
    /// A failed host recovers, without tasks.
    Recover(HostId),
    /// Decide again if the host is still at this epoch, since a time limit may have passed.
    Recheck(HostId, Epoch),
    /// Decide again if this start of a task is still not ready.
    StartOverdue(TaskRef, u64),
}

/// Peak values of one service during a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ServicePeaks {
    /// Maximum number of unavailable tasks.
    pub(crate) peak_down: u32,
    /// Maximum number of tasks unavailable other than on failed hosts.
    pub(crate) peak_out: u32,
    /// Maximum number of tasks on failed hosts.
    pub(crate) peak_failed: u32,
    /// Maximum number of available tasks in one failure domain.
    pub(crate) peak_reserve: u32,
    /// Maximum sum of unavailable tasks and reserve.
    pub(crate) peak_shared: u32,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) seconds: u64,
    /// Tasks that the plan moved.
    pub(crate) moves: u32,
    /// Tasks that repair moved.
    pub(crate) repairs: u32,
    /// Maximum number of hosts that the plan had out at one time.
    pub(crate) peak_out: u32,
    /// Peak spare capacity needed, in millicores, if failures and maintenance share it: the greater
    /// of the load of the hosts that are out and the load of the most loaded rack.
    pub(crate) shared_buffer: u64,
    /// The same if each has its own spare capacity: the sum of the two.
    pub(crate) separate_buffer: u64,
    pub(crate) services: BTreeMap<ServiceId, ServicePeaks>,
    /// How often, after a host had left, the loss of a service's largest failure domain would have
    /// exceeded the service's budget.
    pub(crate) voluntary_breaches: u32,
    /// Observations of a service that exceeded its budget, for any reason.
    pub(crate) breaches: u32,
    /// Whether the plan finished.
    pub(crate) finished: bool,
    /// Wall-clock duration of each round of decisions.
    pub(crate) decisions: Vec<Duration>,
}

/// State of a simulation.
pub(crate) struct Simulation<'a> {
    pub(crate) fleet: Fleet,
    plan: &'a Plan,
    pool: &'a PoolId,
    rules: &'a Rules,
    now: Time,
    start_time: Time,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    quiet: HashSet<(HostId, Epoch)>,
    /// Load in millicores of each host that is out, as of when it closed.
    displaced: BTreeMap<HostId, u64>,
    failed: HashSet<HostId>,
    report: Report,
    revision: u64,
    op: OpId,
}

impl<'a> Simulation<'a> {
    /// Creates a simulation from a copy of one pool at the given time.
    pub(crate) fn new(
        fleet: &Fleet,
        plan: &'a Plan,
        pool: &'a PoolId,
        rules: &'a Rules,
        now: Time,
    ) -> Simulation<'a> {
        let mut fleet = fleet.restricted_to(pool);
        fleet.put(Record::Plan(plan.id.clone(), Box::new(plan.clone())), Revision(1));
        fleet.last_received = ALWAYS_FRESH;
        let op = "rehearsal".parse().expect("`rehearsal` is a valid identifier");
        Simulation {
            fleet,
            plan,
            pool,
            rules,
            now,
            start_time: now,
            events: BinaryHeap::new(),
            quiet: HashSet::new(),
            displaced: BTreeMap::new(),
            failed: HashSet::new(),
            report: Report::default(),
            revision: 1,
            op,
        }
    }

    /// Schedules an event relative to the start of the simulation.
    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.start_time + delay, event)));
    }

    /// Runs until the plan has finished or `limit` has passed.
    pub(crate) fn run(mut self, limit: Duration) -> Report {
        self.decide();
        while !self.report.finished {
            let Some(Reverse((at, event))) = self.events.pop() else {
                break;
            };
            if limit < at.since(self.start_time) {
                break;
            }
            if !self.is_relevant(&event) {
                continue;
            }
            self.now = at;
            self.apply_event(event);
            while let Some(Reverse((next, _))) = self.events.peek() {
                if self.now < *next {
                    break;
                }
                let Some(Reverse((_, event))) = self.events.pop() else {
                    break;
                };
                self.apply_event(event);
            }
            self.record_peaks(None);
            self.decide();
        }
        self.report.seconds = self.now.since(self.start_time).as_secs();
        self.report
    }

    fn decide(&mut self) {
        let timer = std::time::Instant::now();
        loop {
            let repaired = self.repair();
            let quiet = &self.quiet;
            let is_quiet = |host: &HostId, epoch| quiet.contains(&(host.clone(), epoch));
            let context = WaveContext {
                fleet: &self.fleet,
                is_quiet: &is_quiet,
                now: self.now,
                rules: self.rules,
            };
            let (steps, _) = wave::advance(&context, self.plan, self.pool);
            if steps.is_empty() && !repaired {
                break;
            }
            for step in steps {
                self.apply_step(&step);
            }
        }
        self.report.decisions.push(timer.elapsed());
        self.report.finished = wave::is_finished(&self.fleet, self.plan);
    }

    fn put(&mut self, record: Record) {
        self.revision += 1;
        self.fleet.put(record, Revision(self.revision));
    }

    fn apply_step(&mut self, step: &Step) {
        let record = wave::effect(&self.fleet, &self.plan.id, step, &self.op, self.now);
        let Some(record) = record else { return };
        self.put(record);
        let expected = self.rules.expected;
        match step {
            Step::Leave { host } => {
                let epoch = self.fleet.hosts[host].epoch;
                self.schedule_after(expected.quiet, Event::Quiet(host.clone(), epoch));
                self.schedule_recheck(host, self.rules.leave_limit);
                self.record_peaks(Some(host));
            }
            Step::Move { service, moves, .. } => {
                self.report.moves += moves.len() as u32;
                self.schedule_starts(service, moves.keys());
            }
            Step::Prepare { service, moves, .. } => self.schedule_starts(service, moves.keys()),
            Step::Close { host } => {
                let load = u64::from(self.fleet.used(host).cores.0);
                self.displaced.insert(host.clone(), load);
                self.record_peaks(None);
                self.schedule_recheck(host, self.rules.start_limit + self.rules.leave_limit);
            }
            Step::Reboot { host } => {
                let epoch = self.fleet.hosts[host].epoch;
                if !self.failed.contains(host) {
                    self.schedule_after(expected.reboot, Event::Rebooted(host.clone(), epoch));
                }
                self.schedule_recheck(host, expected.reboot * 2 + Duration::from_secs(1));
                self.schedule_recheck(host, self.rules.away_limit);
            }
            Step::Return { host, .. } | Step::Quarantine { host, .. } | Step::Join { host, .. } => {
                self.displaced.remove(host);
            }
            Step::Release { .. } | Step::Permit { .. } => {}
        }
    }

    /// Schedules a new decision after a limit has passed, if the host is then still at this epoch.
    fn schedule_recheck(&mut self, host: &HostId, limit: Duration) {
        let epoch = self.fleet.hosts[host].epoch;
        self.schedule_after(limit + Duration::from_secs(1), Event::Recheck(host.clone(), epoch));
    }

    /// Whether an event can affect decisions.
    fn is_relevant(&self, event: &Event) -> bool {
        match event {
            Event::Recheck(host, epoch) => {
                self.fleet.hosts.get(host).is_some_and(|record| record.epoch == *epoch)
            }
            Event::StartOverdue(task, generation) => {
                let host = self.host_of(task, *generation);
                let report = host.and_then(|host| self.fleet.reports.get(&host));
                report.is_some_and(|report| {
                    !report.tasks.iter().any(|t| {
                        t.index == task.index
                            && t.generation == *generation
                            && t.service == task.service
                    })
                })
            }
            _ => true,
        }
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    /// Schedules when started tasks become ready and when their start limit has passed.
    fn schedule_starts<'i>(&mut self, service: &ServiceId, indexes: impl Iterator<Item = &'i u32>) {
        for index in indexes {
            let task = TaskRef { service: service.clone(), index: *index };
            let successor = self.fleet.successor(&task).map(|successor| &successor.to);
            let Some(newest) = successor.or(self.fleet.assigned(&task)).cloned() else { continue };
            self.schedule_after(
                self.rules.expected.start,
                Event::Ready(task.clone(), newest.generation),
            );
            let overdue = Event::StartOverdue(task, newest.generation);
            self.schedule_after(self.rules.start_limit + Duration::from_secs(1), overdue);
        }
    }

    /// Repairs every service. Returns whether anything was changed.
    fn repair(&mut self) -> bool {
        let services: Vec<ServiceId> = self.fleet.config.services.keys().cloned().collect();
        let mut changed = false;
        for id in services {
            let repair = repair::repair(&self.fleet, &id, self.now, self.rules);
            if repair.is_empty() {
                continue;
            }
            changed = true;
            self.report.repairs += repair.moves.len() as u32;
            let planned = |index: &&u32| {
                let task = TaskRef { service: id.clone(), index: **index };
                self.fleet.successor(&task).is_some_and(|successor| successor.plan.is_some())
            };
            let planned = repair.swaps.iter().filter(planned).count() as u32;
            self.report.moves += planned;
            self.report.repairs += repair.swaps.len() as u32 - planned;
            let record = wave::change_placement(&self.fleet, &id, &self.op, |placement| {
                wave::apply_repair(placement, &repair, self.now);
            });
            record.into_iter().for_each(|record| self.put(record));
            self.schedule_starts(&id, repair.moves.keys().chain(repair.successors.keys()));
        }
        changed
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Quiet(host, epoch) => {
                if let Some(report) = self.fleet.reports.get_mut(&host) {
                    report.epoch = epoch;
                }
                self.quiet.insert((host, epoch));
            }
            Event::Ready(task, generation) => self.mark_ready(task, generation),
            Event::Rebooted(host, epoch) => {
                if self.failed.contains(&host) {
                    return;
                }
                if let Some(report) = self.fleet.reports.get_mut(&host) {
                    report.booted = epoch;
                    report.tasks.clear();
                }
            }
            Event::Fail(host) => {
                if let Some(report) = self.fleet.reports.get_mut(&host) {
                    report.live = false;
                    report.tasks.clear();
                    self.failed.insert(host);
                }
            }
            Event::Recover(host) => {
                self.failed.remove(&host);
                let epoch = self.fleet.hosts.get(&host).map(|record| record.epoch);
                if let Some(report) = self.fleet.reports.get_mut(&host) {
                    report.live = true;
                    // A host that failed during its reboot has been restarted by its recovery.
                    report.booted = epoch.unwrap_or_default();
                }
            }
            Event::Recheck(..) | Event::StartOverdue(..) => {}
        }
    }

    /// The host of one start of a task, according to its placement.
    fn host_of(&self, task: &TaskRef, generation: u64) -> Option<HostId> {
        let successor = self.fleet.successor(task).map(|successor| &successor.to);
        let mut starts = [successor, self.fleet.assigned(task)].into_iter().flatten();
        let started = starts.find(|start| start.generation == generation);
        started.map(|start| start.host.clone())
    }

    fn mark_ready(&mut self, task: TaskRef, generation: u64) {
        let Some(host) = self.host_of(&task, generation) else { return };
        if self.failed.contains(&host) {
            return;
        }
        let Some(report) = self.fleet.reports.get_mut(&host) else {
            return;
        };
        report.tasks.push(TaskReport {
            service: task.service,
            index: task.index,
            generation,
            ready: true,
            address: String::new(),
            in_flight: 0,
        });
    }

    /// Records the peak values of every service. With `left_host`, which has just left, also counts
    /// the services on it that can no longer lose their largest failure domain within their budget.
    fn record_peaks(&mut self, left_host: Option<&HostId>) {
        let leaving = left_host.map(|host| budget::services_on(&self.fleet, host));
        let out: u64 = self.displaced.values().sum();
        let rack_load = max_rack_load(&self.fleet);
        self.report.peak_out = self.report.peak_out.max(self.displaced.len() as u32);
        self.report.shared_buffer = self.report.shared_buffer.max(out.max(rack_load));
        self.report.separate_buffer = self.report.separate_buffer.max(out + rack_load);
        for (id, service) in &self.fleet.config.services {
            let status = budget::status(&self.fleet, id, service, self.now, self.rules);
            let peaks = self.report.services.entry(id.clone()).or_default();
            let failed = failed_tasks(&self.fleet, &self.failed, id);
            let down = status.down.len() as u32;
            peaks.update(&status, down, failed);
            self.report.breaches += u32::from(!status.is_within_budget());
            let affected = leaving.as_ref().is_some_and(|services| services.contains(id));
            let exceeded = status.max_down < down + status.reserve();
            self.report.voluntary_breaches += u32::from(affected && exceeded);
        }
    }
}

impl ServicePeaks {
    fn update(&mut self, status: &BudgetStatus, down: u32, failed: u32) {
        let reserve = status.reserve();
        self.peak_down = self.peak_down.max(down);
        self.peak_failed = self.peak_failed.max(failed);
        self.peak_out = self.peak_out.max(down.saturating_sub(failed));
        self.peak_reserve = self.peak_reserve.max(reserve);
        self.peak_shared = self.peak_shared.max(down + reserve);
    }
}

/// The load of the most loaded rack, in millicores.
fn max_rack_load(fleet: &Fleet) -> u64 {
    let mut racks: BTreeMap<&RackId, u64> = BTreeMap::new();
    for (host, report) in &fleet.reports {
        if fleet.hosts.get(host).is_some_and(|record| record.state == HostState::Serving) {
            *racks.entry(&report.rack).or_default() += u64::from(fleet.used(host).cores.0);
        }
    }
    racks.into_values().max().unwrap_or(0)
}

/// Number of tasks of a service that are assigned to failed hosts.
fn failed_tasks(fleet: &Fleet, failed: &HashSet<HostId>, id: &ServiceId) -> u32 {
    let Some(placement) = fleet.placements.get(id) else {
        return 0;
    };
    let tasks = placement.tasks.iter().flatten();
    tasks.filter(|assigned| failed.contains(&assigned.host)).count() as u32
}
