//! Queues and pools, as operators configure them.

use std::collections::BTreeMap;

use crate::model::{id::PoolId, job::Advice};

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Queue {
    pub(crate) name: String,
    /// The `Host` header that leads to the queue.
    pub(crate) host: String,
    /// What the path begins with.
    pub(crate) prefix: String,
    /// The pool whose workers run its jobs.
    pub(crate) pool: PoolId,
    /// 0 comes first.
    pub(crate) priority: u32,
    /// A task that has failed so often fails its job.
    pub(crate) attempts: u32,
    /// The objective, as a multiple of a job's longest chain of work, in percent.
    pub(crate) stretch: u32,
    /// What is added to the objective, in milliseconds.
    pub(crate) target_ms: u64,
    /// Set if steps need tickets.
    pub(crate) advice: Option<Advice>,
}

/// A pool of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolRules {
    /// Its hosts are off and cost nothing: it holds what no other pool needs now.
    pub(crate) off: bool,
    /// Its workers refuse what does not fit.
    pub(crate) guards: bool,
}

/// One configuration, in full.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct QueueConfig {
    pub(crate) version: u64,
    pub(crate) queues: Vec<Queue>,
    pub(crate) pools: BTreeMap<PoolId, PoolRules>,
}

impl QueueConfig {
    /// The queue of a request: the host must be the same, and the longest prefix wins.
    pub(crate) fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |queue: &&Queue| queue.host == host && path.starts_with(&queue.prefix);
        self.queues.iter().filter(fits).max_by_key(|queue| queue.prefix.len())
    }
}
