//! Plans for the fleet from the view, if this node owns that work, and carries out the effects.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    jobs::fleet::{
        CallResult, Demand, DrainMark, FleetEffect, FleetOwner, FleetSnapshot, HostAction,
        WriteResult,
    },
    model::{
        id::{HostId, PoolId, WorkerId, ZoneId},
        queue::QueueConfig,
        unit::{Now, Revision, Steady, Time},
        worker::Upkeep,
    },
    platform::{
        kv::{CommitResult, Item, MAX_TXN_ENTRIES, Txn},
        machines::{HostCallResult, HostClient},
        records,
    },
    scheduler::{
        control_loop::{ControlLoop, Input, OwnedFleet, SUMMARY_MS, json},
        demand::Demands,
        keys,
        view::{HostCallRecord, Versioned, View, WaveRecord},
    },
};

/// How often the fleet's owner decides, in milliseconds.
const PLAN_MS: u64 = 100;

/// The pause after a plan, as a multiple of the time that it took: planning takes at most a quarter
/// of the node's time. With ten plans per second of 100 ms each, a node processes nothing else and
/// decides from a view 6 to 9 s old.
const PLAN_PAUSE_FACTOR: u64 = 3;

/// How far the clocks of two nodes may differ.
const MAX_CLOCK_SKEW: std::time::Duration = std::time::Duration::from_millis(500);

/// How long after writing the record of a call the call itself may be made, in milliseconds.
const MAX_CALL_DELAY_MS: u64 = 500;

/// Most hosts to mark in one transaction: each needs a condition and a write, beside the condition
/// that this node is the owner.
const MARK_BATCH: usize = (MAX_TXN_ENTRIES - 1) / 2;

/// Most hosts whose calls are recorded in one transaction, beside the condition.
const CALL_BATCH: usize = MAX_TXN_ENTRIES - 1;

/// Most hosts to unmark in one transaction: each needs a condition and two removals.
const UNMARK_BATCH: usize = (MAX_TXN_ENTRIES - 1) / 3;

/// Moves or maintains a host.
async fn call_host(
    host_client: &HostClient,
    token: u64,
    host: &HostId,
    action: &HostAction,
) -> CallResult {
    let answer = match action {
        HostAction::Upkeep(wave) => host_client.maintain(host, *wave, token).await,
        HostAction::Move(pool) => host_client.move_to(host, pool, token).await,
    };
    log::info!("host {host}: {action:?}: {answer:?}");
    match answer {
        HostCallResult::Done => CallResult::Begun,
        HostCallResult::Unknown | HostCallResult::Busy => CallResult::Unknown,
        HostCallResult::Limited => CallResult::RateLimited,
        HostCallResult::Refused | HostCallResult::Invalid => CallResult::NotBegun,
    }
}

/// Data copied from the view for one plan.
struct PlanInput {
    config: std::sync::Arc<QueueConfig>,
    demands: BTreeMap<PoolId, Demand>,
    view_revision: Revision,
    marks: BTreeMap<HostId, DrainMark>,
    drained: BTreeMap<HostId, WorkerId>,
    upkeeps: Vec<Upkeep>,
    maintained: BTreeMap<u64, BTreeSet<HostId>>,
    reported: BTreeSet<u64>,
    idle: BTreeSet<HostId>,
    light: Vec<HostId>,
    busy: Vec<HostId>,
    recently_called: BTreeSet<HostId>,
    evacuated: BTreeSet<ZoneId>,
}

impl ControlLoop {
    /// Plans for the fleet, if this node owns that work and a plan is due.
    pub(super) fn fleet_tick(&mut self, now: Now) {
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
        let took = began.elapsed();
        self.loop_load.note_plan(took);
        self.next_fleet = next_plan(now.steady, took);
    }

    fn plan_fleet(&mut self, now: Now) {
        let Some(OwnedFleet { fleet, demands, .. }) = self.fleet.as_mut() else {
            return;
        };
        let handover = self.node.settings.platform.handover + MAX_CLOCK_SKEW;
        let Some(mut input) = plan_input(&self.node.view(), demands, now.wall) else {
            return;
        };
        input.recently_called =
            recently_called(&self.node.view(), fleet.token, now.wall.before(handover));
        let snapshot = FleetSnapshot {
            config: &input.config,
            demands: &input.demands,
            view_revision: input.view_revision,
            marks: &input.marks,
            drained: &input.drained,
            upkeeps: &input.upkeeps,
            maintained: &input.maintained,
            reported: &input.reported,
            idle: &input.idle,
            light: &input.light,
            busy: &input.busy,
            recently_called: &input.recently_called,
            evacuated: &input.evacuated,
        };
        let token = fleet.token;
        let effects = fleet.plan(&snapshot, now.steady);
        if self.next_fleet_summary <= now.steady {
            self.next_fleet_summary = now.steady.after(SUMMARY_MS);
            for pool in fleet.summary(&snapshot, now.steady) {
                log::info!("{pool}");
            }
        }
        let (mut marks, mut unmarks, mut calls) = (Vec::new(), Vec::new(), Vec::new());
        for effect in effects {
            match effect {
                FleetEffect::Maintain(host, wave) => calls.push((host, HostAction::Upkeep(wave))),
                FleetEffect::Move(host, pool) => calls.push((host, HostAction::Move(pool))),
                FleetEffect::Mark(..) => marks.push(effect),
                FleetEffect::Unmark(..) => unmarks.push(effect),
                other => self.execute_fleet(other, token, now),
            }
        }
        for batch in marks.chunks(MARK_BATCH).chain(unmarks.chunks(UNMARK_BATCH)) {
            self.write_marks(batch, token);
        }
        for batch in calls.chunks(CALL_BATCH) {
            self.call_hosts(token, batch.to_vec());
        }
    }

    /// Handles the results of writes of the fleet's work.
    pub(super) fn note_fleet_write(
        &mut self,
        token: u64,
        results: &[(FleetEffect, WriteResult)],
        wave: Option<(u64, Versioned<WaveRecord>)>,
        now: Now,
    ) {
        let owned = self.fleet.as_mut().filter(|owned| owned.fleet.token == token);
        let Some(owned) = owned else {
            return;
        };
        if let Some((number, record)) = wave {
            owned.waves.insert(number, record);
        }
        for (effect, result) in results {
            owned.fleet.note_write_result(effect, result, now.steady);
        }
    }

    /// The owner of the fleet's work, if it still has this token.
    pub(super) fn fleet_under(&mut self, token: u64) -> Option<&mut FleetOwner> {
        self.fleet.as_mut().map(|owned| &mut owned.fleet).filter(|fleet| fleet.token == token)
    }

    /// Writes or removes drain marks in one transaction.
    fn write_marks(&self, batch: &[FleetEffect], token: u64) {
        let mut txn = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
        for effect in batch {
            match effect {
                FleetEffect::Mark(host, action) => {
                    log::info!("host {host}: marked as draining: {action:?}");
                    let key = keys::drain_mark(host);
                    txn = txn.expect(key.clone(), Revision(0)).put(key, json(action));
                }
                FleetEffect::Unmark(host, mark) => {
                    // The condition keeps a delayed write from removing a later mark.
                    let key = keys::drain_mark(host);
                    txn = txn.expect(key.clone(), *mark).remove(key).remove(keys::drained(host));
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

    fn execute_fleet(&self, effect: FleetEffect, token: u64, now: Now) {
        match effect {
            FleetEffect::List => self.list_hosts(token, now),
            FleetEffect::Mark(..) | FleetEffect::Unmark(..) => self.write_marks(&[effect], token),
            FleetEffect::Maintained(..) | FleetEffect::Report(..) => {
                self.write_wave(effect, token);
            }
            FleetEffect::Maintain(host, wave) => {
                self.call_hosts(token, vec![(host, HostAction::Upkeep(wave))]);
            }
            FleetEffect::Move(host, pool) => {
                self.call_hosts(token, vec![(host, HostAction::Move(pool))]);
            }
        }
    }

    /// Writes the progress of a wave.
    fn write_wave(&self, effect: FleetEffect, token: u64) {
        let guard = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
        match &effect {
            FleetEffect::Maintained(hosts, wave) => {
                let mut record = self.wave_record(*wave);
                let key = keys::wave(*wave);
                let mut txn = guard.expect(key.clone(), record.revision);
                for host in hosts {
                    log::info!("host {host}: maintained for wave {wave}");
                    txn = txn.remove(keys::drain_mark(host)).remove(keys::drained(host));
                    record.value.hosts.insert(host.clone());
                }
                let txn = txn.put(key, json(&record.value));
                let written = Some((*wave, record.value));
                self.write(token, txn, vec![effect], written);
            }
            FleetEffect::Report(wave, done) => {
                log::info!("wave {wave}: {}", if *done { "done" } else { "begun" });
                let status = records::wave_status(*done);
                let mut txn = guard.put(records::wave_status_key(*wave), status);
                let mut written = None;
                if *done {
                    let mut record = self.wave_record(*wave);
                    record.value.reported = true;
                    let key = keys::wave(*wave);
                    txn = txn.expect(key.clone(), record.revision).put(key, json(&record.value));
                    written = Some((*wave, record.value));
                }
                self.write(token, txn, vec![effect], written);
            }
            FleetEffect::List
            | FleetEffect::Mark(..)
            | FleetEffect::Unmark(..)
            | FleetEffect::Maintain(..)
            | FleetEffect::Move(..) => {}
        }
    }

    /// The record of a wave on which the next write builds: the one that this owner wrote last, if
    /// the view does not have it yet.
    fn wave_record(&self, wave: u64) -> Versioned<WaveRecord> {
        let viewed = self.node.view().waves.get(&wave).cloned();
        let own = self.fleet.as_ref().and_then(|owned| owned.waves.get(&wave)).cloned();
        let newest = viewed.into_iter().chain(own).max_by_key(|at| at.revision);
        newest.unwrap_or(Versioned { value: WaveRecord::default(), revision: Revision(0) })
    }

    fn list_hosts(&self, token: u64, now: Now) {
        let (host_client, inputs) = (self.host_client.clone(), self.inputs.clone());
        tokio::spawn(async move {
            let hosts = host_client.list().await;
            let _ = inputs.send(Input::HostList { token, sent: now.steady, hosts });
        });
    }

    /// Records the calls of hosts together, and makes them.
    fn call_hosts(&self, token: u64, calls: Vec<(HostId, HostAction)>) {
        let (host_client, inputs, node) =
            (self.host_client.clone(), self.inputs.clone(), self.node.clone());
        let tenure = self.fleet.as_ref().map(|owned| owned.tenure.clone());
        tokio::spawn(async move {
            // The records are written first, under the condition that there is no later owner, so
            // that a later one does not call the hosts for a while.
            let now = node.now();
            let record = json(&HostCallRecord { token, at: now.wall });
            let mut txn = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
            for (host, _) in &calls {
                txn = txn.put(keys::called(host), record.clone());
            }
            let written = matches!(node.kv.commit(&txn).await, Ok(CommitResult::Done(_)));
            for (host, action) in calls {
                // The process may have been paused meanwhile.
                let late = MAX_CALL_DELAY_MS < node.now().steady.since(now.steady);
                let holds = tenure.as_ref().is_some_and(|tenure| tenure.holds(node.now().steady));
                let inputs = inputs.clone();
                if !written || late || !holds {
                    log::info!(
                        "host {host}: {action:?}: not called: record written {written}, late \
                         {late}, lease held {holds}"
                    );
                    let result = CallResult::NotBegun;
                    let _ = inputs.send(Input::HostCalled { token, host, action, result });
                    continue;
                }
                let host_client = host_client.clone();
                tokio::spawn(async move {
                    let result = call_host(&host_client, token, &host, &action).await;
                    let _ = inputs.send(Input::HostCalled { token, host, action, result });
                });
            }
        });
    }

    /// Commits a transaction and reports its result for each effect that it was made for, with the
    /// resulting record of the wave, if any.
    fn write(
        &self,
        token: u64,
        txn: Txn,
        effects: Vec<FleetEffect>,
        wave: Option<(u64, WaveRecord)>,
    ) {
        let (node, inputs) = (self.node.clone(), self.inputs.clone());
        tokio::spawn(async move {
            let (result, items) = match node.kv.commit(&txn).await {
                Ok(CommitResult::Done(revision)) => (WriteResult::Done(revision), Vec::new()),
                Ok(CommitResult::Conflict(items)) => (WriteResult::Refused(None), items),
                Ok(CommitResult::LeaseExpired) => (WriteResult::Unknown, Vec::new()),
                Err(error) => {
                    log::warn!("fleet: write of {} failed: {error}", describe(&effects));
                    (WriteResult::Unknown, Vec::new())
                }
            };
            if matches!(result, WriteResult::Refused(_)) {
                log::info!(
                    "fleet: write of {} refused: a condition does not hold",
                    describe(&effects)
                );
            }
            let written = wave.and_then(|(number, record)| match &result {
                WriteResult::Done(revision) => {
                    Some((number, Versioned { value: record, revision: *revision }))
                }
                WriteResult::Refused(_) => {
                    stored_record(&items, &keys::wave(number)).map(|record| (number, record))
                }
                WriteResult::Unknown => None,
            });
            let result_of = |effect: &FleetEffect| match (effect, &result) {
                (
                    FleetEffect::Mark(host, _) | FleetEffect::Unmark(host, _),
                    WriteResult::Refused(_),
                ) => {
                    let mark = stored_record(&items, &keys::drain_mark(host));
                    let mark = mark.map(|at| DrainMark { action: at.value, revision: at.revision });
                    WriteResult::Refused(mark)
                }
                _ => result.clone(),
            };
            let results =
                effects.into_iter().map(|effect| (effect.clone(), result_of(&effect))).collect();
            let _ = inputs.send(Input::FleetWritten { token, results, wave: written });
        });
    }
}

/// The effects that a write is made for, as text for the log.
fn describe(effects: &[FleetEffect]) -> String {
    let first = effects.first().map(|first| format!("{first:?}")).unwrap_or_default();
    match effects.len() {
        0 | 1 => first,
        more => format!("{first} and {} more", more - 1),
    }
}

/// One of the scheduler's records as the store has it; `None` if it is absent or cannot be read.
fn stored_record<T: serde::de::DeserializeOwned>(
    items: &[Item],
    key: &str,
) -> Option<Versioned<T>> {
    let item = items.iter().find(|item| item.key == key)?;
    let value = serde_json::from_slice(&item.value);
    let value = value.inspect_err(|error| log::error!("record {key}: ignored: {error}"));
    Some(Versioned { value: value.ok()?, revision: item.revision })
}

/// Hosts that another owner has moved or maintained since a given time.
fn recently_called(view: &View, token: u64, since: Time) -> BTreeSet<HostId> {
    let is_recent = |at: &&HostCallRecord| at.token != token && since < at.at;
    let called = view.host_calls.iter().filter(|(_, at)| is_recent(&&at.value));
    called.map(|(host, _)| host.clone()).collect()
}

/// When the next plan may be made, given the start and the duration of the last one.
pub(crate) fn next_plan(began: Steady, took: Duration) -> Steady {
    let took = took.as_micros().div_ceil(1_000) as u64;
    began.after(PLAN_MS.max(took.saturating_mul(1 + PLAN_PAUSE_FACTOR)))
}

fn plan_input(view: &View, demands: &mut Demands, wall: Time) -> Option<PlanInput> {
    let config = view.config.clone()?;
    let demands = demands.of_pools(view, &config, wall);
    let mark =
        |at: &Versioned<HostAction>| DrainMark { action: at.value.clone(), revision: at.revision };
    Some(PlanInput {
        config,
        demands,
        view_revision: view.known_revision,
        marks: view.drain_marks.iter().map(|(host, at)| (host.clone(), mark(at))).collect(),
        drained: view
            .drained_hosts
            .iter()
            .filter(|(host, at)| {
                view.drain_marks.get(*host).is_some_and(|mark| mark.revision == at.value.mark)
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
        recently_called: BTreeSet::new(),
        evacuated: view.zones.evacuated().keys().cloned().collect(),
        idle: view.usages.values().flat_map(|at| at.value.idle.iter().cloned()).collect(),
        light: view.usages.values().flat_map(|at| at.value.light.iter().cloned()).collect(),
        busy: view.usages.values().flat_map(|at| at.value.busy.iter().cloned()).collect(),
    })
}
