//! The work of all pools together: hosts are emptied for upkeep and for other pools, maintained,
//! and moved to where they are needed. Decisions only: what is known and the present time go in.
//!
//! A host is touched only after its pool's owner has written that nothing runs there any more, and
//! that owner starts nothing there while the host is marked to leave.

mod size;
mod wave;

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

/// How long a host that does not come is called, in milliseconds.
const COMING_MOST_MS: u64 = 10_000;

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
    /// Processor time of what runs or could run, in millicores, of jobs that can end in time.
    pub(crate) cpu: u64,
    /// The same, of jobs that cannot.
    pub(crate) late: u64,
    /// Hosts over which its tasks must be spread.
    pub(crate) spread: usize,
    /// Whether some of it ends by itself.
    pub(crate) ends: bool,
    /// Processor time, in millicores, that it takes to keep up with what came lately, and how
    /// many jobs these were.
    pub(crate) arriving: u64,
    pub(crate) arrivals: u32,
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
    /// Processor time that work which can be in time asks for, in cores.
    pub(crate) cores: u64,
    /// The same of late work.
    pub(crate) late: u64,
}

impl fmt::Display for PoolSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PoolSummary { pool, listed, free, expected, wanted, cores, late } = self;
        write!(
            f,
            "fleet: pool {pool}: {listed} hosts, {free} stay, {expected} come, {wanted} wanted for \
             {cores} cores, {late} of late work"
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
    /// Hosts with more to do, none of which lasts: by pool, the one with the least first.
    pub(crate) busy: &'a [HostId],
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
    /// The processor time of a host, in millicores.
    host_cpu: u64,
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
    /// How often a host or a mark was looked at.
    #[cfg(test)]
    looks: std::cell::Cell<usize>,
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
            host_cpu: 0,
            listed: None,
            listing: false,
            next_list: now,
            demands: BTreeMap::new(),
            asked: BTreeMap::new(),
            begun: BTreeSet::new(),
            keeping: BTreeMap::new(),
            written: BTreeMap::new(),
            #[cfg(test)]
            looks: std::cell::Cell::default(),
        }
    }

    /// Counts, in tests, that a plan looks at a host or a mark: what it costs must grow with the
    /// hosts, not with the hosts times the marks.
    fn count_look(&self) {
        #[cfg(test)]
        self.looks.set(self.looks.get() + 1);
    }

    /// How often a host or a mark was looked at since this was last asked.
    #[cfg(test)]
    pub(crate) fn take_looks(&self) -> usize {
        self.looks.take()
    }

    /// Takes note of a list that was asked for at a moment; nothing if it was not read.
    pub(crate) fn heard_list(&mut self, sent: Steady, hosts: Option<Vec<ListedHost>>) {
        self.listing = false;
        if let Some(hosts) = hosts {
            self.hosts = hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
            self.listed = Some(sent);
            self.note_rooms();
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
        let marks = scene.leaves.iter().chain(unseen.map(|(host, (leave, _))| (host, leave)));
        marks.inspect(|_| self.count_look())
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
        let mut away = self.away(scene);
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
                    let away = away.entry(*wave).or_default();
                    if kept || (!again && most <= *away) {
                        continue;
                    }
                    *away += usize::from(!again);
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

    fn note_marks(&mut self, scene: &Scene<'_>, now: Steady) {
        self.marked.retain(|host, _| scene.leaves.contains_key(host));
        self.marking.retain(|host, (_, at)| {
            now.since(*at) < WRITE_SHOWS_MS && !scene.leaves.contains_key(host)
        });
        for host in scene.leaves.keys() {
            self.marked.entry(host.clone()).or_insert(now);
        }
    }

    /// By pool, the hosts that are up and not marked to leave. What is idle comes first: it leaves
    /// at once.
    fn staying(&self, scene: &Scene<'_>) -> BTreeMap<&PoolId, Vec<HostId>> {
        let mut staying: BTreeMap<&PoolId, Vec<HostId>> = BTreeMap::new();
        for known in self.hosts.values().inspect(|_| self.count_look()) {
            if known.phase == HostPhase::Up && !self.is_taken(scene, &known.host) {
                staying.entry(&known.pool).or_default().push(known.host.clone());
            }
        }
        for hosts in staying.values_mut() {
            hosts.sort_by_cached_key(|host| !scene.idle.contains(host));
        }
        staying
    }
}
