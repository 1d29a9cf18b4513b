//! Waves over a whole fleet, under the built-in policy and simple ones, with the same random
//! failures.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;

use crate::{
    decide::{
        baseline,
        rules::Rules,
        simulate::{Event, Report, Simulation},
    },
    error::Error,
    measure::{
        Figures, bound,
        shape::{self, BEGIN},
        stats,
    },
    model::{
        fleet::Fleet,
        id::{HostId, PoolId, RackId},
        plan::{Plan, PlanState, PoolPlan},
    },
    preset::{self, Preset},
};

/// Policies that are compared.
pub(crate) const POLICIES: [&str; 4] = ["ours", "one-at-a-time", "rack-by-rack", "random"];

/// Share of the hosts that fail individually during a wave, besides the hosts of one failing rack.
const FAILING_SHARE: f64 = 0.06;
/// Time from the failure of a host until it is back.
const REPAIR_TIME: Duration = Duration::from_secs(1200);
/// A wave that takes longer counts as unfinished.
const MAX_WAVE_TIME: Duration = Duration::from_secs(7 * 86_400);

/// Result of one wave, over all pools.
#[derive(Debug, Clone, Default)]
struct Outcome {
    seconds: f64,
    /// Lower bound of the roll-out time that capacity allows, in seconds.
    capacity_bound: f64,
    /// Lower bound of the roll-out time with the buffer that was held back, in seconds.
    buffer_bound: f64,
    moves: u32,
    repairs: u32,
    tasks: u32,
    shared_buffer: u64,
    separate_buffer: u64,
    voluntary: u32,
    breaches: u32,
    finished: bool,
    decisions: Vec<f64>,
}

/// A failure of a host.
struct Failure {
    host: HostId,
    /// The time from the start of the wave until the failure.
    after: Duration,
}

/// Runs the waves.
pub(crate) fn measure(name: &str, policies: &[String], seeds: &[u64]) -> Result<Figures, Error> {
    let preset = preset::by_name(name)
        .ok_or_else(|| Error::Usage(format!("--preset: there is no preset `{name}`")))?;
    let rules = Rules { weights: preset.weights(), ..Rules::default() };
    let fleet = shape::build(&preset, &rules);
    let lower_bound = bound::of(&fleet, &rules);
    let mut rows = vec![bound_row(&lower_bound)];
    let mut unfinished = Vec::new();
    let choices = choice_notes(&running_plan(&fleet, "ours", 0, &rules));
    for policy in policies {
        let runs: Vec<Outcome> =
            seeds.iter().map(|seed| run(&preset, &fleet, policy, *seed, &rules)).collect();
        unfinished.extend(unfinished_notes(policy, seeds, &runs));
        rows.push(row(policy, &runs));
    }
    Ok(Figures {
        title: format!(
            "Waves over all {} hosts of {name}, {} seeds, medians (maximum in parentheses)",
            preset.hosts,
            seeds.len()
        ),
        heading: vec![
            "policy",
            "roll-out s",
            "over least",
            "over least at its buffer",
            "moves a task",
            "repairs",
            "buffer cores",
            "if spares were separate",
            "voluntary breaches",
            "moments below budget",
            "decision us",
        ],
        rows,
        notes: notes(&rules).into_iter().chain(choices).chain(unfinished).collect(),
    })
}

/// The candidates that the built-in policy compared for each pool, and its choice.
fn choice_notes(plan: &Plan) -> Vec<String> {
    let line = |(pool, part): (&PoolId, &PoolPlan)| {
        let trades = part.trades.iter().map(|trade| {
            format!(
                "{}{} out{}: {} cores, {} s, {} moves",
                if trade.chosen { "CHOSEN " } else { "" },
                trade.max_out,
                if trade.frugal { ", few second moves" } else { "" },
                trade.buffer.0 / 1000,
                trade.seconds,
                trade.moves
            )
        });
        format!("Pool {pool}: {}.", trades.collect::<Vec<_>>().join("; "))
    };
    plan.pools.iter().map(line).collect()
}

fn notes(rules: &Rules) -> Vec<String> {
    vec![
        format!(
            "A start takes {}, a leave {}, a reboot {}. In each wave {:.0}% of the hosts and one \
             rack fail at random times, and come back after {}.",
            humantime::format_duration(rules.expected.start),
            humantime::format_duration(rules.expected.quiet),
            humantime::format_duration(rules.expected.reboot),
            FAILING_SHARE * 100.0,
            humantime::format_duration(REPAIR_TIME),
        ),
        "Voluntary breaches: hosts that left although one of their services could not have \
         survived the loss of its largest failure domain then. Moments below budget: observations \
         of a service that was below its budget because of failures."
            .to_owned(),
    ]
}

fn bound_row(lower_bound: &bound::Bound) -> Vec<String> {
    let mut row = vec![
        "lower bound".to_owned(),
        format!("{:.0}", lower_bound.seconds),
        "1.00".to_owned(),
        String::new(),
        "1.00".to_owned(),
        String::new(),
        format!("{}", lower_bound.buffer / 1000),
    ];
    row.resize(11, String::new());
    row
}

fn unfinished_notes(policy: &str, seeds: &[u64], runs: &[Outcome]) -> Vec<String> {
    let unfinished = seeds.iter().zip(runs).filter(|(_, run)| !run.finished);
    unfinished.map(|(seed, _)| format!("NOT FINISHED: {policy}, seed {seed}")).collect()
}

fn row(policy: &str, runs: &[Outcome]) -> Vec<String> {
    let summary = |figure: &dyn Fn(&Outcome) -> f64| -> (f64, f64) {
        let numbers: Vec<f64> = runs.iter().map(figure).collect();
        (stats::median(&numbers), stats::maximum(&numbers))
    };
    let format_summary = |(median, maximum): (f64, f64), digits: usize| {
        format!("{median:.digits$} ({maximum:.digits$})")
    };
    let total = |figure: &dyn Fn(&Outcome) -> u32| runs.iter().map(figure).sum::<u32>().to_string();
    let decisions: Vec<f64> = runs.iter().flat_map(|run| run.decisions.iter().copied()).collect();
    let cores = |millicores: u64| millicores as f64 / 1000.0;
    vec![
        policy.to_owned(),
        format_summary(summary(&|run| run.seconds), 0),
        format_summary(summary(&|run| run.seconds / run.capacity_bound), 2),
        format_summary(summary(&|run| run.seconds / run.buffer_bound), 2),
        format_summary(summary(&|run| f64::from(run.moves) / f64::from(run.tasks.max(1))), 2),
        format_summary(summary(&|run| f64::from(run.repairs)), 0),
        format_summary(summary(&|run| cores(run.shared_buffer)), 0),
        format_summary(summary(&|run| cores(run.separate_buffer)), 0),
        total(&|run| run.voluntary),
        total(&|run| run.breaches),
        format!("{:.0} ({:.0})", stats::median(&decisions), stats::maximum(&decisions)),
    ]
}

fn run(preset: &Preset, fleet: &Fleet, policy: &str, seed: u64, rules: &Rules) -> Outcome {
    let plan = running_plan(fleet, policy, seed, rules);
    let failures = draw_failures(preset, fleet, seed, rules);
    let mut outcome = Outcome { finished: true, ..Outcome::default() };
    outcome.capacity_bound = bound::of(fleet, rules).seconds;
    for pool in plan.pools.keys() {
        let mut simulation = Simulation::new(fleet, &plan, pool, rules, BEGIN);
        for failure in failures.iter().filter(|f| fleet.hosts[&f.host].pool == *pool) {
            simulation.schedule(failure.after, Event::Fail(failure.host.clone()));
            let recovery = failure.after + REPAIR_TIME;
            simulation.schedule(recovery, Event::Recover(failure.host.clone()));
        }
        let report = simulation.run(MAX_WAVE_TIME);
        outcome.add(fleet, pool, &report, rules);
    }
    outcome
}

impl Outcome {
    fn add(&mut self, fleet: &Fleet, pool: &PoolId, report: &Report, rules: &Rules) {
        let buffer_bound = bound::seconds_with(fleet, pool, report.shared_buffer, rules);
        self.seconds = self.seconds.max(report.seconds as f64);
        self.buffer_bound = self.buffer_bound.max(buffer_bound);
        self.moves += report.moves;
        self.repairs += report.repairs;
        self.tasks += fleet.hosts_of(pool).map(|h| fleet.tasks_on(h).len() as u32).sum::<u32>();
        self.shared_buffer += report.shared_buffer;
        self.separate_buffer += report.separate_buffer;
        self.voluntary += report.voluntary_breaches;
        self.breaches += report.breaches;
        self.finished &= report.finished;
        self.decisions.extend(report.decisions.iter().map(|took| took.as_secs_f64() * 1e6));
    }
}

/// A running plan for all hosts, with the batches and limits of a policy.
fn running_plan(fleet: &Fleet, policy: &str, seed: u64, rules: &Rules) -> Plan {
    let mut plan = shape::rotation(fleet, rules);
    plan.state = PlanState::Running;
    for (pool, part) in &mut plan.pools {
        let hosts: Vec<HostId> = fleet.hosts_of(pool).cloned().collect();
        match policy {
            "one-at-a-time" => *part = baseline::one_at_a_time(&hosts),
            "rack-by-rack" => *part = baseline::rack_by_rack(fleet, &hosts),
            "random" => *part = baseline::random(&hosts, seed),
            _ => {}
        }
    }
    plan
}

/// Draws failures of single hosts and of one rack, all within the time that a wave takes under the
/// built-in policy.
fn draw_failures(preset: &Preset, fleet: &Fleet, seed: u64, rules: &Rules) -> Vec<Failure> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let span = bound::cycle(rules) * 3;
    let hosts: Vec<&HostId> = fleet.hosts.keys().collect();
    let count = (f64::from(preset.hosts) * FAILING_SHARE).ceil() as usize;
    let mut failures: BTreeMap<HostId, Duration> = BTreeMap::new();
    for host in hosts.into_iter().sample(&mut rng, count) {
        failures.insert(host.clone(), span.mul_f64(rng.random::<f64>()));
    }
    let racks: std::collections::BTreeSet<&RackId> =
        fleet.reports.values().map(|report| &report.rack).collect();
    if let Some(rack) = racks.into_iter().choose(&mut rng) {
        let at = span.mul_f64(rng.random::<f64>());
        let in_rack = fleet.reports.values().filter(|report| report.rack == *rack);
        failures.extend(in_rack.map(|report| (report.host.clone(), at)));
    }
    failures.into_iter().map(|(host, after)| Failure { host, after }).collect()
}
