//! Records like those of a large deployment, as a watch tells of them: five pools, 1,100 hosts, jobs
//! of a dozen tasks, and turns at which hundreds of hosts change pools.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::json;

use crate::{
    jobs::{fleet::HostAction, owner::HostUsage, roster::SilentWorkers},
    model::{
        id::{HostId, Incarnation, PoolId},
        job::{
            JobId, JobRecord, JobState, Progress, Step, StepProgress, TaskProgress, TaskResources,
        },
        unit::{Megabytes, Millicores, Revision, Time},
        worker::WorkerReport,
    },
    platform::{kv::Change, records::WORKER_PREFIX},
    scheduler::{
        drive::json as bytes,
        keys,
        view::{DrainedRecord, HostCallRecord},
    },
};

const POOLS: usize = 5;
const HOSTS: usize = 1_100;

/// Tasks of a job, in two steps.
const TASKS: u32 = 12;

/// Writes of a job's progress, the last of which tells of its end.
const WRITES: usize = 5;

/// Answers between two turns, hosts that change pools at each, and how many of those are done with
/// in one answer.
const TURN: usize = 50;
const MOVED: usize = 600;
const MOVED_AT_ONCE: usize = 12;

/// Answers between two words on how hosts are used, and on how many jobs wait.
const USAGE: usize = 3;
const QUEUED: usize = 5;

/// What a change is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Job,
    Progress,
    Removal,
    Mark,
    Emptied,
    Called,
    Unmark,
    Roster,
    Worker,
    Usage,
    Queued,
}

/// All kinds, in the order of their declaration.
pub(super) const KINDS: [Kind; 11] = [
    Kind::Job,
    Kind::Progress,
    Kind::Removal,
    Kind::Mark,
    Kind::Emptied,
    Kind::Called,
    Kind::Unmark,
    Kind::Roster,
    Kind::Worker,
    Kind::Usage,
    Kind::Queued,
];

/// Changes of one kind.
pub(super) type Group = (Kind, Vec<Change>);

/// A host: its pool, and how often it has changed pools.
#[derive(Clone, Copy)]
struct Host {
    pool: usize,
    lives: u32,
}

/// What is written, one answer after the other.
pub(super) struct Mix {
    revision: u64,
    answers: usize,
    /// Jobs handed in with each answer.
    rate: f64,
    due: f64,
    next_job: u64,
    /// Jobs that have not ended, and how often the progress of each was written.
    open: VecDeque<(u64, usize)>,
    most_open: usize,
    hosts: Vec<Host>,
    /// Hosts that are marked, by the revisions of their marks.
    moving: VecDeque<(usize, u64)>,
}

pub(super) fn pool(number: usize) -> PoolId {
    format!("pool{number}").parse().expect("a pool's name")
}

fn host(number: usize) -> HostId {
    format!("m-{number:05x}").parse().expect("a host's name")
}

fn worker(number: usize, host: Host) -> Incarnation {
    format!("i-{number:06x}{:04x}", host.lives).parse().expect("a worker's name")
}

impl Mix {
    pub(super) fn new(open: usize, rate: f64) -> Mix {
        let first = |number: usize| if number < HOSTS / 2 { 0 } else { 1 + number % (POOLS - 1) };
        let hosts = (0..HOSTS).map(|number| Host { pool: first(number), lives: 0 });
        Mix {
            revision: 100,
            answers: 0,
            rate,
            due: 0.0,
            next_job: 0,
            open: VecDeque::new(),
            most_open: open,
            hosts: hosts.collect(),
            moving: VecDeque::new(),
        }
    }

    /// The newest revision.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// What is there at first.
    pub(super) fn begin(&mut self) -> Vec<Group> {
        let mut rosters = Vec::new();
        let mut workers = Vec::new();
        for number in 0..HOSTS {
            rosters.push(self.rostered(number, true));
            workers.push(self.listed(number, true));
        }
        let mut jobs = Vec::new();
        for _ in 0..self.most_open {
            jobs.extend(self.hand_in());
        }
        vec![(Kind::Roster, rosters), (Kind::Worker, workers), (Kind::Job, jobs)]
    }

    /// What the next answer tells of.
    pub(super) fn answer(&mut self) -> Vec<Group> {
        self.answers += 1;
        let mut groups = self.jobs();
        if self.answers % TURN == 1 {
            groups.push((Kind::Mark, self.turn()));
        }
        groups.extend(self.moves());
        if self.answers.is_multiple_of(USAGE) {
            let usages = (0..POOLS).map(|number| self.usage(number)).collect::<Vec<_>>();
            let usages = usages.into_iter().map(|(key, value)| self.write(key, value));
            groups.push((Kind::Usage, usages.collect()));
        }
        if self.answers.is_multiple_of(QUEUED) {
            let counts = BTreeMap::from([("q0".to_owned(), self.answers), ("q1".to_owned(), 0)]);
            let key = |number| keys::queued(&keys::pool(&pool(number)));
            let words = (0..POOLS).map(|number| self.write(key(number), bytes(&counts)));
            groups.push((Kind::Queued, words.collect()));
        }
        groups
    }

    fn write(&mut self, key: String, value: impl Into<Vec<u8>>) -> Change {
        self.revision += 1;
        Change { key, revision: Revision(self.revision), value: Some(value.into().into()) }
    }

    fn remove(&mut self, key: String) -> Change {
        self.revision += 1;
        Change { key, revision: Revision(self.revision), value: None }
    }

    fn hand_in(&mut self) -> Vec<Change> {
        self.next_job += 1;
        let number = self.next_job;
        let (id, pool) = (JobId::from_number(number), job_pool(number));
        self.open.push_back((number, 0));
        let name = self.write(keys::id(id), pool.to_string());
        let record = self.write(keys::job(&pool, id), bytes(&record(pool)));
        vec![name, record]
    }

    /// Jobs come, begin, go on and end; those that ended before are removed.
    fn jobs(&mut self) -> Vec<Group> {
        let (mut handed, mut told, mut removed) = (Vec::new(), Vec::new(), Vec::new());
        self.due += self.rate;
        while 1.0 <= self.due {
            self.due -= 1.0;
            handed.extend(self.hand_in());
            for _ in 0..WRITES {
                let Some((number, written)) = self.open.pop_front() else {
                    continue;
                };
                let (id, written) = (JobId::from_number(number), written + 1);
                told.push(self.write(keys::progress(id), bytes(&progress(written))));
                if written < WRITES {
                    self.open.push_back((number, written));
                } else {
                    removed.push(self.remove(keys::job(&job_pool(number), id)));
                }
            }
        }
        vec![(Kind::Job, handed), (Kind::Progress, told), (Kind::Removal, removed)]
    }

    /// Hosts are marked to change pools, all at once.
    fn turn(&mut self) -> Vec<Change> {
        let to = pool((self.answers / TURN + 1) % POOLS);
        let marks = (0..MOVED).map(|place| {
            let number = (self.answers / TURN * MOVED + place) % HOSTS;
            let change =
                self.write(keys::drain_mark(&host(number)), bytes(&HostAction::Move(to.clone())));
            self.moving.push_back((number, self.revision));
            change
        });
        marks.collect()
    }

    /// Some hosts are empty, are called, come to their pool and are no longer marked.
    fn moves(&mut self) -> Vec<Group> {
        let (mut empties, mut called, mut unmarked) = (Vec::new(), Vec::new(), Vec::new());
        let (mut rosters, mut workers) = (Vec::new(), Vec::new());
        for _ in 0..MOVED_AT_ONCE.min(self.moving.len()) {
            let Some((number, mark)) = self.moving.pop_front() else {
                continue;
            };
            let (id, before) = (host(number), self.hosts[number]);
            let empty = DrainedRecord { worker: worker(number, before), mark: Revision(mark) };
            empties.push(self.write(keys::drained(&id), bytes(&empty)));
            rosters.push(self.rostered(number, false));
            let record = HostCallRecord { token: 1, at: Time::now() };
            called.push(self.write(keys::called(&id), bytes(&record)));
            workers.push(self.listed(number, false));
            let turn = (self.answers - 1) / TURN + 1;
            self.hosts[number] = Host { pool: turn % POOLS, lives: before.lives + 1 };
            workers.push(self.listed(number, true));
            rosters.push(self.rostered(number, true));
            let away = keys::silent_workers(&keys::pool(&pool(turn % POOLS)));
            rosters.push(self.write(away, bytes(&SilentWorkers::default())));
            unmarked.push(self.remove(keys::drain_mark(&id)));
            unmarked.push(self.remove(keys::drained(&id)));
        }
        vec![
            (Kind::Emptied, empties),
            (Kind::Called, called),
            (Kind::Worker, workers),
            (Kind::Roster, rosters),
            (Kind::Unmark, unmarked),
        ]
    }

    fn rostered(&mut self, number: usize, there: bool) -> Change {
        let host = self.hosts[number];
        let key = keys::roster(&keys::pool(&pool(host.pool)), &worker(number, host));
        match there {
            true => self.write(key, bytes(&report(number, host))),
            false => self.remove(key),
        }
    }

    /// A worker's own entry, as the platform writes it.
    fn listed(&mut self, number: usize, there: bool) -> Change {
        let at = self.hosts[number];
        let key = format!("{WORKER_PREFIX}{}", worker(number, at));
        if !there {
            return self.remove(key);
        }
        let report = report(number, at);
        let value = json!({
            "service": report.pool, "address": report.address, "zone": report.zone,
            "state": "ready", "machine": report.host, "labels": report.labels,
            "capacity": { "cpu": 32_000, "mem_mb": 131_072, "gpu": 0 },
            "cold_remaining_ms": 0, "sequence": self.answers,
        });
        self.write(key, value.to_string())
    }

    fn usage(&self, number: usize) -> (String, Vec<u8>) {
        let hosts = (0..HOSTS).filter(|host| self.hosts[*host].pool == number);
        let mut usage = HostUsage { idle: BTreeSet::new(), light: Vec::new(), busy: Vec::new() };
        for (place, number) in hosts.enumerate() {
            match place % 3 {
                0 => _ = usage.idle.insert(host(number)),
                1 => usage.light.push(host(number)),
                _ => usage.busy.push(host(number)),
            }
        }
        (keys::usage(&keys::pool(&pool(number))), bytes(&usage))
    }
}

fn job_pool(number: u64) -> PoolId {
    pool(number as usize % POOLS)
}

fn record(pool: PoolId) -> JobRecord {
    let need = TaskResources { cpu: Millicores(4_500), memory: Megabytes(16_000), gpus: 0 };
    let step = |after: Vec<u32>| Step {
        count: TASKS / 2,
        need,
        estimate_ms: 800,
        after,
        image: "image-of-eight-tasks".to_owned(),
        ..Step::default()
    };
    JobRecord {
        queue: "queue".to_owned(),
        pool,
        payload: "p".repeat(400).into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        repeats: 0,
        first: Time::default(),
        every_ms: 0,
        priority: 0,
        max_attempts: 3,
        stretch_percent: 160,
        target_ms: 600,
        advice: None,
        accepted: Time::now(),
    }
}

/// The progress of a job after so many writes.
fn progress(written: usize) -> Progress {
    if written == WRITES {
        let state = JobState::Succeeded;
        return Progress { state, ended: Time::now(), steps: BTreeMap::new() };
    }
    let done = TASKS / 2 * written as u32 / WRITES as u32;
    let note = TaskProgress { run: 1_000_001, ..TaskProgress::default() };
    let note = StepProgress {
        done: (0..done).collect(),
        tasks: (done..TASKS / 2).map(|index| (index, note.clone())).collect(),
    };
    let steps = BTreeMap::from([("0.0".to_owned(), note.clone()), ("0.1".to_owned(), note)]);
    Progress { state: JobState::Running, ended: Time::default(), steps }
}

fn report(number: usize, at: Host) -> WorkerReport {
    WorkerReport {
        id: worker(number, at),
        host: host(number),
        pool: pool(at.pool),
        address: format!("10.{}.{}.{}:8080", number / 250, number % 250, at.lives % 250),
        zone: "hall-a".parse().expect("a zone's name"),
        capacity: TaskResources { cpu: Millicores(32_000), memory: Megabytes(131_072), gpus: 0 },
        labels: vec!["a".to_owned(), format!("r{}", number / 12)],
        leaves_ms: None,
    }
}

/// An answer of the store's watch that tells of changes.
pub(super) fn body(changes: &[Change], at: u64) -> Vec<u8> {
    let events = changes.iter().map(|change| match &change.value {
        Some(value) => json!({
            "private_key": change.key, "revision": change.revision.0, "made": change.revision.0,
            "lease": 0, "value": BASE64_STANDARD.encode(value),
        }),
        None => {
            json!({ "private_key": change.key, "revision": change.revision.0, "gone": true })
        }
    });
    let events: Vec<serde_json::Value> = events.collect();
    json!({ "events": events, "at": at }).to_string().into_bytes()
}
