//! Starts a scheduler node, and ends it so that no caller is cut off.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    time::sleep,
};

use crate::{
    error::Error,
    http,
    platform::{kv::Kv, runner::Runners},
    scheduler::{
        Node, accept,
        api::{Api, Readiness},
        drive::{Drive, Input},
        lateness,
        lease::{self, Lease},
        metrics::{Metrics, Page},
        mirror, node,
        relay::Relay,
    },
    settings::scheduler::{self, SchedulerSettings},
};

/// How long a call of the store may take: it answers in milliseconds, or is slow and answers in
/// some hundred.
const STORE_LIMIT: Duration = Duration::from_millis(700);

/// Connections of callers that may be open at one time, well under the descriptors of a node.
const MAX_CONNECTIONS: usize = 3_000;

/// How often a node tells what it has spent.
const SUMMARY: Duration = Duration::from_secs(10);

/// What is left of the grace for the last answers once the node stops listening.
const LAST_ANSWERS: Duration = Duration::from_millis(1_500);

/// Runs a node until it is told to end.
pub(crate) async fn run(
    settings: SchedulerSettings,
    path: PathBuf,
    told: impl Future<Output = Result<(), Error>>,
) -> Result<(), Error> {
    let failed = |error| Error::system("listen", error);
    let (callers, _) = http::listen(&settings.listen.callers.to_string()).await.map_err(failed)?;
    let (readiness, _) =
        http::listen(&settings.listen.readiness.to_string()).await.map_err(failed)?;
    let grace = settings.grace;
    let (figures, _) = http::listen(&settings.listen.metrics.to_string()).await.map_err(failed)?;
    let peers = match settings.listen.peers {
        Some(address) => Some(http::listen(&address.to_string()).await.map_err(failed)?.0),
        None => None,
    };
    let metrics = Arc::new(Metrics::new());
    let noted = metrics.clone();
    let note = move |call, outcome, took| noted.store_call(call, outcome, took);
    let kv = Kv::new(&settings.platform.store.to_string(), STORE_LIMIT, note);
    let (accepting, waiting) = accept::queue();
    let node = node(settings, kv, metrics.clone(), accepting);
    log::info!("node {}: started in {}", node.settings.node, node.settings.zone);
    let lease = Arc::new(Lease::default());
    let (to, from) = mpsc::unbounded_channel();
    tokio::spawn(lease::keep(node.clone(), lease.clone()));
    tokio::spawn(accept::write(node.clone(), waiting));
    mirror::start(&node, &to);
    let runners = Runners::new();
    let drive = Drive::new(node.clone(), lease.clone(), runners.clone(), to.clone());
    tokio::spawn(drive.run(from));
    let stop = http::Stop::default();
    let api =
        |orders| Api { node: node.clone(), lease: lease.clone(), relay: Relay::new(), orders };
    let serving = tokio::spawn(http::serve(callers, MAX_CONNECTIONS, api(None), stop.clone()));
    if let Some(peers) = peers {
        tokio::spawn(http::serve(peers, MAX_CONNECTIONS, api(Some(runners)), stop.clone()));
    }
    let probe = Readiness { node: node.clone(), lease };
    tokio::spawn(http::serve(readiness, 64, probe, http::Stop::default()));
    tokio::spawn(http::serve(figures, 16, Page(metrics), http::Stop::default()));
    tokio::spawn(summarize(node.clone()));
    tokio::spawn(lateness::watch(node.clone()));
    tokio::spawn(reload(node.clone(), path));
    told.await?;
    log::info!("node {}: told to end", node.settings.node);
    node.leaving.cancel();
    // The receiver ends with the process only.
    let _ = to.send(Input::Leave);
    sleep(grace.saturating_sub(LAST_ANSWERS)).await;
    stop.gently.cancel();
    // Requests that are still at work have the rest of the grace.
    let _ = tokio::time::timeout(LAST_ANSWERS / 2, serving).await;
    log::info!("node {}: ended", node.settings.node);
    Ok(())
}

/// Tells now and then how many calls of the store were made.
async fn summarize(node: Arc<Node>) {
    loop {
        sleep(SUMMARY).await;
        log::info!("store: calls so far: {}", node.metrics.store_summary());
        log::info!("callers: answers so far: {}", node.metrics.asked_summary());
    }
}

/// Reads the settings again whenever the process is told that they have changed. What a running
/// process cannot take on is told, and comes into force with its next start.
async fn reload(node: Arc<Node>, path: PathBuf) {
    let mut told = match signal(SignalKind::hangup()) {
        Ok(told) => told,
        Err(error) => {
            log::error!("node {}: does not hear of new settings: {error}", node.settings.node);
            return;
        }
    };
    while told.recv().await.is_some() {
        compare(&node.settings, &path);
    }
}

fn compare(held: &SchedulerSettings, path: &Path) {
    match scheduler::load(path) {
        Ok(settings) if settings == *held => {
            log::info!("node {}: settings read again: the same", held.node);
        }
        Ok(_) => {
            log::warn!("node {}: settings read again: new ones need a restart", held.node);
        }
        Err(problems) => {
            log::error!("node {}: settings read again: kept as they were: {problems}", held.node);
        }
    }
}
