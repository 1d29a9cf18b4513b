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

/// Hosts in batches that take one host of each rack. Hosts that are done are then spread over
/// racks, and can take in the tasks of the next batch without crowding one of them. Racks with the
/// fewest tasks come first, because their hosts need the fewest moves; racks that carry the
/// services with the least left of their budgets come last, when the most spare is there.
pub(crate) fn across_racks(
    fleet: &Fleet,
    hosts: &[HostId],
    now: Time,
    rules: &Rules,
) -> Vec<Vec<HostId>> {
    let racks = racks(fleet, hosts, now, rules);
    let longest = racks.iter().map(Vec::len).max().unwrap_or(0);
    let batch = |at: usize| racks.iter().filter_map(|rack| rack.get(at).cloned()).collect();
    (0..longest).map(batch).collect()
}

/// Hosts by rack, in the order of racks and within them.
fn racks(fleet: &Fleet, hosts: &[HostId], now: Time, rules: &Rules) -> Vec<Vec<HostId>> {
    let mut racks: BTreeMap<Option<&RackId>, Vec<HostId>> = BTreeMap::new();
    for host in hosts {
        let rack = fleet.reports.get(host).map(|report| &report.rack);
        racks.entry(rack).or_default().push(host.clone());
    }
    let mut left: BTreeMap<ServiceId, i64> = BTreeMap::new();
    let mut racks: Vec<_> = racks.into_values().collect();
    for rack in &mut racks {
        rack.sort_by_key(|host| (fleet.tasks_on(host).len(), host.clone()));
    }
    racks.sort_by_cached_key(|rack| {
        let tasks: usize = rack.iter().map(|host| fleet.tasks_on(host).len()).sum();
        let services = rack.iter().flat_map(|host| budget::services_on(fleet, host));
        let least = services.map(|id| budget_left(fleet, id, &mut left, now, rules)).min();
        (tasks, Reverse(least.unwrap_or(i64::MAX)), rack.first().cloned())
    });
    racks
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
