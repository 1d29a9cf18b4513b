//! Reads the configuration from the store on demand: when a caller has a key that this node does
//! not know, or when the node's copy of the configuration is old.
//!
//! Whatever callers send, the store is read at most once in [`MIN_INTERVAL_MS`]: requests share
//! reads, and those beyond [`MAX_WAITING`] are refused without one.

use std::time::Duration;

use tokio::{
    sync::{Mutex, Semaphore},
    time::sleep,
};

use crate::{
    model::unit::Steady,
    platform::{kv::Change, records::CONFIG_KEY, store::StoreError},
    scheduler::{Node, view::age::Extent},
};

/// The minimum time between two reads, in milliseconds.
pub(crate) const MIN_INTERVAL_MS: u64 = 250;

/// The most requests that wait for a read.
pub(crate) const MAX_WAITING: usize = 64;

/// Why the configuration is not known as of a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RefreshError {
    #[error("too many requests with unknown keys")]
    Busy,
    #[error("the configuration cannot be read: {0}")]
    Store(#[from] StoreError),
}

/// The reads of the configuration on demand.
pub(crate) struct ConfigRefresh {
    slots: Semaphore,
    /// When the last read was sent.
    last_read: Mutex<Option<Steady>>,
}

impl ConfigRefresh {
    pub(crate) fn new() -> ConfigRefresh {
        ConfigRefresh { slots: Semaphore::new(MAX_WAITING), last_read: Mutex::new(None) }
    }

    /// Waits until the configuration is known as of `moment`.
    pub(crate) async fn refresh(&self, node: &Node, moment: Steady) -> Result<(), RefreshError> {
        if node.view().is_config_known_at(moment) {
            return Ok(());
        }
        let _slot = self.slots.try_acquire().map_err(|_| RefreshError::Busy)?;
        let mut last_read = self.last_read.lock().await;
        if node.view().is_config_known_at(moment) {
            return Ok(());
        }
        if let Some(last) = *last_read {
            let elapsed_ms = node.now().steady.since(last);
            sleep(Duration::from_millis(MIN_INTERVAL_MS.saturating_sub(elapsed_ms))).await;
        }
        let sent = node.now().steady;
        *last_read = Some(sent);
        let call = node.view().ages.start_call(sent);
        let (items, at) = node.kv.range(CONFIG_KEY).await?;
        let mut view = node.view();
        for item in items.into_iter().filter(|item| item.key == CONFIG_KEY) {
            let (key, revision) = (item.key, item.revision);
            view.apply(Change { key, revision, value: Some(item.value) });
        }
        view.ages.note_revision(sent, at);
        view.ages.note_answer(CONFIG_KEY, call, Extent::Changes(at));
        Ok(())
    }
}
