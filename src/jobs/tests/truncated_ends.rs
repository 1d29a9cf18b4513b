//! Tests of lists of ends that are cut short.
//!
//! They guard against two runs of one task. A worker lists 500 ends at once and repeats them until
//! they are acknowledged, which requires that they are durable. While the store accepts no
//! progress, more than 500 can accumulate. A run whose end was not among the first 500 was listed
//! neither as running nor as ended. Its owner assumed that the run had ended and started the task
//! elsewhere; a later owner assumed that the worker had nothing else.

use std::collections::BTreeMap;

use super::{Harness, done, id, one_worker, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::SilentWorkers},
    model::{
        job::{JobId, TaskId},
        unit::Revision,
        worker::EndedRun,
    },
};

/// The most ends that a worker lists at once, by the platform's contract.
const MAX_LISTED: u64 = 500;

/// Longer than any run of an earlier owner can continue unseen, in milliseconds.
const AFTER_FENCE_MS: u64 = 20_000;

/// Tasks that fit on one worker.
const CAPACITY: u32 = 4;

fn nth_task(job: JobId, index: u64) -> TaskId {
    format!("{job}.0.0.{index}").parse().unwrap()
}

/// The ends of the first tasks of a job, as a worker lists them: no more than it lists at once.
fn ends(job: JobId, count: u64, run: u32) -> Vec<EndedRun> {
    (1..=count.min(MAX_LISTED)).map(|number| done(number, nth_task(job, number - 1), run)).collect()
}

/// An owner whose worker has ended up to a batch of tasks more than it lists at once, none of them
/// acknowledged; with the tasks of the last batch.
fn undurable_ends() -> (Harness, Vec<TaskId>) {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(MAX_LISTED as u32 + CAPACITY)], 110)));
    let mut last = Vec::new();
    for ended in (0..=MAX_LISTED).step_by(CAPACITY as usize) {
        harness.work();
        let starts = harness.take_starts();
        assert_eq!(starts.len(), CAPACITY as usize, "after {ended} ends");
        for (task, run, worker) in &starts {
            harness.confirm_start(*task, *run, worker);
        }
        last = starts.into_iter().map(|(task, ..)| task).collect();
        harness.now += 20;
        harness.poll("w1", vec![], ends(id(1), ended + u64::from(CAPACITY), 1));
    }
    (harness, last)
}

#[test]
fn a_run_whose_end_was_cut_off_the_list_is_not_started_again() {
    let (mut harness, last) = undurable_ends();
    harness.deliver(Event::Worker(super::report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the runs have ended, and their ends follow");
    harness.persist_progress();
    harness.now += 20;
    let rest = (MAX_LISTED + 1..).zip(&last).map(|(number, task)| done(number, *task, 1)).collect();
    harness.poll("w1", vec![], rest);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    let written = harness.persist_progress();
    assert_eq!(written[0].1.state, crate::model::job::JobState::Succeeded);
}

/// A later owner that finds the first 500 ends of another job, and behind them the end of a task
/// that it has no record of.
fn later_owner() -> Harness {
    let mut harness = Harness::inheriting(&[("w1", "h1")], SilentWorkers::default());
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.deliver(Event::Job(stored(2, vec![step(MAX_LISTED as u32)], 51)));
    harness.work();
    harness.poll("w1", vec![], ends(id(2), MAX_LISTED, 1));
    harness.persist_roster();
    harness
}

/// The end of the task of the first job, which the worker lists once those before are acknowledged.
fn hidden_end() -> EndedRun {
    done(MAX_LISTED + 1, nth_task(id(1), 0), 1)
}

#[test]
fn a_later_owner_starts_no_task_whose_end_was_cut_off_the_list() {
    let mut harness = later_owner();
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += AFTER_FENCE_MS;
    harness.poll("w1", vec![], ends(id(2), MAX_LISTED, 1));
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "an end does not expire");
    harness.persist_progress();
    harness.poll("w1", vec![], vec![hidden_end()]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// If a host with an uncounted end is maintained or moved, the end is lost.
#[test]
fn a_host_is_not_drained_while_its_list_of_ends_is_cut_short() {
    let mut harness = later_owner();
    harness.owner.set_draining(BTreeMap::from([("h1".parse().unwrap(), Revision(5))]));
    harness.persist_progress();
    assert_eq!(
        harness.owner.drained_hosts(),
        vec![],
        "the listed ends are durable, others are not listed yet"
    );
    harness.poll("w1", vec![], vec![hidden_end()]);
    harness.persist_progress();
    let drained = harness.owner.drained_hosts();
    assert_eq!(drained.len(), 1);
    assert_eq!(drained[0].worker, worker_id("w1"));
}
