//! The stand-in's workers: they run tasks for as long as their payload says, under a lease.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    Counted, LOST_FOR, MAX_BODY, Site,
    life::{Clock, Phase},
    log::{Kind, Log},
    trouble::Trouble,
};
use crate::http;

/// The pool that all workers are in; with several, the first one.
const POOL: &str = "work";

/// How long a run takes at a worker where every run fails, in milliseconds.
const FAILS_AFTER_MS: u64 = 100;

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 100;

/// A payload that begins so fails.
const FAILS: &str = "fail";

/// A payload that begins so crashes the worker that starts it.
const CRASHES: &str = "crash";

/// How long after its start such a run crashes its worker, and for how long that is away, in
/// milliseconds.
const CRASHES_AFTER_MS: u64 = 10;
const CRASHED_MS: u64 = 2_500;

/// A run of a task.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) run: u32,
    /// The fencing token of its start.
    pub(super) token: u64,
    began: u64,
    /// When it ends by itself, and how.
    ends: u64,
    fails: bool,
    crashes: bool,
    stopping: Option<u64>,
}

/// An end that was not acknowledged yet.
#[derive(Debug, Clone)]
struct Ended {
    number: u64,
    task: String,
    run: u32,
    how: Kind,
}

/// A worker.
pub(super) struct Worker {
    pub(super) id: String,
    pub(super) host: String,
    pub(super) pool: String,
    pub(super) number: u32,
    /// How many lives ended.
    pub(super) life: u32,
    /// Whether the next life has the identifier of this one.
    pub(super) keeps_id: bool,
    /// The Unix millisecond at which its life began, if it tells that.
    pub(super) born: Option<u64>,
    pub(super) phase: Phase,
    pub(super) trouble: Trouble,
    /// Reports of earlier lives, and when they go.
    pub(super) stale_reports: Vec<(String, u64)>,
    /// The highest fencing token of a call that changes the host.
    pub(super) host_fence: u64,
    address: String,
    work: Duration,
    pub(super) clock: Clock,
    orders: u64,
    fence: u64,
    /// The end of the lease, by the worker's clock.
    until: u64,
    expired: bool,
    pub(super) runs: BTreeMap<String, Run>,
    ended: Vec<Ended>,
    next: u64,
    /// The highest run of each task that was stopped or ended here.
    over: HashMap<String, u32>,
}

#[derive(Deserialize)]
struct Order {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u32,
    #[serde(default)]
    spec: String,
    until_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// The name of a pool by its number.
pub(super) fn pool(number: u32) -> String {
    match number {
        0 => POOL.to_owned(),
        _ => format!("{POOL}-{number}"),
    }
}

impl Worker {
    /// A worker in its first life, which began at a Unix millisecond if it is to tell that. Of
    /// those that do, every other one keeps its identifier for all its lives.
    pub(super) fn new(
        number: u32,
        pool: String,
        address: &str,
        work: Duration,
        born: Option<u64>,
    ) -> Worker {
        Worker {
            id: format!("w{number}"),
            host: format!("h{number}"),
            pool,
            number,
            life: 0,
            keeps_id: born.is_some() && number.is_multiple_of(2),
            born,
            phase: Phase::Up,
            trouble: Trouble::default(),
            stale_reports: Vec::new(),
            host_fence: 0,
            address: address.to_owned(),
            work,
            clock: Clock::new(number),
            orders: 0,
            fence: 0,
            until: 0,
            expired: true,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            over: HashMap::new(),
        }
    }

    /// Begins anew, as a process that has just started.
    pub(super) fn forget(&mut self) {
        (self.fence, self.until, self.expired, self.next) = (0, 0, true, 1);
        self.ended.clear();
        self.over.clear();
    }

    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    pub(super) fn report_key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// What the worker writes of itself.
    pub(super) fn report(&self) -> Vec<u8> {
        let mut report = json!({
            "service": self.pool, "address": self.address, "zone": "hall-a", "version": "v1",
            "slots": 8, "state": "ready", "machine": self.host, "labels": ["a", "r1"],
            "capacity": { "cpu": 8_000, "mem_mb": 16_000, "gpu": 0 },
        });
        self.tell_born(&mut report);
        report.to_string().into_bytes()
    }

    /// Ends what is over by now; whether there was anything.
    pub(super) fn run(&mut self, now: u64, counted: &mut Counted, log: &mut Log) -> bool {
        let crashes = |run: &Run| run.crashes && run.began + CRASHES_AFTER_MS <= now;
        if self.runs.values().any(crashes) {
            self.end_life("down", now, CRASHED_MS, log);
            return true;
        }
        let lapsed = self.until <= self.clock.at(now);
        let how = |run: &Run| match () {
            () if lapsed => Some(Kind::Lapsed),
            () if run.stopping.is_some_and(|at| at <= now) => Some(Kind::Stopped),
            () if run.ends <= now => Some(if run.fails { Kind::Failed } else { Kind::Done }),
            () => None,
        };
        let over: Vec<(String, Run, Kind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.clone(), how(run)?)))
            .collect();
        for (task, run, how) in &over {
            counted.done += u32::from(*how == Kind::Done);
            log.note(now, (&self.id, run.token), *how, (task, run.run));
            self.runs.remove(task);
            self.over.insert(task.clone(), run.run);
            let number = self.next;
            self.next += 1;
            self.ended.push(Ended { number, task: task.clone(), run: run.run, how: *how });
        }
        if lapsed && !self.expired {
            log.note(now, (&self.id, self.fence), Kind::Expired, ("", 0));
        }
        self.expired = lapsed;
        !over.is_empty()
    }

    fn tell_born(&self, of: &mut Value) {
        if let Some(born) = self.born {
            of["born"] = json!(born);
        }
    }

    fn refuse(&self, now: u64, reason: &str) -> Response {
        let clock = self.clock.at(now);
        http::json(StatusCode::CONFLICT, &json!({ "clock_ms": clock, "reason": reason }))
    }

    fn start(&mut self, order: &Order, now: u64, log: &mut Log) -> Result<bool, &'static str> {
        if order.until_ms.is_none_or(|until| until <= self.clock.at(now)) {
            return Err("late");
        }
        self.until = self.until.max(order.until_ms.unwrap_or(0));
        if self.runs.get(&order.task).is_some_and(|run| run.run == order.run) {
            return Ok(false);
        }
        let over = self.over.get(&order.task).is_some_and(|over| order.run <= *over);
        if over || self.runs.contains_key(&order.task) {
            return Err("old");
        }
        let work = order.spec.trim_start_matches(FAILS).trim();
        let work = work.parse().unwrap_or(self.work.as_millis() as u64);
        let work = if self.trouble.fails { FAILS_AFTER_MS } else { work };
        let run = Run {
            run: order.run,
            token: order.fencing_token,
            began: now,
            ends: now + work,
            fails: order.spec.starts_with(FAILS) || self.trouble.fails,
            crashes: order.spec.starts_with(CRASHES),
            stopping: None,
        };
        log.note(now, (&self.id, order.fencing_token), Kind::Started, (&order.task, order.run));
        self.runs.insert(order.task.clone(), run);
        Ok(true)
    }

    fn stop(&mut self, order: &Order, now: u64) {
        match self.runs.get_mut(&order.task).filter(|run| run.run <= order.run) {
            Some(run) => {
                run.stopping.get_or_insert(now + STOP_MS);
            }
            None => {
                let over = self.over.entry(order.task.clone()).or_default();
                *over = (*over).max(order.run);
            }
        }
    }

    fn look(&self, now: u64) -> Response {
        let percent = |run: &Run| {
            let whole = run.ends.saturating_sub(run.began).max(1);
            (now.saturating_sub(run.began) * 100 / whole).min(100)
        };
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.run, "", percent(run), 0]))
            .collect();
        let finished: Vec<Value> = self
            .ended
            .iter()
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        let clock = self.clock.at(now);
        let mut look = json!({ "clock_ms": clock, "running": running, "finished": finished });
        self.tell_born(&mut look);
        http::json(StatusCode::OK, &look)
    }

    /// Renews the lease, and forgets the ends that the caller has taken note of.
    fn hold(&mut self, order: &Order, now: u64, log: &mut Log) {
        self.until = self.until.max(order.until_ms.unwrap_or(0));
        for end in self.ended.extract_if(.., |end| end.number <= order.last_seen) {
            let by = (self.id.as_str(), order.fencing_token);
            log.note(now, by, Kind::Acknowledged, (&end.task, end.run));
        }
    }
}

/// A worker's address.
pub(super) struct Face {
    pub(super) site: Site,
    pub(super) number: usize,
}

impl Endpoint for Face {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let meant = request.header("Expect-Instance").map(str::to_owned);
        let order = match http::read_json::<Order>(&mut request, MAX_BODY).await {
            Ok(order) => order,
            Err(error) => return Ok(http::text(StatusCode::BAD_REQUEST, format!("{error}\n"))),
        };
        let token = order.fencing_token;
        let (lost, delay) = self.note_order(&order);
        if lost {
            sleep(LOST_FOR).await;
            return Ok(http::text(StatusCode::GATEWAY_TIMEOUT, ""));
        }
        // In a task of its own: what has arrived is carried out, also if the caller hangs up.
        let face = Face { site: self.site.clone(), number: self.number };
        let obeyed = tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            face.receive(&path, meant, &order).await
        });
        let answer = obeyed.await.map_err(poem::error::InternalServerError)?;
        if self.loses_answer(token) {
            sleep(LOST_FOR).await;
        }
        Ok(answer)
    }
}

impl Face {
    /// Whether an order does not arrive, and otherwise how late.
    fn note_order(&self, order: &Order) -> (bool, Duration) {
        let mut state = self.site.state();
        let heard = state.hears(self.number, order.fencing_token);
        let worker = &mut state.workers[self.number];
        worker.orders += 1;
        let lost = !heard || !worker.is_up() || worker.trouble.loses(order.fencing_token);
        (lost, Duration::from_millis(worker.trouble.delay_ms(worker.orders)))
    }

    /// Whether an answer does not arrive by now.
    fn loses_answer(&self, token: u64) -> bool {
        let trouble = self.site.state().workers[self.number].trouble;
        trouble.is_mute() || trouble.loses(token)
    }

    async fn receive(&self, path: &str, meant: Option<String>, order: &Order) -> Response {
        {
            let mut state = self.site.state();
            let now = state.now_ms();
            let worker = &mut state.workers[self.number];
            if !worker.is_up() || meant.is_some_and(|meant| meant != worker.id) {
                return http::text(StatusCode::MISDIRECTED_REQUEST, "another life\n");
            }
            if order.fencing_token < worker.fence {
                return worker.refuse(now, "fence");
            }
            worker.fence = order.fencing_token;
        }
        match path {
            "/-/run-start" => self.start(order),
            "/-/run-stop" => {
                let mut state = self.site.state();
                let now = state.now_ms();
                let worker = &mut state.workers[self.number];
                worker.stop(order, now);
                http::json(StatusCode::OK, &json!({ "clock_ms": worker.clock.at(now) }))
            }
            "/-/pace" => {
                let state = self.site.state();
                let clock = state.workers[self.number].clock.at(state.now_ms());
                http::json(StatusCode::OK, &json!({ "clock_ms": clock }))
            }
            "/-/hold" => self.look(order).await,
            _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn start(&self, order: &Order) -> Response {
        let mut state = self.site.state();
        let now = state.now_ms();
        let state = &mut *state;
        let others = state.workers.iter().enumerate().filter(|(n, _)| *n != self.number);
        let elsewhere = others.filter(|(_, w)| w.runs.contains_key(&order.task)).count();
        let worker = &mut state.workers[self.number];
        match worker.start(order, now, &mut state.log) {
            Ok(begun) => {
                state.counted.starts += u32::from(begun);
                state.counted.twice += u32::from(begun && elsewhere != 0);
                http::json(StatusCode::OK, &json!({ "clock_ms": worker.clock.at(now) }))
            }
            Err(reason) => worker.refuse(now, reason),
        }
    }

    async fn look(&self, order: &Order) -> Response {
        let until = Instant::now() + Duration::from_millis(order.wait_ms);
        let mut changed = self.site.changed.subscribe();
        let life = {
            let mut state = self.site.state();
            let now = state.now_ms();
            let state = &mut *state;
            let worker = &mut state.workers[self.number];
            worker.hold(order, now, &mut state.log);
            worker.life
        };
        loop {
            {
                let state = self.site.state();
                let worker = &state.workers[self.number];
                if worker.life != life && worker.keeps_id {
                    return http::text(StatusCode::GATEWAY_TIMEOUT, "");
                }
                if worker.life != life {
                    return http::text(StatusCode::MISDIRECTED_REQUEST, "another life\n");
                }
                if !worker.ended.is_empty() || until <= Instant::now() {
                    return worker.look(state.now_ms());
                }
            }
            // Whether something changed or the time is over, it is looked again.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }
}
