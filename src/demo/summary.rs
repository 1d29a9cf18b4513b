//! The summary that the demo prints and exports in the end.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    demo::callers::{CallerResults, Outcome},
    model::plan::Plan,
    operator::{
        message::{PlanView, Rows},
        show,
    },
    standin::{endpoint::Runs, platform::Counts},
};

/// An event of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    RackFailed,
    NodeKilled,
    WaveEnded,
}

/// Times until complete answers, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Latency {
    pub(crate) count: u64,
    pub(crate) p50: f64,
    pub(crate) p99: f64,
}

/// Results of the demo.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Summary {
    preset: String,
    seed: u64,
    /// Number of requests by their outcome.
    requests: BTreeMap<&'static str, u64>,
    latency: BTreeMap<String, Latency>,
    /// Spare cores held back, as planned.
    buffer_cores: u32,
    planned_seconds: u64,
    planned_moves: u32,
    rollout_seconds: f64,
    hosts_done: usize,
    hosts_skipped: usize,
    /// Tasks moved by the plan and by repair together.
    moves: u64,
    phases: BTreeMap<Phase, f64>,
    /// Time until a change was in force on every node.
    pub(crate) in_force: Option<Duration>,
    store_calls: u64,
    store_refused: u64,
    store_peak_writes: u64,
    latest_ms_after_leave: u64,
    /// Descriptions of all violated invariants.
    #[serde(rename = "broken")]
    pub(crate) violations: Vec<String>,
}

impl Summary {
    pub(crate) fn new(preset: &str, seed: u64) -> Summary {
        Summary {
            preset: preset.to_owned(),
            seed,
            requests: BTreeMap::new(),
            latency: BTreeMap::new(),
            buffer_cores: 0,
            planned_seconds: 0,
            planned_moves: 0,
            rollout_seconds: 0.0,
            hosts_done: 0,
            hosts_skipped: 0,
            moves: 0,
            phases: BTreeMap::new(),
            in_force: None,
            store_calls: 0,
            store_refused: 0,
            store_peak_writes: 0,
            latest_ms_after_leave: 0,
            violations: Vec::new(),
        }
    }

    /// Records the cost that a plan expects.
    pub(crate) fn record_plan(&mut self, plan: &Plan) {
        self.buffer_cores = plan.cost.buffer.0 / 1000;
        self.planned_seconds = plan.cost.seconds;
        self.planned_moves = plan.cost.moves;
    }

    /// Records when an event happened.
    pub(crate) fn record_phase(&mut self, phase: Phase, after: Duration) {
        self.phases.insert(phase, after.as_secs_f64());
    }

    /// Records how a plan ended.
    pub(crate) fn record_rollout(&mut self, view: &PlanView, took: Duration) {
        self.rollout_seconds = took.as_secs_f64();
        (self.hosts_done, self.hosts_skipped) = (view.done, view.skipped);
    }

    /// Records the totals of the whole run.
    pub(crate) fn record_totals(
        &mut self,
        results: &CallerResults,
        rows: &Rows,
        counts: &Counts,
        runs: &Runs,
    ) {
        for request in &results.requests {
            *self.requests.entry(outcome_name(request.result)).or_default() += 1;
        }
        for (class, histogram) in &results.latency {
            let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            let count = histogram.len();
            let latency = Latency { count, p50: millis(0.5), p99: millis(0.99) };
            self.latency.insert(class.to_string(), latency);
        }
        if let Rows::Services(services) = rows {
            self.moves = services.iter().map(|row| row.moves).sum();
        }
        self.store_calls = counts.calls.values().sum();
        self.store_refused = counts.refused;
        self.store_peak_writes = counts.peak_writes;
        self.latest_ms_after_leave = runs.latest_ms;
    }

    /// The summary as text.
    pub(crate) fn text(&self) -> String {
        let requests: Vec<String> =
            self.requests.iter().map(|(name, count)| format!("{count} {name}")).collect();
        let mut lines = vec![
            format!("\nSummary ({}, seed {})", self.preset, self.seed),
            format!("requests        {}", requests.join(", ")),
        ];
        for (class, latency) in &self.latency {
            lines.push(format!(
                "  {class:<13} p50 {:.2} ms, p99 {:.2} ms, of {}",
                latency.p50, latency.p99, latency.count
            ));
        }
        lines.push(format!("buffer cost     {} cores held back at most", self.buffer_cores));
        lines.push(format!(
            "roll-out time   {:.1} s (planned {} s): {} hosts done, {} skipped",
            self.rollout_seconds, self.planned_seconds, self.hosts_done, self.hosts_skipped
        ));
        lines.push(format!(
            "moves           {} tasks, of which {} were planned",
            self.moves, self.planned_moves
        ));
        for (phase, at) in &self.phases {
            let name = match phase {
                Phase::RackFailed => "rack failed",
                Phase::NodeKilled => "node killed",
                Phase::WaveEnded => "wave ended",
            };
            lines.push(format!("{name:<15} {at:.1} s after the confirmation"));
        }
        let in_force = self.in_force.map_or("never".to_owned(), show::span);
        lines.push(format!("config change   in force on every node after {in_force}"));
        lines.push(format!(
            "store           {} calls, at most {} writes a second, {} refused",
            self.store_calls, self.store_peak_writes, self.store_refused
        ));
        lines.push(format!(
            "leave notice    last request {} ms after a leave",
            self.latest_ms_after_leave
        ));
        lines.push(format!("violations      {}", self.violations.len()));
        lines.extend(self.violations.iter().map(|text| format!("  VIOLATION: {text}")));
        lines.join("\n")
    }
}

fn outcome_name(result: Outcome) -> &'static str {
    match result {
        Outcome::Complete => "ran",
        Outcome::Wrong => "wrong",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::AlreadyRan => "ran before",
        Outcome::NoAnswer => "without an answer (node killed)",
    }
}
