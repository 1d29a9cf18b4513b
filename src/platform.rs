//! The platform that the program runs on: its store, its list of hosts and its workers. No other
//! code knows how they are spoken to.

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
