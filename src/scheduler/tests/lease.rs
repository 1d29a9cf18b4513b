//! Fuzzing of how long an ownership lasts: a node's lease and what it won under it, against a store
//! whose answers come late or not at all, and pauses of the process at any moment. The oracle knows
//! when the store has ended which lease: from then on another node could have won.

use std::{cell::Cell, collections::BTreeMap, sync::Arc, time::Duration};

use bolero::TypeGenerator;

use crate::{
    jobs::owner::{LEASE_MS, OVERTIME_MS},
    model::unit::Steady,
    platform::store::LeaseId,
    scheduler::lease::{Lease, Tenure},
    tests::fuzz,
};

/// From so many steps on a wait is a long one, of some seconds.
const LONG: u64 = 200;

/// What becomes of a call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum Fate {
    Done,
    /// Done at once, and answered when the world gets round to it.
    Slow,
    /// Done and answered when the world gets round to it.
    Late,
    AnswerLost,
    Lost,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Time passes, for the node too or while its process is paused: most often little.
    Wait {
        steps: u8,
    },
    /// The lease is taken or renewed, one call at a time; the store may grant more than is asked.
    Renew {
        fate: Fate,
        generous: bool,
    },
    Renewed,
    /// The pool is reached for, one call at a time.
    Reach {
        fate: Fate,
    },
    Reached,
    /// The store ends the lease before its time.
    End,
    /// What is over is given up, and orders are decided on under the rest.
    Decide,
    /// Orders that were decided on are sent.
    Send,
}

/// A call that was not answered yet.
#[derive(Clone, Copy)]
enum Pending<T> {
    Answered(T),
    Waiting,
}

/// The lease and the time that the store grants; nothing if it is over.
type Told = Option<(LeaseId, u64)>;

/// A call that takes or renews a lease: when it was sent, the lease that it names, and the time
/// that the store grants.
type Renewing = (Steady, Option<LeaseId>, u64);

/// The store, and one node.
struct World {
    now: u64,
    /// Leases that last, and until when.
    leases: BTreeMap<LeaseId, u64>,
    /// Leases that are over, and since when.
    ended: BTreeMap<LeaseId, u64>,
    next_lease: LeaseId,
    /// Whose record stands in the store: token and lease.
    owner: Option<(u64, LeaseId)>,
    next_token: u64,
    /// The leases under which tokens were written.
    tokens: BTreeMap<u64, LeaseId>,
    lease: Arc<Lease>,
    renewing: Option<(Renewing, Pending<Told>)>,
    reaching: Option<(LeaseId, Steady, Pending<Option<u64>>)>,
    owned: Vec<(u64, Tenure)>,
    orders: Vec<(u64, Tenure)>,
    /// Orders that were sent, and those of them while another node could have won.
    sent: (u64, u64),
}

impl World {
    fn new() -> World {
        World {
            now: 10_000,
            leases: BTreeMap::new(),
            ended: BTreeMap::new(),
            next_lease: 1,
            owner: None,
            next_token: 1,
            tokens: BTreeMap::new(),
            lease: Arc::default(),
            renewing: None,
            reaching: None,
            owned: Vec::new(),
            orders: Vec::new(),
            sent: (0, 0),
        }
    }

    fn at(&self) -> Steady {
        Steady::from_millis(self.now)
    }

    fn wait(&mut self, millis: u64) {
        self.now += millis;
        let over = self.leases.iter().filter(|(_, end)| **end <= self.now);
        let over: Vec<(LeaseId, u64)> = over.map(|(lease, end)| (*lease, *end)).collect();
        over.into_iter().for_each(|(lease, end)| self.end(lease, end));
    }

    fn end(&mut self, lease: LeaseId, at: u64) {
        self.leases.remove(&lease);
        self.ended.insert(lease, at);
        if self.owner.is_some_and(|(_, held)| held == lease) {
            self.owner = None;
        }
    }

    /// The store grants a lease, or renews one.
    fn keep(&mut self, asked: Option<LeaseId>, ttl: u64) -> Told {
        let lease = match asked {
            Some(lease) if self.leases.contains_key(&lease) => lease,
            Some(_) => return None,
            None => self.next_lease,
        };
        self.next_lease = self.next_lease.max(lease + 1);
        self.leases.insert(lease, self.now + ttl);
        Some((lease, ttl))
    }

    /// The store writes an ownership, unless there is one or the lease is over. The node's own is
    /// replaced, as if the node knew it.
    fn write(&mut self, lease: LeaseId) -> Option<u64> {
        if !self.leases.contains_key(&lease) {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.owner = Some((token, lease));
        self.tokens.insert(token, lease);
        Some(token)
    }

    fn renew(&mut self, fate: Fate, ttl: u64) {
        if self.renewing.is_some() {
            return;
        }
        let (sent, asked) = (self.at(), self.lease.last());
        let pending = match fate {
            Fate::Lost => return self.lease.failed(),
            Fate::Late => Pending::Waiting,
            Fate::Done | Fate::Slow | Fate::AnswerLost => Pending::Answered(self.keep(asked, ttl)),
        };
        self.renewing = Some(((sent, asked, ttl), pending));
        match fate {
            Fate::Done => self.renewed(),
            Fate::AnswerLost => {
                self.renewing = None;
                self.lease.failed();
            }
            Fate::Slow | Fate::Late | Fate::Lost => {}
        }
    }

    fn renewed(&mut self) {
        let Some(((sent, asked, ttl), pending)) = self.renewing.take() else {
            return;
        };
        let told = match pending {
            Pending::Answered(told) => told,
            Pending::Waiting => self.keep(asked, ttl),
        };
        match told {
            Some((lease, ttl)) => {
                self.lease.renewed(lease, sent, Duration::from_millis(ttl), self.at())
            }
            None => self.lease.ended(),
        }
    }

    fn reach(&mut self, fate: Fate) {
        let Some(lease) = self.lease.held(self.at()).filter(|_| self.reaching.is_none()) else {
            return;
        };
        let pending = match fate {
            Fate::Lost => return,
            Fate::Late => Pending::Waiting,
            Fate::Done | Fate::Slow | Fate::AnswerLost => Pending::Answered(self.write(lease)),
        };
        if fate != Fate::AnswerLost {
            self.reaching = Some((lease, self.at(), pending));
        }
        if fate == Fate::Done {
            self.reached();
        }
    }

    fn reached(&mut self) {
        let Some((lease, sent, pending)) = self.reaching.take() else {
            return;
        };
        let won = match pending {
            Pending::Answered(won) => won,
            Pending::Waiting => self.write(lease),
        };
        let tenure = Tenure::new(&self.lease, lease, sent);
        self.owned.extend(won.map(|token| (token, tenure)));
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
            let Some(over) = self.ended.get(&self.tokens[&token]) else {
                continue;
            };
            self.sent.1 += 1;
            let late = self.now - over;
            assert!(
                late <= LEASE_MS + OVERTIME_MS,
                "an order under token {token}, {late} ms after another node could have won"
            );
        }
    }

    /// What the fleet's owner relies on: with a lease that certainly holds, nobody else has won.
    fn check_certain(&self) {
        for (token, tenure) in &self.owned {
            let over = self.ended.get(&self.tokens[token]);
            // The store may end a lease before its time, and the node is not told at once.
            let early = over.is_some_and(|at| self.now < at + LEASE_MS);
            assert!(over.is_none() || early || !tenure.holds(self.at()), "token {token} holds");
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Wait { steps } => {
                let steps = u64::from(steps);
                self.wait(if steps < LONG { steps * 4 } else { (steps - LONG) * 100 });
            }
            Op::Renew { fate, generous } => {
                self.renew(fate, if generous { 4 * LEASE_MS } else { LEASE_MS });
            }
            Op::Renewed => self.renewed(),
            Op::Reach { fate } => self.reach(fate),
            Op::Reached => self.reached(),
            Op::End => {
                if let Some(lease) = self.lease.last().filter(|id| self.leases.contains_key(id)) {
                    self.end(lease, self.now);
                }
            }
            Op::Decide => self.decide(),
            Op::Send => self.send(),
        }
        self.check_certain();
    }
}

/// Later owners rely on it (`PREDECESSOR_MS`), and fuzzing of owners takes it as given.
#[test]
fn no_order_goes_out_longer_after_another_node_could_have_won_than_owners_rely_on() {
    let sent = Cell::new((0, 0));
    fuzz(4_000, 60, |ops: &[Op]| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(*op));
        let (all, late) = sent.get();
        sent.set((all + world.sent.0, late + world.sent.1));
    });
    let (all, late) = sent.get();
    assert!(1_000 < all && 100 < late, "{all} orders sent, {late} of them late: too few to tell");
}
