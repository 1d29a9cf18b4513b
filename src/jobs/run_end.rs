//! Why an owner considers a run ended. The reason is logged and counted when the task is started
//! again, so that two concurrent runs of one task can be traced to the owner's assumption.

use std::{collections::BTreeMap, fmt};

use crate::model::{
    id::Incarnation,
    unit::Steady,
    worker::{Refusal, RunOutcome},
};

/// Why a run is considered ended, or certain never to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The worker listed its end.
    Ended(RunOutcome),
    /// The worker refused the start.
    Refused(Refusal),
    /// The start order never left the node.
    Unsent,
    /// The worker accepted an order to stop it, and does not list it.
    Stopped,
    /// The worker had started it, and lists neither the run nor its end.
    Unlisted,
    /// The worker is silent, and its lease has expired.
    Lapsed,
    /// The worker has certainly terminated.
    WorkerTerminated,
}

impl RunEnd {
    /// The text in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            RunEnd::Ended(outcome) => outcome.as_str(),
            RunEnd::Refused(_) => "refused",
            RunEnd::Unsent => "unsent",
            RunEnd::Stopped => "stopped and not listed",
            RunEnd::Unlisted => "not listed",
            RunEnd::Lapsed => "lapsed unseen",
            RunEnd::WorkerTerminated => "with its worker",
        }
    }
}

/// The previous run of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PreviousRun {
    pub(crate) worker: Incarnation,
    pub(crate) run: u32,
    pub(crate) reason: RunEnd,
    /// When it was found to have ended.
    pub(crate) at: Steady,
}

impl PreviousRun {
    /// Its description in a log line.
    pub(crate) fn describe(&self, now: Steady) -> impl fmt::Display {
        let ago = now.since(self.at);
        format!("run {} at {}: {}, {ago} ms ago", self.run, self.worker, self.reason.as_str())
    }
}

/// Why a run that a worker lists as present is unexpected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnexpectedRun {
    /// Its task is done.
    Done,
    /// Its task also has a run elsewhere.
    Elsewhere,
    /// Its task has another run at the same worker.
    OtherRun,
    /// Its job is cancelled, over, or not known.
    NoJob,
}

impl UnexpectedRun {
    /// The text in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            UnexpectedRun::Done => "its task is done",
            UnexpectedRun::Elsewhere => "its task runs elsewhere",
            UnexpectedRun::OtherRun => "another run of its task is there",
            UnexpectedRun::NoJob => "its job is over or not known",
        }
    }
}

/// Counters of an owner since they were last read.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Tasks that were started again, by the reason why the previous run ended.
    pub(crate) restarts: BTreeMap<&'static str, u64>,
    /// Unexpected runs that were found, by the reason.
    pub(crate) unexpected_runs: BTreeMap<&'static str, u64>,
    /// Workers that crashed while they ran a task, counted once for each task.
    pub(crate) crashes: u64,
    /// Workers that restarted under the same name.
    pub(crate) worker_restarts: u64,
    /// Tasks that were given up because they crash their workers.
    pub(crate) given_up: u64,
    /// Polls and stop orders that were sent again because the previous one got no answer.
    pub(crate) resent_orders: u64,
}
