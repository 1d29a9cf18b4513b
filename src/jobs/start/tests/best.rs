use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::{
        job::{StepTasks, Task},
        start::{best::Preference, eligible::TaskPlacer, free::FreeCapacity},
        table::Table,
        worker::Worker,
    },
    model::{
        job::{JobId, Step, StepId, TaskId, TaskResources},
        unit::{Megabytes, Millicores, Steady},
        worker::WorkerReport,
        zone::Zones,
    },
};

#[test]
fn a_reliable_worker_is_preferred_to_one_near_the_data_and_that_to_a_fuller_one() {
    let sound = Preference::default();
    let suspect = Preference { is_suspect: true, ..sound };
    let far = Preference { is_far: true, ..sound };
    let emptier = Preference { load: 2_000, ..sound };
    let mut all = [suspect, far, emptier, sound];
    all.sort();
    assert_eq!(all, [sound, emptier, far, suspect]);
}

#[test]
fn a_warm_worker_is_preferred_to_a_cold_one_but_not_to_a_reliable_one() {
    let sound = Preference::default();
    let cold = Preference { is_cold: true, ..sound };
    let far = Preference { is_far: true, ..sound };
    let suspect = Preference { is_suspect: true, ..sound };
    let mut all = [suspect, cold, far, sound];
    all.sort();
    assert_eq!(all, [sound, far, cold, suspect]);
}

#[test]
fn tasks_are_spread_over_zones_first_and_then_over_racks() {
    let free = Preference { load: 2_000, is_cold: true, ..Preference::default() };
    let same_zone = Preference { runs_near: (1, 0), ..Preference::default() };
    let same_rack = Preference { runs_near: (1, 1), ..Preference::default() };
    let fuller_zone = Preference { runs_near: (2, 0), ..Preference::default() };
    let mut all = [fuller_zone, same_rack, same_zone, free];
    all.sort();
    assert_eq!(all, [free, same_zone, same_rack, fuller_zone]);
}

/// A worker that takes work, in one of several states.
fn worker(number: u64, mut state: u64, now: Steady) -> Worker {
    let mut next = |bound: u64| {
        let value = state % bound;
        state /= bound;
        value
    };
    let (cold_ms, used) = (next(2) * 500, next(8));
    let (is_unlisted, is_suspect, is_blocked) = (next(4) == 0, next(4) == 0, next(4) == 0);
    let memory = Megabytes(100 * next(4) as u32);
    let host = format!("h{number}");
    let capacity = TaskResources { cpu: Millicores(8_000), memory, gpus: 0 };
    let mut worker = Worker::new(
        WorkerReport {
            id: format!("w{number}").parse().unwrap(),
            host: host.parse().unwrap(),
            pool: "pool".parse().unwrap(),
            address: format!("{host}:80"),
            zone: "zone".parse().unwrap(),
            capacity,
            labels: vec!["a".to_owned(), "r1".to_owned()],
            leaves_ms: None,
            cold_ms,
        },
        now,
    );
    (worker.has_reported, worker.rostered, worker.blocked) = (true, true, is_blocked);
    worker.read_clock(1_000, now);
    if is_unlisted {
        worker.unlist(now);
    }
    if is_suspect {
        worker.note_failed(JobId::from_number(9), now);
    }
    let charge = TaskResources { cpu: Millicores(1_000), ..TaskResources::default() };
    for index in 0..used as u32 {
        let of = StepId { job: JobId::from_number(1), occurrence: 0, step: 0 };
        worker.occupy(TaskId { of, index }, 1, &charge);
    }
    worker
}

/// Guards against an index of free processor time that names another worker than a comparison of
/// all, or none where there is one.
#[test]
fn the_worker_found_by_its_free_processor_time_is_the_preferred_one() {
    let now = Steady::from_millis(10_000);
    let mut state = 1_u64;
    for size in (0..400).map(|case| 1 + case % 80) {
        let (mut workers, mut free) = (Table::default(), FreeCapacity::default());
        for number in 0..size {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let worker = worker(number, state >> 32, now);
            free.add(&worker);
            workers.insert(worker.report.id.clone(), worker);
        }
        let need = TaskResources {
            cpu: Millicores(1_000 * (1 + (state >> 40) as u32 % 4)),
            memory: Megabytes(150),
            gpus: 0,
        };
        let step = Step { count: 1, need, ..Step::default() };
        let placer = TaskPlacer {
            workers: &workers,
            free: &free,
            draining: &BTreeMap::new(),
            reserved: &BTreeSet::new(),
            zones: &Zones::default(),
            spreads_zones: false,
            now,
        };
        let (tasks, task) = (StepTasks::default(), Task::default());
        let found = placer.worker_for(&step, &tasks, &task, false, None, |_| true);
        let fits =
            |worker: &&Worker| !worker.blocked && worker.report.capacity.fits(&worker.used, &need);
        let rank = |worker: &&Worker| {
            (worker.is_suspect(), !worker.is_listed(), worker.is_cold(now), worker.cpu_left())
        };
        let expected = workers.values().filter(fits).min_by_key(rank);
        let id = |worker: &Worker| worker.report.id.clone();
        assert_eq!(found.map(id), expected.map(id), "{size} workers");
    }
}
