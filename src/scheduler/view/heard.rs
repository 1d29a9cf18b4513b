//! What was last heard of each key, whoever told of it.
//!
//! Several sources tell of the same keys: the mirror's watches, the watch of an owner, and reads in
//! pages, which are no snapshot. None is as far as the others, and each may repeat what was told.
//! Of one key the news with the highest revision counts, also if that is its removal: its revision
//! is kept until every source that tells of the key has passed it, since only then can nothing
//! older come.
//!
//! Memory: one entry for each key that is there, as the mirror itself keeps, and one for each key
//! that was removed after the revision that the slowest source has reached.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{model::unit::Revision, platform::kv::Change};

/// Names a source of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourceId(u64);

/// A source of changes, and how far it has told of its prefix.
#[derive(Debug)]
struct Source {
    prefix: String,
    at: Revision,
}

/// The revision up to which each key is known.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    newest: HashMap<Box<str>, Revision>,
    /// Removed keys, by the revision of the removal. A key that was written again since may still
    /// be among them.
    removed: BTreeSet<(Revision, Box<str>)>,
    sources: BTreeMap<SourceId, Source>,
    next_source: u64,
}

impl Heard {
    /// Whether a change is news; it counts as heard from then on.
    pub(crate) fn is_news(&mut self, change: &Change) -> bool {
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

    /// Adds a source that tells of changes after a revision. It must be added before it reads.
    pub(crate) fn open(&mut self, prefix: &str, at: Revision) -> SourceId {
        let id = SourceId(self.next_source);
        self.next_source += 1;
        self.sources.insert(id, Source { prefix: prefix.to_owned(), at });
        id
    }

    /// Takes note that a source has told of everything up to a revision.
    pub(crate) fn passed(&mut self, id: SourceId, at: Revision) {
        if let Some(source) = self.sources.get_mut(&id) {
            source.at = source.at.max(at);
        }
        self.forget();
    }

    /// Takes note that a source tells of nothing any more.
    pub(crate) fn close(&mut self, id: SourceId) {
        self.sources.remove(&id);
        self.forget();
    }

    /// How many removed keys are still known.
    #[cfg(test)]
    pub(crate) fn removals(&self) -> usize {
        self.removed.len()
    }

    /// Forgets the removals of which nothing older can come, the oldest first.
    fn forget(&mut self) {
        while let Some((revision, key)) = self.removed.first() {
            let late = |source: &Source| source.at < *revision && key.starts_with(&source.prefix);
            if self.sources.values().any(late) {
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
