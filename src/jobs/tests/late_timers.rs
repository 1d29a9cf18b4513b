//! Tests of how long an owner waits for workers whose timers fire late.

use super::{Harness, one_worker, report, step, stored};
use crate::jobs::{
    event::Event,
    owner::{GRACE_PERIOD_MS, LEASE_MS},
    roster::SilentWorkers,
    worker::WORKER_LEASE_MS,
};

/// The greatest delay of a timer of 20 ms in a process beside 24 busy ones on 12 cores, plus that
/// interval, in milliseconds. `tests/lateness.rs` reports such delays: 157 and 104 in two runs of
/// one minute.
const TIMER_MS: u64 = 157 + 20;

/// How long the last lease lasts on a clock that is 2 % slow, in milliseconds.
const SLOW_LEASE_MS: u64 = WORKER_LEASE_MS * 100 / 98 + 1;

/// Advances time until a task is started at a worker that answers; returns that time.
fn next_start(harness: &mut Harness, answers: &str) -> u64 {
    for _ in 0..2_000 {
        harness.now += 10;
        harness.poll(answers, vec![], vec![]);
        harness.work();
        if !harness.take_starts().is_empty() {
            return harness.now;
        }
    }
    panic!("nothing is started in 20 s");
}

/// Guards against two runs of one task on a busy machine. A worker ended its expired runs 157 ms
/// late, since its timer fired late, and the owner that could not reach it allowed for only 150 ms.
#[test]
fn runs_of_a_silent_worker_expire_only_after_its_late_timer() {
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    // A lease that an earlier owner may have granted ends no later than one that this owner grants.
    harness.now += 500;
    harness.poll("w1", vec![], vec![]);
    harness.poll("w2", vec![], vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    let ordered_at = harness.now;
    harness.poll_unanswered(worker.worker.as_str());
    let other = if worker.worker.as_str() == "w1" { "w2" } else { "w1" };
    let start = next_start(&mut harness, other);
    assert!(
        ordered_at + SLOW_LEASE_MS + TIMER_MS <= start,
        "{} ms after the order",
        start - ordered_at
    );
}

/// As above, for a worker that got its last order from the previous owner.
#[test]
fn runs_of_an_unreached_worker_expire_only_after_its_late_timer() {
    let mut harness = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], SilentWorkers::default());
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w2", vec![]);
    let start = next_start(&mut harness, "w2");
    // The previous owner estimated the worker's clock by an answer that was up to 1.25 s old.
    let clock_ms = 25;
    let least = LEASE_MS + GRACE_PERIOD_MS + SLOW_LEASE_MS + clock_ms + TIMER_MS;
    assert!(least <= start, "{start} ms after the change of owners, not {least}");
}
