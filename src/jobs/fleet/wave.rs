//! Waves of upkeep: which hosts are emptied next, and how far a wave is.

use std::collections::{BTreeMap, BTreeSet};

use super::{Fleet, FleetEffect, Leave, Scene, WRITE_SHOWS_MS};
use crate::model::{
    id::{HostId, PoolId},
    unit::Steady,
    worker::{HostPhase, ListedHost, Upkeep},
};

/// Hosts that are emptied ahead for a wave, beside those that are away for it.
const AHEAD: usize = 6;

/// The share of a pool's hosts that may be leaving for upkeep at one time, in percent.
const LEAVING_PERCENT: usize = 50;

impl Fleet {
    /// Marks the next hosts of a wave, and reports how far it is.
    pub(super) fn wave(
        &mut self,
        scene: &Scene<'_>,
        upkeep: &Upkeep,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if scene.reported.contains(&upkeep.wave) {
            return;
        }
        let none = BTreeSet::new();
        let kept = scene.maintained.get(&upkeep.wave).unwrap_or(&none);
        let left: Vec<&ListedHost> = upkeep
            .hosts
            .iter()
            .filter(|host| !kept.contains(*host))
            .filter_map(|host| self.hosts.get(host))
            .collect();
        if left.is_empty() {
            out.push(FleetEffect::Report(upkeep.wave, true));
            return;
        }
        if self.begun.insert(upkeep.wave) {
            out.push(FleetEffect::Report(upkeep.wave, false));
        }
        let marked = self.marks(scene).filter(|(_, leave)| **leave == Leave::Upkeep(upkeep.wave));
        let room = (upkeep.at_once as usize + AHEAD).saturating_sub(marked.count());
        if room == 0 {
            return;
        }
        // Counted once: for each host of a wave anew, a plan for 1,100 hosts took 60 ms of a core.
        let leaving = self.leaving(scene);
        let sizes = self.pool_sizes();
        let is_off =
            |known: &ListedHost| scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        let mut next: Vec<&ListedHost> = left
            .into_iter()
            .filter(|known| known.phase == HostPhase::Up)
            .filter(|known| !self.is_taken(scene, &known.host))
            .collect();
        next.sort_by_cached_key(|known| {
            let busy = !scene.idle.contains(&known.host);
            (!is_off(known), busy, count_of(&leaving, &known.pool))
        });
        let mut taken: BTreeMap<&PoolId, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for known in next {
            if room <= chosen.len() {
                break;
            }
            let most = (count_of(&sizes, &known.pool) * LEAVING_PERCENT / 100).max(1);
            let more = taken.entry(&known.pool).or_default();
            if !is_off(known) && most <= count_of(&leaving, &known.pool) + *more {
                continue;
            }
            *more += 1;
            chosen.push(known.host.clone());
        }
        for host in chosen {
            self.mark(host, Leave::Upkeep(upkeep.wave), now, out);
        }
    }

    /// How many hosts of each pool are marked to leave for upkeep.
    fn leaving<'a>(&'a self, scene: &'a Scene<'_>) -> BTreeMap<&'a PoolId, usize> {
        let marks = self.marks(scene).filter(|(_, leave)| matches!(leave, Leave::Upkeep(_)));
        let hosts = marks.filter_map(|(host, _)| self.hosts.get(host));
        count_by_pool(hosts)
    }

    /// How many hosts each pool has, whatever their phase.
    pub(super) fn pool_sizes(&self) -> BTreeMap<&PoolId, usize> {
        count_by_pool(self.hosts.values().inspect(|_| self.count_look()))
    }

    /// How many hosts are or may be away for each wave.
    pub(super) fn away(&self, scene: &Scene<'_>) -> BTreeMap<u64, usize> {
        let mut away = BTreeMap::new();
        for (host, leave) in scene.leaves.iter().inspect(|_| self.count_look()) {
            let Leave::Upkeep(wave) = leave else {
                continue;
            };
            let called = self.calls.contains_key(host);
            let listed = self.hosts.get(host).map(|known| known.phase);
            if called || listed == Some(HostPhase::Upkeep) {
                *away.entry(*wave).or_default() += 1;
            }
        }
        away
    }

    /// Has it kept that hosts had their upkeep: all that are back in one write, and the next only
    /// once that one shows, since each builds on the record before it.
    pub(super) fn keep(
        &mut self,
        scene: &Scene<'_>,
        wave: u64,
        hosts: BTreeSet<HostId>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let shown = |written: &BTreeSet<HostId>| {
            scene.maintained.get(&wave).is_some_and(|kept| written.is_subset(kept))
        };
        let waits = self
            .keeping
            .get(&wave)
            .is_some_and(|(written, at)| now.since(*at) < WRITE_SHOWS_MS && !shown(written));
        if waits {
            return;
        }
        self.keeping.insert(wave, (hosts.clone(), now));
        out.push(FleetEffect::Maintained(hosts, wave));
    }
}

fn count_by_pool<'a>(hosts: impl Iterator<Item = &'a ListedHost>) -> BTreeMap<&'a PoolId, usize> {
    let mut counts = BTreeMap::new();
    for host in hosts {
        *counts.entry(&host.pool).or_default() += 1;
    }
    counts
}

/// The count of a pool: none if it is not among them.
pub(super) fn count_of(counts: &BTreeMap<&PoolId, usize>, pool: &PoolId) -> usize {
    counts.get(pool).copied().unwrap_or_default()
}
