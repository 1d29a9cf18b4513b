//! Client of the platform's key-value store: compare-and-swap of single keys, leases and watches,
//! in the published JSON mapping of etcd v3.
//!
//! The result of a write without an answer is *unknown*, not failed: [`Store::swap`] reports this,
//! and the writer must read the key back and compare operation identifiers before it goes on.

pub(crate) mod etcd;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

use crate::model::{record::CLAIMS_PREFIX, unit::Revision};

/// A lease of the store.
pub(crate) type LeaseId = i64;

/// A further condition of a write: another key must have this revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Guard {
    pub(crate) key: String,
    pub(crate) revision: Revision,
}

/// One call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Call {
    /// Reads a key.
    Get { key: String },
    /// Reads all keys with a prefix.
    List { prefix: String },
    /// Reads the newest revision of the keys with a prefix.
    Newest { prefix: String },
    /// Writes a key if it has the expected revision; zero if the key must not exist.
    Swap {
        key: String,
        expect: Revision,
        guards: Vec<Guard>,
        value: Option<Bytes>,
        lease: Option<LeaseId>,
    },
    /// Acquires a lease.
    Grant { ttl: Duration },
    /// Renews a lease.
    Renew { lease: LeaseId },
    /// Revokes a lease and deletes its keys.
    Revoke { lease: LeaseId },
}

impl Call {
    /// The kind of call, as a metric label.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Call::Get { .. } => "get",
            Call::List { .. } => "list",
            Call::Newest { .. } => "newest",
            Call::Swap { .. } => "swap",
            Call::Grant { .. } => "grant",
            Call::Renew { .. } => "renew",
            Call::Revoke { .. } => "revoke",
        }
    }
}

/// Priority of a write when there are more writes than the store accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Claims of requests: other writes wait for at most one claim of each bucket.
    Claims,
    /// Plans, placements and configuration.
    Control,
    /// A node's registration.
    Registration,
}

impl Call {
    /// The priority of the call, or `None` if it does not count as a write.
    fn priority(&self) -> Option<Priority> {
        match self {
            Call::Swap { key, .. } if key.starts_with(CLAIMS_PREFIX) => Some(Priority::Claims),
            Call::Swap { lease: None, .. } => Some(Priority::Control),
            Call::Swap { .. } | Call::Grant { .. } | Call::Revoke { .. } => {
                Some(Priority::Registration)
            }
            Call::Get { .. } | Call::List { .. } | Call::Newest { .. } | Call::Renew { .. } => None,
        }
    }
}

/// A key with its value, or without one if it was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) value: Option<Bytes>,
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reply {
    /// Entries, read at a revision of the whole store.
    Entries { entries: Vec<Entry>, revision: Revision },
    /// The write was made, at this revision.
    Swapped(Revision),
    /// The write was refused; holds the key's current entry.
    Conflict(Option<Entry>),
    /// The lease, with its remaining time: zero once it has expired.
    Lease { lease: LeaseId, left: Duration },
}

/// Events of a watch, ordered by revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Events {
    pub(crate) entries: Vec<Entry>,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    #[error("store {peer}, {step}: failed: {cause}")]
    Failed { step: &'static str, peer: String, cause: String },
    #[error("store {peer}, {step}: no answer, a write may have taken effect: {cause}")]
    Unanswered { step: &'static str, peer: String, cause: String },
    #[error("store {peer}, {step}: refused with status {status}")]
    Refused { step: &'static str, peer: String, status: u16 },
    #[error("store {peer}, {step}: invalid answer: {cause}")]
    InvalidAnswer { step: &'static str, peer: String, cause: String },
    #[error("store {peer}: revisions up to {through} have been compacted")]
    Compacted { peer: String, through: Revision },
}

impl StoreError {
    /// Whether a write that failed this way may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        matches!(self, StoreError::Unanswered { .. } | StoreError::InvalidAnswer { .. })
    }
}

/// Receives the size of each body that is sent or received.
type SizeObserver = Arc<dyn Fn(usize) + Send + Sync>;
type CallFn = dyn Fn(Call) -> BoxFuture<'static, Result<Reply, StoreError>> + Send + Sync;
type WatchStream = BoxStream<'static, Result<Events, StoreError>>;
type WatchFn =
    dyn Fn(String, Revision) -> BoxFuture<'static, Result<WatchStream, StoreError>> + Send + Sync;

/// The store as two functions. An implementation for another store has to provide only these.
#[derive(Clone)]
pub(crate) struct Store {
    call: Arc<CallFn>,
    watch: Arc<WatchFn>,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Swap {
    /// Written, at this revision.
    Done(Revision),
    /// Refused; holds the key's current entry.
    Conflict(Option<Entry>),
}

impl Store {
    /// Creates a store from its two functions.
    pub(crate) fn new(
        call: impl Fn(Call) -> BoxFuture<'static, Result<Reply, StoreError>> + Send + Sync + 'static,
        watch: impl Fn(String, Revision) -> BoxFuture<'static, Result<WatchStream, StoreError>>
        + Send
        + Sync
        + 'static,
    ) -> Store {
        Store { call: Arc::new(call), watch: Arc::new(watch) }
    }

    /// Creates a client of the store at `address`, over HTTP. No call takes longer than `timeout`.
    /// `note` receives the size of each body that is sent or received.
    pub(crate) fn over_http(
        address: &str,
        timeout: Duration,
        note: impl Fn(usize) + Send + Sync + 'static,
    ) -> Store {
        let note: SizeObserver = Arc::new(note);
        let peer: Arc<str> = address.into();
        let client = reqwest::Client::builder()
            .connect_timeout(timeout)
            .build()
            .expect("building an HTTP client without TLS cannot fail");
        let (call_peer, call_client, call_note) = (peer.clone(), client.clone(), note.clone());
        Store::new(
            move |call| {
                let (peer, client) = (call_peer.clone(), call_client.clone());
                let note = call_note.clone();
                Box::pin(async move { etcd::call(&client, &peer, call, timeout, &note).await })
            },
            move |prefix, from| {
                let (peer, client, note) = (peer.clone(), client.clone(), note.clone());
                Box::pin(
                    async move { etcd::watch(client, peer, prefix, from, timeout, note).await },
                )
            },
        )
    }

    /// Wraps the store so that `note` receives the kind of each call.
    pub(crate) fn with_call_observer(
        self,
        note: impl Fn(&'static str) + Send + Sync + 'static,
    ) -> Store {
        let note = Arc::new(note);
        let (call, watch, watch_note) = (self.call, self.watch, note.clone());
        Store::new(
            move |one| {
                note(one.kind());
                call(one)
            },
            move |prefix, from| {
                watch_note("watch");
                watch(prefix, from)
            },
        )
    }

    /// Wraps the store so that each call that counts as a write first awaits `permit`.
    pub(crate) fn rate_limited(
        self,
        permit: impl Fn(Priority) -> BoxFuture<'static, ()> + Send + Sync + 'static,
    ) -> Store {
        let permit = Arc::new(permit);
        let (call, watch) = (self.call, self.watch);
        Store::new(
            move |one| {
                let (call, permit) = (call.clone(), permit.clone());
                Box::pin(async move {
                    if let Some(priority) = one.priority() {
                        permit(priority).await;
                    }
                    call(one).await
                })
            },
            move |prefix, from| watch(prefix, from),
        )
    }

    /// Reads one key.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        match (self.call)(Call::Get { key: key.to_owned() }).await? {
            Reply::Entries { entries, .. } => Ok(entries.into_iter().next()),
            other => Err(unexpected("get", &other)),
        }
    }

    /// Reads all keys with a prefix, and the store's revision at that time.
    pub(crate) async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), StoreError> {
        match (self.call)(Call::List { prefix: prefix.to_owned() }).await? {
            Reply::Entries { entries, revision } => Ok((entries, revision)),
            other => Err(unexpected("list", &other)),
        }
    }

    /// Reads the newest revision of the keys with a prefix.
    pub(crate) async fn newest(&self, prefix: &str) -> Result<Revision, StoreError> {
        match (self.call)(Call::Newest { prefix: prefix.to_owned() }).await? {
            Reply::Entries { entries, .. } => {
                Ok(entries.first().map(|entry| entry.revision).unwrap_or_default())
            }
            other => Err(unexpected("newest", &other)),
        }
    }

    /// Writes a key, or deletes it if there is no value, if it has the expected revision.
    pub(crate) async fn swap(
        &self,
        key: &str,
        expect: Revision,
        value: Option<Bytes>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        self.swap_guarded(key, expect, Vec::new(), value, lease).await
    }

    async fn swap_guarded(
        &self,
        key: &str,
        expect: Revision,
        guards: Vec<Guard>,
        value: Option<Bytes>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, StoreError> {
        let call = Call::Swap { key: key.to_owned(), expect, guards, value, lease };
        match (self.call)(call).await? {
            Reply::Swapped(revision) => Ok(Swap::Done(revision)),
            Reply::Conflict(entry) => Ok(Swap::Conflict(entry)),
            other => Err(unexpected("swap", &other)),
        }
    }

    /// Like [`Store::swap`], with further conditions on other keys. After a write without an
    /// answer, the key is read back once: if it holds the written value, which carries the
    /// identifier of its operation, the write took effect.
    pub(crate) async fn swap_with_read_back(
        &self,
        key: &str,
        expect: Revision,
        guards: Vec<Guard>,
        value: Bytes,
    ) -> Result<Swap, StoreError> {
        match self.swap_guarded(key, expect, guards, Some(value.clone()), None).await {
            Err(error) if error.is_unknown() => match self.get(key).await? {
                Some(entry) if entry.value.as_ref() == Some(&value) => {
                    Ok(Swap::Done(entry.revision))
                }
                // Unchanged: the write may still arrive, so its result stays unknown.
                entry if entry.as_ref().map(|e| e.revision).unwrap_or_default() == expect => {
                    Err(error)
                }
                entry => Ok(Swap::Conflict(entry)),
            },
            other => other,
        }
    }

    /// Acquires a lease.
    pub(crate) async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        match (self.call)(Call::Grant { ttl }).await? {
            Reply::Lease { lease, .. } => Ok(lease),
            other => Err(unexpected("grant", &other)),
        }
    }

    /// Renews a lease and returns its remaining time: zero once it has expired.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        match (self.call)(Call::Renew { lease }).await? {
            Reply::Lease { left, .. } => Ok(left),
            other => Err(unexpected("renew", &other)),
        }
    }

    /// Revokes a lease.
    pub(crate) async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        (self.call)(Call::Revoke { lease }).await.map(|_| ())
    }

    /// Watches all keys with a prefix, starting at a revision.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<WatchStream, StoreError> {
        (self.watch)(prefix.to_owned(), from).await
    }
}

fn unexpected(step: &'static str, reply: &Reply) -> StoreError {
    let cause = format!("unexpected reply {reply:?}");
    StoreError::InvalidAnswer { step, peer: "store".to_owned(), cause }
}

/// The first key after all keys with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // Prefixes are ASCII, so the last byte is never 255.
        *last += 1;
    }
    end
}

/// Formats an error and all of its causes on one line.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
