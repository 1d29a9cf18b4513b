//! A steady load of callers, which record the outcome of each request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;

use crate::{
    demo::nodes::Fleet,
    entry::headers,
    model::{
        id::{ServiceId, TeamId},
        request::Class,
    },
    preset::Preset,
    standin::endpoint,
};

/// A caller's mean pause between two requests.
const THINK_TIME: Duration = Duration::from_millis(12);
/// How long the balancer leaves out a node that did not answer.
const NODE_BACKOFF: Duration = Duration::from_secs(2);
/// How long a caller waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum attempts of a request, each at a node drawn at random.
const MAX_ATTEMPTS: usize = 3;

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It ran, and its complete answer arrived.
    Complete,
    /// An answer arrived that is not the complete answer to this request.
    Wrong,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Its key was claimed before, and is known to have run.
    AlreadyRan,
    /// No answer came, because the node died.
    NoAnswer,
}

/// One request and its outcome for the caller.
#[derive(Debug, Clone)]
pub(crate) struct RequestResult {
    pub(crate) request: String,
    pub(crate) key: Option<String>,
    pub(crate) result: Outcome,
}

/// The results of all callers.
pub(crate) struct CallerResults {
    pub(crate) requests: Vec<RequestResult>,
    /// Microseconds until a complete answer, by class.
    pub(crate) latency: Vec<(Class, Histogram<u64>)>,
}

struct Shared {
    stop: AtomicBool,
    results: Mutex<CallerResults>,
    nodes: Vec<SocketAddr>,
    services: Vec<Target>,
    client: reqwest::Client,
    /// Nodes that did not answer, and when: the platform's balancer leaves them out for a while.
    unresponsive: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Shared {
    fn choose_node(&self, rng: &mut Pcg64) -> Option<SocketAddr> {
        let unresponsive = self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner);
        let is_left_out = |node: &&SocketAddr| {
            unresponsive.get(node).is_some_and(|at| at.elapsed() < NODE_BACKOFF)
        };
        let available: Vec<&SocketAddr> =
            self.nodes.iter().filter(|node| !is_left_out(node)).collect();
        available.choose(rng).map(|node| **node)
    }
}

/// A service, as callers need to know it.
#[derive(Clone)]
struct Target {
    service: ServiceId,
    team: TeamId,
    class: Class,
    once: bool,
}

pub(crate) struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers, each with a random generator of its own.
    pub(crate) fn start(fleet: &Fleet, preset: &Preset, count: u32, seed: u64) -> Callers {
        let services = preset.config.services.iter().map(|(id, service)| Target {
            service: id.clone(),
            team: service.team.clone(),
            class: service.class,
            once: service.once,
        });
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let latency = Class::ALL.into_iter().map(|class| (class, histogram())).collect();
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            results: Mutex::new(CallerResults { requests: Vec::new(), latency }),
            nodes: fleet.nodes.iter().map(|node| node.callers).collect(),
            services: services.collect(),
            client: reqwest::Client::new(),
            unresponsive: Mutex::default(),
        });
        let tasks = (0..count).map(|number| {
            let rng = Pcg64::seed_from_u64(seed.wrapping_mul(1_000_003) + u64::from(number));
            tokio::spawn(run_caller(shared.clone(), number, rng))
        });
        Callers { tasks: tasks.collect(), shared }
    }

    /// Ends each caller once its last request has been answered, and returns the results of all.
    pub(crate) async fn stop(self) -> CallerResults {
        self.shared.stop.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
        let mut results = self.shared.results.lock().unwrap_or_else(PoisonError::into_inner);
        let latency = std::mem::take(&mut results.latency);
        CallerResults { requests: std::mem::take(&mut results.requests), latency }
    }
}

async fn run_caller(shared: Arc<Shared>, caller: u32, mut rng: Pcg64) {
    let mut number = 0u64;
    while !shared.stop.load(Ordering::Acquire) {
        let Some(target) = shared.services.choose(&mut rng).cloned() else {
            return;
        };
        number += 1;
        // A claim that is not batched costs a write, so callers skip most requests that need one.
        if target.once && !rng.random_bool(0.1) {
            continue;
        }
        let name = format!("{caller}-{number}");
        for attempt in 0..MAX_ATTEMPTS {
            let Some(node) = shared.choose_node(&mut rng) else { return };
            let result = send_request(&shared, node, &target, &name, attempt).await;
            if result == Outcome::NoAnswer {
                let mut unresponsive =
                    shared.unresponsive.lock().unwrap_or_else(PoisonError::into_inner);
                unresponsive.insert(node, Instant::now());
            }
            if matches!(result, Outcome::Complete | Outcome::Wrong | Outcome::AlreadyRan) {
                break;
            }
            // An unknown outcome of a request that may not run twice stays unknown.
            if result == Outcome::Unknown && !target.once {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        tokio::time::sleep(THINK_TIME.mul_f64(0.5 + rng.random::<f64>())).await;
    }
}

async fn send_request(
    shared: &Shared,
    node: SocketAddr,
    target: &Target,
    name: &str,
    attempt: usize,
) -> Outcome {
    let request = format!("{name}-{attempt}");
    let key = target.once.then(|| name.to_owned());
    let url = format!("http://{node}/{}/work", target.service);
    let mut builder = shared
        .client
        .get(url)
        .timeout(REQUEST_TIMEOUT)
        .header(headers::TEAM, target.team.as_str())
        .header(headers::CLASS, target.class.as_str())
        .header(headers::DEADLINE, "5000")
        .header(headers::REQUEST_ID, &request);
    if let Some(key) = &key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    let started_at = Instant::now();
    let result = match builder.send().await {
        Err(_) => Outcome::NoAnswer,
        Ok(answer) => {
            let text = |name: &str| {
                answer.headers().get(name).and_then(|value| value.to_str().ok().map(str::to_owned))
            };
            let (status, outcome) = (answer.status().as_u16(), text(headers::OUTCOME));
            match (answer.bytes().await, outcome.as_deref()) {
                (Err(_), _) => Outcome::NoAnswer,
                (Ok(body), Some("ran")) if status == 200 => {
                    let is_complete = endpoint::is_answer_to(&body, &request);
                    if is_complete { Outcome::Complete } else { Outcome::Wrong }
                }
                (Ok(_), Some("ran")) => Outcome::AlreadyRan,
                (Ok(_), Some("not-run")) => Outcome::NotRun,
                (Ok(_), _) => Outcome::Unknown,
            }
        }
    };
    let mut results = shared.results.lock().unwrap_or_else(PoisonError::into_inner);
    if result == Outcome::Complete
        && let Some((_, histogram)) = results.latency.iter_mut().find(|(c, _)| *c == target.class)
    {
        let _ = histogram.record(started_at.elapsed().as_micros() as u64);
    }
    results.requests.push(RequestResult { request, key, result });
    result
}
