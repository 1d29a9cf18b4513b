//! Workers whose room shrinks and grows again while they run.

use super::{Bench, one_worker, report, step, stored, worker_id};
use crate::{
    jobs::event::Event,
    model::{
        job::{Room, Step},
        unit::{Megabytes, Millicores},
        worker::{Ended, HowEnded, OrderEnd},
    },
};

/// The worker's own report tells another room.
fn resize(bench: &mut Bench, name: &str, host: &str, cpu: u32) {
    let room = Room { cpu: Millicores(cpu), memory: Megabytes(8_000), gpus: 0 };
    bench.tell(Event::Worker(super::WorkerReport { room, ..report(name, host) }));
}

/// A worker with room for four tasks, which runs three.
fn three_of_four() -> Bench {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(3)], 110)));
    bench.work();
    for (task, run, worker) in bench.starts() {
        bench.started(task, run, &worker);
    }
    bench
}

#[test]
fn a_room_that_has_shrunk_takes_no_more_than_fits() {
    let mut bench = three_of_four();
    resize(&mut bench, "w1", "h1", 2_000);
    bench.tell(Event::Job(stored(2, vec![step(2)], 120)));
    bench.work();
    assert_eq!(bench.starts(), vec![], "three of two are there already");
    resize(&mut bench, "w1", "h1", 4_000);
    bench.work();
    assert_eq!(bench.starts().len(), 1, "it has grown again");
}

#[test]
fn what_is_being_stopped_fills_the_room_until_its_end_is_listed() {
    let mut bench = three_of_four();
    bench.tell(Event::Cancelled(super::id(1)));
    let (task, run) = {
        let stopping = bench.stops();
        assert_eq!(stopping.len(), 3);
        (stopping[0], 1)
    };
    resize(&mut bench, "w1", "h1", 3_000);
    bench.tell(Event::Job(stored(2, vec![step(3)], 120)));
    bench.work();
    assert_eq!(bench.starts(), vec![], "the three that stop fill it");
    let end = OrderEnd::Done(1_010);
    bench.tell(Event::Stopped { worker: worker_id("w1"), task, run, end });
    bench.work();
    assert_eq!(bench.starts(), vec![], "the order is taken, and the run may still be there");
    let stopped = Ended { number: 1, task, run, how: HowEnded::Stopped, saved: String::new() };
    bench.now += 10;
    let others = [1, 2].map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    bench.look("w1", others.to_vec(), vec![stopped]);
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// What users would see: no work begins in the pool, and the node's processes end. A worker's room
/// had shrunk below what ran there, and room was to be kept for a task that lasts: what was left of
/// it was taken for the most there is.
#[test]
fn room_is_not_kept_at_a_worker_that_has_less_than_runs_there() {
    let mut bench = three_of_four();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.tell(Event::Job(stored(2, vec![step(5)], 120)));
    bench.work();
    for (task, run, worker) in bench.starts() {
        bench.started(task, run, &worker);
    }
    resize(&mut bench, "w1", "h1", 2_000);
    bench.tell(Event::Job(stored(3, vec![Step { lasting: true, ..step(1) }], 130)));
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    // One task ends at the other worker, whose room is the one that is kept.
    let task = super::TaskId { of: first_step(2), index: 4 };
    bench.now += 10;
    let there = (1..4).map(|index| super::present(super::TaskId { index, ..task }, 1, 50));
    bench.look("w2", there.collect(), vec![super::done(1, task, 1)]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2, worker_id("w2"));
}

fn first_step(job: u64) -> crate::model::job::StepId {
    crate::model::job::StepId { job: super::id(job), time: 0, step: 0 }
}
