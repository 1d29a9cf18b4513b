//! The age of a node's view of each prefix of the store.
//!
//! An answer of the store shows the store's revision, which is at least that of every write before
//! the call was sent. A source that has reported everything up to that revision therefore misses no
//! write from before the call. So a prefix is known as of the latest call whose answer showed a
//! revision that the prefix has reached.
//! In addition, an answered watch covers what was written before it was sent, unless its answer was
//! cut short: then it ends below a revision that was known when it was sent.
//!
//! An answer counts once its changes were applied.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    time::Duration,
};

use crate::{
    model::unit::{Revision, Steady},
    platform::kv::WatchBatch,
};

/// The minimum time between two recorded moments, in milliseconds.
const MOMENT_INTERVAL_MS: u64 = 50;

/// Maximum number of recorded moments: at their interval they cover more than six seconds, longer
/// than the maximum age of any view in use.
const MAX_MOMENTS: usize = 128;

/// The maximum age of the records from which a node counts waiting jobs or plans for the fleet, in
/// milliseconds: answers to callers may be two seconds old. A view without failures is updated
/// within 1.2 s, which leaves time for a slow store.
pub(crate) const MAX_RECORDS_AGE_MS: u64 = 2_000;

/// The maximum age of the records by which a job is reported as not ended, in milliseconds: if they
/// are older, the store is read, as on nodes that do not mirror jobs.
pub(crate) const MAX_STATE_AGE_MS: u64 = 1_000;

/// The maximum age of an owner's report of waiting jobs that is counted, in milliseconds: owners
/// renew it each second, and it is received within another half second.
pub(crate) const MAX_REPORT_AGE_MS: u64 = 2_000;

/// The maximum age of the revision up to which an owner's report of waiting jobs is complete, in
/// milliseconds: a job may take 3 s to be counted and answers to callers may be two seconds old,
/// less the time to relay a request to another node.
pub(crate) const MAX_COUNTED_AGE_MS: u64 = 3_500;

/// Data that a node has and that is too old for its purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StaleData {
    pub(crate) what: String,
    /// Its age; `None` if it was never received.
    pub(crate) age_ms: Option<u64>,
}

impl fmt::Display for StaleData {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StaleData { what, age_ms } = self;
        match age_ms {
            Some(age) => write!(f, "{what} is {age} ms old"),
            None => write!(f, "{what} has not been received yet"),
        }
    }
}

/// What was known when a call was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallStart {
    /// When it was sent.
    pub(crate) sent: Steady,
    /// The highest known revision of the store at that time.
    pub(crate) newest: Revision,
}

/// How far an answer reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Extent {
    /// It has all changes up to a revision.
    Changes(Revision),
    /// It has all changes up to a revision, but later ones may have been left out because there
    /// were too many for one answer: it gives no point in time.
    Truncated(Revision),
    /// Nothing has changed up to a revision, nor until a moment.
    Unchanged(Revision, Steady),
}

impl Extent {
    /// How far the answer of a watch reaches. `wait` is the time that it could wait for a change.
    pub(crate) fn of_watch(
        call: CallStart,
        wait: Duration,
        answer: &WatchBatch,
        answered: Steady,
    ) -> Extent {
        if answer.may_be_truncated() {
            return Extent::Truncated(answer.at);
        }
        if !answer.changes.is_empty() {
            return Extent::Changes(answer.at);
        }
        // An answer before the end of the wait shows that the wait was cut short.
        let wait_ms = wait.as_millis() as u64;
        let is_complete = wait_ms <= answered.since(call.sent);
        Extent::Unchanged(answer.at, if is_complete { call.sent.after(wait_ms) } else { call.sent })
    }

    /// The revision up to which it has all changes.
    pub(crate) fn at(self) -> Revision {
        match self {
            Extent::Changes(at) | Extent::Truncated(at) | Extent::Unchanged(at, _) => at,
        }
    }
}

/// How far the view of a prefix reaches.
#[derive(Debug, Clone, Copy, Default)]
struct Reached {
    at: Revision,
    /// The moment before which all writes are known, if there is one.
    as_of: Option<Steady>,
}

/// The ages of the view, by prefix.
#[derive(Debug, Default)]
pub(crate) struct Ages {
    reached: BTreeMap<Box<str>, Reached>,
    /// Moments, each with a revision such that no write before the moment has a higher one.
    moments: VecDeque<(Steady, Revision)>,
    newest: Revision,
}

impl Ages {
    /// Describes a call that is sent now.
    pub(crate) fn start_call(&self, sent: Steady) -> CallStart {
        CallStart { sent, newest: self.newest }
    }

    /// Records the store's revision by its answer to a call sent at `sent`.
    pub(crate) fn note_revision(&mut self, sent: Steady, revision: Revision) {
        self.newest = self.newest.max(revision);
        if self.moments.back().is_some_and(|(last, _)| sent < last.after(MOMENT_INTERVAL_MS)) {
            return;
        }
        self.moments.push_back((sent, revision));
        if MAX_MOMENTS < self.moments.len() {
            self.moments.pop_front();
        }
    }

    /// Records that the changes of an answer about a prefix were applied.
    pub(crate) fn note_answer(&mut self, prefix: &str, call: CallStart, answer: Extent) {
        let (at, until) = match answer {
            Extent::Changes(at) => (at, (call.newest <= at).then_some(call.sent)),
            Extent::Truncated(at) => (at, None),
            Extent::Unchanged(at, until) => (at, Some(until)),
        };
        self.newest = self.newest.max(at);
        let mut reached = self.reached.get(prefix).copied().unwrap_or_default();
        reached.at = reached.at.max(at);
        reached.as_of = reached.as_of.max(until);
        reached.as_of = reached.as_of.max(self.last_moment(reached.at));
        self.reached.insert(prefix.into(), reached);
    }

    /// Adds a prefix, with what is known of it from the shorter prefix `within`.
    pub(crate) fn add_prefix(&mut self, prefix: &str, within: &str) {
        let as_of = self.as_of(within);
        let at = self.reached.get(within).map(|reached| reached.at).unwrap_or_default();
        self.reached.insert(prefix.into(), Reached { at, as_of });
    }

    /// Removes a prefix that is no longer watched.
    pub(crate) fn remove_prefix(&mut self, prefix: &str) {
        self.reached.remove(prefix);
    }

    /// The moment before which all writes are known; `None` if there is none.
    pub(crate) fn as_of(&self, prefix: &str) -> Option<Steady> {
        let reached = self.reached.get(prefix)?;
        reached.as_of.max(self.last_moment(reached.at))
    }

    /// The age of the view of a prefix, in milliseconds: the time since the moment of
    /// [`Ages::as_of`].
    pub(crate) fn age_ms(&self, prefix: &str, now: Steady) -> Option<u64> {
        Some(now.since(self.as_of(prefix)?))
    }

    /// Checks that the view of a prefix is at most `max_ms` old.
    pub(crate) fn check(&self, prefix: &str, max_ms: u64, now: Steady) -> Result<(), StaleData> {
        match self.age_ms(prefix, now) {
            Some(age) if age <= max_ms => Ok(()),
            age_ms => Err(StaleData { what: prefix.to_owned(), age_ms }),
        }
    }

    /// Whether the view of a prefix is at most `max_ms` old.
    pub(crate) fn is_within(&self, prefix: &str, max_ms: u64, now: Steady) -> bool {
        self.check(prefix, max_ms, now).is_ok()
    }

    /// Checks that data as of a revision is recent enough to be counted.
    pub(crate) fn check_revision(
        &self,
        what: &str,
        at: Revision,
        now: Steady,
    ) -> Result<(), StaleData> {
        match self.last_moment(at).map(|moment| now.since(moment)) {
            Some(age) if age <= MAX_COUNTED_AGE_MS => Ok(()),
            age_ms => Err(StaleData { what: what.to_owned(), age_ms }),
        }
    }

    fn last_moment(&self, at: Revision) -> Option<Steady> {
        let newest = self.moments.iter().rev().find(|(_, revision)| *revision <= at);
        newest.map(|(moment, _)| *moment)
    }
}
