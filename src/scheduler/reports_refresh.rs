//! Reads the owners' reports of waiting jobs from the store when a caller asks for a count and this
//! node does not mirror them: most nodes are rarely asked.

use std::time::Duration;

use tokio::{sync::Mutex, time::timeout};

use crate::{
    platform::{kv::Change, store::StoreError},
    scheduler::{Node, keys::QUEUED, view::age::Extent},
};

/// The age up to which reports are not read again, in milliseconds: requests that come together
/// share a read.
const MAX_AGE_MS: u64 = 250;

/// How long a read may take before the request is relayed to another node.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Why the reports were not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReportsError {
    #[error("the reports of waiting jobs were not read within {} ms", TIMEOUT.as_millis())]
    Late,
    #[error("the reports of waiting jobs cannot be read: {0}")]
    Store(#[from] StoreError),
}

/// The reads of reports on demand.
pub(crate) struct ReportsRefresh {
    /// Held during a read, so that others wait for it.
    reading: Mutex<()>,
}

impl ReportsRefresh {
    pub(crate) fn new() -> ReportsRefresh {
        ReportsRefresh { reading: Mutex::default() }
    }

    /// Reads the reports unless they are recent.
    pub(crate) async fn refresh(&self, node: &Node) -> Result<(), ReportsError> {
        let read = async {
            let _reading = self.reading.lock().await;
            let sent = node.now().steady;
            let is_recent = {
                let ages = &node.view().ages;
                ages.is_within(QUEUED, MAX_AGE_MS, sent)
            };
            if is_recent {
                return Ok(());
            }
            let call = node.view().ages.start_call(sent);
            let (items, at) = node.kv.range(QUEUED).await?;
            let written = items.into_iter().map(|item| Change {
                key: item.key,
                revision: item.revision,
                value: Some(item.value),
            });
            let mut view = node.view();
            view.apply_part(call, written.collect());
            view.ages.note_revision(sent, at);
            view.ages.note_answer(QUEUED, call, Extent::Changes(at));
            Ok(())
        };
        timeout(TIMEOUT, read).await.unwrap_or(Err(ReportsError::Late))
    }
}
