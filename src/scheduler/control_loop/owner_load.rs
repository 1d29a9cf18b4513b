//! What shows in the log whether an owner is late: its starts, what could still end in time, and
//! its delegates.

use std::fmt;

use super::order_counts::OrderSummary;
use crate::jobs::{owner::Lateness, urgency::ByLateness};

/// An owner's load since the last summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct OwnerLoad {
    pub(super) orders: OrderSummary,
    pub(super) starts: ByLateness,
    pub(super) lateness: Lateness,
    /// Number of delegates.
    pub(super) delegates: usize,
    /// Of these, those that get no orders for now.
    pub(super) backing_off: usize,
}

impl fmt::Display for OwnerLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OwnerLoad { orders, starts, lateness, delegates, backing_off } = self;
        write!(
            f,
            "{} orders sent, {} of them directly, delegates answered up to {} ms late; \
             starts: {starts}; tasks due: {}; {} polls overdue; \
             {delegates} delegates, {backing_off} backing off",
            orders.sent,
            orders.sent_directly,
            orders.delegate_delay_ms,
            lateness.due,
            lateness.overdue_polls,
        )
    }
}
