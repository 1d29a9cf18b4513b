//! Claims of requests that are not repeatable, through the store. Changes of one bucket share
//! writes: those that arrive during a write are batched into the next one.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    decide::claim::{self, Bucket, BucketChange, Claim, ClaimState, GrantResult},
    model::{
        id::{NodeId, OpId, TeamId},
        record::CLAIMS_PREFIX,
        unit::{Revision, Time},
    },
    platform::store::{Entry, Store, StoreError, Swap},
    settings::node::Claims,
};

/// Maximum number of changes in one write.
const MAX_BATCH: usize = 512;
/// Maximum number of changes that wait for a bucket's writer.
const QUEUE_LEN: usize = 4096;
/// How long results of requests wait for a claim to share a write with.
const END_WAIT: Duration = Duration::from_secs(3);
/// Maximum number of attempts of a write that conflicts with writes of other nodes.
const MAX_CONFLICTS: usize = 20;
/// Delay before results are written again after the store has failed.
const END_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of results that are buffered while the store is down. The oldest are dropped, and
/// their claims remain unresolved.
const MAX_PENDING_ENDS: usize = 10_000;

/// Why a key could not be claimed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClaimError {
    #[error("the key is claimed already")]
    Held(Claim),
    #[error("no more keys can be claimed now")]
    Full,
    #[error("claim not written: {0}")]
    Store(String),
}

struct PendingChange {
    change: BucketChange,
    reply: Option<oneshot::Sender<Result<(), ClaimError>>>,
}

/// Queues of the writers of all buckets.
pub(crate) struct ClaimWriters {
    writers: Vec<mpsc::Sender<PendingChange>>,
    /// Number of results that are not written yet.
    pending: Arc<AtomicUsize>,
}

struct Writer {
    store: Store,
    node: NodeId,
    key: String,
    settings: Claims,
    /// The bucket that a conflicting write found.
    cached: Option<(Revision, Bucket)>,
    pending: Arc<AtomicUsize>,
}

impl ClaimWriters {
    /// Starts a writer for each bucket.
    pub(crate) fn start(store: &Store, node: &NodeId, settings: &Claims) -> ClaimWriters {
        let pending = Arc::new(AtomicUsize::new(0));
        let writers = (0..settings.buckets).map(|number| {
            let (sender, receiver) = mpsc::channel(QUEUE_LEN);
            let writer = Writer {
                store: store.clone(),
                node: node.clone(),
                key: format!("{CLAIMS_PREFIX}{number:04}"),
                settings: settings.clone(),
                cached: None,
                pending: pending.clone(),
            };
            tokio::spawn(writer.run(receiver));
            sender
        });
        ClaimWriters { writers: writers.collect(), pending }
    }

    /// Claims a key. The request may be sent only after an `Ok`, and only once.
    pub(crate) async fn claim(
        &self,
        team: &TeamId,
        key: &str,
        op: &OpId,
    ) -> Result<(), ClaimError> {
        let name = claim_name(team, key);
        let (sender, receiver) = oneshot::channel();
        let change = BucketChange::Claim { key: name.clone(), op: op.clone() };
        let pending_change = PendingChange { change, reply: Some(sender) };
        self.writer(&name).try_send(pending_change).map_err(|_| ClaimError::Full)?;
        receiver.await.unwrap_or(Err(ClaimError::Store("the node is shutting down".to_owned())))
    }

    /// Records the result of a claimed request. It is written in the background.
    pub(crate) fn record_end(&self, team: &TeamId, key: &str, op: &OpId, state: ClaimState) {
        let name = claim_name(team, key);
        let change = BucketChange::End { key: name.clone(), op: op.clone(), state };
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.writer(&name).try_send(PendingChange { change, reply: None }).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            log::warn!("request key {key} of team {team}: its result was not recorded");
        }
    }

    /// Whether every recorded result has been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.pending.load(Ordering::Acquire) == 0
    }

    fn writer(&self, name: &str) -> &mpsc::Sender<PendingChange> {
        let at = xxh3_64(name.as_bytes()) % self.writers.len() as u64;
        &self.writers[at as usize]
    }
}

/// The name of a claim: keys of different teams are independent.
fn claim_name(team: &TeamId, key: &str) -> String {
    format!("{team}/{key}")
}

impl Writer {
    async fn run(mut self, mut changes: mpsc::Receiver<PendingChange>) {
        let mut ends: Vec<BucketChange> = Vec::new();
        loop {
            let Some(batch) = next_batch(&mut changes, &ends).await else {
                return;
            };
            let mut claims = Vec::new();
            for one in batch {
                match one.reply {
                    Some(reply) => claims.push((one.change, reply)),
                    None => ends.push(one.change),
                }
            }
            let batch_changes: Vec<BucketChange> = claims
                .iter()
                .map(|(change, _)| change.clone())
                .chain(ends.iter().cloned())
                .collect();
            if batch_changes.is_empty() {
                continue;
            }
            match self.write(&batch_changes).await {
                Ok(granted) => {
                    self.pending.fetch_sub(ends.len(), Ordering::AcqRel);
                    ends.clear();
                    for ((_, reply), granted) in claims.into_iter().zip(granted) {
                        let _ = reply.send(claim_result(granted));
                    }
                }
                Err(error) => {
                    self.cached = None;
                    let error = ClaimError::Store(error.to_string());
                    for (change, reply) in claims {
                        // The write may have taken effect: release the key later.
                        ends.extend(release_change(change));
                        self.pending.fetch_add(1, Ordering::AcqRel);
                        let _ = reply.send(Err(error.clone()));
                    }
                    let surplus = ends.len().saturating_sub(MAX_PENDING_ENDS);
                    ends.drain(..surplus);
                    self.pending.fetch_sub(surplus, Ordering::AcqRel);
                }
            }
        }
    }

    async fn write(
        &mut self,
        batch_changes: &[BucketChange],
    ) -> Result<Vec<GrantResult>, StoreError> {
        for _ in 0..MAX_CONFLICTS {
            // Other nodes write here too, and a read costs the store less than a conflicting write.
            let (revision, bucket) = match self.cached.take() {
                Some(cached) => cached,
                None => read_bucket(self.store.get(&self.key).await?),
            };
            let limits = self.settings.keep;
            let (mut next, granted) =
                claim::decide(&bucket, batch_changes, &self.node, limits, Time::now());
            if granted.iter().all(|granted| *granted != GrantResult::Yes) {
                return Ok(granted);
            }
            next.op = Some(OpId::fresh());
            let value: Bytes =
                serde_json::to_vec(&next).expect("a bucket can be serialized to JSON").into();
            match self.store.swap_with_read_back(&self.key, revision, Vec::new(), value).await? {
                Swap::Done(_) => return Ok(granted),
                Swap::Conflict(entry) => self.cached = Some(read_bucket(entry)),
            }
        }
        let (step, peer) = ("claim", "store".to_owned());
        let cause = format!("conflicted with writes of other nodes {MAX_CONFLICTS} times");
        Err(StoreError::Failed { step, peer, cause })
    }
}

fn read_bucket(entry: Option<Entry>) -> (Revision, Bucket) {
    let Some(entry) = entry else {
        return Default::default();
    };
    let bucket = entry.value.as_deref().map(serde_json::from_slice);
    match bucket {
        Some(Ok(bucket)) => (entry.revision, bucket),
        Some(Err(error)) => {
            // Written by an unsupported version: its claims are unreadable, so no claim may be
            // granted. The store never accepts a write at this revision.
            log::error!("claims {}: cannot be parsed: {error}", entry.key);
            (Revision(u64::MAX), Bucket::default())
        }
        None => (entry.revision, Bucket::default()),
    }
}

/// Waits for changes, and takes all that are queued. Results without a claim wait up to `END_WAIT`
/// for one.
async fn next_batch(
    changes: &mut mpsc::Receiver<PendingChange>,
    ends: &[BucketChange],
) -> Option<Vec<PendingChange>> {
    let mut batch = Vec::new();
    if ends.is_empty() {
        batch.push(changes.recv().await?);
    } else if let Ok(one) = tokio::time::timeout(END_RETRY_DELAY, changes.recv()).await {
        batch.push(one?);
    }
    if batch.iter().all(|one| one.reply.is_none()) {
        let until = tokio::time::Instant::now() + END_WAIT;
        while let Ok(Some(one)) = tokio::time::timeout_at(until, changes.recv()).await {
            let is_claim = one.reply.is_some();
            batch.push(one);
            if is_claim {
                break;
            }
        }
    }
    while batch.len() < MAX_BATCH {
        let Ok(one) = changes.try_recv() else { break };
        batch.push(one);
    }
    Some(batch)
}

fn claim_result(granted: GrantResult) -> Result<(), ClaimError> {
    match granted {
        GrantResult::Yes => Ok(()),
        GrantResult::Held(claim) => Err(ClaimError::Held(claim)),
        GrantResult::Full => Err(ClaimError::Full),
    }
}

fn release_change(change: BucketChange) -> Option<BucketChange> {
    match change {
        BucketChange::Claim { key, op } => {
            Some(BucketChange::End { key, op, state: ClaimState::Released })
        }
        BucketChange::End { .. } => None,
    }
}
