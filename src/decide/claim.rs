//! Claims: a request that is not repeatable is sent only by the node that first wrote its claim.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{NodeId, OpId},
    unit::Time,
};

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ClaimState {
    /// Its node may be sending it, or may have died before or after doing so.
    Claimed,
    /// It ran and returned this HTTP status.
    Ran(u16),
    /// It was sent, but no complete answer was received.
    Unknown,
    /// It did not run; the key may be claimed again.
    Released,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) op: OpId,
    pub(crate) node: NodeId,
    pub(crate) at: Time,
    pub(crate) state: ClaimState,
}

/// The claims stored under one store key, by the caller's team and idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Bucket {
    pub(crate) claims: BTreeMap<String, Claim>,
    /// The operation that wrote this value.
    pub(crate) op: Option<OpId>,
}

/// A change that a node wants to make to a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BucketChange {
    /// Claim a key.
    Claim { key: String, op: OpId },
    /// Record the result of a request that this operation claimed.
    End { key: String, op: OpId, state: ClaimState },
}

/// Result of a change, once the bucket's next value is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GrantResult {
    /// The change is accepted. After a claim, the request may be sent once.
    Yes,
    /// The key is claimed by another operation.
    Held(Claim),
    /// The bucket already holds the maximum number of claims.
    Full,
}

/// Limits of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BucketLimits {
    /// Claims of this age or older are removed.
    pub(crate) max_age: Duration,
    /// Maximum number of claims in a bucket. Claims are never removed early to free a slot.
    pub(crate) max_claims: usize,
}

/// Applies changes to a bucket. Returns its next value and the result of each change.
pub(crate) fn decide(
    bucket: &Bucket,
    changes: &[BucketChange],
    node: &NodeId,
    limits: BucketLimits,
    now: Time,
) -> (Bucket, Vec<GrantResult>) {
    let mut next = bucket.clone();
    next.claims.retain(|_, claim| now.since(claim.at) < limits.max_age);
    let results =
        changes.iter().map(|change| apply(&mut next, change, node, limits, now)).collect();
    (next, results)
}

fn apply(
    next: &mut Bucket,
    change: &BucketChange,
    node: &NodeId,
    limits: BucketLimits,
    now: Time,
) -> GrantResult {
    match change {
        BucketChange::Claim { key, op } => {
            let held = next.claims.get(key).filter(|c| c.state != ClaimState::Released);
            match held {
                // An earlier write of this claim took effect, but its answer was lost.
                Some(claim) if claim.op == *op => GrantResult::Yes,
                Some(claim) => GrantResult::Held(claim.clone()),
                None if limits.max_claims <= next.claims.len() => GrantResult::Full,
                None => {
                    let state = ClaimState::Claimed;
                    let claim = Claim { op: op.clone(), node: node.clone(), at: now, state };
                    next.claims.insert(key.clone(), claim);
                    GrantResult::Yes
                }
            }
        }
        BucketChange::End { key, op, state } => {
            if let Some(claim) = next.claims.get_mut(key).filter(|claim| claim.op == *op) {
                claim.state = state.clone();
            }
            GrantResult::Yes
        }
    }
}
