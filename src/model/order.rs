//! Orders to workers, and the results of the advice service, which issues tickets for them.

use std::sync::Arc;

use crate::model::{
    id::{Incarnation, WorkerId},
    job::TaskId,
};

/// The worker that an order goes to, and the fencing token of the owner that sends it.
#[derive(Debug, Clone)]
pub(crate) struct Addressee {
    pub(crate) worker: Incarnation,
    pub(crate) address: String,
    /// The fencing token: a worker that has seen a higher one refuses the order.
    pub(crate) token: u64,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) payload: Arc<str>,
    /// End of the worker's lease, on the worker's clock: all its runs may continue until then.
    pub(crate) until_ms: u64,
    /// The checkpoint to resume from; empty for none.
    pub(crate) checkpoint: String,
    /// The ticket of the advice service; empty for none.
    pub(crate) ticket: String,
}

/// Maximum workers named in one call to the advice service.
pub(crate) const MAX_NAMED_WORKERS: usize = 100;

/// The result of asking the advice service about a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AdviceResult {
    /// The workers that may run the step, each with its ticket.
    Granted(Vec<(WorkerId, String)>),
    /// Too many calls are waiting.
    Busy,
    /// The service did not answer.
    Failed,
}
