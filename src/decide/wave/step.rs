//! Steps of a wave: the record that each writes, based on the current record.

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
        record::{Key, Permit, Placement, Record, Successor, TaskAssignment},
        unit::Time,
    },
};

/// One conditional write of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Stops placing new tasks on a host.
    Close { host: HostId },
    /// Starts successors, on other hosts, of a service's tasks on a closing host.
    Prepare { host: HostId, service: ServiceId, moves: Moves },
    /// Takes a permit from a service's budget for its tasks on a host.
    Permit { host: HostId, service: ServiceId },
    /// Releases a permit and cancels successors that are no longer needed.
    Release { host: HostId, service: ServiceId },
    /// Stops sending new requests to a host.
    Leave { host: HostId },
    /// Moves a service's tasks off a quiet host, and releases the permit.
    Move { host: HostId, service: ServiceId, moves: Moves },
    /// Reboots an empty host.
    Reboot { host: HostId },
    /// Assigns an empty host to another pool.
    Join { host: HostId, pool: PoolId },
    /// Quarantines an empty host.
    Quarantine { host: HostId, outcome: HostOutcome },
    /// Returns a host to service.
    Return { host: HostId, outcome: HostOutcome },
}

/// How long a step may be taken after it was computed: its preconditions may not hold later.
const MAX_STEP_AGE: Duration = Duration::from_secs(2);

/// Whether a step computed at one time may still be taken at another.
pub(crate) fn is_timely(computed_at: Time, now: Time) -> bool {
    now.since(computed_at) <= MAX_STEP_AGE
}

/// The host that a step is for.
pub(crate) fn host_of(step: &Step) -> &HostId {
    match step {
        Step::Close { host }
        | Step::Prepare { host, .. }
        | Step::Permit { host, .. }
        | Step::Release { host, .. }
        | Step::Leave { host }
        | Step::Move { host, .. }
        | Step::Reboot { host }
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
        | Step::Release { service, .. }
        | Step::Move { service, .. } => Key::Placement(service.clone()),
        _ => Key::Host(host_of(step).clone()),
    }
}

/// The records that a step depends on besides the one that it writes. The tasks of its host are
/// stored in the placements of the pool's services; whether a host takes tasks, in its own record.
pub(crate) fn dependencies(fleet: &Fleet, step: &Step) -> Vec<Key> {
    match step {
        Step::Leave { host }
        | Step::Reboot { host }
        | Step::Join { host, .. }
        | Step::Quarantine { host, .. } => placements_at(fleet, host),
        Step::Prepare { moves, .. } | Step::Move { moves, .. } => host_keys(moves.values()),
        Step::Close { .. } | Step::Permit { .. } | Step::Release { .. } | Step::Return { .. } => {
            Vec::new()
        }
    }
}

/// The placements of all services that may have tasks on a host.
fn placements_at(fleet: &Fleet, host: &HostId) -> Vec<Key> {
    let pool = fleet.hosts.get(host).map(|record| &record.pool);
    let in_pool = fleet.config.services.iter().filter(|(_, s)| Some(&s.pool) == pool);
    let on_host = fleet.tasks_on(host).iter().chain(fleet.successors_on(host));
    let services = in_pool.map(|(id, _)| id).chain(on_host.map(|task| &task.service));
    let services: BTreeSet<&ServiceId> = services.collect();
    services.into_iter().map(|id| Key::Placement(id.clone())).collect()
}

/// The keys of the records of some hosts.
pub(crate) fn host_keys<'a>(hosts: impl Iterator<Item = &'a HostId>) -> Vec<Key> {
    let hosts: BTreeSet<&HostId> = hosts.collect();
    hosts.into_iter().map(|host| Key::Host(host.clone())).collect()
}

/// Whether the plan holds a permit of every service with tasks on a host, and no successor is
/// assigned to the host.
fn may_leave(fleet: &Fleet, plan: &PlanId, host: &HostId) -> bool {
    let is_permitted = |task: &TaskRef| {
        let permits = fleet.placements.get(&task.service).map(|placement| &placement.permits);
        permits.and_then(|p| p.get(host)).is_some_and(|permit| permit.plan == *plan)
    };
    fleet.successors_on(host).is_empty() && fleet.tasks_on(host).iter().all(is_permitted)
}

/// The record that a step writes, based on the current one, or `None` if the step no longer
/// applies.
pub(crate) fn effect(
    fleet: &Fleet,
    plan: &PlanId,
    step: &Step,
    op: &OpId,
    now: Time,
) -> Option<Record> {
    match step {
        Step::Permit { host, service } => change_placement(fleet, service, op, |placement| {
            take_permit(placement, host, plan, now)
        }),
        Step::Release { host, service } => change_placement(fleet, service, op, |placement| {
            placement.permits.remove(host);
            cancel_successors(placement, host, plan);
        }),
        Step::Prepare { host, service, moves } => {
            change_placement(fleet, service, op, |placement| {
                start_successors(placement, moves, Some(host), Some(plan), now);
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
        Step::Reboot { host } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Away;
        }),
        Step::Join { host, pool } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            record.pool = pool.clone();
            record.record_outcome(plan, HostOutcome::Done);
        }),
        Step::Quarantine { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Quarantined;
            record.record_outcome(plan, outcome.clone());
        }),
        Step::Return { host, outcome } => change_host(fleet, host, op, now, |record| {
            record.state = HostState::Serving;
            record.record_outcome(plan, outcome.clone());
        }),
    }
}

fn take_permit(placement: &mut Placement, host: &HostId, plan: &PlanId, now: Time) {
    let on_host = |(index, assigned): (usize, &Option<TaskAssignment>)| {
        let here = assigned.as_ref().is_some_and(|assigned| assigned.host == *host);
        here.then_some(index as u32)
    };
    let tasks = placement.tasks.iter().enumerate().filter_map(on_host).collect();
    placement.permits.insert(host.clone(), Permit { plan: plan.clone(), tasks, since: now });
}

/// Cancels the successors that a plan started for the tasks on a host.
fn cancel_successors(placement: &mut Placement, host: &HostId, plan: &PlanId) {
    let Placement { tasks, successors, .. } = placement;
    successors.retain(|index, successor| {
        let here = tasks.get(*index as usize).and_then(Option::as_ref);
        let here = here.is_some_and(|assigned| assigned.host == *host);
        !(here && successor.plan.as_ref() == Some(plan))
    });
}

/// Starts successors of tasks on new hosts. With `from`, only of tasks that are still there.
fn start_successors(
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
        let previous = placement.successors.get(index).map_or(0, |s| s.to.generation);
        let generation = assigned.generation.max(previous) + 1;
        let to = TaskAssignment { host: host.clone(), generation, since: now };
        placement.successors.insert(*index, Successor { to, plan: plan.cloned() });
    }
}

/// Applies a service's repair to its placement.
pub(crate) fn apply_repair(placement: &mut Placement, repair: &Repair, now: Time) {
    promote_successors(placement, &repair.swaps);
    relocate(placement, &repair.moves, None, now);
    let plans: BTreeMap<u32, Option<PlanId>> =
        placement.successors.iter().map(|(index, s)| (*index, s.plan.clone())).collect();
    for (index, host) in &repair.successors {
        let plan = plans.get(index).cloned().flatten();
        let moves = Moves::from([(*index, host.clone())]);
        start_successors(placement, &moves, None, plan.as_ref(), now);
    }
}

/// Replaces tasks by their successors.
fn promote_successors(placement: &mut Placement, indexes: &[u32]) {
    for index in indexes {
        let Some(successor) = placement.successors.remove(index) else { continue };
        if let Some(slot) = placement.tasks.get_mut(*index as usize) {
            *slot = Some(successor.to);
            placement.moves += 1;
        }
    }
}

/// Places tasks on new hosts. With `from`, only tasks that are still there.
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
        *slot = Some(TaskAssignment { host: host.clone(), generation, since: now });
    }
}

/// The record of a service's placement after a change.
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

/// The record of a host after a change, with the next epoch.
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
