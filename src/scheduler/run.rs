//! Starts a scheduler node, and shuts it down without cutting off callers.

use std::{
    path::{Path, PathBuf},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::{
    error::Error,
    http::{
        self,
        connections::{ConnectionLimits, Connections, Share},
    },
    platform::{kv::Kv, worker_client::WorkerClient},
    scheduler::{
        Node, accept,
        api::{Api, Readiness, Sender},
        control_loop::{ControlLoop, Input},
        lease::{self, Lease},
        metrics::{Metrics, Page},
        mirror, node,
        relay::Relay,
        status::{self, Pages},
        tombstone, view_age,
    },
    settings::scheduler::{self, MachineLimits, SchedulerSettings},
};

/// How long a call of the store may take: it answers in milliseconds, or in some hundred while it
/// is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// The part of a node's memory that connections may hold, in percent. The rest is for its view and
/// its work.
const CONNECTION_MEMORY_PERCENT: usize = 25;

/// The part of a node's descriptors for connections that others open, in percent. The rest is for
/// files, and for connections that the node opens.
const CONNECTION_DESCRIPTORS_PERCENT: usize = 50;

/// Maximum number of requests in progress that came from callers, and from other nodes, in percent of
/// the descriptors: each may open a connection to the store and one to another node.
const REQUEST_DESCRIPTORS_PERCENT: usize = 10;

/// Maximum number of connections for the readiness probe.
const MAX_PROBE_CONNECTIONS: usize = 64;

/// Maximum number of connections for the metrics.
const MAX_METRICS_CONNECTIONS: usize = 16;

/// How often a node logs its counts of calls and answers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// How long requests in progress may take once the node has stopped listening: a call of the store
/// that gets no answer, and a node to which the request is relayed after that.
const ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// The end of the grace time, in which requests are answered whether or not their outcome is known.
/// A busy node sends the answers late, and has received the stop signal late.
const FINAL_TIME: Duration = Duration::from_millis(1_500);

/// The part of a short grace time in which the node listens, in percent.
const MIN_LISTENING_PERCENT: u32 = 40;

/// What a node that shuts down does at which time after the stop signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StopTimes {
    /// When it stops listening.
    pub(super) unlisten: Duration,
    /// When it answers all requests in progress.
    pub(super) answer: Duration,
}

impl StopTimes {
    pub(super) fn within(grace: Duration) -> StopTimes {
        let min_listening = grace * MIN_LISTENING_PERCENT / 100;
        let unlisten = grace.saturating_sub(ANSWER_TIME + FINAL_TIME).max(min_listening);
        let answer = grace.saturating_sub(FINAL_TIME).max((unlisten + grace) / 2);
        StopTimes { unlisten, answer }
    }
}

/// The limits on connections that follow from those of the machine.
fn connection_limits(limits: &MachineLimits) -> ConnectionLimits {
    let memory_bytes = (limits.memory.0 as usize) << 20;
    ConnectionLimits {
        connections: limits.descriptors * CONNECTION_DESCRIPTORS_PERCENT / 100,
        held_bytes: memory_bytes / 100 * CONNECTION_MEMORY_PERCENT,
        clients: limits.clients,
    }
}

/// Runs a node until `shutdown` completes.
pub(crate) async fn run(
    settings: SchedulerSettings,
    path: PathBuf,
    shutdown: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    let failed = |error| Error::system("listen", error);
    let (callers, _) = http::listen(&settings.listen.callers.to_string()).await.map_err(failed)?;
    let (readiness, _) =
        http::listen(&settings.listen.readiness.to_string()).await.map_err(failed)?;
    let grace = settings.grace;
    let limits = connection_limits(&settings.limits);
    let connections = Connections::new(limits);
    let requests = settings.limits.descriptors * REQUEST_DESCRIPTORS_PERCENT / 100;
    let share = Share { connections: limits.connections, requests };
    let (metrics_listener, _) =
        http::listen(&settings.listen.metrics.to_string()).await.map_err(failed)?;
    let peers = match settings.listen.peers {
        Some(address) => Some(http::listen(&address.to_string()).await.map_err(failed)?.0),
        None => None,
    };
    let metrics = Arc::new(Metrics::new());
    let call_metrics = metrics.clone();
    let note = move |call, outcome, took| call_metrics.record_store_call(call, outcome, took);
    let kv = Kv::new(&settings.platform.store.to_string(), STORE_TIMEOUT, note);
    let (accepting, waiting) = accept::queue();
    let (cancelling, cancels) = tombstone::queue();
    let node = node(settings, kv, metrics.clone(), accepting, cancelling);
    log::info!("node {}: started in {}", node.settings.node, node.settings.zone);
    let lease = Arc::new(Lease::default());
    let (inputs, received) = mpsc::unbounded_channel();
    tokio::spawn(lease::maintain(node.clone(), lease.clone()));
    tokio::spawn(accept::write(node.clone(), waiting));
    tokio::spawn(tombstone::write_queued(node.clone(), cancels));
    tokio::spawn(tombstone::sweep(node.clone()));
    mirror::start(&node, &lease, &inputs);
    let worker_client = WorkerClient::new();
    let control_loop =
        ControlLoop::new(node.clone(), lease.clone(), worker_client.clone(), inputs.clone());
    tokio::spawn(control_loop.run(received));
    let stop = http::Stop::default();
    let api = |sender, orders| {
        let (node, lease) = (node.clone(), lease.clone());
        Api { node, lease, relay: Relay::new(), sender, orders }
    };
    let callers_api = api(Sender::Callers, None);
    let callers_server =
        http::serve_within(callers, connections.clone(), share, callers_api, stop.clone());
    let mut servers = vec![tokio::spawn(callers_server)];
    if let Some(peers) = peers {
        let peers_api = api(Sender::Nodes, Some(worker_client));
        let peers_server =
            http::serve_within(peers, connections.clone(), share, peers_api, stop.clone());
        servers.push(tokio::spawn(peers_server));
    }
    let probe = Readiness { node: node.clone(), lease };
    let (share, stop_never) = (Share::of_connections(MAX_PROBE_CONNECTIONS), http::Stop::default());
    tokio::spawn(http::serve_within(readiness, connections.clone(), share, probe, stop_never));
    let pages = Pages { node: node.clone(), metrics: Page(metrics) };
    let (share, stop_never) =
        (Share::of_connections(MAX_METRICS_CONNECTIONS), http::Stop::default());
    let metrics_server =
        http::serve_within(metrics_listener, connections.clone(), share, pages, stop_never);
    tokio::spawn(metrics_server);
    tokio::spawn(http::close_late(connections));
    tokio::spawn(summarize(node.clone()));
    tokio::spawn(view_age::watch(node.clone()));
    tokio::spawn(reload(node.clone(), path));
    shutdown.await?;
    let (stopped, times) = (Instant::now(), StopTimes::within(grace));
    log::info!("node {}: shutting down", node.settings.node);
    node.shutdown.cancel();
    // Cannot fail: the receiver lives as long as the process.
    let _ = inputs.send(Input::Shutdown);
    sleep_until(stopped + times.unlisten).await;
    stop.gently.cancel();
    let mut served = pin!(join_all(servers));
    if timeout_at(stopped + times.answer, &mut served).await.is_err() {
        node.answers_due.cancel();
        if timeout_at(stopped + grace, served).await.is_err() {
            log::warn!("node {}: ends with open connections", node.settings.node);
        }
    }
    log::info!("node {}: ended", node.settings.node);
    Ok(())
}

/// Logs the numbers of store calls and of answers to callers at intervals.
async fn summarize(node: Arc<Node>) {
    let mut zones_checked = false;
    loop {
        sleep(SUMMARY_INTERVAL).await;
        log::info!("store: calls so far: {}", node.metrics.store_summary());
        log::info!("callers: answers so far: {}", node.metrics.request_summary());
        if !zones_checked {
            zones_checked = check_zones(&node);
        }
    }
}

/// Compares the settings with the zones that there are, once those are known. Returns whether they
/// are.
fn check_zones(node: &Node) -> bool {
    let tolerated = node.settings.zones.tolerated_losses;
    let checked = status::check_tolerated_losses(&node.view(), tolerated);
    if let Some(Err(problem)) = &checked {
        log::warn!("node {}: settings: zones.tolerated_losses: {problem}", node.settings.node);
    }
    checked.is_some()
}

/// Reads the settings again at each SIGHUP and logs the result: changes come into force with the
/// next start.
async fn reload(node: Arc<Node>, path: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(
                "node {}: cannot listen for SIGHUP, settings are not read again: {error}",
                node.settings.node
            );
            return;
        }
    };
    while hangups.recv().await.is_some() {
        check_settings(&node.settings, &path);
    }
}

fn check_settings(current: &SchedulerSettings, path: &Path) {
    match scheduler::load(path) {
        Ok(settings) if settings == *current => {
            log::info!("node {}: settings read again: unchanged", current.node);
        }
        Ok(_) => {
            log::warn!("node {}: settings read again: changes need a restart", current.node);
        }
        Err(problems) => {
            log::error!(
                "node {}: settings read again: invalid, still using the old ones: {problems}",
                current.node
            );
        }
    }
}
