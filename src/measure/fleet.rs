//! What a decision of the fleet's owner costs while a wave of upkeep goes on and pools change hosts:
//! processor time of one plan, by how many hosts there are and how many are marked to leave, and of
//! counting what pools ask for.

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
    scheduler::{demand::Demands, drive::json, keys, view::View},
};

/// Hosts of the fleet, for each row.
const HOSTS: [usize; 3] = [300, 1_100, 3_300];

/// The share of the hosts that is marked to leave, in percent, for each row.
const MARKED: [usize; 3] = [0, 10, 45];

/// Pools with work, beside the one whose hosts are off.
const POOLS: usize = 4;

/// Hosts, share that is marked, and pools with work at the size within two years.
const GROWN: (usize, usize, usize) = (6_800, 10, 389);

/// Open jobs whose demand is counted.
const OPEN: [u64; 2] = [1_000, 3_000];

/// Plans of one row.
const PLANS: u64 = 10;

/// Milliseconds between two plans.
const PLAN_MS: u64 = 100;

/// The revision at which all marks stand.
const KNOWN: Revision = Revision(1);

/// The wave that is under way: half of all hosts.
const WAVE: u64 = 1;

/// Runs the experiment.
pub(crate) fn measure() -> Figures {
    let cases = HOSTS.iter().flat_map(|hosts| MARKED.iter().map(|marked| (*hosts, *marked, POOLS)));
    let rows = cases.chain([GROWN]).map(|(hosts, percent, pools)| {
        let mut spent: Vec<Duration> = Vec::new();
        play(hosts, hosts * percent / 100, pools, |fleet, scene, now| {
            let began = Instant::now();
            fleet.plan(scene, now);
            spent.push(began.elapsed());
        });
        let millis = |spent: Duration| format!("{:.2}", spent.as_secs_f64() * 1e3);
        let worst = spent.iter().max().copied().unwrap_or_default();
        let mean = spent.iter().sum::<Duration>() / PLANS as u32;
        let pools = (pools + 1).to_string();
        vec![hosts.to_string(), format!("{percent} %"), pools, millis(mean), millis(worst)]
    });
    let mut notes = vec![
        "Half of the hosts are due for upkeep; one pool asks for more hosts than it has.".into(),
        "On a whole core of this machine; a plan is made ten times a second.".into(),
    ];
    notes.extend(OPEN.map(demand));
    Figures {
        title: format!("A plan of the fleet's owner, {PLANS} plans, one run"),
        heading: vec!["hosts", "marked", "pools", "ms a plan", "ms the longest"],
        rows: rows.collect(),
        notes,
    }
}

/// What it costs to count the demand of so many open jobs of two steps, at first and again once nothing
/// has changed but the time.
fn demand(open: u64) -> String {
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
        priority: 0,
        max_attempts: 3,
        stretch_percent: 200,
        target_ms: 600,
        advice: None,
        accepted: Time::default(),
    };
    let note = StepProgress { done: (0..5).collect(), ..StepProgress::default() };
    let steps = BTreeMap::from([("0.0".to_owned(), note)]);
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
    let first = count(PLAN_MS);
    let again = (2..=PLANS).map(|number| count(number * PLAN_MS)).sum::<f64>() / (PLANS - 1) as f64;
    format!(
        "Demand of {open} open jobs: {first:.2} ms at first, {again:.2} ms with nothing changed."
    )
}

/// Plays plans of a fleet while a wave goes on over half of its hosts; so many are marked, with nothing
/// left to run there, and so many pools have work.
pub(crate) fn play(
    hosts: usize,
    marked: usize,
    with_work: usize,
    mut each: impl FnMut(&mut FleetOwner, &FleetSnapshot<'_>, Steady),
) {
    let ids: Vec<HostId> = (0..hosts).filter_map(|n| format!("h{n}").parse().ok()).collect();
    let pools: Vec<PoolId> =
        (0..=with_work).filter_map(|n| format!("pool{n}").parse().ok()).collect();
    let rules = |off| PoolRules { headroom: off, admission_check: true };
    let off = pools.last().cloned();
    let rules = pools.iter().map(|pool| (pool.clone(), rules(Some(pool) == off.as_ref())));
    let config = QueueConfig { version: 1, queues: vec![], pools: rules.collect() };
    let listed: Vec<ListedHost> =
        ids.iter().enumerate().map(|(n, id)| host(id, &pools[n % pools.len()])).collect();
    let upkeep = Upkeep {
        wave: WAVE,
        hosts: ids.iter().step_by(2).cloned().collect(),
        period_ms: 26_000,
        max_concurrent: (hosts / 5) as u32,
    };
    let mark = DrainMark { action: HostAction::Upkeep(WAVE), revision: KNOWN };
    let leaves = ids.iter().step_by(2).take(marked).cloned();
    let leaves: BTreeMap<HostId, DrainMark> = leaves.map(|id| (id, mark.clone())).collect();
    let asked =
        |cpu| Demand { cpu, finite: true, arriving_cpu: cpu, arrivals: 60, ..Demand::default() };
    let demands: BTreeMap<PoolId, Demand> = pools
        .iter()
        .enumerate()
        .map(|(n, pool)| {
            (pool.clone(), asked(if n == 0 { hosts as u64 * 16_000 } else { 600_000 }))
        })
        .collect();
    let (maintained, reported) = (BTreeMap::new(), BTreeSet::new());
    let idle: BTreeSet<HostId> = ids.iter().step_by(3).cloned().collect();
    let busy: Vec<HostId> = ids.iter().filter(|id| !idle.contains(*id)).cloned().collect();
    let empties = leaves.keys().filter_map(|id| Some((id.clone(), worker(id)?))).collect();
    let resting = BTreeSet::new();
    let scene = FleetSnapshot {
        config: &config,
        demands: &demands,
        view_revision: KNOWN,
        marks: &leaves,
        drained: &empties,
        upkeeps: &[upkeep],
        maintained: &maintained,
        reported: &reported,
        idle: &idle,
        light: &[],
        busy: &busy,
        recently_called: &resting,
    };
    let mut fleet = FleetOwner::new(1, Sizing::default(), Steady::default());
    fleet.update_hosts(Steady::from_millis(1), Some(listed));
    for number in 1..=PLANS {
        each(&mut fleet, &scene, Steady::from_millis(number * PLAN_MS));
    }
}

fn worker(of: &HostId) -> Option<WorkerId> {
    format!("w-{of}").parse().ok()
}

fn host(id: &HostId, pool: &PoolId) -> ListedHost {
    ListedHost {
        host: id.clone(),
        pool: pool.clone(),
        phase: HostPhase::Up,
        worker: worker(id),
        labels: vec![],
        capacity: TaskResources { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 },
    }
}
