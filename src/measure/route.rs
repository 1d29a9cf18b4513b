//! The choice of endpoints and the scope of refusals, against simple baselines: requests of several
//! nodes arrive at drawn times at endpoints with slots, one of which is slow for a while, one
//! refuses for a while, and one dies for a while. It drives the decision itself with an event loop.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::{
    decide::route::{self, Load},
    measure::{Figures, sample},
    model::unit::Time,
};

const NODES: usize = 6;
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;
/// How long a request typically runs.
const WORK: Duration = Duration::from_millis(20);
/// Requests a second, over all nodes: half of what the endpoints can do.
const RATE: f64 = 2000.0;
const SPAN: Duration = Duration::from_secs(30);
/// The endpoint 0 is ten times as slow, 1 refuses, and 2 is dead, from a third to a half of the
/// time.
const BAD_FROM: Duration = Duration::from_secs(10);
const BAD_TO: Duration = Duration::from_secs(15);
const SLOWER: u32 = 10;
/// Times that a request is sent at the most.
const ATTEMPTS: usize = 4;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// How endpoints are chosen, and what a refusal does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The decision of this program.
    Ours,
    /// One after the other; a refusal moves the request to the next.
    RoundRobin,
    /// Ours, but an endpoint that refused or failed is never asked again by that node.
    OffForGood,
    /// Ours, but a request that was refused asks the same endpoint again.
    InPlace,
}

const POLICIES: [(&str, Policy); 4] = [
    ("ours", Policy::Ours),
    ("round robin", Policy::RoundRobin),
    ("refusal switches off for good", Policy::OffForGood),
    ("refusal retried in place", Policy::InPlace),
];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request comes to a node.
    Arrive { node: usize },
    /// A request that was refused is sent again.
    Again { request: usize },
    /// A request has run.
    Done { request: usize, at: usize },
}

#[derive(Debug, Clone)]
struct Request {
    node: usize,
    arrived: Time,
    tried: Vec<usize>,
    attempts: usize,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    own: u32,
    said: u32,
    said_at: Time,
    rest_until: Time,
    failures: u32,
    off: bool,
}

struct World {
    policy: Policy,
    rng: Pcg64,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    running: [u32; ENDPOINTS],
    known: Vec<[Known; ENDPOINTS]>,
    next: usize,
    requests: Vec<Request>,
    latency: Histogram<u64>,
    refused: u32,
    attempts: u64,
}

/// What one run came to.
struct Outcome {
    p50: f64,
    p99: f64,
    refused_percent: f64,
    attempts: f64,
    /// Endpoints that are in use at the end, of a node on average.
    in_use: f64,
}

/// Runs every policy over the same arrivals.
pub(crate) fn measure() -> Figures {
    let rows = POLICIES.map(|(name, policy)| {
        let runs: Vec<Outcome> = SEEDS.map(|seed| run(policy, seed)).collect();
        let of = |figure: fn(&Outcome) -> f64, digits: usize| {
            let numbers: Vec<f64> = runs.iter().map(figure).collect();
            let (median, greatest) = (sample::median(&numbers), sample::greatest(&numbers));
            format!("{median:.digits$} ({greatest:.digits$})")
        };
        vec![
            name.to_owned(),
            of(|run| run.p50, 1),
            of(|run| run.p99, 1),
            of(|run| run.refused_percent, 2),
            of(|run| run.attempts, 3),
            of(|run| run.in_use, 1),
        ]
    });
    Figures {
        title: format!(
            "Choice of {ENDPOINTS} endpoints with {SLOTS} slots by {NODES} nodes, {RATE} \
             requests/s for {} s, 10 seeds, medians (greatest in brackets)",
            SPAN.as_secs()
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
            "A request runs {} ms on average. From {} to {} s one endpoint is {SLOWER} times as \
             slow, one refuses everything and one is dead. Refused: requests that found no \
             endpoint in {ATTEMPTS} sendings.",
            WORK.as_millis(),
            BAD_FROM.as_secs(),
            BAD_TO.as_secs()
        )],
    }
}

fn run(policy: Policy, seed: u64) -> Outcome {
    let unknown = Known {
        own: 0,
        said: 0,
        said_at: Time::default(),
        rest_until: Time::default(),
        failures: 0,
        off: false,
    };
    let mut world = World {
        policy,
        rng: Pcg64::seed_from_u64(seed),
        now: Time::from_millis(1_000_000),
        events: BinaryHeap::new(),
        count: 0,
        running: [0; ENDPOINTS],
        known: vec![[unknown; ENDPOINTS]; NODES],
        next: 0,
        requests: Vec::new(),
        latency: Histogram::new(3).expect("three digits are allowed"),
        refused: 0,
        attempts: 0,
    };
    let began = world.now;
    let mut at = 0.0;
    while at < SPAN.as_secs_f64() {
        at += -(1.0 - world.rng.random::<f64>()).ln() / RATE;
        let node = world.rng.random_range(0..NODES);
        world.push(began + Duration::from_secs_f64(at), Event::Arrive { node });
    }
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        world.now = now;
        world.happen(event, began);
    }
    let asked = world.requests.len() as f64;
    let open = world.known.iter().flatten().filter(|known| !known.off).count();
    Outcome {
        p50: world.latency.value_at_quantile(0.5) as f64 / 1000.0,
        p99: world.latency.value_at_quantile(0.99) as f64 / 1000.0,
        refused_percent: f64::from(world.refused) * 100.0 / asked,
        attempts: world.attempts as f64 / asked,
        in_use: open as f64 / NODES as f64,
    }
}

impl World {
    fn push(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn happen(&mut self, event: Event, began: Time) {
        match event {
            Event::Arrive { node } => {
                let request = Request { node, arrived: self.now, tried: Vec::new(), attempts: 0 };
                self.requests.push(request);
                self.send(self.requests.len() - 1, began);
            }
            Event::Again { request } => self.send(request, began),
            Event::Done { request, at } => {
                self.running[at] -= 1;
                let Request { node, arrived, .. } = self.requests[request];
                let known = &mut self.known[node][at];
                known.own -= 1;
                known.failures = 0;
                known.rest_until = Time::default();
                (known.said, known.said_at) = (self.running[at], self.now);
                let _ = self.latency.record(self.now.since(arrived).as_micros() as u64);
            }
        }
    }

    /// Sends a request to the endpoint that the policy chooses, and has follow what then happens.
    fn send(&mut self, number: usize, began: Time) {
        let request = self.requests[number].clone();
        if request.attempts == ATTEMPTS {
            self.refused += 1;
            return;
        }
        let Some(at) = self.choose(&request) else {
            self.refused += 1;
            return;
        };
        self.attempts += 1;
        self.requests[number].attempts += 1;
        if self.policy != Policy::InPlace {
            self.requests[number].tried.push(at);
        }
        let since = self.now.since(began);
        let bad = BAD_FROM <= since && since < BAD_TO;
        let known = &mut self.known[request.node][at];
        if bad && at == 2 {
            known.failures += 1;
            known.rest_until = self.now + route::backoff(known.failures);
            known.off |= self.policy == Policy::OffForGood;
            return self
                .push(self.now + Duration::from_millis(1), Event::Again { request: number });
        }
        if (bad && at == 1) || SLOTS <= self.running[at] {
            (known.said, known.said_at) = (SLOTS, self.now);
            known.off |= self.policy == Policy::OffForGood;
            let wait = if self.policy == Policy::InPlace { 10 } else { 1 };
            let again = Event::Again { request: number };
            if self.policy == Policy::InPlace {
                self.requests[number].tried = vec![at];
            }
            return self.push(self.now + Duration::from_millis(wait), again);
        }
        known.own += 1;
        self.running[at] += 1;
        let slow = if bad && at == 0 { f64::from(SLOWER) } else { 1.0 };
        let took = WORK.mul_f64(slow * -(1.0 - self.rng.random::<f64>()).ln());
        self.push(self.now + took, Event::Done { request: number, at });
    }

    fn choose(&mut self, request: &Request) -> Option<usize> {
        let known = self.known[request.node];
        match self.policy {
            Policy::RoundRobin => {
                self.next += 1;
                Some(self.next % ENDPOINTS)
            }
            // The one that refused it, once it was refused.
            Policy::InPlace if !request.tried.is_empty() => request.tried.first().copied(),
            _ => {
                let load = |known: &Known| Load {
                    own: known.own,
                    reported: known.said,
                    reported_at: known.said_at,
                    slots: SLOTS,
                    share: if known.off { 0 } else { SLOTS },
                    backoff_until: known.rest_until,
                };
                let loads: Vec<Load> = known.iter().map(load).collect();
                let rng = &mut self.rng;
                route::choose(&loads, &request.tried, self.now, &mut |n| rng.random_range(0..n))
            }
        }
    }
}
