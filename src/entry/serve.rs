//! Serves callers: reads a request, admits it, sends it to an endpoint and returns one final
//! answer, with the outcome in a header.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use poem::{
    Body, Request, Response,
    http::{StatusCode, header},
};

use crate::{
    decide::claim::{Claim, ClaimState},
    entry::{
        claims::ClaimError,
        forward::{self, Answer, Attempt, Outgoing},
        gate::{Bound, Gate, InFlight},
        headers::{self, RequestOptions},
        routes::{self, Slot},
    },
    http::{self, BodyError},
    model::{
        config::Service,
        id::{OpId, ServiceId},
        request::{Class, Outcome},
        unit::{PerSecond, Time},
    },
    node::Node,
    rate::PeerDemand,
};

/// Maximum number of times that a request is sent.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of rounds in which every endpoint refuses a request.
const MAX_ROUNDS: usize = 3;
/// Retry time given to callers when no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The server for callers.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    /// For requests to endpoints.
    pub(crate) client: reqwest::Client,
    /// Maximum size of one answer, in bytes.
    pub(crate) max_answer_bytes: usize,
}

/// A refusal or failure, as it is reported to the caller.
struct Failure {
    status: StatusCode,
    outcome: Outcome,
    text: String,
    retry_after: Option<Duration>,
}

impl Failure {
    fn rejected(status: StatusCode, text: impl Into<String>) -> Failure {
        Failure { status, outcome: Outcome::NotRun, text: text.into(), retry_after: None }
    }

    fn unavailable(text: impl Into<String>, after: Duration) -> Failure {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Failure { status, outcome: Outcome::NotRun, text: text.into(), retry_after: Some(after) }
    }

    fn unknown(text: impl Into<String>) -> Failure {
        let status = StatusCode::BAD_GATEWAY;
        Failure { status, outcome: Outcome::Unknown, text: text.into(), retry_after: None }
    }
}

/// A request that has been read and admitted.
struct AdmittedRequest {
    service: ServiceId,
    class: Class,
    deadline: Time,
    outgoing: Outgoing,
    options: RequestOptions,
    /// Whether it may be sent again after it may have run.
    repeatable: bool,
    once: bool,
}

impl Entry {
    /// Returns the one final answer of a request.
    pub(crate) async fn answer(self, request: Request) -> Response {
        let started_at = Time::now();
        let options = headers::read(request.headers());
        let id = options.as_ref().map_or_else(|_| OpId::fresh().to_string(), |o| o.request.clone());
        let team = options.as_ref().map_or("none".to_owned(), |o| o.team.to_string());
        let (service, path) = split_path(&request);
        let label = self.service_label(&service);
        let has_body = http::has_body(&request);
        let mut unread = false;
        let (result, class) = match self.admit(request, options, &service, path, started_at).await {
            Ok(admitted) => {
                let class = admitted.class;
                (self.run(admitted).await, class)
            }
            Err(failure) => {
                unread = has_body;
                (Err(failure), Class::Normal)
            }
        };
        let outcome = result.as_ref().map_or_else(|failure| failure.outcome, |_| Outcome::Ran);
        let elapsed = Time::now().since(started_at);
        self.node.metrics.record_answer(&team, class, &label, outcome, elapsed);
        if let Err(failure) = &result {
            log::debug!("request {id}: service {service}: {outcome}: {}", failure.text);
        }
        let mut response = result.map_or_else(failure_response, answer_response);
        if unread {
            http::close_after(&mut response);
        }
        let name = self.node.id().to_string();
        for (header, value) in [
            (headers::OUTCOME, outcome.as_str().to_owned()),
            (headers::REQUEST_ID, id),
            (headers::NODE, name),
        ] {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(header, value);
            }
        }
        response
    }

    /// The service's name if it exists: unknown names from callers are not used as metric labels.
    fn service_label(&self, service: &str) -> String {
        let view = self.node.view();
        let id = service.parse::<ServiceId>().ok();
        let known = id.filter(|id| view.fleet.config.services.contains_key(id));
        known.map_or_else(|| "none".to_owned(), |id| id.to_string())
    }

    async fn admit(
        &self,
        mut request: Request,
        options: Result<RequestOptions, String>,
        service: &str,
        path: String,
        now: Time,
    ) -> Result<AdmittedRequest, Failure> {
        let options = options.map_err(|text| Failure::rejected(StatusCode::BAD_REQUEST, text))?;
        let (id, spec, rate, nodes) = self.look_up(service, &options)?;
        let class = options.class.unwrap_or(spec.class);
        let once = spec.once || options.once;
        if once && options.key.is_none() {
            let text = format!(
                "header {}: it must be given, because the request is not repeatable",
                headers::IDEMPOTENCY_KEY
            );
            return Err(Failure::rejected(StatusCode::BAD_REQUEST, text));
        }
        let others = PeerDemand { nodes, demand: self.node.peers.demand(&options.team) };
        self.node.gates.admit(&options.team, rate, others, now).map_err(|after| Failure {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Failure::unavailable(format!("team {} has used up its rate", options.team), after)
        })?;
        let limit = options.deadline.unwrap_or(self.node.settings.limits.deadline);
        let body = self.read_body(&mut request).await?;
        let method = request.method().clone();
        let repeatable = !once && method.is_idempotent();
        let outgoing = Outgoing {
            headers: forward::end_to_end(request.headers()),
            method,
            path,
            body,
            request: options.request.clone(),
            connection: http::connection_of(&request),
        };
        Ok(AdmittedRequest {
            service: id,
            class,
            deadline: now + limit,
            outgoing,
            options,
            repeatable,
            once,
        })
    }

    fn look_up(
        &self,
        name: &str,
        options: &RequestOptions,
    ) -> Result<(ServiceId, Service, PerSecond, u32), Failure> {
        let view = self.node.view();
        let config = &view.fleet.config;
        if view.fleet.through == 0 {
            return Err(Failure::unavailable(
                "the node has no configuration yet",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let id: ServiceId = name
            .parse()
            .map_err(|error| Failure::rejected(StatusCode::NOT_FOUND, format!("path: {error}")))?;
        let spec = config.services.get(&id).cloned().ok_or_else(|| {
            Failure::rejected(StatusCode::NOT_FOUND, format!("there is no service {id}"))
        })?;
        let team = config.teams.get(&options.team).ok_or_else(|| {
            let text = format!("header {}: there is no team {}", headers::TEAM, options.team);
            Failure::rejected(StatusCode::FORBIDDEN, text)
        })?;
        let nodes = u32::try_from(view.fleet.nodes.len()).unwrap_or(u32::MAX).max(1);
        Ok((id, spec, team.rate, nodes))
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes, Failure> {
        let length = request.header(header::CONTENT_LENGTH);
        if length.is_some_and(|text| text.parse::<usize>().is_err()) {
            let text = "header content-length: a whole number is allowed";
            return Err(Failure::rejected(StatusCode::BAD_REQUEST, text));
        }
        let read = http::read_body(request, self.node.settings.limits.request).await;
        read.map_err(|error| match error {
            BodyError::TooLarge(_) => {
                Failure::rejected(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())
            }
            BodyError::Overload(_) => Failure::unavailable(error.to_string(), DEFAULT_RETRY_AFTER),
            _ => Failure::rejected(StatusCode::BAD_REQUEST, error.to_string()),
        })
    }

    async fn run(&self, request: AdmittedRequest) -> Result<Answer, Failure> {
        if !request.once {
            return self.send(&request).await.0;
        }
        // If the caller disconnects, the result of the claimed request must still be recorded.
        let entry = self.clone();
        let running = tokio::spawn(async move { entry.run_once(request).await });
        running.await.unwrap_or_else(|error| Err(Failure::unknown(error.to_string())))
    }

    async fn run_once(&self, request: AdmittedRequest) -> Result<Answer, Failure> {
        let Some(key) = request.options.key.clone() else {
            return Err(Failure::rejected(
                StatusCode::BAD_REQUEST,
                "the idempotency key is missing",
            ));
        };
        let (team, op) = (&request.options.team, OpId::fresh());
        match self.node.claims.claim(team, &key, &op).await {
            Ok(()) => {}
            Err(ClaimError::Held(claim)) => return Err(claimed_failure(&key, &claim)),
            Err(error) => return Err(Failure::unavailable(error.to_string(), DEFAULT_RETRY_AFTER)),
        }
        let (result, ran) = self.send(&request).await;
        let state = match (&result, ran) {
            (Ok(answer), _) => ClaimState::Ran(answer.status.as_u16()),
            (Err(failure), _) if failure.outcome == Outcome::Ran => {
                ClaimState::Ran(failure.status.as_u16())
            }
            (Err(_), false) => ClaimState::Released,
            (Err(_), true) => ClaimState::Unknown,
        };
        self.node.claims.record_end(team, &key, &op, state);
        result
    }

    /// Sends a request, with retries. Also returns whether it may have run.
    async fn send(&self, request: &AdmittedRequest) -> (Result<Answer, Failure>, bool) {
        let gate = self.node.gates.of(&request.service);
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let mut last_error = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt != 0 {
                if !gate.may_retry() {
                    break;
                }
                self.node.metrics.record_retry(request.service.as_str());
            }
            let (_in_flight, slot) = match self.acquire_endpoint(request, &gate, &mut tried).await {
                Ok(entered) => entered,
                Err(failure) if may_have_run => {
                    return (
                        Err(Failure::unknown(format!("{last_error}; then: {}", failure.text))),
                        true,
                    );
                }
                Err(failure) => return (Err(failure), false),
            };
            let started_at = Time::now();
            let limit = request.deadline.since(started_at);
            let endpoint = slot.endpoint.clone();
            let sent = forward::send(
                &self.client,
                &endpoint,
                &request.outgoing,
                self.max_answer_bytes,
                limit,
            );
            let attempt = sent.await;
            let now = Time::now();
            tried.push(endpoint.address.clone());
            match attempt {
                Attempt::Answered(answer) => {
                    endpoint.record_success(answer.busy, now);
                    gate.record_run(now.since(started_at));
                    return (Ok(answer), true);
                }
                Attempt::TooLarge(size) => {
                    let text = format!(
                        "it ran, but its answer of {size} bytes or more is over the limit of {}",
                        self.max_answer_bytes
                    );
                    let outcome = Outcome::Ran;
                    return (Err(Failure { outcome, ..Failure::unknown(text) }), true);
                }
                // The request is retried elsewhere; the endpoint is neither put into backoff nor
                // preferred.
                Attempt::Refused(busy) => {
                    endpoint.record_refusal(busy, now);
                    last_error = format!("endpoint {} refused the request", endpoint.address);
                }
                Attempt::Unsent(cause) => {
                    endpoint.record_failure(now);
                    last_error = cause;
                }
                Attempt::Unknown(cause) => {
                    endpoint.record_failure(now);
                    may_have_run = true;
                    last_error = cause;
                    if !request.repeatable {
                        break;
                    }
                }
            }
            if request.deadline <= now {
                break;
            }
        }
        if may_have_run {
            return (Err(Failure::unknown(last_error)), true);
        }
        let after = gate.typical_run_time().max(Duration::from_millis(100));
        (Err(Failure::unavailable(last_error, after)), false)
    }

    /// Acquires a slot at an endpoint, waiting in the queue if necessary.
    async fn acquire_endpoint(
        &self,
        request: &AdmittedRequest,
        gate: &Arc<Gate>,
        tried: &mut Vec<String>,
    ) -> Result<(InFlight, Slot), Failure> {
        let mut number = None;
        let mut rounds = 0;
        loop {
            let now = Time::now();
            let endpoints = self.node.routes.of(&request.service);
            if endpoints.is_empty() {
                let text = format!("service {} has no endpoint now", request.service);
                return Err(Failure::unavailable(text, DEFAULT_RETRY_AFTER));
            }
            let (_, slots) = routes::capacity(&endpoints);
            let bound = self.bound(request, slots);
            if let Some(slot) = routes::acquire_slot(&endpoints, tried, now)
                && let Some(in_flight) = gate.try_enter(request.class, bound)
            {
                return Ok((in_flight, slot));
            }
            if endpoints.iter().all(|endpoint| tried.contains(&endpoint.address)) {
                // Each has refused once: wait for about the run time of a request, then retry all.
                rounds += 1;
                let pause = gate.typical_run_time().max(Duration::from_millis(5));
                if rounds == MAX_ROUNDS || request.deadline.since(now) < pause {
                    let text = format!(
                        "every endpoint of service {} refused the request",
                        request.service
                    );
                    return Err(Failure::unavailable(text, pause.max(Duration::from_millis(100))));
                }
                tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                tried.clear();
                continue;
            }
            let max_waiting = self.node.settings.limits.queue;
            let share = (slots / bound.nodes).max(1);
            let place = gate.wait(request.class, request.deadline, max_waiting, share, number, now);
            let mut place = place.map_err(|full| {
                let after = full.retry_after().max(Duration::from_millis(100));
                Failure::unavailable(
                    format!("the queue of service {} is full", request.service),
                    after,
                )
            })?;
            number = Some(place.number());
            match tokio::time::timeout(request.deadline.since(now), place.wait_turn()).await {
                Ok(true) => {}
                Ok(false) => {
                    let text = "a more urgent request took its place in the queue";
                    return Err(Failure::unavailable(
                        text,
                        gate.typical_run_time().max(DEFAULT_RETRY_AFTER),
                    ));
                }
                Err(_) => {
                    let text = "no slot at an endpoint became free before the deadline";
                    return Err(Failure::unavailable(
                        text,
                        gate.typical_run_time().max(DEFAULT_RETRY_AFTER),
                    ));
                }
            }
        }
    }

    fn bound(&self, request: &AdmittedRequest, slots: u32) -> Bound {
        let nodes = u32::try_from(self.node.view().fleet.nodes.len()).unwrap_or(u32::MAX);
        let others = self.node.peers.busy(&request.service, request.class as usize);
        Bound { slots, others, nodes: nodes.max(1) }
    }
}

/// The service's name and the rest of the path, with its query.
fn split_path(request: &Request) -> (String, String) {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = path.trim_start_matches('/');
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    (service.to_owned(), path)
}

/// The failure reported to a caller whose key is already claimed.
fn claimed_failure(key: &str, claim: &Claim) -> Failure {
    let (outcome, text, retry_after) = match &claim.state {
        ClaimState::Ran(status) => {
            (Outcome::Ran, format!("it ran and was answered with status {status}"), None)
        }
        ClaimState::Claimed => {
            let text = format!("node {} claimed it at {}", claim.node, claim.at);
            (Outcome::Unknown, text, Some(DEFAULT_RETRY_AFTER))
        }
        ClaimState::Unknown | ClaimState::Released => {
            (Outcome::Unknown, "it was sent, and may have run".to_owned(), None)
        }
    };
    let text = format!("key {key} is claimed: {text}; it is not run again");
    Failure { status: StatusCode::CONFLICT, outcome, text, retry_after }
}

fn failure_response(failure: Failure) -> Response {
    let mut response = http::text(failure.status, failure.text + "\n");
    if let Some(after) = failure.retry_after {
        // The header takes whole seconds; at least 1.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() != 0);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.max(1).into());
    }
    response
}

/// The complete answer of an endpoint, held in memory until it is written.
fn answer_response(answer: Answer) -> Response {
    let Answer { status, headers, body, .. } = answer;
    let length = body.len();
    // A stream is dropped only after it has been written, and the memory stays reserved until then.
    let chunk = stream::once(async move { Ok::<_, std::io::Error>(body) });
    let mut response = Response::builder().status(status).body(Body::from_bytes_stream(chunk));
    *response.headers_mut() = forward::end_to_end(&headers);
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}
