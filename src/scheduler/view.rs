//! A node's view of the store: the scheduler's own records, the operator's and the workers'.
//!
//! Any of them may have been changed by another writer. A record that cannot be read is logged,
//! counted and not used, and is never taken as evidence that nothing runs.

pub(crate) mod age;
pub(crate) mod key_revisions;
pub(crate) mod waiting;
pub(crate) mod zones;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    jobs::{
        accounts::PoolShares,
        event::StoredJob,
        fleet::HostAction,
        owner::HostUsage,
        roster::SilentWorkers,
        spread::{self, Standing},
    },
    model::{
        id::{AccountId, HostId, Incarnation, WorkerId, ZoneId},
        job::{JobId, JobRecord, JobState, Progress},
        queue::QueueConfig,
        unit::{Millicores, Revision, Steady, Time},
        worker::{Upkeep, WorkerReport},
        zone::{Evacuation, Zones},
    },
    platform::{
        kv::{Change, Item},
        records::{self, OPERATOR_PREFIX, RecordError, WORKER_PREFIX},
    },
    scheduler::{
        access::Holder,
        keys::{self, IdRecord, Key},
        relay::proof::NodeSecret,
        replicas::{PublishedReplicas, ReplicaList},
        tombstone,
        view::{
            age::{Ages, CallStart, Extent},
            key_revisions::{KeyRevisions, SourceId},
            waiting::{WaitingRecord, WaitingReport},
            zones::{StartAge, ZoneView},
        },
    },
    settings::scheduler::SchedulerSettings,
};

/// The owner of a piece of work; the default, which names no node, if the record cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    pub(crate) node: String,
    /// A random number that identifies the node's process.
    pub(crate) life: u64,
}

/// A node that may own work. The record exists as long as the node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct NodeRecord {
    /// The processor time that the node has.
    pub(crate) cpu: Millicores,
    /// Where it answers requests that other nodes relay; `None` if it does not.
    #[serde(default)]
    pub(crate) peers: Option<SocketAddr>,
    /// Verifies that a request was relayed by the node; `None` for earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) secret: Option<NodeSecret>,
    /// Its availability zone; `None` for earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) zone: Option<ZoneId>,
}

/// The assumed number of owners if the record cannot be read: more than there are changes of
/// owners, and even twice as many leave enough numbers for runs.
const UNREADABLE_TERM_COUNT: u32 = 1_000_000;

/// The maximum time since the last answer about the operator's records for a node to be ready, in
/// milliseconds. A watch is answered once a second; two that hang in succession are given up after
/// 1.5 s each.
const MAX_OPERATOR_SILENCE_MS: u64 = 3_500;

/// How many owners a piece of work has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    pub(crate) count: u32,
}

/// The worker of a drained host, on which nothing runs any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DrainedRecord {
    pub(crate) worker: Incarnation,
    /// The revision of the drain mark for which the host was drained.
    pub(crate) mark: Revision,
}

/// When a host was last moved or maintained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HostCallRecord {
    /// The token of the fleet's owner that called it.
    pub(crate) token: u64,
    pub(crate) at: Time,
}

/// The progress of a wave.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct WaveRecord {
    /// The hosts that had their upkeep.
    pub(crate) hosts: BTreeSet<HostId>,
    /// Whether the wave was reported to the operator as done.
    pub(crate) reported: bool,
}

/// A value with the revision at which it was written.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Versioned<T> {
    pub(crate) value: T,
    pub(crate) revision: Revision,
}

/// A job in the view, as far as its records are known.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownJob {
    pub(crate) record: Option<Versioned<Arc<JobRecord>>>,
    pub(crate) progress: Option<Versioned<Arc<Progress>>>,
    pub(crate) cancelled: bool,
    /// Whose job it is. Stays when the record is removed.
    pub(crate) holder: Holder,
    /// Whether the newest progress cannot be read; `progress` is then the previous one.
    is_unreadable: bool,
    /// The revision at which the record was first received: another writer may rewrite it, which
    /// does not make the job newer than its owner.
    first_revision: Option<Revision>,
}

impl KnownJob {
    /// The state that callers see.
    pub(crate) fn state(&self) -> JobState {
        match &self.progress {
            Some(progress) if progress.value.state.is_final() => progress.value.state,
            _ if self.cancelled => JobState::Cancelled,
            Some(progress) => progress.value.state,
            None => JobState::Queued,
        }
    }

    /// Whether the job was accepted. For one that has ended only its final state is stored.
    pub(crate) fn is_accepted(&self) -> bool {
        self.record.is_some() || self.state().is_final()
    }

    /// The job in the form that its owner receives. `None` while its progress cannot be read: its
    /// finished tasks would run again.
    pub(crate) fn stored(&self, id: JobId) -> Option<StoredJob> {
        let record = self.record.as_ref().filter(|_| !self.is_unreadable)?;
        let progress = self.progress.as_ref();
        Some(StoredJob {
            id,
            record: record.value.clone(),
            revision: self.first_revision.unwrap_or(record.revision),
            progress: progress.map(|progress| progress.value.clone()),
            progress_revision: progress.map(|progress| progress.revision).unwrap_or_default(),
            cancelled: self.cancelled,
        })
    }
}

/// The state of a job by its records in the store, and whose job it is; `None` if it was never
/// accepted.
pub(crate) fn job_state(id: JobId, items: &[Item]) -> Option<(JobState, Holder)> {
    let find = |key: String| items.iter().find(|item| item.key == key);
    let progress = find(keys::progress(id));
    let progress: Option<Versioned<Progress>> =
        progress.and_then(|item| read(&item.key, Some(&item.value), item.revision, &mut 0));
    let known = KnownJob {
        progress: progress.map(share),
        cancelled: find(keys::cancel(id)).is_some(),
        ..KnownJob::default()
    };
    let holder = find(keys::id(id)).and_then(|item| match keys::id_record(&item.value) {
        IdRecord::Accepted(holder) => Some(holder),
        IdRecord::Cancelled(_) => None,
    });
    let is_accepted = holder.is_some() || known.state().is_final();
    is_accepted.then(|| (known.state(), holder.unwrap_or(Holder::Nobody)))
}

/// A change of the view, for the code that acts on it.
#[derive(Debug, Clone)]
pub(crate) enum Delta {
    Job(JobId),
    Removed(JobId),
    Cancelled(JobId),
    Owner(String),
    /// The drain mark of a host has changed.
    DrainMark(HostId),
    /// The shares of a client account's limit have changed.
    LimitShares(AccountId),
    Worker(WorkerReport),
    Unlisted(WorkerId),
    /// The worker's entry is not its own, or cannot be read.
    InvalidEntry(WorkerId),
    Config,
    /// A zone is evacuated now.
    Evacuated(ZoneId),
    /// This evacuation of a zone was taken back.
    Reopened(ZoneId, Evacuation),
}

/// A node's view of the store.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) jobs: HashMap<JobId, KnownJob>,
    pub(crate) owners: BTreeMap<String, Versioned<OwnerRecord>>,
    pub(crate) terms: BTreeMap<String, Versioned<TermRecord>>,
    /// All nodes, if this one mirrors the records.
    pub(crate) nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// The nodes that mirror all records, as published.
    pub(crate) published: PublishedReplicas,
    /// The last secret of each node. Stays when the record is removed with its lease: a node that
    /// cannot reach the store relays its callers' requests.
    pub(crate) node_secrets: BTreeMap<String, NodeSecret>,
    pub(crate) drain_marks: BTreeMap<HostId, Versioned<HostAction>>,
    pub(crate) drained_hosts: BTreeMap<HostId, Versioned<DrainedRecord>>,
    pub(crate) waves: BTreeMap<u64, Versioned<WaveRecord>>,
    /// The usage of hosts, by pool.
    pub(crate) usages: BTreeMap<String, Versioned<HostUsage>>,
    pub(crate) host_calls: BTreeMap<HostId, Versioned<HostCallRecord>>,
    /// The shares of the limits of client accounts that pools have reserved.
    pub(crate) limit_shares: BTreeMap<AccountId, Versioned<PoolShares>>,
    /// The workers that may run tasks of a pool, by pool and worker.
    pub(crate) rosters: BTreeMap<(String, Incarnation), Versioned<WorkerReport>>,
    /// The silent workers on the rosters, by pool.
    pub(crate) silent_workers: BTreeMap<String, Versioned<SilentWorkers>>,
    pub(crate) workers: BTreeMap<WorkerId, Versioned<WorkerReport>>,
    /// Workers whose entry is invalid, with the last valid report.
    pub(crate) invalid_entries: BTreeMap<WorkerId, Option<WorkerReport>>,
    pub(crate) config: Option<Arc<QueueConfig>>,
    pub(crate) upkeeps: BTreeMap<u64, Versioned<Upkeep>>,
    /// The evacuations of availability zones.
    pub(crate) zones: ZoneView,
    /// The reports of how many jobs of each queue have not begun, by pool.
    pub(crate) waiting_reports: BTreeMap<String, WaitingReport>,
    /// The revisions of the tombstones, and when each was first received.
    tombstones: BTreeMap<JobId, (Revision, Steady)>,
    /// When the call was sent whose answer is being applied.
    call_sent: Steady,
    /// The age of this view, by prefix.
    pub(crate) ages: Ages,
    /// The revision up to which the scheduler's own records are known.
    pub(crate) known_revision: Revision,
    /// The prefixes that have been read completely once.
    pub(crate) ready: BTreeSet<&'static str>,
    /// When a watch or a complete read was last answered, by prefix.
    answered: BTreeMap<&'static str, Steady>,
    /// The newest known revision of each key.
    pub(crate) key_revisions: KeyRevisions,
    /// The number of records that could not be read, or were not their worker's own.
    pub(crate) refused_records: u64,
}

impl View {
    /// Whether the view suffices to answer callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.contains(OPERATOR_PREFIX)
            && self.ready.contains(keys::ALL)
            && self.config.is_some()
    }

    /// Records that a prefix was read or that its watch was answered. Returns whether for the first
    /// time.
    pub(crate) fn note_answer(&mut self, prefix: &'static str, now: Steady) -> bool {
        self.answered.insert(prefix, now);
        self.ready.insert(prefix)
    }

    /// Whether the operator's records are up to date: watches may hang while other calls of the
    /// store succeed.
    pub(crate) fn is_operator_current(&self, now: Steady) -> bool {
        let last_answer = self.answered.get(OPERATOR_PREFIX);
        last_answer.is_some_and(|at| now.since(*at) < MAX_OPERATOR_SILENCE_MS)
    }

    /// Whether every change of the configuration from before a moment is known.
    pub(crate) fn is_config_known_at(&self, moment: Steady) -> bool {
        // A write in the same millisecond may have come later.
        self.config_as_of().is_some_and(|at| moment < at)
    }

    /// The age of the configuration, in milliseconds; `None` if it was never read.
    pub(crate) fn config_age_ms(&self, now: Steady) -> Option<u64> {
        Some(now.since(self.config_as_of()?))
    }

    fn config_as_of(&self) -> Option<Steady> {
        self.ages.as_of(OPERATOR_PREFIX).max(self.ages.as_of(records::CONFIG_KEY))
    }

    /// The age of the evacuations, in milliseconds; `None` if they were never read.
    pub(crate) fn evacuations_age_ms(&self, now: Steady) -> Option<u64> {
        let (watched, read) =
            (self.ages.as_of(OPERATOR_PREFIX), self.ages.as_of(records::EVACUATION_PREFIX));
        Some(now.since(watched.max(read)?))
    }

    /// What starts are decided by. `limits` is `None` if zones are not evacuated.
    pub(crate) fn start_zones(&self, limits: Option<StartAge>, now: Steady) -> Zones {
        self.zones.zones(self.evacuations_age_ms(now), limits, now)
    }

    /// Whether every prefix has been read once, which a node needs to own work.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_ready() && self.ready.contains(keys::ROOT) && self.ready.contains(WORKER_PREFIX)
    }

    /// Whether all records of the scheduler were read once.
    pub(crate) fn mirrors_records(&self) -> bool {
        self.ready.contains(keys::ROOT)
    }

    /// The nodes that this one knows: all of them if it mirrors the records, or else the replicas.
    pub(crate) fn known_nodes(&self) -> impl Iterator<Item = (&str, &NodeRecord)> {
        let is_complete = self.mirrors_records();
        let all = self.nodes.iter().filter(move |_| is_complete);
        let published = self.published.list.replicas.iter().filter(move |_| !is_complete);
        let all = all.map(|(name, at)| (name.as_str(), &at.value));
        all.chain(published.map(|(name, record)| (name.as_str(), record)))
    }

    /// The number of nodes.
    pub(crate) fn node_count(&self) -> u32 {
        match self.mirrors_records() {
            true => self.nodes.len().try_into().unwrap_or(u32::MAX),
            false => self.published.list.nodes,
        }
    }

    /// The nodes that mirror every prefix: those with the most processor time, over all zones if the
    /// loss of one is tolerated, and all owners. A node that is none of them knows them by the
    /// published list.
    pub(crate) fn replicas(&self, settings: &SchedulerSettings) -> BTreeSet<&str> {
        if !self.mirrors_records() {
            return self.published.list.replicas.keys().map(String::as_str).collect();
        }
        let over_zones = settings.zones.tolerated_losses != 0;
        let nodes = self.nodes.iter().map(|(name, at)| {
            let NodeRecord { cpu, zone, .. } = &at.value;
            Standing { name, cpu: *cpu, zone: zone.as_ref().filter(|_| over_zones) }
        });
        let owners = self.owners.values().map(|owner| owner.value.node.as_str());
        spread::replicas(nodes.collect(), settings.replicas).into_iter().chain(owners).collect()
    }

    /// Whether the current owner of a piece of work has this token.
    pub(crate) fn owns(&self, name: &str, token: u64) -> bool {
        self.owners.get(name).is_some_and(|owner| owner.revision.0 == token)
    }

    /// The workers that may run tasks of a pool, by its roster.
    pub(crate) fn roster(&self, name: &str) -> Vec<WorkerReport> {
        let listed = self.rosters.iter().filter(|((pool, _), _)| pool == name);
        listed.map(|(_, at)| at.value.clone()).collect()
    }

    /// Whether a worker is on the roster of another pool. No incarnation changes its pool, so its
    /// entry is not its own; and an owner that polled it would acknowledge the ends of runs of
    /// unknown jobs.
    pub(crate) fn is_on_other_roster(&self, name: &str, worker: &Incarnation) -> bool {
        self.rosters.keys().any(|(pool, id)| id == worker && pool != name)
    }

    /// The workers on the rosters of all other pools.
    pub(crate) fn on_other_rosters(&self, name: &str) -> HashSet<&Incarnation> {
        self.rosters.keys().filter(|(pool, _)| pool != name).map(|(_, id)| id).collect()
    }

    /// Applies an answer of a source: its changes and how far it reaches. Returns the changes to
    /// act on.
    pub(crate) fn apply_answer(
        &mut self,
        (prefix, source): (&str, SourceId),
        call: CallStart,
        changes: Vec<Change>,
        extent: Extent,
    ) -> Vec<Delta> {
        let deltas = self.apply_part(call, changes);
        self.key_revisions.note_progress(source, extent.at());
        self.ages.note_answer(prefix, call, extent);
        deltas
    }

    /// Applies a part of the changes of an answer, before its last ones.
    pub(crate) fn apply_part(&mut self, call: CallStart, changes: Vec<Change>) -> Vec<Delta> {
        self.call_sent = call.sent;
        changes.into_iter().filter_map(|change| self.apply(change)).collect()
    }

    /// Applies a change. Returns the change to act on, if any.
    pub(crate) fn apply(&mut self, change: Change) -> Option<Delta> {
        let own = match Key::parse(&change.key) {
            Some(Key::Id(id)) => {
                self.apply_id(id, &change);
                return None;
            }
            own => own,
        };
        let is_worker = change.key.starts_with(records::WORKER_PREFIX);
        let is_operator = change.key == records::CONFIG_KEY
            || records::is_wave(&change.key)
            || records::is_evacuation(&change.key);
        let is_relevant = own.is_some() || is_worker || is_operator;
        if !is_relevant || !self.key_revisions.is_newer(&change) {
            return None;
        }
        match own {
            Some(key) => self.apply_own(key, change),
            None if is_worker => self.apply_worker(&change),
            None if change.key == records::CONFIG_KEY => self.apply_config(&change),
            None if records::is_evacuation(&change.key) => self.apply_evacuation(&change),
            None => {
                self.apply_upkeep(&change);
                None
            }
        }
    }

    /// Tracks tombstones alone: there are many more markers of accepted jobs. A tombstone whose
    /// change is received after that of its removal is dropped by [`View::forget_tombstone`].
    fn apply_id(&mut self, id: JobId, change: &Change) {
        let is_known = |(revision, _): &(Revision, Steady)| change.revision <= *revision;
        if self.tombstones.get(&id).is_some_and(is_known) {
            return;
        }
        match change.value.as_deref().map(keys::id_record) {
            Some(IdRecord::Cancelled(_)) => {
                self.tombstones.insert(id, (change.revision, self.call_sent));
            }
            Some(IdRecord::Accepted(_)) | None => {
                self.tombstones.remove(&id);
            }
        }
    }

    /// The tombstones that are no longer needed, with their revisions.
    pub(crate) fn expired_tombstones(&self, now: Steady) -> Vec<(JobId, Revision)> {
        let all = self.tombstones.iter();
        all.filter(|(_, (_, since))| tombstone::KEEP_MS <= now.since(*since))
            .map(|(id, (revision, _))| (*id, *revision))
            .collect()
    }

    /// Drops a tombstone that the store does not have at this revision.
    pub(crate) fn forget_tombstone(&mut self, id: JobId, revision: Revision) {
        if self.tombstones.get(&id).is_some_and(|(known, _)| *known == revision) {
            self.tombstones.remove(&id);
        }
    }

    fn apply_upkeep(&mut self, change: &Change) {
        match change.value.as_deref().map(records::wave) {
            Some(Ok(upkeep)) => {
                let at = Versioned { value: upkeep, revision: change.revision };
                self.upkeeps.insert(at.value.wave, at);
            }
            Some(Err(error)) => self.refuse(&change.key, &error),
            None => self.upkeeps.retain(|wave, _| !change.key.ends_with(&format!("/{wave}"))),
        }
    }

    fn apply_evacuation(&mut self, change: &Change) -> Option<Delta> {
        let zone = records::evacuated_zone(&change.key)
            .inspect_err(|error| self.refuse(&change.key, error))
            .ok()?;
        let Some(value) = &change.value else {
            let evacuation = self.zones.remove(&zone)?;
            return Some(Delta::Reopened(zone, evacuation));
        };
        if let Err(error) = records::check_evacuation(value) {
            log::error!("record {}: {error}: the zone is evacuated nevertheless", change.key);
        }
        let is_new = !self.zones.evacuated().contains_key(&zone);
        self.zones.insert(zone.clone(), change.revision, self.call_sent);
        is_new.then_some(Delta::Evacuated(zone))
    }

    fn apply_own(&mut self, key: Key, change: Change) -> Option<Delta> {
        let Change { revision, value, key: text } = change;
        let value = value.as_ref();
        let refused = &mut self.refused_records;
        match key {
            Key::Id(_) => None,
            Key::Job(id) => {
                let known = self.jobs.entry(id).or_default();
                known.record = read(&text, value, revision, refused).map(share);
                if let Some(record) = &known.record {
                    known.holder = Holder::of(record.value.account.clone());
                }
                known.first_revision = value.and(known.first_revision.or(Some(revision)));
                self.drop_empty(id);
                Some(if value.is_some() { Delta::Job(id) } else { Delta::Removed(id) })
            }
            Key::Progress(id) => {
                let known = self.jobs.entry(id).or_default();
                let progress = read(&text, value, revision, refused).map(share);
                let was_unreadable = known.is_unreadable;
                known.is_unreadable = value.is_some() && progress.is_none();
                if !known.is_unreadable {
                    known.progress = progress;
                }
                self.drop_empty(id);
                was_unreadable.then_some(Delta::Job(id))
            }
            Key::Cancel(id) => {
                self.jobs.entry(id).or_default().cancelled = value.is_some();
                self.drop_empty(id);
                Some(Delta::Cancelled(id))
            }
            Key::Owner(name) => {
                // The key exists, and the next owner's write needs its revision as a condition.
                let no_owner = Versioned { value: OwnerRecord::default(), revision };
                let owner =
                    value.map(|_| read(&text, value, revision, refused).unwrap_or(no_owner));
                set(&mut self.owners, name.clone(), owner);
                Some(Delta::Owner(name))
            }
            Key::Term(name) => {
                // As above. An unknown count must not be below the real one: the numbers of runs
                // begin above it, and an owner without a predecessor waits for no worker.
                let unreadable =
                    Versioned { value: TermRecord { count: UNREADABLE_TERM_COUNT }, revision };
                let term =
                    value.map(|_| read(&text, value, revision, refused).unwrap_or(unreadable));
                set(&mut self.terms, name, term);
                None
            }
            Key::DrainMark(host) => {
                set(&mut self.drain_marks, host.clone(), read(&text, value, revision, refused));
                Some(Delta::DrainMark(host))
            }
            Key::Drained(host) => {
                set(&mut self.drained_hosts, host, read(&text, value, revision, refused));
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
            Key::LimitShares(account) => {
                let shares = read(&text, value, revision, refused);
                // What pools have reserved does not change by another program's value: the next
                // write of an owner replaces it.
                let shares = match (shares, self.limit_shares.remove(&account)) {
                    (None, Some(last)) if value.is_some() => Some(Versioned { revision, ..last }),
                    (shares, _) => shares,
                };
                set(&mut self.limit_shares, account.clone(), shares);
                Some(Delta::LimitShares(account))
            }
            Key::Called(host) => {
                set(&mut self.host_calls, host, read(&text, value, revision, refused));
                None
            }
            Key::Node(name) => {
                let record: Option<Versioned<NodeRecord>> = read(&text, value, revision, refused);
                if let Some(secret) = record.as_ref().and_then(|at| at.value.secret) {
                    self.node_secrets.insert(name.clone(), secret);
                }
                set(&mut self.nodes, name, record);
                None
            }
            Key::Replicas => {
                let read: Option<Versioned<ReplicaList>> = read(&text, value, revision, refused);
                let revision = value.map_or(Revision(0), |_| revision);
                let is_valid = read.is_some();
                // The last list stays in use.
                let last = std::mem::take(&mut self.published.list);
                let list = read.map_or(last, |at| at.value);
                for (name, record) in &list.replicas {
                    if let Some(secret) = record.secret {
                        self.node_secrets.insert(name.clone(), secret);
                    }
                }
                self.published = PublishedReplicas { list, revision, is_valid };
                None
            }
            Key::Queued(name) => {
                let received = self.call_sent;
                match read(&text, value, revision, refused) {
                    Some(Versioned { value: WaitingRecord { known, load, counts }, .. }) => self
                        .waiting_reports
                        .insert(name, WaitingReport { counts, revision, known, load, received }),
                    None => self.waiting_reports.remove(&name),
                };
                None
            }
            Key::Roster(name, worker) => {
                let report = match value {
                    Some(value) => {
                        read_roster_entry(&text, value, revision, refused, (&name, &worker))
                    }
                    None => None,
                };
                set(&mut self.rosters, (name, worker), report);
                None
            }
            Key::SilentWorkers(name) => {
                set(&mut self.silent_workers, name, read(&text, value, revision, refused));
                None
            }
        }
    }

    fn drop_empty(&mut self, id: JobId) {
        let known = &self.jobs[&id];
        let is_in_use = known.cancelled || known.is_unreadable || known.first_revision.is_some();
        if known.record.is_none() && known.progress.is_none() && !is_in_use {
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
            let was_invalid = self.invalid_entries.remove(&id).is_some();
            let was_known = self.workers.remove(&id).is_some() || was_invalid;
            return was_known.then_some(Delta::Unlisted(id));
        };
        let before = self.workers.get(&id).map(|at| &at.value);
        let before =
            before.or_else(|| self.invalid_entries.get(&id).and_then(Option::as_ref)).cloned();
        let report = records::worker(id.clone(), value).and_then(|report| {
            let Some(before) = &before else {
                return Ok(report);
            };
            if before.id.born.is_some() && report.id.born.is_none() {
                return Err(RecordError::MissingStartTime);
            }
            // Only another incarnation may have another place.
            let has_moved = before.id == report.id && !before.has_same_place(&report);
            if has_moved { Err(RecordError::PlaceChanged) } else { Ok(report) }
        });
        match report {
            Ok(report) => {
                let at = Versioned { value: report.clone(), revision: change.revision };
                self.invalid_entries.remove(&id);
                let before = self.workers.insert(id, at);
                // Repeated reads of the prefix and heartbeats mostly repeat what is known.
                let has_changed = before.is_none_or(|before| report.is_news_after(&before.value));
                has_changed.then_some(Delta::Worker(report))
            }
            Err(error) => {
                self.refuse(&change.key, &error);
                self.workers.remove(&id);
                self.invalid_entries.insert(id.clone(), before);
                Some(Delta::InvalidEntry(id))
            }
        }
    }

    /// Logs and counts an invalid record, which another writer may have written.
    fn refuse(&mut self, key: &str, error: &dyn std::fmt::Display) {
        log::error!("record {key}: ignored: {error}");
        self.refused_records += 1;
    }

    fn apply_config(&mut self, change: &Change) -> Option<Delta> {
        match records::config(change.value.as_ref()?) {
            Ok((config, errors)) => {
                let is_old = |current: &Arc<QueueConfig>| config.version <= current.version;
                if self.config.as_ref().is_some_and(is_old) {
                    return None;
                }
                log::info!("config: version {} in force, {}", config.version, change.revision);
                for error in errors {
                    log::error!("config: version {}: {error}", config.version);
                }
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

/// Sets the value of a record, or removes it if there is none.
fn set<K: Ord, V>(map: &mut BTreeMap<K, Versioned<V>>, key: K, value: Option<Versioned<V>>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

fn share<T>(at: Versioned<T>) -> Versioned<Arc<T>> {
    Versioned { value: Arc::new(at.value), revision: at.revision }
}

/// Reads one of the scheduler's records; `None`, logged and counted, if it cannot be read.
fn read<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<&Bytes>,
    revision: Revision,
    refused: &mut u64,
) -> Option<Versioned<T>> {
    match serde_json::from_slice(value?) {
        Ok(value) => Some(Versioned { value, revision }),
        Err(error) => {
            log::error!("record {key}: ignored: {error}");
            *refused += 1;
            None
        }
    }
}

/// Reads a worker's record in a pool's roster. Something may run on the worker even if the record
/// cannot be read: a later owner polls the worker once its entry gives the address, or waits.
fn read_roster_entry(
    key: &str,
    value: &Bytes,
    revision: Revision,
    refused: &mut u64,
    (name, worker): (&str, &Incarnation),
) -> Option<Versioned<WorkerReport>> {
    read(key, Some(value), revision, refused).or_else(|| {
        let pool = name.strip_prefix("pool-").unwrap_or(name);
        let placeholder = WorkerReport::placeholder(worker, pool);
        let placeholder = placeholder.inspect_err(|error| log::error!("record {key}: {error}"));
        Some(Versioned { value: placeholder.ok()?, revision })
    })
}
