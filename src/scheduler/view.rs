//! What a node knows of the store: our own records, the operator's and the workers'.
//!
//! Another writer may have been at any of them. What cannot be read is logged and counted, names
//! nothing to use, and is never taken for a sign that nothing runs.

pub(crate) mod age;
pub(crate) mod heard;
pub(crate) mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    jobs::{event::StoredJob, fleet::Leave, owner::HostUsage, roster::Away},
    model::{
        id::{HostId, Incarnation, WorkerId},
        job::{JobId, JobRecord, JobState, Progress},
        queue::QueueConfig,
        unit::{Millicores, Revision, Steady, Time},
        worker::{Upkeep, WorkerReport},
    },
    platform::{
        kv::{Change, Item},
        records::{self, OPERATOR_PREFIX, RecordError, WORKER_PREFIX},
    },
    scheduler::{
        keys::{self, Key},
        view::{
            age::{Ages, Asked, Extent},
            heard::{Heard, SourceId},
            waiting::{Word, WordRecord},
        },
    },
};

/// Who owns a piece of work; no node if that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
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

/// The count of owners that is taken where the record cannot be read: more than there are changes of
/// owners, and with as many again the numbers of runs still fit.
const LOST_COUNT: u32 = 1_000_000;

/// How old may be what a node knows of the operator before it no longer says that it is ready, in
/// milliseconds. A watch is answered once a second; two that fall silent, one after the other, are
/// given up after 1.5 s each.
const UNHEARD_MS: u64 = 3_500;

/// How many owners a piece of work has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    pub(crate) count: u32,
}

/// The worker on whose host nothing runs any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EmptyRecord {
    pub(crate) worker: Incarnation,
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
    /// Whether the newest progress cannot be read; `progress` is the one before then.
    is_garbled: bool,
    /// The revision at which the record was first heard of: another writer may write it anew, which
    /// makes the job no newer than its owner.
    first: Option<Revision>,
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

    /// The job as its owner is told of it. One whose progress cannot be read waits until it can:
    /// what of it was done would run again.
    pub(crate) fn stored(&self, id: JobId) -> Option<StoredJob> {
        let record = self.record.as_ref().filter(|_| !self.is_garbled)?;
        let progress = self.progress.as_ref();
        Some(StoredJob {
            id,
            record: record.value.clone(),
            revision: self.first.unwrap_or(record.revision),
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
        progress.and_then(|item| read(&item.key, Some(&item.value), item.revision, &mut 0));
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
    /// The mark of a host has changed.
    Leave(HostId),
    Worker(WorkerReport),
    Unlisted(WorkerId),
    /// The worker's entry is not its own, or cannot be read.
    Barred(WorkerId),
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
    pub(crate) rosters: BTreeMap<(String, Incarnation), At<WorkerReport>>,
    /// By pool, which of these are silent.
    pub(crate) away: BTreeMap<String, At<Away>>,
    pub(crate) workers: BTreeMap<WorkerId, At<WorkerReport>>,
    /// Workers whose entry names nothing to use, with the last report that did.
    pub(crate) barred: BTreeMap<WorkerId, Option<WorkerReport>>,
    pub(crate) config: Option<Arc<QueueConfig>>,
    pub(crate) upkeeps: BTreeMap<u64, At<Upkeep>>,
    /// By pool, how many jobs of each queue have not begun.
    pub(crate) queued: BTreeMap<String, Word>,
    /// When the call was sent whose answer is taken in.
    hearing: Steady,
    /// How old this view of each prefix is.
    pub(crate) ages: Ages,
    /// The revision up to which our own records are known.
    pub(crate) known: Revision,
    /// Which of the prefixes have been read once.
    pub(crate) ready: BTreeSet<&'static str>,
    /// When a watch of each prefix, or a read of all of it, was last answered.
    answered: BTreeMap<&'static str, Steady>,
    /// What was last heard of each key.
    pub(crate) heard: Heard,
    /// How many records could not be read, or were not their worker's own.
    pub(crate) refused: u64,
}

impl View {
    /// Whether callers can be answered.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.contains(OPERATOR_PREFIX)
            && self.ready.contains(keys::ALL)
            && self.config.is_some()
    }

    /// Takes note that a prefix was read, or that its watch was answered; whether for the first time.
    pub(crate) fn note_answer(&mut self, prefix: &'static str, now: Steady) -> bool {
        self.answered.insert(prefix, now);
        self.ready.insert(prefix)
    }

    /// Whether the operator is still heard: calls of the store may pass while watches hang.
    pub(crate) fn hears_operator(&self, now: Steady) -> bool {
        let answered = self.answered.get(OPERATOR_PREFIX);
        answered.is_some_and(|at| now.since(*at) < UNHEARD_MS)
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

    /// The pool of the owner's piece of work.
    pub(crate) fn owns(&self, name: &str, token: u64) -> bool {
        self.owners.get(name).is_some_and(|owner| owner.revision.0 == token)
    }

    /// The workers that may run something of a pool, as its owners have kept.
    pub(crate) fn roster(&self, name: &str) -> Vec<WorkerReport> {
        let listed = self.rosters.iter().filter(|((pool, _), _)| pool == name);
        listed.map(|(_, at)| at.value.clone()).collect()
    }

    /// Whether the owners of another pool have kept that a worker may run something of theirs. No
    /// incarnation changes its pool, so that its entry is not its own; and an owner that looked at it
    /// would acknowledge the ends of jobs that it does not know.
    pub(crate) fn is_of_another(&self, name: &str, worker: &Incarnation) -> bool {
        self.rosters.keys().any(|(pool, id)| id == worker && pool != name)
    }

    /// The workers that may run something of other pools than this one.
    pub(crate) fn rostered_by_others(&self, name: &str) -> HashSet<&Incarnation> {
        self.rosters.keys().filter(|(pool, _)| pool != name).map(|(_, id)| id).collect()
    }

    /// Takes in the changes that a source tells of, and how far it reaches by that; what they mean for
    /// others.
    pub(crate) fn hear(
        &mut self,
        (prefix, source): (&str, SourceId),
        asked: Asked,
        changes: Vec<Change>,
        extent: Extent,
    ) -> Vec<Delta> {
        let deltas = self.hear_part(asked, changes);
        self.heard.passed(source, extent.at());
        self.ages.heard(prefix, asked, extent);
        deltas
    }

    /// Takes in some of the changes that an answer tells of, before its last ones.
    pub(crate) fn hear_part(&mut self, asked: Asked, changes: Vec<Change>) -> Vec<Delta> {
        self.hearing = asked.sent;
        changes.into_iter().filter_map(|change| self.apply(change)).collect()
    }

    /// Takes in a change; what that means for others.
    pub(crate) fn apply(&mut self, change: Change) -> Option<Delta> {
        let own = Key::parse(&change.key).filter(|key| !matches!(key, Key::Id(_)));
        let is_worker = change.key.starts_with(records::WORKER_PREFIX);
        let is_operator = change.key == records::CONFIG_KEY || records::is_wave(&change.key);
        let is_kept = own.is_some() || is_worker || is_operator;
        if !is_kept || !self.heard.is_news(&change) {
            return None;
        }
        match own {
            Some(key) => self.apply_own(key, change),
            None if is_worker => self.apply_worker(&change),
            None if change.key == records::CONFIG_KEY => self.apply_config(&change),
            None => {
                self.apply_upkeep(&change);
                None
            }
        }
    }

    fn apply_upkeep(&mut self, change: &Change) {
        match change.value.as_deref().map(records::wave) {
            Some(Ok(upkeep)) => {
                let at = At { value: upkeep, revision: change.revision };
                self.upkeeps.insert(at.value.wave, at);
            }
            Some(Err(error)) => self.refuse(&change.key, &error),
            None => self.upkeeps.retain(|wave, _| !change.key.ends_with(&format!("/{wave}"))),
        }
    }

    fn apply_own(&mut self, key: Key, change: Change) -> Option<Delta> {
        let Change { revision, value, key: text } = change;
        let value = value.as_ref();
        let refused = &mut self.refused;
        match key {
            Key::Id(_) => None,
            Key::Job(id) => {
                let known = self.jobs.entry(id).or_default();
                known.record = read(&text, value, revision, refused).map(share);
                known.first = value.and(known.first.or(Some(revision)));
                self.drop_empty(id);
                Some(if value.is_some() { Delta::Job(id) } else { Delta::Removed(id) })
            }
            Key::Progress(id) => {
                let known = self.jobs.entry(id).or_default();
                let progress = read(&text, value, revision, refused).map(share);
                let was_garbled = known.is_garbled;
                known.is_garbled = value.is_some() && progress.is_none();
                if !known.is_garbled {
                    known.progress = progress;
                }
                self.drop_empty(id);
                was_garbled.then_some(Delta::Job(id))
            }
            Key::Cancel(id) => {
                self.jobs.entry(id).or_default().cancelled = value.is_some();
                self.drop_empty(id);
                Some(Delta::Cancelled(id))
            }
            Key::Owner(name) => {
                // The key is there, and its revision is what a later owner must write over.
                let nobody = At { value: OwnerRecord::default(), revision };
                let owner = value.map(|_| read(&text, value, revision, refused).unwrap_or(nobody));
                set(&mut self.owners, name.clone(), owner);
                Some(Delta::Owner(name))
            }
            Key::Term(name) => {
                // As above. A count that is not known must not be less than it was: the numbers of
                // runs begin above it, and the first owner of all waits for no worker.
                let lost = At { value: TermRecord { count: LOST_COUNT }, revision };
                let term = value.map(|_| read(&text, value, revision, refused).unwrap_or(lost));
                set(&mut self.terms, name, term);
                None
            }
            Key::Leave(host) => {
                set(&mut self.leaves, host.clone(), read(&text, value, revision, refused));
                Some(Delta::Leave(host))
            }
            Key::Empty(host) => {
                set(&mut self.empties, host, read(&text, value, revision, refused));
                None
            }
            Key::Wave(wave) => {
                set(&mut self.waves, wave, read(&text, value, revision, refused));
                None
            }
            Key::Usage(name) => {
                set(&mut self.usages, name, read(&text, value, revision, refused));
                None
            }
            Key::Called(host) => {
                set(&mut self.called, host, read(&text, value, revision, refused));
                None
            }
            Key::Node(name) => {
                set(&mut self.nodes, name, read(&text, value, revision, refused));
                None
            }
            Key::Queued(name) => {
                let heard = self.hearing;
                match read(&text, value, revision, refused) {
                    Some(At { value: WordRecord { known, counts }, .. }) => {
                        self.queued.insert(name, Word { counts, revision, known, heard })
                    }
                    None => self.queued.remove(&name),
                };
                None
            }
            Key::Roster(name, worker) => {
                let report = match value {
                    Some(value) => rostered(&text, value, revision, refused, (&name, &worker)),
                    None => None,
                };
                set(&mut self.rosters, (name, worker), report);
                None
            }
            Key::Away(name) => {
                set(&mut self.away, name, read(&text, value, revision, refused));
                None
            }
        }
    }

    fn drop_empty(&mut self, id: JobId) {
        let known = &self.jobs[&id];
        let told = known.cancelled || known.is_garbled || known.first.is_some();
        if known.record.is_none() && known.progress.is_none() && !told {
            self.jobs.remove(&id);
        }
    }

    fn apply_worker(&mut self, change: &Change) -> Option<Delta> {
        let id = change.key.strip_prefix(records::WORKER_PREFIX).unwrap_or_default();
        let id: WorkerId = match id.parse() {
            Ok(id) => id,
            Err(error) => {
                self.refuse(&change.key, &error);
                return None;
            }
        };
        let Some(value) = &change.value else {
            let was_barred = self.barred.remove(&id).is_some();
            let was_known = self.workers.remove(&id).is_some() || was_barred;
            return was_known.then_some(Delta::Unlisted(id));
        };
        let before = self.workers.get(&id).map(|at| &at.value);
        let before = before.or_else(|| self.barred.get(&id).and_then(Option::as_ref)).cloned();
        let report = records::worker(id.clone(), value).and_then(|report| {
            let Some(before) = &before else {
                return Ok(report);
            };
            if before.id.born.is_some() && report.id.born.is_none() {
                return Err(RecordError::Unborn);
            }
            // Another incarnation may have another place.
            let has_moved = before.id == report.id && !before.has_place_of(&report);
            if has_moved { Err(RecordError::Place) } else { Ok(report) }
        });
        match report {
            Ok(report) => {
                let at = At { value: report.clone(), revision: change.revision };
                self.barred.remove(&id);
                let before = self.workers.insert(id, at);
                // A prefix that is read anew, and each heartbeat, tell much that is known.
                let news = before.is_none_or(|before| before.value != report);
                news.then_some(Delta::Worker(report))
            }
            Err(error) => {
                self.refuse(&change.key, &error);
                self.workers.remove(&id);
                self.barred.insert(id.clone(), before);
                Some(Delta::Barred(id))
            }
        }
    }

    /// Tells and counts a record that another writer may have written.
    fn refuse(&mut self, key: &str, error: &dyn std::fmt::Display) {
        log::error!("record {key}: not used: {error}");
        self.refused += 1;
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
                self.refuse(&change.key, &error);
                None
            }
        }
    }
}

/// Takes in what a record says; nothing if it is removed.
fn set<K: Ord, V>(map: &mut BTreeMap<K, At<V>>, key: K, value: Option<At<V>>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

fn share<T>(at: At<T>) -> At<Arc<T>> {
    At { value: Arc::new(at.value), revision: at.revision }
}

/// Reads a record of ours; one that is not understood is told, counted and left out.
fn read<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<&Bytes>,
    revision: Revision,
    refused: &mut u64,
) -> Option<At<T>> {
    match serde_json::from_slice(value?) {
        Ok(value) => Some(At { value, revision }),
        Err(error) => {
            log::error!("record {key}: not used: {error}");
            *refused += 1;
            None
        }
    }
}

/// Reads a worker's record in a pool's roster. Where it cannot be read something may run all the
/// same: a later owner asks the worker once its entry tells where, or waits.
fn rostered(
    key: &str,
    value: &Bytes,
    revision: Revision,
    refused: &mut u64,
    (name, worker): (&str, &Incarnation),
) -> Option<At<WorkerReport>> {
    read(key, Some(value), revision, refused).or_else(|| {
        let pool = name.strip_prefix("pool-").unwrap_or(name);
        let unknown = WorkerReport::without_place(worker, pool);
        let unknown = unknown.inspect_err(|error| log::error!("record {key}: {error}"));
        Some(At { value: unknown.ok()?, revision })
    })
}
