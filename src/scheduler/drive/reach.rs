//! Which work this node reaches for, and what it gives away.

use std::collections::{BTreeMap, BTreeSet};

use super::{Drive, Input, Owned, Vacancy, Won, behind::REACH_LATE_MS, json};
use crate::{
    jobs::balance::{self, Capacity},
    model::unit::{Millicores, Now, Revision},
    platform::{
        kv::{Committed, Txn},
        store::LeaseId,
    },
    scheduler::{
        keys,
        lease::Tenure,
        view::{OwnerRecord, TermRecord, View},
    },
};

/// How long a node waits, for each node that should own a piece of work before it, before it
/// reaches for it, in milliseconds: two nodes' views differ by up to that much.
const REACH_STEP_MS: u64 = 60;

/// The most nodes that are waited for: some may be away, and work must not wait for long.
const REACH_MOST_STEPS: usize = 8;

/// How long after a failed try the next is made, in milliseconds.
const REACH_AGAIN_MS: u64 = 300;

/// How long a node keeps its work before it may give some of it away, in milliseconds: the view
/// of the nodes is to be whole, and each change of owners costs a pause.
const GIVE_AFTER_MS: u64 = 2_500;

impl Drive {
    /// Takes note of what became of a try to own a piece of work.
    pub(super) fn reached(&mut self, name: String, won: Option<Won>, now: Now) {
        if let Some(vacancy) = self.vacant.get_mut(&name) {
            vacancy.reaching = false;
            vacancy.not_before = now.steady.after(REACH_AGAIN_MS);
        }
        let Some(won) = won else {
            return;
        };
        if !won.tenure.allows_orders(now.steady) {
            let (token, tenure) = (won.token, won.tenure.describe(now.steady));
            log::warn!("owner {name}: not taken up: token {token}, {tenure}");
            return;
        }
        self.next_give = now.steady.after(GIVE_AFTER_MS);
        self.won.insert(name, won);
    }

    /// Tries to own what nobody does.
    pub(super) fn reach(&mut self, now: Now) {
        let Some(lease) = self.lease.held(now.steady) else {
            return;
        };
        if self.leaving {
            return;
        }
        let names = self.vacancies();
        self.vacant.retain(|name, vacancy| vacancy.reaching || names.contains(name));
        if names.is_empty() {
            return;
        }
        let nodes = self.nodes();
        let late = if self.is_behind(now) { REACH_LATE_MS } else { 0 };
        for name in names {
            let vacancy = self.vacant.entry(name.clone()).or_insert(Vacancy {
                since: now.steady,
                reaching: false,
                not_before: now.steady,
            });
            let cost = costs(&self.node.view(), &name);
            let rank = balance::rank(&nodes, self.node.settings.node.as_str(), cost);
            let steps = rank.min(REACH_MOST_STEPS) as u64 * REACH_STEP_MS;
            let turn = vacancy.since.after(steps + late);
            if vacancy.reaching || now.steady < turn || now.steady < vacancy.not_before {
                continue;
            }
            vacancy.reaching = true;
            self.reach_for(name, lease, now);
            // One at a time: the next waits until this one counts.
            return;
        }
    }

    /// The nodes that hear of everything and may own work, with what they own by the view; of this one, with all that it
    /// has won or reaches for.
    fn nodes(&self) -> BTreeMap<String, Capacity> {
        let view = self.node.view();
        let (none, replicas) = (Millicores(0), view.replicas(self.node.settings.replicas));
        let mut nodes: BTreeMap<String, Capacity> = view
            .nodes
            .iter()
            .filter(|(name, _)| replicas.contains(name.as_str()))
            .map(|(name, at)| (name.clone(), Capacity { cpu: at.value.cpu, used: none }))
            .collect();
        for (name, owner) in &view.owners {
            if let Some(node) = nodes.get_mut(&owner.value.node) {
                node.used.0 += costs(&view, name).0;
            }
        }
        let fleet = self.fleet.iter().map(|_| keys::FLEET);
        let reaching = self.vacant.iter().filter(|(_, vacancy)| vacancy.reaching);
        let own: BTreeSet<&str> = (self.owned.keys().chain(self.won.keys()))
            .chain(reaching.map(|(name, _)| name))
            .map(String::as_str)
            .chain(fleet)
            .collect();
        let used = own.iter().map(|name| costs(&view, name).0).sum();
        let mine = Capacity { cpu: self.node.settings.cpu, used: Millicores(used) };
        nodes.insert(self.node.settings.node.to_string(), mine);
        nodes
    }

    /// Gives a pool away if this node is busy and another would be clearly less so.
    pub(super) fn give(&mut self, now: Now) {
        if now.steady < self.next_give || self.leaving || self.lease.held(now.steady).is_none() {
            return;
        }
        self.next_give = now.steady.after(GIVE_AFTER_MS);
        let nodes = self.nodes();
        let view = self.node.view();
        let owned = self.owned.keys().map(|name| (name.as_str(), costs(&view, name))).collect();
        let me = self.node.settings.node.as_str();
        let name = balance::to_give(&nodes, me, &owned).map(str::to_owned);
        drop(view);
        let Some(name) = name else {
            return;
        };
        log::info!("owner {name}: to be given to a node with more processor time");
        self.hand_over(name, now);
    }

    /// Gives up a piece of work, so that another node takes it up.
    pub(super) fn hand_over(&mut self, name: String, now: Now) {
        // Others come first, also if this one is told of it first.
        let not_before = now.steady.after(REACH_AGAIN_MS);
        let vacancy = Vacancy { since: now.steady, reaching: false, not_before };
        if let Some(owned) = self.owned.remove(&name) {
            self.vacant.insert(name.clone(), vacancy);
            self.give_back_pool(name, &owned, now);
        } else if let Some(owned) = self.fleet.take_if(|_| name == keys::FLEET) {
            let token = owned.fleet.token;
            // Calls that are being kept are not made: the next owner may have the work before.
            owned.tenure.deny();
            log::info!("owner {name}: given back: token {token}");
            self.vacant.insert(name.clone(), vacancy);
            self.give_back(name, token, Txn::default());
        }
    }

    /// The pieces of work that nobody owns, or this node without acting on it.
    fn vacancies(&self) -> BTreeSet<String> {
        let view = self.node.view();
        let Some(config) = view.is_whole().then_some(view.config.as_ref()).flatten() else {
            return BTreeSet::new();
        };
        let pools = config.pools.keys().map(keys::pool);
        let names = pools.chain([keys::FLEET.to_owned()]);
        names
            .filter(|name| !self.owned.contains_key(name) && !self.won.contains_key(name))
            .filter(|name| name != keys::FLEET || self.fleet.is_none())
            .filter(|name| match view.owners.get(name) {
                None => true,
                // An earlier life of this node won it, or this one did and was not told.
                // One that cannot be read is nobody's, and is succeeded at its revision.
                Some(owner) => {
                    let node = owner.value.node.as_str();
                    node.is_empty() || node == self.node.settings.node.as_str()
                }
            })
            .collect()
    }

    fn reach_for(&self, name: String, lease: LeaseId, now: Now) {
        let view = self.node.view();
        let term = view.terms.get(&name).cloned();
        let held = view.owners.get(&name).map(|owner| owner.revision).unwrap_or_default();
        drop(view);
        let count = term.as_ref().map(|term| term.value.count).unwrap_or_default();
        let record = OwnerRecord { node: self.node.settings.node.to_string(), life: self.life };
        let (owner_key, term_key) = (keys::owner(&name), keys::term(&name));
        let txn = Txn::default()
            .expect(owner_key.clone(), held)
            .expect(term_key.clone(), term.map(|term| term.revision).unwrap_or_default())
            .put_leased(&owner_key, json(&record), lease)
            .put(term_key, json(&TermRecord { count: count + 1 }));
        let (node, to) = (self.node.clone(), self.to.clone());
        let tenure = Tenure::new(&self.lease, lease, now.steady);
        tokio::spawn(async move {
            let won = match node.kv.commit(&txn).await {
                Ok(Committed::Done(revision)) => {
                    Some(Won { token: revision.0, earlier: count, tenure })
                }
                Ok(Committed::Conflict(_) | Committed::LeaseOver) => None,
                Err(error) => {
                    log::warn!("owner {name}: not reached: {error}");
                    None
                }
            };
            let _ = to.send(Input::Reached { name, won });
        });
    }

    /// Gives back all that the node owns, so that others need not wait for its lease to end.
    pub(super) fn leave(&mut self) {
        let now = self.node.now();
        self.leaving = true;
        self.won.clear();
        for (name, owned) in std::mem::take(&mut self.owned) {
            self.give_back_pool(name, &owned, now);
        }
        let node = self.node.clone();
        let key = keys::node(node.settings.node.as_str());
        tokio::spawn(async move {
            // Work goes to nodes that stay.
            if let Err(error) = node.kv.commit(&Txn::default().remove(key)).await {
                log::warn!("node {}: still listed: {error}", node.settings.node);
            }
        });
    }

    /// Gives a pool back, with word of what may run: all that waits need not wait for workers that
    /// the next owner does not reach.
    fn give_back_pool(&self, name: String, owned: &Owned, now: Now) {
        // Nothing that was decided on is sent any more; what was left counts it all the same.
        owned.tenure.deny();
        let token = owned.owner.token;
        let left = owned.owner.parting(now);
        let may_run = match left.as_ref().and_then(|away| away.handover.as_ref()) {
            Some(handover) => format!("{} tasks may run", handover.len()),
            None => "not known what may run".to_owned(),
        };
        log::info!("owner {name}: given back: token {token}, {may_run}");
        let txn = match left {
            Some(away) => Txn::default().put(keys::away(&name), json(&away)),
            None => Txn::default(),
        };
        self.give_back(name, token, txn);
    }

    /// Gives up an ownership in the store, with what is to be written beside.
    fn give_back(&self, name: String, token: u64, beside: Txn) {
        let key = keys::owner(&name);
        let txn = beside.expect(key.clone(), Revision(token)).remove(key);
        let node = self.node.clone();
        tokio::spawn(async move {
            if let Err(error) = node.kv.commit(&txn).await {
                log::warn!("owner {name}: not given back: {error}");
            }
        });
    }
}

/// What owning a piece of work costs.
fn costs(view: &View, name: &str) -> Millicores {
    match name.strip_prefix("pool-") {
        Some(pool) => {
            let workers = view.workers.values().filter(|at| at.value.pool.as_str() == pool);
            balance::pool_cost(workers.count())
        }
        None => balance::fleet_cost(),
    }
}
