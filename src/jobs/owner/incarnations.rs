//! Workers that start again under their name: which incarnation is alive, and what may still happen
//! to orders to the previous one.
//!
//! An order names the worker only. An order that was sent to an incarnation may be carried out by
//! the next one, seconds later. The next incarnation has received no fencing token, has no record
//! of stopped runs, and its clock has restarted. So it gets a token of its own before it gets work:
//! the revision of the write that lists it in the roster. It is above the tokens of all orders to
//! earlier incarnations, and below that of every later owner. Once the worker has answered an order
//! with this token, it refuses those earlier orders.

use super::Owner;
use crate::{
    jobs::{
        job::{Phase, Run},
        roster::Holding,
        run_end::RunEnd,
        worker::{RestartFence, Worker},
    },
    model::{
        id::{Incarnation, StartTime, WorkerId},
        job::TaskId,
        unit::Steady,
        worker::WorkerReport,
    },
};

impl Owner {
    /// The tracked incarnations of a worker: at most one of them is alive.
    pub(super) fn incarnations<'a>(
        &'a mut self,
        worker: &'a WorkerId,
    ) -> impl Iterator<Item = &'a mut Worker> {
        let first = Incarnation::new(worker.clone(), None);
        let from_first = self.workers.range_mut(first..).map(|(_, incarnation)| incarnation);
        from_first.take_while(move |incarnation| incarnation.report.id.worker == *worker)
    }

    /// Records that the store lists no incarnation of a worker.
    pub(super) fn forget_ended_reports(&mut self, worker: &WorkerId) {
        let first = Incarnation::new(worker.clone(), None);
        let from_first = self.ended_workers.range_mut(first..);
        let ended = from_first.take_while(|(id, _)| id.worker == *worker);
        ended.for_each(|(_, ended)| ended.report = None);
    }

    /// Begins to track an incarnation, however it became known: by its entry in the store, by the
    /// roster of an earlier owner, or by an answer.
    pub(super) fn track(&mut self, mut worker: Worker, now: Steady) {
        // Polls that were sent in this millisecond were sent before it was known.
        if self.last_polls == Some(now) {
            worker.known_since = now.after(1);
        }
        let id = &worker.report.id;
        worker.rostered =
            self.roster.holding(id) == Some(&Holding::Any) && !self.roster.may_be_expiring(id);
        if let Some(former) = self.former_orders.get(&worker.report.id.worker) {
            worker.follow(former);
            if !worker.rostered {
                worker.restart_fence = RestartFence::Needed;
            }
        }
        self.places.add(&worker.report);
        self.free.add(&worker);
        self.workers.insert(worker.report.id.clone(), worker);
    }

    /// Records that the store lists an incarnation under its worker's name, and so no other one.
    pub(super) fn unlist_others(&mut self, listed: &Incarnation, now: Steady) {
        for other in self.incarnations(&listed.worker) {
            if other.report.id != *listed {
                other.unlist(now);
            }
        }
    }

    /// Records that an incarnation other than the called one has answered.
    pub(super) fn note_answer_by(
        &mut self,
        called: &Incarnation,
        started: StartTime,
        sent: Steady,
        now: Steady,
    ) {
        let by = Incarnation::new(called.worker.clone(), Some(started));
        if self.ended_workers.get_mut(&by).is_some_and(|ended| !ended.is_contradicted(sent)) {
            log::warn!("worker {called}: answer ignored: it is from {by}, which has ended");
            return;
        }
        let Some(worker) = self.workers.get(called) else {
            return;
        };
        if !self.workers.contains_key(&by) {
            let report = WorkerReport { id: by.clone(), leaves_ms: None, ..worker.report.clone() };
            let mut next = Worker::new(report, now);
            // Its labels and resources may differ: it gets no work before its own entry is listed.
            next.block(now);
            self.track(next, now);
            if let Some(ended) = self.ended_workers.remove(&by) {
                log::error!("worker {by}: answers, though it was taken for ended");
                ended.report.into_iter().for_each(|report| self.note_listed(report, now));
            }
        }
        self.replace_incarnation(called, &by, now);
    }

    /// Replaces an incarnation that has ended by a later one.
    pub(super) fn replace_incarnation(
        &mut self,
        old: &Incarnation,
        new: &Incarnation,
        now: Steady,
    ) {
        self.withdraw_starts(old, now);
        let Some(previous) = self.workers.get(old) else {
            return;
        };
        let had_orders = previous.has_reported;
        let mut former = FormerOrders::default();
        former.add(previous, now);
        let holding = self.roster.holding(old).or(previous.earlier_tasks.as_ref()).cloned();
        let possibly_begun = self.possibly_begun_at_next(previous);
        match old.born {
            Some(_) => {
                self.counts.worker_restarts += 1;
                self.remove_ended_worker(old, &format!("it has started again as {new}"), now);
            }
            None => self.identify(old, new, now),
        }
        for (task, run) in possibly_begun {
            self.assign_run(task, run, new, now);
        }
        if let Some(worker) = self.workers.get_mut(new) {
            worker.follow(&former);
            if !worker.reported_all {
                worker.earlier_tasks = holding;
            }
            if had_orders && !worker.rostered {
                worker.restart_fence = RestartFence::Needed;
            }
            worker.next_poll = now;
        }
    }

    /// Runs whose starts may have been carried out by the next incarnation: those that this one has
    /// not listed. An incarnation without a start time is presumably the same one.
    fn possibly_begun_at_next(&self, worker: &Worker) -> Vec<(TaskId, u32)> {
        let id = &worker.report.id;
        let is_unlisted = |(task, _): &(&TaskId, &u32)| {
            let entry = self.jobs.get(&task.of.job).and_then(|job| job.task(task.of, task.index));
            let mut task_runs = entry.into_iter().flat_map(|entry| &entry.runs);
            id.born.is_none()
                || task_runs.any(|task_run| task_run.worker == *id && !task_run.listed)
        };
        let runs = worker.runs.iter().filter(is_unlisted);
        runs.map(|(task, run)| (*task, *run)).collect()
    }

    /// Replaces a worker without a start time by the same one with its start time.
    fn identify(&mut self, old: &Incarnation, new: &Incarnation, now: Steady) {
        log::info!("worker {old}: identified as {new}");
        let tasks: Vec<TaskId> = self.workers[old].runs.keys().copied().collect();
        for task in tasks {
            self.remove_run(task, old, RunEnd::WorkerTerminated, now);
        }
        if let Some(worker) = self.workers.remove(old) {
            self.places.remove(&worker.report);
            self.free.remove(&worker);
        }
        self.ended_workers.insert(old.clone(), EndedWorker::new(now));
    }

    /// Assigns a run to a worker that may have begun it, or still may.
    fn assign_run(&mut self, task: TaskId, run: u32, at: &Incarnation, now: Steady) {
        let Some(job) = self.jobs.get_mut(&task.of.job) else {
            return;
        };
        let (record, charge) = (job.record.clone(), job.step(task.of.step).charge());
        let Some(entry) = job.task_mut(task.of, task.index) else {
            return;
        };
        if entry.runs.iter().any(|task_run| task_run.worker == *at) {
            return;
        }
        entry.runs.push(Run::new(at.clone(), run, Phase::Unknown, now));
        self.occupy_limit(&record, task, false);
        self.occupy(at, task, run, &charge);
        if let Some(worker) = self.workers.get_mut(at) {
            worker.urgent_poll = true;
        }
    }
}

/// The record of a worker that has ended.
#[derive(Debug)]
pub(super) struct EndedWorker {
    /// When it was found to have ended.
    since: Steady,
    /// The newest call after that which it seems to have answered.
    answered: Option<Steady>,
    /// Its entry in the store, if that was listed since.
    pub(super) report: Option<WorkerReport>,
}

impl EndedWorker {
    pub(super) fn new(now: Steady) -> EndedWorker {
        EndedWorker { since: now, answered: None, report: None }
    }

    /// Records an answer of the worker to a call sent at that time. Returns whether the worker is
    /// alive after all: it has answered two calls that were sent after it was found to have ended.
    fn is_contradicted(&mut self, sent: Steady) -> bool {
        if sent <= self.since {
            return false;
        }
        self.answered.replace(sent).is_some_and(|earlier| earlier < sent)
    }
}

/// What matters to the next incarnation of the orders to earlier ones.
#[derive(Debug, Default)]
pub(super) struct FormerOrders {
    /// The highest fencing token of these orders where it was not the owner's, else 0.
    fencing_token: u64,
    /// Until when one that acknowledges ends may still be carried out.
    late_ack_until: Steady,
}

impl FormerOrders {
    /// Adds the orders to an incarnation.
    pub(super) fn add(&mut self, worker: &Worker, now: Steady) {
        self.fencing_token = self.fencing_token.max(worker.fencing_token());
        self.late_ack_until = self.late_ack_until.max(worker.late_ack_end(now));
    }
}

impl Worker {
    /// Records the orders to earlier incarnations. A worker's fencing token only rises.
    fn follow(&mut self, former: &FormerOrders) {
        self.advance_fencing_token(former.fencing_token);
        self.late_ack_until = self.late_ack_until.max(former.late_ack_until);
    }
}
