//! Tasks that crash the workers that start them.
//!
//! No worker lists the end of a run that was lost with its worker. So the lost workers are counted
//! here and persisted with the job, across changes of owner. All runs of a worker are lost with it,
//! and most of them are not the cause. So only a task whose run had just begun is a suspect. Its
//! next run is an isolated retry: nothing else begins beside it until it is stable. If that worker
//! is lost as well, the task is the cause.

use std::collections::BTreeSet;

use super::{Owner, Vanished};
use crate::{
    jobs::{
        event::Effect,
        job::Task,
        roster::Holding,
        worker::{DoubtfulLoss, ISOLATED_RETRY_POLL_MS, LostRun, RestartFence, STABLE_MS, Worker},
    },
    model::{
        id::{HostId, Incarnation},
        job::{JobState, TaskId},
        unit::{Now, Steady},
        worker::PollResponse,
    },
};

/// A task is given up once this many workers have crashed under it, the last of them in an isolated
/// retry.
const GIVE_UP_CRASHES: usize = 2;

/// A task with a run that was observed for this long, in milliseconds, does not crash the workers
/// that start it.
const CLEARED_MS: u64 = 10_000;

/// Delay of a task whose run was lost with a worker a second time, in milliseconds: by then it is
/// known for most silent workers whether they have crashed. Their entries in the store expire after
/// 4.5 s of silence, about a second after their runs have expired.
const SECOND_LOSS_PAUSE_MS: u64 = 2_000;

impl Owner {
    /// Records that a worker is lost with all its runs, certainly or presumably; returns the runs.
    pub(super) fn note_worker_loss(&mut self, id: &Incarnation, now: Steady) -> Vec<LostRun> {
        self.withdraw_starts(id, now);
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let runs = worker.runs.keys();
        let mut lost: Vec<LostRun> = runs.map(|task| self.lost_run(worker, *task)).collect();
        let new = lost.iter().filter(|lost| lost.observed_ms < STABLE_MS).count();
        lost.iter_mut().for_each(|lost| lost.sole_suspect &= new == 1);
        // If some runs had only just begun, those that were stable are not the cause. Where many
        // tasks crash their workers, up to eighteen other runs are lost with each, and a sound
        // long-running task may be on four such workers within seconds.
        lost.iter_mut().for_each(|lost| lost.cleared |= new != 0 && STABLE_MS <= lost.observed_ms);
        self.clear_outage_losses(id, &mut lost);
        for lost in lost.iter().filter(|lost| lost.observed_ms < STABLE_MS) {
            self.count_worker_loss(id, lost, false, now);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lost_runs.extend(&lost);
        }
        lost
    }

    /// Describes a run that is lost with its worker.
    fn lost_run(&self, worker: &Worker, task: TaskId) -> LostRun {
        let entry = self.jobs.get(&task.of.job).and_then(|job| job.task(task.of, task.index));
        let mut task_runs = entry.into_iter().flat_map(|entry| &entry.runs);
        let task_run = task_runs.find(|task_run| task_run.worker == worker.report.id);
        let began = task_run.is_some_and(|task_run| task_run.began.is_some());
        let run = task_run.map_or(0, |task_run| task_run.run);
        let mut doubtful = worker.doubtful_losses.iter();
        LostRun {
            task,
            run,
            observed_ms: worker.observed_ms(task),
            began,
            listed: task_run.is_some_and(|task_run| task_run.listed),
            sole_suspect: began && task_run.is_some_and(|task_run| task_run.isolated),
            cleared: doubtful.any(|loss| loss.lost.task == task && loss.lost.run == run),
        }
    }

    /// Whether a worker was ordered to leave, or is being drained: its end proves nothing about its
    /// runs.
    pub(super) fn ends_as_planned(&self, worker: &Worker) -> bool {
        worker.report.leaves_ms.is_some() || self.draining.contains_key(&worker.report.host)
    }

    /// Removes a worker that is not listed and silent, but may be alive. Once another worker
    /// answers on its host, the runs lost with it have certainly ended with it.
    pub(super) fn remove_silent_worker(&mut self, id: &Incarnation, now: Steady) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let (host, known_since) = (worker.report.host.clone(), worker.known_since);
        let lost_runs = self.remove_worker(id, now);
        for lost in &lost_runs {
            self.count_worker_loss(id, lost, false, now);
            self.judge_isolated_retry(lost);
        }
        self.vanished.insert(host, Vanished { id: id.clone(), known_since, lost_runs });
    }

    /// Removes a worker that has certainly ended: the runs lost with it have ended with it.
    pub(super) fn remove_crashed_worker(&mut self, id: &Incarnation, now: Steady) {
        let lost_runs = self.remove_worker(id, now);
        self.note_crash(id, &lost_runs, now);
    }

    /// Records that a worker on a host has answered a call: a different worker that vanished there
    /// and was known when the call was sent has ended.
    pub(super) fn note_answer_on(
        &mut self,
        host: &HostId,
        by: &Incarnation,
        sent: Steady,
        now: Steady,
    ) {
        let is_settled = |vanished: &Vanished| vanished.id == *by || vanished.known_since <= sent;
        if !self.vanished.get(host).is_some_and(is_settled) {
            return;
        }
        if let Some(vanished) = self.vanished.remove(host).filter(|vanished| vanished.id != *by) {
            self.note_crash(&vanished.id, &vanished.lost_runs, now);
        }
    }

    /// Removes a worker; returns the runs lost with it unless it ended as planned.
    fn remove_worker(&mut self, id: &Incarnation, now: Steady) -> Vec<LostRun> {
        let persisted = self.roster.holding(id).cloned();
        let Some(worker) = self.workers.remove(id) else {
            return Vec::new();
        };
        self.places.remove(&worker.report);
        self.free.remove(&worker);
        if id.born.is_some() {
            self.former_orders.entry(id.worker.clone()).or_default().add(&worker, now);
        }
        if let Some(next) = self.incarnations(&id.worker).next() {
            next.doubtful_losses.extend(worker.doubtful_losses.iter().cloned());
        }
        let planned = self.ends_as_planned(&worker);
        let mut lost = worker.lost_runs;
        if planned {
            lost.clear();
        }
        // The tasks that an earlier owner persisted for a worker that has not answered this one.
        if let (false, Some(Holding::Only(tasks))) = (worker.reported_all, persisted) {
            let mut unobserved: Vec<LostRun> = tasks.into_iter().map(LostRun::unobserved).collect();
            self.clear_outage_losses(id, &mut unobserved);
            lost.extend(unobserved);
        }
        lost
    }

    /// Records that a worker has certainly ended, with the runs lost there. A loss is doubtful if
    /// the next incarnation may have carried out the start instead.
    fn note_crash(&mut self, id: &Incarnation, lost: &[LostRun], now: Steady) {
        for lost in lost {
            let next = self.incarnations(&id.worker).next();
            match next.filter(|_| !lost.listed && !lost.cleared) {
                Some(next) => {
                    let loss = DoubtfulLoss { worker: id.clone(), lost: *lost, since: now };
                    next.doubtful_losses.push(loss);
                    self.count_worker_loss(id, lost, false, now);
                }
                None => self.confirm_loss(id, lost, now),
            }
        }
    }

    /// Counts a loss that is as certain as the beginning of its run.
    fn confirm_loss(&mut self, id: &Incarnation, lost: &LostRun, now: Steady) {
        self.count_worker_loss(id, lost, lost.began, now);
        self.judge_isolated_retry(lost);
    }

    /// Decides the doubtful losses of earlier incarnations by what a worker lists: one start can
    /// crash at most one incarnation.
    pub(super) fn decide_doubtful_losses(
        &mut self,
        id: &Incarnation,
        response: &PollResponse,
        sent: Steady,
        now: Steady,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let refuses_earlier = worker.restart_fence == RestartFence::Clear;
        let complete = response.lists_all_ends();
        for loss in std::mem::take(&mut worker.doubtful_losses) {
            let DoubtfulLoss { worker: earlier, lost, since } = &loss;
            let start = (lost.task, lost.run);
            let is_present = response.present.iter().any(|run| (run.task, run.run) == start);
            if is_present || response.ended.iter().any(|end| (end.task, end.run) == start) {
                self.change_worker_losses(lost.task, |entry| {
                    let is_new = entry.unconfirmed_crashes.remove(earlier);
                    entry.suspect &= entry.lost_workers() != 0;
                    is_new
                });
            } else if complete && *since < sent && (lost.began || refuses_earlier) {
                self.confirm_loss(earlier, lost, now);
            } else if let Some(worker) = self.workers.get_mut(id) {
                worker.doubtful_losses.push(loss);
            }
        }
    }

    /// Changes which workers count as lost with the runs of a task, and queues the change to be
    /// persisted if there was one; returns whether there was.
    fn change_worker_losses(
        &mut self,
        task: TaskId,
        change: impl FnOnce(&mut Task) -> bool,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.of.job) else {
            return false;
        };
        let version = job.version + 1;
        let Some(entry) = job.task_mut(task.of, task.index) else {
            return false;
        };
        if !change(entry) {
            return false;
        }
        entry.crash_version = version;
        job.bump_version();
        self.save_queue.add(task.of.job, false);
        self.crash_suspects.insert(task);
        true
    }

    /// Counts a worker that was lost with a run, once; as crashed if `certain`.
    fn count_worker_loss(&mut self, id: &Incarnation, lost: &LostRun, certain: bool, now: Steady) {
        let LostRun { task, run, observed_ms, cleared, .. } = *lost;
        let is_open = self.jobs.get(&task.of.job).is_some_and(|job| job.is_open());
        if !is_open || cleared || CLEARED_MS <= observed_ms {
            return;
        }
        let mut so_far = (0, 0);
        let is_new = self.change_worker_losses(task, |entry| {
            if entry.done || entry.crashed.contains(id) {
                return false;
            }
            // A worker with an isolated retry counts as unconfirmed already.
            let is_isolated = entry.isolated_worker.take_if(|at| at == id).is_some();
            if certain {
                entry.unconfirmed_crashes.remove(id);
                entry.crashed.insert(id.clone());
            } else if !entry.unconfirmed_crashes.insert(id.clone()) && !is_isolated {
                return false;
            }
            entry.suspect |= observed_ms < STABLE_MS;
            if GIVE_UP_CRASHES <= entry.lost_workers() && !entry.unconfirmed_crashes.is_empty() {
                entry.not_before = entry.not_before.max(now.after(SECOND_LOSS_PAUSE_MS));
            }
            so_far = (entry.crashed.len(), entry.unconfirmed_crashes.len());
            true
        });
        if !is_new {
            return;
        }
        self.counts.crashes += u64::from(certain);
        let status = if certain { "crashed" } else { "lost" };
        let (crashed, unconfirmed) = so_far;
        log::info!(
            "job {}: task {task} run {run} at {id}: worker {status} under it after {observed_ms} ms: \
             {crashed} crashed, {unconfirmed} unconfirmed",
            task.of.job
        );
    }

    /// Gives up a task that has crashed the worker of its isolated retry, unless that was its first
    /// crash.
    fn judge_isolated_retry(&mut self, lost: &LostRun) {
        let job = self.jobs.get(&lost.task.of.job);
        let entry = job.and_then(|job| job.task(lost.task.of, lost.task.index));
        if lost.sole_suspect && entry.is_some_and(|entry| GIVE_UP_CRASHES <= entry.crashed.len()) {
            self.crashing.push(lost.task);
        }
    }

    /// Ends the jobs of tasks that crash their workers: they can never be done, and each further
    /// start ends all runs beside it.
    pub(super) fn give_up_crashing(&mut self, now: Now, out: &mut Vec<Effect>) {
        let jobs = &self.jobs;
        let entry = |task: &TaskId| {
            let job = jobs.get(&task.of.job).filter(|job| job.is_open())?;
            job.task(task.of, task.index).filter(|entry| !entry.done)
        };
        self.crash_suspects
            .retain(|task| entry(task).is_some_and(|entry| entry.lost_workers() != 0));
        // A worker that is still tracked may answer again, and then no longer counts as lost. Or its
        // list may show that an earlier incarnation does not.
        let decides = |worker: &Worker, id: &Incarnation| {
            let mut doubtful = worker.doubtful_losses.iter();
            worker.report.id == *id || doubtful.any(|loss| loss.worker == *id)
        };
        let is_awaited = |id: &Incarnation| {
            let mut answering = self.workers.values().filter(|w| !w.is_long_silent(now.steady));
            answering.any(|worker| decides(worker, id))
        };
        let is_open = |task: &Task| task.unconfirmed_crashes.iter().any(&is_awaited);
        let is_over = |task: &&TaskId| {
            entry(task).is_some_and(|entry| entry.is_lost_too_often() && !is_open(entry))
        };
        self.crashing.extend(self.crash_suspects.iter().filter(is_over));
        for task in std::mem::take(&mut self.crashing) {
            self.give_up_task(task, now, out);
        }
    }

    fn give_up_task(&mut self, task: TaskId, now: Now, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get_mut(&task.of.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(entry) = job.task(task.of, task.index).filter(|entry| !entry.done) else {
            return;
        };
        let names = |workers: &BTreeSet<Incarnation>| {
            workers.iter().map(Incarnation::to_string).collect::<Vec<String>>().join(", ")
        };
        log::warn!(
            "job {}: failed: task {task} crashes the workers that start it: [{}], unconfirmed [{}]",
            task.of.job,
            names(&entry.crashed),
            names(&entry.unconfirmed_crashes)
        );
        job.end(JobState::Failed, now);
        self.save_queue.add(task.of.job, true);
        self.counts.given_up += 1;
        self.stop_all(task.of.job, now.steady, out);
    }

    /// The worker at which an isolated retry of a task was announced, if that is durable and still
    /// valid.
    pub(super) fn announced_isolated_retry(
        &mut self,
        task: TaskId,
        now: Steady,
    ) -> Option<Incarnation> {
        let job = self.jobs.get(&task.of.job)?;
        let at = job.task(task.of, task.index)?.isolated_worker.clone()?;
        let (step, tasks) =
            (job.step(task.of.step), job.steps.get(&(task.of.occurrence, task.of.step))?);
        let ticketed = job.record.advice.is_some();
        let placer = self.task_placer(now);
        let takes = |worker: &Worker| {
            worker.isolated_task == Some(task) && placer.can_run(worker, step, tasks, ticketed)
        };
        if self.allows(task, &at) && self.workers.get(&at).is_some_and(takes) {
            return Some(at);
        }
        self.withdraw_isolated_retry(task);
        None
    }

    /// Persists that a suspect task is about to start at a worker, so that a later owner takes
    /// account of that worker's loss, and prevents other starts there. Returns whether the start
    /// must wait until that is durable, or until all runs there are stable. The first start after a
    /// single loss does not wait for the write: most such losses are not caused by the task.
    pub(super) fn announce_isolated_retry(
        &mut self,
        task: TaskId,
        at: &Incarnation,
        now: Steady,
    ) -> bool {
        let mut waits = false;
        let is_new = self.change_worker_losses(task, |entry| {
            if !entry.suspect || entry.isolated_worker.is_some() {
                return false;
            }
            waits = GIVE_UP_CRASHES <= entry.lost_workers();
            entry.isolated_worker = Some(at.clone());
            entry.unconfirmed_crashes.insert(at.clone());
            true
        });
        let Some(worker) = self.workers.get_mut(at) else {
            return waits;
        };
        if is_new {
            worker.isolated_task = Some(task);
        }
        if worker.isolated_task != Some(task) || worker.all_runs_stable() {
            return waits;
        }
        if is_new {
            worker.next_poll = now.after(ISOLATED_RETRY_POLL_MS);
            worker.urgent_poll = true;
        }
        true
    }

    /// Allows other starts again at workers whose isolated retry has ended, however it ended: its
    /// run or its job may have ended, or the task may have been done elsewhere.
    pub(super) fn end_isolated_retries(&mut self) {
        for (id, worker) in self.workers.iter_mut() {
            let jobs = &self.jobs;
            let is_over = |task: &mut TaskId| {
                let job = jobs.get(&task.of.job).filter(|job| job.is_open());
                let entry = job.and_then(|job| job.task(task.of, task.index));
                !entry.is_some_and(|entry| entry.is_isolated_at(id))
            };
            worker.isolated_task.take_if(is_over);
        }
    }

    /// Records that a worker was not lost with the isolated retry there, or that there is none.
    pub(super) fn withdraw_isolated_retry(&mut self, task: TaskId) {
        let mut isolated_worker = None;
        self.change_worker_losses(task, |entry| {
            isolated_worker = entry.isolated_worker.take();
            isolated_worker.as_ref().is_some_and(|at| entry.unconfirmed_crashes.remove(at))
        });
        if let Some(worker) = isolated_worker.and_then(|at| self.workers.get_mut(&at)) {
            worker.isolated_task.take_if(|isolated| *isolated == task);
        }
    }

    /// Records that a run continues.
    pub(super) fn note_run_alive(&mut self, id: &Incarnation, task: TaskId, now: Steady) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.note_begun(task, now);
        let observed_ms = worker.observed_ms(task);
        if self.crash_suspects.is_empty() || observed_ms < STABLE_MS {
            return;
        }
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.suspect = false;
        let task_run = entry.runs.iter_mut().find(|task_run| task_run.worker == *id);
        let was_isolated = task_run.is_some_and(|task_run| std::mem::take(&mut task_run.isolated));
        if was_isolated {
            log::info!("job {}: task {task} at {id}: no longer on trial", task.of.job);
            self.withdraw_isolated_retry(task);
        }
        // The task was suspected of crashing its workers but has not crashed this one: the earlier
        // losses had other causes.
        if was_isolated || CLEARED_MS <= observed_ms {
            self.change_worker_losses(task, |entry| {
                let is_new = entry.lost_workers() != 0;
                entry.crashed.clear();
                entry.unconfirmed_crashes.clear();
                is_new
            });
        }
    }

    /// Records that a worker is alive that may have been counted as crashed.
    pub(super) fn clear_crashes_at(&mut self, id: &Incarnation, was_lost: bool) {
        if !was_lost {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lost_runs.clear();
        }
        // Persisted by versions that did not record when workers started.
        let without_start = Incarnation::new(id.worker.clone(), None);
        for task in self.crash_suspects.clone() {
            self.change_worker_losses(task, |entry| {
                let is_new = entry.unconfirmed_crashes.remove(id)
                    | entry.unconfirmed_crashes.remove(&without_start);
                entry.suspect &= entry.lost_workers() != 0;
                is_new
            });
        }
    }
}
