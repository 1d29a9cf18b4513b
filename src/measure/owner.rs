//! Cost of an owner's decisions: processor time per task of one pool at peak load, with workers
//! that answer at once, and the additional cost of the messages between nodes.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    jobs::{
        event::{Effect, Event, StoredJob},
        owner::Owner,
    },
    measure::Figures,
    model::{
        id::Incarnation,
        job::{JobId, JobRecord, Step, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Now, Revision, Steady, Time},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, RunOutcome, WorkerReport},
    },
    scheduler::dispatch::wire::{self, Answer, Answers, Batch, WorkerNumbering, WorkerTable},
};

/// Workers of the pool, for each row.
const SIZES: [usize; 3] = [100, 300, 900];

/// Simulated time between two ticks of the owner, in milliseconds.
const TICK_MS: u64 = 10;

/// Simulated time of one run, in milliseconds.
const SIMULATED_MS: u64 = 4_000;

/// How long a task runs, in milliseconds.
const TASK_MS: u64 = 800;

/// Tasks of a job, all in one step.
const TASKS_PER_JOB: u32 = 8;

/// Processor time that a task needs: seven fit on a worker.
const TASK_CPU: Millicores = Millicores(4_500);

/// Load relative to what the workers can process: above one, a backlog grows.
const LOADS: [f64; 2] = [0.8, 2.0];

/// Runs the experiment.
pub(crate) fn measure() -> Figures {
    let cases = SIZES.iter().flat_map(|size| LOADS.iter().map(|load| (*size, *load)));
    let rows = cases.map(|(size, load)| {
        let totals = Simulation::new(size, load).run();
        let micros = |spent: Duration| spent.as_secs_f64() * 1e6 / totals.started.max(1) as f64;
        vec![
            size.to_string(),
            format!("{load}"),
            totals.started.to_string(),
            format!("{:.1}", micros(totals.deciding)),
            format!("{:.1}", micros(totals.messages)),
            format!("{:.0}", totals.bytes as f64 / totals.started.max(1) as f64),
            totals.waiting.to_string(),
        ]
    });
    Figures {
        title: format!("Decisions of an owner, {} s of peak load, one run", SIMULATED_MS / 1000),
        heading: vec![
            "workers",
            "load",
            "tasks started",
            "deciding us/task",
            "messages us/task",
            "bytes/task",
            "left waiting",
        ],
        rows: rows.collect(),
        notes: vec![
            "Deciding: all processing by the owner for starts, polls and ends, without any call."
                .into(),
            "Messages: encoding orders and decoding answers; another node carries out all orders."
                .into(),
        ],
    }
}

/// Totals of one simulation.
#[derive(Default)]
struct Totals {
    started: u64,
    deciding: Duration,
    messages: Duration,
    bytes: usize,
    waiting: usize,
}

/// A worker that answers at once.
#[derive(Default)]
struct SimulatedWorker {
    runs: BTreeMap<TaskId, (u32, u64)>,
    ends: VecDeque<EndedRun>,
    next_end: u64,
    /// A pending poll: when it was sent, and until when it waits for an end, in simulated
    /// milliseconds.
    poll: Option<(Steady, u64)>,
}

struct Simulation {
    owner: Owner,
    now: u64,
    workers: HashMap<Incarnation, SimulatedWorker>,
    jobs: u64,
    /// Jobs submitted in each tick.
    rate: f64,
    due_jobs: f64,
    events: Vec<Event>,
    numbering: WorkerNumbering,
    worker_table: WorkerTable,
    totals: Totals,
}

impl Simulation {
    fn new(size: usize, load: f64) -> Simulation {
        let mut owner = Owner::new(1, 0, Steady::default());
        let (mut workers, mut out) = (HashMap::new(), Vec::new());
        let capacity =
            TaskResources { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 };
        for number in 0..size {
            let report = report(number, capacity);
            workers.insert(
                report.id.clone(),
                SimulatedWorker { next_end: 1, ..SimulatedWorker::default() },
            );
            owner.handle(Event::Worker(report), now_at(0), &mut out);
        }
        let max_concurrent = size as f64 * f64::from(capacity.cpu.0 / TASK_CPU.0);
        let jobs_per_ms = max_concurrent / TASK_MS as f64 / f64::from(TASKS_PER_JOB);
        Simulation {
            owner,
            now: 0,
            workers,
            jobs: 0,
            rate: jobs_per_ms * TICK_MS as f64 * load,
            due_jobs: 0.0,
            events: Vec::new(),
            numbering: WorkerNumbering::default(),
            worker_table: WorkerTable::default(),
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        while self.now < SIMULATED_MS {
            self.now += TICK_MS;
            self.submit_jobs();
            self.run_workers();
            let effects = self.decide();
            let effects = self.send(effects);
            for effect in effects {
                self.execute(effect);
            }
        }
        self.totals.waiting = self.owner.summary().waiting;
        self.totals
    }

    fn submit_jobs(&mut self) {
        self.due_jobs += self.rate;
        while 1.0 <= self.due_jobs {
            self.due_jobs -= 1.0;
            self.jobs += 1;
            self.events.push(Event::Job(job(self.jobs, self.now)));
        }
    }

    fn run_workers(&mut self) {
        let now = self.now;
        for (worker, simulated) in &mut self.workers {
            let finished: Vec<TaskId> = simulated
                .runs
                .iter()
                .filter(|(_, (_, end))| *end <= now)
                .map(|(task, _)| *task)
                .collect();
            for task in finished {
                let Some((run, _)) = simulated.runs.remove(&task) else {
                    continue;
                };
                let (number, checkpoint) = (simulated.next_end, String::new());
                simulated.next_end += 1;
                simulated.ends.push_back(EndedRun {
                    number,
                    task,
                    run,
                    how: RunOutcome::Done,
                    checkpoint,
                });
            }
            let is_due = |(_, until): &(Steady, u64)| !simulated.ends.is_empty() || *until <= now;
            if let Some((sent, _)) = simulated.poll.take_if(|poll| is_due(poll)) {
                let present = simulated.runs.iter().map(|(task, (run, _))| PresentRun {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                    percent: 50,
                    gauge: 4_500,
                });
                let ended = simulated.ends.iter().cloned().collect();
                let response = PollResponse {
                    born: None,
                    clock_ms: 500 + now,
                    present: present.collect(),
                    ended,
                };
                let end = OrderResult::Done(response);
                self.events.push(Event::Polled { worker: worker.clone(), sent, end });
            }
        }
    }

    /// Passes the events to the owner, which then makes its decisions.
    fn decide(&mut self) -> Vec<Effect> {
        let (events, now) = (std::mem::take(&mut self.events), now_at(self.now));
        let events = self.receive(events);
        let mut out = Vec::new();
        let began = Instant::now();
        for event in events {
            self.owner.handle(event, now, &mut out);
        }
        self.owner.set_confirmed(now.steady);
        self.owner.tick(now, &mut out);
        let writes = self.owner.take_saves(usize::MAX);
        self.owner.note_saved(&writes, Revision(2 + self.now));
        self.owner.take_finished(usize::MAX);
        self.totals.deciding += began.elapsed();
        if let Some(roster_write) = self.owner.roster_note(usize::MAX) {
            self.owner.note_roster_written(&roster_write, Revision(2 + self.now));
        }
        out
    }

    /// Encodes orders, and decodes them as another node does.
    fn send(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        let began = Instant::now();
        let numbered = effects.iter().enumerate().map(|(number, effect)| (number as u32, effect));
        let mut bytes = Vec::new();
        let batch = wire::batch(&mut self.numbering, numbered);
        ciborium::into_writer(&batch, &mut bytes).expect("rows can be encoded as CBOR");
        self.totals.messages += began.elapsed();
        self.totals.bytes += bytes.len();
        let batch: Batch = ciborium::from_reader(&bytes[..]).expect("encoded rows can be decoded");
        wire::orders(&mut self.worker_table, batch).into_iter().map(|order| order.effect).collect()
    }

    /// Encodes the results of polls, and decodes them as the owner's node does.
    fn receive(&mut self, events: Vec<Event>) -> Vec<Event> {
        let mut answers = Answers::default();
        let (mut polls, mut others) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::Polled { worker, sent, end } => {
                    wire::add_answer(&mut answers, polls.len() as u32, Answer::Poll(end));
                    polls.push((worker, sent));
                }
                other => others.push(other),
            }
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&answers, &mut bytes).expect("rows can be encoded as CBOR");
        self.totals.bytes += bytes.len();
        let began = Instant::now();
        let answers: Answers =
            ciborium::from_reader(&bytes[..]).expect("encoded rows can be decoded");
        let read = wire::read_answers(answers);
        self.totals.messages += began.elapsed();
        for ((worker, sent), (_, answer)) in polls.into_iter().zip(read) {
            if let Answer::Poll(end) = answer {
                others.push(Event::Polled { worker, sent, end });
            }
        }
        others
    }

    fn execute(&mut self, effect: Effect) {
        let (now, clock) = (self.now, 500 + self.now);
        match effect {
            Effect::Start { to, start } => {
                let (task, run) = (start.task, start.run);
                if let Some(simulated) = self.workers.get_mut(&to.worker) {
                    simulated.runs.insert(task, (run, now + TASK_MS));
                }
                self.totals.started += 1;
                let end = OrderResult::Done(clock);
                self.events.push(Event::Started { worker: to.worker, task, run, end });
            }
            Effect::Poll { to, acknowledged, wait, .. } => {
                if let Some(simulated) = self.workers.get_mut(&to.worker) {
                    simulated.ends.retain(|end| acknowledged < end.number);
                    simulated.poll =
                        Some((Steady::from_millis(now), now + wait.as_millis() as u64));
                }
            }
            Effect::Stop { .. } | Effect::Throttle { .. } | Effect::Advise { .. } => {}
        }
    }
}

fn now_at(now: u64) -> Now {
    Now { steady: Steady::from_millis(now), wall: Time::from_millis(1_000_000 + now) }
}

fn report(number: usize, capacity: TaskResources) -> WorkerReport {
    let id = |kind: &str| format!("{kind}-{number}");
    WorkerReport {
        id: id("w").parse().expect("worker name is valid"),
        host: id("h").parse().expect("host name is valid"),
        pool: "pool".parse().expect("pool name is valid"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        zone: "zone".parse().expect("zone name is valid"),
        capacity,
        labels: vec!["kind".to_owned(), format!("r{}", number / 12)],
        leaves_ms: None,
        cold_ms: 0,
    }
}

fn job(number: u64, now: u64) -> StoredJob {
    let need = TaskResources { cpu: TASK_CPU, memory: Megabytes(16_000), gpus: 0 };
    let step = Step { count: TASKS_PER_JOB, need, estimate_ms: TASK_MS, ..Step::default() };
    let record = JobRecord {
        queue: "q".to_owned(),
        pool: "pool".parse().expect("pool name is valid"),
        payload: "p".repeat(150).into(),
        steps: vec![step],
        repeats: 0,
        first: Time::default(),
        every_ms: 0,
        account: None,
        priority: 0,
        max_attempts: 3,
        stretch_percent: 160,
        target_ms: 600,
        advice: None,
        accepted: Time::from_millis(1_000_000 + now),
    };
    StoredJob {
        id: JobId::from_number(number),
        record: Arc::new(record),
        revision: Revision(1 + number),
        progress: None,
        progress_revision: Revision(0),
        cancelled: false,
    }
}
