//! Tests of the check itself: it must tell what is broken from what is not.

use std::collections::BTreeMap;

use super::{
    check::{Count, Entry, Kind, Story, check, check_counts},
    plan::{self, Size},
};

const JOB: &str = "00000000000000a1";

/// What one worker did with a task of the first step, or of the second, one event a millisecond.
fn log(events: &[(&str, Kind, u32)]) -> Vec<Entry> {
    let entry = |(at, (worker, kind, step)): (usize, &(&str, Kind, u32))| Entry {
        at: 10 + at as u64,
        worker: (*worker).to_owned(),
        kind: *kind,
        task: if *kind == Kind::Expired { String::new() } else { format!("{JOB}.0.{step}.0") },
        run: 1,
        token: 7,
    };
    events.iter().enumerate().map(entry).collect()
}

fn accepted() -> Story {
    Story { steps: vec![1, 1], accepted: Some(1), ..Story::default() }
}

fn broken(events: &[(&str, Kind, u32)], story: Story, at_end: bool) -> Vec<&'static str> {
    let stories = BTreeMap::from([(JOB.to_owned(), story)]);
    check(&log(events), &stories, at_end).into_iter().map(|broken| broken.rule).collect()
}

#[test]
fn two_runs_at_one_time_are_seen_and_one_after_the_other_is_not() {
    let both = [("a", Kind::Started, 0), ("b", Kind::Started, 0)];
    assert_eq!(broken(&both, accepted(), false), ["runs twice at one time"]);
    let next = [("a", Kind::Started, 0), ("a", Kind::Lapsed, 0), ("b", Kind::Started, 0)];
    assert!(broken(&next, accepted(), false).is_empty());
    let crashed = [("a", Kind::Started, 0), ("a", Kind::Crashed, 0), ("b", Kind::Started, 0)];
    assert!(broken(&crashed, accepted(), false).is_empty());
}

#[test]
fn a_start_after_an_end_counts_if_the_end_is_taken_note_of_within_the_lease() {
    let (started, done) = (("a", Kind::Started, 0), ("a", Kind::Done, 0));
    let (again, noted) = (("b", Kind::Started, 0), ("a", Kind::Acknowledged, 0));
    let rule = ["starts after an end that was taken note of"];
    assert_eq!(broken(&[started, done, noted, again], accepted(), false), rule);
    assert_eq!(broken(&[started, done, again, noted], accepted(), false), rule);
    assert!(broken(&[started, done, again], accepted(), false).is_empty());
    let lapsed = ("a", Kind::Expired, 0);
    assert!(broken(&[started, done, lapsed, again, noted], accepted(), false).is_empty());
    assert_eq!(broken(&[started, done, noted, lapsed, again], accepted(), false), rule);
}

#[test]
fn the_order_of_steps_and_what_callers_are_shown_are_checked() {
    let early = [("a", Kind::Started, 1)];
    assert_eq!(broken(&early, accepted(), false), ["starts before the steps before it are done"]);
    let shown = Story { shown: vec![(5, "succeeded".to_owned())], ..accepted() };
    let rules = broken(&[], shown, false);
    assert_eq!(rules, ["is shown as succeeded before its tasks are done"]);
    let refused = Story { accepted: None, ..accepted() };
    let rules = broken(&[("a", Kind::Started, 0)], refused, true);
    assert_eq!(rules, ["was refused and runs"]);
    assert_eq!(broken(&[], accepted(), true), ["was accepted and does not end"]);
    assert!(broken(&[], accepted(), false).is_empty());
    assert_eq!(check(&log(&early), &BTreeMap::new(), false)[0].rule, "was never handed in");
}

#[test]
fn a_count_below_half_of_the_jobs_that_have_waited_for_long_is_seen() {
    let names = [JOB, "00000000000000a2", "00000000000000a3"];
    let stories = |story: Story| -> BTreeMap<String, Story> {
        names.map(|name| (name.to_owned(), story.clone())).into()
    };
    let count = |asked, waiting| {
        let node = "n1".to_owned();
        Count { node, pool: 0, asked, answered: asked + 100, waiting }
    };
    let is_broken = |log: &[Entry], story: Story, count| {
        !check_counts(log, &stories(story), &[count]).is_empty()
    };
    assert!(is_broken(&[], accepted(), count(6_000, 1)));
    assert!(!is_broken(&[], accepted(), count(6_000, 2)));
    assert!(!is_broken(&[], accepted(), count(4_000, 0)), "they were accepted lately");
    assert!(!is_broken(&[], accepted(), Count { pool: 1, ..count(6_000, 0) }));
    let cancelled = Story { cancelled: Some(6_050), ..accepted() };
    assert!(!is_broken(&[], cancelled, count(6_000, 0)));
    let begun = log(&[("a", Kind::Started, 0)]);
    assert!(!is_broken(&begun, accepted(), count(6_000, 1)), "two of them wait");
}

#[test]
fn a_seed_draws_the_same_each_time() {
    let size = Size {
        nodes: 6,
        workers: 15,
        pools: 3,
        millis: 30_000,
        often: None,
        crashes: false,
        keep_ids: false,
    };
    assert_eq!(plan::draw(7, size), plan::draw(7, size));
    assert_ne!(plan::draw(7, size), plan::draw(8, size));
}
