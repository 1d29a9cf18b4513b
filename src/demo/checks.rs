//! Invariants, checked against the stand-ins' ground truth while the demo runs.

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
        callers::{CallerResults, Outcome},
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

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long after its leave an endpoint may still receive requests.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);

struct Shared {
    stop: AtomicBool,
    violations: Mutex<BTreeSet<String>>,
    excluded: Mutex<BTreeSet<NodeId>>,
}

impl Shared {
    fn add_violation(&self, text: String) {
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).insert(text);
    }
}

pub(crate) struct Checks {
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Checks {
    /// Starts the checks.
    pub(crate) fn start(fleet: &Fleet, preset: &Preset) -> Checks {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            violations: Mutex::default(),
            excluded: Mutex::default(),
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

    /// Excludes a node from the checks.
    pub(crate) fn ignore_node(&self, node: &NodeId) {
        self.shared.excluded.lock().unwrap_or_else(PoisonError::into_inner).insert(node.clone());
    }

    /// Checks that an unconfirmed plan has moved nothing.
    pub(crate) async fn check_unmoved(&self, client: &Client) -> Result<(), Error> {
        let rows: Rows = client.get("status", "status/hosts").await?;
        if let Rows::Hosts(hosts) = rows {
            for host in hosts.iter().filter(|host| host.state != "serving") {
                self.shared.add_violation(format!(
                    "host {} was {} before the plan was confirmed",
                    host.host, host.state
                ));
            }
        }
        Ok(())
    }

    /// Ends the checks, and returns the violations.
    pub(crate) async fn stop(self) -> Vec<String> {
        self.shared.stop.store(true, Ordering::Release);
        for task in self.tasks {
            let _ = task.await;
        }
        let violations = self.shared.violations.lock().unwrap_or_else(PoisonError::into_inner);
        violations.iter().cloned().collect()
    }
}

/// Checks that budgets hold, and that no host runs tasks of two pools.
async fn watch_tasks(shared: Arc<Shared>, workers: Workers, preset: Preset) {
    let services = &preset.config.services;
    while !shared.stop.load(Ordering::Acquire) {
        let truth = workers.truth(Time::now());
        for (id, service) in services {
            let ready = truth.ready.get(id).map_or(0, BTreeSet::len) as u32;
            let down = service.tasks.saturating_sub(ready);
            if service.max_down < down {
                shared.add_violation(format!(
                    "service {id} had {down} tasks unavailable, its budget is {}",
                    service.max_down
                ));
            }
        }
        for (host, running) in &truth.services {
            let pools: BTreeSet<&PoolId> =
                running.iter().filter_map(|s| services.get(s)).map(|s| &s.pool).collect();
            if 1 < pools.len() {
                shared.add_violation(format!(
                    "host {host} ran tasks of pools {pools:?} at the same time"
                ));
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Checks that no node's configuration goes back to an earlier change.
async fn watch_config(shared: Arc<Shared>, nodes: Vec<(NodeId, Client)>) {
    let mut newest: BTreeMap<NodeId, u64> = BTreeMap::new();
    while !shared.stop.load(Ordering::Acquire) {
        for (id, client) in &nodes {
            if shared.excluded.lock().unwrap_or_else(PoisonError::into_inner).contains(id) {
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
                shared.add_violation(format!(
                    "node {id} went back from change {before} to {}",
                    row.config
                ));
            }
        }
        tokio::time::sleep(CHECK_INTERVAL * 4).await;
    }
}

/// Checks the outcomes of requests against what endpoints ran.
pub(crate) fn check_requests(results: &CallerResults, runs: &Runs) -> Vec<String> {
    let mut violations = Vec::new();
    let ran = |id: &str| runs.by_request.get(id).copied().unwrap_or(0);
    for request_result in &results.requests {
        let request = &request_result.request;
        match request_result.result {
            Outcome::Wrong => {
                violations.push(format!(
                    "request {request} got an answer that is not the complete answer to it"
                ));
            }
            Outcome::NotRun if ran(request) != 0 => {
                violations.push(format!("request {request} was refused as not run, but ran"));
            }
            Outcome::Complete if ran(request) == 0 => {
                violations.push(format!("request {request} was answered, but never ran"));
            }
            _ => {}
        }
    }
    let keys: BTreeSet<&String> = results.requests.iter().filter_map(|s| s.key.as_ref()).collect();
    for key in keys {
        let times = runs.by_key.get(key).copied().unwrap_or(0);
        if 1 < times {
            violations.push(format!("key {key} is not repeatable, but ran {times} times"));
        }
    }
    if LEAVE_NOTICE.as_millis() < u128::from(runs.latest_ms) {
        violations.push(format!(
            "an endpoint still received a request {} ms after its leave",
            runs.latest_ms
        ));
    }
    if runs.cut != 0 {
        violations.push(format!("planned stops interrupted {} requests in flight", runs.cut));
    }
    violations
}

/// Checks that a change came into force on every node in time.
pub(crate) fn check_change(took: Option<Duration>, limit: Duration) -> Vec<String> {
    match took {
        Some(took) if took <= limit => Vec::new(),
        Some(took) => vec![format!("a change was in force on every node only after {took:?}")],
        None => vec!["a change was not in force on every node at the end".to_owned()],
    }
}
