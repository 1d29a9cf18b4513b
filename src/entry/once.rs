//! Claims of requests that are not repeatable, through the store. Claims of one bucket share
//! writes: while one is under way, those that come wait for the next.

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
    decide::claim::{self, Bucket, Claim, ClaimState, Granted, Wish},
    model::{
        id::{NodeId, OpId, TeamId},
        record::CLAIMS,
        unit::{Revision, Time},
    },
    platform::store::{Entry, Store, StoreError, Swap},
    settings::node::Claims,
};

/// Wishes that share one write.
const BATCH: usize = 512;
/// Wishes that wait for a bucket's writer.
const WAITING: usize = 4096;
/// How long the ends of requests wait for claims to share a write with.
const END_WAIT: Duration = Duration::from_secs(3);
/// Times that a write is tried anew because others wrote first.
const CONFLICTS: usize = 20;
/// Wait before ends are tried again when the store does not take them.
const END_AGAIN: Duration = Duration::from_secs(1);
/// Ends that are kept while the store is down; older ones stay unknown.
const ENDS_KEPT: usize = 10_000;

/// Why a claim was not granted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClaimError {
    #[error("the key is claimed already")]
    Held(Claim),
    #[error("no more keys can be claimed now")]
    Full,
    #[error("claim not written: {0}")]
    Store(String),
}

struct Asked {
    wish: Wish,
    answer: Option<oneshot::Sender<Result<(), ClaimError>>>,
}

/// The way to the writers of all buckets.
pub(crate) struct Once {
    writers: Vec<mpsc::Sender<Asked>>,
    /// Ends that are not written yet.
    pending: Arc<AtomicUsize>,
}

struct Writer {
    store: Store,
    node: NodeId,
    key: String,
    settings: Claims,
    /// What a refused write found.
    known: Option<(Revision, Bucket)>,
    pending: Arc<AtomicUsize>,
}

impl Once {
    /// Starts a writer for each bucket.
    pub(crate) fn start(store: &Store, node: &NodeId, settings: &Claims) -> Once {
        let pending = Arc::new(AtomicUsize::new(0));
        let writers = (0..settings.buckets).map(|number| {
            let (sender, receiver) = mpsc::channel(WAITING);
            let writer = Writer {
                store: store.clone(),
                node: node.clone(),
                key: format!("{CLAIMS}{number:04}"),
                settings: settings.clone(),
                known: None,
                pending: pending.clone(),
            };
            tokio::spawn(writer.run(receiver));
            sender
        });
        Once { writers: writers.collect(), pending }
    }

    /// Claims a key. Only an `Ok` allows the request to be sent, and only once.
    pub(crate) async fn claim(
        &self,
        team: &TeamId,
        key: &str,
        op: &OpId,
    ) -> Result<(), ClaimError> {
        let name = name(team, key);
        let (sender, receiver) = oneshot::channel();
        let wish = Wish::Claim { key: name.clone(), op: op.clone() };
        let asked = Asked { wish, answer: Some(sender) };
        self.writer(&name).try_send(asked).map_err(|_| ClaimError::Full)?;
        receiver.await.unwrap_or(Err(ClaimError::Store("the node is ending".to_owned())))
    }

    /// Notes how a claimed request ended; written when the store takes it.
    pub(crate) fn end(&self, team: &TeamId, key: &str, op: &OpId, state: ClaimState) {
        let name = name(team, key);
        let wish = Wish::End { key: name.clone(), op: op.clone(), state };
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.writer(&name).try_send(Asked { wish, answer: None }).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            log::warn!("request key {key} of team {team}: its end was not noted");
        }
    }

    /// Whether every end that was noted has been written.
    pub(crate) fn is_settled(&self) -> bool {
        self.pending.load(Ordering::Acquire) == 0
    }

    fn writer(&self, name: &str) -> &mpsc::Sender<Asked> {
        let at = xxh3_64(name.as_bytes()) % self.writers.len() as u64;
        &self.writers[at as usize]
    }
}

/// A key is its team's own.
fn name(team: &TeamId, key: &str) -> String {
    format!("{team}/{key}")
}

impl Writer {
    async fn run(mut self, mut asked: mpsc::Receiver<Asked>) {
        let mut ends: Vec<Wish> = Vec::new();
        loop {
            let Some(batch) = gather(&mut asked, &ends).await else {
                return;
            };
            let mut claims = Vec::new();
            for one in batch {
                match one.answer {
                    Some(answer) => claims.push((one.wish, answer)),
                    None => ends.push(one.wish),
                }
            }
            let wishes: Vec<Wish> =
                claims.iter().map(|(wish, _)| wish.clone()).chain(ends.iter().cloned()).collect();
            if wishes.is_empty() {
                continue;
            }
            match self.write(&wishes).await {
                Ok(granted) => {
                    self.pending.fetch_sub(ends.len(), Ordering::AcqRel);
                    ends.clear();
                    for ((_, answer), granted) in claims.into_iter().zip(granted) {
                        let _ = answer.send(told(granted));
                    }
                }
                Err(error) => {
                    self.known = None;
                    let error = ClaimError::Store(error.to_string());
                    for (wish, answer) in claims {
                        // The write may have taken effect: give the key back when the store can.
                        ends.extend(released(wish));
                        self.pending.fetch_add(1, Ordering::AcqRel);
                        let _ = answer.send(Err(error.clone()));
                    }
                    let surplus = ends.len().saturating_sub(ENDS_KEPT);
                    ends.drain(..surplus);
                    self.pending.fetch_sub(surplus, Ordering::AcqRel);
                }
            }
        }
    }

    async fn write(&mut self, wishes: &[Wish]) -> Result<Vec<Granted>, StoreError> {
        for _ in 0..CONFLICTS {
            // Other nodes write here too, and a read costs the store less than a lost write.
            let (revision, bucket) = match self.known.take() {
                Some(known) => known,
                None => read_bucket(self.store.get(&self.key).await?),
            };
            let keep = self.settings.keep;
            let (mut next, granted) = claim::decide(&bucket, wishes, &self.node, keep, Time::now());
            if granted.iter().all(|granted| *granted != Granted::Yes) {
                return Ok(granted);
            }
            next.op = Some(OpId::fresh());
            let value: Bytes = serde_json::to_vec(&next)
                .expect("buckets hold no value that JSON cannot write")
                .into();
            match self.store.swap_surely(&self.key, revision, Vec::new(), value).await? {
                Swap::Done(_) => return Ok(granted),
                Swap::Conflict(entry) => self.known = Some(read_bucket(entry)),
            }
        }
        let (step, peer) = ("claim", "store".to_owned());
        let cause = format!("others wrote first {CONFLICTS} times");
        Err(StoreError::Unreached { step, peer, cause })
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
            // Written by no version that this one knows: its claims cannot be told, so none may
            // be granted. No write is ever accepted at this revision.
            log::error!("claims {}: not understood: {error}", entry.key);
            (Revision(u64::MAX), Bucket::default())
        }
        None => (entry.revision, Bucket::default()),
    }
}

/// Waits for wishes, and takes all that are there. Ends alone wait a little for claims.
async fn gather(asked: &mut mpsc::Receiver<Asked>, ends: &[Wish]) -> Option<Vec<Asked>> {
    let mut batch = Vec::new();
    if ends.is_empty() {
        batch.push(asked.recv().await?);
    } else if let Ok(one) = tokio::time::timeout(END_AGAIN, asked.recv()).await {
        batch.push(one?);
    }
    if batch.iter().all(|one| one.answer.is_none()) {
        let until = tokio::time::Instant::now() + END_WAIT;
        while let Ok(Some(one)) = tokio::time::timeout_at(until, asked.recv()).await {
            let is_claim = one.answer.is_some();
            batch.push(one);
            if is_claim {
                break;
            }
        }
    }
    while batch.len() < BATCH {
        let Ok(one) = asked.try_recv() else { break };
        batch.push(one);
    }
    Some(batch)
}

fn told(granted: Granted) -> Result<(), ClaimError> {
    match granted {
        Granted::Yes => Ok(()),
        Granted::Held(claim) => Err(ClaimError::Held(claim)),
        Granted::Full => Err(ClaimError::Full),
    }
}

fn released(wish: Wish) -> Option<Wish> {
    match wish {
        Wish::Claim { key, op } => Some(Wish::End { key, op, state: ClaimState::Released }),
        Wish::End { .. } => None,
    }
}
