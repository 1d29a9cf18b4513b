//! Hosts: the record that assigns one, and the platform's report on it.

use serde::{Deserialize, Serialize};

use crate::model::{
    config::Resources,
    id::{HostId, OpId, PlanId, PoolId, RackId, ServiceId, ZoneId},
    unit::{Epoch, Time},
};

/// The state of a host as decided by this program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum HostState {
    /// The host may run tasks, and their endpoints get requests.
    Serving,
    /// Its endpoints get requests, but it gets no new tasks: the successors of its tasks are
    /// starting elsewhere.
    Closing,
    /// Its endpoints get no new requests, and its tasks are moved off.
    Leaving,
    /// The host runs nothing and is being rebooted.
    Away,
    /// The host runs nothing until an operator releases it.
    Quarantined,
}

impl HostState {
    /// Whether endpoints on a host in this state get requests.
    pub(crate) fn serves(self) -> bool {
        matches!(self, HostState::Serving | HostState::Closing)
    }
}

/// The outcome of a plan for one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum HostOutcome {
    /// The plan's action on the host is complete.
    Done,
    /// The plan released the host without completing its action, for this reason.
    Skipped(String),
}

/// The assignment of a host. It is stored under a single key, so a host is in exactly one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    pub(crate) pool: PoolId,
    pub(crate) state: HostState,
    pub(crate) epoch: Epoch,
    /// When the host entered its state.
    pub(crate) since: Time,
    /// The write that set this record.
    pub(crate) op: OpId,
    /// The plan that currently holds the host.
    pub(crate) plan: Option<PlanId>,
    /// The outcomes of the latest plans for this host, newest last. If two operators confirm plans
    /// that name the same host at the same time, each plan must find its own outcome here.
    pub(crate) ended: Vec<(PlanId, HostOutcome)>,
}

/// Number of plan outcomes kept per host.
const MAX_OUTCOMES: usize = 8;

impl HostRecord {
    /// The outcome of a plan for this host, if the plan is done with the host.
    pub(crate) fn outcome(&self, plan: &PlanId) -> Option<&HostOutcome> {
        self.ended.iter().rev().find(|(id, _)| id == plan).map(|(_, outcome)| outcome)
    }

    /// Records the outcome of a plan for this host, and releases the host from its plan.
    pub(crate) fn record_outcome(&mut self, plan: &PlanId, outcome: HostOutcome) {
        self.plan = None;
        self.ended.push((plan.clone(), outcome));
        let surplus = self.ended.len().saturating_sub(MAX_OUTCOMES);
        self.ended.drain(..surplus);
    }
}

/// A worker's report on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskReport {
    pub(crate) service: ServiceId,
    pub(crate) index: u32,
    /// Number of this start of the task.
    pub(crate) generation: u64,
    /// Whether its endpoint answers.
    pub(crate) ready: bool,
    /// IP address and port of its endpoint.
    pub(crate) address: String,
    /// Requests in progress at its endpoint.
    pub(crate) in_flight: u32,
}

/// A host as the platform lists it; the list lags behind the host's actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub(crate) host: HostId,
    pub(crate) rack: RackId,
    pub(crate) zone: ZoneId,
    /// IP address and port at which the worker accepts commands.
    pub(crate) address: String,
    pub(crate) capacity: Resources,
    /// Whether the platform receives heartbeats from the worker. Only this flag makes a host dead:
    /// when the list cannot be fetched, the state of every host is unknown, not dead.
    pub(crate) live: bool,
    /// The epoch of the last reboot that the worker performed on command.
    pub(crate) booted: Epoch,
    /// The newest host epoch that the worker has received.
    pub(crate) epoch: Epoch,
    pub(crate) tasks: Vec<TaskReport>,
    /// Requests still in progress at endpoints of tasks that have ended.
    pub(crate) ending: u32,
}

impl HostReport {
    /// Requests in progress on the host.
    pub(crate) fn in_flight(&self) -> u32 {
        self.tasks.iter().map(|task| task.in_flight).sum::<u32>() + self.ending
    }
}
