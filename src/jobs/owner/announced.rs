//! Starts that are announced: persisted for the next owner before they are sent.
//!
//! The next incarnation of a worker may carry out a start that was sent to the one before. The next
//! owner must know of it, however this one ends: see [`crate::jobs::unsettled`]. Workers that never
//! start again under their name refuse such a start, and need no announcement.

use std::collections::BTreeMap;

use super::Owner;
use crate::{
    jobs::{
        event::Effect, job::Phase, run_end::RunEnd, start::eligible, unsettled::StartsByWorker,
        worker::Worker,
    },
    model::{
        id::Incarnation,
        job::{StepId, TaskId},
        order::Start,
        unit::Steady,
    },
};

/// A task, and the worker at which its start is announced.
pub(super) type Announced = (TaskId, Incarnation);

/// Whether an announced start can be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Readiness {
    Withdrawn,
    Waiting,
    Ready,
}

/// How long the starts in the store may differ from those that matter, in milliseconds: the next
/// owner binds the tasks of all that it finds there.
const STALE_STARTS_MS: u64 = 1_000;

impl Owner {
    /// Announces a start, or sends it at once to a worker that never starts again under its name.
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
    /// work any more. All members of a gang start together.
    pub(super) fn send_announced_starts(&mut self, now: Steady, out: &mut Vec<Effect>) {
        let announced = self.announced_starts.iter();
        let readiness =
            announced.map(|(key, start)| (key.clone(), self.readiness(key, start, now)));
        let readiness: Vec<(Announced, Readiness)> = readiness.collect();
        let gangs = readiness.iter().filter(|((task, _), _)| self.is_gang(task.of));
        let mut least_ready = BTreeMap::<StepId, Readiness>::new();
        for ((task, _), readiness) in gangs {
            let least = least_ready.entry(task.of).or_insert(*readiness);
            *least = (*least).min(*readiness);
        }
        for (key, readiness) in readiness {
            let (task, at) = &key;
            match least_ready.get(&task.of).copied().unwrap_or(readiness) {
                Readiness::Withdrawn => self.withdraw_start(*task, at, now),
                Readiness::Waiting => {}
                Readiness::Ready => {
                    if let Some(start) = self.announced_starts.remove(&key) {
                        self.send_start(at, start, now, out);
                    }
                }
            }
        }
    }

    fn readiness(&self, (task, at): &Announced, start: &Start, now: Steady) -> Readiness {
        let worker = self.workers.get(at).filter(|_| self.is_announced(*task, at));
        let may_start = |worker: &&Worker| {
            let is_drained = self.draining.contains_key(&worker.report.host);
            worker.may_get_work(now)
                && eligible::allows_zone(&self.zones, worker)
                && (!is_drained || self.is_long_running(task))
        };
        let Some(worker) = worker.filter(may_start) else {
            return Readiness::Withdrawn;
        };
        let persisted = self.persisted_starts.get(&at.worker);
        let is_durable = persisted.is_some_and(|starts| starts.contains(&(*task, start.run)));
        match is_durable && worker.takes_work(now) {
            true => Readiness::Ready,
            false => Readiness::Waiting,
        }
    }

    /// Whether all tasks of a step start together.
    pub(crate) fn is_gang(&self, of: StepId) -> bool {
        self.jobs.get(&of.job).is_some_and(|job| job.step(of.step).gang)
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

    /// Withdraws an announced start, which was never sent; for a gang, those of all members.
    pub(super) fn withdraw_start(&mut self, task: TaskId, at: &Incarnation, now: Steady) {
        let is_gang = self.is_gang(task.of);
        let is_withdrawn = |(other, worker): &&Announced| match is_gang {
            true => other.of == task.of,
            false => *other == task && worker == at,
        };
        let withdrawn = self.announced_starts.keys().filter(is_withdrawn);
        let withdrawn: Vec<Announced> = withdrawn.cloned().collect();
        for key in withdrawn {
            let is_expected = self.is_announced(key.0, &key.1);
            self.announced_starts.remove(&key);
            if is_expected {
                self.remove_run(key.0, &key.1, RunEnd::Unsent, now);
            }
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

    /// Whether the starts must be persisted now: one is announced that is not durable yet, or the
    /// record contains others for too long.
    pub(super) fn must_persist_starts(&mut self, wanted: &StartsByWorker) -> bool {
        if *wanted == self.persisted_starts {
            self.stale_starts_since = None;
            return false;
        }
        let since = *self.stale_starts_since.get_or_insert(self.ticked);
        STALE_STARTS_MS <= self.ticked.since(since)
            || self.announced_starts.iter().any(|((task, at), start)| {
                let persisted = self.persisted_starts.get(&at.worker);
                !persisted.is_some_and(|starts| starts.contains(&(*task, start.run)))
            })
    }
}
