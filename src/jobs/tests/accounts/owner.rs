//! Tests of a pool's owner whose jobs belong to client accounts with limits.

use std::sync::Arc;

use super::{account, configuration, pool_id};
use crate::{
    jobs::{
        accounts::{PoolAccounts, PoolShares, ShareResult, ShareWrite},
        event::{Event, StoredJob},
        tests::{BATCH_LIMIT, Harness, TOKEN, done, present, report, step, stored, worker_id},
    },
    model::{job::Step, unit::Revision},
};

/// A job of the account.
fn account_job(number: u64, steps: Vec<Step>) -> StoredJob {
    let mut job = stored(number, steps, 110);
    Arc::make_mut(&mut job.record).account = Some(account());
    job
}

/// An owner of two workers of four cores each, with a limit for the account in millicores.
fn owner(limit: u32, earlier: u32) -> Harness {
    let mut harness = Harness::new(earlier);
    limit_account(&mut harness, limit, &[], earlier != 0);
    for (worker, host) in [("w1", "h1"), ("w2", "h2")] {
        harness.deliver(Event::Worker(report(worker, host)));
        harness.connect(worker, vec![]);
    }
    harness
}

fn limit_account(
    harness: &mut Harness,
    limit: u32,
    record: &[(Revision, PoolShares)],
    has_predecessor: bool,
) {
    let (id, mut accounts) = (account(), PoolAccounts::new(pool_id(0), TOKEN));
    let records = record.iter().map(|(revision, shares)| (&id, *revision, shares));
    accounts.inherit(records, has_predecessor);
    accounts.configure(1, Some(&configuration(limit)));
    harness.owner.set_accounts(accounts);
}

/// Writes the shares that the owner asks for, and plans again.
fn reserve(harness: &mut Harness) -> Vec<ShareWrite> {
    harness.work();
    let now = harness.at().steady;
    let accounts = harness.owner.accounts_mut().unwrap();
    let writes = accounts.take_writes(BATCH_LIMIT, now);
    accounts.note_written(writes.clone(), ShareResult::Done(Revision(500 + harness.now)));
    harness.now += 100;
    harness.work();
    writes
}

#[test]
fn tasks_start_up_to_the_limit_and_go_on_as_runs_end() {
    let mut harness = owner(3_000, 0);
    harness.deliver(Event::Job(account_job(1, vec![step(6)])));
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "nothing is reserved yet");
    reserve(&mut harness);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 3, "{starts:?}");
    for (task, run, worker) in &starts {
        harness.confirm_start(*task, *run, worker);
    }
    harness.now += 500;
    let (task, run, worker) = starts[0].clone();
    let others = starts[1..].iter().filter(|(.., at)| *at == worker);
    let others = others.map(|(task, run, _)| present(*task, *run, 50)).collect();
    harness.poll(&worker.to_string(), others, vec![done(1, task, run)]);
    harness.work();
    assert_eq!(harness.take_starts().len(), 1, "the ended run makes room");
}

/// A job that its limit holds back neither delays those behind it nor reserves a worker.
#[test]
fn a_job_over_its_limit_blocks_nobody() {
    let mut harness = owner(1_000, 0);
    let lasting = Step { long_running: true, ..step(4) };
    harness.deliver(Event::Job(account_job(1, vec![lasting])));
    harness.deliver(Event::Job(account_job(2, vec![step(4)])));
    harness.deliver(Event::Job(stored(3, vec![step(7)], 110)));
    reserve(&mut harness);
    let starts = harness.take_starts();
    let of = |job: u64| starts.iter().filter(|(task, ..)| task.of.job.number() == job).count();
    assert_eq!((of(1) + of(2), of(3)), (1, 7), "{starts:?}");
}

#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut harness = owner(3_000, 0);
    let gang = Step { gang: true, ..step(4) };
    harness.deliver(Event::Job(account_job(1, vec![gang])));
    reserve(&mut harness);
    assert_eq!(harness.take_starts(), vec![]);
    limit_account(&mut harness, 4_000, &[], false);
    reserve(&mut harness);
    assert_eq!(harness.take_starts().len(), 4);
}

/// The next owner does not know yet what runs: everything that was reserved counts as in use, and
/// more is reserved for new work.
#[test]
fn a_later_owner_does_not_use_the_reservation_of_unknown_runs() {
    let mut harness = owner(6_000, 0);
    harness.deliver(Event::Job(account_job(1, vec![step(2)])));
    let record = reserve(&mut harness).remove(0).shares;
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 2);
    let mut later = Harness::inheriting(&[("w1", "h1"), ("w2", "h2")], Default::default());
    limit_account(&mut later, 6_000, &[(Revision(500), record)], true);
    for (worker, host) in [("w1", "h1"), ("w2", "h2")] {
        later.deliver(Event::Worker(report(worker, host)));
    }
    later.deliver(Event::Job(account_job(1, vec![step(2)])));
    later.connect("w2", vec![]);
    later.deliver(Event::Job(account_job(2, vec![step(8)])));
    reserve(&mut later);
    let before = later.take_starts().len();
    assert!(before <= 4, "{before} of 8 beside 2 unknown runs within a limit of 6");
    let (task, run, _) = starts[0].clone();
    let all = starts.iter().map(|(task, run, _)| present(*task, *run, 50)).collect();
    later.poll(&worker_id("w1").to_string(), all, vec![]);
    let _ = (task, run);
    later.persist_roster();
    reserve(&mut later);
    reserve(&mut later);
    let after = before + later.take_starts().len();
    assert!(after <= 4, "{after} runs beside 2 that were taken over");
}
