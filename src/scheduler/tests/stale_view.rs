//! Tests of what a node with a stale view answers to callers, over real sockets: a node's mirror,
//! the stand-in's store, and a proxy before it that can hold back the answers of some watches. Time
//! passes by the node's clock alone.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode, header},
};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::wait_for;
use crate::{
    http,
    jobs::owner::LEASE_MS,
    model::{
        id::PoolId,
        job::{JobId, JobState, Progress},
        unit::{Revision, Time},
    },
    platform::{
        kv::{Kv, Txn},
        store::LeaseId,
    },
    scheduler::{
        Node, accept,
        api::{Api, Sender},
        control_loop::json,
        keys,
        lease::Lease,
        metrics::Metrics,
        mirror, node,
        relay::{
            RELAYED_HEADER, Relay,
            proof::{self, Covered, Proof},
        },
        tombstone,
        view::waiting::WaitingRecord,
    },
    settings::scheduler::parse,
    standin::site,
    tests::sample,
};

/// Timeout of a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// The lease of all nodes of a test, and how long the store keeps it.
const LEASE: LeaseId = 1;
const LONG_TTL: Duration = Duration::from_secs(600);
const TTL: Duration = Duration::from_millis(LEASE_MS);
/// Milliseconds after which a record is too old to answer from.
const STALE_MS: u64 = 6_000;
pub(super) const HOST: &str = "quotes.example";
pub(super) const QUEUE: &str = "quotes";

pub(super) fn pool() -> PoolId {
    "work".parse().unwrap()
}

/// A proxy before the store that can hold back the answers of the watches of one prefix.
#[derive(Clone)]
pub(super) struct StoreProxy {
    client: Client,
    store: String,
    /// Number of calls that read the configuration alone.
    pub(super) config_reads: Arc<AtomicUsize>,
    pub(super) held_prefix: watch::Sender<Option<&'static str>>,
    /// Whether all calls get a 503.
    pub(super) is_down: watch::Sender<bool>,
    /// Whether writes are done and not answered.
    pub(super) loses_answers: watch::Sender<bool>,
    /// Whether writes that arrive are held back and not answered.
    pub(super) holds_writes: watch::Sender<bool>,
    /// Whether the held writes are done.
    pub(super) releases_writes: watch::Sender<bool>,
    /// Number of writes that were held, and of those that were done.
    pub(super) held_writes: watch::Sender<(usize, usize)>,
    /// Number of writes that arrived.
    pub(super) writes: Arc<AtomicUsize>,
}

impl StoreProxy {
    async fn start(address: &str) -> (StoreProxy, String) {
        let (listener, own) = http::listen("127.0.0.1:0").await.unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let proxy = StoreProxy {
            client,
            store: address.to_owned(),
            config_reads: Arc::default(),
            held_prefix: watch::Sender::new(None),
            is_down: watch::Sender::new(false),
            loses_answers: watch::Sender::new(false),
            holds_writes: watch::Sender::new(false),
            releases_writes: watch::Sender::new(false),
            held_writes: watch::Sender::new((0, 0)),
            writes: Arc::default(),
        };
        tokio::spawn(http::serve(listener, 256, proxy.clone(), http::Stop::default()));
        (proxy, own.to_string())
    }

    /// Does a write once it is released, whether or not its caller still waits.
    fn hold_write(&self, url: String, body: Bytes) {
        self.held_writes.send_modify(|(held, _)| *held += 1);
        let proxy = self.clone();
        tokio::spawn(async move {
            proxy.releases_writes.subscribe().wait_for(|released| *released).await.unwrap();
            let request = proxy.client.post(url).header("Content-Type", "application/json");
            request.body(body).send().await.unwrap();
            proxy.held_writes.send_modify(|(_, done)| *done += 1);
        });
    }
}

impl Endpoint for StoreProxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        if *self.is_down.borrow() {
            return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let uri = request.uri().clone();
        let query = request.params::<BTreeMap<String, String>>().unwrap_or_default();
        let url = format!("http://{}{}", self.store, uri.path_and_query().unwrap());
        if query.get("path_prefix").is_some_and(|prefix| prefix == "op/config") {
            self.config_reads.fetch_add(1, Ordering::Relaxed);
        }
        let body = request.take_body().into_bytes().await.unwrap();
        if uri.path().ends_with("-txn") {
            self.writes.fetch_add(1, Ordering::Relaxed);
            if *self.holds_writes.borrow() {
                self.hold_write(url, body);
                return std::future::pending().await;
            }
        }
        let forwarded = match *request.method() {
            Method::POST => self.client.post(url).header("Content-Type", "application/json"),
            _ => self.client.get(url),
        };
        let answer = forwarded.body(body).send().await.unwrap();
        let (status, bytes) = (answer.status(), answer.bytes().await.unwrap());
        if uri.path().ends_with("-txn") && *self.loses_answers.borrow() {
            std::future::pending::<()>().await;
        }
        if uri.path().ends_with("-watch") {
            let prefix = query.get("path_prefix").map(String::as_str);
            let passes = |held_prefix: &Option<&'static str>| {
                held_prefix.is_none() || *held_prefix != prefix
            };
            self.held_prefix.subscribe().wait_for(passes).await.unwrap();
        }
        Ok(Response::builder().status(status).body(bytes))
    }
}

/// A store, and a node that reaches it through a proxy.
pub(super) struct Harness {
    pub(super) kv: Kv,
    pub(super) proxy: StoreProxy,
    /// Address of the proxy.
    pub(super) proxied: String,
    /// Address of the store itself.
    pub(super) store: String,
    pub(super) node: Arc<Node>,
    pub(super) lease: Arc<Lease>,
    pub(super) api: Api,
}

impl Harness {
    /// A node that mirrors all records.
    pub(super) async fn with_records() -> Harness {
        let harness = Harness::start(&json!(12)).await;
        let record = json!({ "cpu": 500, "secret": harness.node.secret });
        harness.put(keys::node("one"), json(&record)).await;
        wait_for("the node to mirror all records", async || {
            harness.node.view().is_complete().then_some(())
        })
        .await;
        harness
    }

    /// A node that adds up the reports of owners, since another, larger node is the replica.
    async fn with_reports() -> Harness {
        let harness = Harness::start(&json!(1)).await;
        harness.put(keys::node("large"), json(&json!({ "cpu": 9_000 }))).await;
        wait_for("the node to know its peer", async || {
            let view = harness.node.view();
            let replicas = view.replicas(&harness.node.settings);
            (view.is_ready() && replicas.contains("large")).then_some(())
        })
        .await;
        harness
    }

    async fn start(replicas: &Value) -> Harness {
        let listen = "127.0.0.1:0".to_owned();
        let work = Duration::from_millis(50);
        let site =
            site::start(site::Options { listen, workers: 0, work, ..site::Options::default() })
                .await
                .unwrap();
        let kv = Kv::new(&site.address, STORE_TIMEOUT, |_, _, _| {});
        let (lease, _) = kv.grant(LONG_TTL).await.unwrap();
        assert_eq!(lease, LEASE);
        let config = json!({
            "version": 1,
            "routes": [{
                "name": QUEUE, "host": HOST, "path_prefix": "/quotes/", "kind": "unsafe",
                "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "work",
                "max_attempts": 3, "stretch": 1.6,
            }],
            "services": [{ "name": "work", "admission_check": true, "headroom": false }],
        });
        let client = Client::builder().no_proxy().build().unwrap();
        let url = format!("http://{}/put?op/config", site.address);
        client.post(url).json(&config).send().await.unwrap();
        let (proxy, address) = StoreProxy::start(&site.address).await;
        let (node, lease, api) = join("one", &address, replicas);
        Harness { kv, proxy, proxied: address, store: site.address, node, lease, api }
    }

    pub(super) async fn put(&self, key: String, value: Vec<u8>) {
        self.kv.commit(&Txn::default().put(key, value)).await.unwrap();
    }

    /// Adds another node that mirrors all records, past the proxy, and answers relayed requests.
    pub(super) async fn add_peer(&self) {
        let (listener, peers) = http::listen("127.0.0.1:0").await.unwrap();
        let (node, lease, _) = join("two", &self.store, &json!(12));
        let api = api(&node, &lease, Sender::Nodes);
        tokio::spawn(http::serve(listener, 16, api, http::Stop::default()));
        let record = json!({ "cpu": 500, "peers": peers, "secret": node.secret });
        self.put(keys::node("two"), json(&record)).await;
        wait_for("the peer to mirror all records", async || {
            node.view().is_complete().then_some(())
        })
        .await;
        wait_for("the peer to be known", async || {
            self.node.view().nodes.contains_key("two").then_some(())
        })
        .await;
        wait_for("the peer to know this node", async || {
            let own = node.view().nodes.get("one")?.value.secret;
            (own == Some(self.node.secret)).then_some(())
        })
        .await;
    }

    /// Writes a job as another node that accepts it does.
    async fn submit(&self, number: u64) {
        let mut record = sample::job_record(Vec::new());
        (record.pool, record.queue, record.accepted) = (pool(), QUEUE.to_owned(), Time::now());
        let id = JobId::from_number(number);
        let txn = Txn::default()
            .put(keys::id(id), pool().to_string())
            .put(keys::job(&pool(), id), json(&record));
        self.kv.commit(&txn).await.unwrap();
    }

    async fn progress(&self, number: u64, state: JobState) {
        let progress = Progress { state, ..Progress::default() };
        self.put(keys::progress(JobId::from_number(number)), json(&progress)).await;
    }

    /// Publishes the waiting report of the pool's owner.
    async fn publish(&self, queued: &Value) {
        self.put(keys::queued(&keys::pool(&pool())), json(queued)).await;
    }

    /// Advances the node's clock, and renews its lease.
    pub(super) fn advance(&self, millis: u64) {
        self.node.clock.simulate_pause(millis);
        let now = self.node.now().steady;
        self.lease.note_renewed(LEASE, now, TTL, now);
    }

    /// What a caller gets for a path.
    async fn get(&self, path: &str) -> Result<Value, Refusal> {
        get(&self.api, path).await
    }

    /// How many jobs of the queue wait.
    async fn pending(&self) -> Result<u64, Refusal> {
        Ok(self.get("/quotes/").await?["pending"].as_u64().unwrap())
    }

    async fn state(&self, number: u64) -> Result<String, Refusal> {
        let answer = self.get(&format!("/quotes/{}", JobId::from_number(number))).await?;
        Ok(answer["state"].as_str().unwrap().to_owned())
    }
}

/// Holds back the answers of the watch of a prefix, or lets all through.
pub(super) fn hold_watch(harness: &Harness, prefix: Option<&'static str>) {
    harness.proxy.held_prefix.send_replace(prefix);
}

/// A status, and whether it comes with a `Retry-After`.
type Refusal = (StatusCode, bool);

const UNAVAILABLE: Refusal = (StatusCode::SERVICE_UNAVAILABLE, true);

async fn get(api: &Api, path: &str) -> Result<Value, Refusal> {
    let request = Request::builder().uri(path.parse().unwrap()).header(header::HOST, HOST);
    call(api, request.finish()).await
}

async fn call(api: &Api, request: Request) -> Result<Value, Refusal> {
    let answer = api.call(request).await.unwrap();
    if answer.status() != StatusCode::OK {
        return Err((answer.status(), answer.headers().contains_key(header::RETRY_AFTER)));
    }
    let body = answer.into_body().into_bytes().await.unwrap();
    Ok(serde_json::from_slice(&body).unwrap())
}

fn join(name: &str, store: &str, replicas: &Value) -> (Arc<Node>, Arc<Lease>, Api) {
    join_with_keys(name, store, replicas, &json!({}))
}

/// A node with these settings for the keys of client accounts.
pub(super) fn join_with_keys(
    name: &str,
    store: &str,
    replicas: &Value,
    keys: &Value,
) -> (Arc<Node>, Arc<Lease>, Api) {
    let unused = "127.0.0.1:1";
    let settings = json!({
        "node": name, "zone": "hall-a", "replicas": replicas, "keys": keys,
        "listen": { "callers": unused, "readiness": unused, "metrics": unused },
        "platform": { "store": store, "hosts": unused },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let kv = Kv::new(store, STORE_TIMEOUT, |_, _, _| {});
    let (accepting, waiting) = accept::queue();
    let (cancelling, cancels) = tombstone::queue();
    let node = node(settings, kv, Arc::new(Metrics::new()), accepting, cancelling);
    tokio::spawn(accept::write(node.clone(), waiting));
    tokio::spawn(tombstone::write_queued(node.clone(), cancels));
    let lease = Arc::new(Lease::default());
    let now = node.now().steady;
    lease.note_renewed(LEASE, now, TTL, now);
    let (inputs, _) = mpsc::unbounded_channel();
    mirror::start(&node, &lease, &inputs);
    let api = api(&node, &lease, Sender::Callers);
    (node, lease, api)
}

/// The endpoint of a node for requests of callers, or of other nodes.
pub(super) fn api(node: &Arc<Node>, lease: &Arc<Lease>, sender: Sender) -> Api {
    let (node, lease) = (node.clone(), lease.clone());
    Api { node, lease, relay: Relay::new(), sender, orders: None }
}

/// A node answered that no jobs waited where 36 did. Other nodes had accepted them while its watch
/// of the records had fallen silent, or lagged at a peak of writes. Its lease was renewed and the
/// operator's watch was answered, so it was ready, and answered from records of any age.
#[tokio::test]
async fn stale_records_are_not_used_to_count_waiting_jobs() {
    let harness = Harness::with_records().await;
    hold_watch(&harness, Some(keys::ROOT));
    for number in 1..=3 {
        harness.submit(number).await;
    }
    harness.advance(STALE_MS);
    assert_eq!(harness.pending().await, Err(UNAVAILABLE), "3 jobs have waited for 6 s");
    hold_watch(&harness, None);
    wait_for("the jobs to be counted", async || (harness.pending().await == Ok(3)).then_some(()))
        .await;
}

/// The same at a node that adds up the reports of owners: the pool's owner has ended or stalled, and
/// its last report stays in the store.
#[tokio::test]
async fn a_report_that_is_not_renewed_is_not_counted() {
    let harness = Harness::with_reports().await;
    wait_for("the report to be counted", async || {
        harness.publish(&json!({ QUEUE: 1 })).await;
        (harness.pending().await == Ok(1)).then_some(())
    })
    .await;
    harness.publish(&json!({ QUEUE: 2 })).await;
    wait_for("the last report to be received", async || {
        harness.advance(500);
        let _ = harness.pending().await;
        let view = harness.node.view();
        let report = view.waiting_reports.get(&keys::pool(&pool()))?;
        (report.counts.get(QUEUE) == Some(&2)).then_some(())
    })
    .await;
    for number in 1..=4 {
        harness.submit(number).await;
    }
    harness.advance(STALE_MS);
    assert_eq!(harness.pending().await, Err(UNAVAILABLE), "4 jobs have waited for 6 s");
    wait_for("the next report to be received", async || {
        harness.publish(&json!({ QUEUE: 4 })).await;
        (harness.pending().await == Ok(4)).then_some(())
    })
    .await;
}

/// The owner stalled after it had counted, or the store did the write late.
#[tokio::test]
async fn a_report_that_was_written_long_after_its_count_is_not_counted() {
    let harness = Harness::with_reports().await;
    let publish = async |jobs: usize, known: Revision| {
        harness
            .publish(&json!(WaitingRecord {
                known: Some(known),
                load: None,
                counts: BTreeMap::from([(QUEUE.to_owned(), jobs)]),
            }))
            .await;
    };
    let current_revision = async || harness.kv.range(keys::ALL).await.unwrap().1;
    let counted = current_revision().await;
    wait_for("the report to be counted", async || {
        publish(0, current_revision().await).await;
        (harness.pending().await == Ok(0)).then_some(())
    })
    .await;
    for number in 1..=4 {
        harness.submit(number).await;
    }
    harness.advance(STALE_MS);
    publish(0, counted).await;
    wait_for("the late report to be received", async || {
        harness.advance(500);
        let _ = harness.pending().await;
        let view = harness.node.view();
        (view.waiting_reports.get(&keys::pool(&pool()))?.known == Some(counted)).then_some(())
    })
    .await;
    assert_eq!(harness.pending().await, Err(UNAVAILABLE), "4 jobs have waited for 6 s");
    wait_for("the next report to be received", async || {
        publish(4, current_revision().await).await;
        (harness.pending().await == Ok(4)).then_some(())
    })
    .await;
}

/// The same before the first report: a pool that has had no owner yet.
#[tokio::test]
async fn a_pool_without_a_report_does_not_count_as_empty() {
    let harness = Harness::with_reports().await;
    for number in 1..=2 {
        harness.submit(number).await;
    }
    assert_eq!(harness.pending().await, Err(UNAVAILABLE), "2 jobs wait");
}

/// The same cause with states: a caller that asked for an ended job got `running` for as long as
/// the node's view was stale. Nodes without a mirror of jobs read the store, and answer with the
/// end.
#[tokio::test]
async fn a_node_with_stale_records_reads_the_state_of_a_job_from_the_store() {
    let harness = Harness::with_records().await;
    harness.submit(1).await;
    harness.progress(1, JobState::Running).await;
    wait_for("the job to be received", async || {
        let view = harness.node.view();
        let known = view.jobs.get(&JobId::from_number(1)).filter(|known| known.is_accepted());
        known.is_some_and(|known| known.state() == JobState::Running).then_some(())
    })
    .await;
    hold_watch(&harness, Some(keys::ROOT));
    harness.progress(1, JobState::Succeeded).await;
    harness.advance(STALE_MS);
    assert_eq!(harness.state(1).await.as_deref(), Ok("succeeded"));
}

/// A caller need not retry if another node can answer.
#[tokio::test]
async fn a_node_with_stale_records_relays_the_count_of_waiting_jobs() {
    let harness = Harness::with_records().await;
    harness.add_peer().await;
    hold_watch(&harness, Some(keys::ROOT));
    for number in 1..=3 {
        harness.submit(number).await;
    }
    harness.advance(STALE_MS);
    wait_for("the jobs to be counted", async || (harness.pending().await == Ok(3)).then_some(()))
        .await;
}

/// The same two nodes were asked about a queue each time. While these were stale too, callers were
/// refused though other nodes could have answered.
#[tokio::test]
async fn relayed_counts_do_not_always_go_to_the_same_stale_nodes() {
    const PEERS: usize = 7;
    let harness = Harness::with_records().await;
    let requests: [Arc<AtomicUsize>; PEERS] = Default::default();
    for (number, requests) in requests.iter().enumerate() {
        let (listener, peers) = http::listen("127.0.0.1:0").await.unwrap();
        let peer = StalePeer { requests: requests.clone() };
        tokio::spawn(http::serve(listener, 16, peer, http::Stop::default()));
        let record = json!({ "cpu": 500, "peers": peers });
        harness.put(keys::node(&format!("peer-{number}")), json(&record)).await;
    }
    wait_for("the peers to be known", async || {
        (harness.node.view().nodes.len() == PEERS + 1).then_some(())
    })
    .await;
    hold_watch(&harness, Some(keys::ROOT));
    // Without this job, a read of the reports would show that no record has changed.
    harness.submit(1).await;
    harness.advance(STALE_MS);
    for _ in 0..PEERS {
        assert_eq!(harness.pending().await, Err(UNAVAILABLE));
        // Longer than the pause before other nodes are asked again.
        harness.advance(1_000);
    }
    let requests = requests.map(|requests| requests.load(Ordering::Relaxed));
    assert!(requests.iter().all(|count| *count != 0), "requests: {requests:?}");
}

/// A peer whose view is stale, too.
struct StalePeer {
    requests: Arc<AtomicUsize>,
}

impl Endpoint for StalePeer {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "not known"))
    }
}

/// A relayed request is answered here or not at all: two nodes with stale views would relay to each
/// other.
#[tokio::test]
async fn a_relayed_request_is_not_relayed_again() {
    let harness = Harness::with_records().await;
    harness.add_peer().await;
    hold_watch(&harness, Some(keys::ROOT));
    harness.submit(1).await;
    harness.advance(STALE_MS);
    let proof = Proof {
        node: "two".to_owned(),
        config: 1,
        key: None,
        sent: harness.node.now().wall,
        body: proof::digest_of(&[]),
    };
    let covered = Covered { method: "GET", host: HOST, path: "/quotes/" };
    let secret = harness.node.view().nodes["two"].value.secret.unwrap();
    let proof = proof.sign(&secret, covered);
    let request = Request::builder().uri("/quotes/".parse().unwrap()).header(header::HOST, HOST);
    let request = request.header(RELAYED_HEADER, proof).finish();
    let relayed = api(&harness.node, &harness.lease, Sender::Nodes);
    assert_eq!(call(&relayed, request).await, Err(UNAVAILABLE));
    assert!(relayed.relay.is_idle(), "it was not relayed");
}

/// While no node reaches the store, a caller gets the last state of its job that the node received.
#[tokio::test]
async fn the_last_known_state_is_served_while_the_store_is_down() {
    let harness = Harness::with_records().await;
    harness.submit(1).await;
    wait_for("the job to be received", async || {
        harness.node.view().jobs.contains_key(&JobId::from_number(1)).then_some(())
    })
    .await;
    harness.proxy.is_down.send_replace(true);
    harness.advance(STALE_MS);
    assert_eq!(harness.state(1).await.as_deref(), Ok("queued"));
    harness.lease.note_failed();
    assert_eq!(harness.state(1).await.as_deref(), Ok("queued"));
}
