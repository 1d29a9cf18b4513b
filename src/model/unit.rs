//! Units: time, sizes and counters, each with its own type.

use std::{fmt, ops::Add, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// The error for a text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {kind}: {allowed}")]
pub struct UnitError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

/// A point in time, in milliseconds since the Unix epoch.
///
/// ```
/// use std::time::Duration;
/// use caperhollow::model::unit::Time;
/// let t = Time::from_millis(1_000);
/// assert_eq!((t + Duration::from_millis(250)).since(t), Duration::from_millis(250));
/// assert_eq!(t.since(t + Duration::from_millis(250)), Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The time `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`; zero if that is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `span` before this one.
    pub fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_millis() as u64))
    }

    /// The current time of the system clock. Only control loops call this; decision functions take
    /// the current time as an argument.
    pub(crate) fn now() -> Time {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        // A clock before 1970 reads as 1970: nothing is due before that.
        Time(since.unwrap_or_default().as_millis() as u64)
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = std::time::UNIX_EPOCH + Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_millis(at))
    }
}

impl FromStr for Time {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Time, UnitError> {
        let error = || UnitError {
            kind: "a time",
            text: text.to_owned(),
            allowed: "write it as 2026-01-31T12:00:00Z",
        };
        let at = humantime::parse_rfc3339(text).map_err(|_| error())?;
        let since = at.duration_since(std::time::UNIX_EPOCH).map_err(|_| error())?;
        Ok(Time(since.as_millis() as u64))
    }
}

macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $kind:literal, $suffix:literal) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use caperhollow::model::unit::", stringify!($name), ";")]
        #[doc = concat!("let n: ", stringify!($name), " = \"12\".parse().unwrap();")]
        #[doc = concat!("assert_eq!(n.to_string(), \"12", $suffix, "\");")]
        /// ```
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<$name, UnitError> {
                let number = text.strip_suffix($suffix).unwrap_or(text);
                number.parse().map($name).map_err(|_| UnitError {
                    kind: $kind,
                    text: text.to_owned(),
                    allowed: "write a whole number that is not negative",
                })
            }
        }
    };
}

count!(
    /// CPU time, in thousandths of a core.
    Millicores, u32, "a number of millicores", "m"
);
count!(
    /// Memory, in megabytes (2^20 bytes).
    Megabytes, u32, "a number of megabytes", "MB"
);
count!(
    /// A size in bytes.
    Bytes, u64, "a number of bytes", "B"
);
count!(
    /// How many times a host has been assigned. Commands with a lower epoch are refused.
    Epoch, u64, "an epoch", ""
);
count!(
    /// A revision of the platform's store; each accepted write increases it.
    Revision, u64, "a revision", ""
);
count!(
    /// A request rate.
    PerSecond, u32, "a rate", "/s"
);

impl Epoch {
    /// The next epoch.
    pub(crate) fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// A reading of the process's monotonic clock, in milliseconds since the process started. It never
/// jumps and cannot be compared with readings of other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct Steady(u64);

impl Steady {
    /// The reading `millis` milliseconds after the process started.
    pub(crate) const fn from_millis(millis: u64) -> Steady {
        Steady(millis)
    }

    /// Milliseconds since `earlier`; zero if that is later.
    pub(crate) fn since(self, earlier: Steady) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The reading `millis` milliseconds later.
    pub(crate) fn after(self, millis: u64) -> Steady {
        Steady(self.0.saturating_add(millis))
    }
}

/// The current time by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Now {
    /// For durations: leases, timeouts, delays.
    pub(crate) steady: Steady,
    /// For calendar times, and for records that other processes read.
    pub(crate) wall: Time,
}
