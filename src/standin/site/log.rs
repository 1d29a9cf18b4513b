//! The log of what happened at the stand-in's workers, in order.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};

/// Kind of an event at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Kind {
    Started,
    Done,
    Failed,
    Stopped,
    Lapsed,
    /// The worker's incarnation ended, and the run with it.
    Crashed,
    /// An owner has acknowledged the end of a run.
    Acknowledged,
    /// The worker's lease has expired: its runs have lapsed.
    Expired,
}

/// One event of a run, or of the whole worker if no task is named.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Entry {
    /// In milliseconds since 1970.
    at: u64,
    worker: String,
    kind: Kind,
    task: String,
    run: u32,
    /// The fencing token of the order, or the highest that the worker has seen.
    token: u64,
}

/// All events so far.
pub(super) struct Log {
    started_at: u64,
    entries: Vec<Entry>,
}

impl Default for Log {
    fn default() -> Log {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Log { started_at: started_at.as_millis() as u64, entries: Vec::new() }
    }
}

impl Log {
    /// Records an event at `now` milliseconds after the start.
    pub(super) fn record(
        &mut self,
        now: u64,
        by: (&str, u64),
        kind: Kind,
        (task, run): (&str, u32),
    ) {
        let (worker, token) = (by.0.to_owned(), by.1);
        let (at, task) = (self.started_at + now, task.to_owned());
        self.entries.push(Entry { at, worker, kind, task, run, token });
    }

    /// The events from an index on.
    pub(super) fn since(&self, first: usize) -> Value {
        json!(self.entries.get(first..).unwrap_or_default())
    }
}
