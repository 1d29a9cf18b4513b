//! Waves of upkeep: which hosts are drained next, and the progress of a wave.

use std::collections::{BTreeMap, BTreeSet};

use super::{FleetEffect, FleetOwner, FleetSnapshot, HostAction, WRITE_RETRY_MS, WriteResult};
use crate::model::{
    id::{HostId, PoolId},
    unit::Steady,
    worker::{HostPhase, ListedHost, Upkeep},
};

/// Hosts that are drained in advance for a wave, beyond those that may be out of service for it.
const DRAIN_AHEAD_HOSTS: usize = 6;

/// The share of a pool's hosts that may be marked for upkeep at one time, in percent.
const MAX_DRAINING_PERCENT: usize = 50;

/// The most hosts whose upkeep is recorded by one write, which also removes two records of each.
pub(crate) const MAINTAINED_BATCH: usize = 14;

/// The state of the writes of a wave. Each write is based on the record that the previous one has
/// written, so only one is in flight at a time.
#[derive(Debug, Default)]
pub(super) struct WaveWrites {
    in_flight: bool,
    /// No further write before this time, since one has failed.
    retry_at: Steady,
    /// Hosts whose upkeep was recorded.
    maintained: BTreeSet<HostId>,
    begin_reported: bool,
    done_reported: bool,
}

impl FleetOwner {
    /// Marks the next hosts of a wave, and reports its beginning and its end.
    pub(super) fn advance_wave(
        &mut self,
        snapshot: &FleetSnapshot<'_>,
        upkeep: &Upkeep,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        let writes = self.waves.entry(upkeep.wave).or_default();
        if writes.done_reported || snapshot.reported.contains(&upkeep.wave) {
            return;
        }
        let begin_reported = writes.begin_reported;
        let remaining: Vec<&ListedHost> = upkeep
            .hosts
            .iter()
            .filter(|host| !self.is_maintained(snapshot, upkeep.wave, host))
            .filter_map(|host| self.hosts.get(host))
            .collect();
        if remaining.is_empty() {
            self.write_report(upkeep.wave, true, now, out);
            return;
        }
        let action = HostAction::Upkeep(upkeep.wave);
        let marked = self.marks.iter().filter(|(_, mark)| mark.action == action);
        let allowed =
            (upkeep.max_concurrent as usize + DRAIN_AHEAD_HOSTS).saturating_sub(marked.count());
        if allowed == 0 && begin_reported {
            return;
        }
        // Counted once: counting again for each host of the wave took 60 ms of a core in a plan for
        // 1,100 hosts.
        let draining = self.draining_by_pool();
        let sizes = self.open_pool_sizes();
        let is_off = |entry: &ListedHost| {
            snapshot.config.pools.get(&entry.pool).is_some_and(|rules| rules.headroom)
        };
        let mut candidates: Vec<&ListedHost> = remaining
            .into_iter()
            .filter(|entry| entry.phase == HostPhase::Up)
            .filter(|entry| !self.is_pending(&entry.host))
            .collect();
        candidates.sort_by_cached_key(|entry| {
            let busy = !snapshot.idle.contains(&entry.host);
            let spared = self.zones.covers(entry) && !busy;
            (!spared, !is_off(entry), busy, count_of(&draining, &entry.pool))
        });
        let mut chosen_by_pool: BTreeMap<&PoolId, usize> = BTreeMap::new();
        let mut chosen = Vec::new();
        for entry in candidates {
            if allowed <= chosen.len() {
                break;
            }
            if self.zones.covers(entry) {
                // It is no capacity of its pool meanwhile.
                chosen.push(entry.host.clone());
                continue;
            }
            let max_draining = (count_of(&sizes, &entry.pool) * MAX_DRAINING_PERCENT / 100).max(1);
            let pool_chosen = chosen_by_pool.entry(&entry.pool).or_default();
            if !is_off(entry) && max_draining <= count_of(&draining, &entry.pool) + *pool_chosen {
                continue;
            }
            *pool_chosen += 1;
            chosen.push(entry.host.clone());
        }
        if !begin_reported {
            self.write_report(upkeep.wave, false, now, out);
        }
        for host in chosen {
            self.mark_draining(host, HostAction::Upkeep(upkeep.wave), now, out);
        }
    }

    /// How many hosts of each pool are marked for upkeep, without those in evacuated zones.
    fn draining_by_pool(&self) -> BTreeMap<&PoolId, usize> {
        let marks =
            self.marks.iter().filter(|(_, mark)| matches!(mark.action, HostAction::Upkeep(_)));
        let listed = marks.filter_map(|(host, _)| self.hosts.get(host));
        count_by_pool(listed.filter(|entry| !self.zones.covers(entry)))
    }

    /// How many hosts each pool has, whatever their phase.
    pub(super) fn pool_sizes(&self) -> BTreeMap<&PoolId, usize> {
        count_by_pool(self.hosts.values().inspect(|_| self.count_visit()))
    }

    /// How many hosts each pool has in zones that are not evacuated.
    fn open_pool_sizes(&self) -> BTreeMap<&PoolId, usize> {
        let hosts = self.hosts.values().inspect(|_| self.count_visit());
        count_by_pool(hosts.filter(|entry| !self.zones.covers(entry)))
    }

    /// How many hosts are or may be out of service for each wave. Hosts that an earlier owner
    /// called recently count as well: the host list may not show them as out of service yet.
    pub(super) fn out_of_service_by_wave(
        &self,
        snapshot: &FleetSnapshot<'_>,
    ) -> BTreeMap<u64, usize> {
        let mut out_of_service = BTreeMap::new();
        for (host, mark) in self.marks.iter() {
            let HostAction::Upkeep(wave) = mark.action else {
                continue;
            };
            let listed = self.hosts.get(host).map(|entry| entry.phase);
            let called =
                self.may_be_out_of_service(host) || snapshot.recently_called.contains(host);
            if called || listed == Some(HostPhase::Upkeep) {
                *out_of_service.entry(wave).or_default() += 1;
            }
        }
        out_of_service
    }

    /// Whether a host's upkeep is recorded as done.
    pub(super) fn is_maintained(
        &self,
        snapshot: &FleetSnapshot<'_>,
        wave: u64,
        host: &HostId,
    ) -> bool {
        let in_view = snapshot.maintained.get(&wave).is_some_and(|hosts| hosts.contains(host));
        in_view || self.waves.get(&wave).is_some_and(|writes| writes.maintained.contains(host))
    }

    /// Orders a write that records the upkeep of hosts as done and removes their marks.
    pub(super) fn write_maintained(
        &mut self,
        wave: u64,
        hosts: BTreeSet<HostId>,
        now: Steady,
        out: &mut Vec<FleetEffect>,
    ) {
        if !self.try_begin_write(wave, now) {
            return;
        }
        let hosts: BTreeSet<HostId> = hosts.into_iter().take(MAINTAINED_BATCH).collect();
        for host in &hosts {
            self.marks.begin_removal(host);
        }
        out.push(FleetEffect::Maintained(hosts, wave));
    }

    fn write_report(&mut self, wave: u64, done: bool, now: Steady, out: &mut Vec<FleetEffect>) {
        if self.try_begin_write(wave, now) {
            out.push(FleetEffect::Report(wave, done));
        }
    }

    /// Whether a write of a wave may be made now. If so, it counts as in flight from now on.
    fn try_begin_write(&mut self, wave: u64, now: Steady) -> bool {
        let writes = self.waves.entry(wave).or_default();
        let is_allowed = !writes.in_flight && writes.retry_at <= now;
        writes.in_flight |= is_allowed;
        is_allowed
    }

    /// Records the result of a write of maintained hosts.
    pub(super) fn note_maintained_result(
        &mut self,
        hosts: &BTreeSet<HostId>,
        wave: u64,
        result: &WriteResult,
        now: Steady,
    ) {
        for host in hosts {
            self.marks.note_batch_result(host, result, now);
        }
        if self.note_wave_result(wave, result, now) {
            self.waves.entry(wave).or_default().maintained.extend(hosts.iter().cloned());
        }
    }

    /// Records the result of writing a report.
    pub(super) fn note_report_result(
        &mut self,
        wave: u64,
        done: bool,
        result: &WriteResult,
        now: Steady,
    ) {
        if self.note_wave_result(wave, result, now) {
            let writes = self.waves.entry(wave).or_default();
            writes.begin_reported = true;
            writes.done_reported |= done;
        }
    }

    /// Records the result of a write of a wave, and returns whether it was committed.
    fn note_wave_result(&mut self, wave: u64, result: &WriteResult, now: Steady) -> bool {
        let writes = self.waves.entry(wave).or_default();
        writes.in_flight = false;
        let done = matches!(result, WriteResult::Done(_));
        if !done {
            writes.retry_at = now.after(WRITE_RETRY_MS);
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

/// The count of a pool, or 0 if it has none.
pub(super) fn count_of(counts: &BTreeMap<&PoolId, usize>, pool: &PoolId) -> usize {
    counts.get(pool).copied().unwrap_or_default()
}
