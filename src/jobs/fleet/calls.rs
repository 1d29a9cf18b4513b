//! The calls that change hosts: which are made, and how far they are.

use std::collections::BTreeMap;

use super::{CallEnd, Fleet, FleetEffect, Leave, Scene};
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
            // An earlier call may have had no answer.
            CallEnd::Unknown | CallEnd::Limited => CallState::Again(now.after(CALL_AGAIN_MS)),
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

    /// Makes the calls for hosts that are empty.
    pub(super) fn call(&mut self, scene: &Scene<'_>, now: Steady, out: &mut Vec<FleetEffect>) {
        let under_way =
            self.calls.values().filter(|call| call.state == CallState::OnItsWay).count();
        let mut room = CALLS_MOST.saturating_sub(under_way);
        let coming = self.coming.iter().filter(|(host, _)| !scene.resting.contains(*host));
        let coming: Vec<(HostId, PoolId)> =
            coming.map(|(host, coming)| (host.clone(), coming.pool.clone())).collect();
        for (host, pool) in coming {
            let again = match self.calls.get(&host).map(|call| call.state) {
                None => true,
                Some(CallState::Again(at) | CallState::Undone(at)) => at <= now,
                Some(CallState::OnItsWay | CallState::Begun(_)) => false,
            };
            if again && room != 0 {
                room -= 1;
                if let Some(coming) = self.coming.get_mut(&host)
                    && !self.calls.contains_key(&host)
                {
                    coming.since = now;
                }
                self.note_call(&host, Leave::Move(pool.clone()));
                out.push(FleetEffect::Move(host, pool));
            }
        }
        let marked = self.marks.iter().filter(|(host, _)| !scene.resting.contains(*host));
        let marked: Vec<HostId> = marked.map(|(host, _)| host.clone()).collect();
        let mut away = self.away();
        for host in marked {
            if room == 0 {
                break;
            }
            if let Some(leave) = self.due(scene, &host, &away, now) {
                room -= 1;
                if let Leave::Upkeep(wave) = leave
                    && !self.may_be_away(&host)
                {
                    *away.entry(wave).or_default() += 1;
                }
                self.note_call(&host, leave.clone());
                out.push(match leave {
                    Leave::Upkeep(wave) => FleetEffect::Maintain(host, wave),
                    Leave::Move(pool) => FleetEffect::Move(host, pool),
                });
            }
        }
    }

    /// What a marked host is to be called for now, with so many away for each wave.
    fn due(
        &self,
        scene: &Scene<'_>,
        host: &HostId,
        away: &BTreeMap<u64, usize>,
        now: Steady,
    ) -> Option<Leave> {
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
