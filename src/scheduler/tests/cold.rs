//! Tests of beliefs about an ownership that outlive what they rest on.

use std::{sync::Arc, time::Duration};

use crate::{
    jobs::owner::{LEASE_MS, OVERTIME_MS},
    model::unit::{Revision, Steady},
    platform::kv::Change,
    scheduler::{
        drive::json,
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

/// A lease that was renewed last at 0, and what was won under it.
fn won_at_the_start() -> (Arc<Lease>, Tenure) {
    let lease = Arc::<Lease>::default();
    lease.renewed(7, at(0), TTL, at(0));
    let tenure = Tenure::new(&lease, 7, at(0));
    (lease, tenure)
}

/// What users would see: a task that must run once runs twice. A node reaches the store badly: of its
/// renewals only one every two seconds is answered, and none of its writes. What it owned is taken
/// away without its lease in the first gap, and another node wins it. Each further gap takes the
/// place of the one before, and the overtime counts from the newest: the node gives orders without
/// end, and the later owner waits for workers that it does not reach no longer than lease, overtime
/// and hold. Evidence: this test.
#[test]
fn a_second_gap_does_not_forgive_the_first() {
    let (lease, tenure) = won_at_the_start();
    let mut allowed = Vec::new();
    for gap in 1..=6 {
        let sent = gap * (LEASE_MS + 50);
        lease.renewed(7, at(sent), TTL, at(sent));
        allowed.push((sent + 10, tenure.allows_orders(at(sent + 10))));
    }
    assert!(tenure.is_doubtful(), "no write was done since the first gap");
    let late = |(now, allows): &&(u64, bool)| *allows && LEASE_MS + OVERTIME_MS <= *now;
    assert_eq!(allowed.iter().find(late), None, "won 2 s after the start by another node");
}

/// What users would see: the jobs of a pool wait for ever. Another writer overwrote the count of its
/// owners. Every node took the record for absent and reached for the pool under the condition that
/// there is none, which the store refuses each time. The record of the owner itself is succeeded at
/// its revision when it cannot be read. Evidence: this test.
#[test]
fn a_count_of_owners_that_cannot_be_read_stands_in_the_way_of_no_later_owner() {
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
    assert_eq!(owner, Some(Revision(20)), "a later owner writes over it");
    let term = view.terms.get("pool-a").map(|at| at.revision);
    assert_eq!(term, Some(Revision(21)), "a later owner writes over it");
}

/// What users would see: a task that must run once runs twice. A renewal was sent while the lease held
/// and was long on its way. A write was sent after it and done before it, on another connection. Then
/// the ownership was taken away, and the renewal was done and answered as if nothing had been. The
/// write was taken for a confirmation of the time up to the renewal, since it was sent later, and
/// from then on renewals in time kept the ownership without end. Evidence: this test.
#[test]
fn a_write_that_may_have_been_done_before_a_renewal_does_not_confirm_it() {
    let (lease, tenure) = won_at_the_start();
    let renewal = at(LEASE_MS - 100);
    tenure.confirm(at(LEASE_MS - 50));
    // Taken away and won by another node here; answered 100 ms after the lease's end.
    lease.renewed(7, renewal, TTL, at(LEASE_MS + 100));
    let mut now = LEASE_MS + 100;
    while now < 2 * (LEASE_MS + OVERTIME_MS) {
        now += 500;
        lease.renewed(7, at(now), TTL, at(now));
    }
    assert!(!tenure.allows_orders(at(now)), "no write was done since another node could have won");
}

/// What users would see: a task that must run once runs twice. Another writer overwrote what was handed
/// in of a job that runs, and put it back. A later owner took the job for one that came after it, of
/// which no worker can run anything that it has not ordered itself, and started it without waiting
/// for the worker that it does not reach. Evidence: this test, and that tasks of newer jobs need not
/// wait (`tasks_of_new_jobs_need_not_wait_for_workers_that_are_silent`).
#[test]
fn a_job_that_is_written_anew_is_as_old_as_it_was() {
    let mut view = View::default();
    let key = keys::job(&"pool".parse().unwrap(), super::job());
    let record = json(&sample::record(vec![]));
    for (revision, value) in [(10, record.clone()), (35, b"garbage".to_vec()), (40, record)] {
        let value = Some(value.into());
        view.apply(Change { key: key.clone(), revision: Revision(revision), value });
    }
    let stored = view.jobs[&super::job()].stored(super::job()).unwrap();
    assert_eq!(stored.revision, Revision(10), "an owner since revision 30 must wait with it");
}
