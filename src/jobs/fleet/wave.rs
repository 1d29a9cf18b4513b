//! Waves of upkeep: which hosts are emptied next, and how far a wave is.

use std::collections::{BTreeMap, BTreeSet};

use super::{Fleet, FleetEffect, Leave, Scene, WRITE_AGAIN_MS, WriteEnd};
use crate::model::{
    id::{HostId, PoolId},
    unit::Steady,
    worker::{HostPhase, ListedHost, Upkeep},
};

/// Hosts that are emptied ahead for a wave, beside those that are away for it.
const AHEAD: usize = 6;

/// The share of a pool's hosts that may be leaving for upkeep at one time, in percent.
const LEAVING_PERCENT: usize = 50;

/// Hosts whose upkeep is kept by one write, which takes away two records of each.
pub(crate) const KEEP_BATCH: usize = 14;

/// What was written of a wave, by the answers: each write builds on the record that the one before
/// it left, so that there is one at a time.
#[derive(Debug, Default)]
pub(super) struct WaveWrites {
    on_its_way: bool,
    /// Nothing more is written before then, since a write failed.
    again: Steady,
    /// Hosts whose upkeep was kept.
    kept: BTreeSet<HostId>,
    begun: bool,
    reported: bool,
}

impl Fleet {
    /// Marks the next hosts of a wave, and reports how far it is.
    pub(super) fn wave(
        &mut self,
        scene: &Scene<'_>,
        upkeep: &Upkeep,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let written = self.waves.entry(upkeep.wave).or_default();
        if written.reported || scene.reported.contains(&upkeep.wave) {
            return;
        }
        let begun = written.begun;
        let left: Vec<&ListedHost> = upkeep
            .hosts
            .iter()
            .filter(|host| !self.is_kept(scene, upkeep.wave, host))
            .filter_map(|host| self.hosts.get(host))
            .collect();
        if left.is_empty() {
            self.report(upkeep.wave, true, now, out);
            return;
        }
        let purpose = Leave::Upkeep(upkeep.wave);
        let marked = self.marks.iter().filter(|(_, mark)| mark.leave == purpose);
        let room = (upkeep.at_once as usize + AHEAD).saturating_sub(marked.count());
        if room == 0 && begun {
            return;
        }
        // Counted once: for each host of a wave anew, a plan for 1,100 hosts took 60 ms of a core.
        let leaving = self.leaving();
        let sizes = self.pool_sizes();
        let is_off =
            |known: &ListedHost| scene.config.pools.get(&known.pool).is_some_and(|rules| rules.off);
        let mut next: Vec<&ListedHost> = left
            .into_iter()
            .filter(|known| known.phase == HostPhase::Up)
            .filter(|known| !self.is_taken(&known.host))
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
        if !begun {
            self.report(upkeep.wave, false, now, out);
        }
        for host in chosen {
            self.mark(host, Leave::Upkeep(upkeep.wave), now, out);
        }
    }

    /// How many hosts of each pool are marked to leave for upkeep.
    fn leaving(&self) -> BTreeMap<&PoolId, usize> {
        let marks = self.marks.iter().filter(|(_, mark)| matches!(mark.leave, Leave::Upkeep(_)));
        count_by_pool(marks.filter_map(|(host, _)| self.hosts.get(host)))
    }

    /// How many hosts each pool has, whatever their phase.
    pub(super) fn pool_sizes(&self) -> BTreeMap<&PoolId, usize> {
        count_by_pool(self.hosts.values().inspect(|_| self.count_look()))
    }

    /// How many hosts are or may be away for each wave. What an earlier owner has called lately the list
    /// need not show yet.
    pub(super) fn away(&self, scene: &Scene<'_>) -> BTreeMap<u64, usize> {
        let mut away = BTreeMap::new();
        for (host, mark) in self.marks.iter() {
            let Leave::Upkeep(wave) = mark.leave else {
                continue;
            };
            let listed = self.hosts.get(host).map(|known| known.phase);
            let may_be = self.may_be_away(host) || scene.resting.contains(host);
            if may_be || listed == Some(HostPhase::Upkeep) {
                *away.entry(wave).or_default() += 1;
            }
        }
        away
    }

    /// Whether it was kept that a host had its upkeep.
    pub(super) fn is_kept(&self, scene: &Scene<'_>, wave: u64, host: &HostId) -> bool {
        let shown = scene.maintained.get(&wave).is_some_and(|hosts| hosts.contains(host));
        shown || self.waves.get(&wave).is_some_and(|written| written.kept.contains(host))
    }

    /// Has it kept that hosts had their upkeep, and their marks taken away.
    pub(super) fn keep(
        &mut self,
        wave: u64,
        hosts: BTreeSet<HostId>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if !self.may_write(wave, now) {
            return;
        }
        let hosts: BTreeSet<HostId> = hosts.into_iter().take(KEEP_BATCH).collect();
        for host in &hosts {
            self.marks.take_away(host);
        }
        out.push(FleetEffect::Maintained(hosts, wave));
    }

    fn report(&mut self, wave: u64, done: bool, now: Steady, out: &mut Vec<FleetEffect>) {
        if self.may_write(wave, now) {
            out.push(FleetEffect::Report(wave, done));
        }
    }

    /// Whether something may be written of a wave now; it is on its way from then on.
    fn may_write(&mut self, wave: u64, now: Steady) -> bool {
        let written = self.waves.entry(wave).or_default();
        let may = !written.on_its_way && written.again <= now;
        written.on_its_way |= may;
        may
    }

    /// Takes note of how a write of upkeep ended.
    pub(super) fn kept(
        &mut self,
        hosts: &BTreeSet<HostId>,
        wave: u64,
        end: &WriteEnd,
        now: Steady,
    ) {
        for host in hosts {
            self.marks.taken_away(host, end, now);
        }
        if self.wave_written(wave, end, now) {
            self.waves.entry(wave).or_default().kept.extend(hosts.iter().cloned());
        }
    }

    /// Takes note of how a report ended.
    pub(super) fn reported(&mut self, wave: u64, done: bool, end: &WriteEnd, now: Steady) {
        if self.wave_written(wave, end, now) {
            let written = self.waves.entry(wave).or_default();
            written.begun = true;
            written.reported |= done;
        }
    }

    /// Takes note of how a write of a wave ended: whether it was done.
    fn wave_written(&mut self, wave: u64, end: &WriteEnd, now: Steady) -> bool {
        let written = self.waves.entry(wave).or_default();
        written.on_its_way = false;
        let done = matches!(end, WriteEnd::Done(_));
        if !done {
            written.again = now.after(WRITE_AGAIN_MS);
        }
        done
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
