//! A node's registration in the store, under a lease.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    model::record::{Key, NodeRecord, Record},
    node::{Node, sync::jittered},
    platform::store::{Entry, LeaseId, StoreError, Swap},
};

/// Registers the node, and again whenever its lease has expired, until the node shuts down.
pub(crate) async fn register(node: Arc<Node>) {
    let interval = node.settings.timing.lease / 4;
    let mut current = None;
    loop {
        current = match renew(&node, current).await {
            Ok(lease) => Some(lease),
            Err(error) => {
                log::warn!("registration: {error}");
                current
            }
        };
        let wait = tokio::time::sleep(jittered(interval));
        tokio::select! {
            () = wait => {}
            () = node.shutdown.cancelled() => break,
        }
    }
    if let Some(lease) = current {
        let revoked = tokio::time::timeout(Duration::from_secs(2), node.store.revoke(lease)).await;
        if !matches!(revoked, Ok(Ok(()))) {
            log::warn!("registration: lease not revoked; it expires by itself");
        }
    }
}

async fn renew(node: &Node, current: Option<LeaseId>) -> Result<LeaseId, StoreError> {
    if let Some(lease) = current
        && !node.store.renew(lease).await?.is_zero()
    {
        return Ok(lease);
    }
    let lease = node.store.grant(node.settings.timing.lease).await?;
    write_record(node, lease).await?;
    log::info!("node {}: registered", node.id());
    Ok(lease)
}

async fn write_record(node: &Node, lease: LeaseId) -> Result<(), StoreError> {
    let record = NodeRecord {
        zone: node.settings.zone.clone(),
        peers: node.settings.listen.peers.to_string(),
        operators: node.settings.listen.operators.to_string(),
        started: node.started,
    };
    let key = Key::Node(node.id().clone()).path();
    let value = Bytes::from(Record::Node(node.id().clone(), record).to_json());
    // An entry under an older lease would be removed with that lease: overwrite it.
    loop {
        // Without an entry, the write expects revision 0 and creates it.
        let expect = node.store.get(&key).await?.map(|entry| entry.revision).unwrap_or_default();
        let swapped = node.store.swap(&key, expect, Some(value.clone()), Some(lease)).await?;
        if let Swap::Done(revision) = swapped {
            let entry = Entry { key, revision, value: Some(value) };
            node.view().apply(entry);
            node.notify_change();
            return Ok(());
        }
        if node.store.renew(lease).await?.is_zero() {
            let (step, peer) = ("register", "store".to_owned());
            let cause = "the new lease has already expired".to_owned();
            return Err(StoreError::Failed { step, peer, cause });
        }
    }
}
