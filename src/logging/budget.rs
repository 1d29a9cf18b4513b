//! Limits the rate of log lines. Lines are limited by kind, i.e. by their place in the code: a line
//! for each host and call is of one kind, however many hosts there are.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use log::Level;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of lines per window beyond the guaranteed ones of each kind: 100 KB/s.
const MAX_LINES: u32 = 400;

/// Maximum number of lines of one kind per window: half of all, so that one kind cannot crowd out
/// the others.
const MAX_LINES_OF_KIND: u32 = 200;

/// Number of lines of one kind that are always written in a window: enough for a line per second
/// for each pool, and for an example of a rare line. The code has some 200 kinds.
const GUARANTEED_LINES: u32 = 10;

/// The same as [`GUARANTEED_LINES`] for warnings and errors.
const GUARANTEED_WARNINGS: u32 = 50;

/// The place in the code that a line comes from: module and line number.
pub(super) type Kind = (Option<&'static str>, Option<u32>);

/// Decision on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    Write,
    /// Drops the line, the first of its kind in the window to be dropped; its text becomes the
    /// summary's example.
    DropFirst,
    /// Drops and counts the line.
    Drop,
}

/// The dropped lines of one kind in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DropSummary {
    pub(super) level: Level,
    pub(super) target: String,
    pub(super) lines: u32,
    pub(super) example: String,
}

/// The lines of one kind in the current window.
struct KindUsage {
    written: u32,
    dropped: Option<DropSummary>,
}

/// The lines of the current window.
pub(super) struct Budget {
    started: Instant,
    written: u32,
    kinds: HashMap<Kind, KindUsage>,
}

impl Budget {
    pub(super) fn new(now: Instant) -> Budget {
        Budget { started: now, written: 0, kinds: HashMap::new() }
    }

    /// Decides on a line. [`Budget::roll_over`] must be called before, to close a finished window.
    pub(super) fn admit(&mut self, kind: Kind, level: Level) -> Decision {
        let guaranteed = if level <= Level::Warn { GUARANTEED_WARNINGS } else { GUARANTEED_LINES };
        let usage = self.kinds.entry(kind).or_insert(KindUsage { written: 0, dropped: None });
        let is_within_budget = self.written < MAX_LINES && usage.written < MAX_LINES_OF_KIND;
        if usage.written < guaranteed || is_within_budget {
            // Guaranteed lines do not count against the shared budget.
            self.written += u32::from(guaranteed <= usage.written);
            usage.written += 1;
            return Decision::Write;
        }
        match &mut usage.dropped {
            Some(summary) => {
                summary.lines += 1;
                Decision::Drop
            }
            None => Decision::DropFirst,
        }
    }

    /// Records the first dropped line of a kind.
    pub(super) fn record_dropped(&mut self, kind: Kind, summary: DropSummary) {
        let usage = self.kinds.entry(kind).or_insert(KindUsage { written: 0, dropped: None });
        match &mut usage.dropped {
            // Another thread has recorded a first line, too.
            Some(known) => known.lines += summary.lines,
            None => usage.dropped = Some(summary),
        }
    }

    /// Starts a new window if the current one is over, and returns the summaries of its dropped
    /// lines, the most frequent kind first.
    pub(super) fn roll_over(&mut self, now: Instant) -> Vec<DropSummary> {
        if now < self.started + WINDOW {
            return Vec::new();
        }
        self.started = now;
        self.written = 0;
        let mut summaries: Vec<DropSummary> =
            self.kinds.drain().filter_map(|(_, usage)| usage.dropped).collect();
        summaries.sort_by(|a, b| b.lines.cmp(&a.lines).then_with(|| a.example.cmp(&b.example)));
        summaries
    }
}
