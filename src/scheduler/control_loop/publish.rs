//! What an owner publishes through the store for other nodes: which hosts are drained, how the
//! others are used, and how many jobs wait.

use std::collections::BTreeMap;

use super::{ControlLoop, Input, OverwriteResult, json, persist::commit, waiting_report::Counts};
use crate::{
    jobs::{event::Event, owner::DrainedHost},
    model::unit::{Now, Revision, Steady},
    platform::kv::Txn,
    scheduler::{keys, lease::Tenure, view::DrainedRecord},
};

/// Minimum time between two writes of the host usage, in milliseconds; it is only a hint.
const USAGE_PAUSE_MS: u64 = 300;

/// Minimum time between two writes that only request a confirmation, in milliseconds: one interval
/// of the control loop.
const CONFIRM_PAUSE_MS: u64 = 100;

/// How long a job may be absent from the view while workers list ends of its tasks, in
/// milliseconds: an accepted job is visible on every node within that time.
const ABSENT_JOB_MS: u64 = 3_000;

/// Time after which the record of a drained host is written again if the view does not show it, in
/// milliseconds.
const DRAINED_REPEAT_MS: u64 = 700;

impl ControlLoop {
    /// Publishes the drained hosts for the fleet's owner.
    pub(super) fn publish_drained_hosts(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let token = owned.owner.token;
        for drained in owned.owner.drained_hosts() {
            let host = drained.host.clone();
            let published = owned.published_drained.get(&host);
            let is_recent = |(previous, at): &(DrainedHost, Steady)| {
                *previous == drained && now.steady.since(*at) < DRAINED_REPEAT_MS
            };
            let is_visible = self.node.view().drained_hosts.get(&host).is_some_and(|at| {
                at.value.mark == drained.mark && at.value.worker == drained.worker
            });
            if is_visible || published.is_some_and(is_recent) {
                continue;
            }
            let record = DrainedRecord { worker: drained.worker.clone(), mark: drained.mark };
            let txn = Txn::default()
                .expect(keys::owner(name), Revision(token))
                .expect(keys::drain_mark(&host), drained.mark)
                .put(keys::drained(&host), json(&record));
            owned.published_drained.insert(host.clone(), (drained, now.steady));
            let (node, tenure) = (self.node.clone(), owned.tenure.clone());
            tokio::spawn(async move {
                if let Err(error) = commit(&node, &tenure, &txn).await {
                    log::warn!("host {host}: record that it is drained not written: {error}");
                }
            });
        }
    }

    /// Publishes the host usage for the fleet's owner, at intervals.
    pub(super) fn publish_usage(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_usage {
            return;
        }
        owned.next_usage = now.steady.after(USAGE_PAUSE_MS);
        let usage = owned.owner.usage();
        if owned.published_usage.as_ref() == Some(&usage) {
            return;
        }
        let (token, value) = (owned.owner.token, json(&usage));
        owned.published_usage = Some(usage);
        let tenure = owned.tenure.clone();
        self.write_hint(name, token, tenure, keys::usage(name), value);
    }

    /// Publishes how many jobs have not begun, for the nodes that do not mirror the jobs.
    pub(super) fn publish_report(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if !owned.waiting_report.may_be_due(now.steady) {
            return;
        }
        let queued = owned.owner.queued();
        if owned.waiting_report.is_due(&queued, now.steady) {
            self.send_report(name, queued, now);
        }
    }

    /// Writes a report on the condition that the previous accepted one is still the last, so that a
    /// delayed report cannot replace a later one.
    fn send_report(&mut self, name: &str, counts: Counts, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        owned.waiting_report.note_sent(now.steady);
        let (token, key) = (owned.owner.token, keys::queued(name));
        let load = owned.owner.load(now);
        if let Some(load) = &load {
            self.node.metrics.set_pool_load(name, load);
        }
        let txn = Txn::default()
            .expect(keys::owner(name), Revision(token))
            .expect(key.clone(), owned.waiting_report.revision)
            .put(key.clone(), json(&owned.waiting_report.to_record(counts.clone(), load)));
        let (node, tenure, sent) = (self.node.clone(), owned.tenure.clone(), now.steady);
        let (inputs, name) = (self.inputs.clone(), name.to_owned());
        tokio::spawn(async move {
            let result = OverwriteResult::of(commit(&node, &tenure, &txn).await, &key);
            let _ = inputs.send(Input::ReportWritten { name, token, counts, sent, result });
        });
    }

    pub(super) fn note_report_written(
        &mut self,
        name: &str,
        token: u64,
        (counts, sent): (Counts, Steady),
        result: &OverwriteResult,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        if owned.waiting_report.note_result(counts, sent, result, now.steady) {
            log::warn!("owner {name}: waiting report not written: {result:?}");
        }
    }

    /// Notifies the owner of unknown jobs that are over, among those whose ends workers list. A job
    /// with unreadable records is not over: it may become readable. A job that is absent from a
    /// view is not over either if the view is older than the listing of the end: the job may have
    /// been accepted between the two.
    pub(super) fn resolve_unknown_jobs(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get(name) else {
            return;
        };
        for (id, since) in owned.owner.unknown_jobs() {
            let view = self.node.view();
            let view_covers = view.ages.as_of(keys::ROOT).is_some_and(|as_of| since <= as_of);
            let is_over = match view.jobs.get(&id) {
                Some(job) => job.state().is_final(),
                None => view_covers && ABSENT_JOB_MS <= now.steady.since(since),
            };
            drop(view);
            if is_over {
                self.deliver(name, Event::JobOver(id), now);
            }
        }
    }

    /// Requests the store's confirmation that a pool has no later owner, if something waits for it.
    /// Any write on that condition confirms it, and usually one has just been made.
    pub(super) fn request_confirmation(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let was_suspended = owned.tenure.is_unconfirmed_since(self.node.clock.last_resumed());
        let is_needed = owned.owner.awaits_confirmation(now.steady)
            || owned.tenure.is_unconfirmed()
            || was_suspended;
        if !is_needed || now.steady < owned.next_confirmation {
            return;
        }
        owned.next_confirmation = now.steady.after(CONFIRM_PAUSE_MS);
        if owned.waiting_report.knows_jobs(now.steady) {
            let queued = owned.owner.queued();
            return self.send_report(name, queued, now);
        }
        // A report by an owner whose jobs are stale would look fresh, so the usage is written
        // instead.
        let (token, value) = (owned.owner.token, json(&owned.owner.usage()));
        let tenure = owned.tenure.clone();
        self.write_hint(name, token, tenure, keys::usage(name), value);
    }

    /// Like `request_confirmation`, for the fleet's work. It has no queues: the written record is
    /// empty and adds nothing to the counts for callers.
    pub(super) fn request_fleet_confirmation(&mut self, now: Now) {
        let Some(owned) = self.fleet.as_ref().filter(|owned| owned.tenure.is_unconfirmed()) else {
            return;
        };
        if now.steady < self.next_fleet_confirmation {
            return;
        }
        self.next_fleet_confirmation = now.steady.after(CONFIRM_PAUSE_MS);
        let (token, tenure) = (owned.fleet.token, owned.tenure.clone());
        let no_counts = BTreeMap::<String, usize>::new();
        self.write_hint(keys::FLEET, token, tenure, keys::queued(keys::FLEET), json(&no_counts));
    }

    /// Writes a hint, which other nodes may receive late or never, on the condition that there is
    /// no later owner.
    fn write_hint(&self, name: &str, token: u64, tenure: Tenure, key: String, value: Vec<u8>) {
        let txn = Txn::default().expect(keys::owner(name), Revision(token)).put(key.clone(), value);
        let node = self.node.clone();
        tokio::spawn(async move {
            if let Err(error) = commit(&node, &tenure, &txn).await {
                log::debug!("record {key}: not written: {error}");
            }
        });
    }
}
