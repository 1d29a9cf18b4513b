//! Step 4: which of the workers at which a task may run is preferred.

use crate::{
    jobs::{
        job::{StepTasks, Task},
        start::{eligible::TaskPlacer, spread::RunCounts},
        worker::Worker,
    },
    model::{
        id::Incarnation,
        job::{Step, TaskResources},
        unit::Steady,
    },
};

/// How much a worker is preferred for a task: the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct Preference {
    pub(super) has_failed: bool,
    /// A task that has failed before needs a worker that is known to work.
    pub(super) is_suspect: bool,
    /// If a worker is lost with several new runs, it is not known which of them crashed it, and
    /// everything else that runs there is lost too.
    pub(super) has_new_runs: bool,
    pub(super) is_unlisted: bool,
    /// The runs of the step in the worker's availability zone, and in its rack, if they are to be
    /// spread. A task that lasts is there long after its worker has become warm.
    pub(super) runs_near: (u32, u32),
    pub(super) is_cold: bool,
    pub(super) is_far: bool,
    pub(super) load: u32,
}

impl Preference {
    fn of(
        worker: &Worker,
        step: &Step,
        task: &Task,
        near: &RunCounts<'_>,
        now: Steady,
    ) -> Preference {
        let by_count = step.background || task.suspect;
        Preference {
            has_failed: task.failed_at.contains(&worker.report.id),
            is_suspect: worker.is_suspect(),
            has_new_runs: task.suspect && !worker.all_runs_stable(),
            is_unlisted: !worker.is_listed(),
            runs_near: near.at(&worker.report.zone, worker.rack()),
            is_cold: worker.is_cold(now),
            is_far: !step.data_rack.is_empty() && worker.rack() != step.data_rack,
            load: if by_count { worker.runs.len() as u32 } else { worker.cpu_left() },
        }
    }
}

/// How many workers are tried in the order of their free processor time before all are compared. The
/// first of them that may run a task is most often the preferred one.
const MAX_TRIED: usize = 32;

impl TaskPlacer<'_> {
    /// The worker for a task, if one fits that `allows` admits. Among equally reliable workers,
    /// those away from the other tasks come first if these are to be spread, then warm ones, those
    /// near the data, and the one with the least processor time left, so that large tasks still fit.
    pub(crate) fn worker_for(
        &self,
        step: &Step,
        tasks: &StepTasks,
        task: &Task,
        needs_ticket: bool,
        rack: Option<&str>,
        allows: impl Fn(&Incarnation) -> bool,
    ) -> Option<&Worker> {
        let fits = |worker: &&Worker| {
            worker.isolated_task.is_none()
                && allows(&worker.report.id)
                && self.can_run(worker, step, tasks, needs_ticket)
                && rack.is_none_or(|rack| worker.rack() == rack)
        };
        if prefers_full(step, task, self.spreads_zones)
            && let Some(found) = self.first_fit(step, fits)
        {
            return found;
        }
        let near = self.runs_to_spread(step, tasks);
        let preference = |worker: &&Worker| Preference::of(worker, step, task, &near, self.now);
        self.workers.values().filter(fits).min_by_key(preference)
    }

    /// The preferred worker, found in the order of free processor time, or that there is none;
    /// `None` if that does not show within a few tries.
    fn first_fit(&self, step: &Step, fits: impl Fn(&&Worker) -> bool) -> Option<Option<&Worker>> {
        let with_room = self.free.at_least(step.charge().cpu.0);
        let workers = with_room.filter_map(|id| self.workers.get(id));
        let (mut tried, mut best) = (0, None);
        for worker in workers.filter(|worker| worker.takes_work(self.now)) {
            let (is_unlisted, is_cold) = (!worker.is_listed(), worker.is_cold(self.now));
            let rank = (worker.is_suspect(), is_unlisted, is_cold);
            if best.is_none_or(|(least, _)| rank < least) && fits(&worker) {
                best = Some((rank, worker));
            }
            if best.is_some_and(|(least, _)| least == (false, false, false)) {
                break;
            }
            tried += 1;
            if tried == MAX_TRIED {
                return None;
            }
        }
        Some(best.map(|(_, worker)| worker))
    }

    /// The runs away from which the next task of a step is to start: those of a long-running step,
    /// where work is spread over availability zones.
    fn runs_to_spread(&self, step: &Step, tasks: &StepTasks) -> RunCounts<'_> {
        if !self.spreads_zones || !step.long_running {
            return RunCounts::default();
        }
        let runs = tasks.tasks.iter().flat_map(|task| &task.runs);
        let workers = runs.filter_map(|run| self.workers.get(&run.worker));
        RunCounts::of(workers.map(|worker| (&worker.report.zone, worker.rack())))
    }

    /// The worker where resources for a long-running task become free first if no other work starts
    /// there: the one with the most processor time left.
    pub(crate) fn worker_to_reserve(&self, step: &Step, tasks: &StepTasks) -> Option<&Worker> {
        let charge = step.charge();
        let is_possible = |worker: &&Worker| {
            self.is_eligible(worker, step)
                && worker.report.capacity.fits(&TaskResources::default(), &charge)
                && self.satisfies_spread(worker, step, tasks)
        };
        self.workers.values().filter(is_possible).max_by_key(|worker| worker.cpu_left())
    }
}

/// Whether of the workers that may run a task, and that are warm, listed and not suspect, the one
/// with the least processor time left is preferred, whatever else is known of them.
fn prefers_full(step: &Step, task: &Task, spreads_zones: bool) -> bool {
    !step.background
        && !task.suspect
        && task.failed_at.is_empty()
        && step.data_rack.is_empty()
        && !(spreads_zones && step.long_running)
}
