//! Tasks that crash the workers that start them.
//!
//! Users saw two tasks that each crashed worker after worker: with each start the worker ended at
//! once, with all else that ran there, and came back some seconds later as another life at the same
//! address. Their owner held each run to be over `with its worker` and started the task on the next
//! one, the third time after three workers had crashed, and further for as long as the day went on,
//! across owners. Nothing counted: a run that ends with its worker lists no end, and only ends are
//! attempts. What proved it: one token on the starts 4 to 7, each 3.2 s after the one before, each
//! restarted `with its worker`, and no failure in what was kept of the job.

mod announced;
mod many;
mod pool;

use pool::Pool;

use super::{id, step};
use crate::model::{job::JobState, job::Step, unit::Millicores};

/// So many starts may follow the third crash at the most.
const STARTS_AFTER_THREE: usize = 2;

/// How long the pools of these tests work, in milliseconds.
const LONG_MS: u64 = 60_000;

#[test]
fn an_owner_gives_up_a_task_that_crashes_its_workers() {
    for mut pool in Pool::kinds(6) {
        let job = pool.submit(vec![step(3)]);
        pool.crashes.insert(pool.task(job, 0, 1));
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(pool.shown(job), Some(JobState::Failed));
    }
}

#[test]
fn a_later_owner_gives_up_a_task_that_crashes_its_workers() {
    for mut pool in Pool::kinds(6) {
        let job = pool.submit(vec![step(3)]);
        pool.crashes.insert(pool.task(job, 0, 1));
        // Each owner sees one crash to its end, or the beginning of one, and is gone.
        for owner_ms in [3_500, 3_100, 4_200, 2_900, 3_300, 5_000] {
            pool.run(owner_ms);
            pool.replace_owner();
        }
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(pool.shown(job), Some(JobState::Failed));
    }
}

/// Its worker is silent for longer than its runs may last, so that they count as lapsed first and
/// as gone with the worker later.
#[test]
fn an_owner_gives_up_a_task_that_crashes_its_workers_for_long() {
    for mut pool in Pool::kinds(6) {
        pool.down_ms = 8_000;
        let job = pool.submit(vec![step(2)]);
        pool.crashes.insert(pool.task(job, 0, 0));
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(pool.shown(job), Some(JobState::Failed));
    }
}

#[test]
fn an_owner_gives_up_a_lasting_task_that_crashes_its_workers() {
    for mut pool in Pool::kinds(6) {
        let job = pool.submit(vec![Step { lasting: true, ..step(2) }]);
        pool.crashes.insert(pool.task(job, 0, 0));
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(pool.shown(job), Some(JobState::Failed));
    }
}

/// What runs beside such a task dies with it, and is not to blame.
#[test]
fn neighbours_of_tasks_that_crash_their_workers_succeed() {
    for mut pool in Pool::kinds(6) {
        let small = Step {
            need: crate::model::job::Room { cpu: Millicores(250), ..step(1).need },
            ..step(6)
        };
        let mut others = Vec::new();
        for _ in 0..8 {
            others.push(pool.submit(vec![small.clone(), Step { after: vec![0], ..small.clone() }]));
            pool.run(60);
        }
        let culprits = [pool.submit(vec![small.clone()]), pool.submit(vec![small.clone()])];
        for job in culprits {
            pool.crashes.insert(pool.task(job, 0, 2));
        }
        for _ in 0..20 {
            others.push(pool.submit(vec![small.clone()]));
            pool.run(200);
        }
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        for job in culprits {
            assert_eq!(pool.shown(job), Some(JobState::Failed), "{job}");
        }
        for job in others {
            assert_eq!(pool.shown(job), Some(JobState::Succeeded), "{job}");
        }
    }
}

/// Hosts that lose power take down whatever runs there: no task is to blame.
#[test]
fn tasks_whose_hosts_lose_power_are_not_given_up() {
    for mut pool in Pool::kinds(6) {
        let lasting = pool.submit(vec![Step { lasting: true, ..step(3) }]);
        let jobs: Vec<_> = (0..4)
            .map(|_| pool.submit(vec![step(2), Step { after: vec![0], ..step(2) }]))
            .collect();
        for host in [0, 1, 2, 3, 4, 5, 0, 1, 2] {
            pool.run(400);
            pool.lose_power(host);
        }
        pool.run(LONG_MS);
        assert_eq!(pool.shown(lasting), Some(JobState::Running));
        for job in jobs {
            assert_eq!(pool.shown(job), Some(JobState::Succeeded), "{job}");
        }
        assert!(pool.runs_of(id(1)) == 3, "all of its tasks run");
    }
}

/// Their hosts stay down, and the store lists them on.
#[test]
fn a_task_is_given_up_though_the_entries_of_the_workers_that_it_crashed_never_go() {
    for mut pool in Pool::kinds(6) {
        pool.down_ms = 10 * LONG_MS;
        let job = pool.submit(vec![step(1)]);
        pool.crashes.insert(pool.task(job, 0, 0));
        pool.run(LONG_MS);
        assert!(pool.most_starts_after_three() <= STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(pool.shown(job), Some(JobState::Failed));
    }
}
