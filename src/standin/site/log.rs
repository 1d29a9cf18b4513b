//! What the stand-in's workers really did, in the order in which it happened.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};

/// What happened at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Kind {
    Started,
    Done,
    Failed,
    Stopped,
    Lapsed,
    /// The worker's life ended, and the run with it.
    Crashed,
    /// A caller has taken note of the end of a run.
    Acknowledged,
    /// The worker's lease is over: whatever ran has lapsed.
    Expired,
}

/// One event of one run; of the whole worker where no task is named.
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
    began: u64,
    entries: Vec<Entry>,
}

impl Default for Log {
    fn default() -> Log {
        let began = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Log { began: began.as_millis() as u64, entries: Vec::new() }
    }
}

impl Log {
    /// Notes an event at so many milliseconds after the start.
    pub(super) fn note(&mut self, now: u64, by: (&str, u64), kind: Kind, (task, run): (&str, u32)) {
        let (worker, token) = (by.0.to_owned(), by.1);
        let (at, task) = (self.began + now, task.to_owned());
        self.entries.push(Entry { at, worker, kind, task, run, token });
    }

    /// The events from one on.
    pub(super) fn since(&self, first: usize) -> Value {
        json!(self.entries.get(first..).unwrap_or_default())
    }
}
