//! What a later owner must know of the workers, and what this one knows by what earlier ones kept.

use std::collections::{BTreeMap, BTreeSet};

use super::Owner;
use crate::{
    jobs::{
        event::{Effect, Event},
        roster::{Away, Holding, Roster, RosterNote},
        worker::Worker,
    },
    model::{
        id::WorkerId,
        job::TaskId,
        unit::{Now, Steady},
        worker::WorkerReport,
    },
};

/// Looks in a row that must go unanswered before a worker is kept as silent: a single one may be
/// a connection that was reset, and the write would cost two calls of the store.
const SILENT_MISSES: u32 = 2;

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
        for report in workers {
            let id = report.id.clone();
            if self.roster.holding(&id).is_some() {
                // Whoever gave it work has heard it at that address.
                let heard = !report.address.is_empty();
                self.handle(Event::Worker(report), now, out);
                self.handle(Event::Unlisted(id.clone()), now, out);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.heard = heard;
                }
            }
        }
    }

    /// What is to be left to the next owner by one that orders nothing any more; nothing if that
    /// tells no more than what is kept.
    pub(crate) fn parting(&self, _now: Now) -> Option<Away> {
        None
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

    /// Takes note that the roster is kept.
    pub(crate) fn rostered(&mut self, note: &RosterNote) {
        self.roster.kept(note);
        for worker in self.workers.values_mut() {
            worker.rostered = note.lets_work(&worker.report.id);
        }
    }

    /// What each worker may hold now.
    fn holdings(&self) -> BTreeMap<WorkerId, Holding> {
        let holding = |worker: &Worker| Some((worker.report.id.clone(), self.holding_of(worker)?));
        self.workers.values().filter_map(holding).collect()
    }

    fn holding_of(&self, worker: &Worker) -> Option<Holding> {
        let kept = self.roster.holding(&worker.report.id);
        if !worker.told_all {
            return kept.cloned();
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
        for worker in self.workers.values().filter(hides) {
            match self.roster.holding(&worker.report.id) {
                Some(Holding::Any) => return Doubt::All,
                Some(Holding::Only(held)) => tasks.extend(held),
                None => {}
            }
        }
        Doubt::Only(tasks)
    }
}
