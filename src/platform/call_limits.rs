//! Limits the number of concurrent calls of a node to each worker.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::Semaphore;

/// Maximum number of concurrent calls, and so of connections, of one node to one worker. A worker
/// accepts 64 connections and keeps those of nodes that lost power: with one connection for each
/// start of a burst, none would be left for the next owner (594 were reset in one day). The
/// connections of six earlier nodes and of a new one stay under that bound, and a burst of 40
/// starts takes 7 rounds of some 3 ms.
pub(super) const MAX_CALLS_PER_WORKER: usize = 6;

/// Number of known addresses from which on those without calls are dropped.
const MAX_ADDRESSES: usize = 2_048;

/// A semaphore for each worker, by its address.
#[derive(Clone, Default)]
pub(super) struct CallLimits {
    workers: Arc<Mutex<HashMap<String, Arc<Semaphore>>>>,
}

impl CallLimits {
    /// Returns the semaphore that calls to an address must acquire.
    pub(super) fn semaphore_for(&self, address: &str) -> Arc<Semaphore> {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(semaphore) = workers.get(address) {
            return semaphore.clone();
        }
        if MAX_ADDRESSES <= workers.len() {
            workers.retain(|_, semaphore| Arc::strong_count(semaphore) != 1);
        }
        let semaphore = Arc::new(Semaphore::new(MAX_CALLS_PER_WORKER));
        workers.insert(address.to_owned(), semaphore.clone());
        semaphore
    }
}
