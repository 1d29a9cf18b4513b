//! Identifiers: each kind has its own type, so that one cannot be passed in place of another.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest identifier that is accepted, in bytes.
pub const MAX_ID_LEN: usize = 64;

/// The error for a text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{text}` is not a {kind}: 1 to {MAX_ID_LEN} ASCII letters, digits, `-`, `_` or `.` are allowed"
)]
pub struct IdError {
    kind: &'static str,
    text: String,
}

fn is_id(text: &str) -> bool {
    let allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_ID_LEN && text.bytes().all(allowed)
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use caperhollow::model::id::", stringify!($name), ";")]
        #[doc = concat!("let id: ", stringify!($name), " = \"a-1\".parse().unwrap();")]
        /// assert_eq!(id.to_string(), "a-1");
        #[doc = concat!("assert!(\"no/slash\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<$name, IdError> {
                if !is_id(text) {
                    return Err(IdError { kind: $kind, text: text.to_owned() });
                }
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<$name, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id!(
    /// A machine that runs tasks.
    HostId, "host name"
);
id!(
    /// A rack: hosts that share power and a switch.
    RackId, "rack name"
);
id!(
    /// An availability zone.
    ZoneId, "availability zone name"
);
id!(
    /// A pool of hosts.
    PoolId, "pool name"
);
id!(
    /// A service, which consists of identical tasks.
    ServiceId, "service name"
);
id!(
    /// A team: it owns services and a share of the request rate.
    TeamId, "team name"
);
id!(
    /// A client account: whose jobs share a limit and a weight.
    AccountId, "client account name"
);
id!(
    /// A plan.
    PlanId, "plan identifier"
);
id!(
    /// A node: one process of this program, which serves callers.
    NodeId, "node name"
);
id!(
    /// A worker: the agent that runs tasks on a host. It may restart under the same name; state
    /// that does not outlive a restart belongs to an [`Incarnation`].
    WorkerId, "worker name"
);
id!(
    /// One attempt to change the store, or one request; unique.
    OpId, "operation identifier"
);

/// When a worker started, in milliseconds since the Unix epoch by the wall clock of its machine.
/// That clock may jump back, so the value distinguishes incarnations but does not order them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// One lifetime of a worker process. It shares no state with earlier incarnations: runs, ends and
/// their numbers, fencing tokens, tickets and the clock are its own.
///
/// ```
/// use caperhollow::model::id::{Incarnation, StartTime};
/// let first: Incarnation = "w-1@1700000000000".parse().unwrap();
/// assert_eq!(first.born, Some(StartTime(1_700_000_000_000)));
/// assert_eq!(first.to_string(), "w-1@1700000000000");
/// let unknown: Incarnation = "w-1".parse().unwrap();
/// assert_eq!((&unknown.worker, unknown.born), (&first.worker, None));
/// assert!("w-1@noon".parse::<Incarnation>().is_err());
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation {
    /// The worker.
    pub worker: WorkerId,
    /// When it started; `None` if workers do not report it and each start has a new name.
    pub born: Option<StartTime>,
}

impl Incarnation {
    /// The incarnation of a worker that started at a given time.
    pub fn new(worker: WorkerId, born: Option<StartTime>) -> Incarnation {
        Incarnation { worker, born }
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Incarnation, IdError> {
        let Some((worker, born)) = text.split_once('@') else {
            return Ok(Incarnation::new(text.parse()?, None));
        };
        let error = |_| IdError { kind: "worker name with its start time", text: text.to_owned() };
        let born = born.parse().map_err(error)?;
        Ok(Incarnation::new(worker.parse()?, Some(StartTime(born))))
    }
}

impl TryFrom<String> for Incarnation {
    type Error = IdError;

    fn try_from(text: String) -> Result<Incarnation, IdError> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(id: Incarnation) -> String {
        id.to_string()
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(StartTime(born)) => write!(f, "{}@{born}", self.worker),
            None => write!(f, "{}", self.worker),
        }
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl OpId {
    /// Generates a random operation identifier.
    pub(crate) fn fresh() -> OpId {
        OpId(format!("{:032x}", rand::random::<u128>()).into())
    }
}

impl PlanId {
    /// Generates a random plan identifier, short enough to type.
    pub(crate) fn fresh() -> PlanId {
        PlanId(format!("p-{:010x}", rand::random::<u64>() >> 24).into())
    }
}
