//! A rehearsal: the wave's own decisions, run over a copy of one pool with expected times. Plans
//! get their cost from it, and the experiments over policies add drawn failures to it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    time::Duration,
};

use crate::{
    decide::{
        budget::{self, Standing},
        repair,
        rules::Rules,
        wave::{self, Outlook, Step},
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

/// A list heard then counts as fresh at any moment of a rehearsal.
const ALWAYS_FRESH: Time = Time::from_millis(u64::MAX / 2);

/// Something that comes about by itself, in the time that it takes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A host that is leaving has nothing in flight.
    Quiet(HostId, Epoch),
    /// A task's endpoint answers.
    Ready(TaskRef, u64),
    /// A host has rebooted.
    Back(HostId, Epoch),
    /// A host fails.
    Fail(HostId),
    /// A failed host is there again, empty.
    Recover(HostId),
    /// Look again, if the host is still at this epoch: a limit may have passed.
    Look(HostId, Epoch),
    /// Look again, if this start of a task is still not ready.
    Late(TaskRef, u64),
}

/// How a service fared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Fared {
    /// Most tasks unavailable at one time.
    pub(crate) peak_down: u32,
    /// Most tasks out by permits or moves of the plan at one time.
    pub(crate) peak_out: u32,
    /// Most tasks unavailable through failures alone at one time.
    pub(crate) peak_failed: u32,
    /// Most available tasks in one failure domain.
    pub(crate) peak_reserve: u32,
    /// Most of down and reserve together at one time.
    pub(crate) peak_shared: u32,
}

/// What a rehearsal came to.
#[derive(Debug, Clone, Default)]
pub(crate) struct Report {
    pub(crate) seconds: u64,
    /// Tasks that the plan moved.
    pub(crate) moves: u32,
    /// Tasks that repair moved.
    pub(crate) repairs: u32,
    /// Most hosts that the plan had out at one time.
    pub(crate) peak_out: u32,
    /// Spare capacity that was needed at the most, in millicores, when spare for failures and for
    /// maintenance is one and the same: the greater of the load of hosts that are out and the load
    /// of the worst rack.
    pub(crate) shared_buffer: u64,
    /// The same when each has a spare of its own: the sum of the two.
    pub(crate) separate_buffer: u64,
    pub(crate) services: BTreeMap<ServiceId, Fared>,
    /// Leaves after which a service could not have survived its worst failure domain.
    pub(crate) voluntary_breaches: u32,
    /// Moments at which a service was below its budget, for whatever reason.
    pub(crate) breaches: u32,
    /// Whether the plan came to its end.
    pub(crate) finished: bool,
    /// Time of each decision after one event.
    pub(crate) decisions: Vec<Duration>,
}

/// The state of a rehearsal.
pub(crate) struct Rehearsal<'a> {
    pub(crate) fleet: Fleet,
    plan: &'a Plan,
    pool: &'a PoolId,
    rules: &'a Rules,
    now: Time,
    began: Time,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    quiet: HashSet<(HostId, Epoch)>,
    /// What hosts that are out carried when they closed, in millicores.
    displaced: BTreeMap<HostId, u64>,
    failed: HashSet<HostId>,
    report: Report,
    revision: u64,
    op: OpId,
}

impl<'a> Rehearsal<'a> {
    /// Takes a copy of one pool at the present time.
    pub(crate) fn new(
        fleet: &Fleet,
        plan: &'a Plan,
        pool: &'a PoolId,
        rules: &'a Rules,
        now: Time,
    ) -> Rehearsal<'a> {
        let mut fleet = fleet.only(pool);
        fleet.put(Record::Plan(plan.id.clone(), Box::new(plan.clone())), Revision(1));
        fleet.heard = ALWAYS_FRESH;
        let op = "rehearsal".parse().expect("the text is an identifier");
        Rehearsal {
            fleet,
            plan,
            pool,
            rules,
            now,
            began: now,
            events: BinaryHeap::new(),
            quiet: HashSet::new(),
            displaced: BTreeMap::new(),
            failed: HashSet::new(),
            report: Report::default(),
            revision: 1,
            op,
        }
    }

    /// Has an event come about so long after the start.
    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.began + after, event)));
    }

    /// Runs until the plan has ended, or `limit` has passed.
    pub(crate) fn run(mut self, limit: Duration) -> Report {
        self.decide();
        while !self.report.finished {
            let Some(Reverse((at, event))) = self.events.pop() else {
                break;
            };
            if limit < at.since(self.began) {
                break;
            }
            if !self.matters(&event) {
                continue;
            }
            self.now = at;
            self.happen(event);
            while let Some(Reverse((next, _))) = self.events.peek() {
                if self.now < *next {
                    break;
                }
                let Some(Reverse((_, event))) = self.events.pop() else {
                    break;
                };
                self.happen(event);
            }
            self.observe(None);
            self.decide();
        }
        self.report.seconds = self.now.since(self.began).as_secs();
        self.report
    }

    fn decide(&mut self) {
        let began = std::time::Instant::now();
        loop {
            let repaired = self.repair();
            let quiet = &self.quiet;
            let is_quiet = |host: &HostId, epoch| quiet.contains(&(host.clone(), epoch));
            let outlook = Outlook {
                fleet: &self.fleet,
                is_quiet: &is_quiet,
                now: self.now,
                rules: self.rules,
            };
            let (steps, _) = wave::advance(&outlook, self.plan, self.pool);
            if steps.is_empty() && !repaired {
                break;
            }
            for step in steps {
                self.take(&step);
            }
        }
        self.report.decisions.push(began.elapsed());
        self.report.finished = wave::is_finished(&self.fleet, self.plan);
    }

    fn put(&mut self, record: Record) {
        self.revision += 1;
        self.fleet.put(record, Revision(self.revision));
    }

    fn take(&mut self, step: &Step) {
        let record = wave::effect(&self.fleet, &self.plan.id, step, &self.op, self.now);
        let Some(record) = record else { return };
        self.put(record);
        let expected = self.rules.expected;
        match step {
            Step::Leave { host } => {
                let epoch = self.fleet.hosts[host].epoch;
                self.after(expected.quiet, Event::Quiet(host.clone(), epoch));
                self.look(host, self.rules.leave_limit);
                self.observe(Some(host));
            }
            Step::Move { service, moves, .. } => {
                self.report.moves += moves.len() as u32;
                self.started(service, moves.keys());
            }
            Step::Prepare { service, moves, .. } => self.started(service, moves.keys()),
            Step::Close { host } => {
                let load = u64::from(self.fleet.used(host).cores.0);
                self.displaced.insert(host.clone(), load);
                self.observe(None);
                self.look(host, self.rules.start_limit + self.rules.leave_limit);
            }
            Step::Away { host } => {
                let epoch = self.fleet.hosts[host].epoch;
                if !self.failed.contains(host) {
                    self.after(expected.reboot, Event::Back(host.clone(), epoch));
                }
                self.look(host, expected.reboot * 2 + Duration::from_secs(1));
                self.look(host, self.rules.away_limit);
            }
            Step::Return { host, .. } | Step::Quarantine { host, .. } | Step::Join { host, .. } => {
                self.displaced.remove(host);
            }
            Step::GiveBack { .. } | Step::Permit { .. } => {}
        }
    }

    /// Has the host be looked at when a limit has passed, if it is as it is now.
    fn look(&mut self, host: &HostId, limit: Duration) {
        let epoch = self.fleet.hosts[host].epoch;
        self.after(limit + Duration::from_secs(1), Event::Look(host.clone(), epoch));
    }

    /// Whether an event can change what is decided.
    fn matters(&self, event: &Event) -> bool {
        match event {
            Event::Look(host, epoch) => {
                self.fleet.hosts.get(host).is_some_and(|record| record.epoch == *epoch)
            }
            Event::Late(task, generation) => {
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

    fn after(&mut self, span: Duration, event: Event) {
        self.events.push(Reverse((self.now + span, event)));
    }

    /// Has tasks that were started become ready when their time has come.
    fn started<'i>(&mut self, service: &ServiceId, indexes: impl Iterator<Item = &'i u32>) {
        for index in indexes {
            let task = TaskRef { service: service.clone(), index: *index };
            let successor = self.fleet.successor(&task).map(|successor| &successor.to);
            let Some(newest) = successor.or(self.fleet.assigned(&task)).cloned() else { continue };
            self.after(self.rules.expected.start, Event::Ready(task.clone(), newest.generation));
            let late = Event::Late(task, newest.generation);
            self.after(self.rules.start_limit + Duration::from_secs(1), late);
        }
    }

    /// Cares for every service; tells whether anything was written.
    fn repair(&mut self) -> bool {
        let services: Vec<ServiceId> = self.fleet.config.services.keys().cloned().collect();
        let mut written = false;
        for id in services {
            let repair = repair::repair(&self.fleet, &id, self.now, self.rules);
            if repair.is_empty() {
                continue;
            }
            written = true;
            self.report.repairs += repair.moves.len() as u32;
            let planned = |index: &&u32| {
                let task = TaskRef { service: id.clone(), index: **index };
                self.fleet.successor(&task).is_some_and(|successor| successor.plan.is_some())
            };
            let planned = repair.swaps.iter().filter(planned).count() as u32;
            self.report.moves += planned;
            self.report.repairs += repair.swaps.len() as u32 - planned;
            let record = wave::change_placement(&self.fleet, &id, &self.op, |placement| {
                wave::repaired(placement, &repair, self.now);
            });
            record.into_iter().for_each(|record| self.put(record));
            self.started(&id, repair.moves.keys().chain(repair.successors.keys()));
        }
        written
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Quiet(host, epoch) => {
                if let Some(report) = self.fleet.reports.get_mut(&host) {
                    report.epoch = epoch;
                }
                self.quiet.insert((host, epoch));
            }
            Event::Ready(task, generation) => self.ready(task, generation),
            Event::Back(host, epoch) => {
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
                    // A host that failed while it was away has been restarted all the same.
                    report.booted = epoch.unwrap_or_default();
                }
            }
            Event::Look(..) | Event::Late(..) => {}
        }
    }

    /// Where a start of a task is, as its placement has it.
    fn host_of(&self, task: &TaskRef, generation: u64) -> Option<HostId> {
        let successor = self.fleet.successor(task).map(|successor| &successor.to);
        let mut starts = [successor, self.fleet.assigned(task)].into_iter().flatten();
        let started = starts.find(|start| start.generation == generation);
        started.map(|start| start.host.clone())
    }

    fn ready(&mut self, task: TaskRef, generation: u64) {
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

    /// Notes how every service stands. With `left`, right after that host's leave: the services
    /// that it carries must be able to survive their worst failure domain.
    fn observe(&mut self, left: Option<&HostId>) {
        let leaving = left.map(|host| budget::services_on(&self.fleet, host));
        let out: u64 = self.displaced.values().sum();
        let worst = worst_rack(&self.fleet);
        self.report.peak_out = self.report.peak_out.max(self.displaced.len() as u32);
        self.report.shared_buffer = self.report.shared_buffer.max(out.max(worst));
        self.report.separate_buffer = self.report.separate_buffer.max(out + worst);
        for (id, service) in &self.fleet.config.services {
            let standing = budget::standing(&self.fleet, id, service, self.now, self.rules);
            let fared = self.report.services.entry(id.clone()).or_default();
            let failed = failed_tasks(&self.fleet, &self.failed, id);
            let down = standing.down.len() as u32;
            fared.note(&standing, down, failed);
            self.report.breaches += u32::from(!standing.holds());
            let touched = leaving.as_ref().is_some_and(|services| services.contains(id));
            let short = standing.max_down < down + standing.reserve();
            self.report.voluntary_breaches += u32::from(touched && short);
        }
    }
}

impl Fared {
    fn note(&mut self, standing: &Standing, down: u32, failed: u32) {
        let reserve = standing.reserve();
        self.peak_down = self.peak_down.max(down);
        self.peak_failed = self.peak_failed.max(failed);
        self.peak_out = self.peak_out.max(down.saturating_sub(failed));
        self.peak_reserve = self.peak_reserve.max(reserve);
        self.peak_shared = self.peak_shared.max(down + reserve);
    }
}

/// The load of the rack that carries the most, in millicores.
fn worst_rack(fleet: &Fleet) -> u64 {
    let mut racks: BTreeMap<&RackId, u64> = BTreeMap::new();
    for (host, report) in &fleet.reports {
        if fleet.hosts.get(host).is_some_and(|record| record.state == HostState::Serving) {
            *racks.entry(&report.rack).or_default() += u64::from(fleet.used(host).cores.0);
        }
    }
    racks.into_values().max().unwrap_or(0)
}

/// Tasks of a service that stand on failed hosts.
fn failed_tasks(fleet: &Fleet, failed: &HashSet<HostId>, id: &ServiceId) -> u32 {
    let Some(placement) = fleet.placements.get(id) else {
        return 0;
    };
    let tasks = placement.tasks.iter().flatten();
    tasks.filter(|assigned| failed.contains(&assigned.host)).count() as u32
}
