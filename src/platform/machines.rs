//! Client of the platform's host service: the host list, moves between pools, and maintenance.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    model::{
        id::{HostId, NodeId, PoolId},
        worker::{HostPhase, ListedHost},
    },
    platform::{
        connections::Connections,
        records::{RecordError, WireCapacity},
        store::chain,
    },
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Result of a call that changes a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostCallResult {
    /// The change was made now or earlier.
    Done,
    /// The host is not up, or is already being moved or maintained.
    Busy,
    /// A later owner has sent a newer fencing token, or the host is not part of the wave.
    Refused,
    /// The host does not exist, or the pool is for hosts of another kind.
    Invalid,
    /// The service made no change because of too many calls.
    Limited,
    /// There was no answer: the change may have been made, or may still be made later.
    Unknown,
}

#[derive(Deserialize)]
struct WirePage {
    /// Parsed one by one, so that an invalid row does not hide the others.
    machines: Vec<serde_json::Value>,
    #[serde(default)]
    next_page_token: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct WireMachine {
    machine: String,
    pool: String,
    state: String,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    capacity: WireCapacity,
    #[serde(default)]
    id: Option<String>,
}

#[derive(Serialize)]
struct WireMove<'a> {
    machine: &'a HostId,
    pool: &'a PoolId,
}

#[derive(Serialize)]
struct WireUpkeep<'a> {
    machine: &'a HostId,
    wave: u64,
}

#[derive(Deserialize, Default)]
struct WireReason {
    #[serde(default)]
    reason: String,
}

/// A client of the service that acts for one node.
#[derive(Clone)]
pub(crate) struct HostClient {
    connections: Connections,
    address: String,
    holder: NodeId,
    /// Timeout of a call.
    timeout: Duration,
}

impl HostClient {
    /// Creates a client of the service at `address`.
    pub(crate) fn new(address: &str, holder: NodeId) -> HostClient {
        HostClient::with_timeout(address, holder, CALL_TIMEOUT)
    }

    /// Creates a client with the given call timeout.
    pub(crate) fn with_timeout(address: &str, holder: NodeId, timeout: Duration) -> HostClient {
        let connections = Connections::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(Duration::from_millis(500))
        });
        HostClient { connections, address: address.to_owned(), holder, timeout }
    }

    /// Reads all hosts. Returns `None` unless every page was read.
    pub(crate) async fn list(&self) -> Option<Vec<ListedHost>> {
        let mut hosts = Vec::new();
        let mut token: Option<String> = None;
        loop {
            let page = self.page(token.as_deref()).await?;
            hosts.extend(page.machines.into_iter().filter_map(listed));
            token = match page.next_page_token {
                None | Some(serde_json::Value::Null) => return Some(hosts),
                Some(serde_json::Value::String(text)) if text.is_empty() => return Some(hosts),
                Some(serde_json::Value::String(text)) => Some(text),
                Some(other) => Some(other.to_string()),
            };
        }
    }

    async fn page(&self, token: Option<&str>) -> Option<WirePage> {
        let url = format!("http://{}/-/machines", self.address);
        let request = |client: &Client| {
            let query: Vec<_> = token.iter().map(|token| ("page_token", *token)).collect();
            client.get(url).query(&query).timeout(self.timeout)
        };
        let answer = match self.connections.call(request).await {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => {
                log::warn!("hosts: list: status {}", answer.status);
                return None;
            }
            Err(error) => {
                log::warn!("hosts: list: {}", chain(&error));
                return None;
            }
        };
        let page = serde_json::from_slice(&answer.body);
        page.inspect_err(|error| log::warn!("hosts: list: invalid answer: {error}")).ok()
    }

    /// Moves a host to another pool, which ends everything that runs on it.
    pub(crate) async fn move_to(&self, host: &HostId, pool: &PoolId, token: u64) -> HostCallResult {
        self.change("machine-move", &WireMove { machine: host, pool }, token).await
    }

    /// Starts a host's maintenance for a wave, which ends everything that runs on it.
    pub(crate) async fn maintain(&self, host: &HostId, wave: u64, token: u64) -> HostCallResult {
        self.change("machine-upkeep", &WireUpkeep { machine: host, wave }, token).await
    }

    async fn change(&self, call: &str, body: &impl Serialize, token: u64) -> HostCallResult {
        let request = |client: &Client| {
            let request = client.post(format!("http://{}/-/{call}", self.address));
            request
                .header("Lease-Holder", self.holder.as_str())
                .header("Fencing-Token", token.to_string())
                .json(body)
                .timeout(self.timeout)
        };
        let answer = match self.connections.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("hosts: {call}: {}", chain(&error));
                return HostCallResult::Unknown;
            }
        };
        match answer.status {
            StatusCode::OK => HostCallResult::Done,
            StatusCode::CONFLICT => {
                // A refusal without a readable reason is still a refusal.
                let reason = serde_json::from_slice::<WireReason>(&answer.body);
                let reason = reason.map(|wire| wire.reason).unwrap_or_default();
                if reason == "busy" { HostCallResult::Busy } else { HostCallResult::Refused }
            }
            StatusCode::BAD_REQUEST => HostCallResult::Invalid,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                HostCallResult::Limited
            }
            status => {
                log::warn!("hosts: {call}: status {status}");
                HostCallResult::Unknown
            }
        }
    }
}

/// Parses one row of the list. A host with an invalid row is listed as down in an unknown pool, so
/// that it is left alone: a missing host would count as removed for good.
pub(super) fn listed(row: serde_json::Value) -> Option<ListedHost> {
    let name = row.get("machine").and_then(|name| name.as_str()).map(str::to_owned);
    let host = name.as_deref().and_then(|name| name.parse::<HostId>().ok());
    let read = serde_json::from_value::<WireMachine>(row).map_err(RecordError::from);
    let read = read.and_then(|wire| listed_host(host.clone(), wire));
    read.or_else(|error| {
        log::warn!("hosts: list: the row of {name:?} is invalid: {error}");
        unknown_host(host.ok_or(error)?)
    })
    .ok()
}

fn listed_host(host: Option<HostId>, wire: WireMachine) -> Result<ListedHost, RecordError> {
    let phase = match wire.state.as_str() {
        "up" => HostPhase::Up,
        "moving" => HostPhase::Moving,
        "upkeep" => HostPhase::Upkeep,
        _ => HostPhase::Down,
    };
    Ok(ListedHost {
        host: host.map_or_else(|| wire.machine.parse(), Ok)?,
        pool: wire.pool.parse()?,
        zone: wire.zone.and_then(|zone| zone.parse().ok()),
        phase,
        worker: wire.id.and_then(|id| id.parse().ok()),
        labels: wire.labels,
        capacity: wire.capacity.into(),
    })
}

fn unknown_host(host: HostId) -> Result<ListedHost, RecordError> {
    Ok(ListedHost {
        host,
        pool: "unknown".parse()?,
        zone: None,
        phase: HostPhase::Down,
        worker: None,
        labels: Vec::new(),
        capacity: WireCapacity::default().into(),
    })
}
