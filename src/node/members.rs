//! A node's registration in the store, under a lease.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    model::record::{Key, NodeRecord, Record},
    node::{Node, sync::jittered},
    platform::store::{Entry, LeaseId, StoreError, Swap},
};

/// Registers the node, and again whenever its lease has lapsed, until it leaves.
pub(crate) async fn register(node: Arc<Node>) {
    let every = node.settings.timing.lease / 4;
    let mut held = None;
    loop {
        held = match renew(&node, held).await {
            Ok(lease) => Some(lease),
            Err(error) => {
                log::warn!("registration: {error}");
                held
            }
        };
        let wait = tokio::time::sleep(jittered(every));
        tokio::select! {
            () = wait => {}
            () = node.leaving.cancelled() => break,
        }
    }
    if let Some(lease) = held {
        let ended = tokio::time::timeout(Duration::from_secs(2), node.store.revoke(lease)).await;
        if !matches!(ended, Ok(Ok(()))) {
            log::warn!("registration: not ended; it lapses by itself");
        }
    }
}

async fn renew(node: &Node, held: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = held
        && !node.store.renew(lease).await?.is_zero()
    {
        return Ok(lease);
    }
    let lease = node.store.grant(node.settings.timing.lease).await?;
    enter(node, lease).await?;
    log::info!("node {}: registered", node.id());
    Ok(lease)
}

async fn enter(node: &Node, lease: LeaseId) -> Result<(), StoreError> {
    let record = NodeRecord {
        zone: node.settings.zone.clone(),
        peers: node.settings.listen.peers.to_string(),
        operators: node.settings.listen.operators.to_string(),
        started: node.started,
    };
    let key = Key::Node(node.id().clone()).path();
    let value = Bytes::from(Record::Node(node.id().clone(), record).to_json());
    // An entry under an older lease would vanish with that lease: write over it.
    loop {
        // Without an entry the write is a creation, which the store knows as revision 0.
        let expect = node.store.get(&key).await?.map(|entry| entry.revision).unwrap_or_default();
        let swapped = node.store.swap(&key, expect, Some(value.clone()), Some(lease)).await?;
        if let Swap::Done(revision) = swapped {
            let entry = Entry { key, revision, value: Some(value) };
            node.view().apply(entry);
            node.note_change();
            return Ok(());
        }
        if node.store.renew(lease).await?.is_zero() {
            let (step, peer) = ("register", "store".to_owned());
            let cause = "the lease lapsed at once".to_owned();
            return Err(StoreError::Unreached { step, peer, cause });
        }
    }
}
