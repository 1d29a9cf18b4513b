//! The node's lease in the store: what the node owns goes with it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
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
    heard: Mutex<Heard>,
}

/// A time in which the lease may have been over.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// Until when it had held for certain.
    until: Steady,
    /// When it was known to be renewed. A write that was sent before that may have been done before
    /// the renewal, and confirms nothing of the gap.
    renewed: Steady,
}

#[derive(Debug, Clone, Default)]
struct Heard {
    /// The lease, unless the store has said that it is over, and when it may be.
    last: Option<(LeaseId, Steady)>,
    /// Renewals that came when the lease may have been over. What was owned may have been taken away
    /// meanwhile.
    gaps: Vec<Gap>,
    /// What was not confirmed since then is over, whatever is renewed: the overtime of a gap that
    /// ended there has passed.
    barrier: Steady,
    /// Whether the last renewal failed.
    failing: bool,
}

impl Lease {
    /// The lease, while it certainly holds.
    pub(crate) fn held(&self, now: Steady) -> Option<LeaseId> {
        self.heard().last.filter(|(_, until)| now < *until).map(|(id, _)| id)
    }

    /// The lease that was last granted or renewed, unless the store has said that it is over.
    pub(crate) fn last(&self) -> Option<LeaseId> {
        self.heard().last.map(|(id, _)| id)
    }

    /// Whether the store was reached when the lease was last to be renewed.
    pub(crate) fn is_in_touch(&self, now: Steady) -> bool {
        self.held(now).is_some() && !self.heard().failing
    }

    /// Takes note that the lease was granted or renewed by a call that was sent at a moment and
    /// answered now.
    pub(crate) fn renewed(&self, id: LeaseId, sent: Steady, ttl: Duration, now: Steady) {
        // Later owners rely on the time that was asked for.
        let left = (ttl.min(TTL).as_millis() as u64).saturating_sub(MARGIN_MS);
        let mut heard = self.heard();
        let before = heard.last.filter(|(held, _)| *held == id).map(|(_, until)| until);
        if let Some(until) = before.filter(|until| *until <= now) {
            // A write of the same millisecond may have been sent before.
            heard.gaps.push(Gap { until, renewed: now.after(1) });
        }
        let passed = |gap: &mut Gap| gap.until.after(OVERTIME_MS) <= now;
        let passed: Vec<Gap> = heard.gaps.extract_if(.., passed).collect();
        for gap in passed {
            heard.barrier = heard.barrier.max(gap.renewed);
        }
        heard.last = Some((id, sent.after(left)));
        heard.failing = false;
    }

    /// Takes note that it could not be renewed, or not for certain.
    pub(crate) fn failed(&self) {
        self.heard().failing = true;
    }

    /// Takes note that the store has said that it is over.
    pub(crate) fn ended(&self) {
        self.heard().last = None;
    }

    fn heard(&self) -> MutexGuard<'_, Heard> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lease under which something was won. What was won lasts as long as that lease: one that the
/// node takes after it says nothing of whether another node has won the same meanwhile.
///
/// Three questions, from the strictest to the mildest:
/// - [`Tenure::confirmed`]: up to when had nobody else won it, for certain? Conclusions from time
///   count up to there.
/// - [`Tenure::holds`]: is the lease held now, by the node's clock? Calls that change hosts are made
///   then, each after a write of its own.
/// - [`Tenure::allows_orders`]: may orders go to workers, which are fenced? Later owners rely on how
///   long that lasts.
#[derive(Clone)]
pub(crate) struct Tenure {
    lease: Arc<Lease>,
    id: LeaseId,
    /// When it was won.
    since: Steady,
    /// When the last write was sent that the store did under the condition that it lasts, in
    /// milliseconds of the steady clock.
    confirmed: Arc<AtomicU64>,
    /// Whether the store has said that it is over.
    denied: Arc<AtomicBool>,
}

impl Tenure {
    /// What is won at a moment under a lease of the node.
    pub(crate) fn new(lease: &Arc<Lease>, id: LeaseId, since: Steady) -> Tenure {
        let confirmed = Arc::new(AtomicU64::new(since.since(Steady::default())));
        let denied = Arc::default();
        Tenure { lease: lease.clone(), id, since, confirmed, denied }
    }

    /// Takes note that the store has done a write, sent at a moment, under the condition that it
    /// lasts.
    pub(crate) fn confirm(&self, sent: Steady) {
        self.confirmed.fetch_max(sent.since(Steady::default()), Ordering::AcqRel);
    }

    /// Takes note that the store has said that it is over.
    pub(crate) fn deny(&self) {
        self.denied.store(true, Ordering::Release);
    }

    /// Up to when it has lasted for certain.
    pub(crate) fn confirmed(&self) -> Steady {
        Steady::from_millis(self.confirmed.load(Ordering::Acquire))
    }

    /// Whether the lease was renewed when it may have been over, and the store has not confirmed
    /// since then that this lasts.
    pub(crate) fn is_doubtful(&self) -> bool {
        let confirmed = self.confirmed();
        self.lease.heard().gaps.iter().any(|gap| confirmed < gap.renewed)
    }

    /// Whether the store has not confirmed it since a moment, at which the node may have missed its
    /// end.
    pub(crate) fn is_older_than(&self, moment: Steady) -> bool {
        self.confirmed() < moment
    }

    /// Whether it certainly lasts.
    pub(crate) fn holds(&self, now: Steady) -> bool {
        self.lease.held(now) == Some(self.id) && !self.denied.load(Ordering::Acquire)
    }

    /// Whether orders may be given: also for a while after the lease may be over, as long as the
    /// store has not said that it is. A renewal after that while shows nothing of what was owned:
    /// only a write does that the store has done under the condition that it lasts.
    pub(crate) fn allows_orders(&self, now: Steady) -> bool {
        let (heard, confirmed) = (self.lease.heard(), self.confirmed());
        let is_last =
            |(id, until): (LeaseId, Steady)| id == self.id && now < until.after(OVERTIME_MS);
        let is_whole = |gap: &Gap| gap.renewed <= confirmed || now < gap.until.after(OVERTIME_MS);
        !self.denied.load(Ordering::Acquire)
            && heard.last.is_some_and(is_last)
            && heard.barrier <= confirmed
            && heard.gaps.iter().all(is_whole)
    }

    /// What is told of it in the log.
    pub(crate) fn describe(&self, now: Steady) -> String {
        let last = self.lease.heard().last;
        let lease = match last {
            Some((id, until)) if id == self.id => {
                format!("which may be over since {} ms", now.since(until))
            }
            Some((id, _)) => format!("which is over, now lease {id}"),
            None => "which is over, now none".to_owned(),
        };
        format!("won {} ms ago under lease {}, {lease}", now.since(self.since), self.id)
    }
}

/// Takes a lease and keeps it until the node ends.
pub(crate) async fn keep(node: Arc<Node>, lease: Arc<Lease>) {
    let mut listed = false;
    loop {
        let sent = node.now().steady;
        let held = lease.last();
        let outcome = match held {
            None => node.kv.grant(TTL).await.map(Some),
            Some(id) => node.kv.keep(id).await.map(|ttl| ttl.map(|ttl| (id, ttl))),
        };
        match outcome {
            Ok(Some((id, ttl))) => {
                if held.is_none() {
                    log::info!("store: lease {id} for {} ms", ttl.as_millis());
                }
                lease.renewed(id, sent, ttl, node.now().steady);
                if !listed {
                    listed = list(&node, id).await;
                }
                sleep(RENEW).await;
            }
            Ok(None) => {
                log::warn!("store: lease {held:?} is over: what was owned is lost");
                listed = false;
                lease.ended();
            }
            Err(error) => {
                log::warn!("store: lease not renewed: {error}");
                lease.failed();
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
