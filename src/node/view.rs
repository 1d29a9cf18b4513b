//! A node's view: every watched record at its newest revision. A record is never replaced by an
//! older one, in whatever order the store's watch, peers and restarts deliver them.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    model::{
        fleet::Fleet,
        record::Key,
        unit::{Revision, Time},
    },
    platform::store::Entry,
};

/// Maximum number of remembered deletions. They prevent peers with older views from restoring
/// deleted records.
const MAX_TOMBSTONES: usize = 10_000;

/// The records that a node holds.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) fleet: Fleet,
    entries: BTreeMap<String, Entry>,
    by_revision: BTreeSet<(Revision, String)>,
    tombstones: BTreeSet<(Revision, String)>,
    /// Deletions up to this revision are forgotten: an entry that is not newer, and whose key is
    /// not held, counts as deleted.
    floor: Revision,
    /// Every change up to this revision is held.
    pub(crate) complete: Revision,
    /// When the view was last known to match the store.
    pub(crate) verified: Time,
}

impl View {
    /// Applies an entry if it is newer than the held one. Returns whether it was applied.
    pub(crate) fn apply(&mut self, entry: Entry) -> bool {
        let held = self.entries.get(&entry.key).map(|held| held.revision);
        if entry.revision <= held.unwrap_or(self.floor) {
            return false;
        }
        let Some(key) = Key::parse(&entry.key) else {
            return false;
        };
        if let Some(held) = held {
            self.by_revision.remove(&(held, entry.key.clone()));
            self.tombstones.remove(&(held, entry.key.clone()));
        }
        match &entry.value {
            Some(value) => match key.read(value) {
                Ok(record) => self.fleet.put(record, entry.revision),
                Err(error) => log::error!("record {}: cannot be parsed: {error}", entry.key),
            },
            None => {
                self.fleet.remove(&key);
                self.tombstones.insert((entry.revision, entry.key.clone()));
            }
        }
        self.by_revision.insert((entry.revision, entry.key.clone()));
        self.entries.insert(entry.key.clone(), entry);
        self.forget_old_deletions();
        true
    }

    /// Applies all entries of the store as of a revision. Held entries that are not among them were
    /// deleted.
    pub(crate) fn replace(&mut self, entries: Vec<Entry>, revision: Revision) {
        let listed: BTreeSet<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        let deleted: Vec<String> = self
            .entries
            .values()
            .filter(|held| held.value.is_some() && held.revision <= revision)
            .filter(|held| !listed.contains(&held.key))
            .map(|held| held.key.clone())
            .collect();
        for key in deleted {
            self.apply(Entry { key, revision, value: None });
        }
        // The entries are sorted by key, so the base is applied before the changes that were folded
        // into it.
        for entry in entries {
            self.apply(entry);
        }
        self.complete = self.complete.max(revision);
    }

    /// Applies all changes after `from` up to `to`. Returns whether any was new.
    pub(crate) fn extend(&mut self, from: Revision, to: Revision, entries: Vec<Entry>) -> bool {
        let mut changed = false;
        for entry in entries {
            changed |= self.apply(entry);
        }
        if from <= self.complete {
            self.complete = self.complete.max(to);
        }
        changed
    }

    /// Every change after a revision, with the revision after which they start: the given one, or 0
    /// if deletions after it have been forgotten.
    pub(crate) fn since(&self, from: Revision) -> (Revision, Vec<Entry>) {
        let from = if from < self.floor { Revision(0) } else { from };
        let after = self.by_revision.range((Revision(from.0 + 1), String::new())..);
        let entries = after.filter_map(|(_, key)| self.entries.get(key).cloned()).collect();
        (from, entries)
    }

    /// Bytes of all held records.
    pub(crate) fn size(&self) -> usize {
        let size = |entry: &Entry| entry.key.len() + entry.value.as_ref().map_or(0, |v| v.len());
        self.entries.values().map(size).sum()
    }

    /// The newest revision of the held records.
    pub(crate) fn newest(&self) -> Revision {
        // An empty view is at revision 0, before every record.
        self.by_revision.last().map(|(revision, _)| *revision).unwrap_or_default()
    }

    fn forget_old_deletions(&mut self) {
        while MAX_TOMBSTONES < self.tombstones.len() {
            let Some((revision, key)) = self.tombstones.pop_first() else {
                return;
            };
            self.by_revision.remove(&(revision, key.clone()));
            self.entries.remove(&key);
            self.floor = self.floor.max(revision);
        }
    }
}
