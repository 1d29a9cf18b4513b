//! Tells when what the node knows of the store becomes too old to be used, and when it is not any
//! more, in the log and in the metrics.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::sleep;

use crate::{
    model::unit::Steady,
    platform::records::{OPERATOR_PREFIX, WORKER_PREFIX},
    scheduler::{
        Node,
        keys::{ALL, ROOT},
        view::age::RECORDS_MS,
    },
};

/// How often the ages are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// The least time between two lines about one prefix, in milliseconds: a view that is now older and
/// now younger than its bound is told of by these.
const LINE_PAUSE_MS: u64 = 2_000;

/// What is told of a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It has become too old.
    Late { age_ms: u64 },
    /// It is not any more, and was for so long.
    Back { after_ms: u64 },
}

/// What was last told of one prefix.
#[derive(Debug, Default)]
pub(crate) struct Lateness {
    late_since: Option<Steady>,
    next_line: Steady,
}

impl Lateness {
    /// Looks at the age of a prefix; what is to be told.
    pub(crate) fn look(&mut self, age_ms: u64, now: Steady) -> Option<Turn> {
        let is_late = RECORDS_MS < age_ms;
        if is_late == self.late_since.is_some() || now < self.next_line {
            return None;
        }
        self.next_line = now.after(LINE_PAUSE_MS);
        match self.late_since.take() {
            Some(since) => Some(Turn::Back { after_ms: now.since(since) }),
            None => {
                self.late_since = Some(now);
                Some(Turn::Late { age_ms })
            }
        }
    }
}

/// Looks at the ages of all prefixes until the node ends.
pub(crate) async fn watch(node: Arc<Node>) {
    let mut told: BTreeMap<&'static str, Lateness> = BTreeMap::new();
    loop {
        sleep(LOOK_EVERY).await;
        let now = node.now().steady;
        for prefix in [OPERATOR_PREFIX, ALL, ROOT, WORKER_PREFIX] {
            let Some(age_ms) = node.view().ages.of(prefix, now) else {
                continue;
            };
            node.metrics.view_age(prefix, Duration::from_millis(age_ms));
            match told.entry(prefix).or_default().look(age_ms, now) {
                Some(Turn::Late { age_ms }) => {
                    log::warn!("view of {prefix}: too old: {age_ms} ms");
                }
                Some(Turn::Back { after_ms }) => {
                    log::info!("view of {prefix}: kept up again, after {after_ms} ms");
                }
                None => {}
            }
        }
    }
}
