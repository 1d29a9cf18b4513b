//! Tests of the owner of a pool, event by event.

mod balance;
mod cold;
mod crashes;
mod cut;
mod fleet;
mod fuzz;
mod gone;
mod handover;
mod helpers;
mod incarnations;
mod late;
mod looks;
mod places;
mod plan_cost;
mod refusals;
mod rooms;
mod roster;
mod unlisted;
mod waiting;

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    jobs::{
        event::{Effect, Event, StoredJob},
        owner::Owner,
        roster::{Away, RosterNote},
        saves::SaveQueue,
        worker::HOLD_MS,
    },
    model::{
        id::Incarnation,
        job::{JobId, JobState, Progress, Room, Step, TaskId},
        unit::{Megabytes, Millicores, Now, Revision, Steady, Time},
        worker::{Ended, HowEnded, Look, OrderEnd, Present, Refusal, WorkerReport},
    },
    tests::sample,
};

const TOKEN: u64 = 100;

/// More workers' records than any write of these tests changes.
const MANY: usize = 29;

/// An owner with what it wanted done.
struct Bench {
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
        room: Room { cpu: Millicores(4_000), memory: Megabytes(8_000), gpus: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        leaves_ms: None,
    }
}

fn step(count: u32) -> Step {
    let need = Room { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
    Step { count, need, estimate_ms: 1_000, ..Step::default() }
}

fn stored(number: u64, steps: Vec<Step>, revision: u64) -> StoredJob {
    let record = sample::record(steps);
    StoredJob {
        id: id(number),
        record: Arc::new(record),
        revision: Revision(revision),
        progress: None,
        saved_at: Revision(0),
        cancelled: false,
    }
}

impl Bench {
    fn new(earlier: u32) -> Bench {
        let owner = Owner::new(TOKEN, earlier, Steady::from_millis(0));
        Bench { owner, now: 0, clock: BTreeMap::new(), effects: Vec::new() }
    }

    fn at(&self) -> Now {
        let wall = Time::from_millis(1_000_000 + self.now);
        Now { steady: Steady::from_millis(self.now), wall }
    }

    fn tell(&mut self, event: Event) {
        let now = self.at();
        self.owner.handle(event, now, &mut self.effects);
    }

    fn work(&mut self) {
        let now = self.at();
        self.owner.set_confirmed(now.steady);
        self.owner.work(now, &mut self.effects);
    }

    /// A worker that answers its first look with what runs there.
    fn touch(&mut self, name: &str, present: Vec<Present>) {
        self.work();
        self.look(name, present, vec![]);
        self.keep_roster();
    }

    /// Makes durable what workers may hold; what was written, if that was news.
    fn keep_roster(&mut self) -> Option<RosterNote> {
        let note = self.owner.roster_note(MANY)?;
        self.rostered(&note);
        Some(note)
    }

    /// A write of what workers may hold is done.
    fn rostered(&mut self, note: &RosterNote) {
        self.owner.rostered(note, Revision(1_000 + self.now));
    }

    /// An owner that finds what an earlier one has kept of its workers.
    fn inheriting(workers: &[(&str, &str)], away: Away) -> Bench {
        let mut bench = Bench::new(1);
        let workers = workers.iter().map(|(name, host)| report(name, host)).collect();
        let now = bench.at();
        bench.owner.inherit(workers, &away, now, &mut bench.effects);
        bench
    }

    fn look(&mut self, name: &str, present: Vec<Present>, ended: Vec<Ended>) {
        let clock_ms = 1_000 + self.now;
        self.clock.insert(worker_id(name), clock_ms);
        let look = Look { born: None, clock_ms, present, ended };
        let sent = Steady::from_millis(self.now);
        self.tell(Event::Looked { worker: worker_id(name), sent, end: OrderEnd::Done(look) });
    }

    /// A look at a worker gets no answer.
    fn miss(&mut self, name: &str) {
        let (worker, sent) = (worker_id(name), Steady::from_millis(self.now));
        self.tell(Event::Looked { worker, sent, end: OrderEnd::Unknown });
    }

    /// The starts that were ordered since the last question, with their workers.
    fn starts(&mut self) -> Vec<(TaskId, u32, Incarnation)> {
        let effects = std::mem::take(&mut self.effects);
        let starts = effects.into_iter().filter_map(|effect| match effect {
            Effect::Start { to, start } => Some((start.task, start.run, to.worker)),
            _ => None,
        });
        starts.collect()
    }

    fn stops(&mut self) -> Vec<TaskId> {
        let effects = std::mem::take(&mut self.effects);
        let stops = effects.into_iter().filter_map(|effect| match effect {
            Effect::Stop { task, .. } => Some(task),
            _ => None,
        });
        stops.collect()
    }

    fn started(&mut self, task: TaskId, run: u32, worker: &Incarnation) {
        let end = OrderEnd::Done(1_000 + self.now);
        self.tell(Event::Started { worker: worker.clone(), task, run, end });
    }

    /// Makes all that is to be kept durable.
    fn save(&mut self) -> Vec<(JobId, Progress)> {
        let saves = self.owner.saves(100);
        self.owner.saved(&saves, Revision(200));
        saves
            .into_iter()
            .map(|save| (save.job, serde_json::from_slice(&save.value).unwrap()))
            .collect()
    }
}

fn done(number: u64, task: TaskId, run: u32) -> Ended {
    Ended { number, task, run, how: HowEnded::Done, saved: String::new() }
}

fn present(task: TaskId, run: u32, percent: u32) -> Present {
    Present { task, run, saved: String::new(), percent, gauge: 0 }
}

fn one_worker() -> Bench {
    let mut bench = Bench::new(0);
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.touch("w1", vec![]);
    bench
}

#[test]
fn a_job_is_started_and_shown_as_succeeded_once_that_is_durable() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    let (task, run, worker) = starts[0].clone();
    assert_eq!(run, 1);
    bench.started(task, run, &worker);
    bench.now += 500;
    bench.look("w1", vec![], vec![done(1, task, run)]);
    let saved = bench.save();
    assert_eq!(saved.len(), 1);
    assert_eq!(saved[0].1.state, JobState::Succeeded);
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.now += 500;
    bench.look("w1", vec![], vec![done(1, task, run)]);
    let acknowledged = |bench: &mut Bench| {
        bench.now += 1_100;
        bench.work();
        let effects = std::mem::take(&mut bench.effects);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Look { acknowledged, .. } => Some(acknowledged),
            _ => None,
        })
    };
    assert_eq!(acknowledged(&mut bench), Some(0));
    bench.look("w1", vec![], vec![done(1, task, run)]);
    bench.save();
    assert_eq!(acknowledged(&mut bench), Some(1));
}

/// The store's view lags behind what the owner has written, and told of the
/// job as it was before its end.
#[test]
fn a_job_that_ended_is_not_run_again_when_an_older_view_tells_of_it() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.now += 500;
    bench.look("w1", vec![], vec![done(1, task, run)]);
    bench.save();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

/// A prefix that is read anew still lists the worker that was there before,
/// and a write of a worker may reach the store seconds after another has taken its place.
#[test]
fn a_worker_is_not_superseded_by_the_report_of_one_that_does_not_answer() {
    let mut bench = Bench::new(0);
    bench.tell(Event::Worker(report("new", "h1")));
    bench.touch("new", vec![]);
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.tell(Event::Worker(report("old", "h1")));
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    let sent = Steady::from_millis(bench.now);
    bench.tell(Event::Looked { worker: worker_id("old"), sent, end: OrderEnd::Unknown });
    bench.look("new", vec![present(task, run, 10)], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

#[test]
fn a_worker_that_answers_shows_that_the_one_before_it_is_over() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.tell(Event::Worker(report("w2", "h1")));
    bench.touch("w2", vec![]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].1, &starts[0].2), (2, &worker_id("w2")));
}

/// What was handed in of a job is of use until its end is durable, and no longer.
#[test]
fn a_job_can_be_removed_once_its_end_is_durable() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    let done = Ended { number: 1, task, run, how: HowEnded::Done, saved: String::new() };
    bench.look("w1", vec![], vec![done]);
    assert_eq!(bench.owner.take_finished(MANY), vec![]);
    let saves = bench.owner.saves(MANY);
    bench.owner.saved(&saves, Revision(120));
    assert_eq!(bench.owner.take_finished(MANY), vec![id(1)]);
    assert_eq!(bench.owner.take_finished(MANY), vec![]);
    bench.owner.not_removed(vec![id(1)]);
    assert_eq!(bench.owner.take_finished(MANY), vec![id(1)]);
}

/// An earlier owner may have ended a job and not have come to remove it.
#[test]
fn a_new_owner_removes_the_jobs_that_ended_before() {
    let mut bench = one_worker();
    let mut ended = stored(1, vec![step(1)], 50);
    let progress = Progress { state: JobState::Succeeded, ..Progress::default() };
    ended.progress = Some(progress.into());
    bench.tell(Event::Job(ended));
    assert_eq!(bench.owner.take_finished(MANY), vec![id(1)]);
}

#[test]
fn tasks_of_new_jobs_need_not_wait_for_workers_that_are_silent() {
    let mut bench = Bench::new(1);
    bench.tell(Event::Worker(report("w1", "h1")));
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.tell(Event::Job(stored(1, vec![step(1)], TOKEN + 10)));
    bench.touch("w1", vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// Each look at a silent worker went on giving it time.
#[test]
fn a_task_on_a_worker_that_falls_silent_is_started_elsewhere_once_its_time_is_over() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    let mut begun = Vec::new();
    // The looks that are on their way are never answered, nor are those that follow at w1.
    for name in ["w1", "w2"] {
        let sent = Steady::from_millis(bench.now);
        bench.tell(Event::Looked { worker: worker_id(name), sent, end: OrderEnd::Unknown });
    }
    bench.look("w2", vec![], vec![]);
    for _ in 0..100 {
        bench.now += 100;
        bench.work();
        let looked = |effect: &Effect| match effect {
            Effect::Look { to, .. } => Some(to.worker.clone()),
            _ => None,
        };
        let looked: Vec<Incarnation> = bench.effects.iter().filter_map(looked).collect();
        begun.extend(bench.starts().into_iter().map(|(_, run, at)| (bench.now, run, at)));
        for worker in looked {
            if worker == worker_id("w2") {
                bench.look("w2", vec![], vec![]);
                continue;
            }
            let sent = Steady::from_millis(bench.now);
            bench.tell(Event::Looked { worker, sent, end: OrderEnd::Unknown });
        }
    }
    assert_eq!(begun.len(), 1, "{begun:?}");
    let (at, run, worker) = &begun[0];
    assert_eq!((*run, worker), (2, &worker_id("w2")));
    // Not before the time that it was given is over on a clock that runs 2 % slow.
    assert!(HOLD_MS * 100 / 98 < *at, "{at}");
}

/// Tasks on silent workers counted as at work when others were stopped.
#[test]
fn a_lasting_task_stays_while_another_of_its_step_may_be_away() {
    let lasting = Step { lasting: true, may_miss: 1, apart: 1, ..step(2) };
    let mut bench = one_worker();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.tell(Event::Job(stored(1, vec![lasting], 110)));
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 2);
    for (task, run, worker) in &starts {
        bench.started(*task, *run, worker);
        bench.look(worker.worker.as_str(), vec![present(*task, *run, 100)], vec![]);
    }
    let on = |name: &str| starts.iter().find(|(_, _, at)| *at == worker_id(name)).unwrap().0;
    let sent = Steady::from_millis(bench.now);
    bench.tell(Event::Looked { worker: worker_id("w2"), sent, end: OrderEnd::Unknown });
    let marks = BTreeMap::from([("h1".parse().unwrap(), Revision(120))]);
    bench.owner.set_emptying(marks);
    bench.effects.clear();
    bench.work();
    assert_eq!(bench.stops(), vec![]);
    bench.look("w2", vec![present(on("w2"), 1, 100)], vec![]);
    bench.effects.clear();
    bench.work();
    assert_eq!(bench.stops(), vec![on("w1")]);
}

/// The owner before had just told one run to stop, and the worker still listed
/// it as at work; the new owner ended another of the step beside it.
#[test]
fn a_new_owner_ends_no_lasting_task_while_an_earlier_order_may_end_another() {
    let lasting = Step { lasting: true, may_miss: 1, apart: 1, ..step(2) };
    let mut bench = Bench::inheriting(&[("w1", "h1"), ("w2", "h2")], Away::default());
    bench.tell(Event::Job(stored(1, vec![lasting], 50)));
    let marks = BTreeMap::from([("h1".parse().unwrap(), Revision(120))]);
    bench.owner.set_emptying(marks);
    let task = |index: u32| -> TaskId { format!("{}.0.0.{index}", id(1)).parse().unwrap() };
    let look = |bench: &mut Bench| {
        bench.touch("w1", vec![present(task(0), 1, 100)]);
        bench.touch("w2", vec![present(task(1), 1, 100)]);
        bench.work();
    };
    look(&mut bench);
    assert_eq!(bench.stops(), vec![]);
    bench.now += 900;
    look(&mut bench);
    assert_eq!(bench.stops(), vec![], "a stop takes up to 900 ms after it was told");
    bench.now += 600;
    look(&mut bench);
    assert_eq!(bench.stops(), vec![task(0)]);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_begins_elsewhere() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.tell(Event::Started { worker: worker.clone(), task, run, end: OrderEnd::Unknown });
    bench.now += 50;
    bench.look("w1", vec![], vec![]);
    assert_eq!(bench.stops(), vec![task]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += 10;
    bench.tell(Event::Stopped { worker, task, run, end: OrderEnd::Done(1_000 + bench.now) });
    bench.now += 10;
    bench.look("w1", vec![], vec![]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, 2);
}

#[test]
fn a_task_that_failed_as_often_as_allowed_fails_its_job() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    for number in 1..=3 {
        bench.now += 3_000;
        bench.look("w1", vec![], vec![]);
        bench.work();
        let starts = bench.starts();
        assert_eq!(starts.len(), 1, "attempt {number}");
        let (task, run, worker) = starts[0].clone();
        bench.started(task, run, &worker);
        let how = HowEnded::Failed;
        let end = Ended { number, task, run, how, saved: String::new() };
        bench.look("w1", vec![], vec![end]);
    }
    let saved = bench.save();
    assert_eq!(saved[0].1.state, JobState::Failed);
    bench.now += 10_000;
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

/// A look was sent in the millisecond in which the start was answered, and had
/// come to the worker before it.
#[test]
fn a_look_of_the_same_moment_says_nothing_of_a_run_that_it_does_not_list() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    bench.look("w1", vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
}

/// Small tasks took each piece of room as soon as it was free, and a lasting
/// task that needed a larger one never came back.
#[test]
fn a_lasting_task_gets_room_though_smaller_tasks_wait_for_it_too() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(8)], 110)));
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 4);
    for (task, run, worker) in &starts {
        bench.started(*task, *run, worker);
    }
    let wide = Room { cpu: Millicores(2_000), memory: Megabytes(100), gpus: 0 };
    bench.tell(Event::Job(stored(2, vec![Step { lasting: true, need: wide, ..step(1) }], 111)));
    let still = |from: usize| -> Vec<Present> {
        starts[from..].iter().map(|(task, run, _)| present(*task, *run, 50)).collect()
    };
    bench.now += 100;
    bench.look("w1", still(1), vec![done(1, starts[0].0, 1)]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += 100;
    bench.look("w1", still(2), vec![done(2, starts[1].0, 1)]);
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0.of.job, id(2));
}

#[test]
fn a_stop_that_a_worker_knows_nothing_of_ends_the_wait_for_the_run() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.tell(Event::Started { worker: worker.clone(), task, run, end: OrderEnd::Unknown });
    bench.now += 50;
    bench.look("w1", vec![], vec![]);
    let end = OrderEnd::Refused { why: Refusal::Old, clock_ms: None };
    bench.tell(Event::Stopped { worker, task, run, end });
    bench.now += 10;
    bench.look("w1", vec![], vec![]);
    bench.work();
    assert_eq!(bench.starts().len(), 1);
}

/// All hosts but one were to be emptied, their tasks could not leave because
/// one was away, and that one found no worker that was to stay.
#[test]
fn a_lasting_task_returns_to_a_host_that_others_cannot_leave() {
    let lasting = Step { lasting: true, may_miss: 1, apart: 1, ..step(2) };
    let mut bench = one_worker();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.tell(Event::Job(stored(1, vec![lasting.clone()], 110)));
    bench.tell(Event::Job(stored(2, vec![Step { apart: 0, ..lasting }], 111)));
    bench.work();
    let starts = bench.starts();
    assert_eq!(starts.len(), 4);
    for (task, run, worker) in &starts {
        bench.started(*task, *run, worker);
    }
    bench.owner.set_emptying(BTreeMap::from([("h1".parse().unwrap(), Revision(120))]));
    let on_w1: Vec<TaskId> =
        starts.iter().filter(|(_, _, at)| *at == worker_id("w1")).map(|(t, _, _)| *t).collect();
    let gone = *on_w1.iter().find(|task| task.of.job == id(1)).unwrap();
    bench.now += 100;
    let stay: Vec<Present> =
        on_w1.iter().filter(|task| **task != gone).map(|t| present(*t, 1, 50)).collect();
    let end = Ended { how: HowEnded::Failed, ..done(1, gone, 1) };
    let occupied = !stay.is_empty();
    bench.look("w1", stay.clone(), vec![end]);
    bench.work();
    assert_eq!(bench.starts(), vec![]);
    bench.now += 1_100;
    bench.look("w1", stay, vec![]);
    bench.work();
    // Only where something still runs; a host that is empty is no longer ours.
    assert_eq!(bench.starts().len(), usize::from(occupied));
}

#[test]
fn a_task_that_finds_no_room_does_not_keep_smaller_ones_from_starting() {
    let mut bench = one_worker();
    let wide = Step { need: Room { cpu: Millicores(9_000), ..step(1).need }, ..step(1) };
    bench.tell(Event::Job(stored(1, vec![wide.clone()], 110)));
    bench.tell(Event::Job(stored(2, vec![wide], 111)));
    bench.tell(Event::Job(stored(3, vec![step(1)], 112)));
    bench.work();
    let started: Vec<JobId> = bench.starts().iter().map(|(task, ..)| task.of.job).collect();
    assert_eq!(started, vec![id(3)]);
}

/// Half of all looks found only an end that was being kept already.
#[test]
fn a_worker_whose_end_is_being_kept_is_not_looked_at_meanwhile() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, worker) = bench.starts()[0].clone();
    bench.started(task, run, &worker);
    let looks = |bench: &mut Bench| {
        bench.work();
        let effects = std::mem::take(&mut bench.effects);
        effects.iter().filter(|effect| matches!(effect, Effect::Look { .. })).count()
    };
    assert_eq!(looks(&mut bench), 0);
    bench.now += 900;
    bench.look("w1", vec![], vec![done(1, task, run)]);
    bench.now += 20;
    assert_eq!(looks(&mut bench), 0);
    bench.save();
    assert_eq!(looks(&mut bench), 1);
}

/// Progress was written in the order of the jobs' names, and jobs that had
/// ended waited for seconds behind those that changed all the time.
#[test]
fn jobs_that_ended_are_kept_first_and_no_changed_job_waits_behind_busy_ones() {
    let mut queue = SaveQueue::default();
    queue.add(id(1), false);
    queue.add(id(2), false);
    queue.add(id(9), false);
    queue.add(id(9), true);
    assert_eq!(queue.take(2), vec![id(9), id(1)]);
    // One whose write is on its way is not given out again, and its turn comes after the others.
    queue.add(id(1), false);
    assert_eq!(queue.len(), 1);
    queue.settle(id(1));
    queue.add(id(1), false);
    assert_eq!(queue.take(2), vec![id(2), id(1)]);
    assert_eq!(queue.take(2), vec![]);
}

#[test]
fn progress_that_changed_while_it_was_written_is_written_again() {
    let mut bench = one_worker();
    bench.tell(Event::Job(stored(1, vec![step(2)], 110)));
    bench.work();
    let starts = bench.starts();
    bench.started(starts[0].0, starts[0].1, &starts[0].2);
    let first = bench.owner.saves(9);
    assert_eq!(first.len(), 1);
    bench.look("w1", vec![], vec![done(1, starts[0].0, 1), done(2, starts[1].0, 1)]);
    assert!(bench.owner.saves(9).is_empty());
    bench.owner.saved(&first, Revision(200));
    let second = bench.owner.saves(9);
    assert_eq!(second.len(), 1);
    bench.owner.not_saved(&second);
    assert_eq!(bench.save()[0].1.state, JobState::Succeeded);
}
