//! What an owner tells other nodes by way of the store: which hosts are empty, how the others are
//! used, and how many jobs wait.

use std::collections::BTreeMap;

use super::{Drive, Input, OverwriteEnd, json, keep::commit, word::Counts};
use crate::{
    jobs::{event::Event, owner::Emptied},
    model::unit::{Now, Revision, Steady},
    platform::kv::Txn,
    scheduler::{keys, lease::Tenure, view::EmptyRecord},
};

/// The least time between two words on how hosts are used, in milliseconds: a hint only.
const USAGE_PAUSE_MS: u64 = 300;

/// The least time between two writes for the sake of a confirmation, in milliseconds: one tick of
/// the owner's loop.
const CONFIRM_PAUSE_MS: u64 = 100;

/// How long a job is waited for that workers list ends of and that the view does not show, in
/// milliseconds: what was accepted is shown on every node within that time.
const ABSENT_MS: u64 = 3_000;

/// How long after an empty host was told of it is told again if the view does not show it, in
/// milliseconds.
const EMPTY_AGAIN_MS: u64 = 700;

impl Drive {
    /// Tells the fleet's owner which hosts are empty.
    pub(super) fn tell_empty(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let token = owned.owner.token;
        for emptied in owned.owner.emptied() {
            let host = emptied.host.clone();
            let told = owned.told_empty.get(&host);
            let lately = |(was, at): &(Emptied, Steady)| {
                *was == emptied && now.steady.since(*at) < EMPTY_AGAIN_MS
            };
            let shown = self.node.view().empties.get(&host).is_some_and(|at| {
                at.value.mark == emptied.mark && at.value.worker == emptied.worker
            });
            if shown || told.is_some_and(lately) {
                continue;
            }
            let record = EmptyRecord { worker: emptied.worker.clone(), mark: emptied.mark };
            let txn = Txn::default()
                .expect(keys::owner(name), Revision(token))
                .expect(keys::leave(&host), emptied.mark)
                .put(keys::empty(&host), json(&record));
            owned.told_empty.insert(host.clone(), (emptied, now.steady));
            let (node, tenure) = (self.node.clone(), owned.tenure.clone());
            tokio::spawn(async move {
                if let Err(error) = commit(&node, &tenure, &txn).await {
                    log::warn!("host {host}: not told to be empty: {error}");
                }
            });
        }
    }

    /// Tells the fleet's owner now and then how the hosts are used.
    pub(super) fn tell_usage(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_usage {
            return;
        }
        owned.next_usage = now.steady.after(USAGE_PAUSE_MS);
        let usage = owned.owner.usage();
        if owned.told_usage.as_ref() == Some(&usage) {
            return;
        }
        let (token, value) = (owned.owner.token, json(&usage));
        owned.told_usage = Some(usage);
        let tenure = owned.tenure.clone();
        self.write_hint(name, token, tenure, keys::usage(name), value);
    }

    /// Tells the nodes that do not hear of jobs how many have not begun.
    pub(super) fn tell_queued(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if !owned.word.may_be_due(now.steady) {
            return;
        }
        let queued = owned.owner.queued();
        if owned.word.is_due(&queued, now.steady) {
            self.send_word(name, queued, now);
        }
    }

    /// Sends a word, on the condition that the one before is the last that was taken: one that is held
    /// up on its way does not undo a later one.
    fn send_word(&mut self, name: &str, counts: Counts, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        owned.word.sent(now.steady);
        let (token, key) = (owned.owner.token, keys::queued(name));
        let txn = Txn::default()
            .expect(keys::owner(name), Revision(token))
            .expect(key.clone(), owned.word.at)
            .put(key.clone(), json(&owned.word.record(counts.clone())));
        let (node, tenure, sent) = (self.node.clone(), owned.tenure.clone(), now.steady);
        let (to, name) = (self.to.clone(), name.to_owned());
        tokio::spawn(async move {
            let end = OverwriteEnd::of(commit(&node, &tenure, &txn).await, &key);
            let _ = to.send(Input::Worded { name, token, counts, sent, end });
        });
    }

    pub(super) fn worded(
        &mut self,
        name: &str,
        token: u64,
        (counts, sent): (Counts, Steady),
        end: &OverwriteEnd,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        if owned.word.ended(counts, sent, end, now.steady) {
            log::warn!("owner {name}: how many jobs wait was not taken: {end:?}");
        }
    }

    /// Tells an owner which of the jobs that it does not know, and of which workers list ends, are over.
    /// One whose records cannot be read is not: it may yet be told. Nor is one that is absent from a
    /// view that does not reach to when the end was listed: it was accepted before that.
    pub(super) fn tell_of_unknown(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get(name) else {
            return;
        };
        for (id, since) in owned.owner.unknown_jobs() {
            let view = self.node.view();
            let reaches = view.ages.as_of(keys::ROOT).is_some_and(|as_of| since <= as_of);
            let is_over = match view.jobs.get(&id) {
                Some(known) => known.state().is_final(),
                None => reaches && ABSENT_MS <= now.steady.since(since),
            };
            drop(view);
            if is_over {
                self.tell(name, Event::Over(id), now);
            }
        }
    }

    /// Has the store confirm that a pool has no later owner, where something waits for that: any
    /// write under that condition does, and most often one has just been made.
    pub(super) fn ask_confirmation(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let stood_still = owned.tenure.is_older_than(self.node.clock.woke());
        let waits = owned.owner.awaits_confirmation(now.steady)
            || owned.tenure.is_doubtful()
            || stood_still;
        if !waits || now.steady < owned.next_confirmation {
            return;
        }
        owned.next_confirmation = now.steady.after(CONFIRM_PAUSE_MS);
        if owned.word.is_known(now.steady) {
            let queued = owned.owner.queued();
            return self.send_word(name, queued, now);
        }
        // Written by one that knows too little of its jobs, a word would look new.
        let (token, value) = (owned.owner.token, json(&owned.owner.usage()));
        let tenure = owned.tenure.clone();
        self.write_hint(name, token, tenure, keys::usage(name), value);
    }

    /// The same for the fleet's work. It has no queues: what is written is empty, and adds nothing to
    /// what callers are told.
    pub(super) fn ask_fleet_confirmation(&mut self, now: Now) {
        let Some(owned) = self.fleet.as_ref().filter(|owned| owned.tenure.is_doubtful()) else {
            return;
        };
        if now.steady < self.next_fleet_confirmation {
            return;
        }
        self.next_fleet_confirmation = now.steady.after(CONFIRM_PAUSE_MS);
        let (token, tenure) = (owned.fleet.token, owned.tenure.clone());
        let none = BTreeMap::<String, usize>::new();
        self.write_hint(keys::FLEET, token, tenure, keys::queued(keys::FLEET), json(&none));
    }

    /// Writes what others may know late or not at all, as long as there is no later owner.
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
