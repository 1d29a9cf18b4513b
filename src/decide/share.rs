//! Rates that all nodes share without a write: each takes a part by what it and the others were
//! lately asked for.

use std::time::Duration;

use crate::{decide::route::RateLimit, model::unit::Time};

/// The time over which demand is measured.
const SPAN: Duration = Duration::from_secs(1);

/// One node's part of a shared rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    limit: RateLimit,
    asked: u32,
    since: Time,
    demand: u32,
}

/// What the other nodes are known to ask of a shared rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Others {
    /// All nodes, this one included.
    pub(crate) nodes: u32,
    /// What the others ask for, a second.
    pub(crate) demand: u32,
}

impl Share {
    /// A part that nothing was asked of yet.
    pub(crate) fn new(limit: RateLimit, now: Time) -> Share {
        Share { limit, asked: 0, since: now, demand: 0 }
    }

    /// Notes that one more is asked for.
    pub(crate) fn ask(&mut self, now: Time) {
        self.demand(now);
        self.asked += 1;
    }

    /// Takes one, if `keep` more are left for those that go first; or tells when to come back.
    pub(crate) fn take(
        &mut self,
        rate: f64,
        others: Others,
        keep: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let part = part(rate, f64::from(self.demand(now)), others);
        self.limit.take(part, keep, now)
    }

    /// What this node was lately asked for, a second.
    pub(crate) fn demand(&mut self, now: Time) -> u32 {
        let span = now.since(self.since);
        if SPAN <= span {
            self.demand = (f64::from(self.asked) / span.as_secs_f64()).round() as u32;
            (self.asked, self.since) = (0, now);
        }
        self.demand
    }
}

/// A node's part of a rate: in proportion to demand; or an equal part, as far as the others leave
/// it.
fn part(rate: f64, own: f64, others: Others) -> f64 {
    let elsewhere = f64::from(others.demand);
    let own = own.max(1.0);
    let fair = rate / f64::from(others.nodes.max(1));
    let left = (rate - elsewhere).max(0.0);
    (rate * own / (own + elsewhere)).max(fair.min(left))
}
