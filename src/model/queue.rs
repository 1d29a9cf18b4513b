//! Queues and pools as configured by operators.

use std::collections::BTreeMap;

use crate::model::{account::Accounts, id::PoolId, job::AdviceTiming};

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Queue {
    pub(crate) name: String,
    /// The `Host` header of requests to the queue.
    pub(crate) host: String,
    /// Prefix of the request path.
    pub(crate) prefix: String,
    /// The pool whose workers run the jobs.
    pub(crate) pool: PoolId,
    /// Whether calls need no key of a client account.
    pub(crate) public: bool,
    /// Priority; 0 is the highest.
    pub(crate) priority: u32,
    /// Number of failed runs of a task that fail its job.
    pub(crate) max_attempts: u32,
    /// The completion time objective, in percent of a job's critical path.
    pub(crate) stretch_percent: u32,
    /// Fixed allowance added to the objective, in milliseconds.
    pub(crate) target_ms: u64,
    /// Set if steps need tickets of the advice service.
    pub(crate) advice: Option<AdviceTiming>,
}

/// A pool of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolRules {
    /// The hosts are powered off and cost nothing: the pool holds those that no other pool needs.
    pub(crate) headroom: bool,
    /// The workers refuse tasks that do not fit.
    pub(crate) admission_check: bool,
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct QueueConfig {
    pub(crate) version: u64,
    pub(crate) queues: Vec<Queue>,
    pub(crate) pools: BTreeMap<PoolId, PoolRules>,
    /// The client accounts; `None` if the deployment has none, and no call needs a key.
    pub(crate) accounts: Option<Accounts>,
}

impl QueueConfig {
    /// Whether calls on a queue need the key of a client account.
    pub(crate) fn needs_key(&self, queue: &Queue) -> bool {
        self.accounts.is_some() && !queue.public
    }

    /// The queue of a request: the `Host` header must be equal, and the longest path prefix wins.
    pub(crate) fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }
}
