//! Availability zones at a node that owns pools: reads the evacuations when the watch is silent,
//! checks starts once more when they are sent, and reports how zones empty.

use std::collections::{BTreeMap, BTreeSet};

use super::{ControlLoop, SUMMARY_MS};
use crate::{
    jobs::{event::Effect, owner::ZoneUse, start::eligible},
    model::{
        id::ZoneId,
        unit::{Now, Steady},
        zone::{Evacuation, Zones},
    },
    platform::{kv::Change, records::EVACUATION_PREFIX},
    scheduler::{
        Node,
        view::{
            Delta, View,
            age::Extent,
            zones::{READ_TIMEOUT, StartAge},
        },
    },
};

use tokio::time::timeout;

/// What was logged about the zones.
#[derive(Default)]
pub(super) struct ZoneLog {
    next_warning: Steady,
    next_report: Steady,
    /// Evacuated zones where no short task of a pool runs any more, by pool.
    without_short: BTreeSet<(String, ZoneId)>,
    /// The same for long-running tasks.
    without_long_running: BTreeSet<(String, ZoneId)>,
}

impl ControlLoop {
    fn start_age(&self) -> Option<StartAge> {
        self.node.settings.zones.evacuation.map(StartAge::within)
    }

    /// What starts are decided by now. Reads the evacuations first if they are too old.
    pub(super) fn start_zones(&mut self, now: Steady) -> Zones {
        let limits = self.start_age();
        let mut view = self.node.view();
        if let Some(limits) = limits.filter(|_| !self.owned.is_empty()) {
            let age = view.evacuations_age_ms(now);
            if view.zones.try_begin_read(age, limits, now) {
                let (node, inputs) = (self.node.clone(), self.inputs.clone());
                tokio::spawn(async move {
                    let deltas = read_evacuations(&node).await;
                    // The receiver only ends with the process.
                    let _ = inputs.send(super::Input::Deltas(deltas));
                });
            }
        }
        let zones = view.start_zones(limits, now);
        let age = view.evacuations_age_ms(now);
        drop(view);
        if zones.outdated && !self.owned.is_empty() && self.zone_log.next_warning <= now {
            self.zone_log.next_warning = now.after(SUMMARY_MS);
            log::warn!("zones: nothing starts: the operator's records are {age:?} ms old");
        }
        zones
    }

    /// Returns a check of whether an order may still be sent by what is known of zones then. Only
    /// starts depend on it.
    pub(super) fn zone_check(
        &self,
        name: &str,
        effect: &Effect,
        decided: Steady,
    ) -> impl Fn() -> bool + Send + 'static {
        let owner = self.owned.get(name).map(|owned| &owned.owner);
        let start = match (effect, owner) {
            (Effect::Start { to, start }, Some(owner)) => {
                owner.zone_of(&to.worker).map(|zone| (zone.clone(), owner.is_gang(start.task.of)))
            }
            _ => None,
        };
        let (node, limits) = (self.node.clone(), self.start_age());
        move || {
            let Some((zone, is_gang)) = &start else {
                return true;
            };
            let now = node.now().steady;
            let zones = node.view().start_zones(limits, now);
            eligible::may_still_start(&zones, zone, *is_gang, decided, now)
        }
    }

    /// Logs an evacuation that became known.
    pub(super) fn note_evacuated(&self, zone: &ZoneId, now: Steady) {
        let view = self.node.view();
        let Some(evacuation) = view.zones.evacuated().get(zone) else {
            return;
        };
        if view.is_complete() && !is_known(&view, zone) {
            log::warn!("zone {zone}: evacuated at {}: no worker is there", evacuation.revision);
            return;
        }
        let age = view.evacuations_age_ms(now).unwrap_or_default();
        let revision = evacuation.revision;
        drop(view);
        let ZoneUse { workers, short, long_running } = self.zone_use(zone);
        log::info!(
            "zone {zone}: evacuated at {revision}, records {age} ms old; own pools have {workers} \
             workers, {short} short and {long_running} long-running tasks there"
        );
    }

    /// Logs that an evacuation was taken back.
    pub(super) fn note_reopened(&mut self, zone: &ZoneId, evacuation: Evacuation, now: Steady) {
        self.zone_log.without_short.retain(|(_, other)| other != zone);
        self.zone_log.without_long_running.retain(|(_, other)| other != zone);
        let ZoneUse { workers, short, long_running } = self.zone_use(zone);
        log::info!(
            "zone {zone}: open again after {} ms, evacuated at {}; own pools have {workers} \
             workers, {short} short and {long_running} long-running tasks there",
            now.since(evacuation.since),
            evacuation.revision
        );
    }

    /// What the owned pools have in a zone.
    fn zone_use(&self, zone: &ZoneId) -> ZoneUse {
        let mut sum = ZoneUse::default();
        for owned in self.owned.values() {
            let zone_use = owned.owner.zone_uses().get(zone).copied().unwrap_or_default();
            sum.add(zone_use);
        }
        sum
    }

    /// Logs which pools have left an evacuated zone, and sets the gauges, at intervals.
    pub(super) fn report_zones(&mut self, zones: &Zones, now: Now) {
        if now.steady < self.zone_log.next_report {
            return;
        }
        self.zone_log.next_report = now.steady.after(ZONE_REPORT_MS);
        let mut sums = BTreeMap::<ZoneId, ZoneUse>::new();
        for (name, owned) in &self.owned {
            for (zone, zone_use) in owned.owner.zone_uses() {
                sums.entry(zone.clone()).or_default().add(zone_use);
                let Some(evacuation) = zones.evacuated.get(zone) else {
                    continue;
                };
                let elapsed = now.steady.since(evacuation.since);
                let key = (name.clone(), zone.clone());
                if zone_use.short == 0 && self.zone_log.without_short.insert(key.clone()) {
                    log::info!(
                        "owner {name}: zone {zone}, evacuated at {}: no short task runs there \
                         after {elapsed} ms, on {} workers",
                        evacuation.revision,
                        zone_use.workers
                    );
                }
                if zone_use.long_running == 0 && self.zone_log.without_long_running.insert(key) {
                    log::info!(
                        "owner {name}: zone {zone}, evacuated at {}: no long-running task runs \
                         there after {elapsed} ms",
                        evacuation.revision
                    );
                }
            }
        }
        self.node.metrics.set_zones(&sums, zones);
    }
}

/// Interval between two reports of the zones, in milliseconds.
const ZONE_REPORT_MS: u64 = 250;

/// Whether a worker is in a zone.
fn is_known(view: &View, zone: &ZoneId) -> bool {
    view.workers.values().any(|at| at.value.zone == *zone)
}

/// Reads the evacuations into the view and returns what has changed.
async fn read_evacuations(node: &Node) -> Vec<Delta> {
    let sent = node.now().steady;
    let call = node.view().ages.start_call(sent);
    let answer = timeout(READ_TIMEOUT, node.kv.range(EVACUATION_PREFIX)).await;
    let mut view = node.view();
    let (items, at) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return note_failure(&mut view, &error),
        Err(elapsed) => return note_failure(&mut view, &elapsed),
    };
    let present: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    let gone = view.zones.evacuated().keys().map(|zone| format!("{EVACUATION_PREFIX}{zone}"));
    let gone: Vec<Change> = gone
        .filter(|key| !present.contains(key.as_str()))
        .map(|key| Change { key, revision: at, value: None })
        .collect();
    let written = items.into_iter().map(|item| Change {
        key: item.key,
        revision: item.revision,
        value: Some(item.value),
    });
    let changes = gone.into_iter().chain(written).collect();
    let deltas = view.apply_part(call, changes);
    view.ages.note_revision(sent, at);
    view.ages.note_answer(EVACUATION_PREFIX, call, Extent::Changes(at));
    view.zones.note_read(true);
    deltas
}

fn note_failure(view: &mut View, error: &dyn std::fmt::Display) -> Vec<Delta> {
    log::warn!("zones: evacuations cannot be read, starts go on by what is known: {error}");
    view.zones.note_read(false);
    Vec::new()
}
