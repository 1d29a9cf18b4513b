//! Drives the plans that this node owns: takes their next steps, one conditional write each.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::{
    decide::wave::{self, Outlook, Step},
    model::{
        id::{HostId, OpId},
        plan::{Plan, PlanState},
        record::{Key, Record},
        unit::{Revision, Time},
    },
    node::{
        Node, control,
        view::View,
        write::{self, Written},
    },
    platform::store::StoreError,
};

/// Steps of one round, so that a long wave leaves the store room for others.
const STEPS: usize = 24;

/// Takes the next steps of every plan that this node owns.
pub(crate) async fn plans(node: &Arc<Node>, now: Time) -> Result<(), StoreError> {
    for Due { plan, steps, expected } in due(node, now) {
        take(node, &plan, steps, expected, now).await?;
        finish(node, &plan, now).await?;
    }
    Ok(())
}

/// A plan's next steps, with the revisions of the records that they were worked out from.
struct Due {
    plan: Plan,
    steps: Vec<Step>,
    expected: HashMap<Key, Revision>,
}

fn due(node: &Node, now: Time) -> Vec<Due> {
    let view = node.view();
    let moving = |plan: &&Plan| match plan.state {
        PlanState::Running => true,
        // A cancelled plan is carried on until all that it holds is given back.
        PlanState::Cancelled => !wave::is_finished(&view.fleet, plan),
        PlanState::Proposed | PlanState::Done => false,
    };
    let owned = |plan: &&Plan| node.owns(&view, &format!("plan/{}", plan.id));
    let plans = view.fleet.plans.values().filter(moving).filter(owned);
    let due = plans.map(|plan| {
        let steps = next_steps(node, &view, plan, now);
        let written = steps.iter().map(wave::key_of);
        let read = steps.iter().flat_map(|step| wave::rests_on(&view.fleet, step));
        let keys = written.chain(read);
        let expected = keys.map(|key| (key.clone(), view.fleet.revision(&key))).collect();
        Due { plan: plan.clone(), steps, expected }
    });
    due.collect()
}

fn next_steps(node: &Node, view: &View, plan: &Plan, now: Time) -> Vec<Step> {
    let quiet = |host: &HostId, epoch| control::is_quiet(node, view, host, epoch);
    let rules = &node.settings.rules;
    let outlook = Outlook { fleet: &view.fleet, is_quiet: &quiet, now, rules };
    let steps = plan.pools.keys().flat_map(|pool| wave::advance(&outlook, plan, pool).0);
    steps.take(STEPS).collect()
}

/// Takes steps, each only if nobody else has changed its record since it was worked out.
async fn take(
    node: &Node,
    plan: &Plan,
    steps: Vec<Step>,
    mut expected: HashMap<Key, Revision>,
    now: Time,
) -> Result<(), StoreError> {
    let mut refused: HashSet<HostId> = HashSet::new();
    for step in steps {
        let host = wave::host_of(&step).clone();
        // A node that was paused between two steps looks again before it goes on.
        if !wave::is_timely(now, Time::now()) {
            return Ok(());
        }
        // A host whose earlier step was refused is looked at again in the next round.
        if refused.contains(&host) {
            continue;
        }
        let key = wave::key_of(&step);
        // A record that is not there is expected at revision 0: it is created.
        let expect = expected.get(&key).copied().unwrap_or_default();
        let (record, rests_on) = {
            let view = node.view();
            let same = view.fleet.revision(&key) == expect;
            let rests_on: Vec<(Key, Revision)> = wave::rests_on(&view.fleet, &step)
                .into_iter()
                .map(|key| (key.clone(), expected.get(&key).copied().unwrap_or_default()))
                .collect();
            let record = wave::effect(&view.fleet, &plan.id, &step, &OpId::fresh(), now);
            (record.filter(|_| same), rests_on)
        };
        let Some(record) = record else {
            refused.insert(host);
            continue;
        };
        match write::write_guarded(node, record, expect, &rests_on).await? {
            Written::Yes(revision) => {
                expected.insert(key, revision);
                log::info!("plan {}: host {host}: {}", plan.id, describe(&step));
            }
            Written::Conflict => {
                refused.insert(host);
            }
        }
    }
    Ok(())
}

async fn finish(node: &Node, plan: &Plan, now: Time) -> Result<(), StoreError> {
    let (record, expect) = {
        let view = node.view();
        let Some(plan) = view.fleet.plans.get(&plan.id) else {
            return Ok(());
        };
        if plan.state != PlanState::Running || !wave::is_finished(&view.fleet, plan) {
            return Ok(());
        }
        let mut done = plan.clone();
        done.state = PlanState::Done;
        done.since = now;
        done.op = OpId::fresh();
        let record = Record::Plan(done.id.clone(), Box::new(done));
        (record, view.fleet.revision(&Key::Plan(plan.id.clone())))
    };
    if let Written::Yes(_) = write::write(node, record, expect).await? {
        log::info!("plan {}: done", plan.id);
    }
    Ok(())
}

fn describe(step: &Step) -> String {
    match step {
        Step::Close { .. } => "closes".to_owned(),
        Step::Prepare { service, moves, .. } => {
            format!("{} successors of service {service} start", moves.len())
        }
        Step::Permit { service, .. } => format!("permit of service {service} taken"),
        Step::GiveBack { service, .. } => format!("permit of service {service} given back"),
        Step::Leave { .. } => "leaves".to_owned(),
        Step::Move { service, moves, .. } => {
            format!("{} tasks of service {service} moved", moves.len())
        }
        Step::Away { .. } => "reboots".to_owned(),
        Step::Join { pool, .. } => format!("joins pool {pool}"),
        Step::Quarantine { outcome, .. } => format!("quarantined: {outcome:?}"),
        Step::Return { outcome, .. } => format!("serves again: {outcome:?}"),
    }
}
