//! Tests of an ownership that must end, or must be taken over, after gaps of the lease and
//! overwritten records.

use std::{sync::Arc, time::Duration};

use crate::{
    jobs::owner::{GRACE_PERIOD_MS, LEASE_MS},
    model::unit::{Revision, Steady},
    platform::kv::Change,
    scheduler::{
        control_loop::json,
        keys,
        lease::{Lease, Tenure},
        view::View,
    },
    tests::sample,
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
    (lease, tenure)
}

/// A task that must run once may run twice. Of a node's renewals only one every two seconds is
/// answered, and none of its writes. In the first gap its ownership is removed without its lease,
/// and another node acquires it. If the grace period counted from the newest gap, the node would
/// send orders without end, while the later owner waits for workers that it does not reach no
/// longer than lease, grace period and worker lease.
#[test]
fn a_second_gap_does_not_restart_the_grace_period_of_the_first() {
    let (lease, tenure) = acquired_at_start();
    let mut allowed = Vec::new();
    for gap in 1..=6 {
        let sent = gap * (LEASE_MS + 50);
        lease.note_renewed(7, at(sent), TTL, at(sent));
        allowed.push((sent + 10, tenure.allows_orders(at(sent + 10))));
    }
    assert!(tenure.is_unconfirmed(), "no write has succeeded since the first gap");
    let overdue = |(now, allows): &&(u64, bool)| *allows && LEASE_MS + GRACE_PERIOD_MS <= *now;
    assert_eq!(allowed.iter().find(overdue), None, "another node acquired it 2 s after the start");
}

/// The jobs of a pool wait forever. Another writer overwrote the pool's count of owners; every
/// node took the record for absent and tried to acquire the pool under the condition that there is
/// none, which the store refuses. The record of the owner itself is replaced at its revision when
/// it cannot be read.
#[test]
fn an_unreadable_count_of_owners_does_not_block_later_owners() {
    let mut view = View::default();
    let (owner, term) = (keys::owner("pool-a"), keys::term("pool-a"));
    let put = |key: &String, revision, value: &str| {
        let value = Some(value.as_bytes().to_vec().into());
        Change { key: key.clone(), revision: Revision(revision), value }
    };
    for (key, revision) in [(&owner, 20), (&term, 21)] {
        view.apply(put(key, revision, "garbage"));
    }
    let owner = view.owners.get("pool-a").map(|at| at.revision);
    assert_eq!(owner, Some(Revision(20)), "a later owner overwrites it");
    let term = view.terms.get("pool-a").map(|at| at.revision);
    assert_eq!(term, Some(Revision(21)), "a later owner overwrites it");
}

/// A task that must run once may run twice. A renewal was sent while the lease held and was
/// delayed. A write that was sent later was executed earlier, on another connection. Then the
/// ownership was removed, and the renewal succeeded. If the write confirmed the time up to the
/// renewal because it was sent later, renewals in time would keep the ownership without end.
#[test]
fn a_write_that_may_precede_a_renewal_does_not_confirm_it() {
    let (lease, tenure) = acquired_at_start();
    let renewal = at(LEASE_MS - 100);
    tenure.confirm(at(LEASE_MS - 50));
    // Removed and acquired by another node here; answered 100 ms after the lease's end.
    lease.note_renewed(7, renewal, TTL, at(LEASE_MS + 100));
    let mut now = LEASE_MS + 100;
    while now < 2 * (LEASE_MS + GRACE_PERIOD_MS) {
        now += 500;
        lease.note_renewed(7, at(now), TTL, at(now));
    }
    assert!(
        !tenure.allows_orders(at(now)),
        "no write has succeeded since another node could have acquired it"
    );
}

/// A task that must run once may run twice. Another writer overwrote the record of a running job,
/// and restored it. A later owner took the job for newer than its ownership, so that only workers
/// that it had ordered to could run its tasks, and started the task without waiting for the worker
/// that it does not reach.
#[test]
fn an_overwritten_and_restored_job_keeps_its_age() {
    let mut view = View::default();
    let key = keys::job(&"pool".parse().unwrap(), super::job());
    let record = json(&sample::job_record(vec![]));
    for (revision, value) in [(10, record.clone()), (35, b"garbage".to_vec()), (40, record)] {
        let value = Some(value.into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
    }
    let stored = view.jobs[&super::job()].stored(super::job()).unwrap();
    assert_eq!(
        stored.revision,
        Revision(10),
        "an owner since revision 30 must wait before it starts the job"
    );
}
