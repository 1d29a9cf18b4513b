//! The work of all pools together: hosts are emptied for upkeep and for other pools, maintained,
//! and moved to where they are needed. Decisions only: what is known and the present time go in.
//!
//! A host is touched only after its pool's owner has written that nothing runs there any more, and
//! that owner starts nothing there while the host is marked to leave.

mod calls;
mod marks;
mod size;
#[cfg(test)]
mod tests;
mod wave;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use self::{
    calls::{Call, CallState, Pace},
    marks::Marks,
    wave::WaveWrites,
};
use crate::model::{
    id::{HostId, PoolId, WorkerId},
    queue::QueueConfig,
    unit::{Revision, Steady},
    worker::{HostPhase, ListedHost, Upkeep},
};

pub(crate) use marks::Mark;

/// How often the list of hosts is read while something is under way, in milliseconds.
const LIST_BUSY_MS: u64 = 250;

/// How often it is read otherwise, in milliseconds.
const LIST_IDLE_MS: u64 = 2_000;

/// How long a host that does not come is called, in milliseconds.
const COMING_MOST_MS: u64 = 10_000;

/// How long after a write that failed the same is decided on again, in milliseconds: longer than a
/// write takes that is done late.
const WRITE_AGAIN_MS: u64 = 500;

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
    /// The revision up to which the view is known.
    pub(crate) known: Revision,
    pub(crate) leaves: &'a BTreeMap<HostId, Mark>,
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
    /// Take the mark away that stands at a revision.
    Unmark(HostId, Revision),
    /// Have a host maintained.
    Maintain(HostId, u64),
    /// Move a host.
    Move(HostId, PoolId),
    /// Keep that hosts have had their upkeep, and take their marks away.
    Maintained(BTreeSet<HostId>, u64),
    /// Tell the operator how far a wave is.
    Report(u64, bool),
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteEnd {
    /// Done, at this revision.
    Done(Revision),
    /// Not done, since something is otherwise; the host's mark as it stands, if there is one.
    Refused(Option<Mark>),
    /// No answer, or none that tells: it may be done, or be done later.
    Lost,
}

/// What became of a call that changes a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Begun,
    /// Not done, and never will be.
    NotBegun,
    /// No answer that tells: it may be done, or be done later.
    Unknown,
    /// The platform took no more calls.
    Limited,
}

/// A host that is off and comes to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Coming {
    pool: PoolId,
    since: Steady,
}

/// The owner of the fleet's work.
pub(crate) struct Fleet {
    pub(crate) token: u64,
    sizing: Sizing,
    calls: BTreeMap<HostId, Call>,
    pace: Pace,
    /// Hosts that are off and come to a pool: nothing runs there, so that they need no mark.
    coming: BTreeMap<HostId, Coming>,
    marks: Marks,
    /// What was written of waves.
    waves: BTreeMap<u64, WaveWrites>,
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
}

impl Fleet {
    /// An owner that has just won the work.
    pub(crate) fn new(token: u64, sizing: Sizing, now: Steady) -> Fleet {
        Fleet {
            token,
            sizing,
            calls: BTreeMap::new(),
            pace: Pace::default(),
            coming: BTreeMap::new(),
            marks: Marks::default(),
            waves: BTreeMap::new(),
            worked: BTreeSet::new(),
            hosts: BTreeMap::new(),
            host_cpu: 0,
            listed: None,
            listing: false,
            next_list: now,
            demands: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Counts, in tests, that a plan looks at a host or a mark: what it costs must grow with the
    /// hosts, not with the hosts times the marks.
    fn count_look(&self) {
        self.marks.count_look();
    }

    /// How often a host or a mark was looked at since this was last asked.
    #[cfg(test)]
    pub(crate) fn take_looks(&self) -> usize {
        self.marks.looks.take()
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

    /// What is to be done now.
    pub(crate) fn plan(&mut self, scene: &Scene<'_>, now: Steady) -> Vec<FleetEffect> {
        let mut out = Vec::new();
        self.note_demand(scene, now);
        self.marks.refresh(scene, now);
        self.list(scene, now, &mut out);
        if self.listed.is_none() {
            return out;
        }
        self.finish(scene, now, &mut out);
        self.call(scene, now, &mut out);
        // Those that were not called yet are decided on anew.
        let calls = &self.calls;
        self.coming.retain(|host, _| calls.contains_key(host));
        for upkeep in scene.upkeeps {
            self.wave(scene, upkeep, now, &mut out);
        }
        self.size(scene, now, &mut out);
        out
    }

    /// Whether something is decided for a host already, shown by the view or not.
    fn is_taken(&self, host: &HostId) -> bool {
        self.marks.is_taken(host) || self.coming.contains_key(host)
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
        let mut over = Vec::new();
        for (host, mark) in self.marks.iter() {
            let Some(known) = self.hosts.get(host) else {
                // It has gone for good.
                over.push(host.clone());
                continue;
            };
            let up = known.phase == HostPhase::Up;
            match &mark.leave {
                Leave::Upkeep(wave) => {
                    let state = self.call_state(host, &mark.leave);
                    let begun = matches!(state, Some(CallState::Begun(at)) if at < listed);
                    if self.is_kept(scene, *wave, host) {
                        over.push(host.clone());
                    } else if begun && up && self.marks.settled(host).is_some() {
                        maintained.entry(*wave).or_default().insert(host.clone());
                    }
                }
                Leave::Move(pool) if up && known.pool == *pool => over.push(host.clone()),
                Leave::Move(_) => {}
            }
        }
        for host in over {
            self.calls.remove(&host);
            self.unmark(&host, out);
        }
        for (wave, hosts) in maintained {
            self.keep(wave, hosts, now, out);
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
        let (marks, coming) = (&self.marks, &self.coming);
        self.calls.retain(|host, call| {
            let comes = |coming: &Coming| call.purpose == Leave::Move(coming.pool.clone());
            marks.get(host).is_some_and(|mark| mark.leave == call.purpose)
                || coming.get(host).is_some_and(comes)
                || call.state == CallState::OnItsWay
        });
    }

    /// By pool, the hosts that are up and not marked to leave. What is idle comes first: it leaves
    /// at once.
    fn staying(&self, scene: &Scene<'_>) -> BTreeMap<&PoolId, Vec<HostId>> {
        let mut staying: BTreeMap<&PoolId, Vec<HostId>> = BTreeMap::new();
        for known in self.hosts.values().inspect(|_| self.count_look()) {
            if known.phase == HostPhase::Up && !self.is_taken(&known.host) {
                staying.entry(&known.pool).or_default().push(known.host.clone());
            }
        }
        for hosts in staying.values_mut() {
            hosts.sort_by_cached_key(|host| !scene.idle.contains(host));
        }
        staying
    }
}
