//! Tests of the entries of workers that restart under their name.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::{
    jobs::roster::SilentWorkers,
    model::{
        id::{Incarnation, StartTime},
        job::Progress,
        unit::Revision,
        worker::WorkerReport,
    },
    platform::kv::Change,
    scheduler::{
        control_loop::json as bytes,
        keys::{self, Key},
        view::{Delta, View},
    },
};

fn entry(start_time: Option<u64>) -> Value {
    let mut entry = json!({ "service": "pool", "address": "h1:80", "zone": "z1", "state": "ready",
        "machine": "h1", "labels": ["a", "r1"], "capacity": { "cpu": 1000, "mem_mb": 100 } });
    if let Some(start_time) = start_time {
        entry["born"] = json!(start_time);
    }
    entry
}

fn put(view: &mut View, revision: u64, entry: &Value) -> Option<Delta> {
    let (key, value) = ("servers/w1".to_owned(), Some(bytes(entry).into()));
    view.apply(Change { key, revision: Revision(revision), value })
}

fn reported(delta: Option<Delta>) -> WorkerReport {
    match delta {
        Some(Delta::Worker(report)) => report,
        other => panic!("no report of a worker: {other:?}"),
    }
}

#[test]
fn an_entry_with_only_another_start_time_is_a_change() {
    let mut view = View::default();
    let first = reported(put(&mut view, 10, &entry(Some(1_000))));
    assert!(put(&mut view, 11, &entry(Some(1_000))).is_none());
    let next = reported(put(&mut view, 12, &entry(Some(2_000))));
    assert_eq!((first.id.born, next.id.born), (Some(StartTime(1_000)), Some(StartTime(2_000))));
    assert_eq!(first.id.worker, next.id.worker);
}

#[test]
fn a_new_incarnation_may_change_its_address_and_the_same_one_may_not() {
    let mut view = View::default();
    put(&mut view, 10, &entry(Some(1_000)));
    let mut moved = entry(Some(2_000));
    moved["address"] = json!("h2:80");
    assert_eq!(reported(put(&mut view, 11, &moved)).address, "h2:80");
    moved["address"] = json!("h3:80");
    assert!(matches!(put(&mut view, 12, &moved), Some(Delta::InvalidEntry(_))));
}

#[test]
fn an_entry_that_loses_its_start_time_withdraws_its_worker() {
    let mut view = View::default();
    put(&mut view, 10, &entry(Some(1_000)));
    assert!(matches!(put(&mut view, 11, &entry(None)), Some(Delta::InvalidEntry(_))));
    reported(put(&mut view, 12, &entry(Some(1_000))));
}

#[test]
fn each_incarnation_has_a_roster_record_of_its_own() {
    for text in ["w1", "w1@1700000000000"] {
        let id: Incarnation = text.parse().unwrap();
        let key = keys::roster("pool-pool", &id);
        assert_eq!(Key::parse(&key), Some(Key::Roster("pool-pool".to_owned(), id)));
    }
}

/// Records of earlier versions, which identified workers only by their names.
#[test]
fn records_without_start_times_are_read() {
    let report = json!({ "id": "w1", "host": "h1", "pool": "pool", "address": "h1:80",
        "zone": "z1", "room": { "cpu": 1000, "memory": 100, "gpus": 0 }, "labels": [],
        "leaves_ms": null });
    let report: WorkerReport = serde_json::from_value(report).unwrap();
    let id: Incarnation = "w1".parse().unwrap();
    assert_eq!(report.id, id);
    let silent_workers = json!({ "s": { "w1": ["0000000000000001.0.0.0"] } });
    let silent_workers: SilentWorkers = serde_json::from_value(silent_workers).unwrap();
    assert!(silent_workers.silent.contains_key(&id));
    let progress =
        json!({ "s": "r", "t": { "0.0": { "t": { "0": { "c": ["w1"], "d": ["w2"] } } } } });
    let progress = serde_json::from_value::<Progress>(progress);
    let task_progress = progress.unwrap().steps.remove("0.0").unwrap().tasks;
    assert_eq!(task_progress[&0].crashed, BTreeSet::from([id]));
}
