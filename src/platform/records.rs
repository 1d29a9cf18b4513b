//! Decoding of store records written by other programs: the configuration, maintenance waves and
//! the workers' reports. The field names of those records are used only here.

use serde::{Deserialize, Serialize};

use crate::model::{
    account::{Account, AccountError, Accounts, Weight, WeightError},
    id::{AccountId, HostId, IdError, Incarnation, PoolId, StartTime, WorkerId, ZoneId},
    job::{AdviceTiming, TaskResources},
    queue::{PoolRules, Queue, QueueConfig},
    unit::{Megabytes, Millicores},
    worker::{Upkeep, WorkerReport},
};

/// Key of the operator's configuration.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// Prefix of all keys written by the operator.
pub(crate) const OPERATOR_PREFIX: &str = "op/";
/// Prefix of the operator's maintenance waves.
const WAVE_PREFIX: &str = "op/wave/";
/// Prefix of the operator's evacuations of availability zones.
pub(crate) const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the workers' reports.
pub(crate) const WORKER_PREFIX: &str = "servers/";

/// Why a record is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecordError {
    #[error("invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    #[error(transparent)]
    Name(#[from] IdError),
    #[error("`{0}` is not a valid worker address")]
    Address(String),
    #[error("`{0}` is not a valid worker state")]
    State(String),
    #[error("the host, pool or address of a known incarnation has changed")]
    PlaceChanged,
    #[error("the start time is missing, although the worker reported one before")]
    MissingStartTime,
}

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    /// Kept as JSON so that one wrong account does not make the rest invalid, and so that no parse
    /// error can contain a key.
    #[serde(default)]
    tenants: Option<Vec<serde_json::Value>>,
}

/// A client account. It has no `Debug`: it contains keys.
#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Jobs per second; 0 for none. Kept as JSON, so that a wrong one does not make the account
    /// invalid.
    #[serde(default)]
    weight: serde_json::Value,
    /// What the account's tasks may use together; 0 for no limit.
    #[serde(default)]
    upper_limit: WireCapacity,
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
    public: bool,
    #[serde(default)]
    priority: u32,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    stretch: f64,
    /// Added to a job's latency objective; not a bound on a single answer.
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
    /// Whether workers refuse tasks that do not fit. Unrelated to the admission of callers.
    #[serde(default)]
    admission_check: bool,
    /// Whether the pool's hosts are off.
    #[serde(default)]
    headroom: bool,
}

/// Parses the operator's configuration. Accounts and keys that cannot be used are left out and
/// returned as errors.
pub(crate) fn config(value: &[u8]) -> Result<(QueueConfig, Vec<AccountError>), RecordError> {
    let wire: WireConfig = serde_json::from_slice(value)?;
    let mut config = QueueConfig { version: wire.version, ..QueueConfig::default() };
    for service in wire.services {
        let rules =
            PoolRules { headroom: service.headroom, admission_check: service.admission_check };
        config.pools.insert(service.name.parse()?, rules);
    }
    for route in wire.routes {
        config.queues.push(queue(route)?);
    }
    let Some(tenants) = wire.tenants else {
        return Ok((config, Vec::new()));
    };
    let (accounts, errors) = accounts(tenants);
    config.accounts = Some(accounts);
    Ok((config, errors))
}

fn accounts(entries: Vec<serde_json::Value>) -> (Accounts, Vec<AccountError>) {
    let (mut accounts, mut errors) = (Accounts::default(), Vec::new());
    for (number, entry) in entries.into_iter().enumerate() {
        let invalid = |reason| AccountError::InvalidEntry { number, reason };
        // The parse error may quote a key, and is not used.
        let Ok(WireTenant { name, api_keys, weight, upper_limit }) = WireTenant::deserialize(entry)
        else {
            errors.push(invalid("it is not a valid account"));
            continue;
        };
        let Ok(id) = name.parse::<AccountId>() else {
            errors.push(invalid("its name is missing or invalid"));
            continue;
        };
        let weight = parse_weight(&weight).unwrap_or_else(|error| {
            errors.push(AccountError::InvalidWeight { account: id.clone(), error });
            None
        });
        let account = Account { id, weight, limit: upper_limit.into() };
        let keys: Vec<&str> = api_keys.iter().map(String::as_str).collect();
        errors.extend(accounts.add(account, &keys));
    }
    (accounts, errors)
}

fn parse_weight(weight: &serde_json::Value) -> Result<Option<Weight>, WeightError> {
    match weight.as_f64() {
        None if weight.is_null() => Ok(None),
        Some(0.0) => Ok(None),
        jobs => Weight::per_second(jobs.ok_or(WeightError)?).map(Some),
    }
}

fn queue(wire: WireRoute) -> Result<Queue, RecordError> {
    Ok(Queue {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        prefix: wire.path_prefix,
        pool: wire.service.parse()?,
        public: wire.public,
        priority: wire.priority,
        max_attempts: wire.max_attempts,
        stretch_percent: (wire.stretch * 100.0).round() as u32,
        target_ms: wire.target_latency_ms,
        advice: wire.advice.map(|advice| AdviceTiming {
            decide_ms: advice.decide_ms.ceil() as u64,
            each_ms: advice.each_ms.ceil() as u64,
            valid_ms: advice.valid_ms,
        }),
    })
}

/// Capacity of a worker or host.
#[derive(Deserialize, Default, Clone, Copy)]
pub(super) struct WireCapacity {
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

impl From<WireCapacity> for TaskResources {
    fn from(wire: WireCapacity) -> TaskResources {
        TaskResources { cpu: Millicores(wire.cpu), memory: Megabytes(wire.mem_mb), gpus: wire.gpu }
    }
}

#[derive(Deserialize)]
struct WireServer {
    /// The worker's pool.
    service: String,
    address: String,
    zone: String,
    state: String,
    /// When the worker started, in Unix milliseconds.
    born: Option<u64>,
    #[serde(default)]
    machine: String,
    #[serde(default)]
    capacity: WireCapacity,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    remaining_ms: u64,
    /// How much longer the worker is slow from its start. Kept as JSON, since a wrong value must not
    /// make the report invalid.
    #[serde(default)]
    cold_remaining_ms: serde_json::Value,
}

/// Parses a worker's report below [`WORKER_PREFIX`]. Other programs may write there, so an invalid
/// report is an error and its worker is not used.
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
        id: Incarnation::new(id, wire.born.map(StartTime)),
        host,
        pool,
        zone,
        address: wire.address,
        capacity: wire.capacity.into(),
        labels: wire.labels,
        leaves_ms,
        cold_ms: wire.cold_remaining_ms.as_f64().unwrap_or(0.0) as u64,
    })
}

/// Whether the text is a host and a port.
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
    /// How long the whole wave may take, in seconds. Not an interval.
    period_s: f64,
    upper_limit: u32,
}

/// Whether a key is that of a maintenance wave.
pub(crate) fn is_wave(key: &str) -> bool {
    key.starts_with(WAVE_PREFIX)
}

/// Parses a maintenance wave.
pub(crate) fn wave(value: &[u8]) -> Result<Upkeep, RecordError> {
    let wire: WireWave = serde_json::from_slice(value)?;
    let hosts = wire.machines.iter().map(|machine| machine.parse());
    Ok(Upkeep {
        wave: wire.wave,
        hosts: hosts.collect::<Result<_, IdError>>()?,
        period_ms: (wire.period_s * 1000.0) as u64,
        max_concurrent: wire.upper_limit,
    })
}

/// Whether a key is that of an evacuation of an availability zone.
pub(crate) fn is_evacuation(key: &str) -> bool {
    key.starts_with(EVACUATION_PREFIX)
}

/// The availability zone that the key of an evacuation names.
pub(crate) fn evacuated_zone(key: &str) -> Result<ZoneId, RecordError> {
    Ok(key.strip_prefix(EVACUATION_PREFIX).unwrap_or_default().parse()?)
}

/// Checks the body of an evacuation, which says nothing: the zone is evacuated whatever it is.
pub(crate) fn check_evacuation(value: &[u8]) -> Result<(), RecordError> {
    serde_json::from_slice::<serde::de::IgnoredAny>(value)?;
    Ok(())
}

/// The key of the status that the operator reads for a wave.
pub(crate) fn wave_status_key(wave: u64) -> String {
    format!("status/wave/{wave}")
}

/// The status of a wave as the operator reads it.
pub(crate) fn wave_status(done: bool) -> Vec<u8> {
    #[derive(Serialize)]
    struct Status {
        state: &'static str,
    }
    let state = if done { "succeeded" } else { "running" };
    serde_json::to_vec(&Status { state }).unwrap_or_default()
}
