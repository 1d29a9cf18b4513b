//! What a node knows: every watched record at its newest revision. A record never gives way to an
//! older one, whatever order the store's watch, peers and restarts deliver them in.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    model::{
        fleet::Fleet,
        record::Key,
        unit::{Revision, Time},
    },
    platform::store::Entry,
};

/// Deleted keys that are remembered, so that no older peer brings them back.
const TOMBSTONES: usize = 10_000;

/// What a node knows.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) fleet: Fleet,
    entries: BTreeMap<String, Entry>,
    by_revision: BTreeSet<(Revision, String)>,
    tombstones: BTreeSet<(Revision, String)>,
    /// Deletions up to here are forgotten: a key that is not held and is older was deleted.
    floor: Revision,
    /// Every change up to here is held.
    pub(crate) complete: Revision,
    /// When the view was last known to be that of the store.
    pub(crate) verified: Time,
}

impl View {
    /// Takes in an entry if it is newer than what is held. Tells whether it was.
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
                Err(error) => log::error!("record {}: not understood: {error}", entry.key),
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

    /// Takes in all entries of the store as of a revision: what is held and not among them was
    /// deleted.
    pub(crate) fn replace(&mut self, entries: Vec<Entry>, revision: Revision) {
        let listed: BTreeSet<String> = entries.iter().map(|entry| entry.key.clone()).collect();
        let gone: Vec<String> = self
            .entries
            .values()
            .filter(|held| held.value.is_some() && held.revision <= revision)
            .filter(|held| !listed.contains(&held.key))
            .map(|held| held.key.clone())
            .collect();
        for key in gone {
            self.apply(Entry { key, revision, value: None });
        }
        // The base comes before the changes that were folded into it, by the order of keys.
        for entry in entries {
            self.apply(entry);
        }
        self.complete = self.complete.max(revision);
    }

    /// Takes in all changes after `from` up to `to`. Tells whether any was new.
    pub(crate) fn extend(&mut self, from: Revision, to: Revision, entries: Vec<Entry>) -> bool {
        let mut new = false;
        for entry in entries {
            new |= self.apply(entry);
        }
        if from <= self.complete {
            self.complete = self.complete.max(to);
        }
        new
    }

    /// Every change after a revision, with the revision that they really start from: the very
    /// first if deletions since then are forgotten.
    pub(crate) fn since(&self, from: Revision) -> (Revision, Vec<Entry>) {
        let from = if from < self.floor { Revision(0) } else { from };
        let after = self.by_revision.range((Revision(from.0 + 1), String::new())..);
        let entries = after.filter_map(|(_, key)| self.entries.get(key).cloned()).collect();
        (from, entries)
    }

    /// Bytes of all records that are held.
    pub(crate) fn size(&self) -> usize {
        let size = |entry: &Entry| entry.key.len() + entry.value.as_ref().map_or(0, |v| v.len());
        self.entries.values().map(size).sum()
    }

    /// The newest revision of the records that are held.
    pub(crate) fn newest(&self) -> Revision {
        // An empty view stands at revision 0, before every record.
        self.by_revision.last().map(|(revision, _)| *revision).unwrap_or_default()
    }

    fn forget_old_deletions(&mut self) {
        while TOMBSTONES < self.tombstones.len() {
            let Some((revision, key)) = self.tombstones.pop_first() else {
                return;
            };
            self.by_revision.remove(&(revision, key.clone()));
            self.entries.remove(&key);
            self.floor = self.floor.max(revision);
        }
    }
}
