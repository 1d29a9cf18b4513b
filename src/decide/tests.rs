//! Tests of the decisions.

mod claims;
mod fuzz;

use std::time::Duration;

use crate::{
    decide::{
        plan,
        rehearse::Rehearsal,
        repair,
        rules::Rules,
        wave::{self, Outlook, Step},
    },
    measure::shape::{self, BEGIN},
    model::{
        fleet::Fleet,
        host::HostOutcome,
        id::{HostId, OpId, PlanId},
        plan::{Action, Intent, Plan, PlanState},
        record::Record,
        unit::Revision,
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
fn rehearsal_moves_each_task_of_a_drained_host() {
    let (fleet, rules) = tyrehub();
    let hosts: Vec<HostId> = fleet.hosts.keys().take(8).cloned().collect();
    let tasks: usize = hosts.iter().map(|host| fleet.tasks_on(host).len()).sum();
    assert_ne!(tasks, 0);
    let mut plan = propose(&fleet, drain(hosts), &rules);
    plan.state = PlanState::Running;
    let mut moves = 0;
    for pool in plan.pools.keys() {
        let report =
            Rehearsal::new(&fleet, &plan, pool, &rules, BEGIN).run(Duration::from_secs(86_400));
        assert!(report.finished);
        moves += report.moves as usize;
    }
    assert_eq!(moves, tasks);
}

/// Two operators confirm plans for the same host at one time, at two nodes: each plan comes to an
/// end, and the host is maintained once.
#[test]
fn of_two_plans_for_one_host_one_maintains_it() {
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
        fleet.heard = now;
        for plan in &plans {
            let quiet = |_: &HostId, _| true;
            let outlook = Outlook { fleet: &fleet, is_quiet: &quiet, now, rules: &rules };
            let steps = wave::advance(&outlook, plan, &pool).0;
            for step in steps {
                reboots += u32::from(matches!(step, Step::Away { .. }));
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
                wave::repaired(placement, &repair, now);
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
