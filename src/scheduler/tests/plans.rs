//! How often the owner of the fleet's work makes a plan.

use std::time::Duration;

use crate::{model::unit::Steady, scheduler::fleet::next_plan};

const BEGAN: Steady = Steady::from_millis(10_000);

/// Milliseconds from the beginning of a plan that took so many until the next.
fn next(took: u64) -> u64 {
    next_plan(BEGAN, Duration::from_millis(took)).since(BEGAN)
}

/// Plans of 100 ms were made ten times a second: nothing else was done by the node that answered
/// callers and took in what the store told, and it fell 6 to 9 s behind.
#[test]
fn plans_take_a_quarter_of_the_time_at_most_whatever_one_costs() {
    for took in [30, 100, 400, 3_000] {
        assert!(took * 4 <= next(took), "{took} ms, the next after {}", next(took));
    }
}

#[test]
fn plans_that_cost_little_are_made_ten_times_a_second() {
    assert_eq!((next(0), next(25)), (100, 100));
}
