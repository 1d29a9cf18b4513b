//! Input events and output effects of an owner.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::model::{
    id::{Incarnation, WorkerId},
    job::{JobId, JobRecord, Progress, StepId, TaskId},
    order::{Addressee, AdviceResult, Start},
    unit::{Revision, Steady},
    worker::{OrderResult, PollResponse, WorkerReport},
};

/// A job as it is stored.
#[derive(Debug, Clone)]
pub(crate) struct StoredJob {
    pub(crate) id: JobId,
    pub(crate) record: Arc<JobRecord>,
    /// Revision of the record: below the owner's token, the job was accepted under an earlier
    /// owner.
    pub(crate) revision: Revision,
    pub(crate) progress: Option<Arc<Progress>>,
    /// Revision of the progress; 0 if there is none.
    pub(crate) progress_revision: Revision,
    pub(crate) cancelled: bool,
}

/// An input of an owner.
#[derive(Debug)]
pub(crate) enum Event {
    Job(StoredJob),
    /// The job's record was removed at the end of its retention time.
    Removed(JobId),
    /// The job has ended, or was never accepted: ends of its runs need not be persisted.
    JobOver(JobId),
    Cancelled(JobId),
    Worker(WorkerReport),
    /// A worker of another pool, which may use the host or address of a worker of this pool.
    OtherPool(WorkerReport),
    /// The store no longer lists the worker's report.
    Unlisted(WorkerId),
    /// The entry under the worker's id is not its own report, or cannot be read.
    InvalidEntry(WorkerId),
    Started {
        worker: Incarnation,
        task: TaskId,
        run: u32,
        end: OrderResult<u64>,
    },
    Stopped {
        worker: Incarnation,
        task: TaskId,
        run: u32,
        end: OrderResult<u64>,
    },
    Polled {
        worker: Incarnation,
        sent: Steady,
        end: OrderResult<PollResponse>,
    },
    Throttled {
        worker: Incarnation,
        task: TaskId,
        percent: u32,
        end: OrderResult<u64>,
    },
    Advised {
        step: StepId,
        asked: Vec<Incarnation>,
        sent: Steady,
        end: AdviceResult,
    },
}

/// An action that an owner requests: an order to a worker, or a call for advice.
#[derive(Debug, Clone)]
pub(crate) enum Effect {
    Start { to: Addressee, start: Start },
    Stop { to: Addressee, task: TaskId, run: u32 },
    Poll { to: Addressee, acknowledged: u64, until_ms: Option<u64>, wait: Duration },
    Throttle { to: Addressee, task: TaskId, run: u32, percent: u32 },
    Advise { step: StepId, workers: Vec<Incarnation>, needs: Duration },
}

/// A write of a job's progress.
#[derive(Debug, Clone)]
pub(crate) struct ProgressWrite {
    pub(crate) job: JobId,
    pub(crate) value: Bytes,
    /// Condition of the write: the revision of the stored progress; 0 if there must be none.
    pub(crate) expected_revision: Revision,
    /// The version of the job that the value contains.
    pub(crate) version: u64,
}
