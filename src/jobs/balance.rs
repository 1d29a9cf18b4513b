//! Which node owns which piece of work: what a piece costs its owner's processor is weighed
//! against what each node has. Decisions only; every node decides alike from what the store shows.

use std::collections::BTreeMap;

use crate::model::unit::Millicores;

/// What owning a pool without workers costs, in millicores: its watch and its records.
const POOL_COST: u32 = 10;

/// What each worker of an owned pool costs its owner, in millicores. On the deployments with 349
/// workers the busiest owner, of some 85, took 0.105 to 0.117 of a core over a day; demand at its
/// peak is several times the mean.
pub(crate) const WORKER_COST: u32 = 2;

/// What owning the work of all pools together costs, in millicores.
const FLEET_COST: u32 = 30;

/// The share of its processor, in percent, that a node may need for what it owns before it gives
/// some of it away: peaks ask for twice the mean.
const BUSY_PERCENT: u64 = 50;

/// How much lower the use of its processor must be at the node that would take a piece, in percent
/// of the giver's: each change of owners costs a pause of the pool.
const WORTHWHILE_PERCENT: u64 = 70;

/// What owning a pool costs.
pub(crate) fn pool_cost(workers: usize) -> Millicores {
    Millicores(POOL_COST + WORKER_COST * u32::try_from(workers).unwrap_or(u32::MAX / WORKER_COST))
}

/// What owning the work of all pools together costs.
pub(crate) fn fleet_cost() -> Millicores {
    Millicores(FLEET_COST)
}

/// A node that may own work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// The processor time that the node has.
    pub(crate) cpu: Millicores,
    /// What it owns already costs.
    pub(crate) used: Millicores,
}

impl Capacity {
    /// The share of its processor that the node uses with something more, in a thousandth of a
    /// percent.
    fn use_with(&self, more: Millicores) -> u64 {
        u64::from(self.used.0 + more.0) * 100_000 / u64::from(self.cpu.0.max(1))
    }
}

/// How many nodes should take a piece of work before this one does.
pub(crate) fn rank(nodes: &BTreeMap<String, Capacity>, me: &str, cost: Millicores) -> usize {
    let Some(mine) = nodes.get(me) else {
        return nodes.len();
    };
    let mine = (mine.use_with(cost), me);
    nodes.iter().filter(|(name, node)| (node.use_with(cost), name.as_str()) < mine).count()
}

/// The piece of work that a node should give away, if any: the dearest one that leaves another
/// node clearly less busy than this one is now.
pub(crate) fn to_give<'a>(
    nodes: &BTreeMap<String, Capacity>,
    me: &str,
    owned: &BTreeMap<&'a str, Millicores>,
) -> Option<&'a str> {
    let now = nodes.get(me)?.use_with(Millicores(0));
    if now <= BUSY_PERCENT * 1_000 {
        return None;
    }
    let better = |cost: Millicores| {
        let others = nodes.iter().filter(|(name, _)| name.as_str() != me);
        let least = others.map(|(_, node)| node.use_with(cost)).min();
        least.is_some_and(|least| least * 100 < now * WORTHWHILE_PERCENT)
    };
    let worthwhile = owned.iter().filter(|(_, cost)| better(**cost));
    worthwhile.max_by_key(|(_, cost)| **cost).map(|(name, _)| *name)
}
