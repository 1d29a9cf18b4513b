//! The owner of a large pool on a node with little processor time, at a peak of demand.
//!
//! Guards against an owner whose work for each event grows with its backlog. Such an owner is late
//! at a peak, which makes its backlog longer and each event dearer: with half again the cost, it
//! served a fraction of the jobs instead of two thirds.
//!
//! Time is simulated. Each event, and each visit of a job or worker in the owner's tables, takes
//! processor time times a factor, and the control loop pauses after each iteration as it does on a
//! node.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::{
    jobs::{
        event::{Effect, Event, ProgressWrite, StoredJob},
        owner::Owner,
        roster::RosterWrite,
        table,
    },
    model::{
        id::Incarnation,
        job::{JobId, JobRecord, Progress, Step, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Now, Revision, Steady, Time},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, RunOutcome, WorkerReport},
    },
    scheduler::control_loop::{
        MAX_PENDING_WRITES, PROGRESS_BATCH, PROGRESS_PAUSE_MS, ROSTER_BATCH, ROSTER_PAUSE_MS,
        TICK_INTERVAL, pause_after,
    },
    tests::sample,
};

/// Processor time of a visit, in nanoseconds.
const VISIT_NS: u64 = 20;

/// Processor time of an input or an order beside the visits, in nanoseconds: it is encoded or
/// decoded, and passes through queues.
const MESSAGE_NS: u64 = 4_000;

/// The way of an order, an answer or a write, in microseconds.
const LATENCY_US: u64 = 2_000;
const WRITE_US: u64 = 10_000;

/// How long a task runs, in microseconds.
const TASK_US: u64 = 800_000;

const TASKS_PER_JOB: u32 = 8;

/// A job is in time up to this long after it was accepted, in milliseconds.
const OBJECTIVE_MS: u64 = 1_880;

/// The phases of demand, in percent of the mean: how long each lasts, in microseconds.
const PHASES: [(u64, u64); 3] = [(100, 1_000_000), (500, 5_000_000), (5, 4_000_000)];

/// Demand at the peak, in percent of what the workers can process.
const PEAK_LOAD_PERCENT: u64 = 90;

/// After how long the demand begins, in microseconds: all workers have been polled by then.
const SETTLE_US: u64 = 1_000_000;

/// Tasks that fit on a worker at once.
const TASKS_PER_WORKER: u64 = 7;

/// Something that happens at a time.
enum Happening {
    Input(Input),
    Order(Effect, Steady),
    RunEnds { worker: Incarnation, task: TaskId },
    PollExpires { worker: Incarnation, sent: Steady },
}

/// An input of the control loop.
enum Input {
    Event(Event),
    Saved(Vec<ProgressWrite>),
    RosterWritten(Box<RosterWrite>),
}

/// A worker that answers at once.
#[derive(Default)]
struct SimWorker {
    runs: BTreeMap<TaskId, u32>,
    ends: VecDeque<EndedRun>,
    last_end: u64,
    pending_poll: Option<Steady>,
}

/// What a day came to.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    submitted: u64,
    in_time: u64,
    late: u64,
    events: u64,
    iterations: u64,
    visits: u64,
    polls: u64,
    writes: u64,
    max_backlog: u64,
    busy_us: u64,
}

struct Simulation {
    owner: Owner,
    /// The processor share of the node, in percent of a core.
    share_percent: u64,
    /// The cost of processor time, in percent.
    cost_percent: u64,
    now_us: u64,
    happenings: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: HashMap<u64, Happening>,
    next_number: u64,
    inbox: VecDeque<Input>,
    workers: HashMap<Incarnation, SimWorker>,
    accepted: HashMap<JobId, u64>,
    open_jobs: u64,
    pending_writes: usize,
    next_progress: u64,
    is_roster_pending: bool,
    next_roster: u64,
    revision: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(workers: u64, share_percent: u64, cost_percent: u64) -> Simulation {
        let mut simulation = Simulation {
            owner: Owner::new(1, 0, Steady::default()),
            share_percent,
            cost_percent,
            now_us: 0,
            happenings: BinaryHeap::new(),
            by_number: HashMap::new(),
            next_number: 0,
            inbox: VecDeque::new(),
            workers: HashMap::new(),
            accepted: HashMap::new(),
            open_jobs: 0,
            pending_writes: 0,
            next_progress: 0,
            is_roster_pending: false,
            next_roster: 0,
            revision: 2,
            outcome: Outcome::default(),
        };
        let mut out = Vec::new();
        for number in 0..workers {
            let report = report(number);
            simulation.workers.insert(report.id.clone(), SimWorker::default());
            simulation.owner.handle(Event::Worker(report), now_at(0), &mut out);
        }
        // The pool is settled before the demand begins.
        let began = SETTLE_US;
        let capacity = workers * TASKS_PER_WORKER * 1_000_000 / TASK_US / u64::from(TASKS_PER_JOB);
        let mean = capacity * PEAK_LOAD_PERCENT / 100 / 5;
        let (mut at, mut number) = (began, 0);
        for (percent, lasts) in PHASES {
            let gap = 1_000_000 * 100 / (mean * percent).max(1);
            let end = at + lasts;
            while at < end {
                number += 1;
                simulation
                    .schedule(at, Happening::Input(Input::Event(Event::Job(job(number, at)))));
                simulation.accepted.insert(JobId::from_number(number), at);
                at += gap;
            }
            at = end;
        }
        simulation.outcome.submitted = number;
        simulation
    }

    fn schedule(&mut self, at: u64, happening: Happening) {
        self.next_number += 1;
        self.happenings.push(Reverse((at, self.next_number)));
        self.by_number.insert(self.next_number, happening);
    }

    /// Lets everything happen outside the node up to a time.
    fn advance(&mut self, until: u64) {
        while let Some(Reverse((at, number))) = self.happenings.peek().copied()
            && at <= until
        {
            self.happenings.pop();
            match self.by_number.remove(&number) {
                Some(Happening::Input(input)) => self.inbox.push_back(input),
                Some(Happening::Order(effect, sent)) => self.carry_out(effect, sent, at),
                Some(Happening::RunEnds { worker, task }) => self.end_run(&worker, task, at),
                Some(Happening::PollExpires { worker, sent }) => {
                    let pending = self.workers[&worker].pending_poll;
                    if pending == Some(sent) {
                        self.answer_poll(&worker, at);
                    }
                }
                None => {}
            }
        }
        self.now_us = self.now_us.max(until);
    }

    fn carry_out(&mut self, effect: Effect, sent: Steady, at: u64) {
        match effect {
            Effect::Start { to, start } => {
                let (task, run, worker) = (start.task, start.run, to.worker);
                if let Some(simulated) = self.workers.get_mut(&worker) {
                    simulated.runs.insert(task, run);
                }
                let ends = Happening::RunEnds { worker: worker.clone(), task };
                self.schedule(at + TASK_US, ends);
                let end = OrderResult::Done(clock_ms(at));
                self.answer(Event::Started { worker, task, run, end }, at);
            }
            Effect::Poll { to, acknowledged, wait, .. } => {
                let Some(simulated) = self.workers.get_mut(&to.worker) else {
                    return;
                };
                simulated.ends.retain(|end| acknowledged < end.number);
                simulated.pending_poll = Some(sent);
                if !simulated.ends.is_empty() || wait.is_zero() {
                    self.answer_poll(&to.worker, at);
                } else {
                    let expires = Happening::PollExpires { worker: to.worker, sent };
                    self.schedule(at + wait.as_micros() as u64, expires);
                }
            }
            Effect::Stop { .. } | Effect::Throttle { .. } | Effect::Advise { .. } => {}
        }
    }

    fn end_run(&mut self, worker: &Incarnation, task: TaskId, at: u64) {
        let Some(simulated) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = simulated.runs.remove(&task) else {
            return;
        };
        simulated.last_end += 1;
        let (number, how, checkpoint) = (simulated.last_end, RunOutcome::Done, String::new());
        simulated.ends.push_back(EndedRun { number, task, run, how, checkpoint });
        self.answer_poll(worker, at);
    }

    /// Answers the pending poll of a worker, if there is one.
    fn answer_poll(&mut self, worker: &Incarnation, at: u64) {
        let Some(simulated) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(sent) = simulated.pending_poll.take() else {
            return;
        };
        let present = simulated.runs.iter().map(|(task, run)| PresentRun {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let (present, ended) = (present.collect(), simulated.ends.iter().cloned().collect());
        let response = PollResponse { born: None, clock_ms: clock_ms(at), present, ended };
        let end = OrderResult::Done(response);
        self.answer(Event::Polled { worker: worker.clone(), sent, end }, at);
    }

    fn answer(&mut self, event: Event, at: u64) {
        self.schedule(at + LATENCY_US, Happening::Input(Input::Event(event)));
    }

    /// Lets the processor time of some messages and of the visits since the last call pass.
    fn spend(&mut self, messages: u64) {
        let visits = table::take_visits();
        let work_ns = messages * MESSAGE_NS + visits * VISIT_NS;
        let busy_us = work_ns * self.cost_percent / self.share_percent / 1_000;
        self.outcome.visits += visits;
        self.outcome.busy_us += busy_us;
        self.advance(self.now_us + busy_us);
    }

    /// The control loop, until some time.
    fn run(mut self, until: u64) -> Outcome {
        let (mut last_tick, mut pause) = (0, Duration::ZERO);
        let mut next_interval = 0;
        while self.now_us < until {
            while self.inbox.is_empty() && self.now_us < next_interval {
                let Some(Reverse((at, _))) = self.happenings.peek().copied() else {
                    break;
                };
                self.advance(at.clamp(self.now_us, next_interval));
            }
            if let Some(input) = self.inbox.pop_front() {
                self.handle(input);
            }
            let pause_end = last_tick + pause.as_micros() as u64;
            while self.now_us < pause_end {
                if let Some(input) = self.inbox.pop_front() {
                    self.handle(input);
                } else {
                    let next = self.happenings.peek().map_or(pause_end, |Reverse((at, _))| *at);
                    self.advance(next.clamp(self.now_us, pause_end));
                }
            }
            self.advance(pause_end);
            while let Some(input) = self.inbox.pop_front() {
                self.handle(input);
            }
            let began = self.now_us;
            self.tick();
            last_tick = self.now_us;
            next_interval = last_tick + TICK_INTERVAL.as_micros() as u64;
            pause = pause_after(Duration::from_micros(last_tick - began));
        }
        self.outcome
    }

    fn handle(&mut self, input: Input) {
        let (now, mut out) = (self.now(), Vec::new());
        self.outcome.events += 1;
        match input {
            Input::Event(event) => {
                self.outcome.polls += u64::from(matches!(event, Event::Polled { .. }));
                self.open_jobs += u64::from(matches!(event, Event::Job(_)));
                self.owner.handle(event, now, &mut out);
            }
            Input::Saved(writes) => {
                self.pending_writes -= 1;
                self.next_progress = self.now_us / 1_000 + PROGRESS_PAUSE_MS;
                self.revision += 1;
                self.owner.note_saved(&writes, Revision(self.revision));
                writes.iter().for_each(|write| self.note_durable(write));
            }
            Input::RosterWritten(write) => {
                self.is_roster_pending = false;
                self.next_roster = self.now_us / 1_000 + ROSTER_PAUSE_MS;
                self.revision += 1;
                self.owner.note_roster_written(&write, Revision(self.revision));
            }
        }
        self.execute(out, now.steady);
        self.spend(1);
    }

    fn note_durable(&mut self, write: &ProgressWrite) {
        let progress: Progress = serde_json::from_slice(&write.value).unwrap();
        let accepted = progress.state.is_final().then(|| self.accepted.remove(&write.job));
        if let Some(accepted) = accepted.flatten() {
            self.open_jobs -= 1;
            let is_in_time = self.now_us - accepted <= OBJECTIVE_MS * 1_000;
            self.outcome.in_time += u64::from(is_in_time);
            self.outcome.late += u64::from(!is_in_time);
        }
    }

    /// One iteration of the control loop.
    fn tick(&mut self) {
        let (now, mut out) = (self.now(), Vec::new());
        let now_ms = self.now_us / 1_000;
        self.outcome.iterations += 1;
        self.owner.set_confirmed(now.steady);
        self.owner.tick(now, &mut out);
        self.outcome.max_backlog = self.outcome.max_backlog.max(self.open_jobs);
        let orders = out.len() as u64;
        self.execute(out, now.steady);
        let may_write = self.next_progress <= now_ms;
        while may_write
            && (self.pending_writes == 0
                || self.pending_writes < MAX_PENDING_WRITES
                    && PROGRESS_BATCH <= self.owner.unsaved_count())
        {
            let writes = self.owner.take_saves(PROGRESS_BATCH);
            if writes.is_empty() {
                break;
            }
            self.pending_writes += 1;
            self.outcome.writes += 1;
            self.schedule(self.now_us + WRITE_US, Happening::Input(Input::Saved(writes)));
        }
        if !self.is_roster_pending && self.next_roster <= now_ms {
            self.next_roster = now_ms + ROSTER_PAUSE_MS;
            if let Some(write) = self.owner.roster_note(ROSTER_BATCH) {
                self.is_roster_pending = true;
                let written = Input::RosterWritten(Box::new(write));
                self.schedule(self.now_us + WRITE_US, Happening::Input(written));
            }
        }
        self.owner.take_finished(usize::MAX);
        self.owner.drained_hosts();
        self.owner.awaits_confirmation(now.steady);
        self.spend(orders);
    }

    fn execute(&mut self, effects: Vec<Effect>, sent: Steady) {
        for effect in effects {
            self.schedule(self.now_us + LATENCY_US, Happening::Order(effect, sent));
        }
    }

    fn now(&self) -> Now {
        now_at(self.now_us)
    }
}

fn now_at(now_us: u64) -> Now {
    let millis = now_us / 1_000;
    Now { steady: Steady::from_millis(millis), wall: Time::from_millis(1_000_000 + millis) }
}

/// The clock of all workers.
fn clock_ms(at_us: u64) -> u64 {
    500 + at_us / 1_000
}

fn report(number: u64) -> WorkerReport {
    let host = format!("h{number}");
    let capacity = TaskResources { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 };
    WorkerReport { capacity, ..super::report(&format!("w{number}"), &host) }
}

fn job(number: u64, at_us: u64) -> StoredJob {
    let need = TaskResources { cpu: Millicores(4_500), memory: Megabytes(16_000), gpus: 0 };
    let step = Step { count: TASKS_PER_JOB, need, estimate_ms: TASK_US / 1_000, ..Step::default() };
    let record = JobRecord {
        stretch_percent: 160,
        accepted: now_at(at_us).wall,
        ..sample::job_record(vec![step])
    };
    let id = JobId::from_number(number);
    let stored = super::stored(number, vec![], 1 + number);
    StoredJob { id, record: Arc::new(record), ..stored }
}

/// Checks that what is served in time falls no faster than the cost rises.
fn check(workers: u64, share_percent: u64) {
    let day_us = SETTLE_US + PHASES.iter().map(|(_, lasts)| lasts).sum::<u64>() + 4_000_000;
    let costs = [100, 125, 150, 200];
    let outcomes = costs.map(|cost| Simulation::new(workers, share_percent, cost).run(day_us));
    for (cost, outcome) in costs.iter().zip(&outcomes) {
        println!("{workers} workers, {share_percent} % of a core, cost {cost} %: {outcome:?}");
    }
    for (cost, outcome) in costs.iter().zip(&outcomes) {
        let least = outcomes[0].in_time * 100 / cost;
        assert!(
            least <= outcome.in_time,
            "{workers} workers, cost {cost} %: {} of {} in time, expected {least}",
            outcome.in_time,
            outcome.submitted
        );
    }
}

#[test]
fn an_owner_of_300_workers_serves_its_share_when_costs_rise() {
    check(300, 50);
}

#[test]
fn an_owner_of_600_workers_serves_its_share_when_costs_rise() {
    check(600, 50);
}

#[test]
fn an_owner_of_300_workers_with_little_processor_time_serves_its_share_when_costs_rise() {
    check(300, 12);
}

/// Guards against a control loop that is idle in the pause after an iteration while inputs wait.
#[test]
fn an_owner_of_600_workers_with_little_processor_time_serves_its_share_when_costs_rise() {
    check(600, 12);
}
