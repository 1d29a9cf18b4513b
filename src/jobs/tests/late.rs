//! Tests of how long an owner waits for workers whose timers fire late.

use super::{Bench, one_worker, report, step, stored};
use crate::jobs::{
    event::Event,
    owner::{LEASE_MS, OVERTIME_MS},
    roster::Away,
    worker::HOLD_MS,
};

/// The latest that a timer of 20 ms fired in a process beside 24 busy ones, in milliseconds, by
/// tests/lateness.rs in one minute on 12 cores (157, in another minute 104); plus that tick.
const TIMER_MS: u64 = 157 + 20;

/// How long the last lease lasts on a clock that is 2 % slow, in milliseconds.
const SLOW_HOLD_MS: u64 = HOLD_MS * 100 / 98 + 1;

/// Advances time until a task is started at a worker that answers; returns that time.
fn next_start(bench: &mut Bench, answers: &str) -> u64 {
    for _ in 0..2_000 {
        bench.now += 10;
        bench.look(answers, vec![], vec![]);
        bench.work();
        if !bench.starts().is_empty() {
            return bench.now;
        }
    }
    panic!("nothing is started in 20 s");
}

/// Guards against two runs of one task on a busy machine. A worker ended its expired runs 157 ms
/// late, since its timer fired late, and the owner that could not reach it allowed for only 150 ms.
#[test]
fn what_a_silent_worker_runs_is_given_up_only_once_its_timer_has_fired() {
    let mut bench = one_worker();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    // A lease that an earlier owner may have granted ends no later than one that this owner grants.
    bench.now += 500;
    bench.look("w1", vec![], vec![]);
    bench.look("w2", vec![], vec![]);
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    let given = bench.now;
    bench.miss(worker.worker.as_str());
    let other = if worker.worker.as_str() == "w1" { "w2" } else { "w1" };
    let start = next_start(&mut bench, other);
    assert!(given + SLOW_HOLD_MS + TIMER_MS <= start, "{} ms after the order", start - given);
}

/// As above, for a worker that got its last order from the previous owner.
#[test]
fn a_worker_that_was_not_reached_is_quiet_only_once_its_timer_has_fired() {
    let mut bench = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], Away::default());
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.touch("w2", vec![]);
    let start = next_start(&mut bench, "w2");
    // The previous owner estimated the worker's clock by an answer that was up to 1.25 s old.
    let clock_ms = 25;
    let least = LEASE_MS + OVERTIME_MS + SLOW_HOLD_MS + clock_ms + TIMER_MS;
    assert!(least <= start, "{start} ms after the change of owners, not {least}");
}
