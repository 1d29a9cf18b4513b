//! The work of all pools together: hosts are emptied for upkeep and for other pools, maintained,
//! and moved to where they are needed. Decisions only: what is known and the present time go in.
//!
//! A host is touched only after its pool's owner has written that nothing runs there any more, and
//! that owner starts nothing there while the host is marked to leave.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{HostId, PoolId, WorkerId},
    queue::QueueConfig,
    unit::Steady,
    worker::{HostPhase, ListedHost, Upkeep},
};

/// How often the list of hosts is read while something is under way, in milliseconds.
const LIST_BUSY_MS: u64 = 250;

/// How often it is read otherwise, in milliseconds.
const LIST_IDLE_MS: u64 = 2_000;

/// How long after a call without an answer it is made again, in milliseconds. A call that was
/// carried out is answered as done.
const CALL_AGAIN_MS: u64 = 300;

/// How long a host that is to come to a pool counts as if it were there, in milliseconds: a move
/// takes 1.5 s, and emptying a host about as long.
const COMING_COUNTS_MS: u64 = 4_000;

/// How long a host that does not come is called, in milliseconds.
const COMING_MOST_MS: u64 = 10_000;

/// Hosts that are emptied ahead for a wave, beside those that are away for it.
const AHEAD: usize = 6;

/// The share of a pool's hosts that may be leaving for upkeep at one time, in percent.
const LEAVING_PERCENT: usize = 50;

/// The time over which the growth of a demand is taken, in milliseconds.
const GROWTH_MS: u64 = 1_000;

/// How long a write may take to show in the view, in milliseconds.
const WRITE_SHOWS_MS: u64 = 700;

/// How large pools are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sizing {
    /// The share of a pool's processor time that demand may take before hosts are added, in
    /// percent: tasks do not fill hosts to the brim.
    pub(crate) full_percent: u64,
    /// The share, in percent, of the growth of its demand over the last second that a pool is
    /// prepared for before it comes: hosts take about two seconds to come.
    pub(crate) growth_percent: u64,
    /// Hosts that a pool has beside those that its demand fills.
    pub(crate) margin_hosts: usize,
    /// How long a pool keeps hosts that it needed, in milliseconds: a move is paid for like a
    /// second of a host.
    pub(crate) shrink_after_ms: u64,
}

impl Default for Sizing {
    fn default() -> Sizing {
        Sizing { full_percent: 80, growth_percent: 0, margin_hosts: 1, shrink_after_ms: 3_000 }
    }
}

/// Why a host is to be emptied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Leave {
    /// For upkeep, as part of a wave.
    Upkeep(u64),
    /// For another pool.
    Move(PoolId),
}

/// What a pool asks for now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// Processor time of what runs or could run, in millicores.
    pub(crate) cpu: u64,
    /// Hosts over which its tasks must be spread.
    pub(crate) spread: usize,
    /// Whether some of it ends by itself.
    pub(crate) ends: bool,
}

/// What a pool has and asks for, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolSummary {
    pub(crate) pool: PoolId,
    /// Hosts in the pool, whatever their phase.
    pub(crate) listed: usize,
    /// Hosts that are up and stay.
    pub(crate) free: usize,
    /// Hosts that are to come.
    pub(crate) expected: usize,
    /// Hosts that its demand asks for.
    pub(crate) wanted: usize,
    /// Processor time that its demand asks for, in cores.
    pub(crate) cores: u64,
}

impl fmt::Display for PoolSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PoolSummary { pool, listed, free, expected, wanted, cores } = self;
        write!(
            f,
            "fleet: pool {pool}: {listed} hosts, {free} stay, {expected} come, {wanted} wanted for \
             {cores} cores"
        )
    }
}

/// What is known when the fleet's owner decides.
pub(crate) struct Scene<'a> {
    pub(crate) config: &'a QueueConfig,
    pub(crate) demands: &'a BTreeMap<PoolId, Demand>,
    pub(crate) leaves: &'a BTreeMap<HostId, Leave>,
    /// Hosts that are empty, by the worker that was.
    pub(crate) empties: &'a BTreeMap<HostId, WorkerId>,
    pub(crate) upkeeps: &'a [Upkeep],
    /// Hosts that had their upkeep, by wave.
    pub(crate) maintained: &'a BTreeMap<u64, BTreeSet<HostId>>,
    /// Waves that were reported as done.
    pub(crate) reported: &'a BTreeSet<u64>,
    /// Hosts on which nothing runs, as their pools' owners last wrote.
    pub(crate) idle: &'a BTreeSet<HostId>,
    /// Hosts with little to do, as their pools' owners last wrote: by pool, the one with the least
    /// first.
    pub(crate) light: &'a [HostId],
    /// Hosts that an earlier owner has called so lately that another must not yet.
    pub(crate) resting: &'a BTreeSet<HostId>,
}

/// What the fleet's owner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FleetEffect {
    /// Read the list of hosts.
    List,
    /// Mark a host to leave.
    Mark(HostId, Leave),
    /// Take the mark away.
    Unmark(HostId),
    /// Have a host maintained.
    Maintain(HostId, u64),
    /// Move a host.
    Move(HostId, PoolId),
    /// Keep that hosts have had their upkeep, and take their marks away.
    Maintained(BTreeSet<HostId>, u64),
    /// Tell the operator how far a wave is.
    Report(u64, bool),
}

/// A host that is off and comes to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Coming {
    pool: PoolId,
    since: Steady,
}

/// A call that changes a host, and what it is for: what became of a move says nothing of upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Call {
    purpose: Leave,
    state: CallState,
}

/// How far a call that changes a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    OnItsWay,
    /// No answer, or none that counts: to be made again.
    Again(Steady),
    /// Begun for certain.
    Begun(Steady),
}

/// The owner of the fleet's work.
pub(crate) struct Fleet {
    pub(crate) token: u64,
    sizing: Sizing,
    calls: BTreeMap<HostId, Call>,
    /// Hosts that are off and come to a pool: nothing runs there, so that they need no mark.
    coming: BTreeMap<HostId, Coming>,
    /// When hosts that are marked were first seen to be.
    marked: BTreeMap<HostId, Steady>,
    /// Hosts whose marks were just written, and when: the view lags.
    marking: BTreeMap<HostId, (Leave, Steady)>,
    /// Pools that have had work that ends: the others are left as the operator made them.
    worked: BTreeSet<PoolId>,
    hosts: BTreeMap<HostId, ListedHost>,
    /// When the newest list was asked for.
    listed: Option<Steady>,
    listing: bool,
    next_list: Steady,
    /// Hosts wanted of late, by pool.
    demands: BTreeMap<PoolId, VecDeque<(Steady, usize)>>,
    /// Processor time asked for of late, by pool, in millicores.
    asked: BTreeMap<PoolId, VecDeque<(Steady, u64)>>,
    /// Waves that were reported to have begun.
    begun: BTreeSet<u64>,
    /// By wave, the hosts whose upkeep was last written, and when: the next write builds on it.
    keeping: BTreeMap<u64, (BTreeSet<HostId>, Steady)>,
    /// Records of hosts and waves that were just written, and when: the view lags.
    written: BTreeMap<String, Steady>,
}

impl Fleet {
    /// An owner that has just won the work.
    pub(crate) fn new(token: u64, sizing: Sizing, now: Steady) -> Fleet {
        Fleet {
            token,
            sizing,
            calls: BTreeMap::new(),
            coming: BTreeMap::new(),
            marked: BTreeMap::new(),
            marking: BTreeMap::new(),
            worked: BTreeSet::new(),
            hosts: BTreeMap::new(),
            listed: None,
            listing: false,
            next_list: now,
            demands: BTreeMap::new(),
            asked: BTreeMap::new(),
            begun: BTreeSet::new(),
            keeping: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    /// Takes note of a list that was asked for at a moment; nothing if it was not read.
    pub(crate) fn heard_list(&mut self, sent: Steady, hosts: Option<Vec<ListedHost>>) {
        self.listing = false;
        if let Some(hosts) = hosts {
            self.hosts = hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
            self.listed = Some(sent);
        }
    }

    /// Takes note of what became of a call: whether it was begun for certain.
    pub(crate) fn called(
        &mut self,
        host: &HostId,
        purpose: Leave,
        begun: Option<bool>,
        now: Steady,
    ) {
        let state = match begun {
            Some(true) => CallState::Begun(now),
            // Not done, and never will be: the next decision is free again.
            Some(false) => {
                self.calls.remove(host);
                return;
            }
            None => CallState::Again(now.after(CALL_AGAIN_MS)),
        };
        self.calls.insert(host.clone(), Call { purpose, state });
    }

    /// How far the call for a purpose is, if one was made.
    fn call_state(&self, host: &HostId, purpose: &Leave) -> Option<CallState> {
        self.calls.get(host).filter(|call| call.purpose == *purpose).map(|call| call.state)
    }

    fn note_call(&mut self, host: &HostId, purpose: Leave) {
        self.calls.insert(host.clone(), Call { purpose, state: CallState::OnItsWay });
    }

    /// What is to be done now.
    pub(crate) fn plan(&mut self, scene: &Scene<'_>, now: Steady) -> Vec<FleetEffect> {
        let mut out = Vec::new();
        self.note_demand(scene, now);
        self.note_marks(scene, now);
        self.list(scene, now, &mut out);
        if self.listed.is_none() {
            return out;
        }
        self.finish(scene, now, &mut out);
        self.call(scene, now, &mut out);
        for upkeep in scene.upkeeps {
            self.wave(scene, upkeep, now, &mut out);
        }
        self.size(scene, now, &mut out);
        self.drop_repeated(now, &mut out);
        out
    }

    /// Has a host marked to leave.
    fn mark(&mut self, host: HostId, leave: Leave, now: Steady, out: &mut Vec<FleetEffect>) {
        self.marking.insert(host.clone(), (leave.clone(), now));
        out.push(FleetEffect::Mark(host, leave));
    }

    /// The hosts that are marked, shown by the view or not.
    fn marks<'a>(
        &'a self,
        scene: &'a Scene<'_>,
    ) -> impl Iterator<Item = (&'a HostId, &'a Leave)> + 'a {
        let unseen = self.marking.iter().filter(|(host, _)| !scene.leaves.contains_key(*host));
        scene.leaves.iter().chain(unseen.map(|(host, (leave, _))| (host, leave)))
    }

    /// Whether something is decided for a host already, shown by the view or not.
    fn is_taken(&self, scene: &Scene<'_>, host: &HostId) -> bool {
        scene.leaves.contains_key(host)
            || self.marking.contains_key(host)
            || self.coming.contains_key(host)
    }

    /// Leaves out writes that were made so lately that the view may not show them yet.
    fn drop_repeated(&mut self, now: Steady, out: &mut Vec<FleetEffect>) {
        self.written.retain(|_, at| now.since(*at) < WRITE_SHOWS_MS);
        out.retain(|effect| {
            let what = match effect {
                FleetEffect::Unmark(host) => format!("unmark {host}"),
                FleetEffect::Report(wave, done) => format!("report {wave} {done}"),
                FleetEffect::List
                | FleetEffect::Mark(..)
                | FleetEffect::Maintain(..)
                | FleetEffect::Move(..)
                | FleetEffect::Maintained(..) => return true,
            };
            self.written.insert(what, now).is_none()
        });
    }

    fn list(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        if self.listing || now < self.next_list {
            return;
        }
        let waves = scene.upkeeps.iter().any(|upkeep| !scene.reported.contains(&upkeep.wave));
        let busy =
            waves || !scene.leaves.is_empty() || !self.calls.is_empty() || !self.coming.is_empty();
        self.listing = true;
        self.next_list = now.after(if busy { LIST_BUSY_MS } else { LIST_IDLE_MS });
        out.push(FleetEffect::List);
    }

    /// Ends what the list shows to be over.
    fn finish(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let Some(listed) = self.listed else {
            return;
        };
        let mut maintained: BTreeMap<u64, BTreeSet<HostId>> = BTreeMap::new();
        for (host, leave) in scene.leaves {
            let Some(known) = self.hosts.get(host) else {
                // It has gone for good.
                self.calls.remove(host);
                out.push(FleetEffect::Unmark(host.clone()));
                continue;
            };
            let state = self.call_state(host, leave);
            let begun = matches!(state, Some(CallState::Begun(at)) if at < listed);
            let back = begun && known.phase == HostPhase::Up;
            match leave {
                Leave::Upkeep(wave) => {
                    let kept = scene.maintained.get(wave).is_some_and(|hosts| hosts.contains(host));
                    if back && !kept {
                        maintained.entry(*wave).or_default().insert(host.clone());
                    }
                    if kept {
                        self.calls.remove(host);
                        out.push(FleetEffect::Unmark(host.clone()));
                    }
                }
                Leave::Move(pool) => {
                    if known.phase == HostPhase::Up && known.pool == *pool {
                        self.calls.remove(host);
                        out.push(FleetEffect::Unmark(host.clone()));
                    }
                }
            }
        }
        for (wave, hosts) in maintained {
            self.keep(scene, wave, hosts, now, out);
        }
        let hosts = &self.hosts;
        self.coming.retain(|host, coming| {
            let Some(known) = hosts.get(host) else {
                return false;
            };
            let there = known.phase == HostPhase::Up && known.pool == coming.pool;
            let given_up = COMING_MOST_MS < now.since(coming.since);
            !there && (!given_up || known.phase == HostPhase::Moving)
        });
        let (leaves, coming) = (scene.leaves, &self.coming);
        self.calls.retain(|host, call| {
            let comes = |coming: &Coming| call.purpose == Leave::Move(coming.pool.clone());
            leaves.get(host) == Some(&call.purpose)
                || coming.get(host).is_some_and(comes)
                || call.state == CallState::OnItsWay
        });
    }

    /// Has it kept that hosts had their upkeep: all that are back in one write, and the next only
    /// once that one shows, since each builds on the record before it.
    fn keep(
        &mut self,
        scene: &Scene<'_>,
        wave: u64,
        hosts: BTreeSet<HostId>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let shown = |written: &BTreeSet<HostId>| {
            scene.maintained.get(&wave).is_some_and(|kept| written.is_subset(kept))
        };
        let waits = self
            .keeping
            .get(&wave)
            .is_some_and(|(written, at)| now.since(*at) < WRITE_SHOWS_MS && !shown(written));
        if waits {
            return;
        }
        self.keeping.insert(wave, (hosts.clone(), now));
        out.push(FleetEffect::Maintained(hosts, wave));
    }

    /// What each pool has, asks for and should have, for the log.
    pub(crate) fn summary(&self, scene: &Scene<'_>, now: Steady) -> Vec<PoolSummary> {
        let of = |(pool, demand): (&PoolId, &Demand)| {
            let here = self.hosts.values().filter(|host| host.pool == *pool);
            PoolSummary {
                pool: pool.clone(),
                listed: here.count(),
                free: self.free_hosts(scene, pool).len(),
                expected: self.expected(scene, pool, now),
                wanted: self.wanted(pool, demand),
                cores: demand.cpu / 1000,
            }
        };
        scene.demands.iter().map(of).collect()
    }

    /// Makes the calls for hosts that are empty.
    fn call(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let coming = self.coming.iter().filter(|(host, _)| !scene.resting.contains(*host));
        let coming: Vec<(HostId, PoolId)> =
            coming.map(|(host, coming)| (host.clone(), coming.pool.clone())).collect();
        for (host, pool) in coming {
            let again = match self.calls.get(&host).map(|call| call.state) {
                None => true,
                Some(CallState::Again(at)) => at <= now,
                Some(CallState::OnItsWay | CallState::Begun(_)) => false,
            };
            if again {
                self.note_call(&host, Leave::Move(pool.clone()));
                out.push(FleetEffect::Move(host, pool));
            }
        }
        let leaves = scene.leaves.iter().filter(|(host, _)| !scene.resting.contains(*host));
        for (host, leave) in leaves {
            let again = match self.calls.get(host) {
                None => false,
                Some(Call { purpose, state: CallState::Again(at) })
                    if purpose == leave && *at <= now =>
                {
                    true
                }
                Some(_) => continue,
            };
            let Some(known) = self.hosts.get(host) else {
                continue;
            };
            let ready = known.phase == HostPhase::Up && self.is_empty(scene, known);
            if !again && !ready {
                continue;
            }
            match leave {
                Leave::Upkeep(wave) => {
                    let kept = scene.maintained.get(wave).is_some_and(|hosts| hosts.contains(host));
                    let most = scene.upkeeps.iter().find(|upkeep| upkeep.wave == *wave);
                    let most = most.map_or(0, |upkeep| upkeep.at_once as usize);
                    if kept || (!again && most <= self.away(scene, *wave)) {
                        continue;
                    }
                    out.push(FleetEffect::Maintain(host.clone(), *wave));
                }
                Leave::Move(pool) => out.push(FleetEffect::Move(host.clone(), pool.clone())),
            }
            self.note_call(host, leave.clone());
        }
    }

    /// Whether nothing runs on a host: its owner has said so of its present worker, or it is off.
    fn is_empty(&self, scene: &Scene<'_>, known: &ListedHost) -> bool {
        let off = scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        match &known.worker {
            Some(worker) => off || scene.empties.get(&known.host) == Some(worker),
            None => off,
        }
    }

    /// Hosts that are or may be away for a wave.
    fn away(&self, scene: &Scene<'_>, wave: u64) -> usize {
        let away = |(host, leave): &(&HostId, &Leave)| {
            let called = self.calls.contains_key(*host);
            let listed = self.hosts.get(*host).map(|known| known.phase);
            **leave == Leave::Upkeep(wave) && (called || listed == Some(HostPhase::Upkeep))
        };
        scene.leaves.iter().filter(away).count()
    }

    /// Marks the next hosts of a wave, and reports how far it is.
    fn wave(
        &mut self,
        scene: &Scene<'_>,
        upkeep: &Upkeep,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if scene.reported.contains(&upkeep.wave) {
            return;
        }
        let none = BTreeSet::new();
        let kept = scene.maintained.get(&upkeep.wave).unwrap_or(&none);
        let left: Vec<&ListedHost> = upkeep
            .hosts
            .iter()
            .filter(|host| !kept.contains(*host))
            .filter_map(|host| self.hosts.get(host))
            .collect();
        if left.is_empty() {
            out.push(FleetEffect::Report(upkeep.wave, true));
            return;
        }
        if self.begun.insert(upkeep.wave) {
            out.push(FleetEffect::Report(upkeep.wave, false));
        }
        let marked = self.marks(scene).filter(|(_, leave)| **leave == Leave::Upkeep(upkeep.wave));
        let room = (upkeep.at_once as usize + AHEAD).saturating_sub(marked.count());
        let mut next: Vec<&ListedHost> = left
            .into_iter()
            .filter(|known| known.phase == HostPhase::Up)
            .filter(|known| !self.is_taken(scene, &known.host))
            .collect();
        let is_off =
            |known: &ListedHost| scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        next.sort_by_key(|known| {
            let busy = !scene.idle.contains(&known.host);
            (!is_off(known), busy, self.leaving(scene, &known.pool))
        });
        let mut taken: BTreeMap<PoolId, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for known in next {
            if room <= chosen.len() {
                break;
            }
            let pool = self.hosts.values().filter(|host| host.pool == known.pool).count();
            let most = (pool * LEAVING_PERCENT / 100).max(1);
            let leaving = taken.entry(known.pool.clone()).or_default();
            if !is_off(known) && most <= self.leaving(scene, &known.pool) + *leaving {
                continue;
            }
            *leaving += 1;
            chosen.push(known.host.clone());
        }
        for host in chosen {
            self.mark(host, Leave::Upkeep(upkeep.wave), now, out);
        }
    }

    /// Hosts of a pool that are marked to leave for upkeep.
    fn leaving(&self, scene: &Scene<'_>, pool: &PoolId) -> usize {
        let here = self.marks(scene).filter(|(host, leave)| {
            matches!(leave, Leave::Upkeep(_))
                && self.hosts.get(*host).is_some_and(|known| known.pool == *pool)
        });
        here.count()
    }

    fn note_demand(&mut self, scene: &Scene<'_>, now: Steady) {
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
    /// it asks for now, and as much more as it grew by of late.
    fn forecast(&self, pool: &PoolId, demand: &Demand) -> u64 {
        let before = self.asked.get(pool).and_then(|late| late.front()).map_or(0, |(_, cpu)| *cpu);
        demand.cpu + demand.cpu.saturating_sub(before) * self.sizing.growth_percent / 100
    }

    /// Hosts that a pool should have for a demand.
    fn wanted(&self, pool: &PoolId, demand: &Demand) -> usize {
        let room = self.hosts.values().next().map(|host| host.room);
        let host_cpu = room.map_or(0, |room| u64::from(room.cpu.0)).max(1);
        let filled = (self.forecast(pool, demand) * 100)
            .div_ceil(host_cpu * self.sizing.full_percent) as usize;
        filled.max(demand.spread) + self.sizing.margin_hosts
    }

    /// Moves hosts between the pools and the one whose hosts are off.
    fn size(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let Some(off) = scene.config.pools.iter().find(|(_, rules)| rules.off) else {
            return;
        };
        let off = off.0;
        let pools: Vec<&PoolId> = scene.demands.keys().filter(|pool| *pool != off).collect();
        let mut have = BTreeMap::new();
        let mut free = BTreeMap::new();
        for pool in &pools {
            let here = self.free_hosts(scene, pool);
            have.insert((*pool).clone(), here.len() + self.expected(scene, pool, now));
            free.insert((*pool).clone(), here);
        }
        let mut spare: VecDeque<HostId> = self.free_hosts(scene, off).into();
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
                let Some(host) = self.borrowed(scene, &mut free, &shares, short) else {
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
                for host in here.iter().take(surplus) {
                    self.mark(host.clone(), Leave::Move(off.clone()), now, out);
                }
            }
        }
    }

    /// Hosts over which a pool's lasting tasks can be spread while one of them leaves.
    fn floor(&self, demand: &Demand) -> usize {
        demand.spread + 1
    }

    /// Hosts for each pool: what it wants, or where that is more than there are, hosts one by one
    /// to the pool that has the smallest part of what it wants.
    fn shares(
        &self,
        scene: &Scene<'_>,
        pools: &[&PoolId],
        total: usize,
    ) -> BTreeMap<PoolId, usize> {
        let wanted: Vec<usize> =
            pools.iter().map(|pool| self.wanted(pool, &scene.demands[*pool])).collect();
        let spread = |n: usize| self.floor(&scene.demands[pools[n]]).min(wanted[n]);
        let mut shares = vec![0; pools.len()];
        for _ in 0..total.min(wanted.iter().sum()) {
            let open = (0..pools.len()).filter(|n| shares[*n] < wanted[*n]);
            // What lasts must stay spread, also while another pool peaks.
            let order = |n: &usize| (spread(*n) <= shares[*n], shares[*n] * 1000 / wanted[*n]);
            if let Some(n) = open.min_by_key(order) {
                shares[n] += 1;
            }
        }
        pools.iter().map(|pool| (*pool).clone()).zip(shares).collect()
    }

    /// A host of a pool that has more than its share: an idle one, or else the one with the least
    /// to do; any, if lasting tasks need it.
    fn borrowed(
        &self,
        scene: &Scene<'_>,
        free: &mut BTreeMap<PoolId, Vec<HostId>>,
        shares: &BTreeMap<PoolId, usize>,
        busy: bool,
    ) -> Option<HostId> {
        for (pool, hosts) in free.iter_mut() {
            if hosts.len() <= shares[pool] {
                continue;
            }
            let idle = hosts.iter().position(|host| scene.idle.contains(host));
            let mut light = scene.light.iter();
            let light = light.find_map(|host| hosts.iter().position(|here| here == host));
            if let Some(place) = idle.or(light).or(busy.then_some(hosts.len() - 1)) {
                return Some(hosts.remove(place));
            }
        }
        None
    }

    /// Hosts that are to come to a pool, and may be expected to: one that takes too long may be
    /// down, or held by a worker that is silent.
    fn expected(&self, scene: &Scene<'_>, pool: &PoolId, now: Steady) -> usize {
        let soon = |since: Steady| now.since(since) < COMING_COUNTS_MS;
        let coming = self.coming.values().filter(|c| c.pool == *pool && soon(c.since));
        let marked = self.marks(scene).filter(|(host, leave)| {
            **leave == Leave::Move(pool.clone())
                && self.marked.get(*host).is_none_or(|since| soon(*since))
        });
        coming.count() + marked.count()
    }

    fn note_marks(&mut self, scene: &Scene<'_>, now: Steady) {
        self.marked.retain(|host, _| scene.leaves.contains_key(host));
        self.marking.retain(|host, (_, at)| {
            now.since(*at) < WRITE_SHOWS_MS && !scene.leaves.contains_key(host)
        });
        for host in scene.leaves.keys() {
            self.marked.entry(host.clone()).or_insert(now);
        }
    }

    /// Hosts of a pool that are up and not marked to leave.
    fn free_hosts(&self, scene: &Scene<'_>, pool: &PoolId) -> Vec<HostId> {
        let free = self.hosts.values().filter(|known| {
            known.pool == *pool
                && known.phase == HostPhase::Up
                && !self.is_taken(scene, &known.host)
        });
        let mut free: Vec<HostId> = free.map(|known| known.host.clone()).collect();
        // What is idle leaves at once.
        free.sort_by_key(|host| !scene.idle.contains(host));
        free
    }
}
