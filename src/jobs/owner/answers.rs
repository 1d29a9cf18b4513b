//! Answers to orders that start and stop runs.

use super::{Owner, UNSENT_PAUSE_MS};
use crate::{
    jobs::{
        gone::Gone,
        job::{Phase, RUNS_PER_OWNER},
        worker::Guard,
    },
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{OrderEnd, Refusal},
    },
};

/// How long a task or worker gets no further order after a refusal, in milliseconds: the time of
/// one poll.
const REFUSED_PAUSE_MS: u64 = 150;

impl Owner {
    pub(super) fn started(
        &mut self,
        at: &Incarnation,
        task: TaskId,
        run: u32,
        end: OrderEnd<u64>,
        now: Steady,
    ) {
        if let Some(worker) = self.workers.get_mut(at)
            && let OrderEnd::Done(clock_ms) | OrderEnd::Refused { clock_ms: Some(clock_ms), .. } =
                end
        {
            worker.read_clock_of_order(clock_ms, now);
        }
        // Even if the run is no longer tracked: it did begin.
        if matches!(end, OrderEnd::Done(_)) {
            self.note_begun(task.of.job);
        }
        let Some(copy) = self.copy_mut(task, at).filter(|copy| copy.run == run) else {
            return;
        };
        match end {
            OrderEnd::Done(_) => {
                if matches!(copy.phase, Phase::Starting | Phase::Unknown) {
                    copy.phase = Phase::Running;
                    copy.since = now;
                    copy.began.get_or_insert(now);
                    if let Some(worker) = self.workers.get_mut(at) {
                        worker.note_begun(task, now);
                    }
                }
            }
            OrderEnd::Unknown => {
                log::info!("job {}: task {task} run {run} at {at}: no answer", task.of.job);
                if copy.phase == Phase::Starting {
                    copy.phase = Phase::Unknown;
                    copy.since = now;
                }
                self.losses.note(now);
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.next_look = now;
                    worker.hurried = true;
                }
            }
            OrderEnd::Refused { why, .. } => self.start_refused(at, task, why, now),
            OrderEnd::Unsent => {
                self.drop_copy(task, at, Gone::Unsent, now);
                if let Some(entry) = self.task_mut(task) {
                    entry.not_before = now.after(UNSENT_PAUSE_MS);
                }
            }
        }
    }

    fn start_refused(&mut self, at: &Incarnation, task: TaskId, why: Refusal, now: Steady) {
        log::info!("job {}: task {task} at {at}: refused: {why:?}", task.of.job);
        match why {
            // It has, or had, a run of the task with this number or a higher one: the next poll
            // shows which.
            Refusal::Old => self.ask_what_is_there(at, task, now),
            _ => {
                self.drop_copy(task, at, Gone::Refused(why), now);
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.of.job) {
            if let Some(tasks) = job.steps.get_mut(&(task.of.time, task.of.step))
                && why == Refusal::Ticket
            {
                tasks.tickets.remove(at);
            }
            if let Some(entry) = job.task_mut(task.of, task.index) {
                entry.not_before = now.after(REFUSED_PAUSE_MS);
                if why == Refusal::Old {
                    entry.run += RUNS_PER_OWNER / 10;
                }
            }
        }
        match why {
            Refusal::Fenced => self.deposed = true,
            Refusal::OtherLife => self.bury(at, "another life answers at its address", now),
            Refusal::Unwell | Refusal::Room => {
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.pause(now.after(REFUSED_PAUSE_MS));
                }
            }
            Refusal::Old | Refusal::Late | Refusal::Ticket | Refusal::Invalid => {}
        }
    }

    pub(super) fn stopped(
        &mut self,
        at: &Incarnation,
        task: TaskId,
        run: u32,
        end: OrderEnd<u64>,
        now: Steady,
    ) {
        match end {
            OrderEnd::Done(clock_ms) => {
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.read_clock_of_order(clock_ms, now);
                }
                let mut unseen = false;
                if let Some(copy) = self.copy_mut(task, at).filter(|copy| copy.run == run) {
                    copy.phase = Phase::Stopped(now);
                    copy.since = now;
                    unseen = copy.began.is_none();
                }
                // A run that never began lists no end.
                if let Some(worker) = self.workers.get_mut(at).filter(|_| unseen) {
                    worker.hurried = true;
                }
            }
            OrderEnd::Refused { why: Refusal::Fenced, .. } => {
                // The next incarnation has a token of its own and refuses orders under the one
                // before.
                let worker = self.workers.get(at);
                self.deposed |= match worker {
                    Some(worker) => worker.fence() == 0 && worker.guard == Guard::Clear,
                    None => at.born.is_none(),
                };
            }
            OrderEnd::Refused { why: Refusal::OtherLife, .. } => {
                self.bury(at, "another life answers at its address", now);
            }
            // The worker has seen the end of the run, or of a later one: it will not begin.
            OrderEnd::Refused { why: Refusal::Old, .. } => {
                log::info!("job {}: task {task} at {at}: stop refused: old", task.of.job);
                if self.copy_mut(task, at).is_some_and(|copy| copy.run == run) {
                    self.ask_what_is_there(at, task, now);
                }
            }
            // Nothing was done, and a start on its way may still begin: the next poll stops it
            // again.
            OrderEnd::Refused { why, .. } => {
                log::info!("job {}: task {task} at {at}: stop refused: {why:?}", task.of.job);
            }
            OrderEnd::Unknown | OrderEnd::Unsent => {}
        }
    }

    /// Polls a worker that will not begin a run any more: if its answer does not list the run, the
    /// run is not there.
    fn ask_what_is_there(&mut self, at: &Incarnation, task: TaskId, now: Steady) {
        if let Some(copy) = self.copy_mut(task, at) {
            copy.phase = Phase::Stopped(now);
            copy.since = now;
        }
        if let Some(worker) = self.workers.get_mut(at) {
            worker.next_look = now;
            worker.hurried = true;
        }
    }
}
