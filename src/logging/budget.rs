//! Which log lines are written when there are too many. A kind of line is a place in the code: a line
//! for each host and call is one kind, however many hosts there are.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use log::Level;

/// The time over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines a second that are written, beside those that each kind may write in any case: 100 KB/s.
const MOST: u32 = 400;

/// Lines of one kind a second at the most: half of all, so that one kind leaves room for others.
const MOST_OF_KIND: u32 = 200;

/// Lines of one kind a second that are written however many others there are: what is told once a
/// second of each pool, and one example of what is rare. The code has some 200 kinds.
const SURE: u32 = 10;

/// The same for warnings and errors.
const SURE_WARNINGS: u32 = 50;

/// Where a line comes from: the module and the line of code.
pub(super) type Kind = (Option<&'static str>, Option<u32>);

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Written,
    /// It is left out, and its text is an example for the sum.
    Example,
    /// It is counted only.
    Counted,
}

/// Lines of one kind that were left out in one span.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sum {
    pub(super) level: Level,
    pub(super) target: String,
    pub(super) lines: u32,
    pub(super) example: String,
}

/// A kind in the present span.
struct Use {
    written: u32,
    left_out: Option<Sum>,
}

/// The lines of the present span.
pub(super) struct Budget {
    began: Instant,
    written: u32,
    kinds: HashMap<Kind, Use>,
}

impl Budget {
    pub(super) fn new(now: Instant) -> Budget {
        Budget { began: now, written: 0, kinds: HashMap::new() }
    }

    /// Decides on a line. The sums of a span that is over are to be taken before.
    pub(super) fn take(&mut self, kind: Kind, level: Level) -> Fate {
        let sure = if level <= Level::Warn { SURE_WARNINGS } else { SURE };
        let used = self.kinds.entry(kind).or_insert(Use { written: 0, left_out: None });
        let has_room = self.written < MOST && used.written < MOST_OF_KIND;
        if used.written < sure || has_room {
            // What is sure takes nothing from the others' room.
            self.written += u32::from(sure <= used.written);
            used.written += 1;
            return Fate::Written;
        }
        match &mut used.left_out {
            Some(sum) => {
                sum.lines += 1;
                Fate::Counted
            }
            None => Fate::Example,
        }
    }

    /// Takes the first line of a kind that is left out.
    pub(super) fn leave_out(&mut self, kind: Kind, sum: Sum) {
        let used = self.kinds.entry(kind).or_insert(Use { written: 0, left_out: None });
        match &mut used.left_out {
            // Two threads had the first.
            Some(known) => known.lines += sum.lines,
            None => used.left_out = Some(sum),
        }
    }

    /// Begins a new span if the present one is over; what was left out in that, the most first.
    pub(super) fn turn(&mut self, now: Instant) -> Vec<Sum> {
        if now < self.began + SPAN {
            return Vec::new();
        }
        self.began = now;
        self.written = 0;
        let mut sums: Vec<Sum> = self.kinds.drain().filter_map(|(_, used)| used.left_out).collect();
        sums.sort_by(|a, b| b.lines.cmp(&a.lines).then_with(|| a.example.cmp(&b.example)));
        sums
    }
}
