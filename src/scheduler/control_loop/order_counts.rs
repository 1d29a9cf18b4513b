//! Counts of one owner's orders: how many are pending, and the outcomes of the others.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use crate::scheduler::metrics::Metrics;

/// The node that makes the call of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallingNode {
    /// The owner's node.
    Own,
    /// A delegate.
    Other,
}

impl CallingNode {
    fn label(self) -> &'static str {
        match self {
            CallingNode::Own => "own",
            CallingNode::Other => "other",
        }
    }
}

/// Counts of the orders of one owner.
#[derive(Debug, Default)]
pub(super) struct OrderCounts {
    /// Pending direct calls of the owner's node.
    own: AtomicU64,
    /// Pending at delegates, or on the way to or from them.
    other: AtomicU64,
    /// Sent again since the last summary because the previous attempt had no answer.
    resent: AtomicU64,
    refused: AtomicU64,
    unanswered: AtomicU64,
    sent: AtomicU64,
    sent_directly: AtomicU64,
    /// The longest time that an answer by way of a delegate took beyond the call's own wait, in
    /// milliseconds.
    delegate_delay_ms: AtomicU64,
}

/// Summary of an owner's orders for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct OrderSummary {
    /// Number of pending orders.
    pub(super) pending: u64,
    /// Of these, direct calls of the owner's node.
    pub(super) own: u64,
    /// Since the last summary:
    pub(super) resent: u64,
    pub(super) refused: u64,
    pub(super) unanswered: u64,
    pub(super) sent: u64,
    /// Of these, called by the owner's node.
    pub(super) sent_directly: u64,
    /// The longest delay of an answer by way of a delegate, in milliseconds.
    pub(super) delegate_delay_ms: u64,
}

impl OrderCounts {
    fn of(&self, calling_node: CallingNode) -> &AtomicU64 {
        match calling_node {
            CallingNode::Own => &self.own,
            CallingNode::Other => &self.other,
        }
    }

    /// Records an order that is sent.
    fn note_sent(&self, calling_node: CallingNode) {
        self.of(calling_node).fetch_add(1, Relaxed);
        self.sent.fetch_add(1, Relaxed);
        self.sent_directly.fetch_add(u64::from(calling_node == CallingNode::Own), Relaxed);
    }

    /// Records orders that are sent again.
    pub(super) fn note_resent(&self, orders: u64) {
        self.resent.fetch_add(orders, Relaxed);
    }

    /// Records the outcome of an order.
    pub(super) fn note_outcome(&self, outcome: &str) {
        match outcome {
            "refused" => _ = self.refused.fetch_add(1, Relaxed),
            "unanswered" => _ = self.unanswered.fetch_add(1, Relaxed),
            _ => {}
        }
    }

    /// Returns the summary and resets the counts since the last one.
    pub(super) fn take_summary(&self) -> OrderSummary {
        let (own, other) = (self.own.load(Relaxed), self.other.load(Relaxed));
        OrderSummary {
            pending: own + other,
            own,
            resent: self.resent.swap(0, Relaxed),
            refused: self.refused.swap(0, Relaxed),
            unanswered: self.unanswered.swap(0, Relaxed),
            sent: self.sent.swap(0, Relaxed),
            sent_directly: self.sent_directly.swap(0, Relaxed),
            delegate_delay_ms: self.delegate_delay_ms.swap(0, Relaxed),
        }
    }
}

/// An order that counts as pending until this is dropped.
pub(super) struct PendingOrder {
    order_counts: Arc<OrderCounts>,
    metrics: Arc<Metrics>,
    calling_node: CallingNode,
}

impl PendingOrder {
    pub(super) fn new(
        order_counts: &Arc<OrderCounts>,
        metrics: &Arc<Metrics>,
        calling_node: CallingNode,
    ) -> PendingOrder {
        order_counts.note_sent(calling_node);
        metrics.add_orders_in_flight(calling_node.label(), 1);
        PendingOrder { order_counts: order_counts.clone(), metrics: metrics.clone(), calling_node }
    }

    /// Records how long the answer by way of a delegate took beyond the call's own wait.
    pub(super) fn note_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.order_counts.delegate_delay_ms.fetch_max(delay_ms, Relaxed);
    }

    /// Records the outcome of the order.
    pub(super) fn note_outcome(&self, outcome: &str) {
        self.order_counts.note_outcome(outcome);
    }
}

impl Drop for PendingOrder {
    fn drop(&mut self) {
        self.order_counts.of(self.calling_node).fetch_sub(1, Relaxed);
        self.metrics.add_orders_in_flight(self.calling_node.label(), -1);
    }
}
