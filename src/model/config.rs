//! Operator configuration: pools, services and teams, and the changes that produce it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{OpId, PoolId, ServiceId, TeamId},
    request::Class,
    unit::{Megabytes, Millicores, PerSecond, Time},
};

/// Resources that a task requires or that a host offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Resources {
    pub(crate) cores: Millicores,
    pub(crate) memory: Megabytes,
    pub(crate) accelerators: u32,
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub(crate) fn fits(self, need: Resources) -> bool {
        need.cores <= self.cores
            && need.memory <= self.memory
            && need.accelerators <= self.accelerators
    }

    /// These resources minus `used`, saturating at zero.
    pub(crate) fn minus(self, used: Resources) -> Resources {
        Resources {
            cores: Millicores(self.cores.0.saturating_sub(used.cores.0)),
            memory: Megabytes(self.memory.0.saturating_sub(used.memory.0)),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// The sum of these resources and `more`.
    pub(crate) fn plus(self, more: Resources) -> Resources {
        Resources {
            cores: Millicores(self.cores.0.saturating_add(more.cores.0)),
            memory: Megabytes(self.memory.0.saturating_add(more.memory.0)),
            accelerators: self.accelerators.saturating_add(more.accelerators),
        }
    }
}

/// The failure domain whose outage a service's availability budget must be able to absorb.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum FailureDomain {
    /// Any one rack.
    Rack,
    /// Any one rack or any one availability zone.
    Zone,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Service {
    /// The pool whose hosts run the tasks.
    pub(crate) pool: PoolId,
    /// The team that owns the service.
    pub(crate) team: TeamId,
    /// The class of requests that name none.
    pub(crate) class: Class,
    /// Number of tasks.
    pub(crate) tasks: u32,
    /// Resources that each task requires.
    pub(crate) need: Resources,
    /// The availability budget: how many tasks may be unavailable at one time, for any reason.
    pub(crate) max_down: u32,
    /// The failure domain that may fail on top of the tasks already down within the budget.
    pub(crate) survive: FailureDomain,
    /// Maximum concurrent requests of one task.
    pub(crate) slots: u32,
    /// Maximum connections that one task accepts from all nodes together.
    pub(crate) connections: u32,
    /// Whether a request runs at most once (true: not repeatable).
    pub(crate) once: bool,
    /// Whether a task's successor may start before the task ends. Otherwise a task is unavailable
    /// while it moves, and its host needs a permit.
    pub(crate) surge: bool,
}

/// Configuration of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Pool {
    /// Target number of hosts.
    pub(crate) hosts: u32,
}

/// Limits of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Team {
    /// Requests per second over all nodes.
    pub(crate) rate: PerSecond,
}

/// The effective configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Config {
    pub(crate) pools: BTreeMap<PoolId, Pool>,
    pub(crate) services: BTreeMap<ServiceId, Service>,
    pub(crate) teams: BTreeMap<TeamId, Team>,
}

/// One accepted change. `None` removes the entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Change {
    pub(crate) pools: BTreeMap<PoolId, Option<Pool>>,
    pub(crate) services: BTreeMap<ServiceId, Option<Service>>,
    pub(crate) teams: BTreeMap<TeamId, Option<Team>>,
}

/// A change as stored under its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeRecord {
    pub(crate) op: OpId,
    pub(crate) by: String,
    pub(crate) at: Time,
    pub(crate) change: Change,
}

/// A snapshot of all changes up to a number.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct ConfigBase {
    /// Number of the last change that the snapshot includes; zero if none.
    pub(crate) through: u64,
    pub(crate) config: Config,
}

impl Change {
    /// Whether the change has no entries.
    pub(crate) fn is_empty(&self) -> bool {
        self.pools.is_empty() && self.services.is_empty() && self.teams.is_empty()
    }
}

impl Config {
    /// Applies one change.
    pub(crate) fn apply(&mut self, change: &Change) {
        merge(&mut self.pools, &change.pools);
        merge(&mut self.services, &change.services);
        merge(&mut self.teams, &change.teams);
    }

    /// The change that adds or updates all entries of `wanted`. Entries that `wanted` does not
    /// contain stay as they are.
    pub(crate) fn change_to(&self, wanted: &Config) -> Change {
        Change {
            pools: changed_entries(&self.pools, &wanted.pools),
            services: changed_entries(&self.services, &wanted.services),
            teams: changed_entries(&self.teams, &wanted.teams),
        }
    }
}

fn merge<K: Ord + Clone, V: Clone>(to: &mut BTreeMap<K, V>, from: &BTreeMap<K, Option<V>>) {
    for (key, value) in from {
        match value {
            Some(value) => to.insert(key.clone(), value.clone()),
            None => to.remove(key),
        };
    }
}

fn changed_entries<K: Ord + Clone, V: Clone + PartialEq>(
    current: &BTreeMap<K, V>,
    wanted: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let changed = wanted.iter().filter(|(key, value)| current.get(*key) != Some(*value));
    changed.map(|(key, value)| (key.clone(), Some(value.clone()))).collect()
}

impl std::str::FromStr for FailureDomain {
    type Err = String;

    fn from_str(text: &str) -> Result<FailureDomain, String> {
        match text {
            "rack" => Ok(FailureDomain::Rack),
            "zone" => Ok(FailureDomain::Zone),
            _ => Err(format!("`{text}` is not a failure domain: rack or zone are allowed")),
        }
    }
}
