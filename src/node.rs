//! A node: one process between callers and endpoints. All nodes are equal and keep nothing.

pub(crate) mod assign;
pub(crate) mod control;
pub(crate) mod drive;
pub(crate) mod hosts;
pub(crate) mod members;
pub(crate) mod metrics;
pub(crate) mod pace;
pub(crate) mod peers;
pub(crate) mod run;
pub(crate) mod sync;
pub(crate) mod traffic;
pub(crate) mod view;
pub(crate) mod write;

#[cfg(test)]
mod tests;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    decide::rendezvous,
    entry::{gate::Gates, once::Once, routes::Routes},
    model::{id::NodeId, unit::Time},
    node::{metrics::Metrics, pace::Pace, peers::Peers, traffic::Traffic, view::View},
    platform::store::Store,
    settings::node::NodeSettings,
};

/// Everything that the loops of one node share.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) started: Time,
    pub(crate) store: Store,
    pub(crate) pace: Arc<Pace>,
    /// For calls to workers and the list of hosts.
    pub(crate) client: reqwest::Client,
    view: Mutex<View>,
    /// Counts changes of the view, for those that wait for one.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) peers: Peers,
    pub(crate) routes: Routes,
    pub(crate) gates: Gates,
    pub(crate) once: Once,
    pub(crate) metrics: Metrics,
    /// Bytes that control sent and received.
    pub(crate) traffic: Arc<Traffic>,
    /// Cancelled when the node is to leave.
    pub(crate) leaving: CancellationToken,
}

impl Node {
    /// The node's name.
    pub(crate) fn id(&self) -> &NodeId {
        &self.settings.node
    }

    /// What the node knows. Held for short looks only, never while waiting.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells all that wait that the view has changed.
    pub(crate) fn note_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether this node is the one that does a piece of work. Two may believe so for a while:
    /// conditional writes keep that harmless.
    pub(crate) fn owns(&self, view: &View, key: &str) -> bool {
        let members = view.fleet.nodes.keys().map(NodeId::as_str);
        rendezvous::owner(members, key) == Some(self.id().as_str())
    }

    /// Whether the view was compared with the store so lately that the node may act on it.
    pub(crate) fn is_current(&self, view: &View, now: Time) -> bool {
        now.since(view.verified) < self.current_for()
    }

    fn current_for(&self) -> Duration {
        self.settings.timing.verify * 3
    }
}
