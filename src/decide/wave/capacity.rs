//! Budgets of the services and free capacity of the pool that remain in one round of a wave.

use std::collections::{BTreeMap, HashMap};

use crate::{
    decide::{
        budget::{self, BudgetStatus, OverBudget},
        place::Placer,
        rules::Rules,
        wave::{WaitReason, WaveContext},
    },
    model::{
        fleet::Fleet,
        host::HostState,
        id::{HostId, PoolId, RackId, ServiceId},
        plan::PoolPlan,
        unit::Time,
    },
};

/// Budgets and capacity of a pool, without the hosts that are started in this round.
pub(super) struct RoundCapacity<'a> {
    fleet: &'a Fleet,
    now: Time,
    rules: &'a Rules,
    statuses: HashMap<ServiceId, BudgetStatus>,
    pub(super) placer: Placer<'a>,
    pool_capacity: PoolCapacity,
}

impl<'a> RoundCapacity<'a> {
    pub(super) fn new(context: &WaveContext<'a>, part: &PoolPlan) -> RoundCapacity<'a> {
        let WaveContext { fleet, now, rules, .. } = *context;
        let pool = part.hosts().find_map(|host| fleet.hosts.get(host)).map(|r| &r.pool);
        RoundCapacity {
            fleet,
            now,
            rules,
            statuses: HashMap::new(),
            placer: Placer::new(fleet, now, rules),
            pool_capacity: PoolCapacity::new(fleet, pool, now, rules),
        }
    }

    /// Takes out the capacity of a host and of its tasks, if enough remains. If `strict`, only if
    /// no task would have to move twice.
    pub(super) fn admit_capacity(&mut self, host: &HostId, strict: bool) -> Result<(), WaitReason> {
        let next = self
            .pool_capacity
            .without(self.fleet, host, self.rules)
            .ok_or(WaitReason::RackReserve)?;
        self.placer.exclude(host);
        for task in self.fleet.tasks_on(host) {
            let Some(service) = self.fleet.service(&task.service) else { continue };
            let target = self.placer.place(&task.service, service, Some(host))?;
            if strict && self.fleet.is_pending(&target) {
                return Err(WaitReason::SecondMove);
            }
        }
        self.pool_capacity = next;
        Ok(())
    }

    /// Takes the tasks of a host out of their budgets, if every budget allows it.
    pub(super) fn admit_budget(&mut self, host: &HostId) -> Result<(), OverBudget> {
        let mut next = Vec::new();
        for id in budget::services_on(self.fleet, host) {
            let Some(service) = self.fleet.service(&id) else { continue };
            let status = self
                .statuses
                .entry(id.clone())
                .or_insert_with(|| budget::status(self.fleet, &id, service, self.now, self.rules));
            next.push((id.clone(), status.without(self.fleet, &id, host, self.now, self.rules)?));
        }
        self.statuses.extend(next);
        Ok(())
    }
}

/// CPU capacity of a pool, in millicores: the tasks of any one rack must fit on the other hosts if
/// that rack is lost.
#[derive(Debug, Clone, Default)]
struct PoolCapacity {
    /// Free on live serving hosts.
    free: u64,
    /// Capacity of hosts that are out for a plan, which come back in bounded time.
    returning: u64,
    used_by_rack: BTreeMap<RackId, u64>,
    free_by_rack: BTreeMap<RackId, u64>,
}

impl PoolCapacity {
    fn new(fleet: &Fleet, pool: Option<&PoolId>, now: Time, rules: &Rules) -> PoolCapacity {
        let mut total = PoolCapacity::default();
        for host in pool.into_iter().flat_map(|pool| fleet.hosts_of(pool)) {
            let Some(report) = fleet.reports.get(host) else { continue };
            let record = &fleet.hosts[host];
            let capacity = u64::from(report.capacity.cores.0);
            if record.plan.is_some() {
                total.returning += capacity;
            }
            let live = fleet.is_live(host, now, rules.list_limit);
            if record.state != HostState::Serving || !live {
                continue;
            }
            let used = u64::from(fleet.used(host).cores.0);
            let free = capacity.saturating_sub(used);
            total.free += free;
            *total.used_by_rack.entry(report.rack.clone()).or_default() += used;
            *total.free_by_rack.entry(report.rack.clone()).or_default() += free;
        }
        total
    }

    /// The capacity after a host has left and its tasks have moved, or `None` if too little
    /// remains.
    fn without(&self, fleet: &Fleet, host: &HostId, rules: &Rules) -> Option<PoolCapacity> {
        let report = fleet.reports.get(host)?;
        let capacity = u64::from(report.capacity.cores.0);
        let used = u64::from(fleet.used(host).cores.0);
        let spare = capacity.saturating_sub(used);
        let mut next = self.clone();
        next.free = next.free.checked_sub(spare + used)?;
        next.returning += capacity;
        if let Some(load) = next.used_by_rack.get_mut(&report.rack) {
            *load = load.saturating_sub(used);
        }
        if let Some(free) = next.free_by_rack.get_mut(&report.rack) {
            *free = free.saturating_sub(spare);
        }
        let available = next.free + if rules.share_spare { next.returning } else { 0 };
        let sufficient = next.used_by_rack.iter().all(|(rack, load)| {
            let own_free = next.free_by_rack.get(rack).copied().unwrap_or(0);
            load + own_free <= available
        });
        sufficient.then_some(next)
    }
}
