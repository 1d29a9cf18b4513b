//! The platform's service for hosts: what there is, moves between pools, and upkeep.

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
        records::{RecordError, WireRoom},
        store::chain,
    },
};

/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// How a call that changes a host ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostCall {
    /// Done, or done already.
    Done,
    /// The host is not up, or is leaving.
    Busy,
    /// A later holder has spoken, or the host is not part of the wave.
    Refused,
    /// There is no such host, or the pool is one of other hosts.
    Invalid,
    /// Nothing was done: too many calls.
    Limited,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

#[derive(Deserialize)]
struct WirePage {
    /// Each is read for itself: one that is not understood hides none of the others.
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
    labels: Vec<String>,
    #[serde(default)]
    capacity: WireRoom,
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

/// A client of the service, in the name of one node.
#[derive(Clone)]
pub(crate) struct Machines {
    connections: Connections,
    address: String,
    holder: NodeId,
    /// How long a call may stay unanswered.
    limit: Duration,
}

impl Machines {
    /// A client of the service at an address.
    pub(crate) fn new(address: &str, holder: NodeId) -> Machines {
        Machines::with_limit(address, holder, CALL_LIMIT)
    }

    /// A client whose calls may stay unanswered for so long.
    pub(crate) fn with_limit(address: &str, holder: NodeId, limit: Duration) -> Machines {
        let connections = Connections::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(Duration::from_millis(500))
        });
        Machines { connections, address: address.to_owned(), holder, limit }
    }

    /// Reads all hosts; nothing if the service gave no whole answer.
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
            client.get(url).query(&query).timeout(self.limit)
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
        page.inspect_err(|error| log::warn!("hosts: list: not understood: {error}")).ok()
    }

    /// Moves a host to another pool. Everything that runs there dies.
    pub(crate) async fn move_to(&self, host: &HostId, pool: &PoolId, token: u64) -> HostCall {
        self.change("machine-move", &WireMove { machine: host, pool }, token).await
    }

    /// Has a host maintained for a wave. Everything that runs there dies.
    pub(crate) async fn maintain(&self, host: &HostId, wave: u64, token: u64) -> HostCall {
        self.change("machine-upkeep", &WireUpkeep { machine: host, wave }, token).await
    }

    async fn change(&self, call: &str, body: &impl Serialize, token: u64) -> HostCall {
        let request = |client: &Client| {
            let request = client.post(format!("http://{}/-/{call}", self.address));
            request
                .header("Lease-Holder", self.holder.as_str())
                .header("Fencing-Token", token.to_string())
                .json(body)
                .timeout(self.limit)
        };
        let answer = match self.connections.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("hosts: {call}: {}", chain(&error));
                return HostCall::Unknown;
            }
        };
        match answer.status {
            StatusCode::OK => HostCall::Done,
            StatusCode::CONFLICT => {
                // A refusal whose reason is lost is still a refusal.
                let reason = serde_json::from_slice::<WireReason>(&answer.body);
                let reason = reason.map(|wire| wire.reason).unwrap_or_default();
                if reason == "busy" { HostCall::Busy } else { HostCall::Refused }
            }
            StatusCode::BAD_REQUEST => HostCall::Invalid,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => HostCall::Limited,
            status => {
                log::warn!("hosts: {call}: status {status}");
                HostCall::Unknown
            }
        }
    }
}

/// Reads one row of the list. A host whose row is not understood is there, and nothing is done with
/// it: one that is missing would count as gone for good.
pub(super) fn listed(row: serde_json::Value) -> Option<ListedHost> {
    let name = row.get("machine").and_then(|name| name.as_str()).map(str::to_owned);
    let host = name.as_deref().and_then(|name| name.parse::<HostId>().ok());
    let read = serde_json::from_value::<WireMachine>(row).map_err(RecordError::from);
    let read = read.and_then(|wire| listed_host(host.clone(), wire));
    read.or_else(|error| {
        log::warn!("hosts: list: the row of {name:?} is not understood: {error}");
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
        phase,
        worker: wire.id.and_then(|id| id.parse().ok()),
        labels: wire.labels,
        room: wire.capacity.into(),
    })
}

fn unknown_host(host: HostId) -> Result<ListedHost, RecordError> {
    Ok(ListedHost {
        host,
        pool: "unknown".parse()?,
        phase: HostPhase::Down,
        worker: None,
        labels: Vec::new(),
        room: WireRoom::default().into(),
    })
}
