//! Tests of the admission of jobs whose accounts have weights, over real sockets, and of the records
//! that it rests on.

use std::collections::BTreeMap;

use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode, header},
};
use reqwest::Client;
use serde_json::{Value, json};

use super::{
    stale_view::{HOST, Harness, QUEUE, pool},
    wait_for,
};
use crate::{
    jobs::{owner::PoolLoad, weights::AccountLoad},
    model::{account::Weight, job::JobId, unit::Revision},
    platform::records,
    scheduler::{control_loop::json as encode, keys, view::waiting::WaitingRecord},
};

fn config(version: u64, accounts: &Value) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": QUEUE, "host": HOST, "path_prefix": "/quotes/", "service": "work",
            "target_latency_ms": 600, "max_attempts": 3, "stretch": 1.6,
        }],
        "services": [{ "name": "work", "admission_check": true, "headroom": false }],
        "tenants": accounts,
    })
}

/// A node with an account whose weight lets a single job pass in a test, one whose weight lets all
/// pass, and one without a weight.
async fn node_with_weights() -> Harness {
    let harness = Harness::with_records().await;
    let accounts = json!([
        { "name": "small", "api_keys": ["small"], "weight": 0.01 },
        { "name": "large", "api_keys": ["large"], "weight": 5000 },
        { "name": "free", "api_keys": ["free"] },
    ]);
    let url = format!("http://{}/put?op/config", harness.store);
    Client::new().post(url).json(&config(2, &accounts)).send().await.unwrap();
    wait_for("the configuration to be in force", async || {
        let version = harness.node.view().config.as_ref()?.version;
        (version == 2).then_some(())
    })
    .await;
    harness
}

/// Publishes the load of the pool, and waits until the node knows it.
async fn report(harness: &Harness, delay_ms: u64) {
    let sent = AccountLoad { rate: 3, waiting: 0, is_over: true };
    let accounts = BTreeMap::from([("small".parse().unwrap(), sent)]);
    let load = PoolLoad { delay_ms, accounts };
    let record = WaitingRecord { known: None, load: Some(load.clone()), counts: BTreeMap::new() };
    let name = keys::pool(&pool());
    harness.put(keys::queued(&name), encode(&record)).await;
    wait_for("the report to be known", async || {
        let view = harness.node.view();
        (view.waiting_reports.get(&name)?.load.as_ref() == Some(&load)).then_some(())
    })
    .await;
}

async fn submit(harness: &Harness, number: u64, account: &str) -> Response {
    let path = format!("/quotes/{}", JobId::from_number(number));
    let body = json!({ "spec": "s", "steps": [{ "cpu": 1000, "estimated_ms": 1000 }] });
    let request = Request::builder().method(Method::POST).uri(path.parse().unwrap());
    let request = request.header(header::HOST, HOST).header("Key", account).body(body.to_string());
    harness.api.call(request).await.unwrap()
}

async fn status(harness: &Harness, number: u64, account: &str) -> StatusCode {
    submit(harness, number, account).await.status()
}

/// Submits new jobs until one is refused. Returns its number and the answer.
async fn refused(harness: &Harness, from: u64) -> (u64, Response) {
    let mut number = from;
    wait_for("a job to be refused", async || {
        number += 1;
        // Reports are used for two seconds.
        report(harness, 60_000 + number).await;
        let answer = submit(harness, number, "small").await;
        (answer.status() == StatusCode::TOO_MANY_REQUESTS).then_some((number, answer))
    })
    .await
}

#[tokio::test]
async fn what_is_beyond_a_weight_is_refused_while_its_pool_is_full() {
    let harness = node_with_weights().await;
    for number in 1..=5 {
        assert_eq!(status(&harness, number, "small").await, StatusCode::OK, "no report so far");
    }
    report(&harness, 0).await;
    assert_eq!(status(&harness, 6, "small").await, StatusCode::OK, "there is room");
    let (number, answer) = refused(&harness, 100).await;
    let retry_after = answer.headers().get(header::RETRY_AFTER).unwrap().to_str().unwrap();
    assert!(1 <= retry_after.parse::<u32>().unwrap());
    let written = harness.kv.range(&keys::job_state(JobId::from_number(number))).await.unwrap().0;
    assert_eq!(written, vec![], "a refusal is written nowhere");
    for number in 1_000..1_020 {
        assert_eq!(status(&harness, number, "large").await, StatusCode::OK, "within its weight");
        assert_eq!(status(&harness, 100 + number, "free").await, StatusCode::OK, "no weight");
    }
    assert_eq!(status(&harness, 1, "small").await, StatusCode::OK, "job 1 was accepted");
}

/// Another node has accepted the job, and its answer was lost. This node does not know of it.
#[tokio::test]
async fn a_job_that_another_node_has_accepted_is_not_refused() {
    let harness = node_with_weights().await;
    refused(&harness, 100).await;
    super::stale_view::hold_watch(&harness, Some(keys::ROOT));
    let id = JobId::from_number(7);
    let marker = keys::marker(&pool(), Some(&"small".parse().unwrap()));
    harness.put(keys::id(id), marker.into_bytes()).await;
    assert_eq!(status(&harness, 7, "small").await, StatusCode::OK);
}

#[tokio::test]
async fn a_job_is_not_refused_while_the_store_cannot_say_whether_it_was_accepted() {
    let harness = node_with_weights().await;
    refused(&harness, 100).await;
    harness.proxy.is_down.send_replace(true);
    let answer = status(&harness, 8, "small").await;
    assert_ne!(answer, StatusCode::TOO_MANY_REQUESTS);
}

/// The same job sent again uses up nothing of the weight: it is one job.
#[tokio::test]
async fn a_job_that_is_sent_again_uses_up_no_weight() {
    let harness = node_with_weights().await;
    super::stale_view::hold_watch(&harness, Some(keys::ROOT));
    for _ in 0..20 {
        assert_eq!(status(&harness, 1, "small").await, StatusCode::OK);
    }
    let metrics = harness.node.metrics.text();
    let admissions: Vec<&str> =
        metrics.lines().filter(|line| line.contains("account=\"small\",outcome=")).collect();
    assert_eq!(admissions.len(), 1, "{admissions:?}");
    assert!(admissions[0].contains("within") && admissions[0].ends_with(" 1"), "{admissions:?}");
}

/// This node has handed the job to another one, which may still write it.
#[tokio::test]
async fn a_job_that_was_relayed_is_not_refused() {
    let harness = node_with_weights().await;
    let id = JobId::from_number(8_000);
    harness.node.admission.note_tried(id, harness.node.now().steady);
    refused(&harness, 100).await;
    report(&harness, 60_000).await;
    assert_eq!(status(&harness, 8_000, "small").await, StatusCode::OK);
}

fn weights(accounts: &Value) -> (Vec<Option<String>>, Vec<String>) {
    let value = config(1, accounts).to_string();
    let (config, errors) = records::config(value.as_bytes()).unwrap();
    let accounts = config.accounts.unwrap();
    let weights = accounts.iter().map(|account| account.weight.map(|one| one.to_string()));
    (weights.collect(), errors.iter().map(ToString::to_string).collect())
}

#[test]
fn weights_keep_fractions() {
    let (weights, errors) = weights(&json!([
        { "name": "a", "api_keys": [], "weight": 1.25 },
        { "name": "b", "api_keys": [], "weight": 0.0001 },
        { "name": "c", "api_keys": [], "weight": 12 },
        { "name": "d", "api_keys": [], "weight": 0 },
        { "name": "e", "api_keys": [] },
        { "name": "f", "api_keys": [], "weight": null },
    ]));
    let expected = [Some("1.25/s"), Some("0.001/s"), Some("12/s"), None, None, None];
    assert_eq!(weights, expected.map(|weight| weight.map(str::to_owned)));
    assert_eq!(errors, Vec::<String>::new());
    assert_eq!("1.25/s".parse::<Weight>(), Weight::per_second(1.25));
    assert!("-1".parse::<Weight>().is_err() && "x".parse::<Weight>().is_err());
}

#[test]
fn an_account_with_an_absurd_weight_goes_on_without() {
    for weight in [json!(-1), json!(1e9), json!("much"), json!([2]), json!(true)] {
        let accounts = json!([{ "name": "a", "api_keys": ["k"], "weight": weight }]);
        let (weights, errors) = weights(&accounts);
        assert_eq!(weights, [None], "{weight}");
        assert_eq!(errors.len(), 1, "{weight}: {errors:?}");
        assert!(errors[0].starts_with("account a: weight ignored: "), "{errors:?}");
    }
}

#[test]
fn reports_without_a_load_read_and_are_written_as_before() {
    let earlier: WaitingRecord = serde_json::from_str(r#"{"":7,"quotes":3}"#).unwrap();
    assert_eq!((earlier.known, &earlier.load), (Some(Revision(7)), &None));
    assert_eq!(earlier.counts, BTreeMap::from([(QUEUE.to_owned(), 3)]));
    assert_eq!(serde_json::to_string(&earlier).unwrap(), r#"{"":7,"quotes":3}"#);
    let load = PoolLoad { delay_ms: 5, accounts: BTreeMap::new() };
    let record = WaitingRecord { load: Some(load), ..earlier };
    let text = serde_json::to_string(&record).unwrap();
    assert_eq!(serde_json::from_str::<WaitingRecord>(&text).unwrap(), record, "{text}");
}
