//! Tests of the counts of restarted tasks and of unexpected runs, by which an operator traces a
//! task that ran twice to the state that its owner had.

use super::{Harness, done, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::Event,
        run_end::{Counts, RunEnd, UnexpectedRun},
    },
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{EndedRun, OrderResult, Refusal, RunOutcome},
    },
};

/// One task that runs at the only worker.
fn one_running_task() -> (Harness, TaskId, u32, Incarnation) {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    assert_eq!(harness.owner.take_counts(), Counts::default());
    (harness, task, run, worker)
}

fn restarts(harness: &mut Harness) -> Vec<(&'static str, u64)> {
    harness.owner.take_counts().restarts.into_iter().collect()
}

fn unexpected_runs(harness: &mut Harness) -> Vec<(&'static str, u64)> {
    harness.owner.take_counts().unexpected_runs.into_iter().collect()
}

#[test]
fn a_restart_counts_by_the_reason_why_the_run_before_ended() {
    let (mut harness, task, run, _) = one_running_task();
    let failed = RunOutcome::Failed;
    let end = EndedRun { number: 1, task, run, how: failed, checkpoint: String::new() };
    harness.now += 100;
    harness.poll("w1", vec![], vec![end]);
    harness.work();
    assert_eq!(restarts(&mut harness), vec![(RunEnd::Ended(failed).as_str(), 1)]);
    let (task, run, worker) = harness.take_starts().pop().unwrap();
    harness.confirm_start(task, run, &worker);
    harness.now += 100;
    harness.poll("w1", vec![], vec![]);
    harness.work();
    assert_eq!(restarts(&mut harness), vec![(RunEnd::Unlisted.as_str(), 1)]);
}

#[test]
fn a_refused_start_counts_as_refused_and_a_first_start_not_at_all() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(restarts(&mut harness), vec![]);
    let (task, run, worker) = harness.take_starts()[0].clone();
    let why = Refusal::Room;
    let end = OrderResult::Refused { why, clock_ms: None };
    harness.deliver(Event::Started { worker, task, run, end });
    harness.now += 1_000;
    harness.poll("w1", vec![], vec![]);
    harness.work();
    assert_eq!(restarts(&mut harness), vec![(RunEnd::Refused(why).as_str(), 1)]);
}

#[test]
fn the_restart_of_a_silent_workers_task_counts_as_expired() {
    let (mut harness, ..) = one_running_task();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.now += 10;
    harness.poll_unanswered("w1");
    for _ in 0..5 {
        harness.now += 1_000;
        harness.poll("w2", vec![], vec![]);
        harness.work();
    }
    assert_eq!(restarts(&mut harness), vec![(RunEnd::Lapsed.as_str(), 1)]);
}

#[test]
fn unexpected_runs_count_by_their_reason() {
    let (mut harness, task, run, _) = one_running_task();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![present(task, run + 7, 10)]);
    assert_eq!(unexpected_runs(&mut harness), vec![(UnexpectedRun::Elsewhere.as_str(), 1)]);
    harness.now += 10;
    harness.poll("w1", vec![present(task, run + 1, 10)], vec![]);
    assert_eq!(unexpected_runs(&mut harness), vec![(UnexpectedRun::OtherRun.as_str(), 1)]);
    harness.now += 10;
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    harness.poll("w2", vec![present(task, run + 7, 10)], vec![]);
    assert_eq!(unexpected_runs(&mut harness), vec![(UnexpectedRun::Done.as_str(), 1)]);
    harness.persist_progress();
    harness.now += 10;
    harness.poll("w2", vec![present(task, run + 7, 10)], vec![]);
    assert_eq!(unexpected_runs(&mut harness), vec![(UnexpectedRun::NoJob.as_str(), 1)]);
}

#[test]
fn the_run_before_is_logged_with_its_worker_and_age() {
    let previous = crate::jobs::run_end::PreviousRun {
        worker: worker_id("w3"),
        run: 2,
        reason: RunEnd::Lapsed,
        at: Steady::from_millis(1_000),
    };
    let text = previous.describe(Steady::from_millis(1_120)).to_string();
    assert_eq!(text, "run 2 at w3: lapsed unseen, 120 ms ago");
}

/// A later owner may have acquired the pool although this one's lease has not expired, and may have
/// renewed the lease of the worker that is silent here: only a conditional write shows that there
/// is no later owner.
#[test]
fn runs_expire_only_up_to_the_time_of_the_last_confirmed_ownership() {
    let (mut harness, ..) = one_running_task();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.now += 10;
    harness.poll_unanswered("w1");
    let confirmed = harness.at().steady;
    let work_unconfirmed = |harness: &mut Harness| {
        harness.poll("w2", vec![], vec![]);
        let now = harness.at();
        harness.owner.tick(now, &mut harness.effects);
    };
    for _ in 0..5 {
        harness.now += 1_000;
        work_unconfirmed(&mut harness);
    }
    assert_eq!(restarts(&mut harness), vec![], "confirmed at {confirmed:?}");
    assert!(harness.owner.awaits_confirmation(harness.at().steady));
    let now = harness.at().steady;
    harness.owner.set_confirmed(now);
    work_unconfirmed(&mut harness);
    assert_eq!(restarts(&mut harness), vec![(RunEnd::Lapsed.as_str(), 1)]);
    assert!(!harness.owner.awaits_confirmation(harness.at().steady));
}
