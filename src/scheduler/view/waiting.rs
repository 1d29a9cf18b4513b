//! How many jobs of a queue wait, as far as a node may say so: from records that are old enough to
//! leave out what has come since, it does not.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    model::{
        job::JobState,
        queue::Queue,
        unit::{Revision, Steady},
    },
    scheduler::{
        keys::{self, ALL, ROOT},
        view::{
            KnownJob, View,
            age::{RECORDS_MS, TooOld, WORD_MS},
        },
    },
};

/// How many jobs of each queue have not begun, as the owner of a pool writes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WordRecord {
    /// The revision of the store up to which the owner knew of its jobs. No queue has this name:
    /// earlier versions read counts by queue, and write no such revision.
    #[serde(rename = "", default, skip_serializing_if = "Option::is_none")]
    pub(crate) known: Option<Revision>,
    #[serde(flatten)]
    pub(crate) counts: BTreeMap<String, usize>,
}

/// What the owner of a pool has last written of how many jobs have not begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Word {
    pub(crate) counts: BTreeMap<String, usize>,
    /// The revision of the record.
    pub(crate) revision: Revision,
    /// The revision up to which the owner knew of its jobs, if it has said so.
    pub(crate) known: Option<Revision>,
    /// When the call was sent whose answer told of it. It may have been written one pause of that
    /// watch before.
    pub(crate) heard: Steady,
}

/// How many jobs wait, and by what that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Counted {
    pub(crate) jobs: usize,
    pub(crate) by: &'static str,
}

impl View {
    /// Jobs of a queue none of whose tasks has begun: by their records, or else by what the owners of
    /// pools have written.
    pub(crate) fn pending(&self, queue: &Queue, now: Steady) -> Result<Counted, TooOld> {
        if self.is_whole() && self.ages.is_within(ROOT, RECORDS_MS, now) {
            return Ok(Counted { jobs: self.count(&queue.name), by: "records" });
        }
        self.add_up(queue, now)
    }

    fn count(&self, queue: &str) -> usize {
        let waits = |known: &&KnownJob| {
            let here = known.record.as_ref().is_some_and(|record| record.value.queue == queue);
            here && known.state() == JobState::Queued
        };
        self.jobs.values().filter(waits).count()
    }

    /// Adds up the words of owners: of the queue's pool, and of those that it led to before.
    fn add_up(&self, queue: &Queue, now: Steady) -> Result<Counted, TooOld> {
        self.ages.check(ALL, RECORDS_MS, now)?;
        let own = keys::pool(&queue.pool);
        if !self.queued.contains_key(&own) {
            return Err(TooOld { what: format!("the word of {own}"), age_ms: None });
        }
        let mut jobs = 0;
        for (name, word) in &self.queued {
            let counted = word.counts.get(&queue.name);
            if counted.is_none() && *name != own {
                continue;
            }
            let age = now.since(word.heard);
            if WORD_MS < age {
                return Err(TooOld { what: format!("the word of {name}"), age_ms: Some(age) });
            }
            if let Some(known) = word.known {
                self.ages.check_revision(&format!("the word of {name}"), known, now)?;
            }
            jobs += counted.copied().unwrap_or_default();
        }
        Ok(Counted { jobs, by: "words" })
    }
}
