//! Caperhollow: fleet capacity and maintenance management over pools of hosts.
//!
//! Operators state an intent; the answer is a plan of what moves and what it costs; nothing
//! happens until they confirm. Every node is equal and keeps nothing: each decision is a pure
//! function of what is known, the rules and the time, and each effect is a conditional write to
//! the platform's store.
//!
//! What is public here serves the program's own binary; [`run`] is all that it calls. The types of
//! [`model`] are public for those who read or write the store's records by other programs.

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
mod scheduler;
mod settings;
mod standin;
#[cfg(test)]
mod tests;

pub use error::Error;

use std::{ffi::OsString, process::ExitCode};

/// Runs the program with its arguments, the first of which is its name, and tells how it ended.
///
/// ```
/// let ended = caperhollow::run(["caperhollow", "--version"].map(Into::into));
/// assert_eq!(format!("{ended:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));
/// ```
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match cli::build().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return cli::tell(&error),
    };
    match options::read(&matches).and_then(options::Options::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
