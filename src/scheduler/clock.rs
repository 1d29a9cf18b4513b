//! The node's clock, and whether the process has stood still.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

use crate::model::unit::{Now, Steady, Time};

/// A process that does not look at its clock for so long has stood still, in milliseconds: its loop
/// looks ten times a second, and a node without processor time waits a tenth of a second.
const STOOD_STILL_MS: u64 = 1_000;

/// A clock that never jumps, and that goes on while the machine is suspended: for all others, leases
/// and time limits go on meanwhile as well.
#[derive(Debug)]
pub(crate) struct Clock {
    began: Duration,
    /// When it was last looked at, in milliseconds since it began.
    seen: AtomicU64,
    /// When the process was last found to have stood still.
    woke: AtomicU64,
    #[cfg(test)]
    stood: AtomicU64,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            began: since_boot(),
            seen: AtomicU64::new(0),
            woke: AtomicU64::new(0),
            #[cfg(test)]
            stood: AtomicU64::new(0),
        }
    }

    /// The present, by both clocks.
    pub(crate) fn now(&self) -> Now {
        let millis = since_boot().saturating_sub(self.began).as_millis() as u64;
        #[cfg(test)]
        let millis = millis + self.stood.load(Ordering::Acquire);
        let seen = self.seen.fetch_max(millis, Ordering::AcqRel);
        if seen + STOOD_STILL_MS <= millis {
            self.woke.fetch_max(millis, Ordering::AcqRel);
        }
        Now { steady: Steady::from_millis(millis), wall: Time::now() }
    }

    /// When the process was last found to have stood still, a suspended machine included: what it had
    /// decided before may no longer hold.
    pub(crate) fn woke(&self) -> Steady {
        Steady::from_millis(self.woke.load(Ordering::Acquire))
    }

    /// Has the process stand still for a while.
    #[cfg(test)]
    pub(crate) fn stand_still(&self, millis: u64) {
        self.stood.fetch_add(millis, Ordering::AcqRel);
    }
}

/// The time since the machine was started, suspended or not.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(
        |error| {
            // Without that clock, one that stands still with the machine.
            static FALLBACK: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
            let began = FALLBACK.get_or_init(|| {
                log::error!("clock: the one that counts suspended time cannot be read: {error}");
                Instant::now()
            });
            began.elapsed()
        },
        Duration::from,
    )
}
