//! The control loop: joins hosts to pools, repairs placements, drives plans and folds old changes
//! of the configuration, each where this node is the one to do it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    decide::{
        pools,
        repair::{self, Repair},
        wave::{self, Outlook},
    },
    model::{
        config::ConfigBase,
        host::{HostRecord, HostState},
        id::{HostId, OpId, PlanId, PoolId, ServiceId},
        plan::PlanState,
        record::{Key, Record},
        unit::{Epoch, Revision, Time},
    },
    node::{
        Node, drive,
        view::View,
        write::{self, Written},
    },
    platform::store::StoreError,
};

/// A loop that took longer than this was paused: what it knows may be void.
const PAUSED: Duration = Duration::from_secs(2);
/// Between two rounds when nothing has changed and no plan is under way.
const IDLE: Duration = Duration::from_secs(1);
/// Changes of the configuration that are kept one by one.
const CHANGES_KEPT: usize = 256;
/// Hosts that join pools in one round, to spread the writes over time.
const JOINS: usize = 8;

/// Runs for as long as the node does, and ends when the node leaves.
pub(crate) async fn control(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let mut before = Time::now();
    let mut acted = Time::default();
    loop {
        let wait = tokio::time::sleep(node.settings.timing.control);
        tokio::select! {
            () = wait => {}
            () = node.leaving.cancelled() => return,
        }
        let now = Time::now();
        let paused = PAUSED < now.since(before);
        before = now;
        if paused {
            log::warn!("node {}: was paused; looking again before acting", node.id());
            node.view().verified = Time::default();
            continue;
        }
        if !node.is_current(&node.view(), now) {
            continue;
        }
        // Without a change or a plan that is under way, only the passing of time matters.
        let new = changed.has_changed().unwrap_or(true);
        if !new && !has_work(&node) && now.since(acted) < IDLE {
            continue;
        }
        changed.borrow_and_update();
        acted = now;
        if let Err(error) = round(&node, now).await {
            log::info!("control: {error}");
        }
    }
}

/// Whether a plan is under way, whose next step may depend on nodes' words alone.
fn has_work(node: &Node) -> bool {
    let view = node.view();
    view.fleet.hosts.values().any(|record| record.plan.is_some())
        || view.fleet.plans.values().any(|plan| plan.state == PlanState::Running)
}

async fn round(node: &Arc<Node>, now: Time) -> Result<(), StoreError> {
    join_pools(node, now).await?;
    repair_placements(node, now).await?;
    drive::plans(node, now).await?;
    fold_changes(node).await
}

async fn join_pools(node: &Node, now: Time) -> Result<(), StoreError> {
    let joins: Vec<(HostId, PoolId)> = {
        let view = node.view();
        if !node.owns(&view, "pools") {
            return Ok(());
        }
        pools::assign(&view.fleet).into_iter().take(JOINS).collect()
    };
    for (host, pool) in joins {
        let record = HostRecord {
            pool: pool.clone(),
            state: HostState::Serving,
            epoch: Epoch(1),
            since: now,
            op: OpId::fresh(),
            plan: None,
            ended: Vec::new(),
        };
        write::write(node, Record::Host(host.clone(), record), Revision(0)).await?;
        log::info!("host {host}: joined pool {pool}");
    }
    Ok(())
}

/// A service's repair, with the revisions of the records that it was worked out from.
struct Due {
    service: ServiceId,
    repair: Repair,
    expect: Revision,
    /// Of the hosts that it names.
    targets: Vec<(Key, Revision)>,
}

async fn repair_placements(node: &Node, now: Time) -> Result<(), StoreError> {
    let due: Vec<Due> = {
        let view = node.view();
        let owned = |id: &&ServiceId| node.owns(&view, &format!("service/{id}"));
        let services = view.fleet.config.services.keys().filter(owned);
        let repairs = services.map(|id| {
            let repair = repair::repair(&view.fleet, id, now, &node.settings.rules);
            let targets = wave::hosts_of(repair.targets(&view.fleet, id));
            let at = |key: Key| (key.clone(), view.fleet.revision(&key));
            let targets = targets.into_iter().map(at).collect();
            let expect = view.fleet.revision(&Key::Placement(id.clone()));
            Due { service: id.clone(), repair, expect, targets }
        });
        repairs.collect()
    };
    for Due { service: id, repair, expect, targets } in due {
        for reason in &repair.refused {
            log::debug!("service {id}: {reason}");
        }
        if repair.is_empty() {
            continue;
        }
        let record = {
            let view = node.view();
            // What was worked out from an older placement is worked out anew.
            let same = view.fleet.revision(&Key::Placement(id.clone())) == expect;
            let op = OpId::fresh();
            let record = wave::change_placement(&view.fleet, &id, &op, |placement| {
                wave::repaired(placement, &repair, now);
            });
            record.filter(|_| same)
        };
        let Some(record) = record else { continue };
        if let Written::Yes(_) = write::write_guarded(node, record, expect, &targets).await? {
            log::info!(
                "service {id}: {} tasks placed, {} taken over, {} successors started",
                repair.moves.len(),
                repair.swaps.len(),
                repair.successors.len()
            );
        }
    }
    Ok(())
}

async fn fold_changes(node: &Node) -> Result<(), StoreError> {
    let (base, expect, folded) = {
        let view = node.view();
        let fleet = &view.fleet;
        if fleet.changes.len() <= CHANGES_KEPT || !node.owns(&view, "config") {
            return Ok(());
        }
        let base = ConfigBase { through: fleet.through, config: fleet.config.clone() };
        let folded: BTreeMap<u64, Revision> = fleet
            .changes
            .range(..=fleet.through)
            .map(|(number, _)| (*number, fleet.revision(&Key::Change(*number))))
            .collect();
        (base, fleet.revision(&Key::Base), folded)
    };
    // The base stands before the first change goes: at every moment all changes can be read.
    let Written::Yes(_) = write::write(node, Record::Base(base), expect).await? else {
        return Ok(());
    };
    for (number, revision) in folded {
        write::delete(node, &Key::Change(number).path(), revision).await?;
    }
    Ok(())
}

/// Whether every node sends nothing to a host of this epoch, as far as this node can tell.
pub(crate) fn is_quiet(node: &Node, view: &View, host: &HostId, epoch: Epoch) -> bool {
    let others = view.fleet.nodes.keys().filter(|id| *id != node.id());
    let mut silent = others.filter(|id| !node.peers.is_quiet(id, host, epoch));
    node.routes.in_flight(host) == 0 && silent.next().is_none()
}

/// Why hosts of a plan wait, for operators.
pub(crate) fn waiting(node: &Node, id: &PlanId, now: Time) -> HashMap<HostId, String> {
    let view = node.view();
    let Some(plan) = view.fleet.plans.get(id).filter(|p| p.state == PlanState::Running) else {
        return HashMap::new();
    };
    let quiet = |host: &HostId, epoch| is_quiet(node, &view, host, epoch);
    let rules = &node.settings.rules;
    let outlook = Outlook { fleet: &view.fleet, is_quiet: &quiet, now, rules };
    let waits = plan.pools.keys().flat_map(|pool| wave::advance(&outlook, plan, pool).1);
    waits.map(|(host, wait)| (host, wait.to_string())).collect()
}
