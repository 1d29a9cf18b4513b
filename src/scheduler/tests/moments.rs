//! Tests of how old a view is known to be, with all times given.

use std::time::Duration;

use serde_json::json;

use crate::{
    model::{
        queue::Queue,
        unit::{Revision, Steady},
    },
    platform::kv::{Change, Heard},
    scheduler::{
        drive::json as bytes,
        keys::{self, ALL, ROOT},
        lateness::{Lateness, Turn},
        view::{
            View,
            age::{Ages, Extent, RECORDS_MS, WORD_MS},
        },
    },
};

fn at(millis: u64) -> Steady {
    Steady::from_millis(millis)
}

fn changes(ages: &mut Ages, sent: u64, reached: u64) {
    let asked = ages.ask(at(sent));
    ages.heard(ROOT, asked, Extent::Changes(Revision(reached)));
}

#[test]
fn an_answer_tells_of_what_was_written_before_its_call_was_sent() {
    let mut ages = Ages::default();
    assert_eq!(ages.as_of(ROOT), None, "nothing was heard yet");
    changes(&mut ages, 100, 7);
    assert_eq!(ages.as_of(ROOT), Some(at(100)));
    assert_eq!(ages.of(ROOT, at(2_600)), Some(2_500));
    assert!(ages.is_within(ROOT, 2_500, at(2_600)) && !ages.is_within(ROOT, 2_499, at(2_600)));
    assert_eq!(ages.as_of(ALL), None, "of this prefix only");
}

#[test]
fn an_answer_that_ends_below_a_revision_known_before_was_cut_and_is_as_old_as_before() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    ages.told(at(200), Revision(90));
    changes(&mut ages, 300, 40);
    assert_eq!(ages.as_of(ROOT), Some(at(100)), "changes up to 90 were written by then");
    changes(&mut ages, 400, 90);
    assert_eq!(ages.as_of(ROOT), Some(at(400)));
}

/// Each answer is cut, and the store goes on meanwhile.
#[test]
fn a_prefix_that_is_behind_is_known_as_of_when_the_store_stood_there() {
    let mut ages = Ages::default();
    for step in 1..=20 {
        ages.told(at(1_000 * step), Revision(100 * step));
    }
    let asked = ages.ask(at(20_500));
    ages.heard(ROOT, asked, Extent::Changes(Revision(1_450)));
    assert_eq!(ages.as_of(ROOT), Some(at(14_000)));
    assert_eq!(ages.of(ROOT, at(21_000)), Some(7_000));
}

/// A watch waits, and the store is told to stand where the prefix is.
#[test]
fn a_prefix_in_which_nothing_changes_does_not_age_while_the_store_stands_still() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    ages.told(at(900), Revision(7));
    assert_eq!(ages.as_of(ROOT), Some(at(900)));
    ages.told(at(1_800), Revision(8));
    assert_eq!(ages.as_of(ROOT), Some(at(900)), "what changed may be below this prefix");
}

#[test]
fn moments_are_forgotten_and_ages_are_not() {
    let mut ages = Ages::default();
    changes(&mut ages, 100, 7);
    for step in 1..=10_000 {
        ages.told(at(100 + step), Revision(7));
    }
    changes(&mut ages, 20_000, 7);
    for step in 0..1_000 {
        ages.told(at(20_000 + 100 * step), Revision(50 + step));
    }
    assert_eq!(ages.as_of(ROOT), Some(at(20_000)));
}

#[test]
fn a_watch_that_heard_of_nothing_reaches_as_far_as_it_waited() {
    let (ages, wait) = (Ages::default(), Duration::from_millis(800));
    let asked = ages.ask(at(1_000));
    let quiet = Heard { changes: Vec::new(), at: Revision(5) };
    let until = |answered| Extent::of_watch(asked, wait, &quiet, at(answered));
    assert_eq!(until(1_803), Extent::Quiet(Revision(5), at(1_800)));
    assert_eq!(until(4_000), Extent::Quiet(Revision(5), at(1_800)), "its answer was late");
    assert_eq!(until(1_200), Extent::Quiet(Revision(5), at(1_000)), "it was cut");
    let change = Change { key: "ch/x".to_owned(), revision: Revision(5), value: None };
    let told = Heard { changes: vec![change], at: Revision(5) };
    let extent = Extent::of_watch(asked, wait, &told, at(1_803));
    assert_eq!(extent, Extent::Changes(Revision(5)));
}

#[test]
fn what_an_owner_follows_begins_as_old_as_the_records() {
    let (mut ages, own) = (Ages::default(), "ch/work/pool-a/");
    changes(&mut ages, 100, 7);
    ages.begin(own, ROOT);
    assert_eq!(ages.as_of(own), Some(at(100)));
    ages.end(own);
    assert_eq!(ages.as_of(own), None);
}

fn queue() -> Queue {
    Queue {
        name: "quotes".to_owned(),
        host: String::new(),
        prefix: String::new(),
        pool: "a".parse().unwrap(),
        priority: 0,
        attempts: 1,
        stretch: 100,
        target_ms: 0,
        advice: None,
    }
}

/// The watch of what all nodes hear of tells of a word, or of nothing, by a call sent at a moment.
fn word(view: &mut View, sent: u64, told: Option<(&str, u64)>) {
    let source = view.heard.open(ALL, Revision(0));
    let asked = view.ages.ask(at(sent));
    let change = told.map(|(pool, jobs)| Change {
        key: keys::queued(pool),
        revision: Revision(sent),
        value: Some(bytes(&json!({ "quotes": jobs })).into()),
    });
    let extent = Extent::Changes(Revision(sent));
    view.hear((ALL, source), asked, change.into_iter().collect(), extent);
}

#[test]
fn words_are_added_up_while_all_that_name_the_queue_are_renewed() {
    let mut view = View::default();
    let jobs = |view: &View, now| view.pending(&queue(), at(now)).ok().map(|counted| counted.jobs);
    word(&mut view, 1_000, Some(("pool-b", 3)));
    assert_eq!(jobs(&view, 1_100), None, "the pool's own word was not heard");
    word(&mut view, 1_200, Some(("pool-a", 4)));
    assert_eq!(jobs(&view, 1_300), Some(7));
    word(&mut view, 2_500, Some(("pool-a", 5)));
    assert_eq!(jobs(&view, 1_000 + WORD_MS), Some(8));
    assert_eq!(jobs(&view, 1_001 + WORD_MS), None, "the other pool's owner is gone");
    word(&mut view, 3_500, Some(("pool-b", 1)));
    assert_eq!(jobs(&view, 3_600), Some(6));
    assert_eq!(jobs(&view, 2_501 + WORD_MS), None, "this pool's owner is gone");
}

#[test]
fn words_are_not_added_up_once_their_watch_has_fallen_silent() {
    let mut view = View::default();
    word(&mut view, 1_000, Some(("pool-a", 4)));
    let own = |view: &View, now| view.pending(&queue(), at(now)).is_ok();
    assert!(own(&view, 1_000 + RECORDS_MS));
    assert!(!own(&view, 1_001 + RECORDS_MS));
    word(&mut view, 4_000, None);
    assert!(!own(&view, 4_100), "the watch is back, and nobody has renewed the word");
    view.ages.told(at(4_200), Revision(9_000));
    word(&mut view, 8_000, Some(("pool-a", 4)));
    assert!(!own(&view, 8_100), "later words, also of other pools, were left out of the answer");
    word(&mut view, 9_000, Some(("pool-a", 4)));
    assert!(own(&view, 9_100));
}

#[test]
fn a_late_view_is_told_of_once_and_so_is_its_return() {
    let mut lateness = Lateness::default();
    let mut look = |age, now| lateness.look(age, at(now));
    assert_eq!(look(RECORDS_MS, 10_000), None);
    assert_eq!(look(RECORDS_MS + 1, 10_200), Some(Turn::Late { age_ms: RECORDS_MS + 1 }));
    assert_eq!(look(RECORDS_MS + 201, 10_400), None);
    assert_eq!(look(100, 10_600), None, "not two lines at once");
    assert_eq!(look(100, 12_200), Some(Turn::Back { after_ms: 2_000 }));
    assert_eq!(look(RECORDS_MS + 1, 12_400), None);
    assert_eq!(look(RECORDS_MS + 1, 14_200), Some(Turn::Late { age_ms: RECORDS_MS + 1 }));
}
