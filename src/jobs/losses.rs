//! Whether orders to workers get lost here and there. While they do, a worker is asked more often
//! what it does: with 6 % of orders lost, more than half of the jobs of 13 tasks meet one, and a
//! look that is lost hides all ends at its worker until it is given up.

use std::collections::VecDeque;

use crate::model::unit::Steady;

/// How long an order without an answer counts, in milliseconds: long enough for the few of a small
/// pool to add up, short enough that a pool pays for looks only while orders do get lost.
const COUNTS_MS: u64 = 2_000;

/// So many must be lost, whatever the size of the pool: one or two are a connection that was reset.
const LEAST: usize = 3;

/// And as many as this share of the pool's workers, in percent: where orders get lost at random it
/// is a few percent of them, and each worker gets some orders in that time.
const SHARE_PERCENT: usize = 2;

/// Orders without an answer, to workers that had answered the one before.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    recent: VecDeque<Steady>,
    many: bool,
}

impl Losses {
    /// Takes note of an order that got no answer.
    pub(crate) fn note(&mut self, now: Steady) {
        self.recent.push_back(now);
    }

    /// Whether many orders got lost of late, in a pool of so many workers.
    pub(crate) fn are_many(&mut self, workers: usize, now: Steady) -> bool {
        while self.recent.front().is_some_and(|at| COUNTS_MS < now.since(*at)) {
            self.recent.pop_front();
        }
        let many = LEAST.max(workers * SHARE_PERCENT / 100) <= self.recent.len();
        if many != self.many {
            let word = if many { "many" } else { "few" };
            log::info!("workers: {word} orders without an answer: {}", self.recent.len());
        }
        self.many = many;
        many
    }
}
