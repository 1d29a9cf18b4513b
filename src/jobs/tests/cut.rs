//! Tests of lists of ends that are cut short.
//!
//!
//! They guard against two runs of one task. A worker lists 500 ends at once and repeats them until
//! they are acknowledged, which requires that they are durable. While the store accepts no
//! progress, more than 500 can accumulate. A run whose end was not among the first 500 was listed
//! neither as running nor as ended. Its owner assumed that it was gone and started the task
//! elsewhere; a later owner assumed that the worker had nothing else.

use std::collections::BTreeMap;

use super::{Bench, done, id, one_worker, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::Away},
    model::{
        job::{JobId, TaskId},
        unit::Revision,
        worker::Ended,
    },
};

/// The most ends that a worker lists at once, by the platform's contract.
const LISTED: u64 = 500;

/// Longer than any run of an earlier owner can go on unseen, in milliseconds.
const LONG_MS: u64 = 20_000;

/// Tasks that fit on one worker.
const ROOM: u32 = 4;

fn task(job: JobId, index: u64) -> TaskId {
    format!("{job}.0.0.{index}").parse().unwrap()
}

/// The ends of the first tasks of a job, as a worker lists them: no more than it lists at once.
fn ends(job: JobId, count: u64, run: u32) -> Vec<Ended> {
    (1..=count.min(LISTED)).map(|number| done(number, task(job, number - 1), run)).collect()
}

/// An owner whose worker has ended up to a batch of tasks more than it lists at once, none of them
/// acknowledged; with the tasks of the last batch.
fn unsaved_ends() -> (Bench, Vec<TaskId>) {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(LISTED as u32 + ROOM)], 110)));
    let mut last = Vec::new();
    for ended in (0..=LISTED).step_by(ROOM as usize) {
        bench.work();
        let starts = bench.starts();
        assert_eq!(starts.len(), ROOM as usize, "after {ended} ends");
        for (task, run, worker) in &starts {
            bench.started(*task, *run, worker);
        }
        last = starts.into_iter().map(|(task, ..)| task).collect();
        bench.now += 20;
        bench.look("w1", vec![], ends(id(1), ended + u64::from(ROOM), 1));
    }
    (bench, last)
}

#[test]
fn a_run_whose_end_may_not_be_listed_yet_is_not_started_again() {
    let (mut bench, last) = unsaved_ends();
    bench.tell(Event::Worker(super::report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "the runs have ended, and their ends follow");
    bench.save();
    bench.now += 20;
    let rest = (LISTED + 1..).zip(&last).map(|(number, task)| done(number, *task, 1)).collect();
    bench.look("w1", vec![], rest);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    let saved = bench.save();
    assert_eq!(saved[0].1.state, crate::model::job::JobState::Succeeded);
}

/// A later owner that finds the first 500 ends of another job, and behind them the end of a task
/// that it has no record of.
fn later_owner() -> Bench {
    let mut bench = Bench::inheriting(&[("w1", "h1")], Away::default());
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.tell(Event::Job(stored(2, vec![step(LISTED as u32)], 51)));
    bench.work();
    bench.look("w1", vec![], ends(id(2), LISTED, 1));
    bench.keep_roster();
    bench
}

/// The end of the task of the first job, which the worker lists once those before are acknowledged.
fn hidden_end() -> Ended {
    done(LISTED + 1, task(id(1), 0), 1)
}

#[test]
fn a_later_owner_starts_nothing_whose_end_may_not_be_listed_yet() {
    let mut bench = later_owner();
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += LONG_MS;
    bench.look("w1", vec![], ends(id(2), LISTED, 1));
    bench.work();
    assert_eq!(bench.starts(), vec![], "an end does not lapse");
    bench.save();
    bench.look("w1", vec![], vec![hidden_end()]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

/// A host that is taken away with an uncounted end loses it.
#[test]
fn a_host_is_not_empty_while_ends_may_not_be_listed_yet() {
    let mut bench = later_owner();
    bench.owner.set_emptying(BTreeMap::from([("h1".parse().unwrap(), Revision(5))]));
    bench.save();
    assert_eq!(bench.owner.emptied(), vec![], "all that are known are durable, but not all are");
    bench.look("w1", vec![], vec![hidden_end()]);
    bench.save();
    let emptied = bench.owner.emptied();
    assert_eq!(emptied.len(), 1);
    assert_eq!(emptied[0].worker, worker_id("w1"));
}
