//! Hosts: the record that assigns one, and what the platform reports of it.

use serde::{Deserialize, Serialize};

use crate::model::{
    config::Resources,
    id::{HostId, OpId, PlanId, PoolId, RackId, ServiceId, ZoneId},
    unit::{Epoch, Time},
};

/// What a host is doing, by decision of this program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum HostState {
    /// It may run tasks, and their endpoints get requests.
    Serving,
    /// Its endpoints serve, but it gets no new tasks: the successors of its tasks are starting.
    Closing,
    /// Its endpoints get no new requests; its tasks move away.
    Leaving,
    /// It runs nothing and is being rebooted.
    Away,
    /// It runs nothing until an operator releases it.
    Quarantined,
}

impl HostState {
    /// Whether endpoints on a host in this state get requests.
    pub(crate) fn serves(self) -> bool {
        matches!(self, HostState::Serving | HostState::Closing)
    }
}

/// The last thing a plan did with a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum HostOutcome {
    /// The plan did to the host what it was to do.
    Done,
    /// The plan gave the host back, with the reason.
    Skipped(String),
}

/// The assignment of a host: one key of the store, so that it names exactly one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    pub(crate) pool: PoolId,
    pub(crate) state: HostState,
    pub(crate) epoch: Epoch,
    /// When the host entered its state.
    pub(crate) since: Time,
    /// The write that set this record.
    pub(crate) op: OpId,
    /// The plan that holds the host now.
    pub(crate) plan: Option<PlanId>,
    /// The latest plans that ended with this host, and how; the newest is last. Plans that name the
    /// same host, because two operators confirmed at one time, must each find its own end here.
    pub(crate) ended: Vec<(PlanId, HostOutcome)>,
}

/// Plans whose end with a host is remembered.
const ENDED_KEPT: usize = 8;

impl HostRecord {
    /// How a plan ended with this host, if it has.
    pub(crate) fn outcome(&self, plan: &PlanId) -> Option<&HostOutcome> {
        self.ended.iter().rev().find(|(id, _)| id == plan).map(|(_, outcome)| outcome)
    }

    /// Notes that a plan has ended with this host.
    pub(crate) fn end(&mut self, plan: &PlanId, outcome: HostOutcome) {
        self.plan = None;
        self.ended.push((plan.clone(), outcome));
        let surplus = self.ended.len().saturating_sub(ENDED_KEPT);
        self.ended.drain(..surplus);
    }
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskReport {
    pub(crate) service: ServiceId,
    pub(crate) index: u32,
    /// Which start of the task this is.
    pub(crate) generation: u64,
    /// Whether its endpoint answers.
    pub(crate) ready: bool,
    /// IP address and port of its endpoint.
    pub(crate) address: String,
    /// Requests running at its endpoint.
    pub(crate) in_flight: u32,
}

/// A host as the platform's list shows it, with a lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub(crate) host: HostId,
    pub(crate) rack: RackId,
    pub(crate) zone: ZoneId,
    /// IP address and port at which the worker takes commands.
    pub(crate) address: String,
    pub(crate) capacity: Resources,
    /// Whether the platform hears from the worker. Only the platform's own word makes a host dead:
    /// a list that cannot be fetched makes every host unknown, not dead.
    pub(crate) live: bool,
    /// The epoch of the last reboot that the worker did on command.
    pub(crate) booted: Epoch,
    /// The newest host epoch that the worker has been told.
    pub(crate) epoch: Epoch,
    pub(crate) tasks: Vec<TaskReport>,
    /// Requests that still run at endpoints of tasks that have ended.
    pub(crate) ending: u32,
}

impl HostReport {
    /// Requests that run on the host.
    pub(crate) fn in_flight(&self) -> u32 {
        self.tasks.iter().map(|task| task.in_flight).sum::<u32>() + self.ending
    }
}
