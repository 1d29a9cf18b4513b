//! Tests of how long an ownership lasts, over real sockets: nodes' parts, the stand-in's store and
//! workers, and a gate before one node's store.

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

use super::until;
use crate::{
    http,
    model::{
        id::PoolId,
        job::{JobId, Room, Step},
        unit::{Megabytes, Millicores, Revision, Time},
    },
    platform::{
        kv::{Kv, Txn},
        runner::Runners,
        store::LeaseId,
    },
    scheduler::{
        Node, accept,
        drive::{Drive, json},
        keys,
        lease::{self, Lease},
        metrics::Metrics,
        mirror, node,
    },
    settings::scheduler::parse,
    standin::site,
    tests::sample,
};

/// How long a call of the store may take.
const STORE_LIMIT: Duration = Duration::from_millis(700);
/// A token above all that a test sees.
const LAST: u64 = u64::MAX;
/// How long a task takes that is to run on for the whole test, in milliseconds, as its payload.
const WORK: &str = "600000";

fn pool() -> PoolId {
    "work".parse().unwrap()
}

fn job() -> JobId {
    "00000000000000a1".parse().unwrap()
}

/// The stand-in, with a job of one task that takes long.
struct Site {
    address: String,
    client: Client,
    kv: Kv,
}

impl Site {
    async fn start(workers: u32) -> Site {
        let (listen, work) = ("127.0.0.1:0".to_owned(), Duration::from_millis(50));
        let running =
            site::start(site::Options { listen, workers, work, pools: 1, keep_ids: false })
                .await
                .unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let kv = Kv::new(&running.address, STORE_LIMIT, |_, _, _| {});
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

    async fn hand_in(&self) {
        let need = Room { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
        let step = Step { count: 1, need, estimate_ms: 600_000, ..Step::default() };
        let mut record = sample::record(vec![step]);
        (record.pool, record.payload, record.accepted) = (pool(), WORK.into(), Time::now());
        let txn = Txn::default()
            .put(keys::id(job()), pool().to_string())
            .put(keys::job(&pool(), job()), json(&record));
        self.kv.commit(&txn).await.unwrap();
    }

    /// The revision of a record; nothing if there is none.
    async fn revision(&self, key: &str) -> Option<Revision> {
        let (items, _) = self.kv.range(key).await.unwrap();
        items.iter().find(|item| item.key == key).map(|item| item.revision)
    }

    /// The pool's ownership.
    async fn token(&self) -> Option<u64> {
        Some(self.revision(&keys::owner(&keys::pool(&pool()))).await?.0)
    }

    /// Waits until the job's task runs and that is written; the token under which it does.
    async fn until_running(&self) -> u64 {
        let progress = keys::progress(job());
        until("the job to run", async || {
            let starts = self.get("counted").await["starts"] == json!(1);
            (starts && self.revision(&progress).await.is_some()).then_some(())
        })
        .await;
        self.token().await.unwrap()
    }

    /// How many orders a worker has heard under a token.
    async fn heard(&self, worker: usize, token: u64) -> u64 {
        let all = self.get("heard").await;
        let mut all = all.as_array().unwrap().iter();
        let mine = all.find(|one| one["worker"] == json!(worker) && one["token"] == json!(token));
        mine.map_or(0, |one| one["orders"].as_u64().unwrap())
    }

    async fn end_lease(&self, lease: LeaseId) {
        self.post(&format!("-/kv-lease-end/{lease}"), &Value::Null).await;
    }
}

/// A node that reaches the store at an address.
fn join(name: &str, store: &str, hosts: &str) -> Arc<Node> {
    let unused = "127.0.0.1:1";
    let settings = json!({
        "node": name, "zone": "hall-a",
        "listen": { "callers": unused, "readiness": unused, "metrics": unused },
        "platform": { "store": store, "hosts": hosts },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let (accepting, waiting) = accept::queue();
    let kv = Kv::new(store, STORE_LIMIT, |_, _, _| {});
    let node = node(settings, kv, Arc::new(Metrics::new()), accepting);
    let (lease, (to, from)) = (Arc::new(Lease::default()), mpsc::unbounded_channel());
    tokio::spawn(lease::keep(node.clone(), lease.clone()));
    tokio::spawn(accept::write(node.clone(), waiting));
    mirror::start(&node, &to);
    tokio::spawn(Drive::new(node.clone(), lease, Runners::new(), to).run(from));
    node
}

/// A way to the store that can hold the answers of watches, and lets all else through.
#[derive(Clone)]
struct Gate {
    client: Client,
    behind: String,
    holds: watch::Sender<bool>,
    /// The lease that was last granted or renewed.
    lease: Arc<AtomicI64>,
    /// The last lease under which the pool was reached for.
    reached: Arc<AtomicI64>,
}

impl Gate {
    /// The gate, and its address.
    async fn before(address: &str) -> (Gate, String) {
        let (listener, own) = http::listen("127.0.0.1:0").await.unwrap();
        let gate = Gate {
            client: Client::builder().no_proxy().build().unwrap(),
            behind: address.to_owned(),
            holds: watch::Sender::new(false),
            lease: Arc::default(),
            reached: Arc::default(),
        };
        tokio::spawn(http::serve(listener, 256, gate.clone(), http::Stop::default()));
        (gate, own.to_string())
    }

    fn lease(&self) -> LeaseId {
        self.lease.load(Ordering::Acquire)
    }

    /// Takes note of what passes.
    fn note(&self, path: &str, asked: &[u8], told: &[u8]) {
        if let Some(kept) = path.strip_prefix("/-/kv-keep/") {
            self.lease.store(kept.parse().unwrap(), Ordering::Release);
        }
        let read = |bytes: &[u8]| serde_json::from_slice::<Value>(bytes).unwrap_or_default();
        if path == "/-/kv-lease" {
            self.lease.store(read(told)["lease"].as_i64().unwrap(), Ordering::Release);
        }
        let owner = keys::owner(&keys::pool(&pool()));
        let puts = read(asked)["put"].as_array().cloned().unwrap_or_default();
        if let Some(put) = puts.iter().find(|put| put["private_key"] == json!(owner)) {
            self.reached.store(put["lease"].as_i64().unwrap_or_default(), Ordering::Release);
        }
    }
}

impl Endpoint for Gate {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let (path, uri) = (request.uri().path().to_owned(), request.uri().clone());
        let url = format!("http://{}{}", self.behind, uri.path_and_query().unwrap());
        let body = request.take_body().into_bytes().await.unwrap();
        let sent = match *request.method() {
            Method::POST => self.client.post(url).header("Content-Type", "application/json"),
            _ => self.client.get(url),
        };
        let answer = sent.body(body.clone()).send().await.unwrap();
        let (status, told) = (answer.status(), answer.bytes().await.unwrap());
        if status == StatusCode::OK || path.ends_with("-txn") {
            self.note(&path, &body, &told);
        }
        if path.ends_with("-watch") {
            self.holds.subscribe().wait_for(|holds| !holds).await.unwrap();
        }
        Ok(Response::builder().status(status).body(told))
    }
}

/// What users saw: a task that must run once ran on two hosts at a time. The store had ended the
/// lease of the pool's owner; its watches hung, and its calls for leases were answered. It took a
/// new lease at once, and gave orders on by what it had won under the old one. Another node won the
/// pool and reached only hosts that the first one did not. Those that it did not reach it took for
/// quiet once the longest time was over that an earlier owner may go on, and it started the task
/// anew; there it still ran, since the first node went on looking at it.
#[tokio::test]
async fn a_task_runs_once_though_the_owner_whose_lease_is_over_takes_a_new_one() {
    let site = Site::start(2).await;
    site.post("unheard", &json!([{ "worker": 1, "from": 0, "to": LAST }])).await;
    let (gate, address) = Gate::before(&site.address).await;
    join("one", &address, &site.address);
    site.hand_in().await;
    let token = site.until_running().await;
    let unheard = json!([
        { "worker": 0, "from": token + 1, "to": LAST }, { "worker": 1, "from": 0, "to": token },
    ]);
    site.post("unheard", &unheard).await;
    gate.holds.send_replace(true);
    site.end_lease(gate.lease()).await;
    join("two", &site.address, &site.address);
    let later = until("a later owner", async || site.token().await).await;
    assert!(token < later);
    until("the task to be started anew", async || {
        (site.get("counted").await["starts"] == json!(2)).then_some(())
    })
    .await;
    let last = site.heard(0, token).await;
    assert_eq!(site.get("counted").await["twice"], json!(0), "{last} orders under token {token}");
}

/// The same cause at one node alone: no order is given under an ownership whose lease the store has
/// called over, whatever lease the node took after it.
#[tokio::test]
async fn an_ownership_ends_with_the_lease_under_which_it_was_won() {
    let site = Site::start(1).await;
    let (gate, address) = Gate::before(&site.address).await;
    join("one", &address, &site.address);
    site.hand_in().await;
    let token = site.until_running().await;
    gate.holds.send_replace(true);
    let ended = gate.lease();
    site.end_lease(ended).await;
    let lease = until("a new lease", async || Some(gate.lease()).filter(|l| *l != ended)).await;
    // One look may be on its way.
    let most = site.heard(0, token).await + 1;
    until("the pool to be reached for anew", async || {
        let heard = site.heard(0, token).await;
        assert!(heard <= most, "lease {ended} is over, and token {token} still gives orders");
        (gate.reached.load(Ordering::Acquire) == lease).then_some(())
    })
    .await;
    gate.holds.send_replace(false);
    let later = until("a later ownership", async || site.token().await).await;
    until("an order under it", async || (0 < site.heard(0, later).await).then_some(())).await;
    assert!(site.heard(0, token).await <= most);
    assert_eq!(site.get("counted").await["twice"], json!(0));
}
