//! The endpoints that a node sends requests to, and its requests in flight at each.

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

/// Maximum number of endpoints of a service that one node uses. With many nodes, an endpoint does
/// not allow connections from all of them; each node uses a subset, spread by rendezvous hashing.
const MAX_ENDPOINTS: usize = 64;

/// Load and failures of an endpoint, as of its last answers.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointState {
    reported: u32,
    reported_at: Time,
    backoff_until: Time,
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
    state: Mutex<EndpointState>,
}

/// A request's slot at an endpoint, released when it is dropped.
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.endpoint.own.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Endpoint {
    fn state(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        let state = *self.state();
        Load {
            own: self.own.load(Ordering::Acquire),
            reported: state.reported,
            reported_at: state.reported_at,
            slots: self.slots,
            share: self.share.load(Ordering::Acquire),
            backoff_until: state.backoff_until,
        }
    }

    /// Records an answer, with the load that the endpoint reported in it.
    pub(crate) fn record_success(&self, busy: Option<u32>, now: Time) {
        let mut state = self.state();
        state.failures = 0;
        state.backoff_until = Time::default();
        if let Some(busy) = busy {
            (state.reported, state.reported_at) = (busy, now);
        }
    }

    /// Records a refusal: the endpoint is full, or accepts no requests now.
    pub(crate) fn record_refusal(&self, busy: Option<u32>, now: Time) {
        let mut state = self.state();
        (state.reported, state.reported_at) = (busy.unwrap_or(self.slots).max(self.slots), now);
    }

    /// Records a failure, and starts a backoff that grows with consecutive failures.
    pub(crate) fn record_failure(&self, now: Time) {
        let mut state = self.state();
        state.failures += 1;
        state.backoff_until = now + route::backoff(state.failures);
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
    /// Recomputes the endpoints. An endpoint that remains keeps its state.
    pub(crate) fn rebuild(&self, fleet: &Fleet, node: &str, now: Time, rules: &Rules) {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let nodes = fleet.nodes.len();
        table.by_address.retain(|_, endpoint| endpoint.own.load(Ordering::Acquire) != 0);
        let previous: HashMap<_, _> =
            table.by_service.values().flat_map(|list| list.iter()).map(with_address).collect();
        table.by_service.clear();
        for (id, service) in &fleet.config.services {
            let mut list = endpoints(fleet, id, service, &previous, nodes, now, rules);
            limit_endpoints(&mut list, node);
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
        let at_host = table.by_address.values().filter(|endpoint| endpoint.host == *host);
        at_host.map(|endpoint| endpoint.own.load(Ordering::Acquire)).sum()
    }
}

/// Takes a slot at the best endpoint that was not tried yet.
pub(crate) fn acquire_slot(
    endpoints: &[Arc<Endpoint>],
    tried: &[String],
    now: Time,
) -> Option<Slot> {
    let loads: Vec<Load> = endpoints.iter().map(|endpoint| endpoint.load()).collect();
    let tried: Vec<usize> =
        (0..endpoints.len()).filter(|at| tried.contains(&endpoints[*at].address)).collect();
    let mut draw = |n: usize| rand::random_range(0..n);
    let chosen = route::choose(&loads, &tried, now, &mut draw)?;
    let endpoint = endpoints[chosen].clone();
    endpoint.own.fetch_add(1, Ordering::AcqRel);
    Some(Slot { endpoint })
}

/// Maximum number of requests of this node in flight at a service, and the slots of all its
/// endpoints.
pub(crate) fn capacity(endpoints: &[Arc<Endpoint>]) -> (u32, u32) {
    let shares = endpoints.iter().map(|e| e.share.load(Ordering::Acquire)).sum();
    let slots = endpoints.iter().map(|e| e.slots).sum();
    (shares, slots)
}

fn with_address(endpoint: &Arc<Endpoint>) -> (String, Arc<Endpoint>) {
    (endpoint.address.clone(), endpoint.clone())
}

fn endpoints(
    fleet: &Fleet,
    id: &ServiceId,
    service: &Service,
    previous: &HashMap<String, Arc<Endpoint>>,
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
        // While the list of hosts cannot be read, no endpoint is removed: requests continue.
        let dead = fleet.is_dead(&assigned.host, now, rules.list_limit);
        if !serving || dead {
            continue;
        }
        let existing = previous
            .get(&report.address)
            .filter(|endpoint| endpoint.host == assigned.host && endpoint.slots == service.slots);
        let endpoint = existing.cloned().unwrap_or_else(|| {
            Arc::new(Endpoint {
                address: report.address.clone(),
                host: assigned.host.clone(),
                slots: service.slots,
                share: AtomicU32::new(share),
                own: AtomicU32::new(0),
                state: Mutex::default(),
            })
        });
        endpoint.share.store(share, Ordering::Release);
        list.push(endpoint);
    }
    list
}

fn limit_endpoints(list: &mut Vec<Arc<Endpoint>>, node: &str) {
    if list.len() <= MAX_ENDPOINTS {
        return;
    }
    let addresses: Vec<String> = list.iter().map(|endpoint| endpoint.address.clone()).collect();
    let members = addresses.iter().map(String::as_str);
    let chosen = rendezvous::top_members(members, node, MAX_ENDPOINTS);
    list.retain(|endpoint| chosen.contains(&endpoint.address.as_str()));
}
