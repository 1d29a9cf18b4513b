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
        let mut next: Vec<&ListedHost> = left
            .into_iter()
            .filter(|known| known.phase == HostPhase::Up)
            .filter(|known| !self.is_taken(scene, &known.host))
            .collect();
        let is_off =
            |known: &ListedHost| scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        next.sort_by_key(|known| {
            let busy = !scene.idle.contains(&known.host);
            (!is_off(known), busy, self.leaving(scene, &known.pool))
        });
        let mut taken: BTreeMap<PoolId, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for known in next {
            if room <= chosen.len() {
                break;
            }
            let hosts = self.hosts.values().inspect(|_| self.count_look());
            let pool = hosts.filter(|host| host.pool == known.pool).count();
            let most = (pool * LEAVING_PERCENT / 100).max(1);
            let leaving = taken.entry(known.pool.clone()).or_default();
            if !is_off(known) && most <= self.leaving(scene, &known.pool) + *leaving {
                continue;
            }
            *leaving += 1;
            chosen.push(known.host.clone());
        }
        for host in chosen {
            self.mark(host, Leave::Upkeep(upkeep.wave), now, out);
        }
    }

    /// Hosts of a pool that are marked to leave for upkeep.
    pub(super) fn leaving(&self, scene: &Scene<'_>, pool: &PoolId) -> usize {
        let here = self.marks(scene).filter(|(host, leave)| {
            matches!(leave, Leave::Upkeep(_))
                && self.hosts.get(*host).is_some_and(|known| known.pool == *pool)
        });
        here.count()
    }

    /// Hosts that are or may be away for a wave.
    pub(super) fn away(&self, scene: &Scene<'_>, wave: u64) -> usize {
        let away = |(host, leave): &(&HostId, &Leave)| {
            let called = self.calls.contains_key(*host);
            let listed = self.hosts.get(*host).map(|known| known.phase);
            **leave == Leave::Upkeep(wave) && (called || listed == Some(HostPhase::Upkeep))
        };
        scene.leaves.iter().inspect(|_| self.count_look()).filter(away).count()
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
