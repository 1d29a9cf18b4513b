//! The node's metrics, as Prometheus reads them.

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
struct Asked {
    team: String,
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answered {
    service: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfService {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Called {
    kind: &'static str,
}

fn latencies() -> Histogram {
    // From half a millisecond to about a minute.
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// What the node counts and measures.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    latency: Family<Asked, Histogram, fn() -> Histogram>,
    outcomes: Family<Answered, Counter>,
    retries: Family<OfService, Counter>,
    permits: Family<OfService, Gauge>,
    store_calls: Family<Called, Counter>,
    view_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    config: Gauge,
    view_bytes: Gauge,
}

impl Metrics {
    /// All metrics, at zero.
    pub(crate) fn new() -> Metrics {
        let mut registry = Registry::with_prefix("caperhollow");
        let latency = Family::new_with_constructor(latencies as fn() -> Histogram);
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

    /// Notes a request that got its final answer.
    pub(crate) fn answered(
        &self,
        team: &str,
        class: Class,
        service: &str,
        outcome: Outcome,
        took: Duration,
    ) {
        let asked = Asked { team: team.to_owned(), class: class.as_str() };
        self.latency.get_or_create(&asked).observe(took.as_secs_f64());
        let answered = Answered { service: service.to_owned(), outcome: outcome.as_str() };
        self.outcomes.get_or_create(&answered).inc();
    }

    /// Notes a retry.
    pub(crate) fn retried(&self, service: &str) {
        self.retries.get_or_create(&OfService { service: service.to_owned() }).inc();
    }

    /// A counter of store calls that can be handed on.
    pub(crate) fn store_counter(&self) -> impl Fn(&'static str) + Send + Sync + use<> {
        let calls = self.store_calls.clone();
        move |kind| {
            calls.get_or_create(&Called { kind }).inc();
        }
    }

    /// Notes how many permits are out for a service.
    pub(crate) fn permits(&self, service: &str, out: usize) {
        let label = OfService { service: service.to_owned() };
        self.permits.get_or_create(&label).set(out as i64);
    }

    /// Notes the age and size of the view and the change of the configuration that is in force.
    pub(crate) fn view(&self, age: Duration, bytes: usize, through: u64) {
        self.view_age.set(age.as_secs_f64());
        self.view_bytes.set(bytes as i64);
        self.config.set(through as i64);
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!("metrics: {error}");
        }
        text
    }
}
