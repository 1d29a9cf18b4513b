//! The stand-in's store: transactions under conditions, leases, and watches by long poll.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use poem::{Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Faults, LOST_FOR, MAX_BODY, Site};
use crate::http;

/// Changes that are kept for watches.
const HISTORY: usize = 10_000;

/// Changes that a watch may have missed before a link is too slow for them, if that is switched on.
const FAR_BEHIND: usize = 2;

/// How often a silent watch looks whether it may end.
const SILENT_CHECK: Duration = Duration::from_millis(20);

/// Most items of one page, and of one answer of a watch but for the rest of a transaction.
const PAGE: usize = 500;

/// A value in the store.
#[derive(Debug, Clone)]
struct Stored {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// One change, for watches.
#[derive(Debug, Clone)]
struct Changed {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// The store's state.
#[derive(Default)]
pub(super) struct Store {
    revision: u64,
    items: BTreeMap<String, Stored>,
    history: VecDeque<Changed>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    /// Leases with their length and end, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    writes: u64,
}

#[derive(Deserialize)]
struct Expect {
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
    expected_revision: Vec<Expect>,
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
    /// Writes a value; the new revision.
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        self.set(key, value, lease);
        self.revision
    }

    /// Writes a value at the present revision: all writes of a transaction share one.
    fn set(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let stored = Stored { value: value.clone(), revision: self.revision, lease };
        self.items.insert(key.to_owned(), stored);
        self.note(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.note(key, None);
        }
    }

    /// Removes a key by itself.
    pub(super) fn take_away(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    fn note(&mut self, key: &str, value: Option<Vec<u8>>) {
        let (key, revision) = (key.to_owned(), self.revision);
        self.history.push_back(Changed { key, revision, value });
        if HISTORY < self.history.len()
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.revision;
        }
    }

    /// Forgets all changes up to now.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    /// Ends the leases whose time is up; whether there were any.
    pub(super) fn expire(&mut self, now: u64) -> bool {
        let over = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        over.iter().for_each(|lease| self.end_lease(*lease));
        !over.is_empty()
    }

    /// Ends all leases, or the one of a number.
    pub(super) fn end_leases(&mut self, number: Option<usize>) {
        let leases: Vec<u64> = self.leases.keys().copied().collect();
        let chosen = |at: usize| number.is_none_or(|number| number % leases.len() == at);
        let over = leases.iter().enumerate().filter(|(at, _)| chosen(*at));
        over.for_each(|(_, lease)| self.end_lease(*lease));
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
        let more = PAGE < keys.len();
        let items: Vec<Value> =
            keys.into_iter().take(PAGE).filter_map(|key| self.item(key)).collect();
        let page = json!({ "items": items, "more": more, "at": self.revision });
        http::json(StatusCode::OK, &page)
    }

    /// Changes below a prefix since a revision.
    fn behind(&self, prefix: &str, since: u64) -> usize {
        let missed = |change: &&Changed| since < change.revision && change.key.starts_with(prefix);
        self.history.iter().filter(missed).count()
    }

    /// The changes after a revision; nothing if there are none yet.
    fn events(&self, prefix: &str, since: u64) -> Option<Response> {
        if since < self.forgotten {
            return Some(http::text(StatusCode::GONE, "the history is gone\n"));
        }
        let news = |change: &&Changed| since < change.revision && change.key.starts_with(prefix);
        let mut news = self.history.iter().filter(news).peekable();
        news.peek()?;
        let (mut events, mut at) = (Vec::new(), self.revision);
        while let Some(change) = news.next() {
            events.push(event(change));
            if PAGE <= events.len()
                && news.peek().is_some_and(|next| next.revision != change.revision)
            {
                at = change.revision;
                break;
            }
        }
        Some(http::json(StatusCode::OK, &json!({ "events": events, "at": at })))
    }
}

fn event(change: &Changed) -> Value {
    let Changed { key, revision, value } = change;
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
        "kv-txn" => match http::read_json::<Txn>(request, MAX_BODY).await {
            Ok(txn) => write(site, txn, faults).await,
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        },
        "kv-lease" => match http::read_json::<Ttl>(request, MAX_BODY).await {
            Ok(ttl) => grant(site, ttl.ttl_ms),
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        },
        _ => lease_call(site, call),
    }
}

/// Does a transaction, late if that is switched on. What has arrived is done, also if the caller
/// hangs up meanwhile.
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
            sleep(LOST_FOR).await;
        }
        return answer;
    }
    let site = site.clone();
    let late = tokio::spawn(async move {
        sleep(Duration::from_millis(faults.store_late_ms)).await;
        let answer = site.state().store.commit(txn);
        site.note_change();
        log::debug!("store: late write: {}", answer.status());
    });
    sleep(LOST_FOR).await;
    match late.await {
        Ok(()) => http::text(StatusCode::GATEWAY_TIMEOUT, ""),
        Err(error) => http::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

pub(super) async fn watch(site: &Site, prefix: &str, since: u64, wait: Duration) -> Response {
    let until = Instant::now() + wait;
    let mut changed = site.changed.subscribe();
    if site.state().faults.store_long_history
        && FAR_BEHIND < site.state().store.behind(prefix, since)
    {
        sleep(LOST_FOR).await;
    }
    loop {
        if site.state().faults.store_watches_silent {
            return cut_once_heard(site).await;
        }
        if let Some(answer) = site.state().store.events(prefix, since) {
            return answer;
        }
        if timeout_at(until, changed.changed()).await.is_err() {
            if site.state().faults.store_watches_silent {
                return cut_once_heard(site).await;
            }
            // A change is noted after it is made: one may have come in between, and a revision
            // that is told without it would hide it for ever.
            let state = site.state();
            let at = state.store.revision;
            let quiet = || http::json(StatusCode::OK, &json!({ "events": [], "at": at }));
            return state.store.events(prefix, since).unwrap_or_else(quiet);
        }
    }
}

/// Ends a watch that hears nothing, once watches do again.
async fn cut_once_heard(site: &Site) -> Response {
    while site.state().faults.store_watches_silent {
        sleep(SILENT_CHECK).await;
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
            None => http::text(StatusCode::NOT_FOUND, "it is over\n"),
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
