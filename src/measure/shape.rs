//! Fleets in which every task is placed and ready, as the initial state of experiments and tests.

use crate::{
    decide::{plan, pools, repair, rules::Rules, wave},
    model::{
        fleet::Fleet,
        host::{HostRecord, HostReport, HostState, TaskReport},
        id::{OpId, ServiceId},
        plan::{Action, Intent, Plan},
        record::Record,
        unit::{Epoch, Revision, Time},
    },
    preset::Preset,
    standin::worker,
};

/// The start time of experiments; any value would do.
pub(crate) const BEGIN: Time = Time::from_millis(1_000_000_000_000);

/// Builds the fleet of a preset, with every task placed and ready.
pub(crate) fn build(preset: &Preset, rules: &Rules) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.config = preset.config.clone();
    fleet.through = 1;
    fleet.last_received = BEGIN;
    for number in 0..preset.hosts {
        let report = report(preset, number);
        fleet.reports.insert(report.host.clone(), report);
    }
    for (host, pool) in pools::assign(&fleet) {
        let record = HostRecord {
            pool,
            state: HostState::Serving,
            epoch: Epoch(1),
            since: BEGIN,
            op: op(),
            plan: None,
            ended: Vec::new(),
        };
        fleet.put(Record::Host(host, record), Revision(1));
    }
    let services: Vec<ServiceId> = fleet.config.services.keys().cloned().collect();
    for id in services {
        place(&mut fleet, &id, rules);
    }
    fleet
}

fn op() -> OpId {
    "shape".parse().expect("identifier is valid")
}

fn report(preset: &Preset, number: u32) -> HostReport {
    HostReport {
        host: worker::host_id(number),
        rack: worker::rack_id(number, preset.rack_size),
        zone: worker::zone_id(number, preset.rack_size, preset.zones),
        address: String::new(),
        capacity: preset.capacity,
        live: true,
        booted: Epoch(0),
        epoch: Epoch(1),
        tasks: Vec::new(),
        ending: 0,
    }
}

/// Places the tasks of a service, and reports them as ready.
fn place(fleet: &mut Fleet, id: &ServiceId, rules: &Rules) {
    let repair = repair::repair(fleet, id, BEGIN, rules);
    let record = wave::change_placement(fleet, id, &op(), |placement| {
        wave::apply_repair(placement, &repair, BEGIN);
    });
    record.into_iter().for_each(|record| fleet.put(record, Revision(1)));
    make_ready(fleet, id);
}

/// Makes the hosts report exactly the assigned tasks and successors of a service, all ready.
pub(crate) fn make_ready(fleet: &mut Fleet, id: &ServiceId) {
    let placement = fleet.placements.get(id).cloned().unwrap_or_default();
    fleet.reports.values_mut().for_each(|r| r.tasks.retain(|task| task.service != *id));
    let tasks = placement.tasks.iter().enumerate();
    let tasks = tasks.filter_map(|(index, assigned)| Some((index, assigned.as_ref()?)));
    let successors = placement.successors.iter().map(|(index, s)| (*index as usize, &s.to));
    for (index, assigned) in tasks.chain(successors) {
        let Some(report) = fleet.reports.get_mut(&assigned.host) else { continue };
        report.tasks.push(TaskReport {
            service: id.clone(),
            index: index as u32,
            generation: assigned.generation,
            ready: true,
            address: String::new(),
            in_flight: 0,
        });
    }
}

/// Proposes the plan of a rotation, which drains every host of the fleet.
pub(crate) fn rotation(fleet: &Fleet, rules: &Rules) -> Plan {
    let intent = Intent {
        action: Action::Drain,
        hosts: fleet.hosts.keys().cloned().collect(),
        deadline: None,
        reason: "rotation".to_owned(),
        by: "measure".to_owned(),
    };
    let id = "p-1".parse().expect("identifier is valid");
    plan::propose(fleet, id, op(), intent, BEGIN, rules)
}
