//! Which workers have a host or an address: each answer of a worker is compared with the others at
//! its address.

use std::collections::{BTreeSet, HashMap};

use crate::model::{
    id::{HostId, Incarnation},
    worker::WorkerReport,
};

/// The tracked workers by host and by address, as their reports name them.
#[derive(Debug, Default)]
pub(super) struct Places {
    hosts: HashMap<HostId, BTreeSet<Incarnation>>,
    addresses: HashMap<String, BTreeSet<Incarnation>>,
}

impl Places {
    /// Adds a worker.
    pub(super) fn add(&mut self, report: &WorkerReport) {
        self.hosts.entry(report.host.clone()).or_default().insert(report.id.clone());
        self.addresses.entry(report.address.clone()).or_default().insert(report.id.clone());
    }

    /// Removes a worker, which was added with the same host and address.
    pub(super) fn remove(&mut self, report: &WorkerReport) {
        if let Some(workers) = self.hosts.get_mut(&report.host) {
            workers.remove(&report.id);
            if workers.is_empty() {
                self.hosts.remove(&report.host);
            }
        }
        if let Some(workers) = self.addresses.get_mut(&report.address) {
            workers.remove(&report.id);
            if workers.is_empty() {
                self.addresses.remove(&report.address);
            }
        }
    }

    /// The workers at an address.
    pub(super) fn at_address(&self, address: &str) -> impl Iterator<Item = &Incarnation> {
        self.addresses.get(address).into_iter().flatten()
    }

    /// The workers other than the reported one that have its host or its address: a host or an
    /// address has only one live worker.
    pub(super) fn conflicting(&self, report: &WorkerReport) -> BTreeSet<Incarnation> {
        let on_host = self.hosts.get(&report.host).into_iter().flatten();
        let sharing = on_host.chain(self.at_address(&report.address));
        sharing.filter(|id| **id != report.id).cloned().collect()
    }
}
