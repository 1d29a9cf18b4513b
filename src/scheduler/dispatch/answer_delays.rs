//! How late a delegate sends its answers over one link.

use std::time::{Duration, Instant};

/// How often a link reports its delays, if there is something to report.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// An answer that is sent later than this after it was due is worth a report.
pub(crate) const LATE_ANSWER: Duration = Duration::from_millis(100);

/// The delays of a link's answers since the last report.
#[derive(Debug)]
pub(crate) struct AnswerDelays {
    since: Instant,
    /// Processor time of the process at that time.
    cpu_since: Duration,
    calls: u32,
    total: Duration,
    longest: Duration,
}

impl AnswerDelays {
    pub(crate) fn new(now: Instant, cpu: Duration) -> AnswerDelays {
        AnswerDelays {
            since: now,
            cpu_since: cpu,
            calls: 0,
            total: Duration::ZERO,
            longest: Duration::ZERO,
        }
    }

    /// Records that an answer was sent now.
    pub(crate) fn note_sent(&mut self, due: Instant, now: Instant) {
        let delay = now.saturating_duration_since(due);
        self.calls += 1;
        self.total += delay;
        self.longest = self.longest.max(delay);
    }

    /// The report on the time since the last call that returned one or found nothing to report;
    /// `cpu` returns the processor time of the process so far.
    pub(crate) fn take_report(
        &mut self,
        now: Instant,
        cpu: impl FnOnce() -> Duration,
    ) -> Option<String> {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < REPORT_INTERVAL {
            return None;
        }
        let AnswerDelays { cpu_since, calls, total, longest, .. } =
            std::mem::replace(self, AnswerDelays::new(now, cpu()));
        if longest <= LATE_ANSWER {
            return None;
        }
        let mean = total / calls.max(1);
        let used = self.cpu_since.saturating_sub(cpu_since);
        let used = used.as_micros() * 1_000 / elapsed.as_micros().max(1);
        Some(format!(
            "{calls} calls for another node in the last {} ms, answered up to {} ms late, \
             mean {} ms; cpu {used} millicores",
            elapsed.as_millis(),
            longest.as_millis(),
            mean.as_millis()
        ))
    }
}
