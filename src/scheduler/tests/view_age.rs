//! Tests of the age of a view, with all times given.

use std::time::Duration;

use serde_json::json;

use crate::{
    model::{
        queue::Queue,
        unit::{Revision, Steady},
    },
    platform::kv::{Change, WatchBatch},
    scheduler::{
        control_loop::json as bytes,
        keys::{self, QUEUED, ROOT},
        view::{
            View,
            age::{Ages, Extent, MAX_RECORDS_AGE_MS, MAX_REPORT_AGE_MS},
        },
        view_age::{AgeMonitor, Transition},
    },
};

fn at(millis: u64) -> Steady {
    Steady::from_millis(millis)
}

fn changes(ages: &mut Ages, sent: u64, up_to: u64) {
    let call = ages.start_call(at(sent));
    ages.note_answer(ROOT, call, Extent::Changes(Revision(up_to)));
}

#[test]
fn an_answer_covers_writes_before_its_call_was_sent() {
    let mut ages = Ages::default();
    assert_eq!(ages.as_of(ROOT), None, "nothing was received yet");
    changes(&mut ages, 100, 7);
    assert_eq!(ages.as_of(ROOT), Some(at(100)));
    assert_eq!(ages.age_ms(ROOT, at(2_600)), Some(2_500));
    assert!(ages.is_within(ROOT, 2_500, at(2_600)) && !ages.is_within(ROOT, 2_499, at(2_600)));
    assert_eq!(ages.as_of(QUEUED), None, "another prefix is not affected");
}

#[test]
fn an_answer_that_ends_below_a_known_revision_leaves_the_age_as_it_was() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    ages.note_revision(at(200), Revision(90));
    changes(&mut ages, 300, 40);
    assert_eq!(ages.as_of(ROOT), Some(at(100)), "changes up to 90 had been written by then");
    changes(&mut ages, 400, 90);
    assert_eq!(ages.as_of(ROOT), Some(at(400)));
}

/// Each answer is truncated, and the store's revision advances meanwhile.
#[test]
fn a_lagging_prefix_is_as_old_as_the_moment_of_its_revision() {
    let mut ages = Ages::default();
    for step in 1..=20 {
        ages.note_revision(at(1_000 * step), Revision(100 * step));
    }
    let call = ages.start_call(at(20_500));
    ages.note_answer(ROOT, call, Extent::Changes(Revision(1_450)));
    assert_eq!(ages.as_of(ROOT), Some(at(14_000)));
    assert_eq!(ages.age_ms(ROOT, at(21_000)), Some(7_000));
}

/// A watch waits, and other answers show that the store is still at the revision of the prefix.
#[test]
fn an_unchanged_prefix_does_not_age_while_the_store_has_no_writes() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    ages.note_revision(at(900), Revision(7));
    assert_eq!(ages.as_of(ROOT), Some(at(900)));
    ages.note_revision(at(1_800), Revision(8));
    assert_eq!(ages.as_of(ROOT), Some(at(900)), "the change may be below this prefix");
}

#[test]
fn ages_outlast_the_moments_that_they_come_from() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    for step in 1..=10_000 {
        ages.note_revision(at(100 + step), Revision(7));
    }
    changes(&mut ages, 20_000, 7);
    for step in 0..1_000 {
        ages.note_revision(at(20_000 + 100 * step), Revision(50 + step));
    }
    assert_eq!(ages.as_of(ROOT), Some(at(20_000)));
}

#[test]
fn an_empty_answer_covers_the_time_that_the_watch_waited() {
    let (ages, wait) = (Ages::default(), Duration::from_millis(800));
    let call = ages.start_call(at(1_000));
    let empty = WatchBatch { changes: Vec::new(), at: Revision(5) };
    let extent_at = |answered| Extent::of_watch(call, wait, &empty, at(answered));
    assert_eq!(extent_at(1_803), Extent::Unchanged(Revision(5), at(1_800)));
    assert_eq!(extent_at(4_000), Extent::Unchanged(Revision(5), at(1_800)), "the answer was late");
    assert_eq!(
        extent_at(1_200),
        Extent::Unchanged(Revision(5), at(1_000)),
        "the watch was cut short"
    );
    let change = Change { key: "ch/x".to_owned(), revision: Revision(5), value: None };
    let changed = WatchBatch { changes: vec![change], at: Revision(5) };
    let extent = Extent::of_watch(call, wait, &changed, at(1_803));
    assert_eq!(extent, Extent::Changes(Revision(5)));
}

#[test]
fn the_watch_of_an_owner_starts_at_the_age_of_the_records() {
    let (mut ages, own) = (Ages::default(), "ch/work/pool-a/");
    changes(&mut ages, 100, 7);
    ages.add_prefix(own, ROOT);
    assert_eq!(ages.as_of(own), Some(at(100)));
    ages.remove_prefix(own);
    assert_eq!(ages.as_of(own), None);
}

fn queue() -> Queue {
    Queue {
        name: "quotes".to_owned(),
        host: String::new(),
        prefix: String::new(),
        pool: "a".parse().unwrap(),
        public: false,
        priority: 0,
        max_attempts: 1,
        stretch_percent: 100,
        target_ms: 0,
        advice: None,
    }
}

/// The watch of the records for all nodes answers a call sent at `sent`, with a waiting report or
/// with nothing.
fn receive(view: &mut View, sent: u64, report: Option<(&str, u64)>) {
    let source = view.key_revisions.add_source(QUEUED, Revision(0));
    let call = view.ages.start_call(at(sent));
    let change = report.map(|(pool, jobs)| Change {
        key: keys::queued(pool),
        revision: Revision(sent),
        value: Some(bytes(&json!({ "quotes": jobs })).into()),
    });
    let extent = Extent::Changes(Revision(sent));
    view.apply_answer((QUEUED, source), call, change.into_iter().collect(), extent);
}

#[test]
fn reports_are_added_up_while_all_that_name_the_queue_are_renewed() {
    let mut view = View::default();
    let jobs = |view: &View, now| view.pending(&queue(), at(now)).ok().map(|counted| counted.jobs);
    receive(&mut view, 1_000, Some(("pool-b", 3)));
    assert_eq!(jobs(&view, 1_100), None, "the pool's own report was not received");
    receive(&mut view, 1_200, Some(("pool-a", 4)));
    assert_eq!(jobs(&view, 1_300), Some(7));
    receive(&mut view, 2_500, Some(("pool-a", 5)));
    assert_eq!(jobs(&view, 1_000 + MAX_REPORT_AGE_MS), Some(8));
    assert_eq!(jobs(&view, 1_001 + MAX_REPORT_AGE_MS), None, "the other pool's report is too old");
    receive(&mut view, 3_500, Some(("pool-b", 1)));
    assert_eq!(jobs(&view, 3_600), Some(6));
    assert_eq!(jobs(&view, 2_501 + MAX_REPORT_AGE_MS), None, "this pool's report is too old");
}

#[test]
fn reports_are_not_added_up_once_their_watch_has_fallen_silent() {
    let mut view = View::default();
    receive(&mut view, 1_000, Some(("pool-a", 4)));
    let is_counted = |view: &View, now| view.pending(&queue(), at(now)).is_ok();
    assert!(is_counted(&view, 1_000 + MAX_RECORDS_AGE_MS));
    assert!(!is_counted(&view, 1_001 + MAX_RECORDS_AGE_MS));
    receive(&mut view, 4_000, None);
    assert!(!is_counted(&view, 4_100), "the watch has recovered, and the report was not renewed");
    view.ages.note_revision(at(4_200), Revision(9_000));
    receive(&mut view, 8_000, Some(("pool-a", 4)));
    assert!(!is_counted(&view, 8_100), "the answer left out later reports, also of other pools");
    receive(&mut view, 9_000, Some(("pool-a", 4)));
    assert!(is_counted(&view, 9_100));
}

#[test]
fn a_stale_view_is_logged_once_and_so_is_its_recovery() {
    let mut monitor = AgeMonitor::default();
    let mut check = |age, now| monitor.check(age, MAX_RECORDS_AGE_MS, at(now));
    assert_eq!(check(MAX_RECORDS_AGE_MS, 10_000), None);
    assert_eq!(
        check(MAX_RECORDS_AGE_MS + 1, 10_200),
        Some(Transition::Stale { age_ms: MAX_RECORDS_AGE_MS + 1 })
    );
    assert_eq!(check(MAX_RECORDS_AGE_MS + 201, 10_400), None);
    assert_eq!(check(100, 10_600), None, "no second line so soon");
    assert_eq!(check(100, 12_200), Some(Transition::Current { after_ms: 2_000 }));
    assert_eq!(check(MAX_RECORDS_AGE_MS + 1, 12_400), None);
    assert_eq!(
        check(MAX_RECORDS_AGE_MS + 1, 14_200),
        Some(Transition::Stale { age_ms: MAX_RECORDS_AGE_MS + 1 })
    );
}
