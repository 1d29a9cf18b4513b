//! Stateful fuzzing of claims: nodes compete for the keys of one bucket over a store that loses
//! answers, and die between a claim and its request. The oracle counts the requests sent per key.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;

use crate::{
    decide::claim::{self, Bucket, BucketChange, BucketLimits, ClaimState, GrantResult},
    model::{
        id::{NodeId, OpId},
        unit::Time,
    },
    tests::fuzz,
};

const NODES: usize = 3;
const KEYS: u8 = 4;
const LIMITS: BucketLimits = BucketLimits { max_age: Duration::from_secs(86_400), max_claims: 100 };

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller sends a request with a key to a node.
    Request { node: u8, key: u8 },
    /// A node reads the bucket.
    Read { node: u8 },
    /// A node writes its pending changes, based on its last read.
    Write { node: u8, result: WriteResult },
    /// A delayed write reaches the store.
    DeliverDelayed { node: u8 },
    /// A node whose write was not answered reads the bucket and compares.
    ReadBack { node: u8 },
    /// A node sends a request whose claim was accepted; its answer may be incomplete.
    Send { node: u8, complete: bool },
    /// A node dies and is replaced by a new process with the same name.
    Die { node: u8 },
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum WriteResult {
    Answered,
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// It is lost or delayed.
    Lost,
}

/// An unconfirmed write: the bucket written, the results it would have, and the claims requested.
type UnconfirmedWrite = (Bucket, Vec<GrantResult>, Vec<(String, OpId)>);

#[derive(Debug, Clone, Default)]
struct Node {
    requested: Vec<(String, OpId)>,
    ends: Vec<BucketChange>,
    read: Option<(u64, Bucket)>,
    /// A write that was not answered.
    unconfirmed: Option<UnconfirmedWrite>,
    accepted: Vec<(String, OpId)>,
    /// A write that may still reach the store, with the revision that it expects.
    delayed: Option<(u64, Bucket)>,
}

#[derive(Debug, Default)]
struct Simulation {
    revision: u64,
    bucket: Bucket,
    nodes: Vec<Node>,
    ran: BTreeMap<String, u32>,
    count: u32,
}

impl Simulation {
    fn op(&mut self) -> OpId {
        self.count += 1;
        format!("op-{}", self.count).parse().unwrap()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Request { node, key } => {
                let op = self.op();
                let key = format!("key-{}", key % KEYS);
                self.nodes[usize::from(node) % NODES].requested.push((key, op));
            }
            Op::Read { node } => {
                let read = Some((self.revision, self.bucket.clone()));
                self.nodes[usize::from(node) % NODES].read = read;
            }
            Op::Write { node, result } => self.write(usize::from(node) % NODES, result),
            Op::DeliverDelayed { node } => self.deliver_delayed(usize::from(node) % NODES),
            Op::ReadBack { node } => self.read_back(usize::from(node) % NODES),
            Op::Send { node, complete } => self.send(usize::from(node) % NODES, complete),
            Op::Die { node } => self.nodes[usize::from(node) % NODES] = Node::default(),
        }
    }

    fn deliver_delayed(&mut self, at: usize) {
        let Some((revision, bucket)) = self.nodes[at].delayed.take() else { return };
        if revision == self.revision {
            self.revision += 1;
            self.bucket = bucket;
        }
    }

    fn write(&mut self, at: usize, result: WriteResult) {
        let write_op = self.op();
        let node = &mut self.nodes[at];
        if node.unconfirmed.is_some() {
            return;
        }
        let Some((revision, bucket)) = node.read.take() else { return };
        let requested = std::mem::take(&mut node.requested);
        let changes: Vec<BucketChange> = requested
            .iter()
            .map(|(key, op)| BucketChange::Claim { key: key.clone(), op: op.clone() })
            .chain(node.ends.iter().cloned())
            .collect();
        let id: NodeId = format!("n-{at}").parse().unwrap();
        let now = Time::from_millis(1_000_000);
        let (mut next, accepted) = claim::decide(&bucket, &changes, &id, LIMITS, now);
        next.op = Some(write_op);
        if revision != self.revision {
            node.requested = requested;
            return;
        }
        if result == WriteResult::Lost {
            node.delayed = Some((revision, next.clone()));
            node.unconfirmed = Some((next, accepted, requested));
            return;
        }
        self.revision += 1;
        self.bucket = next.clone();
        if result == WriteResult::AnswerLost {
            node.unconfirmed = Some((next, accepted, requested));
            return;
        }
        node.ends.clear();
        node.accept(&accepted, requested);
    }

    /// Like the claim writer: if the bucket equals the one written, the write took effect;
    /// otherwise its claims are released.
    fn read_back(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some((written, accepted, requested)) = node.unconfirmed.take() else { return };
        if self.bucket == written {
            node.ends.clear();
            node.accept(&accepted, requested);
            return;
        }
        let released = requested.into_iter().map(|(key, op)| BucketChange::End {
            key,
            op,
            state: ClaimState::Released,
        });
        node.ends.extend(released);
    }

    fn send(&mut self, at: usize, complete: bool) {
        let Some((key, op)) = self.nodes[at].accepted.pop() else { return };
        *self.ran.entry(key.clone()).or_default() += 1;
        let state = if complete { ClaimState::Ran(200) } else { ClaimState::Unknown };
        self.nodes[at].ends.push(BucketChange::End { key, op, state });
    }
}

impl Node {
    fn accept(&mut self, results: &[GrantResult], requested: Vec<(String, OpId)>) {
        let claims = requested.into_iter().zip(results).filter(|(_, g)| **g == GrantResult::Yes);
        self.accepted.extend(claims.map(|(claim, _)| claim));
    }
}

#[test]
fn key_is_sent_at_most_once_despite_lost_writes_and_deaths() {
    fuzz(3000, 120, |ops: &[Op]| {
        let mut sim = Simulation { nodes: vec![Node::default(); NODES], ..Simulation::default() };
        for op in ops {
            sim.apply(*op);
            let twice = sim.ran.iter().find(|(_, times)| 1 < **times);
            assert_eq!(twice, None);
        }
    });
}

#[test]
fn full_bucket_keeps_unexpired_claims() {
    let limits = BucketLimits { max_age: Duration::from_secs(10), max_claims: 2 };
    let node: NodeId = "n".parse().unwrap();
    let claim_key =
        |key: &str| BucketChange::Claim { key: key.to_owned(), op: key.parse().unwrap() };
    let changes = [claim_key("a"), claim_key("b"), claim_key("c")];
    let (bucket, accepted) =
        claim::decide(&Bucket::default(), &changes, &node, limits, Time::from_millis(0));
    assert_eq!(accepted, [GrantResult::Yes, GrantResult::Yes, GrantResult::Full]);
    let (_, accepted) =
        claim::decide(&bucket, &[claim_key("c")], &node, limits, Time::from_millis(9_999));
    assert_eq!(accepted, [GrantResult::Full]);
    let (_, accepted) =
        claim::decide(&bucket, &[claim_key("c")], &node, limits, Time::from_millis(10_000));
    assert_eq!(accepted, [GrantResult::Yes]);
}
