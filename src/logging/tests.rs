//! Tests of the rate limit of log lines.

use std::time::{Duration, Instant};

use log::Level;

use super::{
    budget::{Budget, Decision, DropSummary, Kind},
    summary_message,
};

const HOSTS: Kind = (Some("fleet"), Some(1));
const JOBS: Kind = (Some("api"), Some(2));
const SUMMARY: Kind = (Some("drive"), Some(3));
const WARNING: Kind = (Some("keep"), Some(4));

/// The log of one node.
struct Log {
    budget: Budget,
    now: Instant,
}

impl Log {
    fn new() -> Log {
        let now = Instant::now();
        Log { budget: Budget::new(now), now }
    }

    /// Logs a number of lines of a kind and returns how many are written.
    fn write(&mut self, kind: Kind, level: Level, lines: u32) -> u32 {
        (0..lines).map(|number| u32::from(self.line(kind, level, number))).sum()
    }

    fn line(&mut self, kind: Kind, level: Level, number: u32) -> bool {
        let decision = self.budget.admit(kind, level);
        if decision == Decision::DropFirst {
            let example = format!("{} {number}", kind.0.unwrap());
            let summary = DropSummary { level, target: "t".to_owned(), lines: 1, example };
            self.budget.record_dropped(kind, summary);
        }
        decision == Decision::Write
    }

    fn roll_over(&mut self, ms: u64) -> Vec<DropSummary> {
        self.now += Duration::from_millis(ms);
        self.budget.roll_over(self.now)
    }
}

/// Guards against losing the lines that an incident is traced by: a node logged a line for each
/// call of each of a thousand hosts, and 19,869 lines were dropped in order of arrival, among them
/// most summaries and all warnings on the cause.
#[test]
fn warnings_and_summaries_are_written_during_a_flood() {
    let mut log = Log::new();
    log.write(HOSTS, Level::Info, 3_000);
    log.write(JOBS, Level::Info, 3_000);
    assert_eq!(log.write(SUMMARY, Level::Info, 5), 5, "one line for each pool");
    assert_eq!(log.write(WARNING, Level::Warn, 50), 50);
}

/// A flood of one kind must not suppress the others.
#[test]
fn one_kind_uses_at_most_half_of_the_budget() {
    let mut log = Log::new();
    let hosts = log.write(HOSTS, Level::Info, 3_000);
    assert_eq!(hosts, 200);
    assert_eq!(log.write(JOBS, Level::Info, 100), 100);
}

/// Dropped lines are reported once a second by kind, with an example.
#[test]
fn dropped_lines_are_summarized_by_kind() {
    let mut log = Log::new();
    assert_eq!(log.write(JOBS, Level::Info, 30), 30);
    log.write(HOSTS, Level::Info, 1_000);
    assert_eq!(log.roll_over(500), vec![], "the second is not over");
    let summaries = log.roll_over(500);
    assert_eq!(summaries.len(), 1);
    assert_eq!((summaries[0].lines, summaries[0].example.as_str()), (800, "fleet 200"));
    assert_eq!(log.roll_over(1_000), vec![], "reported once");
    assert_eq!(log.write(HOSTS, Level::Info, 50), 50, "a new second");
    assert_eq!(
        summary_message(&summaries[0]),
        "log: 800 more lines like this dropped in one second: fleet 200"
    );
}

/// No more lines are written in a second than the shared budget and the guaranteed lines of each
/// kind.
#[test]
fn the_number_of_lines_per_second_is_bounded() {
    let mut log = Log::new();
    let mut written = 0;
    for line in 0..100 {
        written += log.write((Some("a"), Some(line)), Level::Info, 1_000);
    }
    assert_eq!(written, 400 + 100 * 10);
}
