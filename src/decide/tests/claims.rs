//! Stateful fuzzing of claims: nodes race for the keys of one bucket over a store that loses
//! answers, and die between a claim and its request. The oracle counts what ran.

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;

use crate::{
    decide::claim::{self, Bucket, ClaimState, Granted, Keep, Wish},
    model::{
        id::{NodeId, OpId},
        unit::Time,
    },
    tests::fuzz,
};

const NODES: usize = 3;
const KEYS: u8 = 4;
const KEEP: Keep = Keep { span: Duration::from_secs(86_400), most: 100 };

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// A caller asks a node for a key.
    Ask { node: u8, key: u8 },
    /// A node reads the bucket.
    Read { node: u8 },
    /// A node writes what it wants, on the reading that it has.
    Write { node: u8, fate: Fate },
    /// A write that was under way arrives after all.
    Arrive { node: u8 },
    /// A node whose answer was lost reads back and compares.
    Check { node: u8 },
    /// A node sends a request that it was granted; it may not be told how it ended.
    Send { node: u8, whole: bool },
    /// A node dies, and another process takes its name.
    Die { node: u8 },
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, TypeGenerator)]
enum Fate {
    Answered,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It is lost itself, or comes late.
    Lost,
}

/// What a node wrote, what it would have been granted, and what it asked for.
type Doubt = (Bucket, Vec<Granted>, Vec<(String, OpId)>);

#[derive(Debug, Clone, Default)]
struct Node {
    wanted: Vec<(String, OpId)>,
    ends: Vec<Wish>,
    read: Option<(u64, Bucket)>,
    /// A write whose answer was lost: what it wrote, and what it would have granted.
    doubt: Option<Doubt>,
    granted: Vec<(String, OpId)>,
    /// A write that may arrive late, with the revision that it expects.
    late: Option<(u64, Bucket)>,
}

#[derive(Debug, Default)]
struct World {
    revision: u64,
    bucket: Bucket,
    nodes: Vec<Node>,
    ran: BTreeMap<String, u32>,
    count: u32,
}

impl World {
    fn op(&mut self) -> OpId {
        self.count += 1;
        format!("op-{}", self.count).parse().unwrap()
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Ask { node, key } => {
                let op = self.op();
                let key = format!("key-{}", key % KEYS);
                self.nodes[usize::from(node) % NODES].wanted.push((key, op));
            }
            Op::Read { node } => {
                let read = Some((self.revision, self.bucket.clone()));
                self.nodes[usize::from(node) % NODES].read = read;
            }
            Op::Write { node, fate } => self.write(usize::from(node) % NODES, fate),
            Op::Arrive { node } => self.arrive(usize::from(node) % NODES),
            Op::Check { node } => self.check(usize::from(node) % NODES),
            Op::Send { node, whole } => self.send(usize::from(node) % NODES, whole),
            Op::Die { node } => self.nodes[usize::from(node) % NODES] = Node::default(),
        }
    }

    fn arrive(&mut self, at: usize) {
        let Some((revision, bucket)) = self.nodes[at].late.take() else { return };
        if revision == self.revision {
            self.revision += 1;
            self.bucket = bucket;
        }
    }

    fn write(&mut self, at: usize, fate: Fate) {
        let stamp = self.op();
        let node = &mut self.nodes[at];
        if node.doubt.is_some() {
            return;
        }
        let Some((revision, bucket)) = node.read.take() else { return };
        let wanted = std::mem::take(&mut node.wanted);
        let wishes: Vec<Wish> = wanted
            .iter()
            .map(|(key, op)| Wish::Claim { key: key.clone(), op: op.clone() })
            .chain(node.ends.iter().cloned())
            .collect();
        let id: NodeId = format!("n-{at}").parse().unwrap();
        let now = Time::from_millis(1_000_000);
        let (mut next, granted) = claim::decide(&bucket, &wishes, &id, KEEP, now);
        next.op = Some(stamp);
        if revision != self.revision {
            node.wanted = wanted;
            return;
        }
        if fate == Fate::Lost {
            node.late = Some((revision, next.clone()));
            node.doubt = Some((next, granted, wanted));
            return;
        }
        self.revision += 1;
        self.bucket = next.clone();
        if fate == Fate::AnswerLost {
            node.doubt = Some((next, granted, wanted));
            return;
        }
        node.ends.clear();
        node.take(&granted, wanted);
    }

    /// As the writer does: a bucket that is as it was written took effect; else the claims are
    /// given back when they can be.
    fn check(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some((written, granted, wanted)) = node.doubt.take() else { return };
        if self.bucket == written {
            node.ends.clear();
            node.take(&granted, wanted);
            return;
        }
        let released =
            wanted.into_iter().map(|(key, op)| Wish::End { key, op, state: ClaimState::Released });
        node.ends.extend(released);
    }

    fn send(&mut self, at: usize, whole: bool) {
        let Some((key, op)) = self.nodes[at].granted.pop() else { return };
        *self.ran.entry(key.clone()).or_default() += 1;
        let state = if whole { ClaimState::Ran(200) } else { ClaimState::Unknown };
        self.nodes[at].ends.push(Wish::End { key, op, state });
    }
}

impl Node {
    fn take(&mut self, granted: &[Granted], wanted: Vec<(String, OpId)>) {
        let yes = wanted.into_iter().zip(granted).filter(|(_, g)| **g == Granted::Yes);
        self.granted.extend(yes.map(|(wish, _)| wish));
    }
}

#[test]
fn a_key_runs_at_most_once_whatever_happens() {
    fuzz(3000, 120, |ops: &[Op]| {
        let mut world = World { nodes: vec![Node::default(); NODES], ..World::default() };
        for op in ops {
            world.apply(*op);
            let twice = world.ran.iter().find(|(_, times)| 1 < **times);
            assert_eq!(twice, None);
        }
    });
}

#[test]
fn a_full_bucket_forgets_nothing_early() {
    let keep = Keep { span: Duration::from_secs(10), most: 2 };
    let node: NodeId = "n".parse().unwrap();
    let wish = |key: &str| Wish::Claim { key: key.to_owned(), op: key.parse().unwrap() };
    let wishes = [wish("a"), wish("b"), wish("c")];
    let (bucket, granted) =
        claim::decide(&Bucket::default(), &wishes, &node, keep, Time::from_millis(0));
    assert_eq!(granted, [Granted::Yes, Granted::Yes, Granted::Full]);
    let (_, granted) = claim::decide(&bucket, &[wish("c")], &node, keep, Time::from_millis(9_999));
    assert_eq!(granted, [Granted::Full]);
    let (_, granted) = claim::decide(&bucket, &[wish("c")], &node, keep, Time::from_millis(10_000));
    assert_eq!(granted, [Granted::Yes]);
}
