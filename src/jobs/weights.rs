//! Which jobs of a client account are beyond its weight. Each job is classified once, when it
//! arrives.
//!
//! Only jobs within the weight take tokens from the account's bucket, so an account that reduces its
//! rate is within its weight at once. An idle account saves at most one burst. A later owner starts
//! with full buckets, and classifies the jobs that have not ended.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    model::{
        account::{Accounts, Weight},
        id::AccountId,
        unit::{Steady, Time},
    },
    rate::{PeerDemand, RateLimit, RateShare},
};

/// What an account may send at once within its weight, in seconds of the weight.
pub(crate) const BURST_S: f64 = 2.0;

/// What any account may send at once within its weight: with a low weight, a few jobs that arrive
/// together are more than its rate of some seconds.
const MIN_BURST_JOBS: f64 = 4.0;

/// How long an account counts as beyond its weight after the last job that was, in milliseconds:
/// nodes that refuse most of its jobs keep it close to its weight.
const OVER_HOLD_MS: u64 = 5_000;

/// What an account sends to one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct AccountLoad {
    /// Jobs accepted in the last second.
    #[serde(rename = "r", default)]
    pub(crate) rate: u32,
    /// Jobs beyond its weight that have not begun.
    #[serde(rename = "w", default)]
    pub(crate) waiting: u32,
    /// Whether it has lately sent more than its weight.
    #[serde(rename = "o", default)]
    pub(crate) is_over: bool,
}

#[derive(Debug)]
struct Sender {
    share: RateShare,
    /// When its latest job was accepted.
    latest: Time,
    /// Until when it counts as beyond its weight.
    over_until: Steady,
}

/// The weights of client accounts, and what these send to the pool.
#[derive(Debug, Default)]
pub(crate) struct AccountWeights {
    weights: HashMap<AccountId, Weight>,
    senders: HashMap<AccountId, Sender>,
    /// Jobs per second that the accounts send to other pools.
    elsewhere: HashMap<AccountId, u32>,
}

impl AccountWeights {
    /// Sets the weights.
    pub(crate) fn configure(&mut self, accounts: Option<&Accounts>) {
        let accounts = accounts.into_iter().flat_map(Accounts::iter);
        let weights = accounts.filter_map(|account| Some((account.id.clone(), account.weight?)));
        self.weights = weights.collect();
        self.senders.retain(|account, _| self.weights.contains_key(account));
    }

    /// Whether no account has a weight.
    pub(crate) fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// The weight of an account.
    pub(crate) fn get(&self, account: &AccountId) -> Option<Weight> {
        self.weights.get(account).copied()
    }

    /// Sets what the accounts send to other pools, in jobs per second.
    pub(crate) fn set_elsewhere(&mut self, elsewhere: HashMap<AccountId, u32>) {
        self.elsewhere = elsewhere;
    }

    /// Whether a job that was accepted at a time is beyond its account's weight. Jobs are passed in
    /// the order of their acceptance, as far as that is known.
    pub(crate) fn is_beyond(&mut self, account: &AccountId, accepted: Time, now: Steady) -> bool {
        let Some(weight) = self.weights.get(account) else {
            return false;
        };
        let sender = self.senders.entry(account.clone()).or_insert_with(|| Sender {
            share: RateShare::new(
                RateLimit::with_burst(BURST_S, MIN_BURST_JOBS, accepted),
                accepted,
            ),
            latest: accepted,
            over_until: Steady::default(),
        });
        // A step back of the clock would refill the bucket twice.
        sender.latest = sender.latest.max(accepted);
        sender.share.record_request(sender.latest);
        let demand = self.elsewhere.get(account).copied().unwrap_or_default();
        // What the other pools do not use can be used here.
        let others = PeerDemand { nodes: 1, demand };
        let is_beyond = sender.share.take(weight.rate(), others, 0.0, sender.latest).is_err();
        if is_beyond {
            sender.over_until = now.after(OVER_HOLD_MS);
        }
        is_beyond
    }

    /// What each account with a weight that has lately sent jobs does send.
    pub(crate) fn loads(&mut self, wall: Time, now: Steady) -> HashMap<AccountId, AccountLoad> {
        let loads = self.senders.iter_mut().map(|(account, sender)| {
            let rate = sender.share.demand(wall.max(sender.latest));
            let load = AccountLoad { rate, waiting: 0, is_over: now < sender.over_until };
            (account.clone(), load)
        });
        loads.filter(|(_, load)| *load != AccountLoad::default()).collect()
    }
}
