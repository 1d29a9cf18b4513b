//! Counts the bytes of control traffic (store, list of hosts, peer links and commands), without
//! HTTP headers.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes sent and received.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: AtomicU64,
}

impl Traffic {
    /// Adds bytes that were sent or received.
    pub(crate) fn record(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Total bytes so far.
    pub(crate) fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
