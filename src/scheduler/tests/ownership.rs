//! Tests of how long an ownership lasts, over real sockets: parts of nodes, the stand-in's store
//! and workers, and a proxy before one node's store.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::Duration,
};

use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode},
};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::wait_for;
use crate::{
    http,
    model::{
        id::PoolId,
        job::{JobId, Step, TaskResources},
        unit::{Megabytes, Millicores, Revision, Time},
    },
    platform::{
        kv::{Kv, Txn},
        store::LeaseId,
        worker_client::WorkerClient,
    },
    scheduler::{
        Node, accept,
        control_loop::{ControlLoop, json},
        keys,
        lease::{self, Lease},
        metrics::Metrics,
        mirror, node, tombstone,
    },
    settings::scheduler::parse,
    standin::site,
    tests::sample,
};

/// Timeout of a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// A fencing token above all that a test sees.
const MAX_TOKEN: u64 = u64::MAX;
/// Payload of a task that runs for the whole test: its duration in milliseconds.
const TASK_MS: &str = "600000";

fn pool() -> PoolId {
    "work".parse().unwrap()
}

fn job() -> JobId {
    "00000000000000a1".parse().unwrap()
}

/// The stand-in, with a job of one long task.
struct Site {
    address: String,
    client: Client,
    kv: Kv,
}

impl Site {
    async fn start(workers: u32) -> Site {
        let (listen, work) = ("127.0.0.1:0".to_owned(), Duration::from_millis(50));
        let running =
            site::start(site::Options { listen, workers, work, ..site::Options::default() })
                .await
                .unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let kv = Kv::new(&running.address, STORE_TIMEOUT, |_, _, _| {});
        let site = Site { address: running.address, client, kv };
        let config = json!({
            "version": 1, "routes": [],
            "services": [{ "name": "work", "admission_check": true, "headroom": false }],
        });
        site.post("put?op/config", &config).await;
        site
    }

    async fn post(&self, path: &str, body: &Value) {
        let url = format!("http://{}/{path}", self.address);
        let answer = self.client.post(url).json(body).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}/{path}", self.address);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    async fn submit(&self) {
        let need = TaskResources { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
        let step = Step { count: 1, need, estimate_ms: 600_000, ..Step::default() };
        let mut record = sample::job_record(vec![step]);
        (record.pool, record.payload, record.accepted) = (pool(), TASK_MS.into(), Time::now());
        let txn = Txn::default()
            .put(keys::id(job()), pool().to_string())
            .put(keys::job(&pool(), job()), json(&record));
        self.kv.commit(&txn).await.unwrap();
    }

    /// The revision of a record; `None` if there is none.
    async fn revision(&self, key: &str) -> Option<Revision> {
        let (items, _) = self.kv.range(key).await.unwrap();
        items.iter().find(|item| item.key == key).map(|item| item.revision)
    }

    /// The fencing token of the pool's owner.
    async fn token(&self) -> Option<u64> {
        Some(self.revision(&keys::owner(&keys::pool(&pool()))).await?.0)
    }

    /// Waits until the job's task runs and its progress is written; returns the token under which
    /// it runs.
    async fn wait_until_running(&self) -> u64 {
        let progress = keys::progress(job());
        wait_for("the job to run", async || {
            let starts = self.get("counted").await["starts"] == json!(1);
            (starts && self.revision(&progress).await.is_some()).then_some(())
        })
        .await;
        self.token().await.unwrap()
    }

    /// How many orders a worker has received under a token.
    async fn orders_received(&self, worker: usize, token: u64) -> u64 {
        let all = self.get("heard").await;
        let mut all = all.as_array().unwrap().iter();
        let entry = all.find(|one| one["worker"] == json!(worker) && one["token"] == json!(token));
        entry.map_or(0, |one| one["orders"].as_u64().unwrap())
    }

    async fn end_lease(&self, lease: LeaseId) {
        self.post(&format!("-/kv-lease-end/{lease}"), &Value::Null).await;
    }
}

/// Starts a node that reaches the store at an address.
fn join(name: &str, store: &str, hosts: &str) -> Arc<Node> {
    let unused = "127.0.0.1:1";
    let settings = json!({
        "node": name, "zone": "hall-a",
        "listen": { "callers": unused, "readiness": unused, "metrics": unused },
        "platform": { "store": store, "hosts": hosts },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let (accepting, waiting) = accept::queue();
    let kv = Kv::new(store, STORE_TIMEOUT, |_, _, _| {});
    let (cancelling, cancels) = tombstone::queue();
    let node = node(settings, kv, Arc::new(Metrics::new()), accepting, cancelling);
    let (lease, (inputs, receiver)) = (Arc::new(Lease::default()), mpsc::unbounded_channel());
    tokio::spawn(lease::maintain(node.clone(), lease.clone()));
    tokio::spawn(accept::write(node.clone(), waiting));
    tokio::spawn(tombstone::write_queued(node.clone(), cancels));
    mirror::start(&node, &lease, &inputs);
    tokio::spawn(ControlLoop::new(node.clone(), lease, WorkerClient::new(), inputs).run(receiver));
    node
}

/// A proxy before the store that can hold back the answers of watches, and forwards all others.
#[derive(Clone)]
struct StoreProxy {
    client: Client,
    store: String,
    holds_watches: watch::Sender<bool>,
    /// The lease that was last granted or renewed.
    lease: Arc<AtomicI64>,
    /// The last lease under which a node tried to acquire the pool.
    acquiring_lease: Arc<AtomicI64>,
}

impl StoreProxy {
    /// Starts a proxy; returns it and its address.
    async fn start(address: &str) -> (StoreProxy, String) {
        let (listener, own) = http::listen("127.0.0.1:0").await.unwrap();
        let proxy = StoreProxy {
            client: Client::builder().no_proxy().build().unwrap(),
            store: address.to_owned(),
            holds_watches: watch::Sender::new(false),
            lease: Arc::default(),
            acquiring_lease: Arc::default(),
        };
        tokio::spawn(http::serve(listener, 256, proxy.clone(), http::Stop::default()));
        (proxy, own.to_string())
    }

    fn lease(&self) -> LeaseId {
        self.lease.load(Ordering::Acquire)
    }

    /// Records the leases in a request and its answer.
    fn record(&self, path: &str, request: &[u8], answer: &[u8]) {
        if let Some(lease) = path.strip_prefix("/-/kv-keep/") {
            self.lease.store(lease.parse().unwrap(), Ordering::Release);
        }
        let parsed = |json: &[u8]| serde_json::from_slice::<Value>(json).unwrap_or_default();
        if path == "/-/kv-lease" {
            self.lease.store(parsed(answer)["lease"].as_i64().unwrap(), Ordering::Release);
        }
        let owner = keys::owner(&keys::pool(&pool()));
        let puts = parsed(request)["put"].as_array().cloned().unwrap_or_default();
        if let Some(put) = puts.iter().find(|put| put["private_key"] == json!(owner)) {
            self.acquiring_lease
                .store(put["lease"].as_i64().unwrap_or_default(), Ordering::Release);
        }
    }
}

impl Endpoint for StoreProxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let (path, uri) = (request.uri().path().to_owned(), request.uri().clone());
        let url = format!("http://{}{}", self.store, uri.path_and_query().unwrap());
        let body = request.take_body().into_bytes().await.unwrap();
        let forwarded = match *request.method() {
            Method::POST => self.client.post(url).header("Content-Type", "application/json"),
            _ => self.client.get(url),
        };
        let answer = forwarded.body(body.clone()).send().await.unwrap();
        let (status, bytes) = (answer.status(), answer.bytes().await.unwrap());
        if status == StatusCode::OK || path.ends_with("-txn") {
            self.record(&path, &body, &bytes);
        }
        if path.ends_with("-watch") {
            self.holds_watches.subscribe().wait_for(|holds_watches| !holds_watches).await.unwrap();
        }
        Ok(Response::builder().status(status).body(bytes))
    }
}

/// A task that must run once ran on two hosts at a time. The store had ended the lease of the
/// pool's owner, whose watches hung while its calls for leases were answered. It took a new lease
/// at once, and went on sending orders under the ownership that it had acquired under the old one.
/// Another node acquired the pool and reached only hosts that the first one did not. It assumed
/// that the others had stopped after the longest time for which an earlier owner may send orders,
/// and started the task again; it still ran there, since the first node went on polling that worker.
#[tokio::test]
async fn a_task_runs_once_when_the_owner_replaces_its_ended_lease() {
    let site = Site::start(2).await;
    site.post("unheard", &json!([{ "worker": 1, "from": 0, "to": MAX_TOKEN }])).await;
    let (proxy, address) = StoreProxy::start(&site.address).await;
    join("one", &address, &site.address);
    site.submit().await;
    let token = site.wait_until_running().await;
    let cut_off = json!([
        { "worker": 0, "from": token + 1, "to": MAX_TOKEN },
        { "worker": 1, "from": 0, "to": token },
    ]);
    site.post("unheard", &cut_off).await;
    proxy.holds_watches.send_replace(true);
    site.end_lease(proxy.lease()).await;
    join("two", &site.address, &site.address);
    let later = wait_for("a later owner", async || site.token().await).await;
    assert!(token < later);
    wait_for("the task to be started again", async || {
        (site.get("counted").await["starts"] == json!(2)).then_some(())
    })
    .await;
    let last = site.orders_received(0, token).await;
    assert_eq!(site.get("counted").await["twice"], json!(0), "{last} orders under token {token}");
}

/// The same cause at a single node: no order is sent under an ownership whose lease the store has
/// ended, whatever lease the node took after it.
#[tokio::test]
async fn an_ownership_ends_with_the_lease_under_which_it_was_acquired() {
    let site = Site::start(1).await;
    let (proxy, address) = StoreProxy::start(&site.address).await;
    join("one", &address, &site.address);
    site.submit().await;
    let token = site.wait_until_running().await;
    proxy.holds_watches.send_replace(true);
    let ended = proxy.lease();
    site.end_lease(ended).await;
    let lease = wait_for("a new lease", async || Some(proxy.lease()).filter(|l| *l != ended)).await;
    // One poll may be in flight.
    let max_orders = site.orders_received(0, token).await + 1;
    wait_for("an attempt to acquire the pool again", async || {
        let received = site.orders_received(0, token).await;
        assert!(
            received <= max_orders,
            "lease {ended} has ended, but orders are still sent under token {token}"
        );
        (proxy.acquiring_lease.load(Ordering::Acquire) == lease).then_some(())
    })
    .await;
    proxy.holds_watches.send_replace(false);
    let later = wait_for("a later ownership", async || site.token().await).await;
    wait_for("an order under the later ownership", async || {
        (0 < site.orders_received(0, later).await).then_some(())
    })
    .await;
    assert!(site.orders_received(0, token).await <= max_orders);
    assert_eq!(site.get("counted").await["twice"], json!(0));
}
