//! What a node knows of the store: our own records, the operator's and the workers'.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    jobs::{event::StoredJob, fleet::Leave, owner::HostUsage, roster::Away},
    model::{
        id::{HostId, WorkerId},
        job::{JobId, JobRecord, JobState, Progress},
        queue::QueueConfig,
        unit::{Millicores, Revision, Time},
        worker::{Upkeep, WorkerReport},
    },
    platform::{
        kv::{Change, Item},
        records::{self, OPERATOR_PREFIX, WORKER_PREFIX},
    },
    scheduler::keys::{self, Key},
};

/// Who owns a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    pub(crate) node: String,
    /// The life of the node's process.
    pub(crate) life: u64,
}

/// A node that may own work: listed as long as its lease holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    /// The processor time that the node has.
    pub(crate) cpu: Millicores,
    /// Where it answers requests that other nodes hand on; nothing if it does not.
    #[serde(default)]
    pub(crate) peers: Option<SocketAddr>,
}

/// How many owners a piece of work has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    pub(crate) count: u32,
}

/// The worker on whose host nothing runs any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EmptyRecord {
    pub(crate) worker: WorkerId,
    /// The revision of the mark for which the host was emptied.
    pub(crate) mark: Revision,
}

/// When a host was last moved or maintained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CalledRecord {
    /// The token of the fleet's owner.
    pub(crate) token: u64,
    pub(crate) at: Time,
}

/// What is kept of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct WaveRecord {
    /// The hosts that had their upkeep.
    pub(crate) hosts: BTreeSet<HostId>,
    /// Whether the wave was reported as done.
    pub(crate) reported: bool,
}

/// A value with the revision at which it was written.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct At<T> {
    pub(crate) value: T,
    pub(crate) revision: Revision,
}

/// A job, as far as it is known.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownJob {
    pub(crate) record: Option<At<Arc<JobRecord>>>,
    pub(crate) progress: Option<At<Arc<Progress>>>,
    pub(crate) cancelled: bool,
    /// When the record was removed, as far as that was told; what is older is not taken in. Kept as
    /// long as the job's end, which the store keeps too: one such entry for each job that ended.
    removed: Revision,
}

impl KnownJob {
    /// What callers are told.
    pub(crate) fn state(&self) -> JobState {
        match &self.progress {
            Some(progress) if progress.value.state.is_final() => progress.value.state,
            _ if self.cancelled => JobState::Cancelled,
            Some(progress) => progress.value.state,
            None => JobState::Queued,
        }
    }

    /// Whether the job was accepted: of one that ended only its end is kept.
    pub(crate) fn is_accepted(&self) -> bool {
        self.record.is_some() || self.state().is_final()
    }

    /// The job as its owner is told of it.
    pub(crate) fn stored(&self, id: JobId) -> Option<StoredJob> {
        let record = self.record.as_ref()?;
        let progress = self.progress.as_ref();
        Some(StoredJob {
            id,
            record: record.value.clone(),
            revision: record.revision,
            progress: progress.map(|progress| progress.value.clone()),
            saved_at: progress.map(|progress| progress.revision).unwrap_or_default(),
            cancelled: self.cancelled,
        })
    }
}

/// How a job stands by what the store keeps of it; nothing if it was never accepted.
pub(crate) fn standing(id: JobId, items: &[Item]) -> Option<JobState> {
    let find = |key: String| items.iter().find(|item| item.key == key);
    let progress = find(keys::progress(id));
    let progress: Option<At<Progress>> =
        progress.and_then(|item| read(&item.key, Some(&item.value), item.revision));
    let known = KnownJob {
        progress: progress.map(share),
        cancelled: find(keys::cancel(id)).is_some(),
        ..KnownJob::default()
    };
    (find(keys::id(id)).is_some() || known.state().is_final()).then(|| known.state())
}

/// What changed, for those that act on it.
#[derive(Debug, Clone)]
pub(crate) enum Delta {
    Job(JobId),
    Removed(JobId),
    Cancelled(JobId),
    Owner(String),
    Leave,
    Worker(WorkerReport),
    Unlisted(WorkerId),
    Config,
}

/// What a node knows.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) jobs: HashMap<JobId, KnownJob>,
    pub(crate) owners: BTreeMap<String, At<OwnerRecord>>,
    pub(crate) terms: BTreeMap<String, At<TermRecord>>,
    pub(crate) nodes: BTreeMap<String, At<NodeRecord>>,
    pub(crate) leaves: BTreeMap<HostId, At<Leave>>,
    pub(crate) empties: BTreeMap<HostId, At<EmptyRecord>>,
    pub(crate) waves: BTreeMap<u64, At<WaveRecord>>,
    /// By pool, how its hosts are used.
    pub(crate) usages: BTreeMap<String, At<HostUsage>>,
    pub(crate) called: BTreeMap<HostId, At<CalledRecord>>,
    /// By pool, the workers that may run something.
    pub(crate) rosters: BTreeMap<(String, WorkerId), At<WorkerReport>>,
    /// By pool, which of these are silent.
    pub(crate) away: BTreeMap<String, At<Away>>,
    pub(crate) workers: BTreeMap<WorkerId, At<WorkerReport>>,
    pub(crate) config: Option<Arc<QueueConfig>>,
    pub(crate) upkeeps: BTreeMap<u64, At<Upkeep>>,
    /// By pool, how many jobs of each queue have not begun.
    pub(crate) queued: BTreeMap<String, At<BTreeMap<String, usize>>>,
    /// The revision up to which our own records are known.
    pub(crate) known: Revision,
    /// Which of the prefixes have been read once.
    pub(crate) ready: BTreeSet<&'static str>,
}

impl View {
    /// Whether callers can be answered.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.contains(OPERATOR_PREFIX)
            && self.ready.contains(keys::ALL)
            && self.config.is_some()
    }

    /// Whether everything has been read once, so that work can be owned.
    pub(crate) fn is_whole(&self) -> bool {
        self.is_ready() && self.ready.contains(keys::ROOT) && self.ready.contains(WORKER_PREFIX)
    }

    /// The nodes that are to hear of everything: so many of those with the most processor time, and
    /// owners.
    pub(crate) fn replicas(&self, most: usize) -> BTreeSet<&str> {
        let mut nodes: Vec<(&String, u32)> =
            self.nodes.iter().map(|(name, at)| (name, at.value.cpu.0)).collect();
        nodes.sort_by_key(|(name, cpu)| (std::cmp::Reverse(*cpu), *name));
        let first = nodes.into_iter().take(most).map(|(name, _)| name.as_str());
        let owners = self.owners.values().map(|owner| owner.value.node.as_str());
        first.chain(owners).collect()
    }

    /// Jobs of a queue none of whose tasks has begun.
    pub(crate) fn pending(&self, queue: &str) -> usize {
        if !self.is_whole() {
            let counts = self.queued.values().filter_map(|at| at.value.get(queue));
            return counts.sum();
        }
        let waits = |known: &&KnownJob| {
            let here = known.record.as_ref().is_some_and(|record| record.value.queue == queue);
            here && known.state() == JobState::Queued
        };
        self.jobs.values().filter(waits).count()
    }

    /// The pool of the owner's piece of work.
    pub(crate) fn owns(&self, name: &str, token: u64) -> bool {
        self.owners.get(name).is_some_and(|owner| owner.revision.0 == token)
    }

    /// The workers that may run something of a pool, as its owners have kept.
    pub(crate) fn roster(&self, name: &str) -> Vec<WorkerReport> {
        let listed = self.rosters.iter().filter(|((pool, _), _)| pool == name);
        listed.map(|(_, at)| at.value.clone()).collect()
    }

    /// Takes in a change; what that means for others.
    pub(crate) fn apply(&mut self, change: Change) -> Option<Delta> {
        if let Some(key) = Key::parse(&change.key) {
            return self.apply_own(key, change);
        }
        if change.key.starts_with(records::WORKER_PREFIX) {
            return self.apply_worker(change);
        }
        if change.key == records::CONFIG_KEY {
            return self.apply_config(&change);
        }
        if records::is_wave(&change.key) {
            match change.value.as_deref().map(records::wave) {
                Some(Ok(upkeep)) => {
                    let at = At { value: upkeep, revision: change.revision };
                    self.upkeeps.insert(at.value.wave, at);
                }
                Some(Err(error)) => log::error!("record {}: {error}", change.key),
                None => self.upkeeps.retain(|wave, _| !change.key.ends_with(&format!("/{wave}"))),
            }
        }
        None
    }

    fn apply_own(&mut self, key: Key, change: Change) -> Option<Delta> {
        let Change { revision, value, key: text } = change;
        let value = value.as_ref();
        match key {
            Key::Id(_) => None,
            Key::Job(id) => {
                let known = self.jobs.entry(id).or_default();
                // Two watches tell of it, and one of them may be seconds behind the other.
                let heard = known.record.as_ref().map_or(known.removed, |record| record.revision);
                if revision <= heard {
                    return None;
                }
                known.record = read(&text, value, revision).map(share);
                if value.is_some() {
                    return Some(Delta::Job(id));
                }
                known.removed = revision;
                Some(Delta::Removed(id))
            }
            Key::Progress(id) => {
                let known = self.jobs.entry(id).or_default();
                let later = known.progress.as_ref().is_some_and(|at| revision < at.revision);
                if !later {
                    known.progress = read(&text, value, revision).map(share);
                }
                self.drop_empty(id);
                None
            }
            Key::Cancel(id) => {
                self.jobs.entry(id).or_default().cancelled = value.is_some();
                self.drop_empty(id);
                Some(Delta::Cancelled(id))
            }
            Key::Owner(name) => {
                if self.owners.get(&name).is_some_and(|owner| revision <= owner.revision) {
                    return None;
                }
                set(&mut self.owners, name.clone(), revision, read(&text, value, revision));
                Some(Delta::Owner(name))
            }
            Key::Term(name) => {
                set(&mut self.terms, name, revision, read(&text, value, revision));
                None
            }
            Key::Leave(host) => {
                set(&mut self.leaves, host, revision, read(&text, value, revision));
                Some(Delta::Leave)
            }
            Key::Empty(host) => {
                set(&mut self.empties, host, revision, read(&text, value, revision));
                None
            }
            Key::Wave(wave) => {
                set(&mut self.waves, wave, revision, read(&text, value, revision));
                None
            }
            Key::Usage(name) => {
                set(&mut self.usages, name, revision, read(&text, value, revision));
                None
            }
            Key::Called(host) => {
                set(&mut self.called, host, revision, read(&text, value, revision));
                None
            }
            Key::Node(name) => {
                set(&mut self.nodes, name, revision, read(&text, value, revision));
                None
            }
            Key::Queued(name) => {
                set(&mut self.queued, name, revision, read(&text, value, revision));
                None
            }
            Key::Roster(name, worker) => {
                let report = read(&text, value, revision);
                set(&mut self.rosters, (name, worker), revision, report);
                None
            }
            Key::Away(name) => {
                set(&mut self.away, name, revision, read(&text, value, revision));
                None
            }
        }
    }

    fn drop_empty(&mut self, id: JobId) {
        let known = &self.jobs[&id];
        let removed = known.removed != Revision::default();
        if known.record.is_none() && known.progress.is_none() && !known.cancelled && !removed {
            self.jobs.remove(&id);
        }
    }

    fn apply_worker(&mut self, change: Change) -> Option<Delta> {
        let Some(value) = change.value else {
            let id: WorkerId =
                change.key.trim_start_matches(records::WORKER_PREFIX).parse().ok()?;
            self.workers.remove(&id)?;
            return Some(Delta::Unlisted(id));
        };
        match records::worker(&change.key, &value) {
            Ok(report) => {
                let at = At { value: report.clone(), revision: change.revision };
                let before = self.workers.insert(report.id.clone(), at);
                // A prefix that is read anew, and each heartbeat, tell much that is known.
                let news = before.is_none_or(|before| before.value != report);
                news.then_some(Delta::Worker(report))
            }
            Err(error) => {
                log::error!("record {}: {error}", change.key);
                None
            }
        }
    }

    fn apply_config(&mut self, change: &Change) -> Option<Delta> {
        match records::config(change.value.as_ref()?) {
            Ok(config) => {
                let older = |held: &Arc<QueueConfig>| config.version <= held.version;
                if self.config.as_ref().is_some_and(older) {
                    return None;
                }
                log::info!("config: version {} in force, {}", config.version, change.revision);
                self.config = Some(Arc::new(config));
                Some(Delta::Config)
            }
            Err(error) => {
                log::error!("record {}: {error}", change.key);
                None
            }
        }
    }
}

/// Takes in what a record says at a revision. A prefix that was read in pages is told of changes
/// from the first page on, so that what a later page had already shown is told again, step by step;
/// the record does not go back meanwhile.
fn set<K: Ord, V>(map: &mut BTreeMap<K, At<V>>, key: K, revision: Revision, value: Option<At<V>>) {
    if map.get(&key).is_some_and(|known| revision < known.revision) {
        return;
    }
    match value {
        Some(value) => {
            map.insert(key, value);
        }
        None => {
            map.remove(&key);
        }
    }
}

fn share<T>(at: At<T>) -> At<Arc<T>> {
    At { value: Arc::new(at.value), revision: at.revision }
}

/// Reads a record of ours; one that is not understood is told and left out.
fn read<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<&Bytes>,
    revision: Revision,
) -> Option<At<T>> {
    let value = serde_json::from_slice(value?);
    let value = value.inspect_err(|error| log::error!("record {key}: not understood: {error}"));
    Some(At { value: value.ok()?, revision })
}
