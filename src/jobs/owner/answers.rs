//! Answers to orders that start and stop runs.

use super::{Owner, UNSENT_RETRY_MS};
use crate::{
    jobs::{
        job::{Phase, RUNS_PER_OWNER},
        run_end::RunEnd,
        worker::{EXPIRY_DELAY_MS, MAX_ORDER_DELAY_MS, RestartFence},
    },
    model::{
        id::Incarnation,
        job::TaskId,
        unit::Steady,
        worker::{OrderResult, Refusal},
    },
};

/// How long a task or worker gets no further order after a refusal, in milliseconds: about as long
/// as one poll takes.
const REFUSED_PAUSE_MS: u64 = 150;

impl Owner {
    pub(super) fn note_start_result(
        &mut self,
        at: &Incarnation,
        task: TaskId,
        run: u32,
        end: OrderResult<u64>,
        now: Steady,
    ) {
        if let Some(worker) = self.workers.get_mut(at)
            && let OrderResult::Done(clock_ms)
            | OrderResult::Refused { clock_ms: Some(clock_ms), .. } = end
        {
            worker.read_order_clock(clock_ms, now);
        }
        // The answer does not identify the incarnation: if the run is no longer tracked, only a list
        // shows where it is.
        let is_tracked = self.run_mut(task, at).is_some_and(|task_run| task_run.run == run);
        match end {
            OrderResult::Done(_) if is_tracked => self.unsettled.settle(&at.worker, task, run),
            OrderResult::Unknown | OrderResult::Done(_) => {
                let until = now.after(MAX_ORDER_DELAY_MS + EXPIRY_DELAY_MS);
                self.unsettled.note_unanswered(&at.worker, task, run, until);
            }
            _ => self.unsettled.settle(&at.worker, task, run),
        }
        // Even if the run is no longer tracked: it did begin.
        if matches!(end, OrderResult::Done(_)) {
            self.note_begun(task.of.job);
        }
        let Some(task_run) = self.run_mut(task, at).filter(|task_run| task_run.run == run) else {
            return;
        };
        match end {
            OrderResult::Done(_) => {
                if matches!(task_run.phase, Phase::Starting | Phase::Unknown) {
                    task_run.phase = Phase::Running;
                    task_run.since = now;
                    task_run.began.get_or_insert(now);
                    if let Some(worker) = self.workers.get_mut(at) {
                        worker.note_begun(task, now);
                    }
                }
            }
            OrderResult::Unknown => {
                log::info!("job {}: task {task} run {run} at {at}: no answer", task.of.job);
                if task_run.phase == Phase::Starting {
                    task_run.phase = Phase::Unknown;
                    task_run.since = now;
                }
                self.message_loss.record(now);
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.next_poll = now;
                    worker.urgent_poll = true;
                }
            }
            OrderResult::Refused { why: refusal, .. } => self.start_refused(at, task, refusal, now),
            OrderResult::Unsent => {
                self.remove_run(task, at, RunEnd::Unsent, now);
                if let Some(entry) = self.task_mut(task) {
                    entry.not_before = now.after(UNSENT_RETRY_MS);
                }
            }
        }
    }

    fn start_refused(&mut self, at: &Incarnation, task: TaskId, refusal: Refusal, now: Steady) {
        log::info!("job {}: task {task} at {at}: refused: {refusal:?}", task.of.job);
        match refusal {
            // It has, or had, a run of the task with this number or a higher one: the next poll
            // shows which.
            Refusal::Old => self.poll_for_run(at, task, now),
            _ => {
                self.remove_run(task, at, RunEnd::Refused(refusal), now);
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.of.job) {
            if let Some(tasks) = job.steps.get_mut(&(task.of.occurrence, task.of.step))
                && refusal == Refusal::Ticket
            {
                tasks.tickets.remove(at);
            }
            if let Some(entry) = job.task_mut(task.of, task.index) {
                entry.not_before = now.after(REFUSED_PAUSE_MS);
                if refusal == Refusal::Old {
                    entry.run += RUNS_PER_OWNER / 10;
                }
            }
        }
        match refusal {
            Refusal::Fenced => self.deposed = true,
            Refusal::OtherLife => self.remove_ended_worker(
                at,
                "orders at its address are refused by another worker",
                now,
            ),
            Refusal::Unwell | Refusal::Room => {
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.pause(now.after(REFUSED_PAUSE_MS));
                }
            }
            Refusal::Old | Refusal::Late | Refusal::Ticket | Refusal::Invalid => {}
        }
    }

    pub(super) fn note_stop_result(
        &mut self,
        at: &Incarnation,
        task: TaskId,
        run: u32,
        end: OrderResult<u64>,
        now: Steady,
    ) {
        match end {
            OrderResult::Done(clock_ms) => {
                if let Some(worker) = self.workers.get_mut(at) {
                    worker.read_order_clock(clock_ms, now);
                }
                let mut never_began = false;
                if let Some(task_run) =
                    self.run_mut(task, at).filter(|task_run| task_run.run == run)
                {
                    task_run.phase = Phase::Stopped(now);
                    task_run.since = now;
                    never_began = task_run.began.is_none();
                }
                // No end is listed for a run that never began.
                if let Some(worker) = self.workers.get_mut(at).filter(|_| never_began) {
                    worker.urgent_poll = true;
                }
            }
            OrderResult::Refused { why: Refusal::Fenced, .. } => {
                // The next incarnation has a token of its own and refuses orders with the previous
                // one.
                let worker = self.workers.get(at);
                self.deposed |= match worker {
                    Some(worker) => {
                        worker.fencing_token() == 0 && worker.restart_fence == RestartFence::Clear
                    }
                    None => at.born.is_none(),
                };
            }
            OrderResult::Refused { why: Refusal::OtherLife, .. } => {
                self.remove_ended_worker(
                    at,
                    "orders at its address are refused by another worker",
                    now,
                );
            }
            // The worker has seen the end of the run, or of a later one: it will not begin.
            OrderResult::Refused { why: Refusal::Old, .. } => {
                log::info!("job {}: task {task} at {at}: stop refused: old", task.of.job);
                if self.run_mut(task, at).is_some_and(|task_run| task_run.run == run) {
                    self.poll_for_run(at, task, now);
                }
            }
            // Nothing was stopped, and a start order in transit may still begin the run: once a
            // poll lists it, it is stopped again.
            OrderResult::Refused { why, .. } => {
                log::info!("job {}: task {task} at {at}: stop refused: {why:?}", task.of.job);
            }
            OrderResult::Unknown | OrderResult::Unsent => {}
        }
    }

    /// Polls a worker that will not begin a run any more: if its answer does not list the run, the
    /// run is not there.
    fn poll_for_run(&mut self, at: &Incarnation, task: TaskId, now: Steady) {
        if let Some(task_run) = self.run_mut(task, at) {
            task_run.phase = Phase::Stopped(now);
            task_run.since = now;
        }
        if let Some(worker) = self.workers.get_mut(at) {
            worker.next_poll = now;
            worker.urgent_poll = true;
        }
    }
}
