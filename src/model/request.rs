//! Class and outcome of callers' requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The priority class of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Class {
    Urgent,
    #[default]
    Normal,
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub(crate) const ALL: [Class; 3] = [Class::Urgent, Class::Normal, Class::Batch];

    /// The name used in headers and settings.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Class, String> {
        let found = Class::ALL.into_iter().find(|class| class.as_str() == text);
        found.ok_or_else(|| format!("`{text}` is not a class: urgent, normal or batch are allowed"))
    }
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Outcome {
    /// An endpoint ran the request, and its complete response is known.
    Ran,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The name used in headers.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
