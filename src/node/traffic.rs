//! Counts the bytes of control: store, list of hosts, links and commands, without their headers.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes sent and received.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    bytes: AtomicU64,
}

impl Traffic {
    /// Notes bytes that were sent or received.
    pub(crate) fn note(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// All bytes so far.
    pub(crate) fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
