//! The owner of a pool's jobs: a state machine without sockets. Events and the present time go in,
//! orders to workers and records to be kept come out.
//!
//! What must hold at every moment, whatever was lost or late:
//! - A task has a copy at a worker from before its start is ordered until it is certain that the
//!   run has ended or can never begin. No other worker is given the task meanwhile.
//! - An end is acknowledged to its worker only once the progress that counts it is durable.
//! - After a change of owners, tasks of earlier jobs wait until every worker that may run them has
//!   seen the new owner's token, or everything that it may run has lapsed. Which workers may run
//!   what is kept before it changes.

pub(crate) mod balance;
pub(crate) mod event;
pub(crate) mod fleet;
pub(crate) mod gone;
pub(crate) mod handover;
pub(crate) mod helpers;
pub(crate) mod job;
pub(crate) mod losses;
pub(crate) mod owner;
pub(crate) mod place;
pub(crate) mod roster;
pub(crate) mod saves;
pub(crate) mod urgency;
pub(crate) mod worker;

#[cfg(test)]
mod tests;
