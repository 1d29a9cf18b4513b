//! The calls that change hosts: which are made, and how far they are.

use std::collections::{BTreeMap, VecDeque};

use super::{CallEnd, Demand, Fleet, FleetEffect, Leave, Scene};
use crate::model::{
    id::{HostId, PoolId},
    unit::Steady,
    worker::{HostPhase, ListedHost},
};

/// How long after a call without an answer it is made again, in milliseconds. A call that was
/// carried out is answered as done.
const CALL_AGAIN_MS: u64 = 300;

/// Calls that may be on their way at one time: what the platform allows in a second.
const CALLS_MOST: usize = 64;

/// How long no call is made after one that the platform did not take, in milliseconds: what it takes
/// in a second has a quarter of its room again by then.
const LIMITED_PAUSE_MS: u64 = 250;

/// Over how long the platform counts the calls that it takes, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// The least calls in that time, however many were not taken: an earlier owner's calls may have filled
/// it, and with a quarter more each second 64 are reached again after 7 s.
const CALLS_LEAST: usize = 16;

/// How many calls are made in a second, by what the platform took: with each host tried again on its
/// own, calls that are not taken come again and again before those that are worth more.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// The most that may be made; nothing as long as all were taken.
    most: Option<usize>,
    /// When the bound was last changed.
    changed: Steady,
    /// When the last calls were made that were taken, or may be.
    made: VecDeque<Steady>,
    not_before: Steady,
}

impl Pace {
    /// How many calls may be made now. The bound rises by a quarter a second as long as all are
    /// taken, since others may have used what was allowed.
    fn room(&mut self, now: Steady) -> usize {
        self.forget(now);
        if now < self.not_before {
            return 0;
        }
        let Some(most) = &mut self.most else {
            return usize::MAX;
        };
        if COUNTED_MS <= now.since(self.changed) {
            *most += most.div_ceil(4);
            self.changed = now;
        }
        most.saturating_sub(self.made.len())
    }

    /// Leaves out calls that no longer count.
    fn forget(&mut self, now: Steady) {
        while self.made.front().is_some_and(|at| COUNTED_MS <= now.since(*at)) {
            self.made.pop_front();
        }
    }

    /// Takes note that a call was not taken.
    fn limited(&mut self, now: Steady) {
        self.forget(now);
        self.made.pop_back();
        let most = self.made.len().max(CALLS_LEAST);
        self.most = Some(self.most.map_or(most, |before| before.min(most)));
        self.changed = now;
        self.not_before = now.after(LIMITED_PAUSE_MS);
    }
}

/// What a call is worth: the first comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Worth {
    /// To a pool that lacks hosts for work that can be in time.
    Lacking,
    Upkeep,
    /// To a pool that has what it needs now.
    More,
    /// To the pool whose hosts are off.
    Off,
}

/// A call that changes a host, and what it is for: what became of a move says nothing of upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) purpose: Leave,
    pub(super) state: CallState,
}

/// How far a call that changes a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    OnItsWay,
    /// No answer, or none that counts: to be made again.
    Again(Steady),
    /// Not done for certain, and decided on anew no sooner than then.
    Undone(Steady),
    /// Begun for certain.
    Begun(Steady),
}

impl Fleet {
    /// Takes note of what became of a call.
    pub(crate) fn called(&mut self, host: &HostId, purpose: Leave, end: CallEnd, now: Steady) {
        let state = match end {
            CallEnd::Begun => CallState::Begun(now),
            CallEnd::NotBegun => CallState::Undone(now.after(CALL_AGAIN_MS)),
            CallEnd::Unknown => CallState::Again(now.after(CALL_AGAIN_MS)),
            CallEnd::Limited => {
                self.pace.limited(now);
                // An earlier call may have had no answer.
                CallState::Again(self.pace.not_before)
            }
        };
        self.calls.insert(host.clone(), Call { purpose, state });
    }

    /// How far the call for a purpose is, if one was made.
    pub(super) fn call_state(&self, host: &HostId, purpose: &Leave) -> Option<CallState> {
        self.calls.get(host).filter(|call| call.purpose == *purpose).map(|call| call.state)
    }

    fn note_call(&mut self, host: &HostId, purpose: Leave) {
        self.calls.insert(host.clone(), Call { purpose, state: CallState::OnItsWay });
    }

    /// Whether a call that was made may have taken, or may yet take, its host away.
    pub(super) fn may_be_away(&self, host: &HostId) -> bool {
        let state = self.calls.get(host).map(|call| call.state);
        !matches!(state, None | Some(CallState::Undone(_)))
    }

    /// Makes the calls for hosts that are empty, those that are worth most first: fewer are taken in
    /// a second than hosts are due at a change of turns.
    pub(super) fn call(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let under_way =
            self.calls.values().filter(|call| call.state == CallState::OnItsWay).count();
        let mut room = CALLS_MOST.saturating_sub(under_way).min(self.pace.room(now));
        if room == 0 {
            return;
        }
        let mut away = self.away(scene);
        for host in self.by_worth(scene) {
            let Some(leave) = self.due(scene, &host, &away, now) else {
                continue;
            };
            if let Leave::Upkeep(wave) = leave
                && !self.may_be_away(&host)
            {
                *away.entry(wave).or_default() += 1;
            }
            if let Some(coming) = self.coming.get_mut(&host)
                && !self.calls.contains_key(&host)
            {
                coming.since = now;
            }
            self.note_call(&host, leave.clone());
            self.pace.made.push_back(now);
            out.push(match leave {
                Leave::Upkeep(wave) => FleetEffect::Maintain(host, wave),
                Leave::Move(pool) => FleetEffect::Move(host, pool),
            });
            room -= 1;
            if room == 0 {
                break;
            }
        }
    }

    /// The hosts that come to a pool or are marked to leave, those whose calls are worth most first.
    fn by_worth(&self, scene: &Scene<'_>) -> Vec<HostId> {
        let mut lacking = self.lacking(scene);
        let mut worth = |leave: &Leave| match leave {
            Leave::Upkeep(_) => Worth::Upkeep,
            Leave::Move(pool) if scene.config.pools.get(pool).is_some_and(|rules| rules.off) => {
                Worth::Off
            }
            Leave::Move(pool) => match lacking.get_mut(pool).filter(|hosts| **hosts != 0) {
                Some(hosts) => {
                    *hosts -= 1;
                    Worth::Lacking
                }
                None => Worth::More,
            },
        };
        let mut hosts: Vec<(Worth, &HostId)> = Vec::new();
        for (host, coming) in &self.coming {
            hosts.push((worth(&Leave::Move(coming.pool.clone())), host));
        }
        for (host, mark) in self.marks.iter() {
            hosts.push((worth(&mark.leave), host));
        }
        // Stable: a host that is off comes before one that another pool gives.
        hosts.sort_by_key(|(worth, _)| *worth);
        let free = hosts.into_iter().filter(|(_, host)| !scene.resting.contains(*host));
        free.map(|(_, host)| host.clone()).collect()
    }

    /// By pool, how many hosts it lacks for the work that can be in time, beside those that are
    /// there and stay. Those whose calls were made are among the ones to be called for.
    fn lacking<'a>(&self, scene: &Scene<'a>) -> BTreeMap<&'a PoolId, usize> {
        let staying = self.staying(scene);
        let lacks = |(pool, demand): (&'a PoolId, &Demand)| {
            let has = staying.get(pool).map_or(0, Vec::len);
            (pool, self.needed(demand).saturating_sub(has))
        };
        scene.demands.iter().map(lacks).collect()
    }

    /// What a host that comes or is marked is to be called for now, with so many away for each wave.
    fn due(
        &self,
        scene: &Scene<'_>,
        host: &HostId,
        away: &BTreeMap<u64, usize>,
        now: Steady,
    ) -> Option<Leave> {
        if let Some(coming) = self.coming.get(host) {
            let due = match self.calls.get(host).map(|call| call.state) {
                None => true,
                Some(CallState::Again(at) | CallState::Undone(at)) => at <= now,
                Some(CallState::OnItsWay | CallState::Begun(_)) => false,
            };
            return due.then(|| Leave::Move(coming.pool.clone()));
        }
        let (leave, _) = self.marks.settled(host)?;
        let again = match self.calls.get(host) {
            None => false,
            Some(Call { purpose, state: CallState::Again(at) })
                if purpose == leave && *at <= now =>
            {
                true
            }
            Some(Call { state: CallState::Undone(at), .. }) if *at <= now => false,
            Some(_) => return None,
        };
        let known = self.hosts.get(host)?;
        let ready = known.phase == HostPhase::Up && self.is_empty(scene, known);
        if !again && !ready {
            return None;
        }
        let due = match leave {
            Leave::Upkeep(wave) => {
                let most = scene.upkeeps.iter().find(|upkeep| upkeep.wave == *wave);
                let most = most.map_or(0, |upkeep| upkeep.at_once as usize);
                let away = away.get(wave).copied().unwrap_or_default();
                !self.is_kept(scene, *wave, host) && (again || away < most)
            }
            // Its mark may outlast the move by as much as the view is behind.
            Leave::Move(pool) => known.phase != HostPhase::Up || known.pool != *pool,
        };
        due.then(|| leave.clone())
    }

    /// Whether nothing runs on a host: its owner has said so of its present worker, or it is off.
    fn is_empty(&self, scene: &Scene<'_>, known: &ListedHost) -> bool {
        let off = scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        match &known.worker {
            Some(worker) => off || scene.empties.get(&known.host) == Some(worker),
            None => off,
        }
    }
}
