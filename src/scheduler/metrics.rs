//! The Prometheus metrics of a scheduler node.

use std::{
    collections::{BTreeMap, BTreeSet},
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

use crate::{
    http,
    jobs::{
        owner::{PoolLoad, ZoneUse},
        run_end::Counts,
        urgency::ByLateness,
    },
    logging,
    model::{
        account::Weight,
        id::{AccountId, ZoneId},
        zone::Zones,
    },
    scheduler::control_loop::loop_load::LoopSummary,
};

/// Accounts that have time series of their own; the others share one.
const MAX_ACCOUNT_SERIES: usize = 24;

/// The label of the accounts without time series of their own.
const OTHER_ACCOUNTS: &str = "other accounts";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    account: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLoadLabels {
    owner: String,
    account: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OwnerLabels {
    owner: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    queue: String,
    method: &'static str,
    status: u16,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabels {
    queue: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    order: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallerLabels {
    caller: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct JobEndLabels {
    queue: String,
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CountLabels {
    by: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PrefixLabels {
    prefix: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabels {
    zone: String,
    state: &'static str,
    kind: &'static str,
}

/// The most availability zones with gauges of their own; the others have none.
const MAX_ZONES: usize = 16;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabel {
    zone: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PathLabels {
    zone: String,
    change: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RelayLabels {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PartLabels {
    part: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StartLabels {
    job: &'static str,
}

type NewHistogram = fn() -> Histogram;

fn latency_histogram() -> Histogram {
    // From half a millisecond to about a minute.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// The metrics of a node.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    store_calls: Family<StoreCallLabels, Counter>,
    store_seconds: Family<StoreCallLabels, Histogram, NewHistogram>,
    requests: Family<RequestLabels, Counter>,
    /// Callers' requests by method and status, over all queues.
    request_totals: Mutex<BTreeMap<(&'static str, u16), u64>>,
    answer_seconds: Family<QueueLabels, Histogram, NewHistogram>,
    orders: Family<OrderLabels, Counter>,
    order_seconds: Family<OrderLabels, Histogram, NewHistogram>,
    in_flight_orders: Family<CallerLabels, Gauge>,
    resent_orders: Counter,
    ended_jobs: Family<JobEndLabels, Counter>,
    task_restarts: Family<ReasonLabels, Counter>,
    unexpected_runs: Family<ReasonLabels, Counter>,
    task_crashes: Counter,
    abandoned_tasks: Counter,
    worker_restarts: Counter,
    job_seconds: Family<QueueLabels, Histogram, NewHistogram>,
    owned_work: Gauge,
    config_version: Gauge,
    refused_records: Gauge,
    view_age_seconds: Family<PrefixLabels, Gauge<f64, AtomicU64>>,
    queue_counts: Family<CountLabels, Counter>,
    limit_wait_seconds: Histogram,
    detours: Family<ZoneLabel, Counter>,
    path_changes: Family<PathLabels, Counter>,
    relays: Family<RelayLabels, Counter>,
    nodes: Family<ZoneLabel, Gauge>,
    admissions: Family<AdmissionLabels, Counter>,
    account_weights: Family<AccountLabels, Gauge<f64, AtomicU64>>,
    account_rates: Family<AccountLoadLabels, Gauge>,
    account_waiting: Family<AccountLoadLabels, Gauge>,
    pool_delay_seconds: Family<OwnerLabels, Gauge<f64, AtomicU64>>,
    /// The accounts with time series of their own.
    account_series: Mutex<BTreeSet<AccountId>>,
    dropped_log_lines: Gauge,
    zone_counts: Family<ZoneLabels, Gauge>,
    input_wait_seconds: Histogram,
    loop_seconds: Family<PartLabels, Counter<f64, AtomicU64>>,
    starts: Family<StartLabels, Counter>,
    backing_off: Gauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Metrics {
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("caperhollow")),
            store_calls: Family::default(),
            store_seconds: Family::new_with_constructor(latency_histogram as NewHistogram),
            requests: Family::default(),
            request_totals: Mutex::default(),
            answer_seconds: Family::new_with_constructor(latency_histogram as NewHistogram),
            orders: Family::default(),
            order_seconds: Family::new_with_constructor(latency_histogram as NewHistogram),
            in_flight_orders: Family::default(),
            resent_orders: Counter::default(),
            ended_jobs: Family::default(),
            task_restarts: Family::default(),
            unexpected_runs: Family::default(),
            task_crashes: Counter::default(),
            abandoned_tasks: Counter::default(),
            worker_restarts: Counter::default(),
            job_seconds: Family::new_with_constructor(latency_histogram as NewHistogram),
            owned_work: Gauge::default(),
            config_version: Gauge::default(),
            refused_records: Gauge::default(),
            view_age_seconds: Family::default(),
            queue_counts: Family::default(),
            limit_wait_seconds: latency_histogram(),
            detours: Family::default(),
            path_changes: Family::default(),
            relays: Family::default(),
            nodes: Family::default(),
            admissions: Family::default(),
            account_weights: Family::default(),
            account_rates: Family::default(),
            account_waiting: Family::default(),
            pool_delay_seconds: Family::default(),
            account_series: Mutex::default(),
            dropped_log_lines: Gauge::default(),
            zone_counts: Family::default(),
            input_wait_seconds: latency_histogram(),
            loop_seconds: Family::default(),
            starts: Family::default(),
            backing_off: Gauge::default(),
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
        registry.register("asked", "Callers' requests by final status", self.requests.clone());
        registry.register("answer_seconds", "Time to a final answer", self.answer_seconds.clone());
        registry.register("orders", "Orders to workers", self.orders.clone());
        registry.register("order_seconds", "Time of workers' answers", self.order_seconds.clone());
        registry.register(
            "orders_under_way",
            "Orders to workers without an answer so far, by whether this node or another calls",
            self.in_flight_orders.clone(),
        );
        registry.register(
            "orders_again",
            "Looks and stops that were sent again because the one before had no answer",
            self.resent_orders.clone(),
        );
        registry.register("jobs_ended", "Jobs that this node saw end", self.ended_jobs.clone());
        registry.register(
            "job_seconds",
            "Time from a job's acceptance to its success, by its owner",
            self.job_seconds.clone(),
        );
        registry.register(
            "task_restarts",
            "Tasks started again, by why the run before was held to be over",
            self.task_restarts.clone(),
        );
        registry.register(
            "stray_runs",
            "Runs that workers listed and that should not be there, by what is wrong with them",
            self.unexpected_runs.clone(),
        );
        registry.register(
            "task_crashes",
            "Workers lost under a task, counted once for each task that had lately begun there",
            self.task_crashes.clone(),
        );
        registry.register(
            "tasks_given_up",
            "Tasks given up because workers crash under them; their jobs are shown as failed",
            self.abandoned_tasks.clone(),
        );
        registry.register(
            "workers_started_again",
            "Workers that have started again under their name, as their owners heard",
            self.worker_restarts.clone(),
        );
        registry.register("owned", "Pieces of work that the node owns", self.owned_work.clone());
        registry.register(
            "config_version",
            "The configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "records_refused",
            "Records of the store that could not be read, or were not their worker's own",
            self.refused_records.clone(),
        );
        registry.register(
            "view_age_seconds",
            "How old what the node knows of each prefix of the store is",
            self.view_age_seconds.clone(),
        );
        registry.register(
            "queue_counts",
            "Answers to how many jobs of a queue wait, by what they were counted by",
            self.queue_counts.clone(),
        );
        registry.register(
            "limit_wait_seconds",
            "Time that an account's tasks waited for a larger share of its limit, by pool owners",
            self.limit_wait_seconds.clone(),
        );
        registry.register(
            "orders_by_other_paths",
            "Orders to workers that did not take their usual path, by the workers' zone",
            self.detours.clone(),
        );
        registry.register(
            "path_changes",
            "Paths to zones of workers that were left, and that are used again",
            self.path_changes.clone(),
        );
        registry.register(
            "relays",
            "Callers' requests relayed to other nodes, by result",
            self.relays.clone(),
        );
        registry.register("nodes", "Nodes that this node knows, by zone", self.nodes.clone());
        registry.register(
            "admissions",
            "Jobs of accounts with a weight, by whether they were within or beyond it, or refused",
            self.admissions.clone(),
        );
        registry.register(
            "account_weight",
            "Weights of accounts, in jobs per second",
            self.account_weights.clone(),
        );
        registry.register(
            "account_rate",
            "Jobs per second that accounts with a weight send to a pool, by its owner",
            self.account_rates.clone(),
        );
        registry.register(
            "account_waiting",
            "Jobs beyond their account's weight that have not begun, by pool owners",
            self.account_waiting.clone(),
        );
        registry.register(
            "pool_delay_seconds",
            "How long new work beyond a weight would wait, by pool owners",
            self.pool_delay_seconds.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines that were left out because there were too many",
            self.dropped_log_lines.clone(),
        );
        registry.register(
            "zone_counts",
            "Workers and tasks of owned pools, by availability zone and its state",
            self.zone_counts.clone(),
        );
        registry.register(
            "input_wait_seconds",
            "Time that answers of workers waited until the control loop handled them",
            self.input_wait_seconds.clone(),
        );
        registry.register(
            "loop_seconds",
            "Time of the control loop by part, while the node owns work",
            self.loop_seconds.clone(),
        );
        registry.register(
            "starts",
            "Starts of tasks, by whether their jobs can still end in time",
            self.starts.clone(),
        );
        registry.register(
            "links_backing_off",
            "Other nodes that get no orders for now, since answers were overdue or the link failed",
            self.backing_off.clone(),
        );
    }

    /// Records how long an answer of a worker has waited until it was handled.
    pub(crate) fn record_input_wait(&self, wait: Duration) {
        self.input_wait_seconds.observe(wait.as_secs_f64());
    }

    /// Adds the time of the control loop.
    pub(crate) fn add_loop_time(&self, load: &LoopSummary) {
        for (part, time) in load.parts() {
            self.loop_seconds.get_or_create(&PartLabels { part }).inc_by(time.as_secs_f64());
        }
    }

    /// Adds starts of tasks.
    pub(crate) fn add_starts(&self, starts: ByLateness) {
        let ByLateness { in_time, late, too_late } = starts;
        for (job, count) in [("in time", in_time), ("late", late), ("too late", too_late)] {
            self.starts.get_or_create(&StartLabels { job }).inc_by(count);
        }
    }

    /// Sets the number of other nodes that get no orders for now.
    pub(crate) fn set_backing_off(&self, nodes: usize) {
        self.backing_off.set(nodes as i64);
    }

    /// Sets what the owned pools have in each availability zone.
    pub(crate) fn set_zones(&self, uses: &BTreeMap<ZoneId, ZoneUse>, zones: &Zones) {
        self.zone_counts.clear();
        for (zone, zone_use) in uses.iter().take(MAX_ZONES) {
            let state = if zones.is_evacuated(zone) { "evacuated" } else { "open" };
            let counts = [
                ("workers", zone_use.workers),
                ("short", zone_use.short),
                ("long_running", zone_use.long_running),
            ];
            for (kind, count) in counts {
                let label = ZoneLabels { zone: zone.to_string(), state, kind };
                self.zone_counts.get_or_create(&label).set(count as i64);
            }
        }
    }

    /// Records a call of the store.
    pub(crate) fn record_store_call(
        &self,
        call: &'static str,
        outcome: &'static str,
        took: Duration,
    ) {
        let label = StoreCallLabels { call, outcome };
        self.store_calls.get_or_create(&label).inc();
        self.store_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Records an answered request of a caller.
    pub(crate) fn record_request(
        &self,
        queue: &str,
        method: &'static str,
        status: StatusCode,
        took: Duration,
    ) {
        let label = RequestLabels { queue: queue.to_owned(), method, status: status.as_u16() };
        self.requests.get_or_create(&label).inc();
        let mut totals = self.request_totals.lock().unwrap_or_else(PoisonError::into_inner);
        *totals.entry((method, status.as_u16())).or_default() += 1;
        drop(totals);
        let label = QueueLabels { queue: queue.to_owned() };
        self.answer_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Records an order to a worker.
    pub(crate) fn record_order(&self, order: &'static str, outcome: &'static str, took: Duration) {
        let label = OrderLabels { order, outcome };
        self.orders.get_or_create(&label).inc();
        self.order_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Adds to the number of orders in flight.
    pub(crate) fn add_orders_in_flight(&self, caller: &'static str, change: i64) {
        self.in_flight_orders.get_or_create(&CallerLabels { caller }).inc_by(change);
    }

    /// Records the end of a job that this node owns.
    pub(crate) fn record_job_end(&self, queue: &str, state: &'static str, took: Duration) {
        let label = JobEndLabels { queue: queue.to_owned(), state };
        self.ended_jobs.get_or_create(&label).inc();
        let label = QueueLabels { queue: queue.to_owned() };
        self.job_seconds.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// Adds the counts of an owner.
    pub(crate) fn add_counts(&self, counts: &Counts) {
        for (reason, count) in &counts.restarts {
            self.task_restarts.get_or_create(&ReasonLabels { why: reason }).inc_by(*count);
        }
        self.task_crashes.inc_by(counts.crashes);
        self.abandoned_tasks.inc_by(counts.given_up);
        self.worker_restarts.inc_by(counts.worker_restarts);
        self.resent_orders.inc_by(counts.resent_orders);
        for (reason, count) in &counts.unexpected_runs {
            self.unexpected_runs.get_or_create(&ReasonLabels { why: reason }).inc_by(*count);
        }
    }

    /// Sets the number of pieces of work that the node owns and the version of the configuration in
    /// force.
    pub(crate) fn set_ownership(&self, owned: usize, config: u64) {
        self.owned_work.set(owned as i64);
        self.config_version.set(config as i64);
    }

    /// Sets the age of the view of a prefix.
    pub(crate) fn set_view_age(&self, prefix: &'static str, age: Duration) {
        self.view_age_seconds.get_or_create(&PrefixLabels { prefix }).set(age.as_secs_f64());
    }

    /// Records by what the waiting jobs of a queue were counted.
    pub(crate) fn record_queue_count(&self, by: &'static str) {
        self.queue_counts.get_or_create(&CountLabels { by }).inc();
    }

    /// Records how long tasks of an account have waited for a larger share of its limit.
    pub(crate) fn record_limit_wait(&self, millis: u64) {
        self.limit_wait_seconds.observe(millis as f64 / 1_000.0);
    }

    /// Records an order that did not take its usual path.
    pub(crate) fn record_detour(&self, zone: &str) {
        self.detours.get_or_create(&ZoneLabel { zone: zone.to_owned() }).inc();
    }

    /// Records that the path to a zone's workers has changed.
    pub(crate) fn record_path_change(&self, zone: &str, change: &'static str) {
        self.path_changes.get_or_create(&PathLabels { zone: zone.to_owned(), change }).inc();
    }

    /// Records the result of relaying a caller's request.
    pub(crate) fn record_relay(&self, result: &'static str) {
        self.relays.get_or_create(&RelayLabels { result }).inc();
    }

    /// Sets the number of known nodes of each zone. Zones without nodes keep their series.
    pub(crate) fn set_nodes(&self, by_zone: &BTreeMap<String, usize>) {
        for (zone, count) in by_zone {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            self.nodes.get_or_create(&ZoneLabel { zone: zone.clone() }).set(count);
        }
    }

    /// The label of an account: its name, if not too many others have time series of their own.
    fn account_label(&self, account: &AccountId) -> String {
        let mut series = self.account_series.lock().unwrap_or_else(PoisonError::into_inner);
        if series.len() < MAX_ACCOUNT_SERIES {
            series.insert(account.clone());
        }
        match series.contains(account) {
            true => account.to_string(),
            false => OTHER_ACCOUNTS.to_owned(),
        }
    }

    /// Records the decision on a job of an account with a weight.
    pub(crate) fn record_admission(
        &self,
        account: &AccountId,
        weight: Weight,
        outcome: &'static str,
    ) {
        let account = self.account_label(account);
        if account != OTHER_ACCOUNTS {
            let label = AccountLabels { account: account.clone() };
            self.account_weights.get_or_create(&label).set(weight.rate());
        }
        self.admissions.get_or_create(&AdmissionLabels { account, outcome }).inc();
    }

    /// The number of jobs of an account that were refused, if it has time series of its own.
    pub(crate) fn refused_jobs(&self, account: &AccountId) -> u64 {
        let label = AdmissionLabels { account: account.to_string(), outcome: "refused" };
        self.admissions.get(&label).map_or(0, |count| count.get())
    }

    /// Sets the load of an owned pool.
    pub(crate) fn set_pool_load(&self, owner: &str, load: &PoolLoad) {
        let owner = owner.to_owned();
        let delay = load.delay_ms as f64 / 1_000.0;
        self.pool_delay_seconds.get_or_create(&OwnerLabels { owner: owner.clone() }).set(delay);
        let mut loads: BTreeMap<String, (i64, i64)> = BTreeMap::new();
        let known = self.account_series.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for account in known {
            loads.insert(account.to_string(), (0, 0));
        }
        for (account, load) in &load.accounts {
            let (rate, waiting) = loads.entry(self.account_label(account)).or_default();
            *rate += i64::from(load.rate);
            *waiting += i64::from(load.waiting);
        }
        for (account, (rate, waiting)) in loads {
            let label = AccountLoadLabels { owner: owner.clone(), account };
            self.account_rates.get_or_create(&label).set(rate);
            self.account_waiting.get_or_create(&label).set(waiting);
        }
    }

    /// Sets the number of records that were refused.
    pub(crate) fn set_refused_records(&self, records: u64) {
        self.refused_records.set(records as i64);
    }

    /// The number of store calls so far, for the log.
    pub(crate) fn store_summary(&self) -> String {
        const CALLS: [&str; 6] = ["get", "range", "watch", "commit", "grant", "keep"];
        const OUTCOMES: [&str; 4] = ["done", "refused", "unanswered", "unreached"];
        let mut parts = Vec::new();
        for call in CALLS {
            for outcome in OUTCOMES {
                let count =
                    self.store_calls.get(&StoreCallLabels { call, outcome }).map(|c| c.get());
                if let Some(count) = count {
                    parts.push(format!("{call} {outcome} {count}"));
                }
            }
        }
        parts.join(", ")
    }

    /// The number of callers' requests so far, for the log.
    pub(crate) fn request_summary(&self) -> String {
        let totals = self.request_totals.lock().unwrap_or_else(PoisonError::into_inner);
        let parts = totals.iter().map(|((method, status), n)| format!("{method} {status} {n}"));
        parts.collect::<Vec<_>>().join(", ")
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self) -> String {
        self.dropped_log_lines.set(logging::dropped_lines() as i64);
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics: encoding failed: {error}");
        }
        text
    }
}

/// The HTTP endpoint that serves the metrics.
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
