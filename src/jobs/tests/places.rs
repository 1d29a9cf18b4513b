//! Tests of what an owner makes of a worker's place: a worker counts as over only if another life
//! answers where it was itself heard. Entries may come from another writer.

use super::{Bench, done, id, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::Away, worker::HOLD_MS},
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{OrderEnd, Refusal, WorkerReport},
    },
};

/// Two workers, the first of which runs a task.
fn two_workers() -> (Bench, TaskId, u32) {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    assert_eq!(bench.starts(), vec![]);
    (bench, task, run)
}

fn other_life(bench: &mut Bench, name: &str) {
    let (worker, sent): (Incarnation, _) = (worker_id(name), Steady::from_millis(bench.now));
    let end = OrderEnd::Refused { why: Refusal::OtherLife, clock_ms: None };
    bench.tell(Event::Looked { worker, sent, end });
}

/// Another writer put a third party's address into the entry of a worker that ran a task. The
/// owner called there, heard that it was another life, took the worker for over, and started its
/// task elsewhere while it ran on at the old address.
#[test]
fn another_life_at_an_address_that_was_never_the_workers_does_not_end_it() {
    let (mut bench, task, run) = two_workers();
    bench.look("w1", vec![present(task, run, 10)], vec![]);
    let mut foreign = report("w1", "h1");
    foreign.address = "h3:80".to_owned();
    bench.tell(Event::Worker(foreign));
    bench.now += 200;
    bench.work();
    let calls = std::mem::take(&mut bench.effects);
    let moved = calls.iter().any(|effect| format!("{effect:?}").contains("h3:80"));
    if moved {
        other_life(&mut bench, "w1");
    }
    bench.work();
    assert_eq!(bench.starts(), vec![], "it may still run at w1");
}

/// The same with the address of another worker of the pool: when that one answered, the first was
/// taken for over.
#[test]
fn a_worker_with_the_address_of_another_in_its_entry_is_not_superseded_by_that_one() {
    let (mut bench, task, run) = two_workers();
    let mut foreign = report("w1", "h1");
    foreign.address = "h2:80".to_owned();
    bench.tell(Event::Worker(foreign));
    bench.now += 200;
    bench.look("w2", vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "it may still run at w1");
    bench.look("w1", vec![present(task, run, 20)], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

/// A later owner heard first of a worker by an entry that named the host of another. That one ran a
/// task, and was taken for over as soon as the first answered at its own address.
#[test]
fn a_worker_whose_host_stands_in_the_entry_of_another_is_not_superseded_by_that_one() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    let mut foreign = report("w2", "h1");
    foreign.address = "h2:80".to_owned();
    bench.tell(Event::Worker(foreign));
    bench.touch("w2", vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "it runs at w1");
}

/// A worker that was told of first by a foreign entry is used once its own is back.
#[test]
fn a_worker_that_was_never_heard_is_used_once_its_entry_is_right() {
    let mut bench = Bench::new(0);
    let mut foreign = report("w1", "h1");
    foreign.address = "h3:80".to_owned();
    bench.tell(Event::Worker(foreign));
    bench.work();
    other_life(&mut bench, "w1");
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.now += 200;
    bench.touch("w1", vec![]);
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// A host that was given to another worker tells so at the address at which the first was heard.
#[test]
fn another_life_at_the_address_of_a_worker_that_was_heard_ends_it() {
    let (mut bench, task, run) = two_workers();
    bench.now += 200;
    other_life(&mut bench, "w1");
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts, vec![(task, run + 1, worker_id("w2"))]);
    assert_eq!(task.of.job, id(1));
}

/// An entry that cannot be read names no worker to use: no new work, and what runs there is still
/// looked at and counted.
#[test]
fn a_worker_whose_entry_cannot_be_read_gets_no_work_and_keeps_what_it_has() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.tell(Event::Barred(worker_id("w1").worker));
    bench.tell(Event::Job(stored(2, vec![step(1)], 111)));
    for _ in 0..40 {
        bench.now += 400;
        bench.look("w1", vec![present(task, run, 10)], vec![]);
        bench.work();
        assert_eq!(bench.starts(), vec![], "neither the new task nor the one that runs");
    }
    bench.look("w1", vec![], vec![done(1, task, run)]);
    bench.save();
    assert_eq!(bench.owner.take_finished(9), vec![id(1)], "its end is counted");
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.work();
    let starts = bench.starts();
    assert_eq!((starts.len(), starts[0].0.of.job), (1, id(2)), "used again");
}

/// A barred worker that falls silent is given up only once all that it held has lapsed.
#[test]
fn a_worker_whose_entry_cannot_be_read_is_given_up_only_once_it_is_over() {
    let (mut bench, task, run) = two_workers();
    bench.look("w1", vec![present(task, run, 10)], vec![]);
    bench.tell(Event::Barred(worker_id("w1").worker));
    bench.work();
    bench.miss("w1");
    let silent_since = bench.now;
    while bench.now < silent_since + HOLD_MS - 200 {
        bench.now += 200;
        bench.look("w2", vec![], vec![]);
        bench.work();
        assert_eq!(bench.starts(), vec![], "after {} ms", bench.now - silent_since);
        bench.miss("w1");
    }
    bench.now += 1_000;
    bench.look("w2", vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![(task, run + 1, worker_id("w2"))]);
}

/// A later owner finds the worker in the roster, and its entry cannot be read.
#[test]
fn a_worker_of_the_roster_whose_entry_cannot_be_read_is_asked_and_gets_no_work() {
    let mut bench = Bench::inheriting(&[("w1", "h1")], Away::default());
    bench.tell(Event::Barred(worker_id("w1").worker));
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    bench.touch("w1", vec![present(task, 1, 30)]);
    bench.tell(Event::Job(stored(2, vec![step(1)], 51)));
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.look("w1", vec![], vec![done(1, task, 1)]);
    assert_eq!(bench.save().len(), 1, "what ran there is counted");
}

/// An entry with the service of another pool comes as one of a worker elsewhere.
#[test]
fn a_worker_whose_entry_names_another_pool_gets_no_work() {
    let mut bench = one_worker();
    let mut foreign = report("w1", "h1");
    foreign.pool = "other".parse().unwrap();
    bench.tell(Event::Elsewhere(foreign));
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// A later owner knows only that something may run at a worker: neither its record in the roster
/// nor its entry can be read. Tasks of earlier jobs wait, as for a worker that is not reached.
#[test]
fn tasks_of_earlier_jobs_wait_for_a_worker_of_which_only_the_name_is_known() {
    let mut bench = Bench::new(1);
    let now = bench.at();
    let unknown = WorkerReport::without_place(&worker_id("w1"), "pool").unwrap();
    bench.owner.inherit(vec![unknown], &Away::default(), now, &mut bench.effects);
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.touch("w2", vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.now += 10;
    bench.touch("w1", vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1, "its own entry tells where it is");
}
