//! A stand-in endpoint: an HTTP server with so many slots and connections, which answers with the
//! identifier of the request that it ran, and can be slow, refuse, die in the middle of an answer,
//! answer for another request, or answer late.

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

/// Largest body that an endpoint reads.
const MOST_BODY: usize = 16 << 20;
/// Names the request that the endpoint is to answer for.
const REQUEST_ID: &str = "x-request-id";
/// The caller's key of a request that is not repeatable.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How long the request is to run, in milliseconds; for experiments.
const WORK_MS: &str = "x-work-ms";
/// How many bytes the answer is to have; for experiments.
const ANSWER_BYTES: &str = "x-answer-bytes";
/// Said of a request that was refused before it ran.
const OUTCOME: &str = "caperhollow-outcome";
/// Requests that run at the endpoint.
const BUSY: &str = "caperhollow-busy";

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Each request takes so much longer, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Every request is refused before it runs.
    pub(crate) refuse: bool,
    /// So many of the next answers break off in the middle.
    pub(crate) die_mid_answer: u32,
    /// So many of the next answers are for another request.
    pub(crate) wrong_id: u32,
    /// So many of the next requests run and then end with status 500.
    pub(crate) fail: u32,
}

/// What endpoints ran, by request and by key, as the truth to check claims against.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    runs: Mutex<Runs>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Runs {
    pub(crate) by_request: HashMap<String, u32>,
    pub(crate) by_key: HashMap<String, u32>,
    /// Requests in flight that a planned stop cut off.
    pub(crate) cut: u32,
    /// The longest time after an endpoint's leave at which a request still came, in milliseconds.
    pub(crate) latest_ms: u64,
}

impl RunLog {
    fn note(&self, request: &str, key: Option<&str>) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.by_request.entry(request.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *runs.by_key.entry(key.to_owned()).or_default() += 1;
        }
    }

    /// Notes requests that a planned stop cut off.
    pub(crate) fn note_cut(&self, count: u32) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).cut += count;
    }

    fn note_late(&self, after: Duration) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.latest_ms = runs.latest_ms.max(after.as_millis() as u64);
    }

    /// A copy of all that ran.
    pub(crate) fn all(&self) -> Runs {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// How an endpoint is set up.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) listen: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// How long a request runs that does not say.
    pub(crate) work: Duration,
}

struct Inner {
    slots: u32,
    work: Duration,
    accept: AtomicBool,
    /// When it stopped accepting.
    left: Mutex<Option<std::time::Instant>>,
    in_flight: AtomicU32,
    faults: Mutex<Faults>,
    log: Arc<RunLog>,
}

/// A running endpoint. When it is dropped, requests that run are cut off.
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

/// Starts an endpoint.
pub(crate) async fn start(options: &Options, log: Arc<RunLog>) -> std::io::Result<Endpoint> {
    let (listener, address) = http::listen(&options.listen).await?;
    let inner = Arc::new(Inner {
        slots: options.slots,
        work: options.work,
        accept: AtomicBool::new(true),
        left: Mutex::default(),
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
    /// Requests that run now.
    pub(crate) fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Whether newcomers are accepted. One that is not is told that it did not run.
    pub(crate) fn accept(&self, accept: bool) {
        let was = self.inner.accept.swap(accept, Ordering::AcqRel);
        if was != accept {
            let left = (!accept).then(std::time::Instant::now);
            *self.inner.left.lock().unwrap_or_else(PoisonError::into_inner) = left;
        }
    }

    /// How the endpoint misbehaves from now on.
    pub(crate) fn set_faults(&self, faults: Faults) {
        *self.inner.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }
}

/// Takes one of a fault's remaining occurrences.
fn one_of(count: &mut u32) -> bool {
    let due = *count != 0;
    *count = count.saturating_sub(1);
    due
}

struct Running(Arc<Inner>);

impl Drop for Running {
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
        let guard = Running(self.clone());
        let open = self.accept.load(Ordering::Acquire) && !faults.refuse;
        if let Some(left) = *self.left.lock().unwrap_or_else(PoisonError::into_inner) {
            self.log.note_late(left.elapsed());
        }
        if !open || self.slots < running {
            return refuse(running);
        }
        if let Err(error) = http::read_body(request.take_body(), MOST_BODY).await {
            return http::text(StatusCode::BAD_REQUEST, error.to_string());
        }
        self.log.note(&id, key.as_deref());
        let work = work.map_or(self.work, Duration::from_millis);
        let work = work + Duration::from_millis(faults.slow_ms);
        // A request that has begun runs to its end, even if its caller goes away.
        let worked = tokio::spawn(async move {
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            drop(guard);
        });
        let _ = worked.await;
        self.finish(id, bytes)
    }

    fn finish(&self, id: String, bytes: u64) -> Response {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = self.in_flight.load(Ordering::Acquire);
        let id = if one_of(&mut faults.wrong_id) { format!("other-{id}") } else { id };
        if one_of(&mut faults.fail) {
            return http::text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
        }
        let body = body(&id, bytes);
        let builder = Response::builder()
            .status(StatusCode::OK)
            .header(REQUEST_ID, id)
            .header(BUSY, busy.to_string());
        if one_of(&mut faults.die_mid_answer) {
            let half = body.slice(..body.len() / 2);
            let broken = std::io::Error::other("the endpoint died");
            let chunks = stream::iter([Ok(half), Err(broken)]);
            return builder
                .header("content-length", body.len().to_string())
                .body(Body::from_bytes_stream(chunks));
        }
        builder.body(body)
    }
}

/// An answer that names its request at both ends.
fn body(id: &str, bytes: u64) -> Bytes {
    let fill = "x".repeat(usize::try_from(bytes).unwrap_or(0));
    format!("begin {id} {fill} end {id}").into()
}

/// Whether a body is the whole answer to a request.
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
        .body("refused before it ran")
}
