//! A node's view of the fleet: the typed records, the platform's reports and indexes by host.
//! Decisions only read it; it changes only when records and reports arrive.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use crate::model::{
    config::{ChangeRecord, Config, ConfigBase, Resources, Service},
    host::{HostOutcome, HostRecord, HostReport, TaskReport},
    id::{HostId, NodeId, PlanId, PoolId, ServiceId},
    plan::{Plan, PlanState},
    record::{Key, NodeRecord, Placement, Record, Successor, TaskAssignment},
    unit::{Revision, Time},
};

/// One task of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TaskRef {
    pub(crate) service: ServiceId,
    pub(crate) index: u32,
}

/// A node's view of the fleet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    pub(crate) config: Config,
    /// Number of the last change applied to `config`.
    pub(crate) through: u64,
    /// Changes above the base by number, including any that wait for an earlier one.
    pub(crate) changes: BTreeMap<u64, ChangeRecord>,
    pub(crate) base: ConfigBase,
    pub(crate) hosts: BTreeMap<HostId, HostRecord>,
    pub(crate) placements: BTreeMap<ServiceId, Placement>,
    pub(crate) plans: BTreeMap<PlanId, Plan>,
    pub(crate) nodes: BTreeMap<NodeId, NodeRecord>,
    pub(crate) reports: BTreeMap<HostId, HostReport>,
    /// When the platform's list of hosts was last received.
    pub(crate) last_received: Time,
    revisions: HashMap<Key, Revision>,
    tasks_by_host: HashMap<HostId, Vec<TaskRef>>,
    successors_by_host: HashMap<HostId, Vec<TaskRef>>,
    permits_by_host: HashMap<HostId, HashSet<ServiceId>>,
    hosts_by_pool: HashMap<PoolId, BTreeSet<HostId>>,
    /// The running plan that names each host.
    plan_by_host: HashMap<HostId, PlanId>,
}

impl Fleet {
    /// Inserts or replaces a record. The caller ensures that `revision` is newer than the known
    /// one.
    pub(crate) fn put(&mut self, record: Record, revision: Revision) {
        self.revisions.insert(record.key(), revision);
        match record {
            Record::Base(base) => self.put_base(base),
            Record::Change(number, change) => {
                self.changes.insert(number, change);
                self.advance_config();
            }
            Record::Host(id, host) => self.put_host(id, host),
            Record::Placement(id, placement) => self.put_placement(id, placement),
            Record::Plan(id, plan) => self.put_plan(id, *plan),
            Record::Node(id, node) => {
                self.nodes.insert(id, node);
            }
        }
    }

    /// Removes the record of a deleted key.
    pub(crate) fn remove(&mut self, key: &Key) {
        self.revisions.remove(key);
        match key {
            // The configuration keeps its value: a change is deleted only once a base includes it.
            Key::Base => {}
            Key::Change(number) => {
                self.changes.remove(number);
            }
            Key::Host(id) => {
                let old = self.hosts.remove(id);
                if let Some(hosts) = old.and_then(|old| self.hosts_by_pool.get_mut(&old.pool)) {
                    hosts.remove(id);
                }
            }
            Key::Placement(id) => {
                self.unindex(id);
                self.placements.remove(id);
            }
            Key::Plan(id) => {
                self.plan_by_host.retain(|_, plan| plan != id);
                self.plans.remove(id);
            }
            Key::Node(id) => {
                self.nodes.remove(id);
            }
        }
    }

    /// The revision of a record; zero if there is none. A write that must create the record
    /// compares with zero too.
    pub(crate) fn revision(&self, key: &Key) -> Revision {
        self.revisions.get(key).copied().unwrap_or_default()
    }

    /// Tasks assigned to a host, ordered by service and index.
    pub(crate) fn tasks_on(&self, host: &HostId) -> &[TaskRef] {
        self.tasks_by_host.get(host).map_or(&[], Vec::as_slice)
    }

    /// Whether the platform's list of hosts was received within `limit`. Otherwise no host counts
    /// as live or dead.
    pub(crate) fn is_list_fresh(&self, now: Time, limit: Duration) -> bool {
        now.since(self.last_received) < limit
    }

    /// Whether a list received within `limit` reports a host as live.
    pub(crate) fn is_live(&self, host: &HostId, now: Time, limit: Duration) -> bool {
        self.is_list_fresh(now, limit) && self.reports.get(host).is_some_and(|r| r.live)
    }

    /// Whether a list received within `limit` reports a host as not live.
    pub(crate) fn is_dead(&self, host: &HostId, now: Time, limit: Duration) -> bool {
        self.is_list_fresh(now, limit) && self.reports.get(host).is_some_and(|r| !r.live)
    }

    /// Whether a running plan is not done with a host yet: a task placed there would move again.
    pub(crate) fn is_pending(&self, host: &HostId) -> bool {
        let Some(plan) = self.plan_by_host.get(host) else { return false };
        let outcome = self.hosts.get(host).and_then(|record| record.outcome(plan));
        outcome != Some(&HostOutcome::Done)
    }

    /// The running plan that names a host.
    pub(crate) fn plan_of(&self, host: &HostId) -> Option<&Plan> {
        self.plans.get(self.plan_by_host.get(host)?)
    }

    /// Tasks whose successors are starting on a host.
    pub(crate) fn successors_on(&self, host: &HostId) -> &[TaskRef] {
        self.successors_by_host.get(host).map_or(&[], Vec::as_slice)
    }

    /// The hosts of a pool.
    pub(crate) fn hosts_of(&self, pool: &PoolId) -> impl Iterator<Item = &HostId> {
        self.hosts_by_pool.get(pool).into_iter().flatten()
    }

    /// A copy restricted to one pool, its hosts and its services, for a simulation.
    pub(crate) fn restricted_to(&self, pool: &PoolId) -> Fleet {
        let mut part = Fleet { last_received: self.last_received, ..Fleet::default() };
        part.config.pools.extend(self.config.pools.get(pool).map(|p| (pool.clone(), p.clone())));
        for (id, service) in self.config.services.iter().filter(|(_, s)| s.pool == *pool) {
            part.config.services.insert(id.clone(), service.clone());
            if let Some(placement) = self.placements.get(id) {
                part.put(Record::Placement(id.clone(), placement.clone()), Revision(1));
            }
        }
        for host in self.hosts_of(pool) {
            part.put(Record::Host(host.clone(), self.hosts[host].clone()), Revision(1));
            part.reports.extend(self.reports.get(host).map(|r| (host.clone(), r.clone())));
        }
        part
    }

    /// Services with an active permit for a host.
    pub(crate) fn permits_for(&self, host: &HostId) -> impl Iterator<Item = &ServiceId> {
        self.permits_by_host.get(host).into_iter().flatten()
    }

    /// Whether any service has an active permit for a host.
    pub(crate) fn has_permits(&self, host: &HostId) -> bool {
        self.permits_by_host.get(host).is_some_and(|services| !services.is_empty())
    }

    /// The host and generation that a task is assigned to.
    pub(crate) fn assigned(&self, task: &TaskRef) -> Option<&TaskAssignment> {
        self.placements.get(&task.service)?.tasks.get(task.index as usize)?.as_ref()
    }

    /// The starting successor of a task.
    pub(crate) fn successor(&self, task: &TaskRef) -> Option<&Successor> {
        self.placements.get(&task.service)?.successors.get(&task.index)
    }

    /// The worker's report of a task on the host and for the generation that it is assigned to.
    pub(crate) fn reported(&self, task: &TaskRef) -> Option<&TaskReport> {
        self.reported_at(task, self.assigned(task)?)
    }

    /// The worker's report of a task on a given host and for a given generation.
    pub(crate) fn reported_at(
        &self,
        task: &TaskRef,
        assigned: &TaskAssignment,
    ) -> Option<&TaskReport> {
        let report = self.reports.get(&assigned.host)?;
        let same = |t: &&TaskReport| {
            t.index == task.index
                && t.generation == assigned.generation
                && t.service == task.service
        };
        report.tasks.iter().find(same)
    }

    /// Total resources of the tasks assigned to a host and of the successors starting there.
    pub(crate) fn used(&self, host: &HostId) -> Resources {
        let tasks = self.tasks_on(host).iter().chain(self.successors_on(host));
        let needs = tasks.filter_map(|t| self.service(&t.service));
        needs.fold(Resources::default(), |sum, service| sum.plus(service.need))
    }

    /// The configuration of a service.
    pub(crate) fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.config.services.get(id)
    }

    fn put_plan(&mut self, id: PlanId, plan: Plan) {
        if plan.state == PlanState::Running {
            for host in plan.hosts() {
                self.plan_by_host.insert(host.clone(), id.clone());
            }
        } else {
            let named = |host: &HostId| self.plan_by_host.get(host) == Some(&id);
            let hosts: Vec<HostId> = plan.hosts().filter(|host| named(host)).cloned().collect();
            hosts.iter().for_each(|host| drop(self.plan_by_host.remove(host)));
        }
        self.plans.insert(id, plan);
    }

    fn put_host(&mut self, id: HostId, host: HostRecord) {
        self.hosts_by_pool.entry(host.pool.clone()).or_default().insert(id.clone());
        let pool = host.pool.clone();
        let old = self.hosts.insert(id.clone(), host);
        let previous_pool = old.map(|old| old.pool).filter(|old| *old != pool);
        if let Some(hosts) =
            previous_pool.and_then(|previous| self.hosts_by_pool.get_mut(&previous))
        {
            hosts.remove(&id);
        }
    }

    fn put_base(&mut self, base: ConfigBase) {
        // An older base never replaces newer changes that are already applied.
        if self.through <= base.through {
            self.through = base.through;
            self.config = base.config.clone();
        }
        self.changes.retain(|number, _| base.through < *number);
        self.base = base;
        self.advance_config();
    }

    fn advance_config(&mut self) {
        while let Some(next) = self.changes.get(&(self.through + 1)) {
            self.config.apply(&next.change);
            self.through += 1;
        }
    }

    fn put_placement(&mut self, id: ServiceId, placement: Placement) {
        self.unindex(&id);
        for (index, assigned) in placement.tasks.iter().enumerate() {
            let Some(assigned) = assigned else { continue };
            let tasks = self.tasks_by_host.entry(assigned.host.clone()).or_default();
            let task = TaskRef { service: id.clone(), index: index as u32 };
            let at = tasks.partition_point(|other| *other < task);
            tasks.insert(at, task);
        }
        for (index, successor) in &placement.successors {
            let task = TaskRef { service: id.clone(), index: *index };
            self.successors_by_host.entry(successor.to.host.clone()).or_default().push(task);
        }
        for host in placement.permits.keys() {
            self.permits_by_host.entry(host.clone()).or_default().insert(id.clone());
        }
        self.placements.insert(id, placement);
    }

    fn unindex(&mut self, id: &ServiceId) {
        let Some(old) = self.placements.get(id) else {
            return;
        };
        for assigned in old.tasks.iter().flatten() {
            if let Some(tasks) = self.tasks_by_host.get_mut(&assigned.host) {
                tasks.retain(|task| task.service != *id);
            }
        }
        for successor in old.successors.values() {
            if let Some(tasks) = self.successors_by_host.get_mut(&successor.to.host) {
                tasks.retain(|task| task.service != *id);
            }
        }
        for host in old.permits.keys() {
            if let Some(services) = self.permits_by_host.get_mut(host) {
                services.remove(id);
            }
        }
    }
}
