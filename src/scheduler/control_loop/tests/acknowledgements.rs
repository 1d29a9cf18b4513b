//! Acknowledgements of ends on a node whose iterations take longer than a millisecond.

use std::{sync::Arc, time::Duration};

use tokio::{
    runtime::{Builder, Runtime},
    sync::mpsc,
    time::sleep,
};

use super::{Op, Simulation, UNREACHABLE};
use crate::{
    jobs::event::{Event, StoredJob},
    model::{
        id::{Incarnation, StartTime},
        job::{JobId, Step, StepId, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Revision, Steady},
        worker::{EndedRun, OrderResult, PollResponse, RunOutcome, WorkerReport},
    },
    scheduler::control_loop::Input,
    tests::sample,
};

const POOL: &str = "pool-work";

/// A node that owns a pool with one worker, and the results of its orders.
struct Harness {
    runtime: Runtime,
    simulation: Simulation,
    results: mpsc::UnboundedReceiver<Input>,
    worker: Incarnation,
    clock_ms: u64,
    /// How long an iteration takes from its decisions to its orders, in milliseconds.
    iteration_ms: u64,
}

impl Harness {
    fn start(worker: &str, iteration_ms: u64) -> Harness {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let entered = runtime.enter();
        let mut simulation = Simulation::new();
        let (inputs, results) = mpsc::unbounded_channel();
        simulation.control_loop.inputs = inputs;
        for op in [
            Op::RenewLease,
            Op::Acquire { fleet: false },
            Op::ConfirmAcquired,
            Op::ShowOwner,
            Op::Tick,
        ] {
            simulation.apply(op);
        }
        drop(entered);
        let worker: Incarnation = worker.parse().unwrap();
        let mut harness =
            Harness { runtime, simulation, results, worker, clock_ms: 1_000, iteration_ms };
        let report = WorkerReport::placeholder(&harness.worker, "work").unwrap();
        let capacity = TaskResources { cpu: Millicores(4_000), memory: Megabytes(8_000), gpus: 0 };
        let address = UNREACHABLE.to_owned();
        harness.deliver(Event::Worker(WorkerReport { address, capacity, ..report }));
        harness
    }

    fn deliver(&mut self, event: Event) {
        let _entered = self.runtime.enter();
        let control_loop = &mut self.simulation.control_loop;
        let token = control_loop.owned[POOL].owner.token;
        let (name, event) = (POOL.to_owned(), Box::new(event));
        let queued = std::time::Instant::now();
        control_loop.handle(Input::OwnerEvent { name, token, queued, event });
    }

    /// Runs one iteration, in which time passes between the decisions and the orders. Returns the
    /// results of the orders.
    fn iterate(&mut self) -> Vec<Event> {
        let entered = self.runtime.enter();
        self.simulation.apply(Op::RenewLease);
        let node = self.simulation.node.clone();
        let control_loop = &mut self.simulation.control_loop;
        let owned = control_loop.owned.get_mut(POOL).unwrap();
        let (token, now, mut effects) = (owned.owner.token, node.now(), Vec::new());
        owned.owner.tick(now, &mut effects);
        node.clock.simulate_pause(self.iteration_ms);
        control_loop.execute(POOL, token, effects, now.steady);
        drop(entered);
        self.persist_roster();
        self.runtime.block_on(async { sleep(Duration::from_millis(20)).await });
        let mut results = Vec::new();
        while let Ok(input) = self.results.try_recv() {
            if let Input::OwnerEvent { event, .. } = input {
                results.push(*event);
            }
        }
        results
    }

    fn persist_roster(&mut self) {
        let owned = self.simulation.control_loop.owned.get_mut(POOL).unwrap();
        if let Some(write) = owned.owner.roster_note(10) {
            owned.owner.note_roster_written(&write, Revision(2_000));
        }
    }

    /// Lets the worker answer one poll with these ends. Returns whether a start was ordered.
    fn answer_poll(&mut self, ended: &[EndedRun]) -> bool {
        for _ in 0..200 {
            let results = self.iterate();
            if results.iter().any(|event| matches!(event, Event::Started { .. })) {
                return true;
            }
            let polled = results.into_iter().find_map(|event| match event {
                Event::Polled { sent, .. } => Some(sent),
                _ => None,
            });
            if let Some(sent) = polled {
                self.answer(sent, ended.to_vec());
                return false;
            }
        }
        panic!("no order to the worker");
    }

    fn answer(&mut self, sent: Steady, ended: Vec<EndedRun>) {
        self.clock_ms += 20;
        let (born, clock_ms) = (Some(StartTime(1_000)), self.clock_ms);
        let end = OrderResult::Done(PollResponse { born, clock_ms, present: vec![], ended });
        let worker = self.worker.clone();
        self.deliver(Event::Polled { worker, sent, end });
    }
}

/// Guards against a worker that reports its start time and gets no work once its ends have been
/// acknowledged by an iteration that took longer than a millisecond.
#[test]
fn a_worker_whose_ends_are_acknowledged_in_a_long_iteration_gets_work() {
    for iteration_ms in [0, 2] {
        let is_started = gets_work_after_acknowledgement(iteration_ms);
        assert!(is_started, "no work though all polls are answered: {iteration_ms} ms");
    }
}

/// Whether a worker gets work after the ends that it had listed were acknowledged.
fn gets_work_after_acknowledgement(iteration_ms: u64) -> bool {
    let mut harness = Harness::start("w1@1000", iteration_ms);
    harness.answer_poll(&[]);
    harness.persist_roster();
    let job = JobId::from_number(1);
    let task = TaskId { of: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    let (how, checkpoint) = (RunOutcome::Done, String::new());
    harness.answer_poll(&[EndedRun { number: 1, task, run: 1, how, checkpoint }]);
    harness.deliver(Event::JobOver(job));
    harness.answer_poll(&[]);
    let need = TaskResources { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
    let step = Step { count: 1, need, estimate_ms: 1_000, ..Step::default() };
    harness.deliver(Event::Job(StoredJob {
        id: JobId::from_number(2),
        record: Arc::new(sample::job_record(vec![step])),
        revision: Revision(3_000),
        progress: None,
        progress_revision: Revision(0),
        cancelled: false,
    }));
    (0..10).any(|_| harness.answer_poll(&[]))
}
