//! Racks and availability zones that fall silent as a whole.
//!
//! All their workers are lost for one reason, which is none of the tasks there. So their tasks are
//! not suspected of it: isolated retries of all that had just begun would keep most of the
//! remaining workers from other work, at the moment when there are too few.

use std::collections::BTreeSet;

use super::Owner;
use crate::{
    jobs::{
        outage::{self, Member, Place},
        worker::{LostRun, Worker},
    },
    model::{
        id::{HostId, Incarnation},
        unit::Steady,
    },
};

/// After how long an outage is forgotten if its workers do not come back, in milliseconds: hosts
/// are replaced, and may be listed elsewhere.
const FORGET_MS: u64 = 60_000;

/// An outage is over once workers answer on this share of its hosts, in percent.
const BACK_PERCENT: usize = 50;

/// A rack or zone that is away.
#[derive(Debug)]
pub(super) struct Outage {
    place: Place,
    since: Steady,
    /// The workers that it took, and their hosts.
    workers: BTreeSet<Incarnation>,
    hosts: BTreeSet<HostId>,
    /// The runs that are or may be there.
    runs: usize,
}

impl Outage {
    /// Adds a worker, once.
    fn add(&mut self, worker: &Worker) {
        if self.workers.insert(worker.report.id.clone()) {
            self.hosts.insert(worker.report.host.clone());
            self.runs += worker.runs.len();
        }
    }
}

impl Owner {
    /// Notes the racks and zones that have fallen silent, and those that are back.
    pub(super) fn update_outages(&mut self, now: Steady) {
        if self.tolerated_losses == 0 {
            return;
        }
        let is_silent = |worker: &Worker| worker.silent_since().is_some();
        if self.outages.is_empty() && !self.workers.values().any(is_silent) {
            return;
        }
        self.end_outages(now);
        self.extend_outages();
        let is_member = |worker: &&Worker| worker.has_answered && !self.ends_as_planned(worker);
        let members: Vec<Member<'_>> =
            self.workers.values().filter(is_member).map(member).collect();
        let outages = outage::outages(&members, now);
        for (place, workers) in outages {
            if self.outages.iter().any(|outage| outage.place.covers(&place)) {
                continue;
            }
            // A rack that was found first is a part of its zone's outage.
            self.outages.retain(|outage| !place.covers(&outage.place));
            let (hosts, runs) = (BTreeSet::new(), 0);
            let mut outage = Outage { place, since: now, workers: BTreeSet::new(), hosts, runs };
            let lost = workers.iter().filter_map(|id| self.workers.get(id));
            lost.for_each(|worker| outage.add(worker));
            log::warn!(
                "{}: lost: {} workers fell silent together, {} runs there",
                outage.place,
                outage.workers.len(),
                outage.runs
            );
            self.outages.push(outage);
        }
    }

    /// Adds the workers that have fallen silent since in a place that is away.
    fn extend_outages(&mut self) {
        for outage in &mut self.outages {
            let in_place = |worker: &&Worker| {
                worker.silent_since().is_some()
                    && outage.place.contains(&worker.report.zone, worker.rack())
            };
            let silent: Vec<&Worker> = self.workers.values().filter(in_place).collect();
            silent.into_iter().for_each(|worker| outage.add(worker));
        }
    }

    /// Ends the outages of places whose workers answer again.
    fn end_outages(&mut self, now: Steady) {
        let workers = &self.workers;
        self.outages.retain(|outage| {
            let answers = |worker: &&Worker| {
                worker.has_reported
                    && worker.silent_since().is_none()
                    && outage.hosts.contains(&worker.report.host)
            };
            let answering = workers.values().filter(answers).count();
            let is_back = outage.hosts.len() * BACK_PERCENT <= answering * 100;
            let away_ms = now.since(outage.since);
            if is_back || FORGET_MS <= away_ms {
                log::info!(
                    "{}: {} after {away_ms} ms: {answering} of {} workers answer, which had {} runs",
                    outage.place,
                    if is_back { "back" } else { "given up" },
                    outage.workers.len(),
                    outage.runs
                );
                return false;
            }
            true
        });
    }

    /// Clears the runs of a worker that is lost with its rack or zone. Each task is cleared so only
    /// once: tasks that crash their workers may take most of a rack at a time.
    pub(super) fn clear_outage_losses(&mut self, id: &Incarnation, lost: &mut [LostRun]) {
        if !self.outages.iter().any(|outage| outage.workers.contains(id)) {
            return;
        }
        for lost in lost.iter_mut().filter(|lost| !lost.cleared) {
            let Some(entry) = self.task_mut(lost.task).filter(|entry| !entry.cleared_once) else {
                continue;
            };
            entry.cleared_once = true;
            lost.cleared = true;
            lost.sole_suspect = false;
            // Its next run is an isolated retry again.
            if entry.is_isolated_at(id) {
                self.withdraw_isolated_retry(lost.task);
            }
        }
    }
}

fn member(worker: &Worker) -> Member<'_> {
    Member {
        id: &worker.report.id,
        zone: &worker.report.zone,
        rack: worker.rack(),
        silent_since: worker.silent_since(),
    }
}
