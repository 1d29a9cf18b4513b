//! Lower bounds for a wave over all hosts of a fleet: what no policy can be better than.
//!
//! A host is out for one cycle at the least: its tasks' successors start, it becomes quiet, and it
//! reboots. Whatever is out, the rest must hold the whole load; so no more hosts are out at one
//! time than have their whole capacity free. A policy that holds back a buffer `B` has hosts out
//! that carried `B` at the most, so that all of the load takes `load / B` cycles to pass through.
//! Every task stands on a host that is done, so each moves once at the least. The buffer takes in
//! the worst rack, which carries an equal part of the load at the least.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    decide::rules::Rules,
    model::{fleet::Fleet, id::PoolId},
};

/// What no policy can be better than.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Bound {
    /// Roll-out time when as many hosts are out as capacity allows at all.
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

/// The least time that a host is out.
pub(crate) fn cycle(rules: &Rules) -> Duration {
    rules.expected.start + rules.expected.quiet + rules.expected.reboot
}

/// The bounds for a wave over all hosts of all pools, which go on side by side.
pub(crate) fn of(fleet: &Fleet, rules: &Rules) -> Bound {
    let mut bound = Bound { seconds: 0.0, moves: 0, buffer: 0 };
    for pool in fleet.config.pools.keys() {
        let load = load(fleet, pool);
        if load.hosts == 0 {
            continue;
        }
        let each = load.capacity / load.hosts;
        let most = ((load.capacity - load.used) / each.max(1)).max(1);
        let rounds = load.hosts.div_ceil(most) as f64;
        bound.seconds = bound.seconds.max(rounds * cycle(rules).as_secs_f64());
        bound.moves += load.tasks;
        bound.buffer += load.used.div_ceil(load.racks.max(1));
    }
    bound
}

/// The least roll-out time of one pool for a policy that holds back so much buffer there.
pub(crate) fn seconds_with(fleet: &Fleet, pool: &PoolId, buffer: u64, rules: &Rules) -> f64 {
    let load = load(fleet, pool);
    let cycles = (load.used as f64 / buffer.max(1) as f64).max(1.0);
    cycles * cycle(rules).as_secs_f64()
}
