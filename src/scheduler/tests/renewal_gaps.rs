//! Tests of renewals that come after a gap, in which the lease may have ended.
//!
//! They guard against a task that must run once and ran twice. A node was cut off from the store,
//! and its ownership was removed there without its lease. Another node acquired the pool. The first
//! one came back and its lease was renewed: until its watches reported the later owner it sent
//! orders again, for longer after the change of owners than the later owner waits for workers that
//! it does not reach.

use std::{sync::Arc, time::Duration};

use crate::{
    jobs::owner::{GRACE_PERIOD_MS, LEASE_MS},
    model::unit::Steady,
    scheduler::lease::{Lease, Tenure},
};

const TTL: Duration = Duration::from_millis(LEASE_MS);

fn at(millis: u64) -> Steady {
    Steady::from_millis(millis)
}

/// A lease that was last renewed at 0, and an ownership acquired under it.
fn acquired_at_start() -> (Arc<Lease>, Tenure) {
    let lease = Arc::<Lease>::default();
    lease.note_renewed(7, at(0), TTL, at(0));
    let tenure = Tenure::new(&lease, 7, at(0));
    assert!(tenure.allows_orders(at(1_000)));
    (lease, tenure)
}

#[test]
fn a_renewal_after_the_grace_period_restores_no_ownership() {
    let (lease, tenure) = acquired_at_start();
    let later = LEASE_MS + GRACE_PERIOD_MS + 4_000;
    lease.note_renewed(7, at(later), TTL, at(later));
    assert!(!tenure.allows_orders(at(later + 10)), "another node may have acquired it long ago");
    let reacquired = Tenure::new(&lease, 7, at(later + 10));
    assert!(reacquired.allows_orders(at(later + 20)), "what is acquired later holds");
}

#[test]
fn a_renewal_within_the_grace_period_allows_no_orders_beyond_it() {
    let (lease, tenure) = acquired_at_start();
    lease.note_renewed(7, at(LEASE_MS + 1_000), TTL, at(LEASE_MS + 1_005));
    assert!(
        tenure.allows_orders(at(LEASE_MS + 1_010)),
        "most often the store was unavailable to all nodes"
    );
    assert!(!tenure.allows_orders(at(LEASE_MS + GRACE_PERIOD_MS)), "no write has confirmed it");
}

#[test]
fn renewals_in_time_keep_an_ownership() {
    let (lease, tenure) = acquired_at_start();
    for step in 1..20 {
        lease.note_renewed(7, at(step * 500), TTL, at(step * 500 + 5));
        assert!(tenure.allows_orders(at(step * 500 + 499)));
    }
}

/// A confirming write that is refused because of a later owner's key is an answer too.
#[test]
fn an_ownership_that_the_store_denies_ends_despite_renewals() {
    let (lease, tenure) = acquired_at_start();
    tenure.note_ended();
    assert!(!tenure.allows_orders(at(1_000)));
    assert!(!tenure.holds(at(1_000)));
    lease.note_renewed(7, at(1_500), TTL, at(1_505));
    assert!(!tenure.allows_orders(at(1_600)));
}
