//! What must always hold, checked against the stand-ins' truth while the demo runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crate::{
    demo::{
        callers::{Served, Told},
        nodes::Fleet,
    },
    error::Error,
    model::{
        id::{NodeId, PoolId},
        unit::Time,
    },
    operator::{client::Client, message::Rows},
    preset::Preset,
    standin::{endpoint::Runs, worker::Workers},
};

/// Time between two looks at the truth.
const EVERY: Duration = Duration::from_millis(50);
/// How long after its leave an endpoint may still be sent requests.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);

struct Shared {
    stop: AtomicBool,
    broken: Mutex<BTreeSet<String>>,
    gone: Mutex<BTreeSet<NodeId>>,
}

impl Shared {
    fn broke(&self, text: String) {
        self.broken.lock().unwrap_or_else(PoisonError::into_inner).insert(text);
    }
}

/// Running checks.
pub(crate) struct Checks {
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Checks {
    /// Starts looking.
    pub(crate) fn start(fleet: &Fleet, preset: &Preset) -> Checks {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            broken: Mutex::default(),
            gone: Mutex::default(),
        });
        let nodes = fleet
            .nodes
            .iter()
            .map(|node| (node.id.clone(), Client::new(&node.operators.to_string())));
        let tasks = vec![
            tokio::spawn(watch_tasks(shared.clone(), fleet.workers.clone(), preset.clone())),
            tokio::spawn(watch_config(shared.clone(), nodes.collect())),
        ];
        Checks { shared, tasks }
    }

    /// Expects nothing more of a node.
    pub(crate) fn node_gone(&self, node: &NodeId) {
        self.shared.gone.lock().unwrap_or_else(PoisonError::into_inner).insert(node.clone());
    }

    /// Checks that a plan that was not confirmed has moved nothing.
    pub(crate) async fn nothing_moved(&self, client: &Client) -> Result<(), Error> {
        let rows: Rows = client.get("status", "status/hosts").await?;
        if let Rows::Hosts(hosts) = rows {
            for host in hosts.iter().filter(|host| host.state != "serving") {
                self.shared.broke(format!(
                    "host {} was {} before the plan was confirmed",
                    host.host, host.state
                ));
            }
        }
        Ok(())
    }

    /// Ends the checks, and tells what was broken.
    pub(crate) async fn stop(self) -> Vec<String> {
        self.shared.stop.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
        let broken = self.shared.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.iter().cloned().collect()
    }
}

/// Budgets hold, and no host runs tasks of two pools.
async fn watch_tasks(shared: Arc<Shared>, workers: Workers, preset: Preset) {
    let services = &preset.config.services;
    while !shared.stop.load(Ordering::Acquire) {
        let truth = workers.truth(Time::now());
        for (id, service) in services {
            let ready = truth.ready.get(id).map_or(0, BTreeSet::len) as u32;
            let down = service.tasks.saturating_sub(ready);
            if service.max_down < down {
                shared.broke(format!(
                    "service {id} had {down} tasks unavailable, its budget is {}",
                    service.max_down
                ));
            }
        }
        for (host, running) in &truth.services {
            let pools: BTreeSet<&PoolId> =
                running.iter().filter_map(|s| services.get(s)).map(|s| &s.pool).collect();
            if 1 < pools.len() {
                shared.broke(format!("host {host} ran tasks of pools {pools:?} at one time"));
            }
        }
        tokio::time::sleep(EVERY).await;
    }
}

/// No node's configuration goes back.
async fn watch_config(shared: Arc<Shared>, nodes: Vec<(NodeId, Client)>) {
    let mut newest: BTreeMap<NodeId, u64> = BTreeMap::new();
    while !shared.stop.load(Ordering::Acquire) {
        for (id, client) in &nodes {
            if shared.gone.lock().unwrap_or_else(PoisonError::into_inner).contains(id) {
                continue;
            }
            let Ok(Rows::Nodes(rows)) = client.get("status", "status/nodes").await else {
                continue;
            };
            let Some(row) = rows.into_iter().find(|row| row.node == *id) else {
                continue;
            };
            let before = newest.insert(id.clone(), row.config).unwrap_or(0);
            if row.config < before {
                shared.broke(format!("node {id} went from change {before} to {}", row.config));
            }
        }
        tokio::time::sleep(EVERY * 4).await;
    }
}

/// What was told of requests, against what endpoints ran.
pub(crate) fn of_requests(served: &Served, runs: &Runs) -> Vec<String> {
    let mut broken = Vec::new();
    let ran = |id: &str| runs.by_request.get(id).copied().unwrap_or(0);
    for seen in &served.seen {
        let request = &seen.request;
        match seen.told {
            Told::Wrong => {
                broken.push(format!("request {request} got an answer that is not its own, whole"));
            }
            Told::NotRun if ran(request) != 0 => {
                broken.push(format!("request {request} was refused as not run, but ran"));
            }
            Told::Whole if ran(request) == 0 => {
                broken.push(format!("request {request} was answered, but never ran"));
            }
            _ => {}
        }
    }
    let keys: BTreeSet<&String> = served.seen.iter().filter_map(|s| s.key.as_ref()).collect();
    for key in keys {
        let times = runs.by_key.get(key).copied().unwrap_or(0);
        if 1 < times {
            broken.push(format!("key {key} is not repeatable, but ran {times} times"));
        }
    }
    if LEAVE_NOTICE.as_millis() < u128::from(runs.latest_ms) {
        broken.push(format!("a leaving endpoint was sent a request after {} ms", runs.latest_ms));
    }
    if runs.cut != 0 {
        broken.push(format!("planned stops cut off {} requests in flight", runs.cut));
    }
    broken
}

/// Whether a change came into force everywhere in time.
pub(crate) fn of_change(took: Option<Duration>, limit: Duration) -> Vec<String> {
    match took {
        Some(took) if took <= limit => Vec::new(),
        Some(took) => vec![format!("a change was in force everywhere only after {took:?}")],
        None => vec!["a change was not in force everywhere at the end".to_owned()],
    }
}
