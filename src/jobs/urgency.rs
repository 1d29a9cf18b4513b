//! The priority order of jobs, and estimates of how long their tasks take.

use std::{collections::HashMap, fmt};

use crate::{jobs::job::Job, model::unit::Now};

/// The weight of the newest duration in the moving average of a queue, in percent.
const NEWEST_WEIGHT_PERCENT: u64 = 10;

/// A job that ends within this multiple of its objective still has a value, by the rules of the
/// deployment.
const LATE_FACTOR: u64 = 3;

/// Moving averages of task durations, in milliseconds, by queue.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    means: HashMap<String, u64>,
}

impl Durations {
    /// Records how long a task took.
    pub(crate) fn record(&mut self, queue: &str, took_ms: u64) {
        match self.means.get_mut(queue) {
            Some(mean) => {
                *mean =
                    (*mean * (100 - NEWEST_WEIGHT_PERCENT) + took_ms * NEWEST_WEIGHT_PERCENT) / 100;
            }
            None => {
                self.means.insert(queue.to_owned(), took_ms);
            }
        }
    }

    /// The expected duration of a task of a queue: the caller's estimate until one was measured.
    pub(crate) fn expect(&self, queue: &str, estimate_ms: u64) -> u64 {
        self.estimator(queue)(estimate_ms)
    }

    /// The expected duration of the tasks of a queue, by the caller's estimate of each.
    fn estimator(&self, queue: &str) -> impl Fn(u64) -> u64 + Copy + 'static {
        let measured = self.means.get(queue).copied();
        move |estimate_ms: u64| measured.unwrap_or(estimate_ms.max(1))
    }
}

/// The least slack with which a job that has not begun counts as in time, as a share of the
/// remaining work, in percent.
const MIN_SLACK_PERCENT: i64 = 25;

/// Jobs whose slack differs by less than this, in milliseconds, are about as urgent as each other: the
/// wait for a worker varies by as much.
const SLACK_STEP_MS: i64 = 500;

/// The order in which jobs get resources: lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    priority: u32,
    /// 0: long-running or in time; 1: late, but still of value; 2: too late to be of value.
    lateness: u32,
    /// How long the remaining work can be delayed with the job still ending in time, in
    /// milliseconds; negative if the job is late.
    slack: i64,
    /// Processor time that the remaining work takes, in millicores times milliseconds, if that
    /// matters.
    work: u64,
}

#[cfg(test)]
impl Urgency {
    pub(crate) fn new(priority: u32, lateness: u32, slack: i64) -> Urgency {
        Urgency { priority, lateness, slack, work: 0 }
    }
}

impl Urgency {
    /// Whether the job is long-running, or can still end in time.
    pub(crate) fn is_in_time(&self) -> bool {
        self.lateness == 0
    }

    /// Whether the job ends too late to be of value.
    pub(crate) fn is_too_late(&self) -> bool {
        self.lateness == 2
    }
}

/// A number of tasks, by whether their jobs can still end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ByLateness {
    /// Long-running tasks included.
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    /// Too late to be of value.
    pub(crate) too_late: u64,
}

impl ByLateness {
    /// Adds tasks of a job of this urgency.
    pub(crate) fn add(&mut self, urgency: Urgency, tasks: u64) {
        let count = match () {
            () if urgency.is_in_time() => &mut self.in_time,
            () if urgency.is_too_late() => &mut self.too_late,
            () => &mut self.late,
        };
        *count += tasks;
    }
}

impl fmt::Display for ByLateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ByLateness { in_time, late, too_late } = self;
        write!(f, "{in_time} in time, {late} late, {too_late} too late")
    }
}

/// The urgency of a job. With `favors_small`, of jobs that can end in time and have about the same
/// slack, those with the least remaining work come first: when there are too few workers for all,
/// more of them end in time. Each step of slack that passes brings the others forward.
pub(crate) fn of(job: &Job, durations: &Durations, favors_small: bool, now: Now) -> Urgency {
    let record = &job.record;
    if record.is_long_running() {
        return Urgency { priority: 0, lateness: 0, slack: i64::MIN, work: 0 };
    }
    let task_ms = durations.estimator(&record.queue);
    let critical_path: u64 = record.steps.iter().map(|step| task_ms(step.estimate_ms)).sum();
    let remaining: u64 = (0..record.steps.len() as u32)
        .filter(|number| job.steps.get(&(0, *number)).is_some_and(|step| step.left != 0))
        .map(|number| task_ms(job.step(number).estimate_ms))
        .sum();
    let objective = critical_path * u64::from(record.stretch_percent) / 100 + record.target_ms;
    let age = now.wall.since(record.due(0)).as_millis() as u64;
    let slack = objective as i64 - age as i64 - remaining as i64;
    let latest = (objective * LATE_FACTOR) as i64 - age as i64 - remaining as i64;
    // A job that begins without slack ends late as soon as one of its tasks waits.
    let min_slack = remaining as i64 * MIN_SLACK_PERCENT / 100;
    let lateness = match () {
        () if min_slack <= slack || 0 <= slack && job.may_have_begun() => 0,
        () if 0 <= latest => 1,
        () => 2,
    };
    let (slack, work) = match favors_small && lateness == 0 {
        true => (slack / SLACK_STEP_MS, remaining_work(job, task_ms)),
        false => (slack, 0),
    };
    Urgency { priority: record.priority, lateness, slack, work }
}

/// The processor time of all tasks of a job that are not done, in millicores times milliseconds.
fn remaining_work(job: &Job, task_ms: impl Fn(u64) -> u64) -> u64 {
    let work = job.steps.iter().map(|((_, number), tasks)| {
        let step = job.step(*number);
        u64::from(tasks.left) * u64::from(step.charge().cpu.0) * task_ms(step.estimate_ms)
    });
    work.sum()
}
