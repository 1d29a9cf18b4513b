//! Detects that orders to workers get lost on the way. While they do, workers are polled with a
//! short timeout: with 6 % of orders lost, more than half of the jobs of 13 tasks are affected, and
//! a lost poll hides all ends at its worker until it times out.

use std::collections::VecDeque;

use crate::model::unit::Steady;

/// The period over which unanswered orders are counted: long enough for the few of a small pool to
/// add up, short enough that the additional polls are sent only while orders get lost.
const LOSS_WINDOW_MS: u64 = 2_000;

/// The fewest lost orders in a pool of any size: one or two may be due to a connection reset.
const MIN_LOST: usize = 3;

/// The fewest lost orders as a share of the pool's workers: random loss affects a few percent of
/// the orders, and each worker gets several orders within the window.
const MIN_LOST_PERCENT: usize = 2;

/// Recent orders that got no answer although the worker had answered the previous one.
#[derive(Debug, Default)]
pub(crate) struct MessageLoss {
    recent: VecDeque<Steady>,
    high: bool,
}

impl MessageLoss {
    /// Records an order that got no answer.
    pub(crate) fn record(&mut self, now: Steady) {
        self.recent.push_back(now);
    }

    /// Whether many orders were lost recently in a pool of `workers` workers.
    pub(crate) fn is_high(&mut self, workers: usize, now: Steady) -> bool {
        while self.recent.front().is_some_and(|at| LOSS_WINDOW_MS < now.since(*at)) {
            self.recent.pop_front();
        }
        let high = MIN_LOST.max(workers * MIN_LOST_PERCENT / 100) <= self.recent.len();
        if high != self.high {
            let amount = if high { "many" } else { "few" };
            log::info!("workers: {amount} recent orders without an answer: {}", self.recent.len());
        }
        self.high = high;
        high
    }
}
