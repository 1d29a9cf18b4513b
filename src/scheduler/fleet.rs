//! Feeds the owner of the fleet's work with what is known, and carries out what it wants done.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    jobs::fleet::{Demand, Fleet, FleetEffect, Leave, Scene},
    model::{
        id::{HostId, PoolId, WorkerId},
        queue::QueueConfig,
        unit::{Now, Revision, Time},
        worker::Upkeep,
    },
    platform::{
        kv::{Committed, TXN_ENTRIES, Txn},
        machines::HostCall,
        records,
    },
    scheduler::{
        demand,
        drive::{Drive, Input, OwnedFleet, SUMMARY_MS, json},
        keys,
        view::{CalledRecord, View, WaveRecord},
    },
};

/// How often the fleet's owner decides, in milliseconds.
const PLAN_MS: u64 = 100;

/// How far the nodes' clocks may differ.
const CLOCKS_DIFFER: std::time::Duration = std::time::Duration::from_millis(500);

/// How long after the record of a call the call itself may be made, in milliseconds.
const CALL_AFTER_MS: u64 = 500;

/// Hosts whose marks are taken away in one transaction, beside the record of their wave: each has
/// two. The marks of others go once the record shows.
const UNMARK_BATCH: usize = (TXN_ENTRIES - 3) / 2;

/// What is copied from the view for one decision.
struct Known {
    config: std::sync::Arc<QueueConfig>,
    demands: BTreeMap<PoolId, Demand>,
    leaves: BTreeMap<HostId, Leave>,
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
        let Some(OwnedFleet { fleet, .. }) = self.fleet.as_mut() else {
            return;
        };
        let handover = self.node.settings.platform.handover + CLOCKS_DIFFER;
        let Some(mut known) = known(&self.node.view(), now.wall) else {
            return;
        };
        known.resting = resting(&self.node.view(), fleet.token, now.wall.before(handover));
        let scene = Scene {
            config: &known.config,
            demands: &known.demands,
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
        for effect in effects {
            self.carry_out_fleet(effect, token, now);
        }
    }

    /// The owner of the fleet's work, if it is still the one of an earlier decision.
    pub(super) fn fleet_under(&mut self, token: u64) -> Option<&mut Fleet> {
        self.fleet.as_mut().map(|owned| &mut owned.fleet).filter(|fleet| fleet.token == token)
    }

    fn carry_out_fleet(&self, effect: FleetEffect, token: u64, now: Now) {
        let guard = Txn::default().expect(keys::owner(keys::FLEET), Revision(token));
        match effect {
            FleetEffect::List => self.list_hosts(token, now),
            FleetEffect::Mark(host, leave) => {
                log::info!("host {host}: to be emptied: {leave:?}");
                let key = keys::leave(&host);
                let txn = guard.expect(key.clone(), Revision(0)).put(key, json(&leave));
                self.write(txn, format!("host {host}: mark"));
            }
            FleetEffect::Unmark(host) => {
                let txn = guard.remove(keys::leave(&host)).remove(keys::empty(&host));
                self.write(txn, format!("host {host}: unmark"));
            }
            FleetEffect::Maintained(hosts, wave) => {
                let mut record = self.wave_record(wave);
                let key = keys::wave(wave);
                let mut txn = guard.expect(key.clone(), record.revision);
                for host in hosts.iter().take(UNMARK_BATCH) {
                    txn = txn.remove(keys::leave(host)).remove(keys::empty(host));
                }
                for host in hosts {
                    log::info!("host {host}: maintained for wave {wave}");
                    record.value.hosts.insert(host);
                }
                let txn = txn.put(key, json(&record.value));
                self.write(txn, format!("wave {wave}: maintained"));
            }
            FleetEffect::Report(wave, done) => {
                log::info!("wave {wave}: {}", if done { "done" } else { "begun" });
                let status = records::wave_status(done);
                let mut txn = guard.put(records::wave_status_key(wave), status);
                if done {
                    let mut record = self.wave_record(wave);
                    record.value.reported = true;
                    let key = keys::wave(wave);
                    txn = txn.expect(key.clone(), record.revision).put(key, json(&record.value));
                }
                self.write(txn, format!("wave {wave}: report"));
            }
            FleetEffect::Maintain(host, wave) => self.call_host(token, host, Leave::Upkeep(wave)),
            FleetEffect::Move(host, pool) => self.call_host(token, host, Leave::Move(pool)),
        }
    }

    fn wave_record(&self, wave: u64) -> crate::scheduler::view::At<WaveRecord> {
        let known = self.node.view().waves.get(&wave).cloned();
        known.unwrap_or(crate::scheduler::view::At {
            value: WaveRecord::default(),
            revision: Revision(0),
        })
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
                let _ = to.send(Input::HostCalled { token, host, leave, begun: Some(false) });
                return;
            }
            let end = match &leave {
                Leave::Upkeep(wave) => machines.maintain(&host, *wave, token).await,
                Leave::Move(pool) => machines.move_to(&host, pool, token).await,
            };
            log::info!("host {host}: {leave:?}: {end:?}");
            let begun = match end {
                HostCall::Done => Some(true),
                HostCall::Unknown | HostCall::Busy | HostCall::Limited => None,
                HostCall::Refused | HostCall::Invalid => Some(false),
            };
            let _ = to.send(Input::HostCalled { token, host, leave, begun });
        });
    }

    fn write(&self, txn: Txn, what: String) {
        let node = self.node.clone();
        tokio::spawn(async move {
            match node.kv.commit(&txn).await {
                Ok(Committed::Done(_)) => {}
                // The next decision sees how it is and decides anew.
                Ok(other) => log::debug!("{what}: {other:?}"),
                Err(error) => log::warn!("{what}: not written: {error}"),
            }
        });
    }
}

/// Hosts that another owner has moved or maintained since a moment.
fn resting(view: &View, token: u64, since: Time) -> BTreeSet<HostId> {
    let lately = |at: &&CalledRecord| at.token != token && since < at.at;
    let called = view.called.iter().filter(|(_, at)| lately(&&at.value));
    called.map(|(host, _)| host.clone()).collect()
}

fn known(view: &View, wall: Time) -> Option<Known> {
    let config = view.config.clone()?;
    let demands = demand::of_pools(view, &config, wall);
    let marks = |at: &crate::scheduler::view::At<Leave>| at.value.clone();
    Some(Known {
        config,
        demands,
        leaves: view.leaves.iter().map(|(host, at)| (host.clone(), marks(at))).collect(),
        empties: view
            .empties
            .iter()
            .filter(|(host, at)| {
                view.leaves.get(*host).is_some_and(|mark| mark.revision == at.value.mark)
            })
            .map(|(host, at)| (host.clone(), at.value.worker.clone()))
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
