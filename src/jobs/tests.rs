//! Tests of a pool's owner, driven event by event.

mod accounts;
mod acknowledgements;
mod admission;
mod answer_cost;
mod balance;
mod breakdown;
mod cold_workers;
mod crashes;
mod delegates;
mod fleet;
mod flood;
mod foreign_entries;
mod fuzz;
mod handover;
mod incarnations;
mod large_takeovers;
mod late_owner;
mod late_starts;
mod late_timers;
mod lateness;
mod outage;
mod overload;
mod owner_chains;
mod plan_cost;
mod polls;
mod random_loss;
mod reach;
mod refusals;
mod repeated_waits;
mod resizing;
mod restart_counts;
mod roster;
mod spread;
mod truncated_ends;
mod unlisted;
mod urgency;
mod waiting_jobs;
mod weights;
mod zone_spread;
mod zones;

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    jobs::{
        event::{Effect, Event, StoredJob},
        owner::Owner,
        roster::{RosterWrite, SilentWorkers},
        save_queue::SaveQueue,
        worker::WORKER_LEASE_MS,
    },
    model::{
        id::Incarnation,
        job::{JobId, JobState, Progress, Step, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Now, Revision, Steady, Time},
        worker::{
            EndedRun, OrderResult, PollResponse, PresentRun, Refusal, RunOutcome, WorkerReport,
        },
    },
    tests::sample,
};

const TOKEN: u64 = 100;

/// A batch size that no test exceeds.
const BATCH_LIMIT: usize = 29;

/// An owner, a simulated clock and the effects that the owner has requested.
struct Harness {
    owner: Owner,
    now: u64,
    clock: BTreeMap<Incarnation, u64>,
    effects: Vec<Effect>,
}

fn id(number: u64) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

fn worker_id(name: &str) -> Incarnation {
    name.parse().unwrap()
}

fn report(name: &str, host: &str) -> WorkerReport {
    WorkerReport {
        id: worker_id(name),
        host: host.parse().unwrap(),
        pool: "pool".parse().unwrap(),
        address: format!("{host}:80"),
        zone: "hall-a".parse().unwrap(),
        capacity: TaskResources { cpu: Millicores(4_000), memory: Megabytes(8_000), gpus: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        leaves_ms: None,
        cold_ms: 0,
    }
}

fn step(count: u32) -> Step {
    let need = TaskResources { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
    Step { count, need, estimate_ms: 1_000, ..Step::default() }
}

fn stored(number: u64, steps: Vec<Step>, revision: u64) -> StoredJob {
    let record = sample::job_record(steps);
    StoredJob {
        id: id(number),
        record: Arc::new(record),
        revision: Revision(revision),
        progress: None,
        progress_revision: Revision(0),
        cancelled: false,
    }
}

impl Harness {
    fn new(earlier: u32) -> Harness {
        let owner = Owner::new(TOKEN, earlier, Steady::from_millis(0));
        Harness { owner, now: 0, clock: BTreeMap::new(), effects: Vec::new() }
    }

    fn at(&self) -> Now {
        let wall = Time::from_millis(1_000_000 + self.now);
        Now { steady: Steady::from_millis(self.now), wall }
    }

    fn deliver(&mut self, event: Event) {
        let now = self.at();
        self.owner.handle(event, now, &mut self.effects);
    }

    fn work(&mut self) {
        let now = self.at();
        self.owner.set_confirmed(now.steady);
        self.owner.tick(now, &mut self.effects);
    }

    /// The owner plans, persists what it announces, and goes on.
    fn plan(&mut self) {
        self.work();
        self.persist_roster();
        self.work();
    }

    /// Connects a worker: it answers its first poll with the runs present there.
    fn connect(&mut self, name: &str, present: Vec<PresentRun>) {
        self.work();
        self.poll(name, present, vec![]);
        self.persist_roster();
    }

    /// Persists the roster. Returns what was written, if there was anything to write.
    fn persist_roster(&mut self) -> Option<RosterWrite> {
        let write = self.owner.roster_note(BATCH_LIMIT)?;
        self.roster_persisted(&write);
        Some(write)
    }

    /// Reports to the owner that a write of the roster succeeded.
    fn roster_persisted(&mut self, write: &RosterWrite) {
        self.owner.note_roster_written(write, Revision(1_000 + self.now));
    }

    /// An owner that starts from the roster that an earlier owner persisted.
    fn inheriting(workers: &[(&str, &str)], silent_workers: SilentWorkers) -> Harness {
        let mut harness = Harness::new(1);
        let workers = workers.iter().map(|(name, host)| report(name, host)).collect();
        let now = harness.at();
        harness.owner.inherit(workers, &silent_workers, now, &mut harness.effects);
        harness
    }

    /// A poll of a worker succeeds with these runs and ends.
    fn poll(&mut self, name: &str, present: Vec<PresentRun>, ended: Vec<EndedRun>) {
        let clock_ms = 1_000 + self.now;
        self.clock.insert(worker_id(name), clock_ms);
        let response = PollResponse { born: None, clock_ms, present, ended };
        let sent = Steady::from_millis(self.now);
        self.deliver(Event::Polled {
            worker: worker_id(name),
            sent,
            end: OrderResult::Done(response),
        });
    }

    /// A poll of a worker gets no answer.
    fn poll_unanswered(&mut self, name: &str) {
        let (worker, sent) = (worker_id(name), Steady::from_millis(self.now));
        self.deliver(Event::Polled { worker, sent, end: OrderResult::Unknown });
    }

    /// Drains the effects and returns the starts among them, with their workers.
    fn take_starts(&mut self) -> Vec<(TaskId, u32, Incarnation)> {
        let effects = std::mem::take(&mut self.effects);
        let starts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Start { to, start } => Some((start.task, start.run, to.worker)),
            _ => None,
        });
        starts.collect()
    }

    fn take_stops(&mut self) -> Vec<TaskId> {
        let effects = std::mem::take(&mut self.effects);
        let stops = effects.into_iter().filter_map(|effect| match effect {
            Effect::Stop { task, .. } => Some(task),
            _ => None,
        });
        stops.collect()
    }

    fn confirm_start(&mut self, task: TaskId, run: u32, worker: &Incarnation) {
        let end = OrderResult::Done(1_000 + self.now);
        self.deliver(Event::Started { worker: worker.clone(), task, run, end });
    }

    /// Persists all pending progress and returns it.
    fn persist_progress(&mut self) -> Vec<(JobId, Progress)> {
        let writes = self.owner.take_saves(100);
        self.owner.note_saved(&writes, Revision(200));
        writes
            .into_iter()
            .map(|write| (write.job, serde_json::from_slice(&write.value).unwrap()))
            .collect()
    }
}

fn done(number: u64, task: TaskId, run: u32) -> EndedRun {
    EndedRun { number, task, run, how: RunOutcome::Done, checkpoint: String::new() }
}

fn present(task: TaskId, run: u32, percent: u32) -> PresentRun {
    PresentRun { task, run, checkpoint: String::new(), percent, gauge: 0 }
}

fn one_worker() -> Harness {
    let mut harness = Harness::new(0);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.connect("w1", vec![]);
    harness
}

#[test]
fn a_finished_job_is_persisted_as_succeeded() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    let (task, run, worker) = starts[0].clone();
    assert_eq!(run, 1);
    harness.confirm_start(task, run, &worker);
    harness.now += 500;
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    let written = harness.persist_progress();
    assert_eq!(written.len(), 1);
    assert_eq!(written[0].1.state, JobState::Succeeded);
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.now += 500;
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    let acknowledged = |harness: &mut Harness| {
        harness.now += 1_100;
        harness.work();
        let effects = std::mem::take(&mut harness.effects);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Poll { acknowledged, .. } => Some(acknowledged),
            _ => None,
        })
    };
    assert_eq!(acknowledged(&mut harness), Some(0));
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    assert_eq!(acknowledged(&mut harness), Some(1));
}

/// The store's view lags behind the owner's own writes and reports the job as it was before its
/// end.
#[test]
fn a_finished_job_is_not_run_again_when_a_stale_view_reports_it() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.now += 500;
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    harness.persist_progress();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// Reading a prefix anew may still list the earlier worker of a host, and a worker's write may
/// reach the store seconds after another worker has replaced it.
#[test]
fn the_report_of_an_unresponsive_worker_does_not_replace_a_responsive_one() {
    let mut harness = Harness::new(0);
    harness.deliver(Event::Worker(report("new", "h1")));
    harness.connect("new", vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::Worker(report("old", "h1")));
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    let sent = Steady::from_millis(harness.now);
    harness.deliver(Event::Polled { worker: worker_id("old"), sent, end: OrderResult::Unknown });
    harness.poll("new", vec![present(task, run, 10)], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

#[test]
fn a_responsive_worker_replaces_the_earlier_one_of_its_host() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::Worker(report("w2", "h1")));
    harness.connect("w2", vec![]);
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].1, &starts[0].2), (2, &worker_id("w2")));
}

/// A job's definition is needed until the job's end is persisted, and no longer.
#[test]
fn a_job_can_be_removed_once_its_end_is_durable() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    let done = EndedRun { number: 1, task, run, how: RunOutcome::Done, checkpoint: String::new() };
    harness.poll("w1", vec![], vec![done]);
    assert_eq!(harness.owner.take_finished(BATCH_LIMIT), vec![]);
    let writes = harness.owner.take_saves(BATCH_LIMIT);
    harness.owner.note_saved(&writes, Revision(120));
    assert_eq!(harness.owner.take_finished(BATCH_LIMIT), vec![id(1)]);
    assert_eq!(harness.owner.take_finished(BATCH_LIMIT), vec![]);
    harness.owner.note_removal_failed(vec![id(1)]);
    assert_eq!(harness.owner.take_finished(BATCH_LIMIT), vec![id(1)]);
}

/// An earlier owner may have ended a job without removing it.
#[test]
fn a_new_owner_removes_jobs_that_ended_under_an_earlier_one() {
    let mut harness = one_worker();
    let mut ended = stored(1, vec![step(1)], 50);
    let progress = Progress { state: JobState::Succeeded, ..Progress::default() };
    ended.progress = Some(progress.into());
    harness.deliver(Event::Job(ended));
    assert_eq!(harness.owner.take_finished(BATCH_LIMIT), vec![id(1)]);
}

#[test]
fn tasks_of_new_jobs_need_not_wait_for_workers_that_are_silent() {
    let mut harness = Harness::new(1);
    harness.deliver(Event::Worker(report("w1", "h1")));
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.deliver(Event::Job(stored(1, vec![step(1)], TOKEN + 10)));
    harness.connect("w1", vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// Polls of a silent worker must not extend the lease that the owner assumes for it.
#[test]
fn a_task_on_a_worker_that_falls_silent_is_started_elsewhere_once_its_lease_has_expired() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    let mut begun = Vec::new();
    // The polls in flight are never answered, nor are later ones to w1.
    for name in ["w1", "w2"] {
        let sent = Steady::from_millis(harness.now);
        harness.deliver(Event::Polled { worker: worker_id(name), sent, end: OrderResult::Unknown });
    }
    harness.poll("w2", vec![], vec![]);
    for _ in 0..100 {
        harness.now += 100;
        harness.work();
        let polled = |effect: &Effect| match effect {
            Effect::Poll { to, .. } => Some(to.worker.clone()),
            _ => None,
        };
        let polled: Vec<Incarnation> = harness.effects.iter().filter_map(polled).collect();
        begun.extend(harness.take_starts().into_iter().map(|(_, run, at)| (harness.now, run, at)));
        for worker in polled {
            if worker == worker_id("w2") {
                harness.poll("w2", vec![], vec![]);
                continue;
            }
            let sent = Steady::from_millis(harness.now);
            harness.deliver(Event::Polled { worker, sent, end: OrderResult::Unknown });
        }
    }
    assert_eq!(begun.len(), 1, "{begun:?}");
    let (at, run, worker) = &begun[0];
    assert_eq!((*run, worker), (2, &worker_id("w2")));
    // Not before the lease has expired on a clock that runs 2 % slow.
    assert!(WORKER_LEASE_MS * 100 / 98 < *at, "{at}");
}

/// Tasks on silent workers must not count as running when others are about to be stopped.
#[test]
fn a_long_running_task_is_not_stopped_while_another_of_its_step_may_be_unavailable() {
    let long_running =
        Step { long_running: true, max_unavailable: 1, max_per_worker: 1, ..step(2) };
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Job(stored(1, vec![long_running], 110)));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
        harness.poll(worker.worker.as_str(), vec![present(*task, *run, 100)], vec![]);
    }
    let on = |name: &str| starts.iter().find(|(_, _, at)| *at == worker_id(name)).unwrap().0;
    let sent = Steady::from_millis(harness.now);
    harness.deliver(Event::Polled { worker: worker_id("w2"), sent, end: OrderResult::Unknown });
    let drain_marks = BTreeMap::from([("h1".parse().unwrap(), Revision(120))]);
    harness.owner.set_draining(drain_marks);
    harness.effects.clear();
    harness.work();
    assert_eq!(harness.take_stops(), vec![]);
    harness.poll("w2", vec![present(on("w2"), 1, 100)], vec![]);
    harness.effects.clear();
    harness.work();
    assert_eq!(harness.take_stops(), vec![on("w1")]);
}

/// An earlier owner has just ordered one run to stop, and the worker still lists it as running. The
/// new owner must not stop another run of the step meanwhile.
#[test]
fn a_new_owner_stops_no_long_running_task_while_an_earlier_stop_may_be_pending() {
    let long_running =
        Step { long_running: true, max_unavailable: 1, max_per_worker: 1, ..step(2) };
    let mut harness = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], SilentWorkers::default());
    harness.deliver(Event::Job(stored(1, vec![long_running], 50)));
    let drain_marks = BTreeMap::from([("h1".parse().unwrap(), Revision(120))]);
    harness.owner.set_draining(drain_marks);
    let task = |index: u32| -> TaskId { format!("{}.0.0.{index}", id(1)).parse().unwrap() };
    let poll_all = |harness: &mut Harness| {
        harness.connect("w1", vec![present(task(0), 1, 100)]);
        harness.connect("w2", vec![present(task(1), 1, 100)]);
        harness.work();
    };
    poll_all(&mut harness);
    assert_eq!(harness.take_stops(), vec![]);
    harness.now += 900;
    poll_all(&mut harness);
    assert_eq!(harness.take_stops(), vec![], "a stop takes up to 900 ms after the order");
    harness.now += 600;
    poll_all(&mut harness);
    assert_eq!(harness.take_stops(), vec![task(0)]);
}

#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.deliver(Event::Started {
        worker: worker.clone(),
        task,
        run,
        end: OrderResult::Unknown,
    });
    harness.now += 50;
    harness.poll("w1", vec![], vec![]);
    assert_eq!(harness.take_stops(), vec![task]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += 10;
    harness.deliver(Event::Stopped {
        worker,
        task,
        run,
        end: OrderResult::Done(1_000 + harness.now),
    });
    harness.now += 10;
    harness.poll("w1", vec![], vec![]);
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, 2);
}

#[test]
fn a_task_that_failed_as_often_as_allowed_fails_its_job() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    for number in 1..=3 {
        harness.now += 3_000;
        harness.poll("w1", vec![], vec![]);
        harness.work();
        let starts = harness.take_starts();
        assert_eq!(starts.len(), 1, "attempt {number}");
        let (task, run, worker) = starts[0].clone();
        harness.confirm_start(task, run, &worker);
        let how = RunOutcome::Failed;
        let end = EndedRun { number, task, run, how, checkpoint: String::new() };
        harness.poll("w1", vec![], vec![end]);
    }
    let written = harness.persist_progress();
    assert_eq!(written[0].1.state, JobState::Failed);
    harness.now += 10_000;
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// A poll that is sent in the same millisecond in which a start is answered may have reached the
/// worker before the start.
#[test]
fn a_poll_of_the_same_millisecond_does_not_end_a_run_that_it_does_not_list() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    harness.poll("w1", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
}

/// If small tasks take all resources as soon as they are freed, a long-running task that needs more
/// never starts again.
#[test]
fn smaller_waiting_tasks_do_not_starve_a_long_running_task() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(8)], 110)));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 4);
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
    }
    let large = TaskResources { cpu: Millicores(2_000), memory: Megabytes(100), gpus: 0 };
    harness.deliver(Event::Job(stored(
        2,
        vec![Step { long_running: true, need: large, ..step(1) }],
        111,
    )));
    let still = |from: usize| -> Vec<PresentRun> {
        starts[from..].iter().map(|(task, run, _)| present(*task, *run, 50)).collect()
    };
    harness.now += 100;
    harness.poll("w1", still(1), vec![done(1, starts[0].0, 1)]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += 100;
    harness.poll("w1", still(2), vec![done(2, starts[1].0, 1)]);
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0.of.job, id(2));
}

#[test]
fn a_stop_refused_as_old_ends_the_wait_for_the_run() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.deliver(Event::Started {
        worker: worker.clone(),
        task,
        run,
        end: OrderResult::Unknown,
    });
    harness.now += 50;
    harness.poll("w1", vec![], vec![]);
    let end = OrderResult::Refused { why: Refusal::Old, clock_ms: None };
    harness.deliver(Event::Stopped { worker, task, run, end });
    harness.now += 10;
    harness.poll("w1", vec![], vec![]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1);
}

/// With all hosts but one draining, the other tasks of a step cannot leave while one is
/// unavailable, and that one finds no host that stays: it must return to a draining one.
#[test]
fn a_long_running_task_returns_to_a_draining_host_that_others_cannot_leave() {
    let long_running =
        Step { long_running: true, max_unavailable: 1, max_per_worker: 1, ..step(2) };
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Job(stored(1, vec![long_running.clone()], 110)));
    harness.deliver(Event::Job(stored(2, vec![Step { max_per_worker: 0, ..long_running }], 111)));
    harness.work();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 4);
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
    }
    harness.owner.set_draining(BTreeMap::from([("h1".parse().unwrap(), Revision(120))]));
    let on_w1: Vec<TaskId> =
        starts.iter().filter(|(_, _, at)| *at == worker_id("w1")).map(|(t, _, _)| *t).collect();
    let failed_task = *on_w1.iter().find(|task| task.of.job == id(1)).unwrap();
    harness.now += 100;
    let unaffected: Vec<PresentRun> =
        on_w1.iter().filter(|task| **task != failed_task).map(|t| present(*t, 1, 50)).collect();
    let end = EndedRun { how: RunOutcome::Failed, ..done(1, failed_task, 1) };
    let occupied = !unaffected.is_empty();
    harness.poll("w1", unaffected.clone(), vec![end]);
    harness.work();
    assert_eq!(harness.take_starts(), vec![]);
    harness.now += 1_100;
    harness.poll("w1", unaffected, vec![]);
    harness.work();
    // Only if something still runs there: an empty draining host is no longer the pool's.
    assert_eq!(harness.take_starts().len(), usize::from(occupied));
}

#[test]
fn a_task_that_does_not_fit_does_not_block_smaller_ones() {
    let mut harness = one_worker();
    let large = Step { need: TaskResources { cpu: Millicores(9_000), ..step(1).need }, ..step(1) };
    harness.deliver(Event::Job(stored(1, vec![large.clone()], 110)));
    harness.deliver(Event::Job(stored(2, vec![large], 111)));
    harness.deliver(Event::Job(stored(3, vec![step(1)], 112)));
    harness.work();
    let started: Vec<JobId> = harness.take_starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(3)]);
}

/// A poll sent meanwhile would return at once with only the end that is being persisted: half of
/// all polls did.
#[test]
fn a_worker_is_not_polled_while_its_end_is_being_persisted() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, worker) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &worker);
    let poll_count = |harness: &mut Harness| {
        harness.work();
        let effects = std::mem::take(&mut harness.effects);
        effects.iter().filter(|effect| matches!(effect, Effect::Poll { .. })).count()
    };
    assert_eq!(poll_count(&mut harness), 0);
    harness.now += 900;
    harness.poll("w1", vec![], vec![done(1, task, run)]);
    harness.now += 20;
    assert_eq!(poll_count(&mut harness), 0);
    harness.persist_progress();
    assert_eq!(poll_count(&mut harness), 1);
}

/// If progress is written in the order of job identifiers, jobs that ended wait for seconds behind
/// those that change all the time.
#[test]
fn ended_jobs_are_persisted_first_and_changing_jobs_do_not_starve_others() {
    let mut queue = SaveQueue::default();
    queue.add(id(1), false);
    queue.add(id(2), false);
    queue.add(id(9), false);
    queue.add(id(9), true);
    assert_eq!(queue.take(2), vec![id(9), id(1)]);
    // A job whose write is in flight is not returned again, and queues behind the others later.
    queue.add(id(1), false);
    assert_eq!(queue.len(), 1);
    queue.finish(id(1));
    queue.add(id(1), false);
    assert_eq!(queue.take(2), vec![id(2), id(1)]);
    assert_eq!(queue.take(2), vec![]);
}

#[test]
fn progress_that_changed_while_it_was_written_is_written_again() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(2)], 110)));
    harness.work();
    let starts = harness.take_starts();
    harness.confirm_start(starts[0].0, starts[0].1, &starts[0].2);
    let first = harness.owner.take_saves(9);
    assert_eq!(first.len(), 1);
    harness.poll("w1", vec![], vec![done(1, starts[0].0, 1), done(2, starts[1].0, 1)]);
    assert!(harness.owner.take_saves(9).is_empty());
    harness.owner.note_saved(&first, Revision(200));
    let second = harness.owner.take_saves(9);
    assert_eq!(second.len(), 1);
    harness.owner.note_save_failed(&second);
    assert_eq!(harness.persist_progress()[0].1.state, JobState::Succeeded);
}
