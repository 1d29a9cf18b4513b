//! The operators' API that every node serves, and the commands that call it.

pub(crate) mod api;
pub(crate) mod client;
pub(crate) mod commands;
pub(crate) mod message;
pub(crate) mod show;
pub(crate) mod status;

#[cfg(test)]
mod tests;
