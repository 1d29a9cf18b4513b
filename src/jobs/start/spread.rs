//! How the runs of a step are spread over availability zones and racks.

use std::collections::BTreeMap;

use crate::model::id::ZoneId;

/// A failure domain within an availability zone. Racks of different zones may share a name.
type Rack<'a> = (&'a ZoneId, &'a str);

/// The number of runs of a step in each zone and rack.
#[derive(Debug, Default)]
pub(super) struct RunCounts<'a> {
    zones: BTreeMap<&'a ZoneId, u32>,
    racks: BTreeMap<Rack<'a>, u32>,
}

impl<'a> RunCounts<'a> {
    /// Counts the runs that are or may be in these racks.
    pub(super) fn of(runs: impl Iterator<Item = Rack<'a>>) -> RunCounts<'a> {
        let mut counts = RunCounts::default();
        for (zone, rack) in runs {
            *counts.zones.entry(zone).or_default() += 1;
            *counts.racks.entry((zone, rack)).or_default() += 1;
        }
        counts
    }

    /// How many there are in a zone, and in a rack of it.
    pub(super) fn at(&self, zone: &'a ZoneId, rack: &'a str) -> (u32, u32) {
        let in_zone = self.zones.get(zone).copied().unwrap_or_default();
        (in_zone, self.racks.get(&(zone, rack)).copied().unwrap_or_default())
    }
}
