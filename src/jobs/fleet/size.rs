//! How large pools are: what their demand asks for, and which hosts change pools for it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
};

use super::{Coming, Demand, Fleet, FleetEffect, Leave, PoolSummary, Scene, wave::count_of};
use crate::model::{
    id::{HostId, PoolId},
    unit::Steady,
};

/// How long a host that is to come to a pool counts as if it were there, in milliseconds: a move
/// takes 1.5 s, and emptying a host about as long.
const COMING_COUNTS_MS: u64 = 4_000;

/// The time over which the growth of a demand is taken, in milliseconds.
const GROWTH_MS: u64 = 1_000;

/// How many hosts more than its work fills a pool has for one that fills one, against chance. With
/// 3.2 a pool of ten is half full, as it is by the settings, and one of 600 at seven eighths.
const CHANCE_HOSTS: f64 = 3.2;

/// How many times the spread of the latest arrivals a forecast goes beyond them: of sixty jobs that
/// came 1.4 times as much, of five 2.3 times.
const ARRIVALS_SPREAD: f64 = 3.0;

/// The most that a pool may be thought to ask for soon, in millicores: what it takes to keep up with
/// the latest arrivals, and as much more as chance makes them differ. The backlog of a peak
/// grows far past that while its hosts are on their way, and says nothing of what will come.
fn most_arriving(demand: &Demand) -> u64 {
    let spread = ARRIVALS_SPREAD / f64::from(demand.arrivals.max(1)).sqrt();
    (demand.arriving as f64 * (1.0 + spread)) as u64
}

/// The share, in percent, of the processor time that late work could use for which a pool asks for
/// hosts: it earns about what its hosts cost, and must be done all the same.
const LATE_PERCENT: u64 = 50;

/// Which hosts a pool takes that has less than its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taking {
    /// Those that have little to do: they leave soon.
    Light,
    /// Also those that have more to do, since work is waiting that can be in time.
    Busy,
    /// Any, since lasting tasks need them.
    Any,
}

impl Taking {
    fn takes(self, work: Work) -> bool {
        match self {
            Taking::Light => matches!(work, Work::Idle | Work::Light(_)),
            Taking::Busy => work != Work::Lasting,
            Taking::Any => true,
        }
    }
}

/// What a host has to do, as its pool's owner last wrote; within one kind, its place among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Work {
    Idle,
    Light(usize),
    Busy(usize),
    /// Some of it lasts, or nothing is known of it.
    Lasting,
}

/// What all hosts have to do. It is looked up for each host of a plan: with a thousand of them a
/// search through lists took half a second at a change of turns.
struct Works<'a>(HashMap<&'a HostId, Work>);

impl<'a> Works<'a> {
    fn new(scene: &Scene<'a>) -> Works<'a> {
        let busy = scene.busy.iter().enumerate().map(|(n, host)| (host, Work::Busy(n)));
        let light = scene.light.iter().enumerate().map(|(n, host)| (host, Work::Light(n)));
        let idle = scene.idle.iter().map(|host| (host, Work::Idle));
        Works(busy.chain(light).chain(idle).collect())
    }

    fn of(&self, host: &HostId) -> Work {
        self.0.get(host).copied().unwrap_or(Work::Lasting)
    }
}

/// A host that a pool may give to another.
#[derive(Debug, Clone)]
struct Lendable {
    host: HostId,
    work: Work,
}

/// What a pool asks for, in hosts.
#[derive(Debug, Clone)]
pub(super) struct Wish {
    /// For lasting tasks to be spread.
    pub(super) spread: usize,
    /// For the work that is there and can be in time.
    pub(super) needed: usize,
    /// And for what will come.
    pub(super) timely: usize,
    /// And for late work.
    pub(super) most: usize,
}

impl Wish {
    /// Who gets the next host: lower comes first.
    pub(super) fn order(&self, has: usize) -> (u8, usize) {
        let class = match () {
            () if has < self.spread => 0,
            () if has < self.needed => 1,
            () if has < self.timely => 2,
            () => 3,
        };
        (class, has)
    }
}

impl Fleet {
    /// Takes note of how large hosts are: half of them have as much, or more. A single one may have
    /// shrunk, or be of another kind.
    pub(super) fn note_rooms(&mut self) {
        let mut rooms: Vec<u32> = self.hosts.values().map(|host| host.room.cpu.0).collect();
        rooms.sort_unstable();
        self.host_cpu = rooms.get(rooms.len() / 2).copied().map_or(0, u64::from);
    }

    pub(super) fn note_demand(&mut self, scene: &Scene<'_>, now: Steady) {
        for (pool, demand) in scene.demands {
            if demand.ends && self.worked.insert(pool.clone()) {
                self.demands.remove(pool);
            }
            let asked = self.asked.entry(pool.clone()).or_default();
            asked.push_back((now, demand.cpu));
            while asked.front().is_some_and(|(at, _)| GROWTH_MS < now.since(*at)) {
                asked.pop_front();
            }
            let hosts = self.wanted(pool, demand);
            let keep_ms = self.sizing.shrink_after_ms;
            let late = self.demands.entry(pool.clone()).or_default();
            late.push_back((now, hosts));
            while late.front().is_some_and(|(at, _)| keep_ms < now.since(*at)) {
                late.pop_front();
            }
        }
    }

    /// The processor time that a pool will ask for when hosts that are called now have come: what
    /// it asks for now, and as much more as it grew by of late, but no more than it takes to keep up
    /// with what comes.
    pub(super) fn forecast(&self, pool: &PoolId, demand: &Demand) -> u64 {
        let before = self.asked.get(pool).and_then(|late| late.front()).map_or(0, |(_, cpu)| *cpu);
        let growth = demand.cpu.saturating_sub(before) * self.sizing.growth_percent / 100;
        let grown = (demand.cpu + growth).min(most_arriving(demand));
        grown.max(demand.cpu)
    }

    /// Hosts that a pool should have for a demand, late work included.
    pub(super) fn wanted(&self, pool: &PoolId, demand: &Demand) -> usize {
        let late = demand.late * LATE_PERCENT / 100;
        self.wanted_for(self.forecast(pool, demand) + late, demand)
    }

    /// Hosts that a pool should have for what can be in time.
    fn timely(&self, pool: &PoolId, demand: &Demand) -> usize {
        self.wanted_for(self.forecast(pool, demand), demand)
    }

    fn wanted_for(&self, cpu: u64, demand: &Demand) -> usize {
        self.hosts_for(cpu).max(demand.spread) + self.sizing.margin_hosts
    }

    /// Hosts that a pool needs for what it asks for now.
    pub(super) fn needed(&self, demand: &Demand) -> usize {
        self.hosts_for(demand.cpu).max(self.floor(demand))
    }

    /// Hosts that carry some processor time: as full as the settings have it, or where that is fewer,
    /// with room for chance, which grows as the square root of what they carry.
    fn hosts_for(&self, cpu: u64) -> usize {
        let host_cpu = self.host_cpu.max(1);
        let by_share = (cpu * 100).div_ceil(host_cpu * self.sizing.full_percent);
        let filled = cpu.div_ceil(host_cpu);
        let by_chance = filled + (CHANCE_HOSTS * (filled as f64).sqrt()).ceil() as u64;
        by_share.min(by_chance) as usize
    }

    /// Moves hosts between the pools and the one whose hosts are off.
    pub(super) fn size(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let Some(off) = scene.config.pools.iter().find(|(_, rules)| rules.off) else {
            return;
        };
        let off = off.0;
        let pools: Vec<&PoolId> = scene.demands.keys().filter(|pool| *pool != off).collect();
        let works = Works::new(scene);
        let (mut staying, expected) = (self.staying(scene), self.expected(now));
        let mut have = BTreeMap::new();
        let mut free = BTreeMap::new();
        for pool in &pools {
            let here = lendable(staying.remove(pool).unwrap_or_default(), &works);
            have.insert((*pool).clone(), here.len() + count_of(&expected, pool));
            free.insert((*pool).clone(), here);
        }
        let mut spare: VecDeque<HostId> = staying.remove(off).unwrap_or_default().into();
        let total = spare.len() + have.values().sum::<usize>();
        let shares = self.shares(scene, &pools, total);
        for pool in &pools {
            let (have, share) = (have[*pool], shares[*pool]);
            for _ in have..share {
                if let Some(host) = spare.pop_front() {
                    self.coming.insert(host, Coming { pool: (*pool).clone(), since: now });
                    continue;
                }
                let floor = self.floor(&scene.demands[*pool]);
                let short = free[*pool].len() < floor;
                let needs = free[*pool].len() < self.needed(&scene.demands[*pool]);
                let taking = match () {
                    () if short => Taking::Any,
                    () if needs => Taking::Busy,
                    () => Taking::Light,
                };
                let Some(host) = Fleet::borrowed(&mut free, &shares, taking) else {
                    break;
                };
                self.mark(host, Leave::Move((*pool).clone()), now, out);
            }
        }
        for pool in &pools {
            let late = self.demands.get(*pool);
            let most = late.into_iter().flatten().map(|(_, hosts)| *hosts).max().unwrap_or(0);
            let first = late.and_then(|late| late.front());
            let long =
                first.is_some_and(|(at, _)| self.sizing.shrink_after_ms * 9 / 10 <= now.since(*at));
            let here = &free[*pool];
            let surplus = here.len().saturating_sub(most.max(shares[*pool]));
            if long && have[*pool] == here.len() && self.worked.contains(*pool) {
                for lendable in here.iter().take(surplus) {
                    self.mark(lendable.host.clone(), Leave::Move(off.clone()), now, out);
                }
            }
        }
    }

    /// Hosts over which a pool's lasting tasks can be spread while one of them leaves.
    pub(super) fn floor(&self, demand: &Demand) -> usize {
        demand.spread + 1
    }

    /// Hosts for each pool: what it wants. Where that is more than there are, hosts over which
    /// lasting tasks are spread come first, then what is needed for the work that can be in time,
    /// then what is wanted for more, and late work last; each time one by one to the pool that has the fewest, so that one
    /// with a large wish leaves those their hosts that need few.
    pub(super) fn shares(
        &self,
        scene: &Scene<'_>,
        pools: &[&PoolId],
        total: usize,
    ) -> BTreeMap<PoolId, usize> {
        let wishes: Vec<Wish> = pools
            .iter()
            .map(|pool| {
                let demand = &scene.demands[*pool];
                let most = self.wanted(pool, demand);
                Wish {
                    spread: self.floor(demand).min(most),
                    needed: self.needed(demand).min(most),
                    timely: self.timely(pool, demand).min(most),
                    most,
                }
            })
            .collect();
        let shares = deal(&wishes, total, || self.count_look());
        pools.iter().map(|pool| (*pool).clone()).zip(shares).collect()
    }

    /// A host of a pool that has more than its share: the one with the least to do, as far as such
    /// hosts are taken.
    fn borrowed(
        free: &mut BTreeMap<PoolId, VecDeque<Lendable>>,
        shares: &BTreeMap<PoolId, usize>,
        taking: Taking,
    ) -> Option<HostId> {
        let lends = |(pool, hosts): &(&PoolId, &mut VecDeque<Lendable>)| {
            shares[*pool] < hosts.len()
                && hosts.front().is_some_and(|first| taking.takes(first.work))
        };
        let (_, hosts) = free.iter_mut().find(lends)?;
        hosts.pop_front().map(|lendable| lendable.host)
    }

    /// How many hosts are to come to each pool, and may be expected to: one that takes too long may
    /// be down, or held by a worker that is silent.
    pub(super) fn expected(&self, now: Steady) -> BTreeMap<&PoolId, usize> {
        let soon = |since: Steady| now.since(since) < COMING_COUNTS_MS;
        let coming = self.coming.values().filter(|c| soon(c.since)).map(|c| &c.pool);
        let marked = self.marks.iter().filter_map(|(host, mark)| match &mark.leave {
            Leave::Move(pool) => self.marks.since(host).is_none_or(soon).then_some(pool),
            Leave::Upkeep(_) => None,
        });
        let mut expected = BTreeMap::new();
        for pool in coming.chain(marked) {
            *expected.entry(pool).or_default() += 1;
        }
        expected
    }

    /// What each pool has, asks for and should have, for the log.
    pub(crate) fn summary(&self, scene: &Scene<'_>, now: Steady) -> Vec<PoolSummary> {
        let (sizes, staying) = (self.pool_sizes(), self.staying(scene));
        let expected = self.expected(now);
        let of = |(pool, demand): (&PoolId, &Demand)| PoolSummary {
            pool: pool.clone(),
            listed: count_of(&sizes, pool),
            free: staying.get(pool).map_or(0, Vec::len),
            expected: count_of(&expected, pool),
            wanted: self.wanted(pool, demand),
            cores: demand.cpu / 1000,
            late: demand.late / 1000,
        };
        scene.demands.iter().map(of).collect()
    }
}

/// Deals so many hosts out by wishes, one by one to the first of those that have the lowest order;
/// `look` is called for each wish that is looked at. The orders are kept in a heap: with each host
/// compared to all pools, 6,800 hosts in 390 pools are 2.7 million looks.
pub(super) fn deal(wishes: &[Wish], total: usize, look: impl Fn()) -> Vec<usize> {
    let mut shares = vec![0; wishes.len()];
    let next = |n: usize, has: usize| {
        look();
        let wish = &wishes[n];
        (has < wish.most).then(|| Reverse((wish.order(has), n)))
    };
    let mut open: BinaryHeap<_> = (0..wishes.len()).filter_map(|n| next(n, 0)).collect();
    for _ in 0..total {
        let Some(Reverse((_, n))) = open.pop() else {
            break;
        };
        shares[n] += 1;
        open.extend(next(n, shares[n]));
    }
    shares
}

/// Hosts that may be lent, those with the least to do first.
fn lendable(hosts: Vec<HostId>, works: &Works<'_>) -> VecDeque<Lendable> {
    let hosts = hosts.into_iter();
    let mut lendable: Vec<Lendable> =
        hosts.map(|host| Lendable { work: works.of(&host), host }).collect();
    lendable.sort_by_key(|lendable| lendable.work);
    lendable.into()
}
