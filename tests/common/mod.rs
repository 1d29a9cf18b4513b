//! A fleet of real processes for tests: the stand-in platform, stand-in workers and nodes of the
//! real binary, on free loopback ports.

#![allow(dead_code)]

pub mod ports;

use std::{
    fs,
    future::Future,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use ports::free_address;
use serde_json::{Value, json};

/// How long a test waits for a condition before it fails; test results depend on time in no other
/// way.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process of the binary, killed when it is dropped.
pub struct Process {
    child: Child,
    /// The address it printed when it was ready; empty for nodes.
    pub address: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn binary() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_caperhollow"));
    command.env_remove("CAPERHOLLOW_NODE").env("USER", "test");
    command
}

/// Runs the binary and waits for it to exit.
pub fn run(arguments: &[&str]) -> Output {
    binary().args(arguments).output().unwrap()
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

impl Process {
    /// Starts a process that prints a line when it is ready.
    fn spawn_stand_in(arguments: &[&str]) -> Process {
        let mut child =
            binary().args(arguments).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().rsplit(' ').next().unwrap_or_default().to_owned();
        Process { child, address }
    }

    fn spawn_node(arguments: &[&str], log: &Path) -> Process {
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = binary().args(arguments).stdout(Stdio::null()).stderr(log).spawn().unwrap();
        Process { child, address: String::new() }
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process succeeded, once it has exited.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().unwrap().map(|status| status.success())
    }
}

/// A node and its addresses.
pub struct Node {
    pub process: Process,
    pub callers: String,
    pub operators: String,
    pub peers: String,
    settings: PathBuf,
    log: PathBuf,
}

/// The processes of one test.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub workers: Process,
    pub platform: Process,
    pub client: reqwest::Client,
    pub dir: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Creates a temporary directory for one test.
pub fn test_dir() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("caperhollow-{}-{number}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// The fleet configuration: one pool of eight hosts in two racks.
pub const CONFIG: &str = r#"{
    "pools": { "all": { "hosts": 8 } },
    "teams": { "test": { "rate": 100000 } },
    "services": {
        "echo": {
            "pool": "all", "team": "test", "tasks": 4, "cores_m": 4000, "memory_mb": 1024,
            "max_down": 2
        },
        "orders": {
            "pool": "all", "team": "test", "tasks": 4, "cores_m": 4000, "memory_mb": 1024,
            "max_down": 2, "once": true
        }
    }
}"#;

impl Fleet {
    /// Starts a fleet, applies the configuration, and waits until every task is available.
    pub async fn start(nodes: usize) -> Fleet {
        Fleet::start_with(nodes, json!({ "request_bytes": 65536, "answer_bytes": 262144 })).await
    }

    /// Like [`Fleet::start`], with the `limits` of the nodes' settings.
    pub async fn start_with(nodes: usize, limits: Value) -> Fleet {
        let dir = test_dir();
        let platform = Process::spawn_stand_in(&["standin", "platform", "--listen", "127.0.0.1:0"]);
        let workers = Process::spawn_stand_in(&[
            "standin",
            "worker",
            "--listen",
            "127.0.0.1:0",
            "--platform",
            &platform.address,
            "--hosts",
            "8",
            "--zones",
            "2",
            "--reboot-ms",
            "700",
        ]);
        let addresses: Vec<String> = (0..nodes * 3).map(|_| free_address()).collect();
        let peers: Vec<&String> = (0..nodes).map(|node| &addresses[node * 3 + 2]).collect();
        let mut started = Vec::new();
        for number in 0..nodes {
            let own = &addresses[number * 3..number * 3 + 3];
            let settings = json!({
                "node": format!("entry-{number}"),
                "zone": format!("z{}", number % 2),
                "listen": { "callers": own[0], "operators": own[1], "peers": own[2] },
                "platform": { "store": platform.address, "hosts": platform.address },
                "peers": peers,
                "limits": limits,
                "timing": { "lease_ms": 3000, "store_ms": 500 },
                "rules": {
                    "start_limit_ms": 10000, "leave_limit_ms": 20000, "away_limit_ms": 20000,
                    "expected": { "quiet_ms": 1500, "start_ms": 1500, "reboot_ms": 1500 }
                }
            });
            let path = dir.join(format!("entry-{number}.json"));
            fs::write(&path, settings.to_string()).unwrap();
            let log = dir.join(format!("entry-{number}.log"));
            started.push(Node {
                process: Process::spawn_node(
                    &["serve", "--settings", path.to_str().unwrap()],
                    &log,
                ),
                callers: own[0].clone(),
                operators: own[1].clone(),
                peers: own[2].clone(),
                settings: path,
                log,
            });
        }
        let client = reqwest::Client::new();
        let fleet = Fleet { nodes: started, workers, platform, client, dir };
        fleet.apply(CONFIG).await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Restarts a node that was killed.
    pub fn restart(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        let settings = node.settings.to_str().unwrap().to_owned();
        node.process = Process::spawn_node(&["serve", "--settings", &settings], &node.log);
    }

    /// The log of a node.
    pub fn log(&self, node: usize) -> String {
        fs::read_to_string(&self.nodes[node].log).unwrap_or_default()
    }

    /// Applies a configuration through the first node, retrying until it is accepted.
    pub async fn apply(&self, config: &str) {
        let path = self.dir.join("fleet.json");
        fs::write(&path, config).unwrap();
        let file = path.to_str().unwrap().to_owned();
        let node = self.nodes[0].operators.clone();
        eventually("a configuration to be accepted", || async {
            let output = run(&["apply", &file, "--yes", "--node", &node]);
            output.status.success().then_some(())
        })
        .await;
    }

    pub async fn wait_until_ready(&self) {
        for node in 0..self.nodes.len() {
            self.wait_until_node_ready(node).await;
        }
    }

    pub async fn wait_until_node_ready(&self, node: usize) {
        eventually("every task to be available", || async {
            let rows = self.status(node, "services").await?;
            let services = rows["services"].as_array()?.clone();
            let all_available = services.iter().all(|row| row["available"] == row["tasks"]);
            (services.len() == 2 && all_available).then_some(())
        })
        .await;
    }

    /// Sends one request with a body, and one without, over a new connection to the first node, as
    /// often as it takes until each is answered.
    pub async fn answers_ordinary_callers(&self) {
        const BODY_BYTES: usize = 100_000;
        let client = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
        let node = &self.nodes[0];
        let service = client.post(format!("http://{}/echo/", node.callers));
        let service = service.header("caperhollow-team", "test").body(vec![b'x'; BODY_BYTES]);
        let operator = client.get(format!("http://{}/v1/status/services", node.operators));
        for (what, request) in [("the service", service), ("the operators' API", operator)] {
            let request = request.timeout(Duration::from_secs(8));
            eventually(&format!("an answer of {what}"), || async {
                let answer = request.try_clone()?.send().await.ok()?;
                (answer.status() == 200).then_some(())
            })
            .await;
        }
    }

    /// A list of `status`, as a node reports it.
    pub async fn status(&self, node: usize, list: &str) -> Option<Value> {
        let url = format!("http://{}/v1/status/{list}", self.nodes[node].operators);
        let answer = self.client.get(url).timeout(Duration::from_secs(5)).send().await.ok()?;
        answer.json().await.ok()
    }

    pub async fn post(&self, node: usize, path: &str, body: &Value) -> (u16, Value) {
        let url = format!("http://{}/v1/{path}", self.nodes[node].operators);
        let answer = self.client.post(url).json(body).send().await.unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap_or(Value::Null))
    }

    pub async fn plan(&self, node: usize, id: &str) -> Option<Value> {
        let url = format!("http://{}/v1/plans/{id}", self.nodes[node].operators);
        let answer = self.client.get(url).timeout(Duration::from_secs(5)).send().await.ok()?;
        answer.json().await.ok()
    }

    /// Proposes a drain of hosts and confirms the plan.
    pub async fn drain(&self, node: usize, hosts: &[&str]) -> String {
        let plan = self.propose(node, hosts).await;
        let decision = json!({ "digest": plan["digest"], "by": "test" });
        let id = plan["id"].as_str().unwrap().to_owned();
        let (status, answer) = self.post(node, &format!("plans/{id}/confirm"), &decision).await;
        assert_eq!(status, 200, "{answer}");
        id
    }

    pub async fn propose(&self, node: usize, hosts: &[&str]) -> Value {
        let intent = json!({
            "action": "drain",
            "selection": { "hosts": hosts, "racks": [], "zones": [], "pools": [] },
            "deadline": null, "reason": "test", "by": "test"
        });
        let (status, plan) = self.post(node, "intents", &intent).await;
        assert_eq!(status, 200, "{plan}");
        plan
    }

    pub async fn wait_until_done(&self, node: usize, id: &str) -> Value {
        eventually("a plan to be done", || async {
            let view = self.plan(node, id).await?;
            (view["plan"]["state"] == "done").then_some(view)
        })
        .await
    }

    /// Sets the faults of hosts or racks of the stand-in workers.
    pub async fn worker_faults(&self, at: &[&str], faults: Value) {
        let url = format!("http://{}/faults", self.workers.address);
        let body = json!({ "at": at, "faults": faults });
        let answer = self.client.put(url).json(&body).send().await.unwrap();
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
    }

    /// Sets the faults of all hosts.
    pub async fn all_worker_faults(&self, faults: Value) {
        self.worker_faults(&["r000", "r001"], faults).await;
    }

    pub async fn platform_faults(&self, faults: Value) {
        let url = format!("{}/faults", self.platform.address);
        let answer = self.client.put(url).json(&faults).send().await.unwrap();
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
    }

    /// Triggers a one-time event at the stand-in platform.
    pub async fn platform_once(&self, event: &str) {
        let url = format!("{}/once", self.platform.address);
        let answer = self.client.put(url).json(&event).send().await.unwrap();
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
    }

    pub async fn counts(&self) -> Value {
        let url = format!("{}/counts", self.platform.address);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// The requests that the endpoints ran, as the stand-in workers counted them.
    pub async fn runs(&self) -> Value {
        let url = format!("http://{}/runs", self.workers.address);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// A request to a service through a node.
    pub fn request(&self, node: usize, method: &str, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/{path}", self.nodes[node].callers);
        let method = method.parse().unwrap();
        self.client.request(method, url).header("caperhollow-team", "test")
    }
}

/// An answer as the caller sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub outcome: String,
    pub retry_after: Option<String>,
    pub request: String,
    pub body: String,
}

pub async fn send(request: reqwest::RequestBuilder) -> Answer {
    read(request.send().await.unwrap()).await
}

pub async fn read(answer: reqwest::Response) -> Answer {
    let text =
        |name: &str| answer.headers().get(name).map(|value| value.to_str().unwrap().to_owned());
    Answer {
        status: answer.status().as_u16(),
        outcome: text("caperhollow-outcome").unwrap_or_default(),
        retry_after: text("retry-after"),
        request: text("x-request-id").unwrap_or_default(),
        body: answer.text().await.unwrap(),
    }
}

/// How often the request with an identifier ran.
pub fn ran(runs: &Value, request: &str) -> u64 {
    runs["by_request"][request].as_u64().unwrap_or(0)
}

/// Polls `check` until it returns a value; fails the test after [`WAIT_TIMEOUT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let started_at = std::time::Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
