//! Fuzzing of how long an ownership lasts: a node's lease and the ownerships acquired under it,
//! with a store that answers late or not at all, and pauses of the process at any moment. The
//! oracle knows when the store has ended each lease: from then on another node could have acquired
//! the pool.

use std::{cell::Cell, collections::BTreeMap, sync::Arc, time::Duration};

use bolero::TypeGenerator;

use crate::{
    jobs::owner::{GRACE_PERIOD_MS, LEASE_MS},
    model::unit::Steady,
    platform::store::LeaseId,
    scheduler::lease::{Lease, Tenure},
    tests::fuzz,
};

/// A wait of at least this many steps is extended to some seconds.
const LONG_WAIT_STEPS: u64 = 200;

/// The outcome of a call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum CallOutcome {
    Done,
    /// Done at once, and answered by a later operation.
    LateAnswer,
    /// Done and answered by a later operation.
    Delayed,
    AnswerLost,
    Lost,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Time passes, while the process runs or is paused: mostly a short time.
    Wait {
        steps: u8,
    },
    /// A call takes or renews the lease, one at a time; the store may grant a longer time than
    /// requested.
    Renew {
        outcome: CallOutcome,
        generous: bool,
    },
    AnswerRenewal,
    /// A call tries to acquire the pool, one at a time.
    Acquire {
        outcome: CallOutcome,
    },
    AnswerAcquisition,
    /// The store ends the lease early.
    EndLease,
    /// The node gives up ended ownerships, and decides on orders under the others.
    Decide,
    /// The node sends the orders that it has decided on.
    Send,
}

/// A call that was not answered yet: whether the store has executed it.
#[derive(Clone, Copy)]
enum Pending<T> {
    Executed(T),
    NotExecuted,
}

/// The lease and the time that the store grants; `None` if the lease has ended.
type Grant = Option<(LeaseId, u64)>;

/// A call that takes or renews a lease: when it was sent, the lease that it names, and the time
/// that the store grants.
type Renewal = (Steady, Option<LeaseId>, u64);

/// The store, and one node.
struct Simulation {
    now: u64,
    /// Leases that are held, and when they expire.
    leases: BTreeMap<LeaseId, u64>,
    /// Leases that have ended, and when.
    ended: BTreeMap<LeaseId, u64>,
    next_lease: LeaseId,
    /// Token and lease of the owner's record in the store.
    owner: Option<(u64, LeaseId)>,
    next_token: u64,
    /// The lease of each token.
    tokens: BTreeMap<u64, LeaseId>,
    lease: Arc<Lease>,
    renewing: Option<(Renewal, Pending<Grant>)>,
    acquiring: Option<(LeaseId, Steady, Pending<Option<u64>>)>,
    owned: Vec<(u64, Tenure)>,
    orders: Vec<(u64, Tenure)>,
    /// How many orders were sent, and how many of them when another node could have acquired the
    /// pool.
    sent: (u64, u64),
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            now: 10_000,
            leases: BTreeMap::new(),
            ended: BTreeMap::new(),
            next_lease: 1,
            owner: None,
            next_token: 1,
            tokens: BTreeMap::new(),
            lease: Arc::default(),
            renewing: None,
            acquiring: None,
            owned: Vec::new(),
            orders: Vec::new(),
            sent: (0, 0),
        }
    }

    fn at(&self) -> Steady {
        Steady::from_millis(self.now)
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        let expired = self.leases.iter().filter(|(_, end)| **end <= self.now);
        let expired: Vec<(LeaseId, u64)> = expired.map(|(lease, end)| (*lease, *end)).collect();
        expired.into_iter().for_each(|(lease, end)| self.end_lease(lease, end));
    }

    fn end_lease(&mut self, lease: LeaseId, at: u64) {
        self.leases.remove(&lease);
        self.ended.insert(lease, at);
        if self.owner.is_some_and(|(_, held)| held == lease) {
            self.owner = None;
        }
    }

    /// The store grants a lease, or renews one.
    fn grant(&mut self, requested: Option<LeaseId>, ttl: u64) -> Grant {
        let lease = match requested {
            Some(lease) if self.leases.contains_key(&lease) => lease,
            Some(_) => return None,
            None => self.next_lease,
        };
        self.next_lease = self.next_lease.max(lease + 1);
        self.leases.insert(lease, self.now + ttl);
        Some((lease, ttl))
    }

    /// The store writes an ownership unless the lease has ended. A record of the same node is
    /// replaced, as if the node knew it.
    fn write_owner(&mut self, lease: LeaseId) -> Option<u64> {
        if !self.leases.contains_key(&lease) {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.owner = Some((token, lease));
        self.tokens.insert(token, lease);
        Some(token)
    }

    fn renew(&mut self, outcome: CallOutcome, ttl: u64) {
        if self.renewing.is_some() {
            return;
        }
        let (sent, requested) = (self.at(), self.lease.last());
        let pending = match outcome {
            CallOutcome::Lost => return self.lease.note_failed(),
            CallOutcome::Delayed => Pending::NotExecuted,
            CallOutcome::Done | CallOutcome::LateAnswer | CallOutcome::AnswerLost => {
                Pending::Executed(self.grant(requested, ttl))
            }
        };
        self.renewing = Some(((sent, requested, ttl), pending));
        match outcome {
            CallOutcome::Done => self.answer_renewal(),
            CallOutcome::AnswerLost => {
                self.renewing = None;
                self.lease.note_failed();
            }
            CallOutcome::LateAnswer | CallOutcome::Delayed | CallOutcome::Lost => {}
        }
    }

    fn answer_renewal(&mut self) {
        let Some(((sent, requested, ttl), pending)) = self.renewing.take() else {
            return;
        };
        let grant = match pending {
            Pending::Executed(grant) => grant,
            Pending::NotExecuted => self.grant(requested, ttl),
        };
        match grant {
            Some((lease, ttl)) => {
                self.lease.note_renewed(lease, sent, Duration::from_millis(ttl), self.at())
            }
            None => self.lease.note_ended(),
        }
    }

    fn acquire(&mut self, outcome: CallOutcome) {
        let Some(lease) = self.lease.held(self.at()).filter(|_| self.acquiring.is_none()) else {
            return;
        };
        let pending = match outcome {
            CallOutcome::Lost => return,
            CallOutcome::Delayed => Pending::NotExecuted,
            CallOutcome::Done | CallOutcome::LateAnswer | CallOutcome::AnswerLost => {
                Pending::Executed(self.write_owner(lease))
            }
        };
        if outcome != CallOutcome::AnswerLost {
            self.acquiring = Some((lease, self.at(), pending));
        }
        if outcome == CallOutcome::Done {
            self.answer_acquisition();
        }
    }

    fn answer_acquisition(&mut self) {
        let Some((lease, sent, pending)) = self.acquiring.take() else {
            return;
        };
        let written = match pending {
            Pending::Executed(written) => written,
            Pending::NotExecuted => self.write_owner(lease),
        };
        let tenure = Tenure::new(&self.lease, lease, sent);
        self.owned.extend(written.map(|token| (token, tenure)));
    }

    fn decide(&mut self) {
        let now = self.at();
        self.owned.retain(|(_, tenure)| tenure.allows_orders(now));
        self.orders.extend(self.owned.iter().cloned());
    }

    fn send(&mut self) {
        for (token, tenure) in std::mem::take(&mut self.orders) {
            if !tenure.allows_orders(self.at()) {
                continue;
            }
            self.sent.0 += 1;
            let Some(ended_at) = self.ended.get(&self.tokens[&token]) else {
                continue;
            };
            self.sent.1 += 1;
            let late = self.now - ended_at;
            assert!(
                late <= LEASE_MS + GRACE_PERIOD_MS,
                "order under token {token} {late} ms after another node could have acquired it"
            );
        }
    }

    /// The fleet's owner relies on this: while the lease certainly holds, no other node has
    /// acquired its ownership.
    fn check_certain(&self) {
        for (token, tenure) in &self.owned {
            let ended = self.ended.get(&self.tokens[token]);
            // The store may end a lease early, and the node does not learn of it at once.
            let early = ended.is_some_and(|at| self.now < at + LEASE_MS);
            assert!(ended.is_none() || early || !tenure.holds(self.at()), "token {token} holds");
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Wait { steps } => {
                let steps = u64::from(steps);
                self.advance(if steps < LONG_WAIT_STEPS {
                    steps * 4
                } else {
                    (steps - LONG_WAIT_STEPS) * 100
                });
            }
            Op::Renew { outcome, generous } => {
                self.renew(outcome, if generous { 4 * LEASE_MS } else { LEASE_MS });
            }
            Op::AnswerRenewal => self.answer_renewal(),
            Op::Acquire { outcome } => self.acquire(outcome),
            Op::AnswerAcquisition => self.answer_acquisition(),
            Op::EndLease => {
                if let Some(lease) = self.lease.last().filter(|id| self.leases.contains_key(id)) {
                    self.end_lease(lease, self.now);
                }
            }
            Op::Decide => self.decide(),
            Op::Send => self.send(),
        }
        self.check_certain();
    }
}

/// Later owners rely on it (`PREDECESSOR_MS`), and the fuzz tests of owners assume it.
#[test]
fn orders_end_within_the_time_that_later_owners_rely_on() {
    let sent = Cell::new((0, 0));
    fuzz(4_000, 60, |ops: &[Op]| {
        let mut simulation = Simulation::new();
        ops.iter().for_each(|op| simulation.apply(*op));
        let (all, late) = sent.get();
        sent.set((all + simulation.sent.0, late + simulation.sent.1));
    });
    let (all, late) = sent.get();
    assert!(
        1_000 < all && 100 < late,
        "too few orders for a valid test: {all} sent, {late} of them late"
    );
}
