//! The cost of a plan of the fleet owner.
//!
//! Guards against a plan whose cost grows with hosts times marks. With 1,100 hosts and a wave of
//! upkeep over half of them, such a plan searched all marks for each host of the wave and for each
//! comparison while sorting them, and all hosts for each candidate: 28 to 63 ms of a core, ten
//! times per second, on a node with half a core. The node's view fell behind, and pools were sized
//! for the demand 6 to 9 s earlier.

use crate::measure::fleet::run_plans;

/// The number of visits of hosts and marks in the last of several plans, with a tenth of the hosts
/// marked.
fn visits(hosts: usize) -> usize {
    let mut visits = 0;
    run_plans(hosts, hosts / 10, 4, |fleet, snapshot, now| {
        fleet.take_visits();
        fleet.plan(snapshot, now);
        visits = fleet.take_visits();
    });
    visits
}

#[test]
fn a_plan_for_four_times_the_hosts_costs_about_four_times_as_much() {
    let (small, large) = (visits(300), visits(1_200));
    // Sorting may add a little, but nothing may grow with hosts times marks.
    assert!(large <= small * 5, "{small} visits for 300 hosts, {large} for 1,200");
}
