//! The order in which a wave takes a pool's hosts.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    decide::{budget, rules::Rules},
    model::{
        fleet::Fleet,
        id::{HostId, RackId, ServiceId},
        unit::Time,
    },
};

/// Hosts in batches by rack. Racks with the fewest tasks come first, because their hosts are then
/// there as targets that need no second move; racks that carry the services with the least left
/// of their budgets come last, when the most spare is there.
pub(crate) fn by_rack(
    fleet: &Fleet,
    hosts: &[HostId],
    now: Time,
    rules: &Rules,
) -> Vec<Vec<HostId>> {
    let mut racks: BTreeMap<Option<&RackId>, Vec<HostId>> = BTreeMap::new();
    for host in hosts {
        let rack = fleet.reports.get(host).map(|report| &report.rack);
        racks.entry(rack).or_default().push(host.clone());
    }
    let mut left: BTreeMap<ServiceId, i64> = BTreeMap::new();
    let mut batches: Vec<_> = racks.into_values().collect();
    for batch in &mut batches {
        batch.sort_by_key(|host| (fleet.tasks_on(host).len(), host.clone()));
    }
    batches.sort_by_cached_key(|batch| {
        let tasks: usize = batch.iter().map(|host| fleet.tasks_on(host).len()).sum();
        let services = batch.iter().flat_map(|host| budget::services_on(fleet, host));
        let least = services.map(|id| budget_left(fleet, id, &mut left, now, rules)).min();
        (tasks, Reverse(least.unwrap_or(i64::MAX)), batch.first().cloned())
    });
    batches
}

/// What a service's budget leaves for permits.
fn budget_left(
    fleet: &Fleet,
    id: ServiceId,
    known: &mut BTreeMap<ServiceId, i64>,
    now: Time,
    rules: &Rules,
) -> i64 {
    if let Some(left) = known.get(&id) {
        return *left;
    }
    let left = fleet.service(&id).map_or(0, |service| {
        let standing = budget::standing(fleet, &id, service, now, rules);
        i64::from(standing.max_down) - standing.down.len() as i64 - i64::from(standing.reserve())
    });
    known.insert(id, left);
    left
}
