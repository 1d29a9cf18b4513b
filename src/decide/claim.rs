//! Claims: a request that is not repeatable runs only for whoever wrote its claim first.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::{NodeId, OpId},
    unit::Time,
};

/// What is known of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ClaimState {
    /// Its node may be sending it, or may have died with it.
    Claimed,
    /// It ran and was answered with this HTTP status.
    Ran(u16),
    /// It was sent, and no whole answer came.
    Unknown,
    /// It did not run: the key may be claimed again.
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

/// The claims that share one value of the store, by caller's team and key.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct Bucket {
    pub(crate) claims: BTreeMap<String, Claim>,
    /// The write that set this record.
    pub(crate) op: Option<OpId>,
}

/// What a node wants of a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Wish {
    /// Claim a key.
    Claim { key: String, op: OpId },
    /// Note how a request ended that this operation claimed.
    End { key: String, op: OpId, state: ClaimState },
}

/// How a wish fared, if the bucket's next value is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Granted {
    /// The key is this operation's: the request may be sent, once.
    Yes,
    /// The key is another operation's.
    Held(Claim),
    /// The bucket holds as many claims as it may.
    Full,
}

/// Bounds on a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Keep {
    /// Claims older than this are forgotten.
    pub(crate) span: Duration,
    /// Most claims in a bucket; none is forgotten early to make room.
    pub(crate) most: usize,
}

/// The bucket after the wishes, and how each of them fared.
pub(crate) fn decide(
    bucket: &Bucket,
    wishes: &[Wish],
    node: &NodeId,
    keep: Keep,
    now: Time,
) -> (Bucket, Vec<Granted>) {
    let mut next = bucket.clone();
    next.claims.retain(|_, claim| now.since(claim.at) < keep.span);
    let granted = wishes.iter().map(|wish| grant(&mut next, wish, node, keep, now)).collect();
    (next, granted)
}

fn grant(next: &mut Bucket, wish: &Wish, node: &NodeId, keep: Keep, now: Time) -> Granted {
    match wish {
        Wish::Claim { key, op } => {
            let held = next.claims.get(key).filter(|c| c.state != ClaimState::Released);
            match held {
                // An earlier write of this very claim took effect although its answer was lost.
                Some(claim) if claim.op == *op => Granted::Yes,
                Some(claim) => Granted::Held(claim.clone()),
                None if keep.most <= next.claims.len() => Granted::Full,
                None => {
                    let state = ClaimState::Claimed;
                    let claim = Claim { op: op.clone(), node: node.clone(), at: now, state };
                    next.claims.insert(key.clone(), claim);
                    Granted::Yes
                }
            }
        }
        Wish::End { key, op, state } => {
            if let Some(claim) = next.claims.get_mut(key).filter(|claim| claim.op == *op) {
                claim.state = state.clone();
            }
            Granted::Yes
        }
    }
}
