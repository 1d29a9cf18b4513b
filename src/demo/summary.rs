//! What the demo ends with.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use crate::{
    demo::callers::{Served, Told},
    model::plan::Plan,
    operator::{
        message::{PlanView, Rows},
        show,
    },
    standin::{endpoint::Runs, platform::Counts},
};

/// Something that the demo did, or waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    RackFailed,
    NodeKilled,
    WaveEnded,
}

/// Times until whole answers, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Latency {
    pub(crate) count: u64,
    pub(crate) p50: f64,
    pub(crate) p99: f64,
}

/// All that the demo found.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Summary {
    preset: String,
    seed: u64,
    /// Requests by what their callers were told.
    requests: BTreeMap<&'static str, u64>,
    latency: BTreeMap<String, Latency>,
    /// Spare cores held back, as the plan foresaw.
    buffer_cores: u32,
    planned_seconds: u64,
    planned_moves: u32,
    rollout_seconds: f64,
    hosts_done: usize,
    hosts_skipped: usize,
    /// Tasks moved by the plan and by repair together.
    moves: u64,
    phases: BTreeMap<Phase, f64>,
    /// How long it took until a change was in force on every node.
    pub(crate) in_force: Option<Duration>,
    store_calls: u64,
    store_refused: u64,
    store_peak_writes: u64,
    latest_ms_after_leave: u64,
    /// Every promise that was broken.
    pub(crate) broken: Vec<String>,
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
            broken: Vec::new(),
        }
    }

    /// Notes what a plan foresees.
    pub(crate) fn plan(&mut self, plan: &Plan) {
        self.buffer_cores = plan.cost.buffer.0 / 1000;
        self.planned_seconds = plan.cost.seconds;
        self.planned_moves = plan.cost.moves;
    }

    /// Notes when something was done.
    pub(crate) fn phase(&mut self, phase: Phase, after: Duration) {
        self.phases.insert(phase, after.as_secs_f64());
    }

    /// Notes how a plan ended.
    pub(crate) fn rolled_out(&mut self, view: &PlanView, took: Duration) {
        self.rollout_seconds = took.as_secs_f64();
        (self.hosts_done, self.hosts_skipped) = (view.done, view.skipped);
    }

    /// Notes the figures of the whole run.
    pub(crate) fn finish(&mut self, served: &Served, rows: &Rows, counts: &Counts, runs: &Runs) {
        for seen in &served.seen {
            *self.requests.entry(word(seen.told)).or_default() += 1;
        }
        for (class, histogram) in &served.latency {
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

    /// The summary for people.
    pub(crate) fn text(&self) -> String {
        let requests: Vec<String> =
            self.requests.iter().map(|(word, count)| format!("{count} {word}")).collect();
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
        lines.push(format!("buffer cost     {} cores held back at the most", self.buffer_cores));
        lines.push(format!(
            "roll-out time   {:.1} s (planned {} s): {} hosts done, {} skipped",
            self.rollout_seconds, self.planned_seconds, self.hosts_done, self.hosts_skipped
        ));
        lines.push(format!(
            "moves           {} tasks, of which the plan foresaw {}",
            self.moves, self.planned_moves
        ));
        for (phase, at) in &self.phases {
            let word = match phase {
                Phase::RackFailed => "rack failed",
                Phase::NodeKilled => "node killed",
                Phase::WaveEnded => "wave ended",
            };
            lines.push(format!("{word:<15} {at:.1} s after the confirmation"));
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
        lines.push(format!("broken promises {}", self.broken.len()));
        lines.extend(self.broken.iter().map(|text| format!("  BROKEN: {text}")));
        lines.join("\n")
    }
}

fn word(told: Told) -> &'static str {
    match told {
        Told::Whole => "ran",
        Told::Wrong => "wrong",
        Told::NotRun => "not-run",
        Told::Unknown => "unknown",
        Told::RanBefore => "ran before",
        Told::Silence => "without an answer (node killed)",
    }
}
