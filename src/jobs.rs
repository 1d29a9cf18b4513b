//! The owner of a pool's jobs: a state machine without sockets. Its inputs are events and the
//! current time; its outputs are orders to workers and records to persist.
//!
//! Invariants, which hold however messages are lost or delayed:
//! - A task has a run registered at a worker from before its start is ordered until it is certain
//!   that the run has ended or can never begin. The task is not given to another worker meanwhile.
//! - The end of a run is acknowledged to its worker only once the progress that counts it is
//!   durable.
//! - After a change of owner, tasks of earlier jobs wait until every worker that may run them has
//!   seen the new owner's token, or everything that it may run has lapsed. A change of
//!   which workers may run which tasks is persisted before it takes effect.

pub(crate) mod accounts;
pub(crate) mod admission;
pub(crate) mod balance;
pub(crate) mod delegates;
pub(crate) mod event;
pub(crate) mod fleet;
pub(crate) mod handover;
pub(crate) mod job;
pub(crate) mod message_loss;
pub(crate) mod outage;
pub(crate) mod owner;
pub(crate) mod reach;
pub(crate) mod roster;
pub(crate) mod run_end;
pub(crate) mod save_queue;
pub(crate) mod spread;
pub(crate) mod start;
pub(crate) mod table;
pub(crate) mod unsettled;
pub(crate) mod urgency;
pub(crate) mod weights;
pub(crate) mod worker;

#[cfg(test)]
mod tests;
