//! Workers whose resources shrink and grow again while they run tasks.

use super::{Bench, one_worker, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::{Room, Step},
        unit::{Megabytes, Millicores},
        worker::{Ended, HowEnded, OrderEnd},
    },
};

/// Reports other resources of a worker.
fn resize(harness: &mut Bench, name: &str, host: &str, cpu: u32) {
    let room = Room { cpu: Millicores(cpu), memory: Megabytes(8_000), gpus: 0 };
    harness.tell(Event::Worker(super::WorkerReport { room, ..report(name, host) }));
}

/// A worker with resources for four tasks, which runs three.
fn three_of_four() -> Bench {
    let mut harness = one_worker();
    harness.tell(Event::Job(stored(1, vec![step(3)], 110)));
    harness.work();
    for (task, run, worker) in harness.starts() {
        harness.started(task, run, &worker);
    }
    harness
}

#[test]
fn a_worker_whose_resources_shrank_gets_no_more_tasks_than_fit() {
    let mut harness = three_of_four();
    resize(&mut harness, "w1", "h1", 2_000);
    harness.tell(Event::Job(stored(2, vec![step(2)], 120)));
    harness.work();
    assert_eq!(harness.starts(), vec![], "three tasks run where two fit");
    resize(&mut harness, "w1", "h1", 4_000);
    harness.work();
    assert_eq!(harness.starts().len(), 1, "the resources have grown again");
}

#[test]
fn runs_being_stopped_occupy_resources_until_their_ends_are_listed() {
    let mut harness = three_of_four();
    harness.tell(Event::Cancelled(super::id(1)));
    let (task, run) = {
        let stopping = harness.stops();
        assert_eq!(stopping.len(), 3);
        (stopping[0], 1)
    };
    resize(&mut harness, "w1", "h1", 3_000);
    harness.tell(Event::Job(stored(2, vec![step(3)], 120)));
    harness.work();
    assert_eq!(harness.starts(), vec![], "the three runs being stopped occupy everything");
    let end = OrderEnd::Done(1_010);
    harness.tell(Event::Stopped { worker: worker_id("w1"), task, run, end });
    harness.work();
    assert_eq!(harness.starts(), vec![], "the order is accepted, but the run may not have ended");
    let stopped = Ended { number: 1, task, run, how: HowEnded::Stopped, saved: String::new() };
    harness.now += 10;
    let others = [1, 2].map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    harness.look("w1", others.to_vec(), vec![stopped]);
    harness.work();
    assert_eq!(harness.starts().len(), 1);
}

/// The resources of a worker had shrunk below what its runs use. Its negative remainder counted as
/// the largest one when resources were reserved for a lasting task: nothing was started in the
/// pool, and the node's processes ended.
#[test]
fn no_resources_are_reserved_at_a_worker_whose_runs_use_more_than_it_has() {
    let mut harness = three_of_four();
    harness.tell(Event::Worker(report("w2", "h2")));
    harness.touch("w2", vec![]);
    harness.tell(Event::Job(stored(2, vec![step(5)], 120)));
    harness.work();
    for (task, run, worker) in harness.starts() {
        harness.started(task, run, &worker);
    }
    resize(&mut harness, "w1", "h1", 2_000);
    harness.tell(Event::Job(stored(3, vec![Step { lasting: true, ..step(1) }], 130)));
    harness.work();
    assert_eq!(harness.starts(), vec![]);
    // One task ends at the other worker, where the resources are reserved.
    let task = super::TaskId { of: first_step(2), index: 4 };
    harness.now += 10;
    let there = (1..4).map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    harness.look("w2", there.collect(), vec![super::done(1, task, 1)]);
    harness.work();
    let starts = harness.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2, worker_id("w2"));
}

fn first_step(job: u64) -> crate::model::job::StepId {
    crate::model::job::StepId { job: super::id(job), time: 0, step: 0 }
}
