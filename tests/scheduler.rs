//! Callers' view of scheduler nodes of the real binary that run against the stand-in site.

#[path = "common/ports.rs"]
mod ports;

use std::{
    fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hmac::{Hmac, KeyInit, Mac};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use ports::{free_address, probe};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::{
    io::copy_bidirectional,
    net::TcpStream,
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// How long a test waits for a condition before it fails; test results depend on time in no other
/// way.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
const HOST: &str = "shop.example";

/// A process of the binary, killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Node {
    process: Process,
    callers: String,
    readiness: String,
    metrics: String,
    peers: String,
}

/// Settings that differ between nodes.
struct NodeOptions<'a> {
    /// Address of the store.
    store: &'a str,
    /// Processor time, in cores.
    cores: f64,
    /// How many nodes hold a full view.
    replicas: u32,
    zone: &'a str,
    /// How many zones may be lost.
    tolerated_losses: u32,
}

struct Site {
    _process: Process,
    address: String,
    client: Client,
    dir: PathBuf,
}

fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_caperhollow"))
}

async fn wait_until<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        sleep(POLL_INTERVAL).await;
    }
}

impl Site {
    async fn start(name: &str, workers: u32) -> Site {
        Site::start_with(name, workers, &[]).await
    }

    async fn start_with(name: &str, workers: u32, args: &[&str]) -> Site {
        let mut child = binary()
            .args(["standin", "site", "--listen", "127.0.0.1:0"])
            .args(["--workers", &workers.to_string()])
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut ready = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut ready).unwrap();
        let address = ready.trim().rsplit(' ').next().unwrap().to_owned();
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("scheduler-{name}"));
        fs::create_dir_all(&dir).unwrap();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(8)).build().unwrap();
        let site = Site { _process: Process(child), address, client, dir };
        site.configure(1, &["/quotes/"]).await;
        site
    }

    async fn configure(&self, version: u64, prefixes: &[&str]) {
        let routes: Vec<Value> = prefixes
            .iter()
            .map(|prefix| {
                json!({
                    "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix,
                    "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
                    "priority": 0, "service": "work", "max_attempts": 3, "stretch": 1.6,
                })
            })
            .collect();
        let services = json!([{ "name": "work", "admission_check": true, "headroom": false }]);
        let config = json!({ "version": version, "routes": routes, "services": services });
        let url = format!("http://{}/put?op/config", self.address);
        let answer = self.client.post(url).body(config.to_string()).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    async fn set_faults(&self, faults: Value) {
        let url = format!("http://{}/faults", self.address);
        let answer = self.client.post(url).json(&faults).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    /// Makes workers drop orders whose fencing token is in a range.
    async fn drop_orders(&self, dropped_orders: Value) {
        let url = format!("http://{}/unheard", self.address);
        let answer = self.client.post(url).json(&dropped_orders).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    /// How many orders with a fencing token a worker has received.
    async fn received_orders(&self, worker: u64, token: u64) -> u64 {
        let url = format!("http://{}/heard", self.address);
        let all: Value = self.client.get(url).send().await.unwrap().json().await.unwrap();
        let mut all = all.as_array().unwrap().iter();
        let entry = all.find(|one| one["worker"] == json!(worker) && one["token"] == json!(token));
        entry.map_or(0, |one| one["orders"].as_u64().unwrap())
    }

    /// The fencing token of the pool's owner.
    async fn token(&self) -> Option<u64> {
        let url = format!("http://{}/-/kv-key", self.address);
        let query = [("private_key", "ch/work/pool-work/owner")];
        let answer = self.client.get(url).query(&query).send().await.unwrap();
        answer.json::<Value>().await.ok()?["revision"].as_u64()
    }

    /// Sets the faults of a worker.
    async fn set_worker_faults(&self, worker: u64, worker_faults: Value) {
        let url = format!("http://{}/trouble?{worker}", self.address);
        let answer = self.client.post(url).json(&worker_faults).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    async fn run_counts(&self) -> Value {
        let url = format!("http://{}/counted", self.address);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    async fn node(&self, name: &str) -> Node {
        self.node_with_store(name, &self.address).await
    }

    /// Starts a node that reaches the store at the given address.
    async fn node_with_store(&self, name: &str, store: &str) -> Node {
        self.node_with_options(name, NodeOptions { store, ..self.options() }).await
    }

    /// The default options of a node.
    fn options(&self) -> NodeOptions<'_> {
        let (zone, tolerated_losses) = ("hall-a", 0);
        NodeOptions { store: &self.address, cores: 1.0, replicas: 12, zone, tolerated_losses }
    }

    /// Starts three nodes with so little processor time that the owner of the pool delegates its
    /// calls to workers to the nodes that own nothing.
    async fn small_nodes(&self) -> Vec<Node> {
        let mut nodes = Vec::new();
        for name in ["one", "two", "three"] {
            nodes.push(
                self.node_with_options(name, NodeOptions { cores: 0.001, ..self.options() }).await,
            );
        }
        nodes
    }

    /// Indexes of the nodes to which the owner has opened a link for its orders.
    fn delegates(&self) -> Vec<usize> {
        let log = |name: &&str| fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap();
        let names = ["one", "two", "three"];
        let opened = |name: &&str| log(name).contains("orders: link opened");
        names.iter().enumerate().filter(|(_, name)| opened(name)).map(|(index, _)| index).collect()
    }

    async fn node_with_options(&self, name: &str, options: NodeOptions<'_>) -> Node {
        let NodeOptions { store, cores, replicas, zone, tolerated_losses } = options;
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let settings = json!({
            "node": name, "zone": zone, "cpu_cores": cores, "replicas": replicas,
            "zones": { "tolerated_losses": tolerated_losses },
            "listen": {
                "callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers,
            },
            "platform": { "store": store, "hosts": self.address },
            "stop": { "grace_ms": 3000 },
        });
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, format!("// Of a test.\n{settings}")).unwrap();
        let log = fs::File::create(self.dir.join(format!("{name}.log"))).unwrap();
        let child =
            binary().arg("schedule").arg("--settings").arg(&path).stdout(log).spawn().unwrap();
        let mut node = Node { process: Process(child), callers, readiness, metrics, peers };
        wait_until("readiness", async || {
            let ended = node.process.0.try_wait().unwrap();
            assert!(ended.is_none(), "node {name} has ended: {ended:?}");
            self.is_ready(&node).await.then_some(())
        })
        .await;
        node
    }

    async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("http://{}/-/ready", node.readiness);
        self.client.get(url).send().await.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    async fn submit(&self, node: &Node, id: &str, job: &Value) -> StatusCode {
        let url = format!("http://{}/quotes/{id}", node.callers);
        let request = self.client.post(url).header("Host", HOST).json(job);
        request.send().await.unwrap().status()
    }

    async fn state(&self, node: &Node, id: &str) -> Option<String> {
        let url = format!("http://{}/quotes/{id}", node.callers);
        let answer = self.client.get(url).header("Host", HOST).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return Some(answer.status().as_u16().to_string());
        }
        let body: Value = answer.json().await.ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    async fn pending(&self, node: &Node) -> Option<u64> {
        let url = format!("http://{}/quotes/", node.callers);
        let answer = self.client.get(url).header("Host", HOST).send().await.ok()?;
        answer.json::<Value>().await.ok()?["pending"].as_u64()
    }

    async fn wait_for_state(&self, node: &Node, id: &str, wanted: &str) {
        let what = format!("job {id} {wanted}");
        wait_until(&what, async || (self.state(node, id).await? == wanted).then_some(())).await;
    }
}

/// A proxy to the store that can be closed.
struct Gate {
    address: String,
    closed: watch::Sender<bool>,
}

impl Gate {
    async fn in_front_of(address: &str) -> Gate {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let own_address = listener.local_addr().unwrap().to_string();
        let (closed, mut is_closed) = watch::channel(false);
        let upstream = address.to_owned();
        tokio::spawn(async move {
            while let Ok((mut caller, _)) = listener.accept().await {
                if *is_closed.borrow_and_update() {
                    continue;
                }
                let (upstream, mut is_closed) = (upstream.clone(), is_closed.clone());
                tokio::spawn(async move {
                    let mut store = TcpStream::connect(upstream).await.unwrap();
                    tokio::select! {
                        _ = copy_bidirectional(&mut caller, &mut store) => {}
                        _ = is_closed.wait_for(|closed| *closed) => {}
                    }
                });
            }
        });
        Gate { address: own_address, closed }
    }
}

fn two_step_job() -> Value {
    json!({
        "spec": "300",
        "steps": [
            { "count": 3, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300 },
            { "count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300, "since_revision": [0] },
        ],
    })
}

#[tokio::test]
async fn a_job_submitted_twice_runs_once_and_is_visible_on_every_node() {
    let site = Site::start("once", 3).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    let id = "00000000000000a1";
    assert_eq!(site.submit(&one, id, &two_step_job()).await, StatusCode::OK);
    assert_eq!(site.submit(&two, id, &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&two, id, "succeeded").await;
    site.wait_for_state(&one, id, "succeeded").await;
    let run_counts = site.run_counts().await;
    assert_eq!((&run_counts["twice"], &run_counts["starts"]), (&json!(0), &json!(5)));
    assert_eq!(site.state(&two, "00000000000000ff").await.unwrap(), "410");
}

/// A worker that restarts under its identifier numbers the ends of its runs from 1 again.
#[tokio::test]
async fn a_finished_task_does_not_run_again_after_its_worker_restarts_under_its_id() {
    let site = Site::start_with("again", 1, &["--keep-ids"]).await;
    let node = site.node("one").await;
    for id in ["00000000000000a1", "00000000000000a2"] {
        assert_eq!(site.submit(&node, id, &two_step_job()).await, StatusCode::OK);
        site.wait_for_state(&node, id, "succeeded").await;
    }
    assert_eq!(site.run_counts().await["starts"], json!(10));
    site.set_worker_faults(0, json!({ "crash_ms": 600 })).await;
    for id in ["00000000000000b1", "00000000000000b2"] {
        assert_eq!(site.submit(&node, id, &two_step_job()).await, StatusCode::OK);
        site.wait_for_state(&node, id, "succeeded").await;
    }
    let run_counts = site.run_counts().await;
    assert_eq!(
        (&run_counts["starts"], &run_counts["done"]),
        (&json!(20), &json!(20)),
        "{run_counts}"
    );
}

#[tokio::test]
async fn jobs_survive_the_loss_of_the_node_that_owns_them() {
    let site = Site::start("kill", 3).await;
    let (mut one, two) = (site.node("one").await, site.node("two").await);
    let ids: Vec<String> = (1..9).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        assert_eq!(site.submit(&two, id, &two_step_job()).await, StatusCode::OK);
    }
    // One of the two kills hits the owner of the pool.
    one.process.0.kill().unwrap();
    one.process.0.wait().unwrap();
    for id in &ids {
        site.wait_for_state(&two, id, "succeeded").await;
    }
    let three = site.node("three").await;
    drop(two);
    let last = "00000000000000aa";
    assert_eq!(site.submit(&three, last, &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&three, last, "succeeded").await;
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

#[tokio::test]
async fn cancelled_and_failed_jobs_are_reported_as_such() {
    let site = Site::start("ends", 2).await;
    let node = site.node("one").await;
    let long_running =
        json!({ "spec": "600000", "steps": [{ "count": 2, "cpu": 100, "long_running": true }] });
    assert_eq!(site.submit(&node, "00000000000000b1", &long_running).await, StatusCode::OK);
    site.wait_for_state(&node, "00000000000000b1", "running").await;
    let url = format!("http://{}/quotes/00000000000000b1", node.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    site.wait_for_state(&node, "00000000000000b1", "cancelled").await;
    let failing_job = json!({ "spec": "fail 50", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.submit(&node, "00000000000000b2", &failing_job).await, StatusCode::OK);
    site.wait_for_state(&node, "00000000000000b2", "failed").await;
}

#[tokio::test]
async fn a_job_refused_during_a_store_outage_does_not_run() {
    let site = Site::start("down", 2).await;
    let node = site.node("one").await;
    site.set_faults(json!({ "store_down": true })).await;
    let id = "00000000000000c1";
    assert_eq!(site.submit(&node, id, &two_step_job()).await, StatusCode::SERVICE_UNAVAILABLE);
    site.set_faults(json!({})).await;
    wait_until("readiness", async || site.is_ready(&node).await.then_some(())).await;
    assert_eq!(site.state(&node, id).await.unwrap(), "410");
    assert_eq!(site.submit(&node, id, &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&node, id, "succeeded").await;
    assert_eq!(site.run_counts().await["starts"], json!(5));
}

#[tokio::test]
async fn a_job_whose_write_is_unanswered_is_not_reported_as_refused() {
    let site = Site::start("lost", 2).await;
    let node = site.node("one").await;
    site.set_faults(json!({ "store_lost": true })).await;
    let id = "00000000000000d1";
    let status = site.submit(&node, id, &two_step_job()).await;
    assert!(status == StatusCode::GATEWAY_TIMEOUT || status == StatusCode::OK, "{status}");
    site.set_faults(json!({})).await;
    site.wait_for_state(&node, id, "succeeded").await;
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

/// The store still answers calls while its watches are silent: accepted jobs must begin.
#[tokio::test]
async fn a_job_begins_though_the_watches_of_the_store_have_fallen_silent() {
    let site = Site::start("silent", 2).await;
    let nodes = [site.node("one").await, site.node("two").await];
    assert_eq!(site.submit(&nodes[0], "00000000000000a1", &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&nodes[0], "00000000000000a1", "succeeded").await;
    site.set_faults(json!({ "store_watches_silent": true })).await;
    // One of the nodes does not own the pool.
    for (node, id) in nodes.iter().zip(["00000000000000b1", "00000000000000b2"]) {
        assert_eq!(site.submit(node, id, &two_step_job()).await, StatusCode::OK);
        site.wait_for_state(node, id, "succeeded").await;
    }
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

/// A node that cannot reach the store relays its callers' requests to another node: submitted
/// jobs are persisted, states are current, and cancellations take effect.
#[tokio::test]
async fn a_node_cut_off_from_the_store_relays_requests() {
    let site = Site::start("relay", 3).await;
    let gate = Gate::in_front_of(&site.address).await;
    let (one, two) = (site.node_with_store("one", &gate.address).await, site.node("two").await);
    let long_running =
        json!({ "spec": "600000", "steps": [{ "count": 1, "cpu": 100, "long_running": true }] });
    assert_eq!(site.submit(&one, "00000000000000a1", &long_running).await, StatusCode::OK);
    // By then the node knows the other one.
    site.wait_for_state(&one, "00000000000000a1", "running").await;
    gate.closed.send_replace(true);
    wait_until("the end of its lease", async || (!site.is_ready(&one).await).then_some(())).await;
    assert_eq!(site.submit(&one, "00000000000000a2", &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&one, "00000000000000a2", "succeeded").await;
    let url = format!("http://{}/quotes/00000000000000a1", one.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    site.wait_for_state(&two, "00000000000000a1", "cancelled").await;
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

/// A node that reaches neither the store nor another node accepts nothing: callers hear so at once
/// once it knows, and that their request was not carried out.
#[tokio::test]
async fn a_node_that_is_cut_off_from_everything_refuses_at_once() {
    let site = Site::start("cut-off", 2).await;
    let gate = Gate::in_front_of(&site.address).await;
    let options = || NodeOptions { tolerated_losses: 1, ..site.options() };
    let one =
        site.node_with_options("one", NodeOptions { store: &gate.address, ..options() }).await;
    let two = site.node_with_options("two", NodeOptions { zone: "hall-b", ..options() }).await;
    let id = |number: u64| format!("{number:016x}");
    assert_eq!(site.submit(&one, &id(1), &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&one, &id(1), "succeeded").await;
    let starts = site.run_counts().await["starts"].clone();
    drop(two);
    gate.closed.send_replace(true);
    let cut = Instant::now();
    let mut number = 1;
    wait_until("the node to be unready", async || {
        number += 1;
        let status = site.submit(&one, &id(number), &two_step_job()).await;
        assert!(status.is_server_error(), "{status} {:?} after the cut", cut.elapsed());
        (!site.is_ready(&one).await).then_some(())
    })
    .await;
    let unready = cut.elapsed();
    let mut slowest = Duration::ZERO;
    for number in 1_000..1_050 {
        let url = format!("http://{}/quotes/{}", one.callers, id(number));
        let sent = Instant::now();
        let request = site.client.post(url).header("Host", HOST).json(&two_step_job());
        let answer = request.send().await.unwrap();
        slowest = slowest.max(sent.elapsed());
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("Retry-After"));
    }
    eprintln!("cut off: not ready after {unready:?}; slowest refusal {slowest:?}");
    gate.closed.send_replace(false);
    wait_until("readiness", async || site.is_ready(&one).await.then_some(())).await;
    assert_eq!(site.submit(&one, &id(1), &two_step_job()).await, StatusCode::OK);
    assert_eq!(site.run_counts().await["starts"], starts, "a refused job was run");
}

/// The pool starts tasks again after the loss of any zone.
#[tokio::test]
async fn a_pool_starts_tasks_again_after_the_loss_of_any_zone() {
    let zones = ["hall-a", "hall-b", "hall-c"];
    for lost in zones {
        let site = Site::start(&format!("zone-{lost}"), 3).await;
        let mut nodes = Vec::new();
        for (number, zone) in zones.iter().chain(&zones).enumerate() {
            let options = NodeOptions { zone, tolerated_losses: 1, ..site.options() };
            nodes.push((*zone, site.node_with_options(&format!("n{number}"), options).await));
        }
        let first = "00000000000000d1";
        assert_eq!(site.submit(&nodes[0].1, first, &two_step_job()).await, StatusCode::OK);
        site.wait_for_state(&nodes[0].1, first, "succeeded").await;
        let token = site.token().await;
        for (_, node) in nodes.iter_mut().filter(|(zone, _)| *zone == lost) {
            node.process.0.kill().unwrap();
        }
        let killed = Instant::now();
        nodes.retain(|(zone, _)| *zone != lost);
        let starts = site.run_counts().await["starts"].as_u64().unwrap();
        let mut number = 0xe000;
        wait_until("a task to start", async || {
            number += 1;
            let id = format!("{number:016x}");
            // The node may only hear of the loss by an unanswered call.
            let _ = site.submit(&nodes[0].1, &id, &two_step_job()).await;
            (starts < site.run_counts().await["starts"].as_u64().unwrap()).then_some(())
        })
        .await;
        let took = killed.elapsed();
        let owner_lost = site.token().await != token;
        eprintln!("{lost} lost: tasks start after {took:?}, owner lost: {owner_lost}");
        site.wait_for_state(&nodes[0].1, &format!("{:016x}", 0xe001), "succeeded").await;
        assert_eq!(site.run_counts().await["twice"], json!(0));
    }
}

/// The proof with which the node `peer` relays a `GET` of a job without a key, by a version of the
/// configuration.
fn proof(secret: &[u8; 32], version: u64, path: &str) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let (sent, body) = (since.as_millis() as u64, Sha256::digest([]));
    let mut code = Hmac::<Sha256>::new_from_slice(secret).unwrap();
    let (version_bytes, sent_bytes) = (version.to_be_bytes(), sent.to_be_bytes());
    let parts: [&[u8]; 8] = [
        b"peer",
        &version_bytes,
        b"",
        &sent_bytes,
        &body,
        b"GET",
        HOST.as_bytes(),
        path.as_bytes(),
    ];
    for part in parts {
        code.update(&(part.len() as u64).to_be_bytes());
        code.update(part);
    }
    let code = hex(&code.finalize().into_bytes());
    format!("peer {version} - {sent} {} {code}", hex(&body))
}

/// A node refuses a relayed request if its configuration is older than that of the sender, and any
/// that no node has signed.
#[tokio::test]
async fn a_relayed_request_is_refused_by_a_node_with_an_older_configuration() {
    let site = Site::start("older", 1).await;
    let node = site.node("one").await;
    let secret = [7; 32];
    let record = json!({ "cpu": 1, "secret": "07".repeat(32) });
    let url = format!("http://{}/put?ch/node/peer", site.address);
    site.client.post(url).json(&record).send().await.unwrap();
    let path = "/quotes/00000000000000a1";
    let ask = async |header: String| {
        let request = site.client.get(format!("http://{}{path}", node.peers));
        let request = request.header("Host", HOST).header("Caperhollow-Relayed", header);
        request.send().await.unwrap().status()
    };
    wait_until("the peer to be known", async || {
        (ask(proof(&secret, 1, path)).await == StatusCode::GONE).then_some(())
    })
    .await;
    assert_eq!(ask(proof(&secret, 2, path)).await, StatusCode::SERVICE_UNAVAILABLE);
    for unsigned in ["1".to_owned(), "2".to_owned(), proof(&[8; 32], 1, path)] {
        assert_eq!(ask(unsigned.clone()).await, StatusCode::SERVICE_UNAVAILABLE, "{unsigned}");
    }
}

/// A node without a full view answers its callers from the store, and acquires a full view once the
/// nodes that had one have ended.
#[tokio::test]
async fn a_node_without_a_full_view_answers_from_the_store_and_takes_over() {
    let site = Site::start("little", 3).await;
    let mut one =
        site.node_with_options("one", NodeOptions { replicas: 1, ..site.options() }).await;
    let two = site
        .node_with_options("two", NodeOptions { cores: 0.5, replicas: 1, ..site.options() })
        .await;
    let id = "00000000000000a1";
    assert_eq!(site.state(&two, id).await.unwrap(), "410");
    assert_eq!(site.submit(&two, id, &two_step_job()).await, StatusCode::OK);
    assert_eq!(site.submit(&two, id, &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&two, id, "succeeded").await;
    let oversized_job = json!({ "spec": "1", "steps": [{ "count": 1, "cpu": 900_000_000 }] });
    assert_eq!(site.submit(&two, "00000000000000a2", &oversized_job).await, StatusCode::OK);
    assert_eq!(site.state(&two, "00000000000000a2").await.unwrap(), "queued");
    for node in [&one, &two] {
        wait_until("a job that waits", async || (site.pending(node).await? == 1).then_some(()))
            .await;
    }
    let url = format!("http://{}/quotes/00000000000000a2", two.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    for node in [&one, &two] {
        site.wait_for_state(node, "00000000000000a2", "cancelled").await;
    }
    let log = || fs::read_to_string(site.dir.join("two.log")).unwrap();
    assert!(!log().contains("hears of everything"), "only one node should hold a full view");
    one.process.0.kill().unwrap();
    one.process.0.wait().unwrap();
    assert_eq!(site.submit(&two, "00000000000000a3", &two_step_job()).await, StatusCode::OK);
    site.wait_for_state(&two, "00000000000000a3", "succeeded").await;
    assert!(log().contains("hears of everything"));
    assert_eq!(site.state(&two, id).await.unwrap(), "succeeded");
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

/// An owner with too little processor time has delegates make its calls. A delegate that is killed,
/// or goes silent without closing its connections, must cause no lost job and no second run.
#[tokio::test]
async fn other_nodes_make_an_owners_calls_and_may_fall_silent() {
    let site = Site::start("delegates", 4).await;
    let nodes = site.small_nodes().await;
    let ids: Vec<String> = (1..20).map(|n| format!("{n:016x}")).collect();
    let delegate = wait_until("an order by way of another node", async || {
        site.submit(&nodes[0], &ids[0], &two_step_job()).await;
        site.delegates().first().copied()
    })
    .await;
    let submitted_to = &nodes[(delegate + 1) % nodes.len()];
    let signal =
        |signal| kill(Pid::from_raw(nodes[delegate].process.0.id() as i32), signal).unwrap();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(site.submit(submitted_to, id, &two_step_job()).await, StatusCode::OK);
        match n {
            4 => signal(Signal::SIGSTOP),
            9 => signal(Signal::SIGCONT),
            14 => signal(Signal::SIGKILL),
            _ => {}
        }
        site.wait_for_state(submitted_to, id, "succeeded").await;
    }
    assert_eq!(site.run_counts().await["twice"], json!(0));
}

/// A process that resumes after a pause longer than its lease and the waits of later owners gets a
/// new lease within a millisecond, while its failed watches back off for 150 ms. Until a watch
/// reports the later owner, the node must send no orders from its stale view: runs that have
/// lapsed at a worker that never received the later token run elsewhere by then.
#[tokio::test]
async fn an_owner_paused_past_its_lease_sends_no_orders_after_it_resumes() {
    let site = Site::start("still", 2).await;
    let last = u64::MAX;
    site.drop_orders(json!([{ "worker": 1, "from": 0, "to": last }])).await;
    let one = site.node("one").await;
    let task = json!({ "spec": "600000", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.submit(&one, "00000000000000a1", &task).await, StatusCode::OK);
    site.wait_for_state(&one, "00000000000000a1", "running").await;
    let token = site.token().await.unwrap();
    let dropped_orders = json!([
        { "worker": 0, "from": token + 1, "to": last }, { "worker": 1, "from": 0, "to": token },
    ]);
    site.drop_orders(dropped_orders).await;
    let signal = |signal| kill(Pid::from_raw(one.process.0.id() as i32), signal).unwrap();
    signal(Signal::SIGSTOP);
    let _two = site.node("two").await;
    wait_until("the second start of the task", async || {
        (site.run_counts().await["starts"] == json!(2)).then_some(())
    })
    .await;
    let before = site.received_orders(0, token).await;
    signal(Signal::SIGCONT);
    let log = || fs::read_to_string(site.dir.join("one.log")).unwrap();
    let (given_up, over) = (format!("given up: token {token}"), format!("token {token} is over"));
    wait_until("the end of the ownership", async || {
        let log = log();
        (log.contains(&given_up) || log.contains(&over)).then_some(())
    })
    .await;
    wait_until("its readiness", async || site.is_ready(&one).await.then_some(())).await;
    // The end of a second job is reported through the later owner.
    let short = json!({ "spec": "50", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.submit(&one, "00000000000000a2", &short).await, StatusCode::OK);
    site.wait_for_state(&one, "00000000000000a2", "succeeded").await;
    let run_counts = site.run_counts().await;
    assert_eq!((&run_counts["twice"], &run_counts["starts"]), (&json!(0), &json!(3)));
    // One order may have been in flight inside the process when it was paused.
    let late_orders = site.received_orders(0, token).await - before;
    assert!(late_orders <= 1, "{late_orders} orders with token {token} after its owner was paused");
}

/// An owner that shuts down leaves a handover record of the tasks that may run. A waiting job then
/// begins under the next owner at a worker that answers, although another worker, which may run a
/// task of an earlier job, does not. Without the record no waiting job begins before the new owner
/// reports that all other runs have lapsed.
#[tokio::test]
async fn a_waiting_job_begins_promptly_after_its_owner_shuts_down() {
    let site = Site::start("given", 2).await;
    let last = u64::MAX;
    site.drop_orders(json!([{ "worker": 1, "from": 0, "to": last }])).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    let (long_id, waiting_id) = ("00000000000000a1", "00000000000000a2");
    let full_worker_job =
        |spec: &str| json!({ "spec": spec, "steps": [{ "count": 1, "cpu": 8_000 }] });
    assert_eq!(site.submit(&one, long_id, &full_worker_job("600000")).await, StatusCode::OK);
    site.wait_for_state(&one, long_id, "running").await;
    assert_eq!(site.submit(&one, waiting_id, &full_worker_job("50")).await, StatusCode::OK);
    let token = site.token().await.unwrap();
    let dropped_orders = json!([
        { "worker": 0, "from": token + 1, "to": last }, { "worker": 1, "from": 0, "to": token },
    ]);
    site.drop_orders(dropped_orders).await;
    let log = |name: &str| fs::read_to_string(site.dir.join(format!("{name}.log"))).unwrap();
    let names = ["one", "two"];
    let owns = |name: &&str| log(name).contains(&format!("taken up: token {token}"));
    let index = names.iter().position(owns).unwrap();
    let (earlier_owner, next) = if index == 0 { (&one, &two) } else { (&two, &one) };
    kill(Pid::from_raw(earlier_owner.process.0.id() as i32), Signal::SIGTERM).unwrap();
    site.wait_for_state(next, waiting_id, "succeeded").await;
    assert!(log(names[index]).contains(&format!("given back: token {token}, 1 tasks may run")));
    let next_log = log(names[1 - index]);
    let ended = next_log.find(&format!("job {waiting_id}: succeeded")).unwrap();
    let clear = next_log.find("starts tasks of earlier jobs").unwrap_or(usize::MAX);
    assert!(ended < clear, "the job waited until all other runs had lapsed");
    let run_counts = site.run_counts().await;
    assert_eq!((&run_counts["twice"], &run_counts["starts"]), (&json!(0), &json!(2)));
}

/// Guards against a node that is not listed for as long as its lease lasts: the removal of its
/// record by its previous process was carried out late.
#[tokio::test]
async fn a_restarted_node_stays_listed_though_its_previous_process_is_removed_late() {
    const LATE: Duration = Duration::from_millis(5_000);
    let site = Site::start("listed", 1).await;
    let is_listed = async || {
        let url = format!("http://{}/-/kv-key", site.address);
        let query = [("private_key", "ch/node/one")];
        let answer = site.client.get(url).query(&query).send().await.unwrap();
        (answer.status() == StatusCode::OK).then_some(())
    };
    let mut first = site.node("one").await;
    wait_until("the node to be listed", is_listed).await;
    site.set_faults(json!({ "store_late_ms": LATE.as_millis() as u64 })).await;
    let stopped = Instant::now();
    kill(Pid::from_raw(first.process.0.id() as i32), Signal::SIGTERM).unwrap();
    assert!(first.process.0.wait().unwrap().success());
    site.set_faults(json!({})).await;
    let _next = site.node("one").await;
    wait_until("the node to be listed again", is_listed).await;
    assert!(stopped.elapsed() < LATE, "the removal has been carried out already");
    sleep(LATE - stopped.elapsed() + Duration::from_millis(500)).await;
    let listed = wait_until("the node to be listed after the late removal", is_listed);
    assert!(timeout(Duration::from_secs(10), listed).await.is_ok(), "the node is not listed");
}

/// When no node reaches the store, requests are not relayed in a loop.
#[tokio::test]
async fn nodes_refuse_requests_when_none_reaches_the_store() {
    let site = Site::start("nobody", 2).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    site.set_faults(json!({ "store_down": true })).await;
    for node in [&one, &two] {
        wait_until("the end of its lease", async || (!site.is_ready(node).await).then_some(()))
            .await;
        let id = "00000000000000c1";
        assert_eq!(site.submit(node, id, &two_step_job()).await, StatusCode::SERVICE_UNAVAILABLE);
    }
    site.set_faults(json!({})).await;
    wait_until("readiness", async || site.is_ready(&one).await.then_some(())).await;
    assert_eq!(site.run_counts().await["starts"], json!(0));
}

#[tokio::test]
async fn configuration_changes_add_and_remove_queues() {
    let site = Site::start("config", 1).await;
    let node = site.node("one").await;
    site.configure(5, &["/quotes/", "/stock/"]).await;
    let ask = async |prefix: &str| {
        let url = format!("http://{}{prefix}", node.callers);
        site.client.get(url).header("Host", HOST).send().await.unwrap().status()
    };
    wait_until("the new queue", async || (ask("/stock/").await == StatusCode::OK).then_some(()))
        .await;
    site.set_faults(json!({ "store_compact": true })).await;
    site.configure(9, &["/quotes/"]).await;
    let queue_removed = async || (ask("/stock/").await == StatusCode::NOT_FOUND).then_some(());
    wait_until("the removal of the queue", queue_removed).await;
    assert_eq!(ask("/quotes/").await, StatusCode::OK);
}

/// A node on a slow link, disconnected while large configurations followed one another, requested
/// the whole history repeatedly and never applied the newest one.
#[tokio::test]
async fn a_node_that_missed_many_configurations_applies_the_newest() {
    let site = Site::start("missed", 1).await;
    let node = site.node("one").await;
    let ask = async |prefix: &str| {
        let url = format!("http://{}{prefix}", node.callers);
        site.client.get(url).header("Host", HOST).send().await.unwrap().status()
    };
    site.set_faults(json!({ "store_down": true })).await;
    // Wait for the open watch to end.
    wait_until("the loss of the watch", async || {
        let log = fs::read_to_string(site.dir.join("one.log")).unwrap();
        log.contains("watch of op/ lost").then_some(())
    })
    .await;
    for version in 5..10 {
        site.configure(version, &["/quotes/"]).await;
    }
    site.configure(11, &["/quotes/", "/stock/"]).await;
    site.set_faults(json!({ "store_long_history": true })).await;
    wait_until("the new queue", async || (ask("/stock/").await == StatusCode::OK).then_some(()))
        .await;
}

#[tokio::test]
async fn a_node_that_shuts_down_turns_unready_first_and_still_accepts_jobs() {
    let site = Site::start("end", 2).await;
    let mut node = site.node("one").await;
    let page = site.client.get(format!("http://{}/metrics", node.metrics)).send().await.unwrap();
    assert!(page.text().await.unwrap().contains("caperhollow_store_calls_total"));
    kill(Pid::from_raw(node.process.0.id() as i32), Signal::SIGHUP).unwrap();
    kill(Pid::from_raw(node.process.0.id() as i32), Signal::SIGTERM).unwrap();
    wait_until("the node to turn unready", async || (!site.is_ready(&node).await).then_some(()))
        .await;
    let id = "00000000000000e1";
    assert_eq!(site.submit(&node, id, &two_step_job()).await, StatusCode::OK);
    assert!(node.process.0.wait().unwrap().success());
    let next = site.node("two").await;
    site.wait_for_state(&next, id, "succeeded").await;
}

/// A forked process holds a duplicate of every socket until its exec.
#[test]
fn an_address_is_usable_while_a_duplicate_of_its_probe_socket_is_open() {
    let address = free_address();
    let duplicate = probe(address.parse().unwrap()).unwrap();
    let listener = std::net::TcpListener::bind(&address).unwrap();
    assert!(probe(address.parse().unwrap()).is_err(), "somebody listens there");
    drop((duplicate, listener));
}

#[test]
fn invalid_settings_are_reported_with_their_fields() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong-scheduler.json");
    fs::write(&path, "{ \"node\": \"n\", \"zone\": \"z\", \"listen\": {}, \"else\": 1 }").unwrap();
    let output = binary().arg("schedule").arg("--settings").arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for field in ["listen.callers", "platform", "else"] {
        assert!(text.contains(field), "{field} is missing in: {text}");
    }
}

/// Workers in three zones, as the status of a node lists them.
#[tokio::test]
async fn the_zones_are_listed_by_a_node() {
    let site = Site::start_with("status", 6, &["--zones", "3"]).await;
    let node = site.node("one").await;
    let zones = wait_until("zones whose workers respond", async || {
        let status = binary()
            .args(["status", "zones", "--format", "json", "--node", &node.metrics])
            .output()
            .unwrap();
        assert!(status.status.success(), "{}", String::from_utf8_lossy(&status.stderr));
        let rows: Value = serde_json::from_slice(&status.stdout).unwrap();
        let zones = rows["zones"].as_array().unwrap().clone();
        zones.iter().all(|zone| zone["responding"] == 2).then_some(zones).filter(|z| z.len() == 3)
    })
    .await;
    let names: Vec<&str> = zones.iter().filter_map(|zone| zone["zone"].as_str()).collect();
    assert_eq!(names, ["hall-a", "hall-b", "hall-c"]);
    assert!(zones.iter().all(|zone| zone["hosts"] == 2 && zone["workers"] == 2), "{zones:?}");
}
