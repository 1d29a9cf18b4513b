//! The parts of a full pool that client accounts are entitled to: weighted max-min fairness over
//! the resource that is short. An account that asks for less than its share gets all of it, and the
//! others divide the rest in proportion to their weights.

use std::collections::HashMap;

use crate::model::{account::Weight, id::AccountId, job::TaskResources};

/// An amount of processor time and memory, or of both over time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Amount {
    /// Millicores, or millicores times milliseconds.
    pub(crate) cpu: u64,
    /// Megabytes, or megabytes times milliseconds.
    pub(crate) memory: u64,
}

impl Amount {
    /// Adds the resources of some tasks, times a factor.
    pub(crate) fn add(&mut self, need: &TaskResources, times: u64) {
        self.cpu += u64::from(need.cpu.0) * times;
        self.memory += u64::from(need.memory.0) * times;
    }

    fn of(&self, resource: Resource) -> u64 {
        match resource {
            Resource::Cpu => self.cpu,
            Resource::Memory => self.memory,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resource {
    Cpu,
    Memory,
}

/// What a job of an account with a weight uses and asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) account: AccountId,
    pub(crate) weight: Weight,
    /// Used by its runs.
    pub(crate) running: Amount,
    /// Asked for by its tasks that wait and are due.
    pub(crate) waiting: Amount,
    /// Whether the job is within the weight and can still end in time.
    pub(crate) counts: bool,
}

/// The part of an account, in units of the resource that is short.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    weight: f64,
    running: u64,
    waiting: u64,
    /// What it is entitled to.
    entitled: u64,
    /// What it may still be given in the current plan.
    left: u64,
}

impl Part {
    fn demand(&self) -> u64 {
        self.running + self.waiting
    }
}

/// The parts of all accounts with claims to a pool that is full.
#[derive(Debug)]
pub(crate) struct FairShares {
    resource: Resource,
    parts: HashMap<AccountId, Part>,
}

impl FairShares {
    /// Divides a pool between claims; `None` if it holds all of them.
    pub(crate) fn divide<'a>(
        claims: impl Iterator<Item = &'a Claim> + Clone,
        capacity: Amount,
    ) -> Option<FairShares> {
        let mut asked = Amount::default();
        for claim in claims.clone() {
            let waiting = if claim.counts { claim.waiting } else { Amount::default() };
            asked.cpu += claim.running.cpu + waiting.cpu;
            asked.memory += claim.running.memory + waiting.memory;
        }
        let of_cpu = u128::from(asked.cpu) * u128::from(capacity.memory);
        let of_memory = u128::from(asked.memory) * u128::from(capacity.cpu);
        let resource = if of_memory <= of_cpu { Resource::Cpu } else { Resource::Memory };
        if asked.of(resource) <= capacity.of(resource) {
            return None;
        }
        let mut parts: HashMap<AccountId, Part> = HashMap::new();
        for claim in claims {
            let part = parts.entry(claim.account.clone()).or_default();
            part.weight = claim.weight.rate();
            part.running += claim.running.of(resource);
            if claim.counts {
                part.waiting += claim.waiting.of(resource);
            }
        }
        let mut accounts: Vec<&mut Part> = parts.values_mut().collect();
        max_min(&mut accounts, capacity.of(resource));
        Some(FairShares { resource, parts })
    }

    /// Takes what a claim asks for from the part of its account. Returns whether any of it was left:
    /// the last job of a part may exceed it, or a large one would never start.
    pub(crate) fn take(&mut self, claim: &Claim) -> bool {
        let Some(part) = self.parts.get_mut(&claim.account) else {
            return true;
        };
        let is_within = part.left != 0 || part.demand() <= part.entitled;
        part.left = part.left.saturating_sub(claim.waiting.of(self.resource));
        is_within
    }
}

/// Gives each account what it asks for, or else its part by weight of what the smaller ones leave.
fn max_min(accounts: &mut [&mut Part], capacity: u64) {
    // Those that ask for the least of their weight are satisfied first.
    accounts
        .sort_by(|a, b| (a.demand() as f64 / a.weight).total_cmp(&(b.demand() as f64 / b.weight)));
    let mut weights: f64 = accounts.iter().map(|part| part.weight).sum();
    let mut left = capacity;
    for part in accounts {
        let equal = (left as f64 * part.weight / weights.max(f64::MIN_POSITIVE)) as u64;
        part.entitled = part.demand().min(equal);
        part.left = part.entitled.saturating_sub(part.running);
        left -= part.entitled.min(left);
        weights -= part.weight;
    }
}
