//! Admission: a bounded queue for each service, ordered by class and deadline; shares of the
//! slots that less urgent classes leave free; and teams' rates.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::oneshot;

use crate::{
    decide::{
        route::{self, RateLimit, RetryBudget, Waiting},
        share::{Others, Share},
    },
    model::{
        id::{ServiceId, TeamId},
        request::Class,
        unit::{PerSecond, Time},
    },
};

/// The part of a service's slots that a class and those below it may have over all nodes, in
/// hundredths. What is left keeps room for the more urgent ones.
const CLASS_SHARE: [u32; 3] = [100, 90, 70];
/// Weight of the newest request in the typical time.
const NEWEST: f64 = 0.1;

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Waiting, oneshot::Sender<()>>,
    /// Requests in flight by class.
    busy: [u32; 3],
    typical: Duration,
    retries: RetryBudget,
    number: u64,
}

/// The gate of one service.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
}

/// The gates of all services, and the rates of all teams.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    gates: Mutex<HashMap<ServiceId, Arc<Gate>>>,
    teams: Mutex<HashMap<TeamId, Share>>,
}

/// What limits a class at a service now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bound {
    /// Slots of all endpoints that the node knows.
    pub(crate) slots: u32,
    /// Requests of this class and below that other nodes have in flight.
    pub(crate) others: u32,
    pub(crate) nodes: u32,
}

impl Bound {
    /// Requests of a class and below that this node may have in flight.
    fn allowed(self, class: Class) -> u32 {
        let all = self.slots * CLASS_SHARE[class as usize] / 100;
        // Never less than an equal part, so that nobody is shut out by others' counts.
        all.saturating_sub(self.others).max(all / self.nodes.max(1)).max(1)
    }
}

/// A request in flight; counted until it is dropped.
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

/// A place in the queue, left when it is dropped.
pub(crate) struct Place {
    gate: Arc<Gate>,
    place: Waiting,
    turn: oneshot::Receiver<()>,
}

impl Place {
    /// Waits for the request's turn to look again; false if a more urgent one took its place.
    pub(crate) async fn turn(&mut self) -> bool {
        (&mut self.turn).await.is_ok()
    }

    /// The order of arrival, by which a request keeps its place when it must wait again.
    pub(crate) fn number(&self) -> u64 {
        self.place.number
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gate.lock().waiting.remove(&self.place);
    }
}

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Full {
    /// The queue is as long as it may be.
    Queue(Duration),
    /// It could not be answered before its deadline.
    Deadline(Duration),
}

impl Full {
    /// When to come back.
    pub(crate) fn retry_after(self) -> Duration {
        match self {
            Full::Queue(after) | Full::Deadline(after) => after,
        }
    }
}

impl State {
    fn wake_first(&mut self) {
        while let Some((_, sender)) = self.waiting.pop_first() {
            // One that has given up meanwhile is passed over.
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

    /// Counts a request in flight, if its class may have one more.
    pub(crate) fn enter(self: &Arc<Gate>, class: Class, bound: Bound) -> Option<InFlight> {
        let mut state = self.lock();
        let busy: u32 = state.busy[class as usize..].iter().sum();
        if bound.allowed(class) <= busy {
            return None;
        }
        state.busy[class as usize] += 1;
        Some(InFlight { gate: self.clone(), class })
    }

    /// Joins the queue; the receiver hears when it is this request's turn to look again. With
    /// `again`, a request that has waited before keeps its place.
    pub(crate) fn wait(
        self: &Arc<Gate>,
        class: Class,
        deadline: Time,
        most: usize,
        slots: u32,
        again: Option<u64>,
        now: Time,
    ) -> Result<Place, Full> {
        let mut state = self.lock();
        let number = again.unwrap_or_else(|| {
            state.number += 1;
            state.number
        });
        let place = Waiting { class, deadline, number };
        let ahead = state.waiting.range(..place).count();
        let wait = route::expected_wait(ahead, slots, state.typical);
        if most <= state.waiting.len() && again.is_none() {
            // A more urgent request takes the place of the least urgent one.
            let last = state.waiting.last_key_value().map(|(place, _)| *place);
            match last.filter(|last| place < *last) {
                Some(last) => drop(state.waiting.remove(&last)),
                None => return Err(Full::Queue(wait)),
            }
        }
        if deadline.since(now) < wait {
            return Err(Full::Deadline(wait));
        }
        let (sender, turn) = oneshot::channel();
        state.waiting.insert(place, sender);
        Ok(Place { gate: self.clone(), place, turn })
    }

    /// Has as many as may find a place look again, after endpoints have come.
    pub(crate) fn wake(&self, count: usize) {
        let mut state = self.lock();
        for _ in 0..count {
            state.wake_first();
        }
    }

    /// Notes how long a request ran.
    pub(crate) fn ran(&self, took: Duration) {
        let mut state = self.lock();
        state.typical = state.typical.mul_f64(1.0 - NEWEST) + took.mul_f64(NEWEST);
        state.retries.earn();
    }

    /// Takes one retry of the service's budget.
    pub(crate) fn may_retry(&self) -> bool {
        self.lock().retries.take()
    }

    /// How long a request typically runs.
    pub(crate) fn typical(&self) -> Duration {
        self.lock().typical
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

    /// Requests in flight by service and class; services without any are left out.
    pub(crate) fn busy(&self) -> Vec<(ServiceId, [u32; 3])> {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let busy = gates.iter().map(|(id, gate)| (id.clone(), gate.lock().busy));
        busy.filter(|(_, counts)| *counts != [0; 3]).collect()
    }

    /// Has waiting requests of every service look again.
    pub(crate) fn wake_all(&self, count: usize) {
        let gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        gates.values().for_each(|gate| gate.wake(count));
    }

    /// Lets a team's request through, or tells when to come back.
    pub(crate) fn admit(
        &self,
        team: &TeamId,
        rate: PerSecond,
        others: Others,
        now: Time,
    ) -> Result<(), Duration> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || Share::new(RateLimit::full(now), now);
        let share = teams.entry(team.clone()).or_insert_with(new);
        share.ask(now);
        share.take(f64::from(rate.0), others, 0.0, now)
    }

    /// Requests a second that this node was lately asked for, by team.
    pub(crate) fn demand(&self, now: Time) -> Vec<(TeamId, u32)> {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        let rates = teams.iter_mut().map(|(team, share)| (team.clone(), share.demand(now)));
        rates.filter(|(_, rate)| *rate != 0).collect()
    }
}
