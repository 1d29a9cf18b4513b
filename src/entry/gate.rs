//! Admission: a bounded queue for each service, ordered by class and deadline; limits on the slots
//! that less urgent classes may use; and the teams' rate limits.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::oneshot;

use crate::{
    decide::route::{self, RetryBudget, Waiting},
    model::{
        id::{ServiceId, TeamId},
        request::Class,
        unit::{PerSecond, Time},
    },
    rate::{PeerDemand, RateLimit, RateShare},
};

/// Percentage of a service's slots that a class and less urgent ones may use on all nodes together.
/// The rest is reserved for more urgent classes.
const CLASS_SHARE_PERCENT: [u32; 3] = [100, 90, 70];
/// Weight of the newest request in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.1;

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Waiting, oneshot::Sender<()>>,
    /// Requests in flight by class.
    busy: [u32; 3],
    typical_run_time: Duration,
    retries: RetryBudget,
    number: u64,
}

/// The gate of one service.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

/// The gates of all services, and the rate limits of all teams.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: Mutex<HashMap<ServiceId, Arc<Gate>>>,
    teams: Mutex<HashMap<TeamId, RateShare>>,
}

/// Current inputs for the limit of a class at a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bound {
    /// Slots of all endpoints known to the node.
    pub(crate) slots: u32,
    /// Requests of this class and less urgent ones that other nodes have in flight.
    pub(crate) others: u32,
    pub(crate) nodes: u32,
}

impl Bound {
    /// Maximum number of requests of a class and less urgent ones in flight from this node.
    fn allowed(self, class: Class) -> u32 {
        let all = self.slots * CLASS_SHARE_PERCENT[class as usize] / 100;
        // At least an equal part, so that the counts of other nodes never starve this one.
        all.saturating_sub(self.others).max(all / self.nodes.max(1)).max(1)
    }
}

/// A request in flight, counted until it is dropped.
pub(crate) struct InFlight {
    gate: Arc<Gate>,
    class: Class,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        let count = &mut state.busy[self.class as usize];
        *count = count.saturating_sub(1);
        state.wake_first();
    }
}

/// A place in the queue, released when it is dropped.
pub(crate) struct QueuePlace {
    gate: Arc<Gate>,
    place: Waiting,
    wakeup: oneshot::Receiver<()>,
}

impl QueuePlace {
    /// Waits until the request may try again. Returns false if a more urgent one took its place.
    pub(crate) async fn wait_turn(&mut self) -> bool {
        (&mut self.wakeup).await.is_ok()
    }

    /// The sequence number of arrival, which keeps the place of a request that must wait again.
    pub(crate) fn number(&self) -> u64 {
        self.place.number
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.gate.lock().waiting.remove(&self.place);
    }
}

/// Why a request cannot be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueError {
    /// The queue is full.
    Full(Duration),
    /// The expected wait exceeds its deadline.
    Deadline(Duration),
}

impl QueueError {
    /// Time after which the caller may retry.
    pub(crate) fn retry_after(self) -> Duration {
        match self {
            QueueError::Full(after) | QueueError::Deadline(after) => after,
        }
    }
}

impl State {
    fn wake_first(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            // A request that no longer waits is skipped.
            if sender.send(()).is_ok() {
                return;
            }
        }
    }
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as in flight if the limit of its class allows it.
    pub(crate) fn try_enter(self: &Arc<Gate>, class: Class, bound: Bound) -> Option<InFlight> {
        let mut state = self.lock();
        let busy: u32 = state.busy[class as usize..].iter().sum();
        if bound.allowed(class) <= busy {
            return None;
        }
        state.busy[class as usize] += 1;
        Some(InFlight { gate: self.clone(), class })
    }

    /// Adds a request to the queue. With `earlier_number`, a request that has waited before keeps
    /// its place.
    pub(crate) fn wait(
        self: &Arc<Gate>,
        class: Class,
        deadline: Time,
        max_waiting: usize,
        slots: u32,
        earlier_number: Option<u64>,
        now: Time,
    ) -> Result<QueuePlace, QueueError> {
        let mut state = self.lock();
        let number = earlier_number.unwrap_or_else(|| {
            state.number += 1;
            state.number
        });
        let place = Waiting { class, deadline, number };
        let ahead = state.waiting.range(..place).count();
        let wait = route::expected_wait(ahead, slots, state.typical_run_time);
        if max_waiting <= state.waiting.len() && earlier_number.is_none() {
            // A more urgent request takes the place of the least urgent one.
            let last = state.waiting.last_key_value().map(|(place, _)| *place);
            match last.filter(|last| place < *last) {
                Some(last) => drop(state.waiting.remove(&last)),
                None => return Err(QueueError::Full(wait)),
            }
        }
        if deadline.since(now) < wait {
            return Err(QueueError::Deadline(wait));
        }
        let (sender, wakeup) = oneshot::channel();
        state.waiting.insert(place, sender);
        Ok(QueuePlace { gate: self.clone(), place, wakeup })
    }

    /// Wakes up to `count` waiting requests, after endpoints have become available.
    pub(crate) fn wake(&self, count: usize) {
        let mut state = self.lock();
        for _ in 0..count {
            state.wake_first();
        }
    }

    /// Records the run time of a request.
    pub(crate) fn record_run(&self, run_time: Duration) {
        let mut state = self.lock();
        state.typical_run_time = state.typical_run_time.mul_f64(1.0 - RUN_TIME_WEIGHT)
            + run_time.mul_f64(RUN_TIME_WEIGHT);
        state.retries.earn();
    }

    /// Takes one retry from the service's retry budget.
    pub(crate) fn may_retry(&self) -> bool {
        self.lock().retries.take()
    }

    /// Moving average of the run times of requests.
    pub(crate) fn typical_run_time(&self) -> Duration {
        self.lock().typical_run_time
    }
}

impl Gates {
    /// The gate of a service.
    pub(crate) fn of(&self, service: &ServiceId) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = gates.get(service) {
            return gate.clone();
        }
        gates.entry(service.clone()).or_default().clone()
    }

    /// Requests in flight by service and class. Services without any are omitted.
    pub(crate) fn busy(&self) -> Vec<(ServiceId, [u32; 3])> {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = gates.iter().map(|(id, gate)| (id.clone(), gate.lock().busy));
        busy.filter(|(_, counts)| *counts != [0; 3]).collect()
    }

    /// Wakes up to `count` waiting requests of every service.
    pub(crate) fn wake_all(&self, count: usize) {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.values().for_each(|gate| gate.wake(count));
    }

    /// Admits a request of a team, or returns the time after which it may be retried.
    pub(crate) fn admit(
        &self,
        team: &TeamId,
        rate: PerSecond,
        others: PeerDemand,
        now: Time,
    ) -> Result<(), Duration> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || RateShare::new(RateLimit::full(now), now);
        let share = teams.entry(team.clone()).or_insert_with(new);
        share.record_request(now);
        share.take(f64::from(rate.0), others, 0.0, now)
    }

    /// This node's recent demand in requests per second, by team.
    pub(crate) fn demand(&self, now: Time) -> Vec<(TeamId, u32)> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let rates = teams.iter_mut().map(|(team, share)| (team.clone(), share.demand(now)));
        rates.filter(|(_, rate)| *rate != 0).collect()
    }
}
