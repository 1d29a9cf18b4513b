//! Repair of one service's tasks. Tasks without a host, or whose host or start has failed, are
//! placed elsewhere; ready successors replace their tasks; and a service whose budget does not
//! cover the loss of its largest failure domain is spread out by successors. Repair never takes an
//! available task down.

use std::collections::BTreeMap;

use crate::{
    decide::{budget, place::Placer, pools, rules::Rules},
    model::{
        config::Service,
        fleet::{Fleet, TaskRef},
        host::HostState,
        id::{HostId, ServiceId},
        record::TaskAssignment,
        unit::Time,
    },
};

/// New hosts of one service's tasks, by task index.
pub(crate) type Moves = BTreeMap<u32, HostId>;

/// Changes that one service needs now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Repair {
    /// Tasks to place on new hosts, because they run nowhere.
    pub(crate) moves: Moves,
    /// Tasks to replace by their successors.
    pub(crate) swaps: Vec<u32>,
    /// Tasks that need a new successor, to replace one that failed or to spread the service.
    pub(crate) successors: Moves,
    /// Why tasks could not be placed.
    pub(crate) unplaced: Vec<String>,
}

impl Repair {
    /// The hosts on which tasks are to run after the repair: these must still accept tasks when it
    /// is written.
    pub(crate) fn targets<'a>(
        &'a self,
        fleet: &'a Fleet,
        id: &'a ServiceId,
    ) -> impl Iterator<Item = &'a HostId> {
        let successors = fleet.placements.get(id).map(|placement| &placement.successors);
        let swapped = self.swaps.iter().filter_map(move |index| successors?.get(index));
        let placed = self.moves.values().chain(self.successors.values());
        placed.chain(swapped.map(|successor| &successor.to.host))
    }

    /// Whether there is nothing to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.moves.is_empty() && self.swaps.is_empty() && self.successors.is_empty()
    }
}

/// Computes the changes that one service needs now.
pub(crate) fn repair(fleet: &Fleet, id: &ServiceId, now: Time, rules: &Rules) -> Repair {
    let mut repair = Repair::default();
    let Some(service) = fleet.service(id) else { return repair };
    let mut placer = None;
    for index in 0..service.tasks {
        let task = TaskRef { service: id.clone(), index };
        let failed = has_failed(fleet, &task, service, now, rules);
        let successor = fleet.successor(&task).map(|successor| &successor.to);
        match successor {
            // A successor replaces its task when it is ready, unless its host is closing. A failed
            // task is replaced at once, also by a successor that is still starting.
            Some(to)
                if is_ready(fleet, &task, to, now, rules)
                    && (failed || !is_on_closing_host(fleet, to)) =>
            {
                repair.swaps.push(index);
            }
            Some(to) if failed && !start_has_failed(fleet, &task, to, now, rules) => {
                repair.swaps.push(index);
            }
            // Wait for a starting successor, unless its host is closing: it would have to move
            // again.
            Some(to)
                if !failed
                    && !start_has_failed(fleet, &task, to, now, rules)
                    && !is_on_closing_host(fleet, to) => {}
            None if !failed => {}
            _ => {
                let placer = placer.get_or_insert_with(|| Placer::new(fleet, now, rules));
                let from = fleet.assigned(&task).map(|assigned| &assigned.host);
                match placer.place(id, service, from) {
                    Ok(host) if failed => drop(repair.moves.insert(index, host)),
                    Ok(host) => drop(repair.successors.insert(index, host)),
                    Err(error) => repair.unplaced.push(format!("task {id}/{index}: {error}")),
                }
            }
        }
    }
    if repair.is_empty() {
        repair.successors = spread(fleet, id, service, now, rules);
    }
    repair
}

/// Whether a start of a task is on a host that a plan is closing.
fn is_on_closing_host(fleet: &Fleet, at: &TaskAssignment) -> bool {
    fleet.hosts.get(&at.host).is_some_and(|host| host.state == HostState::Closing)
}

/// Whether a start of a task is ready on a live host that serves.
fn is_ready(fleet: &Fleet, task: &TaskRef, at: &TaskAssignment, now: Time, rules: &Rules) -> bool {
    let serves = fleet.hosts.get(&at.host).is_some_and(|host| host.state.serves());
    let live = fleet.is_live(&at.host, now, rules.list_limit);
    serves && live && fleet.reported_at(task, at).is_some_and(|report| report.ready)
}

/// Whether a start of a task has failed: its host is dead or out, or it is not ready in time.
fn start_has_failed(
    fleet: &Fleet,
    task: &TaskRef,
    at: &TaskAssignment,
    now: Time,
    rules: &Rules,
) -> bool {
    let Some(record) = fleet.hosts.get(&at.host) else { return true };
    if fleet.is_dead(&at.host, now, rules.list_limit) || !record.state.serves() {
        return true;
    }
    // Without a current host list, the state of the task is unknown.
    let live = fleet.is_live(&at.host, now, rules.list_limit);
    let overdue = rules.start_limit < now.since(at.since);
    live && overdue && !fleet.reported_at(task, at).is_some_and(|report| report.ready)
}

/// Whether a task has no host, or must be replaced because of a failure.
fn has_failed(fleet: &Fleet, task: &TaskRef, service: &Service, now: Time, rules: &Rules) -> bool {
    let Some(assigned) = fleet.assigned(task) else {
        // While hosts are still joining the pool, the first ones would get all of the tasks.
        return !pools::is_filling(fleet, &service.pool);
    };
    let state = fleet.hosts.get(&assigned.host).map(|record| record.state);
    let dead = fleet.is_dead(&assigned.host, now, rules.list_limit);
    // The plan that holds a leaving host moves its tasks once the host is quiet.
    if state == Some(HostState::Leaving) && !dead {
        return false;
    }
    start_has_failed(fleet, task, assigned, now, rules)
}

/// Returns one successor to start if a service's budget does not cover the loss of its largest
/// failure domain and another host would reduce that loss. One at a time, because each changes
/// which task should move next.
fn spread(fleet: &Fleet, id: &ServiceId, service: &Service, now: Time, rules: &Rules) -> Moves {
    let none = Moves::new();
    let status = budget::status(fleet, id, service, now, rules);
    // Services without successors also need budget for one permit.
    let permit = u32::from(!service.surge);
    let needed = status.down.len() as u32 + status.reserve() + permit;
    let has_successors = fleet.placements.get(id).is_some_and(|p| !p.successors.is_empty());
    if needed <= status.max_down || has_successors || pools::is_filling(fleet, &service.pool) {
        return none;
    }
    let in_worst_domain = |index: &u32| {
        let assigned = fleet.assigned(&TaskRef { service: id.clone(), index: *index });
        let report = assigned.and_then(|assigned| fleet.reports.get(&assigned.host));
        report.is_some_and(|report| status.is_worst_domain(&report.rack, &report.zone))
    };
    let mut up = (0..service.tasks).filter(|index| !status.down.contains(index));
    let Some(index) = up.rfind(in_worst_domain) else { return none };
    let task = TaskRef { service: id.clone(), index };
    let Some(from) = fleet.assigned(&task).map(|assigned| &assigned.host) else { return none };
    let Ok(to) = Placer::new(fleet, now, rules).place(id, service, Some(from)) else {
        return none;
    };
    let Some(report) = fleet.reports.get(&to) else { return none };
    if status.reserve() <= status.reserve_with(&report.rack, &report.zone) {
        return none;
    }
    Moves::from([(index, to)])
}
