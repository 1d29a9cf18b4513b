//! Tests of records of the scheduler and entries of workers that another writer has overwritten:
//! none of these is used, the others still count, and nothing that may run is started again because
//! of them.

use serde_json::{Value, json};

use crate::{
    model::{id::Incarnation, job::JobState, unit::Revision},
    platform::kv::Change,
    scheduler::{
        control_loop::json as bytes,
        keys,
        view::{Delta, View},
    },
    tests::sample,
};

fn worker(name: &str) -> Incarnation {
    name.parse().unwrap()
}

fn server(host: &str) -> Value {
    json!({ "service": "pool", "address": format!("{host}:80"), "zone": "z1", "state": "ready",
        "machine": host, "labels": ["a", "r1"], "capacity": { "cpu": 1000, "mem_mb": 100 } })
}

fn with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = server("h1");
    entry[field] = value;
    bytes(&entry)
}

fn without(field: &str) -> Vec<u8> {
    let mut entry = server("h1");
    entry.as_object_mut().unwrap().remove(field);
    bytes(&entry)
}

/// Values with which another writer may have replaced a worker's entry.
fn unreadable() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("empty", vec![]),
        ("not UTF-8", vec![0xff, 0xfe, 0x00, 0x80]),
        ("not JSON", b"ready".to_vec()),
        ("truncated", bytes(&server("h1"))[..40].to_vec()),
        ("another type", b"[]".to_vec()),
        ("null", b"null".to_vec()),
        ("no service", without("service")),
        ("no address", without("address")),
        ("no zone", without("zone")),
        ("no state", without("state")),
        ("a number as service", with("service", json!(7))),
        ("a service with an invalid name", with("service", json!("a/b"))),
        ("an empty service", with("service", json!(""))),
        ("a list as address", with("address", json!(["h1:80"]))),
        ("an empty address", with("address", json!(""))),
        ("a number as zone", with("zone", json!(1))),
        ("an unknown state", with("state", json!("resting"))),
        ("a state in capitals", with("state", json!("READY"))),
        ("a number as state", with("state", json!(0))),
        ("a number as machine", with("machine", json!(4))),
        ("a string as capacity", with("capacity", json!("much"))),
        ("an object as labels", with("labels", json!({ "a": 1 }))),
    ]
}

fn put(view: &mut View, key: &str, revision: u64, value: Vec<u8>) -> Option<Delta> {
    let value = Some(value.into());
    view.apply(Change { key: key.to_owned(), revision: Revision(revision), value })
}

/// Guards against merely logging such an entry: the previous report stayed in force, and the worker
/// was still given work.
#[test]
fn an_unreadable_entry_withdraws_its_worker_and_no_other() {
    for (what, value) in unreadable() {
        let mut view = View::default();
        put(&mut view, "servers/w1", 10, bytes(&server("h1")));
        put(&mut view, "servers/w2", 11, bytes(&server("h2")));
        let delta = put(&mut view, "servers/w1", 12, value);
        assert!(delta.is_some(), "{what}: the change is reported");
        assert!(!view.workers.contains_key(&worker("w1").worker), "{what}");
        assert!(
            view.workers.contains_key(&worker("w2").worker),
            "{what}: other workers are unaffected"
        );
        let delta = put(&mut view, "servers/w1", 13, bytes(&server("h1")));
        assert!(matches!(delta, Some(Delta::Worker(_))), "{what}: used again, {delta:?}");
    }
}

/// An incarnation keeps its host, pool and address. An entry with others is not its own: another
/// pool's owner would send it orders too, and calls would go to another worker.
#[test]
fn an_entry_with_another_address_host_or_pool_withdraws_its_worker() {
    let moved = [("address", "h2:80"), ("machine", "h2"), ("service", "other")];
    for (field, value) in moved {
        let mut view = View::default();
        put(&mut view, "servers/w1", 10, bytes(&server("h1")));
        let delta = put(&mut view, "servers/w1", 12, with(field, json!(value)));
        assert!(delta.is_some(), "{field}");
        assert!(!view.workers.contains_key(&worker("w1").worker), "{field}");
        put(&mut view, "servers/w1", 13, bytes(&server("h1")));
        assert!(view.workers.contains_key(&worker("w1").worker), "{field}: restored");
    }
}

/// Guards against running an ended job again: its progress was overwritten, and a later owner took
/// the job for one that had not begun, so that all of it ran twice.
#[test]
fn a_job_with_unreadable_progress_is_not_reported_as_new() {
    let mut view = View::default();
    let (job, pool) = (super::job(), "pool".parse().unwrap());
    put(&mut view, &keys::job(&pool, job), 10, bytes(&sample::job_record(vec![])));
    assert!(view.jobs[&job].stored(job).is_some());
    put(&mut view, &keys::progress(job), 11, b"garbage".to_vec());
    assert!(view.jobs[&job].stored(job).is_none(), "it waits");
    let delta = view.apply(super::progress(JobState::Running, 12));
    assert!(matches!(delta, Some(Delta::Job(_))), "it is reported once it can be read: {delta:?}");
    assert!(view.jobs[&job].stored(job).is_some());
}

/// A known end is kept when another writer overwrites it.
#[test]
fn an_ended_job_stays_ended_when_its_progress_becomes_unreadable() {
    let mut view = View::default();
    view.apply(super::progress(JobState::Succeeded, 120));
    put(&mut view, &keys::progress(super::job()), 121, b"{}x".to_vec());
    assert_eq!(view.jobs[&super::job()].state(), JobState::Succeeded);
}

/// A later owner that finds no record of a worker presumes that nothing runs there.
#[test]
fn a_worker_with_an_unreadable_roster_record_stays_in_the_roster() {
    let mut view = View::default();
    put(&mut view, &keys::roster("pool-a", &worker("w1")), 10, vec![]);
    let roster = view.roster("pool-a");
    assert_eq!(roster.iter().map(|report| &report.id).collect::<Vec<_>>(), [&worker("w1")]);
}

/// Guards against a pool that no node can acquire: its key existed, and the revision to overwrite
/// was not known.
#[test]
fn an_unreadable_owner_record_can_be_replaced() {
    let mut view = View::default();
    put(&mut view, &keys::owner("pool-a"), 10, b"who?".to_vec());
    let owner = view.owners.get("pool-a").map(|owner| owner.revision);
    assert_eq!(owner, Some(Revision(10)));
    assert!(!view.owns("pool-a", 9), "the previous owner has lost it");
}

/// Guards against polling a worker of another pool: a node that had just started knew a worker only
/// by an entry, written by another writer, that named the node's own pool. Its owner would have
/// polled a worker that runs another pool's tasks: ends of jobs that an owner does not know are
/// acknowledged at once, and the pool's own owner would have started these tasks again.
#[test]
fn a_worker_in_the_roster_of_another_pool_does_not_join_the_pool_in_its_entry() {
    let mut view = View::default();
    put(&mut view, "servers/w1", 10, with("service", json!("other")));
    assert!(!view.is_on_other_roster("pool-other", &worker("w1")));
    let report = view.workers[&worker("w1").worker].value.clone();
    put(&mut view, &keys::roster("pool-pool", &worker("w1")), 9, bytes(&report));
    assert!(view.is_on_other_roster("pool-other", &worker("w1")));
    assert!(view.on_other_rosters("pool-other").contains(&worker("w1")));
    assert!(!view.is_on_other_roster("pool-pool", &worker("w1")));
    assert!(view.on_other_rosters("pool-pool").is_empty());
}

/// A worker whose capacity changes while it runs reports that in its entry only.
#[test]
fn a_change_of_only_the_capacity_is_reported() {
    let mut view = View::default();
    let mut apply = |revision: u64, value: Vec<u8>| {
        let (key, revision) = ("servers/w1".to_owned(), Revision(revision));
        let deltas = view.apply(Change { key, revision, value: Some(value.into()) });
        let capacities = deltas.into_iter().filter_map(|delta| match delta {
            Delta::Worker(report) => Some(report.capacity.cpu.0),
            _ => None,
        });
        capacities.collect::<Vec<u32>>()
    };
    assert_eq!(apply(1, bytes(&server("h1"))), [1_000]);
    assert_eq!(apply(3, with("capacity", json!({ "cpu": 400, "mem_mb": 100 }))), [400]);
    assert_eq!(apply(2, bytes(&server("h1"))), [] as [u32; 0], "an older change reports nothing");
    assert_eq!(apply(4, bytes(&server("h1"))), [1_000]);
}
