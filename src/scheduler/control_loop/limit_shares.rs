//! Writes of the shares of client accounts' limits that the owned pools reserve.

use super::{ControlLoop, Input, json, persist::commit};
use crate::{
    jobs::accounts::{AccountStatus, PoolShares, ShareResult, ShareWrite},
    model::{
        id::AccountId,
        unit::{Now, Revision},
    },
    platform::kv::{CommitResult, Item, MAX_TXN_ENTRIES, Txn},
    scheduler::{Node, keys, lease::Tenure},
};

/// Accounts per transaction: each needs a condition and a write, in addition to the condition on
/// the owner.
const BATCH: usize = (MAX_TXN_ENTRIES - 1) / 2;

impl ControlLoop {
    /// Passes the changed record of an account to the owners of pools.
    pub(super) fn note_limit_shares(&mut self, account: &AccountId) {
        let view = self.node.view();
        let none = PoolShares::new();
        let (revision, shares) = match view.limit_shares.get(account) {
            Some(at) => (at.revision, &at.value),
            None => (Revision(0), &none),
        };
        for owned in self.owned.values_mut() {
            if let Some(accounts) = owned.owner.accounts_mut() {
                accounts.note_record(account, revision, shares);
            }
        }
    }

    /// Writes the shares that a pool needs or gives up.
    pub(super) fn persist_limit_shares(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let (token, tenure) = (owned.owner.token, owned.tenure.clone());
        let Some(accounts) = owned.owner.accounts_mut() else {
            return;
        };
        for wait in accounts.take_waits() {
            self.node.metrics.record_limit_wait(wait);
        }
        for status in accounts.log_waiting(now.steady) {
            log::info!("{}", describe(name, &status));
        }
        let writes = accounts.take_writes(BATCH, now.steady);
        if writes.is_empty() {
            return;
        }
        let (node, inputs, name) = (self.node.clone(), self.inputs.clone(), name.to_owned());
        tokio::spawn(async move {
            let result = commit_shares(&node, &tenure, &name, token, &writes).await;
            let _ = inputs.send(Input::SharesWritten { name, token, writes, result });
        });
    }

    pub(super) fn note_shares_written(
        &mut self,
        name: &str,
        token: u64,
        writes: Vec<ShareWrite>,
        result: ShareResult,
    ) {
        if let Some(owned) = self.owned_under(name, token)
            && let Some(accounts) = owned.owner.accounts_mut()
        {
            accounts.note_written(writes, result);
        }
    }
}

fn describe(name: &str, status: &AccountStatus) -> String {
    let AccountStatus { account, held, used, wanted, elsewhere, waiting } = status;
    format!(
        "account {account}: {waiting} tasks of {name} wait for its limit: {held} of it held here, \
         {used} used, {wanted} wanted, {elsewhere} held by other pools"
    )
}

/// Writes shares on the condition that there is no later owner, and that each record is as the
/// owner knows it.
async fn commit_shares(
    node: &Node,
    tenure: &Tenure,
    name: &str,
    token: u64,
    writes: &[ShareWrite],
) -> ShareResult {
    let mut txn = Txn::default().expect(keys::owner(name), Revision(token));
    for write in writes {
        let key = keys::limit_shares(&write.account);
        txn = txn.expect(key.clone(), write.expected).put(key, json(&write.shares));
    }
    match commit(node, tenure, &txn).await {
        Ok(CommitResult::Done(revision)) => ShareResult::Done(revision),
        Ok(CommitResult::Conflict(items)) => ShareResult::Conflict(
            writes.iter().filter_map(|write| current_record(&write.account, &items)).collect(),
        ),
        Ok(CommitResult::LeaseExpired) => ShareResult::NotWritten,
        Err(error) => {
            log::warn!("owner {name}: shares of {} limits not written: {error}", writes.len());
            match error.is_unknown() {
                true => ShareResult::Unknown,
                false => ShareResult::NotWritten,
            }
        }
    }
}

/// The record of an account among the items of a conflict, with revision 0 if it is absent; `None`
/// if it cannot be read.
fn current_record(
    account: &AccountId,
    items: &[Item],
) -> Option<(AccountId, Revision, PoolShares)> {
    let key = keys::limit_shares(account);
    let Some(item) = items.iter().find(|item| item.key == key) else {
        return Some((account.clone(), Revision(0), PoolShares::new()));
    };
    let shares = serde_json::from_slice(&item.value)
        .inspect_err(|error| log::error!("record {key}: ignored: {error}"));
    Some((account.clone(), item.revision, shares.ok()?))
}
