//! The stand-in's workers: they run tasks for as long as their payload says, under a lease.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Counted, LOST_FOR, MAX_BODY, Site};
use crate::http;

/// The pool that all workers are in.
pub(super) const POOL: &str = "work";

/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 100;

/// A payload that begins so fails.
const FAILS: &str = "fail";

/// A run of a task.
#[derive(Debug, Clone)]
struct Run {
    run: u32,
    began: u64,
    /// When it ends by itself, and how.
    ends: u64,
    fails: bool,
    stopping: Option<u64>,
}

/// An end that was not acknowledged yet.
#[derive(Debug, Clone)]
struct Ended {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

/// A worker.
pub(super) struct Worker {
    pub(super) id: String,
    pub(super) host: String,
    pub(super) pool: String,
    address: String,
    work: Duration,
    fence: u64,
    until: u64,
    runs: BTreeMap<String, Run>,
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

impl Worker {
    pub(super) fn new(number: u32, address: &str, work: Duration) -> Worker {
        Worker {
            id: format!("w{number}"),
            host: format!("h{number}"),
            pool: POOL.to_owned(),
            address: address.to_owned(),
            work,
            fence: 0,
            until: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            over: HashMap::new(),
        }
    }

    pub(super) fn report_key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// What the worker writes of itself.
    pub(super) fn report(&self) -> Vec<u8> {
        let report = json!({
            "service": self.pool, "address": self.address, "zone": "hall-a", "version": "v1",
            "slots": 8, "state": "ready", "machine": self.host, "labels": ["a", "r1"],
            "capacity": { "cpu": 8_000, "mem_mb": 16_000, "gpu": 0 },
        });
        report.to_string().into_bytes()
    }

    /// Ends what is over by now; whether there was anything.
    pub(super) fn run(&mut self, now: u64, counted: &mut Counted) -> bool {
        let lapsed = self.until <= now;
        let how = |run: &Run| match () {
            () if lapsed => Some("lapsed"),
            () if run.stopping.is_some_and(|at| at <= now) => Some("stopped"),
            () if run.ends <= now => Some(if run.fails { "failed" } else { "done" }),
            () => None,
        };
        let over: Vec<(String, u32, &'static str)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.run, how(run)?)))
            .collect();
        for (task, run, how) in &over {
            counted.done += u32::from(*how == "done");
            self.runs.remove(task);
            self.over.insert(task.clone(), *run);
            let number = self.next;
            self.next += 1;
            self.ended.push(Ended { number, task: task.clone(), run: *run, how });
        }
        !over.is_empty()
    }

    fn refuse(&self, now: u64, reason: &str) -> Response {
        http::json(StatusCode::CONFLICT, &json!({ "clock_ms": now, "reason": reason }))
    }

    fn start(&mut self, order: &Order, now: u64) -> Result<bool, &'static str> {
        if order.until_ms.is_none_or(|until| until <= now) {
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
        let run = Run {
            run: order.run,
            began: now,
            ends: now + work,
            fails: order.spec.starts_with(FAILS),
            stopping: None,
        };
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
        let look = json!({ "clock_ms": now, "running": running, "finished": finished });
        http::json(StatusCode::OK, &look)
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
        if meant.is_some_and(|meant| meant != self.site.state().workers[self.number].id) {
            return Ok(http::text(StatusCode::MISDIRECTED_REQUEST, "another life\n"));
        }
        Ok(self.obey(&path, &order).await)
    }
}

impl Face {
    async fn obey(&self, path: &str, order: &Order) -> Response {
        let heard = self.site.state().hears(self.number, order.fencing_token);
        if !heard {
            sleep(LOST_FOR).await;
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "not heard\n");
        }
        let now = self.site.state().now_ms();
        {
            let mut state = self.site.state();
            let worker = &mut state.workers[self.number];
            if order.fencing_token < worker.fence {
                return worker.refuse(now, "fence");
            }
            worker.fence = order.fencing_token;
        }
        match path {
            "/-/run-start" => self.start(order, now),
            "/-/run-stop" => {
                self.site.state().workers[self.number].stop(order, now);
                http::json(StatusCode::OK, &json!({ "clock_ms": now }))
            }
            "/-/pace" => http::json(StatusCode::OK, &json!({ "clock_ms": now })),
            "/-/hold" => self.look(order).await,
            _ => http::text(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn start(&self, order: &Order, now: u64) -> Response {
        let mut state = self.site.state();
        let others = state.workers.iter().enumerate().filter(|(n, _)| *n != self.number);
        let elsewhere = others.filter(|(_, w)| w.runs.contains_key(&order.task)).count();
        let worker = &mut state.workers[self.number];
        match worker.start(order, now) {
            Ok(begun) => {
                state.counted.starts += u32::from(begun);
                state.counted.twice += u32::from(begun && elsewhere != 0);
                http::json(StatusCode::OK, &json!({ "clock_ms": now }))
            }
            Err(reason) => worker.refuse(now, reason),
        }
    }

    async fn look(&self, order: &Order) -> Response {
        let until = Instant::now() + Duration::from_millis(order.wait_ms);
        let mut changed = self.site.changed.subscribe();
        {
            let mut state = self.site.state();
            let worker = &mut state.workers[self.number];
            worker.until = worker.until.max(order.until_ms.unwrap_or(0));
            worker.ended.retain(|end| order.last_seen < end.number);
        }
        loop {
            {
                let state = self.site.state();
                let worker = &state.workers[self.number];
                if !worker.ended.is_empty() || until <= Instant::now() {
                    return worker.look(state.now_ms());
                }
            }
            // Whether something changed or the time is over, it is looked again.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }
}
