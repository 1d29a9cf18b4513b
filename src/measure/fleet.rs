//! Cost of the fleet owner's decisions during a wave of upkeep while pools exchange hosts:
//! processor time of one plan, by the number of hosts and of drain marks, and of computing the
//! demand of pools.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    jobs::fleet::{Demand, DrainMark, FleetOwner, FleetSnapshot, HostAction, Sizing},
    measure::Figures,
    model::{
        id::{HostId, PoolId, WorkerId},
        job::{JobId, JobRecord, JobState, Progress, Step, StepProgress, TaskResources},
        queue::{PoolRules, QueueConfig},
        unit::{Megabytes, Millicores, Revision, Steady, Time},
        worker::{HostPhase, ListedHost, Upkeep},
    },
    platform::kv::Change,
    scheduler::{control_loop::json, demand::Demands, keys, view::View},
};

/// Sizes of the fleet, in hosts.
const FLEET_SIZES: [usize; 3] = [300, 1_100, 3_300];

/// Shares of the hosts that are marked for draining, in percent.
const MARKED_PERCENT: [usize; 3] = [0, 10, 45];

/// Pools with work, besides the headroom pool.
const POOLS_WITH_WORK: usize = 4;

/// Hosts, percentage of them that are marked, and pools with work, at the size expected in two
/// years.
const TARGET_SIZE: (usize, usize, usize) = (6_800, 10, 389);

/// Numbers of open jobs for which the demand is computed.
const OPEN_JOBS: [u64; 2] = [1_000, 3_000];

/// Plans per row.
const PLANS_PER_ROW: u64 = 10;

/// Interval between two plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;

/// The revision of the view, at which all marks were written.
const VIEW_REVISION: Revision = Revision(1);

/// The wave in progress, over half of all hosts.
const WAVE: u64 = 1;

/// Runs the experiment.
pub(crate) fn measure() -> Figures {
    let cases = FLEET_SIZES
        .iter()
        .flat_map(|hosts| MARKED_PERCENT.iter().map(|marked| (*hosts, *marked, POOLS_WITH_WORK)));
    let rows = cases.chain([TARGET_SIZE]).map(|(hosts, percent, pools)| {
        let mut durations: Vec<Duration> = Vec::new();
        run_plans(hosts, hosts * percent / 100, pools, |fleet, snapshot, now| {
            let began = Instant::now();
            fleet.plan(snapshot, now);
            durations.push(began.elapsed());
        });
        let millis = |spent: Duration| format!("{:.2}", spent.as_secs_f64() * 1e3);
        let worst = durations.iter().max().copied().unwrap_or_default();
        let mean = durations.iter().sum::<Duration>() / PLANS_PER_ROW as u32;
        let pools = (pools + 1).to_string();
        vec![hosts.to_string(), format!("{percent} %"), pools, millis(mean), millis(worst)]
    });
    let mut notes = vec![
        "Half of the hosts are due for upkeep; one pool needs more hosts than it has.".into(),
        "On a whole core of this machine; the fleet owner plans ten times per second.".into(),
    ];
    notes.extend(OPEN_JOBS.map(demand_cost));
    Figures {
        title: format!("A plan of the fleet owner, {PLANS_PER_ROW} plans, one run"),
        heading: vec!["hosts", "marked", "pools", "ms a plan", "ms the longest"],
        rows: rows.collect(),
        notes,
    }
}

/// Measures the cost of computing the demand of this many open jobs of two steps, first from
/// scratch and then repeatedly with only the time changed.
fn demand_cost(open: u64) -> String {
    let mut view = View::default();
    let Ok(pool) = "pool0".parse::<PoolId>() else {
        return String::new();
    };
    let step = Step { count: 10, estimate_ms: 1_000, ..Step::default() };
    let record = JobRecord {
        queue: "queue".into(),
        pool: pool.clone(),
        payload: "payload".into(),
        steps: vec![step.clone(), Step { after: vec![0], ..step }],
        repeats: 0,
        first: Time::default(),
        every_ms: 0,
        account: None,
        priority: 0,
        max_attempts: 3,
        stretch_percent: 200,
        target_ms: 600,
        advice: None,
        accepted: Time::default(),
    };
    let step_progress = StepProgress { done: (0..5).collect(), ..StepProgress::default() };
    let steps = BTreeMap::from([("0.0".to_owned(), step_progress)]);
    let progress = json(&Progress { state: JobState::Running, steps, ..Progress::default() });
    for number in 0..open {
        let id = JobId::from_number(number);
        let records =
            [(keys::job(&pool, id), json(&record)), (keys::progress(id), progress.clone())];
        for (key, value) in records {
            view.apply(Change { key, revision: Revision(1 + number), value: Some(value.into()) });
        }
    }
    let (config, mut demands) = (QueueConfig::default(), Demands::default());
    let mut count = |millis| {
        let began = Instant::now();
        std::hint::black_box(demands.of_pools(&view, &config, Time::from_millis(millis)));
        began.elapsed().as_secs_f64() * 1e3
    };
    let first = count(PLAN_INTERVAL_MS);
    let repeated = (2..=PLANS_PER_ROW).map(|number| count(number * PLAN_INTERVAL_MS)).sum::<f64>()
        / (PLANS_PER_ROW - 1) as f64;
    format!(
        "Demand of {open} open jobs: {first:.2} ms from scratch, {repeated:.2} ms with nothing \
         changed."
    )
}

/// Calls `run_plan` for each of a row's plans, during a wave over half of the hosts: `marked` hosts
/// are marked for draining and already empty, and `with_work` pools have work.
pub(crate) fn run_plans(
    hosts: usize,
    marked: usize,
    with_work: usize,
    mut run_plan: impl FnMut(&mut FleetOwner, &FleetSnapshot<'_>, Steady),
) {
    let ids: Vec<HostId> = (0..hosts).filter_map(|n| format!("h{n}").parse().ok()).collect();
    let pools: Vec<PoolId> =
        (0..=with_work).filter_map(|n| format!("pool{n}").parse().ok()).collect();
    let rules = |off| PoolRules { headroom: off, admission_check: true };
    let headroom_pool = pools.last().cloned();
    let rules =
        pools.iter().map(|pool| (pool.clone(), rules(Some(pool) == headroom_pool.as_ref())));
    let config = QueueConfig { version: 1, pools: rules.collect(), ..QueueConfig::default() };
    let listed: Vec<ListedHost> =
        ids.iter().enumerate().map(|(n, id)| host(id, &pools[n % pools.len()])).collect();
    let upkeep = Upkeep {
        wave: WAVE,
        hosts: ids.iter().step_by(2).cloned().collect(),
        period_ms: 26_000,
        max_concurrent: (hosts / 5) as u32,
    };
    let mark = DrainMark { action: HostAction::Upkeep(WAVE), revision: VIEW_REVISION };
    let marks = ids.iter().step_by(2).take(marked).cloned();
    let marks: BTreeMap<HostId, DrainMark> = marks.map(|id| (id, mark.clone())).collect();
    let demand_of =
        |cpu| Demand { cpu, finite: true, arriving_cpu: cpu, arrivals: 60, ..Demand::default() };
    let demands: BTreeMap<PoolId, Demand> = pools
        .iter()
        .enumerate()
        .map(|(n, pool)| {
            (pool.clone(), demand_of(if n == 0 { hosts as u64 * 16_000 } else { 600_000 }))
        })
        .collect();
    let (maintained, reported) = (BTreeMap::new(), BTreeSet::new());
    let idle: BTreeSet<HostId> = ids.iter().step_by(3).cloned().collect();
    let busy: Vec<HostId> = ids.iter().filter(|id| !idle.contains(*id)).cloned().collect();
    let drained = marks.keys().filter_map(|id| Some((id.clone(), worker(id)?))).collect();
    let recently_called = BTreeSet::new();
    let snapshot = FleetSnapshot {
        config: &config,
        demands: &demands,
        view_revision: VIEW_REVISION,
        marks: &marks,
        drained: &drained,
        upkeeps: &[upkeep],
        maintained: &maintained,
        reported: &reported,
        idle: &idle,
        light: &[],
        busy: &busy,
        recently_called: &recently_called,
        evacuated: &BTreeSet::new(),
    };
    let mut fleet = FleetOwner::new(1, Sizing::default(), Steady::default());
    fleet.update_hosts(Steady::from_millis(1), Some(listed));
    for number in 1..=PLANS_PER_ROW {
        run_plan(&mut fleet, &snapshot, Steady::from_millis(number * PLAN_INTERVAL_MS));
    }
}

fn worker(host: &HostId) -> Option<WorkerId> {
    format!("w-{host}").parse().ok()
}

fn host(id: &HostId, pool: &PoolId) -> ListedHost {
    ListedHost {
        host: id.clone(),
        pool: pool.clone(),
        zone: None,
        phase: HostPhase::Up,
        worker: worker(id),
        labels: vec![],
        capacity: TaskResources { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 },
    }
}
