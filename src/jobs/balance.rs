//! Which node owns which pool, and which one owns the fleet's work: the processor time that an
//! ownership costs is weighed against what each node has. Decisions only: all nodes apply the same
//! rules to what the store shows.

use std::collections::BTreeMap;

use crate::model::unit::Millicores;

/// The cost of owning a pool without workers: its watch and its records.
const POOL_COST_MILLICORES: u32 = 10;

/// The cost of each worker of an owned pool. On deployments with 349 workers, the busiest owner,
/// with about 85 of them, used 0.105 to 0.117 of a core over a day; peak demand is several times
/// the mean.
pub(crate) const WORKER_COST_MILLICORES: u32 = 2;

/// The cost of owning the fleet's work.
const FLEET_COST_MILLICORES: u32 = 30;

/// The share of its processor, in percent, that a node may use for its ownerships before it
/// releases one: peaks need twice the mean.
const BUSY_PERCENT: u64 = 50;

/// An ownership is released only if the receiving node's utilization would stay below this share of
/// the releasing node's, in percent: each change of owner pauses the pool.
const RECEIVER_MAX_PERCENT: u64 = 70;

/// The cost of owning a pool.
pub(crate) fn pool_cost(workers: usize) -> Millicores {
    Millicores(
        POOL_COST_MILLICORES
            + WORKER_COST_MILLICORES
                * u32::try_from(workers).unwrap_or(u32::MAX / WORKER_COST_MILLICORES),
    )
}

/// The cost of owning the fleet's work.
pub(crate) fn fleet_cost() -> Millicores {
    Millicores(FLEET_COST_MILLICORES)
}

/// The processor time of a node that may own pools or the fleet's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// The processor time that the node has.
    pub(crate) cpu: Millicores,
    /// The processor time that its present ownerships cost.
    pub(crate) used: Millicores,
}

impl Capacity {
    /// The node's utilization with an extra cost, in thousandths of a percent.
    pub(crate) fn utilization_with(&self, extra: Millicores) -> u64 {
        u64::from(self.used.0 + extra.0) * 100_000 / u64::from(self.cpu.0.max(1))
    }

    /// Whether the node would keep an extra ownership of this cost.
    pub(crate) fn has_time_for(&self, cost: Millicores) -> bool {
        self.utilization_with(cost) <= BUSY_PERCENT * 1_000
    }
}

/// How many nodes should acquire an ownership of this cost before this node does.
pub(crate) fn rank(nodes: &BTreeMap<String, Capacity>, me: &str, cost: Millicores) -> usize {
    let Some(mine) = nodes.get(me) else {
        return nodes.len();
    };
    let mine = (mine.utilization_with(cost), me);
    nodes.iter().filter(|(name, node)| (node.utilization_with(cost), name.as_str()) < mine).count()
}

/// The ownership that a node should release, if any: the most expensive one with which another node
/// would still be clearly less utilized than this node is now.
pub(crate) fn to_release<'a>(
    nodes: &BTreeMap<String, Capacity>,
    me: &str,
    owned: &BTreeMap<&'a str, Millicores>,
) -> Option<&'a str> {
    let current = nodes.get(me)?.utilization_with(Millicores(0));
    if current <= BUSY_PERCENT * 1_000 {
        return None;
    }
    let is_lower_elsewhere = |cost: Millicores| {
        let others = nodes.iter().filter(|(name, _)| name.as_str() != me);
        let lowest = others.map(|(_, node)| node.utilization_with(cost)).min();
        lowest.is_some_and(|lowest| lowest * 100 < current * RECEIVER_MAX_PERCENT)
    };
    let worthwhile = owned.iter().filter(|(_, cost)| is_lower_elsewhere(**cost));
    worthwhile.max_by_key(|(_, cost)| **cost).map(|(name, _)| *name)
}
