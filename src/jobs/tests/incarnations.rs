//! Tests of workers that start again under their name: each incarnation numbers its ends anew, and
//! may carry out orders to the previous one.

mod losses;

use std::time::Duration;

use super::{Harness, TOKEN, done, id, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::{Effect, Event},
        worker::MAX_ORDER_DELAY_MS,
    },
    model::{
        id::{Incarnation, StartTime},
        job::{JobState, Step, TaskId},
        order::Addressee,
        unit::Steady,
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, Refusal},
    },
};

const FIRST: &str = "w1@1000";
const NEXT: &str = "w1@2000";

/// An owner and a worker that reports its start time, in its first incarnation.
fn first_incarnation() -> Harness {
    let mut harness = Harness::new(0);
    harness.deliver(Event::Worker(report(FIRST, "h1")));
    harness.connect(FIRST, vec![]);
    harness
}

/// A task that was ordered to start at a worker.
fn order_start(harness: &mut Harness, job: u64) -> (TaskId, u32, Incarnation) {
    harness.deliver(Event::Job(stored(job, vec![step(1)], 110)));
    harness.plan();
    harness.take_starts().pop().expect("a worker takes work")
}

/// The newest poll, and the ends that it acknowledges.
fn newest_poll(harness: &mut Harness) -> (Addressee, u64) {
    harness.work();
    let effects = std::mem::take(&mut harness.effects);
    let polls = effects.into_iter().filter_map(|effect| match effect {
        Effect::Poll { to, acknowledged, .. } => Some((to, acknowledged)),
        _ => None,
    });
    polls.last().expect("a poll is due")
}

/// What a poll acknowledges, if anything, and how long it waits.
fn acknowledging(effect: &Effect) -> Option<(u64, Duration)> {
    match effect {
        Effect::Poll { acknowledged, wait, .. } if *acknowledged != 0 => {
            Some((*acknowledged, *wait))
        }
        _ => None,
    }
}

/// A poll that was sent to one incarnation is answered by another, or the same.
fn answer(
    harness: &mut Harness,
    to: &str,
    by: &str,
    present: Vec<PresentRun>,
    ended: Vec<EndedRun>,
) {
    let sent = Steady::from_millis(harness.now);
    answer_to(harness, sent, to, by, present, ended);
}

/// The answer to a poll that was sent earlier.
fn answer_to(
    harness: &mut Harness,
    sent: Steady,
    to: &str,
    by: &str,
    present: Vec<PresentRun>,
    ended: Vec<EndedRun>,
) {
    let born = worker_id(by).born;
    let response = PollResponse { born, clock_ms: 10 + harness.now % 1_000, present, ended };
    let end = OrderResult::Done(response);
    harness.deliver(Event::Polled { worker: worker_id(to), sent, end });
}

/// The worker has started again, as its entry and its answers show, and may get work.
fn start_again(harness: &mut Harness) {
    harness.now += 400;
    answer(harness, FIRST, NEXT, vec![], vec![]);
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    poll_until_fenced(harness, &[]);
}

/// The next incarnation answers, is listed in the roster, and answers under its own token.
fn poll_until_fenced(harness: &mut Harness, runs: &[(TaskId, u32)]) {
    for _ in 0..3 {
        harness.now += 20;
        harness.work();
        let here = runs.iter().map(|(task, run)| present(*task, *run, 10)).collect();
        answer(harness, NEXT, NEXT, here, vec![]);
        harness.persist_roster();
    }
}

#[test]
fn ends_of_the_next_incarnation_count_though_their_numbers_were_used_before() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 500;
    answer(&mut harness, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    start_again(&mut harness);
    let (task, run, at) = order_start(&mut harness, 2);
    assert_eq!(at, worker_id(NEXT));
    harness.confirm_start(task, run, &at);
    harness.now += 500;
    answer(&mut harness, NEXT, NEXT, vec![], vec![done(1, task, run)]);
    let written = harness.persist_progress();
    assert_eq!(
        written.iter().map(|(job, progress)| (*job, progress.state)).collect::<Vec<_>>(),
        [(id(2), JobState::Succeeded)]
    );
    harness.now += 1_100;
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

#[test]
fn a_poll_after_a_silence_acknowledges_nothing() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 500;
    answer(&mut harness, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    assert_eq!(newest_poll(&mut harness).1, 1);
    harness.poll_unanswered(FIRST);
    harness.now += 400;
    assert_eq!(newest_poll(&mut harness).1, 0, "the next incarnation may answer");
    answer(&mut harness, FIRST, FIRST, vec![], vec![]);
    harness.now += 400;
    assert_eq!(newest_poll(&mut harness).1, 1);
}

/// A late poll would make the next incarnation discard the end of a start that it carried out.
#[test]
fn no_start_is_sent_beside_a_poll_that_acknowledges_ends() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 500;
    answer(&mut harness, FIRST, FIRST, vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    harness.deliver(Event::Job(stored(2, vec![step(2)], 111)));
    harness.work();
    let polls: Vec<(u64, Duration)> = harness.effects.iter().filter_map(acknowledging).collect();
    assert_eq!(polls, [(1, Duration::ZERO)], "it is answered at once");
    assert_eq!(harness.take_starts(), vec![], "the poll is pending");
    answer(&mut harness, FIRST, FIRST, vec![], vec![]);
    harness.plan();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    let (first, second) = (&starts[0], &starts[1]);
    harness.confirm_start(first.0, first.1, &at);
    harness.now += 500;
    answer(&mut harness, FIRST, FIRST, vec![], vec![done(2, first.0, first.1)]);
    harness.persist_progress();
    harness.now += 200;
    assert_eq!(newest_poll(&mut harness).1, 0, "the second start has no answer yet");
    harness.confirm_start(second.0, second.1, &at);
    answer(&mut harness, FIRST, FIRST, vec![present(second.0, second.1, 10)], vec![]);
    assert_eq!(newest_poll(&mut harness).1, 2);
}

/// An owner whose start of a task got no answer, with another worker that could take the task.
fn unanswered_start(task: Step) -> Harness {
    let mut harness = first_incarnation();
    harness.deliver(Event::Job(stored(1, vec![task], 110)));
    harness.plan();
    let (task, run, at) = harness.take_starts().pop().expect("a worker takes work");
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.connect("w2@1000", vec![]);
    harness.deliver(Event::Started { worker: at, task, run, end: OrderResult::Unknown });
    harness
}

/// The first worker stays silent for a while, and the other one answers.
fn stay_silent(harness: &mut Harness, millis: u64) {
    harness.now += millis;
    harness.poll_unanswered(FIRST);
    answer(harness, "w2@1000", "w2@1000", vec![], vec![]);
    harness.plan();
}

/// If the task were started elsewhere earlier, the next incarnation might still carry out the
/// unanswered start.
#[test]
fn an_unanswered_start_is_awaited_for_as_long_as_it_may_be_late() {
    let mut harness = unanswered_start(step(1));
    let sent = harness.now;
    while harness.now < sent + MAX_ORDER_DELAY_MS {
        stay_silent(&mut harness, 100);
        assert_eq!(harness.take_starts(), vec![], "{} ms after the order", harness.now - sent);
    }
    stay_silent(&mut harness, 1_000);
    assert_eq!(harness.take_starts().len(), 1);
}

/// Its callers would get no service while it waits.
#[test]
fn a_long_running_task_is_not_held_back_for_a_late_start() {
    let mut harness = unanswered_start(Step { long_running: true, ..step(1) });
    for _ in 0..50 {
        stay_silent(&mut harness, 100);
    }
    assert_eq!(harness.take_starts().len(), 1);
}

#[test]
fn runs_of_an_ended_incarnation_restart_at_once() {
    let mut harness = first_incarnation();
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.connect("w2@1000", vec![]);
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 100;
    answer(&mut harness, &at.to_string(), &at.to_string(), vec![present(task, run, 10)], vec![]);
    harness.now += 100;
    let next = Incarnation::new(at.worker.clone(), Some(StartTime(2_000)));
    answer(&mut harness, &at.to_string(), &next.to_string(), vec![], vec![]);
    harness.plan();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1, "it was listed by the ended incarnation");
    assert_ne!(starts[0].2.worker, at.worker, "the next one has no entry and no token yet");
}

/// The order may be carried out by the next incarnation, seconds later.
#[test]
fn an_unanswered_start_is_assigned_to_the_next_incarnation_until_that_has_listed_its_runs() {
    let mut harness = first_incarnation();
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.connect("w2@1000", vec![]);
    let (task, run, at) = order_start(&mut harness, 1);
    let next = Incarnation::new(at.worker.clone(), Some(StartTime(2_000))).to_string();
    harness.deliver(Event::Started { worker: at.clone(), task, run, end: OrderResult::Unknown });
    answer(&mut harness, &at.to_string(), &next, vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it may still begin");
    harness.now += 20;
    answer(&mut harness, &next, &next, vec![], vec![]);
    assert_eq!(harness.take_stops(), [task]);
    let end = OrderResult::Done(10);
    harness.deliver(Event::Stopped { worker: worker_id(&next), task, run, end });
    harness.now += 20;
    answer(&mut harness, &next, &next, vec![], vec![]);
    let stopped = harness.now;
    while harness.now < stopped + MAX_ORDER_DELAY_MS {
        harness.plan();
        assert_eq!(harness.take_starts(), vec![], "a third incarnation may begin it");
        harness.now += 100;
        answer(&mut harness, "w2@1000", "w2@1000", vec![], vec![]);
    }
    harness.now += 1_000;
    answer(&mut harness, "w2@1000", "w2@1000", vec![], vec![]);
    harness.plan();
    assert_eq!(harness.take_starts().len(), 1, "it will not begin");
}

#[test]
fn a_run_that_the_next_incarnation_has_begun_is_not_started_again() {
    let mut harness = first_incarnation();
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.connect("w2@1000", vec![]);
    let (task, run, at) = order_start(&mut harness, 1);
    let next = Incarnation::new(at.worker.clone(), Some(StartTime(2_000))).to_string();
    // The answer to a start does not show which incarnation has begun the run.
    harness.confirm_start(task, run, &at);
    harness.now += 20;
    answer(&mut harness, &at.to_string(), &next, vec![present(task, run, 0)], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += 500;
    answer(&mut harness, &next, &next, vec![], vec![done(1, task, run)]);
    assert_eq!(harness.persist_progress()[0].1.state, JobState::Succeeded);
}

#[test]
fn the_next_incarnation_gets_work_only_once_it_refuses_orders_to_the_previous_one() {
    let mut harness = first_incarnation();
    order_start(&mut harness, 1);
    answer(&mut harness, FIRST, NEXT, vec![], vec![]);
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    harness.now += 20;
    let (to, _) = newest_poll(&mut harness);
    assert_eq!((to.worker, to.token), (worker_id(NEXT), TOKEN));
    answer(&mut harness, NEXT, NEXT, vec![], vec![]);
    harness.persist_roster().expect("its entry in the roster is new");
    harness.deliver(Event::Job(stored(2, vec![step(1)], 111)));
    harness.now += 20;
    harness.work();
    assert!(!harness.effects.iter().any(|effect| matches!(effect, Effect::Start { .. })));
    let mut tokens = harness.effects.iter().rev().filter_map(|effect| match effect {
        Effect::Poll { to, .. } => Some(to.token),
        _ => None,
    });
    let token = tokens.next().expect("a poll carries the token");
    assert!(TOKEN < token);
    answer(&mut harness, NEXT, NEXT, vec![], vec![]);
    harness.effects.clear();
    harness.plan();
    let start = harness.effects.iter().find_map(|effect| match effect {
        Effect::Start { to, .. } => Some(to.token),
        _ => None,
    });
    assert_eq!(start, Some(token));
}

#[test]
fn an_order_under_an_earlier_token_of_the_same_owner_does_not_depose_it() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    start_again(&mut harness);
    let refused = OrderResult::Refused { why: Refusal::Fenced, clock_ms: None };
    harness.deliver(Event::Stopped { worker: at, task, run, end: refused.clone() });
    harness.deliver(Event::Stopped { worker: worker_id(NEXT), task, run, end: refused });
    assert!(!harness.owner.is_deposed());
    harness.now += 20;
    let (worker, sent) = (worker_id(NEXT), Steady::from_millis(harness.now));
    let end = OrderResult::Refused { why: Refusal::Fenced, clock_ms: None };
    harness.deliver(Event::Polled { worker, sent, end });
    assert!(harness.owner.is_deposed(), "the current poll carries its current token");
}

/// A node with a stale view reports the earlier entry, and answers may arrive out of order.
#[test]
fn an_ended_incarnation_is_not_used_again() {
    let mut harness = first_incarnation();
    start_again(&mut harness);
    harness.deliver(Event::Worker(report(FIRST, "h1")));
    answer(&mut harness, FIRST, FIRST, vec![], vec![]);
    answer(&mut harness, NEXT, FIRST, vec![], vec![]);
    let (_, _, at) = order_start(&mut harness, 1);
    assert_eq!(at, worker_id(NEXT));
}

/// The wall clock of its machine may jump back.
#[test]
fn the_next_incarnation_may_report_an_earlier_start() {
    let mut harness = first_incarnation();
    harness.now += 400;
    answer(&mut harness, FIRST, "w1@500", vec![], vec![]);
    harness.deliver(Event::Worker(report("w1@500", "h1")));
    for _ in 0..3 {
        harness.now += 20;
        harness.work();
        answer(&mut harness, "w1@500", "w1@500", vec![], vec![]);
        harness.persist_roster();
    }
    assert_eq!(order_start(&mut harness, 1).2, worker_id("w1@500"));
}

#[test]
fn the_next_incarnation_may_have_other_labels_and_another_address() {
    let mut harness = first_incarnation();
    let mut next = report(NEXT, "h2");
    next.labels = vec!["b".to_owned(), "r7".to_owned()];
    harness.deliver(Event::Worker(next));
    poll_until_fenced(&mut harness, &[]);
    assert_eq!(order_start(&mut harness, 1).2, worker_id(NEXT));
}

#[test]
fn a_restarted_clock_is_not_taken_for_the_earlier_one() {
    let mut harness = Harness::new(0);
    harness.now = 500_000;
    harness.deliver(Event::Worker(report(FIRST, "h1")));
    harness.connect(FIRST, vec![]);
    order_start(&mut harness, 1);
    harness.now += 400;
    answer(&mut harness, FIRST, NEXT, vec![], vec![]);
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    poll_until_fenced(&mut harness, &[]);
    harness.deliver(Event::Job(stored(2, vec![step(1)], 111)));
    harness.plan();
    let until = harness.effects.iter().find_map(|effect| match effect {
        Effect::Start { start, .. } => Some(start.until_ms),
        _ => None,
    });
    assert!(until.is_some_and(|until| until < 10_000), "{until:?} is not on the restarted clock");
}

/// Records of versions that did not distinguish incarnations.
#[test]
fn a_worker_persisted_without_its_start_is_polled_before_tasks_begin_that_it_may_run() {
    let silent_workers = crate::jobs::roster::SilentWorkers::default();
    let mut harness = Harness::inheriting(&[("w1", "h1")], silent_workers);
    harness.deliver(Event::Worker(report(FIRST, "h1")));
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.connect("w2@1000", vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "w1 may run it");
    answer(&mut harness, "w1", FIRST, vec![], vec![]);
    harness.work();
    assert_eq!(
        harness.take_starts(),
        vec![],
        "an answer of another incarnation does not show its runs"
    );
    let task =
        TaskId { of: crate::model::job::StepId { job: id(1), occurrence: 0, step: 0 }, index: 0 };
    harness.now += 20;
    answer(&mut harness, FIRST, FIRST, vec![present(task, 1, 10)], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it runs there");
}

#[test]
fn a_late_answer_of_the_earlier_incarnation_does_not_end_the_listed_one() {
    let mut harness = first_incarnation();
    let (task, run, at) = order_start(&mut harness, 1);
    harness.confirm_start(task, run, &at);
    harness.now += 100;
    answer(&mut harness, FIRST, FIRST, vec![present(task, run, 10)], vec![]);
    let sent = Steady::from_millis(harness.now);
    harness.now += 100;
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    // It was carried out before the restart, and is handled after the new entry.
    answer_to(&mut harness, sent, FIRST, FIRST, vec![present(task, run, 10)], vec![]);
    let mut restarted = Vec::new();
    for _ in 0..400 {
        harness.now += 50;
        harness.plan();
        restarted.extend(harness.take_starts());
        answer(&mut harness, FIRST, NEXT, vec![], vec![]);
        answer(&mut harness, NEXT, NEXT, vec![], vec![]);
        harness.persist_roster();
    }
    assert_eq!(restarted.len(), 1, "the run ended with the earlier incarnation");
    assert_eq!(restarted[0].2, worker_id(NEXT));
}

#[test]
fn a_late_first_answer_of_the_earlier_worker_at_an_address_does_not_end_the_live_one() {
    let mut harness = Harness::new(0);
    harness.deliver(Event::Worker(report("w0@1000", "h1")));
    harness.work();
    let early = Steady::from_millis(harness.now);
    harness.now += 100;
    harness.deliver(Event::Worker(report(FIRST, "h1")));
    harness.connect(FIRST, vec![]);
    let (task, run, at) = order_start(&mut harness, 1);
    assert_eq!(at, worker_id(FIRST));
    harness.confirm_start(task, run, &at);
    harness.deliver(Event::Worker(report("w2@1000", "h2")));
    harness.connect("w2@1000", vec![]);
    harness.now += 100;
    answer(&mut harness, FIRST, FIRST, vec![present(task, run, 10)], vec![]);
    answer_to(&mut harness, early, "w0@1000", "w0@1000", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it runs at the worker that answered last");
}

#[test]
fn the_token_of_a_worker_that_is_listed_again_does_not_decrease() {
    let mut harness = first_incarnation();
    order_start(&mut harness, 1);
    start_again(&mut harness);
    harness.now += 1_100;
    let (before, _) = newest_poll(&mut harness);
    assert!(TOKEN < before.token);
    harness.deliver(Event::Unlisted(worker_id(NEXT).worker));
    // The roster's write is delayed for as long as the worker is silent.
    for _ in 0..200 {
        harness.now += 100;
        harness.poll_unanswered(NEXT);
        harness.work();
    }
    harness.effects.clear();
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    let (after, _) = newest_poll(&mut harness);
    assert_eq!(after.worker, before.worker);
    assert!(before.token <= after.token, "{} after {}", after.token, before.token);
}

#[test]
fn a_poll_from_before_the_own_token_that_is_refused_late_does_not_depose_the_owner() {
    let mut harness = first_incarnation();
    order_start(&mut harness, 1);
    answer(&mut harness, FIRST, NEXT, vec![], vec![]);
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    harness.now += 20;
    harness.work();
    answer(&mut harness, NEXT, NEXT, vec![], vec![]);
    harness.now += 1_100;
    let (to, _) = newest_poll(&mut harness);
    assert_eq!((to.worker, to.token), (worker_id(NEXT), TOKEN));
    let early = Steady::from_millis(harness.now);
    harness.now += 20;
    harness.persist_roster().expect("its entry in the roster is new");
    let (to, _) = newest_poll(&mut harness);
    assert!(TOKEN < to.token, "the second poll overtakes the first");
    answer(&mut harness, NEXT, NEXT, vec![], vec![]);
    let end = OrderResult::Refused { why: Refusal::Fenced, clock_ms: None };
    harness.deliver(Event::Polled { worker: worker_id(NEXT), sent: early, end });
    assert!(!harness.owner.is_deposed(), "the refused poll carried the owner's earlier token");
}

#[test]
fn a_worker_that_answers_again_and_again_is_not_ignored_for_good() {
    let mut harness = first_incarnation();
    start_again(&mut harness);
    let (worker, sent) = (worker_id(NEXT), Steady::from_millis(harness.now));
    let end = OrderResult::Refused { why: Refusal::OtherLife, clock_ms: None };
    harness.deliver(Event::Polled { worker, sent, end });
    harness.deliver(Event::Worker(report("w1@3000", "h1")));
    harness.deliver(Event::Worker(report(NEXT, "h1")));
    for _ in 0..2 {
        harness.now += 200;
        answer(&mut harness, "w1@3000", NEXT, vec![], vec![]);
    }
    poll_until_fenced(&mut harness, &[]);
    assert_eq!(order_start(&mut harness, 1).2, worker_id(NEXT));
}
