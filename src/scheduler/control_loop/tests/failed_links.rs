//! Who makes an owner's calls while the links to some of its delegates have failed.

use std::{collections::BTreeSet, net::SocketAddr};

use serde_json::json;
use tokio::sync::oneshot;

use super::{Op, Simulation};
use crate::{
    jobs::{
        event::{Effect, Event},
        reach::PathEnd,
    },
    model::{id::Incarnation, unit::Millicores, worker::WorkerReport},
    scheduler::{
        control_loop::{Input, json as bytes, orders::DELEGATES_INTERVAL_MS},
        dispatch::link::Outgoing,
        keys,
        view::NodeRecord,
    },
    tests::stopped_clock::StoppedClock,
};

const POOL: &str = "pool-work";

/// The workers of a large pool, with a delegate for each twelve.
const WORKERS: usize = 600;

/// Other nodes. Nothing listens at their addresses.
const NODES: usize = 100;

/// Delegates that fail at once.
const FAILED: usize = 10;

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, number as u8], 1))
}

fn large_pool() -> Simulation {
    let mut simulation = Simulation::with_settings(&json!({ "cpu_cores": 0.5 }));
    for number in 0..NODES {
        let (cpu, peers) = (Millicores(120), Some(address(number)));
        let record = NodeRecord { cpu, peers, secret: None, zone: None };
        simulation.apply_write(keys::node(&node_name(number)), bytes(&record));
    }
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    for number in 0..WORKERS {
        let entry = json!({ "service": "work", "address": "127.0.0.1:1", "zone": "hall-b",
            "state": "ready", "machine": format!("h{number}"),
            "capacity": { "cpu": 4_000, "mem_mb": 8_000 }, "labels": ["a", "r"] });
        simulation.apply_write(format!("servers/w{number}"), bytes(&entry));
    }
    let reports: Vec<WorkerReport> =
        simulation.node.view().workers.values().map(|at| at.value.clone()).collect();
    for (number, report) in reports.into_iter().enumerate() {
        let address = format!("127.0.2.{}:{}", number % 250, 1_000 + number);
        deliver(&mut simulation, Event::Worker(WorkerReport { address, ..report }));
    }
    simulation
}

fn deliver(simulation: &mut Simulation, event: Event) {
    let control_loop = &mut simulation.control_loop;
    let token = control_loop.owned[POOL].owner.token;
    let (name, event) = (POOL.to_owned(), Box::new(event));
    control_loop.handle(Input::OwnerEvent {
        name,
        token,
        event,
        queued: std::time::Instant::now(),
    });
}

/// The delegate of each worker; `None` if the owner's node calls it.
fn delegates(simulation: &Simulation) -> Vec<Option<String>> {
    let owned = &simulation.control_loop.owned[POOL];
    let workers: Vec<Incarnation> = owned.owner.worker_ids();
    workers.iter().map(|worker| owned.delegates.of(worker).map(str::to_owned)).collect()
}

fn choose(simulation: &mut Simulation, after_ms: u64) {
    let now = simulation.node.now().steady.after(after_ms);
    simulation.control_loop.choose_delegates(now);
}

/// Sends a poll to a node at whose address nothing listens.
async fn fail_link(simulation: &mut Simulation, at: SocketAddr) {
    let control_loop = &mut simulation.control_loop;
    let worker = control_loop.owned[POOL].owner.worker_ids().remove(0);
    let to = control_loop.owned[POOL].owner.addressee(&worker).unwrap();
    let effect = Effect::Poll { to, acknowledged: 0, until_ms: None, wait: Default::default() };
    let (ended, end) = oneshot::channel();
    let on_result = Box::new(move |_, end: PathEnd| ended.send(end).unwrap());
    let sent = simulation.node.now().steady;
    let order = Outgoing { effect, sent, may_send: Box::new(|| true), on_result };
    simulation.control_loop.links.send(at, vec![order]);
    assert_eq!(end.await, Ok(PathEnd::LinkFailed));
    while simulation.control_loop.links.is_open(at) {
        tokio::task::yield_now().await;
    }
}

/// Guards against an owner that makes the calls of all delegates that fail, for as long as the store
/// lists them: ten of them have 120 workers, which take half of its node's processor.
#[tokio::test]
async fn the_workers_of_delegates_whose_links_failed_are_called_by_others() {
    let _clock = StoppedClock::new();
    let mut simulation = large_pool();
    choose(&mut simulation, DELEGATES_INTERVAL_MS);
    let before: BTreeSet<String> = delegates(&simulation).into_iter().flatten().collect();
    assert_eq!(before.len(), WORKERS / 12);
    let failed: Vec<usize> =
        (0..NODES).filter(|number| before.contains(&node_name(*number))).take(FAILED).collect();
    for number in &failed {
        fail_link(&mut simulation, address(*number)).await;
    }
    for round in 2..5 {
        choose(&mut simulation, round * DELEGATES_INTERVAL_MS);
        let after = delegates(&simulation);
        assert!(after.iter().all(Option::is_some), "a worker has no delegate");
        let lost: Vec<String> = failed.iter().map(|number| node_name(*number)).collect();
        let direct = after.iter().flatten().filter(|node| lost.contains(node)).count();
        assert_eq!(direct, 0, "workers of {FAILED} delegates that cannot be reached");
    }
}
