//! Errors that end a command, with messages that a user can act on.

use std::process::ExitCode;

use crate::settings::Problems;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file written by the user is invalid.
    #[error("{0}")]
    Settings(SettingsError),
    /// A node refused the request.
    #[error("node {node} refused: {reason}")]
    Refused {
        /// The node's address.
        node: String,
        /// The reason of the refusal.
        reason: String,
    },
    /// A node could not be reached, or did not answer.
    #[error("node {node}, {step}: {cause}; check the address, or name another node with --node")]
    NotReached {
        /// The node's address.
        node: String,
        /// The request that failed.
        step: &'static str,
        /// The cause of the failure.
        cause: String,
    },
    /// An operation of the operating system failed.
    #[error("{step}: {cause}")]
    System {
        /// The operation.
        step: String,
        /// The cause of the failure.
        cause: String,
    },
    /// A check made by the command failed.
    #[error("{0}")]
    Failed(String),
}

/// All problems of a file.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] Problems);

impl From<Problems> for Error {
    fn from(problems: Problems) -> Error {
        Error::Settings(problems.into())
    }
}

impl Error {
    /// Creates an error of the operating system, such as a socket that cannot be opened.
    pub(crate) fn system(step: impl Into<String>, cause: impl std::fmt::Display) -> Error {
        Error::System { step: step.into(), cause: cause.to_string() }
    }

    /// The exit code of the command.
    ///
    /// ```
    /// let error = caperhollow::Error::Usage("no such list".to_owned());
    /// assert_eq!(format!("{:?}", error.exit_code()), format!("{:?}", std::process::ExitCode::from(2)));
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Failed(_) => 1,
            Error::Usage(_) => 2,
            Error::Settings(_) => 3,
            Error::Refused { .. } => 4,
            Error::NotReached { .. } => 5,
            Error::System { .. } => 6,
        })
    }
}
