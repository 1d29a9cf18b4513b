//! Clients of the platform: its store, its host list and its workers. The platform's protocols are
//! not used elsewhere.

pub(crate) mod advice;
pub(crate) mod caller;
pub(crate) mod connections;
pub(crate) mod hosts;
pub(crate) mod kv;
mod lines;
pub(crate) mod machines;
pub(crate) mod records;
pub(crate) mod runner;
pub(crate) mod store;
pub(crate) mod worker;

#[cfg(test)]
mod tests;
