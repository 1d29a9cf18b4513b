//! Tests of news that overtakes other news. Two watches and reads in pages tell a node of the same
//! keys, none of them as far as the others: whatever comes last by revision counts, however late
//! older news is told, and also once nothing is held of the key any more.

use serde_json::{Value, json};

use crate::{
    model::unit::Revision,
    platform::kv::Change,
    scheduler::{keys, view::View},
};

/// One kind of record: its key, two values, and whether the view shows it.
struct Kind {
    key: String,
    first: Value,
    second: Value,
    shows: fn(&View) -> bool,
}

fn server(state: &str) -> Value {
    json!({ "service": "pool", "address": "h1:80", "zone": "z1", "state": state })
}

fn kind(key: &str, first: Value, second: Value, shows: fn(&View) -> bool) -> Kind {
    Kind { key: key.to_owned(), first, second, shows }
}

fn of_node(name: &str) -> Value {
    json!({ "node": name, "life": 1 })
}

fn job() -> Value {
    serde_json::to_value(crate::tests::sample::record(vec![])).unwrap()
}

/// Every kind of record that comes and goes.
fn kinds() -> Vec<Kind> {
    let (job_key, cancel) =
        (keys::job(&"pool".parse().unwrap(), super::job()), keys::cancel(super::job()));
    let (one, two) = (json!({ "count": 1 }), json!({ "count": 2 }));
    let empty = |mark: u64| json!({ "worker": "w1", "mark": mark });
    let called = |token: u64| json!({ "token": token, "at": 1 });
    let wave = |done: bool| json!({ "hosts": [], "reported": done });
    let report = |leaves: Option<u64>| {
        json!({ "id": "w1", "host": "h1", "pool": "pool", "address": "h1:80", "zone": "z1",
            "room": { "cpu": 1, "memory": 1, "gpus": 0 }, "labels": [], "leaves_ms": leaves })
    };
    let upkeep = |limit: u64| json!({ "wave": 3, "machines": ["h1"], "period_s": 1.0, "upper_limit": limit });
    vec![
        kind(&job_key, job(), job(), |view| {
            view.jobs.get(&super::job()).is_some_and(|known| known.record.is_some())
        }),
        kind(&cancel, json!(1), json!(2), |view| {
            view.jobs.get(&super::job()).is_some_and(|known| known.cancelled)
        }),
        kind("ch/work/pool-a/owner", of_node("n1"), of_node("n2"), |view| !view.owners.is_empty()),
        kind("ch/term/pool-a", one, two, |view| !view.terms.is_empty()),
        kind("ch/leave/h1", json!({ "Upkeep": 3 }), json!({ "Upkeep": 4 }), |view| {
            !view.leaves.is_empty()
        }),
        kind("ch/empty/h1", empty(1), empty(2), |view| !view.empties.is_empty()),
        kind("ch/wave/3", wave(false), wave(true), |view| !view.waves.is_empty()),
        kind("ch/usage/pool-a", json!({}), json!({ "i": ["h1"] }), |view| !view.usages.is_empty()),
        kind("ch/called/h1", called(1), called(2), |view| !view.called.is_empty()),
        kind("ch/all/node/n1", json!({ "cpu": 1 }), json!({ "cpu": 2 }), |view| {
            !view.nodes.is_empty()
        }),
        kind("ch/all/queued/pool-a", json!({ "q": 1 }), json!({ "q": 2 }), |view| {
            !view.queued.is_empty()
        }),
        kind("ch/roster/pool-a/w1", report(None), report(Some(1)), |view| !view.rosters.is_empty()),
        kind("ch/away/pool-a", json!({}), json!({ "s": { "w1": [] } }), |view| {
            !view.away.is_empty()
        }),
        kind("servers/w1", server("ready"), server("draining"), |view| !view.workers.is_empty()),
        kind("op/wave/3", upkeep(1), upkeep(2), |view| !view.upkeeps.is_empty()),
    ]
}

impl Kind {
    fn put(&self, view: &mut View, revision: u64, value: &Value) {
        let value = Some(serde_json::to_vec(value).unwrap().into());
        view.apply(Change { key: self.key.clone(), revision: Revision(revision), value });
    }

    fn remove(&self, view: &mut View, revision: u64) {
        let (key, revision) = (self.key.clone(), Revision(revision));
        view.apply(Change { key, revision, value: None });
    }
}

/// The kinds of which a check does not hold.
fn failing(holds: impl Fn(&Kind) -> bool) -> Vec<String> {
    kinds().into_iter().filter(|kind| !holds(kind)).map(|kind| kind.key).collect()
}

#[test]
fn every_kind_is_shown_once_written_and_no_more_once_removed() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        let written = (kind.shows)(&view);
        kind.remove(&mut view, 20);
        let removed = !(kind.shows)(&view);
        kind.put(&mut view, 30, &kind.second);
        written && removed && (kind.shows)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A page that was read before a removal comes after the watch that told of the removal: the record
/// was back until the watch of the pages had come as far, and whoever asked the view meanwhile took
/// it for true. Nothing was held of the key by which the page could be told as older.
#[test]
fn what_was_removed_is_not_back_when_older_news_comes() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.remove(&mut view, 20);
        kind.put(&mut view, 10, &kind.first);
        kind.put(&mut view, 15, &kind.second);
        !(kind.shows)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// The same where only the removal was told by then.
#[test]
fn what_was_removed_before_it_was_known_is_not_shown_when_older_news_comes() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.remove(&mut view, 20);
        kind.put(&mut view, 10, &kind.first);
        !(kind.shows)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A watch that lags tells of the removal of what has been written anew since.
#[test]
fn an_older_removal_does_not_take_away_what_was_written_later() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.put(&mut view, 30, &kind.second);
        kind.remove(&mut view, 20);
        (kind.shows)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// Reads in pages tell that a key is not there any more at the revision of their first page; the
/// watch goes on from there and may tell of older writes to it once more, by another source.
#[test]
fn what_pages_showed_as_gone_is_not_back_when_an_older_watch_tells_of_it() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.remove(&mut view, 40);
        kind.put(&mut view, 20, &kind.second);
        let back = (kind.shows)(&view);
        kind.remove(&mut view, 25);
        kind.put(&mut view, 50, &kind.second);
        !back && (kind.shows)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A worker that is to end was shown as ready again while its watch repeated what the pages had
/// shown already, and got work meanwhile.
#[test]
fn a_worker_that_leaves_is_not_ready_again_when_older_news_comes() {
    let mut view = View::default();
    let key = "servers/w1".to_owned();
    let mut tell = |revision, state: &str| {
        let value = Some(serde_json::to_vec(&server(state)).unwrap().into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
    };
    tell(20, "draining");
    tell(10, "ready");
    let worker = &view.workers[&"w1".parse().unwrap()];
    assert!(worker.value.leaves_ms.is_some());
}

/// A node's ownership has passed on, its own watch has told so, and a page from before that comes
/// last: to the node its token held again, so that it went on giving orders until the mirror had
/// come as far, though it had been told of its successor.
#[test]
fn an_owner_that_was_told_of_its_end_does_not_hold_again() {
    let mut view = View::default();
    let key = keys::owner("pool-a");
    let mut tell = |revision, value: Option<Value>| {
        let value = value.map(|value| serde_json::to_vec(&value).unwrap().into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
        view.owns("pool-a", 10)
    };
    assert!(tell(10, Some(of_node("n1"))));
    assert!(!tell(20, None));
    assert!(!tell(10, Some(of_node("n1"))));
}

/// Only a configuration of a higher version counts, whatever its revision, and none is taken away.
#[test]
fn a_configuration_goes_neither_back_nor_away() {
    let mut view = View::default();
    let key = crate::platform::records::CONFIG_KEY.to_owned();
    let mut tell = |revision, version: Option<u64>| {
        let value = version.map(|version| {
            let value = json!({ "version": version, "routes": [], "services": [] });
            serde_json::to_vec(&value).unwrap().into()
        });
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
        view.config.as_ref().map(|config| config.version)
    };
    assert_eq!(tell(10, Some(7)), Some(7));
    assert_eq!(tell(9, Some(6)), Some(7));
    assert_eq!(tell(20, None), Some(7));
    assert_eq!(tell(10, Some(7)), Some(7));
}

/// A removal is known until no source can tell of anything older, and no longer.
#[test]
fn removals_are_forgotten_once_every_source_of_the_key_has_passed_them() {
    let mut view = View::default();
    let at = Revision;
    let mirror = view.heard.open("ch/", at(0));
    let own = view.heard.open("ch/work/pool-a/", at(5));
    let workers = view.heard.open("servers/", at(0));
    let kinds = kinds();
    let [owner, worker] = ["ch/work/pool-a/owner", "servers/w1"]
        .map(|key| kinds.iter().find(|kind| kind.key == key).unwrap());
    owner.put(&mut view, 10, &owner.first);
    owner.remove(&mut view, 20);
    worker.put(&mut view, 11, &worker.first);
    worker.remove(&mut view, 21);
    view.heard.passed(mirror, at(20));
    assert_eq!(view.heard.removals(), 2, "the owner's own watch may repeat the first");
    owner.put(&mut view, 10, &owner.first);
    assert!(view.owners.is_empty());
    view.heard.passed(own, at(19));
    assert_eq!(view.heard.removals(), 2);
    view.heard.close(own);
    assert_eq!(view.heard.removals(), 1, "the workers' watch says nothing of owners");
    view.heard.passed(workers, at(30));
    assert_eq!(view.heard.removals(), 0);
    worker.put(&mut view, 40, &worker.first);
    worker.remove(&mut view, 41);
    worker.put(&mut view, 42, &worker.first);
    view.heard.passed(workers, at(50));
    assert_eq!(view.heard.removals(), 0);
    worker.put(&mut view, 42, &worker.second);
    assert!(view.workers[&"w1".parse().unwrap()].value.leaves_ms.is_none(), "it is still known");
}
