//! Detects that a rack or an availability zone has fallen silent as a whole, from the silence of its
//! workers.

use std::{collections::BTreeMap, fmt};

use crate::model::{
    id::{Incarnation, ZoneId},
    unit::Steady,
};

/// The period within which the workers of one outage fall silent, in milliseconds: a poll that was
/// sent just before it fails up to its timeout and the network's later.
const WINDOW_MS: u64 = 1_500;

/// The fewest workers of an outage. Two may crash by chance.
const MIN_WORKERS: usize = 3;

/// The fewest workers of an outage as a share of those that answered before, in percent. Tasks that
/// crash their workers take some of a rack, and others answer meanwhile.
const MIN_SHARE_PERCENT: usize = 60;

/// A rack or an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    Zone(ZoneId),
    /// Racks of different zones may share a name.
    Rack(ZoneId, String),
}

impl Place {
    /// Whether everything in another place is in this one too.
    pub(crate) fn covers(&self, other: &Place) -> bool {
        match (self, other) {
            (Place::Zone(zone), Place::Zone(other) | Place::Rack(other, _)) => zone == other,
            (Place::Rack(..), _) => self == other,
        }
    }

    /// Whether a rack is in this place.
    pub(crate) fn contains(&self, zone: &ZoneId, rack: &str) -> bool {
        match self {
            Place::Zone(own) => own == zone,
            Place::Rack(own, name) => own == zone && name == rack,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Zone(zone) => write!(f, "zone {zone}"),
            Place::Rack(zone, rack) => write!(f, "rack {rack} of zone {zone}"),
        }
    }
}

/// A worker, as far as outages are concerned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Member<'a> {
    pub(crate) id: &'a Incarnation,
    pub(crate) zone: &'a ZoneId,
    pub(crate) rack: &'a str,
    /// Since when it is silent; `None` if it answers.
    pub(crate) silent_since: Option<Steady>,
}

/// The places that have just fallen silent, each with its silent workers. A place within another
/// one is left out.
pub(crate) fn outages(members: &[Member<'_>], now: Steady) -> BTreeMap<Place, Vec<Incarnation>> {
    let mut silent: BTreeMap<Place, Vec<Incarnation>> = BTreeMap::new();
    let mut answering: BTreeMap<Place, usize> = BTreeMap::new();
    for member in members {
        let rack = Place::Rack(member.zone.clone(), member.rack.to_owned());
        for place in [Place::Zone(member.zone.clone()), rack] {
            match member.silent_since {
                Some(since) if now.since(since) <= WINDOW_MS => {
                    silent.entry(place).or_default().push(member.id.clone());
                }
                // It was lost by itself.
                Some(_) => {}
                None => *answering.entry(place).or_default() += 1,
            }
        }
    }
    silent.retain(|place, workers| {
        let present = workers.len() + answering.get(place).copied().unwrap_or_default();
        MIN_WORKERS <= workers.len() && present * MIN_SHARE_PERCENT <= workers.len() * 100
    });
    let places: Vec<Place> = silent.keys().cloned().collect();
    silent.retain(|place, _| !places.iter().any(|other| other != place && other.covers(place)));
    silent
}
