//! Calls to the platform that maintain or move hosts: which ones are made, and their state.

use std::collections::{BTreeMap, VecDeque};

use super::{CallResult, Demand, FleetEffect, FleetOwner, FleetSnapshot, HostAction};
use crate::{
    jobs::worker::MAX_ORDER_DELAY_MS,
    model::{
        id::{HostId, PoolId},
        unit::Steady,
        worker::{HostPhase, ListedHost},
    },
};

/// How long after a call without an answer it is retried, in milliseconds. The platform answers a
/// repeated call as done if the first one was carried out.
const CALL_RETRY_MS: u64 = 300;

/// How long no call is made after the platform has rejected one, in milliseconds: a quarter of the
/// platform's limit per second is free again by then.
const RATE_LIMIT_PAUSE_MS: u64 = 250;

/// The window over which the platform counts calls, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// The lower bound of the limit, in calls per window, however many calls are rejected: the calls of
/// an earlier owner may have used up the window. The limit grows by a quarter each second.
const MIN_CALL_RATE: usize = 16;

/// By which part the greatest limit is lowered when a call was rejected at that limit: calls that
/// take different times on the way arrive closer together than they were sent.
const ARRIVAL_MARGIN: usize = 16;

/// Adapts the rate of calls to what the platform accepts. If each host were retried independently,
/// rejected calls would be repeated ahead of calls of higher priority.
#[derive(Debug)]
pub(super) struct RateLimiter {
    /// The limit in calls per window.
    limit: usize,
    /// The greatest limit.
    max: usize,
    /// When the limit was last changed.
    limit_changed: Steady,
    /// When the calls of the current window were made, without those that were rejected.
    recent_calls: VecDeque<Steady>,
    paused_until: Steady,
}

impl RateLimiter {
    /// A limiter for a platform that accepts so many calls per second.
    pub(super) fn new(max: usize) -> RateLimiter {
        RateLimiter {
            limit: max,
            max,
            limit_changed: Steady::default(),
            recent_calls: VecDeque::new(),
            paused_until: Steady::default(),
        }
    }

    /// How many calls may be made now. The limit rises by a quarter per second as long as no call
    /// is rejected, since other nodes may have used up the platform's limit before.
    fn available(&mut self, now: Steady) -> usize {
        self.expire(now);
        if now < self.paused_until {
            return 0;
        }
        if self.limit < self.max && RATE_WINDOW_MS <= now.since(self.limit_changed) {
            self.limit = (self.limit + self.limit.div_ceil(4)).min(self.max);
            self.limit_changed = now;
        }
        self.limit.saturating_sub(self.recent_calls.len())
    }

    /// Drops calls that are older than the window.
    fn expire(&mut self, now: Steady) {
        while self.recent_calls.front().is_some_and(|at| RATE_WINDOW_MS <= now.since(*at)) {
            self.recent_calls.pop_front();
        }
    }

    /// Lowers the limit after a call was rejected.
    fn back_off(&mut self, now: Steady) {
        self.expire(now);
        self.recent_calls.pop_back();
        if self.limit == self.max && self.paused_until <= now {
            self.max = (self.max - self.max / ARRIVAL_MARGIN).max(MIN_CALL_RATE);
        }
        let limit = self.recent_calls.len().max(MIN_CALL_RATE);
        self.limit = self.limit.min(limit).min(self.max);
        self.limit_changed = now;
        self.paused_until = now.after(RATE_LIMIT_PAUSE_MS);
    }
}

/// The priority of a call, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallPriority {
    /// A move to a pool that lacks hosts for work that can still end in time.
    Shortage,
    Upkeep,
    /// A move to a pool that has the hosts that it needs now.
    Extra,
    /// A move to the pool whose hosts are switched off.
    Off,
}

/// A call that maintains or moves a host. Its state counts only for the same action: the result of
/// a move says nothing about upkeep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) action: HostAction,
    pub(super) state: CallState,
    /// Until when a call for the action that got no answer may still be carried out.
    pub(super) unresolved_until: Steady,
}

/// The state of a call that maintains or moves a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    InFlight,
    /// No conclusive answer: to be retried at this time.
    RetryAt(Steady),
    /// Certain not to have begun; nothing new is decided for the host before this time.
    NotBegun(Steady),
    /// Certain to have begun; known since this time.
    Begun(Steady),
}

impl FleetOwner {
    /// Records the result of a call.
    pub(crate) fn note_call_result(
        &mut self,
        host: &HostId,
        action: HostAction,
        result: CallResult,
        now: Steady,
    ) {
        if self.calls.get(host).is_some_and(|call| call.action != action) {
            log::info!("host {host}: late result of an earlier {action:?} ignored: {result:?}");
            return;
        }
        let earlier = self.calls.get(host).map(|call| call.unresolved_until);
        let unresolved_until = match result {
            CallResult::Unknown => now.after(MAX_ORDER_DELAY_MS),
            _ => earlier.unwrap_or_default(),
        };
        let state = match result {
            CallResult::Begun => CallState::Begun(now),
            CallResult::NotBegun if now < unresolved_until => {
                CallState::RetryAt(now.after(CALL_RETRY_MS))
            }
            CallResult::NotBegun => CallState::NotBegun(now.after(CALL_RETRY_MS)),
            CallResult::Unknown => CallState::RetryAt(now.after(CALL_RETRY_MS)),
            CallResult::RateLimited => {
                self.rate_limiter.back_off(now);
                // An earlier call may have begun without an answer: the host may be out of service.
                CallState::RetryAt(self.rate_limiter.paused_until)
            }
        };
        self.calls.insert(host.clone(), Call { action, state, unresolved_until });
    }

    /// The state of the call for an action, if one was made.
    pub(super) fn call_state(&self, host: &HostId, action: &HostAction) -> Option<CallState> {
        self.calls.get(host).filter(|call| call.action == *action).map(|call| call.state)
    }

    fn record_call(&mut self, host: &HostId, action: HostAction) {
        let earlier = self.calls.get(host).filter(|call| call.action == action);
        let unresolved_until = earlier.map(|call| call.unresolved_until).unwrap_or_default();
        let state = CallState::InFlight;
        self.calls.insert(host.clone(), Call { action, state, unresolved_until });
    }

    /// Whether a call may have taken its host out of service, or may yet do so.
    pub(super) fn may_be_out_of_service(&self, host: &HostId) -> bool {
        let state = self.calls.get(host).map(|call| call.state);
        !matches!(state, None | Some(CallState::NotBegun(_)))
    }

    /// Makes the calls for hosts that are empty, by priority: when the demand peak passes from one
    /// pool to another, more hosts are due than the platform accepts calls per second.
    pub(super) fn make_calls(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let in_flight =
            self.calls.values().filter(|call| call.state == CallState::InFlight).count();
        let mut allowed =
            self.sizing.max_calls.saturating_sub(in_flight).min(self.rate_limiter.available(now));
        if allowed == 0 {
            return;
        }
        let mut out_of_service = self.out_of_service_by_wave(snapshot);
        for host in self.hosts_by_priority(snapshot) {
            let Some(action) = self.due_action(snapshot, &host, &out_of_service, now) else {
                continue;
            };
            if let HostAction::Upkeep(wave) = action
                && !self.may_be_out_of_service(&host)
            {
                *out_of_service.entry(wave).or_default() += 1;
            }
            if let Some(incoming) = self.incoming.get_mut(&host)
                && !self.calls.contains_key(&host)
            {
                incoming.since = now;
            }
            self.record_call(&host, action.clone());
            self.rate_limiter.recent_calls.push_back(now);
            out.push(match action {
                HostAction::Upkeep(wave) => FleetEffect::Maintain(host, wave),
                HostAction::Move(pool) => FleetEffect::Move(host, pool),
            });
            allowed -= 1;
            if allowed == 0 {
                break;
            }
        }
    }

    /// The hosts that are joining a pool or have a drain mark, by the priority of their calls.
    fn hosts_by_priority(&self, snapshot: &FleetSnapshot<'_>) -> Vec<HostId> {
        let mut shortages = self.shortages(snapshot);
        let mut priority = |action: &HostAction| match action {
            HostAction::Upkeep(_) => CallPriority::Upkeep,
            HostAction::Move(pool)
                if snapshot.config.pools.get(pool).is_some_and(|rules| rules.headroom) =>
            {
                CallPriority::Off
            }
            HostAction::Move(pool) => match shortages.get_mut(pool).filter(|hosts| **hosts != 0) {
                Some(hosts) => {
                    *hosts -= 1;
                    CallPriority::Shortage
                }
                None => CallPriority::Extra,
            },
        };
        let mut hosts: Vec<(CallPriority, &HostId)> = Vec::new();
        for (host, incoming) in &self.incoming {
            hosts.push((priority(&HostAction::Move(incoming.pool.clone())), host));
        }
        for (host, mark) in self.marks.iter() {
            hosts.push((priority(&mark.action), host));
        }
        // The sort is stable: a switched-off host comes before one from another pool.
        hosts.sort_by_key(|(priority, _)| *priority);
        let callable =
            hosts.into_iter().filter(|(_, host)| !snapshot.recently_called.contains(*host));
        callable.map(|(_, host)| host.clone()).collect()
    }

    /// By pool, how many hosts it lacks, beyond its available ones, for the work that can still end
    /// in time. Hosts that were already called count as lacking.
    fn shortages<'a>(&self, snapshot: &FleetSnapshot<'a>) -> BTreeMap<&'a PoolId, usize> {
        let available_hosts = self.available_hosts(snapshot);
        let shortage = |(pool, demand): (&'a PoolId, &Demand)| {
            let available = available_hosts.get(pool).map_or(0, Vec::len);
            (pool, self.needed(demand).saturating_sub(available))
        };
        snapshot.demands.iter().map(shortage).collect()
    }

    /// The action for which a joining or marked host is to be called now; `out_of_service` counts
    /// the hosts that are out of service for each wave.
    fn due_action(
        &self,
        snapshot: &FleetSnapshot<'_>,
        host: &HostId,
        out_of_service: &BTreeMap<u64, usize>,
        now: Steady,
    ) -> Option<HostAction> {
        if let Some(incoming) = self.incoming.get(host) {
            let due = match self.calls.get(host).map(|call| call.state) {
                None => true,
                Some(CallState::RetryAt(at) | CallState::NotBegun(at)) => at <= now,
                Some(CallState::InFlight | CallState::Begun(_)) => false,
            };
            return due.then(|| HostAction::Move(incoming.pool.clone()));
        }
        let (marked, _) = self.marks.confirmed_mark(host)?;
        let is_retry = match self.calls.get(host) {
            None => false,
            Some(Call { action, state: CallState::RetryAt(at), .. })
                if action == marked && *at <= now =>
            {
                true
            }
            Some(Call { state: CallState::NotBegun(at), .. }) if *at <= now => false,
            Some(_) => return None,
        };
        let entry = self.hosts.get(host)?;
        let is_ready = entry.phase == HostPhase::Up && self.is_empty(snapshot, entry);
        if !is_retry && !is_ready {
            return None;
        }
        let due = match marked {
            HostAction::Upkeep(wave) => {
                let max_out_of_service =
                    snapshot.upkeeps.iter().find(|upkeep| upkeep.wave == *wave);
                let max_out_of_service =
                    max_out_of_service.map_or(0, |upkeep| upkeep.max_concurrent as usize);
                let out_of_service = out_of_service.get(wave).copied().unwrap_or_default();
                !self.is_maintained(snapshot, *wave, host)
                    && (is_retry || out_of_service < max_out_of_service)
            }
            // The view may still show the mark after the move.
            HostAction::Move(pool) => entry.phase != HostPhase::Up || entry.pool != *pool,
        };
        due.then(|| marked.clone())
    }

    /// Whether nothing runs on a host: its pool's owner has recorded that for its current worker,
    /// or the host is switched off.
    fn is_empty(&self, snapshot: &FleetSnapshot<'_>, entry: &ListedHost) -> bool {
        let is_off = snapshot.config.pools.get(&entry.pool).is_some_and(|rules| rules.headroom);
        match &entry.worker {
            Some(worker) => is_off || snapshot.drained.get(&entry.host) == Some(worker),
            None => is_off,
        }
    }
}
