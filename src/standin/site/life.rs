//! The lives of a worker: how one ends and the next begins, and the clock that each has.

use std::time::{SystemTime, UNIX_EPOCH};

use super::{
    log::{Kind, Log},
    worker::Worker,
};

/// How long the report of a life that is over stays in the store, in milliseconds.
const REPORT_STAYS_MS: u64 = 1_500;

/// How much one worker's clock differs from the next one's, in milliseconds.
const CLOCK_STEP_MS: u64 = 100_003;

/// Every so many workers have a clock that is 2 % slow.
const SLOW_EVERY: u32 = 3;

/// Every so many lives begin under a time of day that has jumped back, and by how much, in
/// milliseconds.
const JUMP_EVERY: u32 = 3;
const JUMP_MS: u64 = 3_600_000;

/// What a host is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Up,
    /// Away until a time, for a cause that the list of hosts names.
    Away(&'static str, u64),
}

/// A clock of its own.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    offset: u64,
    slow: bool,
    /// The stand-in's time at which it began.
    since: u64,
}

/// The Unix millisecond of now.
pub(super) fn today() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Clock {
    pub(super) fn new(number: u32) -> Clock {
        let offset = u64::from(number) * CLOCK_STEP_MS;
        Clock { offset, slow: number % SLOW_EVERY == 1, since: 0 }
    }

    /// The clock of the next life, which begins anew.
    fn restarted(self, now: u64) -> Clock {
        Clock { offset: 1, since: now, ..self }
    }

    /// What the clock shows at a time of the stand-in.
    pub(super) fn at(&self, now: u64) -> u64 {
        let passed = now.saturating_sub(self.since);
        self.offset + if self.slow { passed - passed / 50 } else { passed }
    }
}

impl Worker {
    pub(super) fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }

    /// What the list of hosts says.
    pub(super) fn phase_name(&self) -> &'static str {
        match self.phase {
            Phase::Up => "up",
            Phase::Away(name, _) => name,
        }
    }

    /// Ends all runs with the worker's life; the next one begins after so long.
    pub(super) fn end_life(&mut self, why: &'static str, now: u64, away_ms: u64, log: &mut Log) {
        for (task, run) in std::mem::take(&mut self.runs) {
            log.note(now, (&self.id, run.token), Kind::Crashed, (&task, run.run));
        }
        self.phase = Phase::Away(why, now + away_ms);
        self.life += 1;
        if !self.keeps_id {
            self.stale_reports.push((self.report_key(), now + REPORT_STAYS_MS));
            self.id = format!("w{}-{}", self.number, self.life);
        }
        self.forget();
    }

    /// Begins the next life if it is time.
    pub(super) fn come_back(&mut self, now: u64) {
        if let Phase::Away(_, until) = self.phase
            && until <= now
        {
            self.phase = Phase::Up;
            if self.born.is_some() {
                let jump = if self.life % JUMP_EVERY == 2 { JUMP_MS } else { 0 };
                self.born = Some(today().saturating_sub(jump));
            }
            if self.keeps_id {
                self.clock = self.clock.restarted(now);
            }
        }
    }

    /// The keys of reports that are over by now.
    pub(super) fn take_stale(&mut self, now: u64) -> Vec<String> {
        let stale = self.stale_reports.extract_if(.., |(_, at)| *at <= now);
        stale.map(|(key, _)| key).collect()
    }
}
