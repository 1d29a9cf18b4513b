//! Records of the store that others write: the configuration, waves of upkeep and the workers'
//! reports on themselves. Their names are decoded here, once.

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{Born, HostId, IdError, Incarnation, PoolId, WorkerId, ZoneId},
    job::{Advice, Room},
    queue::{PoolRules, Queue, QueueConfig},
    unit::{Megabytes, Millicores},
    worker::{Upkeep, WorkerReport},
};

/// The operator's configuration.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// What the operator writes.
pub(crate) const OPERATOR_PREFIX: &str = "op/";
/// The operator's requests for upkeep.
const WAVE_PREFIX: &str = "op/wave/";
/// The workers' reports on themselves.
pub(crate) const WORKER_PREFIX: &str = "servers/";

/// Why a record is not understood.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    #[error("not the JSON that is expected: {0}")]
    Garbled(#[from] serde_json::Error),
    #[error(transparent)]
    Name(#[from] IdError),
    #[error("`{0}` is not the address of a worker")]
    Address(String),
    #[error("`{0}` is not the state of a worker")]
    State(String),
    #[error("an incarnation that is known has another host, pool or address")]
    Place,
    #[error("the worker has told when it started, and does not any more")]
    Unborn,
}

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
}

/// A queue of jobs.
#[derive(Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    /// The pool whose workers run the queue's tasks.
    service: String,
    #[serde(default)]
    priority: u32,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    stretch: f64,
    /// What is added to the objective of a job; no bound on a single answer.
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    advice: Option<WireAdvice>,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
struct WireAdvice {
    #[serde(default)]
    decide_ms: f64,
    #[serde(default)]
    each_ms: f64,
    #[serde(default)]
    valid_ms: u64,
}

/// A pool of hosts.
#[derive(Deserialize)]
struct WireService {
    name: String,
    /// Whether workers refuse what does not fit; nothing to do with admitting callers.
    #[serde(default)]
    admission_check: bool,
    /// The pool's hosts are off.
    #[serde(default)]
    headroom: bool,
}

/// Reads the operator's configuration.
pub(crate) fn config(value: &[u8]) -> Result<QueueConfig, RecordError> {
    let wire: WireConfig = serde_json::from_slice(value)?;
    let mut config = QueueConfig { version: wire.version, ..QueueConfig::default() };
    for service in wire.services {
        let rules = PoolRules { off: service.headroom, guards: service.admission_check };
        config.pools.insert(service.name.parse()?, rules);
    }
    for route in wire.routes {
        config.queues.push(queue(route)?);
    }
    Ok(config)
}

fn queue(wire: WireRoute) -> Result<Queue, RecordError> {
    Ok(Queue {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        prefix: wire.path_prefix,
        pool: wire.service.parse()?,
        priority: wire.priority,
        attempts: wire.max_attempts,
        stretch: (wire.stretch * 100.0).round() as u32,
        target_ms: wire.target_latency_ms,
        advice: wire.advice.map(|advice| Advice {
            decide_ms: advice.decide_ms.ceil() as u64,
            each_ms: advice.each_ms.ceil() as u64,
            valid_ms: advice.valid_ms,
        }),
    })
}

/// What a worker or host offers.
#[derive(Deserialize, Default, Clone, Copy)]
pub(super) struct WireRoom {
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

impl From<WireRoom> for Room {
    fn from(wire: WireRoom) -> Room {
        Room { cpu: Millicores(wire.cpu), memory: Megabytes(wire.mem_mb), gpus: wire.gpu }
    }
}

#[derive(Deserialize)]
struct WireServer {
    /// The pool that the worker is in.
    service: String,
    address: String,
    zone: String,
    state: String,
    /// The Unix millisecond of its start.
    born: Option<u64>,
    #[serde(default)]
    machine: String,
    #[serde(default)]
    capacity: WireRoom,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    remaining_ms: u64,
}

/// Reads a worker's report on itself from below [`WORKER_PREFIX`]. Another writer may have written
/// it: whatever is not understood names no worker to use.
pub(crate) fn worker(id: WorkerId, value: &[u8]) -> Result<WorkerReport, RecordError> {
    let wire: WireServer = serde_json::from_slice(value)?;
    let host: HostId = match wire.machine.as_str() {
        "" => id.as_str().parse()?,
        machine => machine.parse()?,
    };
    let pool: PoolId = wire.service.parse()?;
    let zone: ZoneId = wire.zone.parse()?;
    let leaves_ms = match wire.state.as_str() {
        "ready" => None,
        "draining" => Some(wire.remaining_ms),
        _ => return Err(RecordError::State(wire.state)),
    };
    if !is_address(&wire.address) {
        return Err(RecordError::Address(wire.address));
    }
    Ok(WorkerReport {
        id: Incarnation::new(id, wire.born.map(Born)),
        host,
        pool,
        zone,
        address: wire.address,
        room: wire.capacity.into(),
        labels: wire.labels,
        leaves_ms,
    })
}

/// Whether a text is a host and a port.
fn is_address(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:[]".contains(c);
    !host.is_empty() && host.chars().all(allowed) && port.parse::<u16>().is_ok_and(|port| port != 0)
}

#[derive(Deserialize)]
struct WireWave {
    wave: u64,
    machines: Vec<String>,
    /// In seconds, how long the whole wave may take; not an interval.
    period_s: f64,
    upper_limit: u32,
}

/// Whether a key holds a request for upkeep.
pub(crate) fn is_wave(key: &str) -> bool {
    key.starts_with(WAVE_PREFIX)
}

/// Reads a request for upkeep.
pub(crate) fn wave(value: &[u8]) -> Result<Upkeep, RecordError> {
    let wire: WireWave = serde_json::from_slice(value)?;
    let hosts = wire.machines.iter().map(|machine| machine.parse());
    Ok(Upkeep {
        wave: wire.wave,
        hosts: hosts.collect::<Result<_, IdError>>()?,
        period_ms: (wire.period_s * 1000.0) as u64,
        at_once: wire.upper_limit,
    })
}

/// The key under which the operator reads how far a wave is.
pub(crate) fn wave_status_key(wave: u64) -> String {
    format!("status/wave/{wave}")
}

/// What the operator reads of a wave.
pub(crate) fn wave_status(done: bool) -> Vec<u8> {
    #[derive(Serialize)]
    struct Status {
        state: &'static str,
    }
    let state = if done { "succeeded" } else { "running" };
    serde_json::to_vec(&Status { state }).unwrap_or_default()
}
