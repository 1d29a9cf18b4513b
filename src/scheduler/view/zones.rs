//! The evacuations of availability zones in a node's view, and whether the view is recent enough
//! to start tasks.
//!
//! A watch that is silent shows nothing. Once the operator's records are older than
//! [`StartAge::read_ms`], they are read; beyond [`StartAge::max_ms`], nothing starts until the read
//! is answered. If it fails, starts go on by what is known: the node then cannot reach the store,
//! and owns its work only as long as its lease and the grace period after it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    jobs::worker::{SLOWEST_CLOCK_PERCENT, WORKER_LEASE_MS},
    model::{
        id::ZoneId,
        unit::{Revision, Steady},
        zone::{Evacuation, Zones},
    },
};

/// How long after it was decided a worker may carry out a start, in milliseconds: it refuses a start
/// whose lease has expired by its clock.
const MAX_START_DELAY_MS: u64 = WORKER_LEASE_MS * 100 / SLOWEST_CLOCK_PERCENT;

/// The least maximum age of the operator's records for starts, in milliseconds: while nothing
/// changes and the store answers, they get 850 ms old.
const MIN_MAX_AGE_MS: u64 = 1_200;

/// The age of the operator's records beyond which nothing starts, in percent of the age at which
/// they are read.
const READ_MARGIN_PERCENT: u64 = 150;

/// How long a read that failed shows that the store cannot be read, in milliseconds after it was
/// sent: longer than two reads in succession take.
const FAILURE_VALID_MS: u64 = 1_500;

/// The timeout of a read of the evacuations.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// The minimum time between two reads of the evacuations, in milliseconds.
pub(crate) const READ_INTERVAL_MS: u64 = 250;

/// The ages of the operator's records that matter for starts, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartAge {
    /// The age at which they are read.
    pub(crate) read_ms: u64,
    /// The age beyond which nothing starts while they can be read.
    pub(crate) max_ms: u64,
}

impl StartAge {
    /// The ages with which every start is carried out before an evacuation must hold.
    pub(crate) fn within(evacuation: Duration) -> StartAge {
        let room_ms = (evacuation.as_millis() as u64).saturating_sub(MAX_START_DELAY_MS);
        let max_ms = room_ms.max(MIN_MAX_AGE_MS);
        StartAge { read_ms: max_ms * 100 / READ_MARGIN_PERCENT, max_ms }
    }
}

/// The evacuations in a node's view, and the reads of them on demand.
#[derive(Debug, Default)]
pub(crate) struct ZoneView {
    evacuated: BTreeMap<ZoneId, Evacuation>,
    /// When the read in flight was sent.
    reading: Option<Steady>,
    /// When the last read was sent.
    last_read: Option<Steady>,
    /// When the last read that failed was sent, unless a later one succeeded.
    failed_read: Option<Steady>,
}

impl ZoneView {
    /// The evacuations.
    pub(crate) fn evacuated(&self) -> &BTreeMap<ZoneId, Evacuation> {
        &self.evacuated
    }

    /// Records that a zone is evacuated. A record that is written again is the same evacuation.
    pub(crate) fn insert(&mut self, zone: ZoneId, revision: Revision, now: Steady) {
        self.evacuated.entry(zone).or_insert(Evacuation { revision, since: now });
    }

    /// Records that the evacuation of a zone was taken back.
    pub(crate) fn remove(&mut self, zone: &ZoneId) -> Option<Evacuation> {
        self.evacuated.remove(zone)
    }

    /// What starts are decided by; `age_ms` is the age of the operator's records, and `limits` is
    /// `None` if zones are not evacuated.
    pub(crate) fn zones(
        &self,
        age_ms: Option<u64>,
        limits: Option<StartAge>,
        now: Steady,
    ) -> Zones {
        let is_old = limits.is_some_and(|limits| age_ms.is_none_or(|age| limits.max_ms < age));
        Zones { evacuated: self.evacuated.clone(), outdated: is_old && !self.is_unreadable(now) }
    }

    /// Whether the store could not be read lately.
    fn is_unreadable(&self, now: Steady) -> bool {
        self.failed_read.is_some_and(|sent| now.since(sent) < FAILURE_VALID_MS)
    }

    /// Whether the evacuations are to be read now. If so, the read counts as sent.
    pub(crate) fn try_begin_read(
        &mut self,
        age_ms: Option<u64>,
        limits: StartAge,
        now: Steady,
    ) -> bool {
        let is_due = age_ms.is_none_or(|age| limits.read_ms < age)
            && self.reading.is_none()
            && self.last_read.is_none_or(|last| READ_INTERVAL_MS <= now.since(last));
        if is_due {
            (self.reading, self.last_read) = (Some(now), Some(now));
        }
        is_due
    }

    /// Records the result of the read in flight.
    pub(crate) fn note_read(&mut self, succeeded: bool) {
        let sent = self.reading.take();
        self.failed_read = if succeeded { None } else { sent };
    }
}
