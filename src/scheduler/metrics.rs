//! A scheduler node's metrics, as Prometheus reads them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64},
    time::Duration,
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{http, jobs::gone::Counts, logging};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCall {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Asked {
    queue: String,
    method: &'static str,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfQueue {
    queue: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ordered {
    order: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CalledBy {
    caller: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Because {
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    queue: String,
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct By {
    by: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Of {
    prefix: &'static str,
}

type Latencies = fn() -> Histogram;

fn latencies() -> Histogram {
    // From half a millisecond to about a minute.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// What the node counts and measures.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    store_calls: Family<StoreCall, Counter>,
    store_seconds: Family<StoreCall, Histogram, Latencies>,
    asked: Family<Asked, Counter>,
    /// Callers' requests by method and status, over all queues.
    totals: Mutex<BTreeMap<(&'static str, u16), u64>>,
    answer_seconds: Family<OfQueue, Histogram, Latencies>,
    orders: Family<Ordered, Counter>,
    order_seconds: Family<Ordered, Histogram, Latencies>,
    orders_under_way: Family<CalledBy, Gauge>,
    orders_again: Counter,
    ended: Family<Ended, Counter>,
    restarts: Family<Because, Counter>,
    strays: Family<Because, Counter>,
    crashes: Counter,
    given_up: Counter,
    started_again: Counter,
    job_seconds: Family<OfQueue, Histogram, Latencies>,
    owned: Gauge,
    config: Gauge,
    refused: Gauge,
    view_seconds: Family<Of, Gauge<f64, AtomicU64>>,
    queue_counts: Family<By, Counter>,
    lines_left_out: Gauge,
}

impl Metrics {
    /// All metrics, at zero.
    pub(crate) fn new() -> Metrics {
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("caperhollow")),
            store_calls: Family::default(),
            store_seconds: Family::new_with_constructor(latencies as Latencies),
            asked: Family::default(),
            totals: Mutex::default(),
            answer_seconds: Family::new_with_constructor(latencies as Latencies),
            orders: Family::default(),
            order_seconds: Family::new_with_constructor(latencies as Latencies),
            orders_under_way: Family::default(),
            orders_again: Counter::default(),
            ended: Family::default(),
            restarts: Family::default(),
            strays: Family::default(),
            crashes: Counter::default(),
            given_up: Counter::default(),
            started_again: Counter::default(),
            job_seconds: Family::new_with_constructor(latencies as Latencies),
            owned: Gauge::default(),
            config: Gauge::default(),
            refused: Gauge::default(),
            view_seconds: Family::default(),
            queue_counts: Family::default(),
            lines_left_out: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let registry = &mut *registry;
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        registry.register(
            "store_seconds",
            "Time of the store's answers",
            self.store_seconds.clone(),
        );
        registry.register("asked", "Callers' requests by final status", self.asked.clone());
        registry.register("answer_seconds", "Time to a final answer", self.answer_seconds.clone());
        registry.register("orders", "Orders to workers", self.orders.clone());
        registry.register("order_seconds", "Time of workers' answers", self.order_seconds.clone());
        registry.register(
            "orders_under_way",
            "Orders to workers without an answer so far, by whether this node or another calls",
            self.orders_under_way.clone(),
        );
        registry.register(
            "orders_again",
            "Looks and stops that were sent again because the one before had no answer",
            self.orders_again.clone(),
        );
        registry.register("jobs_ended", "Jobs that this node saw end", self.ended.clone());
        registry.register(
            "job_seconds",
            "Time from a job's acceptance to its success, by its owner",
            self.job_seconds.clone(),
        );
        registry.register(
            "task_restarts",
            "Tasks started again, by why the run before was held to be over",
            self.restarts.clone(),
        );
        registry.register(
            "stray_runs",
            "Runs that workers listed and that should not be there, by what is wrong with them",
            self.strays.clone(),
        );
        registry.register(
            "task_crashes",
            "Workers lost under a task, counted once for each task that had lately begun there",
            self.crashes.clone(),
        );
        registry.register(
            "tasks_given_up",
            "Tasks given up because workers crash under them; their jobs are shown as failed",
            self.given_up.clone(),
        );
        registry.register(
            "workers_started_again",
            "Workers that have started again under their name, as their owners heard",
            self.started_again.clone(),
        );
        registry.register("owned", "Pieces of work that the node owns", self.owned.clone());
        registry.register("config_version", "The configuration in force", self.config.clone());
        registry.register(
            "records_refused",
            "Records of the store that could not be read, or were not their worker's own",
            self.refused.clone(),
        );
        registry.register(
            "view_age_seconds",
            "How old what the node knows of each prefix of the store is",
            self.view_seconds.clone(),
        );
        registry.register(
            "queue_counts",
            "Answers to how many jobs of a queue wait, by what they were counted by",
            self.queue_counts.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines that were left out because there were too many",
            self.lines_left_out.clone(),
        );
    }

    /// Notes a call of the store.
    pub(crate) fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        let label = StoreCall { call, outcome };
        self.store_calls.get_or_create(&label).inc();
        self.store_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Notes a caller's request.
    pub(crate) fn answered(
        &self,
        queue: &str,
        method: &'static str,
        status: StatusCode,
        took: Duration,
    ) {
        let label = Asked { queue: queue.to_owned(), method, status: status.as_u16() };
        self.asked.get_or_create(&label).inc();
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        *totals.entry((method, status.as_u16())).or_default() += 1;
        drop(totals);
        let label = OfQueue { queue: queue.to_owned() };
        self.answer_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Notes an order to a worker.
    pub(crate) fn ordered(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let label = Ordered { order, outcome };
        self.orders.get_or_create(&label).inc();
        self.order_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Notes that more or fewer orders are on their way.
    pub(crate) fn orders_under_way(&self, caller: &'static str, more: i64) {
        self.orders_under_way.get_or_create(&CalledBy { caller }).inc_by(more);
    }

    /// Notes the end of a job that this node owns.
    pub(crate) fn job_ended(&self, queue: &str, state: &'static str, took: Duration) {
        let label = Ended { queue: queue.to_owned(), state };
        self.ended.get_or_create(&label).inc();
        let label = OfQueue { queue: queue.to_owned() };
        self.job_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Notes what an owner has counted.
    pub(crate) fn counted(&self, counts: &Counts) {
        for (why, count) in &counts.restarts {
            self.restarts.get_or_create(&Because { why }).inc_by(*count);
        }
        self.crashes.inc_by(counts.crashes);
        self.given_up.inc_by(counts.given_up);
        self.started_again.inc_by(counts.started_again);
        self.orders_again.inc_by(counts.again);
        for (why, count) in &counts.strays {
            self.strays.get_or_create(&Because { why }).inc_by(*count);
        }
    }

    /// Notes what the node owns and which configuration is in force.
    pub(crate) fn holds(&self, owned: usize, config: u64) {
        self.owned.set(owned as i64);
        self.config.set(config as i64);
    }

    /// Notes how old what is known of a prefix is.
    pub(crate) fn view_age(&self, prefix: &'static str, age: Duration) {
        self.view_seconds.get_or_create(&Of { prefix }).set(age.as_secs_f64());
    }

    /// Notes by what jobs that wait were counted.
    pub(crate) fn counted_by(&self, by: &'static str) {
        self.queue_counts.get_or_create(&By { by }).inc();
    }

    /// Notes how many records of the store named nothing to use.
    pub(crate) fn refused(&self, records: u64) {
        self.refused.set(records as i64);
    }

    /// Calls of the store so far, for the log.
    pub(crate) fn store_summary(&self) -> String {
        const CALLS: [&str; 6] = ["get", "range", "watch", "commit", "grant", "keep"];
        const OUTCOMES: [&str; 4] = ["done", "refused", "unanswered", "unreached"];
        let mut parts = Vec::new();
        for call in CALLS {
            for outcome in OUTCOMES {
                let count = self.store_calls.get(&StoreCall { call, outcome }).map(|c| c.get());
                if let Some(count) = count {
                    parts.push(format!("{call} {outcome} {count}"));
                }
            }
        }
        parts.join(", ")
    }

    /// Callers' requests so far, for the log.
    pub(crate) fn asked_summary(&self) -> String {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let parts = totals.iter().map(|((method, status), n)| format!("{method} {status} {n}"));
        parts.collect::<Vec<_>>().join(", ")
    }

    /// All metrics as text.
    fn text(&self) -> String {
        self.lines_left_out.set(logging::left_out() as i64);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics: not encoded: {error}");
        }
        text
    }
}

/// Serves the metrics.
pub(crate) struct Page(pub(crate) Arc<Metrics>);

impl Endpoint for Page {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        if request.uri().path() != "/metrics" {
            return Ok(http::text(StatusCode::NOT_FOUND, "see /metrics\n"));
        }
        let response = Response::builder()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(self.0.text());
        Ok(response)
    }
}
