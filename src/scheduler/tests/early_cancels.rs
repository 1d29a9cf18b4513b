//! Tests of cancels of jobs that the store does not have, over real sockets. A write of the job may
//! be under way: it is held back by a proxy, or submitted again later. Once the cancel is answered,
//! the job must not be accepted.

use std::{sync::atomic::Ordering, time::Duration};

use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode, header},
};
use serde_json::json;

use super::{
    stale_view::{HOST, Harness, QUEUE, api, pool},
    wait_for,
};
use crate::{
    model::{
        id::AccountId,
        job::JobId,
        unit::{Revision, Steady},
    },
    platform::kv::{Change, Txn},
    scheduler::{
        api::{Api, Sender},
        control_loop::json as encode,
        keys::{self, IdRecord},
        tombstone::{self, KEEP_MS, Tombstone, remove_expired},
        view::{OwnerRecord, View},
    },
};

const DEADLINE_MS: u64 = 400;

fn path(number: u64) -> String {
    format!("/{QUEUE}/{}", JobId::from_number(number))
}

fn request(method: Method, number: u64) -> Request {
    let body = match method {
        Method::POST => json!({ "steps": [{ "count": 1, "cpu": 1 }] }).to_string(),
        _ => String::new(),
    };
    Request::builder()
        .method(method)
        .uri(path(number).parse().unwrap())
        .header(header::HOST, HOST)
        .header("Deadline-Ms", DEADLINE_MS)
        .body(body)
}

async fn send(api: &Api, method: Method, number: u64) -> Response {
    api.call(request(method, number)).await.unwrap()
}

async fn status(harness: &Harness, method: Method, number: u64) -> StatusCode {
    send(&harness.api, method, number).await.status()
}

/// Whether the store has the job as accepted.
async fn is_accepted(harness: &Harness, number: u64) -> bool {
    let key = keys::job(&pool(), JobId::from_number(number));
    !harness.kv.range(&key).await.unwrap().0.is_empty()
}

/// What the store has under the job's id.
async fn id_record(harness: &Harness, number: u64) -> Option<IdRecord> {
    let key = keys::id(JobId::from_number(number));
    let (items, _) = harness.kv.range(&key).await.unwrap();
    items.first().map(|item| keys::id_record(&item.value))
}

/// Holds back the writes that arrive from now on, until they are released.
fn hold_writes(harness: &Harness, holds: bool) {
    harness.proxy.holds_writes.send_replace(holds);
}

async fn wait_until_held(harness: &Harness) {
    wait_for("a write to be held", async || {
        (harness.proxy.held_writes.borrow().0 != 0).then_some(())
    })
    .await;
}

/// Does all writes that were held back.
async fn release_writes(harness: &Harness) {
    harness.proxy.releases_writes.send_replace(true);
    let mut held = harness.proxy.held_writes.subscribe();
    held.wait_for(|(held, done)| held == done).await.unwrap();
}

/// Review case 5: the store does the write of a job after the job's cancel was answered.
#[tokio::test]
async fn a_job_whose_write_is_done_after_its_cancel_is_not_accepted() {
    let harness = Harness::with_records().await;
    hold_writes(&harness, true);
    let submitted = status(&harness, Method::POST, 1).await;
    assert_eq!(submitted, StatusCode::GATEWAY_TIMEOUT, "it may be done");
    hold_writes(&harness, false);
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GONE);
    release_writes(&harness).await;
    assert!(!is_accepted(&harness, 1).await);
    assert_eq!(status(&harness, Method::GET, 1).await, StatusCode::GONE, "nobody submitted it");
}

/// Review case 5: a node writes a job after the job's cancel was answered by another node.
#[tokio::test]
async fn a_job_that_is_submitted_after_its_cancel_is_rejected_for_good() {
    let harness = Harness::with_records().await;
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GONE);
    for _ in 0..2 {
        let response = send(&harness.api, Method::POST, 1).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(!response.headers().contains_key(header::RETRY_AFTER), "a retry does not help");
    }
    assert!(!is_accepted(&harness, 1).await);
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GONE, "again");
    assert_eq!(status(&harness, Method::POST, 2).await, StatusCode::OK, "another job");
}

/// The same, at a node that relays the job: no other node is asked after the first.
#[tokio::test]
async fn a_relayed_job_is_rejected_after_its_cancel() {
    let harness = Harness::with_records().await;
    harness.add_peer().await;
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GONE);
    harness.proxy.is_down.send_replace(true);
    harness.lease.note_failed();
    let response = send(&harness.api, Method::POST, 1).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.headers().contains_key(header::RETRY_AFTER));
    assert!(harness.api.relay.is_idle(), "the relayed answer counts as an answer");
    assert!(!is_accepted(&harness, 1).await);
}

/// The cancel's read finds nothing, and the job is accepted before the cancel's write.
#[tokio::test]
async fn a_cancel_that_meets_the_acceptance_cancels_the_accepted_job() {
    let harness = Harness::with_records().await;
    hold_writes(&harness, true);
    let other = api(&harness.node, &harness.lease, Sender::Callers);
    let mut cancel = request(Method::DELETE, 1);
    cancel.headers_mut().insert("Deadline-Ms", 30_000.into());
    let answer = tokio::spawn(async move { other.call(cancel).await.unwrap().status() });
    wait_until_held(&harness).await;
    let id = JobId::from_number(1);
    let txn = Txn::default()
        .expect(keys::id(id), Revision(0))
        .put(keys::id(id), keys::marker(&pool(), None));
    harness.kv.commit(&txn).await.unwrap();
    hold_writes(&harness, false);
    assert_eq!(answer.await.unwrap(), StatusCode::OK);
    release_writes(&harness).await;
    assert!(matches!(id_record(&harness, 1).await, Some(IdRecord::Accepted(_))));
    assert!(!harness.kv.range(&keys::cancel(id)).await.unwrap().0.is_empty());
}

/// Without an answer of the store, nothing is promised.
#[tokio::test]
async fn a_cancel_that_may_not_be_written_is_not_acknowledged() {
    let harness = Harness::with_records().await;
    hold_writes(&harness, true);
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GATEWAY_TIMEOUT);
    hold_writes(&harness, false);
    assert_eq!(status(&harness, Method::POST, 1).await, StatusCode::OK);
    release_writes(&harness).await;
    assert!(is_accepted(&harness, 1).await, "the late write of the cancel fails");
    assert_eq!(status(&harness, Method::GET, 1).await, StatusCode::OK);
}

/// The store does the cancel's write and does not answer it.
#[tokio::test]
async fn a_cancel_that_was_written_without_an_answer_is_acknowledged_when_sent_again() {
    let harness = Harness::with_records().await;
    harness.proxy.loses_answers.send_replace(true);
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GATEWAY_TIMEOUT);
    harness.proxy.loses_answers.send_replace(false);
    assert_eq!(status(&harness, Method::DELETE, 1).await, StatusCode::GONE);
    assert_eq!(status(&harness, Method::POST, 1).await, StatusCode::SERVICE_UNAVAILABLE);
}

fn account(name: &str) -> Option<AccountId> {
    Some(name.parse().unwrap())
}

/// Tombstones of several accounts under one id.
#[test]
fn an_account_cancels_only_jobs_that_it_may_access() {
    let of = |names: serde_json::Value| -> Tombstone {
        serde_json::from_value(json!({ "cancelled_by": names })).unwrap()
    };
    let (acme, birch) = (account("acme"), account("birch"));
    assert!(of(json!(["acme"])).covers(acme.as_ref()));
    assert!(!of(json!(["birch"])).covers(acme.as_ref()), "of another account");
    assert!(of(json!(["birch", "acme"])).covers(acme.as_ref()));
    assert!(!of(json!([null])).covers(birch.as_ref()), "without a key");
    assert!(of(json!(["birch"])).covers(None), "everybody may cancel a job without an account");
    assert!(of(json!([null])).covers(None));
}

/// Another account has cancelled the id: that neither bars the job nor, after the job's own cancel,
/// lets it in.
#[tokio::test]
async fn a_job_replaces_the_tombstone_of_another_account() {
    let harness = Harness::with_records().await;
    let (node, deadline) = (&harness.node, tokio::time::Instant::now() + Duration::from_secs(30));
    let submit = async |number: u64, account: Option<AccountId>| {
        let record = crate::model::job::JobRecord {
            pool: pool(),
            account,
            ..crate::tests::sample::job_record(Vec::new())
        };
        let (id, value) = (JobId::from_number(number), encode(&record).into());
        crate::scheduler::accept::accept(node, id, &record, value, deadline).await
    };
    let cancel = async |number: u64, account: Option<AccountId>| {
        tombstone::write(node, JobId::from_number(number), account, deadline).await
    };
    use crate::scheduler::accept::Accepted;
    assert_eq!(cancel(1, account("birch")).await, tombstone::Outcome::Written);
    assert_eq!(submit(1, account("acme")).await, Accepted::Kept);
    assert_eq!(submit(1, account("birch")).await, Accepted::NameInUse);
    let accepted =
        tombstone::Outcome::Accepted(crate::scheduler::access::Holder::of(account("acme")));
    assert_eq!(cancel(1, account("birch")).await, accepted);

    assert_eq!(cancel(2, account("birch")).await, tombstone::Outcome::Written);
    assert_eq!(cancel(2, account("acme")).await, tombstone::Outcome::Written);
    for name in ["acme", "birch"] {
        assert_eq!(submit(2, account(name)).await, Accepted::Cancelled, "{name}");
    }
    assert_eq!(submit(2, account("cedar")).await, Accepted::Kept);
}

/// Cancels of jobs that never existed must not use up the store's writes.
#[tokio::test]
async fn cancels_that_come_at_once_share_writes() {
    const CANCELS: u64 = 100;
    let harness = Harness::with_records().await;
    let before = harness.proxy.writes.load(Ordering::Relaxed);
    let cancels = (1..=CANCELS).map(|number| {
        let mut request = request(Method::DELETE, number);
        request.headers_mut().insert("Deadline-Ms", 30_000.into());
        harness.api.call(request)
    });
    let answers = futures_util::future::join_all(cancels).await;
    assert!(answers.iter().all(|answer| answer.as_ref().unwrap().status() == StatusCode::GONE));
    let writes = harness.proxy.writes.load(Ordering::Relaxed) - before;
    assert!(writes <= 2 + CANCELS as usize / 8, "{writes} writes");
}

/// Ids that were cancelled must not fill the store.
#[tokio::test]
async fn tombstones_are_removed_once_they_have_expired() {
    let harness = Harness::with_records().await;
    let owner = OwnerRecord { node: "one".to_owned(), life: 1 };
    harness.put(keys::owner(keys::FLEET), encode(&owner)).await;
    assert_eq!(status(&harness, Method::POST, 1).await, StatusCode::OK);
    for number in 2..40 {
        harness.put(keys::id(JobId::from_number(number)), encode(&Tombstone::default())).await;
    }
    wait_for("the tombstones to be known", async || {
        let later = harness.node.now().steady.after(KEEP_MS);
        (harness.node.view().expired_tombstones(later).len() == 38).then_some(())
    })
    .await;
    let now = harness.node.now().steady;
    remove_expired(&harness.node, now).await;
    assert!(id_record(&harness, 2).await.is_some(), "not expired");
    remove_expired(&harness.node, now.after(KEEP_MS)).await;
    for number in 2..40 {
        assert_eq!(id_record(&harness, number).await, None);
    }
    assert!(id_record(&harness, 1).await.is_some(), "the marker of an accepted job");
    wait_for("the removals to be known", async || {
        let later = harness.node.now().steady.after(2 * KEEP_MS);
        harness.node.view().expired_tombstones(later).is_empty().then_some(())
    })
    .await;
}

/// A tombstone that was removed or replaced is received again from an older page.
#[test]
fn a_tombstone_is_tracked_by_its_newest_revision() {
    let (id, later) = (JobId::from_number(1), Steady::default().after(KEEP_MS));
    let mut view = View::default();
    let mut apply = |revision, value: Option<Vec<u8>>| {
        let value = value.map(Into::into);
        view.apply(Change { key: keys::id(id), revision: Revision(revision), value });
        view.expired_tombstones(later)
    };
    assert_eq!(apply(10, Some(encode(&Tombstone::default()))), [(id, Revision(10))]);
    assert_eq!(apply(9, None), [(id, Revision(10))], "an older removal");
    assert_eq!(apply(12, Some(encode(&Tombstone::default()))), [(id, Revision(12))]);
    assert_eq!(apply(13, Some(b"work".to_vec())), [], "accepted for another account");
    assert!(view.jobs.is_empty(), "a tombstone is no job");
}
