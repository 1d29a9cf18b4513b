//! Placement: the host that a task should run on.

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
    #[error("no serving host of pool {pool} has room now: a task needs {need}")]
    NoRoom { pool: String, need: String },
}

/// The state of placement while several tasks are placed at one time: what the fleet holds, and
/// what was placed since.
pub(crate) struct Placer<'a> {
    fleet: &'a Fleet,
    now: Time,
    rules: &'a Rules,
    added: HashMap<HostId, Resources>,
    placed: HashMap<(ServiceId, RackId), i64>,
    zoned: HashMap<(ServiceId, ZoneId), i64>,
    avoid: BTreeSet<HostId>,
}

impl<'a> Placer<'a> {
    /// Starts from what the fleet holds.
    pub(crate) fn new(fleet: &'a Fleet, now: Time, rules: &'a Rules) -> Placer<'a> {
        Placer {
            fleet,
            now,
            rules,
            added: HashMap::new(),
            placed: HashMap::new(),
            zoned: HashMap::new(),
            avoid: BTreeSet::new(),
        }
    }

    /// Places no task on this host from now on.
    pub(crate) fn avoid(&mut self, host: &HostId) {
        self.avoid.insert(host.clone());
    }

    /// The best host for a task of a service, other than `from`, and counts the task there.
    pub(crate) fn place(
        &mut self,
        id: &ServiceId,
        service: &Service,
        from: Option<&HostId>,
    ) -> Result<HostId, NoHost> {
        let by_rack = self.spread(id, from);
        // One failure domain's tasks, and one more that is out, must stay within the budget.
        let most_a_rack = i64::from(service.max_down.saturating_sub(1).max(1));
        let mut best = None;
        for host in self.fleet.hosts_of(&service.pool) {
            if from == Some(host) || self.avoid.contains(host) {
                continue;
            }
            let Some(free) = self.free(host) else {
                continue;
            };
            if !free.fits(service.need) {
                continue;
            }
            let report = &self.fleet.reports[host];
            let rack = by_rack.0.get(&report.rack).copied().unwrap_or(0);
            let zone = by_rack.1.get(&report.zone).copied().unwrap_or(0);
            let left = free.less(service.need).cores;
            // What the budget survives comes first, then no second move, then spread, then the
            // most room left.
            let crowded = most_a_rack < rack + 1;
            let pending = self.fleet.is_pending(host);
            let rank = (crowded, pending, rack, zone, std::cmp::Reverse(left), host);
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
        let added = self.added.entry(host.clone()).or_default();
        *added = added.plus(service.need);
        *self.placed.entry((id.clone(), report.rack.clone())).or_default() += 1;
        *self.zoned.entry((id.clone(), report.zone.clone())).or_default() += 1;
    }

    /// Room on a host that may take tasks; nothing if it may not.
    fn free(&self, host: &HostId) -> Option<Resources> {
        let record = self.fleet.hosts.get(host)?;
        let report = self.fleet.reports.get(host)?;
        let open = record.state == HostState::Serving
            && self.fleet.is_live(host, self.now, self.rules.list_limit)
            && !self.fleet.is_permitted(host);
        let added = self.added.get(host).copied().unwrap_or_default();
        open.then(|| report.capacity.less(self.fleet.used(host)).less(added))
    }

    /// How many tasks of the service each rack and zone holds, without the one on `from`.
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
        for ((service, rack), count) in &self.placed {
            if service == id {
                *racks.entry(rack.clone()).or_default() += count;
            }
        }
        for ((service, zone), count) in &self.zoned {
            if service == id {
                *zones.entry(zone.clone()).or_default() += count;
            }
        }
        (racks, zones)
    }

    fn no_host(&self, service: &Service) -> NoHost {
        let pool = service.pool.to_string();
        let Resources { cores, memory, accelerators } = service.need;
        let need = format!("{cores} of processor, {memory}, {accelerators} accelerators");
        if fits_some_empty_host(self.fleet, service) {
            NoHost::NoRoom { pool, need }
        } else {
            NoHost::NeverFits { pool, need }
        }
    }
}

/// Whether any host of a service's pool could hold one of its tasks if it were empty.
pub(crate) fn fits_some_empty_host(fleet: &Fleet, service: &Service) -> bool {
    let mut capacities = fleet.hosts_of(&service.pool).filter_map(|host| fleet.reports.get(host));
    capacities.any(|report| report.capacity.fits(service.need))
}
