//! Tests of what an owner persists for the next one when it releases its pool.

use std::collections::{BTreeMap, BTreeSet};

use super::{Bench, done, id, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        owner::DOUBTED,
        roster::Away,
    },
    model::{
        id::Incarnation,
        job::{JobId, TaskId},
        worker::Ended,
    },
};

/// An owner of workers, each with as many tasks as it can run.
fn busy(workers: usize) -> (Bench, BTreeMap<Incarnation, Vec<(TaskId, u32)>>) {
    let mut bench = Bench::new(0);
    for number in 0..workers {
        let name = format!("w{number}");
        bench.tell(Event::Worker(report(&name, &format!("h{number}"))));
    }
    bench.work();
    (0..workers).for_each(|number| bench.look(&format!("w{number}"), vec![], vec![]));
    while bench.keep_roster().is_some() {}
    bench.tell(Event::Job(stored(1, vec![step(workers as u32 * 4)], 110)));
    bench.work();
    let mut runs: BTreeMap<Incarnation, Vec<(TaskId, u32)>> = BTreeMap::new();
    for (task, run, worker) in bench.starts() {
        bench.started(task, run, &worker);
        runs.entry(worker).or_default().push((task, run));
    }
    assert_eq!(runs.values().map(Vec::len).sum::<usize>(), workers * 4);
    (bench, runs)
}

/// The next owner of the same workers, with jobs that are older than its ownership.
fn next(bench: &Bench, workers: usize, jobs: impl Iterator<Item = (u64, u32)>) -> Bench {
    let away = bench.owner.parting(bench.at()).unwrap_or_default();
    let names: Vec<(String, String)> =
        (0..workers).map(|number| (format!("w{number}"), format!("h{number}"))).collect();
    let listed: Vec<(&str, &str)> = names.iter().map(|(w, h)| (w.as_str(), h.as_str())).collect();
    let mut next = Bench::inheriting(&listed, away);
    for (number, tasks) in jobs {
        next.tell(Event::Job(stored(number, vec![step(tasks)], 50)));
    }
    next
}

/// The ends of a worker's runs.
fn ends(runs: &[(TaskId, u32)]) -> Vec<Ended> {
    (1..).zip(runs).map(|(number, (task, run))| done(number, *task, *run)).collect()
}

/// Guards against a pool that starts nothing after a change of owner. The owner of 558 workers was
/// ordered to shut down during a demand peak, while hosts moved away by the hundred, and persisted
/// nothing about what may run at its workers. The new owner found all workers in the roster, each
/// of which might run anything. It held back the tasks of all earlier jobs (384 jobs, 3,464 tasks)
/// until the departed workers' leases had expired, 8.7 s later. An owner that gives no further
/// orders knows exactly what may run.
#[test]
fn tasks_that_wait_begin_at_the_first_worker_that_answers_a_new_owner() {
    const WORKERS: usize = 550;
    const LIVING: usize = 250;
    let (mut earlier, runs) = busy(WORKERS);
    // That the first job has begun is durable: its tasks are held back because they run.
    earlier.save();
    let mut bench =
        next(&earlier, WORKERS, [(1, 2_200)].into_iter().chain((2..386).map(|n| (n, 9))));
    bench.work();
    bench.look("w0", vec![], ends(&runs[&worker_id("w0")]));
    bench.keep_roster();
    bench.work();
    let first = bench.starts();
    assert_eq!(first.len(), 4, "of {WORKERS} workers one was asked, and has four cores");
    for number in 1..LIVING {
        let name = format!("w{number}");
        bench.look(&name, vec![], ends(&runs[&worker_id(&name)]));
    }
    bench.keep_roster();
    bench.work();
    let others = bench.starts();
    assert_eq!(others.len(), (LIVING - 1) * 4);
    let may_run: BTreeSet<JobId> = [id(1)].into();
    let mut started = first.iter().chain(&others);
    assert!(started.all(|(task, ..)| !may_run.contains(&task.of.job)), "a gone worker may run it");
}

/// An end that was counted but is not durable is unknown to the next owner until the worker lists
/// it again.
#[test]
fn a_task_whose_end_is_not_durable_waits_for_the_worker_that_tells_of_it() {
    let (mut earlier, runs) = busy(2);
    earlier.look("w1", vec![], ends(&runs[&worker_id("w1")]));
    let mut bench = next(&earlier, 2, [(1, 8), (2, 3)].into_iter());
    bench.work();
    bench.look("w0", vec![], ends(&runs[&worker_id("w0")]));
    bench.keep_roster();
    bench.work();
    let started: Vec<JobId> = bench.starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(2); 3]);
}

/// Once an owner has given orders, the handover record of the one before it no longer applies.
#[test]
fn what_was_left_counts_for_the_very_next_owner() {
    let (earlier, runs) = busy(2);
    let left = earlier.owner.parting(earlier.at()).expect("all is known");
    for owners in [1, 2, 3] {
        let mut bench = Bench::new(owners);
        let now = bench.at();
        let workers = vec![report("w0", "h0"), report("w1", "h1")];
        bench.owner.inherit(workers, &left, now, &mut bench.effects);
        bench.tell(Event::Job(stored(2, vec![step(3)], 50)));
        bench.work();
        bench.look("w0", vec![], ends(&runs[&worker_id("w0")]));
        bench.work();
        let started = bench.starts().len();
        assert_eq!(started, if owners == 1 { 3 } else { 0 }, "{owners} owners before");
    }
}

/// The record can be read back, and so can one of an earlier version.
#[test]
fn what_is_left_is_read_as_it_was_written() {
    let (earlier, _) = busy(3);
    let left = earlier.owner.parting(earlier.at()).expect("all is known");
    let text = serde_json::to_string(&left).unwrap();
    assert_eq!(text.matches("0000000000000001.0.0").count(), 1, "each step is named once: {text}");
    assert_eq!(serde_json::from_str::<Away>(&text).unwrap(), left);
    assert_eq!(serde_json::from_str::<Away>("{}").unwrap(), Away::default());
    assert!(serde_json::from_str::<Away>(r#"{"h":{"o":1,"t":{"no step":[1]}}}"#).is_err());
}

/// An owner that still waits for workers has nothing to hand over.
#[test]
fn an_owner_that_does_not_know_what_may_run_leaves_no_word_of_it() {
    let mut bench = Bench::inheriting(&[("w0", "h0"), ("w1", "h1")], Away::default());
    bench.touch("w0", vec![]);
    assert_eq!(bench.owner.parting(bench.at()), None);
    bench.touch("w1", vec![]);
    assert!(bench.owner.parting(bench.at()).is_some());
}

/// A run or an end of a job that the owner does not know may belong to one that the next owner
/// knows.
#[test]
fn runs_and_ends_of_unknown_jobs_leave_no_word() {
    let task: TaskId = format!("{}.0.0.0", id(7)).parse().unwrap();
    let (mut run, _) = busy(2);
    run.look("w1", vec![present(task, 1, 30)], vec![]);
    assert_eq!(run.owner.parting(run.at()), None);
    let (mut end, _) = busy(2);
    end.look("w1", vec![], vec![done(1, task, 1)]);
    assert_eq!(end.owner.parting(end.at()), None);
}

/// An owner that knows that nothing runs on hosts that have moved away does not poll them for
/// seconds.
#[test]
fn workers_that_hold_nothing_and_are_not_listed_are_not_asked() {
    let (mut earlier, runs) = busy(3);
    earlier.look("w2", vec![], ends(&runs[&worker_id("w2")]));
    earlier.save();
    earlier.miss("w2");
    let mut bench = next(&earlier, 3, std::iter::empty());
    bench.work();
    let asked: BTreeSet<Incarnation> = (bench.effects.iter())
        .filter_map(|effect| match effect {
            Effect::Look { to, .. } => Some(to.worker.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(asked, [worker_id("w0"), worker_id("w1")].into());
}

/// Each plan added all handed-over tasks anew for each worker that was not polled yet: after a
/// demand peak hundreds of workers times thousands of tasks, some hundred times a second.
#[test]
fn a_plan_does_not_go_through_what_was_left_for_each_worker_anew() {
    const WORKERS: usize = 200;
    let (earlier, _) = busy(WORKERS);
    let mut bench = next(&earlier, WORKERS, [(1, 800), (2, 9)].into_iter());
    bench.work();
    DOUBTED.set(0);
    bench.work();
    let doubted = DOUBTED.take();
    assert!(doubted <= WORKERS * 4, "{doubted} for {} tasks", WORKERS * 4);
}
