//! Tests of how fast an owner learns the state of runs whose orders got no answer.

use super::{Bench, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        worker::{HASTY_LOOK_WAIT_MS, LOOK_WAIT_MS},
    },
    model::{id::Incarnation, job::TaskId, worker::OrderEnd},
};

/// The polls since the last call: the worker, and how long each waits.
fn looks(bench: &mut Bench) -> Vec<(Incarnation, u64)> {
    let effects = std::mem::take(&mut bench.effects);
    let looks = effects.into_iter().filter_map(|effect| match effect {
        Effect::Look { to, wait, .. } => Some((to.worker, wait.as_millis() as u64)),
        _ => None,
    });
    looks.collect()
}

/// A worker with one task whose start got no answer.
fn unanswered_start() -> (Bench, TaskId, u32) {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.tell(Event::Started { worker, task, run, end: OrderEnd::Unknown });
    (bench, task, run)
}

#[test]
fn a_start_without_an_answer_is_looked_into_at_once() {
    let (mut bench, ..) = unanswered_start();
    bench.work();
    assert_eq!(looks(&mut bench), vec![(worker_id("w1"), 0)]);
}

/// The run never began and never will: no end is listed that a poll could wait for.
#[test]
fn a_task_that_did_not_begin_is_free_with_the_look_after_its_stop() {
    let (mut bench, task, run) = unanswered_start();
    bench.work();
    bench.now += 5;
    bench.look("w1", vec![], vec![]);
    assert_eq!(bench.stops(), vec![task]);
    bench.now += 5;
    let end = OrderEnd::Done(1_000 + bench.now);
    bench.tell(Event::Stopped { worker: worker_id("w1"), task, run, end });
    bench.now += 1;
    bench.work();
    assert_eq!(looks(&mut bench), vec![(worker_id("w1"), 0)]);
    bench.look("w1", vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![(task, run + 1, worker_id("w1"))]);
}

/// Four busy workers and an idle one, with the runs at each.
fn busy_pool() -> (Bench, Vec<(TaskId, u32, Incarnation)>) {
    let mut bench = Bench::new(0);
    let workers = [("w1", "h1"), ("w2", "h2"), ("w3", "h3"), ("w4", "h4"), ("w5", "h5")];
    for (name, host) in workers {
        bench.tell(Event::Worker(report(name, host)));
        bench.touch(name, vec![]);
    }
    bench.tell(Event::Job(stored(1, vec![step(16)], 110)));
    bench.work();
    let starts = bench.starts();
    for (task, run, worker) in &starts {
        bench.started(*task, *run, worker);
    }
    bench.work();
    looks(&mut bench);
    (bench, starts)
}

/// A worker answers a poll with what runs there.
fn answer(bench: &mut Bench, name: &str, starts: &[(TaskId, u32, Incarnation)]) {
    let here = starts.iter().filter(|(.., worker)| worker.worker.as_str() == name);
    let here = here.map(|(task, run, _)| present(*task, *run, 10)).collect();
    bench.look(name, here, vec![]);
}

#[test]
fn busy_workers_are_looked_at_more_often_while_orders_get_lost() {
    let (mut bench, starts) = busy_pool();
    for name in ["w1", "w2", "w3"] {
        bench.miss(name);
    }
    answer(&mut bench, "w4", &starts);
    answer(&mut bench, "w5", &starts);
    bench.work();
    let waits = looks(&mut bench);
    assert!(waits.contains(&(worker_id("w4"), HASTY_LOOK_WAIT_MS)), "{waits:?}");
    assert!(waits.contains(&(worker_id("w5"), LOOK_WAIT_MS)), "nothing runs there: {waits:?}");
    bench.now += 2_100;
    answer(&mut bench, "w4", &starts);
    bench.work();
    let waits = looks(&mut bench);
    assert!(waits.contains(&(worker_id("w4"), LOOK_WAIT_MS)), "{waits:?}");
}

/// One worker that falls silent is no reason to poll the others more often.
#[test]
fn one_silent_worker_does_not_hurry_the_looks_at_others() {
    let (mut bench, starts) = busy_pool();
    bench.miss("w1");
    answer(&mut bench, "w4", &starts);
    bench.work();
    let waits = looks(&mut bench);
    assert!(waits.contains(&(worker_id("w4"), LOOK_WAIT_MS)), "{waits:?}");
}

/// After a demand peak hundreds of hosts leave a pool within seconds. Each of their workers was
/// polled up to seven times a second until its runs had expired: 400 departed workers cost more
/// calls than the 120 at work, most of them sent by the owner's own node, since other nodes got no
/// answer either. Departed and unlisted workers are up to three quarters of a pool then (439 of 570
/// workers answered, later 168 of 638). The limit is two polls a second, after half a second in
/// which a worker may only have missed one.
#[test]
fn a_worker_that_is_gone_is_asked_ever_less_often() {
    let mut bench = one_worker();
    bench.tell(Event::Unlisted(worker_id("w1").worker));
    bench.effects.clear();
    let mut asked = 0;
    for _ in 0..340 {
        bench.now += 10;
        bench.work();
        for _ in looks(&mut bench) {
            asked += 1;
            bench.miss("w1");
        }
    }
    assert!(4 <= asked, "{asked} looks: it may be back at any moment");
    assert!(asked <= 4 + 2 * 3, "{asked} looks in 3.4 s");
}
