//! Tests of what callers are told by a node whose view is old, over real sockets: a node's mirror, the
//! stand-in's store, and a gate before it that holds the answers of some watches. Time passes by the
//! node's clock alone.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode, header},
};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::until;
use crate::{
    http,
    jobs::owner::LEASE_MS,
    model::{
        id::PoolId,
        job::{JobId, JobState, Progress},
        unit::{Revision, Time},
    },
    platform::kv::{Kv, Txn},
    scheduler::{
        Node, accept,
        api::Api,
        drive::json,
        keys,
        lease::Lease,
        metrics::Metrics,
        mirror, node,
        relay::{RELAYED_HEADER, Relay},
        view::{age::RECORDS_MS, waiting::WordRecord},
    },
    settings::scheduler::parse,
    standin::site,
    tests::sample,
};

/// How long a call of the store may take.
const STORE_LIMIT: Duration = Duration::from_millis(700);
const TTL: Duration = Duration::from_millis(LEASE_MS);
/// Longer ago than an answer may show, in milliseconds.
const LONG: u64 = 6_000;
const HOST: &str = "quotes.example";
const QUEUE: &str = "quotes";

fn pool() -> PoolId {
    "work".parse().unwrap()
}

/// A way to the store that can hold the answers of the watches of one prefix.
#[derive(Clone)]
struct Gate {
    client: Client,
    behind: String,
    held: watch::Sender<Option<&'static str>>,
    /// Whether the store is away.
    closed: watch::Sender<bool>,
}

impl Gate {
    async fn before(address: &str) -> (Gate, String) {
        let (listener, own) = http::listen("127.0.0.1:0").await.unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let gate = Gate {
            client,
            behind: address.to_owned(),
            held: watch::Sender::new(None),
            closed: watch::Sender::new(false),
        };
        tokio::spawn(http::serve(listener, 256, gate.clone(), http::Stop::default()));
        (gate, own.to_string())
    }
}

impl Endpoint for Gate {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        if *self.closed.borrow() {
            return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let uri = request.uri().clone();
        let query = request.params::<BTreeMap<String, String>>().unwrap_or_default();
        let url = format!("http://{}{}", self.behind, uri.path_and_query().unwrap());
        let body = request.take_body().into_bytes().await.unwrap();
        let sent = match *request.method() {
            Method::POST => self.client.post(url).header("Content-Type", "application/json"),
            _ => self.client.get(url),
        };
        let answer = sent.body(body).send().await.unwrap();
        let (status, told) = (answer.status(), answer.bytes().await.unwrap());
        if uri.path().ends_with("-watch") {
            let prefix = query.get("path_prefix").map(String::as_str);
            let passes = |held: &Option<&'static str>| held.is_none() || *held != prefix;
            self.held.subscribe().wait_for(passes).await.unwrap();
        }
        Ok(Response::builder().status(status).body(told))
    }
}

/// A store, and a node that reaches it through a gate.
struct Scene {
    kv: Kv,
    gate: Gate,
    /// The store itself.
    store: String,
    node: Arc<Node>,
    lease: Arc<Lease>,
    api: Api,
}

impl Scene {
    /// A node that hears of everything.
    async fn whole() -> Scene {
        let scene = Scene::start(&json!(12)).await;
        let record = json!({ "cpu": 500 });
        scene.put(keys::node("one"), json(&record)).await;
        until("the node to hear of all", async || scene.node.view().is_whole().then_some(())).await;
        scene
    }

    /// A node that adds up the words of owners, since another one comes before it.
    async fn small() -> Scene {
        let scene = Scene::start(&json!(1)).await;
        scene.put(keys::node("large"), json(&json!({ "cpu": 9_000 }))).await;
        until("the node to know the other", async || {
            let view = scene.node.view();
            (view.is_ready() && view.nodes.contains_key("large")).then_some(())
        })
        .await;
        scene
    }

    async fn start(replicas: &Value) -> Scene {
        let listen = "127.0.0.1:0".to_owned();
        let work = Duration::from_millis(50);
        let site =
            site::start(site::Options { listen, workers: 0, work, pools: 1, keep_ids: false })
                .await
                .unwrap();
        let kv = Kv::new(&site.address, STORE_LIMIT, |_, _, _| {});
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
        let (gate, address) = Gate::before(&site.address).await;
        let (node, lease, api) = join("one", &address, replicas);
        Scene { kv, gate, store: site.address, node, lease, api }
    }

    async fn put(&self, key: String, value: Vec<u8>) {
        self.kv.commit(&Txn::default().put(key, value)).await.unwrap();
    }

    /// Another node that hears of everything, past the gate, and answers what others hand on.
    async fn add_peer(&self) {
        let (listener, peers) = http::listen("127.0.0.1:0").await.unwrap();
        let (node, _, api) = join("two", &self.store, &json!(12));
        tokio::spawn(http::serve(listener, 16, api, http::Stop::default()));
        self.put(keys::node("two"), json(&json!({ "cpu": 500, "peers": peers }))).await;
        until("the other node to hear of all", async || node.view().is_whole().then_some(())).await;
        until("the other node to be known", async || {
            self.node.view().nodes.contains_key("two").then_some(())
        })
        .await;
    }

    /// Has a job accepted by another node.
    async fn hand_in(&self, number: u64) {
        let mut record = sample::record(Vec::new());
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

    /// The word of the pool's owner.
    async fn tell(&self, queued: &Value) {
        self.put(keys::queued(&keys::pool(&pool())), json(queued)).await;
    }

    /// Lets time pass at the node, whose lease is renewed all the while.
    fn pass(&self, millis: u64) {
        self.node.clock.stand_still(millis);
        let now = self.node.now().steady;
        self.lease.renewed(1, now, TTL, now);
    }

    /// Lets time pass, and waits until the watch of what all nodes hear of was answered since.
    async fn pass_and_hear(&self, millis: u64) {
        self.pass(millis);
        until("the watch to be answered", async || {
            let now = self.node.now().steady;
            self.node.view().ages.is_within(keys::ALL, RECORDS_MS, now).then_some(())
        })
        .await;
    }

    /// What a caller is told.
    async fn ask(&self, path: &str) -> Result<Value, Refusal> {
        ask(&self.api, path).await
    }

    /// How many jobs of the queue wait.
    async fn pending(&self) -> Result<u64, Refusal> {
        Ok(self.ask("/quotes/").await?["pending"].as_u64().unwrap())
    }

    async fn state(&self, number: u64) -> Result<String, Refusal> {
        let answer = self.ask(&format!("/quotes/{}", JobId::from_number(number))).await?;
        Ok(answer["state"].as_str().unwrap().to_owned())
    }
}

/// Puts a node's view of a prefix out of use, or lets it go on.
fn hold(scene: &Scene, prefix: Option<&'static str>) {
    scene.gate.held.send_replace(prefix);
}

/// A status, and whether the caller is told when to come back.
type Refusal = (StatusCode, bool);

const NOT_KNOWN: Refusal = (StatusCode::SERVICE_UNAVAILABLE, true);

async fn ask(api: &Api, path: &str) -> Result<Value, Refusal> {
    let request = Request::builder().uri(path.parse().unwrap()).header(header::HOST, HOST);
    answer(api, request.finish()).await
}

async fn answer(api: &Api, request: Request) -> Result<Value, Refusal> {
    let answer = api.call(request).await.unwrap();
    if answer.status() != StatusCode::OK {
        return Err((answer.status(), answer.headers().contains_key(header::RETRY_AFTER)));
    }
    let body = answer.into_body().into_bytes().await.unwrap();
    Ok(serde_json::from_slice(&body).unwrap())
}

fn join(name: &str, store: &str, replicas: &Value) -> (Arc<Node>, Arc<Lease>, Api) {
    let unused = "127.0.0.1:1";
    let settings = json!({
        "node": name, "zone": "hall-a", "replicas": replicas,
        "listen": { "callers": unused, "readiness": unused, "metrics": unused },
        "platform": { "store": store, "hosts": unused },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let kv = Kv::new(store, STORE_LIMIT, |_, _, _| {});
    let node = node(settings, kv, Arc::new(Metrics::new()), accept::queue().0);
    let lease = Arc::new(Lease::default());
    let now = node.now().steady;
    lease.renewed(1, now, TTL, now);
    let (to, _) = mpsc::unbounded_channel();
    mirror::start(&node, &to);
    let api = Api { node: node.clone(), lease: lease.clone(), relay: Relay::new(), orders: None };
    (node, lease, api)
}

/// What users saw: "0 jobs are said to wait; 36 have waited", told by a node that hears of everything.
/// The jobs were accepted by other nodes while its watch of the records had fallen silent, or lagged
/// behind what a peak wrote. Its lease was renewed, and the operator's watch was answered, so that it
/// said that it was ready; and what it had heard once counted as known for ever.
///
/// Evidence: the logs of a day like theirs, in which the plans of this node showed jobs as they had been
/// six to nine seconds before, while owners of pools told of the present; and this test, in which
/// nothing but the age of the view differs from a node that tells the truth.
#[tokio::test]
async fn a_node_whose_records_are_old_does_not_say_how_many_jobs_wait() {
    let scene = Scene::whole().await;
    hold(&scene, Some(keys::ROOT));
    for number in 1..=3 {
        scene.hand_in(number).await;
    }
    scene.pass(LONG);
    assert_eq!(scene.pending().await, Err(NOT_KNOWN), "3 jobs have waited for 6 s");
    hold(&scene, None);
    until("the jobs to be counted", async || (scene.pending().await == Ok(3)).then_some(())).await;
}

/// The same at a node that adds up what owners have written: its owner is gone or stands still, and
/// its last word stays in the store for ever.
#[tokio::test]
async fn a_word_that_nobody_renews_does_not_say_how_many_jobs_wait() {
    let scene = Scene::small().await;
    until("the word to be told", async || {
        scene.tell(&json!({ QUEUE: 1 })).await;
        (scene.pending().await == Ok(1)).then_some(())
    })
    .await;
    scene.tell(&json!({ QUEUE: 2 })).await;
    until("the last word to be heard", async || {
        let view = scene.node.view();
        let word = view.queued.get(&keys::pool(&pool()))?;
        (word.counts.get(QUEUE) == Some(&2)).then_some(())
    })
    .await;
    for number in 1..=4 {
        scene.hand_in(number).await;
    }
    scene.pass_and_hear(LONG).await;
    assert_eq!(scene.pending().await, Err(NOT_KNOWN), "4 jobs have waited for 6 s");
    until("the next word to be heard", async || {
        scene.tell(&json!({ QUEUE: 4 })).await;
        (scene.pending().await == Ok(4)).then_some(())
    })
    .await;
}

/// The owner stood still after it had counted, or the store did its write late.
#[tokio::test]
async fn a_word_that_is_written_long_after_it_was_counted_does_not_say_how_many_jobs_wait() {
    let scene = Scene::small().await;
    let tell = async |jobs: usize, known: Revision| {
        scene
            .tell(&json!(WordRecord {
                known: Some(known),
                counts: BTreeMap::from([(QUEUE.to_owned(), jobs)]),
            }))
            .await;
    };
    let stands = async || scene.kv.range(keys::ALL).await.unwrap().1;
    let counted = stands().await;
    until("the word to be told", async || {
        tell(0, stands().await).await;
        (scene.pending().await == Ok(0)).then_some(())
    })
    .await;
    for number in 1..=4 {
        scene.hand_in(number).await;
    }
    scene.pass_and_hear(LONG).await;
    tell(0, counted).await;
    until("the late word to be heard", async || {
        let view = scene.node.view();
        (view.queued.get(&keys::pool(&pool()))?.known == Some(counted)).then_some(())
    })
    .await;
    assert_eq!(scene.pending().await, Err(NOT_KNOWN), "4 jobs have waited for 6 s");
    until("the next word to be heard", async || {
        tell(4, stands().await).await;
        (scene.pending().await == Ok(4)).then_some(())
    })
    .await;
}

/// The same before the first word of all: a pool that has had no owner yet.
#[tokio::test]
async fn a_pool_without_a_word_does_not_say_that_no_job_waits() {
    let scene = Scene::small().await;
    for number in 1..=2 {
        scene.hand_in(number).await;
    }
    assert_eq!(scene.pending().await, Err(NOT_KNOWN), "2 jobs wait");
}

/// The same cause with states: a caller that asks for a job which has ended is told that it runs, for
/// as long as the node is behind. Nodes without a mirror read the store, and tell the end.
#[tokio::test]
async fn a_node_whose_records_are_old_reads_how_a_job_stands() {
    let scene = Scene::whole().await;
    scene.hand_in(1).await;
    scene.progress(1, JobState::Running).await;
    until("the job to be heard of", async || {
        let view = scene.node.view();
        let known = view.jobs.get(&JobId::from_number(1)).filter(|known| known.is_accepted());
        known.is_some_and(|known| known.state() == JobState::Running).then_some(())
    })
    .await;
    hold(&scene, Some(keys::ROOT));
    scene.progress(1, JobState::Succeeded).await;
    scene.pass(LONG);
    assert_eq!(scene.state(1).await.as_deref(), Ok("succeeded"));
}

/// A caller need not come back if another node knows.
#[tokio::test]
async fn a_node_whose_records_are_old_has_another_one_count_the_jobs_that_wait() {
    let scene = Scene::whole().await;
    scene.add_peer().await;
    hold(&scene, Some(keys::ROOT));
    for number in 1..=3 {
        scene.hand_in(number).await;
    }
    scene.pass(LONG);
    until("the jobs to be counted", async || (scene.pending().await == Ok(3)).then_some(())).await;
}

/// The same two nodes were asked about a queue each time. Where these were behind too, callers were
/// refused for as long as they were, though others knew.
#[tokio::test]
async fn nodes_that_do_not_know_how_many_jobs_wait_are_not_always_the_ones_asked() {
    const PEERS: usize = 7;
    let scene = Scene::whole().await;
    let asked: [Arc<AtomicUsize>; PEERS] = Default::default();
    for (number, asked) in asked.iter().enumerate() {
        let (listener, peers) = http::listen("127.0.0.1:0").await.unwrap();
        let peer = Ignorant { asked: asked.clone() };
        tokio::spawn(http::serve(listener, 16, peer, http::Stop::default()));
        let record = json!({ "cpu": 500, "peers": peers });
        scene.put(keys::node(&format!("peer-{number}")), json(&record)).await;
    }
    until("the nodes to be known", async || {
        (scene.node.view().nodes.len() == PEERS + 1).then_some(())
    })
    .await;
    hold(&scene, Some(keys::ROOT));
    scene.pass(LONG);
    for _ in 0..PEERS {
        assert_eq!(scene.pending().await, Err(NOT_KNOWN));
        // Longer than the pause after which other nodes are asked again.
        scene.pass(1_000);
    }
    let asked = asked.map(|asked| asked.load(Ordering::Relaxed));
    assert!(asked.iter().all(|times| *times != 0), "asked: {asked:?}");
}

/// Another node that does not know either.
struct Ignorant {
    asked: Arc<AtomicUsize>,
}

impl Endpoint for Ignorant {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "not known"))
    }
}

/// A question that comes from another node is answered here or not at all: two nodes that are behind
/// would ask each other.
#[tokio::test]
async fn a_question_that_was_handed_on_is_not_handed_on_again() {
    let scene = Scene::whole().await;
    scene.add_peer().await;
    hold(&scene, Some(keys::ROOT));
    scene.hand_in(1).await;
    scene.pass(LONG);
    let request = Request::builder().uri("/quotes/".parse().unwrap()).header(header::HOST, HOST);
    let request = request.header(RELAYED_HEADER, "1").finish();
    assert_eq!(answer(&scene.api, request).await, Err(NOT_KNOWN));
}

/// While the store is away for all, a caller is told how its job stood when it was last heard of.
#[tokio::test]
async fn what_was_last_heard_of_a_job_is_told_while_nobody_knows_better() {
    let scene = Scene::whole().await;
    scene.hand_in(1).await;
    until("the job to be heard of", async || {
        scene.node.view().jobs.contains_key(&JobId::from_number(1)).then_some(())
    })
    .await;
    scene.gate.closed.send_replace(true);
    scene.pass(LONG);
    assert_eq!(scene.state(1).await.as_deref(), Ok("queued"));
    scene.lease.failed();
    assert_eq!(scene.state(1).await.as_deref(), Ok("queued"));
}
