//! Rates that several nodes share without writes to the store: each takes a part of a rate according
//! to its own recent demand and that of the others.

use std::time::Duration;

use crate::model::unit::Time;

/// Size of a bucket, in seconds of its rate, unless it is created with another.
const BURST_SECONDS: f64 = 0.25;

/// Window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Token bucket whose rate may differ from call to call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateLimit {
    tokens: f64,
    updated: Time,
    /// Size of the bucket, in seconds of its rate.
    burst_s: f64,
    /// Its size at a low rate.
    min_burst: f64,
}

impl RateLimit {
    /// A bucket with a single token, for a rate shared with nodes that may start at the same
    /// moment.
    pub(crate) fn empty(now: Time) -> RateLimit {
        RateLimit { tokens: 1.0, updated: now, burst_s: BURST_SECONDS, min_burst: 1.0 }
    }

    /// A full bucket.
    pub(crate) fn full(now: Time) -> RateLimit {
        RateLimit::with_burst(BURST_SECONDS, 1.0, now)
    }

    /// A full bucket that holds what its rate gives in a number of seconds, and at least
    /// `min_burst`.
    pub(crate) fn with_burst(burst_s: f64, min_burst: f64, now: Time) -> RateLimit {
        RateLimit { tokens: f64::INFINITY, updated: now, burst_s, min_burst }
    }

    /// Takes one token if `reserve` more remain, or returns how long to wait.
    pub(crate) fn take(&mut self, rate: f64, reserve: f64, now: Time) -> Result<(), Duration> {
        let refill = now.since(self.updated).as_secs_f64() * rate;
        let size = self.size(rate);
        self.tokens = (self.tokens + refill).min(size);
        self.updated = now;
        // At a low rate the bucket is smaller than the reserve, and would never hold enough.
        let needed = (1.0 + reserve).min(size);
        if needed <= self.tokens {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (needed - self.tokens) / rate.max(0.001);
        Err(Duration::from_secs_f64(wait.clamp(0.001, 3600.0)))
    }

    /// Size of the bucket: the requests that may pass at once.
    fn size(&self, rate: f64) -> f64 {
        (rate * self.burst_s).max(self.min_burst)
    }
}

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
    let fair = rate / f64::from(others.nodes.max(1));
    // Many nodes with little demand each must not take a multiple of a low rate.
    let own = own.max(fair.min(1.0));
    let left = (rate - elsewhere).max(0.0);
    (rate * own / (own + elsewhere)).max(fair.min(left))
}
