//! What a plan of the fleet's owner looks at.
//!
//! Users saw quotes served at 0.18 to 0.30 of what was owed, and a node that told them of a state of
//! seconds ago. One node owned the work of the whole fleet, 1,100 hosts with a wave of upkeep over
//! half of them. For each host of the wave, and again for each comparison while these were sorted, its
//! plan went through all marks, and for each candidate through all hosts: 28 to 63 ms of a core,
//! ten times a second, on a node with half a core. That node's log showed the pools sized for what
//! they had asked for 6 to 9 s before.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::fleet::{Demand, Fleet, Leave, Scene, Sizing},
    model::{
        id::{HostId, PoolId, WorkerId},
        job::Room,
        queue::{PoolRules, QueueConfig},
        unit::{Megabytes, Millicores, Steady},
        worker::{HostPhase, ListedHost, Upkeep},
    },
};

/// Pools, of which the last one's hosts are off.
const POOLS: usize = 5;

/// How often a host or a mark is looked at in the second plan of a fleet while a wave goes on over
/// half of its hosts, a tenth of which are marked, with nothing left to run there.
fn looks(hosts: usize) -> usize {
    let ids: Vec<HostId> = (0..hosts).map(|n| format!("h{n}").parse().unwrap()).collect();
    let pools: Vec<PoolId> = (0..POOLS).map(|n| format!("p{n}").parse().unwrap()).collect();
    let rules = |n| PoolRules { off: n == POOLS - 1, guards: true };
    let rules = pools.iter().enumerate().map(|(n, pool)| (pool.clone(), rules(n)));
    let config = QueueConfig { version: 1, queues: vec![], pools: rules.collect() };
    let worker = |id: &HostId| -> WorkerId { format!("w-{id}").parse().unwrap() };
    let listed = ids.iter().enumerate().map(|(n, id)| ListedHost {
        host: id.clone(),
        pool: pools[n % POOLS].clone(),
        phase: HostPhase::Up,
        worker: Some(worker(id)),
        labels: vec![],
        room: Room { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 },
    });
    let wave: Vec<HostId> = ids.iter().step_by(2).cloned().collect();
    let marked = wave.iter().take(hosts / 10);
    let leaves: BTreeMap<HostId, Leave> = marked.map(|id| (id.clone(), Leave::Upkeep(1))).collect();
    let empties = leaves.keys().map(|id| (id.clone(), worker(id))).collect();
    let upkeep = Upkeep { wave: 1, hosts: wave, period_ms: 26_000, at_once: (hosts / 5) as u32 };
    let asked = |n| {
        let cpu = if n == 0 { hosts as u64 * 16_000 } else { 600_000 };
        Demand { cpu, ends: true, arriving: cpu, arrivals: 60, ..Demand::default() }
    };
    let demands = pools.iter().enumerate().map(|(n, pool)| (pool.clone(), asked(n))).collect();
    let (maintained, nothing) = (BTreeMap::new(), BTreeSet::new());
    let (reported, resting) = (BTreeSet::new(), BTreeSet::new());
    let scene = Scene {
        config: &config,
        demands: &demands,
        leaves: &leaves,
        empties: &empties,
        upkeeps: &[upkeep],
        maintained: &maintained,
        reported: &reported,
        idle: &nothing,
        light: &[],
        busy: &ids,
        resting: &resting,
    };
    let mut fleet = Fleet::new(1, Sizing::default(), Steady::default());
    fleet.heard_list(Steady::from_millis(1), Some(listed.collect()));
    fleet.plan(&scene, Steady::from_millis(100));
    fleet.take_looks();
    fleet.plan(&scene, Steady::from_millis(200));
    fleet.take_looks()
}

#[test]
fn a_plan_for_four_times_the_hosts_costs_about_four_times_as_much() {
    let (small, large) = (looks(300), looks(1_200));
    // Sorting may add a little: the aim is that nothing grows with hosts times marks.
    assert!(large <= small * 5, "{small} looks for 300 hosts, {large} for 1,200");
}
