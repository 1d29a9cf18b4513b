//! Validation of a requested configuration. All problems are reported at once.

use crate::{
    decide::{budget, rules::Rules},
    model::{
        config::{Change, Config, Resources, Service},
        fleet::Fleet,
        id::ServiceId,
        unit::{Megabytes, Millicores, Time},
    },
};

/// Returns the change from the current configuration to `wanted`, or every reason against it.
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
    reasons.extend(check_capacity(fleet, &next));
    if reasons.is_empty() { Ok(change) } else { Err(reasons) }
}

fn check_names(next: &Config, id: &ServiceId, service: &Service) -> Vec<String> {
    let mut reasons = Vec::new();
    if !next.pools.contains_key(&service.pool) {
        reasons.push(format!("service {id}: pool {} does not exist", service.pool));
    }
    if !next.teams.contains_key(&service.team) {
        reasons.push(format!("service {id}: team {} does not exist", service.team));
    }
    if service.tasks <= service.max_down {
        reasons.push(format!(
            "service {id}: a budget of {} unavailable tasks would allow all {} tasks to be down",
            service.max_down, service.tasks
        ));
    }
    reasons
}

/// Rejects a pool change, which would take available tasks down, and a lower budget that is
/// already exceeded.
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
            "service {id}: moving it from pool {} to {} would take all of its tasks down at \
             once; move hosts instead",
            old.pool, service.pool
        ));
    }
    let down = budget::status(fleet, id, old, now, rules).down.len() as u32;
    if service.max_down < old.max_down && service.max_down < down {
        reasons.push(format!(
            "service {id}: {down} of its tasks are unavailable now, more than the new budget of {}",
            service.max_down
        ));
    }
    reasons
}

/// Rejects services that the known hosts of a pool cannot hold.
fn check_capacity(fleet: &Fleet, next: &Config) -> Vec<String> {
    let mut reasons = Vec::new();
    for pool in next.pools.keys() {
        let hosts: Vec<_> =
            fleet.hosts_of(pool).filter_map(|host| fleet.reports.get(host)).collect();
        if hosts.is_empty() {
            continue;
        }
        let mut total = Resources::default();
        for host in &hosts {
            total = total.plus(host.capacity);
        }
        let services: Vec<_> = next.services.iter().filter(|(_, s)| s.pool == *pool).collect();
        for (id, service) in &services {
            if !hosts.iter().any(|host| host.capacity.fits(service.need)) {
                reasons.push(format!(
                    "service {id}: a task needs {} of CPU, {} of memory and {} accelerators, which \
                     no host of pool {pool} has",
                    service.need.cores, service.need.memory, service.need.accelerators
                ));
            }
        }
        let cores: u64 =
            services.iter().map(|(_, s)| u64::from(s.tasks) * u64::from(s.need.cores.0)).sum();
        let memory: u64 =
            services.iter().map(|(_, s)| u64::from(s.tasks) * u64::from(s.need.memory.0)).sum();
        if u64::from(total.cores.0) < cores || u64::from(total.memory.0) < memory {
            reasons.push(format!(
                "pool {pool}: its services need {cores}m of CPU and {memory}MB of memory, but its \
                 {} hosts have {} and {}",
                hosts.len(),
                Millicores(total.cores.0),
                Megabytes(total.memory.0)
            ));
        }
    }
    reasons
}
