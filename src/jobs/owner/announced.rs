//! Starts that are announced: persisted for the next owner before they are sent.
//!
//! The next incarnation of a worker may carry out a start that was sent to the one before. The next
//! owner must know of it, however this one ends: see [`crate::jobs::unsettled`]. Workers that never
//! start again under their name refuse such a start, and need no announcement.

use super::Owner;
use crate::{
    jobs::{event::Effect, job::Phase, run_end::RunEnd, unsettled::StartsByWorker},
    model::{id::Incarnation, job::TaskId, order::Start, unit::Steady},
};

impl Owner {
    /// Announces a start, or sends it at once if it needs no announcement.
    pub(super) fn announce_start(
        &mut self,
        at: &Incarnation,
        start: Start,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        if at.born.is_none() {
            self.send_start(at, start, now, out);
        } else {
            self.announced_starts.insert((start.task, at.clone()), start);
        }
    }

    /// Sends the starts whose announcements are durable, and withdraws those whose worker gets no
    /// work any more.
    pub(super) fn send_announced_starts(&mut self, now: Steady, out: &mut Vec<Effect>) {
        let announced: Vec<(TaskId, Incarnation)> = self.announced_starts.keys().cloned().collect();
        for (task, at) in announced {
            let key = (task, at);
            let Some(start) = self.announced_starts.get(&key) else {
                continue;
            };
            let (task, at) = &key;
            let is_durable = self
                .persisted_starts
                .get(&at.worker)
                .is_some_and(|starts| starts.contains(&(*task, start.run)));
            let is_expected = self.is_announced(*task, at);
            let worker = self.workers.get(at).filter(|_| is_expected);
            let Some(worker) = worker.filter(|worker| worker.may_get_work(now)) else {
                self.withdraw_start(*task, at, now);
                continue;
            };
            if is_durable
                && worker.takes_work(now)
                && let Some(start) = self.announced_starts.remove(&key)
            {
                self.send_start(&key.1, start, now, out);
            }
        }
    }

    fn is_announced(&self, task: TaskId, at: &Incarnation) -> bool {
        let entry = self.jobs.get(&task.of.job).and_then(|job| job.task(task.of, task.index));
        let mut task_runs = entry.into_iter().flat_map(|entry| &entry.runs);
        task_runs.any(|task_run| task_run.worker == *at && task_run.phase == Phase::Announced)
    }

    fn send_start(
        &mut self,
        at: &Incarnation,
        mut start: Start,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        let (task, token) = (start.task, self.token);
        let Some(worker) = self.workers.get_mut(at) else {
            return;
        };
        let Some(until_ms) = worker.extend_lease(now) else {
            self.remove_run(task, at, RunEnd::Unsent, now);
            return;
        };
        start.until_ms = until_ms;
        let to = worker.addressee(token);
        worker.expect_isolated_retry(task, now);
        if let Some(task_run) = self.run_mut(task, at) {
            task_run.phase = Phase::Starting;
            task_run.since = now;
        }
        if at.born.is_some() {
            self.unsettled.note_sent(&at.worker, task, start.run);
        }
        out.push(Effect::Start { to, start });
    }

    /// Withdraws all starts announced at a worker.
    pub(super) fn withdraw_starts(&mut self, at: &Incarnation, now: Steady) {
        let here = self.announced_starts.keys().filter(|(_, worker)| worker == at);
        let here: Vec<TaskId> = here.map(|(task, _)| *task).collect();
        for task in here {
            self.withdraw_start(task, at, now);
        }
    }

    /// Withdraws an announced start, which was never sent.
    pub(super) fn withdraw_start(&mut self, task: TaskId, at: &Incarnation, now: Steady) {
        let is_expected = self.is_announced(task, at);
        if self.announced_starts.remove(&(task, at.clone())).is_some() && is_expected {
            self.remove_run(task, at, RunEnd::Unsent, now);
        }
    }

    /// The starts to be persisted: those that may be carried out, and those that are announced.
    pub(super) fn starts_to_persist(&self) -> StartsByWorker {
        let mut starts = self.unsettled.by_worker();
        for ((task, at), start) in &self.announced_starts {
            starts.entry(at.worker.clone()).or_default().insert((*task, start.run));
        }
        starts
    }

    /// Whether an announced start is not durable yet.
    pub(super) fn has_unpersisted_starts(&self) -> bool {
        self.announced_starts.iter().any(|((task, at), start)| {
            let persisted = self.persisted_starts.get(&at.worker);
            !persisted.is_some_and(|starts| starts.contains(&(*task, start.run)))
        })
    }
}
