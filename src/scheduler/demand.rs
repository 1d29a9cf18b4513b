//! The demand of pools for processor time, from the jobs in the view.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    jobs::fleet::Demand,
    model::{
        id::{AccountId, PoolId},
        job::{JobId, JobRecord},
        queue::QueueConfig,
        unit::{Revision, Time},
    },
    scheduler::view::{KnownJob, Versioned, View},
};

/// The window over which arrivals are counted: a change of demand shows fully after half of it.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);

/// The current demand of each pool, computed from scratch.
pub(crate) fn of_pools(view: &View, config: &QueueConfig, wall: Time) -> BTreeMap<PoolId, Demand> {
    Demands::default().of_pools(view, config, wall)
}

/// Computes the demand of pools repeatedly. The steps of a job are evaluated again only when its
/// records have changed or another of its occurrences is due: the view is locked meanwhile, on the
/// node that also has to apply the changes from the store.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    jobs: HashMap<JobId, JobDemand>,
    /// How often the demand was computed.
    round: u64,
    /// How often a step was evaluated.
    #[cfg(test)]
    evaluated_steps: std::cell::Cell<usize>,
}

impl Demands {
    /// How often a step was evaluated since the last call.
    #[cfg(test)]
    pub(crate) fn take_evaluations(&self) -> usize {
        self.evaluated_steps.take()
    }

    /// The current demand of each pool.
    pub(crate) fn of_pools(
        &mut self,
        view: &View,
        config: &QueueConfig,
        wall: Time,
    ) -> BTreeMap<PoolId, Demand> {
        let mut demands: BTreeMap<PoolId, Demand> =
            config.pools.keys().map(|pool| (pool.clone(), Demand::default())).collect();
        self.round += 1;
        let mut by_account: BTreeMap<(&AccountId, &PoolId), Demand> = BTreeMap::new();
        let mut open = 0;
        for (id, job) in view.jobs.iter().filter(|(_, job)| !job.state().is_final()) {
            let Some(record) = &job.record else {
                continue;
            };
            open += 1;
            let cached =
                self.jobs.get_mut(id).filter(|job_demand| job_demand.is_current(record, job, wall));
            let job_demand = match cached {
                Some(job_demand) => job_demand,
                None => {
                    #[cfg(test)]
                    self.evaluated_steps.set(self.evaluated_steps.get() + record.value.steps.len());
                    self.jobs.entry(*id).insert_entry(JobDemand::new(record, job, wall)).into_mut()
                }
            };
            job_demand.round = self.round;
            let pool = &record.value.pool;
            let limit = record.value.account.as_ref().and_then(|id| cpu_limit(config, id));
            let demand = match (&record.value.account, limit) {
                (Some(account), Some(_)) => by_account.entry((account, pool)).or_default(),
                _ => match demands.get_mut(pool) {
                    Some(demand) => demand,
                    None => demands.entry(pool.clone()).or_default(),
                },
            };
            job_demand.add_to(demand, wall);
        }
        add_limited(&mut demands, by_account, config);
        if open < self.jobs.len() {
            self.jobs.retain(|_, job_demand| job_demand.round == self.round);
        }
        demands
    }
}

/// The processor time that an account may use, in millicores; `None` if it is not limited.
fn cpu_limit(config: &QueueConfig, account: &AccountId) -> Option<u64> {
    let limit = config.accounts.as_ref()?.get(account)?.limit.cpu.0;
    (limit != 0).then_some(limit.into())
}

/// Adds the demand of accounts to that of their pools: what is above an account's limit cannot run,
/// and needs no hosts. Work that can end in time comes first.
fn add_limited(
    demands: &mut BTreeMap<PoolId, Demand>,
    by_account: BTreeMap<(&AccountId, &PoolId), Demand>,
    config: &QueueConfig,
) {
    let mut totals: BTreeMap<&AccountId, Demand> = BTreeMap::new();
    for ((account, _), demand) in &by_account {
        let total = totals.entry(account).or_default();
        total.cpu += demand.cpu;
        total.late_cpu += demand.late_cpu;
        total.arriving_cpu += demand.arriving_cpu;
    }
    for ((account, pool), demand) in by_account {
        let limit = cpu_limit(config, account).unwrap_or(u64::MAX);
        let total = totals[account];
        let part = |cpu: u64, total: u64, limit: u64| match total <= limit {
            true => cpu,
            false => (u128::from(cpu) * u128::from(limit) / u128::from(total)) as u64,
        };
        let sum = demands.entry(pool.clone()).or_default();
        sum.cpu += part(demand.cpu, total.cpu, limit);
        sum.late_cpu += part(demand.late_cpu, total.late_cpu, limit.saturating_sub(total.cpu));
        sum.arriving_cpu += part(demand.arriving_cpu, total.arriving_cpu, limit);
        sum.spread = sum.spread.max(demand.spread);
        sum.finite |= demand.finite;
        sum.arrivals += demand.arrivals;
    }
}

/// The share of a job's remaining declared work that is assumed certain: what callers declare is
/// off by half in both directions.
const CERTAIN_PERCENT: u64 = 60;

/// The demand of a job by its current records, without what depends on the time alone.
#[derive(Debug)]
struct JobDemand {
    /// The revisions of its record and of its progress.
    record: Revision,
    progress: Option<Revision>,
    /// The interval of time in which no other occurrence becomes due.
    from: Time,
    until: Time,
    /// The round in which the job was last in the view.
    round: u64,
    /// Processor time of the steps that are ready, in millicores.
    cpu: u64,
    /// Hosts over which its long-running tasks must be spread.
    spread: usize,
    /// Whether some of its tasks end by themselves.
    finite: bool,
    /// The time after which it cannot end in time, by what its caller declared; `None` if it is
    /// never late.
    late_after: Option<Time>,
    accepted: Time,
    /// Processor time needed to do all of it within [`ARRIVAL_WINDOW`], in millicores.
    arriving: u64,
}

impl JobDemand {
    /// Evaluates each step of a job.
    fn new(at: &Versioned<Arc<JobRecord>>, job: &KnownJob, wall: Time) -> JobDemand {
        let record = &*at.value;
        let due = (0..record.occurrences())
            .take_while(|occurrence| record.due(*occurrence) <= wall)
            .count() as u32;
        let mut demand = JobDemand {
            record: at.revision,
            progress: job.progress.as_ref().map(|at| at.revision),
            from: due.checked_sub(1).map_or(Time::default(), |last| record.due(last)),
            until: match due < record.occurrences() {
                true => record.due(due),
                false => Time::from_millis(u64::MAX),
            },
            round: 0,
            cpu: 0,
            spread: 0,
            finite: false,
            late_after: None,
            accepted: record.accepted,
            arriving: arriving(record),
        };
        let remaining_ms = demand.add_steps(record, job, due);
        demand.late_after = late_after(record, remaining_ms);
        demand
    }

    /// Adds the demand of the steps that are ready. Returns the declared work of one task of each
    /// unfinished step, in milliseconds.
    fn add_steps(&mut self, record: &JobRecord, job: &KnownJob, due: u32) -> u64 {
        let steps = job.progress.iter().flat_map(|at| &at.value.steps);
        let done: HashMap<(u32, u32), u32> = steps
            .filter_map(|(name, progress)| Some((step_number(name)?, progress.done.len() as u32)))
            .collect();
        let done = |occurrence: u32, step: u32| done.get(&(occurrence, step)).copied().unwrap_or(0);
        let mut remaining_ms = 0;
        for occurrence in 0..due {
            for (number, step) in record.steps.iter().enumerate() {
                let remaining = step.count.saturating_sub(done(occurrence, number as u32));
                if remaining != 0 {
                    remaining_ms += step.estimate_ms;
                }
                let ready = step.after.iter().all(|earlier| {
                    record
                        .steps
                        .get(*earlier as usize)
                        .is_none_or(|step| step.count <= done(occurrence, *earlier))
                });
                if !ready {
                    continue;
                }
                self.finite |= !step.long_running && remaining != 0;
                self.cpu += u64::from(remaining) * u64::from(step.charge().cpu.0);
                if step.max_per_worker != 0 && step.long_running {
                    self.spread = self.spread.max(remaining.div_ceil(step.max_per_worker) as usize);
                }
            }
        }
        remaining_ms
    }

    /// Whether this is still the demand of the job.
    fn is_current(&self, record: &Versioned<Arc<JobRecord>>, job: &KnownJob, wall: Time) -> bool {
        self.record == record.revision
            && self.progress == job.progress.as_ref().map(|at| at.revision)
            && self.from <= wall
            && wall < self.until
    }

    fn add_to(&self, demand: &mut Demand, wall: Time) {
        match self.late_after.is_some_and(|after| after < wall) {
            true => demand.late_cpu += self.cpu,
            false => demand.cpu += self.cpu,
        }
        demand.spread = demand.spread.max(self.spread);
        demand.finite |= self.finite;
        if wall.since(self.accepted) < ARRIVAL_WINDOW {
            demand.arriving_cpu += self.arriving;
            demand.arrivals += 1;
        }
    }
}

/// Processor time needed to do the work of a recent job within [`ARRIVAL_WINDOW`], in millicores.
fn arriving(record: &JobRecord) -> u64 {
    let finite = record.steps.iter().filter(|step| !step.long_running);
    let work = finite.map(|step| {
        let cpu = u64::from(step.count) * u64::from(step.charge().cpu.0);
        cpu * step.estimate_ms / ARRIVAL_WINDOW.as_millis() as u64
    });
    work.sum()
}

/// The time after which a job with so much remaining work cannot end in time, by what its caller
/// declared.
fn late_after(record: &JobRecord, remaining_ms: u64) -> Option<Time> {
    if record.is_long_running() || record.occurrences() != 1 {
        return None;
    }
    let chain: u64 = record.steps.iter().map(|step| step.estimate_ms).sum();
    let objective = chain * u64::from(record.stretch_percent) / 100 + record.target_ms;
    let certain = remaining_ms * CERTAIN_PERCENT / 100;
    Some(match objective.checked_sub(certain) {
        Some(spare) => record.due(0) + Duration::from_millis(spare),
        // Late from the start, even by a clock that is behind.
        None => Time::default(),
    })
}

/// The occurrence and the step in the name of a progress entry; `None` if the name is invalid.
fn step_number(name: &str) -> Option<(u32, u32)> {
    let (occurrence, step) = name.split_once('.')?;
    Some((occurrence.parse().ok()?, step.parse().ok()?))
}
