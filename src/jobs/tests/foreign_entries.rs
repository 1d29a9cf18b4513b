//! Tests of wrong worker entries in the store, which other writers may have made. A worker counts
//! as terminated only if another incarnation answers at an address where the worker itself has
//! answered.

use super::{Harness, done, id, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::SilentWorkers, worker::WORKER_LEASE_MS},
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{OrderResult, Refusal, WorkerReport},
    },
};

/// Two workers, of which the first runs a task.
fn two_workers() -> (Harness, TaskId, u32) {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    assert_eq!(harness.take_starts(), vec![]);
    (harness, task, run)
}

fn other_incarnation(harness: &mut Harness, name: &str) {
    let (worker, sent): (Incarnation, _) = (worker_id(name), Steady::from_millis(harness.now));
    let end = OrderResult::Refused { why: Refusal::OtherLife, clock_ms: None };
    harness.deliver(Event::Polled { worker, sent, end });
}

/// Another writer put a foreign address into the entry of a worker that ran a task. The owner
/// called that address, got the answer of another incarnation, considered the worker terminated,
/// and started the task elsewhere while it was still running at the old address.
#[test]
fn another_incarnation_at_a_foreign_address_does_not_end_the_worker() {
    let (mut harness, task, run) = two_workers();
    harness.poll("w1", vec![present(task, run, 10)], vec![]);
    let mut foreign = report("w1", "h1");
    foreign.address = "h3:80".to_owned();
    harness.deliver(Event::Worker(foreign));
    harness.now += 200;
    harness.work();
    let calls = std::mem::take(&mut harness.effects);
    let called_elsewhere = calls.iter().any(|effect| format!("{effect:?}").contains("h3:80"));
    if called_elsewhere {
        other_incarnation(&mut harness, "w1");
    }
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the task may still run at w1");
}

/// The same with the address of another worker of the pool: when that worker answered, the first
/// one was considered terminated.
#[test]
fn a_worker_listed_with_the_address_of_another_is_not_superseded_by_it() {
    let (mut harness, task, run) = two_workers();
    let mut foreign = report("w1", "h1");
    foreign.address = "h2:80".to_owned();
    harness.deliver(Event::Worker(foreign));
    harness.now += 200;
    harness.poll("w2", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the task may still run at w1");
    harness.poll("w1", vec![present(task, run, 20)], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// A worker's first entry names the host of another worker, which runs a task. The other worker was
/// considered terminated as soon as the first one answered at its own address.
#[test]
fn a_worker_whose_host_is_listed_for_another_is_not_superseded_by_it() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    let mut foreign = report("w2", "h1");
    foreign.address = "h2:80".to_owned();
    harness.deliver(Event::Worker(foreign));
    harness.connect("w2", vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the task runs at w1");
}

/// A worker whose first entry is foreign is used once its own entry is listed.
#[test]
fn a_worker_that_never_answered_is_used_once_its_entry_is_correct() {
    let mut harness = Harness::new(0);
    let mut foreign = report("w1", "h1");
    foreign.address = "h3:80".to_owned();
    harness.deliver(Event::Worker(foreign));
    harness.work();
    other_incarnation(&mut harness, "w1");
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.now += 200;
    harness.connect("w1", vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// If its host now runs another worker, that one answers at the address where the first has
/// answered.
#[test]
fn another_incarnation_at_the_confirmed_address_of_a_worker_ends_it() {
    let (mut harness, task, run) = two_workers();
    harness.now += 200;
    other_incarnation(&mut harness, "w1");
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts, vec![(task, run + 1, worker_id("w2"))]);
    assert_eq!(task.of.job, id(1));
}

/// A worker whose entry cannot be read gets no new work; its runs are still polled, and their ends
/// are counted.
#[test]
fn a_worker_with_an_unreadable_entry_gets_no_work_and_keeps_its_runs() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::InvalidEntry(worker_id("w1").worker));
    harness.deliver(Event::Job(stored(2, vec![step(1)], 111)));
    for _ in 0..40 {
        harness.now += 400;
        harness.poll("w1", vec![present(task, run, 10)], vec![]);
        harness.work();
        assert_eq!(harness.take_starts(), vec![], "neither the new nor the running task may start");
    }
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    assert_eq!(harness.owner.take_finished(9), vec![id(1)], "the end is counted");
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!((starts.len(), starts[0].0.of.job), (1, id(2)), "the worker is used again");
}

/// A worker with an invalid entry that stops answering is given up only once all its runs have
/// lapsed.
#[test]
fn a_worker_with_an_unreadable_entry_is_given_up_only_after_its_runs_have_lapsed() {
    let (mut harness, task, run) = two_workers();
    harness.poll("w1", vec![present(task, run, 10)], vec![]);
    harness.deliver(Event::InvalidEntry(worker_id("w1").worker));
    harness.work();
    harness.poll_unanswered("w1");
    let silent_since = harness.now;
    while harness.now < silent_since + WORKER_LEASE_MS - 200 {
        harness.now += 200;
        harness.poll("w2", vec![], vec![]);
        harness.work();
        assert_eq!(harness.take_starts(), vec![], "after {} ms", harness.now - silent_since);
        harness.poll_unanswered("w1");
    }
    harness.now += 1_000;
    harness.poll("w2", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![(task, run + 1, worker_id("w2"))]);
}

/// A later owner finds the worker in the roster, but its entry cannot be read.
#[test]
fn a_roster_worker_with_an_unreadable_entry_is_polled_and_gets_no_work() {
    let mut harness = Harness::inheriting(&[("w1", "h1")], SilentWorkers::default());
    harness.deliver(Event::InvalidEntry(worker_id("w1").worker));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    harness.connect("w1", vec![present(task, 1, 30)]);
    harness.deliver(Event::Job(stored(2, vec![step(1)], 51)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.poll("w1", vec![], vec![done(1, task, 1)]);
    assert_eq!(harness.persist_progress().len(), 1, "the end of the run is counted");
}

/// An entry that names another pool is reported as that of a worker elsewhere.
#[test]
fn a_worker_whose_entry_names_another_pool_gets_no_work() {
    let mut harness = one_worker();
    let mut foreign = report("w1", "h1");
    foreign.pool = "other".parse().unwrap();
    harness.deliver(Event::OtherPool(foreign));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// A later owner knows only that something may run at a worker: neither its roster record nor its
/// entry can be read. Tasks of earlier jobs wait, as for a worker that cannot be reached.
#[test]
fn tasks_of_earlier_jobs_wait_for_a_worker_known_only_by_name() {
    let mut harness = Harness::new(1);
    let now = harness.at();
    let unknown = WorkerReport::placeholder(&worker_id("w1"), "pool").unwrap();
    harness.owner.inherit(vec![unknown], &SilentWorkers::default(), now, &mut harness.effects);
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w2", vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.now += 10;
    harness.connect("w1", vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1, "the worker's own entry names its address");
}
