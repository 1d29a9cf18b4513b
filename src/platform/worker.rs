//! Commands to workers. A command lists everything that a host should run and may be sent again at
//! any time. A worker rejects a command that is older, by epoch and revision, than its last one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    model::{
        config::Resources,
        id::{HostId, ServiceId},
        unit::{Epoch, Revision},
    },
    platform::store::chain,
};

/// One task that a host should run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskOrder {
    pub(crate) service: ServiceId,
    pub(crate) index: u32,
    pub(crate) generation: u64,
    pub(crate) need: Resources,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

/// Everything that a host should do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assignment {
    pub(crate) host: HostId,
    pub(crate) epoch: Epoch,
    /// The newest revision of the records that the assignment was computed from.
    pub(crate) revision: Revision,
    /// Whether its endpoints accept requests.
    pub(crate) accept: bool,
    /// Whether the host must reboot, once in this epoch.
    pub(crate) reboot: bool,
    /// How long the host's tasks may run without another command.
    pub(crate) lease: Duration,
    pub(crate) tasks: Vec<TaskOrder>,
}

/// Why a worker did not accept a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    #[error("worker of host {host} at {peer} rejected the command: it has a newer one")]
    Older { host: HostId, peer: String },
    #[error("sending a command to the worker of host {host} at {peer} failed: {cause}")]
    Failed { host: HostId, peer: String, cause: String },
}

/// Sends a command.
pub(crate) async fn command(
    client: &reqwest::Client,
    address: &str,
    assignment: &Assignment,
    timeout: Duration,
) -> Result<(), CommandError> {
    let host = assignment.host.clone();
    let peer = address.to_owned();
    let url = format!("http://{address}/hosts/{host}/assignment");
    match client.put(url).timeout(timeout).json(assignment).send().await {
        Err(error) => Err(CommandError::Failed { host, peer, cause: chain(&error) }),
        Ok(answer) if answer.status() == reqwest::StatusCode::CONFLICT => {
            Err(CommandError::Older { host, peer })
        }
        Ok(answer) if answer.status().is_success() => Ok(()),
        Ok(answer) => {
            let cause = format!("status {}", answer.status());
            Err(CommandError::Failed { host, peer, cause })
        }
    }
}
