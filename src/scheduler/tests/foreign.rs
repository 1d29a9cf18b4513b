//! Tests of entries that another writer wrote over ours or the workers': they name nothing to use,
//! the others hold, and nothing that may run is started again because of them.

use serde_json::{Value, json};

use crate::{
    model::{id::Incarnation, job::JobState, unit::Revision},
    platform::kv::Change,
    scheduler::{
        drive::json as bytes,
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

/// What another writer may have put in the place of a worker's entry.
fn unreadable() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("no bytes", vec![]),
        ("no text", vec![0xff, 0xfe, 0x00, 0x80]),
        ("no JSON", b"ready".to_vec()),
        ("half of it", bytes(&server("h1"))[..40].to_vec()),
        ("another type", b"[]".to_vec()),
        ("null", b"null".to_vec()),
        ("no service", without("service")),
        ("no address", without("address")),
        ("no zone", without("zone")),
        ("no state", without("state")),
        ("a number as service", with("service", json!(7))),
        ("a service that is no name", with("service", json!("a/b"))),
        ("an empty service", with("service", json!(""))),
        ("a list as address", with("address", json!(["h1:80"]))),
        ("an empty address", with("address", json!(""))),
        ("a number as zone", with("zone", json!(1))),
        ("another state", with("state", json!("resting"))),
        ("a state in capitals", with("state", json!("READY"))),
        ("a number as state", with("state", json!(0))),
        ("a number as machine", with("machine", json!(4))),
        ("a text as capacity", with("capacity", json!("much"))),
        ("labels that are none", with("labels", json!({ "a": 1 }))),
    ]
}

fn put(view: &mut View, key: &str, revision: u64, value: Vec<u8>) -> Option<Delta> {
    let value = Some(value.into());
    view.apply(Change { key: key.to_owned(), revision: Revision(revision), value })
}

/// Such an entry was logged and the report before it stayed in force: the worker got work on.
#[test]
fn an_entry_that_cannot_be_read_names_no_worker_to_use_and_the_others_hold() {
    for (what, value) in unreadable() {
        let mut view = View::default();
        put(&mut view, "servers/w1", 10, bytes(&server("h1")));
        put(&mut view, "servers/w2", 11, bytes(&server("h2")));
        let delta = put(&mut view, "servers/w1", 12, value);
        assert!(delta.is_some(), "{what}: whoever uses the worker is told");
        assert!(!view.workers.contains_key(&worker("w1").worker), "{what}");
        assert!(view.workers.contains_key(&worker("w2").worker), "{what}: the others hold");
        let delta = put(&mut view, "servers/w1", 13, bytes(&server("h1")));
        assert!(matches!(delta, Some(Delta::Worker(_))), "{what}: used again, {delta:?}");
    }
}

/// A worker's life keeps its host, pool and address. An entry that says otherwise is not its own:
/// it would have another pool's owner give it orders too, and calls go to another worker.
#[test]
fn an_entry_with_the_place_of_another_worker_names_no_worker_to_use() {
    let moved = [("address", "h2:80"), ("machine", "h2"), ("service", "other")];
    for (field, value) in moved {
        let mut view = View::default();
        put(&mut view, "servers/w1", 10, bytes(&server("h1")));
        let delta = put(&mut view, "servers/w1", 12, with(field, json!(value)));
        assert!(delta.is_some(), "{field}");
        assert!(!view.workers.contains_key(&worker("w1").worker), "{field}");
        put(&mut view, "servers/w1", 13, bytes(&server("h1")));
        assert!(view.workers.contains_key(&worker("w1").worker), "{field}: as it was");
    }
}

/// The progress of a job that had ended was overwritten, and a later owner was told of the job as
/// one that had not begun: all of it ran twice.
#[test]
fn a_job_whose_progress_cannot_be_read_is_not_told_as_new() {
    let mut view = View::default();
    let (job, pool) = (super::job(), "pool".parse().unwrap());
    put(&mut view, &keys::job(&pool, job), 10, bytes(&sample::record(vec![])));
    assert!(view.jobs[&job].stored(job).is_some());
    put(&mut view, &keys::progress(job), 11, b"garbage".to_vec());
    assert!(view.jobs[&job].stored(job).is_none(), "it waits");
    let delta = view.apply(super::progress(JobState::Running, 12));
    assert!(matches!(delta, Some(Delta::Job(_))), "it is told once it can be read: {delta:?}");
    assert!(view.jobs[&job].stored(job).is_some());
}

/// An end that was known stays known when another writer overwrites it.
#[test]
fn a_job_that_ended_stays_so_when_its_progress_cannot_be_read_any_more() {
    let mut view = View::default();
    view.apply(super::progress(JobState::Succeeded, 120));
    put(&mut view, &keys::progress(super::job()), 121, b"{}x".to_vec());
    assert_eq!(view.jobs[&super::job()].state(), JobState::Succeeded);
}

/// A later owner that finds no record of a worker takes it that nothing can run there.
#[test]
fn a_worker_whose_roster_record_cannot_be_read_is_still_reckoned_with() {
    let mut view = View::default();
    put(&mut view, &keys::roster("pool-a", &worker("w1")), 10, vec![]);
    let roster = view.roster("pool-a");
    assert_eq!(roster.iter().map(|report| &report.id).collect::<Vec<_>>(), [&worker("w1")]);
}

/// Nobody could take the pool up: the key was there, and no revision was known to write over.
#[test]
fn an_owner_that_cannot_be_read_can_be_succeeded() {
    let mut view = View::default();
    put(&mut view, &keys::owner("pool-a"), 10, b"who?".to_vec());
    let owner = view.owners.get("pool-a").map(|owner| owner.revision);
    assert_eq!(owner, Some(Revision(10)));
    assert!(!view.owns("pool-a", 9), "the one before has lost it");
}

/// A node that had just started knew of a worker only by an entry that named its own pool, which
/// another writer had written. Its owner would have looked at a worker that runs another pool's
/// tasks: ends of jobs that an owner does not know are acknowledged at once, and what was done
/// there would have been started again by the pool's own owner.
#[test]
fn a_worker_that_another_pool_keeps_is_no_worker_of_the_pool_in_its_entry() {
    let mut view = View::default();
    put(&mut view, "servers/w1", 10, with("service", json!("other")));
    assert!(!view.is_of_another("pool-other", &worker("w1")));
    let report = view.workers[&worker("w1").worker].value.clone();
    put(&mut view, &keys::roster("pool-pool", &worker("w1")), 9, bytes(&report));
    assert!(view.is_of_another("pool-other", &worker("w1")));
    assert!(view.rostered_by_others("pool-other").contains(&worker("w1")));
    assert!(!view.is_of_another("pool-pool", &worker("w1")));
    assert!(view.rostered_by_others("pool-pool").is_empty());
}

/// A worker whose room changes while it runs says so in its entry, and in nothing else.
#[test]
fn a_change_of_a_workers_room_alone_is_told() {
    let mut view = View::default();
    let mut tell = |revision: u64, value: Vec<u8>| {
        let (key, revision) = ("servers/w1".to_owned(), Revision(revision));
        let deltas = view.apply(Change { key, revision, value: Some(value.into()) });
        let rooms = deltas.into_iter().filter_map(|delta| match delta {
            Delta::Worker(report) => Some(report.room.cpu.0),
            _ => None,
        });
        rooms.collect::<Vec<u32>>()
    };
    assert_eq!(tell(1, bytes(&server("h1"))), [1_000]);
    assert_eq!(tell(3, with("capacity", json!({ "cpu": 400, "mem_mb": 100 }))), [400]);
    assert_eq!(tell(2, bytes(&server("h1"))), [] as [u32; 0], "older news tells nothing");
    assert_eq!(tell(4, bytes(&server("h1"))), [1_000]);
}
