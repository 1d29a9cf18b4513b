//! Repair: tasks that have no host, or whose host or start failed, are placed elsewhere. Nothing
//! here takes an available task out.

use std::collections::BTreeMap;

use crate::{
    decide::{place::Placer, rules::Rules},
    model::{
        fleet::{Fleet, TaskRef},
        host::HostState,
        id::{HostId, ServiceId},
        unit::Time,
    },
};

/// New hosts for tasks of one service, by index.
pub(crate) type Moves = BTreeMap<u32, HostId>;

/// The moves that one service needs now because of failures, and the reason of each task that no
/// host can take.
pub(crate) fn repair(
    fleet: &Fleet,
    id: &ServiceId,
    now: Time,
    rules: &Rules,
) -> (Moves, Vec<String>) {
    let mut moves = Moves::new();
    let mut refused = Vec::new();
    let Some(service) = fleet.service(id) else {
        return (moves, refused);
    };
    let broken: Vec<TaskRef> = (0..service.tasks)
        .map(|index| TaskRef { service: id.clone(), index })
        .filter(|task| is_broken(fleet, task, now, rules))
        .collect();
    if broken.is_empty() {
        return (moves, refused);
    }
    let mut placer = Placer::new(fleet, now, rules);
    for task in broken {
        let from = fleet.assigned(&task).map(|assigned| &assigned.host);
        match placer.place(id, service, from) {
            Ok(host) => {
                moves.insert(task.index, host);
            }
            Err(error) => refused.push(format!("task {id}/{}: {error}", task.index)),
        }
    }
    (moves, refused)
}

/// Whether a task must be placed elsewhere for a failure's sake.
fn is_broken(fleet: &Fleet, task: &TaskRef, now: Time, rules: &Rules) -> bool {
    let Some(assigned) = fleet.assigned(task) else {
        return true;
    };
    let Some(record) = fleet.hosts.get(&assigned.host) else {
        return true;
    };
    if fleet.is_dead(&assigned.host, now, rules.list_limit) {
        return true;
    }
    if !fleet.is_live(&assigned.host, now, rules.list_limit) {
        return false;
    }
    match record.state {
        // The plan that holds the host moves the task when the host is quiet.
        HostState::Leaving => false,
        HostState::Away | HostState::Quarantined => true,
        HostState::Serving => {
            let ready = fleet.reported(task).is_some_and(|report| report.ready);
            !ready && rules.start_limit < now.since(assigned.since)
        }
    }
}
