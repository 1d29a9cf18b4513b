//! Scheduler nodes of the real binary against the stand-in site, as callers see them.

#[path = "common/ports.rs"]
mod ports;

use std::{
    fs,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use ports::{free_address, probe};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::copy_bidirectional,
    net::TcpStream,
    sync::watch,
    time::{Instant, sleep},
};

/// How long anything may take before a test gives up. No test passes or fails by time otherwise.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(30);
const HOST: &str = "shop.example";

/// A process of the binary, killed by its id when it is dropped.
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

/// What differs between nodes.
struct Shape<'a> {
    /// Where the store is reached.
    store: &'a str,
    /// Processor time.
    cores: f64,
    /// Nodes that hear of everything.
    replicas: u32,
}

struct Site {
    _process: Process,
    address: String,
    client: Client,
    folder: PathBuf,
}

fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_caperhollow"))
}

async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < end, "{what}: not seen in time");
        sleep(LOOK_EVERY).await;
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
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("scheduler-{name}"));
        fs::create_dir_all(&folder).unwrap();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(8)).build().unwrap();
        let site = Site { _process: Process(child), address, client, folder };
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

    async fn faults(&self, faults: Value) {
        let url = format!("http://{}/faults", self.address);
        let answer = self.client.post(url).json(&faults).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    /// Has workers not hear orders with some tokens.
    async fn unheard(&self, unheard: Value) {
        let url = format!("http://{}/unheard", self.address);
        let answer = self.client.post(url).json(&unheard).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    /// How many orders a worker has heard under a token.
    async fn heard(&self, worker: u64, token: u64) -> u64 {
        let url = format!("http://{}/heard", self.address);
        let all: Value = self.client.get(url).send().await.unwrap().json().await.unwrap();
        let mut all = all.as_array().unwrap().iter();
        let mine = all.find(|one| one["worker"] == json!(worker) && one["token"] == json!(token));
        mine.map_or(0, |one| one["orders"].as_u64().unwrap())
    }

    /// The token of the pool's owner.
    async fn token(&self) -> Option<u64> {
        let url = format!("http://{}/-/kv-key", self.address);
        let query = [("private_key", "ch/work/pool-work/owner")];
        let answer = self.client.get(url).query(&query).send().await.unwrap();
        answer.json::<Value>().await.ok()?["revision"].as_u64()
    }

    /// Sets what is wrong with a worker.
    async fn trouble(&self, worker: u64, trouble: Value) {
        let url = format!("http://{}/trouble?{worker}", self.address);
        let answer = self.client.post(url).json(&trouble).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }

    async fn counted(&self) -> Value {
        let url = format!("http://{}/counted", self.address);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    async fn node(&self, name: &str) -> Node {
        self.node_by(name, &self.address).await
    }

    /// A node that reaches the store at an address of its own.
    async fn node_by(&self, name: &str, store: &str) -> Node {
        self.node_of(name, Shape { store, ..self.shape() }).await
    }

    /// What nodes are unless a test says otherwise.
    fn shape(&self) -> Shape<'_> {
        Shape { store: &self.address, cores: 1.0, replicas: 12 }
    }

    /// Three nodes with so little processor time that whichever owns the pool leaves the calls to
    /// workers to those that own nothing.
    async fn small_nodes(&self) -> Vec<Node> {
        let mut nodes = Vec::new();
        for name in ["one", "two", "three"] {
            nodes.push(self.node_of(name, Shape { cores: 0.001, ..self.shape() }).await);
        }
        nodes
    }

    /// The nodes, by their places, to which another has opened a link for its orders.
    fn helpers(&self) -> Vec<usize> {
        let log =
            |name: &&str| fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap();
        let names = ["one", "two", "three"];
        let opened = |name: &&str| log(name).contains("orders: link opened");
        names.iter().enumerate().filter(|(_, name)| opened(name)).map(|(place, _)| place).collect()
    }

    async fn node_of(&self, name: &str, shape: Shape<'_>) -> Node {
        let Shape { store, cores, replicas } = shape;
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let settings = json!({
            "node": name, "zone": "hall-a", "cpu_cores": cores, "replicas": replicas,
            "listen": {
                "callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers,
            },
            "platform": { "store": store, "hosts": self.address },
            "stop": { "grace_ms": 3000 },
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, format!("// Of a test.\n{settings}")).unwrap();
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let child =
            binary().arg("schedule").arg("--settings").arg(&path).stdout(log).spawn().unwrap();
        let mut node = Node { process: Process(child), callers, readiness, metrics, peers };
        until("readiness", async || {
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

    async fn hand_in(&self, node: &Node, id: &str, job: &Value) -> StatusCode {
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

    async fn until_state(&self, node: &Node, id: &str, wanted: &str) {
        let what = format!("job {id} {wanted}");
        until(&what, async || (self.state(node, id).await? == wanted).then_some(())).await;
    }
}

/// A way to the store that can be closed.
struct Gate {
    address: String,
    closed: watch::Sender<bool>,
}

impl Gate {
    async fn before(address: &str) -> Gate {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let own = listener.local_addr().unwrap().to_string();
        let (closed, mut is_closed) = watch::channel(false);
        let behind = address.to_owned();
        tokio::spawn(async move {
            while let Ok((mut caller, _)) = listener.accept().await {
                if *is_closed.borrow_and_update() {
                    continue;
                }
                let (behind, mut is_closed) = (behind.clone(), is_closed.clone());
                tokio::spawn(async move {
                    let mut store = TcpStream::connect(behind).await.unwrap();
                    tokio::select! {
                        _ = copy_bidirectional(&mut caller, &mut store) => {}
                        _ = is_closed.wait_for(|closed| *closed) => {}
                    }
                });
            }
        });
        Gate { address: own, closed }
    }
}

fn two_steps() -> Value {
    json!({
        "spec": "300",
        "steps": [
            { "count": 3, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300 },
            { "count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 300, "since_revision": [0] },
        ],
    })
}

#[tokio::test]
async fn a_job_is_kept_once_run_once_and_shown_by_every_node() {
    let site = Site::start("once", 3).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    let id = "00000000000000a1";
    assert_eq!(site.hand_in(&one, id, &two_steps()).await, StatusCode::OK);
    assert_eq!(site.hand_in(&two, id, &two_steps()).await, StatusCode::OK);
    site.until_state(&two, id, "succeeded").await;
    site.until_state(&one, id, "succeeded").await;
    let counted = site.counted().await;
    assert_eq!((&counted["twice"], &counted["starts"]), (&json!(0), &json!(5)));
    assert_eq!(site.state(&two, "00000000000000ff").await.unwrap(), "410");
}

/// A worker that starts again under its identifier counts its ends from 1 again.
#[tokio::test]
async fn a_task_that_is_done_at_a_worker_that_started_again_under_its_id_does_not_run_again() {
    let site = Site::start_with("again", 1, &["--keep-ids"]).await;
    let node = site.node("one").await;
    for id in ["00000000000000a1", "00000000000000a2"] {
        assert_eq!(site.hand_in(&node, id, &two_steps()).await, StatusCode::OK);
        site.until_state(&node, id, "succeeded").await;
    }
    assert_eq!(site.counted().await["starts"], json!(10));
    site.trouble(0, json!({ "crash_ms": 600 })).await;
    for id in ["00000000000000b1", "00000000000000b2"] {
        assert_eq!(site.hand_in(&node, id, &two_steps()).await, StatusCode::OK);
        site.until_state(&node, id, "succeeded").await;
    }
    let counted = site.counted().await;
    assert_eq!((&counted["starts"], &counted["done"]), (&json!(20), &json!(20)), "{counted}");
}

#[tokio::test]
async fn a_job_outlives_the_node_that_owns_it() {
    let site = Site::start("kill", 3).await;
    let (mut one, two) = (site.node("one").await, site.node("two").await);
    let ids: Vec<String> = (1..9).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        assert_eq!(site.hand_in(&two, id, &two_steps()).await, StatusCode::OK);
    }
    // Whichever owns the pool is killed first or second.
    one.process.0.kill().unwrap();
    one.process.0.wait().unwrap();
    for id in &ids {
        site.until_state(&two, id, "succeeded").await;
    }
    let three = site.node("three").await;
    drop(two);
    let last = "00000000000000aa";
    assert_eq!(site.hand_in(&three, last, &two_steps()).await, StatusCode::OK);
    site.until_state(&three, last, "succeeded").await;
    assert_eq!(site.counted().await["twice"], json!(0));
}

#[tokio::test]
async fn a_cancelled_job_and_one_that_always_fails_are_told_as_such() {
    let site = Site::start("ends", 2).await;
    let node = site.node("one").await;
    let lasting =
        json!({ "spec": "600000", "steps": [{ "count": 2, "cpu": 100, "long_running": true }] });
    assert_eq!(site.hand_in(&node, "00000000000000b1", &lasting).await, StatusCode::OK);
    site.until_state(&node, "00000000000000b1", "running").await;
    let url = format!("http://{}/quotes/00000000000000b1", node.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    site.until_state(&node, "00000000000000b1", "cancelled").await;
    let fails = json!({ "spec": "fail 50", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.hand_in(&node, "00000000000000b2", &fails).await, StatusCode::OK);
    site.until_state(&node, "00000000000000b2", "failed").await;
}

#[tokio::test]
async fn a_job_is_refused_while_the_store_is_down_and_never_runs() {
    let site = Site::start("down", 2).await;
    let node = site.node("one").await;
    site.faults(json!({ "store_down": true })).await;
    let id = "00000000000000c1";
    assert_eq!(site.hand_in(&node, id, &two_steps()).await, StatusCode::SERVICE_UNAVAILABLE);
    site.faults(json!({})).await;
    until("readiness", async || site.is_ready(&node).await.then_some(())).await;
    assert_eq!(site.state(&node, id).await.unwrap(), "410");
    assert_eq!(site.hand_in(&node, id, &two_steps()).await, StatusCode::OK);
    site.until_state(&node, id, "succeeded").await;
    assert_eq!(site.counted().await["starts"], json!(5));
}

#[tokio::test]
async fn a_job_whose_write_got_no_answer_is_not_told_as_refused() {
    let site = Site::start("lost", 2).await;
    let node = site.node("one").await;
    site.faults(json!({ "store_lost": true })).await;
    let id = "00000000000000d1";
    let status = site.hand_in(&node, id, &two_steps()).await;
    assert!(status == StatusCode::GATEWAY_TIMEOUT || status == StatusCode::OK, "{status}");
    site.faults(json!({})).await;
    site.until_state(&node, id, "succeeded").await;
    assert_eq!(site.counted().await["twice"], json!(0));
}

/// The store goes on to answer calls: what was accepted is to begin all the same.
#[tokio::test]
async fn a_job_begins_though_the_watches_of_the_store_have_fallen_silent() {
    let site = Site::start("silent", 2).await;
    let nodes = [site.node("one").await, site.node("two").await];
    assert_eq!(site.hand_in(&nodes[0], "00000000000000a1", &two_steps()).await, StatusCode::OK);
    site.until_state(&nodes[0], "00000000000000a1", "succeeded").await;
    site.faults(json!({ "store_watches_silent": true })).await;
    // One of them does not own the pool.
    for (node, id) in nodes.iter().zip(["00000000000000b1", "00000000000000b2"]) {
        assert_eq!(site.hand_in(node, id, &two_steps()).await, StatusCode::OK);
        site.until_state(node, id, "succeeded").await;
    }
    assert_eq!(site.counted().await["twice"], json!(0));
}

/// A node that the store turns away has another one answer its callers: what they hand in is kept,
/// states are those of now, and cancels count.
#[tokio::test]
async fn a_node_that_the_store_turns_away_has_another_answer() {
    let site = Site::start("relay", 3).await;
    let gate = Gate::before(&site.address).await;
    let (one, two) = (site.node_by("one", &gate.address).await, site.node("two").await);
    let lasting =
        json!({ "spec": "600000", "steps": [{ "count": 1, "cpu": 100, "long_running": true }] });
    assert_eq!(site.hand_in(&one, "00000000000000a1", &lasting).await, StatusCode::OK);
    // The node knows of the other by then.
    site.until_state(&one, "00000000000000a1", "running").await;
    gate.closed.send_replace(true);
    until("the end of its lease", async || (!site.is_ready(&one).await).then_some(())).await;
    assert_eq!(site.hand_in(&one, "00000000000000a2", &two_steps()).await, StatusCode::OK);
    site.until_state(&one, "00000000000000a2", "succeeded").await;
    let url = format!("http://{}/quotes/00000000000000a1", one.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    site.until_state(&two, "00000000000000a1", "cancelled").await;
    assert_eq!(site.counted().await["twice"], json!(0));
}

/// A node whose configuration is older than that of the node which hands a request on refuses it.
#[tokio::test]
async fn a_request_is_not_answered_by_an_older_configuration() {
    let site = Site::start("older", 1).await;
    let node = site.node("one").await;
    let ask = async |version: &str| {
        let url = format!("http://{}/quotes/00000000000000a1", node.peers);
        let request = site.client.get(url).header("Host", HOST);
        let request = request.header("Caperhollow-Relayed", version);
        request.send().await.unwrap().status()
    };
    assert_eq!(ask("1").await, StatusCode::GONE);
    assert_eq!(ask("2").await, StatusCode::SERVICE_UNAVAILABLE);
}

/// A node that does not hear of jobs answers its callers by what the store has, and takes part once
/// those that do are gone.
#[tokio::test]
async fn a_node_that_hears_of_little_answers_all_the_same_and_takes_over() {
    let site = Site::start("little", 3).await;
    let mut one = site.node_of("one", Shape { replicas: 1, ..site.shape() }).await;
    let two = site.node_of("two", Shape { cores: 0.5, replicas: 1, ..site.shape() }).await;
    let id = "00000000000000a1";
    assert_eq!(site.state(&two, id).await.unwrap(), "410");
    assert_eq!(site.hand_in(&two, id, &two_steps()).await, StatusCode::OK);
    assert_eq!(site.hand_in(&two, id, &two_steps()).await, StatusCode::OK);
    site.until_state(&two, id, "succeeded").await;
    let vast = json!({ "spec": "1", "steps": [{ "count": 1, "cpu": 900_000_000 }] });
    assert_eq!(site.hand_in(&two, "00000000000000a2", &vast).await, StatusCode::OK);
    assert_eq!(site.state(&two, "00000000000000a2").await.unwrap(), "queued");
    for node in [&one, &two] {
        until("a job that waits", async || (site.pending(node).await? == 1).then_some(())).await;
    }
    let url = format!("http://{}/quotes/00000000000000a2", two.callers);
    let answer = site.client.delete(url).header("Host", HOST).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    for node in [&one, &two] {
        site.until_state(node, "00000000000000a2", "cancelled").await;
    }
    let log = || fs::read_to_string(site.folder.join("two.log")).unwrap();
    assert!(!log().contains("hears of everything"), "one node is enough");
    one.process.0.kill().unwrap();
    one.process.0.wait().unwrap();
    assert_eq!(site.hand_in(&two, "00000000000000a3", &two_steps()).await, StatusCode::OK);
    site.until_state(&two, "00000000000000a3", "succeeded").await;
    assert!(log().contains("hears of everything"));
    assert_eq!(site.state(&two, id).await.unwrap(), "succeeded");
    assert_eq!(site.counted().await["twice"], json!(0));
}

/// An owner that has too little processor time for its calls has other nodes make them. One that is
/// killed, or falls silent without closing its connections, costs no job and no second run.
#[tokio::test]
async fn other_nodes_make_an_owners_calls_and_may_fall_silent() {
    let site = Site::start("helpers", 4).await;
    let nodes = site.small_nodes().await;
    let ids: Vec<String> = (1..20).map(|n| format!("{n:016x}")).collect();
    let helper = until("an order by way of another node", async || {
        site.hand_in(&nodes[0], &ids[0], &two_steps()).await;
        site.helpers().first().copied()
    })
    .await;
    let asked = &nodes[(helper + 1) % nodes.len()];
    let signal = |signal| kill(Pid::from_raw(nodes[helper].process.0.id() as i32), signal).unwrap();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(site.hand_in(asked, id, &two_steps()).await, StatusCode::OK);
        match n {
            4 => signal(Signal::SIGSTOP),
            9 => signal(Signal::SIGCONT),
            14 => signal(Signal::SIGKILL),
            _ => {}
        }
        site.until_state(asked, id, "succeeded").await;
    }
    assert_eq!(site.counted().await["twice"], json!(0));
}

/// A process that has stood still for longer than its lease, and all that later owners wait for,
/// takes a new lease within a millisecond once it goes on; watches that have failed meanwhile rest
/// for 150. Until one of them tells of the later owner, nothing may be ordered by what was known
/// before: what has lapsed at a worker that did not hear the later token runs elsewhere by then.
#[tokio::test]
async fn an_owner_that_stood_still_gives_no_order_once_it_goes_on() {
    let site = Site::start("still", 2).await;
    let last = u64::MAX;
    site.unheard(json!([{ "worker": 1, "from": 0, "to": last }])).await;
    let one = site.node("one").await;
    let task = json!({ "spec": "600000", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.hand_in(&one, "00000000000000a1", &task).await, StatusCode::OK);
    site.until_state(&one, "00000000000000a1", "running").await;
    let token = site.token().await.unwrap();
    let unheard = json!([
        { "worker": 0, "from": token + 1, "to": last }, { "worker": 1, "from": 0, "to": token },
    ]);
    site.unheard(unheard).await;
    let signal = |signal| kill(Pid::from_raw(one.process.0.id() as i32), signal).unwrap();
    signal(Signal::SIGSTOP);
    let _two = site.node("two").await;
    until("the task to be started anew", async || {
        (site.counted().await["starts"] == json!(2)).then_some(())
    })
    .await;
    let before = site.heard(0, token).await;
    signal(Signal::SIGCONT);
    let log = || fs::read_to_string(site.folder.join("one.log")).unwrap();
    let (given_up, told) = (format!("given up: token {token}"), format!("token {token} is over"));
    until("the end of the ownership", async || {
        let log = log();
        (log.contains(&given_up) || log.contains(&told)).then_some(())
    })
    .await;
    until("its readiness", async || site.is_ready(&one).await.then_some(())).await;
    // The end of a second job is heard of by way of the later owner.
    let short = json!({ "spec": "50", "steps": [{ "count": 1, "cpu": 100 }] });
    assert_eq!(site.hand_in(&one, "00000000000000a2", &short).await, StatusCode::OK);
    site.until_state(&one, "00000000000000a2", "succeeded").await;
    let counted = site.counted().await;
    assert_eq!((&counted["twice"], &counted["starts"]), (&json!(0), &json!(3)));
    // One that was decided on may have been on its way through the process.
    let more = site.heard(0, token).await - before;
    assert!(more <= 1, "{more} orders under token {token} after its owner stood still");
}

/// An owner that is told to end leaves word of what may run. A job that waits begins under the next
/// one at a worker that answers, though another one that may run a task of an earlier job does not.
/// Without that word nothing that waits begins before the new owner tells that all else has lapsed.
#[tokio::test]
async fn a_job_that_waits_goes_on_when_its_owner_is_told_to_end() {
    let site = Site::start("given", 2).await;
    let last = u64::MAX;
    site.unheard(json!([{ "worker": 1, "from": 0, "to": last }])).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    let (long, waits) = ("00000000000000a1", "00000000000000a2");
    let whole = |spec: &str| json!({ "spec": spec, "steps": [{ "count": 1, "cpu": 8_000 }] });
    assert_eq!(site.hand_in(&one, long, &whole("600000")).await, StatusCode::OK);
    site.until_state(&one, long, "running").await;
    assert_eq!(site.hand_in(&one, waits, &whole("50")).await, StatusCode::OK);
    let token = site.token().await.unwrap();
    let unheard = json!([
        { "worker": 0, "from": token + 1, "to": last }, { "worker": 1, "from": 0, "to": token },
    ]);
    site.unheard(unheard).await;
    let log = |name: &str| fs::read_to_string(site.folder.join(format!("{name}.log"))).unwrap();
    let names = ["one", "two"];
    let owns = |name: &&str| log(name).contains(&format!("taken up: token {token}"));
    let place = names.iter().position(owns).unwrap();
    let (giver, next) = if place == 0 { (&one, &two) } else { (&two, &one) };
    kill(Pid::from_raw(giver.process.0.id() as i32), Signal::SIGTERM).unwrap();
    site.until_state(next, waits, "succeeded").await;
    assert!(log(names[place]).contains(&format!("given back: token {token}, 1 tasks may run")));
    let told = log(names[1 - place]);
    let ended = told.find(&format!("job {waits}: succeeded")).unwrap();
    let clear = told.find("starts tasks of earlier jobs").unwrap_or(usize::MAX);
    assert!(ended < clear, "it has waited until all else had lapsed");
    let counted = site.counted().await;
    assert_eq!((&counted["twice"], &counted["starts"]), (&json!(0), &json!(2)));
}

/// With the store away for all, nobody hands requests on in a circle.
#[tokio::test]
async fn nodes_that_all_miss_the_store_refuse_at_once() {
    let site = Site::start("nobody", 2).await;
    let (one, two) = (site.node("one").await, site.node("two").await);
    site.faults(json!({ "store_down": true })).await;
    for node in [&one, &two] {
        until("the end of its lease", async || (!site.is_ready(node).await).then_some(())).await;
        let id = "00000000000000c1";
        assert_eq!(site.hand_in(node, id, &two_steps()).await, StatusCode::SERVICE_UNAVAILABLE);
    }
    site.faults(json!({})).await;
    until("readiness", async || site.is_ready(&one).await.then_some(())).await;
    assert_eq!(site.counted().await["starts"], json!(0));
}

#[tokio::test]
async fn a_configuration_comes_into_force_and_a_dropped_queue_is_gone() {
    let site = Site::start("config", 1).await;
    let node = site.node("one").await;
    site.configure(5, &["/quotes/", "/stock/"]).await;
    let ask = async |prefix: &str| {
        let url = format!("http://{}{prefix}", node.callers);
        site.client.get(url).header("Host", HOST).send().await.unwrap().status()
    };
    until("the new queue", async || (ask("/stock/").await == StatusCode::OK).then_some(())).await;
    site.faults(json!({ "store_compact": true })).await;
    site.configure(9, &["/quotes/"]).await;
    let gone = async || (ask("/stock/").await == StatusCode::NOT_FOUND).then_some(());
    until("the end of the queue", gone).await;
    assert_eq!(ask("/quotes/").await, StatusCode::OK);
}

/// A node on a slow link that was cut off while large configurations came one
/// after the other asked for all of them again and again, and never took in the newest.
#[tokio::test]
async fn a_node_that_missed_many_configurations_takes_in_the_newest() {
    let site = Site::start("missed", 1).await;
    let node = site.node("one").await;
    let ask = async |prefix: &str| {
        let url = format!("http://{}{prefix}", node.callers);
        site.client.get(url).header("Host", HOST).send().await.unwrap().status()
    };
    site.faults(json!({ "store_down": true })).await;
    // The watch that is under way must have ended.
    until("the loss of the watch", async || {
        let log = fs::read_to_string(site.folder.join("one.log")).unwrap();
        log.contains("watch of op/ lost").then_some(())
    })
    .await;
    for version in 5..10 {
        site.configure(version, &["/quotes/"]).await;
    }
    site.configure(11, &["/quotes/", "/stock/"]).await;
    site.faults(json!({ "store_long_history": true })).await;
    until("the new queue", async || (ask("/stock/").await == StatusCode::OK).then_some(())).await;
}

#[tokio::test]
async fn a_node_that_is_told_to_end_says_so_first_and_answers_to_the_last() {
    let site = Site::start("end", 2).await;
    let mut node = site.node("one").await;
    let page = site.client.get(format!("http://{}/metrics", node.metrics)).send().await.unwrap();
    assert!(page.text().await.unwrap().contains("caperhollow_store_calls_total"));
    kill(Pid::from_raw(node.process.0.id() as i32), Signal::SIGHUP).unwrap();
    kill(Pid::from_raw(node.process.0.id() as i32), Signal::SIGTERM).unwrap();
    until("not ready", async || (!site.is_ready(&node).await).then_some(())).await;
    let id = "00000000000000e1";
    assert_eq!(site.hand_in(&node, id, &two_steps()).await, StatusCode::OK);
    assert!(node.process.0.wait().unwrap().success());
    let next = site.node("two").await;
    site.until_state(&next, id, "succeeded").await;
}

/// A process that is being started holds a copy of every socket for a moment.
#[test]
fn an_address_can_be_used_while_a_copy_of_its_probe_is_still_open() {
    let address = free_address();
    let copy = probe(address.parse().unwrap()).unwrap();
    let listener = std::net::TcpListener::bind(&address).unwrap();
    assert!(probe(address.parse().unwrap()).is_err(), "somebody listens there");
    drop((copy, listener));
}

#[test]
fn settings_that_are_wrong_are_told_with_their_field() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong-scheduler.json");
    fs::write(&path, "{ \"node\": \"n\", \"zone\": \"z\", \"listen\": {}, \"else\": 1 }").unwrap();
    let output = binary().arg("schedule").arg("--settings").arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for field in ["listen.callers", "platform", "else"] {
        assert!(text.contains(field), "{field} is missing in: {text}");
    }
}
