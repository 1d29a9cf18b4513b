//! Tests of owners that wait for a silent worker and are replaced meanwhile. The worker may run any
//! task of earlier jobs until its lease has expired, whoever owns the pool. If each owner waited
//! anew, no task would begin while owners change.

use super::{Harness, TOKEN, id, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        owner::Owner,
        roster::SilentWorkers,
        tests::present,
    },
    model::{job::TaskId, unit::Steady},
};

const TICK_MS: u64 = 100;
/// The store's part in a change of owners, in milliseconds.
const CHANGE_MS: u64 = 200;
/// How old the record of an owner may be that ends without notice, in milliseconds.
const MAX_RECORD_AGE_MS: u64 = 1_000;

/// A pool with one worker that answers and a silent one, under one owner after the other.
struct Pool {
    harness: Harness,
    /// What the store has for the next owner.
    persisted: SilentWorkers,
    earlier_owners: u32,
}

impl Pool {
    /// The first owner of the test takes over from one that has left no record.
    fn new() -> Pool {
        let mut pool = Pool {
            harness: Harness::new(0),
            persisted: SilentWorkers::default(),
            earlier_owners: 0,
        };
        pool.take_over();
        pool
    }

    /// The next owner takes over with what the store has.
    fn take_over(&mut self) {
        self.earlier_owners += 1;
        let (now, owners) = (self.harness.now, self.earlier_owners);
        let at = Steady::from_millis(now);
        let owner = Owner::new(TOKEN + u64::from(owners), owners, at);
        self.harness = Harness { owner, now, ..Harness::new(0) };
        let (at, workers) = (self.harness.at(), vec![report("w1", "h1"), report("w2", "h2")]);
        self.harness.owner.inherit(workers, &self.persisted, at, &mut self.harness.effects);
        for (worker, host) in [("w1", "h1"), ("w2", "h2")] {
            self.harness.deliver(Event::Worker(report(worker, host)));
        }
        self.harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    }

    fn persist_roster(&mut self) {
        if let Some(write) = self.harness.persist_roster() {
            self.persisted = write.silent_workers;
        }
    }

    /// Lets time pass, in which one worker answers. Returns whether a task was started.
    fn tick(&mut self) -> bool {
        self.harness.now += TICK_MS;
        self.harness.work();
        self.harness.poll("w1", vec![], vec![]);
        self.harness.poll_unanswered("w2");
        self.persist_roster();
        self.harness.work();
        !self.harness.take_starts().is_empty()
    }

    /// Lets the owner act for some time, in which it starts nothing.
    fn wait(&mut self, millis: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            assert!(!self.tick(), "the silent worker may run the task");
        }
    }

    /// When a task is started, in milliseconds.
    fn first_start(&mut self) -> u64 {
        while !self.tick() {
            assert!(self.harness.now < 60_000, "nothing is started");
        }
        self.harness.now
    }

    /// The owner releases the pool, and the next one acquires it.
    fn hand_over(&mut self) {
        self.persisted =
            self.harness.owner.handover_record(self.harness.at()).expect("a handover record");
        self.harness.now += CHANGE_MS;
        self.take_over();
    }

    /// The owner ends without notice, and the next one acquires the pool.
    fn replace_owner(&mut self) {
        self.harness.now += CHANGE_MS;
        self.take_over();
    }
}

/// How long a single owner waits.
fn single_wait() -> u64 {
    Pool::new().first_start()
}

/// Review case 2: the pool was handed over for balance during the wait, which began anew.
#[test]
fn a_wait_goes_on_when_the_pool_is_handed_over() {
    let single = single_wait();
    for times in [vec![300], vec![2_500], vec![4_900], vec![2_500, 2_500], vec![100; 20]] {
        let mut pool = Pool::new();
        for millis in &times {
            pool.wait(*millis);
            pool.hand_over();
        }
        let started = pool.first_start();
        // The time of the change itself is not known to the next owner.
        let changes = times.len() as u64;
        let allowed = single..=single + changes * (CHANGE_MS + TICK_MS);
        assert!(allowed.contains(&started), "{started} ms instead of {single} after {times:?}");
    }
}

/// Owners that end without notice leave what they last persisted.
#[test]
fn a_wait_goes_on_when_owners_end_without_notice() {
    let single = single_wait();
    for times in [vec![2_500], vec![5_000], vec![2_500, 2_500], vec![1_500; 4]] {
        let mut pool = Pool::new();
        for millis in &times {
            pool.wait(*millis);
            pool.replace_owner();
        }
        let started = pool.first_start();
        let changes = times.len() as u64;
        let latest = single + changes * (CHANGE_MS + MAX_RECORD_AGE_MS + TICK_MS);
        let allowed = single..=latest;
        assert!(allowed.contains(&started), "{started} ms instead of {single} after {times:?}");
    }
}

/// An owner in between may have prolonged what runs at the worker.
#[test]
fn the_record_of_a_wait_applies_to_the_very_next_owner_only() {
    let single = single_wait();
    let mut pool = Pool::new();
    pool.wait(5_000);
    pool.earlier_owners += 1;
    pool.replace_owner();
    let began = pool.harness.now;
    let started = pool.first_start();
    assert!(began + single <= started, "{started} ms");
}

/// The lease of a worker on whose expiry the next owner relies.
#[test]
fn a_worker_that_answers_during_the_wait_gets_nothing_before_that_is_persisted() {
    let mut pool = Pool::new();
    pool.wait(2_000);
    let polls = |harness: &mut Harness| -> Vec<Option<u64>> {
        let effects = std::mem::take(&mut harness.effects);
        let polls = effects.into_iter().filter_map(|effect| match effect {
            Effect::Poll { to, until_ms, .. } if to.worker == worker_id("w2") => Some(until_ms),
            _ => None,
        });
        polls.collect()
    };
    let harness = &mut pool.harness;
    let running: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let answer = |harness: &mut Harness| {
        harness.poll("w2", vec![present(running, 1, 30)], vec![]);
        harness.now += 1_100;
        harness.work();
        polls(harness)
    };
    polls(harness);
    assert_eq!(answer(harness), [None], "its lease is not extended");
    let write = harness.owner.roster_note(9).expect("the worker is to be recorded");
    assert!(write.silent_workers.expiring.is_none());
    assert_eq!(answer(harness), [None], "the write may not be done");
    harness.roster_persisted(&write);
    assert!(answer(harness)[0].is_some());
}

/// After the takeover of a large pool hundreds of workers answer late, one after the other: each
/// would cost a write of the whole record.
#[test]
fn the_wait_for_many_workers_is_at_first_recorded_with_a_release_only() {
    const WORKERS: usize = 65;
    let names: Vec<(String, String)> =
        (0..WORKERS).map(|number| (format!("w{number}"), format!("h{number}"))).collect();
    let listed: Vec<(&str, &str)> = names.iter().map(|(w, h)| (w.as_str(), h.as_str())).collect();
    let mut harness = Harness::inheriting(&listed, SilentWorkers::default());
    for _ in 0..3 {
        harness.now += 1_000;
        harness.work();
        listed.iter().for_each(|(worker, _)| harness.poll_unanswered(worker));
    }
    assert_eq!(harness.owner.roster_note(9), None);
    let record = harness.owner.handover_record(harness.at()).expect("a handover record");
    assert_eq!(record.expiring.map(|expiring| expiring.len()), Some(WORKERS));
    harness.poll("w0", vec![], vec![]);
    let write = harness.owner.roster_note(9).expect("few enough are silent");
    assert_eq!(write.silent_workers.expiring.map(|expiring| expiring.len()), Some(WORKERS - 1));
}

/// A worker falls silent, and the pool is handed over before its lease has expired: its tasks need
/// not wait for longer than under the first owner.
#[test]
fn the_tasks_of_a_silent_worker_wait_for_its_lease_only_once() {
    let restart = |hands_over: bool| {
        let mut pool = Pool::new();
        pool.harness.work();
        pool.harness.poll("w1", vec![], vec![]);
        pool.harness.poll("w2", vec![], vec![]);
        pool.persist_roster();
        pool.harness.work();
        let started = pool.harness.take_starts();
        assert_eq!(started.len(), 1);
        let (task, run, worker) = started[0].clone();
        let (silent, other) = match worker == worker_id("w1") {
            true => ("w1", "w2"),
            false => ("w2", "w1"),
        };
        pool.harness.confirm_start(task, run, &worker);
        pool.harness.poll(silent, vec![present(task, run, 10)], vec![]);
        pool.harness.poll(other, vec![], vec![]);
        pool.harness.work();
        pool.harness.persist_progress();
        let began = pool.harness.now;
        loop {
            pool.harness.now += TICK_MS;
            pool.harness.work();
            pool.harness.poll(other, vec![], vec![]);
            pool.harness.poll_unanswered(silent);
            pool.persist_roster();
            pool.harness.work();
            if !pool.harness.take_starts().is_empty() {
                return pool.harness.now - began;
            }
            if hands_over && pool.harness.now == began + 2_000 {
                pool.hand_over();
            }
            assert!(pool.harness.now < began + 60_000, "nothing is started");
        }
    };
    let (single, changed) = (restart(false), restart(true));
    let allowed = single..=single + CHANGE_MS + 2 * TICK_MS;
    assert!(allowed.contains(&changed), "{changed} ms instead of {single}");
}
