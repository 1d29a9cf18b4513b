//! What pools ask for, by the jobs that the view shows.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    jobs::fleet::Demand,
    model::{
        id::PoolId,
        job::{JobRecord, Progress},
        queue::QueueConfig,
        unit::Time,
    },
    scheduler::view::{KnownJob, View},
};

/// The time over which arrivals are counted: half of it passes before a turn shows as it is.
const ARRIVALS: Duration = Duration::from_millis(500);

/// What each pool asks for now, counted anew.
pub(crate) fn of_pools(view: &View, config: &QueueConfig, wall: Time) -> BTreeMap<PoolId, Demand> {
    Demands::default().of_pools(view, config, wall)
}

/// Counts what pools ask for, again and again.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    /// How often a step was looked at.
    #[cfg(test)]
    looks: std::cell::Cell<usize>,
}

impl Demands {
    /// How often a step was looked at since this was last asked.
    #[cfg(test)]
    pub(crate) fn take_looks(&self) -> usize {
        self.looks.take()
    }

    /// Counts, in tests, that a step is looked at.
    fn count_look(&self) {
        #[cfg(test)]
        self.looks.set(self.looks.get() + 1);
    }

    /// What each pool asks for now.
    pub(crate) fn of_pools(
        &mut self,
        view: &View,
        config: &QueueConfig,
        wall: Time,
    ) -> BTreeMap<PoolId, Demand> {
        let mut demands: BTreeMap<PoolId, Demand> =
            config.pools.keys().map(|pool| (pool.clone(), Demand::default())).collect();
        for job in view.jobs.values().filter(|job| !job.state().is_final()) {
            if let Some(record) = &job.record {
                record.value.steps.iter().for_each(|_| self.count_look());
                let demand = demands.entry(record.value.pool.clone()).or_default();
                add_demand(demand, &record.value, job, wall);
                add_arrival(demand, &record.value, wall);
            }
        }
        demands
    }
}

/// Adds what it takes to keep up with a job, if it came lately: its work, done within that time.
fn add_arrival(demand: &mut Demand, record: &JobRecord, wall: Time) {
    if ARRIVALS <= wall.since(record.accepted) {
        return;
    }
    let passing = record.steps.iter().filter(|step| !step.lasting);
    let work = passing.map(|step| {
        let cpu = u64::from(step.count) * u64::from(step.charge().cpu.0);
        cpu * step.estimate_ms / ARRIVALS.as_millis() as u64
    });
    demand.arriving += work.sum::<u64>();
    demand.arrivals += 1;
}

/// What a job asks for now.
#[derive(Default)]
struct Asked {
    /// Processor time of the steps whose turn has come, in millicores.
    cpu: u64,
    /// Declared work of one task of each step that is left, in milliseconds.
    left_ms: u64,
}

/// The share of a job's declared work, in percent, that is taken as certain to be left: what callers
/// declare is off by half in both directions.
const CERTAIN_PERCENT: u64 = 60;

/// Whether a job cannot end in time any more, by what its caller declared.
fn is_late(record: &JobRecord, asked: &Asked, wall: Time) -> bool {
    if record.is_lasting() || record.times() != 1 {
        return false;
    }
    let chain: u64 = record.steps.iter().map(|step| step.estimate_ms).sum();
    let objective = chain * u64::from(record.stretch) / 100 + record.target_ms;
    let age = wall.since(record.due(0)).as_millis() as u64;
    objective < age + asked.left_ms * CERTAIN_PERCENT / 100
}

/// Adds what a job's steps ask for whose turn has come.
fn add_demand(demand: &mut Demand, record: &JobRecord, job: &KnownJob, wall: Time) {
    let none = Progress::default();
    let progress = job.progress.as_ref().map_or(&none, |at| &*at.value);
    let done = |time: u32, number: u32| {
        progress.steps.get(&format!("{time}.{number}")).map_or(0, |note| note.done.len() as u32)
    };
    let mut asked = Asked::default();
    for time in 0..record.times() {
        if wall < record.due(time) {
            continue;
        }
        for (number, step) in record.steps.iter().enumerate() {
            let left = step.count.saturating_sub(done(time, number as u32));
            if left != 0 {
                asked.left_ms += step.estimate_ms;
            }
            let ready = step.after.iter().all(|earlier| {
                record
                    .steps
                    .get(*earlier as usize)
                    .is_none_or(|step| step.count <= done(time, *earlier))
            });
            if !ready {
                continue;
            }
            demand.ends |= !step.lasting && left != 0;
            asked.cpu += u64::from(left) * u64::from(step.charge().cpu.0);
            if step.apart != 0 && step.lasting {
                demand.spread = demand.spread.max(left.div_ceil(step.apart) as usize);
            }
        }
    }
    match is_late(record, &asked, wall) {
        true => demand.late += asked.cpu,
        false => demand.cpu += asked.cpu,
    }
}
