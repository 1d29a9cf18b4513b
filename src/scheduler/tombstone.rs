//! Tombstones of jobs that were cancelled before they were accepted.
//!
//! A cancel of a job that the store does not have is answered only once a tombstone stands under
//! the job's id. An acceptance is conditional on that key, so that of the two writes only one takes
//! effect, however late an unanswered one is executed.
//!
//! Tombstones are bounded: a node writes at most [`MAX_BATCH`] every [`BATCH_INTERVAL`], and the
//! owner of the fleet's work removes each [`KEEP_MS`] after it was written. A job that is submitted
//! after that is a new one.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Semaphore, mpsc, oneshot},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    model::{
        id::AccountId,
        job::JobId,
        unit::{Revision, Steady},
    },
    platform::{
        kv::{CommitResult, Item, MAX_TXN_ENTRIES, Txn},
        store::StoreError,
    },
    scheduler::{
        Node,
        access::{Caller, Holder},
        control_loop::json,
        keys::{self, IdRecord},
    },
};

/// How long a tombstone is kept, in milliseconds: as long as the state of an ended job can be read.
/// Writes of the job end long before, see [`MAX_WRITE_TIME`](super::accept::MAX_WRITE_TIME).
pub(crate) const KEEP_MS: u64 = 120_000;

/// Most cancels that may wait to be written.
const QUEUE_CAPACITY: usize = 512;

/// Most tombstones in one transaction: each needs a condition and a write, or a removal.
const MAX_BATCH: usize = MAX_TXN_ENTRIES / 2;

/// How long the first cancel of a batch waits for others.
const BATCH_DELAY: Duration = Duration::from_millis(4);

/// Minimum time between two batches: cancels of jobs that do not exist must not use up the writes
/// that acceptances need.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Most concurrent transactions. More than one, so that a slow one does not delay the next.
const MAX_IN_FLIGHT: usize = 4;

/// Most accounts in one tombstone.
const MAX_ACCOUNTS: usize = 16;

/// Delay before a write that got no answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// How often expired tombstones are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The record that a job was cancelled before it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Tombstone {
    /// The accounts that cancelled it; `None` for callers without an account.
    cancelled_by: BTreeSet<Option<AccountId>>,
}

impl Tombstone {
    /// Whether a job that is submitted for this account is cancelled: some of the callers could
    /// have cancelled it after its acceptance as well.
    pub(crate) fn covers(&self, account: Option<&AccountId>) -> bool {
        let holder = Holder::of(account.cloned());
        let admits = |account: &Option<AccountId>| {
            holder.admits(&Caller { account: account.clone() }) == Some(true)
        };
        self.cancelled_by.iter().any(admits)
    }

    fn with(mut self, account: Option<AccountId>) -> Tombstone {
        self.cancelled_by.insert(account);
        self
    }
}

/// The outcome of a cancel of a job that the store did not have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The job will not be accepted.
    Written,
    /// The job was accepted meanwhile.
    Accepted(Holder),
    /// Nothing was written, and nothing will be.
    NotWritten,
    /// It may have been written, or may still be written.
    Unknown,
}

/// A cancel that is yet to be written.
pub(crate) struct Cancel {
    id: JobId,
    account: Option<AccountId>,
    /// The tombstone of others that the store has, to be extended.
    found: Option<(Tombstone, Revision)>,
    /// When the caller stops waiting.
    deadline: Instant,
    /// Whether an earlier attempt may have been written.
    unknown: bool,
    reply: oneshot::Sender<Outcome>,
}

/// Creates the queue of cancels to write.
pub(crate) fn queue() -> (mpsc::Sender<Cancel>, mpsc::Receiver<Cancel>) {
    mpsc::channel(QUEUE_CAPACITY)
}

/// Queues the tombstone of a job to be written, and waits for the outcome.
pub(crate) async fn write(
    node: &Node,
    id: JobId,
    account: Option<AccountId>,
    deadline: Instant,
) -> Outcome {
    let (reply, outcome) = oneshot::channel();
    let cancel = Cancel { id, account, found: None, deadline, unknown: false, reply };
    if node.cancelling.try_send(cancel).is_err() {
        return Outcome::NotWritten;
    }
    // A writer that ends without a reply may have sent the write.
    outcome.await.unwrap_or(Outcome::Unknown)
}

/// Writes queued cancels in batches until the node ends.
pub(crate) async fn write_queued(node: Arc<Node>, mut waiting: mpsc::Receiver<Cancel>) {
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        let next_batch = Instant::now() + BATCH_INTERVAL;
        let until = Instant::now() + BATCH_DELAY;
        while batch.len() < MAX_BATCH {
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
            let mut rest = batch;
            while !rest.is_empty() {
                let (batch, duplicates) = split_duplicates(rest);
                write_batch(&node, batch).await;
                rest = duplicates;
            }
            drop(slot);
        });
        tokio::time::sleep_until(next_batch).await;
    }
}

/// The first cancel of each job, and all others.
fn split_duplicates(cancels: Vec<Cancel>) -> (Vec<Cancel>, Vec<Cancel>) {
    let mut seen = BTreeSet::new();
    cancels.into_iter().partition(|cancel| seen.insert(cancel.id))
}

/// Writes cancels of different jobs.
async fn write_batch(node: &Node, mut batch: Vec<Cancel>) {
    while !batch.is_empty() {
        let mut txn = Txn::default();
        for Cancel { id, account, found, .. } in &batch {
            let (tombstone, revision) = found.clone().unwrap_or_default();
            let key = keys::id(*id);
            let value = json(&tombstone.with(account.clone()));
            txn = txn.expect(key.clone(), revision).put(key, value);
        }
        match node.kv.commit(&txn).await {
            Ok(CommitResult::Done(_)) => return reply_all(batch, |_| Outcome::Written),
            Ok(CommitResult::Conflict(items)) => batch = resolve_conflict(batch, &items),
            Ok(CommitResult::LeaseExpired) => return reply_all(batch, |_| Outcome::NotWritten),
            Err(error) => batch = handle_failure(batch, &error).await,
        }
    }
}

/// Answers the cancels that are decided by what the store has; returns those to be written again.
fn resolve_conflict(batch: Vec<Cancel>, items: &[Item]) -> Vec<Cancel> {
    let mut remaining = Vec::new();
    let mut changed = false;
    for mut cancel in batch {
        let key = keys::id(cancel.id);
        let item = items.iter().find(|item| item.key == key);
        let found = match item.map(|item| (keys::id_record(&item.value), item.revision)) {
            Some((IdRecord::Accepted(holder), _)) => {
                changed = true;
                reply(cancel, Outcome::Accepted(holder));
                continue;
            }
            // Written by an attempt without an answer, or by an earlier cancel.
            Some((IdRecord::Cancelled(tombstone), _))
                if tombstone.cancelled_by.contains(&cancel.account) =>
            {
                changed = true;
                reply(cancel, Outcome::Written);
                continue;
            }
            Some((IdRecord::Cancelled(tombstone), _))
                if MAX_ACCOUNTS <= tombstone.cancelled_by.len() =>
            {
                changed = true;
                log::warn!("job {}: cancel failed: too many accounts have cancelled it", cancel.id);
                reply(cancel, Outcome::NotWritten);
                continue;
            }
            Some((IdRecord::Cancelled(tombstone), revision)) => Some((tombstone, revision)),
            None => None,
        };
        changed |= cancel.found != found;
        cancel.found = found;
        remaining.push(cancel);
    }
    if !changed {
        log::error!("store: a conflict lists none of the keys that have changed");
        reply_all(remaining, |_| Outcome::Unknown);
        return Vec::new();
    }
    remaining
}

/// The cancels to retry after a failed write. Those past their deadline get their answer here, and
/// so do all if it is certain that nothing was written.
async fn handle_failure(mut batch: Vec<Cancel>, error: &StoreError) -> Vec<Cancel> {
    log::warn!("store: write of {} tombstones failed: {error}", batch.len());
    if !error.is_unknown() {
        reply_all(batch, |cancel| match cancel.unknown {
            true => Outcome::Unknown,
            false => Outcome::NotWritten,
        });
        return Vec::new();
    }
    sleep(RETRY_DELAY).await;
    let now = Instant::now();
    batch.iter_mut().for_each(|cancel| cancel.unknown = true);
    let (late, remaining): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|cancel| cancel.deadline <= now);
    reply_all(late, |_| Outcome::Unknown);
    remaining
}

fn reply_all(batch: Vec<Cancel>, outcome: impl Fn(&Cancel) -> Outcome) {
    for cancel in batch {
        let outcome = outcome(&cancel);
        reply(cancel, outcome);
    }
}

fn reply(cancel: Cancel, outcome: Outcome) {
    // Fails if the caller has disconnected.
    let _ = cancel.reply.send(outcome);
}

/// Removes expired tombstones at intervals, while this node owns the fleet's work.
pub(crate) async fn sweep(node: Arc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let owner = node.view().owners.get(keys::FLEET).map(|owner| owner.value.node.clone());
        if owner.as_deref() == Some(node.settings.node.as_str()) {
            remove_expired(&node, node.now().steady).await;
        }
    }
}

/// Removes the tombstones that have expired. Each removal is conditional on the tombstone's
/// revision, so that it never removes a job's marker or a newer tombstone.
pub(crate) async fn remove_expired(node: &Node, now: Steady) {
    let expired = node.view().expired_tombstones(now);
    for batch in expired.chunks(MAX_BATCH) {
        let mut txn = Txn::default();
        for (id, revision) in batch {
            txn = txn.expect(keys::id(*id), *revision).remove(keys::id(*id));
        }
        match node.kv.commit(&txn).await {
            Ok(CommitResult::Done(_)) => log::info!("store: {} tombstones removed", batch.len()),
            Ok(CommitResult::Conflict(items)) => {
                // The view is older than the store. The others are removed by the next sweep.
                let is_current = |(id, revision): &(JobId, Revision)| {
                    let key = keys::id(*id);
                    items.iter().any(|item| item.key == key && item.revision == *revision)
                };
                let mut view = node.view();
                for (id, revision) in batch.iter().filter(|entry| !is_current(entry)) {
                    view.forget_tombstone(*id, *revision);
                }
            }
            Ok(CommitResult::LeaseExpired) => {
                log::error!("store: a write without a lease failed because of one");
            }
            Err(error) => {
                log::warn!("store: removal of {} tombstones failed: {error}", batch.len());
                return;
            }
        }
        sleep(BATCH_INTERVAL).await;
    }
}
