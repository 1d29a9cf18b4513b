//! Lower bounds for a wave over all hosts of a fleet, under any policy.
//!
//! A host is out for at least one cycle: its tasks' successors start, it becomes quiet, and it
//! reboots. The other hosts must carry the whole load, so the hosts that are out at one time have
//! no more capacity than the fleet has free. With a buffer `B`, the hosts that are out at one time
//! carried at most `B`, so moving the whole load takes at least `load / B` cycles. In the end every
//! task is on a host that is done, so each has moved at least once. The buffer must hold the load
//! of the most loaded rack, which is at least an equal share of the whole load.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    decide::rules::Rules,
    model::{fleet::Fleet, id::PoolId},
};

/// Lower bounds of a wave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Bound {
    /// Roll-out time with as many hosts out as capacity allows.
    pub(crate) seconds: f64,
    pub(crate) moves: u32,
    /// Spare capacity, in millicores.
    pub(crate) buffer: u64,
}

struct Load {
    hosts: u64,
    capacity: u64,
    used: u64,
    racks: u64,
    tasks: u32,
}

fn load(fleet: &Fleet, pool: &PoolId) -> Load {
    let hosts: Vec<_> = fleet.hosts_of(pool).collect();
    let reports = || hosts.iter().filter_map(|host| fleet.reports.get(*host));
    let racks: BTreeSet<_> = reports().map(|report| &report.rack).collect();
    Load {
        hosts: hosts.len() as u64,
        capacity: reports().map(|report| u64::from(report.capacity.cores.0)).sum(),
        used: hosts.iter().map(|host| u64::from(fleet.used(host).cores.0)).sum(),
        racks: racks.len() as u64,
        tasks: hosts.iter().map(|host| fleet.tasks_on(host).len() as u32).sum(),
    }
}

/// The minimum time that a host is out.
pub(crate) fn cycle(rules: &Rules) -> Duration {
    rules.expected.start + rules.expected.quiet + rules.expected.reboot
}

/// The bounds for a wave over all hosts of all pools, which progress in parallel.
pub(crate) fn of(fleet: &Fleet, rules: &Rules) -> Bound {
    let mut bound = Bound { seconds: 0.0, moves: 0, buffer: 0 };
    for pool in fleet.config.pools.keys() {
        let load = load(fleet, pool);
        if load.hosts == 0 {
            continue;
        }
        let host_capacity = load.capacity / load.hosts;
        let max_out = ((load.capacity - load.used) / host_capacity.max(1)).max(1);
        let rounds = load.hosts.div_ceil(max_out) as f64;
        bound.seconds = bound.seconds.max(rounds * cycle(rules).as_secs_f64());
        bound.moves += load.tasks;
        bound.buffer += load.used.div_ceil(load.racks.max(1));
    }
    bound
}

/// The minimum roll-out time of one pool with the given buffer, in seconds.
pub(crate) fn seconds_with(fleet: &Fleet, pool: &PoolId, buffer: u64, rules: &Rules) -> f64 {
    let load = load(fleet, pool);
    let cycles = (load.used as f64 / buffer.max(1) as f64).max(1.0);
    cycles * cycle(rules).as_secs_f64()
}
