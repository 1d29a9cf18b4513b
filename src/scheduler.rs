//! A scheduler node: callers submit jobs to any node; each pool's jobs have one owner among the
//! nodes, which starts their tasks on the pool's workers. Nodes persist nothing themselves:
//! accepted jobs are in the platform's store, and what runs is read from the workers.

pub(crate) mod accept;
pub(crate) mod access;
pub(crate) mod admission;
pub(crate) mod api;
pub(crate) mod clock;
pub(crate) mod config_refresh;
pub(crate) mod control_loop;
pub(crate) mod demand;
pub(crate) mod dispatch;
pub(crate) mod fleet;
pub(crate) mod keys;
pub(crate) mod lease;
pub(crate) mod metrics;
pub(crate) mod mirror;
pub(crate) mod relay;
pub(crate) mod replicas;
pub(crate) mod reports_refresh;
pub(crate) mod run;
pub(crate) mod status;
pub(crate) mod tombstone;
pub(crate) mod view;
pub(crate) mod view_age;

#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    jobs::owner::Breakdown,
    model::unit::Now,
    platform::kv::Kv,
    scheduler::{
        accept::Acceptance, admission::Admission, clock::Clock, config_refresh::ConfigRefresh,
        metrics::Metrics, relay::proof::NodeSecret, reports_refresh::ReportsRefresh,
        tombstone::Cancel, view::View,
    },
    settings::scheduler::SchedulerSettings,
};

/// State shared by the async tasks of a scheduler node.
pub(crate) struct Node {
    pub(crate) settings: SchedulerSettings,
    pub(crate) kv: Kv,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    /// Proves to other nodes that a request was relayed by this process.
    pub(crate) secret: NodeSecret,
    pub(crate) config_refresh: ConfigRefresh,
    pub(crate) reports_refresh: ReportsRefresh,
    view: Mutex<View>,
    pub(crate) admission: Admission,
    /// Submitted jobs that are yet to be written.
    pub(crate) accepting: mpsc::Sender<Acceptance>,
    /// Cancels of jobs that the store does not have, yet to be written.
    pub(crate) cancelling: mpsc::Sender<Cancel>,
    /// Cancelled when the node is to shut down.
    pub(crate) shutdown: CancellationToken,
    /// Cancelled when the node, shutting down, answers requests whether or not their outcome is
    /// known.
    pub(crate) answers_due: CancellationToken,
    /// Whether the node owns work.
    owning: watch::Sender<bool>,
    /// What runs and waits in the pools that the node owns, as of the last second.
    breakdown: Mutex<Breakdown>,
}

impl Node {
    /// The current time by the steady clock and by the wall clock.
    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Records whether the node owns work.
    pub(crate) fn set_owns_work(&self, owns: bool) {
        self.owning.send_if_modified(|owning| std::mem::replace(owning, owns) != owns);
    }

    /// Whether the node owns work.
    pub(crate) fn owns_work(&self) -> bool {
        *self.owning.borrow()
    }

    /// Waits until the node owns work.
    pub(crate) async fn wait_until_owning(&self) {
        // Cannot fail: the sender is a field of the node.
        let _ = self.owning.subscribe().wait_for(|owning| *owning).await;
    }

    /// What runs and waits in the pools that the node owns. The lock is held briefly, as that of the
    /// view, and before it.
    pub(crate) fn breakdown(&self) -> MutexGuard<'_, Breakdown> {
        self.breakdown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The node's view of the store. The lock is held briefly, and never across an await.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the state that the async tasks of a node share.
pub(crate) fn node(
    settings: SchedulerSettings,
    kv: Kv,
    metrics: Arc<Metrics>,
    accepting: mpsc::Sender<Acceptance>,
    cancelling: mpsc::Sender<Cancel>,
) -> Arc<Node> {
    Arc::new(Node {
        settings,
        kv,
        metrics,
        clock: Clock::new(),
        secret: NodeSecret::random(),
        config_refresh: ConfigRefresh::new(),
        reports_refresh: ReportsRefresh::new(),
        view: Mutex::default(),
        admission: Admission::new(),
        accepting,
        cancelling,
        shutdown: CancellationToken::new(),
        answers_due: CancellationToken::new(),
        owning: watch::Sender::new(false),
        breakdown: Mutex::default(),
    })
}
