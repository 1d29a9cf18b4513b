//! Client of the platform's host list, read incrementally. The list lags behind the hosts' state.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{model::host::HostReport, platform::store::chain};

/// Hosts that changed since an earlier read.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct HostList {
    /// The `since` value of the next read.
    pub(crate) next: u64,
    /// Whether the list holds every host. The first one does, and the first after a restart of the
    /// platform.
    pub(crate) whole: bool,
    pub(crate) hosts: Vec<HostReport>,
}

/// Error of a read of the host list.
#[derive(Debug, thiserror::Error)]
#[error("reading the host list of {peer} failed: {cause}")]
pub(crate) struct ListError {
    peer: String,
    cause: String,
}

/// Reads the hosts that changed after `since`; zero reads all. `record_size` receives the size of
/// the answer's body.
pub(crate) async fn read(
    client: &reqwest::Client,
    address: &str,
    since: u64,
    timeout: Duration,
    record_size: impl Fn(usize),
) -> Result<HostList, ListError> {
    let failed = |cause: String| ListError { peer: address.to_owned(), cause };
    let url = format!("{address}/hosts?since={since}");
    let sent = client.get(url).timeout(timeout).send().await;
    let answer = sent.and_then(|a| a.error_for_status()).map_err(|error| failed(chain(&error)))?;
    let body = answer.bytes().await.map_err(|error| failed(chain(&error)))?;
    record_size(body.len());
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}
