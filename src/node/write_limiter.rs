//! Limits the write rate of all nodes together to what the store can handle.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use crate::{
    model::unit::{PerSecond, Time},
    platform::store::Priority,
    rate::{PeerDemand, RateLimit, RateShare},
};

/// Limits this node's writes to its share of the store's write rate.
pub(crate) struct WriteLimiter {
    /// Writes per second allowed for all nodes together.
    rate: PerSecond,
    share: Mutex<RateShare>,
    nodes: AtomicU32,
    peer_demand: AtomicU32,
}

impl WriteLimiter {
    /// Creates a limiter without writes so far, for the given number of nodes.
    pub(crate) fn new(rate: PerSecond, nodes: u32, now: Time) -> WriteLimiter {
        let (nodes, peer_demand) = (AtomicU32::new(nodes), AtomicU32::new(0));
        WriteLimiter {
            rate,
            share: Mutex::new(RateShare::new(RateLimit::empty(now), now)),
            nodes,
            peer_demand,
        }
    }

    /// Waits until a write is allowed.
    pub(crate) async fn acquire(&self, priority: Priority) {
        let reserve = match priority {
            Priority::Claims => 1.0,
            Priority::Control => 0.5,
            Priority::Registration => 0.0,
        };
        self.share().record_request(Time::now());
        loop {
            let others = PeerDemand {
                nodes: self.nodes.load(Ordering::Acquire),
                demand: self.peer_demand.load(Ordering::Acquire),
            };
            let result = self.share().take(f64::from(self.rate.0), others, reserve, Time::now());
            match result {
                Ok(()) => return,
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Sets the number of nodes, and the demand of the others in writes per second.
    pub(crate) fn set_peer_demand(&self, nodes: u32, peer_demand: u32) {
        self.nodes.store(nodes, Ordering::Release);
        self.peer_demand.store(peer_demand, Ordering::Release);
    }

    /// This node's recent demand, in writes per second.
    pub(crate) fn demand(&self, now: Time) -> u32 {
        self.share().demand(now)
    }

    fn share(&self) -> std::sync::MutexGuard<'_, RateShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
