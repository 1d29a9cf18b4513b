//! Tests of a node with a stale view, with explicit times.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::runtime::{Builder, Runtime};

use super::{Op, Simulation};
use crate::{
    jobs::owner::LEASE_MS,
    model::{
        queue::{PoolRules, QueueConfig},
        unit::{Now, Revision},
    },
    platform::records::{OPERATOR_PREFIX, WORKER_PREFIX},
    scheduler::{
        control_loop::{Input, OverwriteResult, json as bytes},
        keys,
        view::age::{MAX_RECORDS_AGE_MS, MAX_REPORT_AGE_MS},
    },
};

const POOL: &str = "pool-work";

/// A node whose lease is always renewed, and the current time.
struct Harness {
    simulation: Simulation,
    now: Now,
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

impl Harness {
    /// A node that owns nothing.
    fn start() -> Harness {
        let mut simulation = Simulation::new();
        simulation.apply(Op::RenewLease);
        let now = simulation.node.now();
        let mut harness = Harness { simulation, now };
        harness.list_node("one");
        harness
    }

    /// Lists a node that may own work.
    fn list_node(&mut self, node: &str) {
        self.simulation.apply_write(keys::node(node), bytes(&json!({ "cpu": 500 })));
    }

    fn configure(&self, config: QueueConfig) {
        self.simulation.node.view().config = Some(Arc::new(config));
    }

    /// The node acquires the fleet's work, or a pool.
    fn acquire(&mut self, fleet: bool) {
        for op in [Op::Acquire { fleet }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick] {
            self.simulation.apply(op);
        }
        assert!(self.owns(fleet));
    }

    fn owns(&self, fleet: bool) -> bool {
        let control_loop = &self.simulation.control_loop;
        if fleet { control_loop.fleet.is_some() } else { control_loop.owned.contains_key(POOL) }
    }

    /// The watches are answered: nothing has changed until now.
    fn answer_watches(&self) {
        self.simulation.answer_watches(self.now.steady);
    }

    fn advance(&mut self, millis: u64) {
        let now = self.now.steady.after(millis);
        self.now.steady = now;
        let lease = self.simulation.lease.last().unwrap();
        self.simulation.lease.note_renewed(lease, now, Duration::from_millis(LEASE_MS), now);
    }
}

/// Hosts were moved according to a demand that was nine seconds old, while queues with waiting jobs
/// got none.
#[test]
fn no_fleet_plan_is_made_from_a_stale_view() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.configure(QueueConfig::default());
    harness.acquire(true);
    // A plan writes a summary to the log, at most once a second.
    let mut plans = |millis: u64, is_answered: bool| {
        harness.advance(millis);
        if is_answered {
            harness.answer_watches();
        }
        let before = harness.simulation.control_loop.next_fleet_summary;
        harness.simulation.control_loop.fleet_tick(harness.now);
        harness.simulation.control_loop.next_fleet_summary != before
    };
    assert!(!plans(1_500, false), "the watches have not answered yet");
    assert!(plans(1_500, true));
    assert!(plans(MAX_RECORDS_AGE_MS, false));
    assert!(!plans(1_500, false));
    assert!(plans(1_500, true));
}

#[test]
fn a_node_with_a_stale_view_and_a_valid_lease_releases_its_work() {
    for fleet in [true, false] {
        let runtime = runtime();
        let _entered = runtime.enter();
        let mut harness = Harness::start();
        harness.acquire(fleet);
        harness.answer_watches();
        harness.simulation.control_loop.release_if_stale(harness.now);
        let mut owns_after = |millis, successor| {
            harness.advance(millis);
            if successor {
                harness.list_node("two");
            }
            harness.simulation.control_loop.release_if_stale(harness.now);
            harness.owns(fleet)
        };
        assert!(owns_after(4_000, true), "it may still catch up");
        assert!(!owns_after(1, true));
    }
}

#[test]
fn a_node_with_a_stale_view_keeps_its_work_if_there_is_no_other_node() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.acquire(true);
    harness.answer_watches();
    harness.simulation.control_loop.release_if_stale(harness.now);
    for _ in 0..5 {
        harness.advance(1_500);
        harness.simulation.control_loop.release_if_stale(harness.now);
    }
    assert!(harness.owns(true));
}

/// When the views of all nodes are stale, work must not move around between them.
#[test]
fn work_acquired_with_a_stale_view_is_not_released() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.list_node("two");
    let early = harness.now.steady;
    harness.simulation.node.clock.simulate_pause(MAX_RECORDS_AGE_MS + 1);
    harness.simulation.apply(Op::RenewLease);
    harness.now = harness.simulation.node.now();
    harness.simulation.answer_watches(early);
    harness.acquire(true);
    for _ in 0..5 {
        harness.advance(1_500);
        harness.simulation.control_loop.release_if_stale(harness.now);
    }
    assert!(harness.owns(true), "its view was never fresh while it owned the fleet");
    harness.answer_watches();
    harness.simulation.control_loop.release_if_stale(harness.now);
    for _ in 0..5 {
        harness.advance(1_500);
        harness.simulation.control_loop.release_if_stale(harness.now);
    }
    assert!(!harness.owns(true));
}

#[test]
fn a_node_with_a_stale_view_acquires_work_after_the_others() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    let mut config = QueueConfig::default();
    config
        .pools
        .insert("work".parse().unwrap(), PoolRules { headroom: false, admission_check: true });
    harness.configure(config);
    for prefix in [OPERATOR_PREFIX, keys::ALL, keys::ROOT, WORKER_PREFIX] {
        harness.simulation.node.view().note_answer(prefix, harness.now.steady);
    }
    let tries_to_acquire = |harness: &mut Harness| {
        harness.simulation.control_loop.acquire(harness.now);
        harness.simulation.control_loop.vacant.values().any(|vacancy| vacancy.acquiring)
    };
    assert!(!tries_to_acquire(&mut harness));
    harness.advance(1_500);
    assert!(!tries_to_acquire(&mut harness), "other nodes come first");
    harness.advance(1_500);
    assert!(tries_to_acquire(&mut harness), "no other node acquired it");
    harness.simulation.control_loop.vacant.clear();
    harness.answer_watches();
    tries_to_acquire(&mut harness);
    harness.advance(600);
    assert!(tries_to_acquire(&mut harness), "its view is fresh again");
}

/// A write that requested a confirmation contained a report, so that an old report looked fresh to
/// the nodes that sum reports.
#[test]
fn an_owner_with_stale_jobs_requests_confirmation_without_a_report() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.answer_watches();
    harness.acquire(false);
    // The lease is renewed too late, and the owner's own watch stays silent.
    harness.advance(2 * MAX_RECORDS_AGE_MS);
    let before = harness.simulation.control_loop.owned[POOL].waiting_report.pending;
    harness.simulation.control_loop.request_confirmation(POOL, harness.now);
    let owned = &harness.simulation.control_loop.owned[POOL];
    assert!(harness.now.steady < owned.next_confirmation, "a confirmation was requested");
    assert_eq!(owned.waiting_report.pending, before);
}

/// Host calls and orders that waited to be sent were still made after the ownership had been
/// released: the next owner had already acquired the work.
#[test]
fn orders_and_host_calls_are_not_sent_after_ownership_is_released() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.acquire(true);
    harness.acquire(false);
    let control_loop = &mut harness.simulation.control_loop;
    let calls = control_loop.fleet.as_ref().unwrap().tenure.clone();
    let orders = control_loop.owned[POOL].tenure.clone();
    assert!(calls.holds(harness.now.steady) && orders.allows_orders(harness.now.steady));
    control_loop.release_ownership(keys::FLEET.to_owned(), harness.now);
    control_loop.release_ownership(POOL.to_owned(), harness.now);
    assert!(!calls.holds(harness.now.steady), "a call to a host");
    assert!(!orders.allows_orders(harness.now.steady), "an order to a worker");
}

/// A report whose counts did not change was repeated so rarely that nodes that sum reports had only
/// one that was too old for half a second of each interval. Their watch waits for up to half a
/// second, and the next watch is sent after a pause of the same length.
#[test]
fn a_report_is_renewed_before_it_is_too_old_on_other_nodes() {
    const WATCH_MS: u64 = 500;
    const PAUSE_MS: u64 = 500;
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut harness = Harness::start();
    harness.answer_watches();
    harness.acquire(false);
    let (mut last_published, mut longest) = (harness.now.steady, 0);
    for _ in 0..100 {
        harness.advance(100);
        let (now, control_loop) = (harness.now, &mut harness.simulation.control_loop);
        let (name, token) = (POOL.to_owned(), control_loop.owned[POOL].owner.token);
        let (sent, revision) = (now.steady, Revision(token));
        control_loop.handle(Input::WatchAnswered { name: name.clone(), token, sent, revision });
        control_loop.publish_report(POOL, now);
        if control_loop.owned[POOL].waiting_report.pending == 0 {
            continue;
        }
        let (counts, sent) = (control_loop.owned[POOL].owner.queued(), now.steady);
        let result = OverwriteResult::Kept(Revision(1));
        control_loop.handle(Input::ReportWritten { name, token, counts, sent, result });
        longest = longest.max(sent.since(last_published));
        last_published = sent;
    }
    assert!(longest + WATCH_MS + PAUSE_MS <= MAX_REPORT_AGE_MS, "renewed after {longest} ms");
}
