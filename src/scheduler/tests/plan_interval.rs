//! Tests of how often the fleet's owner makes a plan.

use std::time::Duration;

use crate::{model::unit::Steady, scheduler::fleet::next_plan};

const PLAN_START: Steady = Steady::from_millis(10_000);

/// Time from the start of a plan that took `took` milliseconds to the next one, in milliseconds.
fn next_after(took: u64) -> u64 {
    next_plan(PLAN_START, Duration::from_millis(took)).since(PLAN_START)
}

/// Plans that took 100 ms were made ten times a second. The node had no time left to answer callers
/// and to apply the store's changes, and its view was 6 to 9 s old.
#[test]
fn plans_take_at_most_a_quarter_of_the_time_whatever_one_takes() {
    for took in [30, 100, 400, 3_000] {
        assert!(took * 4 <= next_after(took), "{took} ms, the next one after {}", next_after(took));
    }
}

#[test]
fn fast_plans_are_made_ten_times_a_second() {
    assert_eq!((next_after(0), next_after(25)), (100, 100));
}
