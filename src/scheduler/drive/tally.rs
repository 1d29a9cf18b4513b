//! Counts of one owner's orders: how many are on their way, and what became of the others.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering::Relaxed},
};

use crate::scheduler::metrics::Metrics;

/// Who makes the call of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    /// The owner's node.
    Own,
    /// Another node.
    Other,
}

impl Caller {
    fn word(self) -> &'static str {
        match self {
            Caller::Own => "own",
            Caller::Other => "other",
        }
    }
}

/// The orders of one owner.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// On their way as calls of the owner's node.
    own: AtomicU64,
    /// On their way to or from other nodes, which make the calls.
    other: AtomicU64,
    /// Given again since that was last told, because the one before had no answer.
    again: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
}

/// What the log is told of an owner's orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Told {
    /// On their way now.
    pub(super) under_way: u64,
    /// Of these, calls of the owner's node.
    pub(super) own: u64,
    /// Since this was last told:
    pub(super) again: u64,
    pub(super) refused: u64,
    pub(super) unanswered: u64,
}

impl Tally {
    fn of(&self, caller: Caller) -> &AtomicU64 {
        match caller {
            Caller::Own => &self.own,
            Caller::Other => &self.other,
        }
    }

    /// Takes note of orders that are given again.
    pub(super) fn again(&self, orders: u64) {
        self.again.fetch_add(orders, Relaxed);
    }

    /// Takes note of how an order ended.
    pub(super) fn ended(&self, outcome: &str) {
        match outcome {
            "refused" => _ = self.refused.fetch_add(1, Relaxed),
            "unanswered" => _ = self.unanswered.fetch_add(1, Relaxed),
            _ => {}
        }
    }

    /// What is to be told now; counts begin anew.
    pub(super) fn tell(&self) -> Told {
        let (own, other) = (self.own.load(Relaxed), self.other.load(Relaxed));
        Told {
            under_way: own + other,
            own,
            again: self.again.swap(0, Relaxed),
            refused: self.refused.swap(0, Relaxed),
            unanswered: self.unanswered.swap(0, Relaxed),
        }
    }
}

/// An order that is on its way until this is dropped.
pub(super) struct UnderWay {
    tally: Arc<Tally>,
    metrics: Arc<Metrics>,
    caller: Caller,
}

impl UnderWay {
    pub(super) fn new(tally: &Arc<Tally>, metrics: &Arc<Metrics>, caller: Caller) -> UnderWay {
        tally.of(caller).fetch_add(1, Relaxed);
        metrics.orders_under_way(caller.word(), 1);
        UnderWay { tally: tally.clone(), metrics: metrics.clone(), caller }
    }

    /// Takes note of how the order ended.
    pub(super) fn ended(&self, outcome: &str) {
        self.tally.ended(outcome);
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.tally.of(self.caller).fetch_sub(1, Relaxed);
        self.metrics.orders_under_way(self.caller.word(), -1);
    }
}
