//! Rates that all nodes share without writes to the store: each node takes a part of a rate
//! according to its own recent demand and that of the other nodes.

use std::time::Duration;

use crate::{decide::route::RateLimit, model::unit::Time};

/// Window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// One node's part of a shared rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateShare {
    limit: RateLimit,
    requested: u32,
    window_start: Time,
    demand: u32,
}

/// Known demand of the other nodes for a shared rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerDemand {
    /// Number of nodes, including this one.
    pub(crate) nodes: u32,
    /// Demand of the other nodes, per second.
    pub(crate) demand: u32,
}

impl RateShare {
    /// Creates a share without demand so far.
    pub(crate) fn new(limit: RateLimit, now: Time) -> RateShare {
        RateShare { limit, requested: 0, window_start: now, demand: 0 }
    }

    /// Counts one request towards the demand.
    pub(crate) fn record_request(&mut self, now: Time) {
        self.demand(now);
        self.requested += 1;
    }

    /// Takes one token if `reserve` more remain for requests of higher priority, or returns how
    /// long to wait.
    pub(crate) fn take(
        &mut self,
        rate: f64,
        others: PeerDemand,
        reserve: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let node_rate = node_rate(rate, f64::from(self.demand(now)), others);
        self.limit.take(node_rate, reserve, now)
    }

    /// This node's recent demand, per second.
    pub(crate) fn demand(&mut self, now: Time) -> u32 {
        let span = now.since(self.window_start);
        if DEMAND_WINDOW <= span {
            self.demand = (f64::from(self.requested) / span.as_secs_f64()).round() as u32;
            (self.requested, self.window_start) = (0, now);
        }
        self.demand
    }
}

/// A node's part of a rate: in proportion to its demand, but at least an equal part as far as the
/// demand of the other nodes leaves it.
fn node_rate(rate: f64, own: f64, others: PeerDemand) -> f64 {
    let elsewhere = f64::from(others.demand);
    let own = own.max(1.0);
    let fair = rate / f64::from(others.nodes.max(1));
    let left = (rate - elsewhere).max(0.0);
    (rate * own / (own + elsewhere)).max(fair.min(left))
}
