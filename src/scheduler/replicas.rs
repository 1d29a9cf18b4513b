//! Which nodes mirror all records, published for all nodes.
//!
//! Only replicas know every node. They publish who they are, and how to relay requests to them, in
//! one record that all nodes watch: what a node reads does not grow with the number of nodes. The
//! record is held by the lease of the node that wrote it. When that node ends, another replica
//! writes the record again; if there is none, a node that is no replica reads the list of nodes and
//! does so. Until then everybody goes on with the last record.
//!
//! Several nodes may do so at once: the record is written on the condition that it is still the one
//! that was known, and all of them choose by the same rules.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    model::unit::{Revision, Steady},
    platform::{
        kv::{Change, CommitResult, Txn},
        store::StoreError,
    },
    scheduler::{
        Node,
        control_loop::json,
        keys::{self, ROOT},
        lease::Lease,
        view::{NodeRecord, View, age::MAX_RECORDS_AGE_MS},
    },
    settings::scheduler::SchedulerSettings,
};

/// How often a node checks whether it has become a replica, or whether the record is out of date.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node that has just started waits for the record before it may write it, in
/// milliseconds: nodes that start together are listed within that time.
const START_DELAY_MS: u64 = 250;

/// The same for a node that has known a record, in milliseconds: a replica writes it again earlier.
const LOSS_DELAY_MS: u64 = 600;

/// The time over which the nodes that may write the first record are spread, in milliseconds.
const SPREAD_MS: u64 = 500;

/// The number of times that the nodes that may write double over [`SPREAD_MS`]: of up to
/// 2^10 nodes about one is first, and a few more are under way when its record is received. With
/// more nodes, their number grows in proportion.
const SPREAD_DOUBLINGS: f64 = 10.0;

/// How much later than the replica before it a replica writes the record, in milliseconds.
const STEP_MS: u64 = 100;

/// Maximum number of replicas to wait for.
const MAX_STEPS: usize = 8;

/// Minimum time between two writes of a node, in milliseconds: nodes that start one after another
/// share writes.
const WRITE_PAUSE_MS: u64 = 250;

/// The number of nodes is written again when it differs by this part of it.
const COUNT_TOLERANCE: u32 = 8;

/// The record: the nodes that mirror all records.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ReplicaList {
    /// The number of all nodes.
    pub(crate) nodes: u32,
    pub(crate) replicas: BTreeMap<String, NodeRecord>,
}

impl ReplicaList {
    /// Whether this record is to replace another one.
    fn replaces(&self, published: &ReplicaList) -> bool {
        let tolerated = self.nodes / COUNT_TOLERANCE;
        self.replicas != published.replicas || tolerated < self.nodes.abs_diff(published.nodes)
    }
}

/// What a node knows of the record.
#[derive(Debug, Clone, Default)]
pub(crate) struct PublishedReplicas {
    /// The last record. Stays when it ends with the lease of its writer.
    pub(crate) list: ReplicaList,
    /// Its revision; 0 if there is no record.
    pub(crate) revision: Revision,
    /// Whether there is a record and it can be read.
    pub(crate) is_valid: bool,
}

impl View {
    /// Whether the record exists and names a node.
    fn is_published_replica(&self, node: &str) -> bool {
        self.published.is_valid && self.published.list.replicas.contains_key(node)
    }

    /// The record by what this node knows; `None` unless it knows all nodes.
    fn current_replicas(&self, settings: &SchedulerSettings) -> Option<ReplicaList> {
        if !self.mirrors_records() {
            return None;
        }
        let names = self.replicas(settings);
        let listed = self.nodes.iter().filter(|(name, _)| names.contains(name.as_str()));
        Some(ReplicaList {
            nodes: self.nodes.len().try_into().unwrap_or(u32::MAX),
            replicas: listed.map(|(name, at)| (name.clone(), at.value.clone())).collect(),
        })
    }
}

/// How long a node that is no replica waits before it writes the first record, in milliseconds. The
/// delays of all nodes are distributed so that few of them end early, however many nodes there are.
fn first_delay_ms(node: &str, knew_record: bool) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    let part = ((hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64).max(f64::MIN_POSITIVE);
    let spread = (1.0 + part.log2() / SPREAD_DOUBLINGS).max(0.0);
    let start = if knew_record { LOSS_DELAY_MS } else { START_DELAY_MS };
    start + (spread * SPREAD_MS as f64) as u64
}

/// Waits until the node is named as a replica. Writes the record if nobody else does.
pub(crate) async fn wait_until_chosen(node: &Node, lease: &Lease) {
    let name = node.settings.node.as_str();
    let mut absent_since: Option<Steady> = None;
    let mut knew_record = false;
    loop {
        let now = node.now().steady;
        let (is_ready, is_chosen, is_absent) = {
            let view = node.view();
            (view.is_ready(), view.is_published_replica(name), !view.published.is_valid)
        };
        if is_ready && is_chosen {
            return;
        }
        if is_ready && is_absent {
            let since = *absent_since.get_or_insert(now);
            if first_delay_ms(name, knew_record) <= now.since(since) {
                absent_since = None;
                if let Err(error) = write_first(node, lease).await {
                    log::warn!("node {name}: the replicas are not published: {error}");
                }
            }
        } else {
            absent_since = None;
            knew_record |= !is_absent;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Waits until the node has read all records.
pub(crate) async fn wait_until_mirroring(node: &Node) {
    while !node.view().mirrors_records() {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reads the list of all nodes and writes the first record.
async fn write_first(node: &Node, lease: &Lease) -> Result<(), StoreError> {
    let (items, at) = node.kv.range(keys::NODES).await?;
    let mut listed = View::default();
    for item in items {
        let (key, revision, value) = (item.key, item.revision, Some(item.value));
        listed.apply(Change { key, revision, value });
    }
    listed.ready.insert(ROOT);
    let Some(list) = listed.current_replicas(&node.settings) else {
        return Ok(());
    };
    // Nodes register at their first renewal.
    if list.replicas.is_empty() {
        return Ok(());
    }
    log::info!(
        "node {}: no replicas are published: {} of {} nodes at {at} are to mirror all records",
        node.settings.node,
        list.replicas.len(),
        list.nodes
    );
    let expected = node.view().published.revision;
    write(node, lease, &list, expected).await
}

/// Writes the record whenever the replicas have changed, until the node ends.
pub(crate) async fn maintain(node: Arc<Node>, lease: Arc<Lease>) {
    let mut differs_since: Option<Steady> = None;
    let mut next_write = Steady::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now().steady;
        let outdated = {
            let view = node.view();
            let is_fresh = view.ages.is_within(ROOT, MAX_RECORDS_AGE_MS, now);
            let list = view.current_replicas(&node.settings).filter(|_| is_fresh);
            let published = &view.published;
            let is_outdated =
                |list: &ReplicaList| !published.is_valid || list.replaces(&published.list);
            list.filter(is_outdated).map(|list| (list, published.revision))
        };
        let Some((list, revision)) = outdated else {
            differs_since = None;
            continue;
        };
        let name = node.settings.node.as_str();
        let Some(rank) = list.replicas.keys().position(|replica| replica == name) else {
            continue;
        };
        let since = *differs_since.get_or_insert(now);
        let delay_ms = rank.min(MAX_STEPS) as u64 * STEP_MS;
        if now < since.after(delay_ms) || now < next_write {
            continue;
        }
        next_write = now.after(WRITE_PAUSE_MS);
        differs_since = None;
        if let Err(error) = write(&node, &lease, &list, revision).await {
            log::warn!("node {name}: the replicas are not published: {error}");
        }
    }
}

/// Writes the record on the condition that it has a revision.
async fn write(
    node: &Node,
    lease: &Lease,
    list: &ReplicaList,
    expected: Revision,
) -> Result<(), StoreError> {
    let Some(held) = lease.held(node.now().steady) else {
        return Ok(());
    };
    let condition = Txn::default().expect(keys::REPLICAS, expected);
    let txn = condition.put_leased(keys::REPLICAS, json(list), held);
    match node.kv.commit(&txn).await? {
        CommitResult::Done(at) => {
            let (replicas, nodes) = (list.replicas.len(), list.nodes);
            log::info!("replicas: {replicas} of {nodes} nodes published at {at}");
        }
        // Another node was first, or the next renewal reports that the lease has expired.
        CommitResult::Conflict(_) | CommitResult::LeaseExpired => {}
    }
    Ok(())
}
