//! Relays requests of callers to another node, if this node cannot reach the store or its view is
//! too old for an answer. All of these requests are idempotent, so that one whose answer was lost
//! is sent to the next node.

pub(crate) mod choice;
pub(crate) mod proof;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    fmt,
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
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

use choice::Peer;
use proof::{Covered, Proof};

/// The header of a relayed request, which is not relayed again. Its value is a [`Proof`]. Only the
/// listener for other nodes reads it.
pub(crate) const RELAYED_HEADER: &str = "Caperhollow-Relayed";

/// How long a connection to another node may take to open: some may be cut off like this one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of idle connections to another node.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// How long another node may take to answer. It writes once, in some 10 ms, or 250 ms if the store
/// is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Most nodes to try before the caller is told to retry.
const MAX_NODES: usize = 2;

/// Most nodes to try where the loss of a zone is tolerated: one in each of three zones.
const MAX_ZONE_NODES: usize = 3;

/// How long a node that could not be reached is tried after all others, in milliseconds, where the
/// loss of a zone is tolerated.
const FAILED_PEER_MS: u64 = 2_000;

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
    /// Whether this node may have carried it out already, or may still do so.
    pub(crate) may_be_done: bool,
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
    /// Until when each node that could not be reached is tried after all others.
    failed: Mutex<BTreeMap<SocketAddr, Steady>>,
    /// Whether none of the nodes that were tried last could be reached.
    cut_off: AtomicBool,
}

impl Relay {
    pub(crate) fn new() -> Relay {
        let connections = ConnectionsByAddress::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_TIMEOUT)
                .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        });
        Relay {
            connections,
            jobs_not_before: AtomicU64::new(0),
            queues_not_before: AtomicU64::new(0),
            queue_failures: AtomicUsize::new(0),
            failed: Mutex::default(),
            cut_off: AtomicBool::new(false),
        }
    }

    /// Whether no other node could be reached when a request was last relayed.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.load(Ordering::Acquire)
    }

    fn failed(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Steady>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
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
            node.metrics.record_relay("not tried");
            return Relayed::NotAccepted;
        }
        let pause = || {
            let until = node.now().steady.after(FAILURE_PAUSE_MS);
            not_before.store(until.since(Steady::default()), Ordering::Release);
        };
        let was_cut_off = self.is_cut_off();
        if was_cut_off {
            // Only this request finds out whether others can be relayed again.
            pause();
        }
        let mut unknown = call.may_be_done;
        let (mut tried, mut reached) = (false, false);
        let failures = self.queue_failures.load(Ordering::Relaxed);
        let over_zones = node.settings.zones.tolerated_losses != 0;
        let max = if over_zones { MAX_ZONE_NODES } else { MAX_NODES };
        let failed = self.failed().clone();
        let has_failed = |peer: &SocketAddr| failed.get(peer).is_some_and(|until| now < *until);
        for peer in peers(node, subject, failures, has_failed).into_iter().take(max) {
            if over_zones && call.deadline <= Instant::now() {
                break;
            }
            tried = true;
            let (relayed, has_answered) = self.relay_to(node, peer, call).await;
            reached |= has_answered;
            if over_zones {
                self.note_reached(peer, has_answered, node.now().steady);
            }
            match relayed {
                Relayed::Answered(response) if unknown && is_refusal(call, response.status()) => {
                    let status = response.status();
                    log::info!("{subject}: {status} of {peer} is not the answer: it may be done");
                }
                Relayed::Answered(response) => {
                    log::info!("{subject}: {} answered by {peer}", call.method);
                    node.metrics.record_relay("answered");
                    self.cut_off.store(false, Ordering::Release);
                    if was_cut_off {
                        not_before.store(0, Ordering::Release);
                    }
                    return Relayed::Answered(response);
                }
                Relayed::NotAccepted => {}
                Relayed::Unknown => unknown = true,
            }
        }
        if tried {
            self.cut_off.store(over_zones && !reached, Ordering::Release);
        }
        pause();
        if matches!(subject, Subject::Queue(_)) {
            self.queue_failures.fetch_add(max, Ordering::Relaxed);
        }
        log::info!("{subject}: {} not answered by any other node", call.method);
        node.metrics.record_relay(if unknown { "unknown" } else { "not accepted" });
        if unknown { Relayed::Unknown } else { Relayed::NotAccepted }
    }

    /// Records that the store is reached from this node.
    pub(crate) fn note_store_reached(&self) {
        self.cut_off.store(false, Ordering::Release);
    }

    fn note_reached(&self, peer: SocketAddr, has_answered: bool, now: Steady) {
        let mut failed = self.failed();
        failed.retain(|_, until| now < *until);
        if has_answered {
            failed.remove(&peer);
        } else {
            failed.insert(peer, now.after(FAILED_PEER_MS));
        }
    }

    /// Has one node answer a request. Also returns whether it has answered at all.
    async fn relay_to(&self, node: &Node, peer: SocketAddr, call: &Call) -> (Relayed, bool) {
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
        let over_zones = node.settings.zones.tolerated_losses != 0;
        let time_limit = if over_zones { remaining.min(ANSWER_TIMEOUT) } else { ANSWER_TIMEOUT };
        let url = format!("http://{peer}{}", call.path);
        let request = |client: &Client| {
            let request = client.request(call.method.clone(), url);
            request
                .header(header::HOST, &call.host)
                .header(DEADLINE_HEADER, remaining.as_millis() as u64)
                .header(RELAYED_HEADER, proof)
                .timeout(time_limit)
                .body(call.body.clone())
        };
        let answer = match self.connections.call(&peer.to_string(), request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return (Relayed::NotAccepted, false),
            Err(error) => {
                log::info!("{}: no complete answer from {peer}: {error}", call.subject);
                return (Relayed::Unknown, false);
            }
        };
        let FullResponse { status, headers, body } = answer;
        match status {
            StatusCode::SERVICE_UNAVAILABLE => return (Relayed::NotAccepted, true),
            StatusCode::GATEWAY_TIMEOUT => return (Relayed::Unknown, true),
            _ => {}
        }
        let mut response = Response::builder().status(status).body(body);
        for name in FORWARDED_HEADERS {
            if let Some(value) = headers.get(&name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        (Relayed::Answered(response), true)
    }
}

/// Whether an answer says that a request that changes something was not and will not be carried out.
/// It holds for the node that gave it, and not for an earlier attempt by another one.
fn is_refusal(call: &Call, status: StatusCode) -> bool {
    call.method != Method::GET && status.is_client_error() && status != StatusCode::GONE
}

/// The other known nodes, in an order that depends on the subject so that they share the load.
/// Replicas come first: they know every node that may relay. For queues, those that failed before
/// come last: the cause of a failure is not specific to the queue and may last.
fn peers(
    node: &Node,
    subject: &Subject,
    failures: usize,
    has_failed: impl Fn(&SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let view = node.view();
    let replicas = view.replicas(&node.settings);
    let own_name = node.settings.node.as_str();
    let others = view.known_nodes().filter(|(name, _)| *name != own_name);
    let mut peers: Vec<Peer> = others
        .filter_map(|(name, record)| {
            let address = record.peers?;
            let is_replica = replicas.contains(name);
            let failed = has_failed(&address);
            Some(Peer { address, zone: record.zone.clone(), is_replica, failed })
        })
        .collect();
    drop(view);
    let is_queue = matches!(subject, Subject::Queue(_));
    peers.sort_by_key(|Peer { address, is_replica, .. }| {
        let mut hasher = DefaultHasher::new();
        (address, subject).hash(&mut hasher);
        (!is_replica, hasher.finish())
    });
    if is_queue {
        let replica_count = peers.iter().filter(|peer| peer.is_replica).count();
        peers[..replica_count].rotate_left(failures % replica_count.max(1));
    }
    if node.settings.zones.tolerated_losses != 0 {
        peers = choice::over_zones(peers, &node.settings.zone, is_queue);
    }
    peers.into_iter().map(|peer| peer.address).collect()
}
