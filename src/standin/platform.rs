//! The stand-in platform: the store in etcd's JSON mapping, with rate limits and counts of calls, a
//! lagging list of hosts, and faults that are switched over HTTP.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use poem::{Body, Request, Response, endpoint::make, http::StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    http,
    model::{
        host::HostReport,
        id::HostId,
        unit::{Revision, Time},
    },
    platform::{
        hosts::HostList,
        store::{
            Call, Entry, Guard, Reply,
            etcd::{
                self, Header, Int, KeyValue, LeaseRequest, LeaseResponse, OperationResponse,
                RangeRequest, RangeResponse, Streamed, TxnRequest, TxnResponse, WatchEvent,
                WatchRequest, WatchResponse,
            },
        },
    },
    standin::kv::Kv,
};

/// Maximum size of a body that the stand-in reads.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of connections that the stand-in accepts.
const MAX_CONNECTIONS: usize = 4096;
/// How long a lost answer is delayed: longer than any caller waits.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(30);
/// A host without a report for this long is listed as not live.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Settings of the stand-in platform.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// IP address and port; port 0 takes a free one.
    pub(crate) listen: String,
    /// Writes per second that the store accepts.
    pub(crate) writes: u32,
    /// Reads per second that the store accepts.
    pub(crate) reads: u32,
    /// Delay until a report appears in the list of hosts.
    pub(crate) lag: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            listen: "127.0.0.1:0".to_owned(),
            writes: 100,
            reads: 2000,
            lag: Duration::from_millis(300),
        }
    }
}

/// Faults that are in effect.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Delay added to each store call, in milliseconds.
    pub(crate) delay_ms: u64,
    /// The store refuses every call.
    pub(crate) outage: bool,
    /// Number of next writes that take effect but whose answers are lost.
    pub(crate) lose_answers: u32,
    /// The list of hosts cannot be read.
    pub(crate) list_outage: bool,
}

/// A fault that occurs once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OneTimeFault {
    /// Every watch is cut.
    CutWatches,
    /// Every lease expires.
    LapseLeases,
    /// All earlier events are compacted.
    Compact,
}

/// Counts of calls by kind, of refused calls, and the highest counts within one second.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Counts {
    pub(crate) calls: BTreeMap<String, u64>,
    /// Calls refused because they exceeded the rates.
    pub(crate) refused: u64,
    /// Open watches.
    pub(crate) watches: u64,
    pub(crate) peak_writes: u64,
    pub(crate) peak_reads: u64,
    second: u64,
    writes: u64,
    reads: u64,
}

#[derive(Debug, Default)]
struct State {
    kv: Kv,
    faults: Faults,
    counts: Counts,
    hosts: BTreeMap<HostId, Listed>,
    /// Reports that are not listed yet, because the list lags.
    pending: VecDeque<(Time, HostReport)>,
    sequence: u64,
    /// How often all watches were cut.
    watch_cuts: u64,
}

#[derive(Debug)]
struct Listed {
    report: HostReport,
    last_report: Time,
    sequence: u64,
}

/// A running stand-in platform.
#[derive(Clone)]
pub(crate) struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<Revision>>,
    options: Arc<Options>,
    /// Its address as a URL.
    pub(crate) url: String,
}

/// Starts a stand-in platform; it ends with the runtime.
pub(crate) async fn start(options: Options) -> std::io::Result<Platform> {
    let (listener, address) = http::listen(&options.listen).await?;
    let platform = Platform {
        state: Arc::default(),
        changed: Arc::new(watch::Sender::new(Revision(0))),
        options: Arc::new(options),
        url: format!("http://{address}"),
    };
    let served = platform.clone();
    let endpoint = make(move |request| {
        let platform = served.clone();
        async move { Ok::<_, poem::Error>(platform.answer(request).await) }
    });
    tokio::spawn(http::serve(listener, MAX_CONNECTIONS, endpoint, http::Stop::default()));
    let ticking = platform.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(Duration::from_millis(50));
        loop {
            tick.tick().await;
            ticking.tick();
        }
    });
    Ok(platform)
}

impl Platform {
    /// Triggers a one-time fault.
    pub(crate) fn trigger(&self, fault: OneTimeFault) {
        let mut state = self.lock();
        match fault {
            OneTimeFault::CutWatches => state.watch_cuts += 1,
            OneTimeFault::LapseLeases => state.kv.expire_all(),
            OneTimeFault::Compact => state.kv.compact(),
        }
        self.notify_watches(&state);
    }

    /// Counts of calls so far.
    pub(crate) fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watches(&self, state: &State) {
        // Sent even for an unchanged revision, so that the watches notice a cut.
        self.changed.send_replace(state.kv.revision());
    }

    fn tick(&self) {
        let now = Time::now();
        let mut state = self.lock();
        let before = state.kv.revision();
        state.kv.expire(now);
        while state.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, report)) = state.pending.pop_front() {
                state.update_listed(report, now);
            }
        }
        let silent = state
            .hosts
            .values()
            .filter(|listed| listed.report.live && REPORT_TIMEOUT < now.since(listed.last_report));
        let silent: Vec<HostId> = silent.map(|listed| listed.report.host.clone()).collect();
        for host in silent {
            state.sequence += 1;
            let sequence = state.sequence;
            if let Some(listed) = state.hosts.get_mut(&host) {
                listed.report.live = false;
                listed.sequence = sequence;
            }
        }
        if before < state.kv.revision() {
            self.notify_watches(&state);
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if let Some(call) = path.strip_prefix("/v3/") {
            let faults = self.lock().faults.clone();
            if faults.delay_ms != 0 {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
            }
            if faults.outage {
                return http::text(StatusCode::SERVICE_UNAVAILABLE, "etcdserver: no leader");
            }
            return self.store(call, request).await;
        }
        match path.as_str() {
            "/hosts" => self.list(&request),
            "/hosts/report" => {
                match http::read_json::<Vec<HostReport>>(&mut request, MAX_BODY_BYTES).await {
                    Ok(reports) => self.report(reports),
                    Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
                }
            }
            "/counts" => http::json(StatusCode::OK, &self.counts()),
            "/faults" => match http::read_json::<Faults>(&mut request, MAX_BODY_BYTES).await {
                Ok(faults) => {
                    self.lock().faults = faults;
                    http::text(StatusCode::OK, "")
                }
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/once" => match http::read_json::<OneTimeFault>(&mut request, MAX_BODY_BYTES).await {
                Ok(fault) => {
                    self.trigger(fault);
                    http::text(StatusCode::OK, "")
                }
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn report(&self, reports: Vec<HostReport>) -> Response {
        let due = Time::now() + self.options.lag;
        let mut state = self.lock();
        state.pending.extend(reports.into_iter().map(|report| (due, report)));
        http::text(StatusCode::OK, "")
    }

    fn list(&self, request: &Request) -> Response {
        let query = request.uri().query().unwrap_or_default();
        let since = query.strip_prefix("since=").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.lock();
        if state.faults.list_outage {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "the list of hosts is unavailable");
        }
        // A sequence number from before a restart of the platform is meaningless: list all hosts.
        let since = if state.sequence < since { 0 } else { since };
        let newer = state.hosts.values().filter(|listed| since < listed.sequence);
        let hosts = newer.map(|listed| listed.report.clone()).collect();
        let list = HostList { next: state.sequence, whole: since == 0, hosts };
        http::json(StatusCode::OK, &list)
    }

    async fn store(&self, path: &str, mut request: Request) -> Response {
        if !self.admit(path, &request) {
            let body = "{\"error\":\"too many requests\",\"code\":8}";
            return http::text(StatusCode::TOO_MANY_REQUESTS, body);
        }
        let body = match http::read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => return http::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let answered = match path {
            "kv/range" => parse(&body).map(|request| self.range(&request)),
            "kv/txn" => match parse(&body) {
                Ok(request) => return self.txn(&request).await,
                Err(error) => Err(error),
            },
            "lease/grant" => parse(&body).map(|request: LeaseRequest| {
                let ttl = Duration::from_secs(u64::try_from(request.ttl.0).unwrap_or(1));
                http::json(StatusCode::OK, &self.lease(Call::Grant { ttl }))
            }),
            "lease/keepalive" => parse(&body).map(|request: LeaseRequest| {
                let result = self.lease(Call::Renew { lease: request.id.0 });
                http::json(StatusCode::OK, &Streamed { result })
            }),
            "lease/revoke" => parse(&body).map(|request: LeaseRequest| {
                http::json(StatusCode::OK, &self.lease(Call::Revoke { lease: request.id.0 }))
            }),
            "watch" => parse(&body).map(|request| self.watch(&request)),
            _ => return http::text(StatusCode::NOT_FOUND, "no such call"),
        };
        answered.unwrap_or_else(|error| http::text(StatusCode::BAD_REQUEST, error))
    }

    /// Counts a call and returns whether it is within the rates.
    fn admit(&self, path: &str, _request: &Request) -> bool {
        let is_write = matches!(path, "kv/txn" | "lease/grant" | "lease/revoke");
        let second = Time::now().as_millis() / 1000;
        let mut state = self.lock();
        let counts = &mut state.counts;
        if counts.second != second {
            (counts.second, counts.writes, counts.reads) = (second, 0, 0);
        }
        *counts.calls.entry(path.to_owned()).or_default() += 1;
        let (count, limit) = if is_write {
            (&mut counts.writes, self.options.writes)
        } else {
            (&mut counts.reads, self.options.reads)
        };
        *count += 1;
        let admitted = *count <= u64::from(limit);
        counts.refused += u64::from(!admitted);
        counts.peak_writes = counts.peak_writes.max(counts.writes);
        counts.peak_reads = counts.peak_reads.max(counts.reads);
        admitted
    }

    fn call(&self, call: Call) -> Reply {
        let mut state = self.lock();
        let before = state.kv.revision();
        let reply = state.kv.call(call, Time::now());
        if before < state.kv.revision() {
            self.notify_watches(&state);
        }
        reply
    }

    fn range(&self, request: &RangeRequest) -> Response {
        let key = decode_text(&request.key);
        let call = match (request.range_end.is_empty(), request.limit) {
            (true, _) => Call::Get { key },
            (false, Some(_)) => Call::Newest { prefix: key },
            (false, None) => Call::List { prefix: key },
        };
        let Reply::Entries { entries, revision } = self.call(call) else {
            return http::text(StatusCode::INTERNAL_SERVER_ERROR, "unexpected reply");
        };
        let kvs = entries.iter().map(key_value).collect();
        http::json(StatusCode::OK, &RangeResponse { header: header(revision), kvs })
    }

    async fn txn(&self, request: &TxnRequest) -> Response {
        let Some(write) = request.success.first() else {
            return http::text(StatusCode::BAD_REQUEST, "the transaction contains no write");
        };
        let mut compared = request.compare.iter().map(|compare| Guard {
            key: decode_text(&compare.key),
            revision: Revision(u64::try_from(compare.mod_revision.0).unwrap_or(0)),
        });
        let Some(Guard { key, revision: expect }) = compared.next() else {
            return http::text(StatusCode::BAD_REQUEST, "the transaction contains no compare");
        };
        let guards = compared.collect();
        let put = write.request_put.as_ref();
        let value = put.map(|put| Bytes::from(etcd::decode(&put.value).unwrap_or_default()));
        let lease = put.map(|put| put.lease.0).filter(|lease| *lease != 0);
        let reply = self.call(Call::Swap { key, expect, guards, value, lease });
        let lost = {
            let faults = &mut self.lock().faults;
            let lost = faults.lose_answers != 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        };
        if lost {
            tokio::time::sleep(LOST_ANSWER_DELAY).await;
            return http::text(StatusCode::GATEWAY_TIMEOUT, "answer lost");
        }
        let answer = match reply {
            Reply::Swapped(revision) => TxnResponse {
                header: header(revision),
                succeeded: true,
                responses: vec![OperationResponse::default()],
            },
            Reply::Conflict(entry) => {
                let kvs = entry.iter().map(key_value).collect();
                let range = RangeResponse { header: Header::default(), kvs };
                let found = OperationResponse { response_range: Some(range) };
                TxnResponse { responses: vec![found], ..TxnResponse::default() }
            }
            _ => TxnResponse::default(),
        };
        http::json(StatusCode::OK, &answer)
    }

    fn lease(&self, call: Call) -> LeaseResponse {
        let Reply::Lease { lease, left } = self.call(call) else {
            return LeaseResponse::default();
        };
        let ttl = Int(left.as_secs() as i64);
        LeaseResponse { header: Header::default(), id: Int(lease), ttl }
    }

    fn watch(&self, request: &WatchRequest) -> Response {
        let create = &request.create_request;
        let prefix = decode_text(&create.key);
        let from = Revision(u64::try_from(create.start_revision.0).unwrap_or(0));
        let watch_cuts = self.lock().watch_cuts;
        self.lock().counts.watches += 1;
        let open = OpenWatch(self.clone());
        let changed = self.changed.subscribe();
        let first = WatchResponse { created: true, ..WatchResponse::default() };
        let first = stream::iter([json_line(first)]);
        let state = (open, changed, prefix, from);
        let rest = stream::unfold(Some(state), move |state| async move {
            let (open, mut changed, prefix, from) = state?;
            loop {
                changed.borrow_and_update();
                let (events, is_cut) = {
                    let state = open.0.lock();
                    (
                        state.kv.events(&prefix, from),
                        state.watch_cuts != watch_cuts || state.faults.outage,
                    )
                };
                if is_cut {
                    return None;
                }
                match events {
                    Err(through) => {
                        let compact_revision = Int(through.0 as i64);
                        let compacted = WatchResponse {
                            canceled: true,
                            compact_revision,
                            ..WatchResponse::default()
                        };
                        return Some((json_line(compacted), None));
                    }
                    Ok(entries) if !entries.is_empty() => {
                        let next = entries.last().map_or(from, |e| Revision(e.revision.0 + 1));
                        let answer = WatchResponse {
                            header: header(Revision(next.0 - 1)),
                            events: entries.iter().map(event).collect(),
                            ..WatchResponse::default()
                        };
                        return Some((json_line(answer), Some((open, changed, prefix, next))));
                    }
                    Ok(_) => {}
                }
                // Wakes up regularly to notice an outage, which no write signals.
                let wait = changed.changed();
                let _ = tokio::time::timeout(Duration::from_millis(200), wait).await;
            }
        });
        let lines = first.chain(rest).map(Ok::<_, std::io::Error>);
        Response::builder().content_type("application/json").body(Body::from_bytes_stream(lines))
    }
}

/// An open watch, counted until this is dropped.
struct OpenWatch(Platform);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.lock().counts.watches -= 1;
    }
}

impl State {
    fn update_listed(&mut self, report: HostReport, now: Time) {
        let same = self.hosts.get(&report.host).is_some_and(|listed| listed.report == report);
        if same {
            if let Some(listed) = self.hosts.get_mut(&report.host) {
                listed.last_report = now;
            }
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.hosts.insert(report.host.clone(), Listed { report, last_report: now, sequence });
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn decode_text(encoded: &str) -> String {
    String::from_utf8(etcd::decode(encoded).unwrap_or_default()).unwrap_or_default()
}

fn header(revision: Revision) -> Header {
    Header { revision: Int(revision.0 as i64) }
}

fn key_value(entry: &Entry) -> KeyValue {
    KeyValue {
        key: etcd::encode(entry.key.as_bytes()),
        value: entry.value.as_deref().map(etcd::encode).unwrap_or_default(),
        mod_revision: Int(entry.revision.0 as i64),
        lease: Int(0),
    }
}

fn event(entry: &Entry) -> WatchEvent {
    let kind = entry.value.is_none().then(|| "DELETE".to_owned());
    WatchEvent { kind, kv: key_value(entry) }
}

fn json_line(answer: WatchResponse) -> Bytes {
    let mut line = serde_json::to_vec(&Streamed { result: answer }).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
