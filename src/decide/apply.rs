//! Whether a wanted configuration may be accepted. All that is wrong with it is told at once.

use crate::{
    decide::{budget, rules::Rules},
    model::{
        config::{Change, Config, Resources, Service},
        fleet::Fleet,
        id::ServiceId,
        unit::{Megabytes, Millicores, Time},
    },
};

/// The change that leads to `wanted`, or every reason against it.
pub(crate) fn check(
    fleet: &Fleet,
    wanted: &Config,
    now: Time,
    rules: &Rules,
) -> Result<Change, Vec<String>> {
    let change = fleet.config.change_to(wanted);
    let mut next = fleet.config.clone();
    next.apply(&change);
    let mut reasons = Vec::new();
    for id in change.services.keys() {
        let Some(service) = next.services.get(id) else {
            continue;
        };
        reasons.extend(check_names(&next, id, service));
        reasons.extend(check_budget(fleet, id, service, now, rules));
    }
    reasons.extend(check_room(fleet, &next));
    if reasons.is_empty() { Ok(change) } else { Err(reasons) }
}

fn check_names(next: &Config, id: &ServiceId, service: &Service) -> Vec<String> {
    let mut reasons = Vec::new();
    if !next.pools.contains_key(&service.pool) {
        reasons.push(format!("service {id}: there is no pool {}", service.pool));
    }
    if !next.teams.contains_key(&service.team) {
        reasons.push(format!("service {id}: there is no team {}", service.team));
    }
    if service.tasks <= service.max_down {
        reasons.push(format!(
            "service {id}: the budget of {} unavailable tasks leaves none of {} available",
            service.max_down, service.tasks
        ));
    }
    reasons
}

/// Refuses a change that by itself takes available tasks out, or a budget that is broken now.
fn check_budget(
    fleet: &Fleet,
    id: &ServiceId,
    service: &Service,
    now: Time,
    rules: &Rules,
) -> Vec<String> {
    let Some(old) = fleet.service(id) else {
        return Vec::new();
    };
    let mut reasons = Vec::new();
    if old.pool != service.pool {
        reasons.push(format!(
            "service {id}: moving it from pool {} to {} would take all of its tasks out at once; \
             move hosts instead",
            old.pool, service.pool
        ));
    }
    let down = budget::standing(fleet, id, old, now, rules).down.len() as u32;
    if service.max_down < old.max_down && service.max_down < down {
        reasons.push(format!(
            "service {id}: {down} of its tasks are unavailable now, more than the new budget of {}",
            service.max_down
        ));
    }
    reasons
}

/// Refuses what the hosts of a pool, as far as they are known, cannot hold.
fn check_room(fleet: &Fleet, next: &Config) -> Vec<String> {
    let mut reasons = Vec::new();
    for pool in next.pools.keys() {
        let hosts: Vec<_> =
            fleet.hosts_of(pool).filter_map(|host| fleet.reports.get(host)).collect();
        if hosts.is_empty() {
            continue;
        }
        let mut has = Resources::default();
        for host in &hosts {
            has = has.plus(host.capacity);
        }
        let services: Vec<_> = next.services.iter().filter(|(_, s)| s.pool == *pool).collect();
        for (id, service) in &services {
            if !hosts.iter().any(|host| host.capacity.fits(service.need)) {
                reasons.push(format!(
                    "service {id}: a task needs {} of processor, {} and {} accelerators, which no \
                     host of pool {pool} has",
                    service.need.cores, service.need.memory, service.need.accelerators
                ));
            }
        }
        let cores: u64 =
            services.iter().map(|(_, s)| u64::from(s.tasks) * u64::from(s.need.cores.0)).sum();
        let memory: u64 =
            services.iter().map(|(_, s)| u64::from(s.tasks) * u64::from(s.need.memory.0)).sum();
        if u64::from(has.cores.0) < cores || u64::from(has.memory.0) < memory {
            reasons.push(format!(
                "pool {pool}: its services need {cores}m of processor and {memory}MB, but its {} \
                 hosts have {} and {}",
                hosts.len(),
                Millicores(has.cores.0),
                Megabytes(has.memory.0)
            ));
        }
    }
    reasons
}
