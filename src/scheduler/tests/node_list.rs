//! What nodes read of each other. Each node mirrored the records of all nodes: when the store
//! dropped its history, 588 nodes read 588 records each, and the reads of owners waited behind them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use poem::{Endpoint, Request, Response};
use reqwest::Client;
use serde_json::json;

use super::{stale_view::join_with_keys, wait_for};
use crate::{
    http,
    model::unit::Revision,
    platform::kv::{Kv, Txn},
    scheduler::{Node, control_loop::json as encode, keys},
    standin::site,
};

const REPLICAS: usize = 4;

/// Bytes of answers and number of reads, by prefix.
type Reads = BTreeMap<String, (usize, usize)>;

/// A proxy before the store that counts what is read.
#[derive(Clone)]
struct Counter {
    client: Client,
    store: String,
    reads: Arc<Mutex<Reads>>,
}

impl Endpoint for Counter {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let uri = request.uri().clone();
        let query = request.params::<BTreeMap<String, String>>().unwrap_or_default();
        let url = format!("http://{}{}", self.store, uri.path_and_query().unwrap());
        let body = request.take_body().into_bytes().await.unwrap();
        let forwarded = match *request.method() {
            poem::http::Method::POST => self.client.post(url),
            _ => self.client.get(url),
        };
        let forwarded = forwarded.header("Content-Type", "application/json");
        let answer = forwarded.body(body).send().await.unwrap();
        let (status, bytes) = (answer.status(), answer.bytes().await.unwrap());
        if uri.path().ends_with("-range") {
            let prefix = query.get("path_prefix").cloned().unwrap_or_default();
            let mut reads = self.reads.lock().unwrap();
            let entry = reads.entry(prefix).or_default();
            *entry = (entry.0 + bytes.len(), entry.1 + 1);
        }
        Ok(Response::builder().status(status).body(bytes))
    }
}

/// Starts nodes, has the store drop its history, and returns what they read because of that.
async fn reads_after_compaction(nodes: usize) -> Reads {
    let options = site::Options { listen: "127.0.0.1:0".to_owned(), ..site::Options::default() };
    let site = site::start(site::Options { workers: 0, ..options }).await.unwrap();
    let client = Client::builder().no_proxy().build().unwrap();
    let post = async |path: &str, body: &serde_json::Value| {
        let url = format!("http://{}/{path}", site.address);
        client.post(url).json(body).send().await.unwrap();
    };
    post("put?op/config", &json!({ "version": 1, "routes": [], "services": [] })).await;
    let counter = Counter {
        client: Client::builder().no_proxy().build().unwrap(),
        store: site.address.clone(),
        reads: Arc::default(),
    };
    let (listener, address) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 4_096, counter.clone(), http::Stop::default()));
    let kv = Kv::new(&site.address, std::time::Duration::from_secs(5), |_, _, _| {});
    kv.grant(std::time::Duration::from_secs(600)).await.unwrap();
    let name = |number: usize| format!("n{number:03}");
    for number in 0..nodes {
        let record = json!({ "cpu": 500, "peers": "127.0.0.1:1", "zone": "hall-a" });
        let txn = Txn::default().put(keys::node(&name(number)), encode(&record));
        kv.commit(&txn).await.unwrap();
    }
    let all: Vec<Arc<Node>> = (0..nodes)
        .map(|number| {
            join_with_keys(&name(number), &address.to_string(), &json!(REPLICAS), &json!({})).0
        })
        .collect();
    wait_for("all nodes to know the replicas", async || {
        let knows = |node: &Arc<Node>| {
            let view = node.view();
            view.is_ready() && view.replicas(&node.settings).len() == REPLICAS
        };
        all.iter().all(knows).then_some(())
    })
    .await;
    wait_for("the replicas to know all nodes", async || {
        let complete = all.iter().filter(|node| node.view().is_complete()).count();
        (complete == REPLICAS).then_some(())
    })
    .await;
    counter.reads.lock().unwrap().clear();
    // Watches receive nothing while changes are made, and are cut when the history is gone.
    post("faults", &json!({ "store_watches_silent": true })).await;
    kv.commit(&Txn::default().put("ch/all/unknown", "")).await.unwrap();
    post("faults", &json!({ "store_compact": true })).await;
    wait_for("all nodes to have read again", async || {
        let reads = counter.reads.lock().unwrap();
        let count = |prefix: &str| reads.get(prefix).map_or(0, |(_, count)| *count);
        (nodes <= count(keys::ALL) && REPLICAS <= count(keys::ROOT)).then_some(())
    })
    .await;
    counter.reads.lock().unwrap().clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn what_a_node_reads_does_not_grow_with_the_number_of_nodes() {
    let mut per_node = Vec::new();
    for nodes in [50, 100, 200] {
        let reads = reads_after_compaction(nodes).await;
        let (bytes, count) = reads[keys::ALL];
        println!("{nodes} nodes: {reads:?}");
        assert!(count < 2 * nodes, "{nodes} nodes: {count} reads");
        assert!(!reads.contains_key(keys::NODES), "nobody reads the list of nodes: {reads:?}");
        assert_eq!(reads[keys::ROOT].1, REPLICAS, "only replicas read all records: {reads:?}");
        per_node.push(bytes / count);
    }
    assert!(per_node[2] * 10 <= per_node[0] * 11, "bytes of a read: {per_node:?}");
}

/// Without replicas, nodes that own nothing publish new ones, and few of them read the list.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_list_of_replicas_is_published_again_by_few_reads() {
    const NODES: usize = 100;
    let options = site::Options { listen: "127.0.0.1:0".to_owned(), ..site::Options::default() };
    let site = site::start(site::Options { workers: 0, ..options }).await.unwrap();
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/put?op/config", site.address);
    let config = json!({ "version": 1, "routes": [], "services": [] });
    client.post(url).json(&config).send().await.unwrap();
    let counter = Counter { client, store: site.address.clone(), reads: Arc::default() };
    let (listener, address) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 4_096, counter.clone(), http::Stop::default()));
    let kv = Kv::new(&site.address, std::time::Duration::from_secs(5), |_, _, _| {});
    kv.grant(std::time::Duration::from_secs(600)).await.unwrap();
    // Replicas that have ended, as far as this test's nodes can tell.
    let list = |replicas: &[&str]| {
        let record = json!({ "cpu": 900, "peers": "127.0.0.1:1" });
        let replicas: BTreeMap<&str, _> = replicas.iter().map(|name| (*name, &record)).collect();
        encode(&json!({ "nodes": NODES, "replicas": replicas }))
    };
    kv.commit(&Txn::default().put(keys::REPLICAS, list(&["ended"]))).await.unwrap();
    for number in 0..NODES {
        let record = json!({ "cpu": 500, "peers": "127.0.0.1:1", "zone": "hall-a" });
        let txn = Txn::default().put(keys::node(&format!("n{number:03}")), encode(&record));
        kv.commit(&txn).await.unwrap();
    }
    let all: Vec<Arc<Node>> = (0..NODES)
        .map(|number| {
            let name = format!("n{number:03}");
            join_with_keys(&name, &address.to_string(), &json!(REPLICAS), &json!({})).0
        })
        .collect();
    let knows = |node: &Arc<Node>, replica: &str| {
        let view = node.view();
        view.is_ready() && view.replicas(&node.settings).contains(replica)
    };
    wait_for("all nodes to know the ended replica", async || {
        all.iter().all(|node| knows(node, "ended")).then_some(())
    })
    .await;
    counter.reads.lock().unwrap().clear();
    kv.commit(&Txn::default().remove(keys::REPLICAS)).await.unwrap();
    wait_for("all nodes to know new replicas", async || {
        all.iter().all(|node| knows(node, "n000") && !knows(node, "ended")).then_some(())
    })
    .await;
    let reads = counter.reads.lock().unwrap().get(keys::NODES).copied().unwrap_or_default();
    println!("reads of the list of nodes: {reads:?}");
    assert!(0 < reads.1 && reads.1 <= NODES / 5, "reads of the list: {reads:?}");
}

/// Another program may have written the record.
#[test]
fn an_unreadable_list_of_replicas_does_not_replace_the_last_one() {
    use crate::{platform::kv::Change, scheduler::view::View};
    let mut view = View::default();
    let mut write = |revision, value: &str| {
        view.apply(Change {
            key: keys::REPLICAS.to_owned(),
            revision: Revision(revision),
            value: Some(value.as_bytes().to_vec().into()),
        });
        (view.published.is_valid, view.published.list.replicas.len(), view.published.revision)
    };
    let valid = r#"{"nodes":3,"replicas":{"one":{"cpu":500}}}"#;
    assert_eq!(write(5, valid), (true, 1, Revision(5)));
    assert_eq!(write(6, "{"), (false, 1, Revision(6)), "it is written again at its revision");
}
