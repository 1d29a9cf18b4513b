//! Tests of the node's clock.

use crate::scheduler::clock::Clock;

#[test]
fn a_process_that_reads_its_clock_often_was_not_paused() {
    let clock = Clock::new();
    for _ in 0..20 {
        clock.stand_still(400);
        clock.now();
    }
    assert_eq!(clock.woke(), Default::default());
}

#[test]
fn the_clock_reports_when_a_paused_process_resumed() {
    let clock = Clock::new();
    let before = clock.now().steady;
    clock.stand_still(3_000);
    let after = clock.now().steady;
    assert!(before.after(3_000) <= after);
    assert_eq!(clock.woke(), after);
    clock.now();
    assert_eq!(clock.woke(), after, "a later reading does not move it");
}
