//! Why an owner holds that a run is over: told when its task starts again, so that two runs of one
//! task can be traced to what the owner believed, and counted.

use std::{collections::BTreeMap, fmt};

use crate::model::{
    id::Incarnation,
    unit::Steady,
    worker::{HowEnded, Refusal},
};

/// Why a run is held to be over, or never to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Gone {
    /// Its worker has listed its end.
    Ended(HowEnded),
    /// Its worker has refused the start.
    Refused(Refusal),
    /// The start never left its node.
    Unsent,
    /// Its worker has taken an order to stop it, and does not list it.
    Stopped,
    /// Its worker had started it, and lists neither the run nor its end.
    Unlisted,
    /// Its worker is silent, and all that it may run has lapsed.
    Lapsed,
    /// Its worker is certain to be over.
    WorkerOver,
}

impl Gone {
    /// The word in log lines and metrics.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Gone::Ended(how) => how.word(),
            Gone::Refused(_) => "refused",
            Gone::Unsent => "unsent",
            Gone::Stopped => "stopped and not listed",
            Gone::Unlisted => "not listed",
            Gone::Lapsed => "lapsed unseen",
            Gone::WorkerOver => "with its worker",
        }
    }
}

/// The run of a task before the next one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Previous {
    pub(crate) worker: Incarnation,
    pub(crate) run: u32,
    pub(crate) why: Gone,
    /// When it was held to be over.
    pub(crate) at: Steady,
}

impl Previous {
    /// How it is told at a moment.
    pub(crate) fn told(&self, now: Steady) -> impl fmt::Display {
        let ago = now.since(self.at);
        format!("run {} at {}: {}, {ago} ms ago", self.run, self.worker, self.why.word())
    }
}

/// What is wrong with a run that a worker lists as present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stray {
    /// Its task is done.
    Done,
    /// Its task also has a run elsewhere.
    Elsewhere,
    /// Its task has another run at the same worker.
    OtherRun,
    /// Its job is cancelled, over, or not known.
    NoJob,
}

impl Stray {
    /// The word in log lines and metrics.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Stray::Done => "its task is done",
            Stray::Elsewhere => "its task runs elsewhere",
            Stray::OtherRun => "another run of its task is there",
            Stray::NoJob => "its job is over or not known",
        }
    }
}

/// What an owner has counted since that was last taken.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Tasks that were started again, by why the run before was held to be over.
    pub(crate) restarts: BTreeMap<&'static str, u64>,
    /// Runs that were found and not wanted, by what was wrong with them.
    pub(crate) strays: BTreeMap<&'static str, u64>,
    /// Workers that were lost under a task, counted once for each task.
    pub(crate) crashes: u64,
    /// Workers that have started again under their name.
    pub(crate) started_again: u64,
    /// Tasks that were given up, since workers crash under them.
    pub(crate) given_up: u64,
    /// Looks and stops that were sent again, since the one before had no answer.
    pub(crate) again: u64,
}
