//! What a later owner must know of a pool's workers: which of them may run something, and what.
//!
//! It is kept before it matters. A worker gets work only while it is listed in the store and the
//! record of those that are silent lets it run anything. One that falls silent is kept with the
//! tasks that may be there, and one that was emptied is listed no more, so that a later owner that
//! does not reach them waits with no other task.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::handover::Handover,
    model::{id::Incarnation, job::TaskId, worker::WorkerReport},
};

/// What may run on a worker, as far as a later owner must reckon with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holding {
    /// Anything: it may get work at any moment.
    Any,
    /// These at the most: it is silent, and gets no work before this is taken back.
    Only(BTreeSet<TaskId>),
}

impl Holding {
    /// Whether nothing can run there.
    pub(crate) fn is_nothing(&self) -> bool {
        matches!(self, Holding::Only(tasks) if tasks.is_empty())
    }
}

/// The listed workers that are silent, with all that may run there.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Away {
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) silent: BTreeMap<Incarnation, BTreeSet<TaskId>>,
    /// What may run at all others, if the owner before gave the pool back.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub(crate) handover: Option<Handover>,
}

/// What is to be kept for a later owner, all in one write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RosterNote {
    /// The reports of workers that are to be listed.
    pub(crate) added: Vec<WorkerReport>,
    /// Workers that are to be listed no more: nothing can run there.
    pub(crate) dropped: Vec<Incarnation>,
    /// Which of those that are listed then are silent.
    pub(crate) away: Away,
    /// What each of the workers may hold once this is kept.
    holdings: BTreeMap<Incarnation, Holding>,
}

impl RosterNote {
    /// Whether a worker may get work once this is kept.
    pub(crate) fn lets_work(&self, id: &Incarnation) -> bool {
        self.holdings.get(id) == Some(&Holding::Any)
    }

    /// How many workers' records it writes.
    pub(crate) fn changes(&self) -> usize {
        self.added.len() + self.dropped.len()
    }
}

/// What a later owner would find, as last known to be kept. Each listed worker has a record of its
/// own: hosts come and leave by the hundred at a peak, and every node is told of each write.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The workers that may run something, all of them listed.
    holdings: BTreeMap<Incarnation, Holding>,
    /// Workers whose records were to change by a write that is not known to have been made: each
    /// may be listed or not.
    doubtful: BTreeSet<Incarnation>,
    /// Whether a write was begun that is not known to have been made.
    unsettled: bool,
}

impl Roster {
    /// What earlier owners have kept.
    pub(crate) fn inherited(workers: &[WorkerReport], away: &Away) -> Roster {
        let holding = |id: &Incarnation| match away.silent.get(id) {
            Some(tasks) => Holding::Only(tasks.clone()),
            None => Holding::Any,
        };
        let holdings = workers.iter().map(|report| (report.id.clone(), holding(&report.id)));
        Roster { holdings: holdings.collect(), ..Roster::default() }
    }

    /// What a worker may run, by what is kept; nothing if it cannot run anything.
    pub(crate) fn holding(&self, id: &Incarnation) -> Option<&Holding> {
        self.holdings.get(id)
    }

    /// All workers that are or may be listed.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Incarnation> {
        self.holdings.keys().chain(&self.doubtful)
    }

    /// What is to be written so that a later owner finds what each worker may hold now, of at most
    /// so many workers' records; nothing if that is kept already.
    pub(crate) fn note<'a>(
        &mut self,
        wanted: BTreeMap<Incarnation, Holding>,
        most: usize,
        report: impl Fn(&Incarnation) -> Option<&'a WorkerReport>,
    ) -> Option<RosterNote> {
        if !self.unsettled && self.doubtful.is_empty() && wanted == self.holdings {
            return None;
        }
        let is_listed =
            |id: &Incarnation| !self.doubtful.contains(id) && self.holdings.contains_key(id);
        let lacking = wanted.keys().filter(|id| !is_listed(id));
        let added: Vec<WorkerReport> = lacking.filter_map(report).take(most).cloned().collect();
        let surplus =
            self.holdings.keys().chain(&self.doubtful).filter(|id| !wanted.contains_key(*id));
        let surplus: BTreeSet<&Incarnation> = surplus.collect();
        let dropped: Vec<Incarnation> =
            surplus.into_iter().take(most - added.len()).cloned().collect();
        let holdings = self.holdings_after(&wanted, &added, &dropped);
        let silent = holdings.iter().filter_map(|(id, holding)| match holding {
            Holding::Any => None,
            Holding::Only(tasks) => Some((id.clone(), tasks.clone())),
        });
        let away = Away { silent: silent.collect(), handover: None };
        self.unsettled = true;
        self.doubtful.extend(added.iter().map(|report| report.id.clone()));
        self.doubtful.extend(dropped.iter().cloned());
        Some(RosterNote { added, dropped, away, holdings })
    }

    /// What each worker that is listed for certain may hold once a note is kept. One that was left
    /// out of the note for want of room is taken as it was.
    fn holdings_after(
        &self,
        wanted: &BTreeMap<Incarnation, Holding>,
        added: &[WorkerReport],
        dropped: &[Incarnation],
    ) -> BTreeMap<Incarnation, Holding> {
        let mut holdings = self.holdings.clone();
        holdings.retain(|id, _| !self.doubtful.contains(id) && !dropped.contains(id));
        for (id, holding) in &mut holdings {
            if let Some(wanted) = wanted.get(id) {
                *holding = wanted.clone();
            }
        }
        let added = added.iter().filter_map(|report| wanted.get_key_value(&report.id));
        holdings.extend(added.map(|(id, holding)| (id.clone(), holding.clone())));
        holdings
    }

    /// Takes note that a write was made.
    pub(crate) fn kept(&mut self, note: &RosterNote) {
        self.holdings = note.holdings.clone();
        for id in note.added.iter().map(|report| &report.id).chain(&note.dropped) {
            self.doubtful.remove(id);
        }
        self.unsettled = false;
    }
}
