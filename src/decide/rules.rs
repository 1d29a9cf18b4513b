//! The settings that decisions read.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a plan weighs: each weight multiplies one of the users' three measures.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Weights {
    /// Weight of spare capacity held back, for each thousandth of the pool's cores.
    pub(crate) buffer: f64,
    /// Weight of roll-out time, for each second a host of the plan.
    pub(crate) time: f64,
    /// Weight of moves, for each move a host of the plan.
    pub(crate) moves: f64,
}

impl Weights {
    /// Buffer first: for thin margins.
    pub(crate) const BUFFER_FIRST: Weights = Weights { buffer: 3.0, time: 1.0, moves: 60.0 };
    /// Moves and roll-out time first: for poor links and no staff on watch.
    pub(crate) const TIME_FIRST: Weights = Weights { buffer: 0.25, time: 4.0, moves: 240.0 };
}

/// Bounds that decisions keep to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Rules {
    /// A list of hosts that is older is not believed: every host in it is unknown.
    pub(crate) list_limit: Duration,
    /// A task that is not ready so long after its start is placed elsewhere.
    pub(crate) start_limit: Duration,
    /// A host that has not become quiet so long after its leave is given back.
    pub(crate) leave_limit: Duration,
    /// A host that has not come back from its reboot by then is quarantined.
    pub(crate) away_limit: Duration,
    pub(crate) weights: Weights,
    /// Whether the spare that failures need and the spare that maintenance needs are one and the
    /// same: a host that is out for a plan comes back in bounded time, and counts as spare.
    pub(crate) share_spare: bool,
    /// How long a leave, a start and a reboot are expected to take, for the estimate of a plan.
    pub(crate) expected: Expected,
}

/// Times that a plan's estimate is made from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Expected {
    /// From a leave until the host is quiet.
    pub(crate) quiet: Duration,
    /// From a move until the task is ready.
    pub(crate) start: Duration,
    /// From a reboot's command until the host is back.
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
