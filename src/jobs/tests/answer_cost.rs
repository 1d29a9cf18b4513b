//! The cost of a worker's answer to its owner.
//!
//! Guards against answers that cost as much as the pool is large: each looked at all jobs and all
//! workers. A late owner has a longer backlog, and it made each answer dearer.

use super::{Harness, done, present, report, step, stored, worker_id};
use crate::jobs::{event::Event, table};

/// The visits of jobs and workers for an answer that lists an end, in a pool of so many workers
/// that has as many jobs.
fn visits(workers: u64, jobs: u64) -> u64 {
    let mut harness = Harness::new(0);
    let name = |number: u64| format!("w{number:03}");
    (0..workers).for_each(|number| {
        harness.deliver(Event::Worker(report(&name(number), &format!("h{number:03}"))));
    });
    harness.work();
    (0..workers).for_each(|number| harness.poll(&name(number), vec![], vec![]));
    harness.persist_all();
    (1..=jobs).for_each(|number| harness.deliver(Event::Job(stored(number, vec![step(1)], 110))));
    harness.work();
    let starts = harness.take_starts();
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
    }
    let at_first = starts.iter().filter(|(_, _, worker)| *worker == worker_id("w000"));
    let runs: Vec<_> = at_first.map(|(task, run, _)| (*task, *run)).collect();
    assert_eq!(runs.len(), 4);
    harness.now += 500;
    let listed = runs[1..].iter().map(|(task, run)| present(*task, *run, 50)).collect();
    table::take_visits();
    harness.poll("w000", listed, vec![done(1, runs[0].0, runs[0].1)]);
    table::take_visits()
}

impl Harness {
    /// Persists the roster of a pool of any size.
    fn persist_all(&mut self) {
        while self.persist_roster().is_some() {}
    }
}

#[test]
fn an_answer_costs_no_more_when_more_jobs_wait() {
    assert_eq!(visits(20, 80), visits(20, 800));
}

#[test]
fn an_answer_costs_no_more_in_a_larger_pool() {
    assert_eq!(visits(20, 80), visits(200, 80));
}
