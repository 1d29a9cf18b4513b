//! The fleet owner with a view whose lag grows with the orders that the owner gives.
//!
//! Guards against a feedback loop: after a peak, hundreds of hosts were moved. The owner ordered
//! the removal of their marks and discarded the state of its calls, while the view, a second behind,
//! still showed the marks: each plan moved the same hosts again, up to 22 times. Each repeated call
//! costs the node two writes and an answer, so that its view fell up to nine seconds behind.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Fixture, at, demand, host, listed_host, pool};
use crate::{
    jobs::fleet::{
        CallResult, DrainMark, FleetEffect, FleetOwner, HostAction, Sizing, WriteResult,
    },
    model::{
        id::HostId,
        unit::{Revision, Steady},
        worker::{HostPhase, ListedHost, Upkeep},
    },
};

/// How long a write or a call takes to be answered, in milliseconds.
const ANSWER_MS: u64 = 20;

/// How long after a mark the pool's owner records the host as empty, in milliseconds.
const DRAIN_MS: u64 = 100;

/// How long a host is out of service for a move or for upkeep, in milliseconds.
const OUT_OF_SERVICE_MS: u64 = 1_500;

/// A change of the store, as it reaches the view.
enum StoreChange {
    Mark(HostId, Option<HostAction>),
    Empty(HostId),
    Maintained(u64, BTreeSet<HostId>),
    Reported(u64),
}

/// An answer to the owner.
enum Answer {
    Call { host: HostId, action: HostAction, rejected: bool },
    Write { effect: FleetEffect, result: WriteResult },
    List { sent: u64, hosts: Vec<ListedHost> },
}

/// A simulation of the store, the platform, and a node that processes changes one after the other.
struct Simulation {
    fleet: FleetOwner,
    view: Fixture,
    /// The marks in the store.
    marks: BTreeMap<HostId, DrainMark>,
    /// The store's revision.
    revision: Revision,
    hosts: BTreeMap<HostId, (ListedHost, u64)>,
    maintained: BTreeMap<u64, BTreeSet<HostId>>,
    /// Changes that have not reached the view yet, and when they will.
    queue: VecDeque<(u64, Revision, StoreChange)>,
    answers: Vec<(u64, Answer)>,
    drains: Vec<(u64, HostId)>,
    /// The lag of the view without any load, and the time by which each change and answer adds to
    /// it: the node has one processor.
    base_lag_ms: u64,
    cost_us: u64,
    /// When the node will have processed everything received so far, in microseconds.
    busy_until_us: u64,
    now: u64,
    /// How often each order was given.
    orders: BTreeMap<String, usize>,
    /// The largest lag of the view.
    max_lag_ms: u64,
    /// Whether calls to hosts get no answer.
    calls_unanswered: bool,
    /// Whether the first write of each kind and host is lost, together with its answer.
    first_write_lost: bool,
    /// Calls that the platform accepts per second, when it accepted the latest ones, and how many
    /// it rejected.
    call_limit: usize,
    accepted_calls: VecDeque<u64>,
    rejected: usize,
}

impl Simulation {
    fn new(hosts: Vec<ListedHost>, base_lag_ms: u64, cost_us: u64) -> Simulation {
        let sizing = Sizing {
            full_percent: 80,
            growth_percent: 0,
            margin_hosts: 0,
            shrink_after_ms: 1_000,
            max_calls: 64,
        };
        let hosts = hosts.into_iter().map(|host| (host.host.clone(), (host, 0)));
        Simulation {
            fleet: FleetOwner::new(7, sizing, at(0)),
            view: Fixture { view_revision: Revision(0), ..Fixture::new() },
            marks: BTreeMap::new(),
            revision: Revision(0),
            hosts: hosts.collect(),
            maintained: BTreeMap::new(),
            queue: VecDeque::new(),
            answers: Vec::new(),
            drains: Vec::new(),
            base_lag_ms,
            cost_us,
            busy_until_us: 0,
            now: 0,
            orders: BTreeMap::new(),
            max_lag_ms: 0,
            calls_unanswered: false,
            first_write_lost: false,
            call_limit: usize::MAX,
            accepted_calls: VecDeque::new(),
            rejected: 0,
        }
    }

    /// Adds the cost of one change or answer to the load of the node. Returns when it is processed.
    fn charge(&mut self) -> u64 {
        self.busy_until_us = self.busy_until_us.max(self.now * 1_000) + self.cost_us;
        self.busy_until_us / 1_000
    }

    fn publish(&mut self, change: StoreChange) {
        let shown_at = self.charge() + self.base_lag_ms;
        self.max_lag_ms = self.max_lag_ms.max(shown_at - self.now);
        self.revision = Revision(self.revision.0 + 1);
        self.queue.push_back((shown_at, self.revision, change));
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 10;
            self.advance();
            if self.now.is_multiple_of(100) {
                let effects = self.fleet.plan(&self.view.snapshot(), Steady::from_millis(self.now));
                for effect in effects {
                    self.execute(effect);
                }
            }
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        for (entry, back_at) in self.hosts.values_mut() {
            if entry.phase != HostPhase::Up && *back_at <= now {
                entry.phase = HostPhase::Up;
                let off = entry.pool == pool("off");
                entry.worker =
                    (!off).then(|| format!("w{}-{now}", entry.host.as_str()).parse().unwrap());
            }
        }
        let (due, later) = std::mem::take(&mut self.drains).into_iter().partition(|e| e.0 <= now);
        self.drains = later;
        let due: Vec<(u64, HostId)> = due;
        for (_, host) in due {
            self.publish(StoreChange::Empty(host));
        }
        while self.queue.front().is_some_and(|(shown_at, ..)| *shown_at <= now) {
            let (_, revision, change) = self.queue.pop_front().unwrap();
            self.view.view_revision = revision;
            match change {
                StoreChange::Mark(host, Some(action)) => {
                    self.view.show_mark(host, action);
                }
                StoreChange::Mark(host, None) => {
                    self.view.marks.remove(&host);
                    self.view.drained.remove(&host);
                }
                StoreChange::Empty(host) => {
                    if let Some(worker) = self.hosts[&host].0.worker.clone() {
                        self.view.drained.insert(host, worker);
                    }
                }
                StoreChange::Maintained(wave, hosts) => {
                    self.view.maintained.insert(wave, hosts);
                }
                StoreChange::Reported(wave) => {
                    self.view.reported.insert(wave);
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(|a| a.0 <= now);
        self.answers = later;
        let due: Vec<(u64, Answer)> = due;
        for (_, answer) in due {
            match answer {
                Answer::Call { host, action, rejected } => {
                    let result = match () {
                        () if rejected => CallResult::RateLimited,
                        () if self.calls_unanswered => CallResult::Unknown,
                        () => CallResult::Begun,
                    };
                    self.fleet.note_call_result(&host, action, result, at(now));
                }
                Answer::Write { effect, result } => {
                    self.fleet.note_write_result(&effect, &result, at(now))
                }
                Answer::List { sent, hosts } => self.fleet.update_hosts(at(sent), Some(hosts)),
            }
        }
    }

    /// Counts an order and its cost to the node, and returns whether the order is carried out.
    fn count_order(&mut self, order: String) -> bool {
        self.charge();
        let count = self.orders.entry(order).or_default();
        *count += 1;
        !self.first_write_lost || *count != 1
    }

    fn answer(&mut self, answer: Answer) {
        let processed_at = self.charge();
        self.answers.push((processed_at.max(self.now + ANSWER_MS), answer));
    }

    fn execute(&mut self, effect: FleetEffect) {
        let result = match &effect {
            FleetEffect::List => {
                let hosts = self.hosts.values().map(|(entry, _)| entry.clone()).collect();
                return self.answer(Answer::List { sent: self.now, hosts });
            }
            FleetEffect::Mark(host, action) => {
                if !self.count_order(format!("mark {host:?} {action:?}")) {
                    WriteResult::Unknown
                } else if let Some(mark) = self.marks.get(host) {
                    WriteResult::Refused(Some(mark.clone()))
                } else {
                    self.publish(StoreChange::Mark(host.clone(), Some(action.clone())));
                    let mark = DrainMark { action: action.clone(), revision: self.revision };
                    self.marks.insert(host.clone(), mark);
                    self.drains.push((self.now + DRAIN_MS, host.clone()));
                    WriteResult::Done(self.revision)
                }
            }
            FleetEffect::Unmark(host, revision) => {
                if !self.count_order(format!("unmark {host:?}")) {
                    WriteResult::Unknown
                } else if self.marks.get(host).is_none_or(|mark| mark.revision != *revision) {
                    WriteResult::Refused(self.marks.get(host).cloned())
                } else {
                    self.marks.remove(host);
                    self.publish(StoreChange::Mark(host.clone(), None));
                    WriteResult::Done(self.revision)
                }
            }
            FleetEffect::Maintained(hosts, wave) => {
                let orders = hosts.iter().map(|host| format!("record {host:?} {wave}"));
                let mut done = true;
                for order in orders.collect::<Vec<_>>() {
                    done &= self.count_order(order);
                }
                if done {
                    let maintained = self.maintained.entry(*wave).or_default();
                    maintained.extend(hosts.iter().cloned());
                    let maintained = maintained.clone();
                    self.publish(StoreChange::Maintained(*wave, maintained));
                    for host in hosts {
                        self.marks.remove(host);
                        self.publish(StoreChange::Mark(host.clone(), None));
                    }
                    WriteResult::Done(self.revision)
                } else {
                    WriteResult::Unknown
                }
            }
            FleetEffect::Report(wave, done) => {
                if !self.count_order(format!("report {wave} {done}")) {
                    WriteResult::Unknown
                } else {
                    if *done {
                        self.publish(StoreChange::Reported(*wave));
                    }
                    WriteResult::Done(self.revision)
                }
            }
            FleetEffect::Maintain(host, wave) => {
                return self.call_platform(host.clone(), HostAction::Upkeep(*wave));
            }
            FleetEffect::Move(host, to) => {
                return self.call_platform(host.clone(), HostAction::Move(to.clone()));
            }
        };
        self.answer(Answer::Write { effect, result });
    }

    /// Makes a call. It is recorded before, and that change reaches the view too.
    fn call_platform(&mut self, host: HostId, action: HostAction) {
        self.count_order(format!("call {host:?} {action:?}"));
        self.charge();
        let now = self.now;
        self.accepted_calls.retain(|at| now < at + 1_000);
        if self.call_limit <= self.accepted_calls.len() {
            self.rejected += 1;
            return self.answer(Answer::Call { host, action, rejected: true });
        }
        self.accepted_calls.push_back(now);
        let (entry, back_at) = self.hosts.get_mut(&host).unwrap();
        let is_there = matches!(&action, HostAction::Move(to) if entry.pool == *to);
        if entry.phase == HostPhase::Up && !is_there && !self.calls_unanswered {
            entry.phase = HostPhase::Moving;
            *back_at = now + OUT_OF_SERVICE_MS;
            entry.worker = None;
            if let HostAction::Move(to) = &action {
                entry.pool = to.clone();
            }
        }
        self.answer(Answer::Call { host, action, rejected: false });
    }

    /// The order of a kind that was given most often, with its count.
    fn most_repeated(&self, kind: &str) -> (usize, String) {
        let matching = self.orders.iter().filter(|(order, _)| order.starts_with(kind));
        matching.map(|(order, count)| (*count, order.clone())).max().unwrap_or_default()
    }
}

/// A pool whose peak is over: 300 of its hosts go to the pool that is switched off.
fn after_peak(base_lag_ms: u64, cost_us: u64) -> Simulation {
    after_peak_of(310, base_lag_ms, cost_us)
}

/// The same with a number of hosts, of which ten stay.
fn after_peak_of(hosts: usize, base_lag_ms: u64, cost_us: u64) -> Simulation {
    let hosts = 0..hosts;
    let all = hosts.clone().map(|n| listed_host(n, "busy")).collect();
    let mut sim = Simulation::new(all, base_lag_ms, cost_us);
    sim.view.idle = hosts.map(host).collect();
    sim.view.demands.insert(pool("busy"), demand(100_000, 0));
    sim
}

/// A wave of upkeep over forty hosts, ten at once.
fn upkeep_wave(base_lag_ms: u64, cost_us: u64) -> Simulation {
    let mut sim =
        Simulation::new((0..40).map(|n| listed_host(n, "busy")).collect(), base_lag_ms, cost_us);
    let hosts = (0..40).map(host).collect();
    sim.view.upkeeps = vec![Upkeep { wave: 1, hosts, period_ms: 20_000, max_concurrent: 10 }];
    sim
}

/// Guards against the owner delaying its view further by orders that it gives because the view is
/// stale.
#[test]
fn orders_after_a_peak_do_not_delay_the_view_without_bound() {
    let mut sim = after_peak(300, 4_000);
    sim.run(20_000);
    // No plan may use a view that is older than this.
    assert!(
        sim.max_lag_ms < 2_000,
        "lag of {} ms, {:?}",
        sim.max_lag_ms,
        sim.most_repeated("call")
    );
}

/// The view still shows the mark after the host list shows the host in its new pool.
#[test]
fn a_moved_host_is_not_called_again_while_the_view_still_shows_its_mark() {
    let mut sim = after_peak(1_500, 100);
    sim.run(12_000);
    let (count, order) = sim.most_repeated("call");
    assert_eq!(count, 1, "{order}");
}

/// Guards against repeating removals until the view shows them.
#[test]
fn a_mark_is_removed_once_with_a_stale_view() {
    let mut sim = after_peak(1_500, 100);
    sim.run(12_000);
    let (count, order) = sim.most_repeated("unmark");
    assert_eq!(count, 1, "{order}");
}

/// Guards against writing a mark again that the view does not show in time; that write is refused.
#[test]
fn a_host_is_marked_once_with_a_stale_view() {
    let mut sim = after_peak(1_500, 100);
    sim.run(12_000);
    let (count, order) = sim.most_repeated("mark");
    assert_eq!(count, 1, "{order}");
}

/// Guards against recording maintained hosts again that the view does not show yet.
#[test]
fn upkeep_is_recorded_once_with_a_stale_view() {
    let mut sim = upkeep_wave(1_500, 100);
    sim.run(30_000);
    let (count, order) = sim.most_repeated("record");
    assert_eq!(count, 1, "{order}");
}

/// Guards against maintaining a host again whose recorded upkeep the view does not show yet.
#[test]
fn a_host_is_maintained_once_with_a_stale_view() {
    let mut sim = upkeep_wave(1_500, 100);
    sim.run(30_000);
    let (count, order) = sim.most_repeated("call");
    assert_eq!(count, 1, "{order}");
}

/// Guards against repeating the report of a wave until the view shows it.
#[test]
fn a_wave_is_reported_once_with_a_stale_view() {
    let mut sim = upkeep_wave(1_500, 100);
    sim.run(30_000);
    assert_eq!(sim.most_repeated("report 1 true").0, 1);
}

/// A call without an answer is retried, but no more often than its pause allows.
#[test]
fn an_unanswered_call_is_retried_after_a_pause() {
    let mut sim = after_peak(1_500, 100);
    sim.calls_unanswered = true;
    sim.run(6_000);
    let (count, order) = sim.most_repeated("call");
    assert!((2..=16).contains(&count), "{count} times {order}");
}

/// Guards against treating a failed write forever as one that the view does not show yet.
#[test]
fn a_lost_removal_of_a_mark_is_retried() {
    let mut sim = after_peak(300, 100);
    sim.first_write_lost = true;
    sim.run(20_000);
    assert_eq!(sim.marks.len(), 0, "marks left; {:?}", sim.most_repeated("unmark"));
}

/// Guards against a wave that is never reported as done because the first write of the report was
/// lost.
#[test]
fn a_lost_report_is_retried() {
    let mut sim = upkeep_wave(300, 100);
    sim.first_write_lost = true;
    sim.run(30_000);
    assert!(sim.view.reported.contains(&1), "{:?}", sim.most_repeated("report"));
}

/// A lost write is retried after a pause, not by each plan.
#[test]
fn a_lost_write_is_retried_once() {
    let (mut wave, mut moves) = (upkeep_wave(300, 100), after_peak(300, 100));
    for sim in [&mut wave, &mut moves] {
        sim.first_write_lost = true;
        sim.run(30_000);
    }
    let most_repeated = [
        wave.most_repeated("mark"),
        wave.most_repeated("report"),
        moves.most_repeated("mark"),
        moves.most_repeated("unmark"),
    ];
    assert!(most_repeated.iter().all(|(count, _)| *count == 2), "{most_repeated:?}");
}

/// Guards against retrying each host every 0.3 s: these calls used up the limit that other hosts
/// needed.
#[test]
fn rejected_calls_lower_the_rate_of_all_calls() {
    let mut sim = after_peak(100, 100);
    sim.call_limit = 20;
    sim.run(20_000);
    let moved = sim.hosts.values().filter(|(entry, _)| entry.pool == pool("off")).count();
    // 300 hosts take 15 s at the limit: at least nine tenths of them move in 20 s.
    assert!(270 <= moved, "{moved} moved, {} calls rejected", sim.rejected);
    // At most one rejected call for two accepted ones.
    assert!(sim.rejected <= moved / 2, "{moved} moved, {} calls rejected", sim.rejected);
}

/// Marks wait until the view shows earlier marks and removals. Each move needs one of each.
#[test]
fn moves_use_the_full_call_limit_while_the_view_lags_by_a_quarter_second() {
    let mut sim = after_peak_of(660, 230, 100);
    sim.call_limit = 64;
    while sim.most_repeated("mark").0 == 0 {
        sim.run(sim.now + 10);
    }
    sim.run(sim.now + 8_000);
    let moved = sim.hosts.values().filter(|(entry, _)| entry.pool == pool("off")).count();
    // One of the eight seconds passes before the first host is empty.
    assert!(7 * 64 <= moved, "{moved} moved in 8 s, {} calls rejected", sim.rejected);
}

/// The larger the lag of the view, the fewer marks are written per second.
#[test]
fn a_view_that_lags_more_causes_fewer_orders() {
    let orders = |base_lag_ms| {
        let mut sim = after_peak_of(660, base_lag_ms, 100);
        sim.run(6_000);
        let is_mark = |order: &&String| order.starts_with("mark") || order.starts_with("unmark");
        sim.orders.keys().filter(is_mark).count()
    };
    let (short_lag, long_lag) = (orders(230), orders(2_000));
    assert!(
        long_lag * 3 <= short_lag,
        "{short_lag} marks with a lag of a quarter second, {long_lag} with two seconds"
    );
}

/// Calls of an earlier owner may use up the call limit in the first second of the next one.
#[test]
fn calls_of_an_earlier_owner_do_not_slow_moves_for_long() {
    let mut sim = after_peak_of(660, 100, 100);
    sim.call_limit = 0;
    while sim.rejected == 0 {
        sim.run(sim.now + 10);
    }
    sim.run(sim.now + 500);
    sim.call_limit = 64;
    sim.run(sim.now + 8_000);
    let moved = sim.hosts.values().filter(|(entry, _)| entry.pool == pool("off")).count();
    // Half of the limit.
    assert!(4 * 64 <= moved, "{moved} moved in 8 s, {} calls rejected", sim.rejected);
}
