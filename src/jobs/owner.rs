//! The owner of one pool's jobs.

mod announced;
mod answers;
mod breakdown;
mod crashes;
mod ends;
mod held_back;
mod incarnations;
mod lateness;
mod load;
mod losses;
mod places;
mod plan;
mod polls;
mod roster;
mod status;
mod throttle;
mod tickets;
mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use crate::{
    jobs::{
        accounts::PoolAccounts,
        event::{Effect, Event, ProgressWrite, StoredJob},
        job::{Job, JobEnd, Phase, RUNS_PER_OWNER},
        message_loss::MessageLoss,
        roster::Roster,
        run_end::{Counts, PreviousRun, RunEnd},
        save_queue::SaveQueue,
        start::free::FreeCapacity,
        table::Table,
        unsettled::{StartsByWorker, UnsettledStarts},
        urgency::{ByLateness, Durations},
        worker::{EXPIRY_DELAY_MS, LostRun, SLOWEST_CLOCK_PERCENT, WORKER_LEASE_MS, Worker},
    },
    model::{
        id::{HostId, Incarnation, WorkerId},
        job::{JobId, TaskId, TaskResources},
        order::Start,
        unit::{Now, Revision, Steady, Time},
        worker::WorkerReport,
        zone::Zones,
    },
};

use announced::Announced;
pub(crate) use breakdown::Breakdown;
#[cfg(test)]
pub(crate) use breakdown::{AccountCounts, ZoneCounts};
use incarnations::{EndedWorker, FormerOrders};
pub(crate) use lateness::Lateness;
pub(crate) use load::PoolLoad;
use losses::Outage;
use places::Places;
#[cfg(test)]
pub(crate) use roster::{RECORDS_BUILT, UNCONFIRMED_ADDED};
pub(crate) use status::{DrainedHost, HostUsage};
pub(crate) use zones::ZoneUse;

/// Duration of a node's lease, in milliseconds: a node that does not renew it keeps what it owns
/// for this long. Three renewals fit.
pub(crate) const LEASE_MS: u64 = 2_000;

/// How long an owner that cannot reach the store keeps giving orders after its lease may have
/// expired, in milliseconds. Most often the store is unreachable for every node, so that no other
/// node can own the pool. If there is another owner, workers that have seen its token refuse this
/// one's orders.
pub(crate) const GRACE_PERIOD_MS: u64 = 3_000;

/// How long a previous owner may keep giving orders after it has lost the ownership, in
/// milliseconds: it may not know of the loss.
const PREDECESSOR_MS: u64 = LEASE_MS + GRACE_PERIOD_MS;

/// How long after a change of owners a worker that the new owner has not reached may still run
/// something, in milliseconds: the last order of the previous owner, the worker lease on the
/// slowest clock, and a worker that acts late on its expiry.
const FENCE_MS: u64 = PREDECESSOR_MS
    + WORKER_LEASE_MS * 100 / SLOWEST_CLOCK_PERCENT
    + CLOCK_DRIFT_MS
    + EXPIRY_DELAY_MS;

/// How far the previous owner may have overestimated a worker's clock, in milliseconds: 2 % of the
/// 1.25 s for which a worker without an answer still gets work, doubled.
const CLOCK_DRIFT_MS: u64 = 50;

/// A worker that was removed although it may be alive.
struct Vanished {
    id: Incarnation,
    known_since: Steady,
    lost_runs: Vec<LostRun>,
}

/// The owner of one pool's jobs.
pub(crate) struct Owner {
    /// The revision of the ownership.
    pub(crate) token: u64,
    /// The number of earlier owners.
    earlier: u32,
    /// Runs of jobs that are older than this owner are numbered above this.
    first_run: u32,
    /// Until then, a worker that has not seen the token may run tasks of earlier jobs.
    fenced_until: Steady,
    /// The time up to which the store has confirmed that there is no later owner. Leases count as
    /// expired only up to this time: a later owner may have reached a worker that is silent here,
    /// and have renewed the lease of its runs.
    confirmed: Steady,
    jobs: Table<JobId, Job>,
    /// Jobs of which the last run has gone or the end has become durable since it was last checked
    /// whether they can be forgotten.
    settled: BTreeSet<JobId>,
    /// Jobs that have ended, under this owner or before. The store's view of them may be older than
    /// their end.
    ended: HashSet<JobId>,
    /// Unknown jobs with an uncounted end, and since when. Their records may be unreadable for now,
    /// and a worker does not list an end again once it is acknowledged.
    unknown: BTreeMap<JobId, Steady>,
    workers: Table<Incarnation, Worker>,
    places: Places,
    free: FreeCapacity,
    /// When polls were last sent.
    last_polls: Option<Steady>,
    /// Starts that the next incarnation of a worker may carry out.
    unsettled: UnsettledStarts,
    /// Starts that are sent once the announcement is durable.
    announced_starts: BTreeMap<Announced, Start>,
    /// The starts that a later owner would find in the store.
    persisted_starts: StartsByWorker,
    /// Since when these have differed from the starts to be persisted.
    stale_starts_since: Option<Steady>,
    /// The time of the latest tick.
    ticked: Steady,
    /// The records about the workers that a later owner would find in the store.
    roster: Roster,
    /// What may run at workers that have not been polled yet, if the previous owner persisted it.
    handed_over: Option<Arc<BTreeSet<TaskId>>>,
    /// Workers that did not answer the previous owner, and when all that may run there will have
    /// expired.
    inherited_expiry: BTreeMap<Incarnation, Steady>,
    /// When the record of expiring workers is written again; `None` if all in it have expired.
    next_expiry_write: Option<Steady>,
    /// When a run of an unknown job was last seen.
    unknown_seen: Option<Steady>,
    /// Workers that have ended. The store may list their reports a while longer.
    ended_workers: BTreeMap<Incarnation, EndedWorker>,
    /// Workers of which an incarnation had orders of this owner and is no longer tracked.
    former_orders: HashMap<WorkerId, FormerOrders>,
    /// Hosts to be drained, by the revision of their drain mark.
    draining: BTreeMap<HostId, Revision>,
    /// The availability zones in which nothing may start.
    zones: Zones,
    /// Workers whose capacity the current plan reserves for long-running tasks that wait.
    reserved: BTreeSet<Incarnation>,
    /// Resources that no worker has free, in the current plan: nothing that needs as much is tried.
    unplaceable: Vec<TaskResources>,
    /// Whether some job had background tasks: most pools never do, and need no throttling.
    has_background: bool,
    durations: Durations,
    message_loss: MessageLoss,
    save_queue: SaveQueue,
    /// Jobs whose end is durable: the rest of their records in the store is no longer needed.
    finished: BTreeSet<JobId>,
    deposed: bool,
    counts: Counts,
    /// Starts that were not taken yet.
    starts: ByLateness,
    /// Whether it was logged that tasks of earlier jobs may start.
    unblocking_logged: bool,
    /// Workers that are silent and not listed, by host. Each may be alive until another worker
    /// answers on its host.
    vanished: BTreeMap<HostId, Vanished>,
    /// Tasks that have crashed too many workers, to be given up.
    crashing: Vec<TaskId>,
    /// Tasks whose runs were lost together with their workers.
    crash_suspects: BTreeSet<TaskId>,
    /// What client accounts may have running here; `None` if nothing is limited.
    accounts: Option<PoolAccounts>,
    /// How many availability zones may be lost at once; 0 if zones do not matter.
    tolerated_losses: u32,
    /// Racks and zones that are away.
    outages: Vec<Outage>,
    /// Jobs that are yet to be classified by their account's weight, and when they were accepted.
    arrived: Vec<(Time, JobId)>,
}

impl Owner {
    /// An owner that has just acquired its pool; `earlier` counts the owners before it.
    pub(crate) fn new(token: u64, earlier: u32, now: Steady) -> Owner {
        Owner {
            token,
            earlier,
            first_run: earlier * RUNS_PER_OWNER,
            fenced_until: now.after(if earlier == 0 { 0 } else { FENCE_MS }),
            // The pool was acquired by a write, somewhat earlier than now: nothing has expired
            // since then.
            confirmed: now,
            jobs: Table::default(),
            settled: BTreeSet::new(),
            ended: HashSet::new(),
            unknown: BTreeMap::new(),
            workers: Table::default(),
            places: Places::default(),
            free: FreeCapacity::default(),
            last_polls: None,
            unsettled: UnsettledStarts::default(),
            announced_starts: BTreeMap::new(),
            persisted_starts: StartsByWorker::new(),
            stale_starts_since: None,
            ticked: now,
            roster: Roster::default(),
            handed_over: None,
            inherited_expiry: BTreeMap::new(),
            next_expiry_write: None,
            unknown_seen: None,
            ended_workers: BTreeMap::new(),
            former_orders: HashMap::new(),
            draining: BTreeMap::new(),
            zones: Zones::default(),
            reserved: BTreeSet::new(),
            unplaceable: Vec::new(),
            has_background: false,
            durations: Durations::default(),
            message_loss: MessageLoss::default(),
            save_queue: SaveQueue::default(),
            finished: BTreeSet::new(),
            deposed: false,
            counts: Counts::default(),
            starts: ByLateness::default(),
            unblocking_logged: earlier == 0,
            vanished: BTreeMap::new(),
            crashing: Vec::new(),
            crash_suspects: BTreeSet::new(),
            accounts: None,
            tolerated_losses: 0,
            outages: Vec::new(),
            arrived: Vec::new(),
        }
    }

    /// Limits what client accounts may have running.
    pub(crate) fn set_accounts(&mut self, accounts: PoolAccounts) {
        self.accounts = Some(accounts);
    }

    /// Sets how many availability zones may be lost at once.
    pub(crate) fn set_tolerated_losses(&mut self, zones: u32) {
        self.tolerated_losses = zones;
    }

    /// The limits of client accounts in the pool.
    pub(crate) fn accounts_mut(&mut self) -> Option<&mut PoolAccounts> {
        self.accounts.as_mut()
    }

    /// Whether a worker has reported a later owner.
    pub(crate) fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the counts since the last call.
    pub(crate) fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Sets the time up to which the store has confirmed that there is no later owner.
    pub(crate) fn set_confirmed(&mut self, confirmed: Steady) {
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Whether something waits for the store to confirm that there is no later owner: runs at
    /// silent workers that have expired, or the end of the time in which an earlier owner's runs
    /// may be unseen. Anything else is confirmed within 1 s, by the writes of the number of waiting
    /// jobs.
    pub(crate) fn awaits_confirmation(&self, now: Steady) -> bool {
        let has_expired = |worker: &Worker| {
            let is_pending = worker.missed_polls != 0 && !worker.has_lapsed(self.confirmed);
            is_pending && worker.has_lapsed(now) && !worker.runs.is_empty()
        };
        let is_pending = |until: &Steady| self.confirmed < *until && *until <= now;
        let mut fences = self.inherited_expiry.values().chain([&self.fenced_until]);
        fences.any(is_pending) && !self.unblocking_logged || self.workers.values().any(has_expired)
    }

    /// Processes an event.
    pub(crate) fn handle(&mut self, event: Event, now: Now, out: &mut Vec<Effect>) {
        match event {
            Event::Job(stored) => self.add_job(stored),
            Event::Removed(id) => {
                self.ended.remove(&id);
                self.forget_ends(id);
            }
            Event::JobOver(id) => self.forget_ends(id),
            Event::Cancelled(id) => self.cancel_job(id, now.steady, out),
            Event::Worker(report) => self.note_listed(report, now.steady),
            Event::OtherPool(report) => {
                // No incarnation changes its pool.
                if let Some(worker) = self.workers.get_mut(&report.id) {
                    worker.block(now.steady);
                }
                self.unlist_others(&report.id, now.steady);
                self.poll_conflicting(&report, now.steady);
            }
            Event::InvalidEntry(id) => self.incarnations(&id).for_each(|one| one.block(now.steady)),
            Event::Unlisted(id) => {
                self.incarnations(&id).for_each(|one| one.unlist(now.steady));
                self.forget_ended_reports(&id);
            }
            Event::Started { worker, task, run, end } => {
                self.note_start_result(&worker, task, run, end, now.steady);
            }
            Event::Stopped { worker, task, run, end } => {
                self.note_stop_result(&worker, task, run, end, now.steady);
            }
            Event::Polled { worker, sent, end } => {
                self.note_poll_result(&worker, sent, end, now, out)
            }
            Event::Throttled { worker, task, percent, end } => {
                self.note_throttle_result(&worker, task, percent, &end);
            }
            Event::Advised { step, asked, sent, end } => {
                self.note_tickets(step, asked, sent, end, now.steady);
            }
        }
    }

    /// Requests the polls, stops and starts that are due.
    pub(crate) fn tick(&mut self, now: Now, out: &mut Vec<Effect>) {
        self.ticked = now.steady;
        self.unsettled.expire(now.steady);
        self.update_outages(now.steady);
        self.remove_expired_runs(now.steady);
        self.give_up_crashing(now, out);
        self.send_polls(now.steady, out);
        self.drain(now.steady, out);
        self.evacuate(now.steady, out);
        self.plan(now, out);
    }

    /// Sets the hosts to be drained.
    pub(crate) fn set_draining(&mut self, hosts: BTreeMap<HostId, Revision>) {
        self.draining = hosts;
    }

    /// Sets the drain mark of a host, by its revision, or removes it.
    pub(crate) fn set_drain_mark(&mut self, host: &HostId, mark: Option<Revision>) {
        match mark {
            Some(mark) => self.draining.insert(host.clone(), mark),
            None => self.draining.remove(host),
        };
    }

    /// The number of jobs whose progress waits to be written.
    pub(crate) fn unsaved_count(&self) -> usize {
        self.save_queue.len()
    }

    /// Takes the progress to be written, of at most `limit` jobs. The caller reports the result of
    /// the writes: until then, none of these jobs is returned again.
    pub(crate) fn take_saves(&mut self, limit: usize) -> Vec<ProgressWrite> {
        let jobs = self.save_queue.take(limit);
        jobs.into_iter().filter_map(|id| self.progress_write(id)).collect()
    }

    fn progress_write(&mut self, id: JobId) -> Option<ProgressWrite> {
        let Some(job) = self.jobs.get(&id).filter(|job| job.is_dirty()) else {
            self.save_queue.finish(id);
            return None;
        };
        let value = serde_json::to_vec(&job.progress())
            .inspect_err(|error| log::error!("job {id}: progress cannot be serialized: {error}"))
            .ok()?;
        Some(ProgressWrite {
            job: id,
            value: value.into(),
            expected_revision: job.progress_revision,
            version: job.version,
        })
    }

    /// Records that progress is durable at a revision; returns the ends of jobs that it contains.
    pub(crate) fn note_saved(
        &mut self,
        writes: &[ProgressWrite],
        revision: Revision,
    ) -> Vec<JobEnd> {
        let mut ends = Vec::new();
        for write in writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                job.durable_version = job.durable_version.max(write.version);
                job.progress_revision = revision;
                if !job.is_dirty() {
                    ends.extend(job.job_end());
                    self.settled.insert(write.job);
                }
            }
        }
        self.requeue_unsaved(writes);
        for worker in self.workers.values_mut() {
            acknowledge(worker, &self.jobs);
        }
        self.forget_ended();
        ends
    }

    /// Records that progress was not written, or not for certain.
    pub(crate) fn note_save_failed(&mut self, writes: &[ProgressWrite]) {
        self.requeue_unsaved(writes);
    }

    /// Queues those again whose durable state is out of date.
    fn requeue_unsaved(&mut self, writes: &[ProgressWrite]) {
        for write in writes {
            self.save_queue.finish(write.job);
            if let Some(job) = self.jobs.get(&write.job).filter(|job| job.is_dirty()) {
                self.save_queue.add(write.job, job.state.is_final());
            }
        }
    }

    /// Sets the revision of a job's stored progress, which differs from the expected one because an
    /// earlier write without an answer did take effect.
    pub(crate) fn rebase(&mut self, job: JobId, revision: Revision) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.progress_revision = revision;
        }
    }

    /// Forgets the jobs that are over and have no runs, of those that have changed so since the last
    /// call: it is made for each answer of a worker, and others are not looked at.
    fn forget_ended(&mut self) {
        for id in std::mem::take(&mut self.settled) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let durable = job.state.is_final() && !job.is_dirty();
            let is_over = durable || job.cancelled;
            let mut tasks = job.steps.values().flat_map(|step| &step.tasks);
            if !is_over || tasks.any(|task| !task.runs.is_empty()) {
                continue;
            }
            self.jobs.remove(&id);
            self.ended.insert(id);
            if durable {
                self.finished.insert(id);
            }
        }
    }

    /// Takes at most `limit` jobs whose records can be removed, since their end is durable.
    pub(crate) fn take_finished(&mut self, limit: usize) -> Vec<JobId> {
        let taken: Vec<JobId> = self.finished.iter().take(limit).copied().collect();
        for id in &taken {
            self.finished.remove(id);
        }
        taken
    }

    /// Records that the records of some jobs may still be there.
    pub(crate) fn note_removal_failed(&mut self, jobs: Vec<JobId>) {
        self.finished.extend(jobs);
    }

    fn add_job(&mut self, stored: StoredJob) {
        let ended = stored.progress.as_ref().is_some_and(|progress| progress.state.is_final());
        if ended {
            self.finished.insert(stored.id);
        }
        // Runs of unknown jobs are stopped wherever a poll finds them.
        let known = self.jobs.contains_key(&stored.id) || self.ended.contains(&stored.id);
        if ended || stored.cancelled {
            self.ended.insert(stored.id);
            self.forget_ends(stored.id);
        }
        if ended || stored.cancelled || known {
            return;
        }
        let earlier = stored.revision.0 < self.token;
        let first_run = if earlier { self.first_run } else { 0 };
        let id = stored.id;
        let mut job = Job::new(stored, first_run);
        if !earlier {
            let tasks = job.steps.values_mut().flat_map(|step| &mut step.tasks);
            tasks.for_each(|task| task.location_known = true);
        }
        self.has_background |= job.record.steps.iter().any(|step| step.background);
        self.crash_suspects.extend(job.tasks_with_losses());
        self.note_arrival(job.record.accepted, id);
        self.jobs.insert(id, job);
    }

    fn cancel_job(&mut self, id: JobId, now: Steady, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.cancelled = true;
        self.settled.insert(id);
        self.stop_all(id, now, out);
        self.forget_ended();
    }

    /// Stops all runs of a job.
    fn stop_all(&mut self, id: JobId, now: Steady, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut runs = Vec::new();
        for ((time, step), tasks) in &job.steps {
            for (index, task) in tasks.tasks.iter().enumerate() {
                let of = crate::model::job::StepId { job: id, occurrence: *time, step: *step };
                let task_id = TaskId { of, index: index as u32 };
                runs.extend(task.runs.iter().map(|task_run| (task_id, task_run.worker.clone())));
            }
        }
        for (task, worker) in runs {
            self.stop_run(task, &worker, now, out);
        }
    }

    /// Orders a run to be stopped, unless that has been done.
    fn stop_run(&mut self, task: TaskId, at: &Incarnation, now: Steady, out: &mut Vec<Effect>) {
        let token = self.token;
        let Some(worker) = self.workers.get(at) else {
            return;
        };
        let to = worker.addressee(token);
        let Some(task_run) = self.run_mut(task, at) else {
            return;
        };
        if matches!(task_run.phase, Phase::Stopping | Phase::Stopped(_)) {
            return;
        }
        if task_run.phase == Phase::Announced {
            self.withdraw_start(task, at, now);
            return;
        }
        task_run.phase = Phase::Stopping;
        task_run.since = now;
        out.push(Effect::Stop { to, task, run: task_run.run });
    }

    /// Records that a run of a job has certainly begun. An ordered start proves nothing: it may be
    /// refused, or lost with its worker, and the job still waits.
    fn note_begun(&mut self, id: JobId) {
        if self.jobs.get_mut(&id).is_some_and(Job::begin) {
            self.save_queue.add(id, false);
        }
    }

    fn run_mut(&mut self, task: TaskId, at: &Incarnation) -> Option<&mut crate::jobs::job::Run> {
        let job = self.jobs.get_mut(&task.of.job)?;
        let task = job.task_mut(task.of, task.index)?;
        task.runs.iter_mut().find(|task_run| task_run.worker == *at)
    }

    /// Removes a run that certainly does not run any more.
    fn remove_run(
        &mut self,
        task: TaskId,
        at: &Incarnation,
        end_reason: RunEnd,
        now: Steady,
    ) -> Option<crate::jobs::job::Run> {
        let job = self.jobs.get_mut(&task.of.job)?;
        let (record, charge) = (job.record.clone(), job.step(task.of.step).charge());
        let is_open = job.is_open();
        let entry = job.task_mut(task.of, task.index)?;
        let index = entry.runs.iter().position(|task_run| task_run.worker == *at)?;
        let task_run = entry.runs.remove(index);
        if !is_open {
            self.settled.insert(task.of.job);
        }
        if let (Some(accounts), Some(account)) = (&mut self.accounts, &record.account) {
            let need = &record.steps[task.of.step as usize].need;
            accounts.release(account, need, task_run.adopted.is_some());
        }
        if !matches!(end_reason, RunEnd::Lapsed | RunEnd::WorkerTerminated)
            && entry.isolated_worker.is_some()
        {
            self.withdraw_isolated_retry(task);
        }
        let entry = self.task_mut(task)?;
        let previous =
            PreviousRun { worker: at.clone(), run: task_run.run, reason: end_reason, at: now };
        entry.previous = Some(Box::new(previous));
        self.release(at, task, &charge);
        Some(task_run)
    }

    /// Reserves the resources of a run at a worker.
    fn occupy(&mut self, at: &Incarnation, task: TaskId, run: u32, charge: &TaskResources) {
        if let Some(worker) = self.workers.get_mut(at) {
            self.free.remove(worker);
            worker.occupy(task, run, charge);
            self.free.add(worker);
        }
    }

    /// Releases the resources of a run at a worker.
    fn release(&mut self, at: &Incarnation, task: TaskId, charge: &TaskResources) {
        if let Some(worker) = self.workers.get_mut(at) {
            self.free.remove(worker);
            worker.release(task, charge);
            self.free.add(worker);
        }
    }

    fn note_listed(&mut self, report: WorkerReport, now: Steady) {
        if let Some(ended) = self.ended_workers.get_mut(&report.id) {
            ended.report = Some(report);
            return;
        }
        self.unlist_others(&report.id, now);
        if let Some(worker) = self.workers.get_mut(&report.id) {
            self.places.remove(&worker.report);
            self.free.remove(worker);
            worker.list(report, now);
            self.places.add(&worker.report);
            self.free.add(worker);
            return;
        }
        self.poll_conflicting(&report, now);
        self.track(Worker::new(report, now), now);
    }

    /// Schedules polls of the workers that have the host or address of a report. Reports do not
    /// show which of them is alive, since one may be written long after its worker has ended.
    fn poll_conflicting(&mut self, report: &WorkerReport, now: Steady) {
        for id in self.places.conflicting(report) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.next_poll = now;
            }
        }
    }

    /// Removes the workers that have answered at the address where another worker has answered a
    /// call, and the other incarnations of that one, if they were known when the call was sent. A
    /// report that names the same host proves nothing: another writer may have written it.
    fn supersede(&mut self, by: &Incarnation, sent: Steady, now: Steady) {
        let Some(report) = self.workers.get(by).map(|worker| &worker.report) else {
            return;
        };
        let host = report.host.clone();
        let is_over = |worker: &&Worker| {
            let is_other = worker.report.id.worker != by.worker;
            is_other && worker.has_answered && worker.was_known(sent)
        };
        let there = self.places.at_address(&report.address);
        let others = there.filter_map(|id| self.workers.get(id)).filter(is_over);
        let others: Vec<Incarnation> = others.map(|w| w.report.id.clone()).collect();
        for id in others {
            self.remove_ended_worker(&id, "another worker has answered at its address", now);
        }
        let is_earlier = |one: &&mut Worker| one.report.id != *by && one.was_known(sent);
        let earlier = self.incarnations(&by.worker).filter(is_earlier);
        let earlier: Vec<Incarnation> = earlier.map(|one| one.report.id.clone()).collect();
        for id in earlier {
            self.replace_incarnation(&id, by, now);
        }
        self.note_answer_on(&host, by, sent, now);
    }

    /// Removes a worker that has certainly ended, and with it all that ran there.
    fn remove_ended_worker(&mut self, id: &Incarnation, reason: &str, now: Steady) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        log::info!("worker {id}: ended: {reason}; {} runs lost with it", worker.runs.len());
        for LostRun { task, .. } in self.note_worker_loss(id, now) {
            self.remove_run(task, id, RunEnd::WorkerTerminated, now);
        }
        self.remove_crashed_worker(id, now);
        self.ended_workers.insert(id.clone(), EndedWorker::new(now));
    }
}

/// Delay after an order that never left its node until the next is sent, in milliseconds: by then
/// another node makes the worker's calls.
const UNSENT_RETRY_MS: u64 = 20;

/// Raises the highest end that may be acknowledged, as far as the counts of ends are durable.
fn acknowledge(worker: &mut Worker, jobs: &Table<JobId, Job>) {
    while let Some(end) = worker.unacknowledged.front() {
        let durable = |version| jobs.get(&end.job).is_none_or(|job| version <= job.durable_version);
        if !end.version.is_some_and(durable) {
            return;
        }
        worker.acknowledged = end.number;
        worker.unacknowledged.pop_front();
    }
}
