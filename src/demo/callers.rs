//! A steady load of callers, who note what they were told of each request.

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

/// The caller's wait between two requests.
const THINK: Duration = Duration::from_millis(12);
/// How long the balancer leaves a node out that did not answer.
const LEFT_OUT: Duration = Duration::from_secs(2);
/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Times that a caller sends a request, to one node after the other.
const TRIES: usize = 3;

/// What a caller was told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Told {
    /// It ran, and the whole answer came.
    Whole,
    /// An answer came that was not the whole answer to this request.
    Wrong,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// A key was claimed, and is known to have run.
    RanBefore,
    /// No answer came, because the node died.
    Silence,
}

/// One request, as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) request: String,
    pub(crate) key: Option<String>,
    pub(crate) told: Told,
}

/// Everything that callers saw.
pub(crate) struct Served {
    pub(crate) seen: Vec<Seen>,
    /// Microseconds until a whole answer, by class.
    pub(crate) latency: Vec<(Class, Histogram<u64>)>,
}

struct Shared {
    stop: AtomicBool,
    served: Mutex<Served>,
    nodes: Vec<SocketAddr>,
    services: Vec<Offer>,
    client: reqwest::Client,
    /// Nodes that did not answer, and when: the platform's balancer leaves them out for a while.
    silent: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Shared {
    fn node(&self, rng: &mut Pcg64) -> Option<SocketAddr> {
        let silent = self.silent.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out =
            |node: &&SocketAddr| silent.get(node).is_some_and(|at| at.elapsed() < LEFT_OUT);
        let open: Vec<&SocketAddr> = self.nodes.iter().filter(|node| !left_out(node)).collect();
        open.choose(rng).map(|node| **node)
    }
}

#[derive(Clone)]
struct Offer {
    service: ServiceId,
    team: TeamId,
    class: Class,
    once: bool,
}

/// Running callers.
pub(crate) struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers, each with draws of its own.
    pub(crate) fn start(fleet: &Fleet, preset: &Preset, count: u32, seed: u64) -> Callers {
        let services = preset.config.services.iter().map(|(id, service)| Offer {
            service: id.clone(),
            team: service.team.clone(),
            class: service.class,
            once: service.once,
        });
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let latency = Class::ALL.into_iter().map(|class| (class, histogram())).collect();
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            served: Mutex::new(Served { seen: Vec::new(), latency }),
            nodes: fleet.nodes.iter().map(|node| node.callers).collect(),
            services: services.collect(),
            client: reqwest::Client::new(),
            silent: Mutex::default(),
        });
        let tasks = (0..count).map(|number| {
            let rng = Pcg64::seed_from_u64(seed.wrapping_mul(1_000_003) + u64::from(number));
            tokio::spawn(call(shared.clone(), number, rng))
        });
        Callers { tasks: tasks.collect(), shared }
    }

    /// Ends the callers, each after its last answer.
    pub(crate) async fn stop(self) -> Served {
        self.shared.stop.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
        let mut served = self.shared.served.lock().unwrap_or_else(PoisonError::into_inner);
        let latency = std::mem::take(&mut served.latency);
        Served { seen: std::mem::take(&mut served.seen), latency }
    }
}

async fn call(shared: Arc<Shared>, caller: u32, mut rng: Pcg64) {
    let mut number = 0u64;
    while !shared.stop.load(Ordering::Acquire) {
        let Some(offer) = shared.services.choose(&mut rng).cloned() else {
            return;
        };
        number += 1;
        // Claims cost a write each when they come alone: callers ask for few of them.
        if offer.once && !rng.random_bool(0.1) {
            continue;
        }
        let name = format!("{caller}-{number}");
        for attempt in 0..TRIES {
            let Some(node) = shared.node(&mut rng) else { return };
            let told = ask(&shared, node, &offer, &name, attempt).await;
            if told == Told::Silence {
                let mut silent = shared.silent.lock().unwrap_or_else(PoisonError::into_inner);
                silent.insert(node, Instant::now());
            }
            if matches!(told, Told::Whole | Told::Wrong | Told::RanBefore) {
                break;
            }
            // An unknown outcome of a request that may not run twice stays unknown.
            if told == Told::Unknown && !offer.once {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        tokio::time::sleep(THINK.mul_f64(0.5 + rng.random::<f64>())).await;
    }
}

async fn ask(shared: &Shared, node: SocketAddr, offer: &Offer, name: &str, attempt: usize) -> Told {
    let request = format!("{name}-{attempt}");
    let key = offer.once.then(|| name.to_owned());
    let url = format!("http://{node}/{}/work", offer.service);
    let mut builder = shared
        .client
        .get(url)
        .timeout(PATIENCE)
        .header(headers::TEAM, offer.team.as_str())
        .header(headers::CLASS, offer.class.as_str())
        .header(headers::DEADLINE, "5000")
        .header(headers::REQUEST_ID, &request);
    if let Some(key) = &key {
        builder = builder.header(headers::IDEMPOTENCY_KEY, key);
    }
    let began = Instant::now();
    let told = match builder.send().await {
        Err(_) => Told::Silence,
        Ok(answer) => {
            let text = |name: &str| {
                answer.headers().get(name).and_then(|value| value.to_str().ok().map(str::to_owned))
            };
            let (status, outcome) = (answer.status().as_u16(), text(headers::OUTCOME));
            match (answer.bytes().await, outcome.as_deref()) {
                (Err(_), _) => Told::Silence,
                (Ok(body), Some("ran")) if status == 200 => {
                    let whole = endpoint::is_answer_to(&body, &request);
                    if whole { Told::Whole } else { Told::Wrong }
                }
                (Ok(_), Some("ran")) => Told::RanBefore,
                (Ok(_), Some("not-run")) => Told::NotRun,
                (Ok(_), _) => Told::Unknown,
            }
        }
    };
    let mut served = shared.served.lock().unwrap_or_else(PoisonError::into_inner);
    if told == Told::Whole
        && let Some((_, histogram)) = served.latency.iter_mut().find(|(c, _)| *c == offer.class)
    {
        let _ = histogram.record(began.elapsed().as_micros() as u64);
    }
    served.seen.push(Seen { request, key, told });
    told
}
