//! Workers and hosts as they report themselves, and the results of orders to workers.

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{HostId, IdError, Incarnation, PoolId, StartTime, WorkerId, ZoneId},
    job::{TaskId, TaskResources, is_default},
};

/// A worker's registration, as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerReport {
    pub(crate) id: Incarnation,
    pub(crate) host: HostId,
    pub(crate) pool: PoolId,
    pub(crate) address: String,
    pub(crate) zone: ZoneId,
    #[serde(rename = "room")]
    pub(crate) capacity: TaskResources,
    pub(crate) labels: Vec<String>,
    /// Set once the worker is about to leave: the minimum time until then, in milliseconds.
    pub(crate) leaves_ms: Option<u64>,
    /// How much longer it is slow, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_default")]
    pub(crate) cold_ms: u64,
}

impl WorkerReport {
    /// A placeholder for a worker of which only the id and the pool are known: its name also stands
    /// for its host, and it has no address.
    pub(crate) fn placeholder(id: &Incarnation, pool: &str) -> Result<WorkerReport, IdError> {
        Ok(WorkerReport {
            id: id.clone(),
            host: id.worker.as_str().parse()?,
            pool: pool.parse()?,
            address: String::new(),
            zone: "unknown".parse()?,
            capacity: TaskResources::default(),
            labels: Vec::new(),
            leaves_ms: None,
            cold_ms: 0,
        })
    }

    /// Whether another report has the same host, pool and address: these never change within one
    /// incarnation.
    pub(crate) fn has_same_place(&self, other: &WorkerReport) -> bool {
        self.host == other.host && self.pool == other.pool && self.address == other.address
    }

    /// Whether an owner that knows an earlier report needs this one too. It counts down by itself
    /// how long a worker stays cold.
    pub(crate) fn is_news_after(&self, earlier: &WorkerReport) -> bool {
        let counts_down = 0 < self.cold_ms && self.cold_ms < earlier.cold_ms;
        let is_same = || *earlier == WorkerReport { cold_ms: earlier.cold_ms, ..self.clone() };
        self != earlier && !(counts_down && is_same())
    }
}

/// A run that a worker lists as present, i.e. not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PresentRun {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// The newest checkpoint; empty for none.
    pub(crate) checkpoint: String,
    pub(crate) percent: u32,
    /// Over the last half second: the tail latency of a serving task in milliseconds, or the
    /// millicores in use.
    pub(crate) gauge: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    Done,
    /// Failed because of the task itself or of its worker.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The gang was not complete in time.
    GangIncomplete,
}

impl RunOutcome {
    /// The name used in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            RunOutcome::Lapsed => "lapsed",
            RunOutcome::GangBroken => "broken",
            RunOutcome::GangIncomplete => "alone",
        }
    }
}

/// A run that a worker lists as ended, until the end is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedRun {
    /// Number of this end, counted per worker from 1.
    pub(crate) number: u64,
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) how: RunOutcome,
    pub(crate) checkpoint: String,
}

/// A worker's response to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PollResponse {
    /// When the responding incarnation started, if it reports that.
    pub(crate) born: Option<StartTime>,
    /// The worker's own clock, in milliseconds.
    pub(crate) clock_ms: u64,
    pub(crate) present: Vec<PresentRun>,
    pub(crate) ended: Vec<EndedRun>,
}

/// Maximum ends in one poll response, by the platform's contract. Further ends are listed once
/// these are acknowledged.
pub(crate) const MAX_LISTED_ENDS: usize = 500;

impl PollResponse {
    /// Whether the response lists all ends. Otherwise a run that it does not list may have ended.
    pub(crate) fn lists_all_ends(&self) -> bool {
        self.ended.len() < MAX_LISTED_ENDS
    }
}

/// Why a worker permanently refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The worker has received a higher fencing token.
    Fenced,
    /// The run's number does not exceed that of a run that ended or was stopped there.
    Old,
    /// The lease granted by the order had expired when it arrived.
    Late,
    /// The worker has too few free resources.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The order was meant for another incarnation of the worker.
    OtherLife,
    /// The worker is unhealthy and has done nothing.
    Unwell,
    /// The worker does not accept the order as written.
    Invalid,
}

/// The result of an order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderResult<T> {
    Done(T),
    /// The order was not executed and never will be.
    Refused {
        why: Refusal,
        clock_ms: Option<u64>,
    },
    /// No answer: the order may have been executed, or may be later.
    Unknown,
    /// The order never left the node that was to send it, or it was a poll that was lost between
    /// two nodes: nothing was started or stopped, and nothing is known about the worker.
    Unsent,
}

/// What the platform is currently doing with a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostPhase {
    Up,
    Moving,
    Upkeep,
    Down,
}

/// A host as listed by the platform.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ListedHost {
    pub(crate) host: HostId,
    pub(crate) pool: PoolId,
    /// `None` if the list does not say.
    pub(crate) zone: Option<ZoneId>,
    pub(crate) phase: HostPhase,
    pub(crate) worker: Option<WorkerId>,
    pub(crate) labels: Vec<String>,
    pub(crate) capacity: TaskResources,
}

/// An operator's request for a maintenance wave: each of these hosts is to be maintained in time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Upkeep {
    pub(crate) wave: u64,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) period_ms: u64,
    /// Maximum hosts that may be out of service for this wave at the same time.
    pub(crate) max_concurrent: u32,
}
