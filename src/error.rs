//! What can end a command, with messages that a user can act on.

use std::process::ExitCode;

use crate::settings::Problems;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file that the user wrote is wrong.
    #[error("{0}")]
    Settings(SettingsError),
    /// A node was reached and refused.
    #[error("node {node} refused: {reason}")]
    Refused {
        /// The node's address.
        node: String,
        /// Why.
        reason: String,
    },
    /// A node was not reached, or did not answer.
    #[error("node {node}, {step}: {cause}; check the address, or name another node with --node")]
    NotReached {
        /// The node's address.
        node: String,
        /// What was asked of it.
        step: &'static str,
        /// What went wrong.
        cause: String,
    },
    /// Something the program needs of the system failed.
    #[error("{step}: {cause}")]
    System {
        /// What was being done.
        step: String,
        /// What went wrong.
        cause: String,
    },
    /// A check that the command made did not hold.
    #[error("{0}")]
    Failed(String),
}

/// All that is wrong with a file.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] Problems);

impl From<Problems> for Error {
    fn from(problems: Problems) -> Error {
        Error::Settings(problems.into())
    }
}

impl Error {
    /// An error of the system, such as a socket that cannot be opened.
    pub(crate) fn system(step: impl Into<String>, cause: impl std::fmt::Display) -> Error {
        Error::System { step: step.into(), cause: cause.to_string() }
    }

    /// The exit code that the command ends with.
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
