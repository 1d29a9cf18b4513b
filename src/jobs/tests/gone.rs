//! Tests of the counts of restarted tasks and of unexpected runs, by which an operator traces a
//! task that ran twice to the state that its owner had.

use super::{Bench, done, one_worker, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::Event,
        gone::{Counts, Gone, Stray},
    },
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{Ended, HowEnded, OrderEnd, Refusal},
    },
};

/// One task that runs at the only worker.
fn running() -> (Bench, TaskId, u32, Incarnation) {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    assert_eq!(bench.owner.take_counts(), Counts::default());
    (bench, task, run, worker)
}

fn restarts(bench: &mut Bench) -> Vec<(&'static str, u64)> {
    bench.owner.take_counts().restarts.into_iter().collect()
}

fn strays(bench: &mut Bench) -> Vec<(&'static str, u64)> {
    bench.owner.take_counts().strays.into_iter().collect()
}

#[test]
fn a_task_that_starts_again_counts_by_why_its_run_was_held_to_be_over() {
    let (mut bench, task, run, _) = running();
    let failed = HowEnded::Failed;
    let end = Ended { number: 1, task, run, how: failed, saved: String::new() };
    bench.now += 100;
    bench.look("w1", vec![], vec![end]);
    bench.work();
    assert_eq!(restarts(&mut bench), vec![(Gone::Ended(failed).word(), 1)]);
    let (task, run, worker) = bench.starts().pop().unwrap();
    bench.started(task, run, &worker);
    bench.now += 100;
    bench.look("w1", vec![], vec![]);
    bench.work();
    assert_eq!(restarts(&mut bench), vec![(Gone::Unlisted.word(), 1)]);
}

#[test]
fn a_refused_start_counts_as_refused_and_a_first_start_not_at_all() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    assert_eq!(restarts(&mut bench), vec![]);
    let (task, run, worker) = bench.starts()[0].clone();
    let why = Refusal::Room;
    let end = OrderEnd::Refused { why, clock_ms: None };
    bench.tell(Event::Started { worker, task, run, end });
    bench.now += 1_000;
    bench.look("w1", vec![], vec![]);
    bench.work();
    assert_eq!(restarts(&mut bench), vec![(Gone::Refused(why).word(), 1)]);
}

#[test]
fn a_silent_workers_task_counts_as_lapsed_unseen() {
    let (mut bench, ..) = running();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.now += 10;
    bench.miss("w1");
    for _ in 0..5 {
        bench.now += 1_000;
        bench.look("w2", vec![], vec![]);
        bench.work();
    }
    assert_eq!(restarts(&mut bench), vec![(Gone::Lapsed.word(), 1)]);
}

#[test]
fn runs_that_should_not_be_there_count_by_what_is_wrong_with_them() {
    let (mut bench, task, run, _) = running();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![present(task, run + 7, 10)]);
    assert_eq!(strays(&mut bench), vec![(Stray::Elsewhere.word(), 1)]);
    bench.now += 10;
    bench.look("w1", vec![present(task, run + 1, 10)], vec![]);
    assert_eq!(strays(&mut bench), vec![(Stray::OtherRun.word(), 1)]);
    bench.now += 10;
    bench.look("w1", vec![], vec![done(1, task, run)]);
    bench.look("w2", vec![present(task, run + 7, 10)], vec![]);
    assert_eq!(strays(&mut bench), vec![(Stray::Done.word(), 1)]);
    bench.save();
    bench.now += 10;
    bench.look("w2", vec![present(task, run + 7, 10)], vec![]);
    assert_eq!(strays(&mut bench), vec![(Stray::NoJob.word(), 1)]);
}

#[test]
fn the_run_before_is_told_with_its_worker_and_age() {
    let previous = crate::jobs::gone::Previous {
        worker: worker_id("w3"),
        run: 2,
        why: Gone::Lapsed,
        at: Steady::from_millis(1_000),
    };
    let told = previous.told(Steady::from_millis(1_120)).to_string();
    assert_eq!(told, "run 2 at w3: lapsed unseen, 120 ms ago");
}

/// A later owner may have acquired the pool though this one's lease holds, and may have renewed the
/// lease of the worker that is silent here: only a conditional write shows that there is none.
#[test]
fn what_has_lapsed_counts_up_to_when_the_store_confirmed_the_owner() {
    let (mut bench, ..) = running();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.now += 10;
    bench.miss("w1");
    let confirmed = bench.at().steady;
    let unconfirmed = |bench: &mut Bench| {
        bench.look("w2", vec![], vec![]);
        let now = bench.at();
        bench.owner.work(now, &mut bench.effects);
    };
    for _ in 0..5 {
        bench.now += 1_000;
        unconfirmed(&mut bench);
    }
    assert_eq!(restarts(&mut bench), vec![], "confirmed at {confirmed:?}");
    assert!(bench.owner.awaits_confirmation(bench.at().steady));
    let now = bench.at().steady;
    bench.owner.set_confirmed(now);
    unconfirmed(&mut bench);
    assert_eq!(restarts(&mut bench), vec![(Gone::Lapsed.word(), 1)]);
    assert!(!bench.owner.awaits_confirmation(bench.at().steady));
}
