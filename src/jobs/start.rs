//! The decision of a start, in five steps. Each is a function of its own over plain data:
//!
//! 1. [`allowed`]: which waiting tasks of a step may start within the limit of their client account.
//! 2. [`turn`]: in which order jobs get resources.
//! 3. [`eligible`]: at which workers a task may run.
//! 4. [`best`]: which of these workers is preferred.
//! 5. [`route`]: which node makes the call to the worker.

pub(crate) mod allowed;
pub(crate) mod best;
pub(crate) mod eligible;
pub(crate) mod fair_share;
pub(crate) mod free;
pub(crate) mod route;
mod spread;
pub(crate) mod turn;

#[cfg(test)]
mod tests;
