//! Tests of the reports of a pool's owner on waiting jobs. Most nodes answer callers from these
//! reports, and trust one that was written recently.

use std::collections::BTreeMap;

use tokio::runtime::{self, Runtime};

use super::{Op, Simulation, bytes};
use crate::{
    model::{
        job::{JobId, JobRecord},
        unit::{Now, Revision, Steady},
    },
    platform::kv::Change,
    scheduler::{
        control_loop::{Input, OverwriteResult, OwnedPool},
        keys,
        view::{OwnerRecord, age::MAX_RECORDS_AGE_MS},
    },
    tests::sample,
};

const POOL: &str = "pool-work";

/// Longer than an owner may report without an update on its jobs, in milliseconds.
const STALE_JOBS_MS: u64 = 10_000;

fn runtime() -> Runtime {
    runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// A node that has won a pool, but whose view does not have its owner record yet.
fn simulation_with_won_pool() -> Simulation {
    let mut simulation = Simulation::new();
    // Another write came before.
    simulation.won_leases.insert(1, 0);
    for op in [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired] {
        simulation.apply(op);
    }
    simulation
}

/// A node that owns a pool, with its first report in flight.
fn simulation_with_owned_pool() -> Simulation {
    let mut simulation = simulation_with_won_pool();
    simulation.apply(Op::ShowOwner);
    simulation.apply(Op::Tick);
    assert_eq!(simulation.pending_reports(), 1);
    simulation
}

impl Simulation {
    fn owned(&self) -> &OwnedPool {
        &self.control_loop.owned[POOL]
    }

    fn pending_reports(&self) -> usize {
        self.owned().waiting_report.pending
    }

    /// The view receives a record, without being complete up to its revision.
    fn apply_record(&mut self, key: String, revision: u64, value: Vec<u8>) {
        let (revision, value) = (Revision(revision), Some(value.into()));
        self.node.view().apply(Change { key, revision, value });
    }

    /// Finishes the write of the report that was sent at this time.
    fn finish_write(&mut self, sent: Steady, result: OverwriteResult) {
        let (token, counts) = (self.owned().owner.token, self.owned().owner.queued());
        self.control_loop.handle(Input::ReportWritten {
            name: POOL.to_owned(),
            token,
            counts,
            sent,
            result,
        });
    }

    /// Whether the owner sends a report at this time.
    fn publishes(&mut self, now: Now) -> bool {
        let before = self.pending_reports();
        self.control_loop.publish_report(POOL, now);
        before < self.pending_reports()
    }

    /// The owner's watch returns all jobs that existed when it was sent.
    fn answer_watch(&mut self, sent: Steady) {
        let token = self.owned().owner.token;
        self.control_loop.handle(Input::WatchAnswered {
            name: POOL.to_owned(),
            token,
            sent,
            revision: Revision(token),
        });
    }
}

fn after(now: Now, millis: u64) -> Now {
    Now { steady: now.steady.after(millis), ..now }
}

/// Until a new report arrives, other nodes sum the previous one for as long as it is valid.
#[test]
fn a_report_that_was_not_accepted_is_sent_again_soon() {
    let runtime = runtime();
    let _entered = runtime.enter();
    for result in [OverwriteResult::Failed, OverwriteResult::Rebase(Revision(77))] {
        let mut simulation = simulation_with_owned_pool();
        let now = simulation.node.now();
        simulation.finish_write(now.steady, result);
        assert!(simulation.publishes(after(now, 300)));
    }
}

/// A delayed report could replace a later one.
#[test]
fn a_report_replaces_the_previous_one_and_only_one_is_in_flight() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut simulation = simulation_with_owned_pool();
    let now = simulation.node.now();
    assert!(!simulation.publishes(after(now, 900)));
    simulation.finish_write(now.steady, OverwriteResult::Rebase(Revision(77)));
    assert_eq!(simulation.owned().waiting_report.revision, Revision(77));
    assert!(simulation.publishes(after(now, 300)));
    simulation.finish_write(now.steady, OverwriteResult::Kept(Revision(78)));
    assert_eq!(simulation.owned().waiting_report.revision, Revision(78));
}

/// Nodes use a report for two seconds after it was written.
#[test]
fn an_unchanged_report_is_repeated_every_second() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut simulation = simulation_with_owned_pool();
    let now = simulation.node.now();
    simulation.finish_write(now.steady, OverwriteResult::Kept(Revision(78)));
    simulation.answer_watch(after(now, 1_100).steady);
    assert!(!simulation.publishes(after(now, 510)), "nothing has changed");
    assert!(simulation.publishes(after(now, 1_100)));
}

#[test]
fn the_first_report_of_an_owner_counts_all_earlier_jobs() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut simulation = simulation_with_won_pool();
    let token = simulation.last_won.clone().unwrap().1;
    let owner = bytes(&OwnerRecord { node: "one".to_owned(), life: 1 });
    simulation.apply_record(keys::owner(POOL), token, owner);
    simulation.apply(Op::Tick);
    assert!(
        simulation.control_loop.owned.is_empty(),
        "it may not know all jobs accepted before token {token}"
    );
    let pool = "work".parse().unwrap();
    let record = JobRecord { pool, ..sample::job_record(Vec::new()) };
    let key = keys::job(&record.pool, JobId::from_number(1));
    simulation.apply_record(key, token - 1, bytes(&record));
    simulation.apply(Op::ShowOwner);
    simulation.apply(Op::Tick);
    assert_eq!(simulation.pending_reports(), 1);
    assert_eq!(simulation.owned().owner.queued(), BTreeMap::from([("q".to_owned(), 1)]));
}

/// If its own watch hangs, or the view of its node is stale, an owner's report is as old as its
/// data on jobs, but looks fresh.
#[test]
fn an_owner_with_stale_jobs_sends_no_report() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut simulation = simulation_with_owned_pool();
    let now = simulation.node.now();
    simulation.finish_write(now.steady, OverwriteResult::Kept(Revision(78)));
    assert!(!simulation.publishes(after(now, MAX_RECORDS_AGE_MS)));
    let later = after(now, STALE_JOBS_MS);
    assert!(!simulation.publishes(later));
    simulation.control_loop.request_confirmation(POOL, later);
    assert_eq!(
        simulation.pending_reports(),
        0,
        "no report is sent to request a confirmation either"
    );
    simulation.answer_watch(later.steady);
    assert!(simulation.publishes(later));
}
