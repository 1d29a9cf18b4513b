//! The load of a pool, for the nodes that admit jobs: how long work that comes now would wait, and
//! what the accounts with a weight send.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Owner;
use crate::{
    jobs::{job::Job, start::fair_share::Amount, urgency, weights::AccountLoad},
    model::{
        id::AccountId,
        job::{JobId, JobState, TaskResources},
        unit::{Now, Time},
    },
};

/// Accounts that a report lists: the busiest.
const MAX_ACCOUNTS: usize = 64;

/// The window over which the arrival of work is counted, in milliseconds.
const ARRIVAL_WINDOW_MS: u64 = 1_000;

/// The least part of the capacity that is assumed to be free for work beyond a weight, in percent.
const MIN_FREE_PERCENT: u64 = 10;

/// The delay that is reported if nothing can run, in milliseconds.
const MAX_DELAY_MS: u64 = 60_000;

/// The load of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct PoolLoad {
    /// How long work beyond a weight that comes now would wait, in milliseconds.
    #[serde(rename = "d", default)]
    pub(crate) delay_ms: u64,
    /// The busiest accounts with a weight.
    #[serde(rename = "a", default)]
    pub(crate) accounts: BTreeMap<AccountId, AccountLoad>,
}

impl Owner {
    /// Classifies the jobs that have arrived since the last call, in the order in which they were
    /// accepted.
    pub(crate) fn classify_arrivals(&mut self, now: Now) {
        let mut arrived = std::mem::take(&mut self.arrived);
        let Some(accounts) = self.accounts.as_mut().filter(|one| !one.weights.is_empty()) else {
            return;
        };
        arrived.sort_unstable();
        for (accepted, id) in arrived {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if let Some(account) = &job.record.account {
                let accepted = accepted.min(now.wall);
                job.beyond_weight = accounts.weights.is_beyond(account, accepted, now.steady);
            }
        }
    }

    /// Records that a job is new to this owner.
    pub(super) fn note_arrival(&mut self, accepted: Time, id: JobId) {
        self.arrived.push((accepted, id));
    }

    /// The load of the pool; `None` if no account has a weight.
    pub(crate) fn load(&mut self, now: Now) -> Option<PoolLoad> {
        let weights = &mut self.accounts.as_mut()?.weights;
        if weights.is_empty() {
            return None;
        }
        let mut accounts = weights.loads(now.wall, now.steady);
        for job in self.jobs.values().filter(|job| job.beyond_weight) {
            if let Some(account) = &job.record.account
                && job.is_open()
                && job.state == JobState::Queued
            {
                accounts.entry(account.clone()).or_default().waiting += 1;
            }
        }
        let mut busiest: Vec<_> = accounts.into_iter().collect();
        busiest.sort_by_key(|(account, load)| {
            (std::cmp::Reverse(load.rate + load.waiting), account.clone())
        });
        busiest.truncate(MAX_ACCOUNTS);
        Some(PoolLoad { delay_ms: self.delay_ms(now), accounts: busiest.into_iter().collect() })
    }

    /// How long work beyond a weight that comes now would wait: behind all that waits and is not
    /// too late to be of value, and behind what comes within the weights meanwhile.
    fn delay_ms(&self, now: Now) -> u64 {
        let (mut waiting, mut arriving) = (Amount::default(), Amount::default());
        for job in self.jobs.values().filter(|job| job.is_open() && job.left != 0) {
            let task_ms = |estimate| self.durations.expect(&job.record.queue, estimate);
            if !urgency::of(job, &self.durations, false, now).is_too_late() {
                add_waiting(&mut waiting, job, task_ms);
            }
            let age_ms = now.wall.since(job.record.accepted).as_millis() as u64;
            if !job.beyond_weight && age_ms < ARRIVAL_WINDOW_MS {
                for step in job.record.steps.iter().filter(|step| !step.long_running) {
                    let ms = task_ms(step.estimate_ms);
                    arriving.add(&step.charge(), u64::from(step.count) * ms);
                }
            }
        }
        let Amount { cpu, memory } = self.capacity_for_short_tasks(now);
        let delay = |waiting: u64, arriving: u64, capacity: u64| {
            let least = capacity * MIN_FREE_PERCENT / 100;
            let free = capacity.saturating_sub(arriving / ARRIVAL_WINDOW_MS).max(least);
            match waiting.checked_div(free) {
                Some(delay) => delay.min(MAX_DELAY_MS),
                None if waiting == 0 => 0,
                None => MAX_DELAY_MS,
            }
        };
        delay(waiting.cpu, arriving.cpu, cpu).max(delay(waiting.memory, arriving.memory, memory))
    }

    /// The processor time and memory of the pool that no long-running task uses.
    pub(super) fn capacity_for_short_tasks(&self, now: Now) -> Amount {
        let mut free = Amount::default();
        for worker in self.workers.values().filter(|worker| worker.may_get_work(now.steady)) {
            let mut lasting = TaskResources::default();
            for task in worker.runs.keys().filter(|task| self.is_long_running(task)) {
                if let Some(job) = self.jobs.get(&task.of.job) {
                    lasting.add(&job.step(task.of.step).charge());
                }
            }
            let capacity = &worker.report.capacity;
            free.cpu += u64::from(capacity.cpu.0.saturating_sub(lasting.cpu.0));
            free.memory += u64::from(capacity.memory.0.saturating_sub(lasting.memory.0));
        }
        free
    }
}

/// Adds the tasks of a job that have not begun.
fn add_waiting(work: &mut Amount, job: &Job, task_ms: impl Fn(u64) -> u64) {
    for ((_, number), tasks) in &job.steps {
        let step = job.step(*number);
        if step.long_running || tasks.left == 0 {
            continue;
        }
        let waiting = tasks.tasks.iter().filter(|task| task.is_waiting()).count() as u64;
        work.add(&step.charge(), waiting * task_ms(step.estimate_ms));
    }
}
