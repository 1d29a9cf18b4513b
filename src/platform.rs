//! Clients of the platform: its store, its host list and its workers. The platform's protocols are
//! not used elsewhere.

pub(crate) mod advice;
mod call_limits;
pub(crate) mod caller;
pub(crate) mod connections;
pub(crate) mod hosts;
pub(crate) mod kv;
pub(crate) mod machines;
pub(crate) mod records;
pub(crate) mod store;
pub(crate) mod worker;
pub(crate) mod worker_client;

#[cfg(test)]
mod tests;
