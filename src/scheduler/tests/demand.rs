//! Tests of what pools ask for.

use std::collections::BTreeMap;

use crate::{
    jobs::fleet::Demand,
    model::{
        id::PoolId,
        job::{JobId, JobRecord, Progress, Room, Step, StepNote},
        queue::{PoolRules, QueueConfig},
        unit::{Megabytes, Millicores, Revision, Time},
    },
    platform::kv::Change,
    scheduler::{demand, drive::json, keys, view::View},
    tests::sample,
};

/// When jobs of these tests came, in milliseconds.
const CAME: u64 = 1_000_000;

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

/// Two steps of ten tasks on four cores each, thought to take a second: in time within 3.8 s.
fn record() -> JobRecord {
    let need = Room { cpu: Millicores(4_000), memory: Megabytes(1), gpus: 0 };
    let step = Step { count: 10, need, estimate_ms: 1_000, ..Step::default() };
    let steps = vec![step.clone(), Step { after: vec![0], ..step }];
    JobRecord { stretch: 160, ..sample::record(steps) }
}

/// What a pool with one job asks for, so many milliseconds after the job came.
fn asked(record: &JobRecord, progress: Option<Progress>, after: u64) -> Demand {
    let id = JobId::from_number(1);
    let mut view = View::default();
    let mut write = |key, value: Vec<u8>| {
        view.apply(Change { key, revision: Revision(5), value: Some(value.into()) });
    };
    write(keys::job(&pool(), id), json(record));
    if let Some(progress) = progress {
        write(keys::progress(id), json(&progress));
    }
    let pools = BTreeMap::from([(pool(), PoolRules { off: false, guards: true })]);
    let config = QueueConfig { version: 1, queues: vec![], pools };
    demand::of_pools(&view, &config, Time::from_millis(CAME + after))[&pool()]
}

fn first_step_done() -> Progress {
    let note = StepNote { done: (0..10).collect(), ..StepNote::default() };
    Progress { steps: BTreeMap::from([("0.0".to_owned(), note)]), ..Progress::default() }
}

#[test]
fn a_job_asks_for_the_step_whose_turn_has_come() {
    let demand = asked(&record(), None, 100);
    assert_eq!((demand.cpu, demand.late, demand.ends), (40_000, 0, true));
}

/// Eighty core-seconds of work came within half a second: 160 cores keep up with that.
#[test]
fn what_came_lately_tells_how_much_it_takes_to_keep_up() {
    let demand = asked(&record(), None, 100);
    assert_eq!((demand.arriving, demand.arrivals), (160_000, 1));
    let later = asked(&record(), None, 600);
    assert_eq!((later.arriving, later.arrivals), (0, 0));
}

#[test]
fn a_job_that_cannot_end_in_time_is_late_work() {
    let waiting = |after| asked(&record(), None, after).late;
    // Of the two seconds left, 1.2 are taken as certain.
    assert_eq!((waiting(2_500), waiting(2_700)), (0, 40_000));
    let half_done = |after| asked(&record(), Some(first_step_done()), after).late;
    assert_eq!((half_done(2_700), half_done(3_300)), (0, 40_000));
}

#[test]
fn work_that_lasts_is_never_late() {
    let mut record = record();
    record.steps.truncate(1);
    record.steps[0].lasting = true;
    let demand = asked(&record, None, 100_000);
    assert_eq!((demand.cpu, demand.late, demand.ends), (40_000, 0, false));
}
