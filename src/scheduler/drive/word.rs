//! The word of a pool's owner on how many jobs of each queue have not begun: when it is told, and what
//! counts as told.
//!
//! Most nodes add these words up for their callers, and know of a word only when it was written. So it
//! counts as told once the store has taken it, one at a time and each over the one before, and it is
//! told only by an owner that knows of its jobs lately.

use std::collections::BTreeMap;

use super::OverwriteEnd;
use crate::{
    model::unit::{Revision, Steady},
    scheduler::view::waiting::WordRecord,
};

/// The least time between two words, in milliseconds: callers may be told what is two seconds old,
/// and other nodes hear of it half a second later at the most.
const QUEUED_PAUSE_MS: u64 = 500;

/// How long after the last word it is told again though nothing has changed, in milliseconds: nodes
/// answer from a word for two seconds, hear of it up to one second late (a watch of half a second, and
/// its pause), and 200 are left for the write and its way.
const QUEUED_AGAIN_MS: u64 = 800;

/// How long after a word that was not taken it is told again, in milliseconds: five fit into a
/// second, and a store that is away is not asked more often than that.
const QUEUED_RETRY_MS: u64 = 200;

/// How old may be what an owner knows of new jobs when it tells how many wait, in milliseconds: a watch
/// that nothing changes is answered after 800, and the rest is for the way of the answer.
const KNOWN_MS: u64 = 1_200;

/// How many jobs of each queue have not begun.
pub(super) type Counts = BTreeMap<String, usize>;

/// What became of an owner's word.
#[derive(Debug)]
pub(super) struct Word {
    /// What was last taken, and when it was sent.
    taken: Option<(Counts, Steady)>,
    /// The revision of the record.
    pub(super) at: Revision,
    /// Words on their way.
    pub(super) on_way: usize,
    /// When it is next looked at.
    next: Steady,
    /// Up to when the owner knows of its jobs.
    known: Steady,
    /// The revision up to which it does.
    known_at: Revision,
    /// Whether the last one was not taken.
    failing: bool,
}

impl Word {
    /// Of an owner that knows of its jobs up to a moment, over a record of earlier ones.
    pub(super) fn new(at: Revision, known: Steady, known_at: Revision) -> Word {
        let next = Steady::default();
        Word { taken: None, at, on_way: 0, next, known, known_at, failing: false }
    }

    /// Takes note that the owner has heard of all jobs up to a moment.
    pub(super) fn heard(&mut self, known: Steady, at: Revision) {
        self.known = self.known.max(known);
        self.known_at = self.known_at.max(at);
    }

    /// What is written of these counts: with the revision up to which the jobs were known, by which
    /// other nodes tell how old they are, however late it is written.
    pub(super) fn record(&self, counts: Counts) -> WordRecord {
        WordRecord { known: Some(self.known_at), counts }
    }

    /// Whether the owner knows of its jobs lately enough to tell how many wait.
    pub(super) fn is_known(&self, now: Steady) -> bool {
        now.since(self.known) < KNOWN_MS
    }

    /// Whether it is to be looked at now.
    pub(super) fn may_be_due(&self, now: Steady) -> bool {
        self.on_way == 0 && self.next <= now && self.is_known(now)
    }

    /// Whether these counts are to be told now; if not, they are looked at again a pause later.
    pub(super) fn is_due(&mut self, counts: &Counts, now: Steady) -> bool {
        self.next = now.after(QUEUED_PAUSE_MS);
        self.taken
            .as_ref()
            .is_none_or(|(told, sent)| told != counts || QUEUED_AGAIN_MS <= now.since(*sent))
    }

    /// Takes note that a word is on its way.
    pub(super) fn sent(&mut self, now: Steady) {
        self.on_way += 1;
        self.next = now.after(QUEUED_PAUSE_MS);
    }

    /// Takes note of what became of a word; whether it is the first in a row that was not taken.
    pub(super) fn ended(
        &mut self,
        counts: Counts,
        sent: Steady,
        end: &OverwriteEnd,
        now: Steady,
    ) -> bool {
        self.on_way = self.on_way.saturating_sub(1);
        let pause = match end {
            OverwriteEnd::Kept(at) => {
                (self.at, self.taken, self.failing) = (*at, Some((counts, sent)), false);
                return false;
            }
            OverwriteEnd::Rebase(at) => {
                self.at = *at;
                0
            }
            OverwriteEnd::Failed => QUEUED_RETRY_MS,
        };
        self.taken = None;
        self.next = now.after(pause);
        !std::mem::replace(&mut self.failing, true)
    }
}
