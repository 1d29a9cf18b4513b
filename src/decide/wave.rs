//! Waves: the next steps of a plan. Each step is one conditional write, so that a step done twice,
//! or by a node that was away, is refused by the store.
//!
//! A host closes when there is room for its tasks elsewhere: it gets no new ones, and successors
//! of those that it has start on other hosts and take their places when they are ready. Tasks
//! whose service allows no successor need a permit of its budget, and move when the host is quiet.
//! A host leaves when it holds no other tasks, reboots when it is quiet and empty, and serves
//! again when its worker reports the reboot. Where a host is, its own record says: the plan's
//! record is written only when its state changes.

mod scene;
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
        wave::scene::Scene,
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
    Step, change_host, change_placement, effect, host_of, hosts_of, is_timely, key_of, repaired,
    rests_on,
};

/// Why a host makes no progress now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Wait {
    #[error("the plan has as many hosts out as it may")]
    Others,
    #[error("an earlier batch is not finished")]
    Batch,
    #[error("the platform's list of hosts cannot be read")]
    Unheard,
    #[error("its worker does not report")]
    Silent,
    #[error("another plan holds it")]
    Held,
    #[error(transparent)]
    Budget(#[from] OverBudget),
    #[error(transparent)]
    Room(#[from] NoHost),
    #[error("successors of other tasks are to start on it")]
    Coming,
    #[error("its tasks would have to move twice")]
    Twice,
    #[error("too little room would be left to take in the worst rack of the pool")]
    Reserve,
}

/// A frugal plan's first batch is one in so many of its hosts.
const FIRST_BATCH: u32 = 10;

/// What is known when a plan's next steps are worked out.
pub(crate) struct Outlook<'a> {
    pub(crate) fleet: &'a Fleet,
    /// Whether every node has acknowledged that it sends nothing to a host of that epoch and has
    /// nothing in flight there.
    pub(crate) is_quiet: &'a dyn Fn(&HostId, Epoch) -> bool,
    pub(crate) now: Time,
    pub(crate) rules: &'a Rules,
}

/// The next steps of one pool of a plan, and why hosts wait.
pub(crate) fn advance(
    outlook: &Outlook<'_>,
    plan: &Plan,
    pool: &PoolId,
) -> (Vec<Step>, BTreeMap<HostId, Wait>) {
    let Some(part) = plan.pools.get(pool) else { return Default::default() };
    // Tasks that are not known to be up would count as down already, and as free to take.
    if !outlook.fleet.is_heard(outlook.now, outlook.rules.list_limit) {
        let waiting = part.hosts().map(|host| (host.clone(), Wait::Unheard)).collect();
        return (Vec::new(), waiting);
    }
    let mut round =
        Round { outlook, plan, part, scene: None, steps: Vec::new(), waiting: BTreeMap::new() };
    for host in part.hosts() {
        let Some(record) = outlook.fleet.hosts.get(host) else { continue };
        if record.plan.as_ref() == Some(&plan.id) {
            round.carry_on(host, record);
        } else {
            round.steps.extend(give_back(outlook.fleet, plan, host));
        }
    }
    if plan.state == PlanState::Running {
        round.start();
    }
    (round.steps, round.waiting)
}

/// Whether nothing is left to do for a plan, so that it may be marked done or forgotten.
pub(crate) fn is_finished(fleet: &Fleet, plan: &Plan) -> bool {
    let ended = |host: &HostId| {
        let Some(record) = fleet.hosts.get(host) else { return true };
        let held = record.plan.as_ref() == Some(&plan.id);
        let left = plan.state == PlanState::Running && !is_ended(plan, record);
        !held && !left && held_by(fleet, plan, host).is_empty()
    };
    plan.hosts().all(ended)
}

fn is_ended(plan: &Plan, record: &HostRecord) -> bool {
    record.outcome(&plan.id).is_some()
}

/// Services of which the plan holds a permit for a host, or successors of tasks there.
fn held_by(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let permits = permits_of(fleet, plan, host);
    let tasks = fleet.tasks_on(host).iter();
    let succeeded = tasks.filter(|task| {
        let successor = fleet.successor(task);
        successor.is_some_and(|successor| successor.plan.as_ref() == Some(&plan.id))
    });
    permits.into_iter().chain(succeeded.map(|task| task.service.clone())).collect()
}

fn permits_of(fleet: &Fleet, plan: &Plan, host: &HostId) -> BTreeSet<ServiceId> {
    let is_own = |service: &&ServiceId| {
        let permit = fleet.placements.get(*service).and_then(|p| p.permits.get(host));
        permit.is_some_and(|permit| permit.plan == plan.id)
    };
    fleet.permits_for(host).filter(is_own).cloned().collect()
}

fn give_back(fleet: &Fleet, plan: &Plan, host: &HostId) -> Vec<Step> {
    let services = held_by(fleet, plan, host).into_iter();
    services.map(|service| Step::GiveBack { host: host.clone(), service }).collect()
}

/// One look at a pool's part of a plan.
struct Round<'a> {
    outlook: &'a Outlook<'a>,
    plan: &'a Plan,
    part: &'a PoolPlan,
    scene: Option<Scene<'a>>,
    steps: Vec<Step>,
    waiting: BTreeMap<HostId, Wait>,
}

impl<'a> Round<'a> {
    /// The next steps for a host that the plan holds.
    fn carry_on(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let spent = now.since(record.since);
        let cancelled = self.plan.state == PlanState::Cancelled;
        match record.state {
            HostState::Away => self.away(host, record),
            HostState::Closing | HostState::Leaving if cancelled => {
                self.skip(host, "the plan was cancelled".to_owned());
            }
            HostState::Closing if rules.start_limit + rules.leave_limit < spent => {
                let limit = humantime::format_duration(rules.start_limit + rules.leave_limit);
                let wait = self.closing_wait(host);
                self.skip(host, format!("it was not empty within {limit}{wait}"));
            }
            HostState::Closing => self.closing(host),
            HostState::Leaving => self.leaving(host, record),
            HostState::Serving | HostState::Quarantined => {
                self.steps.extend(give_back(fleet, self.plan, host));
            }
        }
    }

    fn closing_wait(&mut self, host: &HostId) -> String {
        let budget = self.scene().admit_budget(host).err().map(Wait::from);
        budget.map(|wait| format!(": {wait}")).unwrap_or_default()
    }

    fn skip(&mut self, host: &HostId, reason: String) {
        let outcome = HostOutcome::Skipped(reason);
        self.steps.push(Step::Return { host: host.clone(), outcome });
    }

    fn scene(&mut self) -> &mut Scene<'a> {
        let (outlook, part) = (self.outlook, self.part);
        self.scene.get_or_insert_with(|| Scene::new(outlook, part))
    }

    fn away(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
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

    /// Starts successors; when none is needed any more, takes permits for the rest and leaves.
    fn closing(&mut self, host: &HostId) {
        let fleet = self.outlook.fleet;
        let mut missing: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        let mut surging = false;
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service).filter(|s| s.surge) else { continue };
            surging = true;
            if fleet.successor(task).is_some() {
                continue;
            }
            match self.scene().placer.place(&task.service, service, Some(host)) {
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
        if surging {
            return;
        }
        if !fleet.coming_to(host).is_empty() {
            self.steps.extend(give_back(fleet, self.plan, host));
            self.waiting.insert(host.clone(), Wait::Coming);
            return;
        }
        match self.scene().admit_budget(host) {
            Ok(()) => {
                let held = permits_of(fleet, self.plan, host);
                let services = budget::services_on(fleet, host).into_iter();
                // Sorted order keeps two plans from waiting for each other's permits.
                let permit = |service| Step::Permit { host: host.clone(), service };
                self.steps.extend(services.filter(|s| !held.contains(s)).map(permit));
                self.steps.push(Step::Leave { host: host.clone() });
            }
            Err(over) => {
                // Permits that wait for others would hold up other plans.
                self.steps.extend(give_back(fleet, self.plan, host));
                self.waiting.insert(host.clone(), over.into());
            }
        }
    }

    fn leaving(&mut self, host: &HostId, record: &HostRecord) {
        let Outlook { fleet, is_quiet, now, rules } = *self.outlook;
        let report = fleet.reports.get(host);
        let dead = fleet.is_dead(host, now, rules.list_limit);
        let worker_quiet =
            report.is_some_and(|report| record.epoch <= report.epoch && report.in_flight() == 0);
        let quiet = dead || (worker_quiet && is_quiet(host, record.epoch));
        if quiet && fleet.tasks_on(host).is_empty() {
            self.steps.extend(give_back(fleet, self.plan, host));
            let host = host.clone();
            self.steps.push(match &self.plan.intent.action {
                Action::Drain => Step::Away { host },
                Action::Move(pool) => Step::Join { host, pool: pool.clone() },
                Action::Quarantine => Step::Quarantine { host, outcome: HostOutcome::Done },
            });
        } else if rules.leave_limit < now.since(record.since) {
            let reason = if quiet { "its tasks found no room" } else { "it did not become quiet" };
            let limit = humantime::format_duration(rules.leave_limit);
            self.skip(host, format!("{reason} within {limit}"));
        } else if quiet {
            self.move_off(host);
        }
    }

    /// Moves the tasks of a quiet host, one write a service.
    fn move_off(&mut self, host: &HostId) {
        let fleet = self.outlook.fleet;
        let mut by_service: BTreeMap<ServiceId, Moves> = BTreeMap::new();
        for task in fleet.tasks_on(host) {
            let Some(service) = fleet.service(&task.service) else { continue };
            if let Ok(target) = self.scene().placer.place(&task.service, service, Some(host)) {
                by_service.entry(task.service.clone()).or_default().insert(task.index, target);
            }
        }
        let step = |(service, moves)| Step::Move { host: host.clone(), service, moves };
        self.steps.extend(by_service.into_iter().map(step));
    }

    /// Starts as many hosts as room and the plan's bound allow now.
    fn start(&mut self) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let mut out = self.count_out();
        let idle = out == 0;
        let first = self.first_batch();
        let most = first.unwrap_or(u32::MAX).min(self.part.max_out);
        let mut blocked = false;
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
                if let Some(other) = self.done_by_another(record) {
                    self.skip(host, format!("plan {other} did it meanwhile"));
                    continue;
                }
                let live = fleet.is_live(host, now, rules.list_limit);
                let wait = if record.plan.is_some() || record.state != HostState::Serving {
                    Some(Wait::Held)
                } else if !live {
                    Some(Wait::Silent)
                } else if blocked {
                    Some(Wait::Batch)
                } else if most <= out {
                    Some(Wait::Others)
                } else {
                    // With nothing out, a second move is better than none.
                    let strict = self.part.frugal && first.is_none() && out != 0;
                    self.scene().admit_room(host, strict).err()
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
            blocked |= self.part.barrier && unfinished;
        }
        if idle && self.steps.is_empty() {
            self.skip_hopeless();
        }
    }

    /// Another plan that has done the same to a host since this one was confirmed: two operators
    /// who confirm at one time must not have a host maintained twice.
    fn done_by_another(&self, record: &HostRecord) -> Option<PlanId> {
        let plan = self.plan;
        let since = record.plan.is_none() && plan.since < record.since;
        let (id, outcome) = record.ended.last().filter(|_| since)?;
        let other = self.outlook.fleet.plans.get(id)?;
        let same = *outcome == HostOutcome::Done && other.intent.action == plan.intent.action;
        same.then(|| id.clone())
    }

    /// How many hosts may be out while the plan is done with none, if it is frugal: their tasks
    /// can only go to hosts that are still to be done.
    fn first_batch(&self) -> Option<u32> {
        let fleet = self.outlook.fleet;
        let done = |host: &&HostId| {
            let outcome = fleet.hosts.get(*host).and_then(|record| record.outcome(&self.plan.id));
            outcome == Some(&HostOutcome::Done)
        };
        let none_done = self.part.frugal && !self.part.hosts().any(|host| done(&host));
        let hosts = self.part.hosts().count() as u32;
        none_done.then(|| (hosts / FIRST_BATCH).max(1))
    }

    /// When nothing else is left to do, hosts that are dead or quarantined end the wave for
    /// themselves, so that one of them never keeps a plan open for good.
    fn skip_hopeless(&mut self) {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
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

    /// Hosts that the plan has out. One whose reboot takes twice as long as expected does not
    /// hold up the others.
    fn count_out(&self) -> u32 {
        let Outlook { fleet, now, rules, .. } = *self.outlook;
        let overdue = rules.expected.reboot * 2 + Duration::from_secs(1);
        let is_out = |host: &&HostId| {
            let Some(record) = fleet.hosts.get(*host) else { return false };
            let held = record.plan.as_ref() == Some(&self.plan.id);
            held && !(record.state == HostState::Away && overdue < now.since(record.since))
        };
        self.part.hosts().filter(is_out).count() as u32
    }
}
