//! Tests of the persisted roster of workers, and of how a later owner uses it.

use std::collections::BTreeMap;

use super::{Bench, MANY, id, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{event::Event, roster::Away},
    model::{
        id::Incarnation,
        job::{JobId, JobState, TaskId},
        unit::Revision,
        worker::{Ended, HowEnded},
    },
};

/// After all nodes were killed during a store outage, the workers' reports had lapsed, and a new
/// owner did not know which workers still ran tasks.
#[test]
fn tasks_of_earlier_jobs_wait_until_every_worker_was_polled() {
    let mut harness = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], Away::default());
    harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
    harness.touch("w1", vec![]);
    harness.work();
    assert_eq!(harness.starts(), vec![]);
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    harness.touch("w2", vec![present(task, 1, 30)]);
    harness.work();
    assert_eq!(harness.starts(), vec![]);
}

/// The earlier owner has received the same end, and has since started the task elsewhere.
#[test]
fn a_task_with_a_listed_end_of_an_earlier_run_is_not_started_before_all_workers_were_polled() {
    let mut harness = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], Away::default());
    harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let stopped = Ended { number: 1, task, run: 1, how: HowEnded::Stopped, saved: String::new() };
    harness.work();
    harness.look("w1", vec![], vec![stopped]);
    harness.keep_roster();
    harness.work();
    assert_eq!(harness.starts(), vec![], "w2 was not polled yet");
    harness.touch("w2", vec![present(task, 2, 30)]);
    harness.work();
    assert_eq!(harness.starts(), vec![]);
}

/// A worker that was listed but never got work runs nothing.
#[test]
fn tasks_of_earlier_jobs_do_not_wait_for_workers_that_never_got_work() {
    let mut harness = Bench::inheriting(&[("w1", "h1")], Away::default());
    harness.tell(Event::Worker(report("w2", "h2")));
    harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
    harness.touch("w1", vec![]);
    harness.work();
    assert_eq!(harness.starts().len(), 1);
}

/// A host that was drained and moved to another pool left its worker in the roster, and all tasks
/// of earlier jobs waited 8.7 s for it after each change of owner.
#[test]
fn tasks_of_earlier_jobs_do_not_wait_for_workers_on_drained_hosts() {
    let mut earlier = one_worker();
    earlier.tell(Event::Worker(report("w2", "h2")));
    earlier.touch("w2", vec![]);
    earlier.owner.set_emptying(BTreeMap::from([("h2".parse().unwrap(), Revision(5))]));
    let note = earlier.keep_roster().expect("the empty worker is to be removed");
    assert_eq!(note.dropped, vec![worker_id("w2")]);
    let mut harness = Bench::inheriting(&[("w1", "h1")], note.away);
    harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
    harness.touch("w1", vec![]);
    harness.work();
    assert_eq!(harness.starts().len(), 1);
}

/// Only the tasks that may run at a silent worker wait for it.
#[test]
fn only_the_tasks_that_a_silent_worker_may_run_wait_for_it() {
    let mut earlier = one_worker();
    earlier.tell(Event::Job(stored(1, vec![step(1)], 110)));
    earlier.work();
    let (task, run, worker) = earlier.starts()[0].clone();
    earlier.started(task, run, &worker);
    earlier.miss("w1");
    earlier.miss("w1");
    let note = earlier.keep_roster().expect("the silent worker is to be recorded");
    let mut harness = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], note.away);
    harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
    harness.tell(Event::Job(stored(2, vec![step(1)], 51)));
    harness.touch("w2", vec![]);
    harness.work();
    let started: Vec<JobId> = harness.starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(2)]);
}

/// A worker that is recorded as silent or empty gets work only once the record is reset.
#[test]
fn a_worker_that_answers_again_gets_no_work_before_that_is_persisted() {
    let mut harness = one_worker();
    harness.miss("w1");
    harness.miss("w1");
    let silent = harness.owner.roster_note(MANY).expect("the silent worker is to be recorded");
    harness.look("w1", vec![], vec![]);
    harness.tell(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.starts(), vec![], "the write may be done at any time");
    harness.rostered(&silent);
    harness.work();
    assert_eq!(harness.starts(), vec![], "a later owner would not expect tasks there");
    harness.keep_roster().expect("the answering worker is to be recorded");
    harness.work();
    assert_eq!(harness.starts().len(), 1);
}

/// Workers that exceed the limit of one write are added by the next, and get no work before.
#[test]
fn workers_beyond_the_limit_of_a_roster_write_get_no_work_before_the_next_write() {
    let mut harness = Bench::new(1);
    for (name, host) in [("w1", "h1"), ("w2", "h2"), ("w3", "h3")] {
        harness.tell(Event::Worker(report(name, host)));
    }
    harness.work();
    for name in ["w1", "w2", "w3"] {
        harness.look(name, vec![], vec![]);
    }
    let first = harness.owner.roster_note(2).expect("three workers are to be added");
    let listed: Vec<&Incarnation> = first.added.iter().map(|report| &report.id).collect();
    assert_eq!(listed, [&worker_id("w1"), &worker_id("w2")]);
    harness.rostered(&first);
    harness.tell(Event::Job(stored(1, vec![step(12)], 110)));
    harness.work();
    let started = harness.starts();
    assert_eq!(started.len(), 8, "two workers of four cores each");
    assert!(started.iter().all(|(.., worker)| *worker != worker_id("w3")));
    let second = harness.owner.roster_note(2).expect("the third worker is to be added");
    assert_eq!((second.added.len(), second.dropped.len()), (1, 0));
    harness.rostered(&second);
    harness.work();
    assert_eq!(harness.starts().len(), 4);
    assert_eq!(harness.owner.roster_note(2), None);
}

/// The record of a drained worker may have been removed although the write got no answer: the
/// worker gets work only once it has been listed again.
#[test]
fn a_worker_that_may_have_been_removed_gets_no_work_before_it_is_listed_again() {
    let mut harness = one_worker();
    harness.owner.set_emptying(BTreeMap::from([("h1".parse().unwrap(), Revision(5))]));
    let unanswered = harness.owner.roster_note(MANY).expect("the empty worker is to be removed");
    assert_eq!(unanswered.dropped, vec![worker_id("w1")]);
    harness.owner.set_emptying(BTreeMap::new());
    harness.tell(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.starts(), vec![]);
    let again = harness.keep_roster().expect("it is unknown whether the worker is listed");
    assert_eq!((again.added.len(), again.dropped.len()), (1, 0));
    harness.work();
    assert_eq!(harness.starts().len(), 1);
}

/// A single unanswered poll causes no write.
#[test]
fn one_unanswered_poll_is_not_persisted() {
    let mut harness = one_worker();
    harness.miss("w1");
    assert_eq!(harness.owner.roster_note(MANY), None);
    harness.look("w1", vec![], vec![]);
    assert_eq!(harness.owner.roster_note(MANY), None);
}

/// A task was started a fifth time after four failures. Its owner had lost the store before it
/// could write the second and third failure. The next owner took over the fourth run and received
/// its failure, but could not reach the worker that still listed the third one. Taking over a run
/// shows where the task runs, but not how its earlier runs ended.
mod unreported_failures_of_earlier_owners {
    use super::*;

    fn failed(number: u64, task: TaskId, run: u32) -> Ended {
        Ended { number, task, run, how: HowEnded::Failed, saved: String::new() }
    }

    /// A task with three attempts whose run number `run` was taken over at one worker and failed
    /// there; the other worker was not polled.
    fn taken_over_and_failed(run: u32) -> (Bench, TaskId) {
        let mut harness = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], Away::default());
        harness.tell(Event::Job(stored(1, vec![step(1)], 50)));
        let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
        harness.touch("w1", vec![present(task, run, 30)]);
        harness.now += 100;
        harness.look("w1", vec![], vec![failed(2, task, run)]);
        harness.work();
        (harness, task)
    }

    #[test]
    fn delay_the_next_start_if_they_may_use_up_the_attempts() {
        let (mut harness, task) = taken_over_and_failed(3);
        assert_eq!(harness.starts(), vec![], "w2 may list two failures");
        harness.look("w2", vec![], vec![failed(1, task, 1), failed(2, task, 2)]);
        harness.work();
        assert_eq!(harness.starts(), vec![]);
        assert_eq!(harness.save()[0].1.state, JobState::Failed);
    }

    #[test]
    fn do_not_delay_the_next_start_once_every_worker_was_polled() {
        let (mut harness, task) = taken_over_and_failed(3);
        assert_eq!(harness.starts(), vec![]);
        harness.look("w2", vec![], vec![failed(1, task, 2)]);
        harness.work();
        assert_eq!(harness.starts().len(), 1, "two runs have failed");
    }

    #[test]
    fn do_not_delay_the_next_start_if_attempts_remain_in_any_case() {
        let (mut harness, _) = taken_over_and_failed(2);
        assert_eq!(harness.starts().len(), 1, "one run has failed, and one may have");
    }
}
