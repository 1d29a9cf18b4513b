//! The placement roster of a pool: which workers may run something, and which tasks. A later owner
//! reads it.
//!
//! It is persisted before it takes effect. A worker gets work only while it is listed in the store
//! and the record of silent workers does not restrict it. A worker that becomes silent is recorded
//! with the tasks that it may run, and a worker that was drained is removed from the list, so that
//! a later owner that cannot reach them delays no other task.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::{
        handover::{ExpiringWorkers, Handover},
        unsettled::StartsByWorker,
    },
    model::{id::Incarnation, job::TaskId, worker::WorkerReport},
};

/// The tasks that a later owner must assume to run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Holding {
    /// Any task: it may get work at any moment.
    Any,
    /// At most these: it is silent, and gets no work before a write resets this to `Any`.
    Only(BTreeSet<TaskId>),
}

impl Holding {
    /// Whether no task can run there.
    pub(crate) fn is_nothing(&self) -> bool {
        matches!(self, Holding::Only(tasks) if tasks.is_empty())
    }
}

/// The listed workers that are silent, with all tasks that may run there.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct SilentWorkers {
    #[serde(rename = "s", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) silent: BTreeMap<Incarnation, BTreeSet<TaskId>>,
    /// The tasks that may run at all others, if the previous owner handed over the pool.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub(crate) handover: Option<Handover>,
    /// The same, if it leaves out expiring workers. Earlier versions would take it for complete.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub(crate) partial: Option<Handover>,
    /// Workers at which all that may run expires, since the owner sends them nothing.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub(crate) expiring: Option<ExpiringWorkers>,
    /// Starts that may be carried out by the next incarnation of their worker.
    #[serde(rename = "u", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) starts: StartsByWorker,
}

/// One write of the roster.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RosterWrite {
    /// The reports of workers to be added to the list.
    pub(crate) added: Vec<WorkerReport>,
    /// Workers to be removed from the list: nothing can run there.
    pub(crate) dropped: Vec<Incarnation>,
    /// The silent workers among those listed after the write.
    pub(crate) silent_workers: SilentWorkers,
    /// The tasks that each worker may run once the write is done.
    holdings: BTreeMap<Incarnation, Holding>,
    /// The workers that are recorded as expiring once the write is done.
    expiring: BTreeSet<Incarnation>,
}

impl RosterWrite {
    /// Whether a worker may get work once the write is done.
    pub(crate) fn allows_work(&self, id: &Incarnation) -> bool {
        self.holdings.get(id) == Some(&Holding::Any) && !self.expiring.contains(id)
    }

    /// The number of workers' records that the write changes.
    pub(crate) fn record_count(&self) -> usize {
        self.added.len() + self.dropped.len()
    }
}

/// What is to be persisted.
#[derive(Debug, Default)]
pub(crate) struct WantedRoster {
    /// The tasks that each worker may run.
    pub(crate) holdings: BTreeMap<Incarnation, Holding>,
    /// Workers that get nothing from this owner, and in how long all that may run there will have
    /// expired, in milliseconds.
    pub(crate) expiring: BTreeMap<Incarnation, u64>,
    pub(crate) starts: StartsByWorker,
    /// Whether a write is needed even if the roster is as wanted.
    pub(crate) is_due: bool,
}

/// The roster as last known to be persisted. Each listed worker has its own record: hosts join and
/// leave by the hundred at a peak, and each write is sent to every node.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The workers that may run something, all of them listed.
    holdings: BTreeMap<Incarnation, Holding>,
    /// The workers that this owner has recorded as expiring, or may have.
    expiring: BTreeSet<Incarnation>,
    /// Workers whose records an unconfirmed write changes: each may be listed or not.
    unconfirmed: BTreeSet<Incarnation>,
    /// Whether a write was begun and is not yet confirmed.
    is_write_pending: bool,
}

impl Roster {
    /// The roster that earlier owners persisted.
    pub(crate) fn inherited(workers: &[WorkerReport], silent_workers: &SilentWorkers) -> Roster {
        let holding = |id: &Incarnation| match silent_workers.silent.get(id) {
            Some(tasks) => Holding::Only(tasks.clone()),
            None => Holding::Any,
        };
        let holdings = workers.iter().map(|report| (report.id.clone(), holding(&report.id)));
        Roster { holdings: holdings.collect(), ..Roster::default() }
    }

    /// The tasks that a worker may run by the persisted roster; `None` if it cannot run anything.
    pub(crate) fn holding(&self, id: &Incarnation) -> Option<&Holding> {
        self.holdings.get(id)
    }

    /// Whether a later owner may rely on the expiry of what runs at a worker.
    pub(crate) fn may_be_expiring(&self, id: &Incarnation) -> bool {
        self.expiring.contains(id)
    }

    /// All workers that are listed or may be.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Incarnation> {
        self.holdings.keys().chain(&self.unconfirmed)
    }

    /// The next write of an owner that follows `earlier` others, which brings the roster to the
    /// wanted state and changes at most `limit` workers' records; `None` if that state is already
    /// persisted.
    pub(crate) fn next_write<'a>(
        &mut self,
        wanted: WantedRoster,
        limit: usize,
        report: impl Fn(&Incarnation) -> Option<&'a WorkerReport>,
        earlier: u32,
    ) -> Option<RosterWrite> {
        let WantedRoster { holdings: wanted, mut expiring, starts, is_due } = wanted;
        let is_current =
            !is_due && wanted == self.holdings && expiring.keys().eq(self.expiring.iter());
        if is_current && !self.is_write_pending && self.unconfirmed.is_empty() {
            return None;
        }
        let is_listed =
            |id: &Incarnation| !self.unconfirmed.contains(id) && self.holdings.contains_key(id);
        let missing = wanted.keys().filter(|id| !is_listed(id));
        // How long a worker stays cold is known from its entry alone: a record of it grows old.
        let warm = |report: &WorkerReport| WorkerReport { cold_ms: 0, ..report.clone() };
        let added: Vec<WorkerReport> = missing.filter_map(report).take(limit).map(warm).collect();
        let surplus =
            self.holdings.keys().chain(&self.unconfirmed).filter(|id| !wanted.contains_key(*id));
        let surplus: BTreeSet<&Incarnation> = surplus.collect();
        let dropped: Vec<Incarnation> =
            surplus.into_iter().take(limit - added.len()).cloned().collect();
        let holdings = self.holdings_after(&wanted, &added, &dropped);
        let silent = holdings.iter().filter_map(|(id, holding)| match holding {
            Holding::Any => None,
            Holding::Only(tasks) => Some((id.clone(), tasks.clone())),
        });
        let silent = silent.collect();
        expiring.retain(|id, _| holdings.contains_key(id));
        let names: BTreeSet<Incarnation> = expiring.keys().cloned().collect();
        self.expiring.extend(names.iter().cloned());
        let expiring = ExpiringWorkers::new(earlier, expiring);
        let (handover, partial) = (None, None);
        let silent_workers = SilentWorkers { silent, handover, partial, expiring, starts };
        self.is_write_pending = true;
        self.unconfirmed.extend(added.iter().map(|report| report.id.clone()));
        self.unconfirmed.extend(dropped.iter().cloned());
        Some(RosterWrite { added, dropped, silent_workers, holdings, expiring: names })
    }

    /// The tasks that each certainly listed worker may run once a write is done. A worker that the
    /// write leaves out because of the limit is unchanged.
    fn holdings_after(
        &self,
        wanted: &BTreeMap<Incarnation, Holding>,
        added: &[WorkerReport],
        dropped: &[Incarnation],
    ) -> BTreeMap<Incarnation, Holding> {
        let mut holdings = self.holdings.clone();
        holdings.retain(|id, _| !self.unconfirmed.contains(id) && !dropped.contains(id));
        for (id, holding) in &mut holdings {
            if let Some(wanted) = wanted.get(id) {
                *holding = wanted.clone();
            }
        }
        let added = added.iter().filter_map(|report| wanted.get_key_value(&report.id));
        holdings.extend(added.map(|(id, holding)| (id.clone(), holding.clone())));
        holdings
    }

    /// Records that a write was done.
    pub(crate) fn confirm_write(&mut self, write: &RosterWrite) {
        self.holdings = write.holdings.clone();
        self.expiring = write.expiring.clone();
        for id in write.added.iter().map(|report| &report.id).chain(&write.dropped) {
            self.unconfirmed.remove(id);
        }
        self.is_write_pending = false;
    }
}
