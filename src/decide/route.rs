//! Routing: selects the endpoint of a request, limits retries, and estimates waits.

use std::time::Duration;

use crate::model::{request::Class, unit::Time};

/// Load of one endpoint, as known to a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Load {
    /// Requests of this node in flight there.
    pub(crate) own: u32,
    /// Requests of all nodes running there, as last reported by the endpoint.
    pub(crate) reported: u32,
    /// When the endpoint last reported.
    pub(crate) reported_at: Time,
    /// Requests that the endpoint runs at one time.
    pub(crate) slots: u32,
    /// Maximum number of requests of this node in flight there.
    pub(crate) share: u32,
    /// End of the backoff after failures: until then other endpoints are preferred.
    pub(crate) backoff_until: Time,
}

/// How long a load reported by an endpoint is used.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(250);
/// Backoff of an endpoint after its first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff of an endpoint: it is always retried.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

impl Load {
    /// Used slots in thousandths, by which endpoints are compared.
    fn utilization(&self, now: Time) -> u32 {
        let reported =
            if now.since(self.reported_at) < REPORTED_LOAD_TTL { self.reported } else { 0 };
        self.own.max(reported) * 1000 / self.slots.max(1)
    }

    fn has_capacity(&self) -> bool {
        self.own < self.share
    }

    fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }
}

/// Chooses one of the endpoints that are not in `tried`: the less loaded of two drawn at random. An
/// endpoint in backoff is chosen only if no other has capacity. `draw(n)` draws a number below n.
pub(crate) fn choose(
    loads: &[Load],
    tried: &[usize],
    now: Time,
    draw: &mut dyn FnMut(usize) -> usize,
) -> Option<usize> {
    let available = |at: &usize| loads[*at].has_capacity() && !tried.contains(at);
    let preferred: Vec<usize> =
        (0..loads.len()).filter(available).filter(|at| !loads[*at].is_backing_off(now)).collect();
    if preferred.is_empty() {
        return (0..loads.len()).filter(available).min_by_key(|at| loads[*at].backoff_until);
    }
    let first = preferred[draw(preferred.len())];
    let second = preferred[draw(preferred.len())];
    Some(if loads[second].utilization(now) < loads[first].utilization(now) {
        second
    } else {
        first
    })
}

/// Backoff of an endpoint after a number of consecutive failures.
pub(crate) fn backoff(failures: u32) -> Duration {
    let doubled = INITIAL_BACKOFF * (1 << failures.saturating_sub(1).min(10));
    doubled.min(MAX_BACKOFF)
}

/// Maximum number of requests of one node at an endpoint whose connections `nodes` nodes share.
pub(crate) fn share(slots: u32, connections: u32, nodes: usize) -> u32 {
    let each = connections / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    each.clamp(1, slots.max(1))
}

/// Retry budget: each success earns a fraction of a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

/// Retries that one success earns.
const TOKENS_PER_SUCCESS: f64 = 0.2;
/// Maximum number of accumulated retries.
const MAX_RETRY_TOKENS: f64 = 20.0;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_RETRY_TOKENS / 2.0 }
    }
}

impl RetryBudget {
    /// Records a success.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_RETRY_TOKENS);
    }

    /// Takes one retry. Returns false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A queued request that waits for an endpoint. The derived order is that of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiting {
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    /// Order of arrival, which breaks ties.
    pub(crate) number: u64,
}

/// Expected wait of a request behind `ahead` others, if `slots` requests run at one time and each
/// takes `typical`.
pub(crate) fn expected_wait(ahead: usize, slots: u32, typical: Duration) -> Duration {
    let rounds = (ahead + 1) as f64 / f64::from(slots.max(1));
    typical.mul_f64(rounds)
}
