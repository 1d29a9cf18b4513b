//! The throttle of background tasks: they run as fast as the serving tasks beside them allow.

use std::collections::BTreeSet;

use super::Owner;
use crate::{
    jobs::{event::Effect, job::Phase},
    model::{id::Incarnation, job::TaskId, unit::Steady, worker::OrderEnd},
};

/// A tail latency above this share of its target, in percent, slows background tasks down.
const HIGH_PERCENT: u64 = 85;

/// A tail latency below this share of its target, in percent, lets background tasks speed up.
const LOW_PERCENT: u64 = 60;

/// Speed that background tasks gain with each poll, in percent of full speed.
const FASTER_PERCENT: u32 = 20;

/// How long a throttle change takes to show, in milliseconds: the gauge covers half a second.
const SETTLE_MS: u64 = 500;

/// A run of a background task.
struct Filling {
    task: TaskId,
    run: u32,
    /// Its speed, in percent of full speed.
    pace: u32,
    /// When its speed was last changed.
    since: Steady,
}

/// The runs at a worker that share its processors.
#[derive(Default)]
struct Sharing {
    /// The tail latencies of serving tasks, in percent of their targets.
    serving: Vec<u64>,
    filling: Vec<Filling>,
}

impl Owner {
    /// The workers on which background tasks run beside tasks with a latency target.
    pub(super) fn mixed_workers(&self) -> BTreeSet<Incarnation> {
        if !self.has_filling {
            return BTreeSet::new();
        }
        let mixed = |id: &&Incarnation| {
            let sharing = self.sharing(id);
            !sharing.serving.is_empty() && !sharing.filling.is_empty()
        };
        self.workers.keys().filter(mixed).cloned().collect()
    }

    /// The runs at a worker that share its processors.
    fn sharing(&self, id: &Incarnation) -> Sharing {
        let mut sharing = Sharing::default();
        let Some(worker) = self.workers.get(id) else {
            return sharing;
        };
        for task in worker.copies.keys() {
            let Some(job) = self.jobs.get(&task.of.job) else {
                continue;
            };
            let step = job.step(task.of.step);
            if step.target_ms == 0 && !step.fills {
                continue;
            }
            let copies = job.task(task.of, task.index).map(|entry| &entry.copies);
            let Some(copy) = copies.and_then(|copies| copies.iter().find(|c| c.worker == *id))
            else {
                continue;
            };
            if copy.phase != Phase::Running {
                continue;
            }
            if step.fills {
                let (run, pace, since) = (copy.run, copy.pace, copy.since);
                sharing.filling.push(Filling { task: *task, run, pace, since });
            } else {
                sharing.serving.push(copy.gauge * 100 / step.target_ms);
            }
        }
        sharing
    }

    /// Sets the speed of background tasks at a worker by the worst tail latency there.
    pub(super) fn repace(&mut self, id: &Incarnation, now: Steady, out: &mut Vec<Effect>) {
        if !self.has_filling {
            return;
        }
        let sharing = self.sharing(id);
        let worst = sharing.serving.iter().max().copied();
        for Filling { task, run, pace, since } in sharing.filling {
            let wanted = match worst {
                None => 100,
                Some(worst) if HIGH_PERCENT < worst => pace / 2,
                Some(worst) if worst < LOW_PERCENT => (pace + FASTER_PERCENT).min(100),
                Some(_) => pace,
            };
            let wanted = if wanted < 5 { 0 } else { wanted };
            let settled = SETTLE_MS <= now.since(since) || wanted < pace;
            if wanted == pace || !settled {
                continue;
            }
            let Some(worker) = self.workers.get(id) else {
                return;
            };
            let to = worker.addressee(self.token);
            out.push(Effect::Pace { to, task, run, percent: wanted });
            if let Some(copy) = self.copy_mut(task, id) {
                copy.pace = wanted;
                copy.since = now;
            }
        }
    }

    /// Processes the answer to an order that changes the speed of a run.
    pub(super) fn paced(
        &mut self,
        id: &Incarnation,
        task: TaskId,
        percent: u32,
        end: &OrderEnd<u64>,
    ) {
        if matches!(end, OrderEnd::Done(_)) {
            return;
        }
        // It may or may not have taken effect: the next poll decides anew.
        log::info!("job {}: task {task} at {id}: pace {percent} not confirmed", task.of.job);
        if let Some(copy) = self.copy_mut(task, id).filter(|copy| copy.pace == percent) {
            copy.pace = if percent == 100 { 99 } else { 100 };
        }
    }
}
