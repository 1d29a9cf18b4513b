//! A node: one process between callers and endpoints. All nodes are equal and persist nothing.

pub(crate) mod assign;
pub(crate) mod control;
pub(crate) mod hosts;
pub(crate) mod members;
pub(crate) mod metrics;
pub(crate) mod peers;
pub(crate) mod plans;
pub(crate) mod run;
pub(crate) mod sync;
pub(crate) mod traffic;
pub(crate) mod view;
pub(crate) mod write;
pub(crate) mod write_limiter;

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
    entry::{claims::ClaimWriters, gate::Gates, routes::Routes},
    model::{id::NodeId, unit::Time},
    node::{
        metrics::Metrics, peers::Peers, traffic::Traffic, view::View, write_limiter::WriteLimiter,
    },
    platform::store::Store,
    settings::node::NodeSettings,
};

/// State shared by the loops of one node.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) started: Time,
    pub(crate) store: Store,
    pub(crate) write_limiter: Arc<WriteLimiter>,
    /// For calls to workers and for reading the list of hosts.
    pub(crate) client: reqwest::Client,
    view: Mutex<View>,
    /// Number of changes of the view, for tasks that wait for one.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) peers: Peers,
    pub(crate) routes: Routes,
    pub(crate) gates: Gates,
    pub(crate) claims: ClaimWriters,
    pub(crate) metrics: Metrics,
    /// Bytes of control traffic.
    pub(crate) traffic: Arc<Traffic>,
    /// Cancelled when the node is to shut down.
    pub(crate) shutdown: CancellationToken,
}

impl Node {
    /// The node's identifier.
    pub(crate) fn id(&self) -> &NodeId {
        &self.settings.node
    }

    /// Locks the view. The guard must be held briefly and never across an await.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies all waiting tasks that the view has changed.
    pub(crate) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Whether this node owns a piece of work. Nodes with different views may both own it for a
    /// while; conditional writes make that harmless.
    pub(crate) fn owns(&self, view: &View, key: &str) -> bool {
        let members = view.fleet.nodes.keys().map(NodeId::as_str);
        rendezvous::owner(members, key) == Some(self.id().as_str())
    }

    /// Whether the view was compared with the store recently enough for the node to act on it.
    pub(crate) fn is_current(&self, view: &View, now: Time) -> bool {
        now.since(view.verified) < self.max_view_age()
    }

    fn max_view_age(&self) -> Duration {
        self.settings.timing.verify * 3
    }
}
