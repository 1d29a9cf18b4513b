//! Tests of workers that start again under their name: each incarnation numbers its ends anew, and
//! may carry out orders to the previous one.

use std::time::Duration;

use super::{Bench, TOKEN, done, id, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        worker::LATE_ORDER_MS,
    },
    model::{
        id::{Born, Incarnation},
        job::{JobState, Step, TaskId},
        order::Addressee,
        unit::Steady,
        worker::{Ended, Look, OrderEnd, Present, Refusal},
    },
};

const FIRST: &str = "w1@1000";
const NEXT: &str = "w1@2000";

/// An owner and a worker that reports its start time, in its first incarnation.
fn first() -> Bench {
    let mut bench = Bench::new(0);
    bench.tell(Event::Worker(report(FIRST, "h1")));
    bench.touch(FIRST, vec![]);
    bench
}

/// A task that was ordered to start at a worker.
fn ordered(bench: &mut Bench, job: u64) -> (TaskId, u32, Incarnation) {
    bench.tell(Event::Job(stored(job, vec![step(1)], 110)));
    bench.work();
    bench.starts().pop().expect("a worker takes work")
}

/// The newest poll, and the ends that it acknowledges.
fn newest_look(bench: &mut Bench) -> (Addressee, u64) {
    bench.work();
    let effects = std::mem::take(&mut bench.effects);
    let looks = effects.into_iter().filter_map(|effect| match effect {
        Effect::Look { to, acknowledged, .. } => Some((to, acknowledged)),
        _ => None,
    });
    looks.last().expect("a look is due")
}

/// What a poll acknowledges, if anything, and how long it waits.
fn acknowledging(effect: &Effect) -> Option<(u64, Duration)> {
    match effect {
        Effect::Look { acknowledged, wait, .. } if *acknowledged != 0 => {
            Some((*acknowledged, *wait))
        }
        _ => None,
    }
}

/// A poll that was sent to one incarnation is answered by another, or the same.
fn answer(bench: &mut Bench, to: &str, by: &str, present: Vec<Present>, ended: Vec<Ended>) {
    let born = worker_id(by).born;
    let look = Look { born, clock_ms: 10 + bench.now % 1_000, present, ended };
    let (worker, sent) = (worker_id(to), Steady::from_millis(bench.now));
    bench.tell(Event::Looked { worker, sent, end: OrderEnd::Done(look) });
}

/// The worker has started again, as its entry and its answers show, and may get work.
fn start_again(bench: &mut Bench) {
    bench.now += 400;
    answer(bench, FIRST, NEXT, vec![], vec![]);
    bench.tell(Event::Worker(report(NEXT, "h1")));
    look_until_guarded(bench, &[]);
}

/// The next incarnation answers, is listed in the roster, and answers under its own token.
fn look_until_guarded(bench: &mut Bench, runs: &[(TaskId, u32)]) {
    for _ in 0..3 {
        bench.now += 20;
        bench.work();
        let here = runs.iter().map(|(task, run)| present(*task, *run, 10)).collect();
        answer(bench, NEXT, NEXT, here, vec![]);
        bench.keep_roster();
    }
}

#[test]
fn ends_of_the_next_incarnation_count_though_their_numbers_were_counted_before() {
    let mut bench = first();
    let (task, run, at) = ordered(&mut bench, 1);
    bench.started(task, run, &at);
    bench.now += 500;
    answer(&mut bench, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    bench.save();
    start_again(&mut bench);
    let (task, run, at) = ordered(&mut bench, 2);
    assert_eq!(at, worker_id(NEXT));
    bench.started(task, run, &at);
    bench.now += 500;
    answer(&mut bench, NEXT, NEXT, vec![], vec![done(1, task, run)]);
    let kept = bench.save();
    assert_eq!(
        kept.iter().map(|(job, kept)| (*job, kept.state)).collect::<Vec<_>>(),
        [(id(2), JobState::Succeeded)]
    );
    bench.now += 1_100;
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

#[test]
fn a_look_after_a_silence_acknowledges_nothing() {
    let mut bench = first();
    let (task, run, at) = ordered(&mut bench, 1);
    bench.started(task, run, &at);
    bench.now += 500;
    answer(&mut bench, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    bench.save();
    assert_eq!(newest_look(&mut bench).1, 1);
    bench.miss(FIRST);
    bench.now += 400;
    assert_eq!(newest_look(&mut bench).1, 0, "the next incarnation may answer");
    answer(&mut bench, FIRST, FIRST, vec![], vec![]);
    bench.now += 400;
    assert_eq!(newest_look(&mut bench).1, 1);
}

/// A late poll would make the next incarnation discard the end of a start that it carried out.
#[test]
fn no_start_may_be_on_its_way_beside_a_look_that_acknowledges_ends() {
    let mut bench = first();
    let (task, run, at) = ordered(&mut bench, 1);
    bench.started(task, run, &at);
    bench.now += 500;
    answer(&mut bench, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    bench.save();
    bench.tell(Event::Job(stored(2, vec![step(2)], 111)));
    bench.work();
    let looks: Vec<(u64, Duration)> = bench.effects.iter().filter_map(acknowledging).collect();
    assert_eq!(looks, [(1, Duration::ZERO)], "it is answered at once");
    assert_eq!(bench.starts(), vec![], "the look is on its way");
    answer(&mut bench, FIRST, FIRST, vec![], vec![]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 2);
    let (first, second) = (&starts[0], &starts[1]);
    bench.started(first.0, first.1, &at);
    bench.now += 500;
    answer(&mut bench, FIRST, FIRST, vec![], vec![done(2, first.0, first.1)]);
    bench.save();
    bench.now += 200;
    assert_eq!(newest_look(&mut bench).1, 0, "the second start has no answer yet");
    bench.started(second.0, second.1, &at);
    answer(&mut bench, FIRST, FIRST, vec![present(second.0, second.1, 10)], vec![]);
    assert_eq!(newest_look(&mut bench).1, 2);
}

/// An owner whose start of a task got no answer, with another worker that could take the task.
fn unanswered(task: Step) -> Bench {
    let mut bench = first();
    bench.tell(Event::Job(stored(1, vec![task], 110)));
    bench.work();
    let (task, run, at) = bench.starts().pop().expect("a worker takes work");
    bench.tell(Event::Worker(report("w2@1000", "h2")));
    bench.touch("w2@1000", vec![]);
    bench.tell(Event::Started { worker: at, task, run, end: OrderEnd::Unknown });
    bench
}

/// The first worker stays silent for a while, and the other one answers.
fn stay_silent(bench: &mut Bench, millis: u64) {
    bench.now += millis;
    bench.miss(FIRST);
    answer(bench, "w2@1000", "w2@1000", vec![], vec![]);
    bench.work();
}

/// The next incarnation would carry it out after the task has begun elsewhere.
#[test]
fn a_start_without_an_answer_is_awaited_for_as_long_as_it_may_be_late() {
    let mut bench = unanswered(step(1));
    let sent = bench.now;
    while bench.now < sent + LATE_ORDER_MS {
        stay_silent(&mut bench, 100);
        assert_eq!(bench.starts(), vec![], "{} ms after the order", bench.now - sent);
    }
    stay_silent(&mut bench, 1_000);
    assert_eq!(bench.starts().len(), 1);
}

/// Its callers would miss it meanwhile.
#[test]
fn a_lasting_task_is_not_held_back_for_a_late_start() {
    let mut bench = unanswered(Step { lasting: true, ..step(1) });
    for _ in 0..50 {
        stay_silent(&mut bench, 100);
    }
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn what_ran_at_an_incarnation_that_is_over_starts_again_at_once() {
    let mut bench = first();
    bench.tell(Event::Worker(report("w2@1000", "h2")));
    bench.touch("w2@1000", vec![]);
    let (task, run, at) = ordered(&mut bench, 1);
    bench.started(task, run, &at);
    bench.now += 100;
    answer(&mut bench, &at.to_string(), &at.to_string(), vec![present(task, run, 10)], vec![]);
    bench.now += 100;
    let next = Incarnation::new(at.worker.clone(), Some(Born(2_000)));
    answer(&mut bench, &at.to_string(), &next.to_string(), vec![], vec![]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1, "it was listed by the one that is over");
    assert_ne!(starts[0].2.worker, at.worker, "the next one has no entry and no token yet");
}

/// The order may be carried out by the next incarnation, seconds later.
#[test]
fn a_start_without_an_answer_is_bound_to_the_next_incarnation_until_that_has_told_of_it() {
    let mut bench = first();
    bench.tell(Event::Worker(report("w2@1000", "h2")));
    bench.touch("w2@1000", vec![]);
    let (task, run, at) = ordered(&mut bench, 1);
    let next = Incarnation::new(at.worker.clone(), Some(Born(2_000))).to_string();
    bench.tell(Event::Started { worker: at.clone(), task, run, end: OrderEnd::Unknown });
    answer(&mut bench, &at.to_string(), &next, vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "it may yet begin");
    bench.now += 20;
    answer(&mut bench, &next, &next, vec![], vec![]);
    assert_eq!(bench.stops(), [task]);
    let end = OrderEnd::Done(10);
    bench.tell(Event::Stopped { worker: worker_id(&next), task, run, end });
    bench.now += 20;
    answer(&mut bench, &next, &next, vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1, "it does not begin any more");
}

#[test]
fn a_run_that_the_next_incarnation_has_begun_is_not_started_again() {
    let mut bench = first();
    bench.tell(Event::Worker(report("w2@1000", "h2")));
    bench.touch("w2@1000", vec![]);
    let (task, run, at) = ordered(&mut bench, 1);
    let next = Incarnation::new(at.worker.clone(), Some(Born(2_000))).to_string();
    // Its answer does not show which incarnation has begun it.
    bench.started(task, run, &at);
    bench.now += 20;
    answer(&mut bench, &at.to_string(), &next, vec![present(task, run, 0)], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += 500;
    answer(&mut bench, &next, &next, vec![], vec![done(1, task, run)]);
    assert_eq!(bench.save()[0].1.state, JobState::Succeeded);
}

#[test]
fn the_next_incarnation_gets_work_only_once_it_refuses_orders_to_the_one_before() {
    let mut bench = first();
    ordered(&mut bench, 1);
    answer(&mut bench, FIRST, NEXT, vec![], vec![]);
    bench.tell(Event::Worker(report(NEXT, "h1")));
    bench.now += 20;
    let (to, _) = newest_look(&mut bench);
    assert_eq!((to.worker, to.token), (worker_id(NEXT), TOKEN));
    answer(&mut bench, NEXT, NEXT, vec![], vec![]);
    bench.keep_roster().expect("that it may run something is news");
    bench.tell(Event::Job(stored(2, vec![step(1)], 111)));
    bench.now += 20;
    bench.work();
    assert!(!bench.effects.iter().any(|effect| matches!(effect, Effect::Start { .. })));
    let mut tokens = bench.effects.iter().rev().filter_map(|effect| match effect {
        Effect::Look { to, .. } => Some(to.token),
        _ => None,
    });
    let token = tokens.next().expect("a look brings the token");
    assert!(TOKEN < token);
    answer(&mut bench, NEXT, NEXT, vec![], vec![]);
    bench.effects.clear();
    bench.work();
    let start = bench.effects.iter().find_map(|effect| match effect {
        Effect::Start { to, .. } => Some(to.token),
        _ => None,
    });
    assert_eq!(start, Some(token));
}

#[test]
fn an_order_under_an_earlier_token_of_the_same_owner_does_not_depose_it() {
    let mut bench = first();
    let (task, run, at) = ordered(&mut bench, 1);
    start_again(&mut bench);
    let refused = OrderEnd::Refused { why: Refusal::Fenced, clock_ms: None };
    bench.tell(Event::Stopped { worker: at, task, run, end: refused.clone() });
    bench.tell(Event::Stopped { worker: worker_id(NEXT), task, run, end: refused });
    assert!(!bench.owner.is_deposed());
    bench.now += 20;
    let (worker, sent) = (worker_id(NEXT), Steady::from_millis(bench.now));
    let end = OrderEnd::Refused { why: Refusal::Fenced, clock_ms: None };
    bench.tell(Event::Looked { worker, sent, end });
    assert!(bench.owner.is_deposed(), "a look of now bears the token that it has");
}

/// A node with a stale view reports the earlier entry, and answers may arrive out of order.
#[test]
fn an_incarnation_that_is_over_does_not_come_back() {
    let mut bench = first();
    start_again(&mut bench);
    bench.tell(Event::Worker(report(FIRST, "h1")));
    answer(&mut bench, FIRST, FIRST, vec![], vec![]);
    answer(&mut bench, NEXT, FIRST, vec![], vec![]);
    let (_, _, at) = ordered(&mut bench, 1);
    assert_eq!(at, worker_id(NEXT));
}

/// The wall clock of its machine may jump back.
#[test]
fn the_next_incarnation_may_say_that_it_started_earlier() {
    let mut bench = first();
    bench.now += 400;
    answer(&mut bench, FIRST, "w1@500", vec![], vec![]);
    bench.tell(Event::Worker(report("w1@500", "h1")));
    for _ in 0..3 {
        bench.now += 20;
        bench.work();
        answer(&mut bench, "w1@500", "w1@500", vec![], vec![]);
        bench.keep_roster();
    }
    assert_eq!(ordered(&mut bench, 1).2, worker_id("w1@500"));
}

#[test]
fn the_next_incarnation_may_be_of_another_kind_at_another_address() {
    let mut bench = first();
    let mut next = report(NEXT, "h2");
    next.labels = vec!["b".to_owned(), "r7".to_owned()];
    bench.tell(Event::Worker(next));
    look_until_guarded(&mut bench, &[]);
    assert_eq!(ordered(&mut bench, 1).2, worker_id(NEXT));
}

#[test]
fn a_clock_that_has_begun_anew_is_not_taken_for_the_one_before() {
    let mut bench = Bench::new(0);
    bench.now = 500_000;
    bench.tell(Event::Worker(report(FIRST, "h1")));
    bench.touch(FIRST, vec![]);
    ordered(&mut bench, 1);
    bench.now += 400;
    answer(&mut bench, FIRST, NEXT, vec![], vec![]);
    bench.tell(Event::Worker(report(NEXT, "h1")));
    look_until_guarded(&mut bench, &[]);
    bench.tell(Event::Job(stored(2, vec![step(1)], 111)));
    bench.work();
    let until = bench.effects.iter().find_map(|effect| match effect {
        Effect::Start { start, .. } => Some(start.until_ms),
        _ => None,
    });
    assert!(until.is_some_and(|until| until < 10_000), "by a clock that stands at {until:?}");
}

/// Records of versions that did not distinguish incarnations.
#[test]
fn a_worker_that_was_kept_without_its_start_is_asked_before_tasks_begin_that_it_may_run() {
    let away = crate::jobs::roster::Away::default();
    let mut bench = Bench::inheriting(&[("w1", "h1")], away);
    bench.tell(Event::Worker(report(FIRST, "h1")));
    bench.tell(Event::Worker(report("w2@1000", "h2")));
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.touch("w2@1000", vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "w1 may run it");
    answer(&mut bench, "w1", FIRST, vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "that it is another incarnation does not tell what it runs");
    let task = TaskId { of: crate::model::job::StepId { job: id(1), time: 0, step: 0 }, index: 0 };
    bench.now += 20;
    answer(&mut bench, FIRST, FIRST, vec![present(task, 1, 10)], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![], "it runs there");
}
