//! Fuzzing of what a node owns while leases end and follow each other, answers are delayed and the
//! view lags. An ownership won under a lease that the store has ended must be dropped, whatever
//! lease the node holds by then.

mod acknowledgements;
mod balance;
mod failed_links;
mod load;
mod loop_load;
mod reach;
mod shutdown;
mod stale_view;
mod waiting_report;
mod zones;

use std::{cell::Cell, collections::BTreeMap, sync::Arc, time::Duration};

use bolero::TypeGenerator;
use serde_json::{Value, json};
use tokio::{runtime, sync::mpsc};

use super::{ControlLoop, Input, Ownership, json as bytes};
use crate::{
    jobs::{event::Event, owner::LEASE_MS},
    model::{
        job::{JobId, JobState, Progress, StepId, TaskId},
        unit::{Millicores, Now, Revision, Steady},
        worker::{EndedRun, OrderResult, PollResponse, RunOutcome, WorkerReport},
    },
    platform::{
        kv::{Change, Kv},
        records::OPERATOR_PREFIX,
        store::LeaseId,
        worker_client::WorkerClient,
    },
    scheduler::{
        Node, accept, keys,
        lease::{Lease, Tenure},
        metrics::Metrics,
        node, tombstone,
        view::{NodeRecord, OwnerRecord, age::Extent},
    },
    settings::scheduler::parse,
    tests::{fuzz, sample},
};

/// Nothing listens here: calls of the store begin, but the test ends before they are sent.
const UNREACHABLE: &str = "127.0.0.1:1";

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// The lease is renewed, or a new one is granted.
    RenewLease,
    /// The store reports that the lease has ended.
    EndLease,
    /// A write that tries to acquire ownership is sent.
    Acquire {
        fleet: bool,
    },
    /// The answer arrives that the write has won.
    ConfirmAcquired,
    /// The view receives the owner record that was last won.
    ShowOwner,
    /// An input without changes arrives.
    HandleInput,
    Tick,
}

struct Simulation {
    node: Arc<Node>,
    lease: Arc<Lease>,
    control_loop: ControlLoop,
    next_lease: LeaseId,
    /// Writes in flight, with the lease that each of them carries.
    pending_writes: Vec<(String, LeaseId)>,
    /// The lease under which each token was won.
    won_leases: BTreeMap<u64, LeaseId>,
    last_won: Option<(String, u64)>,
    /// Number of held tokens, summed over all checks.
    held_tokens: usize,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation::with_settings(&json!({}))
    }

    /// A node whose zones must be evacuated within `bound_ms`; 0 if they are not evacuated.
    fn with_evacuations(bound_ms: u64) -> Simulation {
        Simulation::with_settings(&json!({ "zones": { "evacuate_ms": bound_ms } }))
    }

    /// A node with further settings.
    fn with_settings(further: &Value) -> Simulation {
        let mut settings = json!({
            "node": "one", "zone": "hall-a",
            "listen": { "callers": UNREACHABLE, "readiness": UNREACHABLE, "metrics": UNREACHABLE },
            "platform": { "store": UNREACHABLE, "hosts": UNREACHABLE },
        });
        for (name, value) in further.as_object().unwrap() {
            settings[name] = value.clone();
        }
        let settings = parse("settings", &settings.to_string()).unwrap();
        let kv = Kv::new(UNREACHABLE, Duration::from_millis(LEASE_MS), |_, _, _| {});
        let node =
            node(settings, kv, Arc::new(Metrics::new()), accept::queue().0, tombstone::queue().0);
        node.view().ready.insert(keys::ROOT);
        let lease = Arc::new(Lease::default());
        let (inputs, _) = mpsc::unbounded_channel();
        let control_loop =
            ControlLoop::new(node.clone(), lease.clone(), WorkerClient::new(), inputs);
        Simulation {
            node,
            lease,
            control_loop,
            next_lease: 1,
            pending_writes: Vec::new(),
            won_leases: BTreeMap::new(),
            last_won: None,
            held_tokens: 0,
        }
    }

    fn confirm_acquired(&mut self) {
        let Some((name, id)) = self.pending_writes.pop() else {
            return;
        };
        let token = self.won_leases.len() as u64 + 1;
        self.won_leases.insert(token, id);
        self.last_won = Some((name.clone(), token));
        let tenure = Tenure::new(&self.lease, id, self.node.now().steady);
        let won = Some(Ownership { token, earlier_owners: 0, tenure });
        self.control_loop.handle(Input::Acquired { name, won });
        self.check();
    }

    /// The watches of the records and of the operator are answered: nothing has changed up to this
    /// time.
    fn answer_watches(&self, until: Steady) {
        let mut view = self.node.view();
        let call = view.ages.start_call(until);
        for prefix in [keys::ROOT, OPERATOR_PREFIX] {
            view.ages.note_answer(prefix, call, Extent::Unchanged(Revision(0), until));
        }
    }

    /// Applies a write of one of our records to the view.
    fn apply_write(&mut self, key: String, value: Vec<u8>) {
        let revision = Revision(self.won_leases.len() as u64 + 100);
        self.node.view().apply(Change { key, revision, value: Some(value.into()) });
    }

    fn show_owner(&mut self) {
        let Some((name, token)) = self.last_won.take() else {
            return;
        };
        let record = bytes(&OwnerRecord { node: "one".to_owned(), life: 1 });
        let (key, revision) = (keys::owner(&name), Revision(token));
        let mut view = self.node.view();
        view.apply(Change { key, revision, value: Some(record.into()) });
        view.known_revision = view.known_revision.max(revision);
    }

    /// Checks what the node holds after an iteration or an input.
    fn check(&mut self) {
        let won = self.control_loop.won.values().map(|won| won.token);
        let owned = self.control_loop.owned.values().map(|owned| owned.owner.token);
        let fleet = self.control_loop.fleet.iter().map(|owned| owned.fleet.token);
        for token in won.chain(owned).chain(fleet) {
            self.held_tokens += 1;
            let (won_lease, now) = (self.won_leases[&token], self.lease.last());
            assert_eq!(
                Some(won_lease),
                now,
                "token {token} is still held, won under lease {won_lease}"
            );
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::RenewLease => {
                let id = self.lease.last().unwrap_or_else(|| {
                    self.next_lease += 1;
                    self.next_lease
                });
                let sent = self.node.now().steady;
                self.lease.note_renewed(id, sent, Duration::from_millis(LEASE_MS), sent);
            }
            Op::EndLease => self.lease.note_ended(),
            Op::Acquire { fleet } => {
                let name = if fleet { keys::FLEET } else { "pool-work" };
                let lease = self.lease.held(self.node.now().steady);
                self.pending_writes.extend(lease.map(|id| (name.to_owned(), id)));
            }
            Op::ConfirmAcquired => self.confirm_acquired(),
            Op::ShowOwner => self.show_owner(),
            Op::HandleInput => {
                self.control_loop.handle(Input::Deltas(Vec::new()));
                self.check();
            }
            Op::Tick => {
                self.control_loop.tick();
                self.check();
            }
        }
    }
}

#[test]
fn ownership_won_under_an_ended_lease_is_dropped() {
    let held_tokens = Cell::new(0);
    fuzz(300, 60, |ops: &[Op]| {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let _entered = runtime.enter();
        let mut simulation = Simulation::new();
        ops.iter().for_each(|op| simulation.apply(*op));
        held_tokens.set(held_tokens.get() + simulation.held_tokens);
    });
    assert!(1_000 < held_tokens.get(), "only {} tokens checked: too few", held_tokens.get());
}

/// A process was paused for 3.3 s. Meanwhile its lease expired, and another node acquired the pool,
/// received the end of a task's first run and reported the job as succeeded. The first owner had
/// rightly assumed that run to have lapsed, and the next run had failed. Two milliseconds after it
/// resumed, it ordered a third run, within the grace period of its lease and before any call to the
/// store.
#[test]
fn no_order_is_sent_after_a_pause_until_the_store_confirms_the_owner() {
    for pause_ms in [1_100, 2_500, 3_300] {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let _entered = runtime.enter();
        let mut simulation = Simulation::new();
        for op in [
            Op::RenewLease,
            Op::Acquire { fleet: false },
            Op::ConfirmAcquired,
            Op::ShowOwner,
            Op::Tick,
        ] {
            simulation.apply(op);
        }
        let send_check = simulation.control_loop.send_check("pool-work");
        assert!(send_check());
        simulation.node.clock.simulate_pause(pause_ms);
        assert!(!send_check(), "an order decided before a pause of {pause_ms} ms may be sent");
        simulation.apply(Op::RenewLease);
        assert!(!send_check(), "a lease renewal does not confirm the owner");
        let tenure = simulation.control_loop.owned["pool-work"].tenure.clone();
        tenure.confirm(simulation.node.now().steady);
        assert!(send_check());
    }
}

/// Ends of a job that its owner does not know are acknowledged once the job is known to be over,
/// but not while its progress cannot be read.
#[test]
fn ends_of_unknown_jobs_are_kept_until_the_job_is_known_to_be_over() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    let [absent, unreadable, ended] = [1, 2, 3].map(JobId::from_number);
    let record = bytes(&sample::job_record(Vec::new()));
    let succeeded = Progress { state: JobState::Succeeded, ..Progress::default() };
    simulation.apply_write(keys::job(&"work".parse().unwrap(), unreadable), record);
    simulation.apply_write(keys::progress(unreadable), b"{".to_vec());
    simulation.apply_write(keys::progress(ended), bytes(&succeeded));
    let now = simulation.node.now();
    let ends = [absent, unreadable, ended].map(|job| {
        let task = TaskId { of: StepId { job, occurrence: 0, step: 0 }, index: 0 };
        EndedRun {
            number: task.of.job.number(),
            task,
            run: 1,
            how: RunOutcome::Done,
            checkpoint: String::new(),
        }
    });
    let owned = simulation.control_loop.owned.get_mut("pool-work").unwrap();
    let mut out = Vec::new();
    let worker = WorkerReport::placeholder(&"w1".parse().unwrap(), "work").unwrap();
    owned.owner.handle(Event::Worker(worker), now, &mut out);
    let response =
        PollResponse { born: None, clock_ms: 1, present: Vec::new(), ended: ends.to_vec() };
    let end = OrderResult::Done(response);
    let polled = Event::Polled { worker: "w1".parse().unwrap(), sent: now.steady, end };
    owned.owner.handle(polled, now, &mut out);
    let unknown = |simulation: &Simulation| {
        let jobs = simulation.control_loop.owned["pool-work"].owner.unknown_jobs();
        jobs.into_iter().map(|(job, _)| job).collect::<Vec<JobId>>()
    };
    assert_eq!(unknown(&simulation), [absent, unreadable, ended]);
    simulation.control_loop.resolve_unknown_jobs("pool-work", now);
    assert_eq!(unknown(&simulation), [absent, unreadable]);
    let later = Now { steady: now.steady.after(10_000), ..now };
    simulation.control_loop.resolve_unknown_jobs("pool-work", later);
    assert_eq!(unknown(&simulation), [absent, unreadable], "the view may not include the job yet");
    simulation.answer_watches(later.steady);
    simulation.control_loop.resolve_unknown_jobs("pool-work", later);
    assert_eq!(unknown(&simulation), [unreadable], "its progress may become readable");
}

/// A task that must run once ran twice: the owner's own watch was silent and the mirror lagged, so
/// a job that another owner had begun was not in the view when a worker listed an end of it. After
/// three seconds the job was assumed to be over, its end was acknowledged, and the task was started
/// once the job arrived.
#[test]
fn a_job_missing_from_a_stale_view_is_not_assumed_to_be_over() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    let (now, job) = (simulation.node.now(), JobId::from_number(1));
    let task = TaskId { of: StepId { job, occurrence: 0, step: 0 }, index: 0 };
    let ended = vec![EndedRun {
        number: 1,
        task,
        run: 1,
        how: RunOutcome::Done,
        checkpoint: String::new(),
    }];
    let owned = simulation.control_loop.owned.get_mut("pool-work").unwrap();
    let mut out = Vec::new();
    let worker = WorkerReport::placeholder(&"w1".parse().unwrap(), "work").unwrap();
    owned.owner.handle(Event::Worker(worker), now, &mut out);
    let end =
        OrderResult::Done(PollResponse { born: None, clock_ms: 1, present: Vec::new(), ended });
    let polled = Event::Polled { worker: "w1".parse().unwrap(), sent: now.steady, end };
    owned.owner.handle(polled, now, &mut out);
    let later = Now { steady: now.steady.after(10_000), ..now };
    simulation.control_loop.resolve_unknown_jobs("pool-work", later);
    assert_eq!(simulation.control_loop.owned["pool-work"].owner.unknown_jobs().len(), 1);
}

/// After a change of owners, the first polls of 550 workers were all sent by the new owner's node,
/// which has time for a fifth of them: delegates were chosen a quarter of a second later.
/// Connecting and the first answer share the limit of 300 ms of one call, so many live workers were
/// assumed to be silent and polled again.
#[test]
fn the_first_polls_of_a_large_pool_are_delegated() {
    const WORKERS: usize = 550;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    // It owns nothing yet, and has just chosen its delegates.
    for op in [Op::RenewLease, Op::Tick] {
        simulation.apply(op);
    }
    for number in 0..60u16 {
        let record = NodeRecord {
            cpu: Millicores(120),
            peers: Some(([127, 0, 0, 1], 1 + number).into()),
            secret: None,
            zone: None,
        };
        simulation.apply_write(keys::node(&format!("n{number}")), bytes(&record));
    }
    for number in 0..WORKERS {
        let entry = json!({ "service": "work", "address": UNREACHABLE, "zone": "z",
            "state": "ready", "machine": format!("h{number}"),
            "capacity": { "cpu": 32_000, "mem_mb": 64_000 }, "labels": ["a", "r"] });
        simulation.apply_write(format!("servers/w{number}"), bytes(&entry));
    }
    for op in [Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick] {
        simulation.apply(op);
    }
    let orders = simulation.control_loop.owned["pool-work"].order_counts.take_summary();
    assert_eq!(orders.pending, WORKERS as u64, "one poll for each worker");
    assert_eq!(orders.own, 0, "polls called directly by the owner's node");
}
