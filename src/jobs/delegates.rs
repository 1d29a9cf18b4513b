//! The delegates of a pool's owner: the nodes that send its calls to workers. Only the owner
//! chooses them, and may change them at any time: workers check the owner's token, whichever node
//! sends an order.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    jobs::balance::WORKER_COST_MILLICORES,
    model::{id::Incarnation, unit::Millicores},
};

/// The share of its processor, in percent, that an owner spends on sending calls before it uses
/// delegates. The rest is for deciding and for the requests of callers.
const OWN_CALLS_PERCENT: u32 = 40;

/// The share of its processor, in percent, that an owner with delegates spends on the calls of
/// workers that gave their delegates no answer. With half a core, as many as two delegates call.
const DETOUR_PERCENT: u32 = 10;

/// Workers that one delegate calls. At a peak, twelve take about 60 starts and 60 polls per second:
/// a fifth of a node with 0.12 of a core, and 120 KB/s. With fewer, the owner would send more
/// messages.
const WORKERS_PER_DELEGATE: usize = 12;

/// The delegates of a pool's owner, and the workers that each of them calls.
#[derive(Debug, Default)]
pub(crate) struct Delegates {
    nodes: BTreeMap<String, usize>,
    workers: HashMap<Incarnation, String>,
}

/// Whether a node with this processor time calls this many workers itself.
pub(crate) fn can_call_directly(workers: usize, cpu: Millicores) -> bool {
    workers as u64 * u64::from(WORKER_COST_MILLICORES) * 100
        <= u64::from(cpu.0) * u64::from(OWN_CALLS_PERCENT)
}

/// How many workers a node with this processor time calls itself since they gave their delegates no
/// answer.
pub(crate) fn max_direct(cpu: Millicores) -> usize {
    (cpu.0 * DETOUR_PERCENT / 100 / WORKER_COST_MILLICORES) as usize
}

impl Delegates {
    /// Chooses delegates among the candidates and distributes the workers evenly. Delegates that
    /// are candidates still come first, so that workers keep their delegate where possible, and with
    /// it the open connections.
    pub(crate) fn choose(&mut self, pool: &str, candidates: &[String], workers: &[Incarnation]) {
        let wanted = workers.len().div_ceil(WORKERS_PER_DELEGATE);
        let mut ranked: Vec<&String> = candidates.iter().collect();
        ranked.sort_by_key(|node| (!self.nodes.contains_key(*node), rank(pool, node)));
        ranked.truncate(wanted);
        self.nodes = ranked.into_iter().map(|node| (node.clone(), 0)).collect();
        let max_workers = workers.len().div_ceil(self.nodes.len().max(1));
        let present: HashSet<&Incarnation> = workers.iter().collect();
        let nodes = &mut self.nodes;
        self.workers.retain(|worker, node| match nodes.get_mut(node) {
            Some(count) if present.contains(worker) && *count < max_workers => {
                *count += 1;
                true
            }
            _ => false,
        });
        for worker in workers {
            if self.workers.contains_key(worker) {
                continue;
            }
            let least_loaded = self.nodes.iter_mut().min_by_key(|(_, count)| **count);
            if let Some((node, count)) = least_loaded {
                *count += 1;
                self.workers.insert(worker.clone(), node.clone());
            }
        }
    }

    /// The delegate that calls a worker, or `None` if the owner does.
    pub(crate) fn of(&self, worker: &Incarnation) -> Option<&str> {
        self.workers.get(worker).map(String::as_str)
    }

    /// The nodes that are delegates.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &String> {
        self.nodes.keys()
    }

    /// Removes all delegates: the owner makes all calls.
    pub(crate) fn clear(&mut self) {
        self.nodes.clear();
        self.workers.clear();
    }
}

fn rank(pool: &str, node: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (pool, node).hash(&mut hasher);
    hasher.finish()
}
