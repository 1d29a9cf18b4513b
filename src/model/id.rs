//! Identifiers: each kind has a type of its own, so that one cannot stand in for another.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest identifier that is accepted, in bytes.
pub const MAX_ID_LEN: usize = 64;

/// Why a text is not an identifier.
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
    /// A service, made of equal tasks.
    ServiceId, "service name"
);
id!(
    /// A team: the owner of services and of a share of the rate of requests.
    TeamId, "team name"
);
id!(
    /// A plan.
    PlanId, "plan identifier"
);
id!(
    /// A node: one process of this program that serves callers.
    NodeId, "node name"
);
id!(
    /// One life of the agent that runs tasks on a host: a new one begins after each end.
    WorkerId, "worker name"
);
id!(
    /// One attempt to change the store, or one request. Unique.
    OpId, "operation identifier"
);

impl OpId {
    /// Draws a fresh operation identifier.
    pub(crate) fn fresh() -> OpId {
        OpId(format!("{:032x}", rand::random::<u128>()).into())
    }
}

impl PlanId {
    /// Draws a fresh plan identifier, short enough to type.
    pub(crate) fn fresh() -> PlanId {
        PlanId(format!("p-{:010x}", rand::random::<u64>() >> 24).into())
    }
}
