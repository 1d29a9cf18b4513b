//! What a plan of the fleet's owner looks at.
//!
//! Users saw quotes served at 0.18 to 0.30 of what was owed, and a node that told them of a state of
//! seconds ago. One node owned the work of the whole fleet, 1,100 hosts with a wave of upkeep over
//! half of them. For each host of the wave, and again for each comparison while these were sorted, its
//! plan went through all marks, and for each candidate through all hosts: 28 to 63 ms of a core,
//! ten times a second, on a node with half a core. That node's log showed the pools sized for what
//! they had asked for 6 to 9 s before.

use crate::measure::fleet::play;

/// How often a host or a mark is looked at in the last of some plans, with a tenth of the hosts marked.
fn looks(hosts: usize) -> usize {
    let mut looks = 0;
    play(hosts, hosts / 10, 4, |fleet, scene, now| {
        fleet.take_looks();
        fleet.plan(scene, now);
        looks = fleet.take_looks();
    });
    looks
}

#[test]
fn a_plan_for_four_times_the_hosts_costs_about_four_times_as_much() {
    let (small, large) = (looks(300), looks(1_200));
    // Sorting may add a little: the aim is that nothing grows with hosts times marks.
    assert!(large <= small * 5, "{small} looks for 300 hosts, {large} for 1,200");
}
