//! The platform's key-value store: transactions under conditions, leases, and watches by long poll.
//!
//! A write whose answer was lost is *unknown*: it may have been done, or may be done seconds later
//! if its conditions still hold. [`StoreError::is_unknown`] tells it apart from a refusal.

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
        connections::{Connections, Whole},
        store::{LeaseId, StoreError, chain},
    },
};

/// Most entries (conditions, puts and removals together) of one transaction.
pub(crate) const TXN_ENTRIES: usize = 32;

/// How long a connection may take to open. A store in the same region answers in milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long a read of many keys, or a watch, may be silent before it counts as lost: longer than a
/// watch waits for a change, with what the way there and back takes on a slow day.
const BULK_SILENCE: Duration = Duration::from_millis(1_500);

/// How long a read of many keys may take as long as more of the answer comes: a page of 1 MB takes
/// about a second on a link of 10 Mbit/s.
const BULK_LIMIT: Duration = Duration::from_secs(6);

/// From how many changes, or bytes of keys and values, on an answer of a watch may be cut: the store
/// tells some 500 changes or 1 MB of base64 at the most (measured: 500 to 506 changes), and not
/// whether there are more. One that is taken for cut and was not costs one more call.
const CUT_CHANGES: usize = 400;
const CUT_BYTES: usize = 700_000;

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) value: Bytes,
}

/// A change that a watch tells of: an item as written, or none once it is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) revision: Revision,
    pub(crate) value: Option<Bytes>,
}

/// Several writes that are done together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Txn {
    /// Keys with the revision that each must have; 0: there must be none.
    pub(crate) expects: Vec<(String, Revision)>,
    pub(crate) puts: Vec<Put>,
    pub(crate) removes: Vec<String>,
}

/// One value to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Put {
    pub(crate) key: String,
    pub(crate) value: Bytes,
    pub(crate) lease: Option<LeaseId>,
}

impl Txn {
    /// Adds a condition.
    pub(crate) fn expect(mut self, key: impl Into<String>, revision: Revision) -> Txn {
        self.expects.push((key.into(), revision));
        self
    }

    /// Adds a write.
    pub(crate) fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Txn {
        self.puts.push(Put { key: key.into(), value: value.into(), lease: None });
        self
    }

    /// Adds a write that goes with a lease.
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

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Committed {
    /// Done, at this revision.
    Done(Revision),
    /// Not done: the keys of the conditions are as they are here; those that are absent are left
    /// out.
    Conflict(Vec<Item>),
    /// Not done: the lease is over.
    LeaseOver,
}

/// What a watch has heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Heard {
    pub(crate) changes: Vec<Change>,
    /// The revision to go on from.
    pub(crate) at: Revision,
}

impl Heard {
    /// Whether the store may have left out what came after these changes.
    pub(crate) fn may_be_cut(&self) -> bool {
        let bytes =
            |change: &Change| change.key.len() + change.value.as_ref().map_or(0, Bytes::len);
        CUT_CHANGES <= self.changes.len()
            || CUT_BYTES <= self.changes.iter().map(bytes).sum::<usize>()
    }
}

/// Told the name, outcome and time of each call.
type Note = dyn Fn(&'static str, &'static str, Duration) + Send + Sync;

/// A client of the store.
#[derive(Clone)]
pub(crate) struct Kv {
    client: Connections,
    /// For answers that may be large or late: it waits as long as something comes.
    bulk: Connections,
    peer: Arc<str>,
    /// How long a call may take.
    limit: Duration,
    note: Arc<Note>,
}

#[derive(Deserialize)]
struct WireItem {
    /// The item's key; nothing about it is private.
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

/// An answer's status and body.
struct Answer {
    step: &'static str,
    status: StatusCode,
    body: Bytes,
}

impl Kv {
    /// A client of the store at an address. Calls other than watches take at most `limit`.
    pub(crate) fn new(
        address: &str,
        limit: Duration,
        note: impl Fn(&'static str, &'static str, Duration) + Send + Sync + 'static,
    ) -> Kv {
        let builder = move || {
            reqwest::Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_LIMIT.min(limit))
        };
        let client = Connections::new(builder);
        let bulk = Connections::new(move || builder().read_timeout(BULK_SILENCE));
        Kv { client, bulk, peer: address.into(), limit, note: Arc::new(note) }
    }

    /// Reads all keys that begin with a prefix, and the revision from which a watch goes on: that
    /// of the first page, since pages are no snapshot.
    pub(crate) async fn range(&self, prefix: &str) -> Result<(Vec<Item>, Revision), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut first_at = None;
        loop {
            let mut query = vec![("path_prefix", prefix.to_owned())];
            if let Some(last) = items.last() {
                // On this call the name means the key after which the page starts.
                query.push(("since_revision", last.key.clone()));
            }
            let url = self.url("kv-range");
            let request = |client: &Client| client.get(url).query(&query).timeout(BULK_LIMIT);
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
            // What is not listed counts as removed.
            if empty {
                return Err(self.garbled("range", "a page without items tells of more"));
            }
        }
    }

    /// Waits until keys that begin with a prefix have changed after a revision, for at most
    /// `wait`.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Heard, StoreError> {
        let query = [
            ("path_prefix", prefix.to_owned()),
            ("since_revision", since.0.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let (url, limit) = (self.url("kv-watch"), wait + BULK_LIMIT);
        let request = |client: &Client| client.get(url).query(&query).timeout(limit);
        let answer = self.send("watch", &self.bulk, request).await?;
        match answer.status {
            StatusCode::OK => {
                read_changes(&answer.body).map_err(|cause| self.garbled(answer.step, cause))
            }
            StatusCode::GONE => {
                Err(StoreError::Compacted { peer: self.peer.to_string(), through: since })
            }
            _ => Err(self.refused(&answer)),
        }
    }

    /// Does all writes of a transaction, or none.
    pub(crate) async fn commit(&self, txn: &Txn) -> Result<Committed, StoreError> {
        let wire = WireTxn {
            expected_revision: txn
                .expects
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
        let request = |client: &Client| client.post(url).json(&wire).timeout(self.limit);
        let answer = self.send("commit", &self.client, request).await?;
        match answer.status {
            StatusCode::OK => {
                Ok(Committed::Done(Revision(self.parse::<WireRevision>(&answer)?.revision)))
            }
            StatusCode::PRECONDITION_FAILED => {
                let conflict: WireConflict = self.parse(&answer)?;
                // A key that is absent may be listed without a value, at revision 0.
                let present = conflict.items.into_iter().filter(|item| item.revision != 0);
                let items = present.map(|item| self.item("commit", item));
                Ok(Committed::Conflict(items.collect::<Result<_, _>>()?))
            }
            StatusCode::NOT_FOUND => Ok(Committed::LeaseOver),
            _ => Err(self.refused(&answer)),
        }
    }

    /// Takes a lease: its name and the time that it has.
    pub(crate) async fn grant(&self, ttl: Duration) -> Result<(LeaseId, Duration), StoreError> {
        let body = WireTtl { ttl_ms: ttl.as_millis() as u64 };
        let url = self.url("kv-lease");
        let request = |client: &Client| client.post(url).json(&body).timeout(self.limit);
        let answer = self.send("grant", &self.client, request).await?;
        if answer.status != StatusCode::OK {
            return Err(self.refused(&answer));
        }
        let lease: WireLease = self.parse(&answer)?;
        Ok((lease.lease, Duration::from_millis(lease.ttl_ms)))
    }

    /// Renews a lease; nothing if it is over.
    pub(crate) async fn keep(&self, lease: LeaseId) -> Result<Option<Duration>, StoreError> {
        let url = self.url(&format!("kv-keep/{lease}"));
        let request = |client: &Client| client.post(url).timeout(self.limit);
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
        over: &Connections,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<Answer, StoreError> {
        let began = Instant::now();
        let answer = over.call(request).await.map_err(|error| self.failed(step, &error));
        let answer = answer.map(|Whole { status, body, .. }| Answer { step, status, body });
        let outcome = match &answer {
            Ok(answer) if answer.status.is_success() => "done",
            Ok(_) => "refused",
            Err(error) if error.is_unknown() => "unanswered",
            Err(_) => "unreached",
        };
        (self.note)(step, outcome, began.elapsed());
        answer
    }

    fn failed(&self, step: &'static str, error: &reqwest::Error) -> StoreError {
        let (peer, cause) = (self.peer.to_string(), chain(error));
        if error.is_connect() {
            StoreError::Unreached { step, peer, cause }
        } else {
            StoreError::Unanswered { step, peer, cause }
        }
    }

    fn refused(&self, answer: &Answer) -> StoreError {
        let (step, status) = (answer.step, answer.status.as_u16());
        StoreError::Refused { step, peer: self.peer.to_string(), status }
    }

    fn garbled(&self, step: &'static str, cause: impl ToString) -> StoreError {
        StoreError::Garbled { step, peer: self.peer.to_string(), cause: cause.to_string() }
    }

    fn parse<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, StoreError> {
        serde_json::from_slice(&answer.body).map_err(|error| self.garbled(answer.step, error))
    }

    fn item(&self, step: &'static str, wire: WireItem) -> Result<Item, StoreError> {
        item(wire).map_err(|error| self.garbled(step, error))
    }
}

fn item(wire: WireItem) -> Result<Item, base64::DecodeError> {
    let value = BASE64_STANDARD.decode(&wire.value)?;
    let (key, revision) = (wire.private_key, Revision(wire.revision));
    Ok(Item { key, revision, value: value.into() })
}

/// Reads the answer of a watch; the cause if it is not understood.
pub(crate) fn read_changes(body: &[u8]) -> Result<Heard, String> {
    let heard: WireEvents = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let change = |wire: WireItem| {
        let gone = wire.gone;
        let Item { key, revision, value } = item(wire)?;
        Ok(Change { key, revision, value: (!gone).then_some(value) })
    };
    let changes = heard.events.into_iter().map(change).collect::<Result<_, _>>();
    let changes = changes.map_err(|error: base64::DecodeError| error.to_string())?;
    Ok(Heard { changes, at: Revision(heard.at) })
}
