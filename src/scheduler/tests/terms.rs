//! Tests of renewals that come after a time in which the lease may have been over.
//!
//! What users saw: a task that must run once ran twice. A node was cut off from the store, and what
//! it owned was taken away there without its lease. Another node won the pool. The first one came
//! back, its lease was renewed as if nothing had been, and until its watches told of the later owner
//! it gave orders again, longer after the change of owners than the later owner waits for workers
//! that it does not reach. Evidence: the tests below, and a fuzzing of leases that draws it.

use std::{sync::Arc, time::Duration};

use crate::{
    jobs::owner::{LEASE_MS, OVERTIME_MS},
    model::unit::Steady,
    scheduler::lease::{Lease, Tenure},
};

const TTL: Duration = Duration::from_millis(LEASE_MS);

fn at(millis: u64) -> Steady {
    Steady::from_millis(millis)
}

/// A lease that was renewed last at 0, and what was won under it.
fn won_at_the_start() -> (Arc<Lease>, Tenure) {
    let lease = Arc::<Lease>::default();
    lease.renewed(7, at(0), TTL, at(0));
    let tenure = Tenure::new(&lease, 7, at(0));
    assert!(tenure.allows_orders(at(1_000)));
    (lease, tenure)
}

#[test]
fn a_renewal_after_the_overtime_brings_no_ownership_back() {
    let (lease, tenure) = won_at_the_start();
    let later = LEASE_MS + OVERTIME_MS + 4_000;
    lease.renewed(7, at(later), TTL, at(later));
    assert!(!tenure.allows_orders(at(later + 10)), "another node may have won it long ago");
    let again = Tenure::new(&lease, 7, at(later + 10));
    assert!(again.allows_orders(at(later + 20)), "what is won from then on lasts");
}

#[test]
fn a_renewal_within_the_overtime_extends_no_order_beyond_it() {
    let (lease, tenure) = won_at_the_start();
    lease.renewed(7, at(LEASE_MS + 1_000), TTL, at(LEASE_MS + 1_005));
    assert!(tenure.allows_orders(at(LEASE_MS + 1_010)), "most often the store was away for all");
    assert!(!tenure.allows_orders(at(LEASE_MS + OVERTIME_MS)), "nobody has said that it lasts");
}

#[test]
fn renewals_in_time_keep_an_ownership() {
    let (lease, tenure) = won_at_the_start();
    for step in 1..20 {
        lease.renewed(7, at(step * 500), TTL, at(step * 500 + 5));
        assert!(tenure.allows_orders(at(step * 500 + 499)));
    }
}

/// A write for a confirmation that meets a later owner's key is an answer too.
#[test]
fn an_ownership_that_the_store_denies_is_over_whatever_is_renewed() {
    let (lease, tenure) = won_at_the_start();
    tenure.deny();
    assert!(!tenure.allows_orders(at(1_000)));
    assert!(!tenure.holds(at(1_000)));
    lease.renewed(7, at(1_500), TTL, at(1_505));
    assert!(!tenure.allows_orders(at(1_600)));
}
