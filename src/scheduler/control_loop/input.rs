//! Inputs of the control loop, and results of its asynchronous operations.

use std::{collections::BTreeMap, time::Instant};

use crate::{
    jobs::{
        accounts::{ShareResult, ShareWrite},
        event::{Event, ProgressWrite},
        fleet::{CallResult, FleetEffect, HostAction, WriteResult},
        roster::RosterWrite,
    },
    model::{
        id::HostId,
        job::JobId,
        unit::{Revision, Steady},
        worker::ListedHost,
    },
    platform::{kv::CommitResult, store::StoreError},
    scheduler::{
        lease::Tenure,
        view::{Delta, Versioned, WaveRecord},
    },
};

/// An input of the control loop.
pub(crate) enum Input {
    Deltas(Vec<Delta>),
    /// An event for the owner of a pool: the result of an order or of a request for advice.
    OwnerEvent {
        name: String,
        token: u64,
        /// When it was added to the queue.
        queued: Instant,
        event: Box<Event>,
    },
    /// Result of an attempt to acquire ownership.
    Acquired {
        name: String,
        won: Option<Ownership>,
    },
    /// Result of a write of progress.
    ProgressWritten {
        name: String,
        token: u64,
        writes: Vec<ProgressWrite>,
        result: ProgressResult,
    },
    /// Result of a write of the roster.
    RosterWritten {
        name: String,
        token: u64,
        write: Box<RosterWrite>,
        result: OverwriteResult,
    },
    /// Result of a write of shares of the limits of client accounts.
    SharesWritten {
        name: String,
        token: u64,
        writes: Vec<ShareWrite>,
        result: ShareResult,
    },
    /// Result of a write of a report on waiting jobs.
    ReportWritten {
        name: String,
        token: u64,
        counts: BTreeMap<String, usize>,
        sent: Steady,
        result: OverwriteResult,
    },
    /// An owner's own watch has returned everything that existed when it was sent.
    WatchAnswered {
        name: String,
        token: u64,
        sent: Steady,
        /// The revision up to which the watch is complete.
        revision: Revision,
    },
    /// Result of a removal of ended jobs.
    JobsRemoved {
        name: String,
        token: u64,
        jobs: Vec<JobId>,
        done: bool,
    },
    /// Result of a read of the host list.
    HostList {
        token: u64,
        sent: Steady,
        hosts: Option<Vec<ListedHost>>,
    },
    /// Result of a call that changes a host.
    HostCalled {
        token: u64,
        host: HostId,
        action: HostAction,
        result: CallResult,
    },
    /// Results of writes of the fleet's owner, and the wave record after them.
    FleetWritten {
        token: u64,
        results: Vec<(FleetEffect, WriteResult)>,
        wave: Option<(u64, Versioned<WaveRecord>)>,
    },
    /// The node is shutting down and has to release everything that it owns.
    Shutdown,
}

/// An ownership that was won.
pub(crate) struct Ownership {
    pub(super) token: u64,
    /// Number of earlier owners.
    pub(super) earlier_owners: u32,
    pub(super) tenure: Tenure,
}

impl Ownership {
    /// Creates an ownership whose token is the revision of the write that won it.
    pub(crate) fn new(token: u64, earlier_owners: u32, tenure: Tenure) -> Ownership {
        Ownership { token, earlier_owners, tenure }
    }
}

/// Result of a write of progress.
pub(crate) enum ProgressResult {
    Done(Revision),
    /// There is a later owner.
    Deposed,
    /// These were written by an earlier attempt; the others were not.
    Rebase(Vec<(usize, Revision)>),
    Failed,
}

/// Result of a write that replaces the previous version of a record.
#[derive(Debug)]
pub(crate) enum OverwriteResult {
    Kept(Revision),
    /// The record is at this revision, written by an earlier attempt whose answer was lost.
    Rebase(Revision),
    Failed,
}

impl OverwriteResult {
    /// Result of a write that requires the record to be unchanged.
    pub(super) fn of(result: Result<CommitResult, StoreError>, key: &str) -> OverwriteResult {
        match result {
            Ok(CommitResult::Done(revision)) => OverwriteResult::Kept(revision),
            Ok(CommitResult::Conflict(items)) => {
                let found = items.iter().find(|item| item.key == key);
                OverwriteResult::Rebase(found.map(|item| item.revision).unwrap_or_default())
            }
            Ok(CommitResult::LeaseExpired) => OverwriteResult::Failed,
            Err(error) => {
                log::debug!("record {key}: not written: {error}");
                OverwriteResult::Failed
            }
        }
    }
}
