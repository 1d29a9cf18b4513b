//! Reports of a pool's owner on how many jobs of each queue have not begun: when a report is due,
//! and when it counts as published.
//!
//! Most nodes sum these reports for their callers, and know only when a report was written. A
//! report therefore counts as published once the store has accepted it, only one is in flight at a
//! time and each replaces the previous one, and an owner reports only while its knowledge of its
//! jobs is recent.

use std::collections::BTreeMap;

use super::OverwriteResult;
use crate::{
    jobs::owner::PoolLoad,
    model::unit::{Revision, Steady},
    scheduler::view::waiting::WaitingRecord,
};

/// Minimum time between two reports, in milliseconds: counts for callers may be two seconds old,
/// and other nodes receive a report at most half a second later.
const REPORT_PAUSE_MS: u64 = 500;

/// After this time a report is repeated even if nothing has changed, in milliseconds. Nodes use a
/// report for two seconds and receive it up to one second late (a watch of half a second and its
/// pause), and 200 ms are left for the write and its transfer.
const REPORT_REPEAT_MS: u64 = 800;

/// Delay before a report that was not accepted is sent again, in milliseconds: five attempts fit
/// into a second, and an unavailable store gets no more than that.
const REPORT_RETRY_MS: u64 = 200;

/// Maximum age of the owner's knowledge of its jobs when it reports, in milliseconds: a watch
/// without changes is answered after 800 ms, and the rest is for the transfer of the answer.
const MAX_JOBS_AGE_MS: u64 = 1_200;

/// Number of jobs of each queue that have not begun.
pub(super) type Counts = BTreeMap<String, usize>;

/// State of an owner's reports.
#[derive(Debug)]
pub(super) struct ReportState {
    /// The counts that were last accepted, and when they were sent.
    accepted: Option<(Counts, Steady)>,
    /// Revision of the record.
    pub(super) revision: Revision,
    /// Number of reports in flight.
    pub(super) pending: usize,
    /// Earliest time of the next check whether a report is due.
    next_check: Steady,
    /// The time up to which the owner knows all its jobs.
    jobs_as_of: Steady,
    /// The revision up to which the owner knows all its jobs.
    jobs_revision: Revision,
    /// Whether the last report was not accepted.
    failing: bool,
}

impl ReportState {
    /// State of an owner that knows its jobs up to a time and a revision, and replaces the record
    /// of earlier owners.
    pub(super) fn new(
        revision: Revision,
        jobs_as_of: Steady,
        jobs_revision: Revision,
    ) -> ReportState {
        let next_check = Steady::default();
        ReportState {
            accepted: None,
            revision,
            pending: 0,
            next_check,
            jobs_as_of,
            jobs_revision,
            failing: false,
        }
    }

    /// Records that the owner has received all jobs up to a time and a revision.
    pub(super) fn note_jobs(&mut self, as_of: Steady, revision: Revision) {
        self.jobs_as_of = self.jobs_as_of.max(as_of);
        self.jobs_revision = self.jobs_revision.max(revision);
    }

    /// The record of these counts, with the revision up to which the jobs were known: from it other
    /// nodes determine the age of the counts, however late the record is written.
    pub(super) fn to_record(&self, counts: Counts, load: Option<PoolLoad>) -> WaitingRecord {
        WaitingRecord { known: Some(self.jobs_revision), load, counts }
    }

    /// Whether the owner's knowledge of its jobs is recent enough for a report.
    pub(super) fn knows_jobs(&self, now: Steady) -> bool {
        now.since(self.jobs_as_of) < MAX_JOBS_AGE_MS
    }

    /// Whether to check now if a report is due.
    pub(super) fn may_be_due(&self, now: Steady) -> bool {
        self.pending == 0 && self.next_check <= now && self.knows_jobs(now)
    }

    /// Whether to report these counts now; the next check is a pause later.
    pub(super) fn is_due(&mut self, counts: &Counts, now: Steady) -> bool {
        self.next_check = now.after(REPORT_PAUSE_MS);
        self.accepted.as_ref().is_none_or(|(published, sent)| {
            published != counts || REPORT_REPEAT_MS <= now.since(*sent)
        })
    }

    /// Records that a report was sent.
    pub(super) fn note_sent(&mut self, now: Steady) {
        self.pending += 1;
        self.next_check = now.after(REPORT_PAUSE_MS);
    }

    /// Records the result of a report. Returns whether it is the first of a series that were not
    /// accepted.
    pub(super) fn note_result(
        &mut self,
        counts: Counts,
        sent: Steady,
        result: &OverwriteResult,
        now: Steady,
    ) -> bool {
        self.pending = self.pending.saturating_sub(1);
        let pause = match result {
            OverwriteResult::Kept(revision) => {
                (self.revision, self.accepted, self.failing) =
                    (*revision, Some((counts, sent)), false);
                return false;
            }
            OverwriteResult::Rebase(revision) => {
                self.revision = *revision;
                0
            }
            OverwriteResult::Failed => REPORT_RETRY_MS,
        };
        self.accepted = None;
        self.next_check = now.after(pause);
        !std::mem::replace(&mut self.failing, true)
    }
}
