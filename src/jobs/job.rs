//! A job as its pool's owner sees it: its tasks, their copies, and what is durable of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    jobs::{event::StoredJob, gone::Previous},
    model::{
        id::Incarnation,
        job::{JobId, JobRecord, JobState, Progress, Step, StepId, StepNote, TaskId, TaskNote},
        unit::{Now, Revision, Steady, Time},
    },
};

/// Run numbers are given above a multiple of this for each earlier owner of the pool, so that an
/// owner need not know which runs its predecessors gave.
pub(crate) const RUNS_PER_OWNER: u32 = 1_000;

/// The most workers that may be lost with runs of one task. Five starts are allowed where three have
/// crashed; this leaves one for a crash that no owner has seen.
const MOST_LOST: usize = 4;

/// What is known of an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The order is on its way.
    Starting,
    /// The order got no answer: the run may be there, or may yet begin.
    Unknown,
    /// The worker has said that it runs.
    Running,
    /// It is to be stopped; the order to stop has not been answered.
    Stopping,
    /// The worker has taken the order to stop: what it does not list from then on is not there.
    Stopped(Steady),
}

/// A run of a task that is or may be at a worker.
#[derive(Debug, Clone)]
pub(crate) struct Copy {
    pub(crate) worker: Incarnation,
    pub(crate) run: u32,
    pub(crate) phase: Phase,
    /// When the phase began.
    pub(crate) since: Steady,
    /// When the run was first known to be there.
    pub(crate) began: Option<Steady>,
    /// Whether the worker has listed it: an answer to its start tells no incarnation.
    pub(crate) listed: bool,
    /// When it was taken over from an earlier owner, which may have told it to stop.
    pub(crate) adopted: Option<Steady>,
    pub(crate) percent: u32,
    /// When the percent last grew.
    pub(crate) moved: Steady,
    pub(crate) gauge: u64,
    /// Whether its task is suspected of crashing its workers, and this run is to show it: nothing
    /// else begins beside it meanwhile.
    pub(crate) trial: bool,
    /// The share of its pace that it was last told, in percent.
    pub(crate) pace: u32,
}

impl Copy {
    /// A run at a worker of which no more is known than its phase.
    pub(crate) fn new(worker: Incarnation, run: u32, phase: Phase, now: Steady) -> Copy {
        Copy {
            worker,
            run,
            phase,
            since: now,
            began: None,
            listed: false,
            adopted: None,
            percent: 0,
            moved: now,
            gauge: 0,
            trial: false,
            pace: 100,
        }
    }

    /// Whether its start may be carried out later, or was without an answer.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.began.is_none() && !self.listed && !matches!(self.phase, Phase::Stopped(_))
    }
}

/// A task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) done: bool,
    /// The highest run that was given or seen.
    pub(crate) run: u32,
    pub(crate) failed: Vec<u32>,
    /// Where it failed.
    pub(crate) failed_at: BTreeSet<Incarnation>,
    /// The workers that crashed under a run of it. They outlive the owner: a run that dies with its
    /// worker lists no end, and is an attempt all the same.
    pub(crate) crashed: BTreeSet<Incarnation>,
    /// The workers that may have: they were lost with a run that may not have begun, or may live.
    pub(crate) doubted: BTreeSet<Incarnation>,
    /// The job's version that holds both.
    pub(crate) crash_version: u64,
    /// Whether its next run is to show if it crashes its workers.
    pub(crate) suspect: bool,
    /// Where that run is to be, or is: the worker counts as doubted until the run has shown it.
    pub(crate) trial_at: Option<Incarnation>,
    pub(crate) saved: String,
    /// At most one, but for steps whose copies may run at the same time.
    pub(crate) copies: Vec<Copy>,
    /// The copy that was there before.
    pub(crate) previous: Option<Box<Previous>>,
    /// Not to be started before.
    pub(crate) not_before: Steady,
    /// It was started by this owner, or runs at a worker that has seen this owner's token, so that
    /// no worker that has not seen the token can hold a run of it. That a worker lists the end of
    /// a run says nothing: the owner before may have heard of it and have started the next.
    pub(crate) accounted: bool,
    /// The run that was taken over from an earlier owner. How those before it ended may be listed by
    /// a worker that was not asked yet.
    pub(crate) inherited: Option<u32>,
}

impl Task {
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.copies.is_empty()
    }

    /// Whether so many workers were lost with its runs that it is not started again, whatever else
    /// began there: it waits until it is known whether those live, or is given up.
    pub(crate) fn is_lost_too_often(&self) -> bool {
        MOST_LOST <= self.lost_workers()
    }

    /// How many runs before the one that was taken over may have failed without this owner knowing.
    fn unheard_runs(&self) -> usize {
        match self.inherited {
            // Runs of several owners have gaps between their numbers.
            Some(run) if RUNS_PER_OWNER <= run => usize::MAX,
            Some(run) => {
                let heard = self.failed.iter().filter(|failed| **failed < run).count();
                (run as usize).saturating_sub(1 + heard)
            }
            None => 0,
        }
    }

    /// Whether a run that is to show if it crashes its worker is, or is to be, at one.
    pub(crate) fn is_on_trial_at(&self, id: &Incarnation) -> bool {
        let begun = self.copies.iter().any(|copy| copy.trial && copy.worker == *id);
        begun || self.trial_at.as_ref() == Some(id)
    }

    /// How many workers were lost with a run of it, whether or not they crashed.
    pub(crate) fn lost_workers(&self) -> usize {
        self.crashed.len() + self.doubted.len()
    }
}

/// The tasks of one step at one time, and the tickets for it.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepTasks {
    pub(crate) tasks: Vec<Task>,
    pub(crate) left: u32,
    /// Workers that may run the step, with a ticket and the time at which it is over.
    pub(crate) tickets: BTreeMap<Incarnation, (String, Steady)>,
    /// Workers that were asked about; those without a ticket may not run the step.
    pub(crate) judged: BTreeSet<Incarnation>,
    pub(crate) asking: bool,
    /// Since when some of its tasks have found no worker.
    pub(crate) starved: Option<Steady>,
    pub(crate) ask_after: Steady,
}

/// How a job ended, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobEnd {
    pub(crate) queue: String,
    pub(crate) state: &'static str,
    /// Since its acceptance.
    pub(crate) took: Duration,
}

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) state: JobState,
    pub(crate) ended: Time,
    pub(crate) cancelled: bool,
    /// By time and step.
    pub(crate) steps: BTreeMap<(u32, u32), StepTasks>,
    /// Tasks that are not done.
    pub(crate) left: u32,
    /// When it was last told that tasks wait for a worker.
    pub(crate) told_waiting: Steady,
    /// How often that was told.
    pub(crate) times_told: u32,
    /// Counts changes that must be kept.
    pub(crate) version: u64,
    /// The version that is durable.
    pub(crate) durable: u64,
    pub(crate) saved_at: Revision,
}

impl Job {
    pub(crate) fn new(stored: StoredJob, first_run: u32) -> Job {
        let StoredJob { id, record, progress, saved_at, cancelled, .. } = stored;
        let mut job = Job {
            id,
            state: JobState::Queued,
            ended: Time::default(),
            cancelled,
            steps: BTreeMap::new(),
            left: 0,
            told_waiting: Steady::default(),
            times_told: 0,
            version: 0,
            durable: 0,
            saved_at,
            record,
        };
        for time in 0..job.record.times() {
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
        for (name, note) in &progress.steps {
            let key = name.split_once('.').and_then(|(time, step)| {
                Some((time.parse::<u32>().ok()?, step.parse::<u32>().ok()?))
            });
            let Some(step) = key.and_then(|key| self.steps.get_mut(&key)) else {
                log::warn!("job {}: progress names step `{name}`, which it does not have", self.id);
                continue;
            };
            for (index, note) in &note.tasks {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.run = task.run.max(note.run);
                    task.failed = note.failed.clone();
                    task.saved = note.saved.clone();
                    task.crashed = note.crashed.clone();
                    task.doubted = note.doubted.clone();
                    task.suspect = task.lost_workers() != 0;
                }
            }
            for index in &note.done {
                if let Some(task) = step.tasks.get_mut(*index as usize)
                    && !task.done
                {
                    task.done = true;
                    step.left -= 1;
                }
            }
        }
    }

    /// What is to be kept.
    pub(crate) fn progress(&self) -> Progress {
        let mut progress = Progress { state: self.state, ended: self.ended, ..Progress::default() };
        if self.state.is_final() {
            return progress;
        }
        for ((time, number), step) in &self.steps {
            let note = note_of(step, self.step(*number));
            if note != StepNote::default() {
                progress.steps.insert(format!("{time}.{number}"), note);
            }
        }
        progress
    }

    pub(crate) fn step(&self, number: u32) -> &Step {
        &self.record.steps[number as usize]
    }

    pub(crate) fn task(&self, of: StepId, index: u32) -> Option<&Task> {
        self.steps.get(&(of.time, of.step))?.tasks.get(index as usize)
    }

    pub(crate) fn task_mut(&mut self, of: StepId, index: u32) -> Option<&mut Task> {
        self.steps.get_mut(&(of.time, of.step))?.tasks.get_mut(index as usize)
    }

    /// Whether its tasks may be started.
    pub(crate) fn is_open(&self) -> bool {
        !self.cancelled && !self.state.is_final()
    }

    /// Whether a step's turn has come at one time.
    pub(crate) fn is_due(&self, time: u32, number: u32, now: Now) -> bool {
        let after = &self.step(number).after;
        let done =
            |earlier: &u32| self.steps.get(&(time, *earlier)).is_none_or(|step| step.left == 0);
        self.record.due(time) <= now.wall && after.iter().all(done)
    }

    /// Notes a change that must be kept, and tells its version.
    pub(crate) fn change(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// How it ended, once it has.
    pub(crate) fn how_ended(&self) -> Option<JobEnd> {
        let state = match self.state {
            JobState::Succeeded => "succeeded",
            JobState::Failed => "failed",
            JobState::Queued | JobState::Running | JobState::Cancelled => return None,
        };
        let took = self.ended.since(self.record.accepted);
        Some(JobEnd { queue: self.record.queue.clone(), state, took })
    }

    /// Its tasks with whose runs workers were lost.
    pub(crate) fn marked_tasks(&self) -> Vec<TaskId> {
        let steps = self.steps.iter().flat_map(|((time, step), tasks)| {
            let of = StepId { job: self.id, time: *time, step: *step };
            let numbered = tasks.tasks.iter().enumerate();
            let marked = numbered.filter(|(_, task)| task.lost_workers() != 0);
            marked.map(move |(index, _)| TaskId { of, index: index as u32 })
        });
        steps.collect()
    }

    /// Whether a task may be started again, as far as workers were lost with its runs: which ones must
    /// be durable, so that whoever owns the pool next knows.
    pub(crate) fn may_start(&self, task: &Task) -> bool {
        let kept = task.lost_workers() < 2 || task.crash_version <= self.durable;
        kept && (!task.is_lost_too_often() || task.trial_at.is_some())
    }

    /// Whether a task may have failed as often as it may, with failures that only a worker knows
    /// that was not asked yet.
    pub(crate) fn may_have_failed(&self, of: StepId, index: u32) -> bool {
        let step = self.step(of.step);
        // A gang has one count, which its first task keeps.
        let counted = if step.gang { 0 } else { index };
        let (Some(task), Some(counts)) = (self.task(of, index), self.task(of, counted)) else {
            return false;
        };
        let failed = counts.failed.len().saturating_add(task.unheard_runs());
        !step.lasting && self.record.attempts as usize <= failed
    }

    /// Whether there is something to write.
    pub(crate) fn is_dirty(&self) -> bool {
        self.durable < self.version
    }

    /// Notes that a run is done; tells whether that was news.
    pub(crate) fn mark_done(&mut self, of: StepId, index: u32) -> bool {
        let Some(step) = self.steps.get_mut(&(of.time, of.step)) else {
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

    /// Takes note that a run of one of its tasks has begun; whether that was news.
    pub(crate) fn begin(&mut self) -> bool {
        let is_news = self.state == JobState::Queued && self.is_open();
        if is_news {
            self.state = JobState::Running;
            self.change();
        }
        is_news
    }

    /// Whether a run of one of its tasks has begun, or may have.
    pub(crate) fn may_have_begun(&self) -> bool {
        let mut tasks = self.steps.values().flat_map(|step| &step.tasks);
        self.state == JobState::Running || tasks.any(|task| !task.copies.is_empty())
    }

    /// Ends the job.
    pub(crate) fn end(&mut self, state: JobState, now: Now) {
        self.state = state;
        self.ended = now.wall;
        self.change();
    }
}

fn note_of(tasks: &StepTasks, step: &Step) -> StepNote {
    let mut note = StepNote::default();
    for (index, task) in tasks.tasks.iter().enumerate() {
        if task.done {
            note.done.push(index as u32);
            continue;
        }
        // Of a task that lasts, neither failures nor checkpoints count.
        let ended = !step.lasting && (!task.failed.is_empty() || !task.saved.is_empty());
        if ended || task.lost_workers() != 0 {
            let kept = TaskNote {
                run: task.run,
                failed: task.failed.clone(),
                saved: task.saved.clone(),
                crashed: task.crashed.clone(),
                doubted: task.doubted.clone(),
            };
            note.tasks.insert(index as u32, kept);
        }
    }
    note
}
