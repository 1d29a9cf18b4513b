//! Decides which tasks start on which workers, and which runs are stopped on hosts that are being
//! drained.

use std::collections::BTreeSet;

use super::{Owner, roster::Unconfirmed};
use crate::{
    jobs::{
        event::Effect,
        job::{Job, Phase, Run, StepTasks, Task},
        start::{
            allowed::{self, Allowed},
            eligible::TaskPlacer,
            fair_share::{Amount, Claim},
            turn::{self, Beyond, Candidate},
        },
        urgency::{self, Urgency},
    },
    model::{
        id::{Incarnation, WorkerId},
        job::{JobId, JobRecord, Step, StepId, TaskId},
        order::Start,
        unit::{Now, Steady},
    },
};

/// A task whose estimated remaining time is below this is not moved, in milliseconds: stopping and
/// starting it again takes as long.
const MOVE_MIN_REMAINING_MS: u64 = 1_500;

/// Delay until a waiting job is first logged, in milliseconds. Each further delay is twice as long:
/// hundreds may wait at once.
const WAITING_LOG_MS: u64 = 1_000;

/// How often the delay between two log lines of a waiting job doubles at most.
const WAITING_LOG_MAX_DOUBLINGS: u32 = 4;

/// How long an order of the earlier owner may still end a run after it was taken over, in
/// milliseconds: workers take up to 900 ms to stop a run, and list it as ready meanwhile.
const LATE_STOP_MS: u64 = 1_200;

/// The number of workers lost with a task from which on it does not start again at the worker that
/// it is bound to: one host that restarts again and again would use up its attempts.
const MAX_BOUND_LOSSES: usize = 3;

/// The percent at which a long-running task is ready.
const READY_PERCENT: u32 = 100;

impl Owner {
    /// Starts the tasks that are due and for which a worker is found, those of the most urgent jobs
    /// first.
    pub(super) fn plan(&mut self, now: Now, out: &mut Vec<Effect>) {
        self.classify_arrivals(now);
        let candidates = self.candidates(now);
        let capacity = match candidates.iter().any(|candidate| candidate.claim.is_some()) {
            true => self.capacity_for_short_tasks(now),
            false => Amount::default(),
        };
        let order = turn::order(candidates, capacity);
        self.reserved.clear();
        self.unplaceable.clear();
        self.end_isolated_retries();
        let unconfirmed = self.unconfirmed(now.steady);
        self.log_unblocking(&unconfirmed, now.steady);
        if let Some(accounts) = &mut self.accounts {
            accounts.begin_plan();
            if unconfirmed.is_empty() {
                accounts.note_settled();
            }
        }
        let planned = out.len();
        self.send_announced_starts(now.steady, out);
        for id in order {
            self.plan_job(id, &unconfirmed, now, out);
        }
        self.count_starts(&out[planned..], now);
        if let Some(accounts) = &mut self.accounts {
            accounts.end_plan(now.steady);
        }
    }

    /// The jobs with tasks that are not done.
    pub(super) fn candidates(&self, now: Now) -> Vec<Candidate> {
        let open = self.jobs.values().filter(|job| job.is_open() && job.left != 0);
        let favors_small = self.tolerated_losses != 0;
        let candidate = |job: &Job| {
            let urgency = urgency::of(job, &self.durations, favors_small, now);
            let (beyond, claim) = (self.beyond(job), self.claim(job, urgency, now));
            Candidate { job: job.id, urgency, beyond, claim }
        };
        open.map(candidate).collect()
    }

    /// What a job of an account with a weight uses and asks for. Long-running jobs claim nothing:
    /// the capacity that accounts divide is what these leave.
    fn claim(&self, job: &Job, urgency: Urgency, now: Now) -> Option<Claim> {
        let account = job.record.account.as_ref().filter(|_| !job.record.is_long_running())?;
        let weight = self.accounts.as_ref()?.weights.get(account)?;
        let (mut running, mut waiting) = (Amount::default(), Amount::default());
        for ((occurrence, number), tasks) in &job.steps {
            let step = job.step(*number);
            if step.long_running || tasks.left == 0 || !job.is_due(*occurrence, *number, now) {
                continue;
            }
            let waits = tasks.tasks.iter().filter(|task| task.is_waiting()).count() as u64;
            let runs = tasks.tasks.iter().filter(|task| !task.runs.is_empty()).count() as u64;
            running.add(&step.charge(), runs);
            waiting.add(&step.charge(), waits);
        }
        let counts = urgency.is_in_time() && !job.beyond_weight;
        Some(Claim { account: account.clone(), weight, running, waiting, counts })
    }

    /// The account beyond whose weight a job is. Long-running jobs come first whenever they were
    /// submitted: a task that was lost must not wait for as long as a pool is full.
    fn beyond(&self, job: &Job) -> Option<Beyond> {
        let is_beyond = job.beyond_weight && !job.record.is_long_running();
        let account = job.record.account.as_ref().filter(|_| is_beyond)?;
        let weight = self.accounts.as_ref()?.weights.get(account)?;
        Some(Beyond { account: account.clone(), weight })
    }

    /// Records that a run of a task uses its account's limit.
    pub(super) fn occupy_limit(&mut self, record: &JobRecord, task: TaskId, is_adopted: bool) {
        if let (Some(accounts), Some(account)) = (&mut self.accounts, &record.account) {
            accounts.occupy(account, &record.steps[task.of.step as usize].need, is_adopted);
        }
    }

    /// The waiting tasks of a step that its account's limit allows to start; the others do not
    /// count as waiting for a worker.
    fn within_limit(&mut self, of: StepId, waiting: Vec<u32>) -> Vec<u32> {
        let (Some(accounts), Some(job)) = (&mut self.accounts, self.jobs.get(&of.job)) else {
            return waiting;
        };
        let (Some(account), step) = (&job.record.account, job.step(of.step)) else {
            return waiting;
        };
        let room = accounts.room(account, &step.need);
        let Allowed { tasks, denied } = allowed::within(waiting, room, step.gang);
        let charge = step.charge();
        // A larger share is of no use while no worker has room for the task.
        let has_room = !self.unplaceable.iter().any(|tried| tried.is_within(&charge));
        if denied != 0 && (has_room || step.long_running) {
            accounts.deny(account, &step.need, denied);
        }
        tasks
    }

    fn plan_job(&mut self, id: JobId, unconfirmed: &Unconfirmed, now: Now, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (mut due, mut unplaced) = (Vec::new(), Vec::new());
        for ((occurrence, number), tasks) in &job.steps {
            if tasks.left == 0 || !job.is_due(*occurrence, *number, now) {
                continue;
            }
            let of = StepId { job: id, occurrence: *occurrence, step: *number };
            if !self.cannot_start(job, of, tasks) {
                due.push(of);
            } else if !is_noted_unplaced(job, tasks, now.steady)
                && waiting_tasks(job, of, tasks, unconfirmed, now.steady).next().is_some()
            {
                unplaced.push(of);
            }
        }
        for of in unplaced {
            self.note_unplaced(of, now.steady, out);
        }
        for of in due {
            let waiting = self.waiting_tasks(of, unconfirmed, now.steady);
            if waiting.is_empty() {
                continue;
            }
            let waiting = self.within_limit(of, waiting);
            if waiting.is_empty() {
                continue;
            }
            let placed = match self.step(of).map(|step| step.gang) {
                Some(true) if self.is_unplaceable(of) => false,
                Some(true) => self.place_gang(of, &waiting, now, out),
                _ => {
                    // Each announced retry has a worker where nothing else begins before it, so it
                    // is placed even if the other tasks of the step lack resources.
                    let (announced, others) = self.split_announced(of, waiting);
                    let mut placed = true;
                    for index in announced {
                        placed &= self.place_tasks(of, &[index], now, out);
                    }
                    let tried = others.is_empty() || !self.is_unplaceable(of);
                    tried && self.place_tasks(of, &others, now, out) && placed
                }
            };
            if !placed {
                self.note_unplaced(of, now.steady, out);
            } else if let Some(tasks) = self.step_tasks_mut(of) {
                tasks.unplaced_since = None;
            }
        }
    }

    /// Whether nothing of a step can start, since no worker has the resources and no limit or
    /// announced retry need be considered.
    fn cannot_start(&self, job: &Job, of: StepId, tasks: &StepTasks) -> bool {
        let is_limited = self.accounts.is_some() && job.record.account.is_some();
        !is_limited
            && self.lacks_resources(job.step(of.step))
            && tasks.tasks.iter().all(|task| task.isolated_worker.is_none())
    }

    /// Records that not all tasks of a step that may start have found a worker.
    fn note_unplaced(&mut self, of: StepId, now: Steady, out: &mut Vec<Effect>) {
        if let Some(tasks) = self.step_tasks_mut(of) {
            tasks.unplaced_since.get_or_insert(now);
        }
        self.reserve_worker(of, now);
        self.log_waiting(of, now);
        self.request_tickets(of, now, out);
    }

    pub(super) fn task_placer(&self, now: Steady) -> TaskPlacer<'_> {
        let (workers, free, draining) = (&self.workers, &self.free, &self.draining);
        let (reserved, zones) = (&self.reserved, &self.zones);
        let spreads_zones = self.tolerated_losses != 0;
        TaskPlacer { workers, free, draining, reserved, zones, spreads_zones, now }
    }

    fn step_tasks_mut(&mut self, of: StepId) -> Option<&mut StepTasks> {
        self.jobs.get_mut(&of.job)?.steps.get_mut(&(of.occurrence, of.step))
    }

    /// Whether the current plan has found no worker for a step that needs no more resources than
    /// this one. Capacity that is reserved for long-running tasks is not counted.
    fn is_unplaceable(&self, of: StepId) -> bool {
        self.step(of).is_some_and(|step| self.lacks_resources(step))
    }

    fn lacks_resources(&self, step: &Step) -> bool {
        let charge = step.charge();
        !step.long_running && self.unplaceable.iter().any(|tried| tried.is_within(&charge))
    }

    /// Records that no worker has the resources for a step, if it has no other requirement.
    fn note_unplaceable(&mut self, of: StepId) {
        let Some(job) = self.jobs.get(&of.job) else {
            return;
        };
        let step = job.step(of.step);
        let is_constrained =
            !step.label.is_empty() || step.max_per_worker != 0 || job.record.advice.is_some();
        if !is_constrained && !step.long_running {
            self.unplaceable.push(step.charge());
        }
    }

    /// Reserves a worker's capacity for a long-running task that finds none; otherwise small tasks
    /// would take all capacity as soon as it is free.
    fn reserve_worker(&mut self, of: StepId, now: Steady) {
        let Some(job) = self.jobs.get(&of.job) else {
            return;
        };
        let (step, tasks) = (job.step(of.step), job.steps.get(&(of.occurrence, of.step)));
        let Some(tasks) = tasks.filter(|_| step.long_running) else {
            return;
        };
        let worker =
            self.task_placer(now).worker_to_reserve(step, tasks).map(|w| w.report.id.clone());
        self.reserved.extend(worker);
    }

    /// Logs from time to time why the tasks of a step wait.
    fn log_waiting(&mut self, of: StepId, now: Steady) {
        let Some(job) = self.jobs.get_mut(&of.job) else {
            return;
        };
        if now.since(job.wait_logged) < wait_log_pause_ms(job) {
            return;
        }
        let step = job.record.steps[of.step as usize].clone();
        let ticketed = job.record.advice.is_some();
        // The first call only starts the delay: a short wait is not logged.
        let first = job.wait_logged == Steady::default();
        job.wait_logged = now;
        job.wait_logs += u32::from(!first);
        let tasks = self.jobs.get(&of.job).and_then(|job| job.steps.get(&(of.occurrence, of.step)));
        let Some(tasks) = tasks.filter(|_| !first) else {
            return;
        };
        let refusals = self.task_placer(now).refusals(&step, tasks, ticketed);
        log::info!("job {}: step {of} waits: {refusals:?}", of.job);
    }

    fn step(&self, of: StepId) -> Option<&Step> {
        self.jobs.get(&of.job).map(|job| job.step(of.step))
    }

    /// The tasks of a step that wait to be started.
    fn waiting_tasks(&self, of: StepId, unconfirmed: &Unconfirmed, now: Steady) -> Vec<u32> {
        let job = self.jobs.get(&of.job);
        let step = job.and_then(|job| Some((job, job.steps.get(&(of.occurrence, of.step))?)));
        let waiting = step.map(|(job, tasks)| waiting_tasks(job, of, tasks, unconfirmed, now));
        waiting.into_iter().flatten().collect()
    }

    /// The workers that a task is bound to: those that may still carry out an earlier start of it.
    /// Long-running tasks are not bound, since callers would have to do without them meanwhile, nor
    /// are speculative ones, which may run twice.
    pub(super) fn bound_to(&self, task: TaskId) -> Vec<&WorkerId> {
        match self.step(task.of) {
            Some(step) if !step.long_running && !step.speculative => {
                self.unsettled.workers_of(task).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Whether a bound task may start at the worker that it is bound to. If it was lost too often
    /// already, it waits until it may start elsewhere.
    fn may_start_bound(&self, task: TaskId) -> bool {
        let entry = self.jobs.get(&task.of.job).and_then(|job| job.task(task.of, task.index));
        let lost = entry
            .map_or(0, |entry| entry.lost_workers() - usize::from(entry.isolated_worker.is_some()));
        lost < MAX_BOUND_LOSSES
    }

    /// Whether a task may start at a worker.
    pub(super) fn allows(&self, task: TaskId, at: &Incarnation) -> bool {
        let bound = self.bound_to(task);
        bound.is_empty()
            || self.may_start_bound(task) && bound.iter().all(|worker| **worker == at.worker)
    }

    /// Splits the tasks of a step into those with an announced isolated retry and the others.
    fn split_announced(&self, of: StepId, tasks: Vec<u32>) -> (Vec<u32>, Vec<u32>) {
        let is_announced = |index: &u32| {
            let job = self.jobs.get(&of.job);
            let task = job.and_then(|job| job.task(of, *index));
            task.is_some_and(|task| task.isolated_worker.is_some())
        };
        tasks.into_iter().partition(is_announced)
    }

    /// Starts the tasks of a step one by one; returns whether all found a worker.
    fn place_tasks(
        &mut self,
        of: StepId,
        waiting: &[u32],
        now: Now,
        out: &mut Vec<Effect>,
    ) -> bool {
        for index in waiting {
            let announced = self.announced_isolated_retry(TaskId { of, index: *index }, now.steady);
            let Some(worker) = announced.or_else(|| self.worker_for(of, *index, None, now.steady))
            else {
                if !self.bound_to(TaskId { of, index: *index }).is_empty() {
                    continue;
                }
                self.note_unplaceable(of);
                return false;
            };
            if self.announce_isolated_retry(TaskId { of, index: *index }, &worker, now.steady) {
                continue;
            }
            self.start_run(of, *index, &worker, None, now, out);
        }
        true
    }

    fn worker_for(
        &self,
        of: StepId,
        index: u32,
        rack: Option<&str>,
        now: Steady,
    ) -> Option<Incarnation> {
        let job = self.jobs.get(&of.job)?;
        let tasks = job.steps.get(&(of.occurrence, of.step))?;
        let task = tasks.tasks.get(index as usize)?;
        let placer = self.task_placer(now);
        let ticketed = job.record.advice.is_some();
        // Checked once for all workers: placements look at each of them.
        let bound = self.bound_to(TaskId { of, index });
        if !bound.is_empty() && !self.may_start_bound(TaskId { of, index }) {
            return None;
        }
        let allows = |id: &Incarnation| bound.iter().all(|worker| **worker == id.worker);
        let worker = placer.worker_for(job.step(of.step), tasks, task, ticketed, rack, allows)?;
        Some(worker.report.id.clone())
    }

    /// Starts all tasks of a gang at once, on one rack if it needs that, or none.
    fn place_gang(&mut self, of: StepId, waiting: &[u32], now: Now, out: &mut Vec<Effect>) -> bool {
        let Some(step) = self.step(of).cloned() else {
            return true;
        };
        // Members that still run must end before the next run begins.
        if waiting.len() != step.count as usize {
            return true;
        }
        let racks: BTreeSet<String> = self.workers.values().map(|w| w.rack().to_owned()).collect();
        let mut choices: Vec<Option<String>> = racks.into_iter().map(Some).collect();
        choices.sort_by_key(|rack| rack.as_deref() != Some(step.data_rack.as_str()));
        if !step.same_rack {
            choices = vec![None];
        } else {
            choices.push(None);
        }
        for rack in choices {
            if let Some(assignments) =
                self.gang_assignments(of, waiting, &step, rack.as_deref(), now.steady)
            {
                self.start_gang(of, assignments, now, out);
                return true;
            }
        }
        false
    }

    /// A worker for each member, if all find one.
    fn gang_assignments(
        &mut self,
        of: StepId,
        waiting: &[u32],
        step: &Step,
        rack: Option<&str>,
        now: Steady,
    ) -> Option<Vec<(u32, Incarnation)>> {
        let charge = step.charge();
        let mut assignments = Vec::new();
        for index in waiting {
            let Some(id) = self.worker_for(of, *index, rack, now) else {
                break;
            };
            let task = TaskId { of, index: *index };
            self.occupy(&id, task, 0, &charge);
            assignments.push((*index, id));
        }
        for (index, id) in &assignments {
            self.release(id, TaskId { of, index: *index }, &charge);
        }
        (assignments.len() == waiting.len()).then_some(assignments)
    }

    fn start_gang(
        &mut self,
        of: StepId,
        assignments: Vec<(u32, Incarnation)>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let Some(tasks) =
            self.jobs.get_mut(&of.job).and_then(|job| job.steps.get_mut(&(of.occurrence, of.step)))
        else {
            return;
        };
        let run = tasks.tasks.iter().map(|task| task.run).max().unwrap_or_default();
        let checkpoint =
            tasks.tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        for task in &mut tasks.tasks {
            task.run = run;
            task.checkpoint = checkpoint.clone();
        }
        for (index, worker) in assignments {
            self.start_run(of, index, &worker, Some(checkpoint.clone()), now, out);
        }
    }

    fn start_run(
        &mut self,
        of: StepId,
        index: u32,
        id: &Incarnation,
        gang_checkpoint: Option<String>,
        now: Now,
        out: &mut Vec<Effect>,
    ) {
        let token = self.token;
        let Some(job) = self.jobs.get_mut(&of.job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (charge, long_running) = (job.step(of.step).charge(), job.step(of.step).long_running);
        let (record, payload) = (job.record.clone(), job.record.payload.clone());
        let ticket = job.steps.get(&(of.occurrence, of.step)).and_then(|step| step.tickets.get(id));
        let ticket = ticket.map(|(ticket, _)| ticket.clone()).unwrap_or_default();
        let Some(entry) = job.task_mut(of, index) else {
            return;
        };
        entry.run += 1;
        entry.location_known = true;
        let previous = entry.previous.take();
        let (run, checkpoint) =
            (entry.run, gang_checkpoint.unwrap_or_else(|| entry.checkpoint.clone()));
        let is_isolated = entry.suspect;
        entry.runs.push(Run {
            isolated: is_isolated,
            ..Run::new(id.clone(), run, Phase::Announced, now.steady)
        });
        let task = TaskId { of, index };
        self.free.remove(worker);
        worker.occupy(task, run, &charge);
        self.free.add(worker);
        if let (Some(accounts), Some(account)) = (&mut self.accounts, &record.account) {
            accounts.occupy(account, &record.steps[of.step as usize].need, false);
        }
        if entry.suspect {
            worker.isolated_task = Some(task);
            log::info!(
                "job {}: task {task} run {run} at {id}: on trial: {} workers were lost under it",
                of.job,
                entry.lost_workers()
            );
        }
        match &previous {
            Some(previous_run) => {
                *self.counts.restarts.entry(previous_run.reason.as_str()).or_default() += 1;
                let previous_run = previous_run.describe(now.steady);
                log::info!(
                    "job {}: task {task} run {run} at {id}: started again by token {token}: {previous_run}",
                    of.job
                );
            }
            None if long_running => {
                log::info!("job {}: task {task} run {run} at {id}: started", of.job);
            }
            None => {}
        }
        let start = Start { task, run, payload, until_ms: 0, checkpoint, ticket };
        self.announce_start(id, start, now.steady, out);
    }

    /// Stops the runs that may be stopped on workers that are to leave and on hosts that are being
    /// drained.
    pub(super) fn drain(&mut self, now: Steady, out: &mut Vec<Effect>) {
        let to_drain: Vec<Incarnation> = self
            .workers
            .values()
            .filter(|worker| {
                worker.report.leaves_ms.is_some() || self.draining.contains_key(&worker.report.host)
            })
            .filter(|worker| !worker.runs.is_empty())
            .map(|worker| worker.report.id.clone())
            .collect();
        for id in to_drain {
            let tasks: Vec<TaskId> = self.workers[&id].runs.keys().copied().collect();
            for task in tasks {
                if self.may_stop_for_leave(task, &id, now) {
                    log::info!(
                        "job {}: task {task} at {id}: stopped: its worker is to leave",
                        task.of.job
                    );
                    self.stop_run(task, &id, now, out);
                }
            }
        }
    }

    /// Whether a run may be stopped so that its worker or host can leave.
    fn may_stop_for_leave(&self, task: TaskId, id: &Incarnation, now: Steady) -> bool {
        let Some(job) = self.jobs.get(&task.of.job) else {
            return false;
        };
        let step = job.step(task.of.step);
        let Some(tasks) = job.steps.get(&(task.of.occurrence, task.of.step)) else {
            return false;
        };
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let task_run = tasks.tasks.get(task.index as usize);
        let task_run =
            task_run.and_then(|task| task.runs.iter().find(|task_run| task_run.worker == *id));
        let Some(task_run) = task_run.filter(|task_run| task_run.phase == Phase::Running) else {
            return false;
        };
        if !step.long_running {
            // Tasks with checkpoints resume from the newest one; the others, and those that are
            // nearly done, run to their end.
            let estimate = self.durations.expect(&job.record.queue, step.estimate_ms);
            let remaining_ms = estimate * u64::from(100 - task_run.percent.min(100)) / 100;
            return step.checkpoints && MOVE_MIN_REMAINING_MS < remaining_ms;
        }
        if worker.report.leaves_ms.is_some() || step.max_unavailable == 0 {
            return true;
        }
        let is_ready = |task_run: &Run| self.is_ready(task_run, now);
        let unavailable = tasks.tasks.iter().filter(|task| !task.runs.iter().any(is_ready)).count();
        (unavailable as u32) < step.max_unavailable
    }

    /// Whether a run of a long-running task is certainly there and ready.
    pub(super) fn is_ready(&self, task_run: &Run, now: Steady) -> bool {
        // A silent worker may have ended.
        let answers =
            self.workers.get(&task_run.worker).is_some_and(|worker| worker.is_responsive(now));
        // An earlier owner may have ordered a run that was taken over to stop.
        let is_certain = task_run.adopted.is_none_or(|at| LATE_STOP_MS <= now.since(at));
        answers
            && is_certain
            && task_run.phase == Phase::Running
            && READY_PERCENT <= task_run.percent
    }
}

/// The tasks of a step that wait to be started.
fn waiting_tasks<'a>(
    job: &'a Job,
    of: StepId,
    tasks: &'a StepTasks,
    unconfirmed: &'a Unconfirmed,
    now: Steady,
) -> impl Iterator<Item = u32> + 'a {
    let step = job.step(of.step);
    let waits = move |(index, task): &(u32, &Task)| {
        // If a run was taken over, the location of its task is known, but not how often the task
        // has failed.
        let is_known = || task.location_known && !job.may_have_failed(of, *index);
        let is_confirmed = !unconfirmed.delays(&TaskId { of, index: *index }, step) || is_known();
        task.is_waiting() && task.not_before <= now && is_confirmed && job.may_start(task)
    };
    (0u32..).zip(&tasks.tasks).filter(waits).map(|(index, _)| index)
}

/// Whether it is recorded that a step finds no worker, and nothing else is due because of that.
fn is_noted_unplaced(job: &Job, tasks: &StepTasks, now: Steady) -> bool {
    tasks.unplaced_since.is_some()
        && job.record.advice.is_none()
        && now.since(job.wait_logged) < wait_log_pause_ms(job)
}

/// The delay between two log lines of a waiting job, in milliseconds.
fn wait_log_pause_ms(job: &Job) -> u64 {
    WAITING_LOG_MS << job.wait_logs.min(WAITING_LOG_MAX_DOUBLINGS)
}
