//! Caperhollow: fleet capacity and maintenance management over pools of hosts.
//!
//! Operators submit an intent and receive a plan with its moves and its cost; nothing happens until
//! they confirm it. All nodes are equal and keep no state of their own: each decision is a pure
//! function of the known state, the rules and the time, and each effect is a conditional write to
//! the platform's store.
//!
//! The public API serves the program's own binary, which only calls [`run`]. The types of [`model`]
//! are public for other programs that read or write the store's records.

mod cli;
mod decide;
mod demo;
mod entry;
mod error;
mod http;
mod jobs;
mod logging;
mod measure;
pub mod model;
mod node;
mod operator;
mod options;
mod platform;
mod preset;
mod rate;
mod scheduler;
mod settings;
mod standin;
#[cfg(test)]
mod tests;
mod time_limit;

pub use error::Error;

use std::{ffi::OsString, process::ExitCode};

/// Runs the program with its arguments, the first of which is its name, and returns its exit code.
///
/// ```
/// let ended = caperhollow::run(["caperhollow", "--version"].map(Into::into));
/// assert_eq!(format!("{ended:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
/// ```
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli::build().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return cli::report_error(&error),
    };
    match options::read(&matches).and_then(options::Options::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
