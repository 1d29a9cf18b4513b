//! Evacuated availability zones: what still runs there, and which long-running tasks are moved.

use std::collections::BTreeMap;

use super::Owner;
use crate::{
    jobs::{
        event::Effect,
        job::{Phase, Run, Task},
        worker::Worker,
    },
    model::{
        id::{Incarnation, ZoneId},
        job::TaskId,
        unit::Steady,
        zone::Zones,
    },
};

/// What a pool has in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ZoneUse {
    pub(crate) workers: usize,
    /// Runs of tasks that end by themselves.
    pub(crate) short: usize,
    pub(crate) long_running: usize,
}

impl ZoneUse {
    pub(crate) fn add(&mut self, other: ZoneUse) {
        self.workers += other.workers;
        self.short += other.short;
        self.long_running += other.long_running;
    }
}

impl Owner {
    /// Sets what is known of availability zones; to be called before each tick.
    pub(crate) fn set_zones(&mut self, zones: &Zones) {
        if self.zones != *zones {
            self.zones = zones.clone();
        }
    }

    /// The zone of a worker.
    pub(crate) fn zone_of(&self, worker: &Incarnation) -> Option<&ZoneId> {
        self.workers.get(worker).map(|worker| &worker.report.zone)
    }

    /// What the pool has in each zone.
    pub(crate) fn zone_uses(&self) -> BTreeMap<&ZoneId, ZoneUse> {
        let mut uses = BTreeMap::<&ZoneId, ZoneUse>::new();
        for worker in self.workers.values() {
            let zone_use = uses.entry(&worker.report.zone).or_default();
            zone_use.workers += 1;
            let long_running = worker.runs.keys().filter(|task| self.is_long_running(task)).count();
            zone_use.long_running += long_running;
            zone_use.short += worker.runs.len() - long_running;
        }
        uses
    }

    /// Stops long-running tasks in evacuated zones that can start elsewhere at once. Short tasks
    /// end by themselves.
    pub(super) fn evacuate(&mut self, now: Steady, out: &mut Vec<Effect>) {
        if self.zones.evacuated.is_empty() || self.zones.outdated {
            return;
        }
        let evacuated = |worker: &&Worker| self.zones.is_evacuated(&worker.report.zone);
        let workers = self.workers.values().filter(evacuated);
        let mut there: Vec<(bool, TaskId, Incarnation)> = workers
            .flat_map(|worker| worker.runs.keys().map(|task| (*task, worker.report.id.clone())))
            .filter(|(task, _)| self.is_long_running(task))
            .filter_map(|(task, id)| {
                let ready = self.is_ready(self.run_at(task, &id)?, now);
                Some((ready, task, id))
            })
            .collect();
        // A task that is not ready yet is unavailable anyhow: moving it first costs nothing.
        there.sort();
        for (_, task, id) in there {
            if self.may_move(task, &id, now) {
                log::info!(
                    "job {}: task {task} at {id}: stopped: its zone is evacuated",
                    task.of.job
                );
                self.stop_run(task, &id, now, out);
            }
        }
    }

    /// Whether a long-running task may be stopped in order to start in another zone: a worker has
    /// room for it, and no more tasks of its step are unavailable than may be.
    fn may_move(&self, task: TaskId, id: &Incarnation, now: Steady) -> bool {
        let Some(job) = self.jobs.get(&task.of.job) else {
            return false;
        };
        let step = job.step(task.of.step);
        let Some(tasks) = job.steps.get(&(task.of.occurrence, task.of.step)) else {
            return false;
        };
        let is_running =
            self.run_at(task, id).is_some_and(|task_run| task_run.phase == Phase::Running);
        // Members of a gang end together: they can only move together.
        if step.gang || !is_running {
            return false;
        }
        let ticketed = job.record.advice.is_some();
        let placer = self.task_placer(now);
        let has_room = |worker: &Worker| {
            worker.isolated_task.is_none()
                && placer.is_eligible(worker, step)
                && placer.can_run(worker, step, tasks, ticketed)
        };
        if !self.workers.values().any(has_room) {
            return false;
        }
        let is_unavailable = |(index, other): &(u32, &Task)| {
            let ready = |task_run: &Run| self.is_ready(task_run, now);
            *index != task.index && !other.runs.iter().any(ready)
        };
        let others = (0u32..).zip(&tasks.tasks).filter(is_unavailable).count();
        step.max_unavailable == 0 || (others as u32) < step.max_unavailable
    }

    fn run_at(&self, task: TaskId, id: &Incarnation) -> Option<&Run> {
        let entry = self.jobs.get(&task.of.job)?.task(task.of, task.index)?;
        entry.runs.iter().find(|task_run| task_run.worker == *id)
    }
}
