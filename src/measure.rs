//! Experiments: policies over drawn failures, the path of a request, and the cost of control.

use std::path::PathBuf;

use crate::error::Error;

/// How an experiment is run.
pub(crate) struct Options {
    pub(crate) experiment: Experiment,
    pub(crate) export: Export,
}
pub(crate) enum Experiment {
    Waves { preset: String, policies: Vec<String>, seeds: Vec<u64> },
    Path { callers: u32, requests: u32 },
    Node,
}
pub(crate) struct Export {
    pub(crate) json: Option<PathBuf>,
    pub(crate) markdown: Option<PathBuf>,
}
pub(crate) const POLICIES: [&str; 4] = ["ours", "one-at-a-time", "rack-by-rack", "random"];
pub(crate) fn run(_options: Options) -> Result<(), Error> {
    Ok(())
}
