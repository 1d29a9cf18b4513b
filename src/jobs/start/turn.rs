//! Step 2: in which order jobs get resources.

use std::collections::HashMap;

use crate::{
    jobs::{
        start::fair_share::{Amount, Claim, FairShares},
        urgency::Urgency,
    },
    model::{account::Weight, id::AccountId, job::JobId},
};

/// A job with tasks that may be waiting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) job: JobId,
    pub(crate) urgency: Urgency,
    /// Set if the job is beyond the weight of its account.
    pub(crate) beyond: Option<Beyond>,
    /// What it uses and asks for; only set if its account has a weight.
    pub(crate) claim: Option<Claim>,
}

/// The account beyond whose weight a job is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Beyond {
    pub(crate) account: AccountId,
    pub(crate) weight: Weight,
}

/// The jobs in the order in which they get resources: first those within the weight of their
/// account, the most urgent first. The others take turns in proportion to the weights, for each
/// account the most urgent first.
///
/// If accounts ask for more than the `capacity` of the pool, what is within the share of its account
/// comes before what is not, and both before jobs that are late.
pub(crate) fn order(mut candidates: Vec<Candidate>, capacity: Amount) -> Vec<JobId> {
    candidates.sort_by_key(|candidate| (candidate.urgency, candidate.job));
    if candidates.iter().all(|one| one.beyond.is_none() && one.claim.is_none()) {
        return candidates.into_iter().map(|candidate| candidate.job).collect();
    }
    let claims = candidates.iter().filter_map(|candidate| candidate.claim.as_ref());
    let shares = FairShares::divide(claims, capacity);
    let (beyond, mut within): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.beyond.is_some());
    if let Some(mut shares) = shares {
        // The sort is stable: the most urgent come first in each part.
        within.sort_by_cached_key(|candidate| match &candidate.claim {
            None => 0,
            Some(claim) if !claim.counts => 2,
            Some(claim) => u32::from(!shares.take(claim)),
        });
    }
    let within = within.into_iter().map(|candidate| candidate.job);
    within.chain(take_turns(beyond)).collect()
}

/// Jobs of accounts that are beyond their weights, in an order that gives each account a part of
/// every stretch in proportion to its weight.
fn take_turns(candidates: Vec<Candidate>) -> Vec<JobId> {
    let mut counts: HashMap<AccountId, u64> = HashMap::new();
    let mut turns = Vec::with_capacity(candidates.len());
    for Candidate { job, urgency, beyond, .. } in candidates {
        let Some(Beyond { account, weight }) = beyond else {
            continue;
        };
        let count = counts.entry(account).or_default();
        *count += 1;
        turns.push((weight.time_of(*count), urgency, job));
    }
    turns.sort_unstable();
    turns.into_iter().map(|(_, _, job)| job).collect()
}
