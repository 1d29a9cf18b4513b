//! A scheduler node's settings.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    jobs::fleet::Sizing,
    model::{
        id::{NodeId, ZoneId},
        unit::{Megabytes, Millicores},
    },
    settings::{
        Problems,
        clients::{self, ClientLimits},
        node::read_file,
        reader::{self, Section},
    },
};

/// Default processor time of a node, in cores.
const DEFAULT_CORES: f64 = 1.0;

/// Maximum processor time of a node, in cores.
const MAX_CORES: f64 = 1_000.0;

/// Default number of nodes with a full replica of the view: an owner for each of the six pieces of
/// work of a deployment with five pools, and as many nodes that can take over at once. Each replica
/// receives up to 700 KB/s at 160 jobs per second, by the sizes of the records; 147 replicas would
/// saturate a store's link of 1,000 Mbit/s.
const DEFAULT_REPLICAS: u64 = 12;

/// Default of the greatest age of the configuration with which a strict node accepts keys.
const DEFAULT_KEY_AGE: Duration = Duration::from_millis(5_000);

/// Default of the time within which a change of the configuration must be in force.
const DEFAULT_CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Most calls per second that a platform accepts for moving and maintaining hosts.
const MAX_HOST_CALLS: f64 = 100_000.0;

/// Default memory of a node's machine.
const DEFAULT_MEMORY: Megabytes = Megabytes(256);

/// Default number of descriptors that a node may have open.
const DEFAULT_DESCRIPTORS: u64 = 4_096;

/// Most availability zones of a deployment.
const MAX_ZONES: u64 = 1_000;

/// The settings of a scheduler node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SchedulerSettings {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    /// The node's processor time. Nodes with more own more work.
    pub(crate) cpu: Millicores,
    pub(crate) listen: SchedulerListen,
    pub(crate) platform: PlatformAddresses,
    /// How long the node may take to shut down.
    pub(crate) grace: Duration,
    pub(crate) sizing: Sizing,
    /// Number of nodes, besides the owners, that keep a full replica of the view and may acquire
    /// work.
    pub(crate) replicas: usize,
    /// The greatest age of the configuration with which the node accepts keys of client accounts;
    /// `None` for any age: keys then stay valid while the node cannot reach the store.
    pub(crate) max_key_age: Option<Duration>,
    pub(crate) zones: ZoneSettings,
    /// The time within which a change of the configuration must be in force.
    pub(crate) config_bound: Duration,
    pub(crate) limits: MachineLimits,
}

/// What a node may use of its machine, and what a client may use of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MachineLimits {
    /// Memory that the process may use.
    pub(crate) memory: Megabytes,
    /// Descriptors that the process may have open.
    pub(crate) descriptors: usize,
    pub(crate) clients: ClientLimits,
}

/// What the node does about availability zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ZoneSettings {
    /// How many availability zones may be lost at once; 0 if work need not be spread over them.
    pub(crate) tolerated_losses: u32,
    /// The time after the acknowledgement of an evacuation from which on nothing may start in its
    /// zone; `None` if zones are not evacuated.
    pub(crate) evacuation: Option<Duration>,
}

/// The addresses at which a scheduler node listens.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SchedulerListen {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// For callers' requests that other nodes relay; `None` if they must not relay any.
    pub(crate) peers: Option<SocketAddr>,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlatformAddresses {
    pub(crate) store: SocketAddr,
    pub(crate) hosts: SocketAddr,
    /// The advice service, which grants tickets; `None` if no queue needs them.
    pub(crate) advice: Option<SocketAddr>,
    /// Minimum time between calls of two different nodes that change the same host.
    pub(crate) handover: Duration,
}

/// Loads the settings from a file.
pub(crate) fn load(path: &Path) -> Result<SchedulerSettings, Problems> {
    let file = path.display().to_string();
    let text = read_file(path, &file)?;
    parse(&file, &text)
}

/// Parses settings.
pub(crate) fn parse(file: &str, text: &str) -> Result<SchedulerSettings, Problems> {
    reader::read(file, text, scheduler)
}

fn scheduler(section: &Section<'_>) -> Option<SchedulerSettings> {
    // All fields are read before the first `?`, so that all problems are reported together.
    let node = section.text("node");
    let zone = section.text("zone");
    let listen = section.section("listen", listen);
    let platform = section.section("platform", platform);
    let cpu = section.weight_or("cpu_cores", MAX_CORES, DEFAULT_CORES);
    let grace = section.section_or_default("stop", |inner| {
        inner.millis_or("grace_ms", 1_000..=600_000, Duration::from_secs(6))
    });
    let sizing = section.section_or_default("pools", sizing);
    let max_key_age = section.section_or_default("keys", keys);
    let zones = section.section_or_default("zones", zones);
    let config_bound = section.section_or_default("configuration", |inner| {
        inner.millis_or("apply_ms", 500..=600_000, DEFAULT_CONFIG_BOUND)
    });
    let limits = section.section_or_default("limits", limits);
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
        max_key_age: max_key_age?,
        zones: zones?,
        config_bound: config_bound?,
        limits: limits?,
    })
}

fn limits(section: &Section<'_>) -> Option<MachineLimits> {
    let memory = section.number_or("memory_mb", 32..=1_048_576, DEFAULT_MEMORY.0.into());
    let descriptors = section.number_or("descriptors", 256..=1_048_576, DEFAULT_DESCRIPTORS);
    let clients = clients::limits(section);
    Some(MachineLimits {
        memory: Megabytes(memory? as u32),
        descriptors: descriptors? as usize,
        clients: clients?,
    })
}

fn zones(section: &Section<'_>) -> Option<ZoneSettings> {
    let tolerated_losses = section.number_or("tolerated_losses", 0..=MAX_ZONES, 0);
    let evacuate_ms = section.number_or("evacuate_ms", 0..=600_000, 0);
    Some(ZoneSettings {
        tolerated_losses: tolerated_losses? as u32,
        evacuation: evacuate_ms.map(|ms| (ms != 0).then(|| Duration::from_millis(ms)))?,
    })
}

fn keys(section: &Section<'_>) -> Option<Option<Duration>> {
    let strict = section.flag_or("strict", false);
    let max_age = section.millis_or("max_age_ms", 0..=600_000, DEFAULT_KEY_AGE);
    Some(strict?.then_some(max_age?))
}

fn sizing(section: &Section<'_>) -> Option<Sizing> {
    let default = Sizing::default();
    let full = section.number_or("full_percent", 10..=100, default.full_percent);
    let margin = section.number_or("margin_hosts", 0..=1_000, default.margin_hosts as u64);
    let shrink = section.number_or("shrink_after_ms", 0..=600_000, default.shrink_after_ms);
    let growth = section.number_or("growth_percent", 0..=1_000, default.growth_percent);
    let calls = section.weight_or("calls_per_s", MAX_HOST_CALLS, default.max_calls as f64);
    Some(Sizing {
        max_calls: (calls? as usize).max(1),
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
    let peers = section.text_or::<OptionalAddress>("peers", OptionalAddress(None));
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
    let advice = section.text_or::<OptionalAddress>("advice", OptionalAddress(None));
    let handover = section.millis_or("handover_ms", 0..=600_000, Duration::from_millis(3_000));
    Some(PlatformAddresses { store: store?, hosts: hosts?, advice: advice?.0, handover: handover? })
}

/// An optional address; an empty text for none.
struct OptionalAddress(Option<SocketAddr>);

impl std::str::FromStr for OptionalAddress {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<OptionalAddress, std::net::AddrParseError> {
        match text {
            "" => Ok(OptionalAddress(None)),
            _ => text.parse().map(|address| OptionalAddress(Some(address))),
        }
    }
}
