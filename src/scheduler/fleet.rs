//! Feeds the owner of the fleet's work with what is known, and carries out what it wants done.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    jobs::fleet::{CallEnd, Demand, Fleet, FleetEffect, Leave, Mark, Scene, WriteEnd},
    model::{
        id::{HostId, PoolId, WorkerId},
        queue::QueueConfig,
        unit::{Now, Revision, Steady, Time},
        worker::Upkeep,
    },
    platform::{
        kv::{Committed, Item, TXN_ENTRIES, Txn},
        machines::HostCall,
        records,
    },
    scheduler::{
        demand::Demands,
        drive::{Drive, Input, OwnedFleet, SUMMARY_MS, json},
        keys,
        view::{At, CalledRecord, View, WaveRecord},
    },
};

/// How often the fleet's owner decides, in milliseconds.
const PLAN_MS: u64 = 100;

/// For how many times as long as a plan took none is made after it. Plans take a quarter of the
/// node's time at the most: with 100 ms for each, ten a second, a node took in nothing else and
/// decided on a state of 6 to 9 s before.
const PLAN_REST: u64 = 3;

/// How far the nodes' clocks may differ.
const CLOCKS_DIFFER: std::time::Duration = std::time::Duration::from_millis(500);

/// How long after the record of a call the call itself may be made, in milliseconds.
const CALL_AFTER_MS: u64 = 500;

/// Hosts that are marked by one transaction: each has a condition and a write, beside the condition
/// that this node is the owner.
const MARK_BATCH: usize = (TXN_ENTRIES - 1) / 2;

/// Hosts whose marks are taken away by one: each has a condition and two records.
const UNMARK_BATCH: usize = (TXN_ENTRIES - 1) / 3;

/// What is copied from the view for one decision.
struct Known {
    config: std::sync::Arc<QueueConfig>,
    demands: BTreeMap<PoolId, Demand>,
    known: Revision,
    leaves: BTreeMap<HostId, Mark>,
    empties: BTreeMap<HostId, WorkerId>,
    upkeeps: Vec<Upkeep>,
    maintained: BTreeMap<u64, BTreeSet<HostId>>,
    reported: BTreeSet<u64>,
    idle: BTreeSet<HostId>,
    light: Vec<HostId>,
    busy: Vec<HostId>,
    resting: BTreeSet<HostId>,
}

impl Drive {
    /// Decides for the fleet, if this node owns that work and it is time.
    pub(super) fn fleet_step(&mut self, now: Now) {
        if now.steady < self.next_fleet {
            return;
        }
        if !self.fleet.as_ref().is_some_and(|owned| owned.tenure.holds(now.steady)) {
            return;
        }
        self.next_fleet = now.steady.after(PLAN_MS);
        if !self.may_plan(now) {
            return;
        }
        let began = Instant::now();
        self.plan_fleet(now);
        self.next_fleet = next_plan(now.steady, began.elapsed());
    }

    fn plan_fleet(&mut self, now: Now) {
        let Some(OwnedFleet { fleet, demands, .. }) = self.fleet.as_mut() else {
            return;
        };
        let handover = self.node.settings.platform.handover + CLOCKS_DIFFER;
        let Some(mut known) = known(&self.node.view(), demands, now.wall) else {
            return;
        };
        known.resting = resting(&self.node.view(), fleet.token, now.wall.before(handover));
        let scene = Scene {
            config: &known.config,
            demands: &known.demands,
            known: known.known,
            leaves: &known.leaves,
            empties: &known.empties,
            upkeeps: &known.upkeeps,
            maintained: &known.maintained,
            reported: &known.reported,
            idle: &known.idle,
            light: &known.light,
            busy: &known.busy,
            resting: &known.resting,
        };
        let token = fleet.token;
        let effects = fleet.plan(&scene, now.steady);
        if self.next_fleet_summary <= now.steady {
            self.next_fleet_summary = now.steady.after(SUMMARY_MS);
            for pool in fleet.summary(&scene, now.steady) {
                log::info!("{pool}");
            }
        }
        let (mut marks, mut unmarks) = (Vec::new(), Vec::new());
        for effect in effects {
            match effect {
                FleetEffect::Mark(..) => marks.push(effect),
                FleetEffect::Unmark(..) => unmarks.push(effect),
                other => self.carry_out_fleet(other, token, now),
            }
        }
        for batch in marks.chunks(MARK_BATCH).chain(unmarks.chunks(UNMARK_BATCH)) {
            self.write_marks(batch, token);
        }
    }

    /// Takes note of how writes of the fleet's work ended.
    pub(super) fn fleet_written(
        &mut self,
        token: u64,
        ends: &[(FleetEffect, WriteEnd)],
        wave: Option<(u64, At<WaveRecord>)>,
        now: Now,
    ) {
        let owned = self.fleet.as_mut().filter(|owned| owned.fleet.token == token);
        let Some(owned) = owned else {
            return;
        };
        if let Some((number, record)) = wave {
            owned.waves.insert(number, record);
        }
        for (effect, end) in ends {
            owned.fleet.written(effect, end, now.steady);
        }
    }

    /// The owner of the fleet's work, if it is still the one of an earlier decision.
    pub(super) fn fleet_under(&mut self, token: u64) -> Option<&mut Fleet> {
        self.fleet.as_mut().map(|owned| &mut owned.fleet).filter(|fleet| fleet.token == token)
    }

    /// Writes marks, or takes them away, in one transaction.
    fn write_marks(&self, batch: &[FleetEffect], token: u64) {
        let mut txn = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
        for effect in batch {
            match effect {
                FleetEffect::Mark(host, leave) => {
                    log::info!("host {host}: to be emptied: {leave:?}");
                    let key = keys::leave(host);
                    txn = txn.expect(key.clone(), Revision(0)).put(key, json(leave));
                }
                FleetEffect::Unmark(host, mark) => {
                    // Under a condition: done late, it would take away a later mark.
                    let key = keys::leave(host);
                    txn = txn.expect(key.clone(), *mark).remove(key).remove(keys::empty(host));
                }
                FleetEffect::List
                | FleetEffect::Maintain(..)
                | FleetEffect::Move(..)
                | FleetEffect::Maintained(..)
                | FleetEffect::Report(..) => {}
            }
        }
        self.write(token, txn, batch.to_vec(), None);
    }

    fn carry_out_fleet(&self, effect: FleetEffect, token: u64, now: Now) {
        match effect {
            FleetEffect::List => self.list_hosts(token, now),
            FleetEffect::Mark(..) | FleetEffect::Unmark(..) => self.write_marks(&[effect], token),
            FleetEffect::Maintained(..) | FleetEffect::Report(..) => {
                self.write_wave(effect, token);
            }
            FleetEffect::Maintain(host, wave) => self.call_host(token, host, Leave::Upkeep(wave)),
            FleetEffect::Move(host, pool) => self.call_host(token, host, Leave::Move(pool)),
        }
    }

    /// Writes how far a wave is.
    fn write_wave(&self, effect: FleetEffect, token: u64) {
        let guard = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
        match &effect {
            FleetEffect::Maintained(hosts, wave) => {
                let mut record = self.wave_record(*wave);
                let key = keys::wave(*wave);
                let mut txn = guard.expect(key.clone(), record.revision);
                for host in hosts {
                    log::info!("host {host}: maintained for wave {wave}");
                    txn = txn.remove(keys::leave(host)).remove(keys::empty(host));
                    record.value.hosts.insert(host.clone());
                }
                let txn = txn.put(key, json(&record.value));
                let kept = Some((*wave, record.value));
                self.write(token, txn, vec![effect], kept);
            }
            FleetEffect::Report(wave, done) => {
                log::info!("wave {wave}: {}", if *done { "done" } else { "begun" });
                let status = records::wave_status(*done);
                let mut txn = guard.put(records::wave_status_key(*wave), status);
                let mut kept = None;
                if *done {
                    let mut record = self.wave_record(*wave);
                    record.value.reported = true;
                    let key = keys::wave(*wave);
                    txn = txn.expect(key.clone(), record.revision).put(key, json(&record.value));
                    kept = Some((*wave, record.value));
                }
                self.write(token, txn, vec![effect], kept);
            }
            FleetEffect::List
            | FleetEffect::Mark(..)
            | FleetEffect::Unmark(..)
            | FleetEffect::Maintain(..)
            | FleetEffect::Move(..) => {}
        }
    }

    /// The record of a wave that the next write builds on: the one that this owner wrote last, where
    /// the view does not show it yet.
    fn wave_record(&self, wave: u64) -> At<WaveRecord> {
        let shown = self.node.view().waves.get(&wave).cloned();
        let own = self.fleet.as_ref().and_then(|owned| owned.waves.get(&wave)).cloned();
        let newest = shown.into_iter().chain(own).max_by_key(|at| at.revision);
        newest.unwrap_or(At { value: WaveRecord::default(), revision: Revision(0) })
    }

    fn list_hosts(&self, token: u64, now: Now) {
        let (machines, to) = (self.machines.clone(), self.to.clone());
        tokio::spawn(async move {
            let hosts = machines.list().await;
            let _ = to.send(Input::HostList { token, sent: now.steady, hosts });
        });
    }

    fn call_host(&self, token: u64, host: HostId, leave: Leave) {
        let (machines, to, node) = (self.machines.clone(), self.to.clone(), self.node.clone());
        let tenure = self.fleet.as_ref().map(|owned| owned.tenure.clone());
        tokio::spawn(async move {
            // Kept first, so that a later owner leaves the host alone for a while, and under the
            // condition that there is none yet.
            let now = node.now();
            let record = CalledRecord { token, at: now.wall };
            let txn = Txn::default()
                .expect(keys::owner(keys::FLEET), Revision(token))
                .put(keys::called(&host), json(&record));
            let kept = matches!(node.kv.commit(&txn).await, Ok(Committed::Done(_)));
            // Meanwhile the process may have been paused.
            let late = CALL_AFTER_MS < node.now().steady.since(now.steady);
            let holds = tenure.is_some_and(|tenure| tenure.holds(node.now().steady));
            if !kept || late || !holds {
                log::info!(
                    "host {host}: {leave:?}: not called: kept {kept}, late {late}, holds {holds}"
                );
                let _ = to.send(Input::HostCalled { token, host, leave, end: CallEnd::NotBegun });
                return;
            }
            let end = match &leave {
                Leave::Upkeep(wave) => machines.maintain(&host, *wave, token).await,
                Leave::Move(pool) => machines.move_to(&host, pool, token).await,
            };
            log::info!("host {host}: {leave:?}: {end:?}");
            let end = match end {
                HostCall::Done => CallEnd::Begun,
                HostCall::Unknown | HostCall::Busy => CallEnd::Unknown,
                HostCall::Limited => CallEnd::Limited,
                HostCall::Refused | HostCall::Invalid => CallEnd::NotBegun,
            };
            let _ = to.send(Input::HostCalled { token, host, leave, end });
        });
    }

    /// Makes a write and tells how it ended, for each that it was made for; with it goes what it
    /// leaves of a wave.
    fn write(
        &self,
        token: u64,
        txn: Txn,
        effects: Vec<FleetEffect>,
        wave: Option<(u64, WaveRecord)>,
    ) {
        let (node, to) = (self.node.clone(), self.to.clone());
        tokio::spawn(async move {
            let (end, items) = match node.kv.commit(&txn).await {
                Ok(Committed::Done(revision)) => (WriteEnd::Done(revision), Vec::new()),
                Ok(Committed::Conflict(items)) => (WriteEnd::Refused(None), items),
                Ok(Committed::LeaseOver) => (WriteEnd::Lost, Vec::new()),
                Err(error) => {
                    log::warn!("fleet: {} not written: {error}", describe(&effects));
                    (WriteEnd::Lost, Vec::new())
                }
            };
            if matches!(end, WriteEnd::Refused(_)) {
                log::info!("fleet: {} refused", describe(&effects));
            }
            let kept = wave.and_then(|(number, record)| match &end {
                WriteEnd::Done(revision) => {
                    Some((number, At { value: record, revision: *revision }))
                }
                WriteEnd::Refused(_) => {
                    standing(&items, &keys::wave(number)).map(|record| (number, record))
                }
                WriteEnd::Lost => None,
            });
            let of = |effect: &FleetEffect| match (effect, &end) {
                (
                    FleetEffect::Mark(host, _) | FleetEffect::Unmark(host, _),
                    WriteEnd::Refused(_),
                ) => {
                    let mark = standing(&items, &keys::leave(host));
                    let mark = mark.map(|at| Mark { leave: at.value, revision: at.revision });
                    WriteEnd::Refused(mark)
                }
                _ => end.clone(),
            };
            let ends = effects.into_iter().map(|effect| (effect.clone(), of(&effect))).collect();
            let _ = to.send(Input::FleetWritten { token, ends, wave: kept });
        });
    }
}

/// What a write is for, for the log.
fn describe(effects: &[FleetEffect]) -> String {
    let first = effects.first().map(|first| format!("{first:?}")).unwrap_or_default();
    match effects.len() {
        0 | 1 => first,
        more => format!("{first} and {} more", more - 1),
    }
}

/// A record of ours as the store has it; nothing if there is none, or it is not understood.
fn standing<T: serde::de::DeserializeOwned>(items: &[Item], key: &str) -> Option<At<T>> {
    let item = items.iter().find(|item| item.key == key)?;
    let value = serde_json::from_slice(&item.value);
    let value = value.inspect_err(|error| log::error!("record {key}: not used: {error}"));
    Some(At { value: value.ok()?, revision: item.revision })
}

/// Hosts that another owner has moved or maintained since a moment.
fn resting(view: &View, token: u64, since: Time) -> BTreeSet<HostId> {
    let lately = |at: &&CalledRecord| at.token != token && since < at.at;
    let called = view.called.iter().filter(|(_, at)| lately(&&at.value));
    called.map(|(host, _)| host.clone()).collect()
}

/// When the next plan may be made after one that began at a moment and took so long.
pub(crate) fn next_plan(began: Steady, took: Duration) -> Steady {
    let took = took.as_micros().div_ceil(1_000) as u64;
    began.after(PLAN_MS.max(took.saturating_mul(1 + PLAN_REST)))
}

fn known(view: &View, demands: &mut Demands, wall: Time) -> Option<Known> {
    let config = view.config.clone()?;
    let demands = demands.of_pools(view, &config, wall);
    let mark = |at: &At<Leave>| Mark { leave: at.value.clone(), revision: at.revision };
    Some(Known {
        config,
        demands,
        known: view.known,
        leaves: view.leaves.iter().map(|(host, at)| (host.clone(), mark(at))).collect(),
        empties: view
            .empties
            .iter()
            .filter(|(host, at)| {
                view.leaves.get(*host).is_some_and(|mark| mark.revision == at.value.mark)
            })
            .map(|(host, at)| (host.clone(), at.value.worker.worker.clone()))
            .collect(),
        upkeeps: view.upkeeps.values().map(|at| at.value.clone()).collect(),
        maintained: view.waves.iter().map(|(wave, at)| (*wave, at.value.hosts.clone())).collect(),
        reported: view
            .waves
            .iter()
            .filter(|(_, at)| at.value.reported)
            .map(|(wave, _)| *wave)
            .collect(),
        resting: BTreeSet::new(),
        idle: view.usages.values().flat_map(|at| at.value.idle.iter().cloned()).collect(),
        light: view.usages.values().flat_map(|at| at.value.light.iter().cloned()).collect(),
        busy: view.usages.values().flat_map(|at| at.value.busy.iter().cloned()).collect(),
    })
}
