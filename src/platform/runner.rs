//! Orders to workers, and looks at what they run.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    model::{
        id::Born,
        job::TaskId,
        order::{Addressee, Start},
        worker::{Ended, HowEnded, Look, OrderEnd, Present, Refusal},
    },
    platform::{
        connections::{ManyConnections, Whole},
        lines::{Lines, MOST_CALLS},
        store::chain,
    },
};

/// How long a connection to a worker may take to open: two crossings between zones take 4 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// How long an order may stay unanswered. Workers answer within milliseconds, and a node that has
/// used up its processor time stands still for a tenth of a second at the most. Whatever was sent
/// begins nowhere else before it is known what became of it, so that a job waits for this.
pub(crate) const ORDER_LIMIT: Duration = Duration::from_millis(300);

/// How much longer than its own wait a look may take, for the same reasons.
pub(crate) const LOOK_SLACK: Duration = Duration::from_millis(300);

/// A header that names the worker that is meant. It does not tell its incarnations apart.
const LIFE_HEADER: &str = "Expect-Instance";

#[derive(Serialize)]
struct WireStart<'a> {
    task: String,
    run: u32,
    /// What the caller handed in for the task.
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
struct WirePace {
    task: String,
    run: u32,
    percent: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct WireLook {
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
    running: Vec<WirePresent>,
    #[serde(default)]
    finished: Vec<WireEnded>,
}

/// A run that is present: task, run, checkpoint, percent, and the rough gauge.
#[derive(Deserialize)]
#[serde(untagged)]
enum WirePresent {
    Gauged(String, u32, String, f64, f64),
    Plain(String, u32, String, f64),
}

/// A run that has ended: number, task, run, how, checkpoint.
#[derive(Deserialize)]
struct WireEnded(u64, String, u32, String, String);

/// A client of all workers.
#[derive(Clone)]
pub(crate) struct Runners {
    connections: ManyConnections,
    lines: Lines,
    /// How long an order may stay unanswered.
    limit: Duration,
}

impl Runners {
    /// A client with connections of its own.
    pub(crate) fn new() -> Runners {
        Runners::with_limit(ORDER_LIMIT)
    }

    /// A client whose orders may stay unanswered for so long.
    pub(crate) fn with_limit(limit: Duration) -> Runners {
        let connections = ManyConnections::new(move || {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_LIMIT.max(limit))
                .pool_max_idle_per_host(MOST_CALLS)
        });
        Runners { connections, lines: Lines::default(), limit }
    }

    /// Starts a run. Done also if the run exists already.
    pub(crate) async fn start(&self, to: &Addressee, start: &Start) -> OrderEnd<u64> {
        let body = WireStart {
            task: start.task.to_string(),
            run: start.run,
            spec: &start.payload,
            until_ms: start.until_ms,
            fencing_token: to.token,
            checkpoint: &start.checkpoint,
            ticket: &start.ticket,
        };
        clock(self.order(to, "run-start", &body, self.limit).await)
    }

    /// Stops a run. If it is not there yet, it will be refused when it comes.
    pub(crate) async fn stop(&self, to: &Addressee, task: TaskId, run: u32) -> OrderEnd<u64> {
        let body = WireStop { task: task.to_string(), run, fencing_token: to.token };
        clock(self.order(to, "run-stop", &body, self.limit).await)
    }

    /// Lets a run work at a share of its pace, in percent.
    pub(crate) async fn pace(
        &self,
        to: &Addressee,
        task: TaskId,
        run: u32,
        percent: u32,
    ) -> OrderEnd<u64> {
        let body = WirePace { task: task.to_string(), run, percent, fencing_token: to.token };
        clock(self.order(to, "pace", &body, self.limit).await)
    }

    /// Acknowledges ends up to a number, lets everything run on until a time on the worker's
    /// clock, and returns what is there; waits for an end for at most `wait`.
    pub(crate) async fn look(
        &self,
        to: &Addressee,
        acknowledged: u64,
        until_ms: Option<u64>,
        wait: Duration,
    ) -> OrderEnd<Look> {
        let body = WireLook {
            until_ms,
            fencing_token: to.token,
            last_seen: acknowledged,
            wait_ms: wait.as_millis() as u64,
        };
        match self.order(to, "hold", &body, wait + LOOK_SLACK).await {
            OrderEnd::Done(answer) => look(to, answer),
            OrderEnd::Refused { why, clock_ms } => OrderEnd::Refused { why, clock_ms },
            OrderEnd::Unknown => OrderEnd::Unknown,
            OrderEnd::Unsent => OrderEnd::Unsent,
        }
    }

    async fn order(
        &self,
        to: &Addressee,
        call: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> OrderEnd<WireAnswer> {
        let line = self.lines.to(&to.address);
        // Nothing was sent: the owner may decide anew.
        let Ok(Ok(_turn)) = timeout(self.limit, line.acquire()).await else {
            log::debug!("worker {}: {call}: too many calls there", to.worker);
            return OrderEnd::Unsent;
        };
        let url = format!("http://{}/-/{call}", to.address);
        let request = |client: &Client| {
            let request = client.post(url).header(LIFE_HEADER, to.worker.worker.as_str());
            request.json(body).timeout(limit)
        };
        match self.connections.call(&to.address, request).await {
            Ok(Whole { status, body, .. }) => read_answer(to, call, status, &body),
            Err(error) => {
                log::debug!("worker {}: {call}: {}", to.worker, chain(&error));
                OrderEnd::Unknown
            }
        }
    }
}

fn read_answer(
    to: &Addressee,
    call: &str,
    status: StatusCode,
    body: &[u8],
) -> OrderEnd<WireAnswer> {
    let parsed: Result<WireAnswer, serde_json::Error> = serde_json::from_slice(body);
    if status == StatusCode::OK {
        return match parsed {
            Ok(answer) => OrderEnd::Done(answer),
            Err(error) => {
                log::warn!("worker {}: {call}: answer not understood: {error}", to.worker);
                OrderEnd::Unknown
            }
        };
    }
    // Refusals need no body; a clock that is missing is only not learnt.
    let parsed = parsed.ok();
    let clock_ms = parsed.as_ref().and_then(|answer| answer.clock_ms);
    let reason = parsed.map(|answer| answer.reason).unwrap_or_default();
    match refusal(status, &reason) {
        Some(why) => OrderEnd::Refused { why, clock_ms },
        None => {
            log::warn!("worker {}: {call}: status {status} {reason}", to.worker);
            OrderEnd::Unknown
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

fn clock(end: OrderEnd<WireAnswer>) -> OrderEnd<u64> {
    match end {
        OrderEnd::Done(WireAnswer { clock_ms: Some(clock_ms), .. }) => OrderEnd::Done(clock_ms),
        // Carried out, but the answer tells no time: the next look does.
        OrderEnd::Done(_) => OrderEnd::Done(0),
        OrderEnd::Refused { why, clock_ms } => OrderEnd::Refused { why, clock_ms },
        OrderEnd::Unknown => OrderEnd::Unknown,
        OrderEnd::Unsent => OrderEnd::Unsent,
    }
}

fn look(to: &Addressee, answer: WireAnswer) -> OrderEnd<Look> {
    let Some(clock_ms) = answer.clock_ms else {
        log::warn!("worker {}: hold: the answer tells no time", to.worker);
        return OrderEnd::Unknown;
    };
    let present = answer.running.into_iter().map(present).collect::<Option<Vec<Present>>>();
    let ended = answer.finished.into_iter().map(ended).collect::<Option<Vec<Ended>>>();
    match (present, ended) {
        (Some(present), Some(ended)) => {
            OrderEnd::Done(Look { born: answer.born.map(Born), clock_ms, present, ended })
        }
        _ => {
            log::warn!("worker {}: hold: a run is not understood", to.worker);
            OrderEnd::Unknown
        }
    }
}

fn present(wire: WirePresent) -> Option<Present> {
    let (task, run, saved, percent, gauge) = match wire {
        WirePresent::Gauged(task, run, saved, percent, gauge) => (task, run, saved, percent, gauge),
        WirePresent::Plain(task, run, saved, percent) => (task, run, saved, percent, 0.0),
    };
    let (percent, gauge) = (percent as u32, gauge as u64);
    Some(Present { task: task.parse().ok()?, run, saved, percent, gauge })
}

fn ended(wire: WireEnded) -> Option<Ended> {
    let WireEnded(number, task, run, how, saved) = wire;
    let how = match how.as_str() {
        "done" => HowEnded::Done,
        "failed" => HowEnded::Failed,
        "stopped" => HowEnded::Stopped,
        "lapsed" => HowEnded::Lapsed,
        "broken" => HowEnded::Broken,
        "alone" => HowEnded::Alone,
        _ => return None,
    };
    Some(Ended { number, task: task.parse().ok()?, run, how, saved })
}
