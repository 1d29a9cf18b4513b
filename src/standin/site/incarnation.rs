//! The incarnations of a worker: how one ends and the next starts, and the clock of each.

use std::time::{SystemTime, UNIX_EPOCH};

use super::{
    log::{Kind, Log},
    worker::Worker,
};

/// How long the report of an ended incarnation stays in the store, in milliseconds.
const STALE_REPORT_MS: u64 = 1_500;

/// Difference between the clocks of successive workers, in milliseconds.
const CLOCK_STEP_MS: u64 = 100_003;

/// One worker in this many has a clock that is 2 % slow.
const SLOW_CLOCK_EVERY: u32 = 3;

/// One incarnation in this many starts after the time of day has jumped back.
const JUMP_EVERY: u32 = 3;

/// How far the time of day jumps back, in milliseconds.
const JUMP_MS: u64 = 3_600_000;

/// The state of a host without power, or whose worker has crashed.
pub(super) const DOWN: &str = "down";

/// The state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Up,
    /// Unavailable until a time, with the name of the state that the list of hosts shows.
    Unavailable(&'static str, u64),
}

/// The clock of one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    offset: u64,
    slow: bool,
    /// The stand-in's time at which the clock started.
    started_at: u64,
}

/// The current Unix time, in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Clock {
    pub(super) fn new(number: u32) -> Clock {
        let offset = u64::from(number) * CLOCK_STEP_MS;
        Clock { offset, slow: number % SLOW_CLOCK_EVERY == 1, started_at: 0 }
    }

    /// The clock of the next incarnation, which starts again from the beginning.
    fn restarted(self, now: u64) -> Clock {
        Clock { offset: 1, started_at: now, ..self }
    }

    /// The reading of the clock at a time of the stand-in.
    pub(super) fn at(&self, now: u64) -> u64 {
        let passed = now.saturating_sub(self.started_at);
        self.offset + if self.slow { passed - passed / 50 } else { passed }
    }
}

impl Worker {
    pub(super) fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    /// The state as the list of hosts shows it.
    pub(super) fn state_name(&self) -> &'static str {
        match self.phase {
            Phase::Up => "up",
            Phase::Unavailable(name, _) => name,
        }
    }

    /// Ends the worker's incarnation with all its runs; the next one starts after `downtime_ms`.
    pub(super) fn end_incarnation(
        &mut self,
        state: &'static str,
        now: u64,
        downtime_ms: u64,
        log: &mut Log,
    ) {
        for (task, run) in std::mem::take(&mut self.runs) {
            log.record(now, (&self.id, run.token), Kind::Crashed, (&task, run.run));
        }
        self.phase = Phase::Unavailable(state, now + downtime_ms);
        self.incarnation += 1;
        if !self.keeps_id {
            self.stale_reports.push((self.report_key(), now + STALE_REPORT_MS));
            self.id = format!("w{}-{}", self.number, self.incarnation);
        }
        self.reset();
    }

    /// Starts the next incarnation if it is due.
    pub(super) fn restart_if_due(&mut self, now: u64) {
        if let Phase::Unavailable(_, until) = self.phase
            && until <= now
        {
            if self.phase == Phase::Unavailable(DOWN, until) {
                self.cold_until = now + self.cold_ms;
            }
            self.phase = Phase::Up;
            if self.start_time.is_some() {
                let jump = if self.incarnation % JUMP_EVERY == 2 { JUMP_MS } else { 0 };
                self.start_time = Some(unix_ms().saturating_sub(jump));
            }
            if self.keeps_id {
                self.clock = self.clock.restarted(now);
            }
        }
    }

    /// Takes the keys of the reports that are due to be removed.
    pub(super) fn take_stale_reports(&mut self, now: u64) -> Vec<String> {
        let stale = self.stale_reports.extract_if(.., |(_, at)| *at <= now);
        stale.map(|(key, _)| key).collect()
    }
}
