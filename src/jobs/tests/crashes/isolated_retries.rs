//! Isolated retries that are announced at all workers, and a more urgent job.
//!
//! Guards against a deadlock of a pool with all its workers empty. Every worker was reserved for
//! the isolated retry of a task. A more urgent job found no worker just before the retries started,
//! so the plan concluded that there were no resources for any task of that size and skipped the
//! retries as well. The same happened in each later plan.

use super::pool::Pool;
use crate::{
    jobs::tests::step,
    model::job::{JobState, Step},
};

/// Longer than both jobs take together, and shorter than the time for which the second job remains
/// the more urgent one, in milliseconds.
const BOTH_JOBS_MS: u64 = 5_000;

/// `number` consecutive steps of `count` tasks, each on a different worker.
fn steps(number: u32, count: u32) -> Vec<Step> {
    let after = |step: u32| step.checked_sub(1).into_iter().collect();
    (0..number).map(|of| Step { after: after(of), max_per_worker: 1, ..step(count) }).collect()
}

#[test]
fn announced_isolated_retries_start_although_a_more_urgent_job_finds_no_worker() {
    for mut pool in Pool::with_each_naming(2) {
        let suspects = pool.submit(steps(4, 2));
        let lose_both = |pool: &mut Pool| {
            pool.run(50);
            pool.lose_power(0);
            pool.lose_power(1);
        };
        lose_both(&mut pool);
        pool.run(pool.down_ms);
        // A later owner does not know how the second runs ended.
        lose_both(&mut pool);
        pool.replace_owner();
        // Wait until the stored progress announces an isolated retry at both workers.
        while pool.announced(suspects) < 2 {
            pool.run(10);
        }
        // With fewer steps it has less slack than the other job.
        let urgent = pool.submit(vec![step(1), Step { after: vec![0], ..step(1) }]);
        pool.run(BOTH_JOBS_MS);
        assert_eq!(pool.status(urgent), Some(JobState::Succeeded));
        assert_eq!(pool.status(suspects), Some(JobState::Succeeded));
    }
}
