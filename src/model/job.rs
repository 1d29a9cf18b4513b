//! Jobs as submitted by callers, their tasks, and the two records stored for each job.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{AccountId, Incarnation, PoolId},
    unit::{Megabytes, Millicores, Time},
};

/// The error for a text that is not the identifier of a job or a task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {kind}")]
pub struct JobIdError {
    kind: &'static str,
    text: String,
}

/// A job's identifier, chosen by its caller: 16 hexadecimal digits.
///
/// ```
/// use caperhollow::model::job::JobId;
/// let id: JobId = "00e0f5a2b4c6d801".parse().unwrap();
/// assert_eq!(id.to_string(), "00e0f5a2b4c6d801");
/// assert!("e0f5".parse::<JobId>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(u64);

impl JobId {
    /// The numeric value of the identifier.
    pub(crate) fn number(self) -> u64 {
        self.0
    }

    /// The identifier with a given numeric value.
    pub(crate) fn from_number(number: u64) -> JobId {
        JobId(number)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<JobId, JobIdError> {
        let error =
            || JobIdError { kind: "a job identifier: 16 hex digits", text: text.to_owned() };
        let digits = text.bytes().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 16 || !digits {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| error())
    }
}

/// One step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The occurrence of a repeating job, counted from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// The number of the step within its job, counted from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
///
/// ```
/// use caperhollow::model::job::TaskId;
/// let id: TaskId = "00e0f5a2b4c6d801.0.1.17".parse().unwrap();
/// assert_eq!((id.of.step, id.index), (1, 17));
/// assert_eq!(id.to_string(), "00e0f5a2b4c6d801.0.1.17");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// The step that the task belongs to.
    pub of: StepId,
    /// The task's number within its step, counted from 0.
    pub index: u32,
}

impl TryFrom<String> for TaskId {
    type Error = JobIdError;

    fn try_from(text: String) -> Result<TaskId, JobIdError> {
        text.parse()
    }
}

impl From<TaskId> for String {
    fn from(id: TaskId) -> String {
        id.to_string()
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.of, self.index)
    }
}

impl FromStr for TaskId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<TaskId, JobIdError> {
        let error =
            || JobIdError { kind: "a task identifier: JOB.TIME.STEP.INDEX", text: text.to_owned() };
        let mut parts = text.split('.');
        let job = parts.next().and_then(|part| part.parse().ok()).ok_or_else(error)?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let (time, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(TaskId { of: StepId { job, occurrence: time, step }, index })
    }
}

/// Resources that a worker offers or a task requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskResources {
    /// CPU time.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub cpu: Millicores,
    /// Memory.
    #[serde(rename = "m", default, skip_serializing_if = "is_default")]
    pub memory: Megabytes,
    /// Accelerators.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub gpus: u32,
}

impl TaskResources {
    /// Whether `more` fits into `self` when `used` of it is already in use.
    pub(crate) fn fits(&self, used: &TaskResources, more: &TaskResources) -> bool {
        used.cpu.0 + more.cpu.0 <= self.cpu.0
            && used.memory.0 + more.memory.0 <= self.memory.0
            && used.gpus + more.gpus <= self.gpus
    }

    /// Whether no resource exceeds that of `other`.
    pub(crate) fn is_within(&self, other: &TaskResources) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpus <= other.gpus
    }

    pub(crate) fn add(&mut self, more: &TaskResources) {
        self.cpu.0 += more.cpu.0;
        self.memory.0 += more.memory.0;
        self.gpus += more.gpus;
    }

    pub(crate) fn subtract(&mut self, less: &TaskResources) {
        self.cpu.0 = self.cpu.0.saturating_sub(less.cpu.0);
        self.memory.0 = self.memory.0.saturating_sub(less.memory.0);
        self.gpus = self.gpus.saturating_sub(less.gpus);
    }
}

pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One step of a job: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    #[serde(rename = "n")]
    pub count: u32,
    /// Resources that each task requires of its worker.
    #[serde(rename = "r")]
    pub need: TaskResources,
    /// The caller's estimate of a task's duration, in milliseconds.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done before this step starts.
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// The tasks only make progress while all of them run.
    #[serde(rename = "gg", default, skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The tasks are slow when spread over more than one rack.
    #[serde(rename = "sr", default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have; empty if any worker will do.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub label: String,
    /// The rack that holds the tasks' data; empty for none.
    #[serde(rename = "nr", default, skip_serializing_if = "is_default")]
    pub data_rack: String,
    /// Maximum tasks of one step and occurrence on one worker; 0 for no limit.
    #[serde(rename = "ap", default, skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Several runs of a task may be active at the same time.
    #[serde(rename = "sp", default, skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// The tasks save checkpoints.
    #[serde(rename = "ck", default, skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "la", default, skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    #[serde(rename = "im", default, skip_serializing_if = "is_default")]
    pub image: String,
    /// Upper limit for the tail latency of a serving task, in milliseconds; 0 for none.
    #[serde(rename = "tg", default, skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// The tasks run in the background on CPU time that other tasks leave unused: they are not
    /// charged for CPU time.
    #[serde(rename = "fi", default, skip_serializing_if = "is_default")]
    pub background: bool,
    /// A task of a long-running step is stopped only while fewer than this many are unavailable; 0
    /// for no limit.
    #[serde(rename = "mm", default, skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

impl Step {
    /// The resources that a task is charged for on its worker.
    pub(crate) fn charge(&self) -> TaskResources {
        let cpu = if self.background { Millicores(0) } else { self.need.cpu };
        TaskResources { cpu, ..self.need }
    }
}

/// Timing of the advice service, which names the workers that may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Duration of each call, in milliseconds.
    pub decide_ms: u64,
    /// Additional duration for each worker named in the call, in milliseconds.
    pub each_ms: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// The stored definition of a job; written once, when the job is accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue's name.
    #[serde(rename = "q")]
    pub queue: String,
    /// The pool whose workers run the tasks.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// The payload passed to each task.
    #[serde(rename = "s")]
    pub payload: Arc<str>,
    /// The steps.
    #[serde(rename = "t")]
    pub steps: Vec<Step>,
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub repeats: u32,
    /// When the first occurrence is due.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub first: Time,
    /// Interval between two occurrences, in milliseconds.
    #[serde(rename = "i", default, skip_serializing_if = "is_default")]
    pub every_ms: u64,
    /// The client account that submitted it; `None` if its queue needs no key.
    #[serde(rename = "ac", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountId>,
    /// Priority; 0 is the highest.
    #[serde(rename = "o", default, skip_serializing_if = "is_default")]
    pub priority: u32,
    /// Number of failed runs of a task that fail its job.
    #[serde(rename = "m")]
    pub max_attempts: u32,
    /// The completion time objective, in percent of the job's critical path.
    #[serde(rename = "st", default, skip_serializing_if = "is_default")]
    pub stretch_percent: u32,
    /// Fixed allowance added to the objective, in milliseconds.
    #[serde(rename = "ta", default, skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Set if the steps need tickets of the advice service.
    #[serde(rename = "ad", default, skip_serializing_if = "is_default")]
    pub advice: Option<AdviceTiming>,
    /// When the job was accepted.
    #[serde(rename = "at")]
    pub accepted: Time,
}

impl JobRecord {
    /// Number of occurrences, at least 1.
    pub(crate) fn occurrences(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When an occurrence is due.
    pub(crate) fn due(&self, occurrence: u32) -> Time {
        match self.repeats {
            0 => self.accepted,
            _ => Time::from_millis(self.first.as_millis() + u64::from(occurrence) * self.every_ms),
        }
    }

    /// Whether any step runs until the job is cancelled.
    pub(crate) fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// The state of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    #[serde(rename = "q")]
    Queued,
    /// A task has started.
    #[serde(rename = "r")]
    Running,
    /// Every task has succeeded.
    #[serde(rename = "s")]
    Succeeded,
    /// A task has failed as often as its job allows.
    #[serde(rename = "f")]
    Failed,
    /// The caller has cancelled the job.
    #[serde(rename = "c")]
    Cancelled,
}

impl JobState {
    /// Whether the state never changes again.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, JobState::Succeeded | JobState::Failed | JobState::Cancelled)
    }
}

/// Persisted progress of a task that is not done.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The highest run number known to have been issued.
    #[serde(rename = "r", default, skip_serializing_if = "is_default")]
    pub run: u32,
    /// Numbers of the runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub failed: Vec<u32>,
    /// The newest checkpoint; empty for none.
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    pub checkpoint: String,
    /// Workers that crashed while running the task.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub crashed: BTreeSet<Incarnation>,
    /// Workers that may have crashed while running the task; not confirmed.
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub unconfirmed_crashes: BTreeSet<Incarnation>,
}

/// Persisted progress of a step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepProgress {
    /// Indexes of the tasks that are done.
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub done: Vec<u32>,
    /// Progress of other tasks, by index.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub tasks: BTreeMap<u32, TaskProgress>,
}

/// Persisted progress of a job that has started; written only by the owner of its pool.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The state.
    #[serde(rename = "s")]
    pub state: JobState,
    /// When the state became final.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub ended: Time,
    /// Steps with any progress, by `TIME.STEP`: the numbers of the occurrence and of the step.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub steps: BTreeMap<String, StepProgress>,
}
