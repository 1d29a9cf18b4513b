//! Records of the platform's store that nodes watch, their keys and their values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::model::{
    config::{ChangeRecord, ConfigBase},
    host::HostRecord,
    id::{HostId, NodeId, OpId, PlanId, ServiceId, ZoneId},
    plan::Plan,
    unit::Time,
};

/// All watched records have keys below this one.
pub(crate) const WATCHED: &str = "caperhollow/view/";
/// Claims of requests that are not repeatable; not watched.
pub(crate) const CLAIMS: &str = "caperhollow/once/";

/// Where a task runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assigned {
    pub(crate) host: HostId,
    /// Which start of the task this is; each move has a higher one.
    pub(crate) generation: u64,
    pub(crate) since: Time,
}

/// A second start of a task, which takes the first one's place when it is ready.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Successor {
    pub(crate) to: Assigned,
    /// The plan that empties the task's host; nothing if the task moves to spread its service.
    pub(crate) plan: Option<PlanId>,
}

/// The right to take a host's tasks of one service out for a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Permit {
    pub(crate) plan: PlanId,
    /// The tasks that it covers, by index.
    pub(crate) tasks: Vec<u32>,
    pub(crate) since: Time,
}

/// Where the tasks of one service run, and which permits are out. Both stand under one key, so
/// that a permit and a move of the same service can never pass each other unseen.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Placement {
    /// By index of the task.
    pub(crate) tasks: Vec<Option<Assigned>>,
    /// Successors that are starting, by index of the task.
    pub(crate) successors: BTreeMap<u32, Successor>,
    /// Permits that are out, by the host that they let go.
    pub(crate) permits: BTreeMap<HostId, Permit>,
    /// Moves so far, for the operators' figures.
    pub(crate) moves: u64,
    /// The write that set this record.
    pub(crate) op: Option<OpId>,
}

/// A registered node, under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    pub(crate) zone: ZoneId,
    /// IP address and port of its link for other nodes.
    pub(crate) peers: String,
    /// IP address and port of its operators' API.
    pub(crate) operators: String,
    /// When the process started: a restart is another registration.
    pub(crate) started: Time,
}

/// A value of any watched kind, with its identifier.
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
    /// The key as the store has it.
    pub(crate) fn path(&self) -> String {
        match self {
            Key::Base => format!("{WATCHED}config-base"),
            // Fixed width keeps the store's order of keys the order of numbers.
            Key::Change(number) => format!("{WATCHED}config/{number:020}"),
            Key::Host(id) => format!("{WATCHED}host/{id}"),
            Key::Placement(id) => format!("{WATCHED}placement/{id}"),
            Key::Plan(id) => format!("{WATCHED}plan/{id}"),
            Key::Node(id) => format!("{WATCHED}node/{id}"),
        }
    }

    /// Reads a key of the store; nothing if it is of no kind that this program knows.
    pub(crate) fn parse(path: &str) -> Option<Key> {
        let rest = path.strip_prefix(WATCHED)?;
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

    /// Reads the value that stands under this key.
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
    /// The key that the record stands under.
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

    /// The value as the store holds it.
    pub(crate) fn to_json(&self) -> Vec<u8> {
        let json = match self {
            Record::Base(value) => serde_json::to_vec(value),
            Record::Change(_, value) => serde_json::to_vec(value),
            Record::Host(_, value) => serde_json::to_vec(value),
            Record::Placement(_, value) => serde_json::to_vec(value),
            Record::Plan(_, value) => serde_json::to_vec(value),
            Record::Node(_, value) => serde_json::to_vec(value),
        };
        json.expect("records hold no value that JSON cannot write")
    }
}
