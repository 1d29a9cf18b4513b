//! The demo: the main job on embedded stand-ins, over real sockets. It checks what must always
//! hold while it runs, and fails if anything of it was broken.

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

/// Nodes of the demo.
const NODES: u32 = 6;
/// Callers of the demo.
const CALLERS: u32 = 24;
/// How long things may take until the fleet serves.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// How long the wave may take.
const WAVE_LIMIT: Duration = Duration::from_secs(40);
/// How long callers run before the intent, and after the wave.
const STEADY: Duration = Duration::from_secs(2);
/// How long the demo waits between the plan and its confirmation, to see that nothing moves.
const UNCONFIRMED: Duration = Duration::from_millis(1500);
/// How soon a change must be in force on every node.
const IN_FORCE: Duration = Duration::from_secs(4);

/// How the demo is run.
pub(crate) struct Options {
    pub(crate) preset: Preset,
    pub(crate) seed: u64,
    pub(crate) export: Option<PathBuf>,
}

/// Runs the demo.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start threads", error))?;
    let summary = runtime.block_on(play(&options))?;
    println!("{}", summary.text());
    if let Some(path) = &options.export {
        let step = || format!("write {}", path.display());
        std::fs::write(path, show::json(&summary)).map_err(|e| Error::system(step(), e))?;
    }
    // The runtimes of nodes that still run are ended by the process.
    runtime.shutdown_background();
    match summary.broken.len() {
        0 => Ok(()),
        count => Err(Error::Failed(format!("{count} promises were broken"))),
    }
}

async fn play(options: &Options) -> Result<Summary, Error> {
    let preset = &options.preset;
    let mut rng = Pcg64::seed_from_u64(options.seed);
    println!("Starting {} hosts and {NODES} nodes ({}).", preset.hosts, preset.name);
    let mut fleet = Fleet::start(preset, NODES).await?;
    let mut summary = Summary::new(preset.name, options.seed);
    let client = fleet.client(0);
    accept(&client, &preset.config).await?;
    wait_until_ready(&client, &preset.config).await?;
    let checks = Checks::start(&fleet, preset);
    let callers = Callers::start(&fleet, preset, CALLERS, options.seed);
    tokio::time::sleep(STEADY).await;

    let racks = draw_racks(preset, &mut rng);
    let (drained, failing) = racks.split_at(2);
    let plan = propose(&client, drained).await?;
    println!("\n{}\n", show::plan(&plan));
    summary.plan(&plan);
    tokio::time::sleep(UNCONFIRMED).await;
    checks.nothing_moved(&client).await?;

    println!("Confirming the plan; rack {} will fail and a node will be killed.", failing[0]);
    let began = Instant::now();
    let path = format!("plans/{}/confirm", plan.id);
    let decision = Decision { digest: Some(plan.digest.clone()), by: "demo".to_owned() };
    let _: Plan = client.post("plan confirm", &path, &decision).await?;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let dead = HostFaults { dead: true, ..HostFaults::default() };
    fleet.workers.set_faults(&[failing[0].to_string()], &dead);
    summary.phase(Phase::RackFailed, began.elapsed());
    tokio::time::sleep(Duration::from_millis(700)).await;
    let killed = fleet.kill(NODES as usize - 1);
    checks.node_gone(&killed);
    summary.phase(Phase::NodeKilled, began.elapsed());
    let changed = change_config(&client, preset).await?;
    follow(&client, &plan, &mut summary, began).await?;
    summary.phase(Phase::WaveEnded, began.elapsed());
    summary.in_force = in_force(&client, changed).await?;
    tokio::time::sleep(STEADY).await;

    let served = callers.stop().await;
    let rows: Rows = client.get("status", "status/services").await?;
    let counts = fleet.platform.counts();
    let runs = fleet.workers.log.all();
    summary.finish(&served, &rows, &counts, &runs);
    summary.broken.extend(checks.stop().await);
    summary.broken.extend(checks::of_requests(&served, &runs));
    summary.broken.extend(checks::of_change(summary.in_force, IN_FORCE));
    Ok(summary)
}

/// Has a configuration accepted, as soon as the node can; returns the number of the change.
pub(crate) async fn accept(client: &Client, config: &Config) -> Result<u64, Error> {
    let by = "demo".to_owned();
    let request = ApplyRequest { config: config.clone(), by, dry: false };
    let deadline = Instant::now() + READY_LIMIT;
    loop {
        // A node that has just started may not know its own store yet.
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
    accept(client, &config).await
}

async fn follow(
    client: &Client,
    plan: &Plan,
    summary: &mut Summary,
    began: Instant,
) -> Result<(), Error> {
    let path = format!("plans/{}", plan.id);
    let mut shown = (0, 0);
    loop {
        let view: PlanView = client.get("plan watch", &path).await?;
        if (view.done, view.skipped) != shown {
            shown = (view.done, view.skipped);
            let total = view.plan.hosts().count();
            println!(
                "{:6.1} s  {} of {total} hosts done, {} skipped",
                began.elapsed().as_secs_f64(),
                view.done,
                view.skipped
            );
        }
        if view.plan.state == PlanState::Done {
            summary.rolled_out(&view, began.elapsed());
            return Ok(());
        }
        if WAVE_LIMIT < began.elapsed() {
            summary.broken.push(format!(
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
