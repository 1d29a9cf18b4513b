//! Keeps the writes of all nodes together within what the store takes.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use crate::{
    decide::{
        route::RateLimit,
        share::{Others, Share},
    },
    model::unit::{PerSecond, Time},
    platform::store::Priority,
};

/// This node's part of the store's writes.
pub(crate) struct Pace {
    /// Writes a second that all nodes together may spend.
    rate: PerSecond,
    share: Mutex<Share>,
    nodes: AtomicU32,
    elsewhere: AtomicU32,
}

impl Pace {
    /// A pace at which nothing was written yet, among so many nodes.
    pub(crate) fn new(rate: PerSecond, nodes: u32, now: Time) -> Pace {
        let (nodes, elsewhere) = (AtomicU32::new(nodes), AtomicU32::new(0));
        Pace { rate, share: Mutex::new(Share::new(RateLimit::empty(now), now)), nodes, elsewhere }
    }

    /// Waits until a write may go.
    pub(crate) async fn turn(&self, priority: Priority) {
        let keep = match priority {
            Priority::Claims => 1.0,
            Priority::Control => 0.5,
            Priority::Registration => 0.0,
        };
        self.share().ask(Time::now());
        loop {
            let others = Others {
                nodes: self.nodes.load(Ordering::Acquire),
                demand: self.elsewhere.load(Ordering::Acquire),
            };
            let taken = self.share().take(f64::from(self.rate.0), others, keep, Time::now());
            match taken {
                Ok(()) => return,
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    /// Notes how many nodes there are, and what the others ask for, a second.
    pub(crate) fn hear(&self, nodes: u32, elsewhere: u32) {
        self.nodes.store(nodes, Ordering::Release);
        self.elsewhere.store(elsewhere, Ordering::Release);
    }

    /// Writes that this node was lately asked for, a second.
    pub(crate) fn demand(&self, now: Time) -> u32 {
        self.share().demand(now)
    }

    fn share(&self) -> std::sync::MutexGuard<'_, Share> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
