//! The workers of a pool in the order of their free processor time.

use std::collections::{BTreeMap, BTreeSet};

use crate::{jobs::worker::Worker, model::id::Incarnation};

/// The workers of a pool by the processor time that each has left, in millicores.
#[derive(Debug, Default)]
pub(crate) struct FreeCapacity {
    by_cpu: BTreeMap<u32, BTreeSet<Incarnation>>,
}

impl FreeCapacity {
    pub(crate) fn add(&mut self, worker: &Worker) {
        self.by_cpu.entry(worker.cpu_left()).or_default().insert(worker.report.id.clone());
    }

    /// Removes a worker, which has as much left as when it was added.
    pub(crate) fn remove(&mut self, worker: &Worker) {
        let mut was_added = false;
        if let Some(workers) = self.by_cpu.get_mut(&worker.cpu_left()) {
            was_added = workers.remove(&worker.report.id);
            if workers.is_empty() {
                self.by_cpu.remove(&worker.cpu_left());
            }
        }
        debug_assert!(was_added, "worker {} is indexed by another amount", worker.report.id);
    }

    /// The workers that have at least this much left, those with the least first.
    pub(crate) fn at_least(&self, cpu: u32) -> impl Iterator<Item = &Incarnation> {
        self.by_cpu.range(cpu..).flat_map(|(_, workers)| workers)
    }
}
