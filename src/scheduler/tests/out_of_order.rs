//! Tests of changes that arrive out of order. Two watches and reads in pages report the same keys
//! to a node, each as of another revision. The change with the highest revision counts, however
//! late older ones arrive, also once the key has no record any more.

use serde_json::{Value, json};

use crate::{
    model::unit::Revision,
    platform::kv::Change,
    scheduler::{keys, view::View},
};

/// A kind of record: its key, two values, and whether the view shows it.
struct Kind {
    key: String,
    first: Value,
    second: Value,
    is_shown: fn(&View) -> bool,
}

fn server(state: &str) -> Value {
    json!({ "service": "pool", "address": "h1:80", "zone": "z1", "state": state })
}

fn kind(key: &str, first: Value, second: Value, is_shown: fn(&View) -> bool) -> Kind {
    Kind { key: key.to_owned(), first, second, is_shown }
}

fn owner_of(name: &str) -> Value {
    json!({ "node": name, "life": 1 })
}

fn job() -> Value {
    serde_json::to_value(crate::tests::sample::job_record(vec![])).unwrap()
}

/// Every kind of record that comes and goes.
fn kinds() -> Vec<Kind> {
    let (job_key, cancel) =
        (keys::job(&"pool".parse().unwrap(), super::job()), keys::cancel(super::job()));
    let (one, two) = (json!({ "count": 1 }), json!({ "count": 2 }));
    let drained = |mark: u64| json!({ "worker": "w1", "mark": mark });
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
        kind("ch/work/pool-a/owner", owner_of("n1"), owner_of("n2"), |view| {
            !view.owners.is_empty()
        }),
        kind("ch/term/pool-a", one, two, |view| !view.terms.is_empty()),
        kind("ch/leave/h1", json!({ "Upkeep": 3 }), json!({ "Upkeep": 4 }), |view| {
            !view.drain_marks.is_empty()
        }),
        kind("ch/empty/h1", drained(1), drained(2), |view| !view.drained_hosts.is_empty()),
        kind("ch/wave/3", wave(false), wave(true), |view| !view.waves.is_empty()),
        kind("ch/usage/pool-a", json!({}), json!({ "i": ["h1"] }), |view| !view.usages.is_empty()),
        kind("ch/called/h1", called(1), called(2), |view| !view.host_calls.is_empty()),
        kind("ch/node/n1", json!({ "cpu": 1 }), json!({ "cpu": 2 }), |view| !view.nodes.is_empty()),
        kind("ch/queued/pool-a", json!({ "q": 1 }), json!({ "q": 2 }), |view| {
            !view.waiting_reports.is_empty()
        }),
        kind("ch/roster/pool-a/w1", report(None), report(Some(1)), |view| !view.rosters.is_empty()),
        kind("ch/away/pool-a", json!({}), json!({ "s": { "w1": [] } }), |view| {
            !view.silent_workers.is_empty()
        }),
        kind("servers/w1", server("ready"), server("draining"), |view| !view.workers.is_empty()),
        kind("op/wave/3", upkeep(1), upkeep(2), |view| !view.upkeeps.is_empty()),
        kind("op/evacuate/z1", json!({}), json!(1), |view| !view.zones.evacuated().is_empty()),
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

/// The keys of the kinds for which a check fails.
fn failing(passes: impl Fn(&Kind) -> bool) -> Vec<String> {
    kinds().into_iter().filter(|kind| !passes(kind)).map(|kind| kind.key).collect()
}

#[test]
fn every_kind_of_record_is_shown_until_it_is_removed() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        let written = (kind.is_shown)(&view);
        kind.remove(&mut view, 20);
        let removed = !(kind.is_shown)(&view);
        kind.put(&mut view, 30, &kind.second);
        written && removed && (kind.is_shown)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A page that was read before a removal arrived after the watch had reported the removal: the
/// record was shown again until the watch of the pages got there, since nothing was stored for the
/// key by which the page could be recognized as older.
#[test]
fn older_writes_do_not_restore_a_removed_record() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.remove(&mut view, 20);
        kind.put(&mut view, 10, &kind.first);
        kind.put(&mut view, 15, &kind.second);
        !(kind.is_shown)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// The same when the removal arrives before any write.
#[test]
fn older_writes_are_not_shown_when_the_removal_arrives_first() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.remove(&mut view, 20);
        kind.put(&mut view, 10, &kind.first);
        !(kind.is_shown)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A lagging watch reports the removal of a record that has been written again since.
#[test]
fn an_older_removal_does_not_undo_a_later_write() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.put(&mut view, 30, &kind.second);
        kind.remove(&mut view, 20);
        (kind.is_shown)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A read in pages finds a key removed as of the revision of its first page; the watch goes on from
/// there, and another source may repeat older writes of the key.
#[test]
fn a_lagging_watch_does_not_restore_what_a_paged_read_found_removed() {
    let failing = failing(|kind| {
        let mut view = View::default();
        kind.put(&mut view, 10, &kind.first);
        kind.remove(&mut view, 40);
        kind.put(&mut view, 20, &kind.second);
        let restored = (kind.is_shown)(&view);
        kind.remove(&mut view, 25);
        kind.put(&mut view, 50, &kind.second);
        !restored && (kind.is_shown)(&view)
    });
    assert_eq!(failing, Vec::<String>::new());
}

/// A draining worker was shown as ready again while its watch repeated what the pages had shown
/// already, and got work.
#[test]
fn older_writes_do_not_make_a_draining_worker_ready() {
    let mut view = View::default();
    let key = "servers/w1".to_owned();
    let mut apply = |revision, state: &str| {
        let value = Some(serde_json::to_vec(&server(state)).unwrap().into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
    };
    apply(20, "draining");
    apply(10, "ready");
    let worker = &view.workers[&"w1".parse().unwrap()];
    assert!(worker.value.leaves_ms.is_some());
}

/// A node had lost its ownership and its own watch had reported that; then an older page arrived,
/// and the view showed its token as valid again. The node went on sending orders until the mirror
/// caught up.
#[test]
fn older_writes_do_not_restore_an_ended_ownership() {
    let mut view = View::default();
    let key = keys::owner("pool-a");
    let mut apply = |revision, value: Option<Value>| {
        let value = value.map(|value| serde_json::to_vec(&value).unwrap().into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
        view.owns("pool-a", 10)
    };
    assert!(apply(10, Some(owner_of("n1"))));
    assert!(!apply(20, None));
    assert!(!apply(10, Some(owner_of("n1"))));
}

/// Only a configuration of a higher version counts, whatever its revision, and a removal is
/// ignored.
#[test]
fn a_configuration_is_neither_reverted_nor_removed() {
    let mut view = View::default();
    let key = crate::platform::records::CONFIG_KEY.to_owned();
    let mut apply = |revision, version: Option<u64>| {
        let value = version.map(|version| {
            let value = json!({ "version": version, "routes": [], "services": [] });
            serde_json::to_vec(&value).unwrap().into()
        });
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
        view.config.as_ref().map(|config| config.version)
    };
    assert_eq!(apply(10, Some(7)), Some(7));
    assert_eq!(apply(9, Some(6)), Some(7));
    assert_eq!(apply(20, None), Some(7));
    assert_eq!(apply(10, Some(7)), Some(7));
}

/// A removal is remembered until no source can report anything older, and no longer.
#[test]
fn removals_are_forgotten_once_every_source_of_the_key_has_passed_them() {
    let mut view = View::default();
    let at = Revision;
    let mirror = view.key_revisions.add_source("ch/", at(0));
    let own = view.key_revisions.add_source("ch/work/pool-a/", at(5));
    let workers = view.key_revisions.add_source("servers/", at(0));
    let kinds = kinds();
    let [owner, worker] = ["ch/work/pool-a/owner", "servers/w1"]
        .map(|key| kinds.iter().find(|kind| kind.key == key).unwrap());
    owner.put(&mut view, 10, &owner.first);
    owner.remove(&mut view, 20);
    worker.put(&mut view, 11, &worker.first);
    worker.remove(&mut view, 21);
    view.key_revisions.note_progress(mirror, at(20));
    assert_eq!(
        view.key_revisions.removal_count(),
        2,
        "the owner's own watch may repeat the removal of the owner"
    );
    owner.put(&mut view, 10, &owner.first);
    assert!(view.owners.is_empty());
    view.key_revisions.note_progress(own, at(19));
    assert_eq!(view.key_revisions.removal_count(), 2);
    view.key_revisions.remove_source(own);
    assert_eq!(view.key_revisions.removal_count(), 1, "the watch of workers does not cover owners");
    view.key_revisions.note_progress(workers, at(30));
    assert_eq!(view.key_revisions.removal_count(), 0);
    worker.put(&mut view, 40, &worker.first);
    worker.remove(&mut view, 41);
    worker.put(&mut view, 42, &worker.first);
    view.key_revisions.note_progress(workers, at(50));
    assert_eq!(view.key_revisions.removal_count(), 0);
    worker.put(&mut view, 42, &worker.second);
    assert!(
        view.workers[&"w1".parse().unwrap()].value.leaves_ms.is_none(),
        "the worker is still shown as first written"
    );
}
