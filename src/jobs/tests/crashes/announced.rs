//! Trials that are announced, and what is more urgent.
//!
//! Users would have seen a pool that stands still for good: nothing of it runs, with all its workers
//! empty. Tasks that were lost with two workers had been announced at every worker of the pool, where
//! nothing else begins until they have shown that they do not crash it. In the moment before they were
//! to start, a more urgent job found no worker, the plan took it that there was no room for anything of
//! that size, and passed over the very tasks for which the workers were kept; so it did from then on.
//! What proved it: the owner's state at the end of a fuzzing's seed, with `trial` set at both living
//! workers, `copies` empty, and everything that a start asks for durable.

use super::pool::Pool;
use crate::{
    jobs::tests::step,
    model::job::{JobState, Step},
};

/// Longer than both jobs take, and shorter than the second one is the more urgent, in milliseconds.
const BOTH_MS: u64 = 5_000;

/// So many steps, one after the other, of tasks that each go to another worker.
fn steps(number: u32, count: u32) -> Vec<Step> {
    let after = |step: u32| step.checked_sub(1).into_iter().collect();
    (0..number).map(|of| Step { after: after(of), apart: 1, ..step(count) }).collect()
}

#[test]
fn announced_trials_start_though_more_urgent_work_finds_no_room() {
    for mut pool in Pool::kinds(2) {
        let suspects = pool.submit(steps(4, 2));
        let lose_all = |pool: &mut Pool| {
            pool.run(50);
            pool.lose_power(0);
            pool.lose_power(1);
        };
        lose_all(&mut pool);
        pool.run(pool.down_ms);
        // A later owner cannot tell what became of the second runs.
        lose_all(&mut pool);
        pool.replace_owner();
        // What is kept tells that both are to be tried now.
        while pool.announced(suspects) < 2 {
            pool.run(10);
        }
        // With fewer steps it has less time to spare than the other job.
        let urgent = pool.submit(vec![step(1), Step { after: vec![0], ..step(1) }]);
        pool.run(BOTH_MS);
        assert_eq!(pool.shown(urgent), Some(JobState::Succeeded));
        assert_eq!(pool.shown(suspects), Some(JobState::Succeeded));
    }
}
