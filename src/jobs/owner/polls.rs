//! Polls of workers: the runs that a worker lists are compared with those that the owner expects.

use std::{collections::BTreeSet, time::Duration};

use super::{Owner, UNSENT_RETRY_MS, acknowledge};
use crate::{
    jobs::{
        event::Effect,
        job::{Phase, Run},
        run_end::{RunEnd, UnexpectedRun},
        unsettled::UnsettledStarts,
        worker::{LostRun, POLL_TIMEOUT_MS, SHORT_POLL_TIMEOUT_MS, Worker},
    },
    model::{
        id::Incarnation,
        job::TaskId,
        unit::{Now, Steady},
        worker::{OrderResult, PollResponse, PresentRun, Refusal},
    },
};

/// Delay after an unanswered poll until the next is sent, in milliseconds.
const POLL_RETRY_MS: u64 = 150;

/// The number of unanswered polls after which a worker that is not listed counts as departed: one
/// may fail because a connection was reset, and a second because of its route through another node.
const DEPARTED_MISSES: u32 = 3;

/// Delay after an unanswered poll of such a worker until the next is sent, in milliseconds.
/// Hundreds of hosts may leave a pool within seconds, and each is polled until its runs have
/// expired.
const DEPARTED_RETRY_MS: u64 = 500;

/// Delay until an order to stop is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 900;

/// Pause between polls of a worker whose ends cannot be acknowledged yet, in milliseconds: a poll
/// would return at once, since the ends are still listed. Most ends are persisted within 20 ms.
const UNSAVED_POLL_PAUSE_MS: u64 = 100;

/// How many ends are left unacknowledged at a worker while many orders get lost. Workers list 500
/// at once.
const MAX_DEFERRED_ENDS: u64 = 100;

/// The highest end that a poll may acknowledge; none if the poll has to wait until it may.
///
/// The next incarnation numbers its ends anew, and would discard those up to this number without
/// listing them. So no ends are acknowledged after an unanswered poll, nor while there is a start
/// that the next incarnation may carry out. While many orders get lost, few are acknowledged:
/// nothing could start at the worker until a lost acknowledgement is too old to be carried out.
fn acknowledgement(
    worker: &Worker,
    unsettled: &UnsettledStarts,
    orders_get_lost: bool,
) -> Option<u64> {
    if !worker.may_start_again() {
        return Some(worker.acknowledged);
    }
    let ends = worker.acknowledgeable_ends();
    if ends == 0 || worker.missed_polls != 0 {
        return Some(0);
    }
    let defers = orders_get_lost && ends < MAX_DEFERRED_ENDS;
    let waits = defers || unsettled.is_any_at(&worker.report.id.worker);
    (!waits).then_some(worker.acknowledged)
}

impl Owner {
    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self, now: Steady, out: &mut Vec<Effect>) {
        let token = self.token;
        let mixed: BTreeSet<Incarnation> = self.mixed_workers();
        let short_polls = self.message_loss.is_high(self.workers.len(), now);
        let mut resent = 0;
        let (unsettled, roster) = (&self.unsettled, &self.roster);
        for worker in self.workers.values_mut() {
            // A run in an unknown phase does not wait for the pending poll, which may wait for an
            // end.
            let waits = worker.poll_sent.is_some() && !worker.urgent_poll;
            if waits || now < worker.next_poll {
                continue;
            }
            let acknowledgement = acknowledgement(worker, unsettled, short_polls);
            let unsaved = !worker.unacknowledged.is_empty() || acknowledgement.is_none();
            let pause = match acknowledgement {
                None if short_polls => SHORT_POLL_TIMEOUT_MS,
                _ => UNSAVED_POLL_PAUSE_MS,
            };
            let recently = worker.last_answer.is_some_and(|at| now.since(at) < pause);
            if unsaved && recently {
                continue;
            }
            let acknowledged = acknowledgement.unwrap_or(0);
            // This poll should be answered soon, since nothing starts at the worker until then.
            let exclusive = acknowledged != 0 && worker.may_start_again();
            let waits = worker.has_reported && worker.missed_polls == 0 && !worker.urgent_poll;
            let wait = match waits && !unsaved && !exclusive {
                true if short_polls && !worker.runs.is_empty() => SHORT_POLL_TIMEOUT_MS,
                true if mixed.contains(&worker.report.id) => POLL_TIMEOUT_MS / 2,
                true => POLL_TIMEOUT_MS,
                false => 0,
            };
            // The lease of a silent worker is not renewed: it may receive polls though its answers
            // are lost. Nor is one on whose expiry a later owner relies.
            let expires = roster.may_be_expiring(&worker.report.id);
            let renews = worker.has_reported && worker.missed_polls == 0 && !expires;
            let until_ms = if renews { worker.extend_lease(now) } else { None };
            worker.note_poll_sent(now);
            worker.poll_sent = Some(now);
            worker.poll_timeout_ms = wait;
            worker.urgent_poll = false;
            resent += u64::from(worker.missed_polls != 0);
            if exclusive {
                worker.note_ack_sent(acknowledged, now);
            }
            self.last_polls = Some(now);
            out.push(Effect::Poll {
                to: worker.addressee(token),
                acknowledged,
                until_ms,
                wait: Duration::from_millis(wait),
            });
        }
        self.counts.resent_orders += resent;
    }

    /// Processes the result of a poll.
    pub(super) fn note_poll_result(
        &mut self,
        id: &Incarnation,
        sent: Steady,
        end: OrderResult<PollResponse>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // An older poll may still be pending, and its answer is processed too.
        if worker.poll_sent.is_some_and(|newest| newest <= sent) {
            worker.poll_sent = None;
        }
        worker.note_poll_result(sent, &end, now.steady);
        if sent < worker.address_since {
            // The answer came from an address that was not the worker's.
            return;
        }
        match end {
            OrderResult::Done(response) => {
                match response.born.filter(|born| id.born != Some(*born)) {
                    Some(other) => self.note_answer_by(id, other, sent, now.steady),
                    None => self.note_poll_answer(id, sent, response, now, out),
                }
            }
            OrderResult::Refused { why: Refusal::Fenced, .. }
                if worker.carried_fencing_token(sent) =>
            {
                self.deposed = true;
            }
            // If this worker has never answered at the address, the answer of another worker there
            // proves nothing about it.
            OrderResult::Refused { why: Refusal::OtherLife, .. } if worker.has_answered => {
                self.remove_ended_worker(
                    id,
                    "orders at its address are refused by another worker",
                    now.steady,
                );
            }
            OrderResult::Unsent => worker.next_poll = now.steady.after(UNSENT_RETRY_MS),
            OrderResult::Refused { .. } | OrderResult::Unknown => {
                if worker.missed_polls == 0 {
                    self.message_loss.record(now.steady);
                }
                if worker.last_answer.is_some_and(|at| sent < at) {
                    // It has answered a later poll.
                    return;
                }
                worker.missed_polls += 1;
                let has_departed = !worker.is_listed() && DEPARTED_MISSES <= worker.missed_polls;
                let pause = if has_departed { DEPARTED_RETRY_MS } else { POLL_RETRY_MS };
                worker.next_poll = now.steady.after(pause);
                if worker.missed_polls == 1 {
                    worker.missed_since = now.steady;
                    log::info!("worker {id}: lost: a poll got no answer");
                }
            }
        }
    }

    fn note_poll_answer(
        &mut self,
        id: &Incarnation,
        sent: Steady,
        response: PollResponse,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.read_clock(response.clock_ms, now.steady);
        if worker.may_obey_earlier_orders(self.earlier != 0) {
            worker.assume_longest_lease();
        }
        let was_lost = !worker.has_reported || !worker.lost_runs.is_empty();
        if !worker.has_reported {
            worker.has_reported = true;
            worker.assume_full_lease();
        }
        if worker.missed_polls != 0 {
            log::info!("worker {id}: back after {} unanswered polls", worker.missed_polls);
        }
        worker.missed_polls = 0;
        worker.has_answered = true;
        worker.last_answer = Some(now.steady);
        let complete = response.lists_all_ends();
        worker.reported_all |= complete;
        worker.confirm_fencing_token(sent, complete);
        self.clear_crashes_at(id, was_lost);
        self.supersede(id, sent, now.steady);
        self.decide_doubtful_losses(id, &response, sent, now.steady);
        let mut ended = response.ended;
        ended.sort_by_key(|end| end.number);
        for end in ended {
            self.note_end(id, end, now, out);
        }
        let listed: BTreeSet<TaskId> =
            response.present.iter().map(|present| present.task).collect();
        for present in response.present {
            self.note_present_run(id, present, sent, now.steady, out);
        }
        self.check_unlisted_runs(id, &listed, complete, sent, now.steady, out);
        if let Some(worker) = self.workers.get_mut(id) {
            acknowledge(worker, &self.jobs);
        }
        self.adjust_throttle(id, now.steady, out);
        self.forget_ended();
    }

    /// Compares a listed run with the expected state.
    fn note_present_run(
        &mut self,
        id: &Incarnation,
        found: PresentRun,
        sent: Steady,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        let PresentRun { task, run, checkpoint, percent, gauge } = found;
        self.unsettled.settle(&id.worker, task, run);
        self.note_begun(task.of.job);
        let unexpected = self.why_unexpected(id, task);
        let job = task.of.job;
        if !self.jobs.contains_key(&job) && !self.ended.contains(&job) {
            self.unknown_seen = Some(now);
        }
        if let Some(task_run) = self.run_mut(task, id).filter(|task_run| task_run.run == run) {
            if task_run.percent < percent || task_run.began.is_none() {
                task_run.progressed = now;
            }
            task_run.percent = percent;
            task_run.gauge = gauge;
            task_run.listed = true;
            let stopping = matches!(task_run.phase, Phase::Stopping | Phase::Stopped(_));
            task_run.began.get_or_insert(now);
            match task_run.phase {
                Phase::Starting | Phase::Unknown => {
                    task_run.phase = Phase::Running;
                    task_run.since = now;
                }
                Phase::Stopping if STOP_RETRY_MS < now.since(task_run.since) => {
                    task_run.since = now;
                    self.counts.resent_orders += 1;
                    self.send_stop(id, task, run, out);
                }
                _ => {}
            }
            if !checkpoint.is_empty()
                && let Some(entry) = self.task_mut(task)
            {
                entry.checkpoint = checkpoint;
            }
            self.note_run_alive(id, task, now);
            if let Some(unexpected) = unexpected {
                if !stopping {
                    self.log_unexpected_run(id, task, run, unexpected);
                }
                self.stop_run(task, id, now, out);
            }
            return;
        }
        let other_run = self.run_mut(task, id).map(|_| UnexpectedRun::OtherRun);
        if let Some(unexpected) = unexpected.or(other_run) {
            self.log_unexpected_run(id, task, run, unexpected);
            self.send_stop(id, task, run, out);
            return;
        }
        self.adopt_run(id, task, run, percent, sent, now);
    }

    /// Why a run of a task at a worker is unexpected, if it is.
    fn why_unexpected(&self, id: &Incarnation, task: TaskId) -> Option<UnexpectedRun> {
        let job = self.jobs.get(&task.of.job);
        let found = job.and_then(|job| Some((job, job.task(task.of, task.index)?)));
        let Some((job, entry)) = found else {
            return Some(UnexpectedRun::NoJob);
        };
        if entry.done {
            return Some(UnexpectedRun::Done);
        }
        if !job.is_open() {
            return Some(UnexpectedRun::NoJob);
        }
        let elsewhere = entry.runs.iter().any(|task_run| task_run.worker != *id);
        (elsewhere && !job.step(task.of.step).speculative).then_some(UnexpectedRun::Elsewhere)
    }

    /// Logs a run that should not be there. Two runs of one task are first noticed here, whichever
    /// of the two owners polls.
    fn log_unexpected_run(
        &mut self,
        id: &Incarnation,
        task: TaskId,
        run: u32,
        unexpected: UnexpectedRun,
    ) {
        *self.counts.unexpected_runs.entry(unexpected.as_str()).or_default() += 1;
        let (job, token, reason) = (task.of.job, self.token, unexpected.as_str());
        let entry = self.jobs.get(&job).and_then(|job| job.task(task.of, task.index));
        let others = entry.iter().flat_map(|entry| &entry.runs);
        let others: Vec<String> =
            others.map(|task_run| format!("run {} at {}", task_run.run, task_run.worker)).collect();
        let level =
            if unexpected == UnexpectedRun::NoJob { log::Level::Info } else { log::Level::Warn };
        log::log!(
            level,
            "job {job}: task {task} run {run} at {id}: stopped by token {token}: {reason} {others:?}"
        );
    }

    /// Takes over a run that an earlier owner started.
    fn adopt_run(
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
        let (record, charge) = (job.record.clone(), job.step(task.of.step).charge());
        let Some(entry) = job.task_mut(task.of, task.index) else {
            return;
        };
        entry.run = entry.run.max(run);
        if !entry.location_known {
            entry.adopted_run = Some(run);
        }
        entry.location_known = true;
        entry.runs.push(Run {
            since: sent,
            began: Some(now),
            listed: true,
            adopted: Some(now),
            percent,
            ..Run::new(id.clone(), run, Phase::Running, now)
        });
        self.occupy_limit(&record, task, true);
        self.occupy(id, task, run, &charge);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.note_begun(task, now);
        }
        log::info!("job {}: task {task} run {run} at {id}: taken over", task.of.job);
    }

    /// Decides on the expected runs at a worker that it does not list. If the list of ends is cut
    /// short, they may have ended: none is removed.
    fn check_unlisted_runs(
        &mut self,
        id: &Incarnation,
        listed: &BTreeSet<TaskId>,
        complete: bool,
        sent: Steady,
        now: Steady,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let missing: Vec<TaskId> =
            worker.runs.keys().filter(|task| !listed.contains(task)).copied().collect();
        for task in missing {
            let Some(task_run) = self.run_mut(task, id) else {
                continue;
            };
            // A poll that was sent in the same millisecond may have come first.
            match task_run.phase {
                Phase::Running if complete && task_run.since < sent => {
                    log::warn!("job {}: task {task} at {id}: gone without an end", task.of.job);
                    self.remove_run(task, id, RunEnd::Unlisted, now);
                }
                Phase::Stopped(at) if complete && at < sent => {
                    self.remove_run(task, id, RunEnd::Stopped, now);
                }
                Phase::Unknown => self.stop_run(task, id, now, out),
                Phase::Stopping if STOP_RETRY_MS < now.since(task_run.since) => {
                    task_run.since = now;
                    let run = task_run.run;
                    self.counts.resent_orders += 1;
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

    /// Removes runs at workers that have been silent until all their leases expired, and workers
    /// that have presumably ended. Only what had expired when the store last confirmed the
    /// ownership counts: a later owner may renew the lease of a worker that is silent here.
    pub(super) fn remove_expired_runs(&mut self, now: Steady) {
        let confirmed = self.confirmed.min(now);
        let expired = |worker: &&Worker| worker.missed_polls != 0 && worker.has_lapsed(confirmed);
        let expired: Vec<Incarnation> =
            self.workers.values().filter(expired).map(|w| w.report.id.clone()).collect();
        for id in expired {
            for LostRun { task, .. } in self.note_worker_loss(&id, now) {
                log::info!("job {}: task {task} at {id}: lapsed unseen", task.of.job);
                self.remove_run(task, &id, RunEnd::Lapsed, now);
            }
            let worker = &self.workers[&id];
            let untouched = !worker.has_reported && confirmed < self.fence_at(worker);
            if !worker.is_listed() && !untouched {
                log::info!("worker {id}: removed: not listed, and silent");
                self.remove_silent_worker(&id, now);
            }
        }
    }
}
