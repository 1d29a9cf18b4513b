//! The order in which a plan processes the hosts of a pool.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::{
    decide::{budget, rules::Rules},
    model::{
        fleet::Fleet,
        id::{HostId, RackId, ServiceId},
        unit::Time,
    },
};

/// Batches of hosts, each with one host per rack. Finished hosts are thus spread over all racks and
/// can take the tasks of the next batch without crowding one rack. Racks with the fewest tasks come
/// first, since their hosts need the fewest moves. Among equals, racks whose services have the
/// least budget left come last, when the most spare capacity is available.
pub(crate) fn across_racks(
    fleet: &Fleet,
    hosts: &[HostId],
    now: Time,
    rules: &Rules,
) -> Vec<Vec<HostId>> {
    let racks = racks(fleet, hosts, now, rules);
    let batches = racks.iter().map(Vec::len).max().unwrap_or(0);
    let batch = |index: usize| racks.iter().filter_map(|rack| rack.get(index).cloned()).collect();
    (0..batches).map(batch).collect()
}

/// Hosts grouped by rack, with racks and the hosts of each rack in processing order.
fn racks(fleet: &Fleet, hosts: &[HostId], now: Time, rules: &Rules) -> Vec<Vec<HostId>> {
    let mut racks: BTreeMap<Option<&RackId>, Vec<HostId>> = BTreeMap::new();
    for host in hosts {
        let rack = fleet.reports.get(host).map(|report| &report.rack);
        racks.entry(rack).or_default().push(host.clone());
    }
    let mut cache: BTreeMap<ServiceId, i64> = BTreeMap::new();
    let mut racks: Vec<_> = racks.into_values().collect();
    for rack in &mut racks {
        rack.sort_by_key(|host| (fleet.tasks_on(host).len(), host.clone()));
    }
    racks.sort_by_cached_key(|rack| {
        let tasks: usize = rack.iter().map(|host| fleet.tasks_on(host).len()).sum();
        let services = rack.iter().flat_map(|host| budget::services_on(fleet, host));
        let least_left = services.map(|id| budget_left(fleet, id, &mut cache, now, rules)).min();
        (tasks, Reverse(least_left.unwrap_or(i64::MAX)), rack.first().cloned())
    });
    racks
}

/// How many tasks a service's budget still allows to be taken down by permits.
fn budget_left(
    fleet: &Fleet,
    id: ServiceId,
    cache: &mut BTreeMap<ServiceId, i64>,
    now: Time,
    rules: &Rules,
) -> i64 {
    if let Some(left) = cache.get(&id) {
        return *left;
    }
    let left = fleet.service(&id).map_or(0, |service| {
        let status = budget::status(fleet, &id, service, now, rules);
        i64::from(status.max_down) - status.down.len() as i64 - i64::from(status.reserve())
    });
    cache.insert(id, left);
    left
}
