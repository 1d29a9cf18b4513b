//! Tests of which log lines are written when there are too many.

use std::time::{Duration, Instant};

use log::Level;

use super::{
    budget::{Budget, Fate, Kind, Sum},
    told,
};

const HOSTS: Kind = (Some("fleet"), Some(1));
const JOBS: Kind = (Some("api"), Some(2));
const SUMMARY: Kind = (Some("drive"), Some(3));
const WARNING: Kind = (Some("keep"), Some(4));

/// A log of one node.
struct Log {
    budget: Budget,
    now: Instant,
}

impl Log {
    fn new() -> Log {
        let now = Instant::now();
        Log { budget: Budget::new(now), now }
    }

    /// Writes so many lines of a kind; how many come through.
    fn write(&mut self, kind: Kind, level: Level, lines: u32) -> u32 {
        (0..lines).map(|number| u32::from(self.line(kind, level, number))).sum()
    }

    fn line(&mut self, kind: Kind, level: Level, number: u32) -> bool {
        let fate = self.budget.take(kind, level);
        if fate == Fate::Example {
            let example = format!("{} {number}", kind.0.unwrap());
            let sum = Sum { level, target: "t".to_owned(), lines: 1, example };
            self.budget.leave_out(kind, sum);
        }
        fate == Fate::Written
    }

    fn turn(&mut self, ms: u64) -> Vec<Sum> {
        self.now += Duration::from_millis(ms);
        self.budget.turn(self.now)
    }
}

/// One node wrote a line for each of a thousand hosts and each call, and 19,869 lines were left out,
/// by who came first: most summaries of the second and all that told of the cause. What was needed
/// to trace the incident was what was missing. Evidence: 1,786 lines of the log tell how many others
/// were left out, and none tells which.
#[test]
fn warnings_and_what_is_told_once_a_second_come_through_a_flood() {
    let mut log = Log::new();
    log.write(HOSTS, Level::Info, 3_000);
    log.write(JOBS, Level::Info, 3_000);
    assert_eq!(log.write(SUMMARY, Level::Info, 5), 5, "one line for each pool");
    assert_eq!(log.write(WARNING, Level::Warn, 50), 50);
}

/// A flood of one kind leaves room for the others.
#[test]
fn one_kind_takes_half_of_the_room_at_the_most() {
    let mut log = Log::new();
    let hosts = log.write(HOSTS, Level::Info, 3_000);
    assert_eq!(hosts, 200);
    assert_eq!(log.write(JOBS, Level::Info, 100), 100);
}

/// What is left out is told by kind, with an example, once a second.
#[test]
fn what_is_left_out_is_summed_by_kind() {
    let mut log = Log::new();
    assert_eq!(log.write(JOBS, Level::Info, 30), 30);
    log.write(HOSTS, Level::Info, 1_000);
    assert_eq!(log.turn(500), vec![], "the second is not over");
    let sums = log.turn(500);
    assert_eq!(sums.len(), 1);
    assert_eq!((sums[0].lines, sums[0].example.as_str()), (800, "fleet 200"));
    assert_eq!(log.turn(1_000), vec![], "told once");
    assert_eq!(log.write(HOSTS, Level::Info, 50), 50, "a new second");
    assert_eq!(told(&sums[0]), "log: 800 more like this in a second: fleet 200");
}

/// Whatever comes, a second writes no more than the room and what is sure for each kind.
#[test]
fn a_second_is_bounded_whatever_comes() {
    let mut log = Log::new();
    let mut written = 0;
    for line in 0..100 {
        written += log.write((Some("a"), Some(line)), Level::Info, 1_000);
    }
    assert_eq!(written, 400 + 100 * 10);
}
