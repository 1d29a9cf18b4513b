//! Waves: the next steps of a plan. Each step is one conditional write, so that a step done twice,
//! or by a node that was away, is refused by the store.
//!
//! A host closes when there is room for its tasks elsewhere: it gets no new ones, and successors
//! of those that it has start on other hosts and take their places when they are ready. Tasks
//! whose service allows no successor need a permit of its budget, and move when the host is quiet.
//! A host leaves when it holds no other tasks, reboots when it is quiet and empty, and serves
//! again when its worker reports the reboot. Where a host is, its own record says: the plan's
//! record is written only when its state changes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    decide::{
        budget::{self, OverBudget, Standing},
        place::{NoHost, Placer},
        repair::{Moves, Repair},
        rules::Rules,
    },
    model::{
        fleet::Fleet,
        host::{HostOutcome, HostRecord, HostState},
        id::{HostId, OpId, PlanId, PoolId, RackId, ServiceId},
        plan::{Action, Plan, PlanState, PoolPlan},
        record::{Assigned, Key, Permit, Placement, Record, Successor},
        unit::{Epoch, Time},
    },
};

/// One conditional write of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Gives a host no new tasks.
    Close { host: HostId },
    /// Starts successors of a service's tasks on a host that is closing.
    Prepare { host: HostId, service: ServiceId, moves: Moves },
    /// Takes a permit from a service for its tasks on a host.
    Permit { host: HostId, service: ServiceId },
    /// Gives back a permit and ends successors that are of no use any more.
    GiveBack { host: HostId, service: ServiceId },
    /// Lets no new request go to a host.
    Leave { host: HostId },
    /// Places tasks of a service that are on a quiet host elsewhere, and ends the permit.
    Move { host: HostId, service: ServiceId, moves: Moves },
    /// Has an empty host reboot.
    Away { host: HostId },
    /// Has an empty host join a pool.
    Join { host: HostId, pool: PoolId },
    /// Has an empty host stay out.
    Quarantine { host: HostId, outcome: HostOutcome },
    /// Has a host serve again.
    Return { host: HostId, outcome: HostOutcome },
}

/// Why a host makes no progress now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Wait {
    #[error("the plan has as many hosts out as it may")]
    Others,
    #[error("an earlier batch is not finished")]
    Batch,
    #[error("the platform's list of hosts cannot be read")]
    Unheard,
    #[error("its worker does not report")]
    Silent,
    #[error("another plan holds it")]
    Held,
    #[error(transparent)]
    Budget(#[from] OverBudget),
    #[error(transparent)]
    Room(#[from] NoHost),
    #[error("its tasks would have to move twice")]
    Twice,
    #[error("too little room would be left to take in the worst rack of the pool")]
    Reserve,
}

/// A frugal plan's first batch is one in so many of its hosts.
const FIRST_BATCH: u32 = 10;

/// What is known when a plan's next steps are worked out.
pub(crate) struct Outlook<'a> {
    pub(crate) fleet: &'a Fleet,
    /// Whether every node has acknowledged that it sends nothing to a host of that epoch and has
    /// nothing in flight there.
    pub(crate) is_quiet: &'a dyn Fn(&HostId, Epoch) -> bool,
    pub(crate) now: Time,
    pub(crate) rules: &'a Rules,
}

/// The next steps of one pool of a plan, and why hosts wait.
pub(crate) fn advance(
    outlook: &Outlook<'_>,
    plan: &Plan,
    pool: &PoolId,
) -> (Vec<Step>, BTreeMap<HostId, Wait>) {
    let Some(part) = plan.pools.get(pool) else { return Default::default() };
    // Tasks that are not known to be up would count as down already, and as free to take.
    if !outlook.fleet.is_heard(outlook.now, outlook.rules.list_limit) {
        let waiting = part.hosts().map(|host| (host.clone(), Wait::Unheard)).collect();
        return (Vec::new(), waiting);
    }
    let mut round =
        Round { outlook, plan, part, scene: None, steps: Vec::new(), waiting: BTreeMap::new() };
    for host in part.hosts() {
        let Some(record) = outlook.fleet.hosts.get(host) else { continue };
        if record.plan.as_ref() == Some(&plan.id) {
            round.carry_on(host, record);
        } else {
            round.steps.extend(give_back(outlook.fleet, plan, host));
        }
    }
    if plan.state == PlanState::Running {
        round.start();
    }
    (round.steps, round.waiting)
}

/// Whether nothing is left to do for a plan, so that it may be marked done or forgotten.
pub(crate) fn is_finished(fleet: &Fleet, plan: &Plan) -> bool {
    let ended = |host: &HostId| {
        let Some(record) = fleet.hosts.get(host) else { return true };
        let held = record.plan.as_ref() == Some(&plan.id);
        let left = plan.state == PlanState::Running && !is_ended(plan, record);
        !held && !left && held_by(fleet, plan, host).is_empty()
    };
    plan.hosts().all(ended)
}

fn is_ended(plan: &Plan, record: &HostRecord) -> bool {
    record.outcome(&plan.id).is_some()
}

/// Services of which the plan holds a permit for a host, or successors of tasks there.
fn held_by(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let permits = permits_of(fleet, plan, host);
    let tasks = fleet.tasks_on(host).iter();
    let succeeded = tasks.filter(|task| {
        let successor = fleet.successor(task);
        successor.is_some_and(|successor| successor.plan.as_ref() == Some(&plan.id))
    });
    permits.into_iter().chain(succeeded.map(|task| task.service.clone())).collect()
}

fn permits_of(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let is_own = |service: &&ServiceId| {
        let permit = fleet.placements.get(*service).and_then(|p| p.permits.get(host));
        permit.is_some_and(|permit| permit.plan == plan.id)
    };
    fleet.permits_for(host).filter(is_own).cloned().collect()
}

fn give_back(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<Step> {
    let services = held_by(fleet, plan, host).into_iter();
    services.map(|service| Step::GiveBack { host: host.clone(), service }).collect()
}

/// One look at a pool's part of a plan.
struct Round<'a> {
    outlook: &'a Outlook<'a>,
    plan: &'a Plan,
    part: &'a PoolPlan,
    scene: Option<Scene<'a>>,
    steps: Vec<Step>,
    waiting: BTreeMap<HostId, Wait>,
}

impl<'a> Round<'a> {
    /// The next steps for a host that the plan holds.
    fn carry_on(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let spent = now.since(record.since);
        let cancelled = self.plan.state == PlanState::Cancelled;
        match record.state {
            HostState::Away => self.away(host, record),
            HostState::Closing | HostState::Leaving if cancelled => {
                self.skip(host, "the plan was cancelled".to_owned());
            }
            HostState::Closing if rules.start_limit + rules.leave_limit < spent => {
                let limit = humantime::format_duration(rules.start_limit + rules.leave_limit);
                let wait = self.closing_wait(host);
                self.skip(host, format!("it was not empty within {limit}{wait}"));
            }
            HostState::Closing => self.closing(host),
            HostState::Leaving => self.leaving(host, record),
            HostState::Serving | HostState::Quarantined => {
                self.steps.extend(give_back(fleet, self.plan, host));
            }
        }
    }

    fn closing_wait(&mut self, host: &HostId) -> String {
        let budget = self.scene().admit_budget(host).err().map(Wait::from);
        budget.map(|wait| format!(": {wait}")).unwrap_or_default()
    }

    fn skip(&mut self, host: &HostId, reason: String) {
        let outcome = HostOutcome::Skipped(reason);
        self.steps.push(Step::Return { host: host.clone(), outcome });
    }

    fn scene(&mut self) -> &mut Scene<'a> {
        let (outlook, part) = (self.outlook, self.part);
        self.scene.get_or_insert_with(|| Scene::new(outlook, part))
    }

    fn away(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let report = fleet.reports.get(host);
        if report.is_some_and(|report| record.epoch <= report.booted && report.live) {
            let outcome = HostOutcome::Done;
            self.steps.push(Step::Return { host: host.clone(), outcome });
        } else if rules.away_limit < now.since(record.since) {
            let limit = humantime::format_duration(rules.away_limit);
            let outcome = HostOutcome::Skipped(format!("did not come back within {limit}"));
            self.steps.push(Step::Quarantine { host: host.clone(), outcome });
        }
    }

    /// Starts successors; when none is needed any more, takes permits for the rest and leaves.
    fn closing(&mut self, host: &HostId) {
        let fleet = self.outlook.fleet;
        let mut missing: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        let mut surging = false;
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service).filter(|s| s.surge) else { continue };
            surging = true;
            if fleet.successor(task).is_some() {
                continue;
            }
            match self.scene().placer.place(&task.service, service, Some(host)) {
                Ok(target) => {
                    let moves = missing.entry(task.service.clone()).or_default();
                    moves.insert(task.index, target);
                }
                Err(error) => {
                    self.waiting.insert(host.clone(), error.into());
                }
            }
        }
        let prepare = |(service, moves)| Step::Prepare { host: host.clone(), service, moves };
        self.steps.extend(missing.into_iter().map(prepare));
        if surging {
            return;
        }
        match self.scene().admit_budget(host) {
            Ok(()) => {
                let held = permits_of(fleet, self.plan, host);
                let services = budget::services_on(fleet, host).into_iter();
                // Sorted order keeps two plans from waiting for each other's permits.
                let permit = |service| Step::Permit { host: host.clone(), service };
                self.steps.extend(services.filter(|s| !held.contains(s)).map(permit));
                self.steps.push(Step::Leave { host: host.clone() });
            }
            Err(over) => {
                // Permits that wait for others would hold up other plans.
                self.steps.extend(give_back(fleet, self.plan, host));
                self.waiting.insert(host.clone(), over.into());
            }
        }
    }

    fn leaving(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, is_quiet, now, rules } = *self.outlook;
        let report = fleet.reports.get(host);
        let dead = fleet.is_dead(host, now, rules.list_limit);
        let worker_quiet =
            report.is_some_and(|report| record.epoch <= report.epoch && report.in_flight() == 0);
        let quiet = dead || (worker_quiet && is_quiet(host, record.epoch));
        if quiet && fleet.tasks_on(host).is_empty() {
            self.steps.extend(give_back(fleet, self.plan, host));
            let host = host.clone();
            self.steps.push(match &self.plan.intent.action {
                Action::Drain => Step::Away { host },
                Action::Move(pool) => Step::Join { host, pool: pool.clone() },
                Action::Quarantine => Step::Quarantine { host, outcome: HostOutcome::Done },
            });
        } else if rules.leave_limit < now.since(record.since) {
            let reason = if quiet { "its tasks found no room" } else { "it did not become quiet" };
            let limit = humantime::format_duration(rules.leave_limit);
            self.skip(host, format!("{reason} within {limit}"));
        } else if quiet {
            self.move_off(host);
        }
    }

    /// Moves the tasks of a quiet host, one write a service.
    fn move_off(&mut self, host: &HostId) {
        let fleet = self.outlook.fleet;
        let mut by_service: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service) else { continue };
            if let Ok(target) = self.scene().placer.place(&task.service, service, Some(host)) {
                by_service.entry(task.service.clone()).or_default().insert(task.index, target);
            }
        }
        let step = |(service, moves)| Step::Move { host: host.clone(), service, moves };
        self.steps.extend(by_service.into_iter().map(step));
    }

    /// Starts as many hosts as room and the plan's bound allow now.
    fn start(&mut self) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let mut out = self.count_out();
        let idle = out == 0;
        let first = self.first_batch();
        let most = first.unwrap_or(u32::MAX).min(self.part.max_out);
        let mut blocked = false;
        for batch in &self.part.batches {
            let mut unfinished = false;
            for host in batch {
                let Some(record) = fleet.hosts.get(host) else { continue };
                if is_ended(self.plan, record) {
                    continue;
                }
                unfinished = true;
                if record.plan.as_ref() == Some(&self.plan.id) {
                    continue;
                }
                if let Some(other) = self.done_by_another(record) {
                    self.skip(host, format!("plan {other} did it meanwhile"));
                    continue;
                }
                let live = fleet.is_live(host, now, rules.list_limit);
                let wait = if record.plan.is_some() || record.state != HostState::Serving {
                    Some(Wait::Held)
                } else if !live {
                    Some(Wait::Silent)
                } else if blocked {
                    Some(Wait::Batch)
                } else if most <= out {
                    Some(Wait::Others)
                } else {
                    // With nothing out, a second move is better than none.
                    let strict = self.part.frugal && first.is_none() && out != 0;
                    self.scene().admit_room(host, strict).err()
                };
                match wait {
                    Some(wait) => {
                        self.waiting.insert(host.clone(), wait);
                    }
                    None => {
                        out += 1;
                        self.steps.push(Step::Close { host: host.clone() });
                    }
                }
            }
            blocked |= self.part.barrier && unfinished;
        }
        if idle && self.steps.is_empty() {
            self.skip_hopeless();
        }
    }

    /// Another plan that has done the same to a host since this one was confirmed: two operators
    /// who confirm at one time must not have a host maintained twice.
    fn done_by_another(&self, record: &HostRecord) -> Option<PlanId> {
        let plan = self.plan;
        let since = record.plan.is_none() && plan.since < record.since;
        let (id, outcome) = record.ended.last().filter(|_| since)?;
        let other = self.outlook.fleet.plans.get(id)?;
        let same = *outcome == HostOutcome::Done && other.intent.action == plan.intent.action;
        same.then(|| id.clone())
    }

    /// How many hosts may be out while the plan is done with none, if it is frugal: their tasks
    /// can only go to hosts that are still to be done.
    fn first_batch(&self) -> Option<u32> {
        let fleet = self.outlook.fleet;
        let done = |host: &&HostId| {
            let outcome = fleet.hosts.get(*host).and_then(|record| record.outcome(&self.plan.id));
            outcome == Some(&HostOutcome::Done)
        };
        let none_done = self.part.frugal && !self.part.hosts().any(|host| done(&host));
        let hosts = self.part.hosts().count() as u32;
        none_done.then(|| (hosts / FIRST_BATCH).max(1))
    }

    /// When nothing else is left to do, hosts that are dead or quarantined end the wave for
    /// themselves, so that one of them never keeps a plan open for good.
    fn skip_hopeless(&mut self) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let hosts: Vec<HostId> = self.waiting.keys().cloned().collect();
        for host in hosts {
            let Some(record) = fleet.hosts.get(&host).filter(|r| r.plan.is_none()) else {
                continue;
            };
            if record.state == HostState::Quarantined {
                let outcome = HostOutcome::Skipped("it is quarantined".to_owned());
                self.steps.push(Step::Quarantine { host, outcome });
            } else if fleet.is_dead(&host, now, rules.list_limit) {
                self.skip(&host, "its worker does not report".to_owned());
            }
        }
    }

    /// Hosts that the plan has out. One whose reboot takes twice as long as expected does not
    /// hold up the others.
    fn count_out(&self) -> u32 {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let overdue = rules.expected.reboot * 2 + Duration::from_secs(1);
        let is_out = |host: &&HostId| {
            let Some(record) = fleet.hosts.get(*host) else { return false };
            let held = record.plan.as_ref() == Some(&self.plan.id);
            held && !(record.state == HostState::Away && overdue < now.since(record.since))
        };
        self.part.hosts().filter(is_out).count() as u32
    }
}

/// Standings and room of a pool, with the hosts that are started in this round taken out.
struct Scene<'a> {
    fleet: &'a Fleet,
    now: Time,
    rules: &'a Rules,
    standings: HashMap<ServiceId, Standing>,
    placer: Placer<'a>,
    room: Room,
}

impl<'a> Scene<'a> {
    fn new(outlook: &Outlook<'a>, part: &PoolPlan) -> Scene<'a> {
        let Outlook { fleet, now, rules, .. } = *outlook;
        let pool = part.hosts().find_map(|host| fleet.hosts.get(host)).map(|r| &r.pool);
        Scene {
            fleet,
            now,
            rules,
            standings: HashMap::new(),
            placer: Placer::new(fleet, now, rules),
            room: Room::new(fleet, pool, now, rules),
        }
    }

    /// Takes the room of a host and of its tasks, if enough is left; if `strict`, only where no
    /// task would move twice.
    fn admit_room(&mut self, host: &HostId, strict: bool) -> Result<(), Wait> {
        let room = self.room.without(self.fleet, host, self.rules).ok_or(Wait::Reserve)?;
        self.placer.avoid(host);
        for task in self.fleet.tasks_on(host) {
            let Some(service) = self.fleet.service(&task.service) else { continue };
            let target = self.placer.place(&task.service, service, Some(host))?;
            if strict && self.fleet.is_pending(&target) {
                return Err(Wait::Twice);
            }
        }
        self.room = room;
        Ok(())
    }

    /// Takes the tasks of a host out, if every budget allows it.
    fn admit_budget(&mut self, host: &HostId) -> Result<(), OverBudget> {
        let mut next = Vec::new();
        for id in budget::services_on(self.fleet, host) {
            let Some(service) = self.fleet.service(&id) else { continue };
            let standing = self.standings.entry(id.clone()).or_insert_with(|| {
                budget::standing(self.fleet, &id, service, self.now, self.rules)
            });
            next.push((id.clone(), standing.without(self.fleet, &id, host, self.now, self.rules)?));
        }
        self.standings.extend(next);
        Ok(())
    }
}

/// Processor room of a pool against the load of its worst rack: after any one more rack is lost,
/// its tasks must find room.
#[derive(Debug, Clone, Default)]
struct Room {
    /// Free on serving hosts.
    free: u64,
    /// On hosts that are out for a plan, and come back in bounded time.
    returning: u64,
    used: BTreeMap<RackId, u64>,
    spare: BTreeMap<RackId, u64>,
}

impl Room {
    fn new(fleet: &Fleet, pool: Option<&PoolId>, now: Time, rules: &Rules) -> Room {
        let mut room = Room::default();
        for host in pool.into_iter().flat_map(|pool| fleet.hosts_of(pool)) {
            let Some(report) = fleet.reports.get(host) else { continue };
            let record = &fleet.hosts[host];
            let capacity = u64::from(report.capacity.cores.0);
            if record.plan.is_some() {
                room.returning += capacity;
            }
            let live = fleet.is_live(host, now, rules.list_limit);
            if record.state != HostState::Serving || !live {
                continue;
            }
            let used = u64::from(fleet.used(host).cores.0);
            let free = capacity.saturating_sub(used);
            room.free += free;
            *room.used.entry(report.rack.clone()).or_default() += used;
            *room.spare.entry(report.rack.clone()).or_default() += free;
        }
        room
    }

    /// The room when a host has left and its tasks are elsewhere; nothing if too little is left.
    fn without(&self, fleet: &Fleet, host: &HostId, rules: &Rules) -> Option<Room> {
        let report = fleet.reports.get(host)?;
        let capacity = u64::from(report.capacity.cores.0);
        let used = u64::from(fleet.used(host).cores.0);
        let spare = capacity.saturating_sub(used);
        let mut next = self.clone();
        next.free = next.free.checked_sub(spare + used)?;
        next.returning += capacity;
        if let Some(load) = next.used.get_mut(&report.rack) {
            *load = load.saturating_sub(used);
        }
        if let Some(free) = next.spare.get_mut(&report.rack) {
            *free = free.saturating_sub(spare);
        }
        let counted = next.free + if rules.share_spare { next.returning } else { 0 };
        let holds = next.used.iter().all(|(rack, load)| {
            let own = next.spare.get(rack).copied().unwrap_or(0);
            load + own <= counted
        });
        holds.then_some(next)
    }
}

/// How long a step may be taken after it was worked out: what it rests on may be void later.
const TIMELY: Duration = Duration::from_secs(2);

/// Whether a step that was worked out at one time may still be taken at another.
pub(crate) fn is_timely(worked_out: Time, now: Time) -> bool {
    now.since(worked_out) <= TIMELY
}

/// The host that a step is for.
pub(crate) fn host_of(step: &Step) -> &HostId {
    match step {
        Step::Close { host }
        | Step::Prepare { host, .. }
        | Step::Permit { host, .. }
        | Step::GiveBack { host, .. }
        | Step::Leave { host }
        | Step::Move { host, .. }
        | Step::Away { host }
        | Step::Join { host, .. }
        | Step::Quarantine { host, .. }
        | Step::Return { host, .. } => host,
    }
}

/// The key of the record that a step writes.
pub(crate) fn key_of(step: &Step) -> Key {
    match step {
        Step::Prepare { service, .. }
        | Step::Permit { service, .. }
        | Step::GiveBack { service, .. }
        | Step::Move { service, .. } => Key::Placement(service.clone()),
        _ => Key::Host(host_of(step).clone()),
    }
}

/// The record that a step writes, from the one that stands now. Nothing if the step does not apply
/// any more.
pub(crate) fn effect(
    fleet: &Fleet,
    plan: &PlanId,
    step: &Step,
    op: &OpId,
    now: Time,
) -> Option<Record> {
    match step {
        Step::Permit { host, service } => {
            change_placement(fleet, service, op, |placement| permit(placement, host, plan, now))
        }
        Step::GiveBack { host, service } => change_placement(fleet, service, op, |placement| {
            placement.permits.remove(host);
            recall(placement, host, plan);
        }),
        Step::Prepare { host, service, moves } => {
            change_placement(fleet, service, op, |placement| {
                succeed(placement, moves, Some(host), Some(plan), now);
            })
        }
        Step::Close { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Closing;
            record.plan = Some(plan.clone());
        }),
        Step::Move { host, service, moves } => change_placement(fleet, service, op, |placement| {
            relocate(placement, moves, Some(host), now);
            placement.permits.remove(host);
        }),
        Step::Leave { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Leaving;
        }),
        Step::Away { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Away;
        }),
        Step::Join { host, pool } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            record.pool = pool.clone();
            record.end(plan, HostOutcome::Done);
        }),
        Step::Quarantine { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Quarantined;
            record.end(plan, outcome.clone());
        }),
        Step::Return { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            record.end(plan, outcome.clone());
        }),
    }
}

fn permit(placement: &mut Placement, host: &HostId, plan: &PlanId, now: Time) {
    let on_host = |(index, assigned): (usize, &Option<Assigned>)| {
        let here = assigned.as_ref().is_some_and(|assigned| assigned.host == *host);
        here.then_some(index as u32)
    };
    let tasks = placement.tasks.iter().enumerate().filter_map(on_host).collect();
    placement.permits.insert(host.clone(), Permit { plan: plan.clone(), tasks, since: now });
}

/// Ends the successors that a plan started for the tasks on a host.
fn recall(placement: &mut Placement, host: &HostId, plan: &PlanId) {
    let Placement { tasks, successors, .. } = placement;
    successors.retain(|index, successor| {
        let here = tasks.get(*index as usize).and_then(Option::as_ref);
        let here = here.is_some_and(|assigned| assigned.host == *host);
        !(here && successor.plan.as_ref() == Some(plan))
    });
}

/// Starts successors of tasks on new hosts. With `from`, only of those that are still there.
fn succeed(
    placement: &mut Placement,
    moves: &Moves,
    from: Option<&HostId>,
    plan: Option<&PlanId>,
    now: Time,
) {
    for (index, host) in moves {
        let Some(Some(assigned)) = placement.tasks.get(*index as usize) else { continue };
        if from.is_some_and(|from| *from != assigned.host) {
            continue;
        }
        let before = placement.successors.get(index).map_or(0, |s| s.to.generation);
        let generation = assigned.generation.max(before) + 1;
        let to = Assigned { host: host.clone(), generation, since: now };
        placement.successors.insert(*index, Successor { to, plan: plan.cloned() });
    }
}

/// Writes down what a service's repair needs.
pub(crate) fn repaired(placement: &mut Placement, repair: &Repair, now: Time) {
    swap_in(placement, &repair.swaps);
    relocate(placement, &repair.moves, None, now);
    let plans: BTreeMap<u32, Option<PlanId>> =
        placement.successors.iter().map(|(index, s)| (*index, s.plan.clone())).collect();
    for (index, host) in &repair.successors {
        let plan = plans.get(index).cloned().flatten();
        let moves = Moves::from([(*index, host.clone())]);
        succeed(placement, &moves, None, plan.as_ref(), now);
    }
}

/// Has successors take the places of their tasks.
fn swap_in(placement: &mut Placement, indexes: &[u32]) {
    for index in indexes {
        let Some(successor) = placement.successors.remove(index) else { continue };
        if let Some(slot) = placement.tasks.get_mut(*index as usize) {
            *slot = Some(successor.to);
            placement.moves += 1;
        }
    }
}

/// Places tasks on new hosts. With `from`, only those that are still there.
fn relocate(placement: &mut Placement, moves: &Moves, from: Option<&HostId>, now: Time) {
    for (index, host) in moves {
        let index = *index as usize;
        if placement.tasks.len() <= index {
            placement.tasks.resize(index + 1, None);
        }
        let slot = &mut placement.tasks[index];
        let here = slot.as_ref().map(|assigned| &assigned.host);
        if from.is_some() && here != from {
            continue;
        }
        placement.moves += u64::from(here.is_some());
        let successor = placement.successors.remove(&(index as u32));
        let newest = slot.as_ref().map_or(0, |assigned| assigned.generation);
        let generation = successor.map_or(0, |s| s.to.generation).max(newest) + 1;
        *slot = Some(Assigned { host: host.clone(), generation, since: now });
    }
}

/// A service's placement, changed.
pub(crate) fn change_placement(
    fleet: &Fleet,
    service: &ServiceId,
    op: &OpId,
    change: impl FnOnce(&mut Placement),
) -> Option<Record> {
    let mut placement = fleet.placements.get(service).cloned().unwrap_or_default();
    change(&mut placement);
    placement.op = Some(op.clone());
    Some(Record::Placement(service.clone(), placement))
}

/// A host's record, changed and raised to its next epoch.
pub(crate) fn change_host(
    fleet: &Fleet,
    host: &HostId,
    op: &OpId,
    now: Time,
    change: impl FnOnce(&mut HostRecord),
) -> Option<Record> {
    let mut record = fleet.hosts.get(host)?.clone();
    change(&mut record);
    record.epoch = record.epoch.next();
    record.since = now;
    record.op = op.clone();
    Some(Record::Host(host.clone(), record))
}
