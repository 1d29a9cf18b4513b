//! The demo: drains two racks of a fleet of embedded stand-ins, over real sockets, while another
//! rack fails and a node is killed. It checks invariants while it runs, and fails if any was
//! violated.

mod callers;
mod checks;
pub(crate) mod nodes;
mod summary;

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use rand::{SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

use crate::{
    demo::{
        callers::Callers,
        checks::Checks,
        nodes::Fleet,
        summary::{Phase, Summary},
    },
    error::Error,
    model::{
        config::Config,
        id::RackId,
        plan::{Action, Plan, PlanState},
        unit::{PerSecond, Time},
    },
    operator::{
        client::Client,
        message::{ApplyAnswer, ApplyRequest, Decision, IntentRequest, PlanView, Rows, Selection},
        show,
    },
    preset::Preset,
    standin::worker::{self, HostFaults},
};

/// Number of nodes.
const NODES: u32 = 6;
/// Number of callers.
const CALLERS: u32 = 24;
/// Time limit until the fleet serves.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time limit of the wave.
const WAVE_LIMIT: Duration = Duration::from_secs(40);
/// How long callers run before the intent, and after the wave.
const STEADY_LOAD: Duration = Duration::from_secs(2);
/// How long the demo waits between the plan and its confirmation, to check that nothing moves.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(1500);
/// Time limit until a change is in force on every node.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Options of the demo.
pub(crate) struct Options {
    pub(crate) preset: Preset,
    pub(crate) seed: u64,
    pub(crate) export: Option<PathBuf>,
}

pub(crate) fn run(options: Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start threads", error))?;
    let summary = runtime.block_on(run_demo(&options))?;
    println!("{}", summary.text());
    if let Some(path) = &options.export {
        let step = || format!("write {}", path.display());
        std::fs::write(path, show::json(&summary)).map_err(|e| Error::system(step(), e))?;
    }
    // The runtimes of nodes that still run end with the process.
    runtime.shutdown_background();
    match summary.violations.len() {
        0 => Ok(()),
        count => Err(Error::Failed(format!("{count} invariants were violated"))),
    }
}

async fn run_demo(options: &Options) -> Result<Summary, Error> {
    let preset = &options.preset;
    let mut rng = Pcg64::seed_from_u64(options.seed);
    println!("Starting {} hosts and {NODES} nodes ({}).", preset.hosts, preset.name);
    let mut fleet = Fleet::start(preset, NODES).await?;
    let mut summary = Summary::new(preset.name, options.seed);
    let client = fleet.client(0);
    apply_config(&client, &preset.config).await?;
    wait_until_ready(&client, &preset.config).await?;
    let checks = Checks::start(&fleet, preset);
    let callers = Callers::start(&fleet, preset, CALLERS, options.seed);
    tokio::time::sleep(STEADY_LOAD).await;

    let racks = draw_racks(preset, &mut rng);
    let (drained, failing) = racks.split_at(2);
    let plan = propose(&client, drained).await?;
    println!("\n{}\n", show::plan(&plan));
    summary.record_plan(&plan);
    tokio::time::sleep(UNCONFIRMED_WAIT).await;
    checks.check_unmoved(&client).await?;

    println!("Confirming the plan; rack {} will fail and a node will be killed.", failing[0]);
    let started_at = Instant::now();
    let path = format!("plans/{}/confirm", plan.id);
    let decision = Decision { digest: Some(plan.digest.clone()), by: "demo".to_owned() };
    let _: Plan = client.post("plan confirm", &path, &decision).await?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let dead = HostFaults { dead: true, ..HostFaults::default() };
    fleet.workers.set_faults(&[failing[0].to_string()], &dead);
    summary.record_phase(Phase::RackFailed, started_at.elapsed());
    tokio::time::sleep(Duration::from_millis(700)).await;
    let killed = fleet.kill(NODES as usize - 1);
    checks.ignore_node(&killed);
    summary.record_phase(Phase::NodeKilled, started_at.elapsed());
    let changed = change_config(&client, preset).await?;
    follow_plan(&client, &plan, &mut summary, started_at).await?;
    summary.record_phase(Phase::WaveEnded, started_at.elapsed());
    summary.in_force = in_force(&client, changed).await?;
    tokio::time::sleep(STEADY_LOAD).await;

    let results = callers.stop().await;
    let rows: Rows = client.get("status", "status/services").await?;
    let counts = fleet.platform.counts();
    let runs = fleet.workers.log.snapshot();
    summary.record_totals(&results, &rows, &counts, &runs);
    summary.violations.extend(checks.stop().await);
    summary.violations.extend(checks::check_requests(&results, &runs));
    summary.violations.extend(checks::check_change(summary.in_force, IN_FORCE_LIMIT));
    Ok(summary)
}

/// Applies a configuration as soon as the node accepts it, and returns the number of the change.
pub(crate) async fn apply_config(client: &Client, config: &Config) -> Result<u64, Error> {
    let by = "demo".to_owned();
    let request = ApplyRequest { config: config.clone(), by, dry: false };
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        // A node that has just started may not have read the store yet.
        match client.post::<_, ApplyAnswer>("apply", "apply", &request).await {
            Ok(ApplyAnswer { number: Some(number), .. }) => return Ok(number),
            Ok(_) => {
                return Err(Error::Failed("the configuration changed nothing".to_owned()));
            }
            Err(error) if deadline < Instant::now() => return Err(error),
            Err(_) => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
}

/// Waits until every task of every service is available.
pub(crate) async fn wait_until_ready(client: &Client, config: &Config) -> Result<(), Error> {
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        let rows: Rows = client.get("status", "status/services").await?;
        if let Rows::Services(services) = &rows {
            let ready = services.iter().filter(|row| row.available == row.tasks).count();
            if ready == config.services.len() {
                return Ok(());
            }
        }
        if deadline < Instant::now() {
            return Err(Error::Failed(format!("the fleet was not ready:\n{}", show::rows(&rows))));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn draw_racks(preset: &Preset, rng: &mut Pcg64) -> Vec<RackId> {
    let count = preset.hosts / preset.rack_size;
    let numbers = (0..count).sample(rng, 3);
    numbers.into_iter().map(|n| worker::rack_id(n * preset.rack_size, preset.rack_size)).collect()
}

async fn propose(client: &Client, racks: &[RackId]) -> Result<Plan, Error> {
    let selection = Selection { racks: racks.to_vec(), ..Selection::default() };
    let request = IntentRequest {
        action: Action::Drain,
        selection,
        deadline: Some(Time::now() + Duration::from_secs(3600)),
        reason: "patching this week".to_owned(),
        by: "demo".to_owned(),
    };
    client.post("intent", "intents", &request).await
}

/// Changes a team's rate, and returns the number of the change.
async fn change_config(client: &Client, preset: &Preset) -> Result<u64, Error> {
    let mut config = preset.config.clone();
    for team in config.teams.values_mut() {
        team.rate = PerSecond(team.rate.0 + 1);
    }
    apply_config(client, &config).await
}

async fn follow_plan(
    client: &Client,
    plan: &Plan,
    summary: &mut Summary,
    started_at: Instant,
) -> Result<(), Error> {
    let path = format!("plans/{}", plan.id);
    let mut printed = (0, 0);
    loop {
        let view: PlanView = client.get("plan watch", &path).await?;
        if (view.done, view.skipped) != printed {
            printed = (view.done, view.skipped);
            let total = view.plan.hosts().count();
            println!(
                "{:6.1} s  {} of {total} hosts done, {} skipped",
                started_at.elapsed().as_secs_f64(),
                view.done,
                view.skipped
            );
        }
        if view.plan.state == PlanState::Done {
            summary.record_rollout(&view, started_at.elapsed());
            return Ok(());
        }
        if WAVE_LIMIT < started_at.elapsed() {
            summary.violations.push(format!(
                "the wave did not end within {WAVE_LIMIT:?}:\n{}",
                show::progress(&view)
            ));
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// How long it took until a change was in force on every node.
async fn in_force(client: &Client, number: u64) -> Result<Option<Duration>, Error> {
    let rows: Rows = client.get("status", "status/changes").await?;
    let Rows::Changes(changes) = rows else {
        return Ok(None);
    };
    let change = changes.into_iter().find(|row| row.number == number);
    Ok(change.filter(|row| row.everywhere).and_then(|row| {
        let last = row.nodes.values().max().copied()?;
        Some(last.since(row.accepted?))
    }))
}
