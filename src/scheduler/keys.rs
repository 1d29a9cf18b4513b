//! The keys of our own records in the store.

use crate::model::{
    id::{HostId, Incarnation, PoolId},
    job::JobId,
};

/// All of our records, but for what operators read.
pub(crate) const ROOT: &str = "ch/";

/// What belongs to one piece of work: its owner, and the jobs handed in to it. One watch of both
/// hears of a new owner before any job that came after it.
const WORK: &str = "ch/work/";
/// What is kept of a job beside what was handed in: one read tells how it stands.
const STANDING: &str = "ch/job/";
const TERM: &str = "ch/term/";
const LEAVE: &str = "ch/leave/";
const EMPTY: &str = "ch/empty/";
const WAVE: &str = "ch/wave/";
const CALLED: &str = "ch/called/";
const USAGE: &str = "ch/usage/";
const ROSTER: &str = "ch/roster/";
const AWAY: &str = "ch/away/";
const NODE: &str = "ch/all/node/";
const QUEUED: &str = "ch/all/queued/";

/// What every node hears of, whether or not it may own work.
pub(crate) const ALL: &str = "ch/all/";

/// The work of all pools together: waves of upkeep, and hosts that change pools.
pub(crate) const FLEET: &str = "fleet";

/// A record of ours, by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Key {
    /// A job, as it was accepted.
    Job(JobId),
    /// Some pool has a job of this name.
    Id(JobId),
    /// What is kept of a job that has begun.
    Progress(JobId),
    /// The caller has cancelled the job.
    Cancel(JobId),
    /// The node that owns a pool's jobs, or the work of all pools.
    Owner(String),
    /// How many owners there were.
    Term(String),
    /// A host that is to be emptied.
    Leave(HostId),
    /// A host that is empty, by its pool's owner.
    Empty(HostId),
    /// What is known of a wave.
    Wave(u64),
    /// A worker that may run something of a pool.
    Roster(String, Incarnation),
    /// Those of them that are silent.
    Away(String),
    /// How the hosts of a pool are used.
    Usage(String),
    /// When a host was last moved or maintained, and by which owner.
    Called(HostId),
    /// A node that may own work, by its name.
    Node(String),
    /// How many jobs of each queue have not begun, by the owner of a pool.
    Queued(String),
}

impl Key {
    /// Reads a key of ours.
    pub(crate) fn parse(text: &str) -> Option<Key> {
        let rest = |prefix: &str| text.strip_prefix(prefix);
        if let Some(work) = rest(WORK) {
            return match work.split_once('/')? {
                (name, "owner") => Some(Key::Owner(name.to_owned())),
                (_, record) => record.strip_prefix("job/")?.parse().ok().map(Key::Job),
            };
        }
        if let Some(standing) = rest(STANDING) {
            let (id, kind) = standing.split_once('/')?;
            let id = id.parse().ok()?;
            return match kind {
                "id" => Some(Key::Id(id)),
                "progress" => Some(Key::Progress(id)),
                "cancel" => Some(Key::Cancel(id)),
                _ => None,
            };
        }
        if let Some(name) = rest(TERM) {
            return Some(Key::Term(name.to_owned()));
        }
        if let Some(host) = rest(LEAVE) {
            return host.parse().ok().map(Key::Leave);
        }
        if let Some(host) = rest(EMPTY) {
            return host.parse().ok().map(Key::Empty);
        }
        if let Some(listed) = rest(ROSTER) {
            let (name, worker) = listed.split_once('/')?;
            return Some(Key::Roster(name.to_owned(), worker.parse().ok()?));
        }
        if let Some(name) = rest(AWAY) {
            return Some(Key::Away(name.to_owned()));
        }
        if let Some(name) = rest(USAGE) {
            return Some(Key::Usage(name.to_owned()));
        }
        if let Some(name) = rest(NODE) {
            return Some(Key::Node(name.to_owned()));
        }
        if let Some(name) = rest(QUEUED) {
            return Some(Key::Queued(name.to_owned()));
        }
        if let Some(host) = rest(CALLED) {
            return host.parse().ok().map(Key::Called);
        }
        rest(WAVE)?.parse().ok().map(Key::Wave)
    }
}

/// What belongs to one piece of work.
pub(crate) fn work(name: &str) -> String {
    format!("{WORK}{name}/")
}

pub(crate) fn job(pool: &PoolId, id: JobId) -> String {
    format!("{WORK}{}/job/{id}", self::pool(pool))
}

/// All that is kept of how a job stands.
pub(crate) fn standing(id: JobId) -> String {
    format!("{STANDING}{id}/")
}

pub(crate) fn id(id: JobId) -> String {
    format!("{STANDING}{id}/id")
}

pub(crate) fn progress(id: JobId) -> String {
    format!("{STANDING}{id}/progress")
}

pub(crate) fn cancel(id: JobId) -> String {
    format!("{STANDING}{id}/cancel")
}

pub(crate) fn queued(name: &str) -> String {
    format!("{QUEUED}{name}")
}

pub(crate) fn owner(name: &str) -> String {
    format!("{WORK}{name}/owner")
}

pub(crate) fn term(name: &str) -> String {
    format!("{TERM}{name}")
}

pub(crate) fn leave(host: &HostId) -> String {
    format!("{LEAVE}{host}")
}

pub(crate) fn empty(host: &HostId) -> String {
    format!("{EMPTY}{host}")
}

pub(crate) fn wave(wave: u64) -> String {
    format!("{WAVE}{wave}")
}

/// The names under which work is owned: one for each pool.
pub(crate) fn pool(pool: &PoolId) -> String {
    format!("pool-{pool}")
}

pub(crate) fn node(name: &str) -> String {
    format!("{NODE}{name}")
}

pub(crate) fn roster(name: &str, worker: &Incarnation) -> String {
    format!("{ROSTER}{name}/{worker}")
}

pub(crate) fn away(name: &str) -> String {
    format!("{AWAY}{name}")
}

pub(crate) fn usage(name: &str) -> String {
    format!("{USAGE}{name}")
}

pub(crate) fn called(host: &HostId) -> String {
    format!("{CALLED}{host}")
}
