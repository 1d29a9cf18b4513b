//! What pools ask for, by the jobs that the view shows.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use crate::{
    jobs::fleet::Demand,
    model::{
        id::PoolId,
        job::{JobId, JobRecord},
        queue::QueueConfig,
        unit::{Revision, Time},
    },
    scheduler::view::{At, KnownJob, View},
};

/// The time over which arrivals are counted: half of it passes before a turn shows as it is.
const ARRIVALS: Duration = Duration::from_millis(500);

/// What each pool asks for now, counted anew.
pub(crate) fn of_pools(view: &View, config: &QueueConfig, wall: Time) -> BTreeMap<PoolId, Demand> {
    Demands::default().of_pools(view, config, wall)
}

/// Counts what pools ask for, again and again. The steps of a job are looked at again only when its
/// records have changed, or another of its times has come: the view is locked meanwhile, on the
/// node that has to take in what the store tells.
#[derive(Debug, Default)]
pub(crate) struct Demands {
    jobs: HashMap<JobId, Counted>,
    /// How often all was counted.
    round: u64,
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

    /// What each pool asks for now.
    pub(crate) fn of_pools(
        &mut self,
        view: &View,
        config: &QueueConfig,
        wall: Time,
    ) -> BTreeMap<PoolId, Demand> {
        let mut demands: BTreeMap<PoolId, Demand> =
            config.pools.keys().map(|pool| (pool.clone(), Demand::default())).collect();
        self.round += 1;
        let mut open = 0;
        for (id, job) in view.jobs.iter().filter(|(_, job)| !job.state().is_final()) {
            let Some(record) = &job.record else {
                continue;
            };
            open += 1;
            let kept = self.jobs.get_mut(id).filter(|counted| counted.is_of(record, job, wall));
            let counted = match kept {
                Some(counted) => counted,
                None => {
                    #[cfg(test)]
                    self.looks.set(self.looks.get() + record.value.steps.len());
                    self.jobs.entry(*id).insert_entry(Counted::new(record, job, wall)).into_mut()
                }
            };
            counted.round = self.round;
            match demands.get_mut(&record.value.pool) {
                Some(demand) => counted.add_to(demand, wall),
                None => {
                    let demand = demands.entry(record.value.pool.clone()).or_default();
                    counted.add_to(demand, wall);
                }
            }
        }
        if open < self.jobs.len() {
            self.jobs.retain(|_, counted| counted.round == self.round);
        }
        demands
    }
}

/// The share of a job's declared work, in percent, that is taken as certain to be left: what callers
/// declare is off by half in both directions.
const CERTAIN_PERCENT: u64 = 60;

/// What a job asks for at its present records, but for what follows from the time alone.
#[derive(Debug)]
struct Counted {
    /// The revisions of its record and of its progress.
    record: Revision,
    progress: Option<Revision>,
    /// As long as the time is in here, no other of its times is due.
    from: Time,
    until: Time,
    /// The round in which the job was last seen.
    round: u64,
    /// Processor time of the steps whose turn has come, in millicores.
    cpu: u64,
    /// Hosts over which its lasting tasks must be spread.
    spread: usize,
    /// Whether some of it ends by itself.
    ends: bool,
    /// From when on it cannot end in time any more, by what its caller declared; nothing if it is
    /// never late.
    late_after: Option<Time>,
    accepted: Time,
    /// Processor time that it takes to do all of it within the time over which arrivals are counted.
    arriving: u64,
}

impl Counted {
    /// Looks at each step of a job.
    fn new(at: &At<Arc<JobRecord>>, job: &KnownJob, wall: Time) -> Counted {
        let record = &*at.value;
        let due = (0..record.times()).take_while(|time| record.due(*time) <= wall).count() as u32;
        let mut counted = Counted {
            record: at.revision,
            progress: job.progress.as_ref().map(|at| at.revision),
            from: due.checked_sub(1).map_or(Time::default(), |last| record.due(last)),
            until: match due < record.times() {
                true => record.due(due),
                false => Time::from_millis(u64::MAX),
            },
            round: 0,
            cpu: 0,
            spread: 0,
            ends: false,
            late_after: None,
            accepted: record.accepted,
            arriving: arriving(record),
        };
        let left_ms = counted.add_steps(record, job, due);
        counted.late_after = late_after(record, left_ms);
        counted
    }

    /// Adds what the steps ask for whose turn has come; declared work of one task of each step that
    /// is left, in milliseconds.
    fn add_steps(&mut self, record: &JobRecord, job: &KnownJob, due: u32) -> u64 {
        let notes = job.progress.iter().flat_map(|at| &at.value.steps);
        let done: HashMap<(u32, u32), u32> = notes
            .filter_map(|(name, note)| Some((step_number(name)?, note.done.len() as u32)))
            .collect();
        let done = |time: u32, step: u32| done.get(&(time, step)).copied().unwrap_or(0);
        let mut left_ms = 0;
        for time in 0..due {
            for (number, step) in record.steps.iter().enumerate() {
                let left = step.count.saturating_sub(done(time, number as u32));
                if left != 0 {
                    left_ms += step.estimate_ms;
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
                self.ends |= !step.lasting && left != 0;
                self.cpu += u64::from(left) * u64::from(step.charge().cpu.0);
                if step.apart != 0 && step.lasting {
                    self.spread = self.spread.max(left.div_ceil(step.apart) as usize);
                }
            }
        }
        left_ms
    }

    /// Whether this is still what the job asks for.
    fn is_of(&self, record: &At<Arc<JobRecord>>, job: &KnownJob, wall: Time) -> bool {
        self.record == record.revision
            && self.progress == job.progress.as_ref().map(|at| at.revision)
            && self.from <= wall
            && wall < self.until
    }

    fn add_to(&self, demand: &mut Demand, wall: Time) {
        match self.late_after.is_some_and(|after| after < wall) {
            true => demand.late += self.cpu,
            false => demand.cpu += self.cpu,
        }
        demand.spread = demand.spread.max(self.spread);
        demand.ends |= self.ends;
        if wall.since(self.accepted) < ARRIVALS {
            demand.arriving += self.arriving;
            demand.arrivals += 1;
        }
    }
}

/// What it takes to keep up with a job that came lately: its work, done within that time.
fn arriving(record: &JobRecord) -> u64 {
    let passing = record.steps.iter().filter(|step| !step.lasting);
    let work = passing.map(|step| {
        let cpu = u64::from(step.count) * u64::from(step.charge().cpu.0);
        cpu * step.estimate_ms / ARRIVALS.as_millis() as u64
    });
    work.sum()
}

/// From when on a job cannot end in time any more with so much of it left, by what its caller declared.
fn late_after(record: &JobRecord, left_ms: u64) -> Option<Time> {
    if record.is_lasting() || record.times() != 1 {
        return None;
    }
    let chain: u64 = record.steps.iter().map(|step| step.estimate_ms).sum();
    let objective = chain * u64::from(record.stretch) / 100 + record.target_ms;
    let certain = left_ms * CERTAIN_PERCENT / 100;
    Some(match objective.checked_sub(certain) {
        Some(spare) => record.due(0) + Duration::from_millis(spare),
        // Late from the first on, also by a clock that is behind.
        None => Time::default(),
    })
}

/// The time and the step that a progress record names; nothing if it names none.
fn step_number(name: &str) -> Option<(u32, u32)> {
    let (time, step) = name.split_once('.')?;
    Some((time.parse().ok()?, step.parse().ok()?))
}
