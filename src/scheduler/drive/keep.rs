//! What an owner has kept in the store for a later one: progress, and its roster.

use super::{Drive, Input, OverwriteEnd, Owned, SaveEnd, json};
use crate::{
    jobs::{event::Save, roster::RosterNote},
    model::{
        job::JobId,
        unit::{Now, Revision},
    },
    platform::{
        kv::{Committed, Item, TXN_ENTRIES, Txn},
        store::StoreError,
    },
    scheduler::{Node, keys, lease::Tenure},
};

/// Jobs in one transaction: each needs a condition and a write, beside the one of the owner.
const SAVE_BATCH: usize = (TXN_ENTRIES - 1) / 2;

/// Writes of one owner's progress that may be on their way at one time: with one, an owner kept a
/// thousand jobs a second at the most, and a peak changes more.
const MOST_SAVES: usize = 4;

/// The least time between two writes of one owner's progress, in milliseconds: ends that come
/// close together share one.
const SAVE_PAUSE_MS: u64 = 5;

/// How long after a write that failed the next is made, in milliseconds.
const SAVE_AGAIN_MS: u64 = 100;

/// The least time between two writes of what one pool's workers may hold, in milliseconds: hosts
/// that come or leave together share one, and a worker that comes waits so much longer at the most.
const ROSTER_PAUSE_MS: u64 = 20;

/// The least time between two removals of jobs that ended, in milliseconds: those that end close
/// together share one. A node that starts meanwhile reads some 70 jobs more at 145 a second; all
/// 2,400 jobs of half a day were 3.3 MB, and kept nodes with 10 Mbit/s seconds behind.
const REMOVE_PAUSE_MS: u64 = 500;

/// Workers' records in one transaction, beside two conditions and the record of those that are
/// silent.
const ROSTER_BATCH: usize = TXN_ENTRIES - 3;

impl Drive {
    /// A piece of work, if this node still owns it under the token of an earlier decision.
    pub(super) fn owned_under(&mut self, name: &str, token: u64) -> Option<&mut Owned> {
        self.owned.get_mut(name).filter(|owned| owned.owner.token == token)
    }

    pub(super) fn save(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_save {
            return;
        }
        let token = owned.owner.token;
        // Beside the first, only full ones: what comes close together shares one.
        while owned.saving == 0 || owned.saving < MOST_SAVES && SAVE_BATCH <= owned.owner.unsaved()
        {
            let saves = owned.owner.saves(SAVE_BATCH);
            if saves.is_empty() {
                return;
            }
            owned.saving += 1;
            let (node, to, name) = (self.node.clone(), self.to.clone(), name.to_owned());
            let tenure = owned.tenure.clone();
            tokio::spawn(async move {
                let end = write_progress(&node, &tenure, &name, token, &saves).await;
                let _ = to.send(Input::Saved { name, token, saves, end });
            });
        }
    }

    pub(super) fn saved(&mut self, name: &str, token: u64, saves: &[Save], end: SaveEnd, now: Now) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        owned.saving = owned.saving.saturating_sub(1);
        owned.next_save = now.steady.after(SAVE_PAUSE_MS);
        match end {
            SaveEnd::Done(revision) => {
                for ended in owned.owner.saved(saves, revision) {
                    self.node.metrics.job_ended(&ended.queue, ended.state, ended.took);
                }
            }
            SaveEnd::Rebase(places) => {
                for (place, revision) in places {
                    owned.owner.rebase(saves[place].job, revision);
                }
                owned.owner.not_saved(saves);
            }
            SaveEnd::Deposed => {
                log::warn!("owner {name}: token {token} is over");
                self.owned.remove(name);
            }
            SaveEnd::Failed => {
                owned.owner.not_saved(saves);
                owned.next_save = now.steady.after(SAVE_AGAIN_MS);
            }
        }
    }

    /// Keeps what the pool's workers may hold, for a later owner. One write at a time, each under
    /// the condition of the one before, so that none that was held up undoes a later one.
    pub(super) fn write_roster(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if owned.rostering || now.steady < owned.next_roster {
            return;
        }
        let Some(note) = owned.owner.roster_note(ROSTER_BATCH) else {
            // It is worked out over all workers: not with each decision.
            owned.next_roster = now.steady.after(ROSTER_PAUSE_MS);
            return;
        };
        owned.rostering = true;
        let (token, away_at) = (owned.owner.token, owned.away_at);
        let (node, to, name) = (self.node.clone(), self.to.clone(), name.to_owned());
        let tenure = owned.tenure.clone();
        tokio::spawn(async move {
            let end = write_note(&node, &tenure, &name, token, away_at, &note).await;
            let _ = to.send(Input::Rostered { name, token, note, end });
        });
    }

    pub(super) fn rostered(
        &mut self,
        name: &str,
        token: u64,
        note: &RosterNote,
        end: OverwriteEnd,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        owned.rostering = false;
        let full = note.changes() == ROSTER_BATCH;
        owned.next_roster = now.steady.after(if full { 0 } else { ROSTER_PAUSE_MS });
        match end {
            OverwriteEnd::Kept(revision) => {
                owned.away_at = revision;
                owned.owner.rostered(note, revision);
            }
            OverwriteEnd::Rebase(revision) => owned.away_at = revision,
            OverwriteEnd::Failed => owned.next_roster = now.steady.after(SAVE_AGAIN_MS),
        }
    }

    /// Removes what is kept of jobs beside their ends, once these are durable: what was handed in is
    /// most of what a node reads when it starts, and no caller is told of it.
    pub(super) fn remove_finished(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if owned.removing || now.steady < owned.next_removal {
            return;
        }
        let jobs = owned.owner.take_finished(TXN_ENTRIES);
        if jobs.is_empty() {
            return;
        }
        owned.removing = true;
        let token = owned.owner.token;
        let remove = |txn: Txn, id: &JobId| txn.remove(keys::job(&owned.pool, *id));
        let txn = jobs.iter().fold(Txn::default(), remove);
        let (node, to, name) = (self.node.clone(), self.to.clone(), name.to_owned());
        tokio::spawn(async move {
            let end = node.kv.commit(&txn).await;
            if let Err(error) = &end {
                log::info!("owner {name}: {} ended jobs not removed: {error}", jobs.len());
            }
            let done = matches!(end, Ok(Committed::Done(_)));
            let _ = to.send(Input::Removed { name, token, jobs, done });
        });
    }

    pub(super) fn removed(
        &mut self,
        name: &str,
        token: u64,
        jobs: Vec<JobId>,
        done: bool,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        owned.removing = false;
        let full = jobs.len() == TXN_ENTRIES;
        let pause = match (done, full) {
            (false, _) => SAVE_AGAIN_MS,
            (true, true) => 0,
            (true, false) => REMOVE_PAUSE_MS,
        };
        owned.next_removal = now.steady.after(pause);
        if !done {
            owned.owner.not_removed(jobs);
        }
    }
}

/// Writes what workers may hold under the condition that there is no later owner, and no write
/// since the one before.
async fn write_note(
    node: &Node,
    tenure: &Tenure,
    name: &str,
    token: u64,
    away_at: Revision,
    note: &RosterNote,
) -> OverwriteEnd {
    let away_key = keys::away(name);
    let mut txn = Txn::default()
        .expect(keys::owner(name), Revision(token))
        .expect(away_key.clone(), away_at)
        .put(away_key.clone(), json(&note.away));
    for report in &note.added {
        txn = txn.put(keys::roster(name, &report.id), json(report));
    }
    for worker in &note.dropped {
        txn = txn.remove(keys::roster(name, worker));
    }
    let end = OverwriteEnd::of(commit(node, tenure, &txn).await, &away_key);
    if matches!(end, OverwriteEnd::Failed) {
        log::warn!("owner {name}: roster not written");
    }
    end
}

/// Writes progress under the condition that there is no later owner.
async fn write_progress(
    node: &Node,
    tenure: &Tenure,
    name: &str,
    token: u64,
    saves: &[Save],
) -> SaveEnd {
    let owner_key = keys::owner(name);
    let mut txn = Txn::default().expect(owner_key.clone(), Revision(token));
    for save in saves {
        let key = keys::progress(save.job);
        txn = txn.expect(key.clone(), save.expects).put(key, save.value.clone());
    }
    let items = match commit(node, tenure, &txn).await {
        Ok(Committed::Done(revision)) => return SaveEnd::Done(revision),
        Ok(Committed::Conflict(items)) => items,
        Ok(Committed::LeaseOver) => return SaveEnd::Failed,
        Err(error) => {
            log::warn!("owner {name}: progress of {} jobs not written: {error}", saves.len());
            return SaveEnd::Failed;
        }
    };
    let owner = items.iter().find(|item| item.key == owner_key);
    if owner.is_none_or(|item| item.revision != Revision(token)) {
        return SaveEnd::Deposed;
    }
    // Only this owner writes there: another revision is that of a write without an answer.
    let moved = saves.iter().enumerate().filter_map(|(place, save)| {
        let key = keys::progress(save.job);
        let item = items.iter().find(|item| item.key == key)?;
        (item.revision != save.expects).then_some((place, item.revision))
    });
    SaveEnd::Rebase(moved.collect())
}

/// Does a write under the condition that the owner is still the owner, which is its first one. If it
/// was done, there was no later one when it was sent; if that condition failed, there is one now.
pub(super) async fn commit(
    node: &Node,
    tenure: &Tenure,
    txn: &Txn,
) -> Result<Committed, StoreError> {
    let sent = node.now().steady;
    let end = node.kv.commit(txn).await;
    match &end {
        Ok(Committed::Done(revision)) => {
            tenure.confirm(sent);
            node.view().ages.told(sent, *revision);
        }
        Ok(Committed::Conflict(items)) if denies_owner(txn, items) => tenure.deny(),
        Ok(Committed::Conflict(_) | Committed::LeaseOver) | Err(_) => {}
    }
    end
}

/// Whether a write was refused because its first condition, that the owner is the owner, failed.
fn denies_owner(txn: &Txn, found: &[Item]) -> bool {
    txn.expects.first().is_some_and(|(key, revision)| {
        let item = found.iter().find(|item| item.key == *key);
        item.is_none_or(|item| item.revision != *revision)
    })
}
