//! What an owner's decisions cost: processor time for each task of one pool at a peak, with workers
//! that answer at once, and with what the messages between nodes add.

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

/// Milliseconds of simulated time between two decisions.
const STEP_MS: u64 = 10;

/// How long the pool is played, in simulated milliseconds.
const PLAYED_MS: u64 = 4_000;

/// How long a task runs, in milliseconds.
const WORK_MS: u64 = 800;

/// Tasks of a job: one step.
const TASKS: u32 = 8;

/// What a task needs: some seven fit on a worker.
const TASK_CPU: Millicores = Millicores(4_500);

/// Jobs that come for each that the workers can do at one time: above one, a backlog grows.
const LOADS: [f64; 2] = [0.8, 2.0];

/// Runs the experiment.
pub(crate) fn measure() -> Figures {
    let cases = SIZES.iter().flat_map(|size| LOADS.iter().map(|load| (*size, *load)));
    let rows = cases.map(|(size, load)| {
        let played = Pool::new(size, load).play();
        let micros = |spent: Duration| spent.as_secs_f64() * 1e6 / played.started.max(1) as f64;
        vec![
            size.to_string(),
            format!("{load}"),
            played.started.to_string(),
            format!("{:.1}", micros(played.deciding)),
            format!("{:.1}", micros(played.messages)),
            format!("{:.0}", played.bytes as f64 / played.started.max(1) as f64),
            played.waiting.to_string(),
        ]
    });
    Figures {
        title: format!("An owner's decisions, {} s of a peak, one run", PLAYED_MS / 1000),
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
            "Deciding: all that the owner does for starts, looks and ends, without any call."
                .into(),
            "Messages: orders written and answers read, as one other node carries out all.".into(),
        ],
    }
}

/// What was played.
#[derive(Default)]
struct Played {
    started: u64,
    deciding: Duration,
    messages: Duration,
    bytes: usize,
    waiting: usize,
}

/// A worker that answers at once.
#[derive(Default)]
struct Host {
    runs: BTreeMap<TaskId, (u32, u64)>,
    ends: VecDeque<EndedRun>,
    next: u64,
    /// A look that waits for an end until a moment, and how it is told.
    look: Option<(Steady, u64)>,
}

struct Pool {
    owner: Owner,
    now: u64,
    hosts: HashMap<Incarnation, Host>,
    jobs: u64,
    /// Jobs that come in each step.
    rate: f64,
    due: f64,
    events: Vec<Event>,
    namer: WorkerNumbering,
    names: WorkerTable,
    played: Played,
}

impl Pool {
    fn new(size: usize, load: f64) -> Pool {
        let mut owner = Owner::new(1, 0, Steady::default());
        let (mut hosts, mut out) = (HashMap::new(), Vec::new());
        let room = TaskResources { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 };
        for number in 0..size {
            let report = report(number, room);
            hosts.insert(report.id.clone(), Host { next: 1, ..Host::default() });
            owner.handle(Event::Worker(report), at(0), &mut out);
        }
        let at_once = size as f64 * f64::from(room.cpu.0 / TASK_CPU.0);
        let jobs_a_ms = at_once / WORK_MS as f64 / f64::from(TASKS);
        Pool {
            owner,
            now: 0,
            hosts,
            jobs: 0,
            rate: jobs_a_ms * STEP_MS as f64 * load,
            due: 0.0,
            events: Vec::new(),
            namer: WorkerNumbering::default(),
            names: WorkerTable::default(),
            played: Played::default(),
        }
    }

    fn play(mut self) -> Played {
        while self.now < PLAYED_MS {
            self.now += STEP_MS;
            self.hand_in();
            self.run_hosts();
            let effects = self.decide();
            let effects = self.send(effects);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.played.waiting = self.owner.summary().waiting;
        self.played
    }

    fn hand_in(&mut self) {
        self.due += self.rate;
        while 1.0 <= self.due {
            self.due -= 1.0;
            self.jobs += 1;
            self.events.push(Event::Job(job(self.jobs, self.now)));
        }
    }

    fn run_hosts(&mut self) {
        let now = self.now;
        for (worker, host) in &mut self.hosts {
            let over: Vec<TaskId> = host
                .runs
                .iter()
                .filter(|(_, (_, end))| *end <= now)
                .map(|(task, _)| *task)
                .collect();
            for task in over {
                let Some((run, _)) = host.runs.remove(&task) else {
                    continue;
                };
                let (number, saved) = (host.next, String::new());
                host.next += 1;
                host.ends.push_back(EndedRun {
                    number,
                    task,
                    run,
                    how: RunOutcome::Done,
                    checkpoint: saved,
                });
            }
            let answers = |(_, until): &(Steady, u64)| !host.ends.is_empty() || *until <= now;
            if let Some((sent, _)) = host.look.take_if(|look| answers(look)) {
                let present = host.runs.iter().map(|(task, (run, _))| PresentRun {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                    percent: 50,
                    gauge: 4_500,
                });
                let ended = host.ends.iter().cloned().collect();
                let look = PollResponse {
                    born: None,
                    clock_ms: 500 + now,
                    present: present.collect(),
                    ended,
                };
                let end = OrderResult::Done(look);
                self.events.push(Event::Polled { worker: worker.clone(), sent, end });
            }
        }
    }

    /// The owner hears of what happened, and decides.
    fn decide(&mut self) -> Vec<Effect> {
        let (events, now) = (std::mem::take(&mut self.events), at(self.now));
        let events = self.receive(events);
        let mut out = Vec::new();
        let began = Instant::now();
        for event in events {
            self.owner.handle(event, now, &mut out);
        }
        self.owner.set_confirmed(now.steady);
        self.owner.tick(now, &mut out);
        let saves = self.owner.take_saves(usize::MAX);
        self.owner.note_saved(&saves, Revision(2 + self.now));
        self.owner.take_finished(usize::MAX);
        self.played.deciding += began.elapsed();
        if let Some(note) = self.owner.roster_note(usize::MAX) {
            self.owner.note_roster_written(&note, Revision(2 + self.now));
        }
        out
    }

    /// Orders as another node reads them.
    fn send(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        let began = Instant::now();
        let numbered = effects.iter().enumerate().map(|(number, effect)| (number as u32, effect));
        let mut bytes = Vec::new();
        let batch = wire::batch(&mut self.namer, numbered);
        ciborium::into_writer(&batch, &mut bytes).expect("rows are written as CBOR");
        self.played.messages += began.elapsed();
        self.played.bytes += bytes.len();
        let batch: Batch = ciborium::from_reader(&bytes[..]).expect("what was written is read");
        wire::orders(&mut self.names, batch).into_iter().map(|order| order.effect).collect()
    }

    /// Looks as the owner reads them.
    fn receive(&mut self, events: Vec<Event>) -> Vec<Event> {
        let mut answers = Answers::default();
        let (mut looks, mut others) = (Vec::new(), Vec::new());
        for event in events {
            match event {
                Event::Polled { worker, sent, end } => {
                    wire::add_answer(&mut answers, looks.len() as u32, Answer::Poll(end));
                    looks.push((worker, sent));
                }
                other => others.push(other),
            }
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&answers, &mut bytes).expect("rows are written as CBOR");
        self.played.bytes += bytes.len();
        let began = Instant::now();
        let answers: Answers = ciborium::from_reader(&bytes[..]).expect("what was written is read");
        let read = wire::read_answers(answers);
        self.played.messages += began.elapsed();
        for ((worker, sent), (_, answer)) in looks.into_iter().zip(read) {
            if let Answer::Poll(end) = answer {
                others.push(Event::Polled { worker, sent, end });
            }
        }
        others
    }

    fn carry_out(&mut self, effect: Effect) {
        let (now, clock) = (self.now, 500 + self.now);
        match effect {
            Effect::Start { to, start } => {
                let (task, run) = (start.task, start.run);
                if let Some(host) = self.hosts.get_mut(&to.worker) {
                    host.runs.insert(task, (run, now + WORK_MS));
                }
                self.played.started += 1;
                let end = OrderResult::Done(clock);
                self.events.push(Event::Started { worker: to.worker, task, run, end });
            }
            Effect::Poll { to, acknowledged, wait, .. } => {
                if let Some(host) = self.hosts.get_mut(&to.worker) {
                    host.ends.retain(|end| acknowledged < end.number);
                    host.look = Some((Steady::from_millis(now), now + wait.as_millis() as u64));
                }
            }
            Effect::Stop { .. } | Effect::Throttle { .. } | Effect::Advise { .. } => {}
        }
    }
}

fn at(now: u64) -> Now {
    Now { steady: Steady::from_millis(now), wall: Time::from_millis(1_000_000 + now) }
}

fn report(number: usize, room: TaskResources) -> WorkerReport {
    let id = |kind: &str| format!("{kind}-{number}");
    WorkerReport {
        id: id("w").parse().expect("a worker's name"),
        host: id("h").parse().expect("a host's name"),
        pool: "pool".parse().expect("a pool's name"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        zone: "zone".parse().expect("a zone's name"),
        capacity: room,
        labels: vec!["kind".to_owned(), format!("r{}", number / 12)],
        leaves_ms: None,
    }
}

fn job(number: u64, now: u64) -> StoredJob {
    let need = TaskResources { cpu: TASK_CPU, memory: Megabytes(16_000), gpus: 0 };
    let step = Step { count: TASKS, need, estimate_ms: WORK_MS, ..Step::default() };
    let record = JobRecord {
        queue: "q".to_owned(),
        pool: "pool".parse().expect("a pool's name"),
        payload: "p".repeat(150).into(),
        steps: vec![step],
        repeats: 0,
        first: Time::default(),
        every_ms: 0,
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
