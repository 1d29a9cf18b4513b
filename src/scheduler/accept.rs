//! Acceptance of jobs: a submitted job is written to the store before its caller gets an answer.
//! Jobs that arrive within a few milliseconds of each other share one transaction.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    model::{
        id::{AccountId, PoolId},
        job::{JobId, JobRecord},
        unit::Revision,
    },
    platform::{
        kv::{CommitResult, Item, MAX_TXN_ENTRIES, Txn},
        store::StoreError,
    },
    scheduler::{
        Node,
        access::Holder,
        keys::{self, IdRecord},
    },
};

/// Most jobs that may wait to be written.
const QUEUE_CAPACITY: usize = 512;

/// Most jobs in one transaction: each needs a condition and two writes.
const MAX_BATCH_JOBS: usize = MAX_TXN_ENTRIES / 3;

/// How long the first job of a batch waits for others.
const BATCH_DELAY: Duration = Duration::from_millis(4);

/// Most concurrent transactions. More than one, so that a slow one does not delay the next.
const MAX_IN_FLIGHT: usize = 4;

/// How long a job may be written, whatever its caller's deadline. A cancel of the job counts for
/// longer.
pub(crate) const MAX_WRITE_TIME: Duration = Duration::from_secs(30);

/// Delay before a write that got no answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The outcome of an acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Accepted {
    /// The job was written.
    Kept,
    /// It was written earlier, for the same account.
    Already,
    /// Another account has a job of this name, or may have one.
    NameInUse,
    /// The job was cancelled before it could be written. It was not written, and will not be.
    Cancelled,
    /// Nothing was written, and nothing will be.
    NotWritten,
    /// It may have been written, or may still be written.
    Unknown,
}

/// A submitted job that is yet to be written.
pub(crate) struct Acceptance {
    pub(crate) id: JobId,
    pub(crate) pool: PoolId,
    /// The client account that submitted it, if its queue needs a key.
    pub(crate) account: Option<AccountId>,
    pub(crate) value: Bytes,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// The revision of the tombstone of other accounts that the job replaces; 0 if there is none.
    replaced: Revision,
    /// Whether an earlier attempt may have been written.
    unknown: bool,
    reply: oneshot::Sender<Accepted>,
}

/// Creates the queue of jobs to write.
pub(crate) fn queue() -> (mpsc::Sender<Acceptance>, mpsc::Receiver<Acceptance>) {
    mpsc::channel(QUEUE_CAPACITY)
}

/// Queues a job to be written, and waits for the outcome.
pub(crate) async fn accept(
    node: &Node,
    id: JobId,
    record: &JobRecord,
    value: Bytes,
    deadline: Instant,
) -> Accepted {
    let (reply, outcome) = oneshot::channel();
    let (pool, account) = (record.pool.clone(), record.account.clone());
    let deadline = deadline.min(Instant::now() + MAX_WRITE_TIME);
    let replaced = Revision(0);
    let acceptance =
        Acceptance { id, pool, account, value, deadline, replaced, unknown: false, reply };
    if node.accepting.try_send(acceptance).is_err() {
        return Accepted::NotWritten;
    }
    // A writer that ends without a reply may have sent the write.
    outcome.await.unwrap_or(Accepted::Unknown)
}

/// Writes queued jobs in batches until the node ends.
pub(crate) async fn write(node: Arc<Node>, mut waiting: mpsc::Receiver<Acceptance>) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_IN_FLIGHT));
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        let until = Instant::now() + BATCH_DELAY;
        while batch.len() < MAX_BATCH_JOBS {
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
        batch.dedup_by(|later, earlier| later.id == earlier.id && reject_duplicate(later, earlier));
        for acceptance in &batch {
            // The key of a job's id is the same in all pools, since its queue may lead to another
            // pool later.
            let id = keys::id(acceptance.id);
            txn = txn
                .expect(id.clone(), acceptance.replaced)
                .put(id, keys::marker(&acceptance.pool, acceptance.account.as_ref()))
                .put(keys::job(&acceptance.pool, acceptance.id), acceptance.value.clone());
        }
        let sent = node.now().steady;
        match node.kv.commit(&txn).await {
            Ok(CommitResult::Done(revision)) => {
                node.view().ages.note_revision(sent, revision);
                return reply_all(batch, |_| Accepted::Kept);
            }
            Ok(CommitResult::Conflict(items)) => batch = resolve_conflict(batch, &items),
            Ok(CommitResult::LeaseExpired) => return reply_all(batch, |_| Accepted::NotWritten),
            Err(error) => batch = handle_failure(batch, &error).await,
        }
    }
}

/// Answers the jobs that are decided by what the store has; returns those to be written again.
fn resolve_conflict(batch: Vec<Acceptance>, items: &[Item]) -> Vec<Acceptance> {
    let mut remaining = Vec::new();
    let mut changed = false;
    for mut acceptance in batch {
        let key = keys::id(acceptance.id);
        let item = items.iter().find(|item| item.key == key);
        let replaced = match item.map(|item| (keys::id_record(&item.value), item.revision)) {
            Some((IdRecord::Accepted(holder), _)) => {
                changed = true;
                let outcome = match holder == Holder::of(acceptance.account.clone()) {
                    true => Accepted::Already,
                    false => Accepted::NameInUse,
                };
                reply(acceptance, outcome);
                continue;
            }
            Some((IdRecord::Cancelled(tombstone), _))
                if tombstone.covers(acceptance.account.as_ref()) =>
            {
                changed = true;
                reply(acceptance, Accepted::Cancelled);
                continue;
            }
            Some((IdRecord::Cancelled(_), revision)) => revision,
            None => Revision(0),
        };
        changed |= acceptance.replaced != replaced;
        acceptance.replaced = replaced;
        remaining.push(acceptance);
    }
    if !changed {
        log::error!("store: a conflict lists none of the keys that have changed");
        reply_all(remaining, |_| Accepted::Unknown);
        return Vec::new();
    }
    remaining
}

/// Answers the later of two callers that submitted the same job at the same time: the outcome is
/// reported as unknown, and the caller has to ask again.
fn reject_duplicate(later: &mut Acceptance, _: &mut Acceptance) -> bool {
    let (reply, _) = oneshot::channel();
    let reply = std::mem::replace(&mut later.reply, reply);
    let _ = reply.send(Accepted::Unknown);
    true
}

/// The jobs to retry after a failed write. Jobs past their deadline get their answer here, and so
/// do all if it is certain that nothing was written.
async fn handle_failure(mut batch: Vec<Acceptance>, error: &StoreError) -> Vec<Acceptance> {
    log::warn!("store: write of {} jobs failed: {error}", batch.len());
    if !error.is_unknown() {
        let outcome = |acceptance: &Acceptance| match acceptance.unknown {
            true => Accepted::Unknown,
            false => Accepted::NotWritten,
        };
        reply_all(batch, outcome);
        return Vec::new();
    }
    sleep(RETRY_DELAY).await;
    let now = Instant::now();
    batch.iter_mut().for_each(|acceptance| acceptance.unknown = true);
    let (late, remaining): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|acceptance| acceptance.deadline <= now);
    reply_all(late, |_| Accepted::Unknown);
    remaining
}

fn reply_all(batch: Vec<Acceptance>, outcome: impl Fn(&Acceptance) -> Accepted) {
    for acceptance in batch {
        let accepted = outcome(&acceptance);
        reply(acceptance, accepted);
    }
}

fn reply(acceptance: Acceptance, accepted: Accepted) {
    // Fails if the caller has disconnected.
    let _ = acceptance.reply.send(accepted);
}
