//! Tests of refused orders: whether the run may still be there, or may still begin.

use super::{Bench, done, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::TaskId,
        worker::{OrderEnd, Refusal},
    },
};

/// Longer than the pause after a refusal, and than the wait for an order to stop, in milliseconds;
/// short enough that no lease expires.
const WHILE_MS: u64 = 1_000;

/// Two workers, and a task whose start at one of them is on its way.
fn starting() -> (Bench, TaskId, u32, &'static str, &'static str) {
    let mut bench = one_worker();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    match worker.worker.as_str() {
        "w1" => (bench, task, run, "w1", "w2"),
        _ => (bench, task, run, "w2", "w1"),
    }
}

fn refuse_start(bench: &mut Bench, at: &str, task: TaskId, run: u32, why: Refusal) {
    let end = OrderEnd::Refused { why, clock_ms: None };
    bench.tell(Event::Started { worker: worker_id(at), task, run, end });
}

fn refuse_stop(bench: &mut Bench, at: &str, task: TaskId, run: u32, why: Refusal) {
    let end = OrderEnd::Refused { why, clock_ms: None };
    bench.tell(Event::Stopped { worker: worker_id(at), task, run, end });
}

/// Guards against two runs of one task. A start got no answer and was still on its way. The order
/// to stop it was refused, but not because the run was over, and the refusal was taken for a stop.
/// The next poll did not list the run, the task was started elsewhere, and then the first start
/// arrived. By the platform's contract only a run that was stopped or has ended is refused from
/// then on.
#[test]
fn a_stop_that_was_refused_leaves_the_run_in_doubt() {
    for why in [Refusal::Invalid, Refusal::Late, Refusal::Room, Refusal::Ticket, Refusal::Unwell] {
        let (mut bench, task, run, at, other) = starting();
        bench.tell(Event::Started { worker: worker_id(at), task, run, end: OrderEnd::Unknown });
        bench.work();
        bench.now += 5;
        bench.look(at, vec![], vec![]);
        assert_eq!(bench.stops(), vec![task], "{why:?}");
        refuse_stop(&mut bench, at, task, run, why);
        bench.now += WHILE_MS;
        bench.look(at, vec![], vec![]);
        bench.look(other, vec![], vec![]);
        assert_eq!(bench.stops(), vec![task], "{why:?}: it is stopped again");
        bench.work();
        assert_eq!(bench.starts(), vec![], "{why:?}");
    }
}

/// The worker has seen the end of the run, or of a later one: it will not begin.
#[test]
fn a_stop_that_was_refused_as_old_frees_the_task_with_the_next_look() {
    let (mut bench, task, run, at, _) = starting();
    bench.tell(Event::Started { worker: worker_id(at), task, run, end: OrderEnd::Unknown });
    bench.work();
    bench.now += 5;
    bench.look(at, vec![], vec![]);
    refuse_stop(&mut bench, at, task, run, Refusal::Old);
    bench.now += 5;
    bench.look(at, vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// Guards against two runs of one task. A worker that refuses a start as old has another run of the
/// task, or one that has ended, and reports which only when it is polled. The task was started
/// elsewhere before that poll.
#[test]
fn a_start_that_was_refused_as_old_begins_elsewhere_only_after_a_look() {
    let (mut bench, task, run, at, _) = starting();
    refuse_start(&mut bench, at, task, run, Refusal::Old);
    bench.now += WHILE_MS;
    bench.work();
    assert_eq!(bench.starts(), vec![], "it may run there, or may be done");
    bench.look(at, vec![], vec![done(1, task, run)]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "it is done");
}

/// As above: the run that is there ends before the task is started again.
#[test]
fn a_start_that_was_refused_for_another_run_waits_until_that_has_ended() {
    let (mut bench, task, run, at, _) = starting();
    refuse_start(&mut bench, at, task, run, Refusal::Old);
    bench.now += WHILE_MS;
    bench.look(at, vec![present(task, run + 1, 10)], vec![]);
    assert_eq!(bench.stops(), vec![task], "two runs are one too many");
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += WHILE_MS;
    bench.look(at, vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// By the platform's contract the worker has done nothing for these orders, and never will.
#[test]
fn a_start_that_was_refused_for_good_begins_elsewhere() {
    for why in [Refusal::Late, Refusal::Room, Refusal::Ticket, Refusal::Unwell, Refusal::Invalid] {
        let (mut bench, task, run, at, _) = starting();
        refuse_start(&mut bench, at, task, run, why);
        bench.now += WHILE_MS;
        bench.work();
        assert_eq!(bench.starts().len(), 1, "{why:?}");
    }
}

/// A refused poll gives no information about the runs there.
#[test]
fn a_look_that_was_refused_frees_nothing() {
    for why in [Refusal::Invalid, Refusal::Unwell, Refusal::Late, Refusal::Old] {
        let (mut bench, task, run, at, _) = starting();
        bench.started(task, run, &worker_id(at));
        bench.now += WHILE_MS;
        let sent = bench.at().steady;
        let end = OrderEnd::Refused { why, clock_ms: None };
        bench.tell(Event::Looked { worker: worker_id(at), sent, end });
        bench.work();
        assert_eq!(bench.starts(), vec![], "{why:?}");
    }
}
