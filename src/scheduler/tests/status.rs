//! Tests of the lists of availability zones and client accounts.

use std::{sync::Arc, time::Duration};

use poem::{Endpoint, Request, http::StatusCode};
use serde_json::{Value, json};

use crate::{
    jobs::owner::{AccountCounts, Breakdown, ZoneCounts},
    model::{account::Weight, unit::Revision},
    operator::message::{AccountRow, Refusal, Rows, ZoneRow},
    platform::{
        kv::{Change, Kv},
        records::{CONFIG_KEY, WORKER_PREFIX},
    },
    scheduler::{
        Node, accept,
        metrics::{Metrics, Page},
        node,
        status::{Pages, check_tolerated_losses},
        tombstone,
        view::View,
    },
    settings::scheduler::parse,
};

/// An address at which nothing listens.
const UNUSED: &str = "127.0.0.1:1";

fn apply(view: &mut View, revision: u64, key: &str, value: &Value) {
    let value = Some(value.to_string().into_bytes().into());
    view.apply(Change { key: key.to_owned(), revision: Revision(revision), value });
}

/// Lists workers in the given zones, two on each host.
fn list_workers(view: &mut View, zones: &[&str]) {
    for (number, zone) in zones.iter().enumerate() {
        let report = json!({
            "service": "work", "address": format!("127.0.0.1:{}", 4_000 + number), "zone": zone,
            "state": "ready", "machine": format!("h{}", number / 2),
        });
        apply(view, 10 + number as u64, &format!("{WORKER_PREFIX}w{number}"), &report);
    }
}

fn test_node() -> Arc<Node> {
    let settings = json!({
        "node": "one", "zone": "hall-a",
        "listen": { "callers": UNUSED, "readiness": UNUSED, "metrics": UNUSED },
        "platform": { "store": UNUSED, "hosts": UNUSED },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let kv = Kv::new(UNUSED, Duration::from_secs(1), |_, _, _| {});
    node(settings, kv, Arc::new(Metrics::new()), accept::queue().0, tombstone::queue().0)
}

async fn get(node: &Arc<Node>, path: &str) -> (StatusCode, Vec<u8>) {
    let pages = Pages { node: node.clone(), metrics: Page(node.metrics.clone()) };
    let request = Request::builder().uri(path.parse().unwrap()).finish();
    let answer = pages.call(request).await.unwrap();
    (answer.status(), answer.into_body().into_vec().await.unwrap())
}

async fn rows(node: &Arc<Node>, list: &str) -> Rows {
    let (status, body) = get(node, &format!("/v1/status/{list}")).await;
    assert_eq!(status, StatusCode::OK);
    serde_json::from_slice(&body).unwrap()
}

#[tokio::test]
async fn zones_are_listed_with_what_runs_in_the_pools_owned_here() {
    let node = test_node();
    list_workers(&mut node.view(), &["hall-a", "hall-a", "hall-b"]);
    let used = ZoneCounts { workers: 1, responding: 1, running: 7 };
    // A worker that is not listed any more may still run tasks.
    let zones = [("hall-b", used), ("hall-c", used)];
    let zones = zones.map(|(zone, used)| (zone.parse().unwrap(), used)).into();
    *node.breakdown() = Breakdown { zones, ..Breakdown::default() };
    let row = |zone: &str, hosts, workers, used: ZoneCounts| ZoneRow {
        zone: zone.parse().unwrap(),
        hosts,
        workers,
        owned: used.workers,
        responding: used.responding,
        running: used.running,
    };
    let expected = [
        row("hall-a", 1, 2, ZoneCounts::default()),
        row("hall-b", 1, 1, used),
        row("hall-c", 0, 0, used),
    ];
    assert_eq!(rows(&node, "zones").await, Rows::Zones(expected.into()));
}

#[tokio::test]
async fn accounts_are_listed_without_their_keys() {
    let node = test_node();
    let tenants = json!([
        { "name": "acme", "api_keys": ["secret"], "weight": 12.0 },
        { "name": "birch", "upper_limit": { "cpu": 1_500, "mem_mb": 64 } },
    ]);
    let config = json!({ "version": 1, "routes": [], "services": [], "tenants": tenants });
    apply(&mut node.view(), 5, CONFIG_KEY, &config);
    let used = AccountCounts { running: 3, waiting: 2 };
    let accounts = [("acme".parse().unwrap(), used)].into();
    *node.breakdown() = Breakdown { accounts, ..Breakdown::default() };
    let weight = Weight::per_second(12.0).unwrap();
    node.metrics.record_admission(&"acme".parse().unwrap(), weight, "refused");
    let row = |account: &str, weight: &str, limit: &str, used: AccountCounts| AccountRow {
        account: account.parse().unwrap(),
        weight: weight.to_owned(),
        limit: limit.to_owned(),
        sent: 0,
        beyond: 0,
        refused: u64::from(account == "acme"),
        running: used.running,
        waiting: used.waiting,
    };
    let expected = [
        row("acme", "12/s", "", used),
        row("birch", "", "1.5 cores, 64 MB", AccountCounts::default()),
    ];
    assert_eq!(rows(&node, "accounts").await, Rows::Accounts(expected.into()));
    let (_, body) = get(&node, "/v1/status/accounts").await;
    assert!(!String::from_utf8(body).unwrap().contains("secret"));
}

#[tokio::test]
async fn other_lists_are_refused_and_the_metrics_stay_where_they_were() {
    let node = test_node();
    let (status, body) = get(&node, "/v1/status/plans").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let refusal: Refusal = serde_json::from_slice(&body).unwrap();
    assert_eq!(refusal.error, "scheduler nodes have no list `plans`: zones or accounts");
    assert_eq!(get(&node, "/metrics").await.0, StatusCode::OK);
    assert_eq!(get(&node, "/").await.0, StatusCode::NOT_FOUND);
}

#[test]
fn more_losses_than_there_are_zones_are_a_problem_once_workers_are_listed() {
    let mut view = View::default();
    assert_eq!(check_tolerated_losses(&view, 1), None);
    list_workers(&mut view, &["hall-b", "hall-b", "hall-c"]);
    assert_eq!(check_tolerated_losses(&view, 1), None, "not all of them are known yet");
    view.ready.insert(WORKER_PREFIX);
    for tolerated in [0, 1] {
        assert_eq!(check_tolerated_losses(&view, tolerated), Some(Ok(())));
    }
    let problem = "2 lost zones are to be tolerated, but workers are in 2 only: hall-b, hall-c";
    for tolerated in [2, 1_000] {
        let problem = problem.replacen('2', &tolerated.to_string(), 1);
        assert_eq!(check_tolerated_losses(&view, tolerated), Some(Err(problem)));
    }
}
