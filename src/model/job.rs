//! Jobs as callers hand them in, their tasks, and the two records that are kept of each job.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{Incarnation, PoolId},
    unit::{Megabytes, Millicores, Time},
};

/// Why a text does not name a job or a task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {kind}")]
pub struct JobIdError {
    kind: &'static str,
    text: String,
}

/// A job's identifier, which its caller chose: 16 hexadecimal digits.
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
    /// The identifier as a number.
    pub(crate) fn number(self) -> u64 {
        self.0
    }

    /// The identifier that is a number.
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
        let error = || JobIdError { kind: "a job: 16 hex digits", text: text.to_owned() };
        let digits = text.bytes().all(|c| matches!(c, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 16 || !digits {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(JobId).map_err(|_| error())
    }
}

/// One step of one time that a job is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Which time the job is due, counted from 0.
    pub time: u32,
    /// The step, counted from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.time, self.step)
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
    /// The step that the task is part of.
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
        let error = || JobIdError { kind: "a task: JOB.TIME.STEP.INDEX", text: text.to_owned() };
        let mut parts = text.split('.');
        let job = parts.next().and_then(|part| part.parse().ok()).ok_or_else(error)?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let (time, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(TaskId { of: StepId { job, time, step }, index })
    }
}

/// What a worker offers, and what a task takes of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Room {
    /// Processor time.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub cpu: Millicores,
    /// Memory.
    #[serde(rename = "m", default, skip_serializing_if = "is_default")]
    pub memory: Megabytes,
    /// Accelerators.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub gpus: u32,
}

impl Room {
    /// Whether this much is left where `used` of `self` is in use.
    pub(crate) fn fits(&self, used: &Room, more: &Room) -> bool {
        used.cpu.0 + more.cpu.0 <= self.cpu.0
            && used.memory.0 + more.memory.0 <= self.memory.0
            && used.gpus + more.gpus <= self.gpus
    }

    /// Whether this is no more than `other` of anything.
    pub(crate) fn is_within(&self, other: &Room) -> bool {
        self.cpu <= other.cpu && self.memory <= other.memory && self.gpus <= other.gpus
    }

    pub(crate) fn add(&mut self, more: &Room) {
        self.cpu.0 += more.cpu.0;
        self.memory.0 += more.memory.0;
        self.gpus += more.gpus;
    }

    pub(crate) fn take(&mut self, less: &Room) {
        self.cpu.0 = self.cpu.0.saturating_sub(less.cpu.0);
        self.memory.0 = self.memory.0.saturating_sub(less.memory.0);
        self.gpus = self.gpus.saturating_sub(less.gpus);
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One step of a job: equal tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    #[serde(rename = "n")]
    pub count: u32,
    /// What each task takes of a worker.
    #[serde(rename = "r")]
    pub need: Room,
    /// The caller's guess of how long a task takes, in milliseconds.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Earlier steps all of whose tasks must be done before.
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub after: Vec<u32>,
    /// The tasks work only together.
    #[serde(rename = "gg", default, skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The tasks are slow when they are on more than one rack.
    #[serde(rename = "sr", default, skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub label: String,
    /// The rack that holds the data; empty for none.
    #[serde(rename = "nr", default, skip_serializing_if = "is_default")]
    pub near: String,
    /// Most tasks of the step and time on one worker; 0 for no bound.
    #[serde(rename = "ap", default, skip_serializing_if = "is_default")]
    pub apart: u32,
    /// Copies of a task may run at the same time.
    #[serde(rename = "sp", default, skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// The tasks save checkpoints.
    #[serde(rename = "ck", default, skip_serializing_if = "is_default")]
    pub saves: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "la", default, skip_serializing_if = "is_default")]
    pub lasting: bool,
    /// What the tasks run; tasks with the same image behave alike.
    #[serde(rename = "im", default, skip_serializing_if = "is_default")]
    pub image: String,
    /// The tail of the answer times of a serving task must stay below this; 0 for none.
    #[serde(rename = "tg", default, skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// The tasks use what others leave: their processor time is not charged.
    #[serde(rename = "fi", default, skip_serializing_if = "is_default")]
    pub fills: bool,
    /// How many tasks of a lasting step may be away at once through our own doing; 0 for no bound.
    #[serde(rename = "mm", default, skip_serializing_if = "is_default")]
    pub may_miss: u32,
}

impl Step {
    /// What a task is charged on its worker.
    pub(crate) fn charge(&self) -> Room {
        let cpu = if self.fills { Millicores(0) } else { self.need.cpu };
        Room { cpu, ..self.need }
    }
}

/// The pace of the service that tells which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Advice {
    /// Milliseconds of each call.
    pub decide_ms: u64,
    /// Milliseconds more for each worker named.
    pub each_ms: u64,
    /// How long a ticket holds, in milliseconds.
    pub valid_ms: u64,
}

/// What is kept of a job from its acceptance on; written once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue's name.
    #[serde(rename = "q")]
    pub queue: String,
    /// The pool whose workers run the tasks.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// What is handed to each task.
    #[serde(rename = "s")]
    pub payload: Arc<str>,
    /// The steps.
    #[serde(rename = "t")]
    pub steps: Vec<Step>,
    /// How many times the steps run at times of their own; 0: once, at once.
    #[serde(rename = "x", default, skip_serializing_if = "is_default")]
    pub repeats: u32,
    /// When the first of these times is due.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub first: Time,
    /// Milliseconds between two times.
    #[serde(rename = "i", default, skip_serializing_if = "is_default")]
    pub every_ms: u64,
    /// 0 comes first.
    #[serde(rename = "o", default, skip_serializing_if = "is_default")]
    pub priority: u32,
    /// A task that has failed so often fails its job.
    #[serde(rename = "m")]
    pub attempts: u32,
    /// The objective, as a multiple of the job's longest chain of work, in percent.
    #[serde(rename = "st", default, skip_serializing_if = "is_default")]
    pub stretch: u32,
    /// What is added to the objective, in milliseconds.
    #[serde(rename = "ta", default, skip_serializing_if = "is_default")]
    pub target_ms: u64,
    /// Set if the queue's steps need tickets.
    #[serde(rename = "ad", default, skip_serializing_if = "is_default")]
    pub advice: Option<Advice>,
    /// When the job was accepted.
    #[serde(rename = "at")]
    pub accepted: Time,
}

impl JobRecord {
    /// How many times the steps run.
    pub(crate) fn times(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When a time is due.
    pub(crate) fn due(&self, time: u32) -> Time {
        match self.repeats {
            0 => self.accepted,
            _ => Time::from_millis(self.first.as_millis() + u64::from(time) * self.every_ms),
        }
    }

    /// Whether a step lasts until the job is cancelled.
    pub(crate) fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

/// What callers are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    #[default]
    #[serde(rename = "q")]
    Queued,
    /// A task has begun.
    #[serde(rename = "r")]
    Running,
    /// Every task has succeeded.
    #[serde(rename = "s")]
    Succeeded,
    /// A task has failed as often as its queue allows.
    #[serde(rename = "f")]
    Failed,
    /// The caller has cancelled the job.
    #[serde(rename = "c")]
    Cancelled,
}

impl JobState {
    /// Whether nothing more happens to the job.
    pub(crate) fn is_final(self) -> bool {
        matches!(self, JobState::Succeeded | JobState::Failed | JobState::Cancelled)
    }
}

/// What is kept of a task that is not done.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskNote {
    /// The highest run that is known to have been given.
    #[serde(rename = "r", default, skip_serializing_if = "is_default")]
    pub run: u32,
    /// The runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub failed: Vec<u32>,
    /// The newest checkpoint; empty for none.
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    pub saved: String,
    /// The workers that crashed under a run of it.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub crashed: BTreeSet<Incarnation>,
    /// The workers that may have crashed under a run of it.
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub doubted: BTreeSet<Incarnation>,
}

/// What is kept of a step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepNote {
    /// The tasks that are done.
    #[serde(rename = "d", default, skip_serializing_if = "is_default")]
    pub done: Vec<u32>,
    /// What is known of others.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub tasks: BTreeMap<u32, TaskNote>,
}

/// What is kept of a job that has begun; written by its pool's owner only.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// The state.
    #[serde(rename = "s")]
    pub state: JobState,
    /// When the state became final.
    #[serde(rename = "e", default, skip_serializing_if = "is_default")]
    pub ended: Time,
    /// Steps of which something is known, by `TIME.STEP`.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub steps: BTreeMap<String, StepNote>,
}
