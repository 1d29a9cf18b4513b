//! Steps of a wave: what each writes, from the record that stands.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    decide::repair::{Moves, Repair},
    model::{
        fleet::{Fleet, TaskRef},
        host::{HostOutcome, HostRecord, HostState},
        id::{HostId, OpId, PlanId, PoolId, ServiceId},
        record::{Assigned, Key, Permit, Placement, Record, Successor},
        unit::Time,
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

/// The records that a step rests on besides the one that it writes. What its host holds stands in the
/// placements of the pool's services, and whether a host takes tasks in its own record.
pub(crate) fn rests_on(fleet: &Fleet, step: &Step) -> Vec<Key> {
    match step {
        Step::Leave { host }
        | Step::Away { host }
        | Step::Join { host, .. }
        | Step::Quarantine { host, .. } => placements_at(fleet, host),
        Step::Prepare { moves, .. } | Step::Move { moves, .. } => hosts_of(moves.values()),
        Step::Close { .. } | Step::Permit { .. } | Step::GiveBack { .. } | Step::Return { .. } => {
            Vec::new()
        }
    }
}

/// The placements of all services that may have tasks on a host.
fn placements_at(fleet: &Fleet, host: &HostId) -> Vec<Key> {
    let pool = fleet.hosts.get(host).map(|record| &record.pool);
    let of_pool = fleet.config.services.iter().filter(|(_, s)| Some(&s.pool) == pool);
    let there = fleet.tasks_on(host).iter().chain(fleet.coming_to(host));
    let services = of_pool.map(|(id, _)| id).chain(there.map(|task| &task.service));
    let services: BTreeSet<&ServiceId> = services.collect();
    services.into_iter().map(|id| Key::Placement(id.clone())).collect()
}

/// The records of some hosts.
pub(crate) fn hosts_of<'a>(hosts: impl Iterator<Item = &'a HostId>) -> Vec<Key> {
    let hosts: BTreeSet<&HostId> = hosts.collect();
    hosts.into_iter().map(|host| Key::Host(host.clone())).collect()
}

/// Whether the plan holds a permit of each service with tasks on a host, and no task is to come there.
fn may_leave(fleet: &Fleet, plan: &PlanId, host: &HostId) -> bool {
    let is_permitted = |task: &TaskRef| {
        let permits = fleet.placements.get(&task.service).map(|placement| &placement.permits);
        permits.and_then(|p| p.get(host)).is_some_and(|permit| permit.plan == *plan)
    };
    fleet.coming_to(host).is_empty() && fleet.tasks_on(host).iter().all(is_permitted)
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
        Step::Leave { host } if !may_leave(fleet, plan, host) => None,
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
