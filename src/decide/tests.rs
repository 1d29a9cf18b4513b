//! Tests of the decisions.

mod fuzz;

use std::time::Duration;

use crate::{
    decide::{plan, rehearse::Rehearsal, rules::Rules},
    measure::shape::{self, BEGIN},
    model::{
        fleet::Fleet,
        id::{HostId, OpId, PlanId},
        plan::{Action, Intent, Plan, PlanState},
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
