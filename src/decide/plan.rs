//! Plans: computes the host order and the cost of an intent, and confirms a plan only if what the
//! operator was shown still holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_128;

use crate::{
    decide::{
        order, place,
        rules::Rules,
        simulate::{Report, Simulation},
    },
    model::{
        fleet::Fleet,
        host::HostState,
        id::{HostId, OpId, PlanId, PoolId},
        plan::{Action, BudgetUse, Cost, Intent, Plan, PlanState, PoolPlan, TradeOff},
        record::Key,
        unit::{Millicores, Revision, Time},
    },
};

/// A simulation that exceeds this simulated time counts as not finished.
const MAX_SIMULATED_TIME: Duration = Duration::from_secs(60 * 60 * 24 * 35);
/// How many of the services nearest to their budgets a plan's cost lists.
const MAX_TIGHTEST: usize = 5;

/// Why a plan cannot be confirmed or cancelled.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PlanError {
    #[error("there is no plan {0}")]
    Unknown(PlanId),
    #[error("plan {id} is already {state}, by {by}")]
    AlreadyDecided { id: PlanId, state: &'static str, by: String },
    #[error("digest {given} does not match that of plan {id}, which is {digest}")]
    DigestMismatch { id: PlanId, given: String, digest: String },
    #[error("the state that plan {id} was computed from has changed: {}", differences.join("; "))]
    Stale { id: PlanId, differences: Vec<String> },
    #[error("plan {id} has no host that it can process: {}", reasons.join("; "))]
    NothingToDo { id: PlanId, reasons: Vec<String> },
}

/// Computes the plan for an intent, without side effects.
pub(crate) fn propose(
    fleet: &Fleet,
    id: PlanId,
    op: OpId,
    intent: Intent,
    now: Time,
    rules: &Rules,
) -> Plan {
    let mut plan = Plan {
        id,
        state: PlanState::Proposed,
        pools: BTreeMap::new(),
        cost: Cost::default(),
        base: BTreeMap::new(),
        digest: String::new(),
        created: now,
        since: now,
        op,
        by: intent.by.clone(),
        intent,
    };
    let mut by_pool: BTreeMap<PoolId, Vec<HostId>> = BTreeMap::new();
    let wanted: BTreeSet<HostId> = plan.intent.hosts.iter().cloned().collect();
    for host in wanted {
        match exclusion_reason(fleet, &plan.intent.action, &host) {
            Some(reason) => {
                plan.cost.impossible.insert(host, reason);
            }
            None => by_pool.entry(fleet.hosts[&host].pool.clone()).or_default().push(host),
        }
    }
    let mut cache = TradeOffCache::default();
    for (pool, hosts) in by_pool {
        let batches = order::across_racks(fleet, &hosts, now, rules);
        let part = PoolPlan { batches, max_out: 1, ..PoolPlan::default() };
        plan.pools.insert(pool.clone(), part);
        choose_trade_off(fleet, &mut plan, &pool, &mut cache, now, rules);
    }
    plan.cost.tightest.sort_by_key(|t| {
        (i64::from(t.max_down) - i64::from(t.peak_out + t.reserve), t.service.clone())
    });
    plan.cost.tightest.truncate(MAX_TIGHTEST);
    plan.base = base(fleet, &plan);
    plan.digest = digest(&plan);
    plan
}

/// Why a host cannot be part of a plan.
fn exclusion_reason(fleet: &Fleet, action: &Action, host: &HostId) -> Option<String> {
    let Some(record) = fleet.hosts.get(host) else {
        return Some("no host of that name is in any pool".to_owned());
    };
    if let Some(plan) = &record.plan {
        return Some(format!("plan {plan} holds it"));
    }
    let other = fleet.plan_of(host).filter(|plan| record.outcome(&plan.id).is_none());
    if let Some(plan) = other {
        return Some(format!("plan {} is to do it, confirmed by {}", plan.id, plan.by));
    }
    if record.state == HostState::Quarantined {
        return Some("it is quarantined: release it first".to_owned());
    }
    match action {
        Action::Move(pool) if *pool == record.pool => Some(format!("it is in pool {pool} now")),
        Action::Move(pool) if !fleet.config.pools.contains_key(pool) => {
            Some(format!("there is no pool {pool}"))
        }
        _ => unplaceable_task(fleet, host),
    }
}

/// The reason if a task of the host would fit on no host of its pool even if empty.
fn unplaceable_task(fleet: &Fleet, host: &HostId) -> Option<String> {
    let unplaceable = fleet.tasks_on(host).iter().find(|task| {
        fleet.service(&task.service).is_some_and(|s| !place::fits_some_empty_host(fleet, s))
    })?;
    Some(format!("its task {}/{} fits no other host", unplaceable.service, unplaceable.index))
}

/// Trade-offs chosen so far, reused for pools of equal profile: simulating each pool of a large
/// plan would repeat the same work.
type TradeOffCache = BTreeMap<PoolProfile, TradeOff>;

/// The properties of a pool that determine its trade-off: the numbers of hosts and of planned hosts,
/// and the services by size and budget. Pools with equal profiles reuse one choice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PoolProfile {
    hosts: usize,
    planned: usize,
    services: Vec<(u32, u32, Millicores, bool)>,
}

fn profile(fleet: &Fleet, pool: &PoolId, planned: usize) -> PoolProfile {
    let services = fleet.config.services.values().filter(|service| service.pool == *pool);
    let services = services.map(|s| (s.tasks, s.max_down, s.need.cores, s.surge)).collect();
    PoolProfile { hosts: fleet.hosts_of(pool).count(), planned, services }
}

/// Chooses the trade-off for a pool's part of the plan by simulation, and adds its cost.
fn choose_trade_off(
    fleet: &Fleet,
    plan: &mut Plan,
    pool: &PoolId,
    cache: &mut TradeOffCache,
    now: Time,
    rules: &Rules,
) {
    let part = fleet.restricted_to(pool);
    let planned = plan.pools[pool].hosts().count();
    let profile = profile(&part, pool, planned);
    let simulate = |plan: &Plan, max_out, frugal| {
        let candidate = single_pool_plan(plan, pool, max_out, frugal);
        Simulation::new(&part, &candidate, pool, rules, now).run(MAX_SIMULATED_TIME)
    };
    if let Some(cached) = cache.get(&profile) {
        let report = simulate(plan, cached.max_out, cached.frugal);
        let trade_off =
            TradeOff { chosen: true, ..trade_off(cached.max_out, cached.frugal, &report, rules) };
        return record_choice(fleet, plan, pool, vec![trade_off], &report, rules);
    }
    let mut best: Option<(f64, usize, Report)> = None;
    let mut trade_offs: Vec<TradeOff> = Vec::new();
    for frugal in [true, false] {
        let mut previous: Option<(u64, u32)> = None;
        for max_out in limits(planned as u32) {
            let report = simulate(plan, max_out, frugal);
            let score = score(&part, pool, planned as u32, &report, rules);
            let result = (report.seconds, report.moves);
            trade_offs.push(trade_off(max_out, frugal, &report, rules));
            if best.as_ref().is_none_or(|(lowest, _, _)| score < *lowest) {
                best = Some((score, trade_offs.len() - 1, report));
            }
            // A higher limit with the same result is never reached; neither are those above it.
            if previous == Some(result) {
                break;
            }
            previous = Some(result);
        }
    }
    let Some((_, best_index, report)) = best else { return };
    trade_offs[best_index].chosen = true;
    cache.insert(profile, trade_offs[best_index].clone());
    record_choice(fleet, plan, pool, trade_offs, &report, rules);
}

fn trade_off(max_out: u32, frugal: bool, report: &Report, rules: &Rules) -> TradeOff {
    TradeOff {
        max_out,
        frugal,
        buffer: buffer(report, rules),
        seconds: report.seconds,
        moves: report.moves,
        chosen: false,
    }
}

/// Stores the chosen trade-off of a pool in the plan, and adds its cost.
fn record_choice(
    fleet: &Fleet,
    plan: &mut Plan,
    pool: &PoolId,
    trade_offs: Vec<TradeOff>,
    report: &Report,
    rules: &Rules,
) {
    let chosen = trade_offs.iter().find(|trade_off| trade_off.chosen);
    if let (Some(part), Some(chosen)) = (plan.pools.get_mut(pool), chosen) {
        (part.max_out, part.frugal) = (chosen.max_out, chosen.frugal);
        part.trades = trade_offs;
    }
    add_cost(fleet, plan, report, rules);
}

/// Limits on hosts out that are tried: each 1.5 times the one before, and all hosts.
fn limits(hosts: u32) -> Vec<u32> {
    let increasing = std::iter::successors(Some(1u32), |limit| Some((limit * 3).div_ceil(2)));
    increasing.take_while(|limit| *limit < hosts).chain([hosts.max(1)]).collect()
}

/// A running plan with only the part of one pool.
fn single_pool_plan(plan: &Plan, pool: &PoolId, max_out: u32, frugal: bool) -> Plan {
    let part = PoolPlan { max_out, frugal, ..plan.pools[pool].clone() };
    let intent = Intent { hosts: Vec::new(), ..plan.intent.clone() };
    Plan {
        id: plan.id.clone(),
        intent,
        state: PlanState::Running,
        pools: BTreeMap::from([(pool.clone(), part)]),
        cost: Cost::default(),
        base: BTreeMap::new(),
        digest: String::new(),
        created: plan.created,
        since: plan.since,
        op: plan.op.clone(),
        by: plan.by.clone(),
    }
}

/// Spare capacity that a pool must hold back during its part of a plan.
fn buffer(report: &Report, rules: &Rules) -> Millicores {
    let buffer = if rules.share_spare { report.shared_buffer } else { report.separate_buffer };
    Millicores(u32::try_from(buffer).unwrap_or(u32::MAX))
}

fn score(fleet: &Fleet, pool: &PoolId, hosts: u32, report: &Report, rules: &Rules) -> f64 {
    if !report.finished {
        return f64::MAX;
    }
    let capacities = fleet.hosts_of(pool).filter_map(|host| fleet.reports.get(host));
    let total: u64 = capacities.map(|report| u64::from(report.capacity.cores.0)).sum();
    let weights = rules.weights;
    weights.buffer * f64::from(buffer(report, rules).0) * 1000.0 / (total.max(1) as f64)
        + weights.time * (report.seconds as f64) / f64::from(hosts.max(1))
        + weights.moves * f64::from(report.moves) / f64::from(hosts.max(1))
}

fn add_cost(fleet: &Fleet, plan: &mut Plan, report: &Report, rules: &Rules) {
    let cost = &mut plan.cost;
    cost.buffer.0 = cost.buffer.0.saturating_add(buffer(report, rules).0);
    cost.seconds = cost.seconds.max(report.seconds);
    cost.moves += report.moves;
    for (service, peaks) in &report.services {
        let Some(spec) = fleet.service(service) else {
            continue;
        };
        cost.tightest.push(BudgetUse {
            service: service.clone(),
            peak_out: peaks.peak_down,
            reserve: peaks.peak_reserve,
            max_down: spec.max_down,
        });
    }
}

/// Revisions of the records that a plan is computed from.
fn base(fleet: &Fleet, plan: &Plan) -> BTreeMap<String, Revision> {
    let hosts = plan.intent.hosts.iter().map(|host| Key::Host(host.clone()));
    let services = plan.hosts().flat_map(|host| fleet.tasks_on(host));
    let services: BTreeSet<_> = services.map(|task| task.service.clone()).collect();
    let keys = hosts.chain(services.into_iter().map(Key::Placement));
    let mut base: BTreeMap<String, Revision> =
        keys.map(|key| (key.path(), fleet.revision(&key))).collect();
    base.insert(Key::Base.path(), Revision(fleet.through));
    base
}

/// Digest of what the operator is shown.
fn digest(plan: &Plan) -> String {
    let content = serde_json::to_vec(&(&plan.intent, &plan.pools, &plan.cost));
    let content = content.expect("a plan always serializes to JSON");
    format!("{:032x}", xxh3_128(&content))
}

/// Returns the plan as confirmed by an operator, or why it is refused. If its base has changed, the
/// plan is computed again, and is still valid if its digest is the same.
pub(crate) fn confirm(
    fleet: &Fleet,
    id: &PlanId,
    given: &str,
    by: &str,
    op: OpId,
    now: Time,
    rules: &Rules,
) -> Result<Plan, PlanError> {
    let plan = fleet.plans.get(id).ok_or_else(|| PlanError::Unknown(id.clone()))?;
    if plan.state != PlanState::Proposed {
        return Err(already_decided(plan));
    }
    if given != plan.digest {
        return Err(PlanError::DigestMismatch {
            id: id.clone(),
            given: given.to_owned(),
            digest: plan.digest.clone(),
        });
    }
    if plan.pools.is_empty() {
        let reasons = plan.cost.impossible.iter().map(|(host, reason)| format!("{host}: {reason}"));
        return Err(PlanError::NothingToDo { id: id.clone(), reasons: reasons.collect() });
    }
    let differences = differences(fleet, plan);
    if !differences.is_empty() {
        let fresh =
            propose(fleet, id.clone(), op.clone(), plan.intent.clone(), plan.created, rules);
        if fresh.digest != plan.digest {
            return Err(PlanError::Stale { id: id.clone(), differences });
        }
    }
    let mut confirmed = plan.clone();
    confirmed.state = PlanState::Running;
    confirmed.since = now;
    confirmed.op = op;
    confirmed.by = by.to_owned();
    Ok(confirmed)
}

/// Returns the plan as cancelled by an operator.
pub(crate) fn cancel(
    fleet: &Fleet,
    id: &PlanId,
    by: &str,
    op: OpId,
    now: Time,
) -> Result<Plan, PlanError> {
    let plan = fleet.plans.get(id).ok_or_else(|| PlanError::Unknown(id.clone()))?;
    if !matches!(plan.state, PlanState::Proposed | PlanState::Running) {
        return Err(already_decided(plan));
    }
    let mut cancelled = plan.clone();
    cancelled.state = PlanState::Cancelled;
    cancelled.since = now;
    cancelled.op = op;
    cancelled.by = by.to_owned();
    Ok(cancelled)
}

fn already_decided(plan: &Plan) -> PlanError {
    PlanError::AlreadyDecided {
        id: plan.id.clone(),
        state: plan.state.as_str(),
        by: plan.by.clone(),
    }
}

/// Describes what has changed since a plan was computed.
fn differences(fleet: &Fleet, plan: &Plan) -> Vec<String> {
    let current = base(fleet, plan);
    let keys: BTreeSet<&String> = plan.base.keys().chain(current.keys()).collect();
    let changed = keys.into_iter().filter(|key| plan.base.get(*key) != current.get(*key));
    let changed = changed.map(|key| describe(fleet, key));
    let conflicts = plan.hosts().filter_map(|host| {
        let record = fleet.hosts.get(host)?;
        let other = fleet.plan_of(host).filter(|other| record.outcome(&other.id).is_none())?;
        Some(format!("plan {} is to do host {host}, confirmed by {}", other.id, other.by))
    });
    changed.chain(conflicts).collect()
}

fn describe(fleet: &Fleet, path: &str) -> String {
    match Key::parse(path) {
        Some(Key::Host(id)) => match fleet.hosts.get(&id) {
            Some(host) => {
                let state = format!("{:?}", host.state).to_lowercase();
                format!("host {id} is now {state} in pool {} (write {})", host.pool, host.op)
            }
            None => format!("host {id} was removed"),
        },
        Some(Key::Placement(id)) => format!("the placement of service {id} has changed"),
        _ => format!("the configuration is now at change {}", fleet.through),
    }
}
