//! Tests of changes of owners in pools of hundreds of workers, some of which are silent: those of a
//! zone, behind a link that is cut, or on hosts that have departed.

use std::collections::{BTreeMap, BTreeSet};

use super::{Harness, TOKEN, id, present, report, step, stored, worker_id};
use crate::{
    jobs::{
        event::Event,
        owner::{Owner, UNCONFIRMED_ADDED},
        roster::SilentWorkers,
    },
    model::{
        id::Incarnation,
        job::{JobId, Step, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Steady},
        worker::WorkerReport,
    },
};

const TICK_MS: u64 = 100;
/// The store's part in a change of owners, in milliseconds.
const CHANGE_MS: u64 = 200;
/// How old the record of an owner may be that ends without notice, in milliseconds.
const MAX_RECORD_AGE_MS: u64 = 1_000;
/// The largest value that the platform's store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

type Runs = BTreeMap<Incarnation, Vec<(TaskId, u32)>>;

fn name(number: usize) -> String {
    format!("w{number}")
}

fn names(numbers: std::ops::Range<usize>) -> Vec<String> {
    numbers.map(name).collect()
}

/// Workers with 32 cores each.
fn reports(count: usize) -> Vec<WorkerReport> {
    let capacity = TaskResources { cpu: Millicores(32_000), memory: Megabytes(131_072), gpus: 0 };
    let large = |number| WorkerReport { capacity, ..report(&name(number), &format!("h{number}")) };
    (0..count).map(large).collect()
}

/// As many tasks for each worker as fit on 30 cores.
fn wide_step(workers: usize, tasks_each: usize) -> Step {
    let cpu = Millicores(30_000 / tasks_each as u32);
    let one = step((workers * tasks_each) as u32);
    Step { need: TaskResources { cpu, ..one.need }, ..one }
}

/// An owner of workers, each of which runs some tasks and has 2 cores left.
fn busy_owner(workers: usize, tasks_each: usize) -> (Harness, Runs) {
    let mut harness = Harness::new(0);
    reports(workers).into_iter().for_each(|report| harness.deliver(Event::Worker(report)));
    harness.work();
    (0..workers).for_each(|number| harness.poll(&name(number), vec![], vec![]));
    while harness.persist_roster().is_some() {}
    let tasks = workers * tasks_each;
    harness.deliver(Event::Job(stored(1, vec![wide_step(workers, tasks_each)], 110)));
    harness.work();
    let mut runs = Runs::new();
    for (task, run, worker) in harness.take_starts() {
        harness.confirm_start(task, run, &worker);
        runs.entry(worker).or_default().push((task, run));
    }
    assert_eq!(runs.values().map(Vec::len).sum::<usize>(), tasks);
    (harness, runs)
}

/// An owner that follows `earlier` others and takes over with what the store has.
fn next_owner(earlier: u32, workers: usize, persisted: &SilentWorkers, now: u64) -> Harness {
    let owner = Owner::new(TOKEN + u64::from(earlier), earlier, Steady::from_millis(now));
    let mut harness = Harness { owner, now, ..Harness::new(0) };
    let at = harness.at();
    harness.owner.inherit(reports(workers), persisted, at, &mut harness.effects);
    reports(workers).into_iter().for_each(|report| harness.deliver(Event::Worker(report)));
    harness
}

/// A worker answers a poll with its runs.
fn answer(harness: &mut Harness, worker: &str, runs: &Runs) {
    let runs = runs.get(&worker_id(worker)).into_iter().flatten();
    harness.poll(worker, runs.map(|(task, run)| present(*task, *run, 30)).collect(), vec![]);
}

/// The jobs of which tasks were started.
fn started_jobs(harness: &mut Harness) -> BTreeSet<JobId> {
    harness.take_starts().iter().map(|(task, ..)| task.of.job).collect()
}

/// Guards against a pool without a handover record at a demand peak: with more than 8,000 tasks
/// that may run, the next owner held back all waiting tasks for 8.9 s.
#[test]
fn a_pool_with_thousands_of_running_tasks_hands_over_which_may_run() {
    const WORKERS: usize = 900;
    const TASKS_EACH: usize = 12;
    let (earlier, runs) = busy_owner(WORKERS, TASKS_EACH);
    let record = earlier.owner.handover_record(earlier.at()).expect("all that may run is known");
    let tasks = record.handover.as_ref().map(|handover| handover.len());
    assert_eq!(tasks, Some(WORKERS * TASKS_EACH));
    let bytes = serde_json::to_vec(&record).unwrap();
    assert!(bytes.len() < MAX_VALUE_BYTES, "{} bytes", bytes.len());
    let read: SilentWorkers = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(read, record);
    let mut harness = next_owner(1, WORKERS, &read, 0);
    harness.deliver(Event::Job(stored(1, vec![wide_step(WORKERS, TASKS_EACH)], 50)));
    harness.deliver(Event::Job(stored(2, vec![step(3)], 51)));
    harness.work();
    answer(&mut harness, "w0", &runs);
    harness.work();
    assert_eq!(started_jobs(&mut harness), [id(2)].into());
}

/// Guards against plans that copy all handed-over tasks: until the last worker was polled, each of
/// some hundred plans in a second copied all 4,800.
#[test]
fn a_plan_copies_no_handed_over_tasks() {
    const WORKERS: usize = 600;
    let (earlier, _) = busy_owner(WORKERS, 8);
    let record = earlier.owner.handover_record(earlier.at()).expect("all that may run is known");
    let mut harness = next_owner(1, WORKERS, &record, 0);
    harness.deliver(Event::Job(stored(1, vec![wide_step(WORKERS, 8)], 50)));
    harness.work();
    UNCONFIRMED_ADDED.set(0);
    harness.work();
    assert_eq!(UNCONFIRMED_ADDED.take(), 0);
}

/// A pool of which a part is silent, under one owner after the other.
struct Chain {
    harness: Harness,
    workers: usize,
    silent: usize,
    persisted: SilentWorkers,
    owners: u32,
}

impl Chain {
    /// The first owner of the test takes over from one that has left no record.
    fn new(workers: usize, silent: usize) -> Chain {
        let harness = Harness::new(0);
        let persisted = SilentWorkers::default();
        let mut chain = Chain { harness, workers, silent, persisted, owners: 0 };
        chain.replace_owner();
        chain
    }

    /// The owner ends without notice, and the next one takes over.
    fn replace_owner(&mut self) {
        self.owners += 1;
        let now = self.harness.now + if self.owners == 1 { 0 } else { CHANGE_MS };
        self.harness = next_owner(self.owners, self.workers, &self.persisted, now);
        self.harness.deliver(Event::Job(stored(1, vec![step(9)], 50)));
    }

    /// Lets time pass. Returns whether the tasks were started.
    fn tick(&mut self) -> bool {
        let harness = &mut self.harness;
        harness.now += TICK_MS;
        harness.work();
        let responding = self.workers - self.silent;
        names(0..responding).iter().for_each(|worker| harness.poll(worker, vec![], vec![]));
        names(responding..self.workers).iter().for_each(|worker| harness.poll_unanswered(worker));
        if let Some(write) = harness.persist_roster() {
            self.persisted = write.silent_workers;
        }
        harness.work();
        !harness.take_starts().is_empty()
    }

    fn wait(&mut self, millis: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            assert!(!self.tick(), "a silent worker may run the tasks");
        }
    }

    /// When the tasks are started, in milliseconds.
    fn first_start(&mut self) -> u64 {
        while !self.tick() {
            assert!(self.harness.now < 60_000, "nothing is started");
        }
        self.harness.now
    }
}

/// Guards against a wait that begins anew with each owner while more than 64 workers are silent, as
/// after the loss of a zone.
#[test]
fn the_wait_for_a_silent_zone_goes_on_under_the_next_owners() {
    for (workers, silent) in [(300, 65), (600, 100), (900, 150)] {
        let single = Chain::new(workers, silent).first_start();
        let mut chain = Chain::new(workers, silent);
        let times = [4_000, 4_000];
        for millis in times {
            chain.wait(millis);
            chain.replace_owner();
        }
        let started = chain.first_start();
        let changes = times.len() as u64;
        let latest = single + changes * (CHANGE_MS + MAX_RECORD_AGE_MS + TICK_MS);
        let allowed = single..=latest;
        assert!(allowed.contains(&started), "{started} ms, {silent} of {workers} silent");
    }
}

/// After the takeover of a large pool hundreds of workers answer late, one after the other. A record
/// of them would have to be written for each before it gets work.
#[test]
fn workers_that_answer_late_one_after_another_get_work_without_a_write() {
    const WORKERS: usize = 600;
    let mut harness = next_owner(1, WORKERS, &SilentWorkers::default(), 0);
    harness.deliver(Event::Job(stored(2, vec![step(32 * WORKERS as u32)], TOKEN + 10)));
    let mut answered = 0;
    while answered < WORKERS - 64 {
        harness.now += TICK_MS;
        harness.work();
        let late = if 1_000 < harness.now { 40 } else { 0 };
        let now_answering = answered + late;
        names(0..now_answering).iter().for_each(|worker| harness.poll(worker, vec![], vec![]));
        names(now_answering..WORKERS).iter().for_each(|worker| harness.poll_unanswered(worker));
        answered = now_answering;
        if answered < WORKERS - 64 {
            assert_eq!(harness.owner.roster_note(9), None, "at {} ms", harness.now);
        }
        harness.work();
        let workers: BTreeSet<Incarnation> =
            harness.take_starts().into_iter().map(|(.., worker)| worker).collect();
        assert_eq!(workers.len(), late, "at {} ms", harness.now);
    }
}

/// A link that was cut works again: hundreds of recorded workers answer within a moment.
#[test]
fn recorded_workers_that_answer_together_get_work_by_one_write() {
    const WORKERS: usize = 600;
    const SILENT: usize = 300;
    let mut chain = Chain::new(WORKERS, SILENT);
    chain.wait(5_000);
    let recorded = chain.persisted.expiring.as_ref().map(|expiring| expiring.len());
    assert_eq!(recorded, Some(SILENT));
    let bytes = serde_json::to_vec(&chain.persisted).unwrap().len();
    assert!(bytes <= SILENT * 45, "{bytes} bytes");
    let harness = &mut chain.harness;
    harness.now += TICK_MS;
    names(0..WORKERS).iter().for_each(|worker| harness.poll(worker, vec![], vec![]));
    let write = harness.persist_roster().expect("the workers are to leave the record");
    assert_eq!(write.silent_workers.expiring, None);
    assert_eq!(harness.owner.roster_note(9), None);
    harness.deliver(Event::Job(stored(2, vec![step(32 * WORKERS as u32)], TOKEN + 10)));
    harness.work();
    let workers: BTreeSet<Incarnation> =
        harness.take_starts().into_iter().map(|(.., worker)| worker).collect();
    assert_eq!(workers.len(), WORKERS);
}

/// Guards against one silent worker of hundreds that holds back tasks which may run twice.
#[test]
fn speculative_tasks_do_not_wait_for_a_silent_worker() {
    const WORKERS: usize = 600;
    let mut harness = next_owner(1, WORKERS, &SilentWorkers::default(), 0);
    harness.deliver(Event::Job(stored(1, vec![step(5)], 50)));
    let speculative = Step { speculative: true, ..step(5) };
    harness.deliver(Event::Job(stored(2, vec![speculative], 51)));
    let mut started = BTreeMap::new();
    for unanswered in 1..=3 {
        harness.now += TICK_MS;
        harness.work();
        names(1..WORKERS).iter().for_each(|worker| harness.poll(worker, vec![], vec![]));
        harness.poll_unanswered("w0");
        while harness.persist_roster().is_some() {}
        harness.work();
        started.insert(unanswered, started_jobs(&mut harness));
    }
    assert_eq!(started[&1], BTreeSet::new(), "a single lost poll does not show a silent worker");
    assert_eq!(started[&2], [id(2)].into(), "the silent worker may run the tasks of job 1");
}
