//! Delivers changes of the view to the owners.

use std::collections::BTreeMap;

use super::{ControlLoop, OwnedFleet};
use crate::{
    jobs::{event::Event, fleet::HostAction},
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
    /// Number of marks that were checked, to measure the cost of a change of one mark.
    pub(super) static MARKS_CHECKED: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
}

impl ControlLoop {
    /// Delivers a change of the view to the owners that it concerns.
    pub(super) fn handle_delta(&mut self, delta: Delta, now: Now) {
        match delta {
            Delta::Job(id) => {
                let stored = self.node.view().jobs.get(&id).and_then(|known| known.stored(id));
                if let Some(stored) = stored {
                    let name = keys::pool(&stored.record.pool);
                    self.deliver(&name, Event::Job(stored), now);
                }
            }
            Delta::Removed(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.deliver(&name, Event::Removed(id), now);
                }
            }
            Delta::Cancelled(id) => {
                let known = self.node.view().jobs.get(&id).cloned();
                let record = known.as_ref().filter(|known| known.cancelled);
                let record = record.and_then(|known| known.record.as_ref());
                if let Some(record) = record {
                    let name = keys::pool(&record.value.pool);
                    self.deliver(&name, Event::Cancelled(id), now);
                }
            }
            Delta::Worker(report) => {
                let own = keys::pool(&report.pool);
                let others: Vec<String> =
                    self.owned.keys().filter(|name| **name != own).cloned().collect();
                for name in others {
                    self.deliver(&name, Event::OtherPool(report.clone()), now);
                }
                let owns = self.owned.contains_key(&own);
                if owns && self.node.view().is_on_other_roster(&own, &report.id) {
                    log::error!(
                        "worker {}: not used: it belongs to another pool than {own}",
                        report.id
                    );
                    return self.deliver(&own, Event::InvalidEntry(report.id.worker), now);
                }
                self.deliver(&own, Event::Worker(report), now);
            }
            Delta::Unlisted(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.deliver(&name, Event::Unlisted(id.clone()), now);
                }
            }
            Delta::InvalidEntry(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.deliver(&name, Event::InvalidEntry(id.clone()), now);
                }
            }
            Delta::Owner(name) => self.check_owner(&name),
            Delta::DrainMark(host) => self.set_drain_mark(&host),
            Delta::LimitShares(account) => self.note_limit_shares(&account),
            Delta::Evacuated(zone) => self.note_evacuated(&zone, now.steady),
            Delta::Reopened(zone, evacuation) => self.note_reopened(&zone, evacuation, now.steady),
            Delta::Config => {}
        }
    }

    /// Delivers an event to an owner and executes the resulting effects.
    pub(super) fn deliver(&mut self, name: &str, event: Event, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let (mut out, token) = (Vec::new(), owned.owner.token);
        owned.owner.handle(event, now, &mut out);
        self.execute(name, token, out, now.steady);
    }

    /// Drops an ownership that, according to the view, another node or no node holds.
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

    /// Updates the drain mark of one host. Rebuilding all marks for each change takes 49 us per
    /// mark while 600 hosts are marked at a demand peak (`measure mirror`).
    fn set_drain_mark(&mut self, host: &HostId) {
        let view = self.node.view();
        let stored_mark = view.drain_marks.get(host);
        for owned in self.owned.values_mut() {
            let mark = stored_mark
                .filter(|at| requires_drain(&at.value, &owned.pool))
                .map(|at| at.revision);
            owned.owner.set_drain_mark(host, mark);
            if mark.is_none() {
                owned.published_drained.remove(host);
            }
        }
    }
}

/// Whether the pool's owner has to drain a host with this mark. A host marked to move into this
/// pool has already arrived.
fn requires_drain(mark: &HostAction, pool: &PoolId) -> bool {
    #[cfg(test)]
    MARKS_CHECKED.set(MARKS_CHECKED.get() + 1);
    !matches!(mark, HostAction::Move(to) if to == pool)
}

/// The hosts that the pool's owner has to drain, by the revisions of their marks.
pub(super) fn drain_marks(view: &View, pool: &PoolId) -> BTreeMap<HostId, Revision> {
    let marks = view.drain_marks.iter().filter(|(_, at)| requires_drain(&at.value, pool));
    marks.map(|(host, at)| (host.clone(), at.revision)).collect()
}
