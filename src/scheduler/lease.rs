//! The node's lease in the store: the node's ownership of work ends with it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    jobs::owner::{GRACE_PERIOD_MS, LEASE_MS},
    model::unit::{Revision, Steady},
    platform::{
        kv::{CommitResult, Txn},
        store::LeaseId,
    },
    scheduler::{Node, control_loop::json, keys, view::NodeRecord},
};

/// How long the ownership of a node that does not renew its lease lasts.
const TTL: Duration = Duration::from_millis(LEASE_MS);

/// How often the lease is renewed: three attempts fit into its time to live.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// How long before the lease's end the node stops acting on it, in milliseconds: sending an order
/// takes a few milliseconds.
const MARGIN_MS: u64 = 200;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The lease, by the store's last answer.
#[derive(Default)]
pub(crate) struct Lease {
    state: Mutex<State>,
}

/// An interval in which the lease may have expired.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// Until when the lease held for certain.
    until: Steady,
    /// When the answer to the renewal was received. A write that was sent earlier may have been
    /// executed before the renewal, and confirms nothing about the gap.
    renewed: Steady,
}

#[derive(Debug, Clone, Default)]
struct State {
    /// The lease and when it may expire, unless the store has reported it as expired.
    last: Option<(LeaseId, Steady)>,
    /// Gaps, each ended by a renewal: the lease may have expired before it, and another node may
    /// have acquired the work meanwhile.
    gaps: Vec<Gap>,
    /// Ownership that was last confirmed before this time is over, even if the lease is renewed:
    /// the grace period of a gap that ended at this time has passed.
    barrier: Steady,
    /// Whether the last renewal failed.
    failing: bool,
    /// The revision of the node's record, if it is registered.
    registration: Option<Revision>,
    /// The lease that the node has left, which is not renewed any more.
    left: Option<LeaseId>,
}

impl Lease {
    /// The lease, while it holds for certain.
    pub(crate) fn held(&self, now: Steady) -> Option<LeaseId> {
        self.state().last.filter(|(_, until)| now < *until).map(|(id, _)| id)
    }

    /// The lease that was last granted or renewed, unless the store has reported it as expired.
    pub(crate) fn last(&self) -> Option<LeaseId> {
        self.state().last.map(|(id, _)| id)
    }

    /// Whether the lease holds and its last renewal succeeded.
    pub(crate) fn is_store_reachable(&self, now: Steady) -> bool {
        self.held(now).is_some() && !self.state().failing
    }

    /// Records that the lease was granted or renewed by a call sent at `sent` and answered now.
    pub(crate) fn note_renewed(&self, id: LeaseId, sent: Steady, ttl: Duration, now: Steady) {
        // Later owners rely on the requested time to live, so a longer one is not used.
        let remaining_ms = (ttl.min(TTL).as_millis() as u64).saturating_sub(MARGIN_MS);
        let mut state = self.state();
        let before = state.last.filter(|(held, _)| *held == id).map(|(_, until)| until);
        if let Some(until) = before.filter(|until| *until <= now) {
            // A write sent in the same millisecond may have been sent before the renewal.
            state.gaps.push(Gap { until, renewed: now.after(1) });
        }
        let passed = |gap: &mut Gap| gap.until.after(GRACE_PERIOD_MS) <= now;
        let passed: Vec<Gap> = state.gaps.extract_if(.., passed).collect();
        for gap in passed {
            state.barrier = state.barrier.max(gap.renewed);
        }
        state.last = Some((id, sent.after(remaining_ms)));
        state.failing = false;
    }

    /// Records that the lease was not renewed, or that it is unknown whether it was.
    pub(crate) fn note_failed(&self) {
        self.state().failing = true;
    }

    /// Records that the store has reported the lease as expired.
    pub(crate) fn note_ended(&self) {
        let mut state = self.state();
        state.last = None;
        state.registration = None;
    }

    /// Leaves the current lease, which then expires with all that the node may still own under it.
    /// The node acquires another one, by which it knows whether it reaches the store.
    pub(crate) fn leave(&self) {
        let mut state = self.state();
        state.left = state.last.map(|(id, _)| id);
    }

    /// The lease to renew; `None` if one is to be acquired.
    fn to_renew(&self) -> Option<LeaseId> {
        let left = self.state().left;
        self.last().filter(|id| left != Some(*id))
    }

    /// The revision of the node's record, if this process has registered it.
    pub(crate) fn registration(&self) -> Option<Revision> {
        self.state().registration
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The ownership of a piece of work under one lease. It lasts as long as that lease: a lease that
/// the node acquires later does not show whether another node has acquired the work meanwhile.
///
/// Three questions, from the strictest to the most lenient:
/// - [`Tenure::confirmed`]: up to when is it certain that no other node had acquired the work?
///   Conclusions from elapsed time are valid up to then.
/// - [`Tenure::holds`]: is the lease held now, by the node's clock? Calls that change hosts need
///   this, and each follows a write of its own.
/// - [`Tenure::allows_orders`]: may orders be sent to workers, which reject those of earlier owners
///   by their fencing token? Later owners rely on how long that lasts.
#[derive(Clone)]
pub(crate) struct Tenure {
    lease: Arc<Lease>,
    id: LeaseId,
    /// When the ownership was acquired.
    since: Steady,
    /// When the last successful write with this ownership as a condition was sent, in milliseconds
    /// of the steady clock.
    confirmed: Arc<AtomicU64>,
    /// Whether the store has reported the ownership as over, or the node has released it.
    ended: Arc<AtomicBool>,
}

impl Tenure {
    /// Ownership that was acquired at `since` under a lease of the node.
    pub(crate) fn new(lease: &Arc<Lease>, id: LeaseId, since: Steady) -> Tenure {
        let confirmed = Arc::new(AtomicU64::new(since.since(Steady::default())));
        let ended = Arc::default();
        Tenure { lease: lease.clone(), id, since, confirmed, ended }
    }

    /// Records a successful write, sent at `sent`, that had this ownership as a condition.
    pub(crate) fn confirm(&self, sent: Steady) {
        self.confirmed.fetch_max(sent.since(Steady::default()), Ordering::AcqRel);
    }

    /// Records that the store has reported the ownership as over, or that the node releases it.
    pub(crate) fn note_ended(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// The time up to which the ownership has lasted for certain.
    pub(crate) fn confirmed(&self) -> Steady {
        Steady::from_millis(self.confirmed.load(Ordering::Acquire))
    }

    /// Whether the lease was renewed when it may have expired, and the ownership was not confirmed
    /// since then.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let confirmed = self.confirmed();
        self.lease.state().gaps.iter().any(|gap| confirmed < gap.renewed)
    }

    /// Whether the ownership was last confirmed before `moment`, when the node may have missed its
    /// end.
    pub(crate) fn is_unconfirmed_since(&self, moment: Steady) -> bool {
        self.confirmed() < moment
    }

    /// Whether the ownership lasts for certain.
    pub(crate) fn holds(&self, now: Steady) -> bool {
        self.lease.held(now) == Some(self.id) && !self.ended.load(Ordering::Acquire)
    }

    /// Whether orders may be sent: also in the grace period after the lease may have expired, as
    /// long as the store has not reported it as expired. A renewal after the grace period does not
    /// restore the ownership: only a write that succeeds with the ownership as a condition does.
    pub(crate) fn allows_orders(&self, now: Steady) -> bool {
        let (state, confirmed) = (self.lease.state(), self.confirmed());
        let is_last =
            |(id, until): (LeaseId, Steady)| id == self.id && now < until.after(GRACE_PERIOD_MS);
        let is_bridged =
            |gap: &Gap| gap.renewed <= confirmed || now < gap.until.after(GRACE_PERIOD_MS);
        !self.ended.load(Ordering::Acquire)
            && state.last.is_some_and(is_last)
            && state.barrier <= confirmed
            && state.gaps.iter().all(is_bridged)
    }

    /// A description for the log.
    pub(crate) fn describe(&self, now: Steady) -> String {
        let last = self.lease.state().last;
        let lease = match last {
            Some((id, until)) if id == self.id => {
                format!("which may have expired {} ms ago", now.since(until))
            }
            Some((id, _)) => format!("which has expired, replaced by lease {id}"),
            None => "which has expired, not replaced".to_owned(),
        };
        format!("acquired {} ms ago under lease {}, {lease}", now.since(self.since), self.id)
    }
}

/// Acquires a lease and renews it until the node ends.
pub(crate) async fn maintain(node: Arc<Node>, lease: Arc<Lease>) {
    loop {
        let sent = node.now().steady;
        let held = lease.to_renew();
        let outcome = match held {
            None => node.kv.grant(TTL).await.map(Some),
            Some(id) => node.kv.renew(id).await.map(|ttl| ttl.map(|ttl| (id, ttl))),
        };
        match outcome {
            Ok(Some((id, ttl))) => {
                if held.is_none() {
                    log::info!("store: lease {id} for {} ms", ttl.as_millis());
                }
                lease.note_renewed(id, sent, ttl, node.now().steady);
                if lease.registration().is_none() && !node.shutdown.is_cancelled() {
                    let registration = register(&node, id).await;
                    lease.state().registration = registration;
                }
                sleep(RENEW_INTERVAL).await;
            }
            Ok(None) => {
                log::warn!("store: lease {held:?} has expired: ownership of all work is lost");
                lease.note_ended();
            }
            Err(error) => {
                log::warn!("store: lease not renewed: {error}");
                lease.note_failed();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Registers the node as one that may own work; returns the revision of its record if that
/// succeeded.
async fn register(node: &Node, lease: LeaseId) -> Option<Revision> {
    let (cpu, peers) = (node.settings.cpu, node.settings.listen.peers);
    let zone = Some(node.settings.zone.clone());
    let record = NodeRecord { cpu, peers, secret: Some(node.secret), zone };
    let key = keys::node(node.settings.node.as_str());
    let txn = Txn::default().put_leased(&key, json(&record), lease);
    match node.kv.commit(&txn).await {
        Ok(CommitResult::Done(revision)) => Some(revision),
        // The next renewal reports that the lease has expired.
        Ok(CommitResult::LeaseExpired | CommitResult::Conflict(_)) => None,
        Err(error) => {
            log::warn!("node {}: registration failed: {error}", node.settings.node);
            None
        }
    }
}
