//! Many tasks at once that crash the workers that start them.
//!
//! Guards against failing jobs without such a task, long-running ones included: a tenth of a
//! queue's jobs crashed four workers per second, each with up to eighteen runs, and a task was
//! given up once four workers were lost with it, even if another run had just begun there each
//! time. Runs also counted as just begun for too long, since answers to other orders than polls
//! were not taken as signs of life.

use super::{MAX_STARTS_AFTER_THREE, pool::Pool};
use crate::{
    jobs::tests::step,
    model::{
        job::{JobId, JobState, Step, TaskResources},
        unit::Millicores,
    },
};

/// How long the pools of these tests run after the last job is submitted.
const LONG_MS: u64 = 60_000;

fn small(count: u32) -> Step {
    Step { need: TaskResources { cpu: Millicores(250), ..step(1).need }, ..step(count) }
}

/// Submits a job every `interval_ms` for ten seconds, every `nth` with a task that crashes its
/// workers. Returns the sound jobs and the crashing ones.
fn submit_jobs(pool: &mut Pool, interval_ms: u64, nth: usize) -> (Vec<JobId>, Vec<JobId>) {
    let (mut sound, mut crashing) = (Vec::new(), Vec::new());
    for number in 0..(10_000 / interval_ms) as usize {
        let job = pool.submit(vec![small(4), Step { after: vec![0], ..small(2) }]);
        if number % nth == nth - 1 {
            pool.crashing_tasks.insert(pool.task(job, 0, number as u32 % 4));
            crashing.push(job);
        } else {
            sound.push(job);
        }
        pool.run(interval_ms);
    }
    (sound, crashing)
}

fn check(hosts: usize, interval_ms: u64, nth: usize) {
    for mut pool in Pool::with_each_naming(hosts) {
        let long_running: Vec<JobId> =
            (0..3).map(|_| pool.submit(vec![Step { long_running: true, ..small(6) }])).collect();
        pool.run(1_000);
        let (sound, crashing) = submit_jobs(&mut pool, interval_ms, nth);
        pool.run(LONG_MS);
        let count = |pool: &Pool, jobs: &[JobId], state| {
            jobs.iter().filter(|job| pool.status(**job) == Some(state)).count()
        };
        assert!(pool.max_starts_after_three() <= MAX_STARTS_AFTER_THREE, "{:?}", pool.crashed);
        assert_eq!(
            count(&pool, &crashing, JobState::Failed),
            crashing.len(),
            "crashing jobs reported as failed"
        );
        assert_eq!(count(&pool, &sound, JobState::Failed), 0, "sound jobs reported as failed");
        assert_eq!(
            count(&pool, &sound, JobState::Succeeded),
            sound.len(),
            "sound jobs reported as succeeded"
        );
        for job in long_running {
            assert_eq!(pool.status(job), Some(JobState::Running), "{job}");
            assert_eq!(pool.runs_of(job), 6, "all tasks of {job} run");
        }
    }
}

#[test]
fn sound_jobs_succeed_beside_many_tasks_that_crash_their_workers() {
    check(12, 40, 8);
}

#[test]
fn sound_jobs_succeed_beside_tasks_that_crash_their_workers_in_a_small_pool() {
    check(6, 100, 5);
}

#[test]
fn sound_jobs_succeed_beside_tasks_that_crash_their_workers_in_a_large_pool() {
    check(30, 20, 10);
}
