//! The status of an owner's pool: for the log, for the fleet's owner, and for other nodes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Owner;
use crate::{
    jobs::worker::Worker,
    model::{
        id::{HostId, Incarnation},
        job::{JobState, TaskId},
        order::Addressee,
        unit::Revision,
    },
};

/// The state of a pool at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Summary {
    pub(crate) jobs: usize,
    /// Tasks that wait for earlier steps or for a worker.
    pub(crate) waiting: usize,
    pub(crate) workers: usize,
    /// Workers that answer.
    pub(crate) responding: usize,
    /// The workers' processor time in use, in millicores.
    pub(crate) used: u32,
    pub(crate) capacity: u32,
}

/// The use of a host's processor time, in percent, up to which it counts as light.
const LIGHT_LOAD_PERCENT: u32 = 50;

/// How the hosts of a pool are used: a hint, as old as the record that contains it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct HostUsage {
    /// Hosts on which nothing runs.
    #[serde(rename = "i", default)]
    pub(crate) idle: BTreeSet<HostId>,
    /// Hosts with a light load and no long-running task, the least loaded first.
    #[serde(rename = "l", default)]
    pub(crate) light: Vec<HostId>,
    /// Hosts with a higher load and no long-running task, the least loaded first.
    #[serde(rename = "b", default)]
    pub(crate) busy: Vec<HostId>,
}

/// A host on which nothing runs or can begin, as long as its drain mark is set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DrainedHost {
    pub(crate) host: HostId,
    /// The worker on which nothing runs.
    pub(crate) worker: Incarnation,
    /// The revision of the drain mark for which the host was drained.
    pub(crate) mark: Revision,
}

impl Owner {
    /// The current state of the pool, for the log.
    pub(crate) fn summary(&self) -> Summary {
        let mut summary = Summary { jobs: self.jobs.len(), ..Summary::default() };
        for worker in self.workers.values() {
            summary.workers += 1;
            summary.responding += usize::from(worker.has_reported && worker.missed_polls == 0);
            summary.used += worker.used.cpu.0;
            summary.capacity += worker.report.capacity.cpu.0;
        }
        let steps = self.jobs.values().flat_map(|job| job.steps.values());
        let tasks = steps.flat_map(|step| &step.tasks);
        summary.waiting = tasks.filter(|task| task.is_waiting()).count();
        summary
    }

    /// The number of workers of the pool.
    pub(crate) fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Where orders to a worker are sent; `None` if it is not one of the pool's.
    pub(crate) fn addressee(&self, worker: &Incarnation) -> Option<Addressee> {
        Some(self.workers.get(worker)?.addressee(self.token))
    }

    /// The pool's workers.
    pub(crate) fn worker_ids(&self) -> Vec<Incarnation> {
        self.workers.keys().cloned().collect()
    }

    /// The hosts to be drained on whose workers nothing runs or can begin.
    pub(crate) fn drained_hosts(&self) -> Vec<DrainedHost> {
        let empty = |worker: &&Worker| {
            self.draining.contains_key(&worker.report.host)
                && worker.has_reported
                && worker.is_empty()
        };
        let workers = self.workers.values().filter(empty);
        let drained = |worker: &Worker| {
            let (host, worker) = (worker.report.host.clone(), worker.report.id.clone());
            DrainedHost { mark: self.draining[&host], host, worker }
        };
        workers.map(drained).collect()
    }

    /// How the pool's hosts are used.
    pub(crate) fn usage(&self) -> HostUsage {
        let mut usage = HostUsage::default();
        let (mut light, mut busy) = (Vec::new(), Vec::new());
        for worker in self.workers.values().filter(|worker| worker.has_reported) {
            let host = worker.report.host.clone();
            let share = worker.used.cpu.0 * 100 / worker.report.capacity.cpu.0.max(1);
            if worker.runs.is_empty() {
                usage.idle.insert(host);
            } else if !worker.runs.keys().any(|task| self.is_long_running(task)) {
                let list = if share <= LIGHT_LOAD_PERCENT { &mut light } else { &mut busy };
                list.push((share, host));
            }
        }
        light.sort();
        busy.sort();
        usage.light = light.into_iter().map(|(_, host)| host).collect();
        usage.busy = busy.into_iter().map(|(_, host)| host).collect();
        usage
    }

    /// The number of jobs of each queue that have not begun.
    pub(crate) fn queued(&self) -> BTreeMap<String, usize> {
        let mut queued = BTreeMap::new();
        for job in self.jobs.values() {
            let is_waiting = job.is_open() && job.state == JobState::Queued;
            *queued.entry(job.record.queue.clone()).or_default() += usize::from(is_waiting);
        }
        queued
    }

    pub(super) fn is_long_running(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.of.job).is_some_and(|job| job.step(task.of.step).long_running)
    }
}
