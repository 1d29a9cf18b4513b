//! What an owner is told, and what it wants done.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::model::{
    id::{Incarnation, WorkerId},
    job::{JobId, JobRecord, Progress, StepId, TaskId},
    order::{Addressee, Advised, Start},
    unit::{Revision, Steady},
    worker::{Look, OrderEnd, WorkerReport},
};

/// A job as the store has it.
#[derive(Debug, Clone)]
pub(crate) struct StoredJob {
    pub(crate) id: JobId,
    pub(crate) record: Arc<JobRecord>,
    /// Of the record: jobs below the owner's token are from before its time.
    pub(crate) revision: Revision,
    pub(crate) progress: Option<Arc<Progress>>,
    /// Of the progress; 0 if there is none.
    pub(crate) saved_at: Revision,
    pub(crate) cancelled: bool,
}

/// What an owner is told.
#[derive(Debug)]
pub(crate) enum Event {
    Job(StoredJob),
    /// The job's record is removed: its time to be asked for is over.
    Removed(JobId),
    /// The job has ended, or was never accepted: nothing need be kept of ends of its tasks.
    Over(JobId),
    Cancelled(JobId),
    Worker(WorkerReport),
    /// A worker of another pool, which may have the place of one of this pool.
    Elsewhere(WorkerReport),
    /// The worker's report is no longer listed.
    Unlisted(WorkerId),
    /// What is listed under the worker's id is not its own report, or cannot be read.
    Barred(WorkerId),
    Started {
        worker: Incarnation,
        task: TaskId,
        run: u32,
        end: OrderEnd<u64>,
    },
    Stopped {
        worker: Incarnation,
        task: TaskId,
        run: u32,
        end: OrderEnd<u64>,
    },
    Looked {
        worker: Incarnation,
        sent: Steady,
        end: OrderEnd<Look>,
    },
    Paced {
        worker: Incarnation,
        task: TaskId,
        percent: u32,
        end: OrderEnd<u64>,
    },
    Advised {
        step: StepId,
        asked: Vec<Incarnation>,
        sent: Steady,
        end: Advised,
    },
}

/// What an owner wants done.
#[derive(Debug, Clone)]
pub(crate) enum Effect {
    Start { to: Addressee, start: Start },
    Stop { to: Addressee, task: TaskId, run: u32 },
    Look { to: Addressee, acknowledged: u64, until_ms: Option<u64>, wait: Duration },
    Pace { to: Addressee, task: TaskId, run: u32, percent: u32 },
    Advise { step: StepId, workers: Vec<Incarnation>, needs: Duration },
}

/// The progress of a job, to be written.
#[derive(Debug, Clone)]
pub(crate) struct Save {
    pub(crate) job: JobId,
    pub(crate) value: Bytes,
    /// The revision that the written progress must have; 0: there must be none.
    pub(crate) expects: Revision,
    /// Counts the changes that the value holds.
    pub(crate) version: u64,
}
