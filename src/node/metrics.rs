//! The node's metrics, in the text format of Prometheus.

use std::{sync::Mutex, time::Duration};

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

use crate::model::request::{Class, Outcome};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    team: String,
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreCallLabels {
    kind: &'static str,
}

fn latency_histogram() -> Histogram {
    // From 0.5 ms to about one minute.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// Metrics of one node.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<RequestLabels, Histogram, fn() -> Histogram>,
    outcomes: Family<OutcomeLabels, Counter>,
    retries: Family<ServiceLabels, Counter>,
    permits: Family<ServiceLabels, Gauge>,
    store_calls: Family<StoreCallLabels, Counter>,
    view_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    config: Gauge,
    view_bytes: Gauge,
}

impl Metrics {
    /// Registers all metrics, with the value zero.
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::with_prefix("caperhollow");
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let outcomes = Family::default();
        let retries = Family::default();
        let permits = Family::default();
        let store_calls = Family::default();
        let view_age = Gauge::default();
        let config = Gauge::default();
        let view_bytes = Gauge::default();
        registry.register(
            "request_seconds",
            "Time from a request to its final answer, by team and class",
            latency.clone(),
        );
        registry.register(
            "requests",
            "Requests by service and outcome: ran, not-run or unknown",
            outcomes.clone(),
        );
        registry.register("retries", "Requests sent to another endpoint", retries.clone());
        registry.register("permits_out", "Permits that are out, by service", permits.clone());
        registry.register("store_calls", "Calls of the platform's store", store_calls.clone());
        registry.register(
            "view_age_seconds",
            "Time since the view was known to be that of the store",
            view_age.clone(),
        );
        registry.register("config_change", "The last change in force", config.clone());
        registry.register("view_bytes", "Bytes of all records held", view_bytes.clone());
        let registry = Mutex::new(registry);
        Metrics {
            registry,
            latency,
            outcomes,
            retries,
            permits,
            store_calls,
            view_age,
            config,
            view_bytes,
        }
    }

    /// Records the final answer of a request.
    pub(crate) fn record_answer(
        &self,
        team: &str,
        class: Class,
        service: &str,
        outcome: Outcome,
        elapsed: Duration,
    ) {
        let request_labels = RequestLabels { team: team.to_owned(), class: class.as_str() };
        self.latency.get_or_create(&request_labels).observe(elapsed.as_secs_f64());
        let outcome_labels =
            OutcomeLabels { service: service.to_owned(), outcome: outcome.as_str() };
        self.outcomes.get_or_create(&outcome_labels).inc();
    }

    /// Records a retry.
    pub(crate) fn record_retry(&self, service: &str) {
        self.retries.get_or_create(&ServiceLabels { service: service.to_owned() }).inc();
    }

    /// Returns a function that counts store calls by kind.
    pub(crate) fn store_counter(&self) -> impl Fn(&'static str) + Send + Sync + use<> {
        let calls = self.store_calls.clone();
        move |kind| {
            calls.get_or_create(&StoreCallLabels { kind }).inc();
        }
    }

    /// Sets the number of permits taken for a service.
    pub(crate) fn set_permits(&self, service: &str, taken: usize) {
        let labels = ServiceLabels { service: service.to_owned() };
        self.permits.get_or_create(&labels).set(taken as i64);
    }

    /// Sets the age and size of the view, and the configuration change in force.
    pub(crate) fn set_view(&self, age: Duration, bytes: usize, through: u64) {
        self.view_age.set(age.as_secs_f64());
        self.view_bytes.set(bytes as i64);
        self.config.set(through as i64);
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics: {error}");
        }
        text
    }
}
