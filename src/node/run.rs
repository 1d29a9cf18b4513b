//! Starts a node, and shuts it down without interrupting requests.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use poem::endpoint::make;
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;

use crate::{
    entry::{claims::ClaimWriters, gate::Gates, routes::Routes, serve::Entry},
    http::{
        self, BoundedListener,
        connections::{ConnectionLimits, Connections, Share},
    },
    model::unit::Time,
    node::{
        Node, assign, control, hosts, members, metrics::Metrics, peers, peers::Peers, sync,
        traffic::Traffic, view::View, write_limiter::WriteLimiter,
    },
    operator::api,
    platform::store::Store,
    settings::node::{Limits, Listen, NodeSettings},
};

/// Maximum number of open connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Maximum number of links that other nodes have opened.
const MAX_PEER_LINKS: usize = 1_024;
/// How long a node accepts callers after its registration has ended, so that the load balancer can
/// react first.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(500);
/// How long a node that shuts down waits until the results of claimed requests are written.
const CLAIMS_TIMEOUT: Duration = Duration::from_secs(5);
/// Routes are rebuilt at this age even without a change.
const MAX_ROUTE_AGE: Duration = Duration::from_secs(1);
/// Waiting requests of a service that are woken when routes are refreshed.
const WAKE_COUNT: usize = 64;
/// Maximum number of idle connections to an endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

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
    /// Listens on the addresses of the settings.
    pub(crate) async fn open(settings: &NodeSettings) -> io::Result<Sockets> {
        let listen = async |address: SocketAddr| {
            Ok::<_, io::Error>(http::listen(&address.to_string()).await?.0)
        };
        let Listen { callers, operators, peers } = settings.listen;
        let (callers, operators) = (listen(callers).await?, listen(operators).await?);
        Ok(Sockets { callers, operators, peers: listen(peers).await? })
    }
}

/// Creates a node with an empty view and without running loops.
pub(crate) fn create(settings: NodeSettings) -> Arc<Node> {
    let metrics = Metrics::new();
    let traffic = Arc::new(Traffic::default());
    let recorded = traffic.clone();
    let record = move |bytes| recorded.record(bytes);
    let store = Store::over_http(settings.platform.store.as_str(), settings.timing.store, record)
        .with_call_observer(metrics.store_counter());
    let write_limiter = Arc::new(WriteLimiter::new(
        settings.platform.writes,
        settings.peers.len().max(1) as u32,
        Time::now(),
    ));
    let shared_limiter = write_limiter.clone();
    let store = store.rate_limited(move |priority| {
        let limiter = shared_limiter.clone();
        Box::pin(async move { limiter.acquire(priority).await })
    });
    let claims = ClaimWriters::start(&store, &settings.node, &settings.claims);
    Arc::new(Node {
        started: Time::now(),
        store,
        write_limiter,
        client: reqwest::Client::new(),
        view: std::sync::Mutex::new(View::default()),
        changed: watch::Sender::new(0),
        peers: Peers::default(),
        routes: Routes::default(),
        gates: Gates::default(),
        claims,
        metrics,
        traffic,
        shutdown: CancellationToken::new(),
        settings,
    })
}

/// The limits on all connections, which follow from those on callers.
fn connection_limits(limits: &Limits) -> ConnectionLimits {
    ConnectionLimits {
        connections: limits.connections + MAX_OPERATOR_CONNECTIONS + MAX_PEER_LINKS,
        held_bytes: limits.held,
        clients: limits.clients,
    }
}

/// Starts a node on its sockets.
pub(crate) fn start(settings: NodeSettings, sockets: Sockets) -> Running {
    let connections = Connections::new(connection_limits(&settings.limits));
    let node = create(settings);
    tokio::spawn(sync::watch(node.clone()));
    tokio::spawn(sync::verify(node.clone()));
    tokio::spawn(hosts::poll(node.clone()));
    tokio::spawn(peers::dial(node.clone()));
    let share = Share::of_connections(MAX_PEER_LINKS);
    let peers_listener = BoundedListener::new(sockets.peers, &connections, share);
    tokio::spawn(peers::accept(node.clone(), peers_listener));
    tokio::spawn(assign::command(node.clone()));
    tokio::spawn(control::control(node.clone()));
    tokio::spawn(refresh_routes(node.clone()));
    let members = tokio::spawn(members::register(node.clone()));
    let stop = http::Stop::default();
    let callers_server =
        serve_callers(node.clone(), connections.clone(), sockets.callers, stop.clone());
    let callers = tokio::spawn(callers_server);
    tokio::spawn(serve_operators(node.clone(), connections.clone(), sockets.operators));
    tokio::spawn(http::close_late(connections));
    log::info!("node {}: started in availability zone {}", node.id(), node.settings.zone);
    Running { node, callers, stop, members }
}

async fn serve_callers(
    node: Arc<Node>,
    connections: Connections,
    listener: TcpListener,
    stop: http::Stop,
) {
    let limits = node.settings.limits.clone();
    let entry = Entry {
        node,
        client: reqwest::Client::builder()
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS does not depend on the system"),
        max_answer_bytes: limits.answer,
    };
    let endpoint = make(move |request| {
        let entry = entry.clone();
        async move { Ok::<_, poem::Error>(entry.answer(request).await) }
    });
    let share = Share::of_connections(limits.connections);
    http::serve_within(listener, connections, share, endpoint, stop).await;
}

async fn serve_operators(node: Arc<Node>, connections: Connections, listener: TcpListener) {
    let endpoint = make(move |request| {
        let node = node.clone();
        async move { Ok::<_, poem::Error>(api::answer(node, request).await) }
    });
    let share = Share::of_connections(MAX_OPERATOR_CONNECTIONS);
    http::serve_within(listener, connections, share, endpoint, http::Stop::default()).await;
}

/// Keeps the routes up to date with the view, and wakes waiting requests.
async fn refresh_routes(node: Arc<Node>) {
    let mut changed = node.changed.subscribe();
    let mut last_built = Time::default();
    loop {
        let now = Time::now();
        // Without a change, only the age of the list of hosts affects the routes.
        if changed.has_changed().unwrap_or(true) || MAX_ROUTE_AGE <= now.since(last_built) {
            changed.borrow_and_update();
            last_built = now;
            let view = node.view();
            node.routes.rebuild(&view.fleet, node.id().as_str(), now, &node.settings.rules);
        }
        node.gates.wake_all(WAKE_COUNT);
        let wait = tokio::time::sleep(node.settings.timing.control);
        tokio::select! {
            () = wait => {}
            // Marked again for the check at the top of the loop.
            _ = changed.changed() => changed.mark_changed(),
        }
    }
}

impl Running {
    /// Shuts the node down: ends its registration, so that other nodes take over its work, and
    /// completes running requests.
    pub(crate) async fn shut_down(self) {
        log::info!("node {}: shutting down", self.node.id());
        self.node.shutdown.cancel();
        // A panic of the task has been reported; the shutdown continues.
        let _ = self.members.await;
        tokio::time::sleep(SHUTDOWN_NOTICE).await;
        self.stop.gently.cancel();
        // As above; only the results of claimed requests remain to be written.
        let _ = self.callers.await;
        let flushed = async {
            while !self.node.claims.is_flushed() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        if tokio::time::timeout(CLAIMS_TIMEOUT, flushed).await.is_err() {
            log::warn!(
                "node {}: the results of some claimed requests were not written",
                self.node.id()
            );
        }
        log::info!("node {}: shut down", self.node.id());
    }
}
