//! Units: time, sizes and counters, each a type of its own.

use std::{fmt, ops::Add, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Why a text is not a unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is not {kind}: {allowed}")]
pub struct UnitError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

/// A moment, in milliseconds since the Unix epoch.
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
    /// The moment so many milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// How long after `earlier` this moment is; zero if it is before.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment so long before this one.
    pub fn before(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span.as_millis() as u64))
    }

    /// The present time by the system's clock. Only loops call this; functions that decide take
    /// the present time as an argument.
    pub(crate) fn now() -> Time {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        // A clock that stands before 1970 reads as 1970: nothing is due before that.
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
    /// Processor time, in thousandths of a core.
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
    /// How often a host was assigned. A command that carries a lower one is refused.
    Epoch, u64, "an epoch", ""
);
count!(
    /// A revision of the platform's store: each accepted write has a higher one.
    Revision, u64, "a revision", ""
);
count!(
    /// A rate of requests.
    PerSecond, u32, "a rate", "/s"
);

impl Epoch {
    /// The epoch after this one.
    pub(crate) fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// A moment of a process's steady clock, in milliseconds since the process began. It never jumps,
/// and means nothing to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub(crate) struct Steady(u64);

impl Steady {
    /// The moment so many milliseconds after the process began.
    pub(crate) const fn from_millis(millis: u64) -> Steady {
        Steady(millis)
    }

    /// Milliseconds since an earlier moment; zero if it is later.
    pub(crate) fn since(self, earlier: Steady) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment so many milliseconds later.
    pub(crate) fn after(self, millis: u64) -> Steady {
        Steady(self.0.saturating_add(millis))
    }
}

/// The present, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Now {
    /// For everything that lasts: leases, time limits, pauses.
    pub(crate) steady: Steady,
    /// For what is due by the calendar, and for records that others read.
    pub(crate) wall: Time,
}
