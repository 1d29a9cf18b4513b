//! Decisions: pure functions of a fleet view, the rules and the current time.

pub(crate) mod apply;
pub(crate) mod baseline;
pub(crate) mod budget;
pub(crate) mod claim;
pub(crate) mod order;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod pools;
pub(crate) mod rendezvous;
pub(crate) mod repair;
pub(crate) mod route;
pub(crate) mod rules;
pub(crate) mod simulate;
pub(crate) mod wave;

#[cfg(test)]
mod tests;
