//! Links between nodes: WebSocket with CBOR. Each node connects to every other one and sends
//! heartbeats, and records that the peer does not have, over its own link.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, sync::mpsc, time::Instant};
use tokio_tungstenite::{
    accept_async_with_config, client_async_with_config,
    tungstenite::{self, protocol::WebSocketConfig},
};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{BoundedListener, CountedStream},
    model::{
        id::{HostId, NodeId, ServiceId, TeamId, ZoneId},
        unit::{Epoch, Revision, Time},
    },
    node::{Node, sync::jittered},
    platform::store::Entry,
};

/// Maximum number of messages queued for a slow link. Further ones are dropped; the peer's
/// heartbeats then show which records it lacks, and it is sent those.
const LINK_QUEUE_LEN: usize = 64;
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Size of the buffer from which messages are read, in bytes.
const LINK_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout for opening a link.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// A link is closed after this time without traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two attempts to open a link.
const REDIAL_DELAY: Duration = Duration::from_millis(700);
/// A peer is sent the records that it lacks after this many consecutive heartbeats with a stale
/// view.
const STALE_HEARTBEATS: u32 = 2;

/// Periodic report of a node about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) started: Time,
    /// Every change of the store up to this revision is in the node's view.
    pub(crate) complete: Revision,
    /// The last change of the configuration that is in force.
    pub(crate) through: u64,
    /// Time since the view was compared with the store.
    pub(crate) age: Duration,
    /// Hosts that do not serve according to the view of the node, with the node's requests in
    /// flight there.
    pub(crate) leaving: Vec<LeaveAck>,
    /// Requests in flight by service and class.
    pub(crate) busy: Vec<(ServiceId, [u32; 3])>,
    /// Recent demand in requests per second, by team.
    pub(crate) demand: Vec<(TeamId, u32)>,
    /// Recent demand in writes to the store per second.
    pub(crate) writes: u32,
}

impl Heartbeat {
    /// Whether the heartbeat contains nothing that other nodes currently depend on.
    fn is_idle(&self) -> bool {
        self.leaving.is_empty() && self.busy.is_empty() && self.demand.is_empty()
    }
}

/// A node's acknowledgement that a host is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaveAck {
    pub(crate) host: HostId,
    pub(crate) epoch: Epoch,
    pub(crate) in_flight: u32,
}

/// A message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Message {
    Heartbeat(Box<Heartbeat>),
    /// Every change after `from` up to `to`.
    Records {
        from: Revision,
        to: Revision,
        entries: Vec<Entry>,
    },
}

/// Another node, as of its last heartbeat.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) received_at: Time,
    stale_count: u32,
}

#[derive(Default)]
struct State {
    peers: BTreeMap<NodeId, Peer>,
    links: HashMap<SocketAddr, mpsc::Sender<Message>>,
    /// When each recent change of the configuration was first seen in force on each node.
    in_force: BTreeMap<u64, BTreeMap<NodeId, Time>>,
}

/// The node's links to its peers, and their last heartbeats.
#[derive(Default)]
pub(crate) struct Peers {
    state: Mutex<State>,
}

/// Maximum number of configuration changes whose activation times are tracked.
const MAX_TRACKED_CHANGES: usize = 128;

impl Peers {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The other nodes.
    pub(crate) fn all(&self) -> BTreeMap<NodeId, Peer> {
        self.lock().peers.clone()
    }

    /// When each recent change of the configuration was first seen in force on each node.
    pub(crate) fn in_force(&self) -> BTreeMap<u64, BTreeMap<NodeId, Time>> {
        self.lock().in_force.clone()
    }

    /// Records that changes up to `through` are in force on a node.
    pub(crate) fn note_in_force(&self, node: &NodeId, through: u64, now: Time) {
        let mut state = self.lock();
        let known = state.in_force.keys().next_back().copied().unwrap_or(0);
        for number in (known + 1).max(through.saturating_sub(MAX_TRACKED_CHANGES as u64))..=through
        {
            state.in_force.entry(number).or_default();
        }
        for (_, nodes) in state.in_force.range_mut(..=through) {
            nodes.entry(node.clone()).or_insert(now);
        }
        while MAX_TRACKED_CHANGES < state.in_force.len() {
            state.in_force.pop_first();
        }
    }

    /// Whether a node has acknowledged that it sends nothing to a host of this epoch, and has no
    /// requests in flight there.
    pub(crate) fn is_quiet(&self, node: &NodeId, host: &HostId, epoch: Epoch) -> bool {
        let state = self.lock();
        let Some(peer) = state.peers.get(node) else {
            return false;
        };
        let mut acknowledged = peer.heartbeat.leaving.iter();
        acknowledged.any(|ack| ack.host == *host && epoch <= ack.epoch && ack.in_flight == 0)
    }

    /// Requests of a class and of less urgent classes that other nodes have in flight at a service.
    pub(crate) fn busy(&self, service: &ServiceId, from_class: usize) -> u32 {
        let state = self.lock();
        let entries = state.peers.values().flat_map(|peer| &peer.heartbeat.busy);
        let counts =
            entries.filter(|(id, _)| id == service).map(|(_, counts)| &counts[from_class..]);
        counts.flatten().sum()
    }

    /// Demand of other nodes in writes to the store per second.
    fn write_demand(&self, now: Time) -> u32 {
        let state = self.lock();
        let live = state.peers.values().filter(|peer| now.since(peer.received_at) < IDLE_TIMEOUT);
        live.map(|peer| peer.heartbeat.writes).sum()
    }

    /// Demand of a team at other nodes, in requests per second.
    pub(crate) fn demand(&self, team: &TeamId) -> u32 {
        let state = self.lock();
        let entries = state.peers.values().flat_map(|peer| &peer.heartbeat.demand);
        entries.filter(|(id, _)| id == team).map(|(_, rate)| rate).sum()
    }

    fn send(&self, to: &[SocketAddr], message: &Message) {
        let state = self.lock();
        for link in to.iter().filter_map(|address| state.links.get(address)) {
            // A message that does not fit into the queue of a slow link is dropped: the peer's
            // heartbeats show what it lacks.
            let _ = link.try_send(message.clone());
        }
    }
}

/// Sends new records at once to the nodes of this availability zone. Others receive them after
/// their heartbeats show a stale view.
pub(crate) fn push_records(node: &Node, from: Revision, to: Revision, entries: Vec<Entry>) {
    let zone = &node.settings.zone;
    let addresses: Vec<SocketAddr> = {
        let view = node.view();
        let others = view.fleet.nodes.iter().filter(|(id, _)| *id != node.id());
        let same_zone = others.filter(|(_, record)| record.zone == *zone);
        same_zone.filter_map(|(_, record)| record.peers.parse().ok()).collect()
    };
    node.peers.send(&addresses, &Message::Records { from, to, entries });
}

/// Opens a link to every node that is registered or named in the settings, and sends heartbeats.
pub(crate) async fn dial(node: Arc<Node>) {
    let mut tick = tokio::time::interval(node.settings.timing.heartbeat);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle_ticks = 0;
    loop {
        tick.tick().await;
        let now = Time::now();
        let addresses = peer_addresses(&node);
        for address in &addresses {
            if !node.peers.lock().links.contains_key(address) {
                let (sender, receiver) = mpsc::channel(LINK_QUEUE_LEN);
                node.peers.lock().links.insert(*address, sender);
                tokio::spawn(maintain_link(node.clone(), *address, receiver));
            }
        }
        let heartbeat = heartbeat(&node, now);
        // Nodes that are not registered yet write to the store as well.
        let nodes = node.view().fleet.nodes.len().max(addresses.len() + 1) as u32;
        node.write_limiter.set_peer_demand(nodes, node.peers.write_demand(now));
        node.peers.note_in_force(node.id(), heartbeat.through, now);
        // An idle node sends heartbeats half as often.
        idle_ticks = if heartbeat.is_idle() { idle_ticks + 1 } else { 0 };
        if idle_ticks % 2 == 0 {
            node.peers.send(&addresses, &Message::Heartbeat(Box::new(heartbeat)));
        }
    }
}

fn peer_addresses(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.listen.peers;
    let registered: Vec<SocketAddr> = {
        let view = node.view();
        view.fleet.nodes.values().filter_map(|record| record.peers.parse().ok()).collect()
    };
    let mut addresses: Vec<_> = node.settings.peers.iter().copied().chain(registered).collect();
    addresses.sort();
    addresses.dedup();
    addresses.retain(|address| *address != own);
    addresses
}

fn heartbeat(node: &Node, now: Time) -> Heartbeat {
    let view = node.view();
    let not_serving = view.fleet.hosts.iter().filter(|(_, record)| !record.state.serves());
    let leaving = not_serving.map(|(host, record)| LeaveAck {
        host: host.clone(),
        epoch: record.epoch,
        in_flight: node.routes.in_flight(host),
    });
    Heartbeat {
        node: node.id().clone(),
        zone: node.settings.zone.clone(),
        started: node.started,
        complete: view.complete,
        through: view.fleet.through,
        age: now.since(view.verified),
        leaving: leaving.collect(),
        busy: node.gates.busy(),
        demand: node.gates.demand(now),
        writes: node.write_limiter.demand(now),
    }
}

/// Keeps one link open for as long as its address is registered or in the settings.
async fn maintain_link(
    node: Arc<Node>,
    address: SocketAddr,
    mut messages: mpsc::Receiver<Message>,
) {
    loop {
        if let Err(error) = send_over_link(&node, address, &mut messages).await {
            log::debug!("peer {address}: link: {error}");
        }
        if !peer_addresses(&node).contains(&address) {
            node.peers.lock().links.remove(&address);
            return;
        }
        tokio::time::sleep(jittered(REDIAL_DELAY)).await;
        // Messages queued in the meantime are outdated.
        while messages.try_recv().is_ok() {}
    }
}

async fn send_over_link(
    node: &Node,
    address: SocketAddr,
    messages: &mut mpsc::Receiver<Message>,
) -> eyre::Result<()> {
    let stream = tokio::time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peers");
    let handshake = client_async_with_config(url, stream, Some(config()));
    let (mut link, _) = tokio::time::timeout(DIAL_TIMEOUT, handshake).await??;
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return Ok(()) };
                let mut bytes = Vec::new();
                ciborium::into_writer(&message, &mut bytes)?;
                node.traffic.record(bytes.len());
                let sent = link.send(tungstenite::Message::binary(bytes));
                tokio::time::timeout(IDLE_TIMEOUT, sent).await??;
            }
            // The peer sends nothing on this link except its close.
            received = link.next() => match received {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(error.into()),
                None => return Ok(()),
            }
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(LINK_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Accepts the links of other nodes for as long as the node runs.
pub(crate) async fn accept(node: Arc<Node>, listener: BoundedListener) {
    let never = CancellationToken::new();
    loop {
        let (stream, _, from) = listener.accept(&never).await;
        let node = node.clone();
        tokio::spawn(async move {
            if let Err(error) = receive(&node, stream).await {
                log::debug!("peer {from}: link: {error}");
            }
        });
    }
}

async fn receive(node: &Node, stream: CountedStream) -> eyre::Result<()> {
    let connection = stream.connection().clone();
    connection.become_link();
    let accepted = accept_async_with_config(stream, Some(config()));
    let mut link = tokio::time::timeout(DIAL_TIMEOUT, accepted).await??;
    connection.finish(Instant::now());
    while let Some(message) = tokio::time::timeout(IDLE_TIMEOUT, link.next()).await? {
        match message? {
            tungstenite::Message::Binary(bytes) => {
                node.traffic.record(bytes.len());
                handle_message(node, ciborium::from_reader(&bytes[..])?, Time::now());
                connection.finish(Instant::now());
            }
            tungstenite::Message::Close(_) => break,
            _ => {}
        }
    }
    Ok(())
}

fn handle_message(node: &Node, message: Message, now: Time) {
    match message {
        Message::Heartbeat(heartbeat) => handle_heartbeat(node, *heartbeat, now),
        Message::Records { from, to, entries } => {
            if node.view().extend(from, to, entries) {
                node.notify_change();
            }
        }
    }
}

fn handle_heartbeat(node: &Node, heartbeat: Heartbeat, now: Time) {
    node.peers.note_in_force(&heartbeat.node, heartbeat.through, now);
    let own_revision = node.view().complete;
    let (id, peer_revision) = (heartbeat.node.clone(), heartbeat.complete);
    let send_due = {
        let mut state = node.peers.lock();
        let before = state.peers.get(&id).map_or(0, |peer| peer.stale_count);
        let stale = if peer_revision < own_revision { before + 1 } else { 0 };
        // A node without any records is sent them at its first heartbeat.
        let due = peer_revision < own_revision
            && (STALE_HEARTBEATS <= stale || peer_revision == Revision(0));
        let counted = if due { 0 } else { stale };
        state.peers.insert(id.clone(), Peer { heartbeat, received_at: now, stale_count: counted });
        due
    };
    if send_due {
        send_missing(node, &id, peer_revision);
    }
}

/// Sends a node all records that it lacks.
fn send_missing(node: &Node, id: &NodeId, from: Revision) {
    let (message, address) = {
        let view = node.view();
        let (from, entries) = view.since(from);
        let address = view.fleet.nodes.get(id).and_then(|record| record.peers.parse().ok());
        (Message::Records { from, to: view.complete, entries }, address)
    };
    let targets: Vec<SocketAddr> = match address {
        Some(address) => vec![address],
        // Not registered, perhaps because the store is down: send to all peers in the settings.
        None => node.settings.peers.clone(),
    };
    node.peers.send(&targets, &message);
}
