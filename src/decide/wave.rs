//! Waves: computes the next steps of a plan. Each step is one conditional write, so the store
//! rejects a step that is repeated, or that a node with a stale view takes.
//!
//! A host closes when other hosts have capacity for its tasks: it gets no new tasks, and successors
//! of its tasks start on other hosts and replace them when ready. Tasks whose service does not
//! allow successors need a permit from the service's budget, and move once the host is quiet, i.e.
//! no node has requests in flight there. A host leaves when it holds no other tasks, reboots when
//! it is quiet and empty, and serves again when its worker reports the reboot. The progress of a
//! host is stored in its own record; the plan's record is written only when the plan's state
//! changes.

mod capacity;
mod step;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    decide::{
        budget::{self, OverBudget},
        place::NoHost,
        repair::Moves,
        rules::Rules,
        wave::capacity::RoundCapacity,
    },
    model::{
        fleet::Fleet,
        host::{HostOutcome, HostRecord, HostState},
        id::{HostId, PlanId, PoolId, ServiceId},
        plan::{Action, Plan, PlanState, PoolPlan},
        unit::{Epoch, Time},
    },
};

pub(crate) use step::{
    Step, apply_repair, change_host, change_placement, dependencies, effect, host_keys, host_of,
    is_timely, key_of,
};

/// Why a host makes no progress now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum WaitReason {
    #[error("the plan already has the maximum number of hosts out")]
    MaxOut,
    #[error("an earlier batch is not finished")]
    EarlierBatch,
    #[error("the platform's list of hosts cannot be read")]
    StaleHostList,
    #[error("its worker does not report")]
    NotReporting,
    #[error("another plan holds it")]
    OtherPlan,
    #[error(transparent)]
    Budget(#[from] OverBudget),
    #[error(transparent)]
    Placement(#[from] NoHost),
    #[error("successors of other tasks are assigned to it")]
    IncomingTasks,
    #[error("its tasks would have to move twice")]
    SecondMove,
    #[error("too little free capacity would remain to absorb the loss of a rack of the pool")]
    RackReserve,
}

/// The first batch of a frugal plan holds one host for this many hosts of the plan.
const FIRST_BATCH_DIVISOR: u32 = 10;

/// Inputs for computing a plan's next steps.
pub(crate) struct WaveContext<'a> {
    pub(crate) fleet: &'a Fleet,
    /// Whether every node has acknowledged that it sends no requests to a host at this epoch and
    /// has none in flight there.
    pub(crate) is_quiet: &'a dyn Fn(&HostId, Epoch) -> bool,
    pub(crate) now: Time,
    pub(crate) rules: &'a Rules,
}

/// Computes the next steps of one pool of a plan, and why hosts wait.
pub(crate) fn advance(
    context: &WaveContext<'_>,
    plan: &Plan,
    pool: &PoolId,
) -> (Vec<Step>, BTreeMap<HostId, WaitReason>) {
    let Some(part) = plan.pools.get(pool) else { return Default::default() };
    // Without a current host list all tasks count as down, so taking out their hosts would use no
    // budget.
    if !context.fleet.is_list_fresh(context.now, context.rules.list_limit) {
        let waiting = part.hosts().map(|host| (host.clone(), WaitReason::StaleHostList)).collect();
        return (Vec::new(), waiting);
    }
    let mut round =
        Round { context, plan, part, capacity: None, steps: Vec::new(), waiting: BTreeMap::new() };
    for host in part.hosts() {
        let Some(record) = context.fleet.hosts.get(host) else { continue };
        if record.plan.as_ref() == Some(&plan.id) {
            round.advance_host(host, record);
        } else {
            round.steps.extend(release_steps(context.fleet, plan, host));
        }
    }
    if plan.state == PlanState::Running {
        round.start_hosts();
    }
    (round.steps, round.waiting)
}

/// Whether a plan has nothing left to do, so that it may be marked done or deleted.
pub(crate) fn is_finished(fleet: &Fleet, plan: &Plan) -> bool {
    let ended = |host: &HostId| {
        let Some(record) = fleet.hosts.get(host) else { return true };
        let is_held = record.plan.as_ref() == Some(&plan.id);
        let unfinished = plan.state == PlanState::Running && !is_ended(plan, record);
        !is_held && !unfinished && held_by(fleet, plan, host).is_empty()
    };
    plan.hosts().all(ended)
}

fn is_ended(plan: &Plan, record: &HostRecord) -> bool {
    record.outcome(&plan.id).is_some()
}

/// Services whose permits for a host the plan holds, or for whose tasks there it has started
/// successors.
fn held_by(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let permits = permits_of(fleet, plan, host);
    let tasks = fleet.tasks_on(host).iter();
    let with_successor = tasks.filter(|task| {
        let successor = fleet.successor(task);
        successor.is_some_and(|successor| successor.plan.as_ref() == Some(&plan.id))
    });
    permits.into_iter().chain(with_successor.map(|task| task.service.clone())).collect()
}

fn permits_of(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let is_own = |service: &&ServiceId| {
        let permit = fleet.placements.get(*service).and_then(|p| p.permits.get(host));
        permit.is_some_and(|permit| permit.plan == plan.id)
    };
    fleet.permits_for(host).filter(is_own).cloned().collect()
}

fn release_steps(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<Step> {
    let services = held_by(fleet, plan, host).into_iter();
    services.map(|service| Step::Release { host: host.clone(), service }).collect()
}

/// One round of decisions for a pool's part of a plan.
struct Round<'a> {
    context: &'a WaveContext<'a>,
    plan: &'a Plan,
    part: &'a PoolPlan,
    capacity: Option<RoundCapacity<'a>>,
    steps: Vec<Step>,
    waiting: BTreeMap<HostId, WaitReason>,
}

impl<'a> Round<'a> {
    /// The next steps for a host that the plan holds.
    fn advance_host(&mut self, host: &HostId, record: &HostRecord) {
        let WaveContext { fleet, now, rules, .. } = *self.context;
        let spent = now.since(record.since);
        let cancelled = self.plan.state == PlanState::Cancelled;
        match record.state {
            HostState::Away => self.advance_away(host, record),
            HostState::Closing | HostState::Leaving if cancelled => {
                self.skip(host, "the plan was cancelled".to_owned());
            }
            HostState::Closing if rules.start_limit + rules.leave_limit < spent => {
                let limit = humantime::format_duration(rules.start_limit + rules.leave_limit);
                let budget = self.budget_suffix(host);
                self.skip(host, format!("it was not empty within {limit}{budget}"));
            }
            HostState::Closing => self.advance_closing(host),
            HostState::Leaving => self.advance_leaving(host, record),
            HostState::Serving | HostState::Quarantined => {
                self.steps.extend(release_steps(fleet, self.plan, host));
            }
        }
    }

    fn budget_suffix(&mut self, host: &HostId) -> String {
        let budget = self.capacity().admit_budget(host).err().map(WaitReason::from);
        budget.map(|reason| format!(": {reason}")).unwrap_or_default()
    }

    fn skip(&mut self, host: &HostId, reason: String) {
        let outcome = HostOutcome::Skipped(reason);
        self.steps.push(Step::Return { host: host.clone(), outcome });
    }

    fn capacity(&mut self) -> &mut RoundCapacity<'a> {
        let (context, part) = (self.context, self.part);
        self.capacity.get_or_insert_with(|| RoundCapacity::new(context, part))
    }

    fn advance_away(&mut self, host: &HostId, record: &HostRecord) {
        let WaveContext { fleet, now, rules, .. } = *self.context;
        let report = fleet.reports.get(host);
        if report.is_some_and(|report| record.epoch <= report.booted && report.live) {
            let outcome = HostOutcome::Done;
            self.steps.push(Step::Return { host: host.clone(), outcome });
        } else if rules.away_limit < now.since(record.since) {
            let limit = humantime::format_duration(rules.away_limit);
            let outcome = HostOutcome::Skipped(format!("did not come back within {limit}"));
            self.steps.push(Step::Quarantine { host: host.clone(), outcome });
        }
    }

    /// Starts successors. Once only tasks of services without successors remain, takes permits for
    /// them and leaves.
    fn advance_closing(&mut self, host: &HostId) {
        let fleet = self.context.fleet;
        let mut missing: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        let mut has_surge_tasks = false;
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service).filter(|s| s.surge) else { continue };
            has_surge_tasks = true;
            if fleet.successor(task).is_some() {
                continue;
            }
            match self.capacity().placer.place(&task.service, service, Some(host)) {
                Ok(target) => {
                    let moves = missing.entry(task.service.clone()).or_default();
                    moves.insert(task.index, target);
                }
                Err(error) => {
                    self.waiting.insert(host.clone(), error.into());
                }
            }
        }
        let prepare = |(service, moves)| Step::Prepare { host: host.clone(), service, moves };
        self.steps.extend(missing.into_iter().map(prepare));
        if has_surge_tasks {
            return;
        }
        if !fleet.successors_on(host).is_empty() {
            self.steps.extend(release_steps(fleet, self.plan, host));
            self.waiting.insert(host.clone(), WaitReason::IncomingTasks);
            return;
        }
        match self.capacity().admit_budget(host) {
            Ok(()) => {
                let held = permits_of(fleet, self.plan, host);
                let services = budget::services_on(fleet, host).into_iter();
                // The sorted order prevents deadlocks between plans that need the same permits.
                let permit = |service| Step::Permit { host: host.clone(), service };
                self.steps.extend(services.filter(|s| !held.contains(s)).map(permit));
                self.steps.push(Step::Leave { host: host.clone() });
            }
            Err(over_budget) => {
                // Permits held while waiting for others would block other plans.
                self.steps.extend(release_steps(fleet, self.plan, host));
                self.waiting.insert(host.clone(), over_budget.into());
            }
        }
    }

    fn advance_leaving(&mut self, host: &HostId, record: &HostRecord) {
        let WaveContext { fleet, is_quiet, now, rules } = *self.context;
        let report = fleet.reports.get(host);
        let dead = fleet.is_dead(host, now, rules.list_limit);
        let worker_quiet =
            report.is_some_and(|report| record.epoch <= report.epoch && report.in_flight() == 0);
        let quiet = dead || (worker_quiet && is_quiet(host, record.epoch));
        if quiet && fleet.tasks_on(host).is_empty() {
            self.steps.extend(release_steps(fleet, self.plan, host));
            let host = host.clone();
            self.steps.push(match &self.plan.intent.action {
                Action::Drain => Step::Reboot { host },
                Action::Move(pool) => Step::Join { host, pool: pool.clone() },
                Action::Quarantine => Step::Quarantine { host, outcome: HostOutcome::Done },
            });
        } else if rules.leave_limit < now.since(record.since) {
            let reason = if quiet { "its tasks found no room" } else { "it did not become quiet" };
            let limit = humantime::format_duration(rules.leave_limit);
            self.skip(host, format!("{reason} within {limit}"));
        } else if quiet {
            self.move_tasks(host);
        }
    }

    /// Moves the tasks off a quiet host, with one write per service.
    fn move_tasks(&mut self, host: &HostId) {
        let fleet = self.context.fleet;
        let mut by_service: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service) else { continue };
            if let Ok(target) = self.capacity().placer.place(&task.service, service, Some(host)) {
                by_service.entry(task.service.clone()).or_default().insert(task.index, target);
            }
        }
        let step = |(service, moves)| Step::Move { host: host.clone(), service, moves };
        self.steps.extend(by_service.into_iter().map(step));
    }

    /// Starts as many hosts as the free capacity and the plan's limit allow.
    fn start_hosts(&mut self) {
        let WaveContext { fleet, now, rules, .. } = *self.context;
        let mut out = self.hosts_out();
        let none_out = out == 0;
        let first_limit = self.first_batch_limit();
        let limit = first_limit.unwrap_or(u32::MAX).min(self.part.max_out);
        let mut batch_blocked = false;
        for batch in &self.part.batches {
            let mut unfinished = false;
            for host in batch {
                let Some(record) = fleet.hosts.get(host) else { continue };
                if is_ended(self.plan, record) {
                    continue;
                }
                unfinished = true;
                if record.plan.as_ref() == Some(&self.plan.id) {
                    continue;
                }
                if let Some(other) = self.completed_by(record) {
                    self.skip(host, format!("plan {other} did it meanwhile"));
                    continue;
                }
                let live = fleet.is_live(host, now, rules.list_limit);
                let wait = if record.plan.is_some() || record.state != HostState::Serving {
                    Some(WaitReason::OtherPlan)
                } else if !live {
                    Some(WaitReason::NotReporting)
                } else if batch_blocked {
                    Some(WaitReason::EarlierBatch)
                } else if limit <= out {
                    Some(WaitReason::MaxOut)
                } else {
                    // With no host out, moving tasks twice is better than no progress.
                    let strict = self.part.frugal && first_limit.is_none() && out != 0;
                    self.capacity().admit_capacity(host, strict).err()
                };
                match wait {
                    Some(wait) => {
                        self.waiting.insert(host.clone(), wait);
                    }
                    None => {
                        out += 1;
                        self.steps.push(Step::Close { host: host.clone() });
                    }
                }
            }
            batch_blocked |= self.part.barrier && unfinished;
        }
        if none_out && self.steps.is_empty() {
            self.skip_unavailable();
        }
    }

    /// Another plan that has completed the same action on a host since this one was confirmed. Two
    /// plans confirmed at the same time must not maintain a host twice.
    fn completed_by(&self, record: &HostRecord) -> Option<PlanId> {
        let plan = self.plan;
        let since = record.plan.is_none() && plan.since < record.since;
        let (id, outcome) = record.ended.last().filter(|_| since)?;
        let other = self.context.fleet.plans.get(id)?;
        let same = *outcome == HostOutcome::Done && other.intent.action == plan.intent.action;
        same.then(|| id.clone())
    }

    /// Limit on hosts out while a frugal plan has finished none: until then their tasks can only
    /// move to hosts that are still to be maintained.
    fn first_batch_limit(&self) -> Option<u32> {
        let fleet = self.context.fleet;
        let done = |host: &&HostId| {
            let outcome = fleet.hosts.get(*host).and_then(|record| record.outcome(&self.plan.id));
            outcome == Some(&HostOutcome::Done)
        };
        let none_done = self.part.frugal && !self.part.hosts().any(|host| done(&host));
        let hosts = self.part.hosts().count() as u32;
        none_done.then(|| (hosts / FIRST_BATCH_DIVISOR).max(1))
    }

    /// Skips hosts that are dead or quarantined when nothing else is left to do, so that none of
    /// them keeps the plan open forever.
    fn skip_unavailable(&mut self) {
        let WaveContext { fleet, now, rules, .. } = *self.context;
        let hosts: Vec<HostId> = self.waiting.keys().cloned().collect();
        for host in hosts {
            let Some(record) = fleet.hosts.get(&host).filter(|r| r.plan.is_none()) else {
                continue;
            };
            if record.state == HostState::Quarantined {
                let outcome = HostOutcome::Skipped("it is quarantined".to_owned());
                self.steps.push(Step::Quarantine { host, outcome });
            } else if fleet.is_dead(&host, now, rules.list_limit) {
                self.skip(&host, "its worker does not report".to_owned());
            }
        }
    }

    /// Number of hosts that the plan has out. A host whose reboot takes twice as long as expected
    /// does not count, so that it does not delay the others.
    fn hosts_out(&self) -> u32 {
        let WaveContext { fleet, now, rules, .. } = *self.context;
        let overdue = rules.expected.reboot * 2 + Duration::from_secs(1);
        let is_out = |host: &&HostId| {
            let Some(record) = fleet.hosts.get(*host) else { return false };
            let is_held = record.plan.as_ref() == Some(&self.plan.id);
            is_held && !(record.state == HostState::Away && overdue < now.since(record.since))
        };
        self.part.hosts().filter(is_out).count() as u32
    }
}
