//! What runs and waits in a pool, by availability zone and by client account.

use std::collections::BTreeMap;

use super::Owner;
use crate::model::id::{AccountId, ZoneId};

/// The workers of a pool in one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ZoneCounts {
    pub(crate) workers: usize,
    /// Workers that answer.
    pub(crate) responding: usize,
    /// Runs that are there, or may be.
    pub(crate) running: usize,
}

/// The tasks of a client account in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AccountCounts {
    pub(crate) running: usize,
    /// Tasks that wait for earlier steps or for a worker.
    pub(crate) waiting: usize,
}

/// What runs and waits in one or more pools.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Breakdown {
    pub(crate) zones: BTreeMap<ZoneId, ZoneCounts>,
    pub(crate) accounts: BTreeMap<AccountId, AccountCounts>,
}

impl Breakdown {
    /// Adds what runs and waits in the pool of an owner.
    pub(crate) fn add(&mut self, owner: &Owner) {
        for worker in owner.workers.values() {
            let zone = self.zones.entry(worker.report.zone.clone()).or_default();
            zone.workers += 1;
            zone.responding += usize::from(worker.has_reported && worker.missed_polls == 0);
            zone.running += worker.runs.len();
        }
        for job in owner.jobs.values() {
            let Some(account) = &job.record.account else {
                continue;
            };
            let tasks = || job.steps.values().flat_map(|step| &step.tasks);
            let account = self.accounts.entry(account.clone()).or_default();
            account.running += tasks().filter(|task| !task.runs.is_empty()).count();
            account.waiting += tasks().filter(|task| task.is_waiting()).count();
        }
    }
}
