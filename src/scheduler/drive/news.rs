//! What the node hears of the store, as its owners are told of it.

use std::collections::BTreeMap;

use super::{Drive, OwnedFleet};
use crate::{
    jobs::{event::Event, fleet::Leave},
    model::{
        id::{HostId, PoolId},
        unit::{Now, Revision},
    },
    scheduler::{
        keys,
        view::{Delta, View},
    },
};

#[cfg(test)]
thread_local! {
    /// How many marks were looked at, to tell what a change of one costs.
    pub(super) static LOOKED_AT: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
}

impl Drive {
    /// Tells the owners of a change of what the node knows.
    pub(super) fn heard(&mut self, delta: Delta, now: Now) {
        match delta {
            Delta::Job(id) => {
                let stored = self.node.view().jobs.get(&id).and_then(|known| known.stored(id));
                if let Some(stored) = stored {
                    let name = keys::pool(&stored.record.pool);
                    self.tell(&name, Event::Job(stored), now);
                }
            }
            Delta::Removed(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.tell(&name, Event::Removed(id), now);
                }
            }
            Delta::Cancelled(id) => {
                let known = self.node.view().jobs.get(&id).cloned();
                let record = known.as_ref().filter(|known| known.cancelled);
                let record = record.and_then(|known| known.record.as_ref());
                if let Some(record) = record {
                    let name = keys::pool(&record.value.pool);
                    self.tell(&name, Event::Cancelled(id), now);
                }
            }
            Delta::Worker(report) => {
                let own = keys::pool(&report.pool);
                let others: Vec<String> =
                    self.owned.keys().filter(|name| **name != own).cloned().collect();
                for name in others {
                    self.tell(&name, Event::Elsewhere(report.clone()), now);
                }
                let owns = self.owned.contains_key(&own);
                if owns && self.node.view().is_of_another(&own, &report.id) {
                    log::error!("worker {}: not used: another pool's, not {own}'s", report.id);
                    return self.tell(&own, Event::Barred(report.id.worker), now);
                }
                self.tell(&own, Event::Worker(report), now);
            }
            Delta::Unlisted(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.tell(&name, Event::Unlisted(id.clone()), now);
                }
            }
            Delta::Barred(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.tell(&name, Event::Barred(id.clone()), now);
                }
            }
            Delta::Owner(name) => self.check_owner(&name),
            Delta::Leave(host) => self.set_mark(&host),
            Delta::Config => {}
        }
    }

    /// Tells an owner of an event, and carries out what it wants done.
    pub(super) fn tell(&mut self, name: &str, event: Event, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let (mut out, token) = (Vec::new(), owned.owner.token);
        owned.owner.handle(event, now, &mut out);
        self.carry_out(name, token, out);
    }

    /// Gives up what the store says is owned by another, or by nobody.
    pub(super) fn check_owner(&mut self, name: &str) {
        if name == keys::FLEET
            && let Some(OwnedFleet { fleet, .. }) = &self.fleet
            && !self.node.view().owns(name, fleet.token)
        {
            log::warn!("owner {name}: token {} is over", fleet.token);
            self.fleet = None;
        }
        let Some(owned) = self.owned.get(name) else {
            return;
        };
        if !self.node.view().owns(name, owned.owner.token) {
            log::warn!("owner {name}: token {} is over", owned.owner.token);
            self.owned.remove(name);
        }
    }

    /// Tells the owners of one host's mark. All marks anew for each cost 49 us a mark while 600 hosts
    /// were marked at a turn (`measure mirror`).
    fn set_mark(&mut self, host: &HostId) {
        let view = self.node.view();
        let leave = view.leaves.get(host);
        for owned in self.owned.values_mut() {
            let mark = leave.filter(|at| counts(&at.value, &owned.pool)).map(|at| at.revision);
            owned.owner.set_mark(host, mark);
            if mark.is_none() {
                owned.told_empty.remove(host);
            }
        }
    }
}

/// Whether a pool's owner is to empty a host with this mark. One that was marked to come to the pool
/// has come.
fn counts(mark: &Leave, pool: &PoolId) -> bool {
    #[cfg(test)]
    LOOKED_AT.set(LOOKED_AT.get() + 1);
    !matches!(mark, Leave::Move(to) if to == pool)
}

/// The hosts that a pool's owner is to empty, by the revisions of their marks.
pub(super) fn marks(view: &View, pool: &PoolId) -> BTreeMap<HostId, Revision> {
    let leaves = view.leaves.iter().filter(|(_, at)| counts(&at.value, pool));
    leaves.map(|(host, at)| (host.clone(), at.revision)).collect()
}
