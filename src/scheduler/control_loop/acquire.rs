//! Acquires and releases ownership of pools and of the fleet's work.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    ControlLoop, Input, OwnedFleet, Ownership, Vacancy, json, stale_view::STALE_ACQUIRE_DELAY_MS,
};
use crate::{
    jobs::{
        balance::{self, Capacity},
        handover::{ExpiringWorkers, Handover},
        roster::SilentWorkers,
        spread::{self, Candidate},
    },
    model::{
        id::ZoneId,
        unit::{Millicores, Now, Revision},
    },
    platform::{
        kv::{CommitResult, Txn},
        store::LeaseId,
    },
    scheduler::{
        keys,
        lease::Tenure,
        view::{OwnerRecord, TermRecord, View},
    },
};

/// How long a node waits for each node that ranks before it, before it tries to acquire work, in
/// milliseconds: the views of two nodes differ by up to this much.
const ACQUIRE_STEP_MS: u64 = 60;

/// Maximum number of nodes to wait for: some may be down, and work must not wait for long.
const MAX_ACQUIRE_STEPS: usize = 8;

/// Delay before the next attempt after a failed one, in milliseconds.
const ACQUIRE_RETRY_MS: u64 = 300;

/// How long a node keeps its work before it may release some for balance, in milliseconds: its view
/// of the nodes must be complete first, and each change of owners costs a pause.
const REBALANCE_MS: u64 = 2_500;

impl ControlLoop {
    /// Records the result of an attempt to acquire ownership.
    pub(super) fn note_acquire_result(&mut self, name: String, won: Option<Ownership>, now: Now) {
        if let Some(vacancy) = self.vacant.get_mut(&name) {
            vacancy.acquiring = false;
            vacancy.not_before = now.steady.after(ACQUIRE_RETRY_MS);
        }
        let Some(won) = won else {
            return;
        };
        if !won.tenure.allows_orders(now.steady) {
            let (token, tenure) = (won.token, won.tenure.describe(now.steady));
            log::warn!("owner {name}: not taken up: token {token}, {tenure}");
            return;
        }
        self.next_rebalance = now.steady.after(REBALANCE_MS);
        self.won.insert(name, won);
    }

    /// Tries to acquire work that has no owner.
    pub(super) fn acquire(&mut self, now: Now) {
        let Some(lease) = self.lease.held(now.steady) else {
            return;
        };
        if self.shutting_down {
            return;
        }
        self.note_owner_zones();
        let names = self.unowned();
        self.vacant.retain(|name, vacancy| vacancy.acquiring || names.contains(name));
        if names.is_empty() {
            return;
        }
        let nodes = self.node_capacities();
        let stale_delay = if self.has_stale_view(now) { STALE_ACQUIRE_DELAY_MS } else { 0 };
        for name in names {
            let cost = ownership_cost(&self.node.view(), &name);
            let rank = self.rank(&nodes, &name, cost);
            let vacancy = self.vacant.entry(name.clone()).or_insert(Vacancy {
                since: now.steady,
                acquiring: false,
                not_before: now.steady,
            });
            let steps = rank.min(MAX_ACQUIRE_STEPS) as u64 * ACQUIRE_STEP_MS;
            let allowed_from = vacancy.since.after(steps + stale_delay);
            if vacancy.acquiring || now.steady < allowed_from || now.steady < vacancy.not_before {
                continue;
            }
            vacancy.acquiring = true;
            self.try_acquire(name, lease, now);
            // One at a time: the next attempt waits until this one is included in the used
            // capacity.
            return;
        }
    }

    /// How many nodes should acquire a unit of work before this one does.
    fn rank(&self, nodes: &BTreeMap<String, Capacity>, name: &str, cost: Millicores) -> usize {
        let me = self.node.settings.node.as_str();
        if self.node.settings.zones.tolerated_losses == 0 {
            return balance::rank(nodes, me, cost);
        }
        let view = self.node.view();
        let zone_of = |node: &str| match node == me {
            true => Some(&self.node.settings.zone),
            false => view.nodes.get(node)?.value.zone.as_ref(),
        };
        let candidate = |(name, capacity): (&String, &Capacity)| {
            (name.clone(), Candidate { capacity: *capacity, zone: zone_of(name) })
        };
        let candidates = nodes.iter().map(candidate).collect();
        let mut pieces: BTreeMap<ZoneId, usize> = BTreeMap::new();
        let others = view.owners.values().filter(|owner| owner.value.node != me);
        let own = self.own_work().into_iter().map(|_| &self.node.settings.zone);
        for zone in others.filter_map(|owner| zone_of(&owner.value.node)).chain(own) {
            *pieces.entry(zone.clone()).or_default() += 1;
        }
        let last_zone = self.last_zones.get(name);
        spread::rank(&candidates, me, cost, &pieces, last_zone)
    }

    /// The units of work that this node owns, has won or is trying to acquire.
    fn own_work(&self) -> BTreeSet<&str> {
        let fleet = self.fleet.iter().map(|_| keys::FLEET);
        let acquiring = self.vacant.iter().filter(|(_, vacancy)| vacancy.acquiring);
        (self.owned.keys().chain(self.won.keys()))
            .chain(acquiring.map(|(name, _)| name))
            .map(String::as_str)
            .chain(fleet)
            .collect()
    }

    /// Remembers in which zone the owner of each unit of work stands: once the zone is lost, the
    /// records of its nodes end one after another.
    fn note_owner_zones(&mut self) {
        let view = self.node.view();
        for (name, owner) in &view.owners {
            let node = view.nodes.get(&owner.value.node);
            if let Some(zone) = node.and_then(|node| node.value.zone.as_ref())
                && self.last_zones.get(name) != Some(zone)
            {
                self.last_zones.insert(name.clone(), zone.clone());
            }
        }
    }

    /// Capacity and use of the nodes that mirror all records and may own work, according to the
    /// view. The use of this node also includes what it has won or is trying to acquire.
    fn node_capacities(&self) -> BTreeMap<String, Capacity> {
        let view = self.node.view();
        let (none, replicas) = (Millicores(0), view.replicas(&self.node.settings));
        let mut nodes: BTreeMap<String, Capacity> = view
            .nodes
            .iter()
            .filter(|(name, _)| replicas.contains(name.as_str()))
            .map(|(name, at)| (name.clone(), Capacity { cpu: at.value.cpu, used: none }))
            .collect();
        for (name, owner) in &view.owners {
            if let Some(node) = nodes.get_mut(&owner.value.node) {
                node.used.0 += ownership_cost(&view, name).0;
            }
        }
        let used = self.own_work().into_iter().map(|name| ownership_cost(&view, name).0).sum();
        let own_capacity = Capacity { cpu: self.node.settings.cpu, used: Millicores(used) };
        nodes.insert(self.node.settings.node.to_string(), own_capacity);
        nodes
    }

    /// Releases a pool if this node is busy and another one would be clearly less busy with it.
    pub(super) fn rebalance(&mut self, now: Now) {
        if now.steady < self.next_rebalance
            || self.shutting_down
            || self.lease.held(now.steady).is_none()
        {
            return;
        }
        self.next_rebalance = now.steady.after(REBALANCE_MS);
        let nodes = self.node_capacities();
        let view = self.node.view();
        let owned =
            self.owned.keys().map(|name| (name.as_str(), ownership_cost(&view, name))).collect();
        let own_name = self.node.settings.node.as_str();
        let name = balance::to_release(&nodes, own_name, &owned).map(str::to_owned);
        drop(view);
        let Some(name) = name else {
            return;
        };
        // Without a record, the next owner would wait for all that may run, and nothing has to
        // change.
        let Some(record) = self.handover_record(&name, now) else {
            log::info!("owner {name}: kept, since it is unknown which tasks may run");
            return;
        };
        log::info!("owner {name}: to be released to a node with more free processor time");
        self.release_pool(name, Some(record), now);
    }

    fn handover_record(&self, name: &str, now: Now) -> Option<SilentWorkers> {
        self.owned.get(name).and_then(|owned| owned.owner.handover_record(now))
    }

    /// Releases the ownership of a unit of work, so that another node acquires it.
    pub(super) fn release_ownership(&mut self, name: String, now: Now) {
        if self.owned.contains_key(&name) {
            let record = self.handover_record(&name, now);
            self.release_pool(name, record, now);
        } else if let Some(owned) = self.fleet.take_if(|_| name == keys::FLEET) {
            self.note_released(&name, now);
            self.release_fleet(&owned);
        }
    }

    /// Other nodes may acquire released work first, even if this one sees the release before them.
    fn note_released(&mut self, name: &str, now: Now) {
        let not_before = now.steady.after(ACQUIRE_RETRY_MS);
        let vacancy = Vacancy { since: now.steady, acquiring: false, not_before };
        self.vacant.insert(name.to_owned(), vacancy);
    }

    /// Units of work that have no owner, or whose owner record names this node although it does not
    /// act as the owner.
    fn unowned(&self) -> BTreeSet<String> {
        let view = self.node.view();
        let Some(config) = view.is_complete().then_some(view.config.as_ref()).flatten() else {
            return BTreeSet::new();
        };
        let pools = config.pools.keys().map(keys::pool);
        let names = pools.chain([keys::FLEET.to_owned()]);
        names
            .filter(|name| !self.owned.contains_key(name) && !self.won.contains_key(name))
            .filter(|name| name != keys::FLEET || self.fleet.is_none())
            .filter(|name| match view.owners.get(name) {
                None => true,
                // An earlier process of this node won it, or this one did and the answer was lost.
                // An unreadable record has no owner; the next owner replaces it at its revision.
                Some(owner) => {
                    let node = owner.value.node.as_str();
                    node.is_empty() || node == self.node.settings.node.as_str()
                }
            })
            .collect()
    }

    fn try_acquire(&self, name: String, lease: LeaseId, now: Now) {
        let view = self.node.view();
        let term = view.terms.get(&name).cloned();
        let held = view.owners.get(&name).map(|owner| owner.revision).unwrap_or_default();
        drop(view);
        let count = term.as_ref().map(|term| term.value.count).unwrap_or_default();
        let record =
            OwnerRecord { node: self.node.settings.node.to_string(), life: self.instance_id };
        let (owner_key, term_key) = (keys::owner(&name), keys::term(&name));
        let txn = Txn::default()
            .expect(owner_key.clone(), held)
            .expect(term_key.clone(), term.map(|term| term.revision).unwrap_or_default())
            .put_leased(&owner_key, json(&record), lease)
            .put(term_key, json(&TermRecord { count: count + 1 }));
        let (node, inputs) = (self.node.clone(), self.inputs.clone());
        let tenure = Tenure::new(&self.lease, lease, now.steady);
        tokio::spawn(async move {
            let won = match node.kv.commit(&txn).await {
                Ok(CommitResult::Done(revision)) => {
                    Some(Ownership { token: revision.0, earlier_owners: count, tenure })
                }
                Ok(CommitResult::Conflict(_) | CommitResult::LeaseExpired) => None,
                Err(error) => {
                    log::warn!("owner {name}: ownership not acquired: {error}");
                    None
                }
            };
            let _ = inputs.send(Input::Acquired { name, won });
        });
    }

    /// Releases everything that the node owns, so that other nodes need not wait for its lease to
    /// expire.
    pub(super) fn release_all(&mut self) {
        let now = self.node.now();
        self.shutting_down = true;
        self.won.clear();
        let pools: Vec<String> = self.owned.keys().cloned().collect();
        for name in pools {
            self.release_ownership(name, now);
        }
        if let Some(owned) = self.fleet.take() {
            self.release_fleet(&owned);
        }
        self.lease.leave();
        // The record may be the next process's by the time at which its removal is carried out.
        let Some(registration) = self.lease.registration() else {
            return;
        };
        let node = self.node.clone();
        let key = keys::node(node.settings.node.as_str());
        let txn = Txn::default().expect(key.clone(), registration).remove(key);
        tokio::spawn(async move {
            // Removes this node from the list of nodes, so that its work goes to nodes that stay.
            if let Err(error) = node.kv.commit(&txn).await {
                log::warn!("node {}: its record was not removed: {error}", node.settings.node);
            }
        });
    }

    /// Releases a pool with a handover record of the tasks that may run, so that the other waiting
    /// tasks need not wait for workers that the next owner cannot reach.
    fn release_pool(&mut self, name: String, record: Option<SilentWorkers>, now: Now) {
        let Some(owned) = self.owned.remove(&name) else {
            return;
        };
        // Pending orders are not sent any more, but the handover record still includes them.
        owned.tenure.note_ended();
        self.note_released(&name, now);
        let (token, silent) = (owned.owner.token, record);
        let tasks = silent.as_ref().and_then(|record| {
            record.handover.as_ref().or(record.partial.as_ref()).map(Handover::len)
        });
        let may_run = match tasks {
            Some(tasks) => format!("{tasks} tasks may run"),
            None => "unknown which tasks may run".to_owned(),
        };
        let expiring = silent.as_ref().and_then(|record| record.expiring.as_ref());
        let expiring = expiring.map_or(0, ExpiringWorkers::len);
        log::info!("owner {name}: given back: token {token}, {may_run}, {expiring} silent workers");
        let txn = match silent {
            Some(record) => Txn::default().put(keys::silent_workers(&name), json(&record)),
            None => Txn::default(),
        };
        self.remove_owner_record(name, token, txn);
    }

    /// Releases the fleet's work.
    fn release_fleet(&self, owned: &OwnedFleet) {
        let token = owned.fleet.token;
        // A host call is made only after its record was written. Calls whose records are still
        // being written are not made: the next owner may have acquired the work by then.
        owned.tenure.note_ended();
        log::info!("owner {}: given back: token {token}", keys::FLEET);
        self.remove_owner_record(keys::FLEET.to_owned(), token, Txn::default());
    }

    /// Removes the owner record from the store, in one transaction with other writes.
    fn remove_owner_record(&self, name: String, token: u64, extra: Txn) {
        let key = keys::owner(&name);
        let txn = extra.expect(key.clone(), Revision(token)).remove(key);
        let node = self.node.clone();
        tokio::spawn(async move {
            if let Err(error) = node.kv.commit(&txn).await {
                log::warn!("owner {name}: ownership not released: {error}");
            }
        });
    }
}

/// Processor time that owning a unit of work costs.
fn ownership_cost(view: &View, name: &str) -> Millicores {
    match name.strip_prefix("pool-") {
        Some(pool) => {
            let workers = view.workers.values().filter(|at| at.value.pool.as_str() == pool);
            balance::pool_cost(workers.count())
        }
        None => balance::fleet_cost(),
    }
}
