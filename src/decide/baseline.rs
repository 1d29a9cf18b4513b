//! Baseline policies for comparison with the planner. They differ in the order of hosts and in the
//! limit on hosts out at one time; availability budgets are enforced as usual.

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64;

use crate::model::{fleet::Fleet, id::HostId, plan::PoolPlan};

/// One host at a time, sorted by name.
pub(crate) fn one_at_a_time(hosts: &[HostId]) -> PoolPlan {
    let batches = hosts.iter().map(|host| vec![host.clone()]).collect();
    PoolPlan { batches, max_out: 1, barrier: true, frugal: false, trades: Vec::new() }
}

/// One rack at a time, sorted by name.
pub(crate) fn rack_by_rack(fleet: &Fleet, hosts: &[HostId]) -> PoolPlan {
    let mut racks = std::collections::BTreeMap::new();
    for host in hosts {
        let rack = fleet.reports.get(host).map(|report| report.rack.clone());
        racks.entry(rack).or_insert_with(Vec::new).push(host.clone());
    }
    let batches = racks.into_values().collect();
    PoolPlan { batches, max_out: u32::MAX, barrier: true, frugal: false, trades: Vec::new() }
}

/// Hosts in random order, as many at one time as the budgets allow.
pub(crate) fn random(hosts: &[HostId], seed: u64) -> PoolPlan {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut hosts = hosts.to_vec();
    hosts.shuffle(&mut rng);
    let start = rng.random_range(0..hosts.len().max(1));
    hosts.rotate_left(start);
    let batches = hosts.into_iter().map(|host| vec![host]).collect();
    PoolPlan { batches, max_out: u32::MAX, barrier: false, frugal: false, trades: Vec::new() }
}
