//! What a later owner must know of a pool's workers: which of them may run something, and what.
//!
//! It is kept before it matters. A worker gets work only while the kept record lets it run
//! anything. One that falls silent is kept with the tasks that may be there, and one that was
//! emptied as holding nothing, so that a later owner that does not reach them waits with no other
//! task.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{id::WorkerId, job::TaskId, worker::WorkerReport};

/// What may run on a worker, as far as a later owner must reckon with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holding {
    /// Anything: it may get work at any moment.
    Any,
    /// These at the most: it is silent, and gets no work before this is taken back.
    Only(BTreeSet<TaskId>),
}

/// How workers differ from those that may run anything. Written more often than the list of
/// workers, and much shorter.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Away {
    /// Workers on which nothing can run any more.
    #[serde(rename = "g", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub(crate) gone: BTreeSet<WorkerId>,
    /// Workers that are silent, with all that may run there.
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) silent: BTreeMap<WorkerId, BTreeSet<TaskId>>,
}

/// What is to be kept for a later owner, all in one write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RosterNote {
    /// The reports of the workers that may run something, if the kept list lacks one of them.
    pub(crate) workers: Option<Vec<WorkerReport>>,
    /// How workers of the list differ from such that may run anything.
    pub(crate) away: Away,
    /// What each of the workers may hold.
    holdings: BTreeMap<WorkerId, Holding>,
}

impl RosterNote {
    /// Whether a worker may get work once this is kept.
    pub(crate) fn lets_work(&self, id: &WorkerId) -> bool {
        self.holdings.get(id) == Some(&Holding::Any)
    }
}

/// What a later owner would find, as last known to be kept.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The workers that may run something.
    holdings: BTreeMap<WorkerId, Holding>,
    /// The workers of the kept list.
    listed: BTreeSet<WorkerId>,
    /// Whether a write was begun that is not known to have been made.
    unsettled: bool,
}

impl Roster {
    /// What earlier owners have kept.
    pub(crate) fn inherited(workers: &[WorkerReport], away: &Away) -> Roster {
        let listed: BTreeSet<WorkerId> = workers.iter().map(|report| report.id.clone()).collect();
        let holding = |id: &WorkerId| match away.silent.get(id) {
            Some(tasks) => Holding::Only(tasks.clone()),
            None => Holding::Any,
        };
        let left = listed.iter().filter(|id| !away.gone.contains(*id));
        let holdings = left.map(|id| (id.clone(), holding(id))).collect();
        Roster { holdings, listed, unsettled: false }
    }

    /// What a worker may run, by what is kept; nothing if it cannot run anything.
    pub(crate) fn holding(&self, id: &WorkerId) -> Option<&Holding> {
        self.holdings.get(id)
    }

    /// What is to be written so that a later owner finds what each worker may hold now; nothing if
    /// that is kept already.
    pub(crate) fn note<'a>(
        &mut self,
        holdings: BTreeMap<WorkerId, Holding>,
        report: impl Fn(&WorkerId) -> Option<&'a WorkerReport>,
    ) -> Option<RosterNote> {
        if holdings == self.holdings && !self.unsettled {
            return None;
        }
        self.unsettled = true;
        let lacks = holdings.keys().any(|id| !self.listed.contains(id));
        let workers = lacks.then(|| holdings.keys().filter_map(report).cloned().collect());
        let gone = self.listed.iter().filter(|id| !lacks && !holdings.contains_key(*id));
        let silent = holdings.iter().filter_map(|(id, holding)| match holding {
            Holding::Any => None,
            Holding::Only(tasks) => Some((id.clone(), tasks.clone())),
        });
        let away = Away { gone: gone.cloned().collect(), silent: silent.collect() };
        Some(RosterNote { workers, away, holdings })
    }

    /// Takes note that a write was made.
    pub(crate) fn kept(&mut self, note: &RosterNote) {
        self.holdings = note.holdings.clone();
        if let Some(workers) = &note.workers {
            self.listed = workers.iter().map(|report| report.id.clone()).collect();
        }
        self.unsettled = false;
    }
}
