//! The throttle of background tasks: they run as fast as the serving tasks beside them allow.

use std::collections::BTreeSet;

use super::Owner;
use crate::{
    jobs::{event::Effect, job::Phase},
    model::{id::Incarnation, job::TaskId, unit::Steady, worker::OrderResult},
};

/// A tail latency above this share of its target, in percent, slows background tasks down.
const HIGH_LATENCY_PERCENT: u64 = 85;

/// A tail latency below this share of its target, in percent, lets background tasks speed up.
const LOW_LATENCY_PERCENT: u64 = 60;

/// Speed that background tasks gain with each poll, in percent of full speed.
const SPEED_UP_PERCENT: u32 = 20;

/// How long a change of the throttle takes to show in the tail latency, in milliseconds: the gauge
/// covers half a second.
const THROTTLE_SETTLE_MS: u64 = 500;

/// A run of a background task.
struct BackgroundRun {
    task: TaskId,
    run: u32,
    /// Its allowed speed, in percent of full speed.
    throttle_percent: u32,
    /// When the throttle was last changed.
    since: Steady,
}

/// The runs at a worker that share its processors.
#[derive(Default)]
struct CpuSharing {
    /// The tail latencies of serving tasks, in percent of their targets.
    serving: Vec<u64>,
    background: Vec<BackgroundRun>,
}

impl Owner {
    /// The workers on which background tasks run beside tasks with a latency target.
    pub(super) fn mixed_workers(&self) -> BTreeSet<Incarnation> {
        if !self.has_background {
            return BTreeSet::new();
        }
        let mixed = |id: &&Incarnation| {
            let sharing = self.cpu_sharing(id);
            !sharing.serving.is_empty() && !sharing.background.is_empty()
        };
        self.workers.keys().filter(mixed).cloned().collect()
    }

    /// The runs at a worker that share its processors.
    fn cpu_sharing(&self, id: &Incarnation) -> CpuSharing {
        let mut sharing = CpuSharing::default();
        let Some(worker) = self.workers.get(id) else {
            return sharing;
        };
        for task in worker.runs.keys() {
            let Some(job) = self.jobs.get(&task.of.job) else {
                continue;
            };
            let step = job.step(task.of.step);
            if step.target_ms == 0 && !step.background {
                continue;
            }
            let task_runs = job.task(task.of, task.index).map(|entry| &entry.runs);
            let Some(task_run) = task_runs
                .and_then(|task_runs| task_runs.iter().find(|candidate| candidate.worker == *id))
            else {
                continue;
            };
            if task_run.phase != Phase::Running {
                continue;
            }
            if step.background {
                let (run, throttle_percent, since) =
                    (task_run.run, task_run.throttle_percent, task_run.since);
                sharing.background.push(BackgroundRun {
                    task: *task,
                    run,
                    throttle_percent,
                    since,
                });
            } else {
                sharing.serving.push(task_run.gauge * 100 / step.target_ms);
            }
        }
        sharing
    }

    /// Throttles the background tasks at a worker by the worst tail latency there.
    pub(super) fn adjust_throttle(&mut self, id: &Incarnation, now: Steady, out: &mut Vec<Effect>) {
        if !self.has_background {
            return;
        }
        let sharing = self.cpu_sharing(id);
        let worst = sharing.serving.iter().max().copied();
        for BackgroundRun { task, run, throttle_percent, since } in sharing.background {
            let wanted = match worst {
                None => 100,
                Some(worst) if HIGH_LATENCY_PERCENT < worst => throttle_percent / 2,
                Some(worst) if worst < LOW_LATENCY_PERCENT => {
                    (throttle_percent + SPEED_UP_PERCENT).min(100)
                }
                Some(_) => throttle_percent,
            };
            let wanted = if wanted < 5 { 0 } else { wanted };
            let settled = THROTTLE_SETTLE_MS <= now.since(since) || wanted < throttle_percent;
            if wanted == throttle_percent || !settled {
                continue;
            }
            let Some(worker) = self.workers.get(id) else {
                return;
            };
            let to = worker.addressee(self.token);
            out.push(Effect::Throttle { to, task, run, percent: wanted });
            if let Some(task_run) = self.run_mut(task, id) {
                task_run.throttle_percent = wanted;
                task_run.since = now;
            }
        }
    }

    /// Processes the answer to an order that throttles a run.
    pub(super) fn note_throttle_result(
        &mut self,
        id: &Incarnation,
        task: TaskId,
        percent: u32,
        end: &OrderResult<u64>,
    ) {
        if matches!(end, OrderResult::Done(_)) {
            return;
        }
        // It is unknown whether the order took effect. A percentage other than the ordered one is
        // recorded, so that the next poll can order it again.
        log::info!(
            "job {}: task {task} at {id}: throttle to {percent} % not confirmed",
            task.of.job
        );
        if let Some(task_run) =
            self.run_mut(task, id).filter(|task_run| task_run.throttle_percent == percent)
        {
            task_run.throttle_percent = if percent == 100 { 99 } else { 100 };
        }
    }
}
