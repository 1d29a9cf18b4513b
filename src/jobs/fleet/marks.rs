//! Which hosts are marked to leave: by the answers of the owner's own writes, and by the view where
//! these say nothing.
//!
//! A view may be seconds behind. An owner that took from it what it has ordered itself would order
//! it again until the view shows it, and the work of that makes the view later still.

use std::collections::BTreeMap;

use super::{Fleet, FleetEffect, Leave, Scene, WRITE_AGAIN_MS, WriteEnd};
use crate::model::{
    id::HostId,
    unit::{Revision, Steady},
};

/// Marks, written or taken away, that the view may fail to show at one time. With a view a quarter of
/// a second behind, all of the 64 calls a second that a platform may allow are made (512 moves in 8 s,
/// in a test's model of the store and the node, as with 256); with one that falls further behind
/// fewer are, so that a late view makes less work: with 256 a node with 4 ms for each change fell 4.3 s
/// behind by what it had ordered.
const UNSHOWN_MOST: usize = 32;

/// A mark as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Mark {
    pub(crate) leave: Leave,
    pub(crate) revision: Revision,
}

/// How far a write of a host's mark is.
#[derive(Debug, Clone)]
enum MarkWrite {
    Marking(Leave),
    /// Done, and not shown yet.
    Marked(Mark),
    /// The mark is being taken away.
    Unmarking(Mark),
    /// Failed: nothing more is decided for the host until then.
    Resting(Steady),
}

/// A mark that was taken away.
#[derive(Debug, Clone, Copy)]
struct Removal {
    mark: Revision,
    /// From this revision on the view is right again.
    until: Revision,
}

/// A mark as far as it is known.
#[derive(Debug, Clone)]
pub(super) struct KnownMark {
    pub(super) leave: Leave,
    /// The revision at which it stands for certain.
    pub(super) standing: Option<Revision>,
}

/// The marks of all hosts.
#[derive(Debug, Default)]
pub(super) struct Marks {
    known: BTreeMap<HostId, KnownMark>,
    /// When each was first known.
    since: BTreeMap<HostId, Steady>,
    writes: BTreeMap<HostId, MarkWrite>,
    removals: BTreeMap<HostId, Removal>,
    /// How often a host or a mark was looked at.
    #[cfg(test)]
    pub(super) looks: std::cell::Cell<usize>,
}

impl Marks {
    /// Puts together what the view shows and what was answered.
    pub(super) fn refresh(&mut self, scene: &Scene<'_>, now: Steady) {
        let shown = |host: &HostId| scene.leaves.get(host).map(|mark| mark.revision);
        self.removals.retain(|host, removal| {
            scene.known < removal.until || shown(host).is_some_and(|at| at <= removal.mark)
        });
        self.writes.retain(|host, write| match write {
            MarkWrite::Marking(_) | MarkWrite::Unmarking(_) => true,
            MarkWrite::Marked(mark) => {
                scene.known < mark.revision && shown(host).is_none_or(|at| at < mark.revision)
            }
            MarkWrite::Resting(until) => now < *until,
        });
        let removals = &self.removals;
        let stands = |(host, mark): &(&HostId, &Mark)| {
            removals.get(*host).is_none_or(|removal| removal.mark < mark.revision)
        };
        let known =
            |mark: &Mark| KnownMark { leave: mark.leave.clone(), standing: Some(mark.revision) };
        self.known = scene
            .leaves
            .iter()
            .filter(stands)
            .map(|(host, mark)| (host.clone(), known(mark)))
            .collect();
        for (host, write) in &self.writes {
            let mark = match write {
                MarkWrite::Marking(leave) => KnownMark { leave: leave.clone(), standing: None },
                MarkWrite::Marked(mark) | MarkWrite::Unmarking(mark) => known(mark),
                MarkWrite::Resting(_) => continue,
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

    /// All marks, also those that are on their way.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostId, &KnownMark)> {
        self.known.iter().inspect(|_| self.count_look())
    }

    /// Counts, in tests, that a host or a mark is looked at.
    pub(super) fn count_look(&self) {
        #[cfg(test)]
        self.looks.set(self.looks.get() + 1);
    }

    /// The mark of a host.
    pub(super) fn get(&self, host: &HostId) -> Option<&KnownMark> {
        self.known.get(host)
    }

    /// Since when a host has been known to be marked.
    pub(super) fn since(&self, host: &HostId) -> Option<Steady> {
        self.since.get(host).copied()
    }

    /// Whether something is decided for a host, or was and failed just now.
    pub(super) fn is_taken(&self, host: &HostId) -> bool {
        self.known.contains_key(host) || self.writes.contains_key(host)
    }

    /// The mark of a host that stands for certain and that nothing is being written of.
    pub(super) fn settled(&self, host: &HostId) -> Option<(&Leave, Revision)> {
        let busy = match self.writes.get(host) {
            None | Some(MarkWrite::Marked(_)) => false,
            Some(MarkWrite::Marking(_) | MarkWrite::Unmarking(_) | MarkWrite::Resting(_)) => true,
        };
        let known = self.known.get(host).filter(|_| !busy)?;
        Some((&known.leave, known.standing?))
    }

    /// Whether one more mark may be written now. Removals count, and are not held back: they end work.
    fn has_room(&self) -> bool {
        let rests = |write: &&MarkWrite| matches!(write, MarkWrite::Resting(_));
        let open = self.writes.values().filter(|write| !rests(write)).count();
        open + self.removals.len() < UNSHOWN_MOST
    }

    /// Notes that a mark is being taken away: its revision, unless nothing may be written of it.
    pub(super) fn take_away(&mut self, host: &HostId) -> Option<Revision> {
        let (leave, revision) = self.settled(host)?;
        let mark = Mark { leave: leave.clone(), revision };
        self.writes.insert(host.clone(), MarkWrite::Unmarking(mark));
        Some(revision)
    }

    /// Takes note of how a mark's write ended.
    fn marked(&mut self, host: &HostId, leave: &Leave, end: &WriteEnd, now: Steady) {
        let mark = match end {
            WriteEnd::Done(revision) => Some(Mark { leave: leave.clone(), revision: *revision }),
            // That of an earlier try without an answer.
            WriteEnd::Refused(standing) => standing.clone(),
            WriteEnd::Lost => None,
        };
        let rests = MarkWrite::Resting(now.after(WRITE_AGAIN_MS));
        self.writes.insert(host.clone(), mark.map_or(rests, MarkWrite::Marked));
    }

    /// Takes note of how the removal of a mark ended.
    pub(super) fn unmarked(&mut self, host: &HostId, mark: Revision, end: &WriteEnd, now: Steady) {
        let until = match end {
            WriteEnd::Done(revision) => Some(*revision),
            // Taken away by an earlier try without an answer.
            WriteEnd::Refused(standing) => {
                let stands = standing.as_ref().is_some_and(|standing| standing.revision == mark);
                (!stands).then_some(mark)
            }
            WriteEnd::Lost => None,
        };
        match until {
            Some(until) => {
                self.writes.remove(host);
                self.removals.insert(host.clone(), Removal { mark, until });
            }
            None => {
                let rests = MarkWrite::Resting(now.after(WRITE_AGAIN_MS));
                self.writes.insert(host.clone(), rests);
            }
        }
    }

    /// Takes note of how a write ended that took a mark away besides.
    pub(super) fn taken_away(&mut self, host: &HostId, end: &WriteEnd, now: Steady) {
        let Some(MarkWrite::Unmarking(mark)) = self.writes.get(host) else {
            return;
        };
        let revision = mark.revision;
        // What refused that write says nothing of the mark.
        let end = match end {
            WriteEnd::Done(at) => WriteEnd::Done(*at),
            WriteEnd::Refused(_) | WriteEnd::Lost => WriteEnd::Lost,
        };
        self.unmarked(host, revision, &end, now);
    }
}

impl Fleet {
    /// Has a host marked to leave, if the view has come far enough.
    pub(super) fn mark(
        &mut self,
        host: HostId,
        leave: Leave,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if !self.marks.has_room() {
            return;
        }
        let marks = &mut self.marks;
        marks.writes.insert(host.clone(), MarkWrite::Marking(leave.clone()));
        marks.known.insert(host.clone(), KnownMark { leave: leave.clone(), standing: None });
        marks.since.insert(host.clone(), now);
        out.push(FleetEffect::Mark(host, leave));
    }

    /// Has a host's mark taken away.
    pub(super) fn unmark(&mut self, host: &HostId, out: &mut Vec<FleetEffect>) {
        if let Some(revision) = self.marks.take_away(host) {
            out.push(FleetEffect::Unmark(host.clone(), revision));
        }
    }

    /// Takes note of how a write ended.
    pub(crate) fn written(&mut self, effect: &FleetEffect, end: &WriteEnd, now: Steady) {
        match effect {
            FleetEffect::Mark(host, leave) => self.marks.marked(host, leave, end, now),
            FleetEffect::Unmark(host, mark) => self.marks.unmarked(host, *mark, end, now),
            FleetEffect::Maintained(hosts, wave) => self.kept(hosts, *wave, end, now),
            FleetEffect::Report(wave, done) => self.reported(*wave, *done, end, now),
            FleetEffect::List | FleetEffect::Maintain(..) | FleetEffect::Move(..) => {}
        }
    }
}
