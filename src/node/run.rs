//! Starts a node, and has it leave without cutting anything off.

use std::{sync::Arc, time::Duration};

use poem::endpoint::make;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
};
use tokio_util::sync::CancellationToken;

use crate::{
    entry::{forward::Hold, gate::Gates, once::Once, routes::Routes, serve::Entry},
    http,
    model::unit::Time,
    node::{
        Node, assign, control, hosts, members, metrics::Metrics, pace::Pace, peers, peers::Peers,
        sync, traffic::Traffic, view::View,
    },
    operator::api,
    platform::store::Store,
    settings::node::NodeSettings,
};

/// Connections that operators may have open.
const OPERATORS: usize = 256;
/// How long a leaving node goes on accepting callers, so that the balancer notices first.
const NOTICE: Duration = Duration::from_millis(500);
/// How long a leaving node waits for the ends of claims to be written.
const SETTLE: Duration = Duration::from_secs(5);
/// How old routes may become.
const REBUILT: Duration = Duration::from_secs(1);
/// Requests that may find a place when routes change.
const WOKEN: usize = 64;
/// Idle connections that are kept to an endpoint.
const IDLE: usize = 16;

/// The sockets that a node listens on.
pub(crate) struct Sockets {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
}

/// A running node.
pub(crate) struct Running {
    pub(crate) node: Arc<Node>,
    callers: tokio::task::JoinHandle<()>,
    stop: http::Stop,
    members: tokio::task::JoinHandle<()>,
}

impl Sockets {
    /// Listens at the addresses of the settings.
    pub(crate) async fn open(settings: &NodeSettings) -> std::io::Result<Sockets> {
        let listen = &settings.listen;
        Ok(Sockets {
            callers: TcpListener::bind(listen.callers).await?,
            operators: TcpListener::bind(listen.operators).await?,
            peers: TcpListener::bind(listen.peers).await?,
        })
    }
}

/// A node that does nothing yet, and knows nothing.
pub(crate) fn idle(settings: NodeSettings) -> Arc<Node> {
    let metrics = Metrics::new();
    let traffic = Arc::new(Traffic::default());
    let noted = traffic.clone();
    let note = move |bytes| noted.note(bytes);
    let store = Store::over_http(settings.platform.store.as_str(), settings.timing.store, note)
        .counting(metrics.store_counter());
    let pace = Arc::new(Pace::new(
        settings.platform.writes,
        settings.peers.len().max(1) as u32,
        Time::now(),
    ));
    let turn = pace.clone();
    let store = store.paced(move |priority| {
        let pace = turn.clone();
        Box::pin(async move { pace.turn(priority).await })
    });
    let once = Once::start(&store, &settings.node, &settings.claims);
    Arc::new(Node {
        started: Time::now(),
        store,
        pace,
        client: reqwest::Client::new(),
        view: std::sync::Mutex::new(View::default()),
        changed: watch::Sender::new(0),
        peers: Peers::default(),
        routes: Routes::default(),
        gates: Gates::default(),
        once,
        metrics,
        traffic,
        leaving: CancellationToken::new(),
        settings,
    })
}

/// Starts a node on its sockets.
pub(crate) fn start(settings: NodeSettings, sockets: Sockets) -> Running {
    let node = idle(settings);
    tokio::spawn(sync::watch(node.clone()));
    tokio::spawn(sync::verify(node.clone()));
    tokio::spawn(hosts::follow(node.clone()));
    tokio::spawn(peers::dial(node.clone()));
    tokio::spawn(peers::accept(node.clone(), sockets.peers));
    tokio::spawn(assign::command(node.clone()));
    tokio::spawn(control::control(node.clone()));
    tokio::spawn(route(node.clone()));
    let members = tokio::spawn(members::register(node.clone()));
    let stop = http::Stop::default();
    let callers = tokio::spawn(serve_callers(node.clone(), sockets.callers, stop.clone()));
    tokio::spawn(serve_operators(node.clone(), sockets.operators));
    log::info!("node {}: started in availability zone {}", node.id(), node.settings.zone);
    Running { node, callers, stop, members }
}

async fn serve_callers(node: Arc<Node>, listener: TcpListener, stop: http::Stop) {
    let limits = node.settings.limits.clone();
    let entry = Entry {
        node,
        client: reqwest::Client::builder()
            .pool_max_idle_per_host(IDLE)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS needs nothing of the system"),
        hold: Hold { most: limits.answer, memory: Arc::new(Semaphore::new(limits.held)) },
    };
    let endpoint = make(move |request| {
        let entry = entry.clone();
        async move { Ok::<_, poem::Error>(entry.answer(request).await) }
    });
    http::serve(listener, limits.connections, endpoint, stop).await;
}

async fn serve_operators(node: Arc<Node>, listener: TcpListener) {
    let endpoint = make(move |request| {
        let node = node.clone();
        async move { Ok::<_, poem::Error>(api::answer(node, request).await) }
    });
    http::serve(listener, OPERATORS, endpoint, http::Stop::default()).await;
}

/// Keeps the routes those of the view, and has waiting requests look again.
async fn route(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let mut built = Time::default();
    loop {
        let now = Time::now();
        // Without a change, only the age of what is known alters the routes.
        if changed.has_changed().unwrap_or(true) || REBUILT <= now.since(built) {
            changed.borrow_and_update();
            built = now;
            let view = node.view();
            node.routes.rebuild(&view.fleet, node.id().as_str(), now, &node.settings.rules);
        }
        node.gates.wake_all(WOKEN);
        let wait = tokio::time::sleep(node.settings.timing.control);
        tokio::select! {
            () = wait => {}
            // Seen again above.
            _ = changed.changed() => changed.mark_changed(),
        }
    }
}

impl Running {
    /// Has the node leave: its work goes to others, its registration ends, and requests that run
    /// are answered first.
    pub(crate) async fn leave(self) {
        log::info!("node {}: leaving", self.node.id());
        self.node.leaving.cancel();
        // A task that panicked has told so itself; leaving goes on without it.
        let _ = self.members.await;
        tokio::time::sleep(NOTICE).await;
        self.stop.gently.cancel();
        // As above: what is left is only to wait for claims.
        let _ = self.callers.await;
        let settled = async {
            while !self.node.once.is_settled() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(SETTLE, settled).await.is_err() {
            log::warn!("node {}: ends of some claims were not written", self.node.id());
        }
        log::info!("node {}: left", self.node.id());
    }
}
