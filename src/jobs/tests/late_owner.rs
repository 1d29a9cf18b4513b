//! What an owner does that handles each answer late.

use super::{Harness, report, worker_id};
use crate::{
    jobs::event::{Effect, Event},
    model::{
        id::Incarnation,
        unit::Steady,
        worker::{OrderResult, PollResponse},
    },
};

const WORKERS: usize = 20;

/// Interval between two decisions of the owner, in milliseconds.
const TICK_MS: u64 = 10;

/// How long the owner works before the workers that may get work are counted, in milliseconds.
const SETTLING_MS: u64 = 5_000;

/// The poll of a worker, and when its answer is handled.
struct Pending {
    worker: Incarnation,
    sent: u64,
    answered: u64,
    handled: u64,
}

/// The mean share of idle workers that may get work while each answer is handled this late, in
/// percent.
fn available_percent(late_ms: u64) -> usize {
    let mut harness = Harness::new(0);
    for number in 0..WORKERS {
        harness.deliver(Event::Worker(report(&format!("w{number}"), &format!("h{number}"))));
    }
    let mut pending: Vec<Pending> = Vec::new();
    let (mut available, mut ticks) = (0, 0);
    while harness.now < 2 * SETTLING_MS {
        harness.now += TICK_MS;
        let (handled, waiting): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|poll| poll.handled <= harness.now);
        pending = waiting;
        for Pending { worker, sent, answered, .. } in handled {
            let clock_ms = 1_000 + answered;
            let response =
                PollResponse { born: None, clock_ms, present: Vec::new(), ended: Vec::new() };
            let (sent, end) = (Steady::from_millis(sent), OrderResult::Done(response));
            harness.deliver(Event::Polled { worker, sent, end });
        }
        harness.work();
        harness.persist_roster();
        for effect in std::mem::take(&mut harness.effects) {
            if let Effect::Poll { to, wait, .. } = effect {
                let (sent, answered) = (harness.now, harness.now + wait.as_millis() as u64);
                let handled = answered + late_ms;
                pending.push(Pending { worker: to.worker, sent, answered, handled });
            }
        }
        if SETTLING_MS <= harness.now {
            available += harness.owner.held_back(harness.at()).available;
            ticks += 1;
        }
    }
    assert!(harness.owner.addressee(&worker_id("w0")).is_some());
    available * 100 / (ticks * WORKERS)
}

/// Guards against an owner whose workers get no work any more once it handles their answers so late
/// that they count as overdue.
#[test]
fn the_workers_of_a_late_owner_may_get_work_in_proportion() {
    for late_ms in [0, 100, 300, 500, 700, 1_000] {
        let (percent, least) = (available_percent(late_ms), 100 * 1_000 / (1_000 + late_ms));
        eprintln!("{late_ms} ms late: {percent} % of the workers");
        assert!(least as usize <= percent, "{percent} % at {late_ms} ms, not {least} %");
    }
}
