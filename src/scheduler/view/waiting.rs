//! Counts the waiting jobs of a queue. A node does not answer from data so old that it may lack
//! recent jobs.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::{admission::Pressure, owner::PoolLoad},
    model::{
        id::{AccountId, PoolId},
        job::JobState,
        queue::Queue,
        unit::{Revision, Steady},
    },
    scheduler::{
        keys::{self, QUEUED, ROOT},
        view::{
            KnownJob, View,
            age::{MAX_RECORDS_AGE_MS, MAX_REPORT_AGE_MS, StaleData},
        },
    },
};

/// The record of an owner's report of how many jobs of each queue have not begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WaitingRecord {
    /// The revision of the store up to which the owner knew its jobs. No queue has an empty name:
    /// earlier versions, which read the record as counts by queue, do not write this revision.
    #[serde(rename = "", default, skip_serializing_if = "Option::is_none")]
    pub(crate) known: Option<Revision>,
    /// The load of the pool; only written if accounts have weights. Names of queues have no slash.
    #[serde(rename = "/load", default, skip_serializing_if = "Option::is_none")]
    pub(crate) load: Option<PoolLoad>,
    #[serde(flatten)]
    pub(crate) counts: BTreeMap<String, usize>,
}

/// The last report of a pool's owner of how many jobs of each queue have not begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WaitingReport {
    pub(crate) counts: BTreeMap<String, usize>,
    /// The revision of the record.
    pub(crate) revision: Revision,
    /// The revision up to which the owner knew its jobs, if the record has it.
    pub(crate) known: Option<Revision>,
    pub(crate) load: Option<PoolLoad>,
    /// When the call was sent whose answer had it. It may have been written one pause of that watch
    /// before.
    pub(crate) received: Steady,
}

/// The number of waiting jobs, and by what they were counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitingCount {
    pub(crate) jobs: usize,
    pub(crate) by: &'static str,
}

impl View {
    /// How long work that comes to a pool now would wait, and what an account sends to all pools,
    /// by the recent reports of the owners.
    pub(crate) fn pressure(&self, pool: &PoolId, account: &AccountId, now: Steady) -> Pressure {
        let mut pressure = Pressure { nodes: self.node_count(), ..Pressure::default() };
        for (name, load) in self.recent_loads(now) {
            if *name == keys::pool(pool) {
                pressure.delay_ms = Some(load.delay_ms);
            }
            if let Some(sent) = load.accounts.get(account) {
                pressure.sent.rate += sent.rate;
                pressure.sent.waiting += sent.waiting;
                pressure.sent.is_over |= sent.is_over;
            }
        }
        pressure
    }

    /// The jobs per second that accounts send to other pools than the one of this owner.
    pub(crate) fn sent_elsewhere(&self, name: &str, now: Steady) -> HashMap<AccountId, u32> {
        let mut rates = HashMap::new();
        for (_, load) in self.recent_loads(now).filter(|(other, _)| *other != name) {
            for (account, sent) in &load.accounts {
                *rates.entry(account.clone()).or_default() += sent.rate;
            }
        }
        rates
    }

    pub(crate) fn recent_loads(&self, now: Steady) -> impl Iterator<Item = (&String, &PoolLoad)> {
        let reports = self.waiting_reports.iter();
        let recent =
            reports.filter(move |(_, report)| now.since(report.received) <= MAX_REPORT_AGE_MS);
        recent.filter_map(|(name, report)| Some((name, report.load.as_ref()?)))
    }

    /// Counts the jobs of a queue none of whose tasks has begun: from their records, or else from
    /// the reports of the pools' owners.
    pub(crate) fn pending(&self, queue: &Queue, now: Steady) -> Result<WaitingCount, StaleData> {
        if self.is_complete() && self.ages.is_within(ROOT, MAX_RECORDS_AGE_MS, now) {
            return Ok(WaitingCount { jobs: self.count(&queue.name), by: "records" });
        }
        self.add_up(queue, now)
    }

    fn count(&self, queue: &str) -> usize {
        let is_waiting = |known: &&KnownJob| {
            let is_of_queue =
                known.record.as_ref().is_some_and(|record| record.value.queue == queue);
            is_of_queue && known.state() == JobState::Queued
        };
        self.jobs.values().filter(is_waiting).count()
    }

    /// Adds up the owners' reports: of the queue's pool, and of the pools that it led to before.
    fn add_up(&self, queue: &Queue, now: Steady) -> Result<WaitingCount, StaleData> {
        // Replicas receive the reports with all records.
        if !self.ages.is_within(ROOT, MAX_RECORDS_AGE_MS, now) {
            self.ages.check(QUEUED, MAX_RECORDS_AGE_MS, now)?;
        }
        let own = keys::pool(&queue.pool);
        if !self.waiting_reports.contains_key(&own) {
            return Err(StaleData {
                what: format!("the report of {own} on waiting jobs"),
                age_ms: None,
            });
        }
        let mut jobs = 0;
        for (name, report) in &self.waiting_reports {
            let counted = report.counts.get(&queue.name);
            if counted.is_none() && *name != own {
                continue;
            }
            let age = now.since(report.received);
            if MAX_REPORT_AGE_MS < age {
                return Err(StaleData {
                    what: format!("the report of {name} on waiting jobs"),
                    age_ms: Some(age),
                });
            }
            if let Some(known) = report.known {
                self.ages.check_revision(
                    &format!("the report of {name} on waiting jobs"),
                    known,
                    now,
                )?;
            }
            jobs += counted.copied().unwrap_or_default();
        }
        Ok(WaitingCount { jobs, by: "words" })
    }
}
