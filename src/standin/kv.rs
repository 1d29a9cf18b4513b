//! The state of the stand-in store: keys with revisions, a log for watches, and leases.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    model::unit::{Revision, Time},
    platform::store::{Call, Entry, Guard, LeaseId, Reply},
};

/// Number of events kept for watches; older ones are compacted.
const MAX_LOG_EVENTS: usize = 20_000;

#[derive(Debug, Clone)]
struct Stored {
    value: Bytes,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Time,
}

/// The store's state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Kv {
    revision: Revision,
    entries: BTreeMap<String, Stored>,
    log: VecDeque<Entry>,
    compacted: Revision,
    leases: HashMap<LeaseId, Lease>,
    last_lease: LeaseId,
}

impl Kv {
    /// Executes a call.
    pub(crate) fn call(&mut self, call: Call, now: Time) -> Reply {
        self.expire(now);
        match call {
            Call::Get { key } => self.reply(self.entry(&key).into_iter().collect()),
            Call::List { prefix } => self.reply(self.list_prefix(&prefix)),
            Call::Newest { prefix } => {
                let newest =
                    self.list_prefix(&prefix).into_iter().max_by_key(|entry| entry.revision);
                self.reply(newest.into_iter().collect())
            }
            Call::Swap { key, expect, guards, value, lease } => {
                self.swap(key, expect, &guards, value, lease)
            }
            Call::Grant { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
                Reply::Lease { lease: self.last_lease, left: ttl }
            }
            Call::Renew { lease } => {
                let held = self.leases.get_mut(&lease);
                let left = held.map_or(Duration::ZERO, |held| {
                    held.expires_at = now + held.ttl;
                    held.ttl
                });
                Reply::Lease { lease, left }
            }
            Call::Revoke { lease } => {
                self.end_lease(lease);
                Reply::Lease { lease, left: Duration::ZERO }
            }
        }
    }

    /// The revision of the newest write.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Events under a prefix from a revision on, or the compacted revision if some are missing.
    pub(crate) fn events(&self, prefix: &str, from: Revision) -> Result<Vec<Entry>, Revision> {
        if from <= self.compacted {
            return Err(self.compacted);
        }
        let is_match = |e: &&Entry| from <= e.revision && e.key.starts_with(prefix);
        Ok(self.log.iter().filter(is_match).cloned().collect())
    }

    /// Compacts all events so far.
    pub(crate) fn compact(&mut self) {
        self.log.clear();
        self.compacted = self.revision;
    }

    /// Ends every lease, as if no holder had renewed it.
    pub(crate) fn expire_all(&mut self) {
        let leases: Vec<LeaseId> = self.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| self.end_lease(lease));
    }

    /// Ends the leases that have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<LeaseId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let held = self.entries.iter().filter(|(_, stored)| stored.lease == Some(lease));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.into_iter().for_each(|key| self.write(key, None, None));
    }

    fn swap(
        &mut self,
        key: String,
        expect: Revision,
        guards: &[Guard],
        value: Option<Bytes>,
        lease: Option<LeaseId>,
    ) -> Reply {
        let revision_of = |key: &str| self.entries.get(key).map(|s| s.revision).unwrap_or_default();
        let guards_hold = guards.iter().all(|guard| revision_of(&guard.key) == guard.revision);
        let current = revision_of(&key);
        let lease_expired = lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        if current != expect || !guards_hold || lease_expired {
            return Reply::Conflict(self.entry(&key));
        }
        self.write(key, value, lease);
        Reply::Swapped(self.revision)
    }

    fn write(&mut self, key: String, value: Option<Bytes>, lease: Option<LeaseId>) {
        self.revision.0 += 1;
        let revision = self.revision;
        self.log.push_back(Entry { key: key.clone(), revision, value: value.clone() });
        if MAX_LOG_EVENTS < self.log.len()
            && let Some(oldest) = self.log.pop_front()
        {
            self.compacted = oldest.revision;
        }
        match value {
            Some(value) => self.entries.insert(key, Stored { value, revision, lease }),
            None => self.entries.remove(&key),
        };
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let stored = self.entries.get(key)?;
        let value = Some(stored.value.clone());
        Some(Entry { key: key.to_owned(), revision: stored.revision, value })
    }

    fn list_prefix(&self, prefix: &str) -> Vec<Entry> {
        let from = self.entries.range(prefix.to_owned()..);
        let keys = from.take_while(|(key, _)| key.starts_with(prefix));
        keys.filter_map(|(key, _)| self.entry(key)).collect()
    }

    fn reply(&self, entries: Vec<Entry>) -> Reply {
        Reply::Entries { entries, revision: self.revision }
    }
}
