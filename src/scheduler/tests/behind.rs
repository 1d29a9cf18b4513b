//! Whether a view comes as far as the store, at loads that are written in single answers no more.

use std::time::Duration;

use crate::{
    model::unit::Revision,
    platform::kv::{Change, Committed, Heard, Kv, Txn},
    scheduler::mirror::{Prefix, RECORDS, SLICE, WORKERS, end_of_slice, pause_after},
    standin::site,
};

/// Changes a second: twice what a deployment of 1,100 workers and 160 jobs a second writes.
const RATE: u64 = 4_500;

/// Changes that the store tells in one answer, and bytes of each.
const MOST: u64 = 500;
const BYTES: usize = 270;

/// How long an answer is on its way and taken in, at a node with half a core, in milliseconds.
const WAY_MS: u64 = 40;

/// How old a view may be, in milliseconds: half of what callers may be told.
const AGE_MS: u64 = 1_000;

fn answer(changes: u64) -> Heard {
    let value = vec![b'v'; BYTES];
    let change = |number: u64| Change {
        key: format!("ch/job/{number:016x}/progress"),
        revision: Revision(number),
        value: Some(value.clone().into()),
    };
    Heard { changes: (1..=changes).map(change).collect(), at: Revision(changes) }
}

/// How old a view is after ten seconds of that load, in milliseconds.
fn age_of_view(prefix: &Prefix, owns: bool) -> u64 {
    let (mut now, mut told) = (0, 0);
    while now < 10_000 {
        let changes = (now * RATE / 1_000 - told).min(MOST);
        told += changes;
        now += WAY_MS + pause_after(&answer(changes), prefix, owns).as_millis() as u64;
    }
    now - told * 1_000 / RATE
}

/// What users saw: a node said that no job waited where 36 did, and the fleet's owner decided on a
/// state 6 to 9 s old. The store tells at most some 500 changes at a time, without a word that there
/// are more, and after each answer the node rested as after one that tells all. From some 3,000
/// changes a second on it never came as far as the store. Evidence: of 3,540 answers 42 held 500 to
/// 506 changes and ended at the last of them, no other more than 221; the node that was behind got
/// four answers a second, where 2,060 revisions a second were written.
#[test]
fn a_view_keeps_up_with_twice_the_load_though_answers_are_cut() {
    for (prefix, owns) in [(RECORDS, false), (RECORDS, true), (WORKERS, false), (WORKERS, true)] {
        let age = age_of_view(&prefix, owns);
        assert!(age < AGE_MS, "{prefix:?}, owns {owns}: {age} ms behind");
    }
}

/// What pauses are for: while little changes, calls are paid for.
#[test]
fn after_few_changes_the_next_answer_is_waited_for() {
    for (prefix, owns) in [(RECORDS, false), (RECORDS, true), (WORKERS, false)] {
        assert!(!pause_after(&answer(100), &prefix, owns).is_zero());
    }
}

/// The stand-in's store tells no more at a time than the platform's: all of it is told once, in
/// order, whole transactions together, and an answer that is cut is taken for one.
#[tokio::test]
async fn what_a_cut_answer_leaves_out_is_told_by_the_next_ones() {
    let (listen, work) = ("127.0.0.1:0".to_owned(), Duration::from_millis(50));
    let running =
        site::start(site::Options { listen, workers: 1, work, pools: 1, keep_ids: false })
            .await
            .unwrap();
    let kv = Kv::new(&running.address, Duration::from_secs(5), |_, _, _| {});
    let mut written = Vec::new();
    for first in (0..1_300).step_by(26) {
        let keys: Vec<String> = (first..first + 26).map(|n| format!("ch/x/{n:05}")).collect();
        let txn = keys.iter().fold(Txn::default(), |txn, key| txn.put(key.clone(), "v"));
        assert!(matches!(kv.commit(&txn).await.unwrap(), Committed::Done(_)));
        written.extend(keys);
    }
    let (mut told, mut since) = (Vec::new(), Revision(0));
    while told.len() < written.len() {
        let heard = kv.watch("ch/x/", since, Duration::from_millis(800)).await.unwrap();
        let left = written.len() - told.len();
        assert_eq!(heard.may_be_cut(), 500 < left, "{} of {left} told", heard.changes.len());
        assert!(heard.changes.len() <= 520 && heard.changes.len() % 26 == 0);
        assert!(heard.changes.iter().all(|change| change.revision <= heard.at));
        told.extend(heard.changes.into_iter().map(|change| change.key));
        since = heard.at;
    }
    assert_eq!(told, written);
}

/// A read of everything is taken in by slices: what one transaction wrote is seen together, and no
/// slice holds the view for much longer than one answer of a watch does.
#[test]
fn slices_end_where_transactions_do() {
    let mut changes = answer(10_000).changes;
    for (place, change) in changes.iter_mut().enumerate() {
        change.revision = Revision(place as u64 / 26);
    }
    let mut slices = 0;
    while let Some(end) = end_of_slice(&changes) {
        assert!((SLICE..SLICE + 26).contains(&end), "a slice of {end}");
        let rest = changes.split_off(end);
        assert!(changes.last().unwrap().revision < rest[0].revision);
        changes = rest;
        slices += 1;
    }
    // Each slice is of the transactions that it takes to fill it.
    assert_eq!(slices, 10_000 / (26 * SLICE.div_ceil(26)));
    assert!(changes.len() < SLICE + 26);
}
