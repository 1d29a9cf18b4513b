//! The stand-in's workers: they run tasks under a lease, for as long as the payload says.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{
    Counted, LOST_ANSWER_DELAY, MAX_BODY_BYTES, Options, Site,
    incarnation::{self, Clock, DOWN, Phase},
    log::{Kind, Log},
    place::{self, Place},
    reach,
    worker_faults::WorkerFaults,
};
use crate::http;

/// Run time at a worker where every run fails, in milliseconds.
const FAILED_RUN_MS: u64 = 100;

/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 100;

/// How many times longer tasks take that start while their worker is cold.
const COLD_FACTOR: u64 = 2;

/// Prefix of the payload of a task that fails.
const FAIL_PREFIX: &str = "fail";

/// Prefix of the payload of a task that crashes the worker that starts it.
const CRASH_PREFIX: &str = "crash";

/// How long after its start such a run crashes its worker, and how long the worker is then down, in
/// milliseconds.
const CRASH_DELAY_MS: u64 = 10;
const CRASH_DOWNTIME_MS: u64 = 2_500;

#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) run: u32,
    /// The fencing token of its start.
    pub(super) token: u64,
    started_at: u64,
    /// When it ends by itself, and how.
    ends_at: u64,
    fails: bool,
    crashes: bool,
    stops_at: Option<u64>,
}

/// The end of a run that is not acknowledged yet.
#[derive(Debug, Clone)]
struct EndedRun {
    number: u64,
    task: String,
    run: u32,
    outcome: Kind,
}

pub(super) struct Worker {
    pub(super) id: String,
    pub(super) host: String,
    pub(super) place: Place,
    pub(super) number: u32,
    /// Number of ended incarnations.
    pub(super) incarnation: u32,
    /// Whether the next incarnation has the identifier of this one.
    pub(super) keeps_id: bool,
    /// Unix time in milliseconds at which its incarnation started, if it reports that.
    pub(super) start_time: Option<u64>,
    pub(super) phase: Phase,
    pub(super) faults: WorkerFaults,
    /// Reports of earlier incarnations, and when they are removed.
    pub(super) stale_reports: Vec<(String, u64)>,
    /// The highest fencing token of the calls that changed the host.
    pub(super) host_token: u64,
    address: SocketAddr,
    work: Duration,
    /// How long the worker is cold after it was down, in milliseconds.
    pub(super) cold_ms: u64,
    /// The stand-in's time up to which the worker is cold.
    pub(super) cold_until: u64,
    pub(super) clock: Clock,
    order_count: u64,
    fencing_token: u64,
    /// The end of the lease, by the worker's clock.
    lease_end: u64,
    expired: bool,
    pub(super) runs: BTreeMap<String, Run>,
    ended: Vec<EndedRun>,
    next_number: u64,
    /// The highest run of each task that was stopped or ended here.
    last_ended: HashMap<String, u32>,
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

impl Worker {
    /// A worker in its first incarnation.
    pub(super) fn new(number: u32, address: SocketAddr, options: &Options) -> Worker {
        let start_time = options.keep_ids.then(incarnation::unix_ms);
        Worker {
            id: format!("w{number}"),
            host: format!("h{number}"),
            place: place::of_worker(number, options),
            number,
            incarnation: 0,
            keeps_id: start_time.is_some() && number.is_multiple_of(2),
            start_time,
            phase: Phase::Up,
            faults: WorkerFaults::default(),
            stale_reports: Vec::new(),
            host_token: 0,
            address,
            work: options.work,
            cold_ms: options.cold.as_millis() as u64,
            cold_until: 0,
            clock: Clock::new(number),
            order_count: 0,
            fencing_token: 0,
            lease_end: 0,
            expired: true,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            last_ended: HashMap::new(),
        }
    }

    /// Resets the state to that of a process that has just started.
    pub(super) fn reset(&mut self) {
        (self.fencing_token, self.lease_end, self.expired, self.next_number) = (0, 0, true, 1);
        self.ended.clear();
        self.last_ended.clear();
    }

    pub(super) fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    pub(super) fn report_key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The worker's report, as it writes it to the store.
    pub(super) fn report(&self, now: u64) -> Vec<u8> {
        let mut report = json!({
            "service": self.place.pool, "address": self.address, "zone": self.place.zone,
            "version": "v1", "slots": 8, "state": "ready", "machine": self.host,
            "labels": ["a", self.place.rack],
            "cold_remaining_ms": self.cold_until.saturating_sub(now),
            "capacity": { "cpu": 8_000, "mem_mb": 16_000, "gpu": 0 },
        });
        self.add_start_time(&mut report);
        report.to_string().into_bytes()
    }

    /// Ends the runs that are due, or crashes the worker; returns whether any run ended.
    pub(super) fn advance(&mut self, now: u64, counted: &mut Counted, log: &mut Log) -> bool {
        let crashes = |run: &Run| run.crashes && run.started_at + CRASH_DELAY_MS <= now;
        if self.runs.values().any(crashes) {
            self.end_incarnation(DOWN, now, CRASH_DOWNTIME_MS, log);
            return true;
        }
        let lapsed = self.lease_end <= self.clock.at(now);
        let outcome = |run: &Run| match () {
            () if lapsed => Some(Kind::Lapsed),
            () if run.stops_at.is_some_and(|at| at <= now) => Some(Kind::Stopped),
            () if run.ends_at <= now => Some(if run.fails { Kind::Failed } else { Kind::Done }),
            () => None,
        };
        let ended: Vec<(String, Run, Kind)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.clone(), outcome(run)?)))
            .collect();
        for (task, run, outcome) in &ended {
            counted.done += u32::from(*outcome == Kind::Done);
            log.record(now, (&self.id, run.token), *outcome, (task, run.run));
            self.runs.remove(task);
            self.last_ended.insert(task.clone(), run.run);
            let number = self.next_number;
            self.next_number += 1;
            self.ended.push(EndedRun {
                number,
                task: task.clone(),
                run: run.run,
                outcome: *outcome,
            });
        }
        if lapsed && !self.expired {
            log.record(now, (&self.id, self.fencing_token), Kind::Expired, ("", 0));
        }
        self.expired = lapsed;
        !ended.is_empty()
    }

    fn add_start_time(&self, target: &mut Value) {
        if let Some(start_time) = self.start_time {
            target["born"] = json!(start_time);
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
        self.lease_end = self.lease_end.max(order.until_ms.unwrap_or(0));
        if self.runs.get(&order.task).is_some_and(|run| run.run == order.run) {
            return Ok(false);
        }
        let is_over = self.last_ended.get(&order.task).is_some_and(|last| order.run <= *last);
        if is_over || self.runs.contains_key(&order.task) {
            return Err("old");
        }
        let work = order.spec.trim_start_matches(FAIL_PREFIX).trim();
        let work = work.parse().unwrap_or(self.work.as_millis() as u64);
        let work = if self.faults.fails { FAILED_RUN_MS } else { work };
        let work = if now < self.cold_until { work * COLD_FACTOR } else { work };
        let run = Run {
            run: order.run,
            token: order.fencing_token,
            started_at: now,
            ends_at: now + work,
            fails: order.spec.starts_with(FAIL_PREFIX) || self.faults.fails,
            crashes: order.spec.starts_with(CRASH_PREFIX),
            stops_at: None,
        };
        log.record(now, (&self.id, order.fencing_token), Kind::Started, (&order.task, order.run));
        self.runs.insert(order.task.clone(), run);
        Ok(true)
    }

    fn stop(&mut self, order: &Order, now: u64) {
        match self.runs.get_mut(&order.task).filter(|run| run.run <= order.run) {
            Some(run) => {
                run.stops_at.get_or_insert(now + STOP_MS);
            }
            None => {
                let last = self.last_ended.entry(order.task.clone()).or_default();
                *last = (*last).max(order.run);
            }
        }
    }

    fn poll_answer(&self, now: u64) -> Response {
        let percent = |run: &Run| {
            let total = run.ends_at.saturating_sub(run.started_at).max(1);
            (now.saturating_sub(run.started_at) * 100 / total).min(100)
        };
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.run, "", percent(run), 0]))
            .collect();
        let finished: Vec<Value> = self
            .ended
            .iter()
            .map(|end| json!([end.number, end.task, end.run, end.outcome, ""]))
            .collect();
        let clock = self.clock.at(now);
        let mut answer = json!({ "clock_ms": clock, "running": running, "finished": finished });
        self.add_start_time(&mut answer);
        http::json(StatusCode::OK, &answer)
    }

    /// Renews the lease, and drops the ends that the owner has acknowledged.
    fn renew(&mut self, order: &Order, now: u64, log: &mut Log) {
        self.lease_end = self.lease_end.max(order.until_ms.unwrap_or(0));
        for end in self.ended.extract_if(.., |end| end.number <= order.last_seen) {
            let by = (self.id.as_str(), order.fencing_token);
            log.record(now, by, Kind::Acknowledged, (&end.task, end.run));
        }
    }
}

/// Serves a worker's address.
pub(super) struct WorkerApi {
    pub(super) site: Site,
    pub(super) number: usize,
}

impl Endpoint for WorkerApi {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let caller = request.remote_addr().as_socket_addr().copied();
        let expected_id = request.header("Expect-Instance").map(str::to_owned);
        let order = match http::read_json::<Order>(&mut request, MAX_BODY_BYTES).await {
            Ok(order) => order,
            Err(error) => return Ok(http::text(StatusCode::BAD_REQUEST, format!("{error}\n"))),
        };
        let token = order.fencing_token;
        let is_cut_off = self.is_cut_off(caller);
        let (lost, delay) =
            if is_cut_off { (true, Duration::ZERO) } else { self.record_order(&order) };
        if lost {
            sleep(LOST_ANSWER_DELAY).await;
            return Ok(http::text(StatusCode::GATEWAY_TIMEOUT, ""));
        }
        // Spawned, so that an order that has arrived is executed even if the caller disconnects.
        let api = WorkerApi { site: self.site.clone(), number: self.number };
        let executed = tokio::spawn(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            api.execute(&path, expected_id, &order).await
        });
        let answer = executed.await.map_err(poem::error::InternalServerError)?;
        if self.loses_answer(token) || self.is_cut_off(caller) {
            sleep(LOST_ANSWER_DELAY).await;
        }
        Ok(answer)
    }
}

impl WorkerApi {
    /// Records an order; returns whether it is lost, and otherwise its delay.
    fn record_order(&self, order: &Order) -> (bool, Duration) {
        let mut state = self.site.state();
        let received = state.receive_order(self.number, order.fencing_token);
        let worker = &mut state.workers[self.number];
        worker.order_count += 1;
        let lost = !received || !worker.is_up() || worker.faults.loses(order.fencing_token);
        (lost, Duration::from_millis(worker.faults.delay_ms(worker.order_count)))
    }

    /// Whether the link between the caller's zone and the worker's is cut.
    fn is_cut_off(&self, caller: Option<SocketAddr>) -> bool {
        let (links, zone, address) = {
            let state = self.site.state();
            let worker = &state.workers[self.number];
            (state.cut_links.clone(), worker.place.zone.clone(), worker.address)
        };
        caller.is_some_and(|caller| reach::is_cut(&links, &zone, (caller, address)))
    }

    /// Whether the answer is lost, given the current faults.
    fn loses_answer(&self, token: u64) -> bool {
        let faults = self.site.state().workers[self.number].faults;
        faults.is_mute() || faults.loses(token)
    }

    async fn execute(&self, path: &str, expected_id: Option<String>, order: &Order) -> Response {
        {
            let mut state = self.site.state();
            let now = state.now_ms();
            let worker = &mut state.workers[self.number];
            if !worker.is_up() || expected_id.is_some_and(|expected_id| expected_id != worker.id) {
                return http::text(StatusCode::MISDIRECTED_REQUEST, "another incarnation\n");
            }
            if order.fencing_token < worker.fencing_token {
                return worker.refuse(now, "fence");
            }
            worker.fencing_token = order.fencing_token;
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
            "/-/hold" => self.poll(order).await,
            _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn start(&self, order: &Order) -> Response {
        let mut state = self.site.state();
        let now = state.now_ms();
        let state = &mut *state;
        let others = state.workers.iter().enumerate().filter(|(n, _)| *n != self.number);
        let running_elsewhere = others.filter(|(_, w)| w.runs.contains_key(&order.task)).count();
        let worker = &mut state.workers[self.number];
        match worker.start(order, now, &mut state.log) {
            Ok(started) => {
                state.counted.starts += u32::from(started);
                state.counted.twice += u32::from(started && running_elsewhere != 0);
                http::json(StatusCode::OK, &json!({ "clock_ms": worker.clock.at(now) }))
            }
            Err(reason) => worker.refuse(now, reason),
        }
    }

    async fn poll(&self, order: &Order) -> Response {
        let until = Instant::now() + Duration::from_millis(order.wait_ms);
        let mut changed = self.site.changed.subscribe();
        let incarnation = {
            let mut state = self.site.state();
            let now = state.now_ms();
            let state = &mut *state;
            let worker = &mut state.workers[self.number];
            worker.renew(order, now, &mut state.log);
            worker.incarnation
        };
        loop {
            {
                let state = self.site.state();
                let worker = &state.workers[self.number];
                if worker.incarnation != incarnation && worker.keeps_id {
                    return http::text(StatusCode::GATEWAY_TIMEOUT, "");
                }
                if worker.incarnation != incarnation {
                    return http::text(StatusCode::MISDIRECTED_REQUEST, "another incarnation\n");
                }
                if !worker.ended.is_empty() || until <= Instant::now() {
                    return worker.poll_answer(state.now_ms());
                }
            }
            // Checked again whether something changed or the wait is over.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }
}
