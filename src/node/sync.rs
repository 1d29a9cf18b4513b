//! Keeps the view that of the store: a watch, and now and then a comparison, in case a watch is
//! silent without being cut.
//!
//! Two nodes of each availability zone watch; the others hear through their peers. Which two, they
//! work out by themselves: there is no election.

use std::{sync::Arc, time::Duration};

use futures_util::StreamExt;

use crate::{
    decide::rendezvous,
    model::{
        id::NodeId,
        record::WATCHED,
        unit::{Revision, Time},
    },
    node::{Node, peers, view::View},
    platform::store::StoreError,
};

/// Nodes of a zone that watch the store.
const WATCHERS: usize = 2;
/// The first wait after a failure; it doubles up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// Watches for as long as the node runs.
pub(crate) async fn watch(node: Arc<Node>) {
    let mut wait = FIRST_WAIT;
    loop {
        if !is_watcher(&node) {
            tokio::time::sleep(node.settings.timing.verify).await;
            continue;
        }
        let began = Time::now();
        match watch_once(&node).await {
            Ok(()) => log::debug!("store watch: ended"),
            Err(error) => log::warn!("store watch: {error}"),
        }
        if LONGEST_WAIT < Time::now().since(began) {
            wait = FIRST_WAIT;
        }
        tokio::time::sleep(jittered(wait)).await;
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}

/// Compares the view with the store for as long as the node runs.
pub(crate) async fn verify(node: Arc<Node>) {
    let every = node.settings.timing.verify;
    loop {
        tokio::time::sleep(jittered(every)).await;
        if let Err(error) = verify_once(&node).await {
            log::debug!("store comparison: {error}");
        }
    }
}

/// Reads everything once, if the view is not known to be complete.
pub(crate) async fn load(node: &Node) -> Result<(), StoreError> {
    let (entries, revision) = node.store.list(WATCHED).await?;
    {
        let mut view = node.view();
        view.replace(entries, revision);
        view.verified = Time::now();
    }
    node.note_change();
    Ok(())
}

/// A time drawn between half and all of `span`, so that nodes do not come back all at once.
pub(crate) fn jittered(span: Duration) -> Duration {
    span.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

/// Whether this node holds a watch of the store.
pub(crate) fn is_watcher(node: &Node) -> bool {
    let view = node.view();
    let zone = &node.settings.zone;
    let same_zone = view.fleet.nodes.iter().filter(|(_, record)| record.zone == *zone);
    let members = same_zone.map(|(id, _)| id.as_str());
    let chosen = rendezvous::first(members, zone.as_str(), WATCHERS);
    // A node that is not registered yet must learn the members first.
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
    let mut events = node.store.watch(WATCHED, Revision(from.0 + 1)).await?;
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
            node.note_change();
        }
        peers::push(node, from, to, batch.entries);
        from = to;
        if !is_watcher(node) {
            return Ok(());
        }
    }
    Ok(())
}

async fn verify_once(node: &Node) -> Result<(), StoreError> {
    let began = Time::now();
    let newest = node.store.newest(WATCHED).await?;
    let held = node.view().newest();
    if held < newest {
        // The watch may just be on its way with it: look again before reading everything.
        tokio::time::sleep(Duration::from_millis(300)).await;
        if node.view().newest() < newest {
            log::info!("view is behind the store ({held} < {newest}): reading all of it");
            return load(node).await;
        }
    }
    node.view().verified = began;
    Ok(())
}
