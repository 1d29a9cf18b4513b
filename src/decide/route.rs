//! Routing: which endpoint gets a request, and when a request is refused early.

use std::time::Duration;

use crate::model::{request::Class, unit::Time};

/// What a node knows of one endpoint when it chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Load {
    /// Requests that this node has there.
    pub(crate) own: u32,
    /// Requests that ran there when it last answered, from all nodes.
    pub(crate) said: u32,
    /// When it last answered.
    pub(crate) said_at: Time,
    /// Requests that it runs at one time.
    pub(crate) slots: u32,
    /// Requests that this node may have there at one time.
    pub(crate) share: u32,
    /// Until when it is left alone if another will do.
    pub(crate) rest_until: Time,
}

/// What an endpoint said is believed for this long.
const SAID_FOR: Duration = Duration::from_millis(250);
/// The first time that an endpoint is left alone after a failure.
const FIRST_REST: Duration = Duration::from_millis(200);
/// The longest time that an endpoint is left alone: it is always tried again.
const LONGEST_REST: Duration = Duration::from_secs(5);

impl Load {
    /// The load by which endpoints are compared, in thousandths of the slots.
    fn level(&self, now: Time) -> u32 {
        let said = if now.since(self.said_at) < SAID_FOR { self.said } else { 0 };
        self.own.max(said) * 1000 / self.slots.max(1)
    }

    fn is_open(&self) -> bool {
        self.own < self.share
    }

    fn rests(&self, now: Time) -> bool {
        now < self.rest_until
    }
}

/// Chooses one of the endpoints that are not `tried`: the less loaded of two drawn ones. One that
/// rests is chosen only when no other is open. `draw(n)` draws a number below n.
pub(crate) fn choose(
    loads: &[Load],
    tried: &[usize],
    now: Time,
    draw: &mut dyn FnMut(usize) -> usize,
) -> Option<usize> {
    let open = |at: &usize| loads[*at].is_open() && !tried.contains(at);
    let awake: Vec<usize> =
        (0..loads.len()).filter(open).filter(|at| !loads[*at].rests(now)).collect();
    if awake.is_empty() {
        return (0..loads.len()).filter(open).min_by_key(|at| loads[*at].rest_until);
    }
    let one = awake[draw(awake.len())];
    let two = awake[draw(awake.len())];
    Some(if loads[two].level(now) < loads[one].level(now) { two } else { one })
}

/// How long an endpoint is left alone after so many failures without a success in between.
pub(crate) fn rest(failures: u32) -> Duration {
    let doubled = FIRST_REST * (1 << failures.saturating_sub(1).min(10));
    doubled.min(LONGEST_REST)
}

/// Requests that one node may have at an endpoint, when `nodes` share its connections.
pub(crate) fn share(slots: u32, connections: u32, nodes: usize) -> u32 {
    let each = connections / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    each.clamp(1, slots.max(1))
}

/// A budget of retries: each success earns a part of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

/// Retries that a success earns.
const RETRY_EARNED: f64 = 0.2;
/// Most retries that can be saved up.
const RETRY_SAVED: f64 = 20.0;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: RETRY_SAVED / 2.0 }
    }
}

impl RetryBudget {
    /// Notes a success.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_EARNED).min(RETRY_SAVED);
    }

    /// Takes one retry; false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A rate that may vary from one moment to the next, with a little saved up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateLimit {
    tokens: f64,
    at: Time,
}

impl RateLimit {
    /// A limit with one to take, for a rate of which more nodes may be starting at this moment.
    pub(crate) fn empty(now: Time) -> RateLimit {
        RateLimit { tokens: 1.0, at: now }
    }

    /// A limit with all saved up that it may save.
    pub(crate) fn full(now: Time) -> RateLimit {
        RateLimit { tokens: f64::INFINITY, at: now }
    }

    /// Takes one if `keep` more are left, or tells when it may be taken.
    pub(crate) fn take(&mut self, rate: f64, keep: f64, now: Time) -> Result<(), Duration> {
        let earned = now.since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(saved(rate));
        self.at = now;
        // A rate so low that less is ever saved must not wait for ever.
        let needed = (1.0 + keep).min(saved(rate));
        if needed <= self.tokens {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (needed - self.tokens) / rate.max(0.001);
        Err(Duration::from_secs_f64(wait.clamp(0.001, 3600.0)))
    }
}

/// Seconds' worth of a rate that is saved up.
const SAVED: f64 = 0.25;

/// What may come at once.
fn saved(rate: f64) -> f64 {
    (rate * SAVED).max(1.0)
}

/// A request that waits for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiting {
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    /// Order of arrival, which ends ties.
    pub(crate) number: u64,
}

/// How long the request behind `ahead` others would wait, when `slots` requests run at one time
/// and each takes `typical`.
pub(crate) fn expected_wait(ahead: usize, slots: u32, typical: Duration) -> Duration {
    let rounds = (ahead + 1) as f64 / f64::from(slots.max(1));
    typical.mul_f64(rounds)
}
