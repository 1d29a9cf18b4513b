//! What a later owner must know of the workers, and what this one knows by what earlier ones kept.

use std::collections::{BTreeMap, BTreeSet};

use super::Owner;
use crate::{
    jobs::{
        event::{Effect, Event},
        handover::Handover,
        job::{Job, Task},
        roster::{Away, Holding, Roster, RosterNote},
        worker::Worker,
    },
    model::{
        id::Incarnation,
        job::{StepId, TaskId},
        unit::{Now, Revision, Steady},
        worker::WorkerReport,
    },
};

/// Looks in a row that must go unanswered before a worker is kept as silent: a single one may be
/// a connection that was reset, and the write would cost two calls of the store.
const SILENT_MISSES: u32 = 2;

/// How long after a run of a job that is not known was last seen nothing is left to the next owner, in
/// milliseconds: it is told to stop with each look, and lapses with its worker's time at the latest.
const STRANGE_MS: u64 = 5_000;

#[cfg(test)]
thread_local! {
    /// How many tasks were put together into doubts, to tell what a plan costs.
    pub(crate) static DOUBTED: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
}

/// Tasks of earlier jobs that may run where they cannot be seen.
pub(super) enum Doubt {
    /// Any that no worker has told of.
    All,
    /// These at the most.
    Only(BTreeSet<TaskId>),
}

impl Doubt {
    pub(super) fn covers(&self, task: &TaskId) -> bool {
        match self {
            Doubt::All => true,
            Doubt::Only(tasks) => tasks.contains(task),
        }
    }
}

impl Owner {
    /// Takes over what earlier owners have kept of the pool's workers, listed or not.
    pub(crate) fn inherit(
        &mut self,
        workers: Vec<WorkerReport>,
        away: &Away,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        self.roster = Roster::inherited(&workers, away);
        let left = away.handover.as_ref().and_then(|left| left.for_owner(self.earlier));
        self.handed = left.cloned();
        for report in workers {
            let id = report.id.clone();
            // One that holds nothing matters once it is listed: hosts that have moved away would each
            // be asked for seconds.
            let holds = self.roster.holding(&id).is_some_and(|holding| !holding.is_nothing());
            if holds {
                // Whoever gave it work has heard it at that address.
                let heard = !report.address.is_empty();
                self.handle(Event::Worker(report), now, out);
                self.handle(Event::Unlisted(id.worker.clone()), now, out);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.heard = heard;
                }
            }
        }
    }

    /// What is to be left to the next owner by one that orders nothing any more; nothing if it does
    /// not know all that may run. It holds whether or not writes on their way are done before it: none
    /// is after it, since their condition is this ownership.
    pub(crate) fn parting(&self, now: Now) -> Option<Away> {
        let lately = |at| now.steady.since(at) < STRANGE_MS;
        if !self.unknown.is_empty() || self.strange.is_some_and(lately) {
            return None;
        }
        let Doubt::Only(mut tasks) = self.doubt(now.steady) else {
            return None;
        };
        for job in self.jobs.values() {
            for ((time, step), entries) in &job.steps {
                let of = StepId { job: job.id, time: *time, step: *step };
                let numbered = (0u32..).zip(&entries.tasks);
                let held = numbered.filter(|(_, task)| self.may_run_or_count(job, task));
                tasks.extend(held.map(|(index, _)| TaskId { of, index }));
            }
        }
        let handover = Some(Handover::new(self.earlier, tasks)?);
        let silent = self.roster.listed().filter_map(|id| Some((id.clone(), self.left_at(id)?)));
        Some(Away { silent: silent.collect(), handover })
    }

    /// Whether a run of a task may be somewhere, or has ended with what is not durable yet: the next
    /// owner knows of that only once its worker has listed the end again.
    fn may_run_or_count(&self, job: &Job, task: &Task) -> bool {
        let begun = task.run != 0 && task.run != self.first_run;
        let uncounted = job.is_dirty() && (task.done || begun || job.state.is_final());
        !task.copies.is_empty() || uncounted
    }

    /// What may run at a listed worker that does not answer or is to be no longer used; nothing if it
    /// answers, or is not known that well.
    fn left_at(&self, id: &Incarnation) -> Option<BTreeSet<TaskId>> {
        let Some(worker) = self.workers.get(id) else {
            // It is over, or all that it may run has lapsed.
            return Some(BTreeSet::new());
        };
        if !worker.told_all {
            return match self.roster.holding(id) {
                Some(Holding::Only(tasks)) => Some(tasks.clone()),
                Some(Holding::Any) | None => None,
            };
        }
        let emptied = self.emptying.contains_key(&worker.report.host) && worker.is_empty();
        let silent = worker.misses != 0 && worker.unacknowledged.is_empty();
        (emptied || silent).then(|| worker.copies.keys().copied().collect())
    }

    /// What is to be kept for a later owner, if that is news, in one write that changes the records
    /// of so many workers at the most. Whoever takes it tells when it is kept; workers get work
    /// only by what is kept.
    pub(crate) fn roster_note(&mut self, most: usize) -> Option<RosterNote> {
        let holdings = self.holdings();
        let workers = &self.workers;
        let note = self.roster.note(holdings, most, |id| workers.get(id).map(|w| &w.report))?;
        for worker in self.workers.values_mut() {
            worker.rostered &= note.lets_work(&worker.report.id);
        }
        Some(note)
    }

    /// Takes note that the roster is kept, by the write of a revision.
    pub(crate) fn rostered(&mut self, note: &RosterNote, revision: Revision) {
        self.roster.kept(note);
        for worker in self.workers.values_mut() {
            worker.rostered = note.lets_work(&worker.report.id);
            worker.give_fence(revision);
        }
    }

    /// What each worker may hold now.
    fn holdings(&self) -> BTreeMap<Incarnation, Holding> {
        let holding = |worker: &Worker| Some((worker.report.id.clone(), self.holding_of(worker)?));
        self.workers.values().filter_map(holding).collect()
    }

    fn holding_of(&self, worker: &Worker) -> Option<Holding> {
        let kept = self.roster.holding(&worker.report.id);
        if !worker.told_all {
            return kept.or(worker.inherited.as_ref()).cloned();
        }
        if worker.misses < SILENT_MISSES {
            let emptied = self.emptying.contains_key(&worker.report.host) && worker.is_empty();
            return (!emptied).then_some(Holding::Any);
        }
        let tasks: BTreeSet<TaskId> = worker.copies.keys().copied().collect();
        (kept.is_some() || !tasks.is_empty()).then_some(Holding::Only(tasks))
    }

    /// Tells once that no task of earlier jobs is held back any more, and what that rests on.
    pub(super) fn tell_clear(&mut self, doubt: &Doubt, now: Steady) {
        let clear = matches!(doubt, Doubt::Only(tasks) if tasks.is_empty());
        if self.told_clear || !clear {
            return;
        }
        self.told_clear = true;
        let asked = self.workers.values().filter(|worker| worker.touched).count();
        let (workers, token) = (self.workers.len(), self.token);
        let rest = if self.quiet_until <= now { "all else has lapsed" } else { "all that may run" };
        log::info!(
            "jobs: token {token} starts tasks of earlier jobs: {asked} of {workers} workers asked, {rest}"
        );
    }

    /// The tasks of earlier jobs that may run where this owner does not see them: on workers that
    /// earlier owners could give work to and that have not told this one all that they hold yet.
    pub(super) fn doubt(&self, now: Steady) -> Doubt {
        let mut tasks = BTreeSet::new();
        let confirmed = self.confirmed.min(now);
        let quiet = self.quiet_until <= confirmed;
        let hides = |worker: &&Worker| match quiet {
            true => worker.owes_ends(confirmed),
            false => !worker.told_all,
        };
        let mut any = false;
        for worker in self.workers.values().filter(hides) {
            let held = self.roster.holding(&worker.report.id);
            match held.or(worker.inherited.as_ref()) {
                Some(Holding::Any) => any = true,
                Some(Holding::Only(held)) => {
                    tasks.extend(held.iter().inspect(|_| count_doubted()));
                }
                None => {}
            }
        }
        match &self.handed {
            // Once for all workers: after a change of turns hundreds of them are gone.
            Some(handed) if any => tasks.extend(handed.iter().inspect(|_| count_doubted())),
            None if any => return Doubt::All,
            Some(_) | None => {}
        }
        Doubt::Only(tasks)
    }
}

/// Counts, in tests, that a task is put into a doubt.
fn count_doubted() {
    #[cfg(test)]
    DOUBTED.set(DOUBTED.get() + 1);
}
