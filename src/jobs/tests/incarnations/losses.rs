//! Losses of workers with starts that the next incarnation may have carried out.

use super::{FIRST, NEXT, answer, first_incarnation, order_start};
use crate::{
    jobs::{
        event::Event,
        tests::{Harness, done, present, report, step, stored, worker_id},
    },
    model::{
        job::{JobState, TaskId, TaskProgress},
        worker::{EndedRun, OrderResult, RunOutcome},
    },
};

const OTHER: &str = "w2@1000";
const OTHER_NEXT: &str = "w2@2000";
const THIRD: &str = "w1@3000";

/// A worker has crashed with a task that it had listed, and another has answered its next start.
fn crashed_once() -> (Harness, TaskId, u32) {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 100;
    answer(&mut harness, FIRST, FIRST, vec![present(task, run, 10)], vec![]);
    harness.deliver(Event::Worker(report(OTHER, "h2")));
    harness.connect(OTHER, vec![]);
    harness.now += 20;
    answer(&mut harness, FIRST, NEXT, vec![], vec![]);
    harness.plan();
    let (_, run, at) = harness.take_starts().pop().expect("it starts again");
    assert_eq!(at, worker_id(OTHER));
    harness.confirm_start(task, run, &at);
    harness.now += 100;
    (harness, task, run)
}

/// An incarnation lists these runs and ends twice.
fn list_twice(harness: &mut Harness, id: &str, runs: &[(TaskId, u32)], ends: &[EndedRun]) {
    for _ in 0..2 {
        harness.work();
        harness.now += 20;
        let here = runs.iter().map(|(task, run)| present(*task, *run, 10)).collect();
        answer(harness, id, id, here, ends.to_vec());
    }
    harness.now += 20;
    harness.work();
}

/// What is persisted of the task.
fn persisted(harness: &mut Harness) -> (JobState, TaskProgress) {
    let (_, progress) = harness.persist_progress().pop().expect("it has changed");
    let step = progress.steps.get("0.0").cloned().unwrap_or_default();
    (progress.state, step.tasks.get(&0).cloned().unwrap_or_default())
}

#[test]
fn a_task_is_not_given_up_for_a_start_that_the_next_incarnation_carried_out() {
    let (mut harness, task, run) = crashed_once();
    answer(&mut harness, OTHER, OTHER_NEXT, vec![present(task, run, 10)], vec![]);
    list_twice(&mut harness, OTHER_NEXT, &[(task, run)], &[]);
    let (state, persisted) = persisted(&mut harness);
    assert_eq!(state, JobState::Running);
    assert_eq!(persisted.crashed, [worker_id(FIRST)].into());
    assert_eq!(persisted.unconfirmed_crashes, [].into());
    harness.now += 500;
    answer(&mut harness, OTHER_NEXT, OTHER_NEXT, vec![], vec![done(1, task, run)]);
    assert_eq!(harness.persist_progress()[0].1.state, JobState::Succeeded);
}

#[test]
fn a_task_is_not_given_up_for_a_run_that_expired_at_the_next_incarnation() {
    let (mut harness, task, run) = crashed_once();
    for _ in 0..50 {
        harness.work();
        harness.poll_unanswered(OTHER);
        harness.now += 100;
    }
    answer(&mut harness, OTHER, OTHER_NEXT, vec![], vec![]);
    let how = RunOutcome::Lapsed;
    let end = EndedRun { number: 1, task, run, how, checkpoint: String::new() };
    list_twice(&mut harness, OTHER_NEXT, &[], &[end]);
    let (state, persisted) = persisted(&mut harness);
    assert_eq!(state, JobState::Running);
    assert_eq!(persisted.crashed, [worker_id(FIRST)].into());
    assert_eq!(persisted.unconfirmed_crashes, [].into());
}

#[test]
fn a_task_is_given_up_for_a_start_that_no_list_shows() {
    let (mut harness, _, _) = crashed_once();
    answer(&mut harness, OTHER, OTHER_NEXT, vec![], vec![]);
    list_twice(&mut harness, OTHER_NEXT, &[], &[]);
    assert_eq!(persisted(&mut harness).0, JobState::Failed);
}

#[test]
fn one_start_does_not_count_for_two_incarnations() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 20;
    answer(&mut harness, FIRST, NEXT, vec![], vec![]);
    harness.now += 20;
    answer(&mut harness, NEXT, THIRD, vec![], vec![]);
    list_twice(&mut harness, THIRD, &[], &[]);
    let (_, persisted) = persisted(&mut harness);
    assert_eq!(persisted.crashed, [worker_id(FIRST)].into());
    assert_eq!(persisted.unconfirmed_crashes, [].into());
}

#[test]
fn a_task_that_the_ended_incarnation_never_ran_is_not_failed_after_one_crash() {
    let mut harness = first_incarnation();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.plan();
    let (task, run, at) = harness.take_starts().pop().expect("a worker takes work");
    harness.deliver(Event::Worker(report(OTHER, "h2")));
    harness.connect(OTHER, vec![]);
    // The next incarnation has carried it out.
    harness.confirm_start(task, run, &at);
    harness.now += 20;
    answer(&mut harness, FIRST, NEXT, vec![present(task, run, 0)], vec![]);
    harness.now += 20;
    let lapsed =
        EndedRun { number: 1, task, run, how: RunOutcome::Lapsed, checkpoint: String::new() };
    answer(&mut harness, NEXT, NEXT, vec![], vec![lapsed]);
    harness.now += 20;
    answer(&mut harness, OTHER, OTHER, vec![], vec![]);
    harness.effects.clear();
    harness.plan();
    let (task, run, at) = harness.take_starts().pop().expect("it is retried");
    assert_eq!(at, worker_id(OTHER));
    harness.confirm_start(task, run, &at);
    harness.now += 20;
    answer(&mut harness, OTHER, OTHER_NEXT, vec![], vec![]);
    harness.work();
    let written = harness.persist_progress();
    let states: Vec<JobState> = written.iter().map(|(_, progress)| progress.state).collect();
    assert!(!states.contains(&JobState::Failed), "one worker has crashed under it: {states:?}");
}

#[test]
fn a_task_that_no_worker_has_begun_is_not_failed_though_its_worker_restarts_often() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.deliver(Event::Started { worker: at, task, run, end: OrderResult::Unknown });
    for born in 1_000..1_010 {
        harness.now += 400;
        answer(&mut harness, &format!("w1@{born}"), &format!("w1@{}", born + 1), vec![], vec![]);
        harness.work();
        let written = harness.persist_progress();
        let failed = written.iter().any(|(_, progress)| progress.state == JobState::Failed);
        assert!(!failed, "no worker has crashed under it, after {} restarts", born - 999);
    }
}
