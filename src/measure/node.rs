//! Cost of the control plane of one node, by the size of the fleet, the number of nodes and the
//! rate of configuration changes.

use std::time::{Duration, Instant};

use crate::{
    demo::{self, nodes::Fleet},
    error::Error,
    measure::{Figures, path, stats, target::resident_bytes},
    model::unit::PerSecond,
    operator::{client::Client, message::Rows},
    preset::{self, Preset},
};

/// One measured fleet.
struct Point {
    hosts: u32,
    nodes: u32,
    /// Configuration changes per second.
    changes: f64,
}

/// Cost of the control plane of one node.
struct Cost {
    /// Share of a core that one node uses, in percent.
    cpu: f64,
    /// Bytes per second that the control plane of one node sends and receives.
    bytes: f64,
    /// Memory of one node, in MB: its share of the growth of the process when the nodes start.
    memory: f64,
    reads: f64,
    writes: f64,
    /// The longest time until a change was in force on every node, in seconds.
    in_force: f64,
}

/// How long each fleet is measured after it has settled.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// How long a fleet is given to settle.
const SETTLE_TIME: Duration = Duration::from_secs(3);

const POINTS: [Point; 8] = [
    Point { hosts: 50, nodes: 6, changes: 0.0 },
    Point { hosts: 100, nodes: 6, changes: 0.0 },
    Point { hosts: 200, nodes: 6, changes: 0.0 },
    Point { hosts: 400, nodes: 6, changes: 0.0 },
    Point { hosts: 50, nodes: 2, changes: 0.0 },
    Point { hosts: 50, nodes: 12, changes: 0.0 },
    Point { hosts: 50, nodes: 6, changes: 1.0 },
    Point { hosts: 50, nodes: 6, changes: 4.0 },
];

/// Measures every point, and fits lines to them.
pub(crate) fn measure() -> Result<Figures, Error> {
    let mut rows = Vec::new();
    let mut measured = Vec::new();
    for point in &POINTS {
        let cost = measure_point(point)?;
        rows.push(vec![
            point.hosts.to_string(),
            point.nodes.to_string(),
            format!("{}", point.changes),
            format!("{:.2}", cost.cpu),
            format!("{:.1}", cost.bytes / 1000.0),
            format!("{:.1}", cost.memory),
            format!("{:.1}", cost.reads),
            format!("{:.2}", cost.writes),
            format!("{:.2}", cost.in_force),
        ]);
        measured.push((point, cost));
    }
    Ok(Figures {
        title: format!(
            "Control plane of one node, measured for {} s each",
            MEASUREMENT_TIME.as_secs()
        ),
        heading: vec![
            "hosts",
            "nodes",
            "changes/s",
            "CPU % of a core",
            "KB/s",
            "memory MB",
            "store reads/s (all)",
            "store writes/s (all)",
            "in force s",
        ],
        rows,
        notes: slopes(&measured),
    })
}

fn slopes(measured: &[(&Point, Cost)]) -> Vec<String> {
    type Axis = fn(&Point) -> f64;
    type Filter = fn(&Point) -> bool;
    let axes: [(&str, Axis, Filter); 3] = [
        ("host", |p| f64::from(p.hosts), |p| p.nodes == 6 && p.changes == 0.0),
        ("node", |p| f64::from(p.nodes), |p| p.hosts == 50 && p.changes == 0.0),
        ("change per second", |p| p.changes, |p| p.hosts == 50 && p.nodes == 6),
    ];
    let mut notes = Vec::new();
    for (name, axis, is_included) in axes {
        let points: Vec<_> = measured.iter().filter(|(point, _)| is_included(point)).collect();
        let through = |figure: &dyn Fn(&Cost) -> f64| {
            let points: Vec<_> = points.iter().map(|(p, cost)| (axis(p), figure(cost))).collect();
            let line = stats::fit_line(&points);
            format!(
                "{:.4} (intercept {:.2}, residuals up to {:.2})",
                line.slope, line.intercept, line.max_residual
            )
        };
        notes.push(format!(
            "Per {name}: CPU % {}; bytes/s {}; memory MB {}; store reads/s {}; writes/s {}.",
            through(&|c| c.cpu),
            through(&|c| c.bytes),
            through(&|c| c.memory),
            through(&|c| c.reads),
            through(&|c| c.writes),
        ));
    }
    notes
}

fn measure_point(point: &Point) -> Result<Cost, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start threads", error))?;
    let cost = runtime.block_on(run(point));
    runtime.shutdown_background();
    cost
}

async fn run(point: &Point) -> Result<Cost, Error> {
    let preset = Preset { zones: 4, rack_size: 4, ..preset::target(point.hosts) };
    let before = resident_bytes();
    let fleet = Fleet::start(&preset, point.nodes).await?;
    let client = fleet.client(0);
    demo::apply_config(&client, &preset.config).await?;
    demo::wait_until_ready(&client, &preset.config).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let memory = resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20);
    let (cpu, calls, bytes) = (path::node_cpu(), fleet.platform.counts(), fleet.traffic());
    let began = Instant::now();
    let in_force = change_config(&client, &preset, point.changes).await?;
    tokio::time::sleep(MEASUREMENT_TIME.saturating_sub(began.elapsed())).await;
    let span = began.elapsed().as_secs_f64();
    let nodes = f64::from(point.nodes);
    let after = fleet.platform.counts();
    let count = |kinds: &[&str]| -> f64 {
        let of = |counts: &crate::standin::platform::Counts| -> u64 {
            kinds.iter().filter_map(|kind| counts.calls.get(*kind)).sum()
        };
        (of(&after) - of(&calls)) as f64 / span
    };
    Ok(Cost {
        cpu: (path::node_cpu().saturating_sub(cpu)).as_secs_f64() * 100.0 / span / nodes,
        bytes: (fleet.traffic() - bytes) as f64 / span / nodes,
        memory: memory / nodes,
        reads: count(&["kv/range", "lease/keepalive", "watch"]),
        writes: count(&["kv/txn", "lease/grant", "lease/revoke"]),
        in_force,
    })
}

/// Changes the configuration `rate` times per second; returns the longest time, in seconds, until a
/// change was in force on every node.
async fn change_config(client: &Client, preset: &Preset, rate: f64) -> Result<f64, Error> {
    if rate == 0.0 {
        return Ok(0.0);
    }
    let count = (MEASUREMENT_TIME.as_secs_f64() * rate) as u32;
    let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    let mut config = preset.config.clone();
    for number in 0..count {
        tick.tick().await;
        for team in config.teams.values_mut().take(1) {
            team.rate = PerSecond(20_000 + number);
        }
        demo::apply_config(client, &config).await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let rows: Rows = client.get("status", "status/changes").await?;
    let Rows::Changes(changes) = rows else { return Ok(f64::NAN) };
    let took = changes.iter().rev().take(count as usize).map(|row| {
        let last = row.nodes.values().max().filter(|_| row.everywhere);
        last.zip(row.accepted).map_or(f64::INFINITY, |(to, from)| to.since(from).as_secs_f64())
    });
    Ok(took.fold(0.0, f64::max))
}
