//! Pools: selects the pool that a host without one joins.

use std::collections::{BTreeMap, HashMap};

use crate::model::{
    fleet::Fleet,
    id::{HostId, PoolId, RackId},
};

/// Assigns each live host without a pool. The pool that lacks the largest share of its hosts comes
/// first, and gets a host in the rack of which it has the fewest. Hosts with a pool keep it.
pub(crate) fn assign(fleet: &Fleet) -> Vec<(HostId, PoolId)> {
    let mut sizes: BTreeMap<&PoolId, u32> = fleet.config.pools.keys().map(|id| (id, 0)).collect();
    let mut racks: HashMap<(&PoolId, &RackId), u32> = HashMap::new();
    for (host, record) in &fleet.hosts {
        *sizes.entry(&record.pool).or_default() += 1;
        if let Some(report) = fleet.reports.get(host) {
            *racks.entry((&record.pool, &report.rack)).or_default() += 1;
        }
    }
    let mut free: Vec<_> =
        fleet.reports.values().filter(|r| r.live && !fleet.hosts.contains_key(&r.host)).collect();
    let mut assigned = Vec::new();
    while !free.is_empty() {
        let Some(pool) = largest_shortfall(fleet, &sizes) else {
            break;
        };
        let fewest = |index: &usize| {
            let report = free[*index];
            (racks.get(&(pool, &report.rack)).copied().unwrap_or(0), &report.host)
        };
        let Some(index) = (0..free.len()).min_by_key(fewest) else {
            break;
        };
        let report = free.swap_remove(index);
        *sizes.entry(pool).or_default() += 1;
        *racks.entry((pool, &report.rack)).or_default() += 1;
        assigned.push((report.host.clone(), pool.clone()));
    }
    assigned
}

/// The pool that lacks the largest share of its configured hosts.
fn largest_shortfall<'a>(fleet: &'a Fleet, sizes: &BTreeMap<&PoolId, u32>) -> Option<&'a PoolId> {
    let shortfalls = fleet.config.pools.iter().filter_map(|(id, pool)| {
        let present = sizes.get(id).copied().unwrap_or(0);
        let missing = pool.hosts.checked_sub(present).filter(|missing| *missing != 0)?;
        // In millionths: integers have a total order, and the precision suffices.
        Some((u64::from(missing) * 1_000_000 / u64::from(pool.hosts), id))
    });
    shortfalls.max_by_key(|(share, id)| (*share, std::cmp::Reverse(*id))).map(|(_, id)| id)
}

/// Whether a pool lacks hosts and live hosts without a pool are available to join it.
pub(crate) fn is_filling(fleet: &Fleet, pool: &PoolId) -> bool {
    if fleet.reports.len() <= fleet.hosts.len() {
        return false;
    }
    let wanted = fleet.config.pools.get(pool).map_or(0, |pool| pool.hosts as usize);
    let free = fleet.reports.values().any(|r| r.live && !fleet.hosts.contains_key(&r.host));
    free && fleet.hosts_of(pool).count() < wanted
}
