//! Relays requests of callers to another node, if this node cannot reach the store or its view is
//! too old for an answer. All of these requests are idempotent, so that one whose answer was lost
//! is sent to the next node.

pub(crate) mod proof;

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
    model::{account::KeyDigest, job::JobId, unit::Steady},
    platform::connections::{ConnectionsByAddress, FullResponse},
    scheduler::{Node, api::DEADLINE_HEADER},
};

use proof::{Covered, Proof};

/// The header of a relayed request, which is not relayed again. Its value is a [`Proof`]. Only the
/// listener for other nodes reads it.
pub(crate) const RELAYED_HEADER: &str = "Caperhollow-Relayed";

/// How long a connection to another node may take to open: some may be cut off like this one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long another node may take to answer. It writes once, in some 10 ms, or 250 ms if the store
/// is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Most nodes to try before the caller is told to retry.
const MAX_NODES: usize = 2;

/// How long nothing is relayed after no node could answer, in milliseconds: usually no node can
/// reach the store then, and each would relay to the others. Requests about queues have a pause of
/// their own: nodes may have a stale count although they reach the store.
const FAILURE_PAUSE_MS: u64 = 500;

/// Headers of an answer that are passed on to the caller.
const FORWARDED_HEADERS: [HeaderName; 2] = [header::CONTENT_TYPE, header::RETRY_AFTER];

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

/// A caller's request, as it is relayed to another node.
pub(crate) struct Call {
    pub(crate) subject: Subject,
    pub(crate) method: Method,
    pub(crate) host: String,
    pub(crate) path: String,
    /// The version of the configuration in force: a node with an older one must not answer.
    pub(crate) config: u64,
    /// The digest of the key that the caller has presented, if any.
    pub(crate) key: Option<KeyDigest>,
    pub(crate) body: Bytes,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

/// The result of relaying a request.
pub(crate) enum Relayed {
    Answered(Response),
    /// No node carried it out, and none will.
    NotAccepted,
    /// A node may have carried it out, or may still do so.
    Unknown,
}

/// Relays requests to other nodes.
pub(crate) struct Relay {
    connections: ConnectionsByAddress,
    /// When requests about jobs may be relayed again, in milliseconds of the steady clock.
    jobs_not_before: AtomicU64,
    /// The same for requests about queues.
    queues_not_before: AtomicU64,
    /// How many nodes were tried in vain for requests about queues: other nodes are tried next.
    queue_failures: AtomicUsize,
}

impl Relay {
    pub(crate) fn new() -> Relay {
        let connections = ConnectionsByAddress::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_TIMEOUT)
                .timeout(ANSWER_TIMEOUT)
        });
        Relay {
            connections,
            jobs_not_before: AtomicU64::new(0),
            queues_not_before: AtomicU64::new(0),
            queue_failures: AtomicUsize::new(0),
        }
    }

    /// Whether nothing was relayed in vain lately.
    #[cfg(test)]
    pub(crate) fn is_idle(&self) -> bool {
        let paused = [&self.jobs_not_before, &self.queues_not_before];
        paused.iter().all(|until| until.load(Ordering::Acquire) == 0)
    }

    /// Has another node answer a request.
    pub(crate) async fn relay(&self, node: &Node, call: &Call) -> Relayed {
        let (now, subject) = (node.now().steady, &call.subject);
        let not_before = match subject {
            Subject::Job(_) => &self.jobs_not_before,
            Subject::Queue(_) => &self.queues_not_before,
        };
        if now < Steady::from_millis(not_before.load(Ordering::Acquire)) {
            return Relayed::NotAccepted;
        }
        let mut unknown = false;
        let failures = self.queue_failures.load(Ordering::Relaxed);
        for peer in peers(node, subject, failures).into_iter().take(MAX_NODES) {
            match self.relay_to(node, peer, call).await {
                Relayed::Answered(response) => {
                    log::info!("{subject}: {} answered by {peer}", call.method);
                    return Relayed::Answered(response);
                }
                Relayed::NotAccepted => {}
                Relayed::Unknown => unknown = true,
            }
        }
        let paused_until = node.now().steady.after(FAILURE_PAUSE_MS).since(Steady::default());
        not_before.store(paused_until, Ordering::Release);
        if matches!(subject, Subject::Queue(_)) {
            self.queue_failures.fetch_add(MAX_NODES, Ordering::Relaxed);
        }
        log::info!("{subject}: {} not answered by any other node", call.method);
        if unknown { Relayed::Unknown } else { Relayed::NotAccepted }
    }

    async fn relay_to(&self, node: &Node, peer: SocketAddr, call: &Call) -> Relayed {
        let proof = Proof {
            node: node.settings.node.to_string(),
            config: call.config,
            key: call.key,
            sent: node.now().wall,
            body: proof::digest_of(&call.body),
        };
        let (method, host, path) = (call.method.as_str(), call.host.as_str(), call.path.as_str());
        let proof = proof.sign(&node.secret, Covered { method, host, path });
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{peer}{}", call.path);
        let request = |client: &Client| {
            let request = client.request(call.method.clone(), url);
            request
                .header(header::HOST, &call.host)
                .header(DEADLINE_HEADER, remaining.as_millis() as u64)
                .header(RELAYED_HEADER, proof)
                .body(call.body.clone())
        };
        let answer = match self.connections.call(&peer.to_string(), request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Relayed::NotAccepted,
            Err(error) => {
                log::info!("{}: no complete answer from {peer}: {error}", call.subject);
                return Relayed::Unknown;
            }
        };
        let FullResponse { status, headers, body } = answer;
        match status {
            StatusCode::SERVICE_UNAVAILABLE => return Relayed::NotAccepted,
            StatusCode::GATEWAY_TIMEOUT => return Relayed::Unknown,
            _ => {}
        }
        let mut response = Response::builder().status(status).body(body);
        for name in FORWARDED_HEADERS {
            if let Some(value) = headers.get(&name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        Relayed::Answered(response)
    }
}

/// The other known nodes, in an order that depends on the subject so that they share the load. For
/// queues, replicas come first, beginning after those that failed before: the cause of a failure is
/// not specific to the queue and may last.
fn peers(node: &Node, subject: &Subject, failures: usize) -> Vec<SocketAddr> {
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
        let replica_count = peers.iter().filter(|(is_replica, _)| *is_replica).count();
        peers[..replica_count].rotate_left(failures % replica_count.max(1));
    }
    peers.into_iter().map(|(_, peer)| peer).collect()
}
