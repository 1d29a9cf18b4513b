//! The processes that are played with: the stand-in site, and nodes with their ways to it.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};
use reqwest::Client;
use serde_json::{Value, json};
use tokio::{
    sync::Mutex,
    time::{Instant, sleep},
};

use super::{
    check::Entry,
    plan::{self, Harm, Injection, Size, What},
    ports::free_address,
    proxy::{Proxy, Way},
};

/// The host of all queues.
pub const HOST: &str = "shop.example";

/// How long a node that was ended stays away, in milliseconds.
const AWAY_MS: u64 = 700;

/// How long a slow node stands still at a time and runs in between, in milliseconds: a fifth of the time.
const SLOW_STOP_MS: u64 = 600;
const SLOW_RUN_MS: u64 = 150;

/// How long connections that are held up again and again pass in between, in milliseconds.
const LET_GO_MS: u64 = 60;

/// How long a node has to end after it was told to.
const GRACE: Duration = Duration::from_millis(3_500);

/// A process, killed by its id when it is dropped.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A node: its process changes, its addresses stay.
pub struct Node {
    pub name: String,
    pub callers: String,
    settings: PathBuf,
    pub log: PathBuf,
    way: Proxy,
    process: Mutex<Option<Process>>,
}

/// Everything that is played with.
pub struct Rig {
    pub size: Size,
    pub client: Client,
    pub nodes: Vec<Node>,
    site: String,
    /// What was injected, and when, in milliseconds since 1970.
    pub injected: Mutex<Vec<(u64, String)>>,
    _site: Process,
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The name of a pool by its number, as the stand-in gives them.
pub fn pool(number: u32) -> String {
    if number == 0 { "work".to_owned() } else { format!("work-{number}") }
}

/// The program of the nodes.
fn program() -> String {
    let given = std::env::var("CAPERHOLLOW_SOAK_BINARY");
    given.unwrap_or_else(|_| env!("CARGO_BIN_EXE_caperhollow").to_owned())
}

impl Rig {
    pub async fn start(name: &str, seed: u64, size: Size) -> Arc<Rig> {
        let mut child = Command::new(env!("CARGO_BIN_EXE_caperhollow"))
            .args(["standin", "site", "--listen", "127.0.0.1:0"])
            .args(["--workers", &size.workers.to_string(), "--pools", &size.pools.to_string()])
            .args(size.keep_ids.then_some("--keep-ids"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut ready = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut ready).unwrap();
        let site = ready.trim().rsplit(' ').next().unwrap().to_owned();
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("soak-{name}-{seed}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let client = Client::builder().no_proxy().timeout(Duration::from_secs(4)).build().unwrap();
        let mut nodes = Vec::new();
        for number in 0..size.nodes {
            nodes.push(Node::new(number, &folder, &site, seed).await);
        }
        let (injected, _site) = (Mutex::default(), Process(child));
        let rig = Rig { size, client, nodes, site, injected, _site };
        rig.configure().await;
        for node in &rig.nodes {
            *node.process.lock().await = Some(node.spawn());
        }
        Arc::new(rig)
    }

    async fn configure(&self) {
        let queue = |number: u32| {
            json!({
                "name": format!("q{number}"), "host": HOST, "path_prefix": format!("/q{number}/"),
                "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
                "priority": 0, "service": pool(number), "max_attempts": 3, "stretch": 1.6,
            })
        };
        let service =
            |number| json!({ "name": pool(number), "admission_check": true, "headroom": false });
        let queues: Vec<Value> = (0..self.size.pools).map(queue).collect();
        let services: Vec<Value> = (0..self.size.pools).map(service).collect();
        let config = json!({ "version": 1, "routes": queues, "services": services });
        self.tell("put?op/config", &config).await;
    }

    /// Tells the stand-in something.
    async fn tell(&self, path: &str, body: &Value) {
        let url = format!("http://{}/{path}", self.site);
        let answer = self.client.post(url).body(body.to_string()).send().await.unwrap();
        assert!(answer.status().is_success(), "{path}: {}", answer.text().await.unwrap());
    }

    /// What workers did, from an event on.
    pub async fn log(&self, first: usize) -> Vec<Entry> {
        let url = format!("http://{}/log?{first}", self.site);
        self.client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// The node that owns a pool, by the store.
    pub async fn owner(&self, number: u32) -> Option<usize> {
        let key = format!("ch/work/pool-{}/owner", pool(number));
        let url = format!("http://{}/-/kv-key?private_key={key}", self.site);
        let item: Value = self.client.get(url).send().await.ok()?.json().await.ok()?;
        let value = BASE64_STANDARD.decode(item["value"].as_str()?).ok()?;
        let record: Value = serde_json::from_slice(&value).ok()?;
        self.nodes.iter().position(|node| Some(node.name.as_str()) == record["node"].as_str())
    }

    /// Carries a plan out. What is injected is undone by tasks of their own, so that it overlaps.
    pub async fn play(self: &Arc<Rig>, plan: Vec<Injection>) {
        let began = Instant::now();
        for Injection { at, lasts, what } in plan {
            tokio::time::sleep_until(began + Duration::from_millis(at)).await;
            let rig = self.clone();
            tokio::spawn(async move { rig.inject(what, lasts).await });
        }
    }

    async fn inject(self: &Arc<Rig>, what: What, lasts: u64) {
        if let What::Owner(pool, whats, workers) = what {
            let node = self.owner(pool).await.unwrap_or(0);
            for worker in workers {
                let (rig, cut) = (self.clone(), json!({ "cut": "newer" }));
                tokio::spawn(async move { rig.inject_one(What::Worker(worker, cut), lasts).await });
            }
            for what in whats {
                let what = match what {
                    What::Node(_, signal) => What::Node(node, signal),
                    What::Way(_, harm) => What::Way(node, harm),
                    other => other,
                };
                let rig = self.clone();
                tokio::spawn(async move { rig.inject_one(what, lasts).await });
            }
            return;
        }
        self.inject_one(what, lasts).await;
    }

    async fn inject_one(&self, what: What, lasts: u64) {
        let line = format!("{what:?} for {lasts} ms");
        self.injected.lock().await.push((now_ms(), line));
        let wait = Duration::from_millis(lasts);
        match what {
            What::Node(node, signal) => self.nodes[node].signal(signal, wait).await,
            What::Way(node, harm) => {
                let way = &self.nodes[node].way;
                way.set(|way, opened| hurt(way, harm, opened));
                match harm {
                    Harm::Lag(every, rest, hold) => lag(way, (every, rest), hold, lasts).await,
                    _ => sleep(wait).await,
                }
                way.set(|way, opened| heal(way, harm, opened));
            }
            What::Store(faults) => {
                self.tell("faults", &faults).await;
                sleep(wait).await;
                self.tell("faults", &json!({})).await;
            }
            What::Worker(worker, trouble) => {
                self.tell(&format!("trouble?{worker}"), &trouble).await;
                sleep(wait).await;
                self.tell(&format!("trouble?{worker}"), &json!({})).await;
            }
            What::Owner(..) => {}
        }
    }

    /// Switches what is wrong with a worker.
    pub async fn trouble(&self, worker: usize, trouble: &Value) {
        self.injected.lock().await.push((now_ms(), format!("Worker({worker}, {trouble})")));
        self.tell(&format!("trouble?{worker}"), trouble).await;
    }

    /// Harms a node's way to the store.
    pub async fn harm(&self, node: usize, harm: Harm) {
        self.injected.lock().await.push((now_ms(), format!("Way({node}, {harm:?})")));
        self.nodes[node].way.set(|way, opened| hurt(way, harm, opened));
    }

    /// Undoes all that was injected; a node that is not there is started.
    pub async fn heal(&self) {
        self.injected.lock().await.push((now_ms(), "all is undone".to_owned()));
        self.tell("faults", &json!({})).await;
        for worker in 0..self.size.workers {
            self.tell(&format!("trouble?{worker}"), &json!({})).await;
        }
        for node in &self.nodes {
            node.way.set(|way, opened| {
                let (silent_below, silent_every) = (way.silent_below.min(opened), way.silent_every);
                *way = Way { silent_below, silent_every, ..Way::default() };
            });
            let mut process = node.process.lock().await;
            match &*process {
                Some(process) => send(process, Signal::SIGCONT),
                None => *process = Some(node.spawn()),
            }
        }
    }
}

/// Holds connections up again and again, and lets them go in between.
async fn lag(way: &Proxy, which: (u64, u64), hold: u64, lasts: u64) {
    let end = Instant::now() + Duration::from_millis(lasts);
    while Instant::now() < end {
        way.set(|way, _| way.held = Some(which));
        sleep(Duration::from_millis(hold)).await;
        way.set(|way, _| way.held = None);
        sleep(Duration::from_millis(LET_GO_MS)).await;
    }
}

fn hurt(way: &mut Way, harm: Harm, opened: u64) {
    match harm {
        Harm::Delay(millis) => way.delay_ms = millis,
        Harm::CutOut => way.cut_out = true,
        Harm::CutIn => way.cut_in = true,
        Harm::CutBoth => (way.cut_out, way.cut_in) = (true, true),
        Harm::Refuse => way.refuse = true,
        Harm::Reset => way.reset_below = opened,
        Harm::NoWatch => way.no_watch = true,
        Harm::Lag(..) => {}
        Harm::Flaky(every) => (way.silent_below, way.silent_every) = (u64::MAX, every),
        Harm::Silent(every) => (way.silent_below, way.silent_every) = (opened, every),
    }
}

/// Connections that were reset or fell silent stay so.
fn heal(way: &mut Way, harm: Harm, opened: u64) {
    match harm {
        Harm::Delay(_) => way.delay_ms = 0,
        Harm::CutOut => way.cut_out = false,
        Harm::CutIn => way.cut_in = false,
        Harm::CutBoth => (way.cut_out, way.cut_in) = (false, false),
        Harm::Refuse => way.refuse = false,
        Harm::NoWatch => way.no_watch = false,
        Harm::Flaky(_) => way.silent_below = opened,
        Harm::Reset | Harm::Silent(_) | Harm::Lag(..) => {}
    }
}

fn send(process: &Process, signal: Signal) {
    // The process is ours and is waited for by nobody else: its id is still its own.
    let _ = signal::kill(Pid::from_raw(process.0.id() as i32), signal);
}

impl Node {
    async fn new(number: usize, folder: &Path, site: &str, seed: u64) -> Node {
        let name = format!("n{number}");
        let way = Proxy::before(site.parse().unwrap()).await;
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let mut settings = json!({
            "node": name, "zone": format!("hall-{}", number % 3),
            "listen": { "callers": callers, "readiness": readiness, "metrics": metrics },
            "platform": { "store": way.address, "hosts": site },
            "stop": { "grace_ms": 3000 },
        });
        // Earlier versions do not know these.
        if std::env::var_os("CAPERHOLLOW_SOAK_PLAIN").is_none() {
            settings["listen"]["peers"] = json!(peers);
            // In some runs owners have other nodes make their calls.
            settings["cpu_cores"] = json!(if seed.is_multiple_of(3) { 0.01 } else { 1.0 });
        }
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let log = folder.join(format!("{name}.log"));
        Node { name, callers, settings: path, log, way, process: Mutex::new(None) }
    }

    fn spawn(&self) -> Process {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(program())
            .arg("schedule")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        Process(child.unwrap())
    }

    async fn signal(&self, signal: plan::Signal, rest: Duration) {
        match signal {
            plan::Signal::Freeze => {
                self.send(Signal::SIGSTOP).await;
                sleep(rest).await;
                self.send(Signal::SIGCONT).await;
            }
            plan::Signal::Slow => {
                let end = Instant::now() + rest;
                while Instant::now() < end {
                    self.send(Signal::SIGSTOP).await;
                    sleep(Duration::from_millis(SLOW_STOP_MS)).await;
                    self.send(Signal::SIGCONT).await;
                    sleep(Duration::from_millis(SLOW_RUN_MS)).await;
                }
            }
            plan::Signal::Hup => self.send(Signal::SIGHUP).await,
            plan::Signal::Term => {
                self.send(Signal::SIGTERM).await;
                sleep(GRACE).await;
                self.restart().await;
            }
            plan::Signal::Kill => self.restart().await,
        }
    }

    async fn send(&self, signal: Signal) {
        if let Some(process) = &*self.process.lock().await {
            send(process, signal);
        }
    }

    async fn restart(&self) {
        drop(self.process.lock().await.take());
        sleep(Duration::from_millis(AWAY_MS)).await;
        let mut process = self.process.lock().await;
        if process.is_none() {
            *process = Some(self.spawn());
        }
    }
}
