//! What the loop is told, and how what it has begun may end.

use std::collections::BTreeMap;

use crate::{
    jobs::{
        event::{Event, Save},
        fleet::{CallEnd, FleetEffect, Leave, WriteEnd},
        roster::RosterNote,
    },
    model::{
        id::{HostId, Incarnation},
        job::JobId,
        unit::{Revision, Steady},
        worker::ListedHost,
    },
    platform::{kv::Committed, store::StoreError},
    scheduler::{
        lease::Tenure,
        view::{At, Delta, WaveRecord},
    },
};

/// What the loop is told.
pub(crate) enum Input {
    Deltas(Vec<Delta>),
    /// What became of an owner's order.
    Owner {
        name: String,
        token: u64,
        event: Box<Event>,
    },
    /// What became of a try to own a piece of work.
    Reached {
        name: String,
        won: Option<Won>,
    },
    /// What became of a write of progress.
    Saved {
        name: String,
        token: u64,
        saves: Vec<Save>,
        end: SaveEnd,
    },
    /// What became of a write of what workers may hold.
    Rostered {
        name: String,
        token: u64,
        note: RosterNote,
        end: OverwriteEnd,
    },
    /// What became of a word on how many jobs wait.
    Worded {
        name: String,
        token: u64,
        counts: BTreeMap<String, usize>,
        sent: Steady,
        end: OverwriteEnd,
    },
    /// An owner's own watch has told of all that was there when it asked.
    Followed {
        name: String,
        token: u64,
        asked: Steady,
        /// The revision up to which it has told of everything.
        at: Revision,
    },
    /// What became of a removal of jobs that ended.
    Removed {
        name: String,
        token: u64,
        jobs: Vec<JobId>,
        done: bool,
    },
    /// What became of a read of the list of hosts.
    HostList {
        token: u64,
        sent: Steady,
        hosts: Option<Vec<ListedHost>>,
    },
    /// What became of a call that changes a host.
    HostCalled {
        token: u64,
        host: HostId,
        leave: Leave,
        end: CallEnd,
    },
    /// What became of writes of the fleet's work, and the record of a wave that they left.
    FleetWritten {
        token: u64,
        ends: Vec<(FleetEffect, WriteEnd)>,
        wave: Option<(u64, At<WaveRecord>)>,
    },
    /// A worker gave no answer to the node that was to call it.
    Detour(Incarnation),
    /// The node is to give back all that it owns.
    Leave,
}

/// A piece of work that was won.
pub(crate) struct Won {
    pub(super) token: u64,
    /// Owners before.
    pub(super) earlier: u32,
    pub(super) tenure: Tenure,
}

impl Won {
    /// A piece of work that was won by the write of this token, after so many owners.
    pub(crate) fn new(token: u64, earlier: u32, tenure: Tenure) -> Won {
        Won { token, earlier, tenure }
    }
}

/// How a write of progress ended.
pub(crate) enum SaveEnd {
    Done(Revision),
    /// There is a later owner.
    Deposed,
    /// These were written by an earlier try; the others were not.
    Rebase(Vec<(usize, Revision)>),
    Failed,
}

/// How a write over the one before of the same record ended.
#[derive(Debug)]
pub(crate) enum OverwriteEnd {
    Kept(Revision),
    /// The record stands at this revision: that of an earlier try without an answer.
    Rebase(Revision),
    Failed,
}

impl OverwriteEnd {
    /// Of a write under the condition that a record is as it was.
    pub(super) fn of(end: Result<Committed, StoreError>, key: &str) -> OverwriteEnd {
        match end {
            Ok(Committed::Done(revision)) => OverwriteEnd::Kept(revision),
            Ok(Committed::Conflict(items)) => {
                let found = items.iter().find(|item| item.key == key);
                OverwriteEnd::Rebase(found.map(|item| item.revision).unwrap_or_default())
            }
            Ok(Committed::LeaseOver) => OverwriteEnd::Failed,
            Err(error) => {
                log::debug!("record {key}: not written: {error}");
                OverwriteEnd::Failed
            }
        }
    }
}
