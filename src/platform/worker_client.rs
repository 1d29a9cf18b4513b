//! Orders to workers, and polls of the runs that they have.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    model::{
        id::StartTime,
        job::TaskId,
        order::{Addressee, Start},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, Refusal, RunOutcome},
    },
    platform::{
        call_limits::{CallLimits, MAX_CALLS_PER_WORKER},
        connections::{ConnectionsByAddress, FullResponse},
        store::chain,
    },
    time_limit,
};

/// Timeout of opening a connection to a worker: two crossings between zones take 4 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of an order. Workers answer within milliseconds, and a node that has used up its
/// processor time is paused for at most 100 ms. A run is not started elsewhere until the result of
/// its order is known, so its job may wait for this timeout.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a poll beyond its own wait, for the same reasons.
pub(crate) const POLL_ALLOWANCE: Duration = Duration::from_millis(300);

/// Header with the identifier of the addressed worker. It does not distinguish incarnations.
const INSTANCE_HEADER: &str = "Expect-Instance";

#[derive(Serialize)]
struct WireStart<'a> {
    task: String,
    run: u32,
    /// The payload that the caller submitted.
    spec: &'a str,
    until_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    ticket: &'a str,
}

#[derive(Serialize)]
struct WireStop {
    task: String,
    run: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct WireThrottle {
    task: String,
    run: u32,
    percent: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct WirePoll {
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct WireAnswer {
    clock_ms: Option<u64>,
    born: Option<u64>,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    running: Vec<WirePresentRun>,
    #[serde(default)]
    finished: Vec<WireEndedRun>,
}

/// A present run: task, run, checkpoint, percent, and optionally a rough gauge.
#[derive(Deserialize)]
#[serde(untagged)]
enum WirePresentRun {
    Gauged(String, u32, String, f64, f64),
    Plain(String, u32, String, f64),
}

/// An ended run: number, task, run, outcome, checkpoint.
#[derive(Deserialize)]
struct WireEndedRun(u64, String, u32, String, String);

/// A client of all workers.
#[derive(Clone)]
pub(crate) struct WorkerClient {
    connections: ConnectionsByAddress,
    call_limits: CallLimits,
    /// Timeout of an order.
    timeout: Duration,
}

/// The name of the call that starts a run.
pub(crate) const START_CALL: &str = "run-start";

impl WorkerClient {
    /// Creates a client with its own connections.
    pub(crate) fn new() -> WorkerClient {
        WorkerClient::with_timeout(ORDER_TIMEOUT)
    }

    /// Creates a client with the given order timeout.
    pub(crate) fn with_timeout(timeout: Duration) -> WorkerClient {
        let connections = ConnectionsByAddress::new(move || {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_TIMEOUT.max(timeout))
                .pool_max_idle_per_host(MAX_CALLS_PER_WORKER)
        });
        WorkerClient { connections, call_limits: CallLimits::default(), timeout }
    }

    /// Starts a run. Also succeeds if the run already exists.
    pub(crate) async fn start(&self, to: &Addressee, start: &Start) -> OrderResult<u64> {
        let body = WireStart {
            task: start.task.to_string(),
            run: start.run,
            spec: &start.payload,
            until_ms: start.until_ms,
            fencing_token: to.token,
            checkpoint: &start.checkpoint,
            ticket: &start.ticket,
        };
        clock_result(self.order(to, START_CALL, &body, self.timeout).await)
    }

    /// Stops a run. If the order that starts it arrives later, the worker refuses that order.
    pub(crate) async fn stop(&self, to: &Addressee, task: TaskId, run: u32) -> OrderResult<u64> {
        let body = WireStop { task: task.to_string(), run, fencing_token: to.token };
        clock_result(self.order(to, "run-stop", &body, self.timeout).await)
    }

    /// Throttles a run to a percentage of its speed.
    pub(crate) async fn throttle(
        &self,
        to: &Addressee,
        task: TaskId,
        run: u32,
        percent: u32,
    ) -> OrderResult<u64> {
        let body = WireThrottle { task: task.to_string(), run, percent, fencing_token: to.token };
        clock_result(self.order(to, "pace", &body, self.timeout).await)
    }

    /// Acknowledges ended runs up to a number, extends the worker's lease until a time on its
    /// clock, and returns its present and ended runs. Waits for at most `wait` until a run ends.
    pub(crate) async fn poll(
        &self,
        to: &Addressee,
        acknowledged: u64,
        until_ms: Option<u64>,
        wait: Duration,
    ) -> OrderResult<PollResponse> {
        let body = WirePoll {
            until_ms,
            fencing_token: to.token,
            last_seen: acknowledged,
            wait_ms: wait.as_millis() as u64,
        };
        match self.order(to, "hold", &body, wait + POLL_ALLOWANCE).await {
            OrderResult::Done(answer) => poll_result(to, answer),
            OrderResult::Refused { why, clock_ms } => OrderResult::Refused { why, clock_ms },
            OrderResult::Unknown => OrderResult::Unknown,
            OrderResult::Unsent => OrderResult::Unsent,
        }
    }

    async fn order(
        &self,
        to: &Addressee,
        call: &str,
        body: &impl Serialize,
        call_timeout: Duration,
    ) -> OrderResult<WireAnswer> {
        let semaphore = self.call_limits.semaphore_for(&to.address);
        // Nothing was sent, so the owner is free to decide again.
        let Some(Ok(_permit)) = time_limit::within(self.timeout, semaphore.acquire()).await else {
            log::debug!("worker {}: {call}: not sent: too many calls in flight", to.worker);
            return OrderResult::Unsent;
        };
        let url = format!("http://{}/-/{call}", to.address);
        let request = |client: &Client| {
            let request = client.post(url).header(INSTANCE_HEADER, to.worker.worker.as_str());
            request.json(body).timeout(call_timeout)
        };
        match self.connections.call(&to.address, request).await {
            Ok(FullResponse { status, body, .. }) => read_answer(to, call, status, &body),
            Err(error) => {
                log::debug!("worker {}: {call}: {}", to.worker, chain(&error));
                OrderResult::Unknown
            }
        }
    }
}

fn read_answer(
    to: &Addressee,
    call: &str,
    status: StatusCode,
    body: &[u8],
) -> OrderResult<WireAnswer> {
    let parsed: Result<WireAnswer, serde_json::Error> = serde_json::from_slice(body);
    if status == StatusCode::OK {
        return match parsed {
            Ok(answer) => OrderResult::Done(answer),
            Err(error) => {
                log::warn!("worker {}: {call}: invalid answer: {error}", to.worker);
                OrderResult::Unknown
            }
        };
    }
    // A refusal needs no body; without one, the worker's clock is not updated.
    let parsed = parsed.ok();
    let clock_ms = parsed.as_ref().and_then(|answer| answer.clock_ms);
    let reason = parsed.map(|answer| answer.reason).unwrap_or_default();
    match refusal(status, &reason) {
        Some(why) => OrderResult::Refused { why, clock_ms },
        None => {
            log::warn!("worker {}: {call}: status {status} {reason}", to.worker);
            OrderResult::Unknown
        }
    }
}

fn refusal(status: StatusCode, reason: &str) -> Option<Refusal> {
    Some(match (status, reason) {
        (StatusCode::CONFLICT, "fence") => Refusal::Fenced,
        (StatusCode::CONFLICT, "old") => Refusal::Old,
        (StatusCode::CONFLICT, "late") => Refusal::Late,
        (StatusCode::CONFLICT, "room") => Refusal::Room,
        (StatusCode::CONFLICT, "ticket") => Refusal::Ticket,
        (StatusCode::MISDIRECTED_REQUEST, _) => Refusal::OtherLife,
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => Refusal::Unwell,
        (StatusCode::BAD_REQUEST | StatusCode::CONFLICT, _) => Refusal::Invalid,
        _ => return None,
    })
}

fn clock_result(end: OrderResult<WireAnswer>) -> OrderResult<u64> {
    match end {
        OrderResult::Done(WireAnswer { clock_ms: Some(clock_ms), .. }) => {
            OrderResult::Done(clock_ms)
        }
        // Carried out, but the answer lacks the clock: the next poll returns it.
        OrderResult::Done(_) => OrderResult::Done(0),
        OrderResult::Refused { why, clock_ms } => OrderResult::Refused { why, clock_ms },
        OrderResult::Unknown => OrderResult::Unknown,
        OrderResult::Unsent => OrderResult::Unsent,
    }
}

fn poll_result(to: &Addressee, answer: WireAnswer) -> OrderResult<PollResponse> {
    let Some(clock_ms) = answer.clock_ms else {
        log::warn!("worker {}: hold: the answer has no clock", to.worker);
        return OrderResult::Unknown;
    };
    let present = answer.running.into_iter().map(present).collect::<Option<Vec<PresentRun>>>();
    let ended = answer.finished.into_iter().map(ended).collect::<Option<Vec<EndedRun>>>();
    match (present, ended) {
        (Some(present), Some(ended)) => OrderResult::Done(PollResponse {
            born: answer.born.map(StartTime),
            clock_ms,
            present,
            ended,
        }),
        _ => {
            log::warn!("worker {}: hold: the answer has an invalid run", to.worker);
            OrderResult::Unknown
        }
    }
}

fn present(wire: WirePresentRun) -> Option<PresentRun> {
    let (task, run, checkpoint, percent, gauge) = match wire {
        WirePresentRun::Gauged(task, run, checkpoint, percent, gauge) => {
            (task, run, checkpoint, percent, gauge)
        }
        WirePresentRun::Plain(task, run, checkpoint, percent) => {
            (task, run, checkpoint, percent, 0.0)
        }
    };
    let (percent, gauge) = (percent as u32, gauge as u64);
    Some(PresentRun { task: task.parse().ok()?, run, checkpoint, percent, gauge })
}

fn ended(wire: WireEndedRun) -> Option<EndedRun> {
    let WireEndedRun(number, task, run, outcome, checkpoint) = wire;
    let how = match outcome.as_str() {
        "done" => RunOutcome::Done,
        "failed" => RunOutcome::Failed,
        "stopped" => RunOutcome::Stopped,
        "lapsed" => RunOutcome::Lapsed,
        "broken" => RunOutcome::GangBroken,
        "alone" => RunOutcome::GangIncomplete,
        _ => return None,
    };
    Some(EndedRun { number, task: task.parse().ok()?, run, how, checkpoint })
}
