//! A scheduler node's settings.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    jobs::fleet::Sizing,
    model::{
        id::{NodeId, ZoneId},
        unit::Millicores,
    },
    settings::{
        Problems,
        node::read_file,
        reader::{self, Section},
    },
};

/// The processor time of a node whose settings do not name it, in cores.
const DEFAULT_CORES: f64 = 1.0;

/// The most processor time that settings may name, in cores.
const MOST_CORES: f64 = 1_000.0;

/// Nodes that hear of everything unless the settings say how many: for each of the six pieces of work
/// of a deployment with five pools its owner, and one that can take over at once. Each such node hears
/// up to 700 KB a second while 160 jobs a second come, by their records' sizes; 147 of them would take
/// what a store's link of 1,000 Mbit/s has.
const DEFAULT_REPLICAS: u64 = 12;

/// All that a scheduler node is told when it starts.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SchedulerSettings {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    /// The processor time that the node has: those that have more own more work.
    pub(crate) cpu: Millicores,
    pub(crate) listen: SchedulerListen,
    pub(crate) platform: PlatformAddresses,
    /// How long the node may take to end.
    pub(crate) grace: Duration,
    pub(crate) sizing: Sizing,
    /// Nodes that hear of everything and may own work, beside those that own some.
    pub(crate) replicas: usize,
}

/// Where a scheduler node listens.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SchedulerListen {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Where requests of callers come that other nodes hand on; none if they are not to.
    pub(crate) peers: Option<SocketAddr>,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlatformAddresses {
    pub(crate) store: SocketAddr,
    pub(crate) hosts: SocketAddr,
    /// The service that gives tickets; none where no queue needs them.
    pub(crate) advice: Option<SocketAddr>,
    /// What must pass between the calls of two nodes that change one host.
    pub(crate) handover: Duration,
}

/// Reads the settings in a file.
pub(crate) fn load(path: &Path) -> Result<SchedulerSettings, Problems> {
    let file = path.display().to_string();
    let text = read_file(path, &file)?;
    parse(&file, &text)
}

/// Reads settings from text.
pub(crate) fn parse(file: &str, text: &str) -> Result<SchedulerSettings, Problems> {
    reader::read(file, text, scheduler)
}

fn scheduler(section: &Section<'_>) -> Option<SchedulerSettings> {
    // Every field is read before any is missed, so that all problems are told at once.
    let node = section.text("node");
    let zone = section.text("zone");
    let listen = section.section("listen", listen);
    let platform = section.section("platform", platform);
    let cpu = section.weight_or("cpu_cores", MOST_CORES, DEFAULT_CORES);
    let grace = section.section_or_default("stop", |inner| {
        inner.millis_or("grace_ms", 1_000..=600_000, Duration::from_secs(6))
    });
    let sizing = section.section_or_default("pools", sizing);
    let replicas = section.number_or("replicas", 1..=10_000, DEFAULT_REPLICAS);
    Some(SchedulerSettings {
        node: node?,
        zone: zone?,
        cpu: Millicores((cpu? * 1_000.0).round().max(1.0) as u32),
        listen: listen?,
        platform: platform?,
        grace: grace?,
        sizing: sizing?,
        replicas: replicas? as usize,
    })
}

fn sizing(section: &Section<'_>) -> Option<Sizing> {
    let default = Sizing::default();
    let full = section.number_or("full_percent", 10..=100, default.full_percent);
    let margin = section.number_or("margin_hosts", 0..=1_000, default.margin_hosts as u64);
    let shrink = section.number_or("shrink_after_ms", 0..=600_000, default.shrink_after_ms);
    let growth = section.number_or("growth_percent", 0..=1_000, default.growth_percent);
    Some(Sizing {
        full_percent: full?,
        growth_percent: growth?,
        margin_hosts: margin? as usize,
        shrink_after_ms: shrink?,
    })
}

fn listen(section: &Section<'_>) -> Option<SchedulerListen> {
    let callers = section.text("callers");
    let readiness = section.text("readiness");
    let metrics = section.text("metrics");
    let peers = section.text_or::<Optional>("peers", Optional(None));
    Some(SchedulerListen {
        callers: callers?,
        readiness: readiness?,
        metrics: metrics?,
        peers: peers?.0,
    })
}

fn platform(section: &Section<'_>) -> Option<PlatformAddresses> {
    let store = section.text("store");
    let hosts = section.text("hosts");
    let advice = section.text_or::<Optional>("advice", Optional(None));
    let handover = section.millis_or("handover_ms", 0..=600_000, Duration::from_millis(3_000));
    Some(PlatformAddresses { store: store?, hosts: hosts?, advice: advice?.0, handover: handover? })
}

/// An address, or an empty text for none.
struct Optional(Option<SocketAddr>);

impl std::str::FromStr for Optional {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Optional, std::net::AddrParseError> {
        match text {
            "" => Ok(Optional(None)),
            _ => text.parse().map(|address| Optional(Some(address))),
        }
    }
}
