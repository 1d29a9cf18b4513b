//! Tests of how fast an owner is informed of the state of runs whose orders got no answer.

use super::{Harness, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        worker::{POLL_TIMEOUT_MS, SHORT_POLL_TIMEOUT_MS},
    },
    model::{id::Incarnation, job::TaskId, worker::OrderResult},
};

/// The polls since the last call: the worker, and how long each waits.
fn polls(harness: &mut Harness) -> Vec<(Incarnation, u64)> {
    let effects = std::mem::take(&mut harness.effects);
    let polls = effects.into_iter().filter_map(|effect| match effect {
        Effect::Poll { to, wait, .. } => Some((to.worker, wait.as_millis() as u64)),
        _ => None,
    });
    polls.collect()
}

/// A worker with one task whose start got no answer.
fn unanswered_start() -> (Harness, TaskId, u32) {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.deliver(Event::Started { worker, task, run, end: OrderResult::Unknown });
    (harness, task, run)
}

#[test]
fn an_unanswered_start_is_polled_at_once() {
    let (mut harness, ..) = unanswered_start();
    harness.work();
    assert_eq!(polls(&mut harness), vec![(worker_id("w1"), 0)]);
}

/// The run never began and never will: no end is listed that a poll could wait for.
#[test]
fn a_task_that_did_not_begin_restarts_with_the_poll_after_its_stop() {
    let (mut harness, task, run) = unanswered_start();
    harness.work();
    harness.now += 5;
    harness.poll("w1", vec![], vec![]);
    assert_eq!(harness.take_stops(), vec![task]);
    harness.now += 5;
    let end = OrderResult::Done(1_000 + harness.now);
    harness.deliver(Event::Stopped { worker: worker_id("w1"), task, run, end });
    harness.now += 1;
    harness.work();
    assert_eq!(polls(&mut harness), vec![(worker_id("w1"), 0)]);
    harness.poll("w1", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![(task, run + 1, worker_id("w1"))]);
}

/// Four busy workers and an idle one, with the runs at each.
fn busy_pool() -> (Harness, Vec<(TaskId, u32, Incarnation)>) {
    let mut harness = Harness::new(0);
    let workers = [("w1", "h1"), ("w2", "h2"), ("w3", "h3"), ("w4", "h4"), ("w5", "h5")];
    for (name, host) in workers {
        harness.deliver(Event::Worker(report(name, host)));
        harness.connect(name, vec![]);
    }
    harness.deliver(Event::Job(stored(1, vec![step(16)], 110)));
    harness.work();
    let starts = harness.take_starts();
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
    }
    harness.work();
    polls(&mut harness);
    (harness, starts)
}

/// A worker answers a poll with what runs there.
fn answer(harness: &mut Harness, name: &str, starts: &[(TaskId, u32, Incarnation)]) {
    let here = starts.iter().filter(|(.., worker)| worker.worker.as_str() == name);
    let here = here.map(|(task, run, _)| present(*task, *run, 10)).collect();
    harness.poll(name, here, vec![]);
}

#[test]
fn busy_workers_are_polled_more_often_while_messages_are_lost() {
    let (mut harness, starts) = busy_pool();
    for name in ["w1", "w2", "w3"] {
        harness.poll_unanswered(name);
    }
    answer(&mut harness, "w4", &starts);
    answer(&mut harness, "w5", &starts);
    harness.work();
    let waits = polls(&mut harness);
    assert!(waits.contains(&(worker_id("w4"), SHORT_POLL_TIMEOUT_MS)), "{waits:?}");
    assert!(waits.contains(&(worker_id("w5"), POLL_TIMEOUT_MS)), "nothing runs there: {waits:?}");
    harness.now += 2_100;
    answer(&mut harness, "w4", &starts);
    harness.work();
    let waits = polls(&mut harness);
    assert!(waits.contains(&(worker_id("w4"), POLL_TIMEOUT_MS)), "{waits:?}");
}

/// One worker that falls silent is no reason to poll the others more often.
#[test]
fn one_silent_worker_does_not_shorten_the_polls_of_others() {
    let (mut harness, starts) = busy_pool();
    harness.poll_unanswered("w1");
    answer(&mut harness, "w4", &starts);
    harness.work();
    let waits = polls(&mut harness);
    assert!(waits.contains(&(worker_id("w4"), POLL_TIMEOUT_MS)), "{waits:?}");
}

/// After a demand peak hundreds of hosts leave a pool within seconds. Each of their workers was
/// polled up to seven times a second until its runs had expired: 400 departed workers cost more
/// calls than the 120 at work, most of them sent by the owner's own node, since other nodes got no
/// answer either. Departed and unlisted workers are up to three quarters of a pool then (439 of 570
/// workers answered, later 168 of 638). The limit is two polls a second, after half a second in
/// which a worker may only have missed one.
#[test]
fn a_departed_worker_is_polled_less_often() {
    let mut harness = one_worker();
    harness.deliver(Event::Unlisted(worker_id("w1").worker));
    harness.effects.clear();
    let mut poll_count = 0;
    for _ in 0..340 {
        harness.now += 10;
        harness.work();
        for _ in polls(&mut harness) {
            poll_count += 1;
            harness.poll_unanswered("w1");
        }
    }
    assert!(4 <= poll_count, "{poll_count} polls: it may come back at any moment");
    assert!(poll_count <= 4 + 2 * 3, "{poll_count} polls in 3.4 s");
}
