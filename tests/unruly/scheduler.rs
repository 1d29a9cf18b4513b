//! A scheduler node of the real binary, beside a stand-in site.

use std::{
    fs,
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

use crate::{
    common::{binary, eventually, ports::free_address},
    usage,
};

pub(crate) const HOST: &str = "shop.example";

/// A process that is killed when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A node and the site that it runs on.
pub(crate) struct SchedulerNode {
    process: Process,
    _site: Process,
    pub(crate) callers: String,
    pub(crate) readiness: String,
    pub(crate) metrics: String,
    pub(crate) peers: String,
    next_job: AtomicU64,
}

/// A client that opens a connection for each request, as one that comes anew would.
fn fresh_client() -> Client {
    let builder = Client::builder().no_proxy().pool_max_idle_per_host(0);
    builder.timeout(Duration::from_secs(8)).build().unwrap()
}

async fn start_site() -> (Process, String) {
    let mut child = binary()
        .args(["standin", "site", "--listen", "127.0.0.1:0", "--workers", "2"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut ready = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut ready).unwrap();
    let address = ready.trim().rsplit(' ').next().unwrap().to_owned();
    let config = json!({
        "version": 1,
        "routes": [{
            "name": "quotes", "host": HOST, "path_prefix": "/quotes/", "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "work",
            "max_attempts": 3, "stretch": 1.6,
        }],
        "services": [{ "name": "work", "admission_check": true, "headroom": false }],
    });
    let url = format!("http://{address}/put?op/config");
    let answer = fresh_client().post(url).body(config.to_string()).send().await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    (Process(child), address)
}

impl SchedulerNode {
    /// Starts a node that may use so much memory and so many descriptors.
    pub(crate) async fn start(name: &str, memory_mb: u64, descriptors: usize) -> SchedulerNode {
        let (site, store) = start_site().await;
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let settings = json!({
            "node": name, "zone": "hall-a",
            "listen": {
                "callers": callers, "readiness": readiness, "metrics": metrics, "peers": peers,
            },
            "limits": { "memory_mb": memory_mb, "descriptors": descriptors },
            "platform": { "store": store, "hosts": store },
            "stop": { "grace_ms": 3000 },
        });
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unruly");
        fs::create_dir_all(&dir).unwrap();
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).unwrap();
        let log = fs::File::create(dir.join(format!("{name}.log"))).unwrap();
        let child =
            binary().arg("schedule").arg("--settings").arg(&path).stdout(log).spawn().unwrap();
        let (process, next_job) = (Process(child), AtomicU64::new(1));
        let node =
            SchedulerNode { process, _site: site, callers, readiness, metrics, peers, next_job };
        node.answers_ordinary_callers().await;
        node
    }

    pub(crate) fn id(&self) -> u32 {
        self.process.0.id()
    }

    pub(crate) fn ports(&self) -> Vec<u16> {
        let addresses = [&self.callers, &self.readiness, &self.metrics, &self.peers];
        addresses.map(|address| usage::port(address)).to_vec()
    }

    pub(crate) fn lives(&mut self) {
        let ended = self.process.0.try_wait().unwrap();
        assert!(ended.is_none(), "the node has ended: {ended:?}");
    }

    /// Sends one request of each kind, as often as it takes until each is answered.
    pub(crate) async fn answers_ordinary_callers(&self) {
        let client = fresh_client();
        let number = self.next_job.fetch_add(1, Ordering::Relaxed);
        let url = format!("http://{}/quotes/{number:016x}", self.callers);
        let job = json!({ "spec": "100", "steps": [{ "count": 1, "cpu": 100 }] });
        let is_ok = |answer: &reqwest::Response| answer.status() == StatusCode::OK;
        eventually("a job to be accepted", || async {
            let request = client.post(&url).header("Host", HOST).json(&job);
            request.send().await.ok().filter(is_ok)
        })
        .await;
        eventually("the state of the job", || async {
            let answer = client.get(&url).header("Host", HOST).send().await.ok().filter(is_ok)?;
            answer.json::<Value>().await.ok()?["state"].as_str().map(str::to_owned)
        })
        .await;
        for url in [
            format!("http://{}/-/ready", self.readiness),
            format!("http://{}/metrics", self.metrics),
        ] {
            eventually(&url, || async { client.get(&url).send().await.ok().filter(is_ok) }).await;
        }
    }
}
