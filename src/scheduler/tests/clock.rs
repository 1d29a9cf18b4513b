//! Tests of the node's clock.

use crate::scheduler::clock::Clock;

#[test]
fn a_process_that_looks_at_its_clock_has_not_stood_still() {
    let clock = Clock::new();
    for _ in 0..20 {
        clock.stand_still(400);
        clock.now();
    }
    assert_eq!(clock.woke(), Default::default());
}

#[test]
fn a_process_that_stood_still_knows_since_when_it_goes_on() {
    let clock = Clock::new();
    let before = clock.now().steady;
    clock.stand_still(3_000);
    let after = clock.now().steady;
    assert!(before.after(3_000) <= after);
    assert_eq!(clock.woke(), after);
    clock.now();
    assert_eq!(clock.woke(), after, "it goes on since then");
}
