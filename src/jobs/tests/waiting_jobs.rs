//! Tests of which jobs an owner counts as waiting, and of the state that it persists for them.
//!
//! They guard against a node that reports no waiting job in a queue where 36 had waited for five
//! seconds. An owner orders the first start of a job; the start is refused for lack of resources,
//! never leaves its node, or is lost with its worker. Nothing of the job has begun, and it still
//! waits. Yet the job was counted as begun as soon as its first start was decided, was persisted so
//! for all nodes and later owners, and that was never undone.

use super::{Harness, done, id, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::{JobState, Progress, Step, StepId, TaskId},
        unit::Revision,
        worker::{EndedRun, OrderResult, Refusal, RunOutcome},
    },
};

/// Longer than the pause after a refusal, in milliseconds; short enough that no lease expires.
const AFTER_PAUSE_MS: u64 = 1_000;

/// How many jobs are counted as waiting, and the last persisted state of the first.
fn waiting_and_state(harness: &mut Harness) -> (usize, JobState) {
    let written = harness.persist_progress();
    let persisted = written.iter().rev().find(|(job, _)| *job == id(1));
    let persisted = persisted.map(|(_, progress)| progress.state).unwrap_or_default();
    (harness.owner.queued().values().sum(), persisted)
}

const WAITS: (usize, JobState) = (1, JobState::Queued);
const BEGUN: (usize, JobState) = (0, JobState::Running);

/// A worker, and a task whose first start there was ordered.
fn order_start() -> (Harness, TaskId, u32) {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, _) = harness.take_starts()[0].clone();
    (harness, task, run)
}

fn answer(harness: &mut Harness, task: TaskId, run: u32, end: OrderResult<u64>) {
    harness.deliver(Event::Started { worker: worker_id("w1"), task, run, end });
}

#[test]
fn a_job_waits_until_its_first_start_is_answered() {
    let (mut harness, task, run) = order_start();
    assert_eq!(waiting_and_state(&mut harness), WAITS);
    harness.confirm_start(task, run, &worker_id("w1"));
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
}

#[test]
fn a_job_whose_only_start_was_refused_waits() {
    for why in [Refusal::Room, Refusal::Unwell, Refusal::Late, Refusal::Ticket, Refusal::Old] {
        let (mut harness, task, run) = order_start();
        answer(&mut harness, task, run, OrderResult::Refused { why, clock_ms: None });
        assert_eq!(waiting_and_state(&mut harness), WAITS, "{why:?}");
    }
}

#[test]
fn a_job_whose_only_start_was_unsent_waits() {
    let (mut harness, task, run) = order_start();
    answer(&mut harness, task, run, OrderResult::Unsent);
    assert_eq!(waiting_and_state(&mut harness), WAITS);
}

#[test]
fn a_job_whose_only_start_got_no_answer_and_did_not_begin_waits() {
    let (mut harness, task, run) = order_start();
    answer(&mut harness, task, run, OrderResult::Unknown);
    assert_eq!(waiting_and_state(&mut harness), WAITS, "it may not have begun");
    harness.now += 5;
    harness.poll("w1", vec![], vec![]);
    let end = OrderResult::Done(1_000 + harness.now);
    harness.deliver(Event::Stopped { worker: worker_id("w1"), task, run, end });
    harness.now += 5;
    harness.poll("w1", vec![], vec![]);
    assert_eq!(waiting_and_state(&mut harness), WAITS);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1, "it is started again");
}

#[test]
fn a_job_whose_worker_ended_before_it_answered_waits() {
    let (mut harness, ..) = order_start();
    harness.deliver(Event::Worker(report("w2", "h1")));
    harness.poll("w2", vec![], vec![]);
    assert_eq!(waiting_and_state(&mut harness), WAITS);
}

#[test]
fn a_job_whose_worker_fell_silent_before_it_answered_waits() {
    let (mut harness, task, run) = order_start();
    answer(&mut harness, task, run, OrderResult::Unknown);
    harness.poll_unanswered("w1");
    for _ in 0..6 {
        harness.now += AFTER_PAUSE_MS;
        harness.work();
        harness.poll_unanswered("w1");
    }
    assert_eq!(waiting_and_state(&mut harness), WAITS);
}

#[test]
fn a_gang_of_which_no_member_began_waits() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![Step { gang: true, ..step(2) }], 110)));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    for (task, run, _) in starts {
        let end = OrderResult::Refused { why: Refusal::Room, clock_ms: None };
        answer(&mut harness, task, run, end);
    }
    assert_eq!(waiting_and_state(&mut harness), WAITS);
}

#[test]
fn a_long_running_job_whose_only_start_was_refused_waits() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![Step { long_running: true, ..step(1) }], 110)));
    harness.work();
    let (task, run, _) = harness.take_starts()[0].clone();
    answer(&mut harness, task, run, OrderResult::Refused { why: Refusal::Room, clock_ms: None });
    assert_eq!(waiting_and_state(&mut harness), WAITS);
}

/// One task that has begun is enough, whatever happens to it or to the others later.
#[test]
fn a_job_of_which_one_task_began_has_begun() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(2)], 110)));
    harness.work();
    let starts = harness.take_starts();
    let [(first, run, worker), (second, other, _)] = &starts[..] else {
        panic!("{starts:?}");
    };
    let refused = OrderResult::Refused { why: Refusal::Room, clock_ms: None };
    answer(&mut harness, *second, *other, refused);
    assert_eq!(waiting_and_state(&mut harness), WAITS);
    harness.confirm_start(*first, *run, worker);
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
    harness.deliver(Event::Worker(report("w2", "h1")));
    harness.poll("w2", vec![], vec![]);
    assert_eq!(harness.owner.queued().values().sum::<usize>(), 0);
}

#[test]
fn a_job_whose_run_a_poll_lists_has_begun() {
    let (mut harness, task, run) = order_start();
    answer(&mut harness, task, run, OrderResult::Unknown);
    harness.now += 5;
    harness.poll("w1", vec![present(task, run, 10)], vec![]);
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
}

/// Whatever the outcome of the run, its end is listed only if the run had begun.
#[test]
fn a_job_with_a_listed_end_has_begun() {
    let outcomes =
        [RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::GangBroken];
    for how in outcomes.into_iter().chain([RunOutcome::GangIncomplete]) {
        let (mut harness, task, run) = order_start();
        answer(&mut harness, task, run, OrderResult::Unknown);
        harness.now += 5;
        let end = EndedRun { number: 1, task, run, how, checkpoint: String::new() };
        harness.poll("w1", vec![], vec![end]);
        assert_eq!(waiting_and_state(&mut harness), BEGUN, "{how:?}");
    }
}

/// An answer that arrives after the worker was removed as ended shows that the run did begin.
#[test]
fn a_job_whose_start_is_answered_late_has_begun() {
    let (mut harness, task, run) = order_start();
    harness.deliver(Event::Worker(report("w2", "h1")));
    harness.poll("w2", vec![], vec![]);
    harness.confirm_start(task, run, &worker_id("w1"));
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
}

/// The previous owner may have ended before it persisted that the job had begun.
#[test]
fn a_job_with_a_run_that_is_taken_over_has_begun() {
    let mut harness = Harness::new(1);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    assert_eq!(waiting_and_state(&mut harness), WAITS);
    let task = TaskId { of: StepId { job: id(1), occurrence: 0, step: 0 }, index: 0 };
    harness.connect("w1", vec![present(task, 1, 10)]);
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
}

/// The same where the run has ended meanwhile, and only its end is listed.
#[test]
fn a_job_with_a_listed_end_from_an_earlier_owner_has_begun() {
    let mut harness = Harness::new(1);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.deliver(Event::Job(stored(1, vec![step(2)], 50)));
    let task = TaskId { of: StepId { job: id(1), occurrence: 0, step: 0 }, index: 0 };
    harness.work();
    harness.poll("w1", vec![], vec![done(1, task, 1)]);
    assert_eq!(waiting_and_state(&mut harness), BEGUN);
}

/// What an earlier owner has persisted stays: it cannot be queried again.
#[test]
fn a_job_that_is_persisted_as_begun_stays_so() {
    let mut harness = Harness::new(1);
    let mut job = stored(1, vec![step(1)], 50);
    let progress = Progress { state: JobState::Running, ..Progress::default() };
    job.progress = Some(progress.into());
    job.progress_revision = Revision(60);
    harness.deliver(Event::Job(job));
    assert_eq!(harness.owner.queued().values().sum::<usize>(), 0);
}

/// That a job has begun is one change: it is written once, and again only when the job has ended.
#[test]
fn the_begin_of_a_job_is_written_once() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(2)], 110)));
    harness.work();
    let mut written = harness.persist_progress().len();
    let starts = harness.take_starts();
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
        written += harness.persist_progress().len();
    }
    harness.now += 500;
    let runs = starts.iter().map(|(task, run, _)| present(*task, *run, 50)).collect();
    harness.poll("w1", runs, vec![]);
    written += harness.persist_progress().len();
    assert_eq!(written, 1);
}
