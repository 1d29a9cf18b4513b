//! The HTTP interface for callers: submit and cancel jobs, read their states, and count the jobs
//! that wait in a queue.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode, header},
};
use tokio::time::{Instant, sleep};

use crate::{
    http,
    model::{
        job::{JobId, JobState},
        queue::Queue,
        unit::Revision,
    },
    platform::{
        caller::{self, PendingAnswer},
        kv::{CommitResult, Txn},
        store::StoreError,
        worker_client::WorkerClient,
    },
    scheduler::{
        Node,
        accept::{self, Accepted},
        dispatch, keys,
        lease::Lease,
        relay::{Call, RELAYED_HEADER, Relay, Relayed, Subject},
        view::{self, KnownJob, age::MAX_STATE_AGE_MS, waiting::WaitingCount},
    },
};

/// The header with the time that a caller waits for an answer, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "Deadline-Ms";

/// The time that a caller waits, if its request does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The part of a caller's wait that is reserved for sending the answer back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Longest body: a payload of 4,000 bytes and some hundred steps.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Delay before a cancel whose write got no answer is written again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// `Retry-After` of answers with status 503, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// The HTTP endpoint for callers, and for requests that other nodes relay.
pub(crate) struct Api {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<Lease>,
    pub(crate) relay: Relay,
    /// Carries out orders of other nodes; `None` on the listener for callers.
    pub(crate) orders: Option<WorkerClient>,
}

impl Endpoint for Api {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        if let Some(worker_client) = &self.orders
            && request.uri().path() == dispatch::ORDERS_PATH
        {
            return Ok(dispatch::serve::upgrade(&request, worker_client.clone()));
        }
        let received = Instant::now();
        let method = method_name(request.method());
        let (queue, mut response) = self.answer(request).await;
        let queue = queue.as_deref().unwrap_or("none");
        self.node.metrics.record_request(queue, method, response.status(), received.elapsed());
        if self.node.shutdown.is_cancelled() {
            // Makes the caller's next request go to another node.
            http::close_after(&mut response);
        }
        Ok(response)
    }
}

/// The readiness probe: whether the node accepts new callers.
pub(crate) struct Readiness {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<Lease>,
}

impl Endpoint for Readiness {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        let now = self.node.now().steady;
        let view = self.node.view();
        let is_current = view.is_ready() && view.is_operator_current(now);
        drop(view);
        let has_lease = self.lease.held(now).is_some();
        let ready = is_current && has_lease && !self.node.shutdown.is_cancelled();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Ok(http::text(status, ""))
    }
}

impl Api {
    /// The name of the queue that the request is about, and the answer.
    async fn answer(&self, request: Request) -> (Option<String>, Response) {
        let received = Instant::now();
        let Some(config) = self.node.view().config.clone() else {
            return (None, unavailable("the node has not read a configuration yet"));
        };
        if relayed_config(&request).is_some_and(|theirs| config.version < theirs) {
            return (
                None,
                unavailable(
                    "the configuration of this node is older than that of the relaying node",
                ),
            );
        }
        let host = request.header(header::HOST).unwrap_or_default().to_ascii_lowercase();
        let path = request.uri().path().to_owned();
        let Some(queue) = config.queue_of(&host, &path) else {
            return (None, http::text(StatusCode::NOT_FOUND, "there is no such queue\n"));
        };
        let deadline = received + caller_timeout(&request).saturating_sub(ANSWER_MARGIN);
        let suffix = &path[queue.prefix.len()..];
        let response = match (suffix.is_empty(), suffix.parse::<JobId>()) {
            (true, _) => self.pending(queue, config.version, &request, deadline).await,
            (false, Ok(id)) => self.answer_job(id, queue, config.version, request, deadline).await,
            (false, Err(error)) => http::text(StatusCode::NOT_FOUND, format!("{error}\n")),
        };
        (Some(queue.name.clone()), response)
    }

    /// Answers here, or relays the request to another node if the store cannot be reached from
    /// here.
    async fn answer_job(
        &self,
        id: JobId,
        queue: &Queue,
        config: u64,
        mut request: Request,
        deadline: Instant,
    ) -> Response {
        let body = match http::read_body(request.take_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                let mut refusal = http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
                http::close_after(&mut refusal);
                return refusal;
            }
        };
        let store_reachable = self.lease.is_store_reachable(self.node.now().steady);
        let method = request.method().clone();
        if request.header(RELAYED_HEADER).is_some() {
            return match store_reachable {
                true => self.answer_here(id, queue, &method, body, deadline).await,
                false => unavailable("the store cannot be reached"),
            };
        }
        let subject = Subject::Job(id);
        let call = relay_call(&request, subject, config, body.clone(), deadline);
        if !store_reachable {
            match self.relay.relay(&self.node, &call).await {
                Relayed::Answered(response) => return response,
                Relayed::Unknown if method != Method::GET => return unknown_outcome(),
                Relayed::Unknown | Relayed::NotAccepted => {}
            }
            let last = self.last_known_response(id, &method);
            return match last {
                Some(response) => response,
                None => self.answer_here(id, queue, &method, body, deadline).await,
            };
        }
        // A single attempt if another node can make the next one.
        let retry_until = if self.has_peers() { Instant::now() } else { deadline };
        let response = self.answer_here(id, queue, &method, body, retry_until).await;
        if !is_unavailable(&response) {
            return response;
        }
        match self.relay.relay(&self.node, &call).await {
            Relayed::Answered(response) => response,
            Relayed::NotAccepted => self.last_known_response(id, &method).unwrap_or(response),
            Relayed::Unknown => {
                self.last_known_response(id, &method).unwrap_or_else(unknown_outcome)
            }
        }
    }

    /// The last known state of a job, for a `GET` while neither the store nor another node answers:
    /// better than no answer, and a final state does not change.
    fn last_known_response(&self, id: JobId, method: &Method) -> Option<Response> {
        let state = self.last_known_state(id).filter(|_| *method == Method::GET)?;
        let age = self.node.view().ages.age_ms(keys::ROOT, self.node.now().steady);
        log::info!(
            "job {id}: answered with the last known state: the records are {} ms old",
            age.unwrap_or(0)
        );
        Some(http::json(StatusCode::OK, &caller::state(state)))
    }

    fn has_peers(&self) -> bool {
        let view = self.node.view();
        let own = self.node.settings.node.as_str();
        view.nodes.iter().any(|(name, at)| name != own && at.value.peers.is_some())
    }

    async fn answer_here(
        &self,
        id: JobId,
        queue: &Queue,
        method: &Method,
        body: Bytes,
        deadline: Instant,
    ) -> Response {
        match *method {
            Method::POST => self.submit(id, queue, body, deadline).await,
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id, deadline).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE\n"),
        }
    }

    /// Answers how many jobs wait: from this node's view, or else by relaying to another node. A
    /// node with a stale view refuses to answer: a count from it may be far too low without any
    /// sign of it.
    async fn pending(
        &self,
        queue: &Queue,
        config: u64,
        request: &Request,
        deadline: Instant,
    ) -> Response {
        if *request.method() != Method::GET {
            return http::text(StatusCode::METHOD_NOT_ALLOWED, "GET\n");
        }
        let counted = self.node.view().pending(queue, self.node.now().steady);
        let reason = match counted {
            Ok(WaitingCount { jobs, by }) => {
                self.node.metrics.record_queue_count(by);
                return http::json(StatusCode::OK, &PendingAnswer { pending: jobs });
            }
            Err(reason) => reason,
        };
        if request.header(RELAYED_HEADER).is_none() {
            let subject = Subject::Queue(queue.name.clone());
            let call = relay_call(request, subject, config, Bytes::new(), deadline);
            if let Relayed::Answered(response) = self.relay.relay(&self.node, &call).await {
                self.node.metrics.record_queue_count("another node");
                return response;
            }
        }
        self.node.metrics.record_queue_count("nobody");
        log::info!("queue {}: number of waiting jobs unknown: {reason}", queue.name);
        unavailable("the number of waiting jobs is unknown")
    }

    async fn submit(&self, id: JobId, queue: &Queue, body: Bytes, deadline: Instant) -> Response {
        if self.knows(id) {
            return http::text(StatusCode::OK, "");
        }
        let now = self.node.now();
        let record = match caller::job(&body, queue, now.wall) {
            Ok(record) => record,
            Err(error) => {
                log::info!("job {id}: refused: {error}");
                return http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        if self.lease.held(now.steady).is_none() {
            log::info!("job {id}: refused: the store cannot be reached");
            return unavailable("the store cannot be reached");
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!("job {id}: encoding as JSON failed: {error}");
                return http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let accepted =
            accept::accept(&self.node, id, queue.pool.clone(), value.into(), deadline).await;
        let took = self.node.now().steady.since(now.steady);
        log::info!("job {id}: queue {}: {accepted:?} in {took} ms", queue.name);
        match accepted {
            Accepted::Kept | Accepted::Already => http::text(StatusCode::OK, ""),
            Accepted::NotWritten => unavailable("the write was not done"),
            Accepted::Unknown => unknown_outcome(),
        }
    }

    fn knows(&self, id: JobId) -> bool {
        self.node.view().jobs.get(&id).is_some_and(|known| known.is_accepted())
    }

    async fn state(&self, id: JobId) -> Response {
        match self.current_state(id).await {
            Ok(Some(state)) => http::json(StatusCode::OK, &caller::state(state)),
            Ok(None) => http::text(StatusCode::GONE, "there is no such job\n"),
            Err(error) => {
                log::info!("job {id}: state unknown: {error}");
                unavailable("the store cannot be reached")
            }
        }
    }

    /// The state of a job in this node's view; `None` if the view does not have it.
    fn last_known_state(&self, id: JobId) -> Option<JobState> {
        let view = self.node.view();
        view.jobs.get(&id).filter(|known| known.is_accepted()).map(KnownJob::state)
    }

    /// The state of a job; `None` if it was never accepted. A final state in the view always holds;
    /// for other states, and for jobs that the view does not have, the store is read if the view is
    /// stale.
    async fn current_state(&self, id: JobId) -> Result<Option<JobState>, StoreError> {
        let now = self.node.now().steady;
        let is_fresh = self.node.view().ages.is_within(keys::ROOT, MAX_STATE_AGE_MS, now);
        match self.last_known_state(id).filter(|state| state.is_final() || is_fresh) {
            Some(state) => Ok(Some(state)),
            None => self.read_state(id).await,
        }
    }

    async fn read_state(&self, id: JobId) -> Result<Option<JobState>, StoreError> {
        let (items, _) = self.node.kv.range(&keys::job_state(id)).await?;
        Ok(view::job_state(id, &items))
    }

    async fn cancel(&self, id: JobId, deadline: Instant) -> Response {
        // A cancel can be written for any accepted job, however old: a final state stays as it is.
        let current = match self.last_known_state(id) {
            Some(state) => Ok(Some(state)),
            None => self.read_state(id).await,
        };
        match current {
            Ok(Some(state)) if state.is_final() => return http::text(StatusCode::OK, ""),
            Ok(Some(_)) => {}
            Ok(None) => return http::text(StatusCode::GONE, "there is no such job\n"),
            Err(error) => {
                log::info!("job {id}: cancel failed: {error}");
                return unavailable("the store cannot be reached");
            }
        }
        let key = keys::cancel(id);
        let txn = Txn::default().expect(key.clone(), Revision(0)).put(key, "1");
        let mut unknown = false;
        loop {
            match self.node.kv.commit(&txn).await {
                Ok(CommitResult::Done(_) | CommitResult::Conflict(_)) => {
                    log::info!("job {id}: cancelled");
                    return http::text(StatusCode::OK, "");
                }
                Ok(CommitResult::LeaseExpired) => return unavailable("the write was not done"),
                Err(error) => {
                    unknown |= error.is_unknown();
                    if !unknown || deadline <= Instant::now() {
                        return cancel_failed(id, unknown, &error);
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// A caller's request in the form that is relayed to another node.
fn relay_call(
    request: &Request,
    subject: Subject,
    config: u64,
    body: Bytes,
    deadline: Instant,
) -> Call {
    Call {
        subject,
        method: request.method().clone(),
        host: request.header(header::HOST).unwrap_or_default().to_owned(),
        path: request.uri().path().to_owned(),
        config,
        body,
        deadline,
    }
}

fn cancel_failed(id: JobId, unknown: bool, error: &StoreError) -> Response {
    log::info!("job {id}: cancel failed: {error}");
    match unknown {
        true => unknown_outcome(),
        false => unavailable("the write was not done"),
    }
}

fn method_name(method: &Method) -> &'static str {
    match *method {
        Method::POST => "POST",
        Method::GET => "GET",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

fn caller_timeout(request: &Request) -> Duration {
    let millis = request.header(DEADLINE_HEADER).and_then(|text| text.parse().ok());
    millis.map(Duration::from_millis).unwrap_or(DEFAULT_TIMEOUT)
}

/// The configuration version of the node that relayed the request; `None` if it comes from a
/// caller.
fn relayed_config(request: &Request) -> Option<u64> {
    request.header(RELAYED_HEADER)?.parse().ok()
}

/// Whether the store could not be reached or gave no answer.
fn is_unavailable(response: &Response) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

/// The answer when the request may have been carried out, or may still be.
fn unknown_outcome() -> Response {
    http::text(StatusCode::GATEWAY_TIMEOUT, "the store gave no answer: retry the request\n")
}

/// The answer when the request was not carried out and will not be: the caller may retry.
fn unavailable(reason: &str) -> Response {
    let mut response =
        http::text(StatusCode::SERVICE_UNAVAILABLE, format!("request not accepted: {reason}\n"));
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}
