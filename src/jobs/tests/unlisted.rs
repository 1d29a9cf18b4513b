//! Workers whose entry disappears while they still answer: some leave without notice and continue
//! to serve for a while, and entries that lapsed during a store outage are back within two seconds
//! after it.

use super::{Harness, one_worker, report, step, stored, worker_id};
use crate::{jobs::event::Event, model::job::Step};

/// Two workers that answer, of which the first is no longer listed.
fn one_of_two_is_unlisted() -> Harness {
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Unlisted(worker_id("w1").worker));
    harness
}

fn start(harness: &mut Harness, number: u64) -> Vec<String> {
    harness.deliver(Event::Job(stored(number, vec![step(1)], 100 + number)));
    harness.work();
    harness.take_starts().into_iter().map(|(_, _, worker)| worker.to_string()).collect()
}

/// Tasks were interrupted after they had been started on workers that still answered, but whose
/// entries had been missing for seconds.
#[test]
fn a_worker_whose_entry_stays_missing_gets_no_new_work() {
    let mut harness = one_worker();
    harness.deliver(Event::Unlisted(worker_id("w1").worker));
    for _ in 0..21 {
        harness.now += 100;
        harness.poll("w1", vec![], vec![]);
        harness.work();
    }
    assert_eq!(start(&mut harness, 1), [] as [&str; 0]);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.work();
    assert_eq!(harness.take_starts().len(), 1, "its entry is back");
}

#[test]
fn a_worker_whose_entry_has_just_disappeared_gets_work_only_if_no_other_has_resources() {
    let mut harness = one_of_two_is_unlisted();
    for number in 1..=4 {
        assert_eq!(start(&mut harness, number), ["w2"], "it may be leaving");
    }
    assert_eq!(start(&mut harness, 5), ["w1"], "its entry may be back soon");
}

/// The worker may continue to serve, so a long-running task must not be stopped early.
#[test]
fn runs_continue_at_a_worker_whose_entry_stays_missing() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![Step { long_running: true, ..step(1) }], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::Unlisted(worker_id("w1").worker));
    for _ in 0..30 {
        harness.now += 100;
        harness.poll("w1", vec![super::present(task, run, 100)], vec![]);
        harness.work();
    }
    assert_eq!(harness.take_stops(), vec![]);
}
