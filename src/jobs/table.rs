//! An ordered table that counts, in tests, how many of its entries are visited: a measure of the
//! cost of decisions that does not depend on the machine.

use std::{
    borrow::Borrow,
    collections::BTreeMap,
    ops::{Index, RangeBounds},
};

#[cfg(test)]
thread_local! {
    /// The number of entries visited so far in any table.
    static VISITS: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Returns the number of visits since the last call.
#[cfg(test)]
pub(crate) fn take_visits() -> u64 {
    VISITS.take()
}

fn note_visit() {
    #[cfg(test)]
    VISITS.set(VISITS.get() + 1);
}

/// An ordered table.
#[derive(Debug)]
pub(crate) struct Table<K, V> {
    entries: BTreeMap<K, V>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Table<K, V> {
        Table { entries: BTreeMap::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn contains_key<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        note_visit();
        self.entries.contains_key(key)
    }

    pub(crate) fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        note_visit();
        self.entries.get(key)
    }

    pub(crate) fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        note_visit();
        self.entries.get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: K, value: V) -> Option<V> {
        note_visit();
        self.entries.insert(key, value)
    }

    pub(crate) fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        note_visit();
        self.entries.remove(key)
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = &K> + Clone {
        self.entries.keys().inspect(|_| note_visit())
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &V> + Clone {
        self.entries.values().inspect(|_| note_visit())
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut().inspect(|_| note_visit())
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().inspect(|_| note_visit())
    }

    pub(crate) fn range_mut(
        &mut self,
        range: impl RangeBounds<K>,
    ) -> impl Iterator<Item = (&K, &mut V)> {
        self.entries.range_mut(range).inspect(|_| note_visit())
    }
}

impl<K: Ord, V> Index<&K> for Table<K, V> {
    type Output = V;

    fn index(&self, key: &K) -> &V {
        note_visit();
        &self.entries[key]
    }
}
