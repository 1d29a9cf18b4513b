//! The choice of endpoints and the scope of refusals, compared with simple baselines. Requests of
//! several nodes arrive at random times at endpoints with a limited number of slots. For a while,
//! one endpoint is slow, one refuses all requests, and one is dead. An event loop simulates the
//! requests and calls the program's own routing decision.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    decide::route::{self, Load},
    measure::{Figures, stats},
    model::unit::Time,
};

const NODES: usize = 6;
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;
/// Mean duration of a request.
const MEAN_DURATION: Duration = Duration::from_millis(20);
/// Requests per second of all nodes: half of what the endpoints can serve.
const REQUESTS_PER_SECOND: f64 = 2000.0;
const SIMULATED_TIME: Duration = Duration::from_secs(30);
/// Endpoint 0 is slow, 1 refuses, and 2 is dead, from a third to half of the simulated time.
const FAULTS_START: Duration = Duration::from_secs(10);
const FAULTS_END: Duration = Duration::from_secs(15);
const SLOWDOWN: u32 = 10;
/// Maximum number of times that a request is sent.
const MAX_ATTEMPTS: usize = 4;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// How endpoints are chosen, and what a refusal does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The routing decision of this program.
    Ours,
    /// In turn; a refused request goes to the next endpoint.
    RoundRobin,
    /// Like `Ours`, but a node never uses an endpoint again that refused or failed.
    ExcludeForever,
    /// Like `Ours`, but a refused request is retried at the same endpoint.
    RetryInPlace,
}

const POLICIES: [(&str, Policy); 4] = [
    ("ours", Policy::Ours),
    ("round robin", Policy::RoundRobin),
    ("refusal switches off for good", Policy::ExcludeForever),
    ("refusal retried in place", Policy::RetryInPlace),
];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at a node.
    Arrive { node: usize },
    /// A request is retried.
    Retry { request: usize },
    /// A request has finished.
    Done { request: usize, endpoint: usize },
}

#[derive(Debug, Clone)]
struct Request {
    node: usize,
    arrived: Time,
    tried: Vec<usize>,
    attempts: usize,
}

#[derive(Debug, Clone, Copy)]
struct EndpointState {
    own: u32,
    reported: u32,
    reported_at: Time,
    backoff_until: Time,
    failures: u32,
    excluded: bool,
}

struct Simulation {
    policy: Policy,
    rng: Pcg64,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_count: u64,
    running: [u32; ENDPOINTS],
    states: Vec<[EndpointState; ENDPOINTS]>,
    round_robin: usize,
    requests: Vec<Request>,
    latency: Histogram<u64>,
    refused: u32,
    attempts: u64,
}

/// Result of one run.
struct Outcome {
    p50: f64,
    p99: f64,
    refused_percent: f64,
    attempts: f64,
    /// Endpoints in use at the end, per node on average.
    in_use: f64,
}

/// Runs every policy with the same arrivals.
pub(crate) fn measure() -> Figures {
    let rows = POLICIES.map(|(name, policy)| {
        let runs: Vec<Outcome> = SEEDS.map(|seed| run(policy, seed)).collect();
        let summary = |figure: fn(&Outcome) -> f64, digits: usize| {
            let numbers: Vec<f64> = runs.iter().map(figure).collect();
            let (median, maximum) = (stats::median(&numbers), stats::maximum(&numbers));
            format!("{median:.digits$} ({maximum:.digits$})")
        };
        vec![
            name.to_owned(),
            summary(|run| run.p50, 1),
            summary(|run| run.p99, 1),
            summary(|run| run.refused_percent, 2),
            summary(|run| run.attempts, 3),
            summary(|run| run.in_use, 1),
        ]
    });
    Figures {
        title: format!(
            "Choice of {ENDPOINTS} endpoints with {SLOTS} slots by {NODES} nodes, \
             {REQUESTS_PER_SECOND} requests/s for {} s, 10 seeds, medians (maximum in parentheses)",
            SIMULATED_TIME.as_secs()
        ),
        heading: vec![
            "policy",
            "p50 ms",
            "p99 ms",
            "refused %",
            "sendings",
            "endpoints at the end",
        ],
        rows: rows.to_vec(),
        notes: vec![format!(
            "A request takes {} ms on average. From {} to {} s one endpoint is {SLOWDOWN} times as \
             slow, one refuses everything and one is dead. Refused: requests that found no \
             endpoint in {MAX_ATTEMPTS} sendings.",
            MEAN_DURATION.as_millis(),
            FAULTS_START.as_secs(),
            FAULTS_END.as_secs()
        )],
    }
}

fn run(policy: Policy, seed: u64) -> Outcome {
    let initial_state = EndpointState {
        own: 0,
        reported: 0,
        reported_at: Time::default(),
        backoff_until: Time::default(),
        failures: 0,
        excluded: false,
    };
    let mut simulation = Simulation {
        policy,
        rng: Pcg64::seed_from_u64(seed),
        now: Time::from_millis(1_000_000),
        events: BinaryHeap::new(),
        event_count: 0,
        running: [0; ENDPOINTS],
        states: vec![[initial_state; ENDPOINTS]; NODES],
        round_robin: 0,
        requests: Vec::new(),
        latency: Histogram::new(3).expect("three significant digits are valid"),
        refused: 0,
        attempts: 0,
    };
    let began = simulation.now;
    let mut arrival = 0.0;
    while arrival < SIMULATED_TIME.as_secs_f64() {
        arrival += -(1.0 - simulation.rng.random::<f64>()).ln() / REQUESTS_PER_SECOND;
        let node = simulation.rng.random_range(0..NODES);
        simulation.push(began + Duration::from_secs_f64(arrival), Event::Arrive { node });
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(event, began);
    }
    let request_count = simulation.requests.len() as f64;
    let remaining = simulation.states.iter().flatten().filter(|state| !state.excluded).count();
    Outcome {
        p50: simulation.latency.value_at_quantile(0.5) as f64 / 1000.0,
        p99: simulation.latency.value_at_quantile(0.99) as f64 / 1000.0,
        refused_percent: f64::from(simulation.refused) * 100.0 / request_count,
        attempts: simulation.attempts as f64 / request_count,
        in_use: remaining as f64 / NODES as f64,
    }
}

impl Simulation {
    fn push(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event, began: Time) {
        match event {
            Event::Arrive { node } => {
                let request = Request { node, arrived: self.now, tried: Vec::new(), attempts: 0 };
                self.requests.push(request);
                self.send(self.requests.len() - 1, began);
            }
            Event::Retry { request } => self.send(request, began),
            Event::Done { request, endpoint } => {
                self.running[endpoint] -= 1;
                let Request { node, arrived, .. } = self.requests[request];
                let state = &mut self.states[node][endpoint];
                state.own -= 1;
                state.failures = 0;
                state.backoff_until = Time::default();
                (state.reported, state.reported_at) = (self.running[endpoint], self.now);
                let _ = self.latency.record(self.now.since(arrived).as_micros() as u64);
            }
        }
    }

    /// Sends a request to the endpoint that the policy chooses, and schedules the result.
    fn send(&mut self, number: usize, began: Time) {
        let request = self.requests[number].clone();
        if request.attempts == MAX_ATTEMPTS {
            self.refused += 1;
            return;
        }
        let Some(endpoint) = self.choose(&request) else {
            self.refused += 1;
            return;
        };
        self.attempts += 1;
        self.requests[number].attempts += 1;
        if self.policy != Policy::RetryInPlace {
            self.requests[number].tried.push(endpoint);
        }
        let elapsed = self.now.since(began);
        let faulty = FAULTS_START <= elapsed && elapsed < FAULTS_END;
        let state = &mut self.states[request.node][endpoint];
        if faulty && endpoint == 2 {
            state.failures += 1;
            state.backoff_until = self.now + route::backoff(state.failures);
            state.excluded |= self.policy == Policy::ExcludeForever;
            return self
                .push(self.now + Duration::from_millis(1), Event::Retry { request: number });
        }
        if (faulty && endpoint == 1) || SLOTS <= self.running[endpoint] {
            (state.reported, state.reported_at) = (SLOTS, self.now);
            state.excluded |= self.policy == Policy::ExcludeForever;
            let wait = if self.policy == Policy::RetryInPlace { 10 } else { 1 };
            let retry = Event::Retry { request: number };
            if self.policy == Policy::RetryInPlace {
                self.requests[number].tried = vec![endpoint];
            }
            return self.push(self.now + Duration::from_millis(wait), retry);
        }
        state.own += 1;
        self.running[endpoint] += 1;
        let factor = if faulty && endpoint == 0 { f64::from(SLOWDOWN) } else { 1.0 };
        let took = MEAN_DURATION.mul_f64(factor * -(1.0 - self.rng.random::<f64>()).ln());
        self.push(self.now + took, Event::Done { request: number, endpoint });
    }

    fn choose(&mut self, request: &Request) -> Option<usize> {
        let states = self.states[request.node];
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                Some(self.round_robin % ENDPOINTS)
            }
            // After a refusal, the same endpoint is chosen again.
            Policy::RetryInPlace if !request.tried.is_empty() => request.tried.first().copied(),
            _ => {
                let load = |state: &EndpointState| Load {
                    own: state.own,
                    reported: state.reported,
                    reported_at: state.reported_at,
                    slots: SLOTS,
                    share: if state.excluded { 0 } else { SLOTS },
                    backoff_until: state.backoff_until,
                };
                let loads: Vec<Load> = states.iter().map(load).collect();
                let rng = &mut self.rng;
                route::choose(&loads, &request.tried, self.now, &mut |n| rng.random_range(0..n))
            }
        }
    }
}
