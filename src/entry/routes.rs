//! The endpoints that a node sends requests to, and what it has in flight at each.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::{
    decide::{
        rendezvous,
        route::{self, Load},
        rules::Rules,
    },
    model::{
        config::Service,
        fleet::{Fleet, TaskRef},
        id::{HostId, ServiceId},
        unit::Time,
    },
};

/// Endpoints of a service that one node uses at the most. With many nodes the connections of an
/// endpoint would not go round; each node takes its own, spread by rendezvous hashing.
const MOST_ENDPOINTS: usize = 64;

/// What is remembered of an endpoint between answers.
#[derive(Debug, Clone, Copy, Default)]
struct Memory {
    said: u32,
    said_at: Time,
    rest_until: Time,
    failures: u32,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: String,
    pub(crate) host: HostId,
    slots: u32,
    share: AtomicU32,
    own: AtomicU32,
    memory: Mutex<Memory>,
}

/// A request's place at an endpoint, given back when it is dropped.
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.endpoint.own.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Endpoint {
    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        let memory = *self.memory();
        Load {
            own: self.own.load(Ordering::Acquire),
            said: memory.said,
            said_at: memory.said_at,
            slots: self.slots,
            share: self.share.load(Ordering::Acquire),
            rest_until: memory.rest_until,
        }
    }

    /// Notes an answer, with the load that the endpoint told in it.
    pub(crate) fn succeeded(&self, busy: Option<u32>, now: Time) {
        let mut memory = self.memory();
        memory.failures = 0;
        memory.rest_until = Time::default();
        if let Some(busy) = busy {
            (memory.said, memory.said_at) = (busy, now);
        }
    }

    /// Notes a refusal: the endpoint is full, or takes nothing now.
    pub(crate) fn refused(&self, busy: Option<u32>, now: Time) {
        let mut memory = self.memory();
        (memory.said, memory.said_at) = (busy.unwrap_or(self.slots).max(self.slots), now);
    }

    /// Notes a failure: the endpoint is left alone for a while, longer each time.
    pub(crate) fn failed(&self, now: Time) {
        let mut memory = self.memory();
        memory.failures += 1;
        memory.rest_until = now + route::rest(memory.failures);
    }
}

#[derive(Debug, Default)]
struct Table {
    by_service: HashMap<ServiceId, Arc<Vec<Arc<Endpoint>>>>,
    /// Every endpoint that is in use or has requests in flight, by address.
    by_address: HashMap<String, Arc<Endpoint>>,
}

/// The endpoints of every service.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    table: RwLock<Table>,
}

impl Routes {
    /// Works out the endpoints anew. An endpoint that stays keeps what is known of it.
    pub(crate) fn rebuild(&self, fleet: &Fleet, node: &str, now: Time, rules: &Rules) {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let nodes = fleet.nodes.len();
        table.by_address.retain(|_, endpoint| endpoint.own.load(Ordering::Acquire) != 0);
        let kept: HashMap<_, _> =
            table.by_service.values().flat_map(|list| list.iter()).map(key_of).collect();
        table.by_service.clear();
        for (id, service) in &fleet.config.services {
            let mut list = endpoints(fleet, id, service, &kept, nodes, now, rules);
            subset(&mut list, node);
            for endpoint in &list {
                table.by_address.insert(endpoint.address.clone(), endpoint.clone());
            }
            table.by_service.insert(id.clone(), Arc::new(list));
        }
    }

    /// The endpoints of a service.
    pub(crate) fn of(&self, service: &ServiceId) -> Arc<Vec<Arc<Endpoint>>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.by_service.get(service).cloned().unwrap_or_default()
    }

    /// Requests that this node has in flight at a host.
    pub(crate) fn in_flight(&self, host: &HostId) -> u32 {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        let there = table.by_address.values().filter(|endpoint| endpoint.host == *host);
        there.map(|endpoint| endpoint.own.load(Ordering::Acquire)).sum()
    }
}

/// Takes a place at the best endpoint that was not tried yet.
pub(crate) fn take(endpoints: &[Arc<Endpoint>], tried: &[String], now: Time) -> Option<Slot> {
    let loads: Vec<Load> = endpoints.iter().map(|endpoint| endpoint.load()).collect();
    let tried: Vec<usize> =
        (0..endpoints.len()).filter(|at| tried.contains(&endpoints[*at].address)).collect();
    let mut draw = |n: usize| rand::random_range(0..n);
    let chosen = route::choose(&loads, &tried, now, &mut draw)?;
    let endpoint = endpoints[chosen].clone();
    endpoint.own.fetch_add(1, Ordering::AcqRel);
    Some(Slot { endpoint })
}

/// Requests that the node may have in flight at a service, and what its endpoints run together.
pub(crate) fn capacity(endpoints: &[Arc<Endpoint>]) -> (u32, u32) {
    let shares = endpoints.iter().map(|e| e.share.load(Ordering::Acquire)).sum();
    let slots = endpoints.iter().map(|e| e.slots).sum();
    (shares, slots)
}

fn key_of(endpoint: &Arc<Endpoint>) -> (String, Arc<Endpoint>) {
    (endpoint.address.clone(), endpoint.clone())
}

fn endpoints(
    fleet: &Fleet,
    id: &ServiceId,
    service: &Service,
    kept: &HashMap<String, Arc<Endpoint>>,
    nodes: usize,
    now: Time,
    rules: &Rules,
) -> Vec<Arc<Endpoint>> {
    let share = route::share(service.slots, service.connections, nodes);
    let mut list = Vec::new();
    for index in 0..service.tasks {
        let task = TaskRef { service: id.clone(), index };
        let Some(assigned) = fleet.assigned(&task) else {
            continue;
        };
        let Some(report) = fleet.reported(&task).filter(|report| report.ready) else {
            continue;
        };
        let serving = fleet.hosts.get(&assigned.host).is_some_and(|h| h.state.serves());
        // A list that cannot be read takes no endpoint away: requests go on.
        let dead = fleet.is_dead(&assigned.host, now, rules.list_limit);
        if !serving || dead {
            continue;
        }
        let known = kept
            .get(&report.address)
            .filter(|endpoint| endpoint.host == assigned.host && endpoint.slots == service.slots);
        let endpoint = known.cloned().unwrap_or_else(|| {
            Arc::new(Endpoint {
                address: report.address.clone(),
                host: assigned.host.clone(),
                slots: service.slots,
                share: AtomicU32::new(share),
                own: AtomicU32::new(0),
                memory: Mutex::default(),
            })
        });
        endpoint.share.store(share, Ordering::Release);
        list.push(endpoint);
    }
    list
}

fn subset(list: &mut Vec<Arc<Endpoint>>, node: &str) {
    if list.len() <= MOST_ENDPOINTS {
        return;
    }
    let addresses: Vec<String> = list.iter().map(|endpoint| endpoint.address.clone()).collect();
    let members = addresses.iter().map(String::as_str);
    let chosen = rendezvous::first(members, node, MOST_ENDPOINTS);
    list.retain(|endpoint| chosen.contains(&endpoint.address.as_str()));
}
