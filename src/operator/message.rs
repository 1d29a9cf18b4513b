//! JSON messages between operators' commands and nodes.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::model::{
    config::Config,
    id::{AccountId, HostId, NodeId, PlanId, PoolId, RackId, ServiceId, ZoneId},
    plan::{Action, Plan},
    unit::{Epoch, Time},
};

/// Requests that a configuration is accepted, or with `dry` only compared.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ApplyRequest {
    pub(crate) config: Config,
    pub(crate) by: String,
    pub(crate) dry: bool,
}

/// Changes made by applying a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ApplyAnswer {
    /// The changed entries, one line each.
    pub(crate) changes: Vec<String>,
    /// The number of the change, once it is accepted.
    pub(crate) number: Option<u64>,
}

/// Hosts by name, rack, availability zone and pool.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Selection {
    pub(crate) hosts: Vec<HostId>,
    pub(crate) racks: Vec<RackId>,
    pub(crate) zones: Vec<ZoneId>,
    pub(crate) pools: Vec<PoolId>,
}

/// Requests a plan for an intent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct IntentRequest {
    pub(crate) action: Action,
    pub(crate) selection: Selection,
    pub(crate) deadline: Option<Time>,
    pub(crate) reason: String,
    pub(crate) by: String,
}

/// Confirms or cancels a plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Decision {
    /// The digest of the plan as shown to the operator; not needed to cancel.
    pub(crate) digest: Option<String>,
    pub(crate) by: String,
}

/// A plan and its progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanView {
    pub(crate) plan: Plan,
    /// The progress of each host of the plan.
    pub(crate) hosts: BTreeMap<HostId, String>,
    pub(crate) done: usize,
    pub(crate) skipped: usize,
}

/// Why a node refused a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Refusal {
    pub(crate) error: String,
    /// A new plan to replace a stale one.
    pub(crate) fresh: Option<Box<Plan>>,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostRow {
    pub(crate) host: HostId,
    pub(crate) rack: String,
    pub(crate) zone: String,
    pub(crate) pool: String,
    pub(crate) state: String,
    pub(crate) epoch: Epoch,
    pub(crate) live: bool,
    pub(crate) tasks: usize,
    pub(crate) plan: Option<PlanId>,
    pub(crate) last: String,
}

/// One pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PoolRow {
    pub(crate) pool: PoolId,
    pub(crate) wanted: u32,
    pub(crate) hosts: usize,
    pub(crate) serving: usize,
    pub(crate) live: usize,
    pub(crate) services: usize,
    /// Percentage of the pool's cores that its tasks need.
    pub(crate) used_percent: u32,
}

/// One service and its budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServiceRow {
    pub(crate) service: ServiceId,
    pub(crate) pool: PoolId,
    pub(crate) team: String,
    pub(crate) tasks: u32,
    pub(crate) available: u32,
    pub(crate) max_down: u32,
    /// Available tasks in the worst failure domain.
    pub(crate) reserve: u32,
    pub(crate) permits: usize,
    pub(crate) moves: u64,
    pub(crate) holds: bool,
}

/// One plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRow {
    pub(crate) plan: PlanId,
    pub(crate) state: String,
    pub(crate) action: String,
    pub(crate) hosts: usize,
    pub(crate) done: usize,
    pub(crate) skipped: usize,
    pub(crate) by: String,
    pub(crate) reason: String,
}

/// One node, as known to the node that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct NodeRow {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) registered: bool,
    /// The last change of the configuration in force there.
    pub(crate) config: u64,
    /// How old its view is.
    pub(crate) view_age: Option<Duration>,
    /// Time since its last heartbeat.
    pub(crate) heard: Option<Duration>,
}

/// When a change of the configuration came into force on each node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeRow {
    pub(crate) number: u64,
    pub(crate) by: String,
    pub(crate) accepted: Option<Time>,
    pub(crate) nodes: BTreeMap<NodeId, Time>,
    /// Whether it is in force on every registered node.
    pub(crate) everywhere: bool,
}

/// One availability zone, as known to a scheduler node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ZoneRow {
    pub(crate) zone: ZoneId,
    /// Hosts with a listed worker.
    pub(crate) hosts: usize,
    pub(crate) workers: usize,
    /// Workers of pools that the node owns. Only of those it knows what runs there.
    pub(crate) owned: usize,
    pub(crate) responding: usize,
    pub(crate) running: usize,
}

/// One client account, as known to a scheduler node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AccountRow {
    pub(crate) account: AccountId,
    /// Empty for none.
    pub(crate) weight: String,
    /// Empty for none.
    pub(crate) limit: String,
    /// Jobs that it sends to all pools per second, and those of them beyond its weight that have
    /// not begun: by the recent reports of the pools' owners.
    pub(crate) sent: u32,
    pub(crate) beyond: u32,
    /// Jobs that the node has refused for its weight.
    pub(crate) refused: u64,
    /// Tasks in the pools that the node owns.
    pub(crate) running: usize,
    pub(crate) waiting: usize,
}

/// A list shown by `status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Rows {
    Hosts(Vec<HostRow>),
    Pools(Vec<PoolRow>),
    Services(Vec<ServiceRow>),
    Plans(Vec<PlanRow>),
    Nodes(Vec<NodeRow>),
    Changes(Vec<ChangeRow>),
    Zones(Vec<ZoneRow>),
    Accounts(Vec<AccountRow>),
}
