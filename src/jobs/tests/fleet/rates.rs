//! The rate of calls to the platform, and the hosts of pools that have had no work yet.

use std::collections::{BTreeMap, VecDeque};

use super::{Fixture, at, confirm_writes, demand, listed_host, pool};
use crate::{
    jobs::fleet::{CallResult, FleetEffect, FleetOwner, HostAction, Sizing},
    model::{
        id::HostId,
        queue::PoolRules,
        unit::Steady,
        worker::{HostPhase, ListedHost},
    },
};

const MOVE_MS: u64 = 1_500;
const PLAN_MS: u64 = 100;

/// A platform with a limit of calls per second, and a view without lag.
struct Platform {
    fleet: FleetOwner,
    fixture: Fixture,
    hosts: BTreeMap<HostId, (ListedHost, u64)>,
    limit: usize,
    answer_ms: u64,
    /// When the calls of the last second arrived.
    arrived: VecDeque<u64>,
    /// Calls with the time of their answers.
    answers: Vec<(u64, HostId, HostAction, CallResult)>,
    accepted: usize,
    rejected: usize,
    now: u64,
}

impl Platform {
    fn new(hosts: Vec<ListedHost>, limit: usize, answer_ms: u64) -> Platform {
        let sizing = Sizing {
            full_percent: 80,
            growth_percent: 0,
            margin_hosts: 0,
            shrink_after_ms: 1_000,
            max_calls: limit,
        };
        let mut fixture = Fixture::new();
        fixture.idle = hosts.iter().map(|host| host.host.clone()).collect();
        Platform {
            fleet: FleetOwner::new(7, sizing, at(0)),
            fixture,
            hosts: hosts.into_iter().map(|entry| (entry.host.clone(), (entry, 0))).collect(),
            limit,
            answer_ms,
            arrived: VecDeque::new(),
            answers: Vec::new(),
            accepted: 0,
            rejected: 0,
            now: 0,
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += PLAN_MS;
            self.advance();
            let effects = self.fleet.plan(&self.fixture.snapshot(), at(self.now));
            confirm_writes(&mut self.fleet, &effects, at(self.now));
            for effect in effects {
                match effect {
                    FleetEffect::Mark(host, action) => {
                        self.fixture.show_mark(host.clone(), action);
                        if let Some(worker) = self.hosts[&host].0.worker.clone() {
                            self.fixture.drained.insert(host, worker);
                        }
                    }
                    FleetEffect::Unmark(host, _) => {
                        self.fixture.marks.remove(&host);
                        self.fixture.drained.remove(&host);
                    }
                    FleetEffect::Move(host, to) => self.call(host, HostAction::Move(to)),
                    _ => {}
                }
            }
            let hosts = self.hosts.values().map(|(entry, _)| entry.clone()).collect();
            self.fleet.update_hosts(at(self.now), Some(hosts));
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        for (entry, back_at) in self.hosts.values_mut() {
            if entry.phase == HostPhase::Moving && *back_at <= now {
                entry.phase = HostPhase::Up;
                let is_off = entry.pool == pool("off");
                let worker = format!("w{}-{now}", entry.host.as_str());
                entry.worker = (!is_off).then(|| worker.parse().unwrap());
            }
        }
        let due = self.answers.extract_if(.., |(answered, ..)| *answered <= now);
        for (answered, host, action, result) in due {
            self.fleet.note_call_result(&host, action, result, Steady::from_millis(answered));
        }
    }

    fn call(&mut self, host: HostId, action: HostAction) {
        let HostAction::Move(to) = &action else {
            return;
        };
        let arrival = self.now + self.answer_ms / 2;
        while self.arrived.front().is_some_and(|earlier| earlier + 1_000 <= arrival) {
            self.arrived.pop_front();
        }
        let answered = self.now + self.answer_ms;
        if self.limit <= self.arrived.len() {
            self.rejected += 1;
            self.answers.push((answered, host, action, CallResult::RateLimited));
            return;
        }
        self.arrived.push_back(arrival);
        self.accepted += 1;
        let (entry, back_at) = self.hosts.get_mut(&host).unwrap();
        (entry.pool, entry.phase, entry.worker) = (to.clone(), HostPhase::Moving, None);
        *back_at = arrival + MOVE_MS;
        self.answers.push((answered, host, action, CallResult::Begun));
    }

    fn size(&self, name: &str) -> usize {
        self.hosts.values().filter(|(entry, _)| entry.pool == pool(name)).count()
    }
}

/// Calls were made at a rate for platforms that accept 64 a second, whatever the platform accepts.
#[test]
fn the_platforms_rate_of_calls_is_used_without_rejections() {
    for (limit, answer_ms) in [(64, 20), (64, 200), (215, 20), (215, 200), (590, 20), (590, 200)] {
        let count = limit * 10;
        let hosts = (0..count).map(|number| listed_host(number, "busy")).collect();
        let mut platform = Platform::new(hosts, limit, answer_ms);
        platform.fixture.demands.insert(pool("busy"), demand(100_000, 0));
        while platform.accepted == 0 {
            platform.run(platform.now + PLAN_MS);
        }
        platform.run(platform.now + 5_000);
        assert!(
            limit * 5 * 85 <= platform.accepted * 100,
            "{limit} a second, answered after {answer_ms} ms: {} accepted in 5 s",
            platform.accepted
        );
        assert!(platform.rejected < 5, "{limit}, {answer_ms} ms: {} rejected", platform.rejected);
    }
}

/// A pool of 1,060 hosts that needs 40 gave back 190 a second.
#[test]
fn a_thousand_hosts_leave_a_pool_within_two_and_a_half_seconds() {
    let hosts = (0..1_040).map(|number| listed_host(number, "busy")).collect();
    let mut platform = Platform::new(hosts, 590, 20);
    platform.fixture.demands.insert(pool("busy"), demand(1_000_000, 0));
    while platform.accepted == 0 {
        platform.run(platform.now + PLAN_MS);
    }
    platform.run(platform.now + 2_500);
    assert!(platform.size("busy") <= 50, "{} left", platform.size("busy"));
}

/// Pools that had had no work kept all of their hosts, however few the others needed.
#[test]
fn a_pool_without_work_keeps_what_the_most_demanding_pool_has_needed() {
    let later = (0..3).map(|n| format!("later{n}"));
    let names: Vec<String> = later.chain(["busy".to_owned()]).collect();
    let hosts = names
        .iter()
        .enumerate()
        .flat_map(|(at, name)| (0..400).map(move |number| listed_host(at * 1_000 + number, name)));
    let mut platform = Platform::new(hosts.collect(), 590, 20);
    for name in &names {
        let rules = PoolRules { headroom: false, admission_check: true };
        platform.fixture.config.pools.insert(pool(name), rules);
        platform.fixture.demands.insert(pool(name), Default::default());
    }
    platform.run(10_000);
    for name in &names {
        assert_eq!(platform.size(name), 400, "nothing is known of any demand");
    }
    // 80 hosts of 32 cores, of which 80 percent are filled, or fewer by square-root staffing.
    platform.fixture.demands.insert(pool("busy"), demand(80 * 32_000, 0));
    platform.run(16_000);
    let busy = platform.size("busy");
    assert!((80..=130).contains(&busy), "{busy}");
    for name in &names[..3] {
        let kept = platform.size(name);
        assert!(busy < kept && kept <= busy * 125 / 100 + 1, "{name}: {kept} beside {busy}");
    }
    // The first peak of another pool finds its hosts, and moves none.
    let moved = platform.accepted;
    platform.fixture.demands.insert(pool("later0"), demand(80 * 32_000, 0));
    platform.run(16_500);
    assert_eq!(platform.accepted, moved);
    assert!(busy <= platform.size("later0"));
}

/// A pool of which as much is wanted as it has says that the others may need all of theirs.
#[test]
fn pools_without_work_keep_all_hosts_while_another_pool_lacks_some() {
    let hosts = (0..40)
        .map(|number| listed_host(number, "busy"))
        .chain((100..140).map(|number| listed_host(number, "later")));
    let mut platform = Platform::new(hosts.collect(), 215, 20);
    let rules = PoolRules { headroom: false, admission_check: true };
    platform.fixture.config.pools.insert(pool("later"), rules);
    platform.fixture.demands.insert(pool("later"), Default::default());
    platform.fixture.demands.insert(pool("busy"), demand(40 * 32_000, 0));
    platform.fixture.idle.clear();
    platform.run(10_000);
    assert_eq!(platform.size("later"), 40);
}

/// While hundreds of hosts of a pool were on their way out, as many others joined it.
#[test]
fn a_pool_whose_demand_returns_keeps_the_hosts_that_have_not_left() {
    let hosts = (0..400).map(|number| listed_host(number, "busy")).collect();
    // 40 calls a second: it takes ten seconds until all have left.
    let mut platform = Platform::new(hosts, 40, 20);
    platform.fixture.demands.insert(pool("busy"), demand(32_000, 0));
    while platform.accepted < 20 {
        platform.run(platform.now + PLAN_MS);
    }
    let leaving = platform.fixture.marks.len();
    assert!(8 < leaving, "{leaving}");
    let size = platform.size("busy");
    platform.fixture.demands.insert(pool("busy"), demand(400 * 32_000, 0));
    platform.run(platform.now + 300);
    let left = platform.accepted;
    let moved_off = platform.size("off");
    platform.run(platform.now + 5_000);
    assert!(platform.fixture.marks.is_empty(), "{:?}", platform.fixture.marks);
    assert_eq!(platform.size("off"), 0, "those that had left come back");
    assert!(platform.accepted <= left + moved_off, "{size} hosts, {left} moves before");
}

/// Four pools have their peaks one after the other, and a little work before. Each gave its hosts
/// back as soon as its first job came, and fetched them for its peak.
#[test]
fn reserves_of_pools_before_their_peak_are_given_back_last() {
    let names = ["first", "second", "third"];
    let hosts = names
        .iter()
        .enumerate()
        .flat_map(|(at, name)| (0..600).map(move |number| listed_host(at * 1_000 + number, name)));
    let mut platform = Platform::new(hosts.collect(), 100, 20);
    platform.fixture.demands.clear();
    for name in names {
        let rules = PoolRules { headroom: false, admission_check: true };
        platform.fixture.config.pools.insert(pool(name), rules);
        platform.fixture.demands.insert(pool(name), demand(64_000, 0));
    }
    platform.fixture.demands.insert(pool("first"), demand(80 * 32_000, 0));
    platform.run(9_000);
    let kept = platform.size("second");
    assert!((100..=600).contains(&kept), "{kept} hosts");
    platform.fixture.demands.insert(pool("second"), demand(80 * 32_000, 0));
    let (moved, off) = (platform.accepted, platform.size("off"));
    assert!(off < 600 * 3 - 3 * 125, "{off} of 1,800 are off: {moved} moves");
    platform.run(9_300);
    assert!(platform.size("second") >= 80, "{}", platform.size("second"));
    // Once nothing else is left to give back, the reserve of the third pool is, too.
    platform.run(40_000);
    assert!(platform.size("third") <= 10, "{}", platform.size("third"));
}
