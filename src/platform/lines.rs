//! How many calls of a node are at one worker at one time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::Semaphore;

/// Calls that one node makes to one worker at one time, and so the connections that it has there. A
/// worker takes 64 and keeps those of nodes that lost power: with one for each start of a burst, the
/// next owner found none left (594 were reset in one day). Six nodes before and one after stay under
/// it, and a burst of 40 starts takes 7 rounds of some 3 ms.
pub(super) const MOST_CALLS: usize = 6;

/// Addresses that are kept before those without calls are dropped.
const MOST_ADDRESSES: usize = 2_048;

/// The calls to each worker, by its address.
#[derive(Clone, Default)]
pub(super) struct Lines {
    workers: Arc<Mutex<HashMap<String, Arc<Semaphore>>>>,
}

impl Lines {
    /// What lets calls to an address begin.
    pub(super) fn to(&self, address: &str) -> Arc<Semaphore> {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(line) = workers.get(address) {
            return line.clone();
        }
        if MOST_ADDRESSES <= workers.len() {
            workers.retain(|_, line| Arc::strong_count(line) != 1);
        }
        let line = Arc::new(Semaphore::new(MOST_CALLS));
        workers.insert(address.to_owned(), line.clone());
        line
    }
}
