//! What a node knows of the fleet: the typed records, the platform's reports and an index of tasks
//! by host. Decisions read it; nothing else changes it than records and reports that arrive.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    time::Duration,
};

use crate::model::{
    config::{ChangeRecord, Config, ConfigBase, Resources, Service},
    host::{HostOutcome, HostRecord, HostReport, TaskReport},
    id::{HostId, NodeId, PlanId, PoolId, ServiceId},
    plan::{Plan, PlanState},
    record::{Assigned, Key, NodeRecord, Placement, Record, Successor},
    unit::{Revision, Time},
};

/// One task of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TaskRef {
    pub(crate) service: ServiceId,
    pub(crate) index: u32,
}

/// What a node knows of the fleet.
#[derive(Debug, Clone, Default)]
pub(crate) struct Fleet {
    pub(crate) config: Config,
    /// The last change that `config` holds.
    pub(crate) through: u64,
    /// Changes by number: those above the base, and any that wait for an earlier one.
    pub(crate) changes: BTreeMap<u64, ChangeRecord>,
    pub(crate) base: ConfigBase,
    pub(crate) hosts: BTreeMap<HostId, HostRecord>,
    pub(crate) placements: BTreeMap<ServiceId, Placement>,
    pub(crate) plans: BTreeMap<PlanId, Plan>,
    pub(crate) nodes: BTreeMap<NodeId, NodeRecord>,
    pub(crate) reports: BTreeMap<HostId, HostReport>,
    /// When the platform's list of hosts was last heard.
    pub(crate) heard: Time,
    revisions: HashMap<Key, Revision>,
    by_host: HashMap<HostId, Vec<TaskRef>>,
    coming: HashMap<HostId, Vec<TaskRef>>,
    permitted: HashMap<HostId, HashSet<ServiceId>>,
    by_pool: HashMap<PoolId, BTreeSet<HostId>>,
    /// Running plans by host.
    planned: HashMap<HostId, PlanId>,
}

impl Fleet {
    /// Takes in a record at its revision. The caller has made sure that it is newer than the one
    /// that is held.
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

    /// Takes in that the record of a key is gone.
    pub(crate) fn remove(&mut self, key: &Key) {
        self.revisions.remove(key);
        match key {
            // What the configuration holds stays in force: a deleted change was folded before.
            Key::Base => {}
            Key::Change(number) => {
                self.changes.remove(number);
            }
            Key::Host(id) => {
                let old = self.hosts.remove(id);
                if let Some(hosts) = old.and_then(|old| self.by_pool.get_mut(&old.pool)) {
                    hosts.remove(id);
                }
            }
            Key::Placement(id) => {
                self.unindex(id);
                self.placements.remove(id);
            }
            Key::Plan(id) => {
                self.planned.retain(|_, plan| plan != id);
                self.plans.remove(id);
            }
            Key::Node(id) => {
                self.nodes.remove(id);
            }
        }
    }

    /// The revision of a record; zero if there is none, which is also what a write that must
    /// create the record compares with.
    pub(crate) fn revision(&self, key: &Key) -> Revision {
        self.revisions.get(key).copied().unwrap_or_default()
    }

    /// Tasks assigned to a host, in the order of service and index.
    pub(crate) fn tasks_on(&self, host: &HostId) -> &[TaskRef] {
        self.by_host.get(host).map_or(&[], Vec::as_slice)
    }

    /// Whether the platform's list of hosts was heard lately. Without it nothing is known to be up
    /// or down.
    pub(crate) fn is_heard(&self, now: Time, limit: Duration) -> bool {
        now.since(self.heard) < limit
    }

    /// Whether the platform said lately that a host is live.
    pub(crate) fn is_live(&self, host: &HostId, now: Time, limit: Duration) -> bool {
        self.is_heard(now, limit) && self.reports.get(host).is_some_and(|r| r.live)
    }

    /// Whether the platform said lately that a host is not live.
    pub(crate) fn is_dead(&self, host: &HostId, now: Time, limit: Duration) -> bool {
        self.is_heard(now, limit) && self.reports.get(host).is_some_and(|r| !r.live)
    }

    /// Whether a running plan has still to do a host: a task placed there would move again.
    pub(crate) fn is_pending(&self, host: &HostId) -> bool {
        let Some(plan) = self.planned.get(host) else { return false };
        let outcome = self.hosts.get(host).and_then(|record| record.outcome(plan));
        outcome != Some(&HostOutcome::Done)
    }

    /// The running plan that names a host.
    pub(crate) fn planned(&self, host: &HostId) -> Option<&Plan> {
        self.plans.get(self.planned.get(host)?)
    }

    /// Tasks whose successors are starting on a host.
    pub(crate) fn coming_to(&self, host: &HostId) -> &[TaskRef] {
        self.coming.get(host).map_or(&[], Vec::as_slice)
    }

    /// The hosts of a pool.
    pub(crate) fn hosts_of(&self, pool: &PoolId) -> impl Iterator<Item = &HostId> {
        self.by_pool.get(pool).into_iter().flatten()
    }

    /// A copy that holds just one pool, its hosts and its services, for a rehearsal.
    pub(crate) fn only(&self, pool: &PoolId) -> Fleet {
        let mut part = Fleet { heard: self.heard, ..Fleet::default() };
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

    /// Services that have a permit out for a host.
    pub(crate) fn permits_for(&self, host: &HostId) -> impl Iterator<Item = &ServiceId> {
        self.permitted.get(host).into_iter().flatten()
    }

    /// Whether any permit is out for a host.
    pub(crate) fn is_permitted(&self, host: &HostId) -> bool {
        self.permitted.get(host).is_some_and(|services| !services.is_empty())
    }

    /// Where a task is assigned.
    pub(crate) fn assigned(&self, task: &TaskRef) -> Option<&Assigned> {
        self.placements.get(&task.service)?.tasks.get(task.index as usize)?.as_ref()
    }

    /// The successor of a task that is starting.
    pub(crate) fn successor(&self, task: &TaskRef) -> Option<&Successor> {
        self.placements.get(&task.service)?.successors.get(&task.index)
    }

    /// What its worker says of a task at the place and start that it is assigned to.
    pub(crate) fn reported(&self, task: &TaskRef) -> Option<&TaskReport> {
        self.reported_at(task, self.assigned(task)?)
    }

    /// What its worker says of a task's start at a place.
    pub(crate) fn reported_at(&self, task: &TaskRef, assigned: &Assigned) -> Option<&TaskReport> {
        let report = self.reports.get(&assigned.host)?;
        let same = |t: &&TaskReport| {
            t.index == task.index
                && t.generation == assigned.generation
                && t.service == task.service
        };
        report.tasks.iter().find(same)
    }

    /// What the tasks assigned to a host, and the successors starting there, need together.
    pub(crate) fn used(&self, host: &HostId) -> Resources {
        let tasks = self.tasks_on(host).iter().chain(self.coming_to(host));
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
                self.planned.insert(host.clone(), id.clone());
            }
        } else {
            let named = |host: &HostId| self.planned.get(host) == Some(&id);
            let hosts: Vec<HostId> = plan.hosts().filter(|host| named(host)).cloned().collect();
            hosts.iter().for_each(|host| drop(self.planned.remove(host)));
        }
        self.plans.insert(id, plan);
    }

    fn put_host(&mut self, id: HostId, host: HostRecord) {
        self.by_pool.entry(host.pool.clone()).or_default().insert(id.clone());
        let pool = host.pool.clone();
        let old = self.hosts.insert(id.clone(), host);
        let left = old.map(|old| old.pool).filter(|old| *old != pool);
        if let Some(hosts) = left.and_then(|left| self.by_pool.get_mut(&left)) {
            hosts.remove(&id);
        }
    }

    fn put_base(&mut self, base: ConfigBase) {
        // An older base never replaces newer changes that are in force already.
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
            let tasks = self.by_host.entry(assigned.host.clone()).or_default();
            let task = TaskRef { service: id.clone(), index: index as u32 };
            let at = tasks.partition_point(|other| *other < task);
            tasks.insert(at, task);
        }
        for (index, successor) in &placement.successors {
            let task = TaskRef { service: id.clone(), index: *index };
            self.coming.entry(successor.to.host.clone()).or_default().push(task);
        }
        for host in placement.permits.keys() {
            self.permitted.entry(host.clone()).or_default().insert(id.clone());
        }
        self.placements.insert(id, placement);
    }

    fn unindex(&mut self, id: &ServiceId) {
        let Some(old) = self.placements.get(id) else {
            return;
        };
        for assigned in old.tasks.iter().flatten() {
            if let Some(tasks) = self.by_host.get_mut(&assigned.host) {
                tasks.retain(|task| task.service != *id);
            }
        }
        for successor in old.successors.values() {
            if let Some(tasks) = self.coming.get_mut(&successor.to.host) {
                tasks.retain(|task| task.service != *id);
            }
        }
        for host in old.permits.keys() {
            if let Some(services) = self.permitted.get_mut(host) {
                services.remove(id);
            }
        }
    }
}
