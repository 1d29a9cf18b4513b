//! Learns which paths reach the workers of each availability zone, and probes those that failed.

use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use super::ControlLoop;
use crate::{
    jobs::{
        delegates,
        event::Effect,
        reach::{Helper, PathChange, PathEnd, Probe, Reach, Target},
        start::route::Caller,
    },
    model::{
        id::{Incarnation, ZoneId},
        unit::Steady,
    },
    scheduler::{
        dispatch::{
            call::call,
            link::{Outgoing, path_end},
        },
        view::{NodeRecord, Versioned},
    },
};

/// Most zones that have metrics of their own.
const MAX_ZONE_LABELS: usize = 32;

/// The name of all other zones in metrics.
const OTHER_ZONES: &str = "other";

impl ControlLoop {
    pub(super) fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether paths by way of third nodes are used: only where the loss of a zone is tolerated.
    fn learns_paths(&self) -> bool {
        self.node.settings.zones.tolerated_losses != 0
    }

    /// A worker as the target of calls.
    pub(super) fn target(&self, worker: &Incarnation) -> Target {
        let zone = self.learns_paths().then(|| {
            let view = self.node.view();
            view.workers.get(&worker.worker).map(|at| at.value.zone.clone())
        });
        Target { worker: worker.clone(), zone: zone.flatten() }
    }

    /// Returns a function that records how a call of a worker ended, by the outcome of its order.
    pub(super) fn path_recorder(
        &self,
        caller: Caller,
        target: Target,
    ) -> impl FnOnce(PathEnd, &'static str) + Send + 'static {
        let (reach, node) = (self.reach.clone(), self.node.clone());
        move |end, outcome| {
            let end = match end {
                // Without other paths, the owner's node is the next one to call the worker.
                PathEnd::LinkFailed if target.zone.is_none() && outcome == "unanswered" => {
                    PathEnd::Unanswered
                }
                end => end,
            };
            let mut reach = reach.lock().unwrap_or_else(PoisonError::into_inner);
            reach.note(&caller, &target, end, node.now().steady);
        }
    }

    /// Counts an order that does not take its usual path.
    pub(super) fn count_detour(&self, target: &Target) {
        if let Some(zone) = &target.zone {
            self.node.metrics.record_detour(self.zone_label(zone));
        }
    }

    /// The name of a zone for metrics.
    fn zone_label<'a>(&self, zone: &'a ZoneId) -> &'a str {
        let is_counted = self.node_counts.contains_key(zone.as_str());
        if is_counted { zone.as_str() } else { OTHER_ZONES }
    }

    /// Tells which nodes may make calls, and sends the probes that are due.
    pub(super) fn refresh_reach(&mut self, now: Steady) {
        // Faults of delegates count without zones, too.
        let helpers = self.helpers();
        let owned = &self.owned;
        let is_present = |worker: &Incarnation| {
            owned.values().any(|owned| owned.owner.addressee(worker).is_some())
        };
        let mut reach = self.reach();
        reach.set_max_direct(delegates::max_direct(self.node.settings.cpu));
        reach.refresh(helpers, is_present, now);
        let (probes, changes) = (reach.take_probes(now), reach.take_changes());
        drop(reach);
        for change in changes {
            match change {
                PathChange::Left { zone, failed, by } => {
                    self.node.metrics.record_path_change(self.zone_label(&zone), "left");
                    log::warn!("zone {zone}: its workers do not answer {failed}, but {by}");
                }
                PathChange::Back { zone, by } => {
                    self.node.metrics.record_path_change(self.zone_label(&zone), "back");
                    log::info!("zone {zone}: its workers answer {by} again");
                }
            }
        }
        for probe in probes {
            self.probe(probe, now);
        }
    }

    /// Counts the known nodes by zone. A zone without nodes stays, with none.
    pub(super) fn count_nodes(&mut self) {
        self.node_counts.values_mut().for_each(|count| *count = 0);
        let view = self.node.view();
        for zone in view.nodes.values().filter_map(|at| at.value.zone.as_ref()) {
            let is_known = self.node_counts.contains_key(zone.as_str());
            let label = if is_known || self.node_counts.len() < MAX_ZONE_LABELS {
                zone.as_str()
            } else {
                OTHER_ZONES
            };
            *self.node_counts.entry(label.to_owned()).or_default() += 1;
        }
        drop(view);
        self.node.metrics.set_nodes(&self.node_counts);
    }

    /// The nodes that may make calls for this one.
    fn helpers(&self) -> Vec<Helper> {
        let view = self.node.view();
        let own_name = self.node.settings.node.as_str();
        let owns = |name: &str| view.owners.values().any(|owner| owner.value.node == name);
        let others = view.nodes.iter().filter(|(name, _)| *name != own_name);
        let reachable = others.filter(|(_, at)| at.value.peers.is_some());
        let helper = |(name, at): (&String, &Versioned<NodeRecord>)| Helper {
            name: name.clone(),
            zone: at.value.zone.clone(),
            owns: owns(name),
        };
        reachable.map(helper).collect()
    }

    /// Polls a worker only to learn whether a path works: the poll acknowledges and renews nothing,
    /// and the owner does not receive its result.
    fn probe(&mut self, probe: Probe, now: Steady) {
        let Probe { caller, worker } = probe;
        let found = self.owned.iter().find_map(|(name, owned)| {
            let ids = owned.owner.worker_ids();
            let worker = worker.clone().or_else(|| ids.into_iter().next())?;
            Some((name.clone(), owned.owner.addressee(&worker)?))
        });
        let Some((name, to)) = found else {
            return;
        };
        let target = self.target(&to.worker);
        let effect = Effect::Poll { to, acknowledged: 0, until_ms: None, wait: Duration::ZERO };
        let may_send = self.send_check(&name);
        let note_end = self.path_recorder(caller.clone(), target);
        match caller {
            Caller::Own => {
                let worker_client = self.worker_client.clone();
                tokio::spawn(async move {
                    if may_send() {
                        let answer = call(&worker_client, &effect).await;
                        note_end(path_end(&answer), "probed");
                    }
                });
            }
            Caller::Node(node) => {
                let address = self.node.view().nodes.get(&node).and_then(|at| at.value.peers);
                if let Some(address) = address {
                    let on_result = Box::new(move |_, end| note_end(end, "probed"));
                    let may_send = Box::new(may_send);
                    let order = Outgoing { effect, sent: now, may_send, on_result };
                    self.outbox.entry(address).or_default().push(order);
                }
            }
        }
    }
}
