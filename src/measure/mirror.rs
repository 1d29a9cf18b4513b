//! Cost of keeping a node's view up to date with the store: processor time of each change from a
//! watch, by stage, for a mix of records like that of a large deployment, and how long one answer
//! locks the view.

mod mix;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::{runtime, sync::mpsc};

use crate::{
    error::Error,
    jobs::owner::LEASE_MS,
    measure::{
        Figures,
        mirror::mix::{KINDS, Kind, Mix},
    },
    model::unit::{Revision, Time},
    platform::{
        kv::{self, Change, Kv},
        worker_client::WorkerClient,
    },
    scheduler::{
        Node, accept,
        control_loop::{ControlLoop, Input, Ownership, json as bytes},
        demand, keys,
        lease::{Lease, Tenure},
        metrics::Metrics,
        node, tombstone,
        view::OwnerRecord,
    },
    settings::scheduler::parse,
};

/// Open jobs, for each row.
const OPEN_JOBS: [usize; 3] = [300, 1_000, 3_000];

/// Jobs submitted per second.
const JOBS_PER_SECOND: f64 = 160.0;

/// Answers of the watch per second.
const ANSWERS_PER_SECOND: usize = 10;

/// Answers that are applied for each row.
const ANSWERS_PER_ROW: usize = 10 * ANSWERS_PER_SECOND;

/// Shares of a core for which the sustainable rate of jobs is computed.
const CORE_SHARES: [f64; 2] = [0.5, 0.12];

/// An address on which nothing listens: the experiment makes no calls.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// The lease under which the node owns pools.
const LEASE_ID: i64 = 1;

/// Role of the node.
#[derive(Clone, Copy)]
enum Role {
    /// Applies all changes, and owns nothing.
    Replica,
    /// Owns a pool with half of the workers.
    Owner,
}

/// Runs the experiment.
pub(crate) fn measure() -> Result<Figures, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start the runtime", error))?;
    let _entered = runtime.enter();
    let (mut rows, mut kinds) = (Vec::new(), Vec::new());
    for role in [Role::Replica, Role::Owner] {
        for open in OPEN_JOBS {
            let (row, notes) = Case::new(role, open).run();
            rows.push(row);
            if matches!(role, Role::Owner) && open == OPEN_JOBS[1] {
                kinds = notes;
            }
        }
    }
    let mut notes = vec![
        format!(
            "{JOBS_PER_SECOND} jobs per second, 1,100 workers, 600 hosts that change pools every \
             5 s; {ANSWERS_PER_SECOND} answers per second, {} s.",
            ANSWERS_PER_ROW / ANSWERS_PER_SECOND
        ),
        "Parse: the answer's JSON and base64. Apply: update of the view, under its lock. React: \
         processing by the control loop. Carried: the rate of jobs at which the node applies \
         answers without a pause, and does nothing else. Hold: the longest time for which one \
         answer locks the view. Demand: computing the demand of pools, with the view locked. Take \
         up: from the acquisition of a pool to its first orders, which locks the view as well."
            .to_owned(),
    ];
    notes.extend(kinds);
    Ok(Figures {
        title: format!(
            "Applying changes from watches, {JOBS_PER_SECOND} jobs per second, one core, one run"
        ),
        heading: vec![
            "node",
            "open jobs",
            "changes/s",
            "KB/s",
            "parse us",
            "apply us",
            "react us",
            "changes/s of a core",
            "carried jobs/s, 0.5 and 0.12 of a core",
            "hold ms",
            "demand ms",
            "take up ms",
        ],
        rows,
        notes,
    })
}

/// Cost of the changes of one kind.
#[derive(Default, Clone, Copy)]
struct Cost {
    changes: usize,
    bytes: usize,
    apply: Duration,
    react: Duration,
}

struct Case {
    role: Role,
    open: usize,
    node: Arc<Node>,
    lease: Arc<Lease>,
    control_loop: ControlLoop,
    mix: Mix,
    /// Time from the acquisition of a pool to its first orders, in milliseconds.
    acquisition_ms: Option<f64>,
}

impl Case {
    fn new(role: Role, open: usize) -> Case {
        let settings = json!({
            "node": "one", "zone": "hall-a",
            "listen": {
                "callers": UNUSED_ADDRESS, "readiness": UNUSED_ADDRESS, "metrics": UNUSED_ADDRESS,
            },
            "platform": { "store": UNUSED_ADDRESS, "hosts": UNUSED_ADDRESS },
        });
        let settings = parse("settings", &settings.to_string()).expect("settings are valid");
        let kv = Kv::new(UNUSED_ADDRESS, Duration::from_millis(LEASE_MS), |_, _, _| {});
        let node =
            node(settings, kv, Arc::new(Metrics::new()), accept::queue().0, tombstone::queue().0);
        let lease = Arc::new(Lease::default());
        let (inputs, _) = mpsc::unbounded_channel();
        let control_loop =
            ControlLoop::new(node.clone(), lease.clone(), WorkerClient::new(), inputs);
        let mix = Mix::new(open, JOBS_PER_SECOND / ANSWERS_PER_SECOND as f64);
        let mut case = Case { role, open, node, lease, control_loop, mix, acquisition_ms: None };
        case.renew_lease();
        for (_, changes) in case.mix.initial_records() {
            for change in changes {
                case.node.view().apply(change);
            }
        }
        if matches!(role, Role::Owner) {
            case.acquire_pool(&keys::pool(&mix::pool(0)));
        }
        case
    }

    fn renew_lease(&self) {
        let now = self.node.now().steady;
        self.lease.note_renewed(LEASE_ID, now, Duration::from_millis(LEASE_MS), now);
    }

    /// The node acquires a pool and makes its first decisions there.
    fn acquire_pool(&mut self, name: &str) {
        let token = self.mix.revision();
        let record = bytes(&OwnerRecord { node: "one".to_owned(), life: 1 });
        let (key, revision) = (keys::owner(name), Revision(token));
        let mut view = self.node.view();
        view.apply(Change { key, revision, value: Some(record.into()) });
        view.known_revision = revision;
        drop(view);
        let tenure = Tenure::new(&self.lease, LEASE_ID, self.node.now().steady);
        let won = Some(Ownership::new(token, 0, tenure));
        self.control_loop.handle(Input::Acquired { name: name.to_owned(), won });
        let began = Instant::now();
        self.control_loop.tick();
        self.acquisition_ms = Some(began.elapsed().as_secs_f64() * 1e3);
    }

    fn run(mut self) -> (Vec<String>, Vec<String>) {
        let mut costs = [Cost::default(); KINDS.len()];
        let (mut parse, mut max_lock_time, mut wire_bytes) = (Duration::ZERO, Duration::ZERO, 0);
        for _ in 0..ANSWERS_PER_ROW {
            self.renew_lease();
            let mut lock_time = Duration::ZERO;
            for (kind, changes) in self.mix.next_answer() {
                let body = mix::body(&changes, self.mix.revision());
                let began = Instant::now();
                let batch = kv::read_changes(&body).expect("generated answer is valid");
                parse += began.elapsed();
                wire_bytes += body.len();
                let cost = &mut costs[kind as usize];
                cost.changes += batch.changes.len();
                cost.bytes += body.len();
                lock_time += self.apply_changes(batch.changes, cost);
            }
            max_lock_time = max_lock_time.max(lock_time);
        }
        let total = costs.iter().fold(Cost::default(), |sum, cost| Cost {
            changes: sum.changes + cost.changes,
            bytes: sum.bytes + cost.bytes,
            apply: sum.apply + cost.apply,
            react: sum.react + cost.react,
        });
        let seconds = ANSWERS_PER_ROW as f64 / ANSWERS_PER_SECOND as f64;
        let micros_per_change = |spent: Duration| spent.as_secs_f64() * 1e6 / total.changes as f64;
        let total_micros = micros_per_change(parse)
            + micros_per_change(total.apply)
            + micros_per_change(total.react);
        let changes_per_job = total.changes as f64 / (seconds * JOBS_PER_SECOND);
        let job_rates =
            CORE_SHARES.map(|share| format!("{:.0}", share * 1e6 / total_micros / changes_per_job));
        let row = vec![
            match self.role {
                Role::Replica => "replica".to_owned(),
                Role::Owner => "owner of 550".to_owned(),
            },
            self.open.to_string(),
            format!("{:.0}", total.changes as f64 / seconds),
            format!("{:.0}", wire_bytes as f64 / 1000.0 / seconds),
            format!("{:.2}", micros_per_change(parse)),
            format!("{:.2}", micros_per_change(total.apply)),
            format!("{:.2}", micros_per_change(total.react)),
            format!("{:.0}", 1e6 / total_micros),
            job_rates.join(", "),
            format!("{:.2}", max_lock_time.as_secs_f64() * 1e3),
            format!("{:.2}", self.demand_ms()),
            self.acquisition_ms.map_or("-".to_owned(), |took| format!("{took:.1}")),
        ];
        let notes = KINDS.into_iter().map(|kind| kind_note(kind, &costs[kind as usize], seconds));
        (row, notes.collect())
    }

    /// Applies changes as the mirror does, and returns for how long that locked the view.
    fn apply_changes(&mut self, changes: Vec<Change>, cost: &mut Cost) -> Duration {
        let began = Instant::now();
        let mut view = self.node.view();
        let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
        drop(view);
        let lock_time = began.elapsed();
        cost.apply += lock_time;
        let began = Instant::now();
        if !deltas.is_empty() {
            self.control_loop.handle(Input::Deltas(deltas));
        }
        cost.react += began.elapsed();
        lock_time
    }

    /// Time to compute the demand of pools, in milliseconds.
    fn demand_ms(&self) -> f64 {
        let view = self.node.view();
        let began = Instant::now();
        let config = view.config.clone().unwrap_or_default();
        std::hint::black_box(demand::of_pools(&view, &config, Time::now()));
        began.elapsed().as_secs_f64() * 1e3
    }
}

fn kind_note(kind: Kind, cost: &Cost, seconds: f64) -> String {
    let each = |figure: f64| figure / cost.changes.max(1) as f64;
    format!(
        "Owner, {} open jobs: {kind:?}: {:.0} per second, {:.0} bytes, apply {:.2} us, react {:.2} \
         us.",
        OPEN_JOBS[1],
        cost.changes as f64 / seconds,
        each(cost.bytes as f64),
        each(cost.apply.as_secs_f64() * 1e6),
        each(cost.react.as_secs_f64() * 1e6),
    )
}
