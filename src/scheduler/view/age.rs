//! How old what a node knows of each prefix of the store is.
//!
//! Two things are certain of an answer of the store. Its revision is none older than the call: what was
//! written before the call was sent has no higher one. And a source that has told of everything up to
//! a revision leaves out nothing that was written before the store was known to stand there. So a
//! prefix is known as of the last moment at which the store was told to stand at a revision that the
//! prefix has reached, whoever was told. Beside that, a watch that was answered tells of what was
//! written before it was sent, unless its answer was cut short: then it ends below a revision that was
//! known when it was sent.
//!
//! An answer counts once its changes were taken in. Design note 18 has the ways that were weighed.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    time::Duration,
};

use crate::{
    model::unit::{Revision, Steady},
    platform::kv::Heard,
};

/// The least time between two moments that are kept, in milliseconds.
const MOMENT_PAUSE_MS: u64 = 50;

/// Moments that are kept: with their pauses more than six seconds, longer than any view may be old
/// that is used.
const MOST_MOMENTS: usize = 128;

/// How old the records may be from which a node counts the jobs that wait, or by which it plans for
/// the fleet, in milliseconds: callers may be told what is two seconds old. A view that is kept up is
/// renewed within 1.2 s, and the store may be slow on top.
pub(crate) const RECORDS_MS: u64 = 2_000;

/// How old the records may be by which a job is said not to have ended, in milliseconds: beyond that the
/// store is read, as by nodes that do not hear of jobs.
pub(crate) const STATE_MS: u64 = 1_000;

/// How long ago an owner's word may have been heard that is added up, in milliseconds: owners renew it
/// each second, and it is heard of within another half.
pub(crate) const WORD_MS: u64 = 2_000;

/// How long ago the store may have been at the revision up to which an owner knew of its jobs, as they
/// are added up, in milliseconds: a job may take 3 s until it is shown and callers may be told what is
/// two seconds old, less the way of a question by another node.
pub(crate) const COUNTED_MS: u64 = 3_500;

/// What a node knows, and that is too old for what it is to be used for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TooOld {
    pub(crate) what: String,
    /// How old it is; nothing if it was never heard.
    pub(crate) age_ms: Option<u64>,
}

impl fmt::Display for TooOld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TooOld { what, age_ms } = self;
        match age_ms {
            Some(age) => write!(f, "{what} is {age} ms old"),
            None => write!(f, "{what} was not heard of yet"),
        }
    }
}

/// What a call began with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    /// When it was sent.
    pub(crate) sent: Steady,
    /// The highest revision of the store that was known then.
    pub(crate) newest: Revision,
}

/// How far an answer reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Extent {
    /// It tells of changes up to a revision.
    Changes(Revision),
    /// The same, and later ones may have been left out for their number: it says nothing of when.
    Cut(Revision),
    /// Nothing has changed up to a revision, and until a moment.
    Quiet(Revision, Steady),
}

impl Extent {
    /// How far a watch reaches that waited for a change, and was answered now.
    pub(crate) fn of_watch(
        asked: Asked,
        wait: Duration,
        heard: &Heard,
        answered: Steady,
    ) -> Extent {
        if heard.may_be_cut() {
            return Extent::Cut(heard.at);
        }
        if !heard.changes.is_empty() {
            return Extent::Changes(heard.at);
        }
        // One that was answered early was cut.
        let waited = wait.as_millis() as u64;
        let whole = waited <= answered.since(asked.sent);
        Extent::Quiet(heard.at, if whole { asked.sent.after(waited) } else { asked.sent })
    }

    /// The revision up to which it tells of everything.
    pub(crate) fn at(self) -> Revision {
        match self {
            Extent::Changes(at) | Extent::Cut(at) | Extent::Quiet(at, _) => at,
        }
    }
}

/// How far a prefix is known.
#[derive(Debug, Clone, Copy, Default)]
struct Reached {
    at: Revision,
    /// All that was written before is known, if any moment is.
    as_of: Option<Steady>,
}

/// How old what is known of each prefix is.
#[derive(Debug, Default)]
pub(crate) struct Ages {
    reached: BTreeMap<Box<str>, Reached>,
    /// Moments, and a revision that the store had reached, or was to reach, by no write before them.
    moments: VecDeque<(Steady, Revision)>,
    newest: Revision,
}

impl Ages {
    /// A call that is sent now.
    pub(crate) fn ask(&self, sent: Steady) -> Asked {
        Asked { sent, newest: self.newest }
    }

    /// Takes note that the store stands at a revision, by its answer to a call that was sent at a
    /// moment.
    pub(crate) fn told(&mut self, sent: Steady, revision: Revision) {
        self.newest = self.newest.max(revision);
        if self.moments.back().is_some_and(|(last, _)| sent < last.after(MOMENT_PAUSE_MS)) {
            return;
        }
        self.moments.push_back((sent, revision));
        if MOST_MOMENTS < self.moments.len() {
            self.moments.pop_front();
        }
    }

    /// Takes note that all changes of a prefix up to a revision were taken in, as a call was answered.
    pub(crate) fn heard(&mut self, prefix: &str, asked: Asked, answer: Extent) {
        let (at, until) = match answer {
            Extent::Changes(at) => (at, (asked.newest <= at).then_some(asked.sent)),
            Extent::Cut(at) => (at, None),
            Extent::Quiet(at, until) => (at, Some(until)),
        };
        self.newest = self.newest.max(at);
        let mut reached = self.reached.get(prefix).copied().unwrap_or_default();
        reached.at = reached.at.max(at);
        reached.as_of = reached.as_of.max(until);
        reached.as_of = reached.as_of.max(self.last_moment(reached.at));
        self.reached.insert(prefix.into(), reached);
    }

    /// Takes over what is known of a longer prefix from a shorter one.
    pub(crate) fn begin(&mut self, prefix: &str, within: &str) {
        let as_of = self.as_of(within);
        let at = self.reached.get(within).map(|reached| reached.at).unwrap_or_default();
        self.reached.insert(prefix.into(), Reached { at, as_of });
    }

    /// Forgets a prefix that is not watched any more.
    pub(crate) fn end(&mut self, prefix: &str) {
        self.reached.remove(prefix);
    }

    /// The moment before which all that was written is known; nothing if there is none.
    pub(crate) fn as_of(&self, prefix: &str) -> Option<Steady> {
        let reached = self.reached.get(prefix)?;
        reached.as_of.max(self.last_moment(reached.at))
    }

    /// How long ago that was, in milliseconds.
    pub(crate) fn of(&self, prefix: &str, now: Steady) -> Option<u64> {
        Some(now.since(self.as_of(prefix)?))
    }

    /// Checks that a prefix is known as of so many milliseconds ago, or less.
    pub(crate) fn check(&self, prefix: &str, most_ms: u64, now: Steady) -> Result<(), TooOld> {
        match self.of(prefix, now) {
            Some(age) if age <= most_ms => Ok(()),
            age_ms => Err(TooOld { what: prefix.to_owned(), age_ms }),
        }
    }

    /// Whether a prefix is known as of so many milliseconds ago, or less.
    pub(crate) fn is_within(&self, prefix: &str, most_ms: u64, now: Steady) -> bool {
        self.check(prefix, most_ms, now).is_ok()
    }

    /// Checks that what holds as of a revision is no older than what is added up may be.
    pub(crate) fn check_revision(
        &self,
        what: &str,
        at: Revision,
        now: Steady,
    ) -> Result<(), TooOld> {
        match self.last_moment(at).map(|moment| now.since(moment)) {
            Some(age) if age <= COUNTED_MS => Ok(()),
            age_ms => Err(TooOld { what: what.to_owned(), age_ms }),
        }
    }

    fn last_moment(&self, at: Revision) -> Option<Steady> {
        let passed = self.moments.iter().rev().find(|(_, revision)| *revision <= at);
        passed.map(|(moment, _)| *moment)
    }
}
