//! A scheduler node: callers hand jobs in at any node; each pool's jobs have one owner among the
//! nodes, which starts their tasks on the pool's workers. Nodes keep nothing: what was promised is
//! in the platform's store, what runs is asked of the workers.

pub(crate) mod accept;
pub(crate) mod api;
pub(crate) mod clock;
pub(crate) mod demand;
pub(crate) mod dispatch;
pub(crate) mod drive;
pub(crate) mod fleet;
pub(crate) mod keys;
pub(crate) mod lateness;
pub(crate) mod lease;
pub(crate) mod metrics;
pub(crate) mod mirror;
pub(crate) mod relay;
pub(crate) mod run;
pub(crate) mod view;

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    model::unit::Now,
    platform::kv::Kv,
    scheduler::{accept::Acceptance, clock::Clock, metrics::Metrics, view::View},
    settings::scheduler::SchedulerSettings,
};

/// What the tasks of a scheduler node share.
pub(crate) struct Node {
    pub(crate) settings: SchedulerSettings,
    pub(crate) kv: Kv,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    view: Mutex<View>,
    /// Jobs that wait to be written.
    pub(crate) accepting: mpsc::Sender<Acceptance>,
    /// Cancelled when the node is told to end.
    pub(crate) leaving: CancellationToken,
    /// Whether it owns work.
    owning: watch::Sender<bool>,
}

impl Node {
    /// The present, by both clocks.
    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Takes note of whether the node owns work.
    pub(crate) fn note_owning(&self, owns: bool) {
        self.owning.send_if_modified(|owning| std::mem::replace(owning, owns) != owns);
    }

    /// Whether the node owns work.
    pub(crate) fn owns_work(&self) -> bool {
        *self.owning.borrow()
    }

    /// Waits until the node owns work.
    pub(crate) async fn until_owning(&self) {
        // The sender lives as long as the node.
        let _ = self.owning.subscribe().wait_for(|owning| *owning).await;
    }

    /// What the node knows of the store. Held for short looks only, never while waiting.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the tasks of a node are made with.
pub(crate) fn node(
    settings: SchedulerSettings,
    kv: Kv,
    metrics: Arc<Metrics>,
    accepting: mpsc::Sender<Acceptance>,
) -> Arc<Node> {
    Arc::new(Node {
        settings,
        kv,
        metrics,
        clock: Clock::new(),
        view: Mutex::default(),
        accepting,
        leaving: CancellationToken::new(),
        owning: watch::Sender::new(false),
    })
}
