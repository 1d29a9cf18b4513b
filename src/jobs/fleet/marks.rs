//! The drain marks of hosts, combined from the results of the owner's own writes and, where there
//! are none, from the view.
//!
//! A view may be stale by seconds. An owner that relied on it alone would repeat its own writes
//! until the view shows them, and that load would delay the view further.

use std::collections::BTreeMap;

use super::{FleetEffect, FleetOwner, FleetSnapshot, HostAction, WRITE_RETRY_MS, WriteResult};
use crate::model::{
    id::HostId,
    unit::{Revision, Steady},
};

/// For how long of the platform's calls marks may be written ahead of what the view shows, as a part
/// of a second: a view usually lags by a quarter of a second, and each move takes a mark and a
/// removal.
const UNSEEN_PART: usize = 2;

/// The lag of the view from which on fewer marks are written, in milliseconds. Otherwise an owner
/// that takes several milliseconds to apply a change falls behind because of its own orders.
const SLOW_VIEW_MS: u64 = 500;

/// The least number of unseen marks, however slow the view is.
const MIN_UNSEEN: usize = 16;

/// A drain mark as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DrainMark {
    pub(crate) action: HostAction,
    pub(crate) revision: Revision,
}

/// The state of the latest write of a host's mark.
#[derive(Debug, Clone)]
enum MarkWrite {
    Marking(HostAction),
    /// Committed at this time, and not shown by the view yet.
    Marked(DrainMark, Steady),
    /// The mark is being removed.
    Unmarking(DrainMark),
    /// Failed: nothing is decided for the host before this time.
    BackingOff(Steady),
}

/// A mark that was removed.
#[derive(Debug, Clone, Copy)]
struct Removal {
    mark: Revision,
    /// The revision of the removal, or that of the mark if the removal's is not known.
    until: Revision,
    /// When it was committed.
    at: Steady,
}

/// How many marks may be written and removed that the view does not show yet.
#[derive(Debug, Default)]
struct UnseenLimit {
    limit: usize,
    max: usize,
    /// When it was last lowered.
    lowered: Steady,
}

impl UnseenLimit {
    fn new(max_calls: usize) -> UnseenLimit {
        let max = (max_calls / UNSEEN_PART).max(MIN_UNSEEN);
        UnseenLimit { limit: max, max, lowered: Steady::default() }
    }

    /// Halves the limit while the view lags, by the oldest unseen write, and raises it by the number
    /// of writes that it has `shown` otherwise.
    fn adapt(&mut self, oldest: Option<Steady>, shown: usize, now: Steady) {
        let is_slow = oldest.is_some_and(|at| SLOW_VIEW_MS < now.since(at));
        if !is_slow {
            self.limit = (self.limit + shown).min(self.max);
        } else if SLOW_VIEW_MS <= now.since(self.lowered) {
            self.limit = (self.limit / 2).max(MIN_UNSEEN);
            self.lowered = now;
        }
    }
}

/// A mark as known to the owner.
#[derive(Debug, Clone)]
pub(super) struct KnownMark {
    pub(super) action: HostAction,
    /// The revision of the mark if it is certain to be stored.
    pub(super) confirmed: Option<Revision>,
}

/// The marks of all hosts.
#[derive(Debug, Default)]
pub(super) struct Marks {
    known: BTreeMap<HostId, KnownMark>,
    /// When each mark was first known.
    since: BTreeMap<HostId, Steady>,
    writes: BTreeMap<HostId, MarkWrite>,
    removals: BTreeMap<HostId, Removal>,
    unseen: UnseenLimit,
    /// How often a host or a mark was visited.
    #[cfg(test)]
    pub(super) visits: std::cell::Cell<usize>,
}

impl Marks {
    /// No marks, for a platform that accepts so many calls per second.
    pub(super) fn new(max_calls: usize) -> Marks {
        Marks { unseen: UnseenLimit::new(max_calls), ..Marks::default() }
    }

    /// Combines the marks that the view shows with the results of writes.
    pub(super) fn refresh(&mut self, snapshot: &FleetSnapshot<'_>, now: Steady) {
        let revision_in_view = |host: &HostId| snapshot.marks.get(host).map(|mark| mark.revision);
        let unseen_before = self.unseen_count();
        self.removals.retain(|host, removal| {
            snapshot.view_revision < removal.until
                || revision_in_view(host).is_some_and(|at| at <= removal.mark)
        });
        self.writes.retain(|host, write| match write {
            MarkWrite::Marking(_) | MarkWrite::Unmarking(_) => true,
            MarkWrite::Marked(mark, _) => {
                snapshot.view_revision < mark.revision
                    && revision_in_view(host).is_none_or(|at| at < mark.revision)
            }
            MarkWrite::BackingOff(until) => now < *until,
        });
        let shown = unseen_before.saturating_sub(self.unseen_count());
        self.unseen.adapt(self.oldest_unseen(), shown, now);
        let removals = &self.removals;
        let is_current = |(host, mark): &(&HostId, &DrainMark)| {
            removals.get(*host).is_none_or(|removal| removal.mark < mark.revision)
        };
        let known = |mark: &DrainMark| KnownMark {
            action: mark.action.clone(),
            confirmed: Some(mark.revision),
        };
        self.known = snapshot
            .marks
            .iter()
            .filter(is_current)
            .map(|(host, mark)| (host.clone(), known(mark)))
            .collect();
        for (host, write) in &self.writes {
            let mark = match write {
                MarkWrite::Marking(action) => KnownMark { action: action.clone(), confirmed: None },
                MarkWrite::Marked(mark, _) | MarkWrite::Unmarking(mark) => known(mark),
                MarkWrite::BackingOff(_) => continue,
            };
            self.known.insert(host.clone(), mark);
        }
        self.since.retain(|host, _| self.known.contains_key(host));
        for host in self.known.keys() {
            if !self.since.contains_key(host) {
                self.since.insert(host.clone(), now);
            }
        }
    }

    /// All marks, including those whose write is in flight.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostId, &KnownMark)> {
        self.known.iter().inspect(|_| self.count_visit())
    }

    /// Counts, in tests, a visit of a host or a mark.
    pub(super) fn count_visit(&self) {
        #[cfg(test)]
        self.visits.set(self.visits.get() + 1);
    }

    /// The mark of a host.
    pub(super) fn get(&self, host: &HostId) -> Option<&KnownMark> {
        self.known.get(host)
    }

    /// When the mark of a host was first known.
    pub(super) fn since(&self, host: &HostId) -> Option<Steady> {
        self.since.get(host).copied()
    }

    /// Whether a host is marked, or a write of its mark is in flight or has just failed.
    pub(super) fn is_pending(&self, host: &HostId) -> bool {
        self.known.contains_key(host) || self.writes.contains_key(host)
    }

    /// The mark of a host, if it is certain to be stored and no write of it is in flight.
    pub(super) fn confirmed_mark(&self, host: &HostId) -> Option<(&HostAction, Revision)> {
        let in_progress = match self.writes.get(host) {
            None | Some(MarkWrite::Marked(..)) => false,
            Some(MarkWrite::Marking(_) | MarkWrite::Unmarking(_) | MarkWrite::BackingOff(_)) => {
                true
            }
        };
        let known = self.known.get(host).filter(|_| !in_progress)?;
        Some((&known.action, known.confirmed?))
    }

    /// Whether one more mark may be written now. Removals count towards the limit, but are not
    /// limited themselves: each completes an action.
    pub(super) fn can_mark(&self) -> bool {
        self.unseen_count() < self.unseen.limit
    }

    /// How many writes and removals of marks the view does not show yet.
    fn unseen_count(&self) -> usize {
        let backs_off = |write: &&MarkWrite| matches!(write, MarkWrite::BackingOff(_));
        self.writes.values().filter(|write| !backs_off(write)).count() + self.removals.len()
    }

    /// When the oldest of them was committed.
    fn oldest_unseen(&self) -> Option<Steady> {
        let marked = self.writes.values().filter_map(|write| match write {
            MarkWrite::Marked(_, at) => Some(*at),
            _ => None,
        });
        marked.chain(self.removals.values().map(|removal| removal.at)).min()
    }

    /// Records that the mark of a host is being removed. Returns its revision, or `None` if it
    /// cannot be removed now.
    pub(super) fn begin_removal(&mut self, host: &HostId) -> Option<Revision> {
        let (action, revision) = self.confirmed_mark(host)?;
        let mark = DrainMark { action: action.clone(), revision };
        self.writes.insert(host.clone(), MarkWrite::Unmarking(mark));
        Some(revision)
    }

    /// Records the result of writing a mark.
    fn note_mark_result(
        &mut self,
        host: &HostId,
        action: &HostAction,
        result: &WriteResult,
        now: Steady,
    ) {
        let mark = match result {
            WriteResult::Done(revision) => {
                Some(DrainMark { action: action.clone(), revision: *revision })
            }
            // Written by an earlier attempt without an answer.
            WriteResult::Refused(current) => current.clone(),
            WriteResult::Unknown => None,
        };
        let back_off = MarkWrite::BackingOff(now.after(WRITE_RETRY_MS));
        let written = mark.map_or(back_off, |mark| MarkWrite::Marked(mark, now));
        self.writes.insert(host.clone(), written);
    }

    /// Records the result of removing a mark.
    pub(super) fn note_unmark_result(
        &mut self,
        host: &HostId,
        mark: Revision,
        result: &WriteResult,
        now: Steady,
    ) {
        let until = match result {
            WriteResult::Done(revision) => Some(*revision),
            // Removed by an earlier attempt without an answer.
            WriteResult::Refused(current) => {
                let remains = current.as_ref().is_some_and(|current| current.revision == mark);
                (!remains).then_some(mark)
            }
            WriteResult::Unknown => None,
        };
        match until {
            Some(until) => {
                self.writes.remove(host);
                self.removals.insert(host.clone(), Removal { mark, until, at: now });
            }
            None => {
                let back_off = MarkWrite::BackingOff(now.after(WRITE_RETRY_MS));
                self.writes.insert(host.clone(), back_off);
            }
        }
    }

    /// Records the result of a write of a wave that also removes the mark of a host.
    pub(super) fn note_batch_result(&mut self, host: &HostId, result: &WriteResult, now: Steady) {
        let Some(MarkWrite::Unmarking(mark)) = self.writes.get(host) else {
            return;
        };
        let revision = mark.revision;
        // The condition that failed may not be the one on the mark.
        let result = match result {
            WriteResult::Done(at) => WriteResult::Done(*at),
            WriteResult::Refused(_) | WriteResult::Unknown => WriteResult::Unknown,
        };
        self.note_unmark_result(host, revision, &result, now);
    }
}

impl FleetOwner {
    /// Orders the drain mark of a host, unless too many earlier marks are not shown by the view
    /// yet.
    pub(super) fn mark_draining(
        &mut self,
        host: HostId,
        action: HostAction,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if !self.marks.can_mark() {
            return;
        }
        let marks = &mut self.marks;
        marks.writes.insert(host.clone(), MarkWrite::Marking(action.clone()));
        marks.known.insert(host.clone(), KnownMark { action: action.clone(), confirmed: None });
        marks.since.insert(host.clone(), now);
        out.push(FleetEffect::Mark(host, action));
    }

    /// Orders the removal of a host's mark.
    pub(super) fn remove_mark(&mut self, host: &HostId, out: &mut Vec<FleetEffect>) {
        if let Some(revision) = self.marks.begin_removal(host) {
            out.push(FleetEffect::Unmark(host.clone(), revision));
        }
    }

    /// Records the result of a write.
    pub(crate) fn note_write_result(
        &mut self,
        effect: &FleetEffect,
        result: &WriteResult,
        now: Steady,
    ) {
        match effect {
            FleetEffect::Mark(host, action) => {
                self.marks.note_mark_result(host, action, result, now)
            }
            FleetEffect::Unmark(host, mark) => {
                self.marks.note_unmark_result(host, *mark, result, now)
            }
            FleetEffect::Maintained(hosts, wave) => {
                self.note_maintained_result(hosts, *wave, result, now)
            }
            FleetEffect::Report(wave, done) => self.note_report_result(*wave, *done, result, now),
            FleetEffect::List | FleetEffect::Maintain(..) | FleetEffect::Move(..) => {}
        }
    }
}
