//! Which nodes keep full replicas of the view, and in which order they acquire work, where the loss
//! of an availability zone is tolerated. Decisions only: all nodes apply the same rules to what the
//! store shows.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use crate::{
    jobs::balance::Capacity,
    model::{id::ZoneId, unit::Millicores},
};

/// A node, as far as its place matters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Standing<'a> {
    pub(crate) name: &'a str,
    pub(crate) cpu: Millicores,
    pub(crate) zone: Option<&'a ZoneId>,
}

/// Chooses `max` nodes, from each zone in turn: within a zone those with the most processor time.
pub(crate) fn replicas<'a>(mut nodes: Vec<Standing<'a>>, max: usize) -> BTreeSet<&'a str> {
    nodes.sort_by_key(|node| (Reverse(node.cpu), node.name));
    let mut counts: BTreeMap<Option<&ZoneId>, usize> = BTreeMap::new();
    let mut ranked: Vec<_> = nodes
        .iter()
        .map(|node| {
            let turn = counts.entry(node.zone).or_default();
            *turn += 1;
            (*turn, Reverse(node.cpu), node.name)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().take(max).map(|(_, _, name)| name).collect()
}

/// A node that may acquire work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate<'a> {
    pub(crate) capacity: Capacity,
    pub(crate) zone: Option<&'a ZoneId>,
}

/// How many nodes should acquire an ownership of this cost before this node does. Those that have
/// time for it come first. Then come the ones outside of the zone of its last owner, which may be
/// lost, whether any node has time or not; then, of those with time, the ones in zones with few
/// owned pieces of work, so that a zone takes few with it.
pub(crate) fn rank(
    nodes: &BTreeMap<String, Candidate<'_>>,
    me: &str,
    cost: Millicores,
    pieces: &BTreeMap<ZoneId, usize>,
    last_zone: Option<&ZoneId>,
) -> usize {
    let key = |name: &str, node: &Candidate<'_>| {
        let has_time = node.capacity.has_time_for(cost);
        let may_be_lost = node.zone.is_some() && node.zone == last_zone;
        let in_zone = node.zone.and_then(|zone| pieces.get(zone)).copied().unwrap_or_default();
        let in_zone = if has_time { in_zone } else { 0 };
        (!has_time, may_be_lost, in_zone, node.capacity.utilization_with(cost), name.to_owned())
    };
    let Some(mine) = nodes.get(me).map(|node| key(me, node)) else {
        return nodes.len();
    };
    nodes.iter().filter(|(name, node)| key(name, node) < mine).count()
}
