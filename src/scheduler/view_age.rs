//! Monitors the age of the node's view of the store: exports it as a metric, and logs when it
//! becomes too old to be used and when it is current again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    model::unit::Steady,
    platform::records::{OPERATOR_PREFIX, WORKER_PREFIX},
    scheduler::{Node, keys::ROOT, mirror, view::age::MAX_RECORDS_AGE_MS},
};

/// How often the ages are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The minimum time between two log lines about one prefix, in milliseconds: limits the lines about
/// a view whose age crosses the bound again and again.
const MIN_LOG_INTERVAL_MS: u64 = 2_000;

/// A change of a prefix's view to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// It has become stale.
    Stale { age_ms: u64 },
    /// It is current again, after being stale for `after_ms`.
    Current { after_ms: u64 },
}

/// The last logged status of one prefix.
#[derive(Debug, Default)]
pub(crate) struct AgeMonitor {
    stale_since: Option<Steady>,
    next_log: Steady,
}

impl AgeMonitor {
    /// Checks the age of a prefix against the one from which on it is stale; returns the change to
    /// log, if any.
    pub(crate) fn check(
        &mut self,
        age_ms: u64,
        max_age_ms: u64,
        now: Steady,
    ) -> Option<Transition> {
        let is_stale = max_age_ms < age_ms;
        if is_stale == self.stale_since.is_some() || now < self.next_log {
            return None;
        }
        self.next_log = now.after(MIN_LOG_INTERVAL_MS);
        match self.stale_since.take() {
            Some(since) => Some(Transition::Current { after_ms: now.since(since) }),
            None => {
                self.stale_since = Some(now);
                Some(Transition::Stale { age_ms })
            }
        }
    }
}

/// Checks the ages of all prefixes until the node ends.
pub(crate) async fn watch(node: Arc<Node>) {
    let mut logged: BTreeMap<&'static str, AgeMonitor> = BTreeMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now().steady;
        for prefix in [OPERATOR_PREFIX, ROOT, WORKER_PREFIX] {
            let Some(age_ms) = node.view().ages.age_ms(prefix, now) else {
                continue;
            };
            node.metrics.set_view_age(prefix, Duration::from_millis(age_ms));
            let max_age_ms = match prefix {
                // A watch that is answered in time and one that follows it.
                OPERATOR_PREFIX => {
                    MAX_RECORDS_AGE_MS.max(2 * mirror::operator_wait(&node).as_millis() as u64)
                }
                _ => MAX_RECORDS_AGE_MS,
            };
            match logged.entry(prefix).or_default().check(age_ms, max_age_ms, now) {
                Some(Transition::Stale { age_ms }) => {
                    log::warn!("view of {prefix}: stale: {age_ms} ms old");
                }
                Some(Transition::Current { after_ms }) => {
                    log::info!("view of {prefix}: current again after {after_ms} ms");
                }
                None => {}
            }
        }
    }
}
