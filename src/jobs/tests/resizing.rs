//! Workers whose resources shrink and grow again while they run tasks.

use super::{Harness, one_worker, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::{Step, TaskResources},
        unit::{Megabytes, Millicores},
        worker::{EndedRun, OrderResult, RunOutcome},
    },
};

/// Reports other resources of a worker.
fn resize(harness: &mut Harness, name: &str, host: &str, cpu: u32) {
    let capacity = TaskResources { cpu: Millicores(cpu), memory: Megabytes(8_000), gpus: 0 };
    harness.deliver(Event::Worker(super::WorkerReport { capacity, ..report(name, host) }));
}

/// A worker with resources for four tasks, which runs three.
fn three_of_four() -> Harness {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(3)], 110)));
    harness.work();
    for (task, run, worker) in harness.take_starts() {
        harness.confirm_start(task, run, &worker);
    }
    harness
}

#[test]
fn a_worker_whose_resources_shrank_gets_no_more_tasks_than_fit() {
    let mut harness = three_of_four();
    resize(&mut harness, "w1", "h1", 2_000);
    harness.deliver(Event::Job(stored(2, vec![step(2)], 120)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "three tasks run where two fit");
    resize(&mut harness, "w1", "h1", 4_000);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1, "the resources have grown again");
}

#[test]
fn runs_being_stopped_occupy_resources_until_their_ends_are_listed() {
    let mut harness = three_of_four();
    harness.deliver(Event::Cancelled(super::id(1)));
    let (task, run) = {
        let stopping = harness.take_stops();
        assert_eq!(stopping.len(), 3);
        (stopping[0], 1)
    };
    resize(&mut harness, "w1", "h1", 3_000);
    harness.deliver(Event::Job(stored(2, vec![step(3)], 120)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "the three runs being stopped occupy everything");
    let end = OrderResult::Done(1_010);
    harness.deliver(Event::Stopped { worker: worker_id("w1"), task, run, end });
    harness.work();
    assert_eq!(
        harness.take_starts(),
        vec![],
        "the order is accepted, but the run may not have ended"
    );
    let stopped =
        EndedRun { number: 1, task, run, how: RunOutcome::Stopped, checkpoint: String::new() };
    harness.now += 10;
    let others = [1, 2].map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    harness.poll("w1", others.to_vec(), vec![stopped]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// The resources of a worker had shrunk below what its runs use. Its negative remainder counted as
/// the largest one when resources were reserved for a long-running task: nothing was started in the
/// pool, and the node's processes ended.
#[test]
fn no_resources_are_reserved_at_a_worker_whose_runs_use_more_than_it_has() {
    let mut harness = three_of_four();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Job(stored(2, vec![step(5)], 120)));
    harness.work();
    for (task, run, worker) in harness.take_starts() {
        harness.confirm_start(task, run, &worker);
    }
    resize(&mut harness, "w1", "h1", 2_000);
    harness.deliver(Event::Job(stored(3, vec![Step { long_running: true, ..step(1) }], 130)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    // One task ends at the other worker, where the resources are reserved.
    let task = super::TaskId { of: first_step(2), index: 4 };
    harness.now += 10;
    let there = (1..4).map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    harness.poll("w2", there.collect(), vec![super::done(1, task, 1)]);
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2, worker_id("w2"));
}

fn first_step(job: u64) -> crate::model::job::StepId {
    crate::model::job::StepId { job: super::id(job), occurrence: 0, step: 0 }
}
