//! The state of a worker at its pool's owner: its clock, its lease, its runs and its resources.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{
    jobs::roster::Holding,
    model::{
        id::Incarnation,
        job::{JobId, TaskId, TaskResources},
        order::Addressee,
        unit::{Revision, Steady},
        worker::{OrderResult, PollResponse, WorkerReport},
    },
};

/// The lease of a worker: how long everything on it may continue to run after an order or a poll.
/// Longer than a change of owner takes (a poll timeout, then lease and first poll: 3.3 s), and no
/// longer, since tasks of a lost worker start elsewhere only after it.
pub(crate) const WORKER_LEASE_MS: u64 = 3_400;

/// The slowest rate of a worker's clock, in percent: 2 % slow, by the platform's contract.
pub(crate) const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// How far the clock in an answer may be ahead of the expected value: the previous answer may have
/// been delayed by this much before it was read.
const CLOCK_SLACK_MS: u64 = 1_500;

/// How late a worker may act on the expiry of its lease: timers fire late on a busy machine. Delays
/// only the tasks of silent workers.
pub(crate) const EXPIRY_DELAY_MS: u64 = 400;

/// The timeout of a long poll, which waits for the end of a run. Each poll also renews the worker's
/// lease.
pub(crate) const POLL_TIMEOUT_MS: u64 = 1_000;

/// The poll timeout at a worker with runs while orders get lost: after a lost poll, ends there stay
/// unknown for this long, and objectives allow only one to two seconds more than the work.
pub(crate) const SHORT_POLL_TIMEOUT_MS: u64 = 300;

/// After how long a run is stable, by the worker's clock: it does not crash its worker on start.
/// Tasks that do so crash it within 10 ms; the rest allows for slow workers. No longer, since
/// nothing else is started beside an isolated retry.
pub(crate) const STABLE_MS: u64 = 200;

/// Delay after an isolated retry starts until its worker is polled, in milliseconds: an answer then
/// shows that the run is stable.
pub(crate) const ISOLATED_RETRY_POLL_MS: u64 = STABLE_MS + 40;

/// How long a live worker may be missing from the store's list: by the platform's contract, entries
/// that lapsed during a store outage are listed again within this time.
const RELIST_LIMIT_MS: u64 = 2_000;

/// How long a silent worker that is still listed is waited for: twice as long as the entry of a
/// terminated worker remains listed.
const LONG_SILENCE_MS: u64 = 10_000;

/// The longest time after its start for which a worker may have a lease from an order to its earlier
/// incarnation, in milliseconds of its clock.
const RESTARTED_MS: u64 = MAX_ORDER_DELAY_MS + MAX_LEASE_MS;

/// The longest lease of a worker, which cuts longer ones down, by the platform's contract.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;

/// The longest delay after which an unanswered order may still be carried out, by the platform's
/// contract.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// How long after its timeout an unanswered poll stops new work for the worker.
const POLL_OVERDUE_MS: u64 = 250;

/// The number of different jobs that must fail in a row at a worker before it is suspended: a
/// single job may be faulty itself.
const SUSPEND_AFTER_JOBS: usize = 2;

/// The first suspension; each further one is twice as long, up to the maximum.
const FIRST_SUSPENSION_MS: u64 = 1_500;
const MAX_SUSPENSION_MS: u64 = 8_000;

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    clock_ms: u64,
    /// When the answer arrived: the worker's clock shows at least `clock_ms` then.
    at: Steady,
}

/// An end that was counted but is not yet acknowledged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnacknowledgedEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    /// The job's version that counts it; 0 if nothing need be persisted; `None` while the job is
    /// unknown: the end is counted once the job is known.
    pub(crate) version: Option<u64>,
}

/// A run that ended, or may have ended, with its worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LostRun {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// For how long it was observed to run, in milliseconds.
    pub(crate) observed_ms: u64,
    /// Whether it is known to have begun.
    pub(crate) began: bool,
    /// Whether its worker has listed it.
    pub(crate) listed: bool,
    /// Whether it was an isolated retry that had begun, and the only run there that was not stable:
    /// if the worker crashed, this run caused it.
    pub(crate) sole_suspect: bool,
    /// Whether it did not cause the loss, since it was stable while another run there was not, or
    /// counts for an earlier incarnation.
    pub(crate) cleared: bool,
}

impl LostRun {
    /// A run that may have been at a worker according to the record of an earlier owner.
    pub(crate) fn unobserved(task: TaskId) -> LostRun {
        LostRun {
            task,
            run: 0,
            observed_ms: 0,
            began: false,
            listed: false,
            sole_suspect: false,
            cleared: false,
        }
    }
}

/// The loss of an earlier incarnation with a start that the present one may have carried out
/// instead: the answer to a start does not identify the incarnation, a list does.
#[derive(Debug, Clone)]
pub(crate) struct DoubtfulLoss {
    pub(crate) worker: Incarnation,
    pub(crate) lost: LostRun,
    /// When it was recorded: lists that were requested later decide it.
    pub(crate) since: Steady,
}

/// Protection of a worker against orders to its earlier incarnation: it carries them out until it
/// has received a fencing token of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RestartFence {
    /// It refuses such orders, or there are none.
    Clear,
    /// It needs a token of its own.
    Needed,
    /// A token is assigned; no poll that carries it has been sent.
    Assigned,
    /// The first poll that carries the token was sent then.
    Sent(Steady),
}

/// An incarnation of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) report: WorkerReport,
    /// Until when it is cold, i.e. slower than others.
    cold_until: Steady,
    /// Since when the store no longer lists it; `None` while it is listed.
    unlisted_since: Option<Steady>,
    /// Whether the store's entry under its id is not its own: it gets no work.
    pub(crate) blocked: bool,
    /// Whether it has answered at its address, to this owner or an earlier one.
    pub(crate) has_answered: bool,
    /// Since when it is known: calls sent at this time or later were sent after that.
    pub(crate) known_since: Steady,
    /// Since when it is called at its address: answers to earlier calls are another worker's.
    pub(crate) address_since: Steady,
    /// Whether it has seen this owner's token and reported its runs.
    pub(crate) has_reported: bool,
    /// Whether it has reported everything that it holds to this owner: at least one list of ends
    /// was complete. Everything that it received later is from this owner.
    pub(crate) reported_all: bool,
    /// Whether the persisted roster allows any run here, so that it may get work.
    pub(crate) rostered: bool,
    /// The tasks that an earlier incarnation may have run by the roster: orders to it may have been
    /// carried out by this one, until it has reported everything.
    pub(crate) earlier_tasks: Option<Holding>,
    /// The fencing token of orders to it, if it differs from the owner's; else 0.
    fencing_token: u64,
    /// When the first poll was sent that carried this token.
    token_since: Steady,
    /// Whether orders to an earlier incarnation may still be carried out here.
    pub(crate) restart_fence: RestartFence,
    reading: Option<ClockReading>,
    /// The latest end of its lease, by the worker's clock.
    lease_end_ms: u64,
    /// When the newest poll in flight was sent.
    pub(crate) poll_sent: Option<Steady>,
    /// The timeout of that poll, in milliseconds.
    pub(crate) poll_timeout_ms: u64,
    /// Whether a run is unconfirmed, so that the next poll is sent and answered at once.
    pub(crate) urgent_poll: bool,
    /// The earliest time of the next poll.
    pub(crate) next_poll: Steady,
    /// When a poll was last answered.
    pub(crate) last_answer: Option<Steady>,
    /// The number of unanswered polls in a row.
    pub(crate) missed_polls: u32,
    /// When the first of them was found to have no answer.
    pub(crate) missed_since: Steady,
    pub(crate) used: TaskResources,
    /// Runs that are or may be there.
    pub(crate) runs: BTreeMap<TaskId, u32>,
    /// The latest time at which each run that is known to have begun did so, by the worker's clock.
    began_ms: BTreeMap<TaskId, u64>,
    /// The highest end that was counted.
    pub(crate) last_counted: u64,
    /// The highest end that may be acknowledged.
    pub(crate) acknowledged: u64,
    /// The highest end that an answered poll has acknowledged.
    confirmed_ack: u64,
    /// The polls in flight that acknowledge ends: when each was sent, and up to which end.
    pending_acks: BTreeMap<Steady, u64>,
    /// Until when a poll without an answer that acknowledges ends may still be carried out. The
    /// next incarnation would discard the end of a start that it carried out before that poll.
    pub(crate) late_ack_until: Steady,
    pub(crate) unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// Jobs that failed here since a task was last done.
    failed_jobs: BTreeSet<JobId>,
    /// The task of an isolated retry: nothing else is started here meanwhile.
    pub(crate) isolated_task: Option<TaskId>,
    /// Runs that were given up since it became silent. They have ended with it if it has
    /// terminated.
    pub(crate) lost_runs: Vec<LostRun>,
    /// Losses of earlier incarnations that its lists are to decide.
    pub(crate) doubtful_losses: Vec<DoubtfulLoss>,
    pub(crate) last_done: Option<Steady>,
    suspended_until: Steady,
    suspensions: u32,
}

impl Worker {
    pub(crate) fn new(report: WorkerReport, now: Steady) -> Worker {
        let mut worker = Worker {
            report,
            cold_until: Steady::default(),
            unlisted_since: None,
            blocked: false,
            has_answered: false,
            known_since: now,
            address_since: now,
            has_reported: false,
            reported_all: false,
            rostered: false,
            earlier_tasks: None,
            fencing_token: 0,
            token_since: Steady::default(),
            restart_fence: RestartFence::Clear,
            reading: None,
            lease_end_ms: 0,
            poll_sent: None,
            poll_timeout_ms: 0,
            urgent_poll: false,
            next_poll: now,
            last_answer: None,
            missed_polls: 0,
            missed_since: now,
            used: TaskResources::default(),
            runs: BTreeMap::new(),
            began_ms: BTreeMap::new(),
            last_counted: 0,
            acknowledged: 0,
            confirmed_ack: 0,
            pending_acks: BTreeMap::new(),
            late_ack_until: Steady::default(),
            unacknowledged: VecDeque::new(),
            failed_jobs: BTreeSet::new(),
            isolated_task: None,
            lost_runs: Vec::new(),
            doubtful_losses: Vec::new(),
            last_done: None,
            suspended_until: now,
            suspensions: 0,
        };
        worker.note_cold(now);
        worker
    }

    /// Applies the store's entry under the worker's id. Once the worker has answered, its host,
    /// pool and address are fixed: a report with others is not its own, and its runs continue.
    pub(crate) fn list(&mut self, report: WorkerReport, now: Steady) {
        let moved = !self.report.has_same_place(&report);
        if moved && self.has_answered {
            log::error!(
                "worker {}: gets no work: its entry names host {} at {}, but it answered at {}",
                self.report.id,
                report.host,
                report.address,
                self.report.address
            );
            self.block(now);
            return;
        }
        if moved {
            // A poll that was sent in this millisecond may have gone to the previous address.
            self.address_since = now.after(1);
            self.poll_sent = None;
            self.next_poll = self.address_since;
        }
        self.report = report;
        self.note_cold(now);
        self.unlisted_since = None;
        self.blocked = false;
    }

    /// Records for how long it has just reported to stay cold.
    fn note_cold(&mut self, now: Steady) {
        self.cold_until = match self.report.cold_ms {
            0 => self.cold_until.min(now),
            millis => now.after(millis),
        };
    }

    /// Whether it is slower than warm workers.
    pub(crate) fn is_cold(&self, now: Steady) -> bool {
        now < self.cold_until
    }

    /// Whether a run that began then has run on a cold worker, if only at first.
    pub(crate) fn was_cold_at(&self, began: Steady) -> bool {
        began < self.cold_until
    }

    /// Blocks new work until the worker's own report is listed. Its runs are treated as those of an
    /// unlisted worker.
    pub(crate) fn block(&mut self, now: Steady) {
        self.blocked = true;
        self.unlist(now);
    }

    /// Records that the store no longer lists the worker. It may be leaving without notice, or be
    /// listed again soon.
    pub(crate) fn unlist(&mut self, now: Steady) {
        self.unlisted_since.get_or_insert(now);
    }

    /// Whether it was known when a call was sent. An answer proves that the worker that gave it was
    /// alive after the call was sent, so that it ends the others that were known by then. One that
    /// became known later may have started since: answers are handled late.
    pub(crate) fn was_known(&self, sent: Steady) -> bool {
        self.known_since <= sent
    }

    /// Whether the store lists it.
    pub(crate) fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    /// Whether its entry has been missing for so long that the worker is presumably leaving.
    fn has_left_list(&self, now: Steady) -> bool {
        self.unlisted_since.is_some_and(|since| RELIST_LIMIT_MS <= now.since(since))
    }

    /// The addressee of orders to the worker, if `token` is the owner's.
    pub(crate) fn addressee(&self, token: u64) -> Addressee {
        let report = &self.report;
        let token = token.max(self.fencing_token);
        Addressee { worker: report.id.clone(), address: report.address.clone(), token }
    }

    /// The fencing token of orders to it, if it differs from the owner's; else 0.
    pub(crate) fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Raises the token of its orders to at least this one, which it may have seen already.
    pub(crate) fn advance_fencing_token(&mut self, token: u64) {
        self.fencing_token = self.fencing_token.max(token);
    }

    /// Records the revision of the write that lists it in the roster. It becomes the token of
    /// orders to the worker if that needs one of its own.
    pub(crate) fn assign_fencing_token(&mut self, revision: Revision) {
        if self.rostered && self.restart_fence == RestartFence::Needed {
            self.advance_fencing_token(revision.0);
            self.restart_fence = RestartFence::Assigned;
            self.next_poll = Steady::default();
            self.urgent_poll = true;
        }
    }

    /// Records that a poll is about to be sent, which carries the assigned token.
    pub(crate) fn note_poll_sent(&mut self, now: Steady) {
        // A poll that was sent in the same millisecond may have carried the previous token.
        if self.restart_fence == RestartFence::Assigned && self.poll_sent != Some(now) {
            self.restart_fence = RestartFence::Sent(now);
        }
    }

    /// Records that a poll sent at that time was answered. If its list of ends is complete, orders
    /// with earlier tokens are refused from now on.
    pub(crate) fn confirm_fencing_token(&mut self, sent: Steady, is_complete: bool) {
        if let RestartFence::Sent(first) = self.restart_fence
            && first <= sent
            && is_complete
        {
            self.restart_fence = RestartFence::Clear;
            self.token_since = first;
        }
    }

    /// Whether a poll sent at that time carried the token that orders carry now.
    pub(crate) fn carried_fencing_token(&self, sent: Steady) -> bool {
        match self.restart_fence {
            RestartFence::Clear => self.token_since <= sent,
            RestartFence::Needed | RestartFence::Assigned => false,
            RestartFence::Sent(first) => first <= sent,
        }
    }

    /// The worker's rack: the label after its kind.
    pub(crate) fn rack(&self) -> &str {
        self.report.labels.last().map(String::as_str).unwrap_or_default()
    }

    /// Records the worker's clock from the answer to a poll, which arrived now.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, now: Steady) {
        let is_newer = self.reading.is_none_or(|reading| reading.clock_ms <= clock_ms);
        if is_newer && clock_ms != 0 {
            self.reading = Some(ClockReading { clock_ms, at: now });
        }
    }

    /// Whether its next incarnation may answer under the same name.
    pub(crate) fn may_start_again(&self) -> bool {
        self.report.id.born.is_some()
    }

    /// The number of ends that may be acknowledged and, as far as is known, are not yet.
    pub(crate) fn acknowledgeable_ends(&self) -> u64 {
        self.acknowledged.saturating_sub(self.confirmed_ack)
    }

    /// Records that a poll is sent that acknowledges ends up to a number.
    pub(crate) fn note_ack_sent(&mut self, number: u64, now: Steady) {
        self.pending_acks.insert(now, number);
    }

    /// Until when a poll that acknowledges ends may still be carried out by the next incarnation.
    pub(crate) fn late_ack_end(&self, now: Steady) -> Steady {
        match self.pending_acks.is_empty() {
            false => now.after(MAX_ORDER_DELAY_MS),
            true => self.late_ack_until,
        }
    }

    /// Records the result of a poll sent at that time.
    pub(crate) fn note_poll_result(
        &mut self,
        sent: Steady,
        result: &OrderResult<PollResponse>,
        now: Steady,
    ) {
        let number = self.pending_acks.remove(&sent);
        match (result, number) {
            (OrderResult::Done(_), Some(number)) => {
                self.confirmed_ack = self.confirmed_ack.max(number);
            }
            (OrderResult::Unknown | OrderResult::Unsent, Some(_)) => {
                self.late_ack_until = now.after(MAX_ORDER_DELAY_MS);
            }
            _ => {}
        }
        if let OrderResult::Done(response) = result
            && let Some(lowest) = response.ended.iter().map(|end| end.number).min()
        {
            self.confirmed_ack = self.confirmed_ack.min(lowest.saturating_sub(1));
        }
    }

    /// Records the worker's clock from the answer to another order, which arrived now. That answer
    /// does not identify the incarnation: a clock that cannot be this one's is ignored.
    pub(crate) fn read_order_clock(&mut self, clock_ms: u64, now: Steady) {
        let fits = |reading: ClockReading| {
            let passed = now.since(reading.at);
            clock_ms <= reading.clock_ms + passed * 100 / SLOWEST_CLOCK_PERCENT + CLOCK_SLACK_MS
        };
        if !self.may_start_again() || self.reading.is_none_or(fits) {
            self.read_clock(clock_ms, now);
        }
    }

    /// Extends the lease; returns its end by the worker's clock, or `None` while the clock is
    /// unknown.
    pub(crate) fn extend_lease(&mut self, now: Steady) -> Option<u64> {
        let reading = self.reading?;
        let until = reading.clock_ms + now.since(reading.at) + WORKER_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(until);
        Some(until)
    }

    /// Assumes that an earlier owner has extended the lease as far as this one would.
    pub(crate) fn assume_full_lease(&mut self) {
        self.assume_lease(WORKER_LEASE_MS + WORKER_LEASE_MS / 50);
    }

    /// Assumes that orders to an earlier incarnation have extended the lease as far as the worker
    /// allows: they bear times on that incarnation's clock.
    pub(crate) fn assume_longest_lease(&mut self) {
        self.assume_lease(MAX_LEASE_MS);
    }

    fn assume_lease(&mut self, millis: u64) {
        if let Some(reading) = self.reading {
            self.lease_end_ms = self.lease_end_ms.max(reading.clock_ms + millis);
        }
    }

    /// Whether its lease may be from orders to an earlier incarnation, if `earlier_owners` may have
    /// sent any: it has not answered a poll with a token that these orders do not bear.
    pub(crate) fn may_obey_earlier_orders(&self, earlier_owners: bool) -> bool {
        let has_started = self.reading.is_some_and(|reading| reading.clock_ms < RESTARTED_MS);
        let is_unknown = earlier_owners && has_started && !self.has_reported;
        self.may_start_again() && (is_unknown || self.restart_fence != RestartFence::Clear)
    }

    /// Whether a listed end is still to be counted.
    pub(crate) fn is_uncounted(&self, number: u64) -> bool {
        let waits = |end: &UnacknowledgedEnd| end.number == number && end.version.is_none();
        self.last_counted < number || self.unacknowledged.iter().any(waits)
    }

    /// Records an end and the version of its job that counts it.
    pub(crate) fn note_end(&mut self, number: u64, job: JobId, version: Option<u64>) {
        self.last_counted = self.last_counted.max(number);
        match self.unacknowledged.iter_mut().find(|end| end.number == number) {
            Some(end) => end.version = version,
            None => self.unacknowledged.push_back(UnacknowledgedEnd { number, job, version }),
        }
    }

    /// Blocks new work until the given time.
    pub(crate) fn pause(&mut self, until: Steady) {
        self.suspended_until = self.suspended_until.max(until);
    }

    /// When the worker's lease has expired for certain; `None` if it has none.
    pub(crate) fn lease_expiry(&self) -> Option<Steady> {
        let Some(reading) = self.reading else {
            // Runs that may have begun before it ever answered got their lease with an earlier
            // order.
            let lease_start = (!self.runs.is_empty()).then_some(self.address_since);
            return lease_start.map(|at| {
                at.after(WORKER_LEASE_MS * 100 / SLOWEST_CLOCK_PERCENT + EXPIRY_DELAY_MS)
            });
        };
        let remaining = self.lease_end_ms.saturating_sub(reading.clock_ms);
        Some(reading.at.after(remaining * 100 / SLOWEST_CLOCK_PERCENT + EXPIRY_DELAY_MS))
    }

    /// Whether the worker's lease has certainly expired.
    pub(crate) fn has_lapsed(&self, now: Steady) -> bool {
        self.lease_expiry().is_none_or(|at| at <= now)
    }

    /// Whether it has been silent for so long that it is no longer waited for, even if the store
    /// lists it: the entry of a terminated worker may remain.
    pub(crate) fn is_long_silent(&self, now: Steady) -> bool {
        let last_answer = self.last_answer.unwrap_or(self.address_since);
        self.missed_polls != 0 && self.has_lapsed(now) && LONG_SILENCE_MS <= now.since(last_answer)
    }

    /// Whether the worker may get new work now.
    pub(crate) fn takes_work(&self, now: Steady) -> bool {
        self.pending_acks.is_empty() && self.may_get_work(now)
    }

    /// Whether the worker may get new work, as soon as no poll that acknowledges ends is pending.
    pub(crate) fn may_get_work(&self, now: Steady) -> bool {
        self.has_reported
            && self.rostered
            && self.restart_fence == RestartFence::Clear
            && self.late_ack_until <= now
            && !self.blocked
            && !self.has_left_list(now)
            && self.report.leaves_ms.is_none()
            && self.suspended_until <= now
            && self.reading.is_some()
            && self.is_responsive(now)
    }

    /// Since when it is silent; `None` if it has answered the last poll.
    pub(crate) fn silent_since(&self) -> Option<Steady> {
        (self.missed_polls != 0).then_some(self.missed_since)
    }

    /// Whether the worker has answered the last poll, or may still answer the poll in flight in
    /// time.
    pub(crate) fn is_responsive(&self, now: Steady) -> bool {
        let overdue = self.poll_timeout_ms + POLL_OVERDUE_MS;
        self.missed_polls == 0 && self.poll_sent.is_none_or(|sent| now.since(sent) < overdue)
    }

    /// Records that a run is known to have begun by now.
    pub(crate) fn note_begun(&mut self, task: TaskId, now: Steady) {
        if let Some(reading) = self.reading {
            let passed = now.since(reading.at) * 100 / SLOWEST_CLOCK_PERCENT;
            self.began_ms.entry(task).or_insert(reading.clock_ms + passed);
        }
    }

    /// For how long a run was observed without a crash of the worker, in milliseconds of its clock.
    /// Answers to all orders count as signs of life, since a poll may wait for a second.
    pub(crate) fn observed_ms(&self, task: TaskId) -> u64 {
        match (self.began_ms.get(&task), self.reading) {
            (Some(began), Some(reading)) => reading.clock_ms.saturating_sub(*began),
            _ => 0,
        }
    }

    /// Whether all runs that are or may be here are stable: if the worker is lost soon after the
    /// next start, the new run caused it.
    pub(crate) fn all_runs_stable(&self) -> bool {
        self.runs.keys().all(|task| STABLE_MS <= self.observed_ms(*task))
    }

    /// Whether nothing runs or can begin here, and all ends are counted durably.
    pub(crate) fn is_empty(&self) -> bool {
        self.reported_all && self.runs.is_empty() && self.unacknowledged.is_empty()
    }

    /// Whether it may list ends of earlier owners' runs that this owner has not seen. They do not
    /// lapse with the runs: only a worker that has presumably terminated lists none.
    pub(crate) fn may_list_unseen_ends(&self, now: Steady) -> bool {
        let is_silent = self.missed_polls != 0 && self.has_lapsed(now);
        self.has_reported && !self.reported_all && !is_silent
    }

    /// Whether tasks have failed at the worker since a task was last done there.
    pub(crate) fn is_suspect(&self) -> bool {
        !self.failed_jobs.is_empty()
    }

    /// Records that a task was done, which ends the series of failures.
    pub(crate) fn note_done(&mut self, now: Steady) {
        self.failed_jobs.clear();
        self.suspensions = 0;
        self.last_done = Some(now);
    }

    /// Records a failure that may be the worker's fault; returns whether it is suspended for it.
    pub(crate) fn note_failed(&mut self, job: JobId, now: Steady) -> bool {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < SUSPEND_AFTER_JOBS || now < self.suspended_until {
            return false;
        }
        let suspension = (FIRST_SUSPENSION_MS << self.suspensions.min(8)).min(MAX_SUSPENSION_MS);
        self.suspended_until = now.after(suspension);
        self.suspensions += 1;
        true
    }

    /// The worker's free processor time, in millicores; 0 if its resources have shrunk below what
    /// its runs use.
    pub(crate) fn cpu_left(&self) -> u32 {
        self.report.capacity.cpu.0.saturating_sub(self.used.cpu.0)
    }

    /// Reserves the resources of a run.
    pub(crate) fn occupy(&mut self, task: TaskId, run: u32, charge: &TaskResources) {
        self.began_ms.remove(&task);
        if self.runs.insert(task, run).is_none() {
            self.used.add(charge);
        }
    }

    /// Schedules a poll for when an isolated retry that starts now is stable.
    pub(crate) fn expect_isolated_retry(&mut self, task: TaskId, now: Steady) {
        if self.isolated_task == Some(task) {
            self.next_poll = now.after(ISOLATED_RETRY_POLL_MS);
            self.urgent_poll = true;
        }
    }

    /// Releases the resources of a run.
    pub(crate) fn release(&mut self, task: TaskId, charge: &TaskResources) {
        if self.runs.remove(&task).is_some() {
            self.used.subtract(charge);
        }
        self.began_ms.remove(&task);
        self.isolated_task.take_if(|isolated| *isolated == task);
    }
}
