//! Tests of a node that is stopped, over real sockets: the stand-in's store, a proxy before it that
//! can hold back the writes of jobs, and a node in a runtime of its own, which ends with the node as
//! a process does.

#[path = "../../../tests/common/ports.rs"]
mod ports;

use std::{path::PathBuf, sync::mpsc as std_mpsc, thread, time::Duration};

use futures_util::future::join_all;
use poem::{
    Endpoint, Request, Response,
    http::{Method, StatusCode},
};
use reqwest::Client;
use serde_json::json;
use tokio::{
    net::TcpStream,
    runtime::{self, Handle},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{
    stale_view::{HOST, QUEUE},
    wait_for,
};
use crate::{
    http,
    jobs::owner::LEASE_MS,
    model::{job::JobId, unit::Time},
    platform::kv::{Kv, Txn},
    scheduler::{
        control_loop::json as encode,
        keys,
        relay::{
            RELAYED_HEADER,
            proof::{Covered, NodeSecret, Proof, digest_of},
        },
        run::{self, StopTimes},
    },
    settings::scheduler::parse,
    standin::site,
};

const GRACE_MS: u64 = 6_000;

/// How long callers wait, in milliseconds: longer than the node exists.
const DEADLINE_MS: u64 = 60_000;

/// Number of callers with a request in progress.
const CALLERS: u64 = 300;

/// A proxy before the store that can hold back the writes of jobs.
#[derive(Clone)]
struct StoreProxy {
    client: Client,
    store: String,
    holds: watch::Sender<bool>,
    /// Number of writes that were held back.
    held: watch::Sender<usize>,
}

impl StoreProxy {
    async fn start(store: &str) -> (StoreProxy, String) {
        let (listener, address) = http::listen("127.0.0.1:0").await.unwrap();
        let proxy = StoreProxy {
            client: Client::builder().no_proxy().build().unwrap(),
            store: store.to_owned(),
            holds: watch::Sender::new(false),
            held: watch::Sender::new(0),
        };
        tokio::spawn(http::serve(listener, 256, proxy.clone(), http::Stop::default()));
        (proxy, address.to_string())
    }
}

impl Endpoint for StoreProxy {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let uri = request.uri().clone();
        let body = request.take_body().into_bytes().await.unwrap();
        if uri.path().ends_with("-txn") && String::from_utf8_lossy(&body).contains("/job/") {
            self.held.send_modify(|held| *held += usize::from(*self.holds.borrow()));
            self.holds.subscribe().wait_for(|holds| !holds).await.unwrap();
        }
        let url = format!("http://{}{}", self.store, uri.path_and_query().unwrap());
        let forwarded = match *request.method() {
            Method::POST => self.client.post(url).header("Content-Type", "application/json"),
            _ => self.client.get(url),
        };
        let answer = forwarded.body(body).send().await.unwrap();
        let (status, bytes) = (answer.status(), answer.bytes().await.unwrap());
        Ok(Response::builder().status(status).body(bytes))
    }
}

/// A node with a thread of its own.
struct RunningNode {
    callers: String,
    peers: String,
    readiness: String,
    stop: CancellationToken,
    killed: CancellationToken,
    runtime: Handle,
    thread: Option<thread::JoinHandle<()>>,
    client: Client,
}

impl RunningNode {
    async fn start(store: &str, hosts: &str, grace_ms: u64) -> RunningNode {
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| ports::free_address());
        let settings = json!({
            "node": "one", "zone": "hall-a",
            "listen": {
                "callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers,
            },
            "platform": { "store": store, "hosts": hosts },
            "stop": { "grace_ms": grace_ms },
        });
        let settings = parse("settings", &settings.to_string()).unwrap();
        let (stop, killed) = (CancellationToken::new(), CancellationToken::new());
        let (sender, receiver) = std_mpsc::channel();
        let (stopped, cut) = (stop.clone(), killed.clone());
        let thread = thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
            sender.send(runtime.handle().clone()).unwrap();
            let shutdown = async move {
                stopped.cancelled().await;
                Ok(())
            };
            runtime.block_on(cut.run_until_cancelled(async {
                run::run(settings, PathBuf::new(), shutdown).await.unwrap();
            }));
        });
        let client = Client::builder().no_proxy().build().unwrap();
        let runtime = receiver.recv().unwrap();
        let thread = Some(thread);
        let node = RunningNode { callers, peers, readiness, stop, killed, runtime, thread, client };
        wait_for("readiness", async || node.is_ready().await.then_some(())).await;
        node
    }

    async fn is_ready(&self) -> bool {
        let url = format!("http://{}/-/ready", self.readiness);
        self.client.get(url).send().await.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    async fn submit(&self, number: u64) -> Option<StatusCode> {
        submit(self.client.clone(), self.callers.clone(), number).await
    }

    /// Whether it accepts connections of callers.
    async fn listens(&self) -> bool {
        TcpStream::connect(&self.callers).await.is_ok()
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.killed.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn job() -> String {
    json!({ "steps": [{ "count": 1, "cpu": 1 }] }).to_string()
}

/// Submits a job; `None` if there is no complete answer.
async fn submit(client: Client, callers: String, number: u64) -> Option<StatusCode> {
    let url = format!("http://{callers}/{QUEUE}/{}", JobId::from_number(number));
    let request = client.post(url).header("Host", HOST).header("Deadline-Ms", DEADLINE_MS);
    let answer = request.body(job()).send().await.ok()?;
    let status = answer.status();
    answer.bytes().await.ok()?;
    Some(status)
}

/// A store with a queue, and a node that reaches it through a proxy.
async fn start(grace_ms: u64) -> (site::Running, StoreProxy, RunningNode) {
    let options = site::Options { listen: "127.0.0.1:0".to_owned(), ..site::Options::default() };
    let site = site::start(site::Options { workers: 0, ..options }).await.unwrap();
    let config = json!({
        "version": 1,
        "routes": [{
            "name": QUEUE, "host": HOST, "path_prefix": format!("/{QUEUE}/"), "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "work",
            "max_attempts": 3, "stretch": 1.6,
        }],
        "services": [{ "name": "work", "admission_check": true, "headroom": false }],
    });
    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/put?op/config", site.address);
    client.post(url).json(&config).send().await.unwrap();
    let (proxy, address) = StoreProxy::start(&site.address).await;
    let node = RunningNode::start(&address, &site.address, grace_ms).await;
    (site, proxy, node)
}

/// Submits jobs whose writes the store holds back.
async fn submit_held(
    proxy: &StoreProxy,
    node: &RunningNode,
) -> JoinHandle<Vec<Option<StatusCode>>> {
    proxy.holds.send_replace(true);
    let one = |number| submit(node.client.clone(), node.callers.clone(), number);
    let answers = tokio::spawn(join_all((1..=CALLERS).map(one)));
    let mut held = proxy.held.subscribe();
    held.wait_for(|held| *held != 0).await.unwrap();
    answers
}

fn count_missing(answers: &[Option<StatusCode>]) -> usize {
    answers.iter().filter(|answer| answer.is_none()).count()
}

/// A node that was stopped let its lease expire, and took the store for unreachable from then on:
/// it relayed or refused the requests that it went on reading.
#[tokio::test]
async fn a_stopped_node_accepts_jobs_for_as_long_as_it_listens() {
    let (_site, _proxy, node) = start(600_000).await;
    node.stop.cancel();
    wait_for("the node to turn unready", async || (!node.is_ready().await).then_some(())).await;
    sleep(Duration::from_millis(LEASE_MS + 500)).await;
    for number in 1..=3 {
        wait_for("a job to be accepted", async || {
            (node.submit(number).await? == StatusCode::OK).then_some(())
        })
        .await;
    }
}

/// Guards against connections that a stopped node closes without an answer to what it has read:
/// the store answers none of the writes.
#[tokio::test]
async fn a_stopped_node_answers_all_that_it_has_read() {
    let (_site, proxy, node) = start(GRACE_MS).await;
    let answers = submit_held(&proxy, &node).await;
    node.stop.cancel();
    let answers = answers.await.unwrap();
    assert_eq!(count_missing(&answers), 0, "requests without an answer, of {CALLERS}");
    let is_unknown = |answer: &Option<StatusCode>| *answer == Some(StatusCode::GATEWAY_TIMEOUT);
    assert!(answers.iter().all(is_unknown), "the writes may still be done: {answers:?}");
}

/// The same while the node's event loop stands still: the store has answered by then.
#[tokio::test]
async fn a_stopped_node_that_pauses_answers_what_it_has_read() {
    const PAUSE: Duration = Duration::from_millis(1_000);
    let (_site, proxy, node) = start(GRACE_MS).await;
    let answers = submit_held(&proxy, &node).await;
    node.stop.cancel();
    wait_for("the node to stop listening", async || (!node.listens().await).then_some(())).await;
    node.runtime.spawn(async { thread::sleep(PAUSE) });
    proxy.holds.send_replace(false);
    let answers = answers.await.unwrap();
    assert_eq!(count_missing(&answers), 0, "requests without an answer, of {CALLERS}");
}

/// A busy node notices the signal late, and the platform ends the process by its own clock.
#[test]
fn a_node_that_notices_the_stop_signal_late_answers_within_the_grace_time() {
    const LATENESS: Duration = Duration::from_millis(1_000);
    const SENDING: Duration = Duration::from_millis(500);
    let grace = Duration::from_millis(GRACE_MS);
    let StopTimes { unlisten, answer } = StopTimes::within(grace);
    assert!(LATENESS + answer + SENDING <= grace, "{answer:?}");
    assert!(Duration::from_secs(2) <= unlisten, "callers come until two probes have failed");
    for grace_ms in 1_000..20_000 {
        let grace = Duration::from_millis(grace_ms);
        let StopTimes { unlisten, answer } = StopTimes::within(grace);
        assert!(unlisten < answer && answer < grace, "{grace:?}: {unlisten:?}, {answer:?}");
    }
}

/// Guards against relayed requests that end without an answer at a node without callers.
#[tokio::test]
async fn a_stopped_node_answers_the_requests_that_were_relayed_to_it() {
    let (site, proxy, node) = start(GRACE_MS).await;
    let kv = Kv::new(&site.address, Duration::from_secs(5), |_, _, _| {});
    let secret = NodeSecret::random();
    let record = encode(&json!({ "cpu": 500, "secret": secret }));
    kv.commit(&Txn::default().put(keys::node("two"), record)).await.unwrap();
    let (path, body) = (format!("/{QUEUE}/{}", JobId::from_number(1)), job());
    let relay = async || {
        let proof = Proof {
            node: "two".to_owned(),
            config: 1,
            key: None,
            sent: Time::now(),
            body: digest_of(body.as_bytes()),
        };
        let proof = proof.sign(&secret, Covered { method: "POST", host: HOST, path: &path });
        let request = node.client.post(format!("http://{}{path}", node.peers));
        let request = request.header("Host", HOST).header("Deadline-Ms", DEADLINE_MS);
        request.header(RELAYED_HEADER, proof).body(body.clone()).send().await
    };
    proxy.holds.send_replace(true);
    // The node may not have heard of the other one yet.
    let relayed = async {
        loop {
            match relay().await {
                Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {}
                answer => return answer.map(|answer| answer.status()),
            }
        }
    };
    let stopped = async {
        proxy.held.subscribe().wait_for(|held| *held != 0).await.unwrap();
        node.stop.cancel();
    };
    let (answer, ()) = tokio::join!(relayed, stopped);
    assert!(answer.is_ok(), "{answer:?}");
}
