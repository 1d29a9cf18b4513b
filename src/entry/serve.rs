//! Serves callers: reads a request, admits it, has it run at an endpoint and gives the one final
//! answer, with the outcome in a header.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use poem::{
    Body, Request, Response,
    http::{StatusCode, header},
};
use tokio::sync::OwnedSemaphorePermit;

use crate::{
    decide::{
        claim::{Claim, ClaimState},
        share::Others,
    },
    entry::{
        forward::{self, Answer, Attempt, Hold, Outgoing},
        gate::{Bound, Gate, InFlight},
        headers::{self, Wishes},
        once::ClaimError,
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
};

/// Times that a request is sent at the most.
const ATTEMPTS: usize = 4;
/// Rounds of waiting after every endpoint has refused.
const ROUNDS: usize = 3;
/// When to come back after a refusal for which no better time is known.
const COME_BACK: Duration = Duration::from_secs(1);

/// What callers are served with.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
    /// For requests to endpoints.
    pub(crate) client: reqwest::Client,
    pub(crate) hold: Hold,
}

/// A refusal or failure, as it is told to the caller.
struct Told {
    status: StatusCode,
    outcome: Outcome,
    text: String,
    retry_after: Option<Duration>,
}

impl Told {
    fn refusal(status: StatusCode, text: impl Into<String>) -> Told {
        Told { status, outcome: Outcome::NotRun, text: text.into(), retry_after: None }
    }

    fn later(text: impl Into<String>, after: Duration) -> Told {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Told { status, outcome: Outcome::NotRun, text: text.into(), retry_after: Some(after) }
    }

    fn unknown(text: impl Into<String>) -> Told {
        let status = StatusCode::BAD_GATEWAY;
        Told { status, outcome: Outcome::Unknown, text: text.into(), retry_after: None }
    }
}

/// A request that has been read and admitted.
struct Job {
    service: ServiceId,
    class: Class,
    deadline: Time,
    outgoing: Outgoing,
    wishes: Wishes,
    /// Whether it may be sent again although it may have run.
    repeatable: bool,
    once: bool,
    /// The memory that its body is counted against.
    _held: OwnedSemaphorePermit,
}

impl Entry {
    /// Gives a request its one final answer.
    pub(crate) async fn answer(self, request: Request) -> Response {
        let began = Time::now();
        let wishes = headers::read(request.headers());
        let id = wishes.as_ref().map_or_else(|_| OpId::fresh().to_string(), |w| w.request.clone());
        let team = wishes.as_ref().map_or("none".to_owned(), |w| w.team.to_string());
        let (service, path) = split(&request);
        let label = self.known(&service);
        let has_body = http::has_body(&request);
        let mut unread = false;
        let (told, class) = match self.admit(request, wishes, &service, path, began).await {
            Ok(job) => {
                let class = job.class;
                (self.run(job).await, class)
            }
            Err(told) => {
                unread = has_body;
                (Err(told), Class::Normal)
            }
        };
        let outcome = told.as_ref().map_or_else(|told| told.outcome, |_| Outcome::Ran);
        let took = Time::now().since(began);
        self.node.metrics.answered(&team, class, &label, outcome, took);
        if let Err(told) = &told {
            log::debug!("request {id}: service {service}: {outcome}: {}", told.text);
        }
        let mut response = told.map_or_else(told_response, whole_response);
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

    /// The service's name if there is one: names that callers make up are not kept as labels.
    fn known(&self, service: &str) -> String {
        let view = self.node.view();
        let id = service.parse::<ServiceId>().ok();
        let known = id.filter(|id| view.fleet.config.services.contains_key(id));
        known.map_or_else(|| "none".to_owned(), |id| id.to_string())
    }

    async fn admit(
        &self,
        mut request: Request,
        wishes: Result<Wishes, String>,
        service: &str,
        path: String,
        now: Time,
    ) -> Result<Job, Told> {
        let wishes = wishes.map_err(|text| Told::refusal(StatusCode::BAD_REQUEST, text))?;
        let (id, spec, rate, nodes) = self.look_up(service, &wishes)?;
        let class = wishes.class.unwrap_or(spec.class);
        let once = spec.once || wishes.once;
        if once && wishes.key.is_none() {
            let text = format!(
                "header {}: it must be given, because the request is not repeatable",
                headers::IDEMPOTENCY_KEY
            );
            return Err(Told::refusal(StatusCode::BAD_REQUEST, text));
        }
        let others = Others { nodes, demand: self.node.peers.demand(&wishes.team) };
        self.node.gates.admit(&wishes.team, rate, others, now).map_err(|after| Told {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Told::later(format!("team {} has used up its rate", wishes.team), after)
        })?;
        let limit = wishes.deadline.unwrap_or(self.node.settings.limits.deadline);
        let (body, held) = self.read_body(&mut request).await?;
        let method = request.method().clone();
        let repeatable = !once && method.is_idempotent();
        let outgoing = Outgoing {
            headers: forward::passed_on(request.headers()),
            method,
            path,
            body,
            request: wishes.request.clone(),
        };
        Ok(Job {
            service: id,
            class,
            deadline: now + limit,
            outgoing,
            wishes,
            repeatable,
            once,
            _held: held,
        })
    }

    fn look_up(
        &self,
        name: &str,
        wishes: &Wishes,
    ) -> Result<(ServiceId, Service, PerSecond, u32), Told> {
        let view = self.node.view();
        let config = &view.fleet.config;
        if view.fleet.through == 0 {
            return Err(Told::later("the node has no configuration yet", COME_BACK));
        }
        let id: ServiceId = name
            .parse()
            .map_err(|error| Told::refusal(StatusCode::NOT_FOUND, format!("path: {error}")))?;
        let spec = config.services.get(&id).cloned().ok_or_else(|| {
            Told::refusal(StatusCode::NOT_FOUND, format!("there is no service {id}"))
        })?;
        let team = config.teams.get(&wishes.team).ok_or_else(|| {
            let text = format!("header {}: there is no team {}", headers::TEAM, wishes.team);
            Told::refusal(StatusCode::FORBIDDEN, text)
        })?;
        let nodes = u32::try_from(view.fleet.nodes.len()).unwrap_or(u32::MAX).max(1);
        Ok((id, spec, team.rate, nodes))
    }

    async fn read_body(
        &self,
        request: &mut Request,
    ) -> Result<(Bytes, OwnedSemaphorePermit), Told> {
        let most = self.node.settings.limits.request;
        let too_large = || {
            let text = format!("the body is larger than {most} bytes");
            Told::refusal(StatusCode::PAYLOAD_TOO_LARGE, text)
        };
        let length = request.header(header::CONTENT_LENGTH).map(|text| text.parse::<usize>());
        let length = match length {
            Some(Ok(length)) => length,
            Some(Err(_)) => {
                let text = "header content-length: a whole number is allowed";
                return Err(Told::refusal(StatusCode::BAD_REQUEST, text));
            }
            // Without a length, room for the largest body is held until it is read.
            None if request.header(header::TRANSFER_ENCODING).is_some() => most,
            None => 0,
        };
        if most < length {
            return Err(too_large());
        }
        let count = u32::try_from(length).unwrap_or(u32::MAX);
        let Ok(held) = self.hold.memory.clone().try_acquire_many_owned(count) else {
            return Err(Told::later("the node holds as many bytes as it may", COME_BACK));
        };
        match http::read_body(request.take_body(), most).await {
            Ok(body) => Ok((body, held)),
            Err(BodyError::TooLarge(_)) => Err(too_large()),
            Err(error) => Err(Told::refusal(StatusCode::BAD_REQUEST, error.to_string())),
        }
    }

    async fn run(&self, job: Job) -> Result<Answer, Told> {
        if !job.once {
            return self.send(&job).await.0;
        }
        // A caller that goes away must not leave a claim without an end.
        let entry = self.clone();
        let running = tokio::spawn(async move { entry.run_once(job).await });
        running.await.unwrap_or_else(|error| Err(Told::unknown(error.to_string())))
    }

    async fn run_once(&self, job: Job) -> Result<Answer, Told> {
        let Some(key) = job.wishes.key.clone() else {
            return Err(Told::refusal(StatusCode::BAD_REQUEST, "no key"));
        };
        let (team, op) = (&job.wishes.team, OpId::fresh());
        match self.node.once.claim(team, &key, &op).await {
            Ok(()) => {}
            Err(ClaimError::Held(claim)) => return Err(held(&key, &claim)),
            Err(error) => return Err(Told::later(error.to_string(), COME_BACK)),
        }
        let (result, ran) = self.send(&job).await;
        let state = match (&result, ran) {
            (Ok(answer), _) => ClaimState::Ran(answer.status.as_u16()),
            (Err(told), _) if told.outcome == Outcome::Ran => ClaimState::Ran(told.status.as_u16()),
            (Err(_), false) => ClaimState::Released,
            (Err(_), true) => ClaimState::Unknown,
        };
        self.node.once.end(team, &key, &op, state);
        result
    }

    /// Has a request run; also tells whether it may have.
    async fn send(&self, job: &Job) -> (Result<Answer, Told>, bool) {
        let gate = self.node.gates.of(&job.service);
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let mut last = String::new();
        for attempt in 0..ATTEMPTS {
            if attempt != 0 {
                if !gate.may_retry() {
                    break;
                }
                self.node.metrics.retried(job.service.as_str());
            }
            let (_in_flight, slot) = match self.enter(job, &gate, &mut tried).await {
                Ok(entered) => entered,
                Err(told) if may_have_run => {
                    return (Err(Told::unknown(format!("{last}; then: {}", told.text))), true);
                }
                Err(told) => return (Err(told), false),
            };
            let began = Time::now();
            let limit = job.deadline.since(began);
            let endpoint = slot.endpoint.clone();
            let sent = forward::send(&self.client, &endpoint, &job.outgoing, &self.hold, limit);
            let attempt = sent.await;
            let now = Time::now();
            tried.push(endpoint.address.clone());
            match attempt {
                Attempt::Answered(answer) => {
                    endpoint.succeeded(answer.busy, now);
                    gate.ran(now.since(began));
                    return (Ok(answer), true);
                }
                Attempt::TooLarge(size) => {
                    let text = format!(
                        "it ran, but its answer of {size} bytes or more is over the limit of {}",
                        self.hold.most
                    );
                    let outcome = Outcome::Ran;
                    return (Err(Told { outcome, ..Told::unknown(text) }), true);
                }
                // This request moves on; the endpoint is neither switched off nor stuck to.
                Attempt::Refused(busy) => {
                    endpoint.refused(busy, now);
                    last = format!("endpoint {} refused it", endpoint.address);
                }
                Attempt::Unsent(cause) => {
                    endpoint.failed(now);
                    last = cause;
                }
                Attempt::Broken(cause) => {
                    endpoint.failed(now);
                    may_have_run = true;
                    last = cause;
                    if !job.repeatable {
                        break;
                    }
                }
            }
            if job.deadline <= now {
                break;
            }
        }
        if may_have_run {
            return (Err(Told::unknown(last)), true);
        }
        let after = gate.typical().max(Duration::from_millis(100));
        (Err(Told::later(last, after)), false)
    }

    /// Finds the request a place at an endpoint, waiting for one in the queue if need be.
    async fn enter(
        &self,
        job: &Job,
        gate: &Arc<Gate>,
        tried: &mut Vec<String>,
    ) -> Result<(InFlight, Slot), Told> {
        let mut number = None;
        let mut rounds = 0;
        loop {
            let now = Time::now();
            let endpoints = self.node.routes.of(&job.service);
            if endpoints.is_empty() {
                let text = format!("service {} has no endpoint now", job.service);
                return Err(Told::later(text, COME_BACK));
            }
            let (_, slots) = routes::capacity(&endpoints);
            let bound = self.bound(job, slots);
            if let Some(slot) = routes::take(&endpoints, tried, now)
                && let Some(in_flight) = gate.enter(job.class, bound)
            {
                return Ok((in_flight, slot));
            }
            if endpoints.iter().all(|endpoint| tried.contains(&endpoint.address)) {
                // Each has refused once: give them the time of a request, then begin again.
                rounds += 1;
                let pause = gate.typical().max(Duration::from_millis(5));
                if rounds == ROUNDS || job.deadline.since(now) < pause {
                    let text = format!("every endpoint of service {} refused it", job.service);
                    return Err(Told::later(text, pause.max(Duration::from_millis(100))));
                }
                tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
                tried.clear();
                continue;
            }
            let most = self.node.settings.limits.queue;
            let share = (slots / bound.nodes).max(1);
            let place = gate.wait(job.class, job.deadline, most, share, number, now);
            let mut place = place.map_err(|full| {
                let after = full.retry_after().max(Duration::from_millis(100));
                Told::later(format!("the queue of service {} is full", job.service), after)
            })?;
            number = Some(place.number());
            match tokio::time::timeout(job.deadline.since(now), place.turn()).await {
                Ok(true) => {}
                Ok(false) => {
                    let text = "a more urgent request took its place";
                    return Err(Told::later(text, gate.typical().max(COME_BACK)));
                }
                Err(_) => {
                    let text = "no place at an endpoint came free before the deadline";
                    return Err(Told::later(text, gate.typical().max(COME_BACK)));
                }
            }
        }
    }

    fn bound(&self, job: &Job, slots: u32) -> Bound {
        let nodes = u32::try_from(self.node.view().fleet.nodes.len()).unwrap_or(u32::MAX);
        let others = self.node.peers.busy(&job.service, job.class as usize);
        Bound { slots, others, nodes: nodes.max(1) }
    }
}

/// The service's name and the rest of the path, with its query.
fn split(request: &Request) -> (String, String) {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = path.trim_start_matches('/');
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    (service.to_owned(), path)
}

/// What a caller is told whose key is claimed already.
fn held(key: &str, claim: &Claim) -> Told {
    let (outcome, text, retry_after) = match &claim.state {
        ClaimState::Ran(status) => {
            (Outcome::Ran, format!("it ran and was answered with status {status}"), None)
        }
        ClaimState::Claimed => {
            let text = format!("node {} has it since {}", claim.node, claim.at);
            (Outcome::Unknown, text, Some(COME_BACK))
        }
        ClaimState::Unknown | ClaimState::Released => {
            (Outcome::Unknown, "it was sent, and may have run".to_owned(), None)
        }
    };
    let text = format!("key {key} is claimed: {text}; it is not run again");
    Told { status: StatusCode::CONFLICT, outcome, text, retry_after }
}

fn told_response(told: Told) -> Response {
    let mut response = http::text(told.status, told.text + "\n");
    if let Some(after) = told.retry_after {
        // Whole seconds, as the header has them, and never none at all.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() != 0);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.max(1).into());
    }
    response
}

/// An answer as it came, held in memory until it is written.
fn whole_response(answer: Answer) -> Response {
    let Answer { status, headers, body, held, .. } = answer;
    let length = body.len();
    let chunk = stream::once(async move {
        // Moved along, so that its memory counts for as long as it is there.
        let body = body;
        Ok::<_, std::io::Error>((body, held))
    });
    let chunk = futures_util::StreamExt::map(chunk, |part| part.map(|(body, _held)| body));
    let mut response = Response::builder().status(status).body(Body::from_bytes_stream(chunk));
    *response.headers_mut() = forward::passed_on(&headers);
    response.headers_mut().insert(header::CONTENT_LENGTH, length.into());
    response
}
