//! The fleet owner: drains hosts for upkeep and for other pools, has them maintained, and moves
//! them to the pools that need them. A state machine without I/O: a snapshot and the current time
//! go in, effects come out.
//!
//! A host is maintained or moved only after its pool's owner has recorded that nothing runs there
//! any more. That owner starts nothing on the host while its drain mark is set.

mod calls;
mod marks;
mod size;
#[cfg(test)]
mod tests;
mod wave;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
};

use serde::{Deserialize, Serialize};

use self::{
    calls::{Call, CallState, RateLimiter},
    marks::Marks,
    wave::WaveWrites,
    zones::EvacuatedZones,
};
use crate::model::{
    id::{HostId, PoolId, WorkerId, ZoneId},
    queue::QueueConfig,
    unit::{Revision, Steady},
    worker::{HostPhase, ListedHost, Upkeep},
};

pub(crate) use marks::DrainMark;

/// How often the host list is read while upkeep or moves are in progress, in milliseconds.
const BUSY_LIST_INTERVAL_MS: u64 = 250;

/// How often the host list is read otherwise, in milliseconds.
const IDLE_LIST_INTERVAL_MS: u64 = 2_000;

/// How long a switched-off host may take to join a pool before its move is given up, in
/// milliseconds.
const INCOMING_TIMEOUT_MS: u64 = 10_000;

/// How long after a failed write the same decision may be made again, in milliseconds: longer than
/// a delayed write takes to be committed.
const WRITE_RETRY_MS: u64 = 500;

/// Settings for the size of pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sizing {
    /// The share of a pool's processor time that demand may use before hosts are added, in percent.
    /// Tasks do not fill a host completely.
    pub(crate) full_percent: u64,
    /// The share, in percent, of the growth in demand over the last second that is added to the
    /// forecast. Hosts take about two seconds to join a pool.
    pub(crate) growth_percent: u64,
    /// Spare hosts of a pool beyond those that its demand fills.
    pub(crate) margin_hosts: usize,
    /// How long a pool keeps hosts after its demand has dropped, in milliseconds: a move costs as
    /// much as one second of a host.
    pub(crate) shrink_after_ms: u64,
    /// How many calls that move or maintain hosts the platform accepts per second.
    pub(crate) max_calls: usize,
}

impl Default for Sizing {
    fn default() -> Sizing {
        Sizing {
            full_percent: 80,
            growth_percent: 0,
            margin_hosts: 1,
            shrink_after_ms: 3_000,
            max_calls: 64,
        }
    }
}

/// The action for which a host must be empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HostAction {
    /// Upkeep, as part of this wave.
    Upkeep(u64),
    /// A move to this pool.
    Move(PoolId),
}

/// The current demand of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    /// Processor time of the tasks that run or are ready to run, in millicores, of jobs that can
    /// still end in time.
    pub(crate) cpu: u64,
    /// The same for jobs that cannot.
    pub(crate) late_cpu: u64,
    /// Number of hosts over which its long-running tasks must be spread.
    pub(crate) spread: usize,
    /// Whether some of the tasks end by themselves.
    pub(crate) finite: bool,
    /// Processor time, in millicores, that it takes to keep up with the jobs that arrived recently,
    /// and how many jobs these were.
    pub(crate) arriving_cpu: u64,
    pub(crate) arrivals: u32,
}

/// Size and demand of a pool, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolSummary {
    pub(crate) pool: PoolId,
    /// Hosts in the pool, whatever their phase.
    pub(crate) listed: usize,
    /// Hosts that are up and not marked for draining.
    pub(crate) available: usize,
    /// Hosts that are expected to join.
    pub(crate) expected: usize,
    /// Hosts that its demand needs.
    pub(crate) wanted: usize,
    /// Processor time demanded by work that can still end in time, in cores.
    pub(crate) cores: u64,
    /// Processor time demanded by late work, in cores.
    pub(crate) late_cores: u64,
}

impl fmt::Display for PoolSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PoolSummary { pool, listed, available, expected, wanted, cores, late_cores } = self;
        write!(
            f,
            "fleet: pool {pool}: {listed} hosts, {available} available, {expected} expected, \
             {wanted} wanted for {cores} cores, {late_cores} cores of late work"
        )
    }
}

/// The input of one plan of the fleet owner.
pub(crate) struct FleetSnapshot<'a> {
    pub(crate) config: &'a QueueConfig,
    pub(crate) demands: &'a BTreeMap<PoolId, Demand>,
    /// The store revision that the view has reached.
    pub(crate) view_revision: Revision,
    pub(crate) marks: &'a BTreeMap<HostId, DrainMark>,
    /// Drained hosts, with the worker that was found empty.
    pub(crate) drained: &'a BTreeMap<HostId, WorkerId>,
    pub(crate) upkeeps: &'a [Upkeep],
    /// Hosts whose upkeep is recorded as done, by wave.
    pub(crate) maintained: &'a BTreeMap<u64, BTreeSet<HostId>>,
    /// Waves that have been reported as done.
    pub(crate) reported: &'a BTreeSet<u64>,
    /// Hosts on which nothing runs, as last published by their pools' owners.
    pub(crate) idle: &'a BTreeSet<HostId>,
    /// Hosts with a light load, as last published by their pools' owners: within each pool, the
    /// least loaded first.
    pub(crate) light: &'a [HostId],
    /// Hosts with a higher load and no long-running task: within each pool, the least loaded first.
    pub(crate) busy: &'a [HostId],
    /// Hosts that an earlier owner has called so recently that this one must not call them yet.
    pub(crate) recently_called: &'a BTreeSet<HostId>,
    /// Evacuated availability zones.
    pub(crate) evacuated: &'a BTreeSet<ZoneId>,
}

/// An action that the fleet owner wants carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FleetEffect {
    /// Read the host list.
    List,
    /// Set the drain mark of a host.
    Mark(HostId, HostAction),
    /// Remove the drain mark that was written at this revision.
    Unmark(HostId, Revision),
    /// Have a host maintained for a wave.
    Maintain(HostId, u64),
    /// Move a host to a pool.
    Move(HostId, PoolId),
    /// Record that the upkeep of hosts is done for a wave, and remove their drain marks.
    Maintained(BTreeSet<HostId>, u64),
    /// Report to the operator that a wave has begun, or that it is done.
    Report(u64, bool),
}

/// The result of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// Committed at this revision.
    Done(Revision),
    /// Not committed because a condition did not hold; carries the host's current mark, if any.
    Refused(Option<DrainMark>),
    /// No conclusive answer: it may have been committed, or may be later.
    Unknown,
}

/// The result of a call that maintains or moves a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The platform has begun the action.
    Begun,
    /// Not begun, and never will be.
    NotBegun,
    /// No conclusive answer: it may have begun, or may begin later.
    Unknown,
    /// Rejected by the rate limit of the platform.
    RateLimited,
}

/// A switched-off host that is joining a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Incoming {
    pool: PoolId,
    since: Steady,
}

/// The fleet owner.
pub(crate) struct FleetOwner {
    pub(crate) token: u64,
    sizing: Sizing,
    calls: BTreeMap<HostId, Call>,
    rate_limiter: RateLimiter,
    /// Switched-off hosts that are joining a pool. Nothing runs there, so they need no drain mark.
    incoming: BTreeMap<HostId, Incoming>,
    marks: Marks,
    /// Hosts that were to leave their pool for the one whose hosts are switched off, and stay, since
    /// the pool needs them again.
    staying: BTreeMap<HostId, Incoming>,
    /// The state of this owner's writes for each wave.
    waves: BTreeMap<u64, WaveWrites>,
    /// Since when pools have had work that ends by itself. These give up hosts that they do not need;
    /// the others keep what their first work is expected to need.
    active_since: BTreeMap<PoolId, Steady>,
    /// The most hosts that each of these pools has wanted.
    peaks: BTreeMap<PoolId, usize>,
    /// The most hosts that each pool has had.
    largest: BTreeMap<PoolId, usize>,
    hosts: BTreeMap<HostId, ListedHost>,
    zones: EvacuatedZones,
    /// The processor time of a host, in millicores.
    host_cpu: u64,
    /// When the latest host list was requested.
    listed_at: Option<Steady>,
    list_pending: bool,
    next_list: Steady,
    /// Recent numbers of wanted hosts, by pool.
    recent_wanted: BTreeMap<PoolId, VecDeque<(Steady, usize)>>,
    /// Recent demand for processor time, by pool, in millicores.
    recent_cpu: BTreeMap<PoolId, VecDeque<(Steady, u64)>>,
}

impl FleetOwner {
    /// A fleet owner that has just acquired its ownership.
    pub(crate) fn new(token: u64, sizing: Sizing, now: Steady) -> FleetOwner {
        FleetOwner {
            token,
            sizing,
            calls: BTreeMap::new(),
            rate_limiter: RateLimiter::new(sizing.max_calls),
            incoming: BTreeMap::new(),
            marks: Marks::new(sizing.max_calls),
            staying: BTreeMap::new(),
            waves: BTreeMap::new(),
            active_since: BTreeMap::new(),
            peaks: BTreeMap::new(),
            largest: BTreeMap::new(),
            hosts: BTreeMap::new(),
            zones: EvacuatedZones::default(),
            host_cpu: 0,
            listed_at: None,
            list_pending: false,
            next_list: now,
            recent_wanted: BTreeMap::new(),
            recent_cpu: BTreeMap::new(),
        }
    }

    /// Counts, in tests, a visit of a host or a mark by a plan. The cost of a plan must grow with
    /// the number of hosts, not with hosts times marks.
    fn count_visit(&self) {
        self.marks.count_visit();
    }

    /// Returns the number of visits of hosts and marks, and resets it.
    #[cfg(test)]
    pub(crate) fn take_visits(&self) -> usize {
        self.marks.visits.take()
    }

    /// Updates the hosts from a list that was requested at `sent`; `None` if reading it failed.
    pub(crate) fn update_hosts(&mut self, sent: Steady, hosts: Option<Vec<ListedHost>>) {
        self.list_pending = false;
        if let Some(hosts) = hosts {
            self.hosts = hosts.into_iter().map(|host| (host.host.clone(), host)).collect();
            self.listed_at = Some(sent);
            self.update_host_cpu();
            let mut sizes: BTreeMap<&PoolId, usize> = BTreeMap::new();
            for host in self.hosts.values() {
                *sizes.entry(&host.pool).or_default() += 1;
            }
            for (pool, size) in sizes {
                let largest = self.largest.entry(pool.clone()).or_default();
                *largest = size.max(*largest);
            }
        }
    }

    /// Decides what to do now.
    pub(crate) fn plan(&mut self, snapshot: &FleetSnapshot<'_>, now: Steady) -> Vec<FleetEffect> {
        let mut out = Vec::new();
        self.record_demand(snapshot, now);
        self.marks.refresh(snapshot, now);
        let marks = &self.marks;
        self.staying.retain(|host, _| marks.is_pending(host));
        self.zones.update(snapshot.evacuated, now);
        self.request_list(snapshot, now, &mut out);
        if self.listed_at.is_none() {
            return out;
        }
        self.finish_actions(snapshot, now, &mut out);
        self.withdraw_moves(&mut out);
        self.make_calls(snapshot, now, &mut out);
        // Incoming hosts that were not called yet are chosen again below.
        let calls = &self.calls;
        self.incoming.retain(|host, _| calls.contains_key(host));
        for upkeep in snapshot.upkeeps {
            self.advance_wave(snapshot, upkeep, now, &mut out);
        }
        self.resize_pools(snapshot, now, &mut out);
        out
    }

    /// Whether an action is already pending for a host, whether or not the view shows it.
    fn is_pending(&self, host: &HostId) -> bool {
        self.marks.is_pending(host) || self.incoming.contains_key(host)
    }

    fn request_list(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if self.list_pending || now < self.next_list {
            return;
        }
        let waves = snapshot.upkeeps.iter().any(|upkeep| !snapshot.reported.contains(&upkeep.wave));
        let busy = waves
            || !snapshot.marks.is_empty()
            || !self.calls.is_empty()
            || !self.incoming.is_empty();
        self.list_pending = true;
        self.next_list =
            now.after(if busy { BUSY_LIST_INTERVAL_MS } else { IDLE_LIST_INTERVAL_MS });
        out.push(FleetEffect::List);
    }

    /// Finishes the actions that the host list shows to be complete.
    fn finish_actions(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let Some(listed_at) = self.listed_at else {
            return;
        };
        let mut maintained: BTreeMap<u64, BTreeSet<HostId>> = BTreeMap::new();
        let mut finished = Vec::new();
        for (host, mark) in self.marks.iter() {
            let Some(entry) = self.hosts.get(host) else {
                // The host was removed from the fleet.
                finished.push(host.clone());
                continue;
            };
            let up = entry.phase == HostPhase::Up;
            match &mark.action {
                HostAction::Upkeep(wave) => {
                    let state = self.call_state(host, &mark.action);
                    let begun = matches!(state, Some(CallState::Begun(at)) if at < listed_at);
                    if self.is_maintained(snapshot, *wave, host) {
                        finished.push(host.clone());
                    } else if begun && up && self.marks.confirmed_mark(host).is_some() {
                        maintained.entry(*wave).or_default().insert(host.clone());
                    }
                }
                HostAction::Move(pool) if up && entry.pool == *pool => finished.push(host.clone()),
                HostAction::Move(_) => {}
            }
        }
        for host in finished {
            self.calls.remove(&host);
            self.remove_mark(&host, out);
        }
        for (wave, hosts) in maintained {
            self.write_maintained(wave, hosts, now, out);
        }
        let hosts = &self.hosts;
        self.incoming.retain(|host, incoming| {
            let Some(entry) = hosts.get(host) else {
                return false;
            };
            let has_arrived = entry.phase == HostPhase::Up && entry.pool == incoming.pool;
            let is_overdue = INCOMING_TIMEOUT_MS < now.since(incoming.since);
            !has_arrived && (!is_overdue || entry.phase == HostPhase::Moving)
        });
        let (marks, incoming) = (&self.marks, &self.incoming);
        self.calls.retain(|host, call| {
            let matches_call =
                |incoming: &Incoming| call.action == HostAction::Move(incoming.pool.clone());
            marks.get(host).is_some_and(|mark| mark.action == call.action)
                || incoming.get(host).is_some_and(matches_call)
                || call.state == CallState::InFlight
        });
    }

    /// By pool, the hosts that are up and have no pending action, without those in evacuated zones.
    /// Idle ones come first, since they can be drained at once.
    fn available_hosts(&self, snapshot: &FleetSnapshot<'_>) -> BTreeMap<&PoolId, Vec<HostId>> {
        let mut available: BTreeMap<&PoolId, Vec<HostId>> = BTreeMap::new();
        for entry in self.hosts.values().inspect(|_| self.count_visit()) {
            let is_usable = entry.phase == HostPhase::Up && !self.zones.covers(entry);
            if is_usable && !self.is_pending(&entry.host) {
                available.entry(&entry.pool).or_default().push(entry.host.clone());
            }
        }
        for hosts in available.values_mut() {
            hosts.sort_by_cached_key(|host| !snapshot.idle.contains(host));
        }
        available
    }
}
