//! The records about workers that this owner persists for the next one, and those that earlier
//! owners have persisted for this one.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{Owner, PREDECESSOR_MS};
use crate::{
    jobs::{
        event::{Effect, Event},
        handover::{ExpiringWorkers, Handover},
        job::{Job, Task},
        roster::{Holding, Roster, RosterWrite, SilentWorkers, WantedRoster},
        worker::{EXPIRY_DELAY_MS, MAX_ORDER_DELAY_MS, Worker},
    },
    model::{
        id::Incarnation,
        job::{Step, StepId, TaskId},
        unit::{Now, Revision, Steady},
        worker::WorkerReport,
    },
};

/// Consecutive unanswered polls after which a worker is persisted as silent: a single one may be a
/// connection that was reset, and the write would cost two calls of the store.
const SILENT_MISSES: u32 = 2;

/// How long after a run of an unknown job was last seen nothing is handed over to the next owner,
/// in milliseconds: each poll orders it to stop, and it expires with its worker's lease at the
/// latest.
const UNKNOWN_RUN_MS: u64 = 5_000;

/// How often the record of expiring workers is written while this owner waits for them, in
/// milliseconds: a later owner waits at most this much longer.
const EXPIRY_WRITE_MS: u64 = 1_000;

/// The most workers that are recorded as expiring as soon as they leave polls unanswered: each that
/// answers costs a write before it gets work.
const MAX_EXPIRING_WORKERS: usize = 64;

/// How long after its first unanswered poll a worker is recorded as expiring while more are silent,
/// in milliseconds. After the takeover of a large pool, hundreds may answer late one after another.
const LATE_ANSWER_MS: u64 = 2_500;

#[cfg(test)]
thread_local! {
    /// How many tasks were added to unconfirmed sets, to measure the cost of a plan.
    pub(crate) static UNCONFIRMED_ADDED: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
    /// How many handover records were built, to measure the cost of a release.
    pub(crate) static RECORDS_BUILT: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
}

/// Tasks of earlier jobs that may run where this owner does not see them.
#[derive(Default)]
pub(super) struct Unconfirmed {
    /// Whether it may be any task that no worker has reported.
    any: bool,
    /// Those that workers may run by the roster.
    rostered: BTreeSet<TaskId>,
    /// Those that the previous owner has handed over, if one of their workers was not polled yet.
    handed_over: Option<Arc<BTreeSet<TaskId>>>,
    /// Whether all workers where they may run leave polls unanswered.
    all_silent: bool,
}

impl Unconfirmed {
    pub(super) fn is_empty(&self) -> bool {
        let none_handed_over = self.handed_over.as_ref().is_none_or(|tasks| tasks.is_empty());
        !self.any && self.rostered.is_empty() && none_handed_over
    }

    pub(super) fn covers(&self, task: &TaskId) -> bool {
        let is_handed_over = || self.handed_over.as_ref().is_some_and(|all| all.contains(task));
        self.any || self.rostered.contains(task) || is_handed_over()
    }

    /// Whether a task must not start yet. A speculative one waits only for workers that may answer:
    /// it may run twice.
    pub(super) fn delays(&self, task: &TaskId, step: &Step) -> bool {
        let may_run_twice = step.speculative && !step.gang;
        !(may_run_twice && self.all_silent) && self.covers(task)
    }
}

impl Owner {
    /// Takes over what earlier owners have persisted of the pool's workers, listed or not.
    pub(crate) fn inherit(
        &mut self,
        workers: Vec<WorkerReport>,
        silent_workers: &SilentWorkers,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        self.roster = Roster::inherited(&workers, silent_workers);
        let record = silent_workers.handover.as_ref().or(silent_workers.partial.as_ref());
        let record = record.and_then(|record| record.for_owner(self.earlier));
        self.handed_over = record.cloned();
        let expiring = silent_workers.expiring.as_ref();
        let expiring = expiring.and_then(|record| record.for_owner(self.earlier));
        let expiring = expiring.into_iter().flatten();
        self.inherited_expiry =
            expiring.map(|(id, millis)| (id.clone(), now.steady.after(*millis))).collect();
        // A predecessor that has handed over the pool sends no more orders.
        let last_order_ms = if self.handed_over.is_some() { 0 } else { PREDECESSOR_MS };
        let until = now.steady.after(last_order_ms + MAX_ORDER_DELAY_MS + EXPIRY_DELAY_MS);
        self.persisted_starts = silent_workers.starts.clone();
        for (worker, starts) in &silent_workers.starts {
            for (task, run) in starts {
                self.unsettled.inherit(worker, *task, *run, until);
            }
        }
        for report in workers {
            let id = report.id.clone();
            // One that holds nothing matters only once it is listed: otherwise each host that has
            // moved away would be polled for seconds.
            let holds = self.roster.holding(&id).is_some_and(|holding| !holding.is_nothing());
            if holds {
                // The owner that gave it work had an answer from that address.
                let has_answered = !report.address.is_empty();
                self.handle(Event::Worker(report), now, out);
                self.handle(Event::Unlisted(id.worker.clone()), now, out);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.has_answered = has_answered;
                }
            }
        }
    }

    /// What to persist for the next owner when this one gives no further orders; none if it does
    /// not know all that may run. It holds whether or not pending writes take effect before it:
    /// none can take effect after it, since they are conditional on this ownership.
    pub(crate) fn handover_record(&self, now: Now) -> Option<SilentWorkers> {
        #[cfg(test)]
        RECORDS_BUILT.set(RECORDS_BUILT.get() + 1);
        let recently = |at| now.steady.since(at) < UNKNOWN_RUN_MS;
        if !self.unknown.is_empty() || self.unknown_seen.is_some_and(recently) {
            return None;
        }
        let (mut tasks, mut expiring) = (BTreeSet::new(), BTreeMap::new());
        let (mut any, mut is_partial) = (false, false);
        for (worker, held) in self.hidden(now.steady) {
            let id = &worker.report.id;
            let is_handed_over = self.is_handed_over(worker, held);
            let expires = !worker.has_reported && self.roster.holding(id).is_some();
            if expires && !is_handed_over {
                expiring.insert(id.clone(), self.fence_at(worker).since(now.steady));
            }
            match held {
                Holding::Only(held) => tasks.extend(held),
                Holding::Any if is_handed_over => any = true,
                Holding::Any if expires => is_partial = true,
                Holding::Any => return None,
            }
        }
        tasks.extend(self.handed_over.iter().flat_map(|all| all.iter()).filter(|_| any));
        for job in self.jobs.values() {
            for ((time, step), entries) in &job.steps {
                let of = StepId { job: job.id, occurrence: *time, step: *step };
                let numbered = (0u32..).zip(&entries.tasks);
                let held = numbered.filter(|(_, task)| self.may_run_or_count(job, task));
                tasks.extend(held.map(|(index, _)| TaskId { of, index }));
            }
        }
        let handover = Handover::new(self.earlier, tasks)?;
        let (handover, partial) =
            if is_partial { (None, Some(handover)) } else { (Some(handover), None) };
        let silent: BTreeMap<Incarnation, BTreeSet<TaskId>> = (self.roster.listed())
            .filter_map(|id| Some((id.clone(), self.silent_holding(id)?)))
            .collect();
        let reported = silent.keys().filter_map(|id| self.workers.get(id));
        for worker in reported.filter(|worker| worker.reported_all) {
            let remaining = worker.lease_expiry().map_or(0, |at| at.since(now.steady));
            expiring.insert(worker.report.id.clone(), remaining);
        }
        let expiring = ExpiringWorkers::new(self.earlier, expiring);
        let starts = self.unsettled.by_worker();
        Some(SilentWorkers { silent, handover, partial, expiring, starts })
    }

    /// Whether all that may run at a worker that has not reported is in the handover record.
    fn is_handed_over(&self, worker: &Worker, held: &Holding) -> bool {
        let has_expiry = self.inherited_expiry.contains_key(&worker.report.id);
        *held == Holding::Any && self.handed_over.is_some() && !has_expiry
    }

    /// Until when a worker that this owner has not reached may run tasks of earlier jobs. The
    /// previous owner may have waited for it already.
    pub(super) fn fence_at(&self, worker: &Worker) -> Steady {
        let inherited = self.inherited_expiry.get(&worker.report.id);
        let inherited = inherited.filter(|_| !worker.has_reported);
        inherited.map_or(self.fenced_until, |until| self.fenced_until.min(*until))
    }

    /// The workers that may run tasks of earlier jobs where this owner does not see them, and
    /// which: those to which earlier owners could give work and that have not reported all their
    /// runs to this one yet.
    fn hidden(&self, now: Steady) -> impl Iterator<Item = (&Worker, &Holding)> {
        let confirmed = self.confirmed.min(now);
        let may_hide = move |worker: &&Worker| match self.fence_at(worker) <= confirmed {
            true => worker.may_list_unseen_ends(confirmed),
            false => !worker.reported_all,
        };
        self.workers.values().filter(may_hide).filter_map(|worker| {
            let held = self.roster.holding(&worker.report.id);
            Some((worker, held.or(worker.earlier_tasks.as_ref())?))
        })
    }

    /// The listed workers that have not answered this owner, so that all that may run there
    /// expires, and in how long, in milliseconds.
    fn expiring_workers(&self) -> BTreeMap<Incarnation, u64> {
        let was_silent = |worker: &Worker| self.inherited_expiry.contains_key(&worker.report.id);
        let is_silent = |worker: &&Worker| {
            let is_listed = self.roster.holding(&worker.report.id).is_some();
            let is_silent = was_silent(worker) || SILENT_MISSES <= worker.missed_polls;
            !worker.has_reported && is_listed && is_silent
        };
        let silent: Vec<&Worker> = self.workers.values().filter(is_silent).collect();
        let are_many = MAX_EXPIRING_WORKERS < silent.len();
        let may_answer = |worker: &Worker| {
            let is_recorded = self.roster.may_be_expiring(&worker.report.id) || was_silent(worker);
            !is_recorded && self.ticked.since(worker.missed_since) < LATE_ANSWER_MS
        };
        let expiring = silent.into_iter().filter(|worker| !are_many || !may_answer(worker));
        let remaining = |worker: &Worker| self.fence_at(worker).since(self.ticked);
        expiring.map(|worker| (worker.report.id.clone(), remaining(worker))).collect()
    }

    /// Whether a run of a task may exist somewhere, or has ended with a result that is not durable
    /// yet: the next owner learns of that only once its worker has listed the end again.
    fn may_run_or_count(&self, job: &Job, task: &Task) -> bool {
        let begun = task.run != 0 && task.run != self.first_run;
        let uncounted = job.is_dirty() && (task.done || begun || job.state.is_final());
        !task.runs.is_empty() || uncounted
    }

    /// What may run at a listed worker that does not answer or is no longer to be used; none if it
    /// answers, or if that is not known.
    fn silent_holding(&self, id: &Incarnation) -> Option<BTreeSet<TaskId>> {
        let Some(worker) = self.workers.get(id) else {
            // It has ended, or all that it may run has expired.
            return Some(BTreeSet::new());
        };
        if !worker.reported_all {
            return match self.roster.holding(id) {
                Some(Holding::Only(tasks)) => Some(tasks.clone()),
                Some(Holding::Any) | None => None,
            };
        }
        let is_drained = self.draining.contains_key(&worker.report.host) && worker.is_empty();
        let silent = worker.missed_polls != 0 && worker.unacknowledged.is_empty();
        (is_drained || silent).then(|| worker.runs.keys().copied().collect())
    }

    /// What is to be persisted for a later owner, if that has changed, in one write that changes
    /// the records of at most `limit` workers. The caller reports when it is persisted; workers get
    /// work only by what is persisted.
    pub(crate) fn roster_note(&mut self, limit: usize) -> Option<RosterWrite> {
        let (holdings, starts) = (self.holdings(), self.starts_to_persist());
        let expiring = self.expiring_workers();
        let has_expired = expiring.values().all(|remaining| *remaining == 0);
        let repeats =
            !expiring.is_empty() && self.next_expiry_write.is_some_and(|at| at <= self.ticked);
        let is_due = self.must_persist_starts(&starts) || repeats;
        let wanted = WantedRoster { holdings, expiring, starts, is_due };
        let workers = &self.workers;
        let report = |id: &Incarnation| workers.get(id).map(|worker| &worker.report);
        let write = self.roster.next_write(wanted, limit, report, self.earlier)?;
        self.next_expiry_write = (!has_expired).then(|| self.ticked.after(EXPIRY_WRITE_MS));
        for worker in self.workers.values_mut() {
            worker.rostered &= write.allows_work(&worker.report.id);
        }
        Some(write)
    }

    /// Records that the roster was persisted by the write with this revision.
    pub(crate) fn note_roster_written(&mut self, write: &RosterWrite, revision: Revision) {
        self.roster.confirm_write(write);
        self.persisted_starts = write.silent_workers.starts.clone();
        for worker in self.workers.values_mut() {
            worker.rostered = write.allows_work(&worker.report.id);
            worker.assign_fencing_token(revision);
        }
    }

    /// What each worker may run now.
    fn holdings(&self) -> BTreeMap<Incarnation, Holding> {
        let holding = |worker: &Worker| Some((worker.report.id.clone(), self.holding_of(worker)?));
        self.workers.values().filter_map(holding).collect()
    }

    fn holding_of(&self, worker: &Worker) -> Option<Holding> {
        let persisted = self.roster.holding(&worker.report.id);
        if !worker.reported_all {
            return persisted.or(worker.earlier_tasks.as_ref()).cloned();
        }
        if worker.missed_polls < SILENT_MISSES {
            let is_drained = self.draining.contains_key(&worker.report.host) && worker.is_empty();
            return (!is_drained).then_some(Holding::Any);
        }
        let tasks: BTreeSet<TaskId> = worker.runs.keys().copied().collect();
        (persisted.is_some() || !tasks.is_empty()).then_some(Holding::Only(tasks))
    }

    /// Logs once that no task of earlier jobs is held back any more, and why.
    pub(super) fn log_unblocking(&mut self, unconfirmed: &Unconfirmed, now: Steady) {
        if self.unblocking_logged || !unconfirmed.is_empty() {
            return;
        }
        self.unblocking_logged = true;
        let polled = self.workers.values().filter(|worker| worker.has_reported).count();
        let (workers, token) = (self.workers.len(), self.token);
        let reason = if self.fenced_until <= now {
            "all other runs have expired"
        } else {
            "no other worker may run any"
        };
        log::info!(
            "jobs: token {token} starts tasks of earlier jobs: {polled} of {workers} workers polled, {reason}"
        );
    }

    /// The tasks of earlier jobs that may run where this owner does not see them.
    pub(super) fn unconfirmed(&self, now: Steady) -> Unconfirmed {
        let is_silent = |(worker, _): (&Worker, _)| SILENT_MISSES <= worker.missed_polls;
        let all_silent = self.hidden(now).all(is_silent);
        let mut unconfirmed = Unconfirmed { all_silent, ..Unconfirmed::default() };
        for (worker, held) in self.hidden(now) {
            match held {
                Holding::Any if self.is_handed_over(worker, held) => {
                    // Shared: after a demand peak hundreds of workers with thousands of tasks have
                    // departed.
                    unconfirmed.handed_over = self.handed_over.clone();
                }
                Holding::Any => return Unconfirmed { any: true, ..unconfirmed },
                Holding::Only(held) => {
                    let held = held.iter().inspect(|_| tally_unconfirmed());
                    unconfirmed.rostered.extend(held);
                }
            }
        }
        unconfirmed
    }
}

/// Counts, in tests, a task that is added to an unconfirmed set.
fn tally_unconfirmed() {
    #[cfg(test)]
    UNCONFIRMED_ADDED.set(UNCONFIRMED_ADDED.get() + 1);
}
