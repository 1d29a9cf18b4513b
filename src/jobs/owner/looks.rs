//! Polls of workers: the runs that a worker lists are compared with those that the owner expects.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Owner, UNSENT_PAUSE_MS, acknowledge};
use crate::{
    jobs::{
        event::Effect,
        gone::{Gone, Stray},
        job::{Copy, Job, Phase},
        worker::{HASTY_LOOK_WAIT_MS, LATE_MS, LATE_ORDER_MS, LOOK_WAIT_MS, Lost, Worker},
    },
    model::{
        id::Incarnation,
        job::{JobId, TaskId},
        unit::{Now, Steady},
        worker::{Look, OrderEnd, Present, Refusal},
    },
};

/// Delay after an unanswered poll until the next is sent, in milliseconds.
const MISSED_PAUSE_MS: u64 = 150;

/// The number of unanswered polls after which a worker that is not listed counts as departed: a
/// single one may be a connection that was reset, and a second one its route through another node.
const GONE_MISSES: u32 = 3;

/// Delay after an unanswered poll of such a worker until the next is sent, in milliseconds.
/// Hundreds of hosts may leave a pool within seconds, and each is polled until its runs have
/// expired.
const GONE_PAUSE_MS: u64 = 500;

/// Delay until an order to stop is sent again, in milliseconds.
const STOP_AGAIN_MS: u64 = 900;

/// Pause between polls of a worker whose ends cannot be acknowledged yet, in milliseconds: a poll
/// would return at once, since the ends are still listed. Most often they are persisted within 20.
const UNSAVED_LOOK_MS: u64 = 100;

/// The highest end that a poll may acknowledge; none if the poll has to wait until it may.
///
///
/// The next incarnation numbers its ends anew, and would discard those up to this number without
/// listing them. So ends are acknowledged neither after a silence nor beside starts that the next
/// incarnation may carry out.
fn acknowledgement(worker: &Worker, jobs: &BTreeMap<JobId, Job>) -> Option<u64> {
    if !worker.may_start_again() {
        return Some(worker.acknowledged);
    }
    if !worker.owes_acknowledgement() || worker.misses != 0 {
        return Some(0);
    }
    let is_unanswered = |task: &TaskId| {
        let entry = jobs.get(&task.of.job).and_then(|job| job.task(task.of, task.index));
        let mut copies = entry.into_iter().flat_map(|entry| &entry.copies);
        copies.any(|copy| copy.worker == worker.report.id && copy.is_unanswered())
    };
    let waits = worker.copies.keys().any(is_unanswered);
    (!waits).then_some(worker.acknowledged)
}

impl Owner {
    /// Sends the polls that are due.
    pub(super) fn look(&mut self, now: Steady, out: &mut Vec<Effect>) {
        let token = self.token;
        let mixed: BTreeSet<Incarnation> = self.mixed_workers();
        let hasty = self.losses.are_many(self.workers.len(), now);
        let mut again = 0;
        let jobs = &self.jobs;
        for worker in self.workers.values_mut() {
            // A run in an unknown phase does not wait for the pending poll, which may wait for an
            // end.
            let waits = worker.looking.is_some() && !worker.hurried;
            if waits || now < worker.next_look {
                continue;
            }
            let acknowledgement = acknowledgement(worker, jobs);
            let unsaved = !worker.unacknowledged.is_empty() || acknowledgement.is_none();
            let lately = worker.answered.is_some_and(|at| now.since(at) < UNSAVED_LOOK_MS);
            if unsaved && lately {
                continue;
            }
            let acknowledged = acknowledgement.unwrap_or(0);
            // It should be answered soon: nothing starts there meanwhile.
            let exclusive = acknowledged != 0 && worker.may_start_again();
            let waits = worker.touched && worker.misses == 0 && !worker.hurried;
            let wait = match waits && !unsaved && !exclusive {
                true if hasty && !worker.copies.is_empty() => HASTY_LOOK_WAIT_MS,
                true if mixed.contains(&worker.report.id) => LOOK_WAIT_MS / 2,
                true => LOOK_WAIT_MS,
                false => 0,
            };
            // The lease of a silent worker is not renewed: it may receive polls though its answers
            // are lost.
            let gives = worker.touched && worker.misses == 0;
            let until_ms = if gives { worker.give(now) } else { None };
            worker.prove_fence(now);
            worker.looking = Some(now);
            worker.look_wait = wait;
            worker.hurried = false;
            again += u64::from(worker.misses != 0);
            if exclusive {
                worker.acknowledge(acknowledged, now);
            }
            out.push(Effect::Look {
                to: worker.addressee(token),
                acknowledged,
                until_ms,
                wait: Duration::from_millis(wait),
            });
        }
        self.counts.again += again;
    }

    /// Processes the result of a poll.
    pub(super) fn looked(
        &mut self,
        id: &Incarnation,
        sent: Steady,
        end: OrderEnd<Look>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // An older poll may still be pending, and its answer is processed too.
        if worker.looking.is_some_and(|newest| newest <= sent) {
            worker.looking = None;
        }
        let listed = match &end {
            OrderEnd::Done(look) => look.ended.iter().map(|end| end.number).min(),
            _ => None,
        };
        worker.note_look_end(sent, matches!(end, OrderEnd::Done(_)), listed);
        if sent < worker.placed {
            // The answer came from an address that was not the worker's.
            return;
        }
        match end {
            OrderEnd::Done(look) => match look.born.filter(|born| id.born != Some(*born)) {
                Some(other) => self.answered_by(id, other, now.steady),
                None => self.found(id, sent, look, now, out),
            },
            OrderEnd::Refused { why: Refusal::Fenced, .. } if worker.bore_fence(sent) => {
                self.deposed = true;
            }
            // At an address where this worker has never answered, another one proves nothing about
            // it.
            OrderEnd::Refused { why: Refusal::OtherLife, .. } if worker.heard => {
                self.bury(id, "another life answers at its address", now.steady);
            }
            OrderEnd::Unsent => worker.next_look = now.steady.after(UNSENT_PAUSE_MS),
            OrderEnd::Refused { .. } | OrderEnd::Unknown => {
                if worker.misses == 0 {
                    self.losses.note(now.steady);
                }
                if worker.answered.is_some_and(|at| sent < at) {
                    // It has answered a later poll.
                    return;
                }
                worker.misses += 1;
                let is_gone = !worker.is_listed() && GONE_MISSES <= worker.misses;
                let pause = if is_gone { GONE_PAUSE_MS } else { MISSED_PAUSE_MS };
                worker.next_look = now.steady.after(pause);
                if worker.misses == 1 {
                    log::info!("worker {id}: lost: a look got no answer");
                }
            }
        }
    }

    fn found(
        &mut self,
        id: &Incarnation,
        sent: Steady,
        look: Look,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.read_clock(look.clock_ms, now.steady);
        let was_lost = !worker.touched || !worker.lost.is_empty();
        if !worker.touched {
            worker.touched = true;
            worker.assume_held();
        }
        if worker.misses != 0 {
            log::info!("worker {id}: back after {} looks without an answer", worker.misses);
        }
        worker.misses = 0;
        worker.heard = true;
        worker.answered = Some(now.steady);
        let whole = look.is_whole();
        worker.told_all |= whole;
        worker.note_fenced(sent, whole);
        self.clear_crashes_at(id, was_lost);
        self.supersede(id, now.steady);
        let mut ended = look.ended;
        ended.sort_by_key(|end| end.number);
        for end in ended {
            self.ended(id, end, now, out);
        }
        let listed: BTreeSet<TaskId> = look.present.iter().map(|present| present.task).collect();
        for present in look.present {
            self.present(id, present, sent, now.steady, out);
        }
        self.check_unlisted(id, &listed, whole, sent, now.steady, out);
        if let Some(worker) = self.workers.get_mut(id) {
            acknowledge(worker, &self.jobs);
        }
        self.repace(id, now.steady, out);
        self.forget_ended();
    }

    /// Compares a listed run with the expected state.
    fn present(
        &mut self,
        id: &Incarnation,
        found: Present,
        sent: Steady,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        let Present { task, run, saved, percent, gauge } = found;
        self.note_begun(task.of.job);
        let stray = self.stray(id, task);
        let job = task.of.job;
        if !self.jobs.contains_key(&job) && !self.ended.contains(&job) {
            self.strange = Some(now);
        }
        if let Some(copy) = self.copy_mut(task, id).filter(|copy| copy.run == run) {
            if copy.percent < percent || copy.began.is_none() {
                copy.moved = now;
            }
            copy.percent = percent;
            copy.gauge = gauge;
            copy.listed = true;
            let stopping = matches!(copy.phase, Phase::Stopping | Phase::Stopped(_));
            copy.began.get_or_insert(now);
            match copy.phase {
                Phase::Starting | Phase::Unknown => {
                    copy.phase = Phase::Running;
                    copy.since = now;
                }
                Phase::Stopping if STOP_AGAIN_MS < now.since(copy.since) => {
                    copy.since = now;
                    self.counts.again += 1;
                    self.send_stop(id, task, run, out);
                }
                _ => {}
            }
            if !saved.is_empty()
                && let Some(entry) = self.task_mut(task)
            {
                entry.saved = saved;
            }
            self.has_lived(id, task, now);
            if let Some(stray) = stray {
                if !stopping {
                    self.note_stray(id, task, run, stray);
                }
                self.stop(task, id, now, out);
            }
            return;
        }
        let other = self.copy_mut(task, id).map(|_| Stray::OtherRun);
        if let Some(stray) = stray.or(other) {
            self.note_stray(id, task, run, stray);
            self.send_stop(id, task, run, out);
            return;
        }
        self.adopt(id, task, run, percent, sent, now);
    }

    /// Why a run of a task at a worker is unexpected, if it is.
    fn stray(&self, id: &Incarnation, task: TaskId) -> Option<Stray> {
        let job = self.jobs.get(&task.of.job);
        let found = job.and_then(|job| Some((job, job.task(task.of, task.index)?)));
        let Some((job, entry)) = found else {
            return Some(Stray::NoJob);
        };
        if entry.done {
            return Some(Stray::Done);
        }
        if !job.is_open() {
            return Some(Stray::NoJob);
        }
        let elsewhere = entry.copies.iter().any(|copy| copy.worker != *id);
        (elsewhere && !job.step(task.of.step).speculative).then_some(Stray::Elsewhere)
    }

    /// Logs a run that should not be there. Two runs of one task are first noticed here, whichever
    /// of the two owners polls.
    fn note_stray(&mut self, id: &Incarnation, task: TaskId, run: u32, stray: Stray) {
        *self.counts.strays.entry(stray.word()).or_default() += 1;
        let (job, token, why) = (task.of.job, self.token, stray.word());
        let entry = self.jobs.get(&job).and_then(|job| job.task(task.of, task.index));
        let others = entry.iter().flat_map(|entry| &entry.copies);
        let others: Vec<String> =
            others.map(|copy| format!("run {} at {}", copy.run, copy.worker)).collect();
        let level = if stray == Stray::NoJob { log::Level::Info } else { log::Level::Warn };
        log::log!(
            level,
            "job {job}: task {task} run {run} at {id}: stopped by token {token}: {why} {others:?}"
        );
    }

    /// Takes over a run that an earlier owner started.
    fn adopt(
        &mut self,
        id: &Incarnation,
        task: TaskId,
        run: u32,
        percent: u32,
        sent: Steady,
        now: Steady,
    ) {
        let Some(job) = self.jobs.get_mut(&task.of.job) else {
            return;
        };
        let charge = job.step(task.of.step).charge();
        let Some(entry) = job.task_mut(task.of, task.index) else {
            return;
        };
        entry.run = entry.run.max(run);
        if !entry.accounted {
            entry.inherited = Some(run);
        }
        entry.accounted = true;
        entry.copies.push(Copy {
            since: sent,
            began: Some(now),
            listed: true,
            adopted: Some(now),
            percent,
            ..Copy::new(id.clone(), run, Phase::Running, now)
        });
        if let Some(worker) = self.workers.get_mut(id) {
            worker.occupy(task, run, &charge);
            worker.note_begun(task, now);
        }
        log::info!("job {}: task {task} run {run} at {id}: taken over", task.of.job);
    }

    /// Decides on the expected runs at a worker that it does not list. If the list of ends is cut
    /// short, they may have ended: none is removed.
    fn check_unlisted(
        &mut self,
        id: &Incarnation,
        listed: &BTreeSet<TaskId>,
        whole: bool,
        sent: Steady,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let missing: Vec<TaskId> =
            worker.copies.keys().filter(|task| !listed.contains(task)).copied().collect();
        for task in missing {
            let Some(copy) = self.copy_mut(task, id) else {
                continue;
            };
            // A poll that was sent in the same millisecond may have come first.
            match copy.phase {
                Phase::Running if whole && copy.since < sent => {
                    log::warn!("job {}: task {task} at {id}: gone without an end", task.of.job);
                    self.drop_copy(task, id, Gone::Unlisted, now);
                }
                Phase::Stopped(at) if whole && at < sent => {
                    self.drop_copy(task, id, Gone::Stopped, now);
                }
                Phase::Unknown => self.stop(task, id, now, out),
                Phase::Stopping if STOP_AGAIN_MS < now.since(copy.since) => {
                    copy.since = now;
                    let run = copy.run;
                    self.counts.again += 1;
                    self.send_stop(id, task, run, out);
                }
                _ => {}
            }
        }
    }

    fn send_stop(&self, id: &Incarnation, task: TaskId, run: u32, out: &mut Vec<Effect>) {
        if let Some(worker) = self.workers.get(id) {
            out.push(Effect::Stop { to: worker.addressee(self.token), task, run });
        }
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut crate::jobs::job::Task> {
        self.jobs.get_mut(&task.of.job)?.task_mut(task.of, task.index)
    }

    /// Tasks whose unanswered start may still be carried out by the next incarnation of a silent
    /// worker. Long-running tasks are not held back: callers miss them meanwhile.
    fn awaited_starts(&self, id: &Incarnation, confirmed: Steady) -> BTreeSet<TaskId> {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.may_start_again()) else {
            return BTreeSet::new();
        };
        let is_awaited = |task: &&TaskId| {
            let Some(job) = self.jobs.get(&task.of.job) else {
                return false;
            };
            let copies = job.task(task.of, task.index).into_iter().flat_map(|entry| &entry.copies);
            let mut here = copies.filter(|copy| copy.worker == *id);
            let late = |copy: &Copy| confirmed < copy.since.after(LATE_ORDER_MS + LATE_MS);
            !job.step(task.of.step).lasting && here.any(|copy| copy.is_unanswered() && late(copy))
        };
        worker.copies.keys().filter(is_awaited).copied().collect()
    }

    /// Removes runs at workers that have been silent until all their leases expired, and workers
    /// that have ended. Only what had expired when the store last confirmed the ownership counts: a
    /// later owner may renew the lease of a worker that is silent here.
    pub(super) fn drop_lapsed(&mut self, now: Steady) {
        let confirmed = self.confirmed.min(now);
        let lapsed = |worker: &&Worker| worker.misses != 0 && worker.has_lapsed(confirmed);
        let lapsed: Vec<Incarnation> =
            self.workers.values().filter(lapsed).map(|w| w.report.id.clone()).collect();
        for id in lapsed {
            let awaited = self.awaited_starts(&id, confirmed);
            let worker = &self.workers[&id];
            if !awaited.is_empty() && awaited.len() == worker.copies.len() {
                continue;
            }
            for Lost { task, .. } in self.lose(&id, now) {
                if !awaited.contains(&task) {
                    log::info!("job {}: task {task} at {id}: lapsed unseen", task.of.job);
                    self.drop_copy(task, &id, Gone::Lapsed, now);
                }
            }
            if !awaited.is_empty() {
                continue;
            }
            let worker = &self.workers[&id];
            let untouched = !worker.touched && confirmed < self.quiet_until;
            if !worker.is_listed() && !untouched {
                log::info!("worker {id}: over: not listed, and silent");
                self.remove_silent(&id, now);
            }
        }
    }
}
