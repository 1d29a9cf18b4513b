//! Evacuated availability zones: their hosts are no capacity, and none moves to fill a pool.

use std::collections::BTreeSet;

use super::{FleetEffect, FleetOwner, HostAction};
use crate::model::{
    id::{HostId, ZoneId},
    unit::Steady,
    worker::ListedHost,
};

/// The evacuated zones, and when they last changed.
#[derive(Debug, Default)]
pub(super) struct EvacuatedZones {
    zones: BTreeSet<ZoneId>,
    changed: Option<Steady>,
}

impl EvacuatedZones {
    pub(super) fn update(&mut self, zones: &BTreeSet<ZoneId>, now: Steady) {
        if self.zones != *zones {
            self.zones.clone_from(zones);
            self.changed = Some(now);
        }
    }

    /// Whether a host is in an evacuated zone.
    pub(super) fn covers(&self, host: &ListedHost) -> bool {
        host.zone.as_ref().is_some_and(|zone| self.zones.contains(zone))
    }

    /// Whether no zone was evacuated or reopened for some time. Hosts that were added for others
    /// stay until then, so that none moves to and fro.
    pub(super) fn unchanged_for(&self, millis: u64, now: Steady) -> bool {
        self.changed.is_none_or(|at| millis <= now.since(at))
    }
}

impl FleetOwner {
    /// Whether a host is listed in an evacuated zone.
    pub(super) fn is_evacuated(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|entry| self.zones.covers(entry))
    }

    /// Gives up the moves of hosts in evacuated zones for which no call was made.
    pub(super) fn withdraw_moves(&mut self, out: &mut Vec<FleetEffect>) {
        let calls = &self.calls;
        let (hosts, zones) = (&self.hosts, &self.zones);
        let is_withdrawn = |host: &HostId| {
            !calls.contains_key(host) && hosts.get(host).is_some_and(|entry| zones.covers(entry))
        };
        self.incoming.retain(|host, _| !is_withdrawn(host));
        let marked = self.marks.iter().filter(|(host, mark)| {
            matches!(mark.action, HostAction::Move(_)) && is_withdrawn(host)
        });
        let marked: Vec<HostId> = marked.map(|(host, _)| host.clone()).collect();
        for host in marked {
            self.remove_mark(&host, out);
        }
    }
}
