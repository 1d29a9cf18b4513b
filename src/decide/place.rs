//! Placement: selects the host for a task.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    decide::rules::Rules,
    model::{
        config::{Resources, Service},
        fleet::Fleet,
        host::HostState,
        id::{HostId, RackId, ServiceId, ZoneId},
        unit::Time,
    },
};

/// Why no host can take a task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NoHost {
    #[error("no host of pool {pool} is large enough even when empty: a task needs {need}")]
    NeverFits { pool: String, need: String },
    #[error("no serving host of pool {pool} has enough free capacity now: a task needs {need}")]
    NoCapacity { pool: String, need: String },
}

/// Places several tasks against one state of the fleet, and counts those that it has placed.
pub(crate) struct Placer<'a> {
    fleet: &'a Fleet,
    now: Time,
    rules: &'a Rules,
    added_load: HashMap<HostId, Resources>,
    added_by_rack: HashMap<(ServiceId, RackId), i64>,
    added_by_zone: HashMap<(ServiceId, ZoneId), i64>,
    excluded: BTreeSet<HostId>,
}

impl<'a> Placer<'a> {
    /// Creates a placer that has placed nothing yet.
    pub(crate) fn new(fleet: &'a Fleet, now: Time, rules: &'a Rules) -> Placer<'a> {
        Placer {
            fleet,
            now,
            rules,
            added_load: HashMap::new(),
            added_by_rack: HashMap::new(),
            added_by_zone: HashMap::new(),
            excluded: BTreeSet::new(),
        }
    }

    /// Excludes a host from later placements.
    pub(crate) fn exclude(&mut self, host: &HostId) {
        self.excluded.insert(host.clone());
    }

    /// Selects the best host other than `from` for a task of a service, and counts the task there.
    pub(crate) fn place(
        &mut self,
        id: &ServiceId,
        service: &Service,
        from: Option<&HostId>,
    ) -> Result<HostId, NoHost> {
        let counts = self.spread(id, from);
        // The loss of one rack and one more unavailable task must stay within the budget.
        let max_per_rack = i64::from(service.max_down.saturating_sub(1).max(1));
        let mut best = None;
        for host in self.fleet.hosts_of(&service.pool) {
            if from == Some(host) || self.excluded.contains(host) {
                continue;
            }
            let Some(free) = self.free(host) else {
                continue;
            };
            if !free.fits(service.need) {
                continue;
            }
            let report = &self.fleet.reports[host];
            let rack = counts.0.get(&report.rack).copied().unwrap_or(0);
            let zone = counts.1.get(&report.zone).copied().unwrap_or(0);
            let remaining = free.minus(service.need).cores;
            // In order of preference: the rack limit holds, the task need not move again for a
            // running plan, the service is spread over racks and zones, the most CPU remains free.
            let crowded = max_per_rack < rack + 1;
            let pending = self.fleet.is_pending(host);
            let rank = (crowded, pending, rack, zone, std::cmp::Reverse(remaining), host);
            if best.as_ref().is_none_or(|best| rank < *best) {
                best = Some(rank);
            }
        }
        let Some((_, _, _, _, _, host)) = best else {
            return Err(self.no_host(service));
        };
        let host = host.clone();
        self.count(id, service, &host);
        Ok(host)
    }

    fn count(&mut self, id: &ServiceId, service: &Service, host: &HostId) {
        let report = &self.fleet.reports[host];
        let added = self.added_load.entry(host.clone()).or_default();
        *added = added.plus(service.need);
        *self.added_by_rack.entry((id.clone(), report.rack.clone())).or_default() += 1;
        *self.added_by_zone.entry((id.clone(), report.zone.clone())).or_default() += 1;
    }

    /// Free resources of a host, or `None` if it may not take tasks.
    fn free(&self, host: &HostId) -> Option<Resources> {
        let record = self.fleet.hosts.get(host)?;
        let report = self.fleet.reports.get(host)?;
        let eligible = record.state == HostState::Serving
            && self.fleet.is_live(host, self.now, self.rules.list_limit)
            && !self.fleet.has_permits(host);
        let added = self.added_load.get(host).copied().unwrap_or_default();
        eligible.then(|| report.capacity.minus(self.fleet.used(host)).minus(added))
    }

    /// Tasks of the service per rack and zone, without those on `from`.
    fn spread(
        &self,
        id: &ServiceId,
        from: Option<&HostId>,
    ) -> (BTreeMap<RackId, i64>, BTreeMap<ZoneId, i64>) {
        let mut racks = BTreeMap::new();
        let mut zones = BTreeMap::new();
        let placement = self.fleet.placements.get(id);
        for assigned in placement.into_iter().flat_map(|p| p.tasks.iter().flatten()) {
            let Some(report) = self.fleet.reports.get(&assigned.host) else {
                continue;
            };
            if from == Some(&assigned.host) {
                continue;
            }
            *racks.entry(report.rack.clone()).or_default() += 1;
            *zones.entry(report.zone.clone()).or_default() += 1;
        }
        for ((service, rack), count) in &self.added_by_rack {
            if service == id {
                *racks.entry(rack.clone()).or_default() += count;
            }
        }
        for ((service, zone), count) in &self.added_by_zone {
            if service == id {
                *zones.entry(zone.clone()).or_default() += count;
            }
        }
        (racks, zones)
    }

    fn no_host(&self, service: &Service) -> NoHost {
        let pool = service.pool.to_string();
        let Resources { cores, memory, accelerators } = service.need;
        let need = format!("{cores} of CPU, {memory} of memory, {accelerators} accelerators");
        if fits_some_empty_host(self.fleet, service) {
            NoHost::NoCapacity { pool, need }
        } else {
            NoHost::NeverFits { pool, need }
        }
    }
}

/// Whether any host of a service's pool could hold one of its tasks if the host were empty.
pub(crate) fn fits_some_empty_host(fleet: &Fleet, service: &Service) -> bool {
    let mut capacities = fleet.hosts_of(&service.pool).filter_map(|host| fleet.reports.get(host));
    capacities.any(|report| report.capacity.fits(service.need))
}
