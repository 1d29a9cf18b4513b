//! What workers and hosts tell of themselves.

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{Born, HostId, IdError, Incarnation, PoolId, WorkerId, ZoneId},
    job::{Room, TaskId},
};

/// A worker's report on itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerReport {
    pub(crate) id: Incarnation,
    pub(crate) host: HostId,
    pub(crate) pool: PoolId,
    pub(crate) address: String,
    pub(crate) zone: ZoneId,
    pub(crate) room: Room,
    pub(crate) labels: Vec<String>,
    /// Set once it is leaving: the least time it has left, in milliseconds.
    pub(crate) leaves_ms: Option<u64>,
}

impl WorkerReport {
    /// What is known of a worker of which there is only its id and pool: no call reaches it.
    pub(crate) fn without_place(id: &Incarnation, pool: &str) -> Result<WorkerReport, IdError> {
        Ok(WorkerReport {
            id: id.clone(),
            host: id.worker.as_str().parse()?,
            pool: pool.parse()?,
            address: String::new(),
            zone: "unknown".parse()?,
            room: Room::default(),
            labels: Vec::new(),
            leaves_ms: None,
        })
    }

    /// Whether another report names the same place: an incarnation keeps its own.
    pub(crate) fn has_place_of(&self, other: &WorkerReport) -> bool {
        self.host == other.host && self.pool == other.pool && self.address == other.address
    }
}

/// A run that a worker lists as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Present {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// The newest checkpoint; empty for none.
    pub(crate) saved: String,
    pub(crate) percent: u32,
    /// Over the last half second: a serving task's tail in milliseconds, or the millicores in use.
    pub(crate) gauge: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HowEnded {
    Done,
    /// By its own fault or its worker's.
    Failed,
    /// By an order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang was not complete in time.
    Alone,
}

impl HowEnded {
    /// The word in log lines.
    pub(crate) fn word(self) -> &'static str {
        match self {
            HowEnded::Done => "done",
            HowEnded::Failed => "failed",
            HowEnded::Stopped => "stopped",
            HowEnded::Lapsed => "lapsed",
            HowEnded::Broken => "broken",
            HowEnded::Alone => "alone",
        }
    }
}

/// A run that a worker lists as ended, until the end is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ended {
    /// Counts the ends of this worker, from 1.
    pub(crate) number: u64,
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) how: HowEnded,
    pub(crate) saved: String,
}

/// What a worker answers when it is looked at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Look {
    /// When the incarnation started that answers, if it tells that.
    pub(crate) born: Option<Born>,
    /// Its own clock, in milliseconds.
    pub(crate) clock_ms: u64,
    pub(crate) present: Vec<Present>,
    pub(crate) ended: Vec<Ended>,
}

/// The most ends that a worker lists at once, by the platform's contract. Those behind them are
/// listed once these are acknowledged.
pub(crate) const MOST_ENDS: usize = 500;

impl Look {
    /// Whether it lists all ends. Else a run that it lists nowhere may have ended all the same.
    pub(crate) fn is_whole(&self) -> bool {
        self.ended.len() < MOST_ENDS
    }
}

/// Why a worker refused an order for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A later owner has spoken to it.
    Fenced,
    /// The run is not above one that ended or was stopped there.
    Old,
    /// The time it was given was over when the order came.
    Late,
    /// It has no room.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// It is another life than the one that was meant.
    OtherLife,
    /// It is not well, and has done nothing.
    Unwell,
    /// It does not take the order as it stands.
    Invalid,
}

/// How an order to a worker went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderEnd<T> {
    Done(T),
    /// Not carried out, and never will be.
    Refused {
        why: Refusal,
        clock_ms: Option<u64>,
    },
    /// No answer: it may have been carried out, or may be later.
    Unknown,
    /// It never left the node that was to send it, or it was a look of which word was lost between
    /// two nodes: nothing was begun or stopped, and nothing is known of the worker.
    Unsent,
}

/// What the platform is doing with a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostPhase {
    Up,
    Moving,
    Upkeep,
    Down,
}

/// A host, as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ListedHost {
    pub(crate) host: HostId,
    pub(crate) pool: PoolId,
    pub(crate) phase: HostPhase,
    pub(crate) worker: Option<WorkerId>,
    pub(crate) labels: Vec<String>,
    pub(crate) room: Room,
}

/// A request of the operator: each of these hosts is to be maintained in time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Upkeep {
    pub(crate) wave: u64,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) period_ms: u64,
    /// Most hosts that may be away at once for this wave.
    pub(crate) at_once: u32,
}
