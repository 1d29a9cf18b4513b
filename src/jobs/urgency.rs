//! Which job comes first, and how long its work is thought to take.

use std::collections::HashMap;

use crate::{jobs::job::Job, model::unit::Now};

/// The share of the newest duration in the mean of a queue, in percent.
const NEWEST_PERCENT: u64 = 10;

/// A job that ends within this multiple of its objective still earns something, by the rules of
/// the deployment.
const LATE_FACTOR: u64 = 3;

/// What was learnt of how long tasks take, by queue.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    means: HashMap<String, u64>,
}

impl Durations {
    /// Learns how long a task took.
    pub(crate) fn learn(&mut self, queue: &str, took_ms: u64) {
        match self.means.get_mut(queue) {
            Some(mean) => {
                *mean = (*mean * (100 - NEWEST_PERCENT) + took_ms * NEWEST_PERCENT) / 100;
            }
            None => {
                self.means.insert(queue.to_owned(), took_ms);
            }
        }
    }

    /// How long a task of a queue is thought to take.
    pub(crate) fn expect(&self, queue: &str, estimate_ms: u64) -> u64 {
        self.means.get(queue).copied().unwrap_or(estimate_ms.max(1))
    }
}

/// What a job must have to spare to begin in the first class, as a share of the work left, in
/// percent.
const SPARE_PERCENT: i64 = 25;

/// The order in which jobs get room: lower comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    priority: u32,
    /// 0: lasting or in time; 1: can still end late; 2: too late to earn anything.
    hope: u32,
    /// When the work left must begin for the job to end in time, in milliseconds from now, as far
    /// as it may be negative.
    slack: i64,
}

/// The urgency of a job.
pub(crate) fn of(job: &Job, durations: &Durations, now: Now) -> Urgency {
    let record = &job.record;
    if record.is_lasting() {
        return Urgency { priority: 0, hope: 0, slack: i64::MIN };
    }
    let task_ms = |estimate| durations.expect(&record.queue, estimate);
    let chain: u64 = record.steps.iter().map(|step| task_ms(step.estimate_ms)).sum();
    let left: u64 = (0..record.steps.len() as u32)
        .filter(|number| job.steps.get(&(0, *number)).is_some_and(|step| step.left != 0))
        .map(|number| task_ms(job.step(number).estimate_ms))
        .sum();
    let objective = chain * u64::from(record.stretch) / 100 + record.target_ms;
    let age = now.wall.since(record.due(0)).as_millis() as u64;
    let slack = objective as i64 - age as i64 - left as i64;
    let latest = (objective * LATE_FACTOR) as i64 - age as i64 - left as i64;
    // A job that begins with no time to spare ends late as soon as one of its tasks waits.
    let spare = if job.may_have_begun() { 0 } else { left as i64 * SPARE_PERCENT / 100 };
    let hope = match () {
        () if spare <= slack => 0,
        () if 0 <= latest => 1,
        () => 2,
    };
    Urgency { priority: record.priority, hope, slack }
}
