//! Changes like those of a large deployment, as a watch returns them: five pools, 1,100 hosts, jobs
//! of a dozen tasks, and demand peaks at which hundreds of hosts change pools.

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
        control_loop::json as bytes,
        keys,
        view::{DrainedRecord, HostCallRecord},
    },
};

const POOLS: usize = 5;
const HOSTS: usize = 1_100;

/// Tasks of a job, in two steps.
const TASKS_PER_JOB: u32 = 12;

/// Writes of a job's progress, the last of which records its end.
const PROGRESS_WRITES: usize = 5;

/// Answers between two demand peaks, hosts that change pools at each peak, and how many of these
/// complete their move in one answer.
const PEAK_INTERVAL: usize = 50;
const MOVED_PER_PEAK: usize = 600;
const MOVED_PER_ANSWER: usize = 12;

/// Answers between two reports on how hosts are used, and between two on how many jobs wait.
const USAGE_INTERVAL: usize = 3;
const WAITING_INTERVAL: usize = 5;

/// Kind of a change.
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

/// A host: its pool, and how many times it has changed pools.
#[derive(Clone, Copy)]
struct Host {
    pool: usize,
    move_count: u32,
}

/// Generates the changes of one answer after the other.
pub(super) struct Mix {
    revision: u64,
    answers: usize,
    /// Jobs submitted with each answer.
    jobs_per_answer: f64,
    due_jobs: f64,
    next_job: u64,
    /// Open jobs, with the number of writes of the progress of each.
    open: VecDeque<(u64, usize)>,
    initial_open: usize,
    hosts: Vec<Host>,
    /// Marked hosts, with the revisions of their marks.
    moving: VecDeque<(usize, u64)>,
}

pub(super) fn pool(number: usize) -> PoolId {
    format!("pool{number}").parse().expect("pool name is valid")
}

fn host(number: usize) -> HostId {
    format!("m-{number:05x}").parse().expect("host name is valid")
}

fn worker(number: usize, host: Host) -> Incarnation {
    format!("i-{number:06x}{:04x}", host.move_count).parse().expect("worker name is valid")
}

impl Mix {
    pub(super) fn new(open: usize, jobs_per_answer: f64) -> Mix {
        let first = |number: usize| if number < HOSTS / 2 { 0 } else { 1 + number % (POOLS - 1) };
        let hosts = (0..HOSTS).map(|number| Host { pool: first(number), move_count: 0 });
        Mix {
            revision: 100,
            answers: 0,
            jobs_per_answer,
            due_jobs: 0.0,
            next_job: 0,
            open: VecDeque::new(),
            initial_open: open,
            hosts: hosts.collect(),
            moving: VecDeque::new(),
        }
    }

    /// The newest revision.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// The records at the start.
    pub(super) fn initial_records(&mut self) -> Vec<Group> {
        let mut rosters = Vec::new();
        let mut workers = Vec::new();
        for number in 0..HOSTS {
            rosters.push(self.roster_change(number, true));
            workers.push(self.worker_entry_change(number, true));
        }
        let mut jobs = Vec::new();
        for _ in 0..self.initial_open {
            jobs.extend(self.submit_job());
        }
        vec![(Kind::Roster, rosters), (Kind::Worker, workers), (Kind::Job, jobs)]
    }

    /// The changes of the next answer.
    pub(super) fn next_answer(&mut self) -> Vec<Group> {
        self.answers += 1;
        let mut groups = self.job_changes();
        if self.answers % PEAK_INTERVAL == 1 {
            groups.push((Kind::Mark, self.mark_hosts()));
        }
        groups.extend(self.move_hosts());
        if self.answers.is_multiple_of(USAGE_INTERVAL) {
            let usages = (0..POOLS).map(|number| self.usage_report(number)).collect::<Vec<_>>();
            let usages = usages.into_iter().map(|(key, value)| self.write(key, value));
            groups.push((Kind::Usage, usages.collect()));
        }
        if self.answers.is_multiple_of(WAITING_INTERVAL) {
            let counts = BTreeMap::from([("q0".to_owned(), self.answers), ("q1".to_owned(), 0)]);
            let key = |number| keys::queued(&keys::pool(&pool(number)));
            let reports = (0..POOLS).map(|number| self.write(key(number), bytes(&counts)));
            groups.push((Kind::Queued, reports.collect()));
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

    fn submit_job(&mut self) -> Vec<Change> {
        self.next_job += 1;
        let number = self.next_job;
        let (id, pool) = (JobId::from_number(number), job_pool(number));
        self.open.push_back((number, 0));
        let name = self.write(keys::id(id), pool.to_string());
        let record = self.write(keys::job(&pool, id), bytes(&record(pool)));
        vec![name, record]
    }

    /// Submits jobs, advances and ends open ones, and removes those that have ended.
    fn job_changes(&mut self) -> Vec<Group> {
        let (mut submitted, mut progressed, mut removed) = (Vec::new(), Vec::new(), Vec::new());
        self.due_jobs += self.jobs_per_answer;
        while 1.0 <= self.due_jobs {
            self.due_jobs -= 1.0;
            submitted.extend(self.submit_job());
            for _ in 0..PROGRESS_WRITES {
                let Some((number, written)) = self.open.pop_front() else {
                    continue;
                };
                let (id, written) = (JobId::from_number(number), written + 1);
                progressed.push(self.write(keys::progress(id), bytes(&progress(written))));
                if written < PROGRESS_WRITES {
                    self.open.push_back((number, written));
                } else {
                    removed.push(self.remove(keys::job(&job_pool(number), id)));
                }
            }
        }
        vec![(Kind::Job, submitted), (Kind::Progress, progressed), (Kind::Removal, removed)]
    }

    /// Marks the hosts that change pools at a demand peak, all at once.
    fn mark_hosts(&mut self) -> Vec<Change> {
        let to = pool((self.answers / PEAK_INTERVAL + 1) % POOLS);
        let marks = (0..MOVED_PER_PEAK).map(|index| {
            let number = (self.answers / PEAK_INTERVAL * MOVED_PER_PEAK + index) % HOSTS;
            let change =
                self.write(keys::drain_mark(&host(number)), bytes(&HostAction::Move(to.clone())));
            self.moving.push_back((number, self.revision));
            change
        });
        marks.collect()
    }

    /// Completes the moves of some marked hosts: they are drained, called, join their pool and lose
    /// their mark.
    fn move_hosts(&mut self) -> Vec<Group> {
        let (mut drained, mut called, mut unmarked) = (Vec::new(), Vec::new(), Vec::new());
        let (mut rosters, mut workers) = (Vec::new(), Vec::new());
        for _ in 0..MOVED_PER_ANSWER.min(self.moving.len()) {
            let Some((number, mark)) = self.moving.pop_front() else {
                continue;
            };
            let (id, before) = (host(number), self.hosts[number]);
            let drained_record =
                DrainedRecord { worker: worker(number, before), mark: Revision(mark) };
            drained.push(self.write(keys::drained(&id), bytes(&drained_record)));
            rosters.push(self.roster_change(number, false));
            let record = HostCallRecord { token: 1, at: Time::now() };
            called.push(self.write(keys::called(&id), bytes(&record)));
            workers.push(self.worker_entry_change(number, false));
            let peak = (self.answers - 1) / PEAK_INTERVAL + 1;
            self.hosts[number] = Host { pool: peak % POOLS, move_count: before.move_count + 1 };
            workers.push(self.worker_entry_change(number, true));
            rosters.push(self.roster_change(number, true));
            let silent_workers = keys::silent_workers(&keys::pool(&pool(peak % POOLS)));
            rosters.push(self.write(silent_workers, bytes(&SilentWorkers::default())));
            unmarked.push(self.remove(keys::drain_mark(&id)));
            unmarked.push(self.remove(keys::drained(&id)));
        }
        vec![
            (Kind::Emptied, drained),
            (Kind::Called, called),
            (Kind::Worker, workers),
            (Kind::Roster, rosters),
            (Kind::Unmark, unmarked),
        ]
    }

    fn roster_change(&mut self, number: usize, present: bool) -> Change {
        let host = self.hosts[number];
        let key = keys::roster(&keys::pool(&pool(host.pool)), &worker(number, host));
        match present {
            true => self.write(key, bytes(&report(number, host))),
            false => self.remove(key),
        }
    }

    /// A change of a worker's own entry, as the platform writes it.
    fn worker_entry_change(&mut self, number: usize, present: bool) -> Change {
        let at = self.hosts[number];
        let key = format!("{WORKER_PREFIX}{}", worker(number, at));
        if !present {
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

    fn usage_report(&self, number: usize) -> (String, Vec<u8>) {
        let hosts = (0..HOSTS).filter(|host| self.hosts[*host].pool == number);
        let mut usage = HostUsage { idle: BTreeSet::new(), light: Vec::new(), busy: Vec::new() };
        for (index, number) in hosts.enumerate() {
            match index % 3 {
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
        count: TASKS_PER_JOB / 2,
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
        account: None,
        priority: 0,
        max_attempts: 3,
        stretch_percent: 160,
        target_ms: 600,
        advice: None,
        accepted: Time::now(),
    }
}

/// The progress of a job after this many writes.
fn progress(written: usize) -> Progress {
    if written == PROGRESS_WRITES {
        let state = JobState::Succeeded;
        return Progress { state, ended: Time::now(), steps: BTreeMap::new() };
    }
    let done = TASKS_PER_JOB / 2 * written as u32 / PROGRESS_WRITES as u32;
    let task_progress = TaskProgress { run: 1_000_001, ..TaskProgress::default() };
    let step_progress = StepProgress {
        done: (0..done).collect(),
        tasks: (done..TASKS_PER_JOB / 2).map(|index| (index, task_progress.clone())).collect(),
    };
    let steps = BTreeMap::from([
        ("0.0".to_owned(), step_progress.clone()),
        ("0.1".to_owned(), step_progress),
    ]);
    Progress { state: JobState::Running, ended: Time::default(), steps }
}

fn report(number: usize, at: Host) -> WorkerReport {
    WorkerReport {
        id: worker(number, at),
        host: host(number),
        pool: pool(at.pool),
        address: format!("10.{}.{}.{}:8080", number / 250, number % 250, at.move_count % 250),
        zone: "hall-a".parse().expect("zone name is valid"),
        capacity: TaskResources { cpu: Millicores(32_000), memory: Megabytes(131_072), gpus: 0 },
        labels: vec!["a".to_owned(), format!("r{}", number / 12)],
        leaves_ms: None,
        cold_ms: 0,
    }
}

/// An answer of the store's watch with these changes.
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
