//! Advances the plans that this node owns: carries out their next steps, each by one conditional
//! write.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::{
    decide::wave::{self, Step, WaveContext},
    model::{
        id::{HostId, OpId},
        plan::{Plan, PlanState},
        record::{Key, Record},
        unit::{Revision, Time},
    },
    node::{
        Node, control,
        view::View,
        write::{self, WriteResult},
    },
    platform::store::StoreError,
};

/// Maximum number of steps of a plan in one round, so that a long wave leaves store capacity for
/// other writes.
const MAX_STEPS: usize = 24;

/// Carries out the next steps of every plan that this node owns.
pub(crate) async fn advance(node: &Arc<Node>, now: Time) -> Result<(), StoreError> {
    for DuePlan { plan, steps, expected } in due(node, now) {
        take_steps(node, &plan, steps, expected, now).await?;
        mark_done(node, &plan, now).await?;
    }
    Ok(())
}

/// A plan's next steps, with the revisions of the records that they were computed from.
struct DuePlan {
    plan: Plan,
    steps: Vec<Step>,
    expected: HashMap<Key, Revision>,
}

fn due(node: &Node, now: Time) -> Vec<DuePlan> {
    let view = node.view();
    let is_active = |plan: &&Plan| match plan.state {
        PlanState::Running => true,
        // A cancelled plan is advanced until everything that it holds is released.
        PlanState::Cancelled => !wave::is_finished(&view.fleet, plan),
        PlanState::Proposed | PlanState::Done => false,
    };
    let owned = |plan: &&Plan| node.owns(&view, &format!("plan/{}", plan.id));
    let plans = view.fleet.plans.values().filter(is_active).filter(owned);
    let due = plans.map(|plan| {
        let steps = next_steps(node, &view, plan, now);
        let written = steps.iter().map(wave::key_of);
        let read = steps.iter().flat_map(|step| wave::dependencies(&view.fleet, step));
        let keys = written.chain(read);
        let expected = keys.map(|key| (key.clone(), view.fleet.revision(&key))).collect();
        DuePlan { plan: plan.clone(), steps, expected }
    });
    due.collect()
}

fn next_steps(node: &Node, view: &View, plan: &Plan, now: Time) -> Vec<Step> {
    let quiet = |host: &HostId, epoch| control::is_quiet(node, view, host, epoch);
    let rules = &node.settings.rules;
    let context = WaveContext { fleet: &view.fleet, is_quiet: &quiet, now, rules };
    let steps = plan.pools.keys().flat_map(|pool| wave::advance(&context, plan, pool).0);
    steps.take(MAX_STEPS).collect()
}

/// Carries out steps, each only if its record has not changed since the step was computed.
async fn take_steps(
    node: &Node,
    plan: &Plan,
    steps: Vec<Step>,
    mut expected: HashMap<Key, Revision>,
    now: Time,
) -> Result<(), StoreError> {
    let mut skipped: HashSet<HostId> = HashSet::new();
    for step in steps {
        let host = wave::host_of(&step).clone();
        // After a pause between two steps, the node computes them again in the next round.
        if !wave::is_timely(now, Time::now()) {
            return Ok(());
        }
        // A host whose earlier step could not be carried out is handled in the next round.
        if skipped.contains(&host) {
            continue;
        }
        let key = wave::key_of(&step);
        // A missing record is expected at revision 0, which creates it.
        let expect = expected.get(&key).copied().unwrap_or_default();
        let (record, dependencies) = {
            let view = node.view();
            let is_unchanged = view.fleet.revision(&key) == expect;
            let dependencies: Vec<(Key, Revision)> = wave::dependencies(&view.fleet, &step)
                .into_iter()
                .map(|key| (key.clone(), expected.get(&key).copied().unwrap_or_default()))
                .collect();
            let record = wave::effect(&view.fleet, &plan.id, &step, &OpId::fresh(), now);
            (record.filter(|_| is_unchanged), dependencies)
        };
        let Some(record) = record else {
            skipped.insert(host);
            continue;
        };
        match write::write_guarded(node, record, expect, &dependencies).await? {
            WriteResult::Done(revision) => {
                expected.insert(key, revision);
                log::info!("plan {}: host {host}: {}", plan.id, describe(&step));
            }
            WriteResult::Conflict => {
                skipped.insert(host);
            }
        }
    }
    Ok(())
}

async fn mark_done(node: &Node, plan: &Plan, now: Time) -> Result<(), StoreError> {
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
    if let WriteResult::Done(_) = write::write(node, record, expect).await? {
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
        Step::Release { service, .. } => format!("permit of service {service} released"),
        Step::Leave { .. } => "leaves".to_owned(),
        Step::Move { service, moves, .. } => {
            format!("{} tasks of service {service} moved", moves.len())
        }
        Step::Reboot { .. } => "reboots".to_owned(),
        Step::Join { pool, .. } => format!("joins pool {pool}"),
        Step::Quarantine { outcome, .. } => format!("quarantined: {outcome:?}"),
        Step::Return { outcome, .. } => format!("serves again: {outcome:?}"),
    }
}
