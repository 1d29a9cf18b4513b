//! The stand-in's store: conditional transactions, leases, and watches by long poll.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use poem::{Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Faults, LOST_ANSWER_DELAY, MAX_BODY_BYTES, Site};
use crate::http;

/// Number of changes kept for watches.
const MAX_HISTORY: usize = 10_000;

/// Number of missed changes above which a watch gets no answer, if `store_long_history` is set.
const MAX_MISSED_CHANGES: usize = 2;

/// How often a silent watch checks whether it may end.
const SILENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum items of one page, and of one answer of a watch, which is exceeded only to complete a
/// transaction.
const MAX_PAGE_ITEMS: usize = 500;

/// A stored value.
#[derive(Debug, Clone)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// One change, for watches.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// The store's state.
#[derive(Default)]
pub(super) struct Store {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: VecDeque<Change>,
    /// Changes up to this revision are compacted.
    compacted: u64,
    /// Leases with their duration and their end, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    writes: u64,
}

#[derive(Deserialize)]
struct Expectation {
    private_key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    private_key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    expected_revision: Vec<Expectation>,
    #[serde(default)]
    put: Vec<Put>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Ttl {
    ttl_ms: u64,
}

impl Store {
    /// Writes a value and returns the new revision.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        self.set(key, value, lease);
        self.revision
    }

    /// Writes a value at the current revision, which all writes of a transaction share.
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let stored = Stored { value: value.clone(), revision: self.revision, lease };
        self.items.insert(key.to_owned(), stored);
        self.record_change(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record_change(key, None);
        }
    }

    /// Removes a key at a new revision.
    pub(super) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    fn record_change(&mut self, key: &str, value: Option<Vec<u8>>) {
        let (key, revision) = (key.to_owned(), self.revision);
        self.history.push_back(Change { key, revision, value });
        if MAX_HISTORY < self.history.len()
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    /// Compacts all changes so far.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// Ends the leases that have expired, and returns whether there were any.
    pub(super) fn expire(&mut self, now: u64) -> bool {
        let expired = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        expired.iter().for_each(|lease| self.end_lease(*lease));
        !expired.is_empty()
    }

    /// Ends all leases, or the one with an index, modulo their number.
    pub(super) fn end_leases(&mut self, index: Option<usize>) {
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        let chosen = |at: usize| index.is_none_or(|index| index % leases.len() == at);
        let ended = leases.iter().enumerate().filter(|(at, _)| chosen(*at));
        ended.for_each(|(_, lease)| self.end_lease(*lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, stored)| stored.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        self.revision += 1;
        keys.iter().for_each(|key| self.remove(key));
    }

    fn item(&self, key: &str) -> Option<Value> {
        let stored = self.items.get(key)?;
        Some(json!({
            "private_key": key,
            "value": BASE64_STANDARD.encode(&stored.value),
            "revision": stored.revision,
            "lease": stored.lease,
        }))
    }

    fn commit(&mut self, txn: Txn) -> Response {
        let at = |key: &str| self.items.get(key).map_or(0, |stored| stored.revision);
        if txn.expected_revision.iter().any(|e| at(&e.private_key) != e.revision) {
            let keys = txn.expected_revision.iter();
            let items: Vec<Value> = keys.filter_map(|e| self.item(&e.private_key)).collect();
            return http::json(StatusCode::PRECONDITION_FAILED, &json!({ "items": items }));
        }
        if txn.put.iter().any(|put| put.lease != 0 && !self.leases.contains_key(&put.lease)) {
            return http::text(StatusCode::NOT_FOUND, "no such lease\n");
        }
        self.revision += 1;
        for put in txn.put {
            let Ok(value) = BASE64_STANDARD.decode(&put.value) else {
                return http::text(StatusCode::BAD_REQUEST, "not base64\n");
            };
            self.set(&put.private_key, value, put.lease);
        }
        txn.remove.iter().for_each(|key| self.remove(key));
        http::json(StatusCode::OK, &json!({ "revision": self.revision }))
    }

    fn range(&self, prefix: &str, after: &str) -> Response {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        let keys: Vec<&String> = keys.filter(|key| after < key.as_str()).collect();
        let more = MAX_PAGE_ITEMS < keys.len();
        let items: Vec<Value> =
            keys.into_iter().take(MAX_PAGE_ITEMS).filter_map(|key| self.item(key)).collect();
        let page = json!({ "items": items, "more": more, "at": self.revision });
        http::json(StatusCode::OK, &page)
    }

    /// Number of changes under a prefix since a revision.
    fn missed_changes(&self, prefix: &str, since: u64) -> usize {
        let missed = |change: &&Change| since < change.revision && change.key.starts_with(prefix);
        self.history.iter().filter(missed).count()
    }

    /// The changes after a revision, or nothing if there are none yet.
    fn events(&self, prefix: &str, since: u64) -> Option<Response> {
        if since < self.compacted {
            return Some(http::text(StatusCode::GONE, "the history is compacted\n"));
        }
        let newer = |change: &&Change| since < change.revision && change.key.starts_with(prefix);
        let mut newer = self.history.iter().filter(newer).peekable();
        newer.peek()?;
        let (mut events, mut at) = (Vec::new(), self.revision);
        while let Some(change) = newer.next() {
            events.push(event(change));
            if MAX_PAGE_ITEMS <= events.len()
                && newer.peek().is_some_and(|next| next.revision != change.revision)
            {
                at = change.revision;
                break;
            }
        }
        Some(http::json(StatusCode::OK, &json!({ "events": events, "at": at })))
    }
}

fn event(change: &Change) -> Value {
    let Change { key, revision, value } = change;
    match value {
        Some(value) => json!({
            "private_key": key,
            "revision": revision,
            "value": BASE64_STANDARD.encode(value),
        }),
        None => json!({ "private_key": key, "revision": revision, "gone": true }),
    }
}

/// Answers a call of the store.
pub(super) async fn answer(site: &Site, path: &str, request: &mut Request) -> Response {
    let faults = site.state().faults;
    if faults.store_down {
        return http::text(StatusCode::SERVICE_UNAVAILABLE, "down\n");
    }
    if faults.store_slow_ms != 0 {
        sleep(Duration::from_millis(faults.store_slow_ms)).await;
    }
    let query = request.params::<BTreeMap<String, String>>().unwrap_or_default();
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
    let call = path.trim_start_matches("/-/");
    match call {
        "kv-key" => match site.state().store.item(&text("private_key")) {
            Some(item) => http::json(StatusCode::OK, &item),
            None => http::text(StatusCode::NOT_FOUND, "no such key\n"),
        },
        "kv-range" => site.state().store.range(&text("path_prefix"), &text("since_revision")),
        "kv-watch" => {
            let wait = Duration::from_millis(number("wait_ms"));
            watch(site, &text("path_prefix"), number("since_revision"), wait).await
        }
        "kv-txn" => match http::read_json::<Txn>(request, MAX_BODY_BYTES).await {
            Ok(txn) => write(site, txn, faults).await,
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        },
        "kv-lease" => match http::read_json::<Ttl>(request, MAX_BODY_BYTES).await {
            Ok(ttl) => grant(site, ttl.ttl_ms),
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        },
        _ => lease_call(site, call),
    }
}

/// Executes a transaction, late if that is switched on. A transaction that has arrived is executed
/// even if the caller disconnects.
async fn write(site: &Site, txn: Txn, faults: Faults) -> Response {
    let number = {
        let mut state = site.state();
        state.store.writes += 1;
        state.store.writes
    };
    let is_late =
        faults.store_late_ms != 0 && number.is_multiple_of(faults.store_late_every.max(1));
    if !is_late {
        let answer = site.state().store.commit(txn);
        site.note_change();
        if faults.store_lost {
            sleep(LOST_ANSWER_DELAY).await;
        }
        return answer;
    }
    let site = site.clone();
    let late_write = tokio::spawn(async move {
        sleep(Duration::from_millis(faults.store_late_ms)).await;
        let answer = site.state().store.commit(txn);
        site.note_change();
        log::debug!("store: late write: {}", answer.status());
    });
    sleep(LOST_ANSWER_DELAY).await;
    match late_write.await {
        Ok(()) => http::text(StatusCode::GATEWAY_TIMEOUT, ""),
        Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

pub(super) async fn watch(site: &Site, prefix: &str, since: u64, wait: Duration) -> Response {
    let until = Instant::now() + wait;
    let mut changed = site.changed.subscribe();
    if site.state().faults.store_long_history
        && MAX_MISSED_CHANGES < site.state().store.missed_changes(prefix, since)
    {
        sleep(LOST_ANSWER_DELAY).await;
    }
    loop {
        if site.state().faults.store_watches_silent {
            return cut_after_silence(site).await;
        }
        if let Some(answer) = site.state().store.events(prefix, since) {
            return answer;
        }
        if timeout_at(until, changed.changed()).await.is_err() {
            if site.state().faults.store_watches_silent {
                return cut_after_silence(site).await;
            }
            // Watches are notified only after a change is made, so one may have been made since the
            // check: an answer with its revision but without the change would hide it for ever.
            let state = site.state();
            let at = state.store.revision;
            let empty = || http::json(StatusCode::OK, &json!({ "events": [], "at": at }));
            return state.store.events(prefix, since).unwrap_or_else(empty);
        }
    }
}

/// Ends a silent watch once watches receive changes again.
async fn cut_after_silence(site: &Site) -> Response {
    while site.state().faults.store_watches_silent {
        sleep(SILENT_CHECK_INTERVAL).await;
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, "the watch is cut\n")
}

fn grant(site: &Site, ttl_ms: u64) -> Response {
    let mut state = site.state();
    let end = state.now_ms() + ttl_ms;
    state.store.next_lease += 1;
    let lease = state.store.next_lease;
    state.store.leases.insert(lease, (ttl_ms, end));
    http::json(StatusCode::OK, &json!({ "lease": lease, "ttl_ms": ttl_ms }))
}

fn lease_call(site: &Site, call: &str) -> Response {
    let mut state = site.state();
    let now = state.now_ms();
    if let Some(Ok(lease)) = call.strip_prefix("kv-keep/").map(str::parse::<u64>) {
        return match state.store.leases.get_mut(&lease) {
            Some((ttl_ms, end)) => {
                *end = now + *ttl_ms;
                http::json(StatusCode::OK, &json!({ "ttl_ms": *ttl_ms }))
            }
            None => http::text(StatusCode::NOT_FOUND, "the lease is over\n"),
        };
    }
    if let Some(Ok(lease)) = call.strip_prefix("kv-lease-end/").map(str::parse::<u64>) {
        state.store.end_lease(lease);
        drop(state);
        site.note_change();
        return http::text(StatusCode::OK, "");
    }
    http::text(StatusCode::NOT_FOUND, "no such call\n")
}
