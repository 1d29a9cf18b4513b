//! A stand-in endpoint: an HTTP server with a limited number of slots and connections. It answers
//! with the identifier of the request that it ran. It can be set to be slow, to refuse or fail
//! requests, to break off in the middle of an answer, or to answer for another request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::stream;
use poem::{Body, Request, Response, endpoint::make, http::StatusCode};
use serde::{Deserialize, Serialize};

use crate::http;

/// Maximum size of a body that an endpoint reads.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Identifier of the request that the endpoint answers for.
const REQUEST_ID: &str = "x-request-id";
/// The caller's key for a request that is not repeatable.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Run time of the request, in milliseconds; for experiments.
const WORK_MS: &str = "x-work-ms";
/// Size of the answer's padding, in bytes; for experiments.
const ANSWER_BYTES: &str = "x-answer-bytes";
/// Set on the answer to a request that was refused before it ran.
const OUTCOME: &str = "caperhollow-outcome";
/// Number of requests that run at the endpoint.
const BUSY: &str = "caperhollow-busy";

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Delay added to each request, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Every request is refused before it runs.
    pub(crate) refuse: bool,
    /// How many of the next answers break off in the middle.
    pub(crate) die_mid_answer: u32,
    /// How many of the next answers are for another request.
    pub(crate) wrong_id: u32,
    /// How many of the next requests run and then end with status 500.
    pub(crate) fail: u32,
}

/// Requests that endpoints ran, by request and by key: the ground truth for checks.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    runs: Mutex<Runs>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Runs {
    pub(crate) by_request: HashMap<String, u32>,
    pub(crate) by_key: HashMap<String, u32>,
    /// Requests in flight that a planned stop interrupted.
    pub(crate) cut: u32,
    /// The longest time after an endpoint stopped accepting at which a request still arrived, in
    /// milliseconds.
    pub(crate) latest_ms: u64,
}

impl RunLog {
    fn record_run(&self, request: &str, key: Option<&str>) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.by_request.entry(request.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Records requests that a planned stop interrupted.
    pub(crate) fn record_cut(&self, count: u32) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).cut += count;
    }

    fn record_late(&self, after: Duration) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.latest_ms = runs.latest_ms.max(after.as_millis() as u64);
    }

    /// A copy of all recorded runs.
    pub(crate) fn snapshot(&self) -> Runs {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Settings of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) listen: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Run time of a request that names none.
    pub(crate) work: Duration,
}

struct Inner {
    slots: u32,
    work: Duration,
    accept: AtomicBool,
    /// When it stopped accepting requests.
    closed_at: Mutex<Option<std::time::Instant>>,
    in_flight: AtomicU32,
    faults: Mutex<Faults>,
    log: Arc<RunLog>,
}

/// A running endpoint. Dropping it interrupts the requests that run.
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    inner: Arc<Inner>,
    stop: http::Stop,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop.at_once.cancel();
    }
}

pub(crate) async fn start(options: &Options, log: Arc<RunLog>) -> std::io::Result<Endpoint> {
    let (listener, address) = http::listen(&options.listen).await?;
    let inner = Arc::new(Inner {
        slots: options.slots,
        work: options.work,
        accept: AtomicBool::new(true),
        closed_at: Mutex::default(),
        in_flight: AtomicU32::new(0),
        faults: Mutex::default(),
        log,
    });
    let served = inner.clone();
    let endpoint = make(move |request| {
        let inner = served.clone();
        async move { Ok::<_, poem::Error>(inner.answer(request).await) }
    });
    let stop = http::Stop::default();
    let connections = options.connections as usize;
    tokio::spawn(http::serve(listener, connections, endpoint, stop.clone()));
    Ok(Endpoint { address, inner, stop })
}

impl Endpoint {
    /// Number of requests that run now.
    pub(crate) fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Sets whether new requests are accepted; if not, they are refused before they run.
    pub(crate) fn set_accept(&self, accept: bool) {
        let was = self.inner.accept.swap(accept, Ordering::AcqRel);
        if was != accept {
            let closed_at = (!accept).then(std::time::Instant::now);
            *self.inner.closed_at.lock().unwrap_or_else(PoisonError::into_inner) = closed_at;
        }
    }

    /// Sets how the endpoint misbehaves from now on.
    pub(crate) fn set_faults(&self, faults: Faults) {
        *self.inner.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}

/// Consumes one of a fault's remaining occurrences; returns whether there was one.
fn take_one(count: &mut u32) -> bool {
    let due = *count != 0;
    *count = count.saturating_sub(1);
    due
}

/// A request in flight, counted until this is dropped.
struct InFlight(Arc<Inner>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Inner {
    async fn answer(self: Arc<Inner>, mut request: Request) -> Response {
        let header = |name: &str| request.header(name).map(str::to_owned);
        let (id, key) = (header(REQUEST_ID).unwrap_or_default(), header(IDEMPOTENCY_KEY));
        let number = |name: &str| header(name).and_then(|text| text.parse::<u64>().ok());
        let (work, bytes) = (number(WORK_MS), number(ANSWER_BYTES).unwrap_or(0));
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let running = self.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        let guard = InFlight(self.clone());
        let open = self.accept.load(Ordering::Acquire) && !faults.refuse;
        if let Some(closed_at) = *self.closed_at.lock().unwrap_or_else(PoisonError::into_inner) {
            self.log.record_late(closed_at.elapsed());
        }
        if !open || self.slots < running {
            return refuse(running);
        }
        if let Err(error) = http::read_body(&mut request, MAX_BODY_BYTES).await {
            return http::text(StatusCode::BAD_REQUEST, error.to_string());
        }
        self.log.record_run(&id, key.as_deref());
        let work = work.map_or(self.work, Duration::from_millis);
        let work = work + Duration::from_millis(faults.slow_ms);
        // A request that has begun runs to its end, even if its caller disconnects.
        let work_task = tokio::spawn(async move {
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            drop(guard);
        });
        let _ = work_task.await;
        self.finish(id, bytes)
    }

    fn finish(&self, id: String, bytes: u64) -> Response {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = self.in_flight.load(Ordering::Acquire);
        let id = if take_one(&mut faults.wrong_id) { format!("other-{id}") } else { id };
        if take_one(&mut faults.fail) {
            return http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        let body = body(&id, bytes);
        let builder = Response::builder()
            .status(StatusCode::OK)
            .header(REQUEST_ID, id)
            .header(BUSY, busy.to_string());
        if take_one(&mut faults.die_mid_answer) {
            let half = body.slice(..body.len() / 2);
            let broken = std::io::Error::other("endpoint died in the middle of an answer");
            let chunks = stream::iter([Ok(half), Err(broken)]);
            return builder
                .header("content-length", body.len().to_string())
                .body(Body::from_bytes_stream(chunks));
        }
        builder.body(body)
    }
}

/// The body of an answer, with the request's identifier at both ends.
fn body(id: &str, bytes: u64) -> Bytes {
    let padding = "x".repeat(usize::try_from(bytes).unwrap_or(0));
    format!("begin {id} {padding} end {id}").into()
}

/// Whether a body is the complete answer to a request.
pub(crate) fn is_answer_to(body: &[u8], id: &str) -> bool {
    let begin = format!("begin {id} ");
    let end = format!(" end {id}");
    body.starts_with(begin.as_bytes()) && body.ends_with(end.as_bytes())
}

fn refuse(running: u32) -> Response {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(OUTCOME, "not-run")
        .header(BUSY, running.to_string())
        .body("request refused before it ran")
}
