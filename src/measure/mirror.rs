//! What it costs a node to keep its view like the store: processor time of each change that a watch
//! tells of, stage by stage, for a mix of records like that of a large deployment, and how long the
//! view is held by one answer.

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
        runner::WorkerClient,
    },
    scheduler::{
        Node, accept, demand,
        drive::{ControlLoop, Input, Ownership, json as bytes},
        keys,
        lease::{Lease, Tenure},
        metrics::Metrics,
        node,
        view::OwnerRecord,
    },
    settings::scheduler::parse,
};

/// Jobs that have not ended, for each row.
const OPEN: [usize; 3] = [300, 1_000, 3_000];

/// Jobs that are handed in a second.
const JOBS: f64 = 160.0;

/// Answers of the watch a second, and how many are taken in for each row.
const ANSWERS: usize = 10;
const PLAYED: usize = 10 * ANSWERS;

/// The share of a core that the node has, for what it carries.
const CORES: [f64; 2] = [0.5, 0.12];

/// What nobody listens at: no call is made.
const NOWHERE: &str = "127.0.0.1:1";

/// The lease under which pools are owned.
const LEASE: i64 = 1;

/// Who the node is.
#[derive(Clone, Copy)]
enum Role {
    /// It hears of everything, and owns nothing.
    Replica,
    /// It owns a pool with half of the workers.
    Owner,
}

/// Runs the experiment.
pub(crate) fn measure() -> Result<Figures, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start the runtime", error))?;
    let _entered = runtime.enter();
    let (mut rows, mut kinds) = (Vec::new(), Vec::new());
    for role in [Role::Replica, Role::Owner] {
        for open in OPEN {
            let (row, notes) = Trial::new(role, open).play();
            rows.push(row);
            if matches!(role, Role::Owner) && open == OPEN[1] {
                kinds = notes;
            }
        }
    }
    let mut notes = vec![
        format!(
            "{JOBS} jobs a second, 1,100 workers, 600 hosts that change pools each 5 s; {ANSWERS} \
             answers a second, {} s.",
            PLAYED / ANSWERS
        ),
        "Parse: the answer's JSON and base64. Apply: into the view, under its lock. React: what an \
         owner's loop makes of it. Carried: jobs a second with which one answer follows the other, \
         and nothing else is done. Hold: the longest time that one answer holds the view. Take up: \
         from a pool that was won to its first orders, which holds the view as well."
            .to_owned(),
    ];
    notes.extend(kinds);
    Ok(Figures {
        title: format!("Taking in what watches tell of, {JOBS} jobs a second, one core, one run"),
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

/// What a kind of record has cost.
#[derive(Default, Clone, Copy)]
struct Cost {
    changes: usize,
    bytes: usize,
    apply: Duration,
    react: Duration,
}

struct Trial {
    role: Role,
    open: usize,
    node: Arc<Node>,
    lease: Arc<Lease>,
    drive: ControlLoop,
    mix: Mix,
    /// How long it took to take up a pool, in milliseconds.
    taken_up: Option<f64>,
}

impl Trial {
    fn new(role: Role, open: usize) -> Trial {
        let settings = json!({
            "node": "one", "zone": "hall-a",
            "listen": { "callers": NOWHERE, "readiness": NOWHERE, "metrics": NOWHERE },
            "platform": { "store": NOWHERE, "hosts": NOWHERE },
        });
        let settings = parse("settings", &settings.to_string()).expect("settings that are right");
        let kv = Kv::new(NOWHERE, Duration::from_millis(LEASE_MS), |_, _, _| {});
        let node = node(settings, kv, Arc::new(Metrics::new()), accept::queue().0);
        let lease = Arc::new(Lease::default());
        let (to, _) = mpsc::unbounded_channel();
        let drive = ControlLoop::new(node.clone(), lease.clone(), WorkerClient::new(), to);
        let mix = Mix::new(open, JOBS / ANSWERS as f64);
        let mut trial = Trial { role, open, node, lease, drive, mix, taken_up: None };
        trial.renew();
        for (_, changes) in trial.mix.begin() {
            for change in changes {
                trial.node.view().apply(change);
            }
        }
        if matches!(role, Role::Owner) {
            trial.own(&keys::pool(&mix::pool(0)));
        }
        trial
    }

    fn renew(&self) {
        let now = self.node.now().steady;
        self.lease.note_renewed(LEASE, now, Duration::from_millis(LEASE_MS), now);
    }

    /// The node wins a pool and takes it up.
    fn own(&mut self, name: &str) {
        let token = self.mix.revision();
        let record = bytes(&OwnerRecord { node: "one".to_owned(), life: 1 });
        let (key, revision) = (keys::owner(name), Revision(token));
        let mut view = self.node.view();
        view.apply(Change { key, revision, value: Some(record.into()) });
        view.known_revision = revision;
        drop(view);
        let tenure = Tenure::new(&self.lease, LEASE, self.node.now().steady);
        let won = Some(Ownership::new(token, 0, tenure));
        self.drive.handle(Input::Acquired { name: name.to_owned(), won });
        let began = Instant::now();
        self.drive.tick();
        self.taken_up = Some(began.elapsed().as_secs_f64() * 1e3);
    }

    fn play(mut self) -> (Vec<String>, Vec<String>) {
        let mut costs = [Cost::default(); KINDS.len()];
        let (mut parse, mut hold, mut wire) = (Duration::ZERO, Duration::ZERO, 0);
        for _ in 0..PLAYED {
            self.renew();
            let mut held = Duration::ZERO;
            for (kind, changes) in self.mix.answer() {
                let body = mix::body(&changes, self.mix.revision());
                let began = Instant::now();
                let heard = kv::read_changes(&body).expect("what was written is read");
                parse += began.elapsed();
                wire += body.len();
                let cost = &mut costs[kind as usize];
                cost.changes += heard.changes.len();
                cost.bytes += body.len();
                held += self.take_in(heard.changes, cost);
            }
            hold = hold.max(held);
        }
        let total = costs.iter().fold(Cost::default(), |sum, cost| Cost {
            changes: sum.changes + cost.changes,
            bytes: sum.bytes + cost.bytes,
            apply: sum.apply + cost.apply,
            react: sum.react + cost.react,
        });
        let seconds = PLAYED as f64 / ANSWERS as f64;
        let each = |spent: Duration| spent.as_secs_f64() * 1e6 / total.changes as f64;
        let one = each(parse) + each(total.apply) + each(total.react);
        let a_job = total.changes as f64 / (seconds * JOBS);
        let carried = CORES.map(|share| format!("{:.0}", share * 1e6 / one / a_job));
        let row = vec![
            match self.role {
                Role::Replica => "replica".to_owned(),
                Role::Owner => "owner of 550".to_owned(),
            },
            self.open.to_string(),
            format!("{:.0}", total.changes as f64 / seconds),
            format!("{:.0}", wire as f64 / 1000.0 / seconds),
            format!("{:.2}", each(parse)),
            format!("{:.2}", each(total.apply)),
            format!("{:.2}", each(total.react)),
            format!("{:.0}", 1e6 / one),
            carried.join(", "),
            format!("{:.2}", hold.as_secs_f64() * 1e3),
            format!("{:.2}", self.demand()),
            self.taken_up.map_or("-".to_owned(), |took| format!("{took:.1}")),
        ];
        let notes = KINDS.into_iter().map(|kind| told(kind, &costs[kind as usize], seconds));
        (row, notes.collect())
    }

    /// Takes in changes as the mirror does; how long that held the view.
    fn take_in(&mut self, changes: Vec<Change>, cost: &mut Cost) -> Duration {
        let began = Instant::now();
        let mut view = self.node.view();
        let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
        drop(view);
        let held = began.elapsed();
        cost.apply += held;
        let began = Instant::now();
        if !deltas.is_empty() {
            self.drive.handle(Input::Deltas(deltas));
        }
        cost.react += began.elapsed();
        held
    }

    /// How long it takes to count what pools ask for, in milliseconds.
    fn demand(&self) -> f64 {
        let view = self.node.view();
        let began = Instant::now();
        let config = view.config.clone().unwrap_or_default();
        std::hint::black_box(demand::of_pools(&view, &config, Time::now()));
        began.elapsed().as_secs_f64() * 1e3
    }
}

fn told(kind: Kind, cost: &Cost, seconds: f64) -> String {
    let each = |figure: f64| figure / cost.changes.max(1) as f64;
    format!(
        "Owner, {} open: {kind:?}: {:.0} a second, {:.0} bytes, apply {:.2} us, react {:.2} us.",
        OPEN[1],
        cost.changes as f64 / seconds,
        each(cost.bytes as f64),
        each(cost.apply.as_secs_f64() * 1e6),
        each(cost.react.as_secs_f64() * 1e6),
    )
}
