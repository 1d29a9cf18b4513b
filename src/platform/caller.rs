//! JSON of the callers' API: submitted jobs, and answers on jobs and queues.

use poem::Request;
use serde::{Deserialize, Serialize};

use crate::model::{
    account::{ApiKey, ApiKeyError},
    id::AccountId,
    job::{JobRecord, JobState, Step, TaskResources},
    queue::Queue,
    unit::{Megabytes, Millicores, Time},
};

/// Maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Copies of a job's body, at most, until it is written: its texts, its record, and the record in a
/// call of the store, in base64 and as JSON.
const BODY_COPIES: usize = 6;

/// The header with the key of the caller's account.
const KEY_HEADER: &str = "Key";

/// The key that a request presents, if any.
pub(crate) fn key(request: &Request) -> Option<Result<ApiKey, ApiKeyError>> {
    let value = request.headers().get(KEY_HEADER)?;
    Some(value.to_str().map_err(|_| ApiKeyError).and_then(str::parse))
}

/// Why a submitted job is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JobError {
    #[error("the body is not a valid job: {0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error("`spec` has {0} bytes: at most {MAX_PAYLOAD_BYTES} are allowed")]
    PayloadTooLarge(usize),
    #[error("`steps` is empty: a job needs at least one")]
    NoSteps,
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    StepOrder { step: usize, after: u32 },
}

#[derive(Deserialize)]
struct WireJob {
    #[serde(default)]
    spec: String,
    steps: Vec<WireStep>,
    #[serde(default)]
    repeat_count: u32,
    #[serde(default)]
    first_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

#[derive(Deserialize)]
#[serde(default)]
struct WireStep {
    count: u32,
    cpu: u32,
    mem_mb: u32,
    gpu: u32,
    estimated_ms: u64,
    /// Indexes of the earlier steps that must finish first. Despite its name, not a revision.
    since_revision: Vec<u32>,
    checkpointing: bool,
    gang: bool,
    same_rack: bool,
    requires: String,
    /// The rack that holds the step's data.
    affinity: String,
    /// Maximum number of the step's tasks on one worker.
    anti_affinity: u32,
    speculative: bool,
    long_running: bool,
    image: String,
    target_ms: u64,
    fills: bool,
    may_miss: u32,
}

impl Default for WireStep {
    fn default() -> WireStep {
        WireStep {
            count: 1,
            cpu: 0,
            mem_mb: 0,
            gpu: 0,
            estimated_ms: 0,
            since_revision: Vec::new(),
            checkpointing: false,
            gang: false,
            same_rack: false,
            requires: String::new(),
            affinity: String::new(),
            anti_affinity: 0,
            speculative: false,
            long_running: false,
            image: String::new(),
            target_ms: 0,
            fills: false,
            may_miss: 0,
        }
    }
}

/// Memory that a submitted job takes at most until it is written: its steps as they are read and as
/// they are kept, and the copies of its body in the calls of the store.
pub(crate) fn job_bytes(body: &[u8]) -> usize {
    let objects = body.iter().filter(|byte| **byte == b'{').count();
    // A list that grows has up to twice the capacity that it needs.
    let step_bytes = 2 * size_of::<WireStep>() + size_of::<Step>();
    BODY_COPIES * body.len() + objects * step_bytes
}

/// Parses a job that was submitted to a queue by an account.
pub(crate) fn job(
    body: &[u8],
    queue: &Queue,
    account: Option<AccountId>,
    now: Time,
) -> Result<JobRecord, JobError> {
    let wire: WireJob = serde_json::from_slice(body)?;
    if MAX_PAYLOAD_BYTES < wire.spec.len() {
        return Err(JobError::PayloadTooLarge(wire.spec.len()));
    }
    if wire.steps.is_empty() {
        return Err(JobError::NoSteps);
    }
    for (number, step) in wire.steps.iter().enumerate() {
        if let Some(after) = step.since_revision.iter().find(|after| number <= **after as usize) {
            return Err(JobError::StepOrder { step: number, after: *after });
        }
    }
    Ok(JobRecord {
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        payload: wire.spec.into(),
        steps: wire.steps.into_iter().map(step).collect(),
        repeats: wire.repeat_count,
        first: Time::from_millis(wire.first_ms),
        every_ms: wire.interval_ms,
        account,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        stretch_percent: queue.stretch_percent,
        target_ms: queue.target_ms,
        advice: queue.advice,
        accepted: now,
    })
}

fn step(wire: WireStep) -> Step {
    Step {
        count: wire.count,
        need: TaskResources {
            cpu: Millicores(wire.cpu),
            memory: Megabytes(wire.mem_mb),
            gpus: wire.gpu,
        },
        estimate_ms: wire.estimated_ms,
        after: wire.since_revision,
        gang: wire.gang,
        same_rack: wire.same_rack,
        label: wire.requires,
        data_rack: wire.affinity,
        max_per_worker: wire.anti_affinity,
        speculative: wire.speculative,
        checkpoints: wire.checkpointing,
        long_running: wire.long_running,
        image: wire.image,
        target_ms: wire.target_ms,
        background: wire.fills,
        max_unavailable: wire.may_miss,
    }
}

#[derive(Serialize)]
pub(crate) struct StateAnswer {
    state: &'static str,
}

/// Converts a job's state into its answer.
pub(crate) fn state(state: JobState) -> StateAnswer {
    let state = match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Succeeded => "succeeded",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    };
    StateAnswer { state }
}

/// Answer on the state of a queue.
#[derive(Serialize)]
pub(crate) struct PendingAnswer {
    /// Number of accepted jobs that have not started any task.
    pub(crate) pending: usize,
}
