//! The data that every part of the program shares: identifiers, units and records.

pub(crate) mod account;
pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod host;
pub mod id;
pub mod job;
pub(crate) mod order;
pub(crate) mod plan;
pub(crate) mod queue;
pub(crate) mod record;
pub(crate) mod request;
pub mod unit;
pub(crate) mod worker;
pub(crate) mod zone;
