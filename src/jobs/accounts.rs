//! The limits of client accounts, which hold over all pools.
//!
//! Each pool has another owner, so a limit is divided: one record for each account holds the share
//! of its limit that each pool has reserved. An owner starts a task only within the share of its
//! pool. It changes that share by a write which requires that the record is as it knows it and that
//! the pool has no later owner; the shares of a record never exceed the whole limit.
//!
//! A share belongs to the pool and not to its owner. The next owner takes it over, and assumes that
//! all of it is in use until it knows what runs. Nothing expires: while the store is away, every
//! pool keeps its share.
//!
//! A pool that lacks a share writes how much it wants. The owners of the others then give up what
//! they do not use, and if that is not enough, the limit is divided evenly between the pools.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::weights::AccountWeights,
    model::{
        account::Accounts,
        id::{AccountId, PoolId},
        job::TaskResources,
        unit::{Revision, Steady},
    },
};

/// A part of an account's limit, in millionths.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize, Hash,
)]
#[serde(transparent)]
pub(crate) struct Share(u32);

/// The whole limit.
pub(crate) const WHOLE: Share = Share(1_000_000);

/// The least that a pool reserves at a time, so that an account's first jobs share a write.
const MIN_STEP: Share = Share(62_500);

/// How long a pool keeps a share that it does not use while no other pool wants it, in
/// milliseconds.
const IDLE_MS: u64 = 1_000;

/// The minimum time between two writes of a pool about one account that do not enlarge its share,
/// in milliseconds.
const WRITE_PAUSE_MS: u64 = 50;

impl Share {
    fn saturating_sub(self, other: Share) -> Share {
        Share(self.0.saturating_sub(other.0))
    }

    fn plus(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0))
    }

    /// What a share of a limit amounts to.
    fn of(self, limit: u64) -> u64 {
        limit * u64::from(self.0) / u64::from(WHOLE.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{} %", self.0 / 10_000, self.0 / 1_000 % 10)
    }
}

/// The resources that runs use together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ResourceSum {
    cpu: u64,
    memory: u64,
    gpus: u64,
}

impl ResourceSum {
    pub(crate) fn add(&mut self, need: &TaskResources, times: u64) {
        self.cpu += u64::from(need.cpu.0) * times;
        self.memory += u64::from(need.memory.0) * times;
        self.gpus += u64::from(need.gpus) * times;
    }

    pub(crate) fn remove(&mut self, need: &TaskResources) {
        self.cpu = self.cpu.saturating_sub(need.cpu.0.into());
        self.memory = self.memory.saturating_sub(need.memory.0.into());
        self.gpus = self.gpus.saturating_sub(need.gpus.into());
    }

    /// The least share of a limit that contains these resources. May exceed the whole.
    fn share_of(&self, limit: &TaskResources) -> Share {
        let part = |used: u64, limit: u32| match limit {
            0 => 0,
            limit => (used * u64::from(WHOLE.0)).div_ceil(limit.into()),
        };
        let parts = [
            part(self.cpu, limit.cpu.0),
            part(self.memory, limit.memory.0),
            part(self.gpus, limit.gpus),
        ];
        Share(parts.into_iter().max().unwrap_or_default().min(u32::MAX.into()) as u32)
    }

    /// How many tasks fit beside these resources into a share of a limit.
    fn room(&self, share: Share, limit: &TaskResources, need: &TaskResources) -> usize {
        let room = |used: u64, limit: u32, need: u32| match (limit, need) {
            (0, _) | (_, 0) => u64::MAX,
            (limit, need) => share.of(limit.into()).saturating_sub(used) / u64::from(need),
        };
        let rooms = [
            room(self.cpu, limit.cpu.0, need.cpu.0),
            room(self.memory, limit.memory.0, need.memory.0),
            room(self.gpus, limit.gpus, need.gpus),
        ];
        rooms.into_iter().min().unwrap_or(u64::MAX).min(usize::MAX as u64) as usize
    }
}

fn is_unlimited(limit: &TaskResources) -> bool {
    *limit == TaskResources::default()
}

/// The part of a pool in the record of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct PoolShare {
    /// What the pool may use.
    #[serde(rename = "h")]
    pub(crate) held: Share,
    /// What it could use now, if that is more.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub(crate) wanted: Share,
    /// The limit that both are shares of. What is reserved does not change with the limit.
    #[serde(rename = "l")]
    pub(crate) limit: TaskResources,
    /// The token of the owner that has written this.
    #[serde(rename = "t")]
    pub(crate) token: u64,
}

fn is_zero(share: &Share) -> bool {
    *share == Share::default()
}

impl PoolShare {
    fn lacks(&self) -> bool {
        self.held < self.wanted
    }

    fn claim(&self) -> Share {
        self.held.max(self.wanted)
    }

    /// The same reservation as a part of another limit. May exceed the whole.
    fn scaled_to(&self, limit: &TaskResources) -> PoolShare {
        if self.limit == *limit {
            return *self;
        }
        let scale = |share: Share| {
            let part = |then: u32, now: u32| match (then, now) {
                (0, _) | (_, 0) => None,
                (then, now) => Some((u64::from(share.0) * u64::from(then)).div_ceil(now.into())),
            };
            let parts = [
                part(self.limit.cpu.0, limit.cpu.0),
                part(self.limit.memory.0, limit.memory.0),
                part(self.limit.gpus, limit.gpus),
            ];
            let largest = parts.into_iter().flatten().max().unwrap_or(share.0.into());
            Share(largest.min(u32::MAX.into()) as u32)
        };
        PoolShare { held: scale(self.held), wanted: scale(self.wanted), limit: *limit, ..*self }
    }
}

/// The record of an account: the shares of its limit, by pool.
pub(crate) type PoolShares = BTreeMap<PoolId, PoolShare>;

/// Divides the whole limit between claims: each gets what it claims, or else an equal part of what
/// the smaller claims leave. Returns the part of the claim at `own`.
fn fair_part(claims: &[Share], own: usize) -> Share {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|at| (claims[*at], *at));
    let mut left = WHOLE.0;
    for (position, at) in order.iter().enumerate() {
        let equal = left / (order.len() - position) as u32;
        let part = claims[*at].0.min(equal);
        if *at == own {
            return Share(part);
        }
        left -= part;
    }
    Share::default()
}

/// What a pool's owner knows of an account's use of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Use {
    /// What certainly is reserved by runs, or may be.
    used: Share,
    /// That and what waits for a larger share only.
    wanted: Share,
    /// Whether the pool has not used its share for some time.
    is_idle: bool,
}

/// The part of the limit that a pool is entitled to, by what all pools claim: the whole unless
/// another pool lacks a share.
fn entitlement(shares: &PoolShares, own: &PoolId, own_claim: Share) -> Share {
    let others = || shares.iter().filter(|(pool, _)| *pool != own).map(|(_, share)| share);
    if !others().any(PoolShare::lacks) {
        return WHOLE;
    }
    let claims: Vec<Share> = others().map(PoolShare::claim).chain([own_claim]).collect();
    fair_part(&claims, claims.len() - 1)
}

/// The share that a pool should have in an account's record.
fn next_share(shares: &PoolShares, own: &PoolId, now: Use) -> PoolShare {
    let current = shares.get(own).copied().unwrap_or_default();
    let wanted = if current.held < now.wanted { now.wanted.min(WHOLE) } else { Share::default() };
    let others = || shares.iter().filter(|(pool, _)| *pool != own).map(|(_, share)| share);
    let others_lack = others().any(PoolShare::lacks);
    let free = others().fold(WHOLE, |free, share| free.saturating_sub(share.held));
    let entitled = entitlement(shares, own, PoolShare { wanted, ..current }.claim());
    let held = if wanted != Share::default() {
        // Doubled, so that a rising demand takes few writes; what is not used is given back.
        let step = if others_lack { wanted } else { wanted.plus(wanted).max(MIN_STEP) };
        let enlarged = step.min(entitled).min(free);
        match others_lack && entitled < current.held {
            true => now.used.max(entitled).min(current.held),
            false => enlarged.max(current.held),
        }
    } else if others_lack || now.is_idle {
        let kept = if now.is_idle { now.used } else { now.wanted };
        now.used.max(kept.min(entitled)).min(current.held)
    } else {
        current.held
    };
    let wanted = if held < wanted { wanted } else { Share::default() };
    PoolShare { held, wanted, ..current }
}

/// A write of an account's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ShareWrite {
    pub(crate) account: AccountId,
    /// The revision that the record must have; 0 if there must be none.
    pub(crate) expected: Revision,
    pub(crate) shares: PoolShares,
}

/// The result of a write of accounts' records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ShareResult {
    /// Written at this revision.
    Done(Revision),
    /// Not written: the current records, with revision 0 for those that do not exist.
    Conflict(Vec<(AccountId, Revision, PoolShares)>),
    /// Not written.
    NotWritten,
    /// Perhaps written, or still to be.
    Unknown,
}

/// An account in a pool.
#[derive(Debug, Default)]
struct PoolAccount {
    limit: TaskResources,
    /// The share within which tasks may be started, in the current plan.
    usable: Share,
    /// The newest known record.
    revision: Revision,
    shares: PoolShares,
    /// What runs that this owner has started use or may use.
    started: ResourceSum,
    /// The same of runs that were taken over.
    adopted: ResourceSum,
    /// What waits for a larger share only, in the current plan.
    denied: ResourceSum,
    denied_tasks: usize,
    /// The share after the write in flight.
    in_flight: Option<PoolShare>,
    /// The shares after writes whose result is not known, and which may still be done: they require
    /// the record at `revision`.
    unsure: Vec<PoolShare>,
    next_write: Steady,
    /// Until then, the share counts as in use.
    idle_from: Steady,
    /// Since when tasks wait for a larger share.
    denied_since: Option<Steady>,
    next_log: Steady,
}

impl PoolAccount {
    /// The shares of all pools, as parts of the present limit.
    fn scaled(&self) -> PoolShares {
        let shares = self.shares.iter();
        shares.map(|(pool, share)| (pool.clone(), share.scaled_to(&self.limit))).collect()
    }

    fn held(&self, own: &PoolId) -> Share {
        self.shares.get(own).map(|share| share.scaled_to(&self.limit).held).unwrap_or_default()
    }

    /// What the other pools hold together.
    fn held_elsewhere(&self, own: &PoolId) -> Share {
        let others = self.shares.iter().filter(|(pool, _)| *pool != own);
        let held = others.map(|(_, share)| share.scaled_to(&self.limit).held);
        held.fold(Share::default(), Share::plus)
    }

    /// The share within which an owner may start tasks: at most what its pool holds, whatever
    /// becomes of its writes. After the limit was lowered, pools may hold more than the whole
    /// together: nothing starts until they hold less. What another pool is entitled to is not used
    /// again once it is free.
    fn compute_usable(&self, own: &PoolId, token: u64) -> Share {
        let shares = self.scaled();
        let current = shares.get(own).copied().unwrap_or_default();
        if token < current.token {
            // The pool has a later owner.
            return Share::default();
        }
        let written = self.in_flight.iter().chain(&self.unsure);
        let written = written.map(|share| share.scaled_to(&self.limit).held);
        let free = WHOLE.saturating_sub(self.held_elsewhere(own));
        let usable = written.fold(current.held.min(free), Share::min);
        usable.min(entitlement(&shares, own, current.claim()))
    }

    fn note_record(&mut self, revision: Revision, shares: PoolShares) {
        if revision == Revision(0) {
            // Another program has removed the record: the next write restores it.
            self.revision = revision;
        } else if self.revision < revision {
            (self.revision, self.shares) = (revision, shares);
            // What requires the earlier record has been done, or never will.
            self.unsure.clear();
        }
    }
}

/// How an account stands in a pool, for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AccountStatus {
    pub(crate) account: AccountId,
    pub(crate) held: Share,
    pub(crate) used: Share,
    pub(crate) wanted: Share,
    /// The shares that other pools hold.
    pub(crate) elsewhere: Share,
    /// Tasks that wait for a larger share.
    pub(crate) waiting: usize,
}

/// The accounts of a pool, at its owner.
#[derive(Debug)]
pub(crate) struct PoolAccounts {
    pool: PoolId,
    /// The token of the pool's owner.
    token: u64,
    /// The version of the configuration that the limits are from; `None` before the first.
    version: Option<u64>,
    accounts: HashMap<AccountId, PoolAccount>,
    /// The shares at the change of owners, all of which may be in use until all runs are known.
    inherited: Option<HashMap<AccountId, PoolShare>>,
    /// How long starts have waited for a larger share, since the last call of `take_waits`.
    waits_ms: Vec<u64>,
    pub(crate) weights: AccountWeights,
}

impl PoolAccounts {
    /// The accounts of a pool without any record, for the owner with a token.
    pub(crate) fn new(pool: PoolId, token: u64) -> PoolAccounts {
        PoolAccounts {
            pool,
            token,
            version: None,
            accounts: HashMap::new(),
            inherited: None,
            waits_ms: Vec::new(),
            weights: AccountWeights::default(),
        }
    }

    /// Takes over the records of all accounts, as of the change of owners. If the pool has had an
    /// owner, everything that it has reserved may be in use.
    pub(crate) fn inherit<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a AccountId, Revision, &'a PoolShares)>,
        has_predecessor: bool,
    ) {
        let mut inherited = HashMap::new();
        for (id, revision, shares) in records {
            let account = self.accounts.entry(id.clone()).or_default();
            account.note_record(revision, shares.clone());
            inherited.insert(id.clone(), shares.get(&self.pool).copied().unwrap_or_default());
        }
        self.inherited = has_predecessor.then_some(inherited);
    }

    /// Records that everything that runs in the pool is known.
    pub(crate) fn note_settled(&mut self) {
        self.inherited = None;
    }

    /// Sets the limits by a version of the configuration.
    pub(crate) fn configure(&mut self, version: u64, accounts: Option<&Accounts>) {
        if self.version == Some(version) {
            return;
        }
        self.version = Some(version);
        self.weights.configure(accounts);
        for (id, account) in &mut self.accounts {
            let configured = accounts.and_then(|accounts| accounts.get(id));
            account.limit = configured.map(|account| account.limit).unwrap_or_default();
        }
        for configured in accounts.into_iter().flat_map(Accounts::iter) {
            self.accounts.entry(configured.id.clone()).or_default().limit = configured.limit;
        }
    }

    /// Records the record of an account.
    pub(crate) fn note_record(&mut self, id: &AccountId, revision: Revision, shares: &PoolShares) {
        self.accounts.entry(id.clone()).or_default().note_record(revision, shares.clone());
    }

    /// Records that a run uses resources, or may use them.
    pub(crate) fn occupy(&mut self, id: &AccountId, need: &TaskResources, is_adopted: bool) {
        let account = self.accounts.entry(id.clone()).or_default();
        let sum = if is_adopted { &mut account.adopted } else { &mut account.started };
        sum.add(need, 1);
    }

    /// Records that a run certainly uses nothing any more.
    pub(crate) fn release(&mut self, id: &AccountId, need: &TaskResources, is_adopted: bool) {
        if let Some(account) = self.accounts.get_mut(id) {
            let sum = if is_adopted { &mut account.adopted } else { &mut account.started };
            sum.remove(need);
        }
    }

    /// Begins a plan: nothing was denied so far.
    pub(crate) fn begin_plan(&mut self) {
        for account in self.accounts.values_mut() {
            account.usable = account.compute_usable(&self.pool, self.token);
            (account.denied, account.denied_tasks) = (ResourceSum::default(), 0);
        }
    }

    /// How many tasks of an account may be started.
    pub(crate) fn room(&self, id: &AccountId, need: &TaskResources) -> usize {
        let Some(account) = self.accounts.get(id).filter(|one| !is_unlimited(&one.limit)) else {
            return usize::MAX;
        };
        let usable = account.usable;
        match &self.inherited {
            // What was taken over is within the inherited share.
            Some(inherited) => {
                let usable = usable.saturating_sub(reserved(inherited, id, account));
                account.started.room(usable, &account.limit, need)
            }
            None => account.all().room(usable, &account.limit, need),
        }
    }

    /// Records that tasks wait for a larger share of their account's limit.
    pub(crate) fn deny(&mut self, id: &AccountId, need: &TaskResources, tasks: usize) {
        let account = self.accounts.entry(id.clone()).or_default();
        account.denied.add(need, tasks as u64);
        account.denied_tasks += tasks;
    }

    /// Ends a plan.
    pub(crate) fn end_plan(&mut self, now: Steady) {
        for account in self.accounts.values_mut() {
            if account.denied_tasks != 0 {
                account.denied_since.get_or_insert(now);
            } else if let Some(since) = account.denied_since.take() {
                self.waits_ms.push(now.since(since));
            }
        }
    }

    /// How long starts have waited for a larger share, in milliseconds, since the last call.
    pub(crate) fn take_waits(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.waits_ms)
    }

    fn use_of(&self, id: &AccountId, account: &PoolAccount, now: Steady) -> Use {
        let used = match &self.inherited {
            Some(inherited) => {
                let started = account.started.share_of(&account.limit);
                started.plus(reserved(inherited, id, account))
            }
            None => account.all().share_of(&account.limit),
        };
        let denied = account.denied.share_of(&account.limit);
        // Both are rounded up, so that their sum suffices for all.
        let wanted = if account.denied_tasks == 0 { used } else { used.plus(denied) };
        Use { used, wanted, is_idle: account.idle_from <= now }
    }

    /// The writes that are due, of at most `limit` accounts. The caller reports their result.
    pub(crate) fn take_writes(&mut self, limit: usize, now: Steady) -> Vec<ShareWrite> {
        let mut writes = Vec::new();
        let may_change = |account: &PoolAccount| {
            let own = account.shares.get(&self.pool);
            let is_listed = own.is_some_and(|own| own.claim() != Share::default());
            is_listed || account.denied_tasks != 0 || !account.unsure.is_empty()
        };
        let candidates = self.accounts.iter().filter(|(_, account)| may_change(account));
        let mut ids: Vec<AccountId> = candidates.map(|(id, _)| id.clone()).collect();
        ids.sort();
        for id in ids {
            if writes.len() == limit {
                break;
            }
            writes.extend(self.take_write(&id, now));
        }
        writes
    }

    fn take_write(&mut self, id: &AccountId, now: Steady) -> Option<ShareWrite> {
        let account = self.accounts.get(id).filter(|one| !is_unlimited(&one.limit))?;
        let shares = account.scaled();
        let none = PoolShare { limit: account.limit, ..PoolShare::default() };
        let current = shares.get(&self.pool).copied().unwrap_or(none);
        if self.token < current.token {
            return None;
        }
        let state = self.use_of(id, account, now);
        let next = next_share(&shares, &self.pool, state);
        let next = PoolShare { limit: account.limit, token: self.token, ..next };
        let current = PoolShare { token: self.token, ..current };
        let account = self.accounts.get_mut(id)?;
        if current.held <= state.wanted.plus(state.wanted) {
            account.idle_from = now.after(IDLE_MS);
        }
        let is_larger = current.held < next.held;
        if account.in_flight.is_some()
            || (next == current && account.unsure.is_empty())
            || (now < account.next_write && !is_larger)
        {
            return None;
        }
        let mut shares = account.shares.clone();
        shares.insert(self.pool.clone(), next);
        account.in_flight = Some(next);
        account.next_write = now.after(WRITE_PAUSE_MS);
        Some(ShareWrite { account: id.clone(), expected: account.revision, shares })
    }

    /// Records the result of writes that were made together.
    pub(crate) fn note_written(&mut self, writes: Vec<ShareWrite>, result: ShareResult) {
        for write in writes {
            let Some(account) = self.accounts.get_mut(&write.account) else {
                continue;
            };
            let written = account.in_flight.take();
            match &result {
                ShareResult::Done(revision) => account.note_record(*revision, write.shares),
                ShareResult::Conflict(records) => {
                    let found = records.iter().find(|(id, ..)| *id == write.account);
                    if let Some((_, revision, shares)) = found {
                        account.note_record(*revision, shares.clone());
                    }
                }
                ShareResult::NotWritten => {}
                // Unless the record has changed meanwhile.
                ShareResult::Unknown if account.revision == write.expected => {
                    account.unsure.extend(written);
                }
                ShareResult::Unknown => {}
            }
        }
    }

    /// The accounts of which tasks wait for a larger share, once a second for each.
    pub(crate) fn log_waiting(&mut self, now: Steady) -> Vec<AccountStatus> {
        let waiting = self.accounts.iter().filter(|(_, account)| account.denied_tasks != 0);
        let due = waiting.filter(|(_, account)| account.next_log <= now);
        let status: Vec<AccountStatus> = due.map(|(id, one)| self.status(id, one, now)).collect();
        for status in &status {
            if let Some(account) = self.accounts.get_mut(&status.account) {
                account.next_log = now.after(1_000);
            }
        }
        status
    }

    fn status(&self, id: &AccountId, account: &PoolAccount, now: Steady) -> AccountStatus {
        let Use { used, wanted, .. } = self.use_of(id, account, now);
        AccountStatus {
            account: id.clone(),
            held: account.held(&self.pool),
            used,
            wanted,
            elsewhere: account.held_elsewhere(&self.pool),
            waiting: account.denied_tasks,
        }
    }
}

/// The share of an account that may be in use by what earlier owners have started.
fn reserved(
    inherited: &HashMap<AccountId, PoolShare>,
    id: &AccountId,
    account: &PoolAccount,
) -> Share {
    inherited.get(id).map(|share| share.scaled_to(&account.limit).held).unwrap_or_default()
}

impl PoolAccount {
    fn all(&self) -> ResourceSum {
        let (mine, taken_over) = (self.started, self.adopted);
        ResourceSum {
            cpu: mine.cpu + taken_over.cpu,
            memory: mine.memory + taken_over.memory,
            gpus: mine.gpus + taken_over.gpus,
        }
    }
}
