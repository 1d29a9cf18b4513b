//! What a wave's round may still take: budgets of services, and room of the pool.

use std::collections::{BTreeMap, HashMap};

use crate::{
    decide::{
        budget::{self, OverBudget, Standing},
        place::Placer,
        rules::Rules,
        wave::{Outlook, Wait},
    },
    model::{
        fleet::Fleet,
        host::HostState,
        id::{HostId, PoolId, RackId, ServiceId},
        plan::PoolPlan,
        unit::Time,
    },
};

/// Standings and room of a pool, with the hosts that are started in this round taken out.
pub(super) struct Scene<'a> {
    fleet: &'a Fleet,
    now: Time,
    rules: &'a Rules,
    standings: HashMap<ServiceId, Standing>,
    pub(super) placer: Placer<'a>,
    room: Room,
}

impl<'a> Scene<'a> {
    pub(super) fn new(outlook: &Outlook<'a>, part: &PoolPlan) -> Scene<'a> {
        let Outlook { fleet, now, rules, .. } = *outlook;
        let pool = part.hosts().find_map(|host| fleet.hosts.get(host)).map(|r| &r.pool);
        Scene {
            fleet,
            now,
            rules,
            standings: HashMap::new(),
            placer: Placer::new(fleet, now, rules),
            room: Room::new(fleet, pool, now, rules),
        }
    }

    /// Takes the room of a host and of its tasks, if enough is left; if `strict`, only where no
    /// task would move twice.
    pub(super) fn admit_room(&mut self, host: &HostId, strict: bool) -> Result<(), Wait> {
        let room = self.room.without(self.fleet, host, self.rules).ok_or(Wait::Reserve)?;
        self.placer.avoid(host);
        for task in self.fleet.tasks_on(host) {
            let Some(service) = self.fleet.service(&task.service) else { continue };
            let target = self.placer.place(&task.service, service, Some(host))?;
            if strict && self.fleet.is_pending(&target) {
                return Err(Wait::Twice);
            }
        }
        self.room = room;
        Ok(())
    }

    /// Takes the tasks of a host out, if every budget allows it.
    pub(super) fn admit_budget(&mut self, host: &HostId) -> Result<(), OverBudget> {
        let mut next = Vec::new();
        for id in budget::services_on(self.fleet, host) {
            let Some(service) = self.fleet.service(&id) else { continue };
            let standing = self.standings.entry(id.clone()).or_insert_with(|| {
                budget::standing(self.fleet, &id, service, self.now, self.rules)
            });
            next.push((id.clone(), standing.without(self.fleet, &id, host, self.now, self.rules)?));
        }
        self.standings.extend(next);
        Ok(())
    }
}

/// Processor room of a pool against the load of its worst rack: after any one more rack is lost,
/// its tasks must find room.
#[derive(Debug, Clone, Default)]
struct Room {
    /// Free on serving hosts.
    free: u64,
    /// On hosts that are out for a plan, and come back in bounded time.
    returning: u64,
    used: BTreeMap<RackId, u64>,
    spare: BTreeMap<RackId, u64>,
}

impl Room {
    fn new(fleet: &Fleet, pool: Option<&PoolId>, now: Time, rules: &Rules) -> Room {
        let mut room = Room::default();
        for host in pool.into_iter().flat_map(|pool| fleet.hosts_of(pool)) {
            let Some(report) = fleet.reports.get(host) else { continue };
            let record = &fleet.hosts[host];
            let capacity = u64::from(report.capacity.cores.0);
            if record.plan.is_some() {
                room.returning += capacity;
            }
            let live = fleet.is_live(host, now, rules.list_limit);
            if record.state != HostState::Serving || !live {
                continue;
            }
            let used = u64::from(fleet.used(host).cores.0);
            let free = capacity.saturating_sub(used);
            room.free += free;
            *room.used.entry(report.rack.clone()).or_default() += used;
            *room.spare.entry(report.rack.clone()).or_default() += free;
        }
        room
    }

    /// The room when a host has left and its tasks are elsewhere; nothing if too little is left.
    fn without(&self, fleet: &Fleet, host: &HostId, rules: &Rules) -> Option<Room> {
        let report = fleet.reports.get(host)?;
        let capacity = u64::from(report.capacity.cores.0);
        let used = u64::from(fleet.used(host).cores.0);
        let spare = capacity.saturating_sub(used);
        let mut next = self.clone();
        next.free = next.free.checked_sub(spare + used)?;
        next.returning += capacity;
        if let Some(load) = next.used.get_mut(&report.rack) {
            *load = load.saturating_sub(used);
        }
        if let Some(free) = next.spare.get_mut(&report.rack) {
            *free = free.saturating_sub(spare);
        }
        let counted = next.free + if rules.share_spare { next.returning } else { 0 };
        let holds = next.used.iter().all(|(rack, load)| {
            let own = next.spare.get(rack).copied().unwrap_or(0);
            load + own <= counted
        });
        holds.then_some(next)
    }
}
