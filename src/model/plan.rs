//! Plans: an operator's intent, its estimated cost and its progress.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{HostId, OpId, PlanId, PoolId, ServiceId},
    unit::{Millicores, Revision, Time},
};

/// What happens to the hosts of an intent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Action {
    /// Stop serving, reboot and return to service.
    Drain,
    /// Leave the pool and join another one.
    Move(PoolId),
    /// Stop serving until an operator releases the host.
    Quarantine,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Drain => f.write_str("drain"),
            Action::Move(pool) => write!(f, "move to {pool}"),
            Action::Quarantine => f.write_str("quarantine"),
        }
    }
}

/// An operator's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intent {
    pub(crate) action: Action,
    /// The hosts concerned, with racks, zones and pools resolved to hosts.
    pub(crate) hosts: Vec<HostId>,
    /// When the work should be finished.
    pub(crate) deadline: Option<Time>,
    pub(crate) reason: String,
    pub(crate) by: String,
}

/// The state of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum PlanState {
    /// The plan waits for an operator's confirmation.
    Proposed,
    /// Hosts are being worked on.
    Running,
    /// Every host is done or was skipped.
    Done,
    /// An operator cancelled the plan, and everything it held was released.
    Cancelled,
}

impl PlanState {
    /// The state as displayed to operators.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PlanState::Proposed => "proposed",
            PlanState::Running => "running",
            PlanState::Done => "done",
            PlanState::Cancelled => "cancelled",
        }
    }
}

/// How much of a service's availability budget a plan uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BudgetUse {
    pub(crate) service: ServiceId,
    /// Maximum tasks that the plan itself makes unavailable at one time.
    pub(crate) peak_out: u32,
    /// Tasks in the largest failure domain, which the budget reserves for its outage.
    pub(crate) reserve: u32,
    /// The budget.
    pub(crate) max_down: u32,
}

/// The cost of one candidate for the number of hosts that are out at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TradeOff {
    pub(crate) max_out: u32,
    pub(crate) frugal: bool,
    pub(crate) buffer: Millicores,
    pub(crate) seconds: u64,
    pub(crate) moves: u32,
    pub(crate) chosen: bool,
}

/// The part of a plan that concerns one pool. Pools share no hosts and no services, so the parts
/// progress independently.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct PoolPlan {
    /// Batches of hosts, in the order in which they start.
    pub(crate) batches: Vec<Vec<HostId>>,
    /// Maximum hosts of the pool that the plan takes out at one time.
    pub(crate) max_out: u32,
    /// Whether a batch must be finished before the next one starts.
    pub(crate) barrier: bool,
    /// Whether tasks, except those of a small first batch, move only to hosts that the plan is
    /// done with, so that few tasks move twice.
    pub(crate) frugal: bool,
    /// The candidates for `max_out` that were compared.
    pub(crate) trades: Vec<TradeOff>,
}

/// The estimated cost of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Cost {
    /// Spare capacity reserved while the plan runs.
    pub(crate) buffer: Millicores,
    /// Duration, in seconds.
    pub(crate) seconds: u64,
    /// Number of task moves.
    pub(crate) moves: u32,
    /// Budget use by service, the tightest first.
    pub(crate) tightest: Vec<BudgetUse>,
    /// Hosts that the plan cannot process, with the reason.
    pub(crate) impossible: BTreeMap<HostId, String>,
}

/// A plan as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Plan {
    pub(crate) id: PlanId,
    pub(crate) intent: Intent,
    pub(crate) state: PlanState,
    pub(crate) pools: BTreeMap<PoolId, PoolPlan>,
    pub(crate) cost: Cost,
    /// Revisions of all records that the plan was computed from, by key.
    pub(crate) base: BTreeMap<String, Revision>,
    /// Digest of the plan as displayed to the operator.
    pub(crate) digest: String,
    pub(crate) created: Time,
    /// When the plan entered its state.
    pub(crate) since: Time,
    pub(crate) op: OpId,
    /// Who last changed the state.
    pub(crate) by: String,
}

impl Plan {
    /// Whether the stored plan was put into its state by the same write as this one.
    pub(crate) fn is_same_decision(&self, stored: &Plan) -> bool {
        self.id == stored.id && self.op == stored.op && self.state == stored.state
    }

    /// The plan's hosts, pool by pool, in the order in which they start.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.pools.values().flat_map(PoolPlan::hosts)
    }
}

impl PoolPlan {
    /// The hosts in the order in which they start.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.batches.iter().flatten()
    }
}
