//! Settings of the decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Weights of the three cost measures of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Weights {
    /// Weight of each thousandth of the pool's cores that is held back as spare capacity.
    pub(crate) buffer: f64,
    /// Weight of roll-out time, in seconds per host of the plan.
    pub(crate) time: f64,
    /// Weight of task moves, in moves per host of the plan.
    pub(crate) moves: f64,
}

impl Weights {
    /// Prioritizes little spare capacity: for sites with thin margins.
    pub(crate) const BUFFER_FIRST: Weights = Weights { buffer: 3.0, time: 1.0, moves: 60.0 };
    /// Prioritizes few moves and a short roll-out: for sites with poor links and no staff on duty.
    pub(crate) const TIME_FIRST: Weights = Weights { buffer: 0.25, time: 4.0, moves: 240.0 };
}

/// Limits that decisions observe.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Rules {
    /// A host list of this age or older is ignored: the state of every host is then unknown.
    pub(crate) list_limit: Duration,
    /// A task that is not ready this long after its start is placed elsewhere.
    pub(crate) start_limit: Duration,
    /// A host that is not quiet this long after its leave is returned to service.
    pub(crate) leave_limit: Duration,
    /// A host that has not come back from its reboot within this time is quarantined.
    pub(crate) away_limit: Duration,
    pub(crate) weights: Weights,
    /// Whether failures and maintenance share their spare capacity: a host that is out for a plan
    /// comes back in bounded time, and counts as spare.
    pub(crate) share_spare: bool,
    /// Expected durations, for the cost estimate of a plan.
    pub(crate) expected: Expected,
}

/// Expected durations that a plan's cost estimate is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Expected {
    /// From a leave until the host is quiet, i.e. has no requests in flight.
    pub(crate) quiet: Duration,
    /// From the placement of a task until it is ready.
    pub(crate) start: Duration,
    /// From the reboot command until the host is back.
    pub(crate) reboot: Duration,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            list_limit: Duration::from_secs(5),
            start_limit: Duration::from_secs(60),
            leave_limit: Duration::from_secs(120),
            away_limit: Duration::from_secs(900),
            weights: Weights::BUFFER_FIRST,
            share_spare: true,
            expected: Expected {
                quiet: Duration::from_secs(5),
                start: Duration::from_secs(10),
                reboot: Duration::from_secs(300),
            },
        }
    }
}
