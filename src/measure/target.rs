//! Planning at the size expected in two years: how time and memory grow with the fleet.

use std::time::{Duration, Instant};

use crate::{
    decide::{
        repair,
        rules::Rules,
        wave::{self, WaveContext},
    },
    measure::{
        Figures,
        shape::{self, BEGIN},
        stats,
    },
    model::{
        fleet::Fleet,
        id::HostId,
        plan::{Plan, PlanState},
        record::Record,
        unit::{Epoch, Revision},
    },
    preset,
};

/// Sizes of the planned fleets, in hosts.
const SIZES: [u32; 4] = [50, 500, 2_000, 6_800];
/// Maximum number of host failures for which the decisions are timed.
const MAX_FAILURES: usize = 400;

/// Plans a rotation of all hosts, and times single decisions.
pub(crate) fn measure() -> Figures {
    let rows = SIZES.into_iter().map(row).collect();
    Figures {
        title: "A rotation of all hosts, planned on one core".to_owned(),
        heading: vec![
            "hosts",
            "pools",
            "tasks",
            "plan s",
            "wave h",
            "moves",
            "decision us (p50)",
            "decision us (max)",
            "view MB",
        ],
        rows,
        notes: vec![format!(
            "Plan: the whole rotation with its cost, each pool simulated with several limits on \
                 the hosts out. Decision: repair of a failed host's services and the next steps of \
                 its pool, over {MAX_FAILURES} hosts. View: growth of the process's memory when \
                 the fleet is built."
        )],
    }
}

fn row(hosts: u32) -> Vec<String> {
    let rules = Rules { weights: preset::target(hosts).weights(), ..Rules::default() };
    let before = resident_bytes();
    let fleet = shape::build(&preset::target(hosts), &rules);
    let view_bytes = resident_bytes().saturating_sub(before);
    let began = Instant::now();
    let plan = shape::rotation(&fleet, &rules);
    let planned = began.elapsed();
    let decisions = decisions(fleet.clone(), &plan, &rules);
    let micros: Vec<f64> = decisions.iter().map(|took| took.as_secs_f64() * 1e6).collect();
    let tasks: u32 = fleet.config.services.values().map(|service| service.tasks).sum();
    vec![
        hosts.to_string(),
        fleet.config.pools.len().to_string(),
        tasks.to_string(),
        format!("{:.2}", planned.as_secs_f64()),
        format!("{:.1}", plan.cost.seconds as f64 / 3600.0),
        plan.cost.moves.to_string(),
        format!("{:.0}", stats::median(&micros)),
        format!("{:.0}", stats::maximum(&micros)),
        format!("{:.1}", view_bytes as f64 / f64::from(1 << 20)),
    ]
}

/// Fails one host after the other, and times the decisions that follow.
fn decisions(mut fleet: Fleet, plan: &Plan, rules: &Rules) -> Vec<Duration> {
    let mut running = plan.clone();
    running.state = PlanState::Running;
    fleet.put(Record::Plan(running.id.clone(), Box::new(running.clone())), Revision(2));
    let step = (fleet.hosts.len() / MAX_FAILURES).max(1);
    let hosts: Vec<HostId> = fleet.hosts.keys().step_by(step).take(MAX_FAILURES).cloned().collect();
    let never_quiet = |_: &HostId, _: Epoch| false;
    let mut took = Vec::new();
    for host in hosts {
        if let Some(report) = fleet.reports.get_mut(&host) {
            report.live = false;
        }
        let began = Instant::now();
        for task in fleet.tasks_on(&host) {
            std::hint::black_box(repair::repair(&fleet, &task.service, BEGIN, rules));
        }
        let context = WaveContext { fleet: &fleet, is_quiet: &never_quiet, now: BEGIN, rules };
        let pool = &fleet.hosts[&host].pool;
        std::hint::black_box(wave::advance(&context, &running, pool));
        took.push(began.elapsed());
        if let Some(report) = fleet.reports.get_mut(&host) {
            report.live = true;
        }
    }
    took
}

/// Resident memory of the process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
