//! Care for one service's tasks: those that have no host, or whose host or start failed, are placed
//! elsewhere; successors that are ready take their tasks' places; and a service that could not
//! survive the loss of a failure domain is spread, by successors. Nothing here takes an available
//! task out.

use std::collections::BTreeMap;

use crate::{
    decide::{budget, place::Placer, pools, rules::Rules},
    model::{
        config::Service,
        fleet::{Fleet, TaskRef},
        host::HostState,
        id::{HostId, ServiceId},
        record::Assigned,
        unit::Time,
    },
};

/// New hosts for tasks of one service, by index.
pub(crate) type Moves = BTreeMap<u32, HostId>;

/// What one service needs now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Repair {
    /// Tasks to be placed on new hosts, because they run nowhere.
    pub(crate) moves: Moves,
    /// Tasks whose successors take their places.
    pub(crate) swaps: Vec<u32>,
    /// Tasks of which a successor is to start, in place of one that failed or to spread.
    pub(crate) successors: Moves,
    /// Why tasks found no host.
    pub(crate) refused: Vec<String>,
}

impl Repair {
    /// The hosts at which tasks are to run by it, which must take tasks still.
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

    /// Whether nothing is to be written.
    pub(crate) fn is_empty(&self) -> bool {
        self.moves.is_empty() && self.swaps.is_empty() && self.successors.is_empty()
    }
}

/// What one service needs now.
pub(crate) fn repair(fleet: &Fleet, id: &ServiceId, now: Time, rules: &Rules) -> Repair {
    let mut repair = Repair::default();
    let Some(service) = fleet.service(id) else { return repair };
    let mut placer = None;
    for index in 0..service.tasks {
        let task = TaskRef { service: id.clone(), index };
        let broken = is_broken(fleet, &task, service, now, rules);
        let successor = fleet.successor(&task).map(|successor| &successor.to);
        match successor {
            // A successor that is no worse takes the place of what is broken at once.
            Some(to)
                if is_ready(fleet, &task, to, now, rules) && (broken || !leaves(fleet, to)) =>
            {
                repair.swaps.push(index);
            }
            Some(to) if broken && !is_lost(fleet, &task, to, now, rules) => {
                repair.swaps.push(index);
            }
            // One that is to start on a host that leaves would have to move on with it.
            Some(to) if !broken && !is_lost(fleet, &task, to, now, rules) && !leaves(fleet, to) => {
            }
            None if !broken => {}
            _ => {
                let placer = placer.get_or_insert_with(|| Placer::new(fleet, now, rules));
                let from = fleet.assigned(&task).map(|assigned| &assigned.host);
                match placer.place(id, service, from) {
                    Ok(host) if broken => drop(repair.moves.insert(index, host)),
                    Ok(host) => drop(repair.successors.insert(index, host)),
                    Err(error) => repair.refused.push(format!("task {id}/{index}: {error}")),
                }
            }
        }
    }
    if repair.is_empty() {
        repair.successors = spread(fleet, id, service, now, rules);
    }
    repair
}

/// Whether a start of a task is on a host that a plan is about to take away.
fn leaves(fleet: &Fleet, at: &Assigned) -> bool {
    fleet.hosts.get(&at.host).is_some_and(|host| host.state == HostState::Closing)
}

/// Whether a start of a task answers, where it may.
fn is_ready(fleet: &Fleet, task: &TaskRef, at: &Assigned, now: Time, rules: &Rules) -> bool {
    let serves = fleet.hosts.get(&at.host).is_some_and(|host| host.state.serves());
    let live = fleet.is_live(&at.host, now, rules.list_limit);
    serves && live && fleet.reported_at(task, at).is_some_and(|report| report.ready)
}

/// Whether a start of a task has failed for good.
fn is_lost(fleet: &Fleet, task: &TaskRef, at: &Assigned, now: Time, rules: &Rules) -> bool {
    let Some(record) = fleet.hosts.get(&at.host) else { return true };
    if fleet.is_dead(&at.host, now, rules.list_limit) || !record.state.serves() {
        return true;
    }
    // A list that cannot be read says nothing of a task.
    let live = fleet.is_live(&at.host, now, rules.list_limit);
    let late = rules.start_limit < now.since(at.since);
    live && late && !fleet.reported_at(task, at).is_some_and(|report| report.ready)
}

/// Whether a task must be placed elsewhere for a failure's sake.
fn is_broken(fleet: &Fleet, task: &TaskRef, service: &Service, now: Time, rules: &Rules) -> bool {
    let Some(assigned) = fleet.assigned(task) else {
        // While hosts still join the pool, the first ones would get all of the tasks.
        return !pools::is_filling(fleet, &service.pool);
    };
    let state = fleet.hosts.get(&assigned.host).map(|record| record.state);
    let dead = fleet.is_dead(&assigned.host, now, rules.list_limit);
    // The plan that holds a leaving host moves its tasks when it is quiet.
    if state == Some(HostState::Leaving) && !dead {
        return false;
    }
    is_lost(fleet, task, assigned, now, rules)
}

/// One successor, if a service could not survive its worst failure domain and another place is
/// better. One at a time: each changes what the next should be.
fn spread(fleet: &Fleet, id: &ServiceId, service: &Service, now: Time, rules: &Rules) -> Moves {
    let none = Moves::new();
    let standing = budget::standing(fleet, id, service, now, rules);
    // Services without successors also need room for a permit.
    let permit = u32::from(!service.surge);
    let needed = standing.down.len() as u32 + standing.reserve() + permit;
    let moving = fleet.placements.get(id).is_some_and(|p| !p.successors.is_empty());
    if needed <= standing.max_down || moving || pools::is_filling(fleet, &service.pool) {
        return none;
    }
    let in_worst = |index: &u32| {
        let assigned = fleet.assigned(&TaskRef { service: id.clone(), index: *index });
        let report = assigned.and_then(|assigned| fleet.reports.get(&assigned.host));
        report.is_some_and(|report| standing.is_worst(&report.rack, &report.zone))
    };
    let mut up = (0..service.tasks).filter(|index| !standing.down.contains(index));
    let Some(index) = up.rfind(in_worst) else { return none };
    let task = TaskRef { service: id.clone(), index };
    let Some(from) = fleet.assigned(&task).map(|assigned| &assigned.host) else { return none };
    let Ok(to) = Placer::new(fleet, now, rules).place(id, service, Some(from)) else {
        return none;
    };
    let Some(report) = fleet.reports.get(&to) else { return none };
    if standing.reserve() <= standing.reserve_with(&report.rack, &report.zone) {
        return none;
    }
    Moves::from([(index, to)])
}
