//! Tests of what an owner persists for the next one when it releases its pool.

use std::collections::{BTreeMap, BTreeSet};

use super::{Harness, done, id, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        owner::UNCONFIRMED_ADDED,
        roster::SilentWorkers,
    },
    model::{
        id::Incarnation,
        job::{JobId, TaskId},
        worker::EndedRun,
    },
};

/// An owner of workers, each with as many tasks as it can run.
fn busy_owner(workers: usize) -> (Harness, BTreeMap<Incarnation, Vec<(TaskId, u32)>>) {
    let mut harness = Harness::new(0);
    for number in 0..workers {
        let name = format!("w{number}");
        harness.deliver(Event::Worker(report(&name, &format!("h{number}"))));
    }
    harness.work();
    (0..workers).for_each(|number| harness.poll(&format!("w{number}"), vec![], vec![]));
    while harness.persist_roster().is_some() {}
    harness.deliver(Event::Job(stored(1, vec![step(workers as u32 * 4)], 110)));
    harness.work();
    let mut runs: BTreeMap<Incarnation, Vec<(TaskId, u32)>> = BTreeMap::new();
    for (task, run, worker) in harness.take_starts() {
        harness.confirm_start(task, run, &worker);
        runs.entry(worker).or_default().push((task, run));
    }
    assert_eq!(runs.values().map(Vec::len).sum::<usize>(), workers * 4);
    (harness, runs)
}

/// The next owner of the same workers, with jobs that are older than its ownership.
fn next_owner(
    harness: &Harness,
    workers: usize,
    jobs: impl Iterator<Item = (u64, u32)>,
) -> Harness {
    let silent_workers = harness.owner.handover_record(harness.at()).unwrap_or_default();
    let names: Vec<(String, String)> =
        (0..workers).map(|number| (format!("w{number}"), format!("h{number}"))).collect();
    let listed: Vec<(&str, &str)> = names.iter().map(|(w, h)| (w.as_str(), h.as_str())).collect();
    let mut next = Harness::inheriting(&listed, silent_workers);
    for (number, tasks) in jobs {
        next.deliver(Event::Job(stored(number, vec![step(tasks)], 50)));
    }
    next
}

/// The ends of a worker's runs.
fn ends(runs: &[(TaskId, u32)]) -> Vec<EndedRun> {
    (1..).zip(runs).map(|(number, (task, run))| done(number, *task, *run)).collect()
}

/// Guards against a pool that starts nothing after a change of owner. The owner of 558 workers was
/// ordered to shut down during a demand peak, while hosts moved away by the hundred, and persisted
/// nothing about what may run at its workers. The new owner found all workers in the roster, each
/// of which might run anything. It held back the tasks of all earlier jobs (384 jobs, 3,464 tasks)
/// until the departed workers' leases had expired, 8.7 s later. An owner that gives no further
/// orders knows exactly what may run.
#[test]
fn waiting_tasks_begin_at_the_first_worker_that_answers_a_new_owner() {
    const WORKERS: usize = 550;
    const RESPONDING: usize = 250;
    let (mut earlier, runs) = busy_owner(WORKERS);
    // The begin of the first job is durable: its tasks are held back only because they run.
    earlier.persist_progress();
    let mut harness =
        next_owner(&earlier, WORKERS, [(1, 2_200)].into_iter().chain((2..386).map(|n| (n, 9))));
    harness.work();
    harness.poll("w0", vec![], ends(&runs[&worker_id("w0")]));
    harness.persist_roster();
    harness.work();
    let first = harness.take_starts();
    assert_eq!(first.len(), 4, "one of {WORKERS} workers was polled, and has four cores");
    for number in 1..RESPONDING {
        let name = format!("w{number}");
        harness.poll(&name, vec![], ends(&runs[&worker_id(&name)]));
    }
    harness.persist_roster();
    harness.work();
    let others = harness.take_starts();
    assert_eq!(others.len(), (RESPONDING - 1) * 4);
    let may_run: BTreeSet<JobId> = [id(1)].into();
    let mut started = first.iter().chain(&others);
    assert!(
        started.all(|(task, ..)| !may_run.contains(&task.of.job)),
        "a departed worker may run it"
    );
}

/// An end that was counted but is not durable is unknown to the next owner until the worker lists
/// it again.
#[test]
fn a_task_whose_end_is_not_durable_waits_for_the_worker_that_lists_it() {
    let (mut earlier, runs) = busy_owner(2);
    earlier.poll("w1", vec![], ends(&runs[&worker_id("w1")]));
    let mut harness = next_owner(&earlier, 2, [(1, 8), (2, 3)].into_iter());
    harness.work();
    harness.poll("w0", vec![], ends(&runs[&worker_id("w0")]));
    harness.persist_roster();
    harness.work();
    let started: Vec<JobId> = harness.take_starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(2); 3]);
}

/// Once an owner has given orders, the handover record of the one before it no longer applies.
#[test]
fn a_handover_record_applies_to_the_very_next_owner_only() {
    let (earlier, runs) = busy_owner(2);
    let record = earlier.owner.handover_record(earlier.at()).expect("all is known");
    for owners in [1, 2, 3] {
        let mut harness = Harness::new(owners);
        let now = harness.at();
        let workers = vec![report("w0", "h0"), report("w1", "h1")];
        harness.owner.inherit(workers, &record, now, &mut harness.effects);
        harness.deliver(Event::Job(stored(2, vec![step(3)], 50)));
        harness.work();
        harness.poll("w0", vec![], ends(&runs[&worker_id("w0")]));
        harness.work();
        let started = harness.take_starts().len();
        assert_eq!(started, if owners == 1 { 3 } else { 0 }, "{owners} owners before");
    }
}

/// The record can be read back, and so can one of an earlier version.
#[test]
fn a_handover_record_can_be_read_back() {
    let (earlier, _) = busy_owner(3);
    let record = earlier.owner.handover_record(earlier.at()).expect("all is known");
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(text.matches("0000000000000001.0.0").count(), 1, "each step is named once: {text}");
    assert_eq!(serde_json::from_str::<SilentWorkers>(&text).unwrap(), record);
    assert_eq!(serde_json::from_str::<SilentWorkers>("{}").unwrap(), SilentWorkers::default());
    assert!(serde_json::from_str::<SilentWorkers>(r#"{"h":{"o":1,"t":{"no step":[1]}}}"#).is_err());
}

/// An owner that still waits for a worker hands over that any task may run there.
#[test]
fn an_owner_that_does_not_know_what_may_run_hands_over_the_wait() {
    let mut harness = Harness::inheriting(&[("w0", "h0"), ("w1", "h1")], SilentWorkers::default());
    harness.connect("w0", vec![]);
    let mut next = next_owner(&harness, 2, [(2, 3)].into_iter());
    next.connect("w0", vec![]);
    next.work();
    assert_eq!(next.take_starts(), vec![], "w1 may run them");
    let record = harness.owner.handover_record(harness.at()).expect("w1 is silent");
    assert_eq!(record.handover, None, "an earlier version does not know of expiring workers");
    harness.connect("w1", vec![]);
    let record = harness.owner.handover_record(harness.at()).expect("all is known");
    assert_eq!(record.expiring, None);
}

/// A worker that has answered and has not listed all ends may be given more time to run.
#[test]
fn an_owner_that_has_not_seen_all_ends_of_a_worker_hands_nothing_over() {
    let mut harness = Harness::inheriting(&[("w0", "h0"), ("w1", "h1")], SilentWorkers::default());
    harness.connect("w0", vec![]);
    let task: TaskId = format!("{}.0.0.0", id(7)).parse().unwrap();
    let page = (1..=500).map(|number| done(number, task, number as u32)).collect();
    harness.work();
    harness.poll("w1", vec![], page);
    assert_eq!(harness.owner.handover_record(harness.at()), None);
}

/// A run or an end of a job that the owner does not know may belong to one that the next owner
/// knows.
#[test]
fn runs_and_ends_of_unknown_jobs_prevent_a_handover_record() {
    let task: TaskId = format!("{}.0.0.0", id(7)).parse().unwrap();
    let (mut run, _) = busy_owner(2);
    run.poll("w1", vec![present(task, 1, 30)], vec![]);
    assert_eq!(run.owner.handover_record(run.at()), None);
    let (mut end, _) = busy_owner(2);
    end.poll("w1", vec![], vec![done(1, task, 1)]);
    assert_eq!(end.owner.handover_record(end.at()), None);
}

/// An owner that knows that nothing runs on hosts that have moved away does not poll them for
/// seconds.
#[test]
fn unlisted_workers_without_runs_are_not_polled() {
    let (mut earlier, runs) = busy_owner(3);
    earlier.poll("w2", vec![], ends(&runs[&worker_id("w2")]));
    earlier.persist_progress();
    earlier.poll_unanswered("w2");
    let mut harness = next_owner(&earlier, 3, std::iter::empty());
    harness.work();
    let polled: BTreeSet<Incarnation> = (harness.effects.iter())
        .filter_map(|effect| match effect {
            Effect::Poll { to, .. } => Some(to.worker.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(polled, [worker_id("w0"), worker_id("w1")].into());
}

/// Each plan added all handed-over tasks anew for each worker that was not polled yet: after a
/// demand peak hundreds of workers times thousands of tasks, some hundred times a second.
#[test]
fn a_plan_adds_handed_over_tasks_once_for_all_workers() {
    const WORKERS: usize = 200;
    let (earlier, _) = busy_owner(WORKERS);
    let mut harness = next_owner(&earlier, WORKERS, [(1, 800), (2, 9)].into_iter());
    harness.work();
    UNCONFIRMED_ADDED.set(0);
    harness.work();
    let added = UNCONFIRMED_ADDED.take();
    assert!(added <= WORKERS * 4, "{added} added for {} tasks", WORKERS * 4);
}
