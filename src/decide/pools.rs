//! Pools: which pool a host without one joins.

use std::collections::{BTreeMap, HashMap};

use crate::model::{
    fleet::Fleet,
    id::{HostId, PoolId, RackId},
};

/// A pool for each live host that has none: the pool that lacks the largest share of its hosts,
/// and in it the rack that it has the fewest hosts of. Hosts that have a pool stay there.
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
        let Some(pool) = neediest(fleet, &sizes) else {
            break;
        };
        let fewest = |at: &usize| {
            let report = free[*at];
            (racks.get(&(pool, &report.rack)).copied().unwrap_or(0), &report.host)
        };
        let Some(at) = (0..free.len()).min_by_key(fewest) else {
            break;
        };
        let report = free.swap_remove(at);
        *sizes.entry(pool).or_default() += 1;
        *racks.entry((pool, &report.rack)).or_default() += 1;
        assigned.push((report.host.clone(), pool.clone()));
    }
    assigned
}

/// The pool that lacks the largest share of the hosts that it should have.
fn neediest<'a>(fleet: &'a Fleet, sizes: &BTreeMap<&PoolId, u32>) -> Option<&'a PoolId> {
    let lacking = fleet.config.pools.iter().filter_map(|(id, pool)| {
        let has = sizes.get(id).copied().unwrap_or(0);
        let lacks = pool.hosts.checked_sub(has).filter(|lacks| *lacks != 0)?;
        // Compared in millionths, which is exact enough and keeps an order that is total.
        Some((u64::from(lacks) * 1_000_000 / u64::from(pool.hosts), id))
    });
    lacking.max_by_key(|(share, id)| (*share, std::cmp::Reverse(*id))).map(|(_, id)| id)
}

/// Whether a pool lacks hosts that are there and will join it.
pub(crate) fn is_filling(fleet: &Fleet, pool: &PoolId) -> bool {
    if fleet.reports.len() <= fleet.hosts.len() {
        return false;
    }
    let wanted = fleet.config.pools.get(pool).map_or(0, |pool| pool.hosts as usize);
    let free = fleet.reports.values().any(|r| r.live && !fleet.hosts.contains_key(&r.host));
    free && fleet.hosts_of(pool).count() < wanted
}
