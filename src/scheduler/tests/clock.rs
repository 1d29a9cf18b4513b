//! Tests of the node's clock.

use crate::scheduler::clock::Clock;

#[test]
fn a_process_that_reads_its_clock_often_was_not_paused() {
    let clock = Clock::new();
    for _ in 0..20 {
        clock.simulate_pause(400);
        clock.now();
    }
    assert_eq!(clock.last_resumed(), Default::default());
}

#[test]
fn the_clock_reports_when_a_paused_process_resumed() {
    let clock = Clock::new();
    let before = clock.now().steady;
    clock.simulate_pause(3_000);
    let after = clock.now().steady;
    assert!(before.after(3_000) <= after);
    assert_eq!(clock.last_resumed(), after);
    clock.now();
    assert_eq!(clock.last_resumed(), after, "a later reading does not move it");
}
