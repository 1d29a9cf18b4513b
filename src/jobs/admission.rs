//! Whether a job is accepted. A caller whose account is within its weight is always served; what an
//! account sends beyond it is accepted as long as its pool can do it in time.

use std::time::Duration;

use crate::{
    jobs::weights::{AccountLoad, BURST_S},
    model::{
        account::Weight,
        job::JobRecord,
        unit::{Now, Time},
    },
    rate::{PeerDemand, RateLimit, RateShare},
};

/// The longest time after which a refused caller is told to come back.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// What the owners report that matters for the admission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Pressure {
    /// How long work that comes to the pool now would wait, in milliseconds; `None` if no recent
    /// report says so.
    pub(crate) delay_ms: Option<u64>,
    /// What the account sends to all pools.
    pub(crate) sent: AccountLoad,
    /// Nodes that serve callers.
    pub(crate) nodes: u32,
}

/// The decision on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Its account is within its weight.
    Within,
    /// It is beyond its account's weight, and there is room for it.
    Beyond,
    /// It is beyond its account's weight, and its pool cannot do it in time.
    Refused {
        /// The time in which its weight covers what the account has waiting beyond it.
        retry_after: Duration,
    },
}

/// What an account sends to one node.
#[derive(Debug)]
pub(crate) struct Sender {
    share: RateShare,
}

impl Sender {
    /// An account that has sent nothing yet.
    pub(crate) fn new(now: Time) -> Sender {
        Sender { share: RateShare::new(RateLimit::with_burst(BURST_S, 1.0, now), now) }
    }

    /// Decides on a job that can wait for `spare_ms` and still end in time. Unless owners report
    /// that the account is beyond its weight, only what it sends to this node counts.
    pub(crate) fn decide(
        &mut self,
        weight: Weight,
        pressure: Pressure,
        spare_ms: u64,
        now: Time,
    ) -> Verdict {
        let sent = pressure.sent;
        let own = self.share.demand(now);
        let others = match sent.is_over {
            true => PeerDemand { nodes: pressure.nodes, demand: sent.rate.saturating_sub(own) },
            false => PeerDemand { nodes: 1, demand: 0 },
        };
        if self.share.take(weight.rate(), others, 0.0, now).is_ok() {
            self.share.record_request(now);
            return Verdict::Within;
        }
        if pressure.delay_ms.is_none_or(|delay| delay <= spare_ms) {
            self.share.record_request(now);
            return Verdict::Beyond;
        }
        let jobs = f64::from(sent.waiting) + 1.0;
        let seconds = (jobs / weight.rate()).min(MAX_RETRY.as_secs_f64());
        Verdict::Refused { retry_after: Duration::from_secs_f64(seconds) }
    }
}

/// How long a job can wait before its first task begins and still end in time, in milliseconds.
pub(crate) fn spare_ms(record: &JobRecord, now: Now) -> u64 {
    let finite = record.steps.iter().filter(|step| !step.long_running);
    let path: u64 = finite.map(|step| step.estimate_ms).sum();
    let objective = path * u64::from(record.stretch_percent) / 100 + record.target_ms;
    let until_due = record.due(0).since(now.wall).as_millis() as u64;
    objective.saturating_sub(path) + until_due
}
