//! State that an owner persists for later owners: progress and the roster.

use super::{ControlLoop, Input, OverwriteResult, OwnedPool, ProgressResult, json};
use crate::{
    jobs::{event::ProgressWrite, roster::RosterWrite},
    model::{
        job::JobId,
        unit::{Now, Revision},
    },
    platform::{
        kv::{CommitResult, Item, MAX_TXN_ENTRIES, Txn},
        store::StoreError,
    },
    scheduler::{Node, keys, lease::Tenure},
};

/// Jobs per transaction: each needs a condition and a write, in addition to the condition on the
/// owner.
pub(crate) const PROGRESS_BATCH: usize = (MAX_TXN_ENTRIES - 1) / 2;

/// Maximum number of progress writes in flight per owner. A single one limits an owner to a
/// thousand jobs per second, and more change at a peak.
pub(crate) const MAX_PENDING_WRITES: usize = 4;

/// Minimum time between two progress writes of one owner, in milliseconds: changes close together
/// share a write.
pub(crate) const PROGRESS_PAUSE_MS: u64 = 5;

/// Delay before the next write after a failed one, in milliseconds.
const WRITE_RETRY_MS: u64 = 100;

/// Minimum time between two roster writes of one pool, in milliseconds: hosts that arrive or leave
/// together share a write, and a new worker waits at most this much longer.
pub(crate) const ROSTER_PAUSE_MS: u64 = 20;

/// Minimum time between two removals of ended jobs, in milliseconds: jobs that end close together
/// share one. At 145 jobs per second, a node that starts in between reads some 70 more. Without
/// removals, the 2,400 jobs of half a day are 3.3 MB, which nodes with 10 Mbit/s receive with a
/// delay of seconds.
const REMOVAL_PAUSE_MS: u64 = 500;

/// Worker records per transaction, in addition to two conditions and the record of silent workers.
pub(crate) const ROSTER_BATCH: usize = MAX_TXN_ENTRIES - 3;

impl ControlLoop {
    /// The pool, if this node still owns it under the given token.
    pub(super) fn owned_under(&mut self, name: &str, token: u64) -> Option<&mut OwnedPool> {
        self.owned.get_mut(name).filter(|owned| owned.owner.token == token)
    }

    pub(super) fn persist_progress(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_progress {
            return;
        }
        let token = owned.owner.token;
        // Beyond the first write, only full batches are sent: changes close together share a write.
        while owned.pending_writes == 0
            || owned.pending_writes < MAX_PENDING_WRITES
                && PROGRESS_BATCH <= owned.owner.unsaved_count()
        {
            let writes = owned.owner.take_saves(PROGRESS_BATCH);
            if writes.is_empty() {
                return;
            }
            owned.pending_writes += 1;
            let (node, inputs, name) = (self.node.clone(), self.inputs.clone(), name.to_owned());
            let tenure = owned.tenure.clone();
            tokio::spawn(async move {
                let result = commit_progress(&node, &tenure, &name, token, &writes).await;
                let _ = inputs.send(Input::ProgressWritten { name, token, writes, result });
            });
        }
    }

    pub(super) fn note_progress_written(
        &mut self,
        name: &str,
        token: u64,
        writes: &[ProgressWrite],
        result: ProgressResult,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        owned.pending_writes = owned.pending_writes.saturating_sub(1);
        owned.next_progress = now.steady.after(PROGRESS_PAUSE_MS);
        match result {
            ProgressResult::Done(revision) => {
                for ended in owned.owner.note_saved(writes, revision) {
                    self.node.metrics.record_job_end(&ended.queue, ended.state, ended.took);
                }
            }
            ProgressResult::Rebase(positions) => {
                for (position, revision) in positions {
                    owned.owner.rebase(writes[position].job, revision);
                }
                owned.owner.note_save_failed(writes);
            }
            ProgressResult::Deposed => {
                log::warn!("owner {name}: token {token} is over");
                self.owned.remove(name);
            }
            ProgressResult::Failed => {
                owned.owner.note_save_failed(writes);
                owned.next_progress = now.steady.after(WRITE_RETRY_MS);
            }
        }
    }

    /// Persists the roster for a later owner. Only one write is in flight at a time, and each
    /// requires the previous one to be the last, so that a delayed write cannot undo a later one.
    pub(super) fn persist_roster(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if owned.roster_pending || now.steady < owned.next_roster {
            return;
        }
        let Some(write) = owned.owner.roster_note(ROSTER_BATCH) else {
            // The roster is computed from all workers, which is too costly for each iteration.
            owned.next_roster = now.steady.after(ROSTER_PAUSE_MS);
            return;
        };
        owned.roster_pending = true;
        let (token, silent_revision) = (owned.owner.token, owned.silent_revision);
        let (node, inputs, name) = (self.node.clone(), self.inputs.clone(), name.to_owned());
        let tenure = owned.tenure.clone();
        tokio::spawn(async move {
            let result = commit_roster(&node, &tenure, &name, token, silent_revision, &write).await;
            let write = Box::new(write);
            let _ = inputs.send(Input::RosterWritten { name, token, write, result });
        });
    }

    pub(super) fn note_roster_written(
        &mut self,
        name: &str,
        token: u64,
        write: &RosterWrite,
        result: OverwriteResult,
        now: Now,
    ) {
        let Some(owned) = self.owned_under(name, token) else {
            return;
        };
        owned.roster_pending = false;
        let full = write.record_count() == ROSTER_BATCH;
        owned.next_roster = now.steady.after(if full { 0 } else { ROSTER_PAUSE_MS });
        match result {
            OverwriteResult::Kept(revision) => {
                owned.silent_revision = revision;
                owned.owner.note_roster_written(write, revision);
            }
            OverwriteResult::Rebase(revision) => owned.silent_revision = revision,
            OverwriteResult::Failed => owned.next_roster = now.steady.after(WRITE_RETRY_MS),
        }
    }

    /// Removes the accepted requests of ended jobs once the ends are durable. They are most of what
    /// a node reads when it starts, and no answer to callers needs them.
    pub(super) fn remove_ended_jobs(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if owned.removing || now.steady < owned.next_removal {
            return;
        }
        let jobs = owned.owner.take_finished(MAX_TXN_ENTRIES);
        if jobs.is_empty() {
            return;
        }
        owned.removing = true;
        let token = owned.owner.token;
        let remove = |txn: Txn, id: &JobId| txn.remove(keys::job(&owned.pool, *id));
        let txn = jobs.iter().fold(Txn::default(), remove);
        let (node, inputs, name) = (self.node.clone(), self.inputs.clone(), name.to_owned());
        tokio::spawn(async move {
            let result = node.kv.commit(&txn).await;
            if let Err(error) = &result {
                log::info!("owner {name}: {} ended jobs not removed: {error}", jobs.len());
            }
            let done = matches!(result, Ok(CommitResult::Done(_)));
            let _ = inputs.send(Input::JobsRemoved { name, token, jobs, done });
        });
    }

    pub(super) fn note_jobs_removed(
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
        let full = jobs.len() == MAX_TXN_ENTRIES;
        let pause = match (done, full) {
            (false, _) => WRITE_RETRY_MS,
            (true, true) => 0,
            (true, false) => REMOVAL_PAUSE_MS,
        };
        owned.next_removal = now.steady.after(pause);
        if !done {
            owned.owner.note_removal_failed(jobs);
        }
    }
}

/// Writes the roster on the conditions that there is no later owner, and that nothing was written
/// since the previous roster write.
async fn commit_roster(
    node: &Node,
    tenure: &Tenure,
    name: &str,
    token: u64,
    silent_revision: Revision,
    write: &RosterWrite,
) -> OverwriteResult {
    let silent_key = keys::silent_workers(name);
    let mut txn = Txn::default()
        .expect(keys::owner(name), Revision(token))
        .expect(silent_key.clone(), silent_revision)
        .put(silent_key.clone(), json(&write.silent_workers));
    for report in &write.added {
        txn = txn.put(keys::roster(name, &report.id), json(report));
    }
    for worker in &write.dropped {
        txn = txn.remove(keys::roster(name, worker));
    }
    let result = OverwriteResult::of(commit(node, tenure, &txn).await, &silent_key);
    if matches!(result, OverwriteResult::Failed) {
        log::warn!("owner {name}: roster not written");
    }
    result
}

/// Writes progress on the condition that there is no later owner.
async fn commit_progress(
    node: &Node,
    tenure: &Tenure,
    name: &str,
    token: u64,
    writes: &[ProgressWrite],
) -> ProgressResult {
    let owner_key = keys::owner(name);
    let mut txn = Txn::default().expect(owner_key.clone(), Revision(token));
    for write in writes {
        let key = keys::progress(write.job);
        txn = txn.expect(key.clone(), write.expected_revision).put(key, write.value.clone());
    }
    let items = match commit(node, tenure, &txn).await {
        Ok(CommitResult::Done(revision)) => return ProgressResult::Done(revision),
        Ok(CommitResult::Conflict(items)) => items,
        Ok(CommitResult::LeaseExpired) => return ProgressResult::Failed,
        Err(error) => {
            log::warn!("owner {name}: progress of {} jobs not written: {error}", writes.len());
            return ProgressResult::Failed;
        }
    };
    let owner = items.iter().find(|item| item.key == owner_key);
    if owner.is_none_or(|item| item.revision != Revision(token)) {
        return ProgressResult::Deposed;
    }
    // Only this owner writes these keys: another revision comes from a write whose answer was lost.
    let changed = writes.iter().enumerate().filter_map(|(position, write)| {
        let key = keys::progress(write.job);
        let item = items.iter().find(|item| item.key == key)?;
        (item.revision != write.expected_revision).then_some((position, item.revision))
    });
    ProgressResult::Rebase(changed.collect())
}

/// Commits a transaction whose first condition is that the owner has not changed. If it succeeds,
/// there was no later owner when it was sent; if that condition fails, there is one now.
pub(super) async fn commit(
    node: &Node,
    tenure: &Tenure,
    txn: &Txn,
) -> Result<CommitResult, StoreError> {
    let sent = node.now().steady;
    let result = node.kv.commit(txn).await;
    match &result {
        Ok(CommitResult::Done(revision)) => {
            tenure.confirm(sent);
            node.view().ages.note_revision(sent, *revision);
        }
        Ok(CommitResult::Conflict(items)) if is_owner_conflict(txn, items) => tenure.note_ended(),
        Ok(CommitResult::Conflict(_) | CommitResult::LeaseExpired) | Err(_) => {}
    }
    result
}

/// Whether a transaction failed on its first condition, that the owner has not changed.
fn is_owner_conflict(txn: &Txn, found: &[Item]) -> bool {
    txn.conditions.first().is_some_and(|(key, revision)| {
        let item = found.iter().find(|item| item.key == *key);
        item.is_none_or(|item| item.revision != *revision)
    })
}
