//! Files that operators write: a node's settings and the fleet's configuration, in JSON with
//! comments. All that is wrong with a file is told at once, each with its line and column.

pub(crate) mod fleet;
pub(crate) mod node;
mod reader;
pub(crate) mod scheduler;

pub(crate) use reader::{Problem, Problems};

#[cfg(test)]
mod tests;
