//! Availability zones, and whether tasks may start in them.

use std::collections::BTreeMap;

use crate::model::{
    id::ZoneId,
    unit::{Revision, Steady},
};

/// An operator's request that nothing more starts in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Evacuation {
    /// The revision of its record.
    pub(crate) revision: Revision,
    /// Since when this node knows of it.
    pub(crate) since: Steady,
}

/// The state of an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneState {
    Open,
    Evacuated(Evacuation),
}

/// What is known of the availability zones when starts are decided.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Zones {
    pub(crate) evacuated: BTreeMap<ZoneId, Evacuation>,
    /// Whether the operator's records are too old to start anything: any zone may be evacuated.
    pub(crate) outdated: bool,
}

impl Zones {
    /// The state of a zone. Zones without a record are open.
    pub(crate) fn state(&self, zone: &ZoneId) -> ZoneState {
        self.evacuated.get(zone).map_or(ZoneState::Open, |at| ZoneState::Evacuated(*at))
    }

    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.state(zone) != ZoneState::Open
    }

    /// Whether tasks may start in a zone.
    pub(crate) fn may_start(&self, zone: &ZoneId) -> bool {
        !self.outdated && !self.is_evacuated(zone)
    }
}
