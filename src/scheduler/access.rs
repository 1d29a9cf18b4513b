//! Who may do what: the client account that a request acts for, and the jobs that it may see.

use crate::model::{
    account::KeyDigest,
    id::AccountId,
    queue::{Queue, QueueConfig},
};

/// Whom a request acts for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Caller {
    /// `None` on queues that need no key: their jobs belong to no account.
    pub(crate) account: Option<AccountId>,
}

/// Whether a request may use a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Access {
    Granted(Caller),
    /// The queue needs a key, and the request has none.
    MissingKey,
    /// No account has the key in this version of the configuration.
    UnknownKey,
}

/// Decides whether a request with a key may use a queue.
pub(crate) fn check(config: &QueueConfig, queue: &Queue, key: Option<&KeyDigest>) -> Access {
    let Some(accounts) = config.accounts.as_ref().filter(|_| config.needs_key(queue)) else {
        return Access::Granted(Caller::default());
    };
    let Some(key) = key else {
        return Access::MissingKey;
    };
    match accounts.holder(key) {
        Some(holder) => Access::Granted(Caller { account: Some(holder.clone()) }),
        None => Access::UnknownKey,
    }
}

/// Whose a job is, as far as a node knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum Holder {
    /// The record that says so has not been read.
    #[default]
    Unknown,
    /// Everybody may see and cancel it: it is of a queue that needs no key, or older than the
    /// accounts.
    Nobody,
    Account(AccountId),
}

impl Holder {
    pub(crate) fn of(account: Option<AccountId>) -> Holder {
        account.map_or(Holder::Nobody, Holder::Account)
    }

    /// Whether a caller may see and cancel the job; `None` if that is not known.
    pub(crate) fn admits(&self, caller: &Caller) -> Option<bool> {
        match self {
            Holder::Unknown => None,
            Holder::Nobody => Some(true),
            Holder::Account(holder) => Some(caller.account.as_ref() == Some(holder)),
        }
    }
}
