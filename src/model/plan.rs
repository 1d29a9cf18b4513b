//! Plans: what an operator asked for, what it would do and cost, and how far it is.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{HostId, OpId, PlanId, PoolId, ServiceId},
    unit::{Millicores, Revision, Time},
};

/// What the hosts of an intent are to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Action {
    /// Leave, reboot and come back.
    Drain,
    /// Leave and join another pool.
    Move(PoolId),
    /// Leave and stay out until released.
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

/// What an operator asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intent {
    pub(crate) action: Action,
    /// The hosts it names, after racks, zones and pools were looked up.
    pub(crate) hosts: Vec<HostId>,
    /// When it should be finished.
    pub(crate) deadline: Option<Time>,
    pub(crate) reason: String,
    pub(crate) by: String,
}

/// How far a plan is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum PlanState {
    /// Nothing happens until an operator confirms.
    Proposed,
    /// Hosts are being worked on.
    Running,
    /// Every host is done or was skipped.
    Done,
    /// An operator ended it; what it held was given back.
    Cancelled,
}

impl PlanState {
    /// The state as it is shown.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PlanState::Proposed => "proposed",
            PlanState::Running => "running",
            PlanState::Done => "done",
            PlanState::Cancelled => "cancelled",
        }
    }
}

/// How near a service comes to its budget under a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Tightness {
    pub(crate) service: ServiceId,
    /// Most tasks that are out at one time by the plan's own steps.
    pub(crate) peak_out: u32,
    /// Tasks in the worst failure domain, which are held in reserve.
    pub(crate) reserve: u32,
    /// The budget.
    pub(crate) max_down: u32,
}

/// What one choice of how many hosts are out at one time would cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Trade {
    pub(crate) max_out: u32,
    pub(crate) frugal: bool,
    pub(crate) buffer: Millicores,
    pub(crate) seconds: u64,
    pub(crate) moves: u32,
    pub(crate) chosen: bool,
}

/// The part of a plan that concerns one pool. Pools share no host and no service, so that each
/// part goes on by itself.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct PoolPlan {
    /// Hosts in batches, in the order in which they are started.
    pub(crate) batches: Vec<Vec<HostId>>,
    /// Most hosts of the pool that the plan has out at one time.
    pub(crate) max_out: u32,
    /// Whether a batch must be finished before the next one starts.
    pub(crate) barrier: bool,
    /// Whether tasks move only to hosts that the plan is done with, but for a small first batch,
    /// so that few move twice.
    pub(crate) frugal: bool,
    /// The choices of `max_out` that were weighed.
    pub(crate) trades: Vec<Trade>,
}

/// What a plan costs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Cost {
    /// Spare capacity held back while it runs.
    pub(crate) buffer: Millicores,
    /// How long it takes, in seconds.
    pub(crate) seconds: u64,
    /// Tasks that are moved.
    pub(crate) moves: u32,
    /// Services by how near they come to their budgets, the nearest first.
    pub(crate) tightest: Vec<Tightness>,
    /// Hosts that cannot be done, and why.
    pub(crate) impossible: BTreeMap<HostId, String>,
}

/// A plan, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Plan {
    pub(crate) id: PlanId,
    pub(crate) intent: Intent,
    pub(crate) state: PlanState,
    pub(crate) pools: BTreeMap<PoolId, PoolPlan>,
    pub(crate) cost: Cost,
    /// The revision of every record that the plan was computed from, by key.
    pub(crate) base: BTreeMap<String, Revision>,
    /// Digest of what the operator is shown.
    pub(crate) digest: String,
    pub(crate) created: Time,
    /// When it entered its state.
    pub(crate) since: Time,
    pub(crate) op: OpId,
    /// Who changed its state last.
    pub(crate) by: String,
}

impl Plan {
    /// Whether a plan that the store holds is this one, by the write that decided it.
    pub(crate) fn is_decided_as(&self, stored: &Plan) -> bool {
        self.id == stored.id && self.op == stored.op && self.state == stored.state
    }

    /// The plan's hosts in their order.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.pools.values().flat_map(PoolPlan::hosts)
    }
}

impl PoolPlan {
    /// The hosts in their order.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.batches.iter().flatten()
    }
}
