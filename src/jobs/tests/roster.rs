//! Tests of the persisted roster of workers, and of how a later owner uses it.

use std::collections::BTreeMap;

use super::{BATCH_LIMIT, Harness, id, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::SilentWorkers},
    model::{
        id::Incarnation,
        job::{JobId, JobState, TaskId},
        unit::Revision,
        worker::{EndedRun, RunOutcome},
    },
};

/// After all nodes were killed during a store outage, the workers' reports had lapsed, and a new
/// owner did not know which workers still ran tasks.
#[test]
fn tasks_of_earlier_jobs_wait_until_every_worker_was_polled() {
    let mut harness = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], SilentWorkers::default());
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w1", vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    harness.connect("w2", vec![present(task, 1, 30)]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// The earlier owner has received the same end, and has since started the task elsewhere.
#[test]
fn a_task_with_a_listed_end_of_an_earlier_run_is_not_started_before_all_workers_were_polled() {
    let mut harness = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], SilentWorkers::default());
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let stopped =
        EndedRun { number: 1, task, run: 1, how: RunOutcome::Stopped, checkpoint: String::new() };
    harness.work();
    harness.poll("w1", vec![], vec![stopped]);
    harness.persist_roster();
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "w2 was not polled yet");
    harness.connect("w2", vec![present(task, 2, 30)]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// A worker that was listed but never got work runs nothing.
#[test]
fn tasks_of_earlier_jobs_do_not_wait_for_workers_that_never_got_work() {
    let mut harness = Harness::inheriting(&[("w1", "h1")], SilentWorkers::default());
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w1", vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// A host that was drained and moved to another pool left its worker in the roster, and all tasks
/// of earlier jobs waited 8.7 s for it after each change of owner.
#[test]
fn tasks_of_earlier_jobs_do_not_wait_for_workers_on_drained_hosts() {
    let mut earlier = one_worker();
    earlier.deliver(Event::Worker(report("w2", "h2")));
    earlier.connect("w2", vec![]);
    earlier.owner.set_draining(BTreeMap::from([("h2".parse().unwrap(), Revision(5))]));
    let write = earlier.persist_roster().expect("the empty worker is to be removed");
    assert_eq!(write.dropped, vec![worker_id("w2")]);
    let mut harness = Harness::inheriting(&[("w1", "h1")], write.silent_workers);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w1", vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// Only the tasks that may run at a silent worker wait for it.
#[test]
fn only_the_tasks_that_a_silent_worker_may_run_wait_for_it() {
    let mut earlier = one_worker();
    earlier.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    earlier.work();
    let (task, run, worker) = earlier.take_starts()[0].clone();
    earlier.confirm_start(task, run, &worker);
    earlier.poll_unanswered("w1");
    earlier.poll_unanswered("w1");
    let write = earlier.persist_roster().expect("the silent worker is to be recorded");
    let mut harness = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], write.silent_workers);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.deliver(Event::Job(stored(2, vec![step(1)], 51)));
    harness.connect("w2", vec![]);
    harness.work();
    let started: Vec<JobId> = harness.take_starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(2)]);
}

/// A worker that is recorded as silent or empty gets work only once the record is reset.
#[test]
fn a_worker_that_answers_again_gets_no_work_before_that_is_persisted() {
    let mut harness = one_worker();
    harness.poll_unanswered("w1");
    harness.poll_unanswered("w1");
    let silent =
        harness.owner.roster_note(BATCH_LIMIT).expect("the silent worker is to be recorded");
    harness.poll("w1", vec![], vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the write may still be committed at any time");
    harness.roster_persisted(&silent);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "a later owner would not expect tasks there");
    harness.persist_roster().expect("the answering worker is to be recorded");
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// Workers that exceed the limit of one write are added by the next, and get no work before.
#[test]
fn workers_beyond_the_limit_of_a_roster_write_get_no_work_before_the_next_write() {
    let mut harness = Harness::new(1);
    for (name, host) in [("w1", "h1"), ("w2", "h2"), ("w3", "h3")] {
        harness.deliver(Event::Worker(report(name, host)));
    }
    harness.work();
    for name in ["w1", "w2", "w3"] {
        harness.poll(name, vec![], vec![]);
    }
    let first = harness.owner.roster_note(2).expect("three workers are to be added");
    let listed: Vec<&Incarnation> = first.added.iter().map(|report| &report.id).collect();
    assert_eq!(listed, [&worker_id("w1"), &worker_id("w2")]);
    harness.roster_persisted(&first);
    harness.deliver(Event::Job(stored(1, vec![step(12)], 110)));
    harness.work();
    let started = harness.take_starts();
    assert_eq!(started.len(), 8, "two workers of four cores each");
    assert!(started.iter().all(|(.., worker)| *worker != worker_id("w3")));
    let second = harness.owner.roster_note(2).expect("the third worker is to be added");
    assert_eq!((second.added.len(), second.dropped.len()), (1, 0));
    harness.roster_persisted(&second);
    harness.work();
    assert_eq!(harness.take_starts().len(), 4);
    assert_eq!(harness.owner.roster_note(2), None);
}

/// The record of a drained worker may have been removed although the write got no answer: the
/// worker gets work only once it has been listed again.
#[test]
fn a_worker_that_may_have_been_removed_gets_no_work_before_it_is_listed_again() {
    let mut harness = one_worker();
    harness.owner.set_draining(BTreeMap::from([("h1".parse().unwrap(), Revision(5))]));
    let unanswered =
        harness.owner.roster_note(BATCH_LIMIT).expect("the empty worker is to be removed");
    assert_eq!(unanswered.dropped, vec![worker_id("w1")]);
    harness.owner.set_draining(BTreeMap::new());
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    let second = harness.persist_roster().expect("it is unknown whether the worker is listed");
    assert_eq!((second.added.len(), second.dropped.len()), (1, 0));
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// A single unanswered poll causes no write.
#[test]
fn one_unanswered_poll_is_not_persisted() {
    let mut harness = one_worker();
    harness.poll_unanswered("w1");
    assert_eq!(harness.owner.roster_note(BATCH_LIMIT), None);
    harness.poll("w1", vec![], vec![]);
    assert_eq!(harness.owner.roster_note(BATCH_LIMIT), None);
}

/// A task was started a fifth time after four failures. Its owner had lost the store before it
/// could write the second and third failure. The next owner took over the fourth run and received
/// its failure, but could not reach the worker that still listed the third one. Taking over a run
/// shows where the task runs, but not how its earlier runs ended.
mod unreported_failures_of_earlier_owners {
    use super::*;

    fn failed(number: u64, task: TaskId, run: u32) -> EndedRun {
        EndedRun { number, task, run, how: RunOutcome::Failed, checkpoint: String::new() }
    }

    /// A task with three attempts whose run number `run` was taken over at one worker and failed
    /// there; the other worker was not polled.
    fn taken_over_and_failed(run: u32) -> (Harness, TaskId) {
        let mut harness =
            Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], SilentWorkers::default());
        harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
        let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
        harness.connect("w1", vec![present(task, run, 30)]);
        harness.now += 100;
        harness.poll("w1", vec![], vec![failed(2, task, run)]);
        harness.work();
        (harness, task)
    }

    #[test]
    fn delay_the_next_start_if_they_may_use_up_the_attempts() {
        let (mut harness, task) = taken_over_and_failed(3);
        assert_eq!(harness.take_starts(), vec![], "w2 may list two failures");
        harness.poll("w2", vec![], vec![failed(1, task, 1), failed(2, task, 2)]);
        harness.work();
        assert_eq!(harness.take_starts(), vec![]);
        assert_eq!(harness.persist_progress()[0].1.state, JobState::Failed);
    }

    #[test]
    fn do_not_delay_the_next_start_once_every_worker_was_polled() {
        let (mut harness, task) = taken_over_and_failed(3);
        assert_eq!(harness.take_starts(), vec![]);
        harness.poll("w2", vec![], vec![failed(1, task, 2)]);
        harness.work();
        assert_eq!(harness.take_starts().len(), 1, "two runs have failed");
    }

    #[test]
    fn do_not_delay_the_next_start_if_attempts_remain_in_any_case() {
        let (mut harness, _) = taken_over_and_failed(2);
        assert_eq!(harness.take_starts().len(), 1, "one run has failed, and one may have");
    }
}
