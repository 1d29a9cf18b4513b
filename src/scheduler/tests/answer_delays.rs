//! Tests of the line of a delegate that answers late.

use std::time::{Duration, Instant};

use crate::scheduler::dispatch::answer_delays::{AnswerDelays, LATE_ANSWER, REPORT_INTERVAL};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_delegate_reports_late_answers_once_a_second() {
    let start = Instant::now();
    let mut delays = AnswerDelays::new(start, millis(300));
    for (due, sent) in [(100, 110), (200, 440), (900, 900), (1_300, 1_250)] {
        delays.note_sent(start + millis(due), start + millis(sent));
    }
    let early = start + REPORT_INTERVAL - millis(1);
    assert_eq!(delays.take_report(early, || panic!("the clock is read once a second")), None);
    let report = delays.take_report(start + millis(1_250), || millis(450));
    assert_eq!(
        report.as_deref(),
        Some(
            "4 calls for another node in the last 1250 ms, answered up to 240 ms late, \
             mean 62 ms; cpu 120 millicores"
        )
    );
}

#[test]
fn a_delegate_that_answers_in_time_reports_nothing() {
    let start = Instant::now();
    let mut delays = AnswerDelays::new(start, Duration::ZERO);
    delays.note_sent(start, start + LATE_ANSWER);
    assert_eq!(delays.take_report(start + millis(1_000), Duration::default), None);
    delays.note_sent(start, start + LATE_ANSWER + millis(1));
    let second = start + millis(2_000);
    assert!(delays.take_report(second, Duration::default).unwrap().starts_with("1 calls"));
}
