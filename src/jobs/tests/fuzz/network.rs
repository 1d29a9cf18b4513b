//! Fuzzing of the effects of several connections and delegates: answers arrive late and in another
//! order than the calls were executed, two polls are in flight at once, and workers end their runs
//! late after their lease has expired.

use bolero::TypeGenerator;

use super::{Naming, Op, Simulation, clone_order};
use crate::{
    jobs::{
        event::{Effect, Event},
        worker::EXPIRY_DELAY_MS,
    },
    model::{
        unit::Steady,
        worker::{OrderResult, Refusal},
    },
    tests::fuzz,
};

/// How long an answer may wait to be handled, in milliseconds: the longest call through another
/// node takes 1.6 s, and a paused owner handles it later than that.
const MAX_ANSWER_DELAY_MS: u64 = 3_000;

/// How late workers end their runs after their lease has expired, in milliseconds: the maximum that
/// an owner allows for, less one step of simulated time, since runs end only at the end of a step.
const EXPIRY_LAG_MS: u64 = EXPIRY_DELAY_MS - 25;

/// Longer than any of these tests runs, in milliseconds.
const LONG_RUN_MS: u64 = 60_000;

/// A network event.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum NetworkEvent {
    Nothing,
    /// An order is executed, and its answer is queued.
    Execute {
        owner: u8,
        index: u8,
    },
    /// An order is executed, and the loss of its answer is queued.
    ExecuteUnanswered {
        owner: u8,
        index: u8,
    },
    /// One of the queued answers is handled.
    HandleAnswer {
        index: u8,
    },
    /// A worker refuses an order.
    Refuse {
        owner: u8,
        index: u8,
    },
    /// An owner decides after a delay, while orders and answers are in flight.
    Decide {
        owner: u8,
        delay: u8,
    },
}

/// An operation, followed by two network events.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct FuzzStep {
    op: Op,
    first: NetworkEvent,
    second: NetworkEvent,
}

/// An answer that is queued until its owner handles it.
pub(super) struct PendingAnswer {
    owner: usize,
    due: u64,
    /// `None` if the order's answer is lost.
    event: Option<Event>,
    effect: Effect,
    sent: u64,
}

impl Simulation {
    /// Handles one of the queued answers.
    pub(super) fn handle_answer(&mut self, index: usize) {
        if self.answers.is_empty() {
            return;
        }
        let answer = self.answers.remove(index % self.answers.len());
        match answer.event {
            Some(event) => self.deliver(answer.owner, event),
            None => self.report_unanswered(answer.owner, answer.effect, answer.sent),
        }
    }

    /// Handles all answers that have waited for the maximum time.
    pub(super) fn handle_overdue_answers(&mut self) {
        let now = self.now;
        while let Some(index) = self.answers.iter().position(|answer| answer.due <= now) {
            self.handle_answer(index);
        }
    }

    /// Takes an order of an owner, if the owner may still act and reaches the worker.
    fn take_order(&mut self, owner: usize, index: u8) -> Option<(Effect, u64)> {
        let sim_owner = &mut self.owners[owner];
        if sim_owner.orders.is_empty() || sim_owner.active_until <= self.now {
            return None;
        }
        let index = index as usize % sim_owner.orders.len();
        let order = sim_owner.orders.remove(index);
        if self.is_reachable(owner, &order.0) {
            return Some(order);
        }
        self.report_unanswered(owner, order.0, order.1);
        None
    }

    fn execute_with_queued_answer(&mut self, owner: usize, index: u8, lost: bool) {
        let Some((effect, sent)) = self.take_order(owner, index) else {
            return;
        };
        let event = self.apply_order(clone_order(&effect), Steady::from_millis(sent));
        let event = event.filter(|_| !lost);
        let due = self.now + MAX_ANSWER_DELAY_MS;
        self.answers.push(PendingAnswer { owner, due, event, effect, sent });
    }

    fn refuse_order(&mut self, owner: usize, index: u8) {
        let Some((effect, sent)) = self.take_order(owner, index) else {
            return;
        };
        fn refused<T>() -> OrderResult<T> {
            OrderResult::Refused { why: Refusal::Unwell, clock_ms: None }
        }
        let sent = Steady::from_millis(sent);
        let event = match effect {
            Effect::Start { to, start } => {
                let (task, run) = (start.task, start.run);
                Event::Started { worker: to.worker, task, run, end: refused() }
            }
            Effect::Stop { to, task, run } => {
                Event::Stopped { worker: to.worker, task, run, end: refused() }
            }
            Effect::Poll { to, .. } => Event::Polled { worker: to.worker, sent, end: refused() },
            Effect::Throttle { .. } | Effect::Advise { .. } => return,
        };
        self.deliver(owner, event);
    }

    fn apply_network_event(&mut self, event: NetworkEvent) {
        let owners = self.owners.len();
        match event {
            NetworkEvent::Nothing => {}
            NetworkEvent::Execute { owner, index } => {
                self.execute_with_queued_answer(owner as usize % owners, index, false);
            }
            NetworkEvent::ExecuteUnanswered { owner, index } => {
                self.execute_with_queued_answer(owner as usize % owners, index, true);
            }
            NetworkEvent::HandleAnswer { index } => self.handle_answer(index as usize),
            NetworkEvent::Refuse { owner, index } => {
                self.refuse_order(owner as usize % owners, index)
            }
            NetworkEvent::Decide { owner, delay } => {
                self.advance(u64::from(delay % 32) * 20);
                self.work(owner as usize % owners);
            }
        }
    }
}

/// Workers end their runs as late after their lease as an owner allows for, and calls are executed
/// and their answers handled in any order.
#[test]
fn no_task_runs_twice_whatever_the_order_of_calls_and_answers() {
    fuzz(150, 60, |steps: &[FuzzStep]| simulate(Naming::Unique, steps));
}

#[test]
fn no_task_runs_twice_whatever_the_order_of_calls_to_workers_that_start_again() {
    fuzz(150, 60, |steps: &[FuzzStep]| simulate(Naming::Reused, steps));
}

fn simulate(naming: Naming, steps: &[FuzzStep]) {
    let mut simulation = Simulation::with(EXPIRY_LAG_MS, naming);
    simulation.submit(1);
    simulation.run_rounds(4);
    for step in steps {
        simulation.apply_op(step.op);
        simulation.check_waiting_count();
        simulation.apply_network_event(step.first);
        simulation.apply_network_event(step.second);
        simulation.check_waiting_count();
    }
    simulation.heal_and_check();
}

/// A task must not run twice after a zone is cut off. The earlier owner no longer reaches the store
/// and the task's worker; a later owner adopts the run and renews the worker's lease. In its grace
/// period, 3.9 s after the last answer of the silent worker, the earlier owner must not assume that
/// the lease has expired and start the task on a worker that the later owner does not reach. This
/// is a shortened form of the fuzz test with seed 20011.
#[test]
fn an_earlier_owner_does_not_assume_that_the_lease_of_a_silent_worker_has_expired() {
    let mut simulation = Simulation::new(0);
    simulation.submit(0);
    simulation.run_rounds(4);
    let host = simulation.workers.iter().position(|worker| !worker.runs.is_empty());
    let host = host.expect("the task runs");
    for run in simulation.workers[host].runs.values_mut() {
        run.remaining_ms = LONG_RUN_MS;
    }
    simulation.workers[host].disconnected.insert(0);
    simulation.replace_owner(true);
    for other in (0..super::HOSTS).filter(|other| *other != host) {
        simulation.workers[other].disconnected.insert(1);
    }
    while simulation.now < simulation.owners[0].active_until {
        simulation.round(0);
        simulation.round(1);
        simulation.advance(60);
    }
    assert!(!simulation.workers[host].runs.is_empty(), "the later owner lets the run continue");
}

/// As above, but the run has ended, and the later owner has reported its job as succeeded.
#[test]
fn a_task_done_under_a_later_owner_is_not_started_by_the_earlier_one() {
    let mut simulation = Simulation::new(0);
    simulation.submit(0);
    simulation.run_rounds(4);
    let host = simulation.workers.iter().position(|worker| !worker.runs.is_empty());
    let host = host.expect("the task runs");
    simulation.workers[host].disconnected.insert(0);
    simulation.replace_owner(true);
    for other in (0..super::HOSTS).filter(|other| *other != host) {
        simulation.workers[other].disconnected.insert(1);
    }
    while simulation.now < simulation.owners[0].active_until {
        simulation.round(0);
        simulation.round(1);
        simulation.advance(60);
    }
    assert!(!simulation.acknowledged_done.is_empty(), "the later owner has acknowledged the end");
}
