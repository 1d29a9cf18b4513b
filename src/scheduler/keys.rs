//! The keys of the scheduler's own records in the store.

use crate::{
    model::{
        id::{AccountId, HostId, Incarnation, PoolId},
        job::JobId,
    },
    scheduler::{access::Holder, tombstone::Tombstone},
};

/// The prefix of all records of the scheduler, except those that operators read.
pub(crate) const ROOT: &str = "ch/";

/// The records of one piece of work: its owner and its submitted jobs. They share a prefix, so that
/// one watch reports a new owner before any job accepted after it.
const WORK: &str = "ch/work/";
/// The records of a job besides the submitted one: one read of its prefix gives the state of the
/// job.
const JOB_STATE: &str = "ch/job/";
const TERM: &str = "ch/term/";
const DRAIN_MARK: &str = "ch/leave/";
const DRAINED: &str = "ch/empty/";
const WAVE: &str = "ch/wave/";
const CALLED: &str = "ch/called/";
const USAGE: &str = "ch/usage/";
const ROSTER: &str = "ch/roster/";
const SILENT_WORKERS: &str = "ch/away/";
/// The list of nodes, which replicas mirror.
pub(crate) const NODES: &str = "ch/node/";
const LIMIT_SHARES: &str = "ch/limit/";
/// The reports of waiting jobs.
pub(crate) const QUEUED: &str = "ch/queued/";
/// The nodes that mirror all records.
pub(crate) const REPLICAS: &str = "ch/all/replicas";

/// The prefix that every node mirrors, whether or not it may own work.
pub(crate) const ALL: &str = "ch/all/";

/// The name of the work of all pools together: waves of upkeep, and hosts that change pools.
pub(crate) const FLEET: &str = "fleet";

/// The kind of one of the scheduler's records, from its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Key {
    /// A job, as it was accepted.
    Job(JobId),
    /// Marks the name of a job as in use, in whichever pool, or as cancelled before it was.
    Id(JobId),
    /// The progress of a job that has begun.
    Progress(JobId),
    /// Marks a job as cancelled by its caller.
    Cancel(JobId),
    /// The node that owns a pool's jobs, or the work of all pools.
    Owner(String),
    /// The number of owners so far.
    Term(String),
    /// The drain mark of a host.
    DrainMark(HostId),
    /// A host that is drained, as reported by its pool's owner.
    Drained(HostId),
    /// The progress of a wave.
    Wave(u64),
    /// A worker that may run tasks of a pool.
    Roster(String, Incarnation),
    /// The silent workers on a pool's roster.
    SilentWorkers(String),
    /// The usage of a pool's hosts.
    Usage(String),
    /// When a host was last moved or maintained, and by which owner.
    Called(HostId),
    /// The shares of a client account's limit that pools have reserved.
    LimitShares(AccountId),
    /// A node that may own work, by its name.
    Node(String),
    /// The nodes that mirror all records.
    Replicas,
    /// The number of jobs of each queue that have not begun, as reported by the owner of a pool.
    Queued(String),
}

impl Key {
    /// Parses the key of one of the scheduler's records.
    pub(crate) fn parse(text: &str) -> Option<Key> {
        let rest = |prefix: &str| text.strip_prefix(prefix);
        if let Some(work) = rest(WORK) {
            return match work.split_once('/')? {
                (name, "owner") => Some(Key::Owner(name.to_owned())),
                (_, record) => record.strip_prefix("job/")?.parse().ok().map(Key::Job),
            };
        }
        if let Some(path) = rest(JOB_STATE) {
            let (id, kind) = path.split_once('/')?;
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
        if let Some(host) = rest(DRAIN_MARK) {
            return host.parse().ok().map(Key::DrainMark);
        }
        if let Some(host) = rest(DRAINED) {
            return host.parse().ok().map(Key::Drained);
        }
        if let Some(listed) = rest(ROSTER) {
            let (name, worker) = listed.split_once('/')?;
            return Some(Key::Roster(name.to_owned(), worker.parse().ok()?));
        }
        if let Some(name) = rest(SILENT_WORKERS) {
            return Some(Key::SilentWorkers(name.to_owned()));
        }
        if let Some(name) = rest(USAGE) {
            return Some(Key::Usage(name.to_owned()));
        }
        if let Some(account) = rest(LIMIT_SHARES) {
            return account.parse().ok().map(Key::LimitShares);
        }
        if text == REPLICAS {
            return Some(Key::Replicas);
        }
        if let Some(name) = rest(NODES) {
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

/// The prefix of the records of one piece of work.
pub(crate) fn work(name: &str) -> String {
    format!("{WORK}{name}/")
}

pub(crate) fn job(pool: &PoolId, id: JobId) -> String {
    format!("{WORK}{}/job/{id}", self::pool(pool))
}

/// The prefix of the records with the state of a job.
pub(crate) fn job_state(id: JobId) -> String {
    format!("{JOB_STATE}{id}/")
}

pub(crate) fn id(id: JobId) -> String {
    format!("{JOB_STATE}{id}/id")
}

/// The value of the marker of a job's name: its pool, and its account if it has one.
pub(crate) fn marker(pool: &PoolId, account: Option<&AccountId>) -> String {
    match account {
        Some(account) => format!("{pool} {account}"),
        None => pool.to_string(),
    }
}

/// What the store has under a job's id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum IdRecord {
    /// The marker of an accepted job, and whose job it is.
    Accepted(Holder),
    /// The job was cancelled before it was accepted.
    Cancelled(Tombstone),
}

/// Parses the value under a job's id. No pool's name begins like a tombstone.
pub(crate) fn id_record(value: &[u8]) -> IdRecord {
    if value.starts_with(b"{")
        && let Ok(tombstone) = serde_json::from_slice(value)
    {
        return IdRecord::Cancelled(tombstone);
    }
    IdRecord::Accepted(holder(value))
}

/// Whose job it is, by the value of the marker of its name.
pub(crate) fn holder(marker: &[u8]) -> Holder {
    let text = std::str::from_utf8(marker).unwrap_or_default();
    match text.split_once(' ').map(|(_, account)| account.parse()) {
        None => Holder::Nobody,
        Some(Ok(account)) => Holder::Account(account),
        // Written by another program: nobody is known to hold the job.
        Some(Err(_)) => Holder::Unknown,
    }
}

pub(crate) fn progress(id: JobId) -> String {
    format!("{JOB_STATE}{id}/progress")
}

pub(crate) fn cancel(id: JobId) -> String {
    format!("{JOB_STATE}{id}/cancel")
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

pub(crate) fn drain_mark(host: &HostId) -> String {
    format!("{DRAIN_MARK}{host}")
}

pub(crate) fn drained(host: &HostId) -> String {
    format!("{DRAINED}{host}")
}

pub(crate) fn wave(wave: u64) -> String {
    format!("{WAVE}{wave}")
}

/// The name of a pool's work.
pub(crate) fn pool(pool: &PoolId) -> String {
    format!("pool-{pool}")
}

pub(crate) fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

pub(crate) fn roster(name: &str, worker: &Incarnation) -> String {
    format!("{ROSTER}{name}/{worker}")
}

pub(crate) fn silent_workers(name: &str) -> String {
    format!("{SILENT_WORKERS}{name}")
}

pub(crate) fn usage(name: &str) -> String {
    format!("{USAGE}{name}")
}

pub(crate) fn limit_shares(account: &AccountId) -> String {
    format!("{LIMIT_SHARES}{account}")
}

pub(crate) fn called(host: &HostId) -> String {
    format!("{CALLED}{host}")
}
