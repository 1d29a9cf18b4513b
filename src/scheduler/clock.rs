//! The node's clock, which also detects pauses of the process.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

use crate::model::unit::{Now, Steady, Time};

/// A gap between two readings of the clock that counts as a pause of the process, in milliseconds:
/// the control loop reads it ten times a second, and a node short of processor time may wait a
/// tenth of a second.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

/// A clock that never jumps and that includes the time while the machine is suspended: leases and
/// time limits expire meanwhile for all other processes.
#[derive(Debug)]
pub(crate) struct Clock {
    origin: Duration,
    /// When it was last read, in milliseconds since its origin.
    last_read: AtomicU64,
    /// When the end of a pause of the process was last detected.
    resumed: AtomicU64,
    #[cfg(test)]
    simulated_pauses: AtomicU64,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            origin: since_boot(),
            last_read: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
            #[cfg(test)]
            simulated_pauses: AtomicU64::new(0),
        }
    }

    /// The current time by the steady clock and by the wall clock.
    pub(crate) fn now(&self) -> Now {
        let millis = since_boot().saturating_sub(self.origin).as_millis() as u64;
        #[cfg(test)]
        let millis = millis + self.simulated_pauses.load(Ordering::Acquire);
        let last_read = self.last_read.fetch_max(millis, Ordering::AcqRel);
        if last_read + PAUSE_THRESHOLD_MS <= millis {
            self.resumed.fetch_max(millis, Ordering::AcqRel);
        }
        Now { steady: Steady::from_millis(millis), wall: Time::now() }
    }

    /// When the end of a pause of the process was last detected, a suspended machine included:
    /// decisions made before that may no longer hold.
    pub(crate) fn last_resumed(&self) -> Steady {
        Steady::from_millis(self.resumed.load(Ordering::Acquire))
    }

    /// Simulates a pause of the process.
    #[cfg(test)]
    pub(crate) fn simulate_pause(&self, millis: u64) {
        self.simulated_pauses.fetch_add(millis, Ordering::AcqRel);
    }
}

/// The processor time that the process has used so far; zero if it cannot be read.
pub(crate) fn process_cpu() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// The time since boot, including time suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(
        |error| {
            // Falls back to a clock that stops while the machine is suspended.
            static FALLBACK: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
            let first_use = FALLBACK.get_or_init(|| {
                log::error!(
                    "clock: cannot read CLOCK_BOOTTIME, suspended time is not counted: {error}"
                );
                Instant::now()
            });
            first_use.elapsed()
        },
        Duration::from,
    )
}
