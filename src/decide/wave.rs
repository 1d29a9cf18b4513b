//! Waves: the next steps of a plan. Each step is one conditional write, so that a step done twice,
//! or by a node that was away, is refused by the store.
//!
//! A host goes from serving to leaving when every service that it carries has given a permit; its
//! tasks move when it is quiet; it reboots when it is empty, holding no permit; and it serves
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
        repair::Moves,
        rules::Rules,
    },
    model::{
        fleet::Fleet,
        host::{HostOutcome, HostRecord, HostState},
        id::{HostId, OpId, PlanId, PoolId, ServiceId},
        plan::{Action, Plan, PlanState, PoolPlan},
        record::{Assigned, Permit, Placement, Record},
        unit::{Epoch, Time},
    },
};

/// One conditional write of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Takes a permit from a service for its tasks on a host.
    Permit { host: HostId, service: ServiceId },
    /// Gives a permit back that is of no use any more.
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

/// Why a host is not started now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Wait {
    #[error("the plan has as many hosts out as it may")]
    Others,
    #[error("an earlier batch is not finished")]
    Batch,
    #[error("its worker does not report")]
    Silent,
    #[error("another plan holds it")]
    Held,
    #[error(transparent)]
    Budget(#[from] OverBudget),
    #[error(transparent)]
    Room(#[from] NoHost),
    #[error("too little room would be left to take in the worst rack of the pool")]
    Reserve,
}

/// The next steps of one pool of a plan, and why hosts wait. `is_quiet` tells whether every node
/// has acknowledged that it sends nothing to a host of that epoch and has nothing in flight there.
pub(crate) fn advance(
    fleet: &Fleet,
    plan: &Plan,
    pool: &PoolId,
    is_quiet: &dyn Fn(&HostId, Epoch) -> bool,
    now: Time,
    rules: &Rules,
) -> (Vec<Step>, BTreeMap<HostId, Wait>) {
    let Some(part) = plan.pools.get(pool) else {
        return Default::default();
    };
    let mut steps = Vec::new();
    for host in part.hosts() {
        let Some(record) = fleet.hosts.get(host) else {
            continue;
        };
        if record.plan.as_ref() == Some(&plan.id) {
            steps.extend(carry_on(fleet, plan, host, record, is_quiet, now, rules));
        } else if !(plan.state == PlanState::Running && may_start(plan, record)) {
            steps.extend(give_back(fleet, plan, host));
        }
    }
    if plan.state != PlanState::Running {
        return (steps, BTreeMap::new());
    }
    let (started, waiting) = start(fleet, plan, part, now, rules);
    steps.extend(started);
    (steps, waiting)
}

/// Whether nothing is left to do for a plan, so that it may be marked done or forgotten.
pub(crate) fn is_finished(fleet: &Fleet, plan: &Plan) -> bool {
    let ended = |host: &HostId| {
        let Some(record) = fleet.hosts.get(host) else {
            return true;
        };
        let held = record.plan.as_ref() == Some(&plan.id);
        let left = plan.state == PlanState::Running && !is_ended(plan, record);
        !held && !left && own_permits(fleet, plan, host).is_empty()
    };
    plan.hosts().all(ended)
}

fn is_ended(plan: &Plan, record: &HostRecord) -> bool {
    record.last.as_ref().is_some_and(|(id, _)| *id == plan.id)
}

fn may_start(plan: &Plan, record: &HostRecord) -> bool {
    !is_ended(plan, record) && record.plan.is_none() && record.state == HostState::Serving
}

fn own_permits(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<ServiceId> {
    let is_own = |service: &&ServiceId| {
        let permit = fleet.placements.get(*service).and_then(|p| p.permits.get(host));
        permit.is_some_and(|permit| permit.plan == plan.id)
    };
    let mut services: Vec<_> = fleet.permits_for(host).filter(is_own).cloned().collect();
    services.sort();
    services
}

fn give_back(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<Step> {
    let services = own_permits(fleet, plan, host).into_iter();
    services.map(|service| Step::GiveBack { host: host.clone(), service }).collect()
}

/// The next steps for a host that the plan holds.
fn carry_on(
    fleet: &Fleet,
    plan: &Plan,
    host: &HostId,
    record: &HostRecord,
    is_quiet: &dyn Fn(&HostId, Epoch) -> bool,
    now: Time,
    rules: &Rules,
) -> Vec<Step> {
    let skipped = |reason: String| HostOutcome::Skipped(reason);
    let host = host.clone();
    match record.state {
        HostState::Away => {
            let report = fleet.reports.get(&host);
            let back = report.is_some_and(|report| record.epoch <= report.booted && report.live);
            if back {
                return vec![Step::Return { host, outcome: HostOutcome::Done }];
            }
            if rules.away_limit < now.since(record.since) {
                let outcome = skipped(format!(
                    "did not come back within {}",
                    humantime::format_duration(rules.away_limit)
                ));
                return vec![Step::Quarantine { host, outcome }];
            }
            Vec::new()
        }
        HostState::Leaving if plan.state == PlanState::Cancelled => {
            vec![Step::Return { host, outcome: skipped("the plan was cancelled".to_owned()) }]
        }
        HostState::Leaving => leaving(fleet, plan, host, record, is_quiet, now, rules),
        HostState::Serving | HostState::Quarantined => Vec::new(),
    }
}

fn leaving(
    fleet: &Fleet,
    plan: &Plan,
    host: HostId,
    record: &HostRecord,
    is_quiet: &dyn Fn(&HostId, Epoch) -> bool,
    now: Time,
    rules: &Rules,
) -> Vec<Step> {
    let report = fleet.reports.get(&host);
    let dead = fleet.is_dead(&host, now, rules.list_limit);
    let worker_quiet =
        report.is_some_and(|report| record.epoch <= report.epoch && report.in_flight() == 0);
    let quiet = dead || (worker_quiet && is_quiet(&host, record.epoch));
    let empty = fleet.tasks_on(&host).is_empty();
    if quiet && empty {
        let mut steps = give_back(fleet, plan, &host);
        steps.push(match &plan.intent.action {
            Action::Drain => Step::Away { host },
            Action::Move(pool) => Step::Join { host, pool: pool.clone() },
            Action::Quarantine => Step::Quarantine { host, outcome: HostOutcome::Done },
        });
        return steps;
    }
    if rules.leave_limit < now.since(record.since) {
        let reason = if quiet { "its tasks found no room" } else { "it did not become quiet" };
        let limit = humantime::format_duration(rules.leave_limit);
        let outcome = HostOutcome::Skipped(format!("{reason} within {limit}"));
        return vec![Step::Return { host, outcome }];
    }
    if !quiet {
        return Vec::new();
    }
    move_off(fleet, &host, now, rules)
}

/// Moves the tasks of a quiet host, one write a service.
fn move_off(fleet: &Fleet, host: &HostId, now: Time, rules: &Rules) -> Vec<Step> {
    let mut placer = Placer::new(fleet, now, rules);
    let mut by_service: BTreeMap<ServiceId, Moves> = BTreeMap::new();
    for task in fleet.tasks_on(host) {
        let Some(service) = fleet.service(&task.service) else {
            continue;
        };
        if let Ok(target) = placer.place(&task.service, service, Some(host)) {
            by_service.entry(task.service.clone()).or_default().insert(task.index, target);
        }
    }
    let step = |(service, moves)| Step::Move { host: host.clone(), service, moves };
    by_service.into_iter().map(step).collect()
}

/// Starts as many hosts as budgets, room and the plan's bound allow now.
fn start(
    fleet: &Fleet,
    plan: &Plan,
    part: &PoolPlan,
    now: Time,
    rules: &Rules,
) -> (Vec<Step>, BTreeMap<HostId, Wait>) {
    let mut steps = Vec::new();
    let mut waiting = BTreeMap::new();
    let mut out = count_out(fleet, plan, part, now, rules);
    let mut scene = None;
    let mut blocked = false;
    let mut silent = Vec::new();
    for batch in &part.batches {
        let mut unfinished = false;
        for host in batch {
            let Some(record) = fleet.hosts.get(host) else {
                continue;
            };
            unfinished |= !is_ended(plan, record);
            if is_ended(plan, record) || record.plan.as_ref() == Some(&plan.id) {
                continue;
            }
            let live = fleet.is_live(host, now, rules.list_limit);
            if record.plan.is_some() || record.state != HostState::Serving {
                waiting.insert(host.clone(), Wait::Held);
            } else if !live {
                silent.push(host.clone());
                waiting.insert(host.clone(), Wait::Silent);
            } else if blocked {
                waiting.insert(host.clone(), Wait::Batch);
            } else if part.max_out <= out {
                waiting.insert(host.clone(), Wait::Others);
            } else {
                let scene = scene.get_or_insert_with(|| Scene::new(fleet, part, now, rules));
                match scene.admit(host) {
                    Ok(()) => {
                        out += 1;
                        steps.extend(permits(fleet, plan, host));
                        steps.push(Step::Leave { host: host.clone() });
                    }
                    Err(wait) => {
                        // Permits that wait for others would hold up other plans.
                        steps.extend(give_back(fleet, plan, host));
                        waiting.insert(host.clone(), wait);
                    }
                }
            }
        }
        blocked |= part.barrier && unfinished;
    }
    if out == 0 && steps.is_empty() {
        steps.extend(skip_hopeless(plan, &waiting, silent, fleet));
    }
    (steps, waiting)
}

/// When nothing else is left to do, hosts that do not report or are held elsewhere end the wave
/// for themselves, so that one of them never keeps a plan open for good.
fn skip_hopeless(
    plan: &Plan,
    waiting: &BTreeMap<HostId, Wait>,
    silent: Vec<HostId>,
    fleet: &Fleet,
) -> Vec<Step> {
    let hopeless = |wait: &Wait| matches!(wait, Wait::Silent | Wait::Held);
    if !waiting.values().all(hopeless) {
        return Vec::new();
    }
    let skip = |host: HostId| Step::Return {
        host,
        outcome: HostOutcome::Skipped("its worker does not report".to_owned()),
    };
    let quarantined = waiting.keys().filter(|host| {
        let record = fleet.hosts.get(*host);
        record.is_some_and(|r| r.state == HostState::Quarantined && r.plan.is_none())
    });
    let outcome = HostOutcome::Skipped("it is quarantined".to_owned());
    let mut steps: Vec<Step> = quarantined
        .filter(|_| plan.state == PlanState::Running)
        .map(|host| Step::Quarantine { host: host.clone(), outcome: outcome.clone() })
        .collect();
    steps.extend(silent.into_iter().map(skip));
    steps
}

/// Hosts that the plan has out. One whose reboot takes twice as long as expected does not hold up
/// the others.
fn count_out(fleet: &Fleet, plan: &Plan, part: &PoolPlan, now: Time, rules: &Rules) -> u32 {
    let overdue = rules.expected.reboot * 2 + Duration::from_secs(1);
    let is_out = |host: &&HostId| {
        let Some(record) = fleet.hosts.get(*host) else {
            return false;
        };
        let held = record.plan.as_ref() == Some(&plan.id);
        held && !(record.state == HostState::Away && overdue < now.since(record.since))
    };
    part.hosts().filter(is_out).count() as u32
}

fn permits(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<Step> {
    let held: BTreeSet<ServiceId> = own_permits(fleet, plan, host).into_iter().collect();
    // Sorted order keeps two plans from waiting for each other's permits.
    let missing = budget::services_on(fleet, host).into_iter().filter(|s| !held.contains(s));
    missing.map(|service| Step::Permit { host: host.clone(), service }).collect()
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
    fn new(fleet: &'a Fleet, part: &PoolPlan, now: Time, rules: &'a Rules) -> Scene<'a> {
        let pool = part.hosts().find_map(|host| fleet.hosts.get(host)).map(|r| r.pool.clone());
        Scene {
            fleet,
            now,
            rules,
            standings: HashMap::new(),
            placer: Placer::new(fleet, now, rules),
            room: Room::new(fleet, pool.as_ref(), now, rules),
        }
    }

    /// Takes a host out if every budget and the room allow it; else changes nothing that matters
    /// to later hosts but the room that was set aside.
    fn admit(&mut self, host: &HostId) -> Result<(), Wait> {
        let mut next = Vec::new();
        for id in budget::services_on(self.fleet, host) {
            let Some(service) = self.fleet.service(&id) else {
                continue;
            };
            let standing = self.standings.entry(id.clone()).or_insert_with(|| {
                budget::standing(self.fleet, &id, service, self.now, self.rules)
            });
            next.push((id.clone(), standing.without(self.fleet, &id, host)?));
        }
        let room = self.room.without(self.fleet, host).ok_or(Wait::Reserve)?;
        self.placer.avoid(host);
        for task in self.fleet.tasks_on(host) {
            let Some(service) = self.fleet.service(&task.service) else {
                continue;
            };
            self.placer.place(&task.service, service, Some(host))?;
        }
        self.standings.extend(next);
        self.room = room;
        Ok(())
    }
}

/// Processor room of a pool against the load of its worst rack: after any one more rack is lost,
/// its tasks must find room.
#[derive(Debug, Clone, Default)]
struct Room {
    free: u64,
    used: BTreeMap<String, u64>,
    spare: BTreeMap<String, u64>,
}

impl Room {
    fn new(fleet: &Fleet, pool: Option<&PoolId>, now: Time, rules: &Rules) -> Room {
        let mut room = Room::default();
        for host in pool.into_iter().flat_map(|pool| fleet.hosts_of(pool)) {
            let Some(report) = fleet.reports.get(host) else {
                continue;
            };
            let serving = fleet.hosts[host].state == HostState::Serving;
            if !serving || !fleet.is_live(host, now, rules.list_limit) {
                continue;
            }
            let used = u64::from(fleet.used(host).cores.0);
            let free = u64::from(report.capacity.cores.0).saturating_sub(used);
            room.free += free;
            *room.used.entry(report.rack.to_string()).or_default() += used;
            *room.spare.entry(report.rack.to_string()).or_default() += free;
        }
        room
    }

    /// The room when a host has left and its tasks are elsewhere; nothing if too little is left.
    fn without(&self, fleet: &Fleet, host: &HostId) -> Option<Room> {
        let report = fleet.reports.get(host)?;
        let rack = report.rack.to_string();
        let used = u64::from(fleet.used(host).cores.0);
        let spare = u64::from(report.capacity.cores.0).saturating_sub(used);
        let mut next = self.clone();
        next.free = next.free.checked_sub(spare + used)?;
        if let Some(load) = next.used.get_mut(&rack) {
            *load = load.saturating_sub(used);
        }
        if let Some(free) = next.spare.get_mut(&rack) {
            *free = free.saturating_sub(spare);
        }
        let holds = next.used.iter().all(|(rack, load)| {
            let own = next.spare.get(rack).copied().unwrap_or(0);
            *load + own <= next.free
        });
        holds.then_some(next)
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
        }),
        Step::Move { host, service, moves } => change_placement(fleet, service, op, |placement| {
            relocate(placement, moves, Some(host), now);
            placement.permits.remove(host);
        }),
        Step::Leave { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Leaving;
            record.plan = Some(plan.clone());
        }),
        Step::Away { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Away;
        }),
        Step::Join { host, pool } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            record.pool = pool.clone();
            end(record, plan, HostOutcome::Done);
        }),
        Step::Quarantine { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Quarantined;
            end(record, plan, outcome.clone());
        }),
        Step::Return { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            end(record, plan, outcome.clone());
        }),
    }
}

fn end(record: &mut HostRecord, plan: &PlanId, outcome: HostOutcome) {
    record.plan = None;
    record.last = Some((plan.clone(), outcome));
}

fn permit(placement: &mut Placement, host: &HostId, plan: &PlanId, now: Time) {
    let on_host = |(index, assigned): (usize, &Option<Assigned>)| {
        let here = assigned.as_ref().is_some_and(|assigned| assigned.host == *host);
        here.then_some(index as u32)
    };
    let tasks = placement.tasks.iter().enumerate().filter_map(on_host).collect();
    placement.permits.insert(host.clone(), Permit { plan: plan.clone(), tasks, since: now });
}

/// Places tasks on new hosts. With `from`, only those that are still there.
pub(crate) fn relocate(placement: &mut Placement, moves: &Moves, from: Option<&HostId>, now: Time) {
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
        let generation = slot.as_ref().map_or(1, |assigned| assigned.generation + 1);
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
