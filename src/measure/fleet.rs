//! What a decision of the fleet's owner costs while a wave of upkeep goes on and pools change hosts:
//! processor time of one plan, by how many hosts there are and how many are marked to leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    jobs::fleet::{Demand, Fleet, Leave, Mark, Scene, Sizing},
    measure::Figures,
    model::{
        id::{HostId, PoolId, WorkerId},
        job::Room,
        queue::{PoolRules, QueueConfig},
        unit::{Megabytes, Millicores, Revision, Steady},
        worker::{HostPhase, ListedHost, Upkeep},
    },
};

/// Hosts of the fleet, for each row.
const HOSTS: [usize; 3] = [300, 1_100, 3_300];

/// The share of the hosts that is marked to leave, in percent, for each row.
const MARKED: [usize; 3] = [0, 10, 45];

/// Pools with work, beside the one whose hosts are off.
const POOLS: usize = 4;

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
    let cases = HOSTS.iter().flat_map(|hosts| MARKED.iter().map(|marked| (*hosts, *marked)));
    let rows = cases.map(|(hosts, percent)| {
        let mut spent: Vec<Duration> = Vec::new();
        play(hosts, hosts * percent / 100, |fleet, scene, now| {
            let began = Instant::now();
            fleet.plan(scene, now);
            spent.push(began.elapsed());
        });
        let millis = |spent: Duration| format!("{:.2}", spent.as_secs_f64() * 1e3);
        let worst = spent.iter().max().copied().unwrap_or_default();
        let mean = spent.iter().sum::<Duration>() / PLANS as u32;
        vec![hosts.to_string(), format!("{percent} %"), millis(mean), millis(worst)]
    });
    Figures {
        title: format!("A plan of the fleet's owner, {PLANS} plans, one run"),
        heading: vec!["hosts", "marked", "ms a plan", "ms the longest"],
        rows: rows.collect(),
        notes: vec![
            "Half of the hosts are due for upkeep; one pool asks for more hosts than it has."
                .into(),
            "On a whole core of this machine; a plan is made ten times a second.".into(),
        ],
    }
}

/// Plays plans of a fleet while a wave goes on over half of its hosts; so many are marked, with nothing
/// left to run there.
pub(crate) fn play(
    hosts: usize,
    marked: usize,
    mut each: impl FnMut(&mut Fleet, &Scene<'_>, Steady),
) {
    let ids: Vec<HostId> = (0..hosts).filter_map(|n| format!("h{n}").parse().ok()).collect();
    let pools: Vec<PoolId> = (0..=POOLS).filter_map(|n| format!("pool{n}").parse().ok()).collect();
    let rules = |off| PoolRules { off, guards: true };
    let off = pools.last().cloned();
    let rules = pools.iter().map(|pool| (pool.clone(), rules(Some(pool) == off.as_ref())));
    let config = QueueConfig { version: 1, queues: vec![], pools: rules.collect() };
    let listed: Vec<ListedHost> =
        ids.iter().enumerate().map(|(n, id)| host(id, &pools[n % pools.len()])).collect();
    let upkeep = Upkeep {
        wave: WAVE,
        hosts: ids.iter().step_by(2).cloned().collect(),
        period_ms: 26_000,
        at_once: (hosts / 5) as u32,
    };
    let mark = Mark { leave: Leave::Upkeep(WAVE), revision: KNOWN };
    let leaves = ids.iter().step_by(2).take(marked).cloned();
    let leaves: BTreeMap<HostId, Mark> = leaves.map(|id| (id, mark.clone())).collect();
    let asked = |cpu| Demand { cpu, ends: true, arriving: cpu, arrivals: 60, ..Demand::default() };
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
    let scene = Scene {
        config: &config,
        demands: &demands,
        known: KNOWN,
        leaves: &leaves,
        empties: &empties,
        upkeeps: &[upkeep],
        maintained: &maintained,
        reported: &reported,
        idle: &idle,
        light: &[],
        busy: &busy,
        resting: &resting,
    };
    let mut fleet = Fleet::new(1, Sizing::default(), Steady::default());
    fleet.heard_list(Steady::from_millis(1), Some(listed));
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
        room: Room { cpu: Millicores(32_000), memory: Megabytes(128_000), gpus: 0 },
    }
}
