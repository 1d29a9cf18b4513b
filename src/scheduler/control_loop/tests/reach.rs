//! Calls by way of a third node, over real sockets, while the owner's node does not reach a worker.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use poem::{Endpoint, Request, Response, http::StatusCode};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    time::{Instant, timeout},
};
use tokio_tungstenite::{accept_async, tungstenite::Message};

use super::{Op, Simulation};
use crate::{
    http,
    jobs::{
        event::{Effect, Event, StoredJob},
        reach::PathEnd,
        start::route::Caller,
        worker::WORKER_LEASE_MS,
    },
    model::{
        job::{JobId, Step, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Revision},
        worker::{OrderResult, PollResponse, PresentRun, WorkerReport},
    },
    platform::worker_client::START_CALL,
    scheduler::{
        control_loop::{Input, json as bytes},
        dispatch::wire::{self, Answer, Answers, Batch, WorkerTable},
        keys,
        view::NodeRecord,
    },
    tests::sample,
};

const POOL: &str = "pool-work";

/// How long the test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A worker with the runs that it was told to start, which it never ends.
#[derive(Default)]
struct Runs {
    started: Vec<(TaskId, u32)>,
    /// When it answered each poll, and whether a third node made the call.
    polls: Vec<(Instant, bool)>,
}

impl Runs {
    fn present(&self) -> impl Iterator<Item = (TaskId, u32)> {
        self.started.iter().copied()
    }
}

#[derive(Clone, Default)]
struct Worker {
    runs: Arc<Mutex<Runs>>,
    /// Whether calls of the owner's node get no answer.
    is_cut: Arc<AtomicBool>,
}

impl Endpoint for Worker {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let order: Value = http::read_json(&mut request, 9_999).await.unwrap();
        if self.is_cut.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let mut runs = self.runs.lock().unwrap();
        let mut answer = json!({ "clock_ms": 1_000 });
        if request.uri().path().ends_with(START_CALL) {
            let task = order["task"].as_str().unwrap().parse().unwrap();
            runs.started.push((task, order["run"].as_u64().unwrap() as u32));
        } else {
            runs.polls.push((Instant::now(), false));
            let running = runs.present().map(|(task, run)| json!([task.to_string(), run, "", 1.0]));
            answer["running"] = running.collect();
        }
        Ok(http::json(StatusCode::OK, &answer))
    }
}

/// A node in a third zone, which reaches the worker: it carries out the orders of one link.
async fn serve_third_node(listener: TcpListener, worker: Worker) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let worker = worker.clone();
        tokio::spawn(async move {
            let mut link = accept_async(stream).await.unwrap();
            let mut table = WorkerTable::default();
            while let Some(Ok(message)) = link.next().await {
                let Message::Binary(message) = message else {
                    continue;
                };
                let batch: Batch = ciborium::from_reader(&message[..]).unwrap();
                let mut answers = Answers::default();
                for order in wire::orders(&mut table, batch) {
                    wire::add_answer(&mut answers, order.number, carry_out(&worker, order.effect));
                }
                let mut message = Vec::new();
                ciborium::into_writer(&answers, &mut message).unwrap();
                if link.send(Message::binary(message)).await.is_err() {
                    return;
                }
            }
        });
    }
}

fn carry_out(worker: &Worker, effect: Effect) -> Answer {
    let mut runs = worker.runs.lock().unwrap();
    match effect {
        Effect::Start { start, .. } => {
            runs.started.push((start.task, start.run));
            Answer::Order(OrderResult::Done(1_000))
        }
        Effect::Poll { .. } => {
            runs.polls.push((Instant::now(), true));
            let present = runs.present().map(|(task, run)| PresentRun {
                task,
                run,
                checkpoint: String::new(),
                percent: 1,
                gauge: 0,
            });
            Answer::Poll(OrderResult::Done(PollResponse {
                born: None,
                clock_ms: 1_000,
                present: present.collect(),
                ended: Vec::new(),
            }))
        }
        _ => Answer::Order(OrderResult::Done(1_000)),
    }
}

/// The owner's node, which handles its inputs until a condition holds.
struct Owner {
    simulation: Simulation,
    inputs: mpsc::UnboundedReceiver<Input>,
}

impl Owner {
    fn start(third: SocketAddr, tolerated_losses: u32) -> Owner {
        let mut simulation = Simulation::with_settings(&json!({
            "zones": { "tolerated_losses": tolerated_losses },
        }));
        let (sender, inputs) = mpsc::unbounded_channel();
        simulation.control_loop.inputs = sender;
        let record = NodeRecord {
            cpu: Millicores(500),
            peers: Some(third),
            secret: None,
            zone: Some("hall-c".parse().unwrap()),
        };
        simulation.apply_write(keys::node("third"), bytes(&record));
        for op in [
            Op::RenewLease,
            Op::Acquire { fleet: false },
            Op::ConfirmAcquired,
            Op::ShowOwner,
            Op::Tick,
        ] {
            simulation.apply(op);
        }
        Owner { simulation, inputs }
    }

    fn list(&mut self, address: SocketAddr) {
        let entry = json!({ "service": "work", "address": address.to_string(), "zone": "hall-b",
            "state": "ready", "machine": "h1", "capacity": { "cpu": 4_000, "mem_mb": 8_000 },
            "labels": ["a", "r"] });
        self.simulation.apply_write("servers/w1".to_owned(), bytes(&entry));
        let report = self.simulation.node.view().workers.values().next().unwrap().value.clone();
        let report = WorkerReport {
            capacity: TaskResources { cpu: Millicores(4_000), memory: Megabytes(8_000), gpus: 0 },
            ..report
        };
        self.deliver(Event::Worker(report));
    }

    fn submit(&mut self) {
        let need = TaskResources { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
        let step = Step { count: 1, need, estimate_ms: 60_000, ..Step::default() };
        self.deliver(Event::Job(StoredJob {
            id: JobId::from_number(2),
            record: Arc::new(sample::job_record(vec![step])),
            revision: Revision(3_000),
            progress: None,
            progress_revision: Revision(0),
            cancelled: false,
        }));
    }

    fn deliver(&mut self, event: Event) {
        let control_loop = &mut self.simulation.control_loop;
        let token = control_loop.owned[POOL].owner.token;
        let (name, event) = (POOL.to_owned(), Box::new(event));
        let queued = std::time::Instant::now();
        control_loop.handle(Input::OwnerEvent { name, token, queued, event });
    }

    /// Handles inputs until the condition holds.
    async fn run_until(&mut self, what: &str, mut condition: impl FnMut(&Owner) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            if let Ok(Some(input)) = timeout(Duration::from_millis(20), self.inputs.recv()).await {
                self.simulation.control_loop.handle(input);
            }
            self.simulation.apply(Op::RenewLease);
            let (now, control_loop) =
                (self.simulation.node.now(), &mut self.simulation.control_loop);
            let owned = control_loop.owned.get_mut(POOL).unwrap();
            owned.tenure.confirm(now.steady);
            if let Some(write) = owned.owner.roster_note(10) {
                owned.owner.note_roster_written(&write, Revision(2_000));
            }
            control_loop.tick();
            control_loop.flush_outbox();
        }
    }
}

/// Has a run begin, and then cuts the path between the owner's node and the worker.
async fn cut_off_a_worker_with_a_run(tolerated_losses: u32) -> (Owner, Worker) {
    let worker = Worker::default();
    let (listener, address) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 64, worker.clone(), http::Stop::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let third = listener.local_addr().unwrap();
    tokio::spawn(serve_third_node(listener, worker.clone()));
    let mut owner = Owner::start(third, tolerated_losses);
    owner.list(address);
    owner.submit();
    let runs = worker.runs.clone();
    let polls_after_start = move |_: &Owner| {
        let runs = runs.lock().unwrap();
        !runs.started.is_empty() && 3 <= runs.polls.len()
    };
    owner.run_until("the run to begin", polls_after_start).await;
    worker.is_cut.store(true, Ordering::Relaxed);
    worker.runs.lock().unwrap().polls.clear();
    (owner, worker)
}

/// Between two zones that could not reach each other, owners counted their workers as lost, let
/// their runs lapse and started them again, while a third zone reached both.
#[tokio::test]
async fn a_worker_that_the_owner_does_not_reach_is_polled_by_way_of_a_third_node() {
    let (mut owner, worker) = cut_off_a_worker_with_a_run(1).await;
    let cut = Instant::now();
    let runs = worker.runs.clone();
    let is_polled =
        move |_: &Owner| 8 <= runs.lock().unwrap().polls.iter().filter(|(_, third)| *third).count();
    owner.run_until("polls by way of the third node", is_polled).await;
    let runs = worker.runs.lock().unwrap();
    assert_eq!(runs.started.len(), 1, "the run was started again: {:?}", runs.started);
    let first = runs.polls.iter().find(|(_, third)| *third).unwrap().0 - cut;
    eprintln!(
        "first poll by way of the third node {first:?} after the cut; lease {WORKER_LEASE_MS} ms"
    );
}

/// Without the setting, nobody but the owner's node calls the worker.
#[tokio::test]
async fn without_tolerated_losses_no_third_node_is_asked() {
    let (mut owner, worker) = cut_off_a_worker_with_a_run(0).await;
    let until = Instant::now() + Duration::from_secs(3);
    owner.run_until("three seconds to pass", |_| until <= Instant::now()).await;
    assert!(worker.runs.lock().unwrap().polls.iter().all(|(_, third)| !third));
}

/// A delegate that got no answer was called again at once, since its fault was forgotten with the
/// nodes that may help.
#[tokio::test]
async fn without_tolerated_losses_a_delegate_that_got_no_answer_is_passed_over() {
    let (mut owner, _) = cut_off_a_worker_with_a_run(0).await;
    let now = owner.simulation.node.now().steady;
    let control_loop = &mut owner.simulation.control_loop;
    let worker = control_loop.owned[POOL].owner.worker_ids().remove(0);
    let (target, delegate) = (control_loop.target(&worker), Caller::Node("third".to_owned()));
    control_loop.reach().note(&delegate, &target, PathEnd::Unanswered, now);
    control_loop.refresh_reach(now);
    let caller = control_loop.reach().choose(&target, &delegate, |_| true, now);
    assert_eq!(caller, Caller::Own);
}
