//! Client of the platform's key-value store: conditional transactions, leases and long-poll
//! watches.
//!
//! The result of a write without an answer is *unknown*: the write may have been made, or may be
//! made seconds later if its conditions still hold. [`StoreError::is_unknown`] distinguishes this
//! from a refusal.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    model::unit::Revision,
    platform::{
        connections::{CallError, Connections, FullResponse},
        store::{LeaseId, StoreError, chain},
    },
};

/// Maximum number of entries (conditions, puts and removals together) of one transaction.
pub(crate) const MAX_TXN_ENTRIES: usize = 32;

/// Timeout of opening a connection. A store in the same region answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time without data before a bulk read or a watch fails: longer than a watch waits for a
/// change plus a slow round trip.
const BULK_READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Total timeout of a bulk read that keeps receiving data: a page of 1 MB takes about a second on a
/// link of 10 Mbit/s.
const BULK_TIMEOUT: Duration = Duration::from_secs(6);

/// The wait from which on a watch has connections of its own.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// How long after its wait such a watch fails: it is detected that its connection has hung, or its
/// answer is large and is read in bulk instead.
const LONG_WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Number of changes, or bytes of keys and values, from which on a watch answer may be truncated:
/// the store sends at most some 500 changes (500 to 506) or 1 MB of base64 and does not say whether
/// there are more. Assuming truncation wrongly costs one more call.
const TRUNCATION_CHANGES: usize = 400;
const TRUNCATION_BYTES: usize = 700_000;

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) value: Bytes,
}

/// A change reported by a watch: the item as written, or no value if it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) value: Option<Bytes>,
}

/// Several writes that are made atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Txn {
    /// Keys with the revision that each must have; 0 if the key must not exist.
    pub(crate) conditions: Vec<(String, Revision)>,
    pub(crate) puts: Vec<Put>,
    pub(crate) removes: Vec<String>,
}

/// One value to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Put {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    pub(crate) lease: Option<LeaseId>,
}

impl Txn {
    /// Adds a condition.
    pub(crate) fn expect(mut self, key: impl Into<String>, revision: Revision) -> Txn {
        self.conditions.push((key.into(), revision));
        self
    }

    /// Adds a write.
    pub(crate) fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Txn {
        self.puts.push(Put { key: key.into(), value: value.into(), lease: None });
        self
    }

    /// Adds a write that is removed with a lease.
    pub(crate) fn put_leased(mut self, key: &str, value: impl Into<Bytes>, lease: LeaseId) -> Txn {
        self.puts.push(Put { key: key.to_owned(), value: value.into(), lease: Some(lease) });
        self
    }

    /// Adds a removal.
    pub(crate) fn remove(mut self, key: impl Into<String>) -> Txn {
        self.removes.push(key.into());
        self
    }
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CommitResult {
    /// Committed at this revision.
    Done(Revision),
    /// Not committed: a condition failed. Holds the current items of the conditions' keys, without
    /// absent keys.
    Conflict(Vec<Item>),
    /// Not committed: the lease has expired.
    LeaseExpired,
}

/// The changes of one watch answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WatchBatch {
    pub(crate) changes: Vec<Change>,
    /// The revision from which the watch continues.
    pub(crate) at: Revision,
}

impl WatchBatch {
    /// Whether the store may have left out later changes.
    pub(crate) fn may_be_truncated(&self) -> bool {
        let bytes =
            |change: &Change| change.key.len() + change.value.as_ref().map_or(0, Bytes::len);
        TRUNCATION_CHANGES <= self.changes.len()
            || TRUNCATION_BYTES <= self.changes.iter().map(bytes).sum::<usize>()
    }
}

/// Receives the name, outcome and duration of each call.
type CallObserver = dyn Fn(&'static str, &'static str, Duration) + Send + Sync;

/// A client of the store.
#[derive(Clone)]
pub(crate) struct Kv {
    client: Connections,
    /// For answers that may be large or late: times out only while no data arrives.
    bulk: Connections,
    /// For watches that wait for longer than such an answer may take to begin.
    long: Connections,
    peer: Arc<str>,
    /// Timeout of a call.
    timeout: Duration,
    observe: Arc<CallObserver>,
}

#[derive(Deserialize)]
struct WireItem {
    /// The item's key. Not private, despite its name.
    private_key: String,
    #[serde(default)]
    value: String,
    revision: u64,
    #[serde(default)]
    gone: bool,
}

#[derive(Deserialize)]
struct WireRange {
    items: Vec<WireItem>,
    #[serde(default)]
    more: bool,
    at: u64,
}

#[derive(Deserialize)]
struct WireEvents {
    events: Vec<WireItem>,
    at: u64,
}

#[derive(Serialize)]
struct WireExpect<'a> {
    private_key: &'a str,
    revision: u64,
}

#[derive(Serialize)]
struct WirePut<'a> {
    private_key: &'a str,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<LeaseId>,
}

#[derive(Serialize)]
struct WireTxn<'a> {
    expected_revision: Vec<WireExpect<'a>>,
    put: Vec<WirePut<'a>>,
    remove: &'a [String],
}

#[derive(Deserialize)]
struct WireRevision {
    revision: u64,
}

#[derive(Deserialize)]
struct WireConflict {
    #[serde(default)]
    items: Vec<WireItem>,
}

#[derive(Serialize, Deserialize)]
struct WireTtl {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct WireLease {
    lease: LeaseId,
    ttl_ms: u64,
}

/// The status and body of an answer.
struct Answer {
    step: &'static str,
    status: StatusCode,
    body: Bytes,
}

impl Kv {
    /// Creates a client of the store at `address`. `timeout` applies to all calls but bulk reads
    /// and watches.
    pub(crate) fn new(
        address: &str,
        timeout: Duration,
        observe: impl Fn(&'static str, &'static str, Duration) + Send + Sync + 'static,
    ) -> Kv {
        let builder = move || {
            reqwest::Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_TIMEOUT.min(timeout))
        };
        let client = Connections::new(builder);
        let bulk = Connections::new(move || builder().read_timeout(BULK_READ_TIMEOUT));
        let long = Connections::new(builder);
        Kv { client, bulk, long, peer: address.into(), timeout, observe: Arc::new(observe) }
    }

    /// Reads all keys with a prefix, and the revision from which a watch continues: that of the
    /// first page, because the pages are not one snapshot.
    pub(crate) async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_at = None;
        loop {
            let mut query = vec![("path_prefix", prefix.to_owned())];
            if let Some(last) = items.last() {
                // In this call the parameter names the key after which the page starts.
                query.push(("since_revision", last.key.clone()));
            }
            let url = self.url("kv-range");
            let request = |client: &Client| client.get(url).query(&query).timeout(BULK_TIMEOUT);
            let answer = self.send("range", &self.bulk, request).await?;
            if answer.status != StatusCode::OK {
                return Err(self.refused(&answer));
            }
            let page: WireRange = self.parse(&answer)?;
            let at = *first_at.get_or_insert(Revision(page.at));
            let empty = page.items.is_empty();
            for item in page.items {
                items.push(self.item("range", item)?);
            }
            if !page.more {
                return Ok((items, at));
            }
            // Callers treat keys that are not listed as removed.
            if empty {
                return Err(
                    self.malformed("range", "an empty page claims that there are more items")
                );
            }
        }
    }

    /// Waits for at most `wait` until keys with a prefix have changed after a revision.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let query = [
            ("path_prefix", prefix.to_owned()),
            ("since_revision", since.0.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let url = self.url("kv-watch");
        let (connections, timeout) = match wait < LONG_WAIT {
            true => (&self.bulk, wait + BULK_TIMEOUT),
            false => (&self.long, wait + LONG_WATCH_MARGIN),
        };
        let request = |client: &Client| client.get(url).query(&query).timeout(timeout);
        let answer = self.send("watch", connections, request).await?;
        match answer.status {
            StatusCode::OK => {
                read_changes(&answer.body).map_err(|cause| self.malformed(answer.step, cause))
            }
            StatusCode::GONE => {
                Err(StoreError::Compacted { peer: self.peer.to_string(), through: since })
            }
            _ => Err(self.refused(&answer)),
        }
    }

    /// Commits a transaction.
    pub(crate) async fn commit(&self, txn: &Txn) -> Result<CommitResult, StoreError> {
        let wire = WireTxn {
            expected_revision: txn
                .conditions
                .iter()
                .map(|(key, revision)| WireExpect { private_key: key, revision: revision.0 })
                .collect(),
            put: txn
                .puts
                .iter()
                .map(|put| WirePut {
                    private_key: &put.key,
                    value: BASE64_STANDARD.encode(&put.value),
                    lease: put.lease,
                })
                .collect(),
            remove: &txn.removes,
        };
        let url = self.url("kv-txn");
        let request = |client: &Client| client.post(url).json(&wire).timeout(self.timeout);
        let answer = self.send("commit", &self.client, request).await?;
        match answer.status {
            StatusCode::OK => {
                Ok(CommitResult::Done(Revision(self.parse::<WireRevision>(&answer)?.revision)))
            }
            StatusCode::PRECONDITION_FAILED => {
                let conflict: WireConflict = self.parse(&answer)?;
                // An absent key may be listed without a value, at revision 0.
                let present = conflict.items.into_iter().filter(|item| item.revision != 0);
                let items = present.map(|item| self.item("commit", item));
                Ok(CommitResult::Conflict(items.collect::<Result<_, _>>()?))
            }
            StatusCode::NOT_FOUND => Ok(CommitResult::LeaseExpired),
            _ => Err(self.refused(&answer)),
        }
    }

    /// Acquires a lease and returns its identifier and its time to live.
    pub(crate) async fn grant(&self, ttl: Duration) -> Result<(LeaseId, Duration), StoreError> {
        let body = WireTtl { ttl_ms: ttl.as_millis() as u64 };
        let url = self.url("kv-lease");
        let request = |client: &Client| client.post(url).json(&body).timeout(self.timeout);
        let answer = self.send("grant", &self.client, request).await?;
        if answer.status != StatusCode::OK {
            return Err(self.refused(&answer));
        }
        let lease: WireLease = self.parse(&answer)?;
        Ok((lease.lease, Duration::from_millis(lease.ttl_ms)))
    }

    /// Renews a lease. Returns `None` if it has expired.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<Option<Duration>, StoreError> {
        let url = self.url(&format!("kv-keep/{lease}"));
        let request = |client: &Client| client.post(url).timeout(self.timeout);
        let answer = self.send("keep", &self.client, request).await?;
        match answer.status {
            StatusCode::OK => {
                Ok(Some(Duration::from_millis(self.parse::<WireTtl>(&answer)?.ttl_ms)))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.refused(&answer)),
        }
    }

    fn url(&self, call: &str) -> String {
        format!("http://{}/-/{call}", self.peer)
    }

    async fn send(
        &self,
        step: &'static str,
        connections: &Connections,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Answer, StoreError> {
        let started = Instant::now();
        let answer =
            connections.call(request).await.map_err(|error| self.transport_error(step, &error));
        let answer = answer.map(|FullResponse { status, body, .. }| Answer { step, status, body });
        let outcome = match &answer {
            Ok(answer) if answer.status.is_success() => "done",
            Ok(_) => "refused",
            Err(error) if error.is_unknown() => "unanswered",
            Err(_) => "unreached",
        };
        (self.observe)(step, outcome, started.elapsed());
        answer
    }

    fn transport_error(&self, step: &'static str, error: &CallError) -> StoreError {
        let (peer, cause) = (self.peer.to_string(), chain(error));
        if error.is_connect() {
            StoreError::Failed { step, peer, cause }
        } else {
            StoreError::Unanswered { step, peer, cause }
        }
    }

    fn refused(&self, answer: &Answer) -> StoreError {
        let (step, status) = (answer.step, answer.status.as_u16());
        StoreError::Refused { step, peer: self.peer.to_string(), status }
    }

    fn malformed(&self, step: &'static str, cause: impl ToString) -> StoreError {
        StoreError::InvalidAnswer { step, peer: self.peer.to_string(), cause: cause.to_string() }
    }

    fn parse<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, StoreError> {
        serde_json::from_slice(&answer.body).map_err(|error| self.malformed(answer.step, error))
    }

    fn item(&self, step: &'static str, wire: WireItem) -> Result<Item, StoreError> {
        item(wire).map_err(|error| self.malformed(step, error))
    }
}

fn item(wire: WireItem) -> Result<Item, base64::DecodeError> {
    let value = BASE64_STANDARD.decode(&wire.value)?;
    let (key, revision) = (wire.private_key, Revision(wire.revision));
    Ok(Item { key, revision, value: value.into() })
}

/// Parses a watch answer. The error is the cause as text.
pub(crate) fn read_changes(body: &[u8]) -> Result<WatchBatch, String> {
    let answer: WireEvents = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let change = |wire: WireItem| {
        let gone = wire.gone;
        let Item { key, revision, value } = item(wire)?;
        Ok(Change { key, revision, value: (!gone).then_some(value) })
    };
    let changes = answer.events.into_iter().map(change).collect::<Result<_, _>>();
    let changes = changes.map_err(|error: base64::DecodeError| error.to_string())?;
    Ok(WatchBatch { changes, at: Revision(answer.at) })
}
