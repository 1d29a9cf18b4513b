//! Acceptance: jobs that callers hand in are written before the callers are told. What comes
//! within a few milliseconds shares one transaction.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    model::{id::PoolId, job::JobId, unit::Revision},
    platform::{
        kv::{Committed, TXN_ENTRIES, Txn},
        store::StoreError,
    },
    scheduler::{Node, keys},
};

/// Jobs that may wait to be written.
const QUEUE: usize = 512;

/// Jobs in one transaction: each needs a condition and two writes.
const BATCH: usize = TXN_ENTRIES / 3;

/// How long the first of a batch waits for others.
const GATHER: Duration = Duration::from_millis(4);

/// Transactions on their way at one time, so that a slow store does not hold up the next.
const IN_FLIGHT: usize = 4;

/// How long to wait before a write that got no answer is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How an acceptance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Accepted {
    /// The job is kept.
    Kept,
    /// It was kept before.
    Already,
    /// Nothing was written, and nothing will be.
    NotWritten,
    /// It may have been written, or may be yet.
    Unknown,
}

/// A job that waits to be written.
pub(crate) struct Acceptance {
    pub(crate) id: JobId,
    pub(crate) pool: PoolId,
    pub(crate) value: Bytes,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether an earlier try may have been written.
    unknown: bool,
    told: oneshot::Sender<Accepted>,
}

/// Where jobs wait to be written.
pub(crate) fn queue() -> (mpsc::Sender<Acceptance>, mpsc::Receiver<Acceptance>) {
    mpsc::channel(QUEUE)
}

/// Has a job written.
pub(crate) async fn accept(
    node: &Node,
    id: JobId,
    pool: PoolId,
    value: Bytes,
    deadline: Instant,
) -> Accepted {
    let (told, tell) = oneshot::channel();
    let acceptance = Acceptance { id, pool, value, deadline, unknown: false, told };
    if node.accepting.try_send(acceptance).is_err() {
        return Accepted::NotWritten;
    }
    // A writer that ends without a word may have sent it.
    tell.await.unwrap_or(Accepted::Unknown)
}

/// Writes what waits until the node ends.
pub(crate) async fn write(node: Arc<Node>, mut waiting: mpsc::Receiver<Acceptance>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT));
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        let until = Instant::now() + GATHER;
        while batch.len() < BATCH {
            match timeout_at(until, waiting.recv()).await {
                Ok(Some(more)) => batch.push(more),
                Ok(None) | Err(_) => break,
            }
        }
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let node = node.clone();
        tokio::spawn(async move {
            write_batch(&node, batch).await;
            drop(slot);
        });
    }
}

async fn write_batch(node: &Node, mut batch: Vec<Acceptance>) {
    while !batch.is_empty() {
        let mut txn = Txn::default();
        batch.sort_by_key(|acceptance| acceptance.id);
        batch.dedup_by(|later, earlier| later.id == earlier.id && take_over(later, earlier));
        for acceptance in &batch {
            // The name is taken once, whichever pool the queue led to at the time.
            let (id, pool) = (keys::id(acceptance.id), acceptance.pool.to_string());
            txn = txn
                .expect(id.clone(), Revision(0))
                .put(id, pool)
                .put(keys::job(&acceptance.pool, acceptance.id), acceptance.value.clone());
        }
        let sent = node.now().steady;
        match node.kv.commit(&txn).await {
            Ok(Committed::Done(revision)) => {
                node.view().ages.told(sent, revision);
                return tell_all(batch, |_| Accepted::Kept);
            }
            Ok(Committed::Conflict(items)) => {
                let there = |id: JobId| items.iter().any(|item| item.key == keys::id(id));
                let (old, new): (Vec<_>, Vec<_>) =
                    batch.into_iter().partition(|acceptance| there(acceptance.id));
                if old.is_empty() {
                    log::error!("store: a conflict names no key that is there");
                    return tell_all(new, |_| Accepted::Unknown);
                }
                tell_all(old, |_| Accepted::Already);
                batch = new;
            }
            Ok(Committed::LeaseOver) => return tell_all(batch, |_| Accepted::NotWritten),
            Err(error) => batch = failed(batch, &error).await,
        }
    }
}

/// Two callers handed in the same job at one time: the later is told to ask again.
fn take_over(later: &mut Acceptance, _: &mut Acceptance) -> bool {
    let (told, _) = oneshot::channel();
    let told = std::mem::replace(&mut later.told, told);
    let _ = told.send(Accepted::Unknown);
    true
}

/// What is left to be tried after a failure. Those that cannot be in time, or of which it is
/// certain that nothing was written, are told.
async fn failed(mut batch: Vec<Acceptance>, error: &StoreError) -> Vec<Acceptance> {
    log::warn!("store: {} jobs not written: {error}", batch.len());
    if !error.is_unknown() {
        let outcome = |acceptance: &Acceptance| match acceptance.unknown {
            true => Accepted::Unknown,
            false => Accepted::NotWritten,
        };
        tell_all(batch, outcome);
        return Vec::new();
    }
    sleep(RETRY_PAUSE).await;
    let now = Instant::now();
    batch.iter_mut().for_each(|acceptance| acceptance.unknown = true);
    let (late, rest): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|acceptance| acceptance.deadline <= now);
    tell_all(late, |_| Accepted::Unknown);
    rest
}

fn tell_all(batch: Vec<Acceptance>, outcome: impl Fn(&Acceptance) -> Accepted) {
    for acceptance in batch {
        let accepted = outcome(&acceptance);
        // A caller that has gone does not listen.
        let _ = acceptance.told.send(accepted);
    }
}
