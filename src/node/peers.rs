//! Links between nodes: WebSocket with CBOR. Each node dials every other one and sends over its
//! own link: heartbeats, and records that the other does not have.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_tungstenite::{
    accept_async_with_config, client_async_with_config,
    tungstenite::{self, protocol::WebSocketConfig},
};

use crate::{
    model::{
        id::{HostId, NodeId, ServiceId, TeamId, ZoneId},
        unit::{Epoch, Revision, Time},
    },
    node::{Node, sync::jittered},
    platform::store::Entry,
};

/// Messages that wait for a slow link; when there are more, heartbeats make up for the loss.
const WAITING: usize = 64;
/// Largest message.
const MOST_BYTES: usize = 64 << 20;
/// How long a link may take to be opened.
const DIAL_LIMIT: Duration = Duration::from_secs(2);
/// A link that is silent for this long is closed.
const SILENCE: Duration = Duration::from_secs(10);
/// Wait between two attempts to open a link.
const REDIAL: Duration = Duration::from_millis(700);
/// Heartbeats in a row that may show a peer behind before it is sent what it lacks.
const BEHIND: u32 = 2;

/// What a node says of itself, regularly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) started: Time,
    /// Every change of the store up to here is known.
    pub(crate) complete: Revision,
    /// The last change of the configuration that is in force.
    pub(crate) through: u64,
    /// How long ago the view was compared with the store.
    pub(crate) age: Duration,
    /// Hosts that are leaving or away as far as this node knows, and what it has in flight there.
    pub(crate) leaving: Vec<Quiet>,
    /// Requests in flight by service and class.
    pub(crate) busy: Vec<(ServiceId, [u32; 3])>,
    /// Requests lately asked for, a second, by team.
    pub(crate) demand: Vec<(TeamId, u32)>,
    /// Writes of the store lately asked for, a second.
    pub(crate) writes: u32,
}

impl Heartbeat {
    /// Whether nothing of it concerns other nodes' work now.
    fn is_quiet(&self) -> bool {
        self.leaving.is_empty() && self.busy.is_empty() && self.demand.is_empty()
    }
}

/// One node's acknowledgement that a host is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Quiet {
    pub(crate) host: HostId,
    pub(crate) epoch: Epoch,
    pub(crate) in_flight: u32,
}

/// What goes over a link.
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

/// What is known of another node.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) said: Heartbeat,
    pub(crate) at: Time,
    behind: u32,
}

#[derive(Default)]
struct State {
    peers: BTreeMap<NodeId, Peer>,
    links: HashMap<SocketAddr, mpsc::Sender<Message>>,
    /// Which node answers at an address, learned from registrations.
    in_force: BTreeMap<u64, BTreeMap<NodeId, Time>>,
}

/// The node's links and what came over those of others.
#[derive(Default)]
pub(crate) struct Peers {
    state: Mutex<State>,
}

/// Changes of the configuration whose coming into force is remembered.
const IN_FORCE_KEPT: usize = 128;

impl Peers {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of the other nodes.
    pub(crate) fn all(&self) -> BTreeMap<NodeId, Peer> {
        self.lock().peers.clone()
    }

    /// When each recent change of the configuration was first seen in force on each node.
    pub(crate) fn in_force(&self) -> BTreeMap<u64, BTreeMap<NodeId, Time>> {
        self.lock().in_force.clone()
    }

    /// Notes that changes up to `through` are in force on a node.
    pub(crate) fn note_in_force(&self, node: &NodeId, through: u64, now: Time) {
        let mut state = self.lock();
        let known = state.in_force.keys().next_back().copied().unwrap_or(0);
        for number in (known + 1).max(through.saturating_sub(IN_FORCE_KEPT as u64))..=through {
            state.in_force.entry(number).or_default();
        }
        for (_, nodes) in state.in_force.range_mut(..=through) {
            nodes.entry(node.clone()).or_insert(now);
        }
        while IN_FORCE_KEPT < state.in_force.len() {
            state.in_force.pop_first();
        }
    }

    /// Whether a node has said that it sends nothing to a host of this epoch, and has nothing in
    /// flight there.
    pub(crate) fn is_quiet(&self, node: &NodeId, host: &HostId, epoch: Epoch) -> bool {
        let state = self.lock();
        let Some(peer) = state.peers.get(node) else {
            return false;
        };
        let mut acknowledged = peer.said.leaving.iter();
        acknowledged.any(|q| q.host == *host && epoch <= q.epoch && q.in_flight == 0)
    }

    /// Requests of a class and less urgent ones that other nodes have in flight at a service.
    pub(crate) fn busy(&self, service: &ServiceId, from_class: usize) -> u32 {
        let state = self.lock();
        let said = state.peers.values().flat_map(|peer| &peer.said.busy);
        let counts = said.filter(|(id, _)| id == service).map(|(_, counts)| &counts[from_class..]);
        counts.flatten().sum()
    }

    /// Writes of the store a second that other nodes ask for.
    fn writes(&self, now: Time) -> u32 {
        let state = self.lock();
        let heard = state.peers.values().filter(|peer| now.since(peer.at) < SILENCE);
        heard.map(|peer| peer.said.writes).sum()
    }

    /// Requests a second that other nodes are asked for by a team.
    pub(crate) fn demand(&self, team: &TeamId) -> u32 {
        let state = self.lock();
        let said = state.peers.values().flat_map(|peer| &peer.said.demand);
        said.filter(|(id, _)| id == team).map(|(_, rate)| rate).sum()
    }

    fn send(&self, to: &[SocketAddr], message: &Message) {
        let state = self.lock();
        for link in to.iter().filter_map(|address| state.links.get(address)) {
            // A full link is a slow one: its peer asks again by its heartbeat.
            let _ = link.try_send(message.clone());
        }
    }
}

/// Sends new records at once to the nodes of this zone; others ask for them by heartbeat.
pub(crate) fn push(node: &Node, from: Revision, to: Revision, entries: Vec<Entry>) {
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
    let mut quiet = 0;
    loop {
        tick.tick().await;
        let now = Time::now();
        let wanted = wanted(&node);
        for address in &wanted {
            if !node.peers.lock().links.contains_key(address) {
                let (sender, receiver) = mpsc::channel(WAITING);
                node.peers.lock().links.insert(*address, sender);
                tokio::spawn(keep_link(node.clone(), *address, receiver));
            }
        }
        let heartbeat = heartbeat(&node, now);
        // Nodes that are not registered yet write as well.
        let nodes = node.view().fleet.nodes.len().max(wanted.len() + 1) as u32;
        node.pace.hear(nodes, node.peers.writes(now));
        node.peers.note_in_force(node.id(), heartbeat.through, now);
        // A node with nothing to tell says so half as often.
        quiet = if heartbeat.is_quiet() { quiet + 1 } else { 0 };
        if quiet % 2 == 0 {
            node.peers.send(&wanted, &Message::Heartbeat(Box::new(heartbeat)));
        }
    }
}

fn wanted(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.listen.peers;
    let registered: Vec<SocketAddr> = {
        let view = node.view();
        view.fleet.nodes.values().filter_map(|record| record.peers.parse().ok()).collect()
    };
    let mut wanted: Vec<_> = node.settings.peers.iter().copied().chain(registered).collect();
    wanted.sort();
    wanted.dedup();
    wanted.retain(|address| *address != own);
    wanted
}

fn heartbeat(node: &Node, now: Time) -> Heartbeat {
    let view = node.view();
    let out = view.fleet.hosts.iter().filter(|(_, record)| !record.state.serves());
    let leaving = out.map(|(host, record)| Quiet {
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
        writes: node.pace.demand(now),
    }
}

/// Keeps one link open for as long as its node is wanted.
async fn keep_link(node: Arc<Node>, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    loop {
        if let Err(error) = send_over_link(&node, address, &mut messages).await {
            log::debug!("peer {address}: link: {error}");
        }
        if !wanted(&node).contains(&address) {
            node.peers.lock().links.remove(&address);
            return;
        }
        tokio::time::sleep(jittered(REDIAL)).await;
        // What waited meanwhile is old by now.
        while messages.try_recv().is_ok() {}
    }
}

async fn send_over_link(
    node: &Node,
    address: SocketAddr,
    messages: &mut mpsc::Receiver<Message>,
) -> eyre::Result<()> {
    let stream = tokio::time::timeout(DIAL_LIMIT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peers");
    let dialled = client_async_with_config(url, stream, Some(config()));
    let (mut link, _) = tokio::time::timeout(DIAL_LIMIT, dialled).await??;
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return Ok(()) };
                let mut bytes = Vec::new();
                ciborium::into_writer(&message, &mut bytes)?;
                node.traffic.note(bytes.len());
                let sent = link.send(tungstenite::Message::binary(bytes));
                tokio::time::timeout(SILENCE, sent).await??;
            }
            // The other side sends nothing but its end.
            received = link.next() => match received {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(error.into()),
                None => return Ok(()),
            }
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MOST_BYTES)).max_frame_size(Some(MOST_BYTES))
}

/// Accepts the links of other nodes for as long as the node runs.
pub(crate) async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let node = node.clone();
                tokio::spawn(async move {
                    if let Err(error) = receive(&node, stream).await {
                        log::debug!("peer {from}: link: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("peers: not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn receive(node: &Node, stream: TcpStream) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    let accepted = accept_async_with_config(stream, Some(config()));
    let mut link = tokio::time::timeout(DIAL_LIMIT, accepted).await??;
    while let Some(message) = tokio::time::timeout(SILENCE, link.next()).await? {
        match message? {
            tungstenite::Message::Binary(bytes) => {
                node.traffic.note(bytes.len());
                take_in(node, ciborium::from_reader(&bytes[..])?, Time::now());
            }
            tungstenite::Message::Close(_) => break,
            _ => {}
        }
    }
    Ok(())
}

fn take_in(node: &Node, message: Message, now: Time) {
    match message {
        Message::Heartbeat(said) => hear(node, *said, now),
        Message::Records { from, to, entries } => {
            if node.view().extend(from, to, entries) {
                node.note_change();
            }
        }
    }
}

fn hear(node: &Node, said: Heartbeat, now: Time) {
    node.peers.note_in_force(&said.node, said.through, now);
    let own = node.view().complete;
    let (id, theirs) = (said.node.clone(), said.complete);
    let behind = {
        let mut state = node.peers.lock();
        let before = state.peers.get(&id).map_or(0, |peer| peer.behind);
        let behind = if theirs < own { before + 1 } else { 0 };
        // A node that has nothing yet must not wait.
        let due = theirs < own && (BEHIND <= behind || theirs == Revision(0));
        let counted = if due { 0 } else { behind };
        state.peers.insert(id.clone(), Peer { said, at: now, behind: counted });
        due
    };
    if behind {
        catch_up(node, &id, theirs);
    }
}

/// Sends a node what it lacks.
fn catch_up(node: &Node, id: &NodeId, from: Revision) {
    let (message, address) = {
        let view = node.view();
        let (from, entries) = view.since(from);
        let address = view.fleet.nodes.get(id).and_then(|record| record.peers.parse().ok());
        (Message::Records { from, to: view.complete, entries }, address)
    };
    let known: Vec<SocketAddr> = match address {
        Some(address) => vec![address],
        // Not registered, perhaps because the store is down: it is one of those in the settings.
        None => node.settings.peers.clone(),
    };
    node.peers.send(&known, &message);
}
