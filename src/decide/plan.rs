//! Plans: an intent becomes an order of hosts with its cost, and is confirmed only as it was shown.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_128;

use crate::{
    decide::{
        order, place,
        rehearse::{Rehearsal, Report},
        rules::Rules,
    },
    model::{
        fleet::Fleet,
        host::HostState,
        id::{HostId, OpId, PlanId, PoolId},
        plan::{Action, Cost, Intent, Plan, PlanState, PoolPlan, Tightness, Trade},
        record::Key,
        unit::{Millicores, Revision, Time},
    },
};

/// A rehearsal that takes longer than this counts as one that does not end.
const LONGEST_WAVE: Duration = Duration::from_secs(60 * 60 * 24 * 35);
/// Services that a plan's cost lists as nearest to their budgets.
const TIGHTEST_SHOWN: usize = 5;

/// Why a plan is not confirmed or cancelled.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PlanError {
    #[error("there is no plan {0}")]
    Unknown(PlanId),
    #[error("plan {id} is {state} already, by {by}")]
    Over { id: PlanId, state: &'static str, by: String },
    #[error("the digest {given} is not that of plan {id}, which is {digest}")]
    OtherDigest { id: PlanId, given: String, digest: String },
    #[error("what plan {id} was computed from has changed: {}", differences.join("; "))]
    Stale { id: PlanId, differences: Vec<String> },
    #[error("plan {id} can do nothing: {}", reasons.join("; "))]
    Nothing { id: PlanId, reasons: Vec<String> },
}

/// Works out the plan for an intent. It changes nothing.
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
        match refuse(fleet, &plan.intent.action, &host) {
            Some(reason) => {
                plan.cost.impossible.insert(host, reason);
            }
            None => by_pool.entry(fleet.hosts[&host].pool.clone()).or_default().push(host),
        }
    }
    let mut known = Known::default();
    for (pool, hosts) in by_pool {
        let batches = order::across_racks(fleet, &hosts, now, rules);
        let part = PoolPlan { batches, max_out: 1, ..PoolPlan::default() };
        plan.pools.insert(pool.clone(), part);
        weigh(fleet, &mut plan, &pool, &mut known, now, rules);
    }
    plan.cost.tightest.sort_by_key(|t| {
        (i64::from(t.max_down) - i64::from(t.peak_out + t.reserve), t.service.clone())
    });
    plan.cost.tightest.truncate(TIGHTEST_SHOWN);
    plan.base = base(fleet, &plan);
    plan.digest = digest(&plan);
    plan
}

/// Why a host cannot be part of a plan at all.
fn refuse(fleet: &Fleet, action: &Action, host: &HostId) -> Option<String> {
    let Some(record) = fleet.hosts.get(host) else {
        return Some("no host of that name is in any pool".to_owned());
    };
    if let Some(plan) = &record.plan {
        return Some(format!("plan {plan} holds it"));
    }
    let other = fleet.planned(host).filter(|plan| record.outcome(&plan.id).is_none());
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
        _ => unplaceable(fleet, host),
    }
}

/// A task of the host that no other host could ever hold.
fn unplaceable(fleet: &Fleet, host: &HostId) -> Option<String> {
    let stuck = fleet.tasks_on(host).iter().find(|task| {
        fleet.service(&task.service).is_some_and(|s| !place::fits_some_empty_host(fleet, s))
    })?;
    Some(format!("its task {}/{} fits no other host", stuck.service, stuck.index))
}

/// What was chosen for pools that are alike, so that a plan over many is not weighed many times.
type Known = BTreeMap<Likeness, Trade>;

/// What makes two pools alike: hosts, hosts of the plan, and services by size and budget.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Likeness {
    hosts: usize,
    planned: usize,
    services: Vec<(u32, u32, Millicores, bool)>,
}

fn likeness(fleet: &Fleet, pool: &PoolId, planned: usize) -> Likeness {
    let services = fleet.config.services.values().filter(|service| service.pool == *pool);
    let services = services.map(|s| (s.tasks, s.max_down, s.need.cores, s.surge)).collect();
    Likeness { hosts: fleet.hosts_of(pool).count(), planned, services }
}

/// Chooses how a pool's part is carried out, and adds its cost.
fn weigh(
    fleet: &Fleet,
    plan: &mut Plan,
    pool: &PoolId,
    known: &mut Known,
    now: Time,
    rules: &Rules,
) {
    let part = fleet.only(pool);
    let planned = plan.pools[pool].hosts().count();
    let likeness = likeness(&part, pool, planned);
    let rehearse = |plan: &Plan, max_out, frugal| {
        let trial = trial(plan, pool, max_out, frugal);
        Rehearsal::new(&part, &trial, pool, rules, now).run(LONGEST_WAVE)
    };
    if let Some(like) = known.get(&likeness) {
        let report = rehearse(plan, like.max_out, like.frugal);
        let trade = Trade { chosen: true, ..trade(like.max_out, like.frugal, &report, rules) };
        return settle(fleet, plan, pool, vec![trade], &report, rules);
    }
    let mut best: Option<(f64, usize, Report)> = None;
    let mut trades: Vec<Trade> = Vec::new();
    for frugal in [true, false] {
        let mut before: Option<(u64, u32)> = None;
        for max_out in bounds(planned as u32) {
            let report = rehearse(plan, max_out, frugal);
            let score = score(&part, pool, planned as u32, &report, rules);
            let figures = (report.seconds, report.moves);
            trades.push(trade(max_out, frugal, &report, rules));
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, trades.len() - 1, report));
            }
            // A higher bound that changes nothing is not reached: neither are those above it.
            if before == Some(figures) {
                break;
            }
            before = Some(figures);
        }
    }
    let Some((_, at, report)) = best else { return };
    trades[at].chosen = true;
    known.insert(likeness, trades[at].clone());
    settle(fleet, plan, pool, trades, &report, rules);
}

fn trade(max_out: u32, frugal: bool, report: &Report, rules: &Rules) -> Trade {
    Trade {
        max_out,
        frugal,
        buffer: buffer(report, rules),
        seconds: report.seconds,
        moves: report.moves,
        chosen: false,
    }
}

/// Puts down what was chosen for a pool, and what it costs.
fn settle(
    fleet: &Fleet,
    plan: &mut Plan,
    pool: &PoolId,
    trades: Vec<Trade>,
    report: &Report,
    rules: &Rules,
) {
    let chosen = trades.iter().find(|trade| trade.chosen);
    if let (Some(part), Some(chosen)) = (plan.pools.get_mut(pool), chosen) {
        (part.max_out, part.frugal) = (chosen.max_out, chosen.frugal);
        part.trades = trades;
    }
    add_cost(fleet, plan, report, rules);
}

/// Bounds that are tried: each a half more than the one before, and all hosts.
fn bounds(hosts: u32) -> Vec<u32> {
    let grown = std::iter::successors(Some(1u32), |bound| Some((bound * 3).div_ceil(2)));
    grown.take_while(|bound| *bound < hosts).chain([hosts.max(1)]).collect()
}

/// A running plan that holds one pool's part and no more.
fn trial(plan: &Plan, pool: &PoolId, max_out: u32, frugal: bool) -> Plan {
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

/// Spare capacity that a pool's part of a plan holds back.
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
    for (service, fared) in &report.services {
        let Some(spec) = fleet.service(service) else {
            continue;
        };
        cost.tightest.push(Tightness {
            service: service.clone(),
            peak_out: fared.peak_down,
            reserve: fared.peak_reserve,
            max_down: spec.max_down,
        });
    }
}

/// The revisions of the records that a plan is computed from.
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

/// A digest of what the operator is shown.
fn digest(plan: &Plan) -> String {
    let shown = serde_json::to_vec(&(&plan.intent, &plan.pools, &plan.cost));
    let shown = shown.expect("plans hold no value that JSON cannot write");
    format!("{:032x}", xxh3_128(&shown))
}

/// The plan as it stands once an operator confirms it; or why it is refused. A plan whose base has
/// moved is computed anew: if what would be shown is the same, it is as good as before.
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
        return Err(over(plan));
    }
    if given != plan.digest {
        return Err(PlanError::OtherDigest {
            id: id.clone(),
            given: given.to_owned(),
            digest: plan.digest.clone(),
        });
    }
    if plan.pools.is_empty() {
        let reasons = plan.cost.impossible.iter().map(|(host, why)| format!("{host}: {why}"));
        return Err(PlanError::Nothing { id: id.clone(), reasons: reasons.collect() });
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

/// The plan as it stands once an operator cancels it.
pub(crate) fn cancel(
    fleet: &Fleet,
    id: &PlanId,
    by: &str,
    op: OpId,
    now: Time,
) -> Result<Plan, PlanError> {
    let plan = fleet.plans.get(id).ok_or_else(|| PlanError::Unknown(id.clone()))?;
    if !matches!(plan.state, PlanState::Proposed | PlanState::Running) {
        return Err(over(plan));
    }
    let mut cancelled = plan.clone();
    cancelled.state = PlanState::Cancelled;
    cancelled.since = now;
    cancelled.op = op;
    cancelled.by = by.to_owned();
    Ok(cancelled)
}

fn over(plan: &Plan) -> PlanError {
    PlanError::Over { id: plan.id.clone(), state: plan.state.as_str(), by: plan.by.clone() }
}

/// What has moved since a plan was computed, in words.
fn differences(fleet: &Fleet, plan: &Plan) -> Vec<String> {
    let now = base(fleet, plan);
    let keys: BTreeSet<&String> = plan.base.keys().chain(now.keys()).collect();
    let moved = keys.into_iter().filter(|key| plan.base.get(*key) != now.get(*key));
    let moved = moved.map(|key| describe(fleet, key));
    let named = plan.hosts().filter_map(|host| {
        let record = fleet.hosts.get(host)?;
        let other = fleet.planned(host).filter(|other| record.outcome(&other.id).is_none())?;
        Some(format!("plan {} is to do host {host}, confirmed by {}", other.id, other.by))
    });
    moved.chain(named).collect()
}

fn describe(fleet: &Fleet, path: &str) -> String {
    match Key::parse(path) {
        Some(Key::Host(id)) => match fleet.hosts.get(&id) {
            Some(host) => {
                let state = format!("{:?}", host.state).to_lowercase();
                format!("host {id} is now {state} in pool {} (write {})", host.pool, host.op)
            }
            None => format!("host {id} is gone"),
        },
        Some(Key::Placement(id)) => format!("tasks of service {id} were moved"),
        _ => format!("the configuration is now at change {}", fleet.through),
    }
}
