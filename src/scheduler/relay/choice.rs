//! To which nodes a request is relayed, in order. A decision only.

use std::{collections::HashMap, net::SocketAddr};

use crate::model::id::ZoneId;

/// A node to which a request may be relayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    /// Its availability zone, if it is known.
    pub(crate) zone: Option<ZoneId>,
    /// Whether it mirrors all records.
    pub(crate) is_replica: bool,
    /// Whether it could not be reached lately.
    pub(crate) failed: bool,
}

/// Orders peers so that successive ones stand in different zones, and those of `own` come after the
/// others: a zone that is lost or cut off takes all its nodes with it. Peers that failed come last,
/// and with `replicas_first` the other nodes after the replicas. Otherwise the order is kept.
pub(crate) fn over_zones(peers: Vec<Peer>, own: &ZoneId, replicas_first: bool) -> Vec<Peer> {
    let mut counts: HashMap<(bool, bool, Option<ZoneId>), usize> = HashMap::new();
    let mut ranked: Vec<_> = peers
        .into_iter()
        .map(|peer| {
            let group = (replicas_first && !peer.is_replica, peer.failed);
            let round = counts.entry((group.0, group.1, peer.zone.clone())).or_default();
            *round += 1;
            ((group, *round, peer.zone.as_ref() == Some(own)), peer)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, peer)| peer).collect()
}
