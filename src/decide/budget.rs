//! Availability budgets: which tasks count as unavailable, and whether a host may leave.
//!
//! A host may leave only if every service with tasks on it would stay within its budget even if
//! the service's largest failure domain were lost in addition. Failures and maintenance draw on the
//! same budget: tasks lost to a failure leave less of it for permits.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    decide::rules::Rules,
    model::{
        config::{FailureDomain, Service},
        fleet::{Fleet, TaskRef},
        id::{HostId, RackId, ServiceId, ZoneId},
        record::Placement,
        unit::Time,
    },
};

/// Availability of a service, compared with its budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct BudgetStatus {
    /// Indexes of the tasks that count as unavailable.
    pub(crate) down: BTreeSet<u32>,
    up_by_rack: BTreeMap<RackId, u32>,
    up_by_zone: BTreeMap<ZoneId, u32>,
    by_zone: bool,
    pub(crate) max_down: u32,
}

/// A permit would exceed the availability budget.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "service {service}: {out} of its tasks would be unavailable and {reserve} more could be lost \
     with one failure domain, but its budget is {max_down}"
)]
pub(crate) struct OverBudget {
    pub(crate) service: ServiceId,
    /// Tasks that would be unavailable.
    pub(crate) out: u32,
    /// Available tasks in the largest failure domain.
    pub(crate) reserve: u32,
    pub(crate) max_down: u32,
}

/// Whether a task is available now. A task whose state is unknown is not.
pub(crate) fn is_up(fleet: &Fleet, task: &TaskRef, now: Time, rules: &Rules) -> bool {
    let Some(assigned) = fleet.assigned(task) else {
        return false;
    };
    let serving = fleet.hosts.get(&assigned.host).is_some_and(|host| host.state.serves());
    let live = fleet.is_live(&assigned.host, now, rules.list_limit);
    serving && live && fleet.reported(task).is_some_and(|report| report.ready)
}

/// Computes the current availability of a service.
pub(crate) fn status(
    fleet: &Fleet,
    id: &ServiceId,
    service: &Service,
    now: Time,
    rules: &Rules,
) -> BudgetStatus {
    let mut status = BudgetStatus {
        max_down: service.max_down,
        by_zone: service.survive == FailureDomain::Zone,
        ..BudgetStatus::default()
    };
    let empty = Placement::default();
    let placement = fleet.placements.get(id).unwrap_or(&empty);
    let permitted: BTreeSet<u32> =
        placement.permits.values().flat_map(|permit| permit.tasks.iter().copied()).collect();
    for index in 0..service.tasks {
        let task = TaskRef { service: id.clone(), index };
        let up = !permitted.contains(&index) && is_up(fleet, &task, now, rules);
        let report = fleet.assigned(&task).and_then(|a| fleet.reports.get(&a.host));
        match report {
            Some(report) if up => {
                *status.up_by_rack.entry(report.rack.clone()).or_default() += 1;
                *status.up_by_zone.entry(report.zone.clone()).or_default() += 1;
            }
            _ => {
                status.down.insert(index);
            }
        }
    }
    status
}

impl BudgetStatus {
    /// Available tasks in the failure domain that holds the most of them: the reserve that the
    /// budget must cover.
    pub(crate) fn reserve(&self) -> u32 {
        let rack = self.up_by_rack.values().copied().max().unwrap_or(0);
        let zone = self.up_by_zone.values().copied().max().unwrap_or(0);
        if self.by_zone { zone.max(rack) } else { rack }
    }

    /// Whether a rack or zone is the failure domain that determines the reserve.
    pub(crate) fn is_worst_domain(&self, rack: &RackId, zone: &ZoneId) -> bool {
        let reserve = self.reserve();
        let rack = self.up_by_rack.get(rack).copied().unwrap_or(0);
        let zone = self.up_by_zone.get(zone).copied().unwrap_or(0);
        rack == reserve || (self.by_zone && zone == reserve)
    }

    /// Available tasks in the failure domain of a rack and zone if one more task were placed there.
    pub(crate) fn reserve_with(&self, rack: &RackId, zone: &ZoneId) -> u32 {
        let rack = self.up_by_rack.get(rack).copied().unwrap_or(0) + 1;
        let zone = self.up_by_zone.get(zone).copied().unwrap_or(0) + 1;
        if self.by_zone { zone.max(rack) } else { rack }
    }

    /// Whether the service is within its budget now.
    pub(crate) fn is_within_budget(&self) -> bool {
        self.down.len() as u32 <= self.max_down
    }

    /// Returns the status without the tasks on a host, or an error if the budget does not allow
    /// that.
    pub(crate) fn without(
        &self,
        fleet: &Fleet,
        id: &ServiceId,
        host: &HostId,
        now: Time,
        rules: &Rules,
    ) -> Result<BudgetStatus, OverBudget> {
        let mut next = self.clone();
        let mut was_up = false;
        for task in fleet.tasks_on(host).iter().filter(|task| task.service == *id) {
            next.mark_down(fleet, host, task.index);
            // A task with a permit already counts as down, but may still be up.
            was_up |= is_up(fleet, task, now, rules);
        }
        let over = OverBudget {
            service: id.clone(),
            out: next.down.len() as u32,
            reserve: next.reserve(),
            max_down: self.max_down,
        };
        // A host whose tasks are all down already does not use any budget.
        if was_up && over.max_down < over.out + over.reserve {
            return Err(over);
        }
        Ok(next)
    }

    fn mark_down(&mut self, fleet: &Fleet, host: &HostId, index: u32) {
        if !self.down.insert(index) {
            return;
        }
        let Some(report) = fleet.reports.get(host) else { return };
        if let Some(count) = self.up_by_rack.get_mut(&report.rack) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.up_by_zone.get_mut(&report.zone) {
            *count = count.saturating_sub(1);
        }
    }
}

/// The services that have tasks on a host, sorted.
pub(crate) fn services_on(fleet: &Fleet, host: &HostId) -> BTreeSet<ServiceId> {
    fleet.tasks_on(host).iter().map(|task| task.service.clone()).collect()
}
