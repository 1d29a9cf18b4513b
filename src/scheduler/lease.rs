//! The node's lease in the store: what the node owns goes with it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    jobs::owner::{LEASE_MS, OVERTIME_MS},
    model::unit::Steady,
    platform::{
        kv::{Committed, Txn},
        store::LeaseId,
    },
    scheduler::{Node, drive::json, keys, view::NodeRecord},
};

/// How long a node that is not heard of keeps what it owns.
const TTL: Duration = Duration::from_millis(LEASE_MS);

/// How often the lease is renewed: three tries fit into its time.
const RENEW: Duration = Duration::from_millis(500);

/// How long before the lease's end the node stops acting on it, in milliseconds: an order that is
/// about to be sent takes a few.
const MARGIN_MS: u64 = 200;

/// How long after a failure the next call is made.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// The lease, as last heard.
#[derive(Default)]
pub(crate) struct Lease {
    /// 0 for none.
    id: AtomicU64,
    /// When it may be over, in milliseconds of the steady clock.
    until: AtomicU64,
    /// Whether the last renewal failed.
    failing: AtomicBool,
}

impl Lease {
    /// The lease, while it certainly holds.
    pub(crate) fn held(&self, now: Steady) -> Option<LeaseId> {
        let id = self.id.load(Ordering::Acquire);
        let until = Steady::from_millis(self.until.load(Ordering::Acquire));
        (id != 0 && now < until).then_some(id as LeaseId)
    }

    /// Whether orders to workers may be given: also for a while after the lease may be over, as
    /// long as the store has not said that it is.
    pub(crate) fn allows_orders(&self, now: Steady) -> bool {
        let id = self.id.load(Ordering::Acquire);
        let until = Steady::from_millis(self.until.load(Ordering::Acquire));
        id != 0 && now < until.after(OVERTIME_MS)
    }

    /// Whether the store was reached when the lease was last to be renewed.
    pub(crate) fn is_in_touch(&self, now: Steady) -> bool {
        self.held(now).is_some() && !self.failing.load(Ordering::Acquire)
    }

    fn set(&self, id: LeaseId, sent: Steady, ttl: Duration) {
        let until = sent.after((ttl.as_millis() as u64).saturating_sub(MARGIN_MS));
        self.until.store(until.since(Steady::default()), Ordering::Release);
        self.id.store(id as u64, Ordering::Release);
        self.failing.store(false, Ordering::Release);
    }

    fn clear(&self) {
        self.id.store(0, Ordering::Release);
    }
}

/// Takes a lease and keeps it until the node ends.
pub(crate) async fn keep(node: Arc<Node>, lease: Arc<Lease>) {
    let mut held: Option<LeaseId> = None;
    let mut listed = false;
    loop {
        let sent = node.now().steady;
        let outcome = match held {
            None => node.kv.grant(TTL).await.map(Some),
            Some(id) => node.kv.keep(id).await.map(|ttl| ttl.map(|ttl| (id, ttl))),
        };
        match outcome {
            Ok(Some((id, ttl))) => {
                if held.is_none() {
                    log::info!("store: lease {id} for {} ms", ttl.as_millis());
                }
                held = Some(id);
                lease.set(id, sent, ttl);
                if !listed {
                    listed = list(&node, id).await;
                }
                sleep(RENEW).await;
            }
            Ok(None) => {
                log::warn!("store: lease {held:?} is over: what was owned is lost");
                held = None;
                listed = false;
                lease.clear();
            }
            Err(error) => {
                log::warn!("store: lease not renewed: {error}");
                lease.failing.store(true, Ordering::Release);
                sleep(FAILED_PAUSE).await;
            }
        }
        if node.leaving.is_cancelled() {
            return;
        }
    }
}

/// Lists the node among those that may own work; tells whether that is done.
async fn list(node: &Node, lease: LeaseId) -> bool {
    let record = NodeRecord { cpu: node.settings.cpu, peers: node.settings.listen.peers };
    let key = keys::node(node.settings.node.as_str());
    let txn = Txn::default().put_leased(&key, json(&record), lease);
    match node.kv.commit(&txn).await {
        Ok(Committed::Done(_)) => true,
        // The next renewal tells that the lease is over.
        Ok(Committed::LeaseOver | Committed::Conflict(_)) => false,
        Err(error) => {
            log::warn!("node {}: not listed among the nodes: {error}", node.settings.node);
            false
        }
    }
}
