//! Drives the plans that this node owns: takes their next steps, one conditional write each.

use std::{collections::HashSet, sync::Arc};

use crate::{
    decide::wave::{self, Step},
    model::{
        id::{HostId, OpId, PoolId},
        plan::{Plan, PlanState},
        record::{Key, Record},
        unit::Time,
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
    for (plan, steps) in due(node, now) {
        take(node, &plan, steps, now).await?;
        finish(node, &plan, now).await?;
    }
    Ok(())
}

fn due(node: &Node, now: Time) -> Vec<(Plan, Vec<Step>)> {
    let view = node.view();
    let moving = |plan: &&Plan| match plan.state {
        PlanState::Running => true,
        // A cancelled plan is carried on until all that it holds is given back.
        PlanState::Cancelled => !wave::is_finished(&view.fleet, plan),
        PlanState::Proposed | PlanState::Done => false,
    };
    let owned = |plan: &&Plan| node.owns(&view, &format!("plan/{}", plan.id));
    let plans = view.fleet.plans.values().filter(moving).filter(owned);
    plans.map(|plan| (plan.clone(), next_steps(node, &view, plan, now))).collect()
}

fn next_steps(node: &Node, view: &View, plan: &Plan, now: Time) -> Vec<Step> {
    let quiet = |host: &HostId, epoch| control::is_quiet(node, view, host, epoch);
    let rules = &node.settings.rules;
    let pools: Vec<&PoolId> = plan.pools.keys().collect();
    let steps = pools
        .into_iter()
        .flat_map(|pool| wave::advance(&view.fleet, plan, pool, &quiet, now, rules).0);
    steps.take(STEPS).collect()
}

async fn take(node: &Node, plan: &Plan, steps: Vec<Step>, now: Time) -> Result<(), StoreError> {
    let mut refused: HashSet<HostId> = HashSet::new();
    for step in steps {
        let host = host_of(&step).clone();
        // A host whose earlier step was refused is looked at again in the next round.
        if refused.contains(&host) {
            continue;
        }
        let (record, expect) = {
            let view = node.view();
            let record = wave::effect(&view.fleet, &plan.id, &step, &OpId::fresh(), now);
            let Some(record) = record else { continue };
            let expect = view.fleet.revision(&record.key());
            (record, expect)
        };
        match write::write(node, record, expect).await? {
            Written::Yes(_) => log::info!("plan {}: host {host}: {}", plan.id, describe(&step)),
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

fn host_of(step: &Step) -> &HostId {
    match step {
        Step::Permit { host, .. }
        | Step::GiveBack { host, .. }
        | Step::Leave { host }
        | Step::Move { host, .. }
        | Step::Away { host }
        | Step::Join { host, .. }
        | Step::Quarantine { host, .. }
        | Step::Return { host, .. } => host,
    }
}

fn describe(step: &Step) -> String {
    match step {
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
