//! The embedded fleet: stand-ins, and nodes that each have threads of their own. One can be killed,
//! and the others notice only that it no longer answers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::runtime::Runtime;

use crate::{
    decide::rules::{Expected, Rules},
    error::Error,
    model::id::{NodeId, ZoneId},
    node::{
        Node,
        run::{self, Sockets},
    },
    operator::client::Client,
    preset::Preset,
    settings::node::{self as settings, NodeSettings},
    standin::{
        platform::{self, Platform},
        worker::{self, Workers},
    },
};

/// One embedded node.
pub(crate) struct DemoNode {
    pub(crate) id: NodeId,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    runtime: Option<Runtime>,
    running: Arc<Node>,
}

/// Stand-ins and nodes.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) workers: Workers,
    pub(crate) nodes: Vec<DemoNode>,
}

/// Sockets that are bound before the nodes start, so that each node gets the others' addresses.
struct Bound {
    callers: std::net::TcpListener,
    operators: std::net::TcpListener,
    peers: std::net::TcpListener,
}

fn bind() -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Bound {
    fn open() -> std::io::Result<Bound> {
        Ok(Bound { callers: bind()?, operators: bind()?, peers: bind()? })
    }

    fn sockets(self) -> std::io::Result<Sockets> {
        Ok(Sockets {
            callers: tokio::net::TcpListener::from_std(self.callers)?,
            operators: tokio::net::TcpListener::from_std(self.operators)?,
            peers: tokio::net::TcpListener::from_std(self.peers)?,
        })
    }
}

impl Drop for DemoNode {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Fleet {
    /// Starts stand-ins and nodes with a preset.
    pub(crate) async fn start(preset: &Preset, nodes: u32) -> Result<Fleet, Error> {
        let failed = |error: std::io::Error| Error::system("listen on loopback", error);
        let platform = platform::start(platform::Options::default()).await.map_err(failed)?;
        let workers = worker::start(worker::Options {
            platform: platform.url.clone(),
            hosts: preset.hosts,
            rack_size: preset.rack_size,
            zones: preset.zones,
            capacity: preset.capacity,
            ..worker::Options::default()
        });
        let workers = workers.await.map_err(failed)?;
        let bound: Vec<Bound> =
            (0..nodes).map(|_| Bound::open()).collect::<Result<_, _>>().map_err(failed)?;
        let peers: Vec<SocketAddr> = bound
            .iter()
            .map(|bound| bound.peers.local_addr())
            .collect::<Result<_, _>>()
            .map_err(failed)?;
        let mut started = Vec::new();
        for (number, bound) in bound.into_iter().enumerate() {
            let node = start_node(preset, number, bound, &peers, &platform.url).await;
            started.push(node.map_err(failed)?);
        }
        Ok(Fleet { platform, workers, nodes: started })
    }

    /// A client of the operators' API of one node.
    pub(crate) fn client(&self, node: usize) -> Client {
        Client::new(&self.nodes[node].operators.to_string())
    }

    /// Bytes that the control traffic of all nodes has sent and received.
    pub(crate) fn traffic(&self) -> u64 {
        self.nodes.iter().map(|node| node.running.traffic.total()).sum()
    }

    /// Ends a node at once, as if its process were killed.
    pub(crate) fn kill(&mut self, node: usize) -> NodeId {
        let node = &mut self.nodes[node];
        if let Some(runtime) = node.runtime.take() {
            runtime.shutdown_background();
        }
        node.id.clone()
    }
}

async fn start_node(
    preset: &Preset,
    number: usize,
    bound: Bound,
    peers: &[SocketAddr],
    platform: &str,
) -> std::io::Result<DemoNode> {
    let (callers, operators) = (bound.callers.local_addr()?, bound.operators.local_addr()?);
    let settings = settings(preset, number, &bound, peers, platform)?;
    let id = settings.node.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(format!("node-{number}"))
        .enable_all()
        .build()?;
    let started = runtime.spawn(async move {
        let sockets = bound.sockets()?;
        Ok::<_, std::io::Error>(run::start(settings, sockets).node)
    });
    let running = started.await.map_err(std::io::Error::other)??;
    Ok(DemoNode { id, callers, operators, runtime: Some(runtime), running })
}

fn settings(
    preset: &Preset,
    number: usize,
    bound: &Bound,
    peers: &[SocketAddr],
    platform: &str,
) -> std::io::Result<NodeSettings> {
    let zone: ZoneId = worker::zone_id(number as u32, 1, preset.zones);
    let text = format!(
        r#"{{
            "node": "entry-{number}", "zone": "{zone}",
            "listen": {{ "callers": "{}", "operators": "{}", "peers": "{}" }},
            "platform": {{ "store": "{platform}", "hosts": "{platform}" }},
        }}"#,
        bound.callers.local_addr()?,
        bound.operators.local_addr()?,
        bound.peers.local_addr()?,
    );
    let mut settings = settings::parse("demo", &text).map_err(std::io::Error::other)?;
    settings.peers = peers.to_vec();
    settings.rules = Rules {
        weights: preset.weights(),
        // Expected durations at the stand-ins.
        expected: Expected {
            quiet: Duration::from_millis(1500),
            start: Duration::from_millis(1500),
            reboot: Duration::from_secs(4),
        },
        leave_limit: Duration::from_secs(20),
        away_limit: Duration::from_secs(20),
        start_limit: Duration::from_secs(10),
        ..Rules::default()
    };
    Ok(settings)
}
