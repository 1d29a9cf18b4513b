//! Files written by operators: node settings and the fleet's configuration, in JSON with comments.
//! All problems of a file are reported together, each with its line and column.

pub(crate) mod clients;
pub(crate) mod fleet;
pub(crate) mod node;
mod reader;
pub(crate) mod scheduler;

pub(crate) use reader::{Problem, Problems};

#[cfg(test)]
mod tests;
