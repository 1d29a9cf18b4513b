//! Tests of refused orders: whether the run may still be there, or may still begin.

use super::{Harness, done, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::TaskId,
        worker::{OrderResult, Refusal},
    },
};

/// Longer than the pause after a refusal, and than the wait for an order to stop, in milliseconds;
/// short enough that no lease expires.
const AFTER_PAUSE_MS: u64 = 1_000;

/// Two workers, and a task whose start at one of them is on its way.
fn start_pending() -> (Harness, TaskId, u32, &'static str, &'static str) {
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    match worker.worker.as_str() {
        "w1" => (harness, task, run, "w1", "w2"),
        _ => (harness, task, run, "w2", "w1"),
    }
}

fn refuse_start(harness: &mut Harness, at: &str, task: TaskId, run: u32, why: Refusal) {
    let end = OrderResult::Refused { why, clock_ms: None };
    harness.deliver(Event::Started { worker: worker_id(at), task, run, end });
}

fn refuse_stop(harness: &mut Harness, at: &str, task: TaskId, run: u32, why: Refusal) {
    let end = OrderResult::Refused { why, clock_ms: None };
    harness.deliver(Event::Stopped { worker: worker_id(at), task, run, end });
}

/// Guards against two runs of one task. A start got no answer and was still on its way. The order
/// to stop it was refused, but not because the run was over, and the refusal was taken for a stop.
/// The next poll did not list the run, the task was started elsewhere, and then the first start
/// arrived. By the platform's contract only a run that was stopped or has ended is refused from
/// then on.
#[test]
fn a_refused_stop_does_not_free_the_task() {
    for why in [Refusal::Invalid, Refusal::Late, Refusal::Room, Refusal::Ticket, Refusal::Unwell] {
        let (mut harness, task, run, at, other) = start_pending();
        harness.deliver(Event::Started {
            worker: worker_id(at),
            task,
            run,
            end: OrderResult::Unknown,
        });
        harness.work();
        harness.now += 5;
        harness.poll(at, vec![], vec![]);
        assert_eq!(harness.take_stops(), vec![task], "{why:?}");
        refuse_stop(&mut harness, at, task, run, why);
        harness.now += AFTER_PAUSE_MS;
        harness.poll(at, vec![], vec![]);
        harness.poll(other, vec![], vec![]);
        assert_eq!(harness.take_stops(), vec![task], "{why:?}: it is stopped again");
        harness.work();
        assert_eq!(harness.take_starts(), vec![], "{why:?}");
    }
}

/// The worker has seen the end of the run, or of a later one: it will not begin.
#[test]
fn a_stop_refused_as_old_frees_the_task_with_the_next_poll() {
    let (mut harness, task, run, at, _) = start_pending();
    harness.deliver(Event::Started { worker: worker_id(at), task, run, end: OrderResult::Unknown });
    harness.work();
    harness.now += 5;
    harness.poll(at, vec![], vec![]);
    refuse_stop(&mut harness, at, task, run, Refusal::Old);
    harness.now += 5;
    harness.poll(at, vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against two runs of one task. A worker that refuses a start as old has another run of the
/// task, or one that has ended, and reports which only when it is polled. The task was started
/// elsewhere before that poll.
#[test]
fn a_start_refused_as_old_begins_elsewhere_only_after_a_poll() {
    let (mut harness, task, run, at, _) = start_pending();
    refuse_start(&mut harness, at, task, run, Refusal::Old);
    harness.now += AFTER_PAUSE_MS;
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it may run there, or may be done");
    harness.poll(at, vec![], vec![done(1, task, run)]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it is done");
}

/// As above: the run that is there ends before the task is started again.
#[test]
fn a_start_refused_for_another_run_waits_until_that_has_ended() {
    let (mut harness, task, run, at, _) = start_pending();
    refuse_start(&mut harness, at, task, run, Refusal::Old);
    harness.now += AFTER_PAUSE_MS;
    harness.poll(at, vec![present(task, run + 1, 10)], vec![]);
    assert_eq!(harness.take_stops(), vec![task], "the other run is stopped");
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += AFTER_PAUSE_MS;
    harness.poll(at, vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// By the platform's contract the worker has done nothing for these orders, and never will.
#[test]
fn a_finally_refused_start_begins_elsewhere() {
    for why in [Refusal::Late, Refusal::Room, Refusal::Ticket, Refusal::Unwell, Refusal::Invalid] {
        let (mut harness, task, run, at, _) = start_pending();
        refuse_start(&mut harness, at, task, run, why);
        harness.now += AFTER_PAUSE_MS;
        harness.work();
        assert_eq!(harness.take_starts().len(), 1, "{why:?}");
    }
}

/// A refused poll gives no information about the runs there.
#[test]
fn a_refused_poll_frees_no_task() {
    for why in [Refusal::Invalid, Refusal::Unwell, Refusal::Late, Refusal::Old] {
        let (mut harness, task, run, at, _) = start_pending();
        harness.confirm_start(task, run, &worker_id(at));
        harness.now += AFTER_PAUSE_MS;
        let sent = harness.at().steady;
        let end = OrderResult::Refused { why, clock_ms: None };
        harness.deliver(Event::Polled { worker: worker_id(at), sent, end });
        harness.work();
        assert_eq!(harness.take_starts(), vec![], "{why:?}");
    }
}
