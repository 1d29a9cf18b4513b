//! The newest known revision of each key, over all sources of changes.
//!
//! Several sources report the same keys: the mirror's watches, the watch of an owner, and reads in
//! pages, which are no snapshot. They progress at different speeds, and each may repeat a change.
//! For each key the change with the highest revision counts, even if it is a removal: the revision
//! of a removal is kept until every source that covers the key has passed it, since an older change
//! may arrive until then.
//!
//! Memory: one entry for each existing key, as in the mirror itself, and one for each key that was
//! removed after the revision that the slowest source has reached.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{model::unit::Revision, platform::kv::Change};

/// Identifies a source of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceId(u64);

/// A source of changes to a prefix, and the revision that it has reached.
#[derive(Debug)]
struct Source {
    prefix: String,
    at: Revision,
}

/// The newest known revision of each key.
#[derive(Debug, Default)]
pub(crate) struct KeyRevisions {
    newest: HashMap<Box<str>, Revision>,
    /// Removed keys, by the revision of the removal. A key that was written again since may still
    /// be among them.
    removed: BTreeSet<(Revision, Box<str>)>,
    sources: BTreeMap<SourceId, Source>,
    next_source: u64,
}

impl KeyRevisions {
    /// Whether a change is newer than what is known of its key; it counts as known from then on.
    pub(crate) fn is_newer(&mut self, change: &Change) -> bool {
        let (key, revision) = (change.key.as_str(), change.revision);
        match self.newest.get_mut(key) {
            Some(newest) if revision <= *newest => return false,
            Some(newest) => *newest = revision,
            None => {
                self.newest.insert(key.into(), revision);
            }
        }
        if change.value.is_none() {
            self.removed.insert((revision, key.into()));
        }
        true
    }

    /// Adds a source of changes after a revision. It must be added before its first call.
    pub(crate) fn add_source(&mut self, prefix: &str, at: Revision) -> SourceId {
        let id = SourceId(self.next_source);
        self.next_source += 1;
        self.sources.insert(id, Source { prefix: prefix.to_owned(), at });
        id
    }

    /// Records that a source has reported all changes up to a revision.
    pub(crate) fn note_progress(&mut self, id: SourceId, at: Revision) {
        if let Some(source) = self.sources.get_mut(&id) {
            source.at = source.at.max(at);
        }
        self.forget();
    }

    /// Removes a source.
    pub(crate) fn remove_source(&mut self, id: SourceId) {
        self.sources.remove(&id);
        self.forget();
    }

    /// The number of remembered removals.
    #[cfg(test)]
    pub(crate) fn removal_count(&self) -> usize {
        self.removed.len()
    }

    /// Forgets the removals that all sources have passed, the oldest first.
    fn forget(&mut self) {
        while let Some((revision, key)) = self.removed.first() {
            let has_not_passed =
                |source: &Source| source.at < *revision && key.starts_with(&source.prefix);
            if self.sources.values().any(has_not_passed) {
                return;
            }
            let Some((revision, key)) = self.removed.pop_first() else {
                return;
            };
            if self.newest.get(&key) == Some(&revision) {
                self.newest.remove(&key);
            }
        }
    }
}
