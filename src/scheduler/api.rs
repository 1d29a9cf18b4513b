//! The HTTP interface for callers: submit and cancel jobs, read their states, and count the jobs
//! that wait in a queue.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use poem::{
    Endpoint, Request, Response,
    http::{HeaderValue, Method, StatusCode, header},
};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    http::{self, BodyError, RETRY_AFTER_S, connections::Connection},
    model::{
        account::KeyDigest,
        job::{JobId, JobState},
        queue::{Queue, QueueConfig},
        unit::{Revision, Time},
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
        access::{self, Access, Caller, Holder},
        admission, dispatch, keys,
        lease::Lease,
        relay::{
            Call, RELAYED_HEADER, Relay, Relayed, Subject,
            proof::{self, Covered, Proof},
        },
        tombstone,
        view::{
            self,
            age::{MAX_STATE_AGE_MS, StaleData},
        },
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

/// The age of the configuration from which on it is read again before a key counts as valid, in
/// milliseconds. Watches keep it under 1 s.
const MAX_CONFIG_AGE_MS: u64 = 1_500;

/// Who sends requests to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sender {
    Callers,
    /// Other nodes, which prove it.
    Nodes,
}

/// The HTTP endpoint for callers, and for requests that other nodes relay.
pub(crate) struct Api {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<Lease>,
    pub(crate) relay: Relay,
    pub(crate) sender: Sender,
    /// Carries out orders of other nodes; `None` if it does not.
    pub(crate) orders: Option<WorkerClient>,
}

/// The answer to a request that may not use its queue, and the queue's name if it exists.
type Refusal = Box<(Option<String>, Response)>;

fn refusal(queue: Option<&str>, response: Response) -> Refusal {
    Box::new((queue.map(str::to_owned), response))
}

/// A request's queue and key, by one version of the configuration.
struct KeyCheck {
    config: Arc<QueueConfig>,
    queue: String,
    needs_key: bool,
    /// `None` if the key is not known.
    caller: Option<Caller>,
}

/// A request that may use its queue.
struct Admitted {
    config: Arc<QueueConfig>,
    caller: Caller,
    key: Option<KeyDigest>,
    /// The proof of the relaying node; `None` if the request comes from a caller.
    proof: Option<Proof>,
    deadline: Instant,
    /// `None` if the request came on no connection.
    connection: Option<Arc<Connection>>,
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
        let (queue, mut response) = tokio::select! {
            biased;
            answered = self.answer(request) => answered,
            () = self.node.answers_due.cancelled() => (None, node_ends()),
        };
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
        let admitted = match self.admit(&request).await {
            Ok(admitted) => admitted,
            Err(refusal) => return *refusal,
        };
        let path = request.uri().path().to_owned();
        let Some(queue) = admitted.config.queue_of(&host_of(&request), &path) else {
            return (None, no_such_queue());
        };
        let suffix = &path[queue.prefix.len()..];
        let response = match (suffix.is_empty(), suffix.parse::<JobId>()) {
            (true, _) => self.pending(queue, &admitted, &request).await,
            (false, Ok(id)) => {
                let is_submission = *request.method() == Method::POST;
                let response = self.answer_job(id, queue, &admitted, request).await;
                let is_cancelled = is_submission && response.status() == StatusCode::GONE;
                // Nodes need to know that no other attempt succeeds.
                match is_cancelled && self.sender == Sender::Callers {
                    true => cancelled_before(),
                    false => response,
                }
            }
            (false, Err(error)) => http::text(StatusCode::NOT_FOUND, format!("{error}\n")),
        };
        (Some(queue.name.clone()), response)
    }

    /// Checks a request before its body is read: its queue exists, and its key is that of a client
    /// account. A key that is not known counts as invalid only by a configuration from after the
    /// request has arrived. Returns the queue's name with a refusal, if it exists.
    async fn admit(&self, request: &Request) -> Result<Admitted, Refusal> {
        let received = self.node.now();
        let deadline = Instant::now() + caller_timeout(request).saturating_sub(ANSWER_MARGIN);
        let proof = match self.sender {
            Sender::Callers => None,
            Sender::Nodes => Some(self.verify(request, received.wall)?),
        };
        let key = match &proof {
            Some(proof) => proof.key,
            None => caller::key(request)
                .map(|key| key.map(|key| key.digest()))
                .transpose()
                .map_err(|error| refusal(None, unauthorized(&format!("the key is {error}"))))?,
        };
        let mut refreshed = false;
        loop {
            let KeyCheck { config, queue, needs_key, caller } =
                self.check_key(request, proof.as_ref(), key.as_ref())?;
            let refuse = |response| Err(refusal(Some(&queue), response));
            let is_known = caller.is_some();
            match caller {
                // The relaying node knew the key, by an earlier version.
                None if refreshed || proof.is_some() => {
                    log::info!("queue {queue}: refused: unknown key");
                    return refuse(unauthorized("the key is not known"));
                }
                Some(caller) if refreshed || !needs_key || self.is_config_recent() => {
                    if needs_key && self.is_too_old_for_keys() {
                        log::info!("queue {queue}: refused: the configuration is too old for keys");
                        return refuse(unavailable("the key cannot be checked now"));
                    }
                    let connection = http::connection_of(request);
                    return Ok(Admitted { config, caller, key, proof, deadline, connection });
                }
                _ => {}
            }
            let read = self.node.config_refresh.refresh(&self.node, received.steady);
            let failure = match timeout_at(deadline, read).await {
                Ok(Ok(())) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(elapsed) => Some(elapsed.to_string()),
            };
            refreshed = true;
            // A known key stays valid while the configuration cannot be read.
            if let Some(reason) = failure.filter(|_| !is_known) {
                log::info!("queue {queue}: key not checked: {reason}");
                return refuse(unavailable("the key cannot be checked now"));
            }
        }
    }

    /// Looks a request's queue and key up in the configuration.
    fn check_key(
        &self,
        request: &Request,
        proof: Option<&Proof>,
        key: Option<&KeyDigest>,
    ) -> Result<KeyCheck, Refusal> {
        let Some(config) = self.node.view().config.clone() else {
            return Err(refusal(None, unavailable("the node has not read a configuration yet")));
        };
        if proof.is_some_and(|proof| config.version < proof.config) {
            let reason = "the configuration of this node is older than that of the relaying node";
            return Err(refusal(None, unavailable(reason)));
        }
        let Some(queue) = config.queue_of(&host_of(request), request.uri().path()) else {
            return Err(refusal(None, no_such_queue()));
        };
        let (name, needs_key) = (queue.name.clone(), config.needs_key(queue));
        let caller = match access::check(&config, queue, key) {
            Access::Granted(caller) => Some(caller),
            Access::MissingKey => {
                return Err(refusal(Some(&name), unauthorized("the queue needs a key")));
            }
            Access::UnknownKey => None,
        };
        Ok(KeyCheck { config, queue: name, needs_key, caller })
    }

    /// Whether keys can be checked by the configuration as it is, or it cannot be read anyway.
    fn is_config_recent(&self) -> bool {
        let now = self.node.now().steady;
        let age = self.node.view().config_age_ms(now);
        age.is_some_and(|age| age <= MAX_CONFIG_AGE_MS) || !self.lease.is_store_reachable(now)
    }

    /// Checks the proof of the node that relayed a request.
    fn verify(&self, request: &Request, now: Time) -> Result<Proof, Refusal> {
        let header = request.header(RELAYED_HEADER).unwrap_or_default();
        let covered = Covered {
            method: request.method().as_str(),
            host: request.header(header::HOST).unwrap_or_default(),
            path: request.uri().path(),
        };
        let secret_of = |node: &str| self.node.view().node_secrets.get(node).copied();
        Proof::verify(header, covered, secret_of, now).map_err(|error| {
            log::warn!("relayed request refused: {error}");
            refusal(None, unavailable(&error.to_string()))
        })
    }

    /// Whether the configuration is too old to accept keys by, according to the settings.
    fn is_too_old_for_keys(&self) -> bool {
        let Some(max_age) = self.node.settings.max_key_age else {
            return false;
        };
        let age = self.node.view().config_age_ms(self.node.now().steady);
        age.is_none_or(|age| max_age < Duration::from_millis(age))
    }

    /// Answers here, or relays the request to another node if the store cannot be reached from
    /// here.
    async fn answer_job(
        &self,
        id: JobId,
        queue: &Queue,
        admitted: &Admitted,
        mut request: Request,
    ) -> Response {
        let body = match http::read_body(&mut request, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                let mut refusal = match &error {
                    BodyError::Overload(overload) => http::refuse(overload),
                    _ => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
                };
                http::close_after(&mut refusal);
                return refusal;
            }
        };
        let store_reachable = self.lease.is_store_reachable(self.node.now().steady);
        let method = request.method().clone();
        let deadline = admitted.deadline;
        if let Some(proof) = &admitted.proof {
            if proof.body != proof::digest_of(&body) {
                log::warn!("job {id}: relayed request refused: its body is not the one signed");
                return unavailable("the body is not the one that the relaying node signed");
            }
            return match store_reachable {
                true => self.answer_here(id, queue, admitted, &method, body, deadline).await,
                false => unavailable("the store cannot be reached"),
            };
        }
        let mut call = relay_call(&request, Subject::Job(id), admitted, body.clone());
        if store_reachable {
            self.relay.note_store_reached();
        } else {
            self.note_tried(id, &method);
            match self.relay.relay(&self.node, &call).await {
                Relayed::Answered(response) => return response,
                Relayed::Unknown if method != Method::GET => return unknown_outcome(),
                Relayed::Unknown | Relayed::NotAccepted => {}
            }
            let last = self.last_known_response(id, admitted, &method);
            return match last {
                Some(response) => response,
                None if self.relay.is_cut_off() => {
                    unavailable("neither the store nor another node can be reached")
                }
                None => self.answer_here(id, queue, admitted, &method, body, deadline).await,
            };
        }
        // A single attempt if another node can make the next one.
        let retry_until = if self.has_peers() { Instant::now() } else { deadline };
        let response = self.answer_here(id, queue, admitted, &method, body, retry_until).await;
        if !is_unavailable(&response) {
            return response;
        }
        self.note_tried(id, &method);
        call.may_be_done = response.status() == StatusCode::GATEWAY_TIMEOUT;
        match self.relay.relay(&self.node, &call).await {
            Relayed::Answered(response) => response,
            Relayed::NotAccepted => {
                self.last_known_response(id, admitted, &method).unwrap_or(response)
            }
            Relayed::Unknown => {
                self.last_known_response(id, admitted, &method).unwrap_or_else(unknown_outcome)
            }
        }
    }

    /// Records that a job may be written by another node from now on.
    fn note_tried(&self, id: JobId, method: &Method) {
        if *method == Method::POST {
            self.node.admission.note_tried(id, self.node.now().steady);
        }
    }

    /// The last known state of a job, for a `GET` while neither the store nor another node answers:
    /// better than no answer, and a final state does not change.
    fn last_known_response(
        &self,
        id: JobId,
        admitted: &Admitted,
        method: &Method,
    ) -> Option<Response> {
        let (state, holder) = self.last_known_state(id).filter(|_| *method == Method::GET)?;
        if !admitted.may_access(&holder)? {
            return Some(other_account());
        }
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
        view.known_nodes().any(|(name, record)| name != own && record.peers.is_some())
    }

    async fn answer_here(
        &self,
        id: JobId,
        queue: &Queue,
        admitted: &Admitted,
        method: &Method,
        body: Bytes,
        deadline: Instant,
    ) -> Response {
        match *method {
            Method::POST => self.submit(id, queue, admitted, body, deadline).await,
            Method::GET => self.state(id, admitted).await,
            Method::DELETE => self.cancel(id, admitted, deadline).await,
            _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "POST, GET or DELETE\n"),
        }
    }

    /// Answers how many jobs wait: from this node's records, or else by relaying to a node that has
    /// them, or else by the reports of the owners in the store. A node with a stale view refuses to
    /// answer: a count from it may be far too low without any sign of it.
    async fn pending(&self, queue: &Queue, admitted: &Admitted, request: &Request) -> Response {
        if *request.method() != Method::GET {
            return http::text(StatusCode::METHOD_NOT_ALLOWED, "GET\n");
        }
        let mut reason = match self.count(queue) {
            Ok(answer) => return answer,
            Err(reason) => reason,
        };
        if admitted.proof.is_none() {
            let subject = Subject::Queue(queue.name.clone());
            let call = relay_call(request, subject, admitted, Bytes::new());
            if let Relayed::Answered(response) = self.relay.relay(&self.node, &call).await {
                self.node.metrics.record_queue_count("another node");
                return response;
            }
        }
        if self.lease.is_store_reachable(self.node.now().steady) {
            if let Err(error) = self.node.reports_refresh.refresh(&self.node).await {
                log::info!("queue {}: {error}", queue.name);
            }
            reason = match self.count(queue) {
                Ok(answer) => return answer,
                Err(reason) => reason,
            };
        }
        self.node.metrics.record_queue_count("nobody");
        log::info!("queue {}: number of waiting jobs unknown: {reason}", queue.name);
        unavailable("the number of waiting jobs is unknown")
    }

    /// The number of waiting jobs by the view.
    fn count(&self, queue: &Queue) -> Result<Response, StaleData> {
        let counted = self.node.view().pending(queue, self.node.now().steady)?;
        self.node.metrics.record_queue_count(counted.by);
        Ok(http::json(StatusCode::OK, &PendingAnswer { pending: counted.jobs }))
    }

    async fn submit(
        &self,
        id: JobId,
        queue: &Queue,
        admitted: &Admitted,
        body: Bytes,
        deadline: Instant,
    ) -> Response {
        // The write decides if the holder of a known job is not known.
        match self.accepted_for(id, admitted) {
            Some(true) => return http::text(StatusCode::OK, ""),
            Some(false) => return other_account(),
            None => {}
        }
        if let Some(connection) = &admitted.connection
            && let Err(overload) = connection.reserve(caller::job_bytes(&body), Instant::now())
        {
            log::info!("job {id}: refused: {overload}");
            return http::refuse(&overload);
        }
        let now = self.node.now();
        let account = admitted.caller.account.clone();
        let record = match caller::job(&body, queue, account, now.wall) {
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
        // A node that relays a job may have tried to write it.
        if admitted.proof.is_some() {
            self.node.admission.note_tried(id, now.steady);
        } else if let Err(refused) =
            admission::check(&self.node, id, &record, &admitted.config, now).await
        {
            return too_many(refused.retry_after);
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!("job {id}: encoding as JSON failed: {error}");
                return http::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
            }
        };
        let accepted = accept::accept(&self.node, id, &record, value.into(), deadline).await;
        let took = self.node.now().steady.since(now.steady);
        log::info!("job {id}: queue {}: {accepted:?} in {took} ms", queue.name);
        match accepted {
            Accepted::Kept | Accepted::Already => http::text(StatusCode::OK, ""),
            Accepted::NameInUse => other_account(),
            Accepted::Cancelled => http::text(StatusCode::GONE, "the job was cancelled\n"),
            Accepted::NotWritten => unavailable("the write was not done"),
            Accepted::Unknown => unknown_outcome(),
        }
    }

    /// Whether a job was accepted for the account that the request acts for, or for another one;
    /// `None` if this node does not know.
    fn accepted_for(&self, id: JobId, admitted: &Admitted) -> Option<bool> {
        let view = self.node.view();
        let known = view.jobs.get(&id).filter(|known| known.is_accepted())?;
        admitted.may_access(&known.holder)
    }

    async fn state(&self, id: JobId, admitted: &Admitted) -> Response {
        match self.current_state(id, admitted).await {
            Ok(Some((_, false))) => other_account(),
            Ok(Some((state, true))) => http::json(StatusCode::OK, &caller::state(state)),
            Ok(None) => http::text(StatusCode::GONE, "there is no such job\n"),
            Err(error) => {
                log::info!("job {id}: state unknown: {error}");
                unavailable("the store cannot be reached")
            }
        }
    }

    /// The state of a job in this node's view, and whose job it is; `None` if the view does not have
    /// the job.
    fn last_known_state(&self, id: JobId) -> Option<(JobState, Holder)> {
        let view = self.node.view();
        let known = view.jobs.get(&id).filter(|known| known.is_accepted())?;
        Some((known.state(), known.holder.clone()))
    }

    /// The state of a job, and whether the request may access it; `None` if it was never accepted. A
    /// final state in the view always holds; for other states, and for jobs that the view does not
    /// have or of which it does not know the holder, the store is read if the view is stale.
    async fn current_state(
        &self,
        id: JobId,
        admitted: &Admitted,
    ) -> Result<Option<(JobState, bool)>, StoreError> {
        let now = self.node.now().steady;
        let is_fresh = self.node.view().ages.is_within(keys::ROOT, MAX_STATE_AGE_MS, now);
        if let Some((state, holder)) = self.last_known_state(id)
            && (state.is_final() || is_fresh)
            && let Some(may_access) = admitted.may_access(&holder)
        {
            return Ok(Some((state, may_access)));
        }
        self.read_state(id, admitted).await
    }

    async fn read_state(
        &self,
        id: JobId,
        admitted: &Admitted,
    ) -> Result<Option<(JobState, bool)>, StoreError> {
        let (items, _) = self.node.kv.range(&keys::job_state(id)).await?;
        let found = view::job_state(id, &items);
        // A job whose marker cannot be read is nobody's.
        Ok(found.map(|(state, holder)| (state, admitted.may_access(&holder).unwrap_or(false))))
    }

    async fn cancel(&self, id: JobId, admitted: &Admitted, deadline: Instant) -> Response {
        // A cancel can be written for any accepted job, however old: a final state stays as it is.
        let known = self.last_known_state(id);
        let known = known.and_then(|(state, holder)| Some((state, admitted.may_access(&holder)?)));
        let current = match known {
            Some(known) => Ok(Some(known)),
            None => self.read_state(id, admitted).await,
        };
        match current {
            Ok(Some((_, false))) => return other_account(),
            Ok(Some((state, true))) if state.is_final() => return http::text(StatusCode::OK, ""),
            Ok(Some((_, true))) => {}
            Ok(None) => {
                // Another node may be writing the job, or its caller may submit it again.
                let account = admitted.caller.account.clone();
                let outcome = tombstone::write(&self.node, id, account, deadline).await;
                log::info!("job {id}: cancelled before it was accepted: {outcome:?}");
                match outcome {
                    tombstone::Outcome::Written => {
                        return http::text(StatusCode::GONE, "there is no such job\n");
                    }
                    tombstone::Outcome::Accepted(holder)
                        if admitted.may_access(&holder) == Some(true) => {}
                    tombstone::Outcome::Accepted(_) => return other_account(),
                    tombstone::Outcome::NotWritten => {
                        return unavailable("the write was not done");
                    }
                    tombstone::Outcome::Unknown => return unknown_outcome(),
                }
            }
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

impl Admitted {
    /// Whether the request may see and cancel a job of this holder; `None` if that is not known.
    fn may_access(&self, holder: &Holder) -> Option<bool> {
        match self.config.accounts {
            Some(_) => holder.admits(&self.caller),
            None => Some(true),
        }
    }
}

fn host_of(request: &Request) -> String {
    request.header(header::HOST).unwrap_or_default().to_ascii_lowercase()
}

/// A caller's request in the form that is relayed to another node.
fn relay_call(request: &Request, subject: Subject, admitted: &Admitted, body: Bytes) -> Call {
    Call {
        subject,
        method: request.method().clone(),
        host: request.header(header::HOST).unwrap_or_default().to_owned(),
        path: request.uri().path().to_owned(),
        config: admitted.config.version,
        key: admitted.key,
        body,
        deadline: admitted.deadline,
        may_be_done: false,
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

/// Whether the store could not be reached or gave no answer.
fn is_unavailable(response: &Response) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
}

/// The answer when the request may have been carried out, or may still be.
fn unknown_outcome() -> Response {
    http::text(StatusCode::GATEWAY_TIMEOUT, "the store gave no answer: retry the request\n")
}

/// The same, from a node that ends before the outcome is known.
fn node_ends() -> Response {
    http::text(StatusCode::GATEWAY_TIMEOUT, "the node ends: retry the request\n")
}

/// The answer when the request was not carried out and will not be: the caller may retry.
fn unavailable(reason: &str) -> Response {
    let mut response =
        http::text(StatusCode::SERVICE_UNAVAILABLE, format!("request not accepted: {reason}\n"));
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}

/// The answer to a job that was cancelled before it was accepted: no later attempt succeeds either.
fn cancelled_before() -> Response {
    http::text(StatusCode::SERVICE_UNAVAILABLE, "request not accepted: the job was cancelled\n")
}

/// The answer to a job that is beyond its account's weight and was not accepted.
fn too_many(retry_after: Duration) -> Response {
    let text = "request not accepted: the account has sent more than its weight\n";
    let mut response = http::text(StatusCode::TOO_MANY_REQUESTS, text);
    let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u32;
    response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    response
}

fn no_such_queue() -> Response {
    http::text(StatusCode::NOT_FOUND, "there is no such queue\n")
}

/// The answer to a request without a valid key.
fn unauthorized(reason: &str) -> Response {
    let mut response = http::text(StatusCode::UNAUTHORIZED, format!("{reason}\n"));
    response.headers_mut().insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Key"));
    response
}

/// The answer to a request about a job of another account.
fn other_account() -> Response {
    http::text(StatusCode::FORBIDDEN, "the job belongs to another account\n")
}
