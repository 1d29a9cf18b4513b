//! Which other nodes make an owner's calls to its workers. Only the owner decides that, and may
//! change it at any moment: workers obey its token, whoever brings an order.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    jobs::balance::WORKER_COST,
    model::{id::Incarnation, unit::Millicores},
};

/// The share of its processor, in percent, that an owner spends on calls of its own before others
/// make them: the rest is for deciding, and for what callers ask of the node.
const OWN_PERCENT: u32 = 40;

/// Workers whose calls one other node makes. Twelve make some 60 starts and 60 looks a second at a
/// peak: a fifth of 0.12 of a core, and 120 KB/s. Fewer would cost the owner more messages.
const PER_HELPER: usize = 12;

/// The nodes that make a pool's calls, and for which workers each does.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    nodes: BTreeMap<String, usize>,
    workers: HashMap<Incarnation, String>,
}

/// Whether an owner makes the calls to so many workers itself.
pub(crate) fn is_small(workers: usize, cpu: Millicores) -> bool {
    workers as u64 * u64::from(WORKER_COST) * 100 <= u64::from(cpu.0) * u64::from(OWN_PERCENT)
}

impl Helpers {
    /// Chooses among the nodes that may help, and shares the workers out evenly. Those that have a
    /// node keep it as far as that goes, with the connections that are open.
    pub(crate) fn choose(&mut self, pool: &str, candidates: &[String], workers: &[Incarnation]) {
        let wanted = workers.len().div_ceil(PER_HELPER);
        let mut ranked: Vec<&String> = candidates.iter().collect();
        ranked.sort_by_key(|node| rank(pool, node));
        ranked.truncate(wanted);
        self.nodes = ranked.into_iter().map(|node| (node.clone(), 0)).collect();
        let most = workers.len().div_ceil(self.nodes.len().max(1));
        let known: HashSet<&Incarnation> = workers.iter().collect();
        let nodes = &mut self.nodes;
        self.workers.retain(|worker, node| match nodes.get_mut(node) {
            Some(count) if known.contains(worker) && *count < most => {
                *count += 1;
                true
            }
            _ => false,
        });
        for worker in workers {
            if self.workers.contains_key(worker) {
                continue;
            }
            let least = self.nodes.iter_mut().min_by_key(|(_, count)| **count);
            if let Some((node, count)) = least {
                *count += 1;
                self.workers.insert(worker.clone(), node.clone());
            }
        }
    }

    /// The node that makes the calls to a worker; none if the owner does.
    pub(crate) fn of(&self, worker: &Incarnation) -> Option<&str> {
        self.workers.get(worker).map(String::as_str)
    }

    /// The nodes that make calls.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &String> {
        self.nodes.keys()
    }

    /// Has the owner make all calls.
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
