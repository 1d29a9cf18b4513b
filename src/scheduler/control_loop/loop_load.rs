//! What the time of the control loop goes to, and how long answers of workers wait in its queue. An
//! owner that is late counts answers of delegates as overdue and workers as silent, which makes
//! more work.

use std::time::{Duration, Instant};

use crate::model::unit::Millicores;

/// Counts of a control loop over some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Counts {
    iterations: u64,
    longest_iteration: Duration,
    inputs: u64,
    plans: u64,
    /// Time in which inputs were handled.
    events: Duration,
    /// Time of iterations without plans of the fleet.
    decisions: Duration,
    fleet: Duration,
    paused: Duration,
    /// The longest time by which a pause exceeded its length.
    timer_delay: Duration,
    answers: u64,
    /// Time that answers of workers waited in the queue, in total.
    total_wait: Duration,
    longest_wait: Duration,
}

/// The load of a control loop since it was last taken.
#[derive(Debug)]
pub(crate) struct LoopLoad {
    since: Instant,
    /// Processor time of the process at that time.
    cpu_since: Duration,
    counts: Counts,
    /// Time of the fleet's plan in the current iteration.
    current_plan: Duration,
}

impl LoopLoad {
    pub(crate) fn new(now: Instant, cpu: Duration) -> LoopLoad {
        LoopLoad {
            since: now,
            cpu_since: cpu,
            counts: Counts::default(),
            current_plan: Duration::ZERO,
        }
    }

    /// Records inputs that were handled together.
    pub(crate) fn note_inputs(&mut self, inputs: u64, took: Duration) {
        self.counts.inputs += inputs;
        self.counts.events += took;
    }

    /// Records how long an answer of a worker has waited in the queue.
    pub(crate) fn note_wait(&mut self, wait: Duration) {
        self.counts.answers += 1;
        self.counts.total_wait += wait;
        self.counts.longest_wait = self.counts.longest_wait.max(wait);
    }

    /// Records a pause between iterations.
    pub(crate) fn note_pause(&mut self, length: Duration, took: Duration) {
        self.counts.paused += took;
        self.counts.timer_delay = self.counts.timer_delay.max(took.saturating_sub(length));
    }

    /// Records a plan of the fleet, which is a part of the current iteration.
    pub(crate) fn note_plan(&mut self, took: Duration) {
        self.counts.plans += 1;
        self.current_plan += took;
    }

    /// Records an iteration.
    pub(crate) fn note_iteration(&mut self, took: Duration) {
        let plan = std::mem::take(&mut self.current_plan);
        self.counts.iterations += 1;
        self.counts.longest_iteration = self.counts.longest_iteration.max(took);
        self.counts.fleet += plan;
        self.counts.decisions += took.saturating_sub(plan);
    }

    /// Returns the load since the last call; `cpu` is the processor time of the process so far.
    pub(crate) fn take(&mut self, now: Instant, cpu: Duration) -> LoopSummary {
        let elapsed = now.saturating_duration_since(self.since);
        let used = cpu.saturating_sub(self.cpu_since);
        (self.since, self.cpu_since) = (now, cpu);
        LoopSummary { counts: std::mem::take(&mut self.counts), elapsed, cpu: used }
    }
}

/// The load of a control loop over some time, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LoopSummary {
    counts: Counts,
    elapsed: Duration,
    cpu: Duration,
}

impl LoopSummary {
    /// The time by part, as labelled in the metrics.
    pub(crate) fn parts(&self) -> [(&'static str, Duration); 4] {
        let Counts { events, decisions, fleet, paused, .. } = self.counts;
        [("events", events), ("decisions", decisions), ("fleet", fleet), ("paused", paused)]
    }

    /// The description of the load in the log, at a node with this share of processor time and a
    /// view of this age.
    pub(crate) fn describe(&self, share: Millicores, view_age_ms: u64) -> String {
        let Counts { iterations, inputs, plans, .. } = self.counts;
        let Counts { events, decisions, fleet, .. } = self.counts;
        let millis = |time: Duration| time.as_millis();
        let mean_wait = self.counts.total_wait.as_millis() / u128::from(self.counts.answers.max(1));
        let used = self.cpu.as_micros() * 1_000 / self.elapsed.as_micros().max(1);
        format!(
            "control loop: {iterations} iterations of up to {} ms, {} ms of the last {} ms: \
             {} ms events ({inputs} inputs), {} ms decisions, {} ms fleet ({plans} plans); \
             answers waited up to {} ms, mean {mean_wait} ms; paused {} ms, \
             timers up to {} ms late; view {view_age_ms} ms old; cpu {used} of {} millicores",
            millis(self.counts.longest_iteration),
            millis(events + decisions + fleet),
            millis(self.elapsed),
            millis(events),
            millis(decisions),
            millis(fleet),
            millis(self.counts.longest_wait),
            millis(self.counts.paused),
            millis(self.counts.timer_delay),
            share.0
        )
    }
}
