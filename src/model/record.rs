//! Records in the platform's store that nodes watch, with their keys and values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::model::{
    config::{ChangeRecord, ConfigBase},
    host::HostRecord,
    id::{HostId, NodeId, OpId, PlanId, ServiceId, ZoneId},
    plan::Plan,
    unit::Time,
};

/// Key prefix of all watched records.
pub(crate) const WATCHED_PREFIX: &str = "caperhollow/view/";
/// Key prefix of the claims of requests that are not repeatable; not watched.
pub(crate) const CLAIMS_PREFIX: &str = "caperhollow/once/";

/// The assignment of a task to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskAssignment {
    pub(crate) host: HostId,
    /// Number of this start of the task; each move has a higher one.
    pub(crate) generation: u64,
    pub(crate) since: Time,
}

/// A second start of a task, which replaces the first one when it is ready.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Successor {
    pub(crate) to: TaskAssignment,
    /// The plan that drains the task's host; `None` if the task moves to spread its service.
    pub(crate) plan: Option<PlanId>,
}

/// Permission to make a host's tasks of one service temporarily unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Permit {
    pub(crate) plan: PlanId,
    /// Indexes of the tasks that it covers.
    pub(crate) tasks: Vec<u32>,
    pub(crate) since: Time,
}

/// The placement of one service's tasks, and its active permits. Both are stored under one key, so
/// that concurrent writes of a permit and a move for the same service always conflict.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Placement {
    /// Assignments, by index of the task.
    pub(crate) tasks: Vec<Option<TaskAssignment>>,
    /// Starting successors, by index of the task.
    pub(crate) successors: BTreeMap<u32, Successor>,
    /// Active permits, by the host whose tasks they cover.
    pub(crate) permits: BTreeMap<HostId, Permit>,
    /// Number of moves so far, shown to operators.
    pub(crate) moves: u64,
    /// The write that set this record.
    pub(crate) op: Option<OpId>,
}

/// A registered node; the record is attached to the node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub(crate) zone: ZoneId,
    /// IP address and port at which it accepts connections of other nodes.
    pub(crate) peers: String,
    /// IP address and port of its operator API.
    pub(crate) operators: String,
    /// When the process started: a restarted node registers anew.
    pub(crate) started: Time,
}

/// A watched record of any kind, with its identifier.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Record {
    Base(ConfigBase),
    Change(u64, ChangeRecord),
    Host(HostId, HostRecord),
    Placement(ServiceId, Placement),
    Plan(PlanId, Box<Plan>),
    Node(NodeId, NodeRecord),
}

/// The key of a watched record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Key {
    Base,
    Change(u64),
    Host(HostId),
    Placement(ServiceId),
    Plan(PlanId),
    Node(NodeId),
}

impl Key {
    /// The key as used in the store.
    pub(crate) fn path(&self) -> String {
        match self {
            Key::Base => format!("{WATCHED_PREFIX}config-base"),
            // The fixed width makes the store's key order equal to numeric order.
            Key::Change(number) => format!("{WATCHED_PREFIX}config/{number:020}"),
            Key::Host(id) => format!("{WATCHED_PREFIX}host/{id}"),
            Key::Placement(id) => format!("{WATCHED_PREFIX}placement/{id}"),
            Key::Plan(id) => format!("{WATCHED_PREFIX}plan/{id}"),
            Key::Node(id) => format!("{WATCHED_PREFIX}node/{id}"),
        }
    }

    /// Parses a key of the store; `None` if its kind is unknown.
    pub(crate) fn parse(path: &str) -> Option<Key> {
        let rest = path.strip_prefix(WATCHED_PREFIX)?;
        if rest == "config-base" {
            return Some(Key::Base);
        }
        let (kind, id) = rest.split_once('/')?;
        match kind {
            "config" => id.parse().ok().map(Key::Change),
            "host" => id.parse().ok().map(Key::Host),
            "placement" => id.parse().ok().map(Key::Placement),
            "plan" => id.parse().ok().map(Key::Plan),
            "node" => id.parse().ok().map(Key::Node),
            _ => None,
        }
    }

    /// Deserializes the value stored under this key.
    pub(crate) fn read(&self, value: &[u8]) -> Result<Record, serde_json::Error> {
        fn json<T: DeserializeOwned>(value: &[u8]) -> Result<T, serde_json::Error> {
            serde_json::from_slice(value)
        }
        Ok(match self {
            Key::Base => Record::Base(json(value)?),
            Key::Change(number) => Record::Change(*number, json(value)?),
            Key::Host(id) => Record::Host(id.clone(), json(value)?),
            Key::Placement(id) => Record::Placement(id.clone(), json(value)?),
            Key::Plan(id) => Record::Plan(id.clone(), Box::new(json(value)?)),
            Key::Node(id) => Record::Node(id.clone(), json(value)?),
        })
    }
}

impl Record {
    /// The key of the record.
    pub(crate) fn key(&self) -> Key {
        match self {
            Record::Base(_) => Key::Base,
            Record::Change(number, _) => Key::Change(*number),
            Record::Host(id, _) => Key::Host(id.clone()),
            Record::Placement(id, _) => Key::Placement(id.clone()),
            Record::Plan(id, _) => Key::Plan(id.clone()),
            Record::Node(id, _) => Key::Node(id.clone()),
        }
    }

    /// The value as stored.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let json = match self {
            Record::Base(value) => serde_json::to_vec(value),
            Record::Change(_, value) => serde_json::to_vec(value),
            Record::Host(_, value) => serde_json::to_vec(value),
            Record::Placement(_, value) => serde_json::to_vec(value),
            Record::Plan(_, value) => serde_json::to_vec(value),
            Record::Node(_, value) => serde_json::to_vec(value),
        };
        json.expect("records can always be serialized as JSON")
    }
}
