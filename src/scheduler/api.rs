//! What callers ask: jobs handed in, their states, cancels, and how many wait in a queue.

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
        kv::{Committed, Txn},
        runner::Runners,
        store::StoreError,
    },
    scheduler::{
        Node,
        accept::{self, Accepted},
        dispatch, keys,
        lease::Lease,
        relay::{Call, RELAYED_HEADER, Relay, Relayed, Subject},
        view::{self, KnownJob, age::STATE_MS, waiting::Counted},
    },
};

/// The header that tells how long a caller waits.
pub(crate) const DEADLINE_HEADER: &str = "Deadline-Ms";

/// How long a caller waits that does not say so.
const DEFAULT_WAIT: Duration = Duration::from_millis(3_000);

/// How much of a caller's wait is left for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Longest body, in bytes: a payload of 4,000 and some hundred steps.
const MAX_BODY: usize = 256 * 1024;

/// How long to wait before a cancel that got no answer is written again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// When a caller that was refused because the store is away should come back, in seconds.
const AWAY_RETRY_S: u32 = 1;

/// The interface for callers.
pub(crate) struct Api {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<Lease>,
    pub(crate) relay: Relay,
    /// Carries out orders of other nodes; none where only callers come.
    pub(crate) orders: Option<Runners>,
}

impl Endpoint for Api {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        if let Some(runners) = &self.orders
            && request.uri().path() == dispatch::PATH
        {
            return Ok(dispatch::serve::upgrade(&request, runners.clone()));
        }
        let came = Instant::now();
        let method = method_name(request.method());
        let (queue, mut response) = self.answer(request).await;
        let queue = queue.as_deref().unwrap_or("none");
        self.node.metrics.answered(queue, method, response.status(), came.elapsed());
        if self.node.leaving.is_cancelled() {
            // The caller's next request goes to another node.
            http::close_after(&mut response);
        }
        Ok(response)
    }
}

/// The node's own word on whether it takes new callers.
pub(crate) struct Readiness {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<Lease>,
}

impl Endpoint for Readiness {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        let now = self.node.now().steady;
        let view = self.node.view();
        let knows = view.is_ready() && view.hears_operator(now);
        drop(view);
        let in_touch = self.lease.held(now).is_some();
        let ready = knows && in_touch && !self.node.leaving.is_cancelled();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Ok(http::text(status, ""))
    }
}

impl Api {
    /// The name of the queue that was asked, and the answer.
    async fn answer(&self, request: Request) -> (Option<String>, Response) {
        let came = Instant::now();
        let Some(config) = self.node.view().config.clone() else {
            return (None, away("no configuration has been read yet"));
        };
        if relayed_by(&request).is_some_and(|theirs| config.version < theirs) {
            return (None, away("the configuration here is older"));
        }
        let host = request.header(header::HOST).unwrap_or_default().to_ascii_lowercase();
        let path = request.uri().path().to_owned();
        let Some(queue) = config.queue_of(&host, &path) else {
            return (None, http::text(StatusCode::NOT_FOUND, "there is no such queue\n"));
        };
        let deadline = came + wait_of(&request).saturating_sub(ANSWER_MARGIN);
        let rest = &path[queue.prefix.len()..];
        let response = match (rest.is_empty(), rest.parse::<JobId>()) {
            (true, _) => self.pending(queue, config.version, &request, deadline).await,
            (false, Ok(id)) => self.answer_job(id, queue, config.version, request, deadline).await,
            (false, Err(error)) => http::text(StatusCode::NOT_FOUND, format!("{error}\n")),
        };
        (Some(queue.name.clone()), response)
    }

    /// Answers here, or has another node answer while the store turns this one away.
    async fn answer_job(
        &self,
        id: JobId,
        queue: &Queue,
        config: u64,
        mut request: Request,
        deadline: Instant,
    ) -> Response {
        let body = match http::read_body(request.take_body(), MAX_BODY).await {
            Ok(body) => body,
            Err(error) => {
                let mut told = http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
                http::close_after(&mut told);
                return told;
            }
        };
        let in_touch = self.lease.is_in_touch(self.node.now().steady);
        let method = request.method().clone();
        if request.header(RELAYED_HEADER).is_some() {
            return match in_touch {
                true => self.answer_here(id, queue, &method, body, deadline).await,
                false => away("the store is not reached"),
            };
        }
        let subject = Subject::Job(id);
        let call = call_of(&request, subject, config, body.clone(), deadline);
        if !in_touch {
            match self.relay.ask(&self.node, &call).await {
                Relayed::Answered(response) => return response,
                Relayed::Unknown if method != Method::GET => return unanswered(),
                Relayed::Unknown | Relayed::NotTaken => {}
            }
            let last = self.last_told(id, &method);
            return match last {
                Some(response) => response,
                None => self.answer_here(id, queue, &method, body, deadline).await,
            };
        }
        // One try, if others can make the next.
        let tries_end = if self.has_peers() { Instant::now() } else { deadline };
        let response = self.answer_here(id, queue, &method, body, tries_end).await;
        if !is_away(&response) {
            return response;
        }
        match self.relay.ask(&self.node, &call).await {
            Relayed::Answered(response) => response,
            Relayed::NotTaken => self.last_told(id, &method).unwrap_or(response),
            Relayed::Unknown => self.last_told(id, &method).unwrap_or_else(unanswered),
        }
    }

    /// How a job stood when it was last heard of, for a caller that asks while neither the store nor
    /// another node answers: that is better than nothing, and an end is one for ever.
    fn last_told(&self, id: JobId, method: &Method) -> Option<Response> {
        let state = self.last_heard(id).filter(|_| *method == Method::GET)?;
        let age = self.node.view().ages.of(keys::ROOT, self.node.now().steady);
        log::info!("job {id}: told as last heard: the records are {} ms old", age.unwrap_or(0));
        Some(http::json(StatusCode::OK, &caller::state(state)))
    }

    fn has_peers(&self) -> bool {
        let view = self.node.view();
        let me = self.node.settings.node.as_str();
        view.nodes.iter().any(|(name, at)| name != me && at.value.peers.is_some())
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
            Method::POST => self.hand_in(id, queue, body, deadline).await,
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id, deadline).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE\n"),
        }
    }

    /// How many jobs wait, by this node if it knows, or else by another one. A node that does not
    /// know says so: a count from an old view may be far too low, and nobody sees it.
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
        let why = match counted {
            Ok(Counted { jobs, by }) => {
                self.node.metrics.counted_by(by);
                return http::json(StatusCode::OK, &PendingAnswer { pending: jobs });
            }
            Err(why) => why,
        };
        if request.header(RELAYED_HEADER).is_none() {
            let subject = Subject::Queue(queue.name.clone());
            let call = call_of(request, subject, config, Bytes::new(), deadline);
            if let Relayed::Answered(response) = self.relay.ask(&self.node, &call).await {
                self.node.metrics.counted_by("another node");
                return response;
            }
        }
        self.node.metrics.counted_by("nobody");
        log::info!("queue {}: not known how many jobs wait: {why}", queue.name);
        away("it is not known how many wait")
    }

    async fn hand_in(&self, id: JobId, queue: &Queue, body: Bytes, deadline: Instant) -> Response {
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
            log::info!("job {id}: refused: the store is not reached");
            return away("the store is not reached");
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!("job {id}: not written as JSON: {error}");
                return http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let accepted =
            accept::accept(&self.node, id, queue.pool.clone(), value.into(), deadline).await;
        let took = self.node.now().steady.since(now.steady);
        log::info!("job {id}: queue {}: {accepted:?} in {took} ms", queue.name);
        match accepted {
            Accepted::Kept | Accepted::Already => http::text(StatusCode::OK, ""),
            Accepted::NotWritten => away("the store took nothing"),
            Accepted::Unknown => unanswered(),
        }
    }

    fn knows(&self, id: JobId) -> bool {
        self.node.view().jobs.get(&id).is_some_and(|known| known.is_accepted())
    }

    async fn state(&self, id: JobId) -> Response {
        match self.standing(id).await {
            Ok(Some(state)) => http::json(StatusCode::OK, &caller::state(state)),
            Ok(None) => http::text(StatusCode::GONE, "there is no such job\n"),
            Err(error) => {
                log::info!("job {id}: state not known: {error}");
                away("the store is not reached")
            }
        }
    }

    /// How a job stood when it was last heard of; nothing if it was not.
    fn last_heard(&self, id: JobId) -> Option<JobState> {
        let view = self.node.view();
        view.jobs.get(&id).filter(|known| known.is_accepted()).map(KnownJob::state)
    }

    /// How a job stands; nothing if it was never accepted. An end is one for ever; of others, and of
    /// jobs that the node has not heard of, the store tells once the records here are old.
    async fn standing(&self, id: JobId) -> Result<Option<JobState>, StoreError> {
        let now = self.node.now().steady;
        let is_new = self.node.view().ages.is_within(keys::ROOT, STATE_MS, now);
        match self.last_heard(id).filter(|state| state.is_final() || is_new) {
            Some(state) => Ok(Some(state)),
            None => self.read_standing(id).await,
        }
    }

    async fn read_standing(&self, id: JobId) -> Result<Option<JobState>, StoreError> {
        let (items, _) = self.node.kv.range(&keys::standing(id)).await?;
        Ok(view::standing(id, &items))
    }

    async fn cancel(&self, id: JobId, deadline: Instant) -> Response {
        // Of a job that was accepted, however long ago, a cancel can be written: one that has ended
        // stays as it ended.
        let standing = match self.last_heard(id) {
            Some(state) => Ok(Some(state)),
            None => self.read_standing(id).await,
        };
        match standing {
            Ok(Some(state)) if state.is_final() => return http::text(StatusCode::OK, ""),
            Ok(Some(_)) => {}
            Ok(None) => return http::text(StatusCode::GONE, "there is no such job\n"),
            Err(error) => {
                log::info!("job {id}: cancel not taken: {error}");
                return away("the store is not reached");
            }
        }
        let key = keys::cancel(id);
        let txn = Txn::default().expect(key.clone(), Revision(0)).put(key, "1");
        let mut unknown = false;
        loop {
            match self.node.kv.commit(&txn).await {
                Ok(Committed::Done(_) | Committed::Conflict(_)) => {
                    log::info!("job {id}: cancelled");
                    return http::text(StatusCode::OK, "");
                }
                Ok(Committed::LeaseOver) => return away("the store took nothing"),
                Err(error) => {
                    unknown |= error.is_unknown();
                    if !unknown || deadline <= Instant::now() {
                        return cancel_failed(id, unknown, &error);
                    }
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// A caller's request, to be handed to another node.
fn call_of(
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
    log::info!("job {id}: cancel not taken: {error}");
    match unknown {
        true => unanswered(),
        false => away("the store took nothing"),
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

fn wait_of(request: &Request) -> Duration {
    let millis = request.header(DEADLINE_HEADER).and_then(|text| text.parse().ok());
    millis.map(Duration::from_millis).unwrap_or(DEFAULT_WAIT)
}

/// The version of the configuration of the node that has handed on a request; nothing for a
/// caller's own.
fn relayed_by(request: &Request) -> Option<u64> {
    request.header(RELAYED_HEADER)?.parse().ok()
}

/// Whether the store was not reached, or gave no answer.
fn is_away(response: &Response) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

/// It may have been done, or may be yet.
fn unanswered() -> Response {
    http::text(StatusCode::GATEWAY_TIMEOUT, "the store gave no answer: ask again\n")
}

/// Nothing was done, and nothing will be: the caller may come back.
fn away(why: &str) -> Response {
    let mut response = http::text(StatusCode::SERVICE_UNAVAILABLE, format!("not taken: {why}\n"));
    response.headers_mut().insert(header::RETRY_AFTER, AWAY_RETRY_S.into());
    response
}
