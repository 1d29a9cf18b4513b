//! The platform's list of hosts, which lags: what changed since it was last read.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{model::host::HostReport, platform::store::chain};

/// Hosts that changed since an earlier list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct HostList {
    /// What to ask for next.
    pub(crate) next: u64,
    /// Whether the list holds every host, as the first one does, and one after a restart of the
    /// platform.
    pub(crate) whole: bool,
    pub(crate) hosts: Vec<HostReport>,
}

/// Why the list was not read.
#[derive(Debug, thiserror::Error)]
#[error("host list of {peer}, read: {cause}")]
pub(crate) struct ListError {
    peer: String,
    cause: String,
}

/// Reads what changed since `since`; zero for all.
pub(crate) async fn read(
    client: &reqwest::Client,
    address: &str,
    since: u64,
    limit: Duration,
    note: impl Fn(usize),
) -> Result<HostList, ListError> {
    let failed = |cause: String| ListError { peer: address.to_owned(), cause };
    let url = format!("{address}/hosts?since={since}");
    let sent = client.get(url).timeout(limit).send().await;
    let answer = sent.and_then(|a| a.error_for_status()).map_err(|error| failed(chain(&error)))?;
    let body = answer.bytes().await.map_err(|error| failed(chain(&error)))?;
    note(body.len());
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}
