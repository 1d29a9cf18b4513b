//! Orders to workers, and what is asked of the service that gives tickets for them.

use std::sync::Arc;

use crate::model::{
    id::{Incarnation, WorkerId},
    job::TaskId,
};

/// Whom an order goes to, and in whose name.
#[derive(Debug, Clone)]
pub(crate) struct Addressee {
    pub(crate) worker: Incarnation,
    pub(crate) address: String,
    /// The fencing token: a worker that has seen a higher one does nothing.
    pub(crate) token: u64,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) payload: Arc<str>,
    /// Until when everything there may run, on the worker's clock.
    pub(crate) until_ms: u64,
    /// Empty for none.
    pub(crate) checkpoint: String,
    /// Empty for none.
    pub(crate) ticket: String,
}

/// Most workers that one question may name.
pub(crate) const MOST_NAMED: usize = 100;

/// What the service that gives tickets said of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Advised {
    /// The workers that may run the step, each with its ticket.
    Good(Vec<(WorkerId, String)>),
    /// Too many wait.
    Busy,
    /// It gave no answer.
    Failed,
}
