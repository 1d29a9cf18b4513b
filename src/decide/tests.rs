//! Tests of the decisions.

mod claims;
mod fuzz;

use std::time::Duration;

use crate::{
    decide::{
        budget, plan, repair,
        rules::Rules,
        simulate::Simulation,
        wave::{self, Step, WaveContext},
    },
    measure::shape::{self, BEGIN},
    model::{
        fleet::Fleet,
        host::{HostOutcome, TaskReport},
        id::{HostId, OpId, PlanId},
        plan::{Action, Intent, Plan, PlanState},
        record::{Key, Placement, Record, Successor, TaskAssignment},
        unit::{Revision, Time},
    },
    preset,
};

fn tyrehub() -> (Fleet, Rules) {
    let rules = Rules::default();
    (shape::build(&preset::tyrehub(), &rules), rules)
}

fn drain(hosts: impl IntoIterator<Item = HostId>) -> Intent {
    Intent {
        action: Action::Drain,
        hosts: hosts.into_iter().collect(),
        deadline: None,
        reason: "patching".to_owned(),
        by: "test".to_owned(),
    }
}

fn propose(fleet: &Fleet, intent: Intent, rules: &Rules) -> Plan {
    let (id, op): (PlanId, OpId) = ("p-1".parse().unwrap(), "op".parse().unwrap());
    plan::propose(fleet, id, op, intent, BEGIN, rules)
}

#[test]
fn simulation_moves_each_task_of_a_drained_host() {
    let (fleet, rules) = tyrehub();
    let hosts: Vec<HostId> = fleet.hosts.keys().take(8).cloned().collect();
    let tasks: usize = hosts.iter().map(|host| fleet.tasks_on(host).len()).sum();
    assert_ne!(tasks, 0);
    let mut plan = propose(&fleet, drain(hosts), &rules);
    plan.state = PlanState::Running;
    let mut moves = 0;
    for pool in plan.pools.keys() {
        let report =
            Simulation::new(&fleet, &plan, pool, &rules, BEGIN).run(Duration::from_secs(86_400));
        assert!(report.finished);
        moves += report.moves as usize;
    }
    assert_eq!(moves, tasks);
}

/// Two operators confirm plans for the same host at the same time, at two nodes: both plans must
/// finish, and the host must be rebooted only once.
#[test]
fn two_plans_for_one_host_reboot_it_once() {
    let (mut fleet, rules) = tyrehub();
    let host: HostId = fleet.hosts.keys().next().unwrap().clone();
    let pool = fleet.hosts[&host].pool.clone();
    let mut plans = Vec::new();
    for name in ["p-1", "p-2"] {
        let intent = drain([host.clone()]);
        let id: PlanId = name.parse().unwrap();
        let op = "op".parse().unwrap();
        let mut plan = plan::propose(&fleet, id, op, intent, BEGIN, &rules);
        plan.state = PlanState::Running;
        plans.push(plan);
    }
    for plan in &plans {
        fleet.put(Record::Plan(plan.id.clone(), Box::new(plan.clone())), Revision(2));
    }
    let mut reboots = 0;
    let mut now = BEGIN;
    for _ in 0..40 {
        now = now + Duration::from_secs(30);
        fleet.last_received = now;
        for plan in &plans {
            let quiet = |_: &HostId, _| true;
            let context = WaveContext { fleet: &fleet, is_quiet: &quiet, now, rules: &rules };
            let steps = wave::advance(&context, plan, &pool).0;
            for step in steps {
                reboots += u32::from(matches!(step, Step::Reboot { .. }));
                let op = "op".parse().unwrap();
                let record = wave::effect(&fleet, &plan.id, &step, &op, now).unwrap();
                fleet.put(record, Revision(3));
            }
        }
        let services: Vec<_> = fleet.config.services.keys().cloned().collect();
        for id in services {
            shape::make_ready(&mut fleet, &id);
            let repair = repair::repair(&fleet, &id, now, &rules);
            let op = "op".parse().unwrap();
            let record = wave::change_placement(&fleet, &id, &op, |placement| {
                wave::apply_repair(placement, &repair, now);
            });
            fleet.put(record.unwrap(), Revision(3));
        }
        let report = fleet.reports.get_mut(&host).unwrap();
        report.epoch = fleet.hosts[&host].epoch;
        report.booted = fleet.hosts[&host].epoch;
    }
    assert_eq!(reboots, 1);
    assert!(plans.iter().all(|plan| wave::is_finished(&fleet, plan)));
    let record = &fleet.hosts[&host];
    assert_eq!(record.outcome(&plans[0].id), Some(&HostOutcome::Done));
    assert!(matches!(record.outcome(&plans[1].id), Some(HostOutcome::Skipped(_))));
}

/// A fleet whose services allow no successors, and in which a plan has closed one host.
fn fleet_with_closing_host() -> (Fleet, Rules, Plan, HostId) {
    let rules = Rules::default();
    let mut preset = preset::tyrehub();
    preset.config.services.values_mut().for_each(|service| service.surge = false);
    let mut fleet = shape::build(&preset, &rules);
    let host = fleet.placements[&"quotes".parse().unwrap()].tasks[0].clone().unwrap().host;
    let mut plan = propose(&fleet, drain([host.clone()]), &rules);
    plan.state = PlanState::Running;
    fleet.put(Record::Plan(plan.id.clone(), Box::new(plan.clone())), Revision(2));
    let step = Step::Close { host: host.clone() };
    let op = "op".parse().unwrap();
    let record = wave::effect(&fleet, &plan.id, &step, &op, BEGIN).unwrap();
    fleet.put(record, Revision(3));
    (fleet, rules, plan, host)
}

fn next_steps(fleet: &Fleet, plan: &Plan, rules: &Rules, now: Time) -> Vec<Step> {
    let quiet = |_: &HostId, _| true;
    let context = WaveContext { fleet, is_quiet: &quiet, now, rules };
    plan.pools.keys().flat_map(|pool| wave::advance(&context, plan, pool).0).collect()
}

/// Guards against a host leaving without using any budget: with a stale host list, every task
/// counts as down already.
#[test]
fn stale_host_list_prevents_leave() {
    let (fleet, rules, plan, host) = fleet_with_closing_host();
    let may_leave =
        |now| next_steps(&fleet, &plan, &rules, now).contains(&Step::Leave { host: host.clone() });
    assert!(may_leave(BEGIN));
    assert!(!may_leave(BEGIN + rules.list_limit));
}

/// Tasks with permits taken before a pause count as down already, so the host could leave without a
/// check although other hosts had failed in the meantime.
#[test]
fn permits_held_across_a_pause_are_checked_again() {
    let (mut fleet, rules, plan, host) = fleet_with_closing_host();
    for service in budget::services_on(&fleet, &host) {
        let step = Step::Permit { host: host.clone(), service };
        let op = "op".parse().unwrap();
        let record = wave::effect(&fleet, &plan.id, &step, &op, BEGIN).unwrap();
        fleet.put(record, Revision(4));
    }
    assert!(next_steps(&fleet, &plan, &rules, BEGIN).contains(&Step::Leave { host: host.clone() }));
    let quotes = fleet.placements[&"quotes".parse().unwrap()].clone();
    let others = quotes.tasks.iter().flatten().map(|assigned| assigned.host.clone());
    let others: Vec<HostId> = others.filter(|other| *other != host).take(2).collect();
    for other in others {
        fleet.reports.get_mut(&other).unwrap().live = false;
    }
    let steps = next_steps(&fleet, &plan, &rules, BEGIN);
    assert!(!steps.contains(&Step::Leave { host: host.clone() }), "{steps:?}");
    assert!(steps.iter().any(|step| matches!(step, Step::Release { .. })), "{steps:?}");
}

/// A permit that another plan has taken but not used yet counts as down, because its host may leave
/// at any moment.
#[test]
fn unused_permits_of_other_plans_count_as_down() {
    let (mut fleet, rules, plan, host) = fleet_with_closing_host();
    let leave = Step::Leave { host: host.clone() };
    assert!(next_steps(&fleet, &plan, &rules, BEGIN).contains(&leave));
    let quotes = fleet.placements[&"quotes".parse().unwrap()].clone();
    let others = quotes.tasks.iter().flatten().map(|assigned| assigned.host.clone());
    let others: Vec<HostId> = others.filter(|other| *other != host).take(2).collect();
    for other in others {
        let step = Step::Permit { host: other, service: "quotes".parse().unwrap() };
        let (other_plan, op) = ("p-2".parse().unwrap(), "op".parse().unwrap());
        let record = wave::effect(&fleet, &other_plan, &step, &op, BEGIN).unwrap();
        fleet.put(record, Revision(4));
    }
    assert!(!next_steps(&fleet, &plan, &rules, BEGIN).contains(&leave));
}

/// Like `fleet_with_closing_host`, with a task on another host whose successor is ready on the
/// closing one.
fn fleet_with_incoming_successor() -> (Fleet, Rules, Plan, HostId, u32) {
    let (mut fleet, rules, plan, host) = fleet_with_closing_host();
    let service = "quotes".parse().unwrap();
    let mut placement: Placement = fleet.placements[&service].clone();
    let here = |task: &Option<TaskAssignment>| task.as_ref().is_some_and(|task| task.host == host);
    let index = placement.tasks.iter().position(|task| !here(task)).unwrap() as u32;
    let to = TaskAssignment { host: host.clone(), generation: 7, since: BEGIN };
    placement.successors.insert(index, Successor { to, plan: None });
    fleet.put(Record::Placement(service.clone(), placement), Revision(4));
    fleet.reports.get_mut(&host).unwrap().tasks.push(TaskReport {
        service,
        index,
        generation: 7,
        ready: true,
        address: String::new(),
        in_flight: 0,
    });
    (fleet, rules, plan, host, index)
}

#[test]
fn successor_on_closing_host_does_not_replace_its_task() {
    let (fleet, rules, _, host, index) = fleet_with_incoming_successor();
    let repair = repair::repair(&fleet, &"quotes".parse().unwrap(), BEGIN, &rules);
    assert!(!repair.swaps.contains(&index));
    assert!(repair.successors.get(&index).is_some_and(|other| *other != host));
}

#[test]
fn host_with_incoming_successor_does_not_leave() {
    let (fleet, rules, plan, host, _) = fleet_with_incoming_successor();
    let steps = next_steps(&fleet, &plan, &rules, BEGIN);
    assert!(!steps.contains(&Step::Leave { host }), "{steps:?}");
}

#[test]
fn host_leaves_only_with_permits_of_its_plan() {
    let (mut fleet, _, plan, host) = fleet_with_closing_host();
    let leave = Step::Leave { host: host.clone() };
    let op: OpId = "op".parse().unwrap();
    for service in budget::services_on(&fleet, &host) {
        assert_eq!(wave::effect(&fleet, &plan.id, &leave, &op, BEGIN), None, "{service}");
        let step = Step::Permit { host: host.clone(), service };
        fleet.put(wave::effect(&fleet, &plan.id, &step, &op, BEGIN).unwrap(), Revision(4));
    }
    assert!(wave::effect(&fleet, &plan.id, &leave, &op, BEGIN).is_some());
    let other = "p-9".parse().unwrap();
    assert_eq!(wave::effect(&fleet, &other, &leave, &op, BEGIN), None);
}

/// The tasks of a host are stored in the placements of services, not in the host's record.
#[test]
fn leave_and_reboot_depend_on_placements_of_the_pool() {
    let (fleet, _, _, host) = fleet_with_closing_host();
    let pool = &fleet.hosts[&host].pool;
    let services = fleet.config.services.iter().filter(|(_, service)| service.pool == *pool);
    let placements: Vec<Key> = services.map(|(id, _)| Key::Placement(id.clone())).collect();
    assert!(1 < placements.len());
    let reboot = Step::Reboot { host: host.clone() };
    for step in [Step::Leave { host: host.clone() }, reboot] {
        assert_eq!(wave::dependencies(&fleet, &step), placements, "{step:?}");
    }
}

/// A confirmation whose answer was lost is sent again and finds its own write, which must not be
/// reported as a conflict.
#[test]
fn repeated_confirmation_recognizes_only_its_own_write() {
    let (fleet, rules) = tyrehub();
    let hosts: Vec<HostId> = fleet.hosts.keys().take(1).cloned().collect();
    let plan = propose(&fleet, drain(hosts), &rules);
    let mut fleet = fleet;
    fleet.plans.insert(plan.id.clone(), plan.clone());
    let confirm = |op: &str, by: &str| {
        let op = op.parse().unwrap();
        plan::confirm(&fleet, &plan.id, &plan.digest, by, op, BEGIN, &rules).unwrap()
    };
    let (own, other) = (confirm("op-1", "one"), confirm("op-2", "two"));
    assert!(own.is_same_decision(&own.clone()));
    assert!(!own.is_same_decision(&other));
    let cancelled = plan::cancel(&fleet, &plan.id, "two", "op-3".parse().unwrap(), BEGIN).unwrap();
    assert!(!own.is_same_decision(&cancelled));
    assert!(!own.is_same_decision(&plan));
}
