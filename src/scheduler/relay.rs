//! Requests of callers that come to a node which the store turns away, or whose view is too old for
//! the answer: another node that knows better answers them. All of these requests may be made twice and mean the same, so that one
//! whose answer was lost is asked of the next node.

use std::{
    collections::hash_map::DefaultHasher,
    fmt,
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use poem::{
    Response,
    http::{HeaderName, Method, StatusCode, header},
};
use reqwest::Client;
use tokio::time::Instant;

use crate::{
    model::{job::JobId, unit::Steady},
    platform::connections::{ManyConnections, Whole},
    scheduler::{Node, api::DEADLINE_HEADER},
};

/// Marks a request that comes from another node, which is not handed on again, with the version of
/// the configuration by which that node has read it.
pub(crate) const RELAYED_HEADER: &str = "Caperhollow-Relayed";

/// How long a connection to another node may take: some may be cut off with this one.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// How long another node may take to answer. It writes once, in some 10 ms, or 250 ms where the
/// store is slow.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

/// Nodes that are asked before the caller is told to come back.
const MOST_NODES: usize = 2;

/// How long no node is asked after none could help, in milliseconds: most often the store is away
/// for all, and each of them would ask the others. Questions about queues pause by themselves: nodes
/// may know too little of these and reach the store.
const PAUSE_MS: u64 = 500;

/// Headers of an answer that are handed on.
const KEPT_HEADERS: [HeaderName; 2] = [header::CONTENT_TYPE, header::RETRY_AFTER];

/// What a request is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Subject {
    Job(JobId),
    /// A queue, by its name.
    Queue(String),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Job(id) => write!(f, "job {id}"),
            Subject::Queue(name) => write!(f, "queue {name}"),
        }
    }
}

/// A caller's request, as it is handed to another node.
pub(crate) struct Call {
    pub(crate) subject: Subject,
    pub(crate) method: Method,
    pub(crate) host: String,
    pub(crate) path: String,
    /// The configuration in force: a node with an older one must not answer by it.
    pub(crate) config: u64,
    pub(crate) body: Bytes,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// How it ended.
pub(crate) enum Relayed {
    Answered(Response),
    /// No node took it, and none will.
    NotTaken,
    /// A node may have done it, or may do it yet.
    Unknown,
}

/// Hands requests to other nodes.
pub(crate) struct Relay {
    connections: ManyConnections,
    /// No node is asked about jobs before, in milliseconds of the steady clock.
    jobs_not_before: AtomicU64,
    /// The same about queues.
    queues_not_before: AtomicU64,
    /// How many nodes were asked about queues in vain: others are asked next.
    in_vain: AtomicUsize,
}

impl Relay {
    pub(crate) fn new() -> Relay {
        let connections = ManyConnections::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_LIMIT)
                .timeout(ANSWER_LIMIT)
        });
        Relay {
            connections,
            jobs_not_before: AtomicU64::new(0),
            queues_not_before: AtomicU64::new(0),
            in_vain: AtomicUsize::new(0),
        }
    }

    /// Has another node answer.
    pub(crate) async fn ask(&self, node: &Node, call: &Call) -> Relayed {
        let (now, subject) = (node.now().steady, &call.subject);
        let not_before = match subject {
            Subject::Job(_) => &self.jobs_not_before,
            Subject::Queue(_) => &self.queues_not_before,
        };
        if now < Steady::from_millis(not_before.load(Ordering::Acquire)) {
            return Relayed::NotTaken;
        }
        let mut unknown = false;
        let in_vain = self.in_vain.load(Ordering::Relaxed);
        for peer in peers(node, subject, in_vain).into_iter().take(MOST_NODES) {
            match self.ask_one(peer, call).await {
                Relayed::Answered(response) => {
                    log::info!("{subject}: {} answered by {peer}", call.method);
                    return Relayed::Answered(response);
                }
                Relayed::NotTaken => {}
                Relayed::Unknown => unknown = true,
            }
        }
        let pause = node.now().steady.after(PAUSE_MS).since(Steady::default());
        not_before.store(pause, Ordering::Release);
        if matches!(subject, Subject::Queue(_)) {
            self.in_vain.fetch_add(MOST_NODES, Ordering::Relaxed);
        }
        log::info!("{subject}: {} answered by no other node", call.method);
        if unknown { Relayed::Unknown } else { Relayed::NotTaken }
    }

    async fn ask_one(&self, peer: SocketAddr, call: &Call) -> Relayed {
        let left = call.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{peer}{}", call.path);
        let request = |client: &Client| {
            let request = client.request(call.method.clone(), url);
            request
                .header(header::HOST, &call.host)
                .header(DEADLINE_HEADER, left.as_millis() as u64)
                .header(RELAYED_HEADER, call.config)
                .body(call.body.clone())
        };
        let whole = match self.connections.call(&peer.to_string(), request).await {
            Ok(whole) => whole,
            Err(error) if error.is_connect() => return Relayed::NotTaken,
            Err(error) => {
                log::info!("{}: no whole answer by {peer}: {error}", call.subject);
                return Relayed::Unknown;
            }
        };
        let Whole { status, headers, body } = whole;
        match status {
            StatusCode::SERVICE_UNAVAILABLE => return Relayed::NotTaken,
            StatusCode::GATEWAY_TIMEOUT => return Relayed::Unknown,
            _ => {}
        }
        let mut response = Response::builder().status(status).body(body);
        for name in KEPT_HEADERS {
            if let Some(value) = headers.get(&name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        Relayed::Answered(response)
    }
}

/// The other nodes, as last known, in an order that differs by subject so that they share the load. Of
/// queues those are asked first that hear of everything, and of these not the ones that were asked in
/// vain: what they lack is not about the queue, and may last.
fn peers(node: &Node, subject: &Subject, in_vain: usize) -> Vec<SocketAddr> {
    let view = node.view();
    let replicas = view.replicas(node.settings.replicas);
    let others = view.nodes.iter().filter(|(name, _)| **name != *node.settings.node.as_str());
    let mut peers: Vec<(bool, SocketAddr)> = others
        .filter_map(|(name, at)| Some((replicas.contains(name.as_str()), at.value.peers?)))
        .collect();
    drop(view);
    peers.sort_by_key(|(is_replica, peer)| {
        let mut hasher = DefaultHasher::new();
        (peer, subject).hash(&mut hasher);
        let comes_later = matches!(subject, Subject::Queue(_)) && !is_replica;
        (comes_later, hasher.finish())
    });
    if matches!(subject, Subject::Queue(_)) {
        let first = peers.iter().filter(|(is_replica, _)| *is_replica).count();
        peers[..first].rotate_left(in_vain % first.max(1));
    }
    peers.into_iter().map(|(_, peer)| peer).collect()
}
