//! The state of a job at its pool's owner: its tasks, their runs, and which of it is durable.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    jobs::{event::StoredJob, run_end::PreviousRun},
    model::{
        id::Incarnation,
        job::{
            JobId, JobRecord, JobState, Progress, Step, StepId, StepProgress, TaskId, TaskProgress,
        },
        unit::{Now, Revision, Steady, Time},
    },
};

/// The run numbers of an owner begin above this number times the number of earlier owners, so that
/// an owner need not know which ones its predecessors used.
pub(crate) const RUNS_PER_OWNER: u32 = 1_000;

/// The most workers that may be lost with runs of one task. A task that has crashed three workers
/// may be started five times in total; this leaves one start for a crash that no owner observed.
const MAX_LOST_WORKERS: usize = 4;

/// The phase of a run, as far as the owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start is to be announced to later owners, and is not sent yet.
    Announced,
    /// The start order is in flight.
    Starting,
    /// The start order got no answer: the run may have begun, or may yet begin.
    Unknown,
    /// The worker has reported that it runs.
    Running,
    /// It is to be stopped; the stop order has not been answered.
    Stopping,
    /// The worker accepted the stop order then: a run that it does not list afterwards has ended.
    Stopped(Steady),
}

/// A run of a task that is or may be at a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) worker: Incarnation,
    pub(crate) run: u32,
    pub(crate) phase: Phase,
    /// When the phase began.
    pub(crate) since: Steady,
    /// When the run was first known to have begun.
    pub(crate) began: Option<Steady>,
    /// Whether the worker has listed it. The answer to a start order does not identify the
    /// incarnation, a list does.
    pub(crate) listed: bool,
    /// When it was taken over from an earlier owner, which may have ordered it to stop.
    pub(crate) adopted: Option<Steady>,
    pub(crate) percent: u32,
    /// When the percent last increased.
    pub(crate) progressed: Steady,
    pub(crate) gauge: u64,
    /// Whether this is an isolated retry: its task is suspected of crashing its workers, and
    /// nothing else is started beside it.
    pub(crate) isolated: bool,
    /// The throttle last ordered, in percent of full speed.
    pub(crate) throttle_percent: u32,
}

impl Run {
    /// A run at a worker of which only the phase is known.
    pub(crate) fn new(worker: Incarnation, run: u32, phase: Phase, now: Steady) -> Run {
        Run {
            worker,
            run,
            phase,
            since: now,
            began: None,
            listed: false,
            adopted: None,
            percent: 0,
            progressed: now,
            gauge: 0,
            isolated: false,
            throttle_percent: 100,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// The highest run number that was assigned or seen.
    pub(crate) run: u32,
    /// The runs that failed.
    pub(crate) failed: Vec<u32>,
    /// The workers where it failed.
    pub(crate) failed_at: BTreeSet<Incarnation>,
    /// The workers that crashed under a run of it. Persisted across owners: a run that ends with
    /// its worker lists no end, but counts as an attempt.
    pub(crate) crashed: BTreeSet<Incarnation>,
    /// Unconfirmed crashes: workers that were lost with a run of it, where the run may not have
    /// begun or the worker may be alive.
    pub(crate) unconfirmed_crashes: BTreeSet<Incarnation>,
    /// The job's version that contains the last change of both sets.
    pub(crate) crash_version: u64,
    /// Whether its next run is an isolated retry.
    pub(crate) suspect: bool,
    /// The worker of the isolated retry. It counts as an unconfirmed crash until the retry has run
    /// for long enough.
    pub(crate) isolated_worker: Option<Incarnation>,
    /// Whether the loss of a worker with a run of it was put down to the worker's rack or zone.
    pub(crate) cleared_once: bool,
    /// The newest checkpoint; empty for none.
    pub(crate) checkpoint: String,
    /// Its current runs: at most one, except for speculative steps.
    pub(crate) runs: Vec<Run>,
    /// The previous run.
    pub(crate) previous: Option<Box<PreviousRun>>,
    /// The earliest time of its next start.
    pub(crate) not_before: Steady,
    /// Whether it was started by this owner, or runs at a worker that has seen this owner's token:
    /// then no worker that has not seen the token can run it. The listed end of a run does not show
    /// this: the previous owner may have received the same end and have started the next run.
    pub(crate) location_known: bool,
    /// The run that was taken over from an earlier owner. Workers that have not been polled yet may
    /// list failures of runs before it.
    pub(crate) adopted_run: Option<u32>,
}

impl Task {
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Whether so many workers were lost with its runs that it is not started again, even if other
    /// tasks may have caused it: it waits until it is known whether the workers are alive, or is
    /// given up.
    pub(crate) fn is_lost_too_often(&self) -> bool {
        MAX_LOST_WORKERS <= self.lost_workers()
    }

    /// The number of runs before the one that was taken over that may have failed without this
    /// owner having received the end.
    fn unreported_runs(&self) -> usize {
        match self.adopted_run {
            // Run numbers of different owners have gaps between them.
            Some(run) if RUNS_PER_OWNER <= run => usize::MAX,
            Some(run) => {
                let reported = self.failed.iter().filter(|failed| **failed < run).count();
                (run as usize).saturating_sub(1 + reported)
            }
            None => 0,
        }
    }

    /// Whether an isolated retry of it runs, or is to run, at a worker.
    pub(crate) fn is_isolated_at(&self, id: &Incarnation) -> bool {
        let has_begun = self.runs.iter().any(|run| run.isolated && run.worker == *id);
        has_begun || self.isolated_worker.as_ref() == Some(id)
    }

    /// The number of workers that were lost with a run of it, whether or not they crashed.
    pub(crate) fn lost_workers(&self) -> usize {
        self.crashed.len() + self.unconfirmed_crashes.len()
    }
}

/// The tasks of one step at one of the job's due times, and the tickets for it.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepTasks {
    pub(crate) tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub(crate) left: u32,
    /// Workers that may run the step, with a ticket and its expiry.
    pub(crate) tickets: BTreeMap<Incarnation, (String, Steady)>,
    /// Workers covered by the advice received; those without a ticket may not run the step.
    pub(crate) advised: BTreeSet<Incarnation>,
    /// Whether a request for advice is in flight.
    pub(crate) advice_pending: bool,
    /// Since when some of its tasks have found no worker.
    pub(crate) unplaced_since: Option<Steady>,
    /// The earliest time of the next request for advice.
    pub(crate) next_advice: Steady,
}

/// How a job ended, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobEnd {
    pub(crate) queue: String,
    pub(crate) state: &'static str,
    /// The time from its acceptance to its end.
    pub(crate) took: Duration,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) state: JobState,
    pub(crate) ended: Time,
    pub(crate) cancelled: bool,
    /// By due time and step, both counted from 0.
    pub(crate) steps: BTreeMap<(u32, u32), StepTasks>,
    /// The number of tasks that are not done.
    pub(crate) left: u32,
    /// Whether its account had sent more than its weight when it arrived.
    pub(crate) beyond_weight: bool,
    /// When it was last logged that tasks wait for a worker.
    pub(crate) wait_logged: Steady,
    /// How often that was logged.
    pub(crate) wait_logs: u32,
    /// The number of changes to be persisted.
    pub(crate) version: u64,
    /// The highest version that is durable.
    pub(crate) durable_version: u64,
    /// The revision of the stored progress; 0 if there is none.
    pub(crate) progress_revision: Revision,
}

impl Job {
    pub(crate) fn new(stored: StoredJob, first_run: u32) -> Job {
        let StoredJob {
            id, record, progress, progress_revision: stored_revision, cancelled, ..
        } = stored;
        let mut job = Job {
            id,
            state: JobState::Queued,
            ended: Time::default(),
            cancelled,
            steps: BTreeMap::new(),
            left: 0,
            beyond_weight: false,
            wait_logged: Steady::default(),
            wait_logs: 0,
            version: 0,
            durable_version: 0,
            progress_revision: stored_revision,
            record,
        };
        for time in 0..job.record.occurrences() {
            for (number, step) in job.record.steps.iter().enumerate() {
                let task = Task { run: first_run, ..Task::default() };
                let tasks = vec![task; step.count as usize];
                let tasks = StepTasks { tasks, left: step.count, ..StepTasks::default() };
                job.steps.insert((time, number as u32), tasks);
            }
        }
        if let Some(progress) = progress {
            job.restore(&progress);
        }
        job.left = job.steps.values().map(|step| step.left).sum();
        job
    }

    fn restore(&mut self, progress: &Progress) {
        self.state = progress.state;
        self.ended = progress.ended;
        for (name, step_progress) in &progress.steps {
            let key = name.split_once('.').and_then(|(time, step)| {
                Some((time.parse::<u32>().ok()?, step.parse::<u32>().ok()?))
            });
            let Some(step) = key.and_then(|key| self.steps.get_mut(&key)) else {
                log::warn!("job {}: stored progress contains unknown step `{name}`", self.id);
                continue;
            };
            for (index, task_progress) in &step_progress.tasks {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.run = task.run.max(task_progress.run);
                    task.failed = task_progress.failed.clone();
                    task.checkpoint = task_progress.checkpoint.clone();
                    task.crashed = task_progress.crashed.clone();
                    task.unconfirmed_crashes = task_progress.unconfirmed_crashes.clone();
                    task.suspect = task.lost_workers() != 0;
                }
            }
            for index in &step_progress.done {
                if let Some(task) = step.tasks.get_mut(*index as usize)
                    && !task.done
                {
                    task.done = true;
                    step.left -= 1;
                }
            }
        }
    }

    /// The progress to be persisted.
    pub(crate) fn progress(&self) -> Progress {
        let mut progress = Progress { state: self.state, ended: self.ended, ..Progress::default() };
        if self.state.is_final() {
            return progress;
        }
        for ((time, number), step) in &self.steps {
            let step_progress = step_progress(step, self.step(*number));
            if step_progress != StepProgress::default() {
                progress.steps.insert(format!("{time}.{number}"), step_progress);
            }
        }
        progress
    }

    pub(crate) fn step(&self, number: u32) -> &Step {
        &self.record.steps[number as usize]
    }

    pub(crate) fn task(&self, of: StepId, index: u32) -> Option<&Task> {
        self.steps.get(&(of.occurrence, of.step))?.tasks.get(index as usize)
    }

    pub(crate) fn task_mut(&mut self, of: StepId, index: u32) -> Option<&mut Task> {
        self.steps.get_mut(&(of.occurrence, of.step))?.tasks.get_mut(index as usize)
    }

    /// Whether its tasks may be started.
    pub(crate) fn is_open(&self) -> bool {
        !self.cancelled && !self.state.is_final()
    }

    /// Whether a due time has come, and all steps that the step depends on are done.
    pub(crate) fn is_due(&self, time: u32, number: u32, now: Now) -> bool {
        let after = &self.step(number).after;
        let done =
            |earlier: &u32| self.steps.get(&(time, *earlier)).is_none_or(|step| step.left == 0);
        self.record.due(time) <= now.wall && after.iter().all(done)
    }

    /// Records a change to be persisted; returns the new version.
    pub(crate) fn bump_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// How it ended; `None` if it has not ended, or was cancelled.
    pub(crate) fn job_end(&self) -> Option<JobEnd> {
        let state = match self.state {
            JobState::Succeeded => "succeeded",
            JobState::Failed => "failed",
            JobState::Queued | JobState::Running | JobState::Cancelled => return None,
        };
        let took = self.ended.since(self.record.accepted);
        Some(JobEnd { queue: self.record.queue.clone(), state, took })
    }

    /// The tasks under which workers were lost.
    pub(crate) fn tasks_with_losses(&self) -> Vec<TaskId> {
        let steps = self.steps.iter().flat_map(|((time, step), tasks)| {
            let of = StepId { job: self.id, occurrence: *time, step: *step };
            let indexed = tasks.tasks.iter().enumerate();
            let with_losses = indexed.filter(|(_, task)| task.lost_workers() != 0);
            with_losses.map(move |(index, _)| TaskId { of, index: index as u32 })
        });
        steps.collect()
    }

    /// Whether the workers lost with a task's runs allow another start. From the second one on, the
    /// losses must be durable first, so that the next owner of the pool knows them.
    pub(crate) fn may_start(&self, task: &Task) -> bool {
        let is_durable = task.lost_workers() < 2 || task.crash_version <= self.durable_version;
        is_durable && (!task.is_lost_too_often() || task.isolated_worker.is_some())
    }

    /// Whether a task may have used up its attempts, if failures are included that workers which
    /// have not been polled yet may list.
    pub(crate) fn may_have_failed(&self, of: StepId, index: u32) -> bool {
        let step = self.step(of.step);
        // A gang has one count of failures, in its first task.
        let counted = if step.gang { 0 } else { index };
        let (Some(task), Some(counts)) = (self.task(of, index), self.task(of, counted)) else {
            return false;
        };
        let failed = counts.failed.len().saturating_add(task.unreported_runs());
        !step.long_running && self.record.max_attempts as usize <= failed
    }

    /// Whether it has changes that are not durable.
    pub(crate) fn is_dirty(&self) -> bool {
        self.durable_version < self.version
    }

    /// Marks a task as done; returns whether it was not done before.
    pub(crate) fn mark_done(&mut self, of: StepId, index: u32) -> bool {
        let Some(step) = self.steps.get_mut(&(of.occurrence, of.step)) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.done {
            return false;
        }
        task.done = true;
        step.left -= 1;
        self.left -= 1;
        true
    }

    /// Marks the job as running once a run of one of its tasks has begun; returns whether it was
    /// queued before.
    pub(crate) fn begin(&mut self) -> bool {
        let was_queued = self.state == JobState::Queued && self.is_open();
        if was_queued {
            self.state = JobState::Running;
            self.bump_version();
        }
        was_queued
    }

    /// Whether a run of one of its tasks has or may have begun.
    pub(crate) fn may_have_begun(&self) -> bool {
        let mut tasks = self.steps.values().flat_map(|step| &step.tasks);
        self.state == JobState::Running || tasks.any(|task| !task.runs.is_empty())
    }

    pub(crate) fn end(&mut self, state: JobState, now: Now) {
        self.state = state;
        self.ended = now.wall;
        self.bump_version();
    }
}

fn step_progress(tasks: &StepTasks, step: &Step) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in tasks.tasks.iter().enumerate() {
        if task.done {
            progress.done.push(index as u32);
            continue;
        }
        // Failures and checkpoints of long-running tasks are not persisted.
        let has_results =
            !step.long_running && (!task.failed.is_empty() || !task.checkpoint.is_empty());
        if has_results || task.lost_workers() != 0 {
            let task_progress = TaskProgress {
                run: task.run,
                failed: task.failed.clone(),
                checkpoint: task.checkpoint.clone(),
                crashed: task.crashed.clone(),
                unconfirmed_crashes: task.unconfirmed_crashes.clone(),
            };
            progress.tasks.insert(index as u32, task_progress);
        }
    }
    progress
}
