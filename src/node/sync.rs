//! Keeps the view in sync with the store: by a watch, and by periodic comparisons in case a watch
//! stays open but delivers nothing.
//!
//! Two nodes of each availability zone watch the store; the others receive updates from their
//! peers. Each node determines the two by rendezvous hashing, without an election.

use std::{sync::Arc, time::Duration};

use futures_util::StreamExt;

use crate::{
    decide::rendezvous,
    model::{
        id::NodeId,
        record::WATCHED_PREFIX,
        unit::{Revision, Time},
    },
    node::{Node, peers, view::View},
    platform::store::StoreError,
};

/// Number of nodes of an availability zone that watch the store.
const WATCHERS: usize = 2;
/// Wait after the first failure; it doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Watches the store for as long as the node runs.
pub(crate) async fn watch(node: Arc<Node>) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        if !is_watcher(&node) {
            tokio::time::sleep(node.settings.timing.verify).await;
            continue;
        }
        let started_at = Time::now();
        match watch_once(&node).await {
            Ok(()) => log::debug!("store watch: ended"),
            Err(error) => log::warn!("store watch: {error}"),
        }
        if MAX_BACKOFF < Time::now().since(started_at) {
            backoff = INITIAL_BACKOFF;
        }
        tokio::time::sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Compares the view with the store for as long as the node runs.
pub(crate) async fn verify(node: Arc<Node>) {
    let interval = node.settings.timing.verify;
    loop {
        tokio::time::sleep(jittered(interval)).await;
        if let Err(error) = verify_once(&node).await {
            log::debug!("store comparison: {error}");
        }
    }
}

/// Reads all watched records into the view.
pub(crate) async fn load(node: &Node) -> Result<(), StoreError> {
    let (entries, revision) = node.store.list(WATCHED_PREFIX).await?;
    {
        let mut view = node.view();
        view.replace(entries, revision);
        view.verified = Time::now();
    }
    node.notify_change();
    Ok(())
}

/// A random time between half of `span` and `span`, so that nodes do not retry all at once.
pub(crate) fn jittered(span: Duration) -> Duration {
    span.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// Whether this node should watch the store.
pub(crate) fn is_watcher(node: &Node) -> bool {
    let view = node.view();
    let zone = &node.settings.zone;
    let same_zone = view.fleet.nodes.iter().filter(|(_, record)| record.zone == *zone);
    let members = same_zone.map(|(id, _)| id.as_str());
    let chosen = rendezvous::top_members(members, zone.as_str(), WATCHERS);
    // A node that is not registered yet watches to learn the members.
    chosen.is_empty() || chosen.contains(&node.id().as_str()) || !is_registered(&view, node.id())
}

fn is_registered(view: &View, id: &NodeId) -> bool {
    view.fleet.nodes.contains_key(id)
}

async fn watch_once(node: &Arc<Node>) -> Result<(), StoreError> {
    if node.view().complete == Revision(0) {
        load(node).await?;
    }
    let mut from = node.view().complete;
    let mut events = node.store.watch(WATCHED_PREFIX, Revision(from.0 + 1)).await?;
    while let Some(next) = events.next().await {
        let batch = match next {
            Ok(batch) => batch,
            Err(StoreError::Compacted { .. }) => return load(node).await,
            Err(error) => return Err(error),
        };
        let Some(to) = batch.entries.iter().map(|entry| entry.revision).max() else {
            continue;
        };
        let changed = node.view().extend(from, to, batch.entries.clone());
        if changed {
            node.notify_change();
        }
        peers::push_records(node, from, to, batch.entries);
        from = to;
        if !is_watcher(node) {
            return Ok(());
        }
    }
    Ok(())
}

async fn verify_once(node: &Node) -> Result<(), StoreError> {
    let started_at = Time::now();
    let newest = node.store.newest(WATCHED_PREFIX).await?;
    let own = node.view().newest();
    if own < newest {
        // The watch may be about to deliver the change: check again before reading everything.
        tokio::time::sleep(Duration::from_millis(300)).await;
        if node.view().newest() < newest {
            log::info!("view is stale ({own} < {newest}): reading all records");
            return load(node).await;
        }
    }
    node.view().verified = started_at;
    Ok(())
}
