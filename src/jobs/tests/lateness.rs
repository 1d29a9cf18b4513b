//! Tests of how an owner counts what starts and waits by whether it can still end in time.

use super::{Harness, id, one_worker, report, step, stored};
use crate::{
    jobs::{
        event::{Event, StoredJob},
        owner::Lateness,
        urgency::ByLateness,
    },
    model::job::Step,
};

/// An age at which a job of one step of 1 s is late, and one at which it is too late to be of
/// value, in milliseconds: its objective is 2.6 s.
const LATE_MS: u64 = 2_000;
const TOO_LATE_MS: u64 = 10_000;

fn lateness(harness: &Harness) -> Lateness {
    harness.owner.lateness(harness.at())
}

fn due(harness: &Harness) -> ByLateness {
    lateness(harness).due
}

#[test]
fn waiting_tasks_are_counted_by_whether_their_job_can_end_in_time() {
    let mut harness = Harness::new(0);
    harness.deliver(Event::Job(stored(1, vec![step(3)], 110)));
    assert_eq!(due(&harness), ByLateness { in_time: 3, ..ByLateness::default() });
    harness.now = LATE_MS;
    assert_eq!(due(&harness), ByLateness { late: 3, ..ByLateness::default() });
    harness.now = TOO_LATE_MS;
    assert_eq!(due(&harness), ByLateness { too_late: 3, ..ByLateness::default() });
    harness.deliver(Event::Cancelled(id(1)));
    assert_eq!(due(&harness), ByLateness::default());
}

#[test]
fn tasks_that_wait_for_an_earlier_step_are_not_due() {
    let mut harness = Harness::new(0);
    let later = Step { after: vec![0], ..step(5) };
    harness.deliver(Event::Job(stored(1, vec![step(2), later], 110)));
    assert_eq!(due(&harness), ByLateness { in_time: 2, ..ByLateness::default() });
}

#[test]
fn starts_are_counted_by_whether_their_job_can_end_in_time() {
    let mut harness = one_worker();
    harness.deliver(Event::Job(stored(1, vec![step(2)], 110)));
    harness.work();
    assert_eq!(harness.take_starts().len(), 2);
    harness.work();
    assert_eq!(harness.owner.take_starts(), ByLateness { in_time: 2, ..ByLateness::default() });
    assert_eq!(harness.owner.take_starts(), ByLateness::default());
    for (number, age_ms) in [(2, LATE_MS), (3, TOO_LATE_MS)] {
        let submitted = stored(number, vec![step(1)], 110 + number);
        let mut record = (*submitted.record).clone();
        record.accepted = harness.at().wall.before(std::time::Duration::from_millis(age_ms));
        harness.deliver(Event::Job(StoredJob { record: record.into(), ..submitted }));
    }
    harness.work();
    assert_eq!(harness.take_starts().len(), 2);
    let late = ByLateness { in_time: 0, late: 1, too_late: 1 };
    assert_eq!(harness.owner.take_starts(), late);
}

/// An answer that waits in the queue of its owner's node looks like one that has not come.
#[test]
fn a_worker_whose_poll_is_overdue_is_counted_until_the_result_is_handled() {
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.work();
    assert_eq!(lateness(&harness).overdue_polls, 0);
    harness.now += 2_000;
    // The second worker has never answered.
    assert_eq!(lateness(&harness).overdue_polls, 1);
    harness.poll("w1", vec![], vec![]);
    assert_eq!(lateness(&harness).overdue_polls, 0);
    harness.work();
    harness.poll_unanswered("w1");
    assert_eq!(lateness(&harness).overdue_polls, 0, "a silent worker");
}
