//! The control loop: adds hosts to pools, repairs placements, advances plans and folds old changes
//! of the configuration into the base, each only on the node that owns the work.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    decide::{
        pools,
        repair::{self, Repair},
        wave::{self, WaveContext},
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
        Node, plans,
        view::View,
        write::{self, WriteResult},
    },
    platform::store::StoreError,
};

/// An iteration longer than this means that the process was paused: its view may be outdated.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time between two rounds when nothing has changed and no plan is active.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of configuration changes that are stored individually.
const MAX_CHANGES: usize = 256;
/// Maximum number of hosts that join pools in one round, to spread the writes over time.
const MAX_JOINS: usize = 8;

/// Runs until the node shuts down.
pub(crate) async fn control(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let mut previous = Time::now();
    let mut last_round = Time::default();
    loop {
        let wait = tokio::time::sleep(node.settings.timing.control);
        tokio::select! {
            () = wait => {}
            () = node.shutdown.cancelled() => return,
        }
        let now = Time::now();
        let paused = PAUSE_THRESHOLD < now.since(previous);
        previous = now;
        if paused {
            log::warn!("node {}: was paused; verifying the view before acting", node.id());
            node.view().verified = Time::default();
            continue;
        }
        if !node.is_current(&node.view(), now) {
            continue;
        }
        // Without a change or an active plan, only the passing of time matters.
        let has_changes = changed.has_changed().unwrap_or(true);
        if !has_changes && !has_active_plan(&node) && now.since(last_round) < IDLE_INTERVAL {
            continue;
        }
        changed.borrow_and_update();
        last_round = now;
        if let Err(error) = run_round(&node, now).await {
            log::info!("control: {error}");
        }
    }
}

/// Whether a plan is active: its next step may depend on heartbeats of other nodes alone, which do
/// not change the view.
fn has_active_plan(node: &Node) -> bool {
    let view = node.view();
    view.fleet.hosts.values().any(|record| record.plan.is_some())
        || view.fleet.plans.values().any(|plan| plan.state == PlanState::Running)
}

async fn run_round(node: &Arc<Node>, now: Time) -> Result<(), StoreError> {
    join_pools(node, now).await?;
    repair_placements(node, now).await?;
    plans::advance(node, now).await?;
    fold_changes(node).await
}

async fn join_pools(node: &Node, now: Time) -> Result<(), StoreError> {
    let joins: Vec<(HostId, PoolId)> = {
        let view = node.view();
        if !node.owns(&view, "pools") {
            return Ok(());
        }
        pools::assign(&view.fleet).into_iter().take(MAX_JOINS).collect()
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

/// A service's repair, with the revisions of the records that it was computed from.
struct DueRepair {
    service: ServiceId,
    repair: Repair,
    expect: Revision,
    /// The records of the hosts that it names.
    targets: Vec<(Key, Revision)>,
}

async fn repair_placements(node: &Node, now: Time) -> Result<(), StoreError> {
    let due: Vec<DueRepair> = {
        let view = node.view();
        let owned = |id: &&ServiceId| node.owns(&view, &format!("service/{id}"));
        let services = view.fleet.config.services.keys().filter(owned);
        let repairs = services.map(|id| {
            let repair = repair::repair(&view.fleet, id, now, &node.settings.rules);
            let targets = wave::host_keys(repair.targets(&view.fleet, id));
            let with_revision = |key: Key| (key.clone(), view.fleet.revision(&key));
            let targets = targets.into_iter().map(with_revision).collect();
            let expect = view.fleet.revision(&Key::Placement(id.clone()));
            DueRepair { service: id.clone(), repair, expect, targets }
        });
        repairs.collect()
    };
    for DueRepair { service: id, repair, expect, targets } in due {
        for reason in &repair.unplaced {
            log::debug!("service {id}: {reason}");
        }
        if repair.is_empty() {
            continue;
        }
        let record = {
            let view = node.view();
            // A repair of an older placement is dropped; the next round computes it again.
            let is_unchanged = view.fleet.revision(&Key::Placement(id.clone())) == expect;
            let op = OpId::fresh();
            let record = wave::change_placement(&view.fleet, &id, &op, |placement| {
                wave::apply_repair(placement, &repair, now);
            });
            record.filter(|_| is_unchanged)
        };
        let Some(record) = record else { continue };
        if let WriteResult::Done(_) = write::write_guarded(node, record, expect, &targets).await? {
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
        if fleet.changes.len() <= MAX_CHANGES || !node.owns(&view, "config") {
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
    // The base is written before any change is deleted, so that all changes can always be read.
    let WriteResult::Done(_) = write::write(node, Record::Base(base), expect).await? else {
        return Ok(());
    };
    for (number, revision) in folded {
        write::delete(node, &Key::Change(number).path(), revision).await?;
    }
    Ok(())
}

/// Whether all nodes have stopped sending to a host of this epoch and have no requests in flight
/// there, according to this node and the last heartbeats of the others.
pub(crate) fn is_quiet(node: &Node, view: &View, host: &HostId, epoch: Epoch) -> bool {
    let others = view.fleet.nodes.keys().filter(|id| *id != node.id());
    let mut unconfirmed = others.filter(|id| !node.peers.is_quiet(id, host, epoch));
    node.routes.in_flight(host) == 0 && unconfirmed.next().is_none()
}

/// Why hosts of a plan wait, shown to operators.
pub(crate) fn wait_reasons(node: &Node, id: &PlanId, now: Time) -> HashMap<HostId, String> {
    let view = node.view();
    let Some(plan) = view.fleet.plans.get(id).filter(|p| p.state == PlanState::Running) else {
        return HashMap::new();
    };
    let quiet = |host: &HostId, epoch| is_quiet(node, &view, host, epoch);
    let rules = &node.settings.rules;
    let context = WaveContext { fleet: &view.fleet, is_quiet: &quiet, now, rules };
    let waits = plan.pools.keys().flat_map(|pool| wave::advance(&context, plan, pool).1);
    waits.map(|(host, wait)| (host, wait.to_string())).collect()
}
