//! A play of one pool under a flood: what callers get by the order of waiting jobs, with and without
//! admission. One account of twenty sends twelve times its usual for twelve of twenty seconds. The
//! weights are about twice the usual rates, or far above what the pool can do.

use std::collections::BTreeMap;

use crate::{
    jobs::{
        admission::{Pressure, Sender, Verdict},
        start::{
            fair_share::{Amount, Claim},
            turn::{self, Beyond, Candidate},
        },
        urgency::Urgency,
        weights::{AccountLoad, AccountWeights},
    },
    model::{
        account::{Account, Accounts, Weight},
        id::AccountId,
        job::{JobId, TaskResources},
        unit::{Steady, Time},
    },
};

const ACCOUNTS: usize = 20;
const PLAY_MS: u64 = 20_000;
const FLOOD_MS: std::ops::Range<u64> = 4_000..16_000;
const TICK_MS: u64 = 20;
const TASK_MS: u64 = 640;
/// A job ends in time within this time, and is of no value after three times as much.
const OBJECTIVE_MS: u64 = 1_600;
/// Jobs that run at once: the usual load takes six of ten.
const SLOTS: usize = 64;
const CAPACITY: Amount = Amount { cpu: SLOTS as u64, memory: u64::MAX };
/// How old reports of the owner are when nodes decide.
const REPORT_AGE_MS: u64 = 1_000;

/// The order of waiting jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Urgency,
    /// By virtual start times: each account's advances by one job over its weight.
    FairQueueing,
    /// The account with the least of the pool in use, by its weight, comes first. All jobs are of
    /// the same shape, so that the dominant resource is the processor time.
    DominantResource,
    /// The product's.
    Turn,
}

#[derive(Debug, Clone)]
struct Waiting {
    id: u64,
    account: usize,
    sent: u64,
    is_beyond: bool,
    virtual_start: f64,
}

/// What the callers of an account got for what was owed to them.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    owed: u32,
    in_time: u32,
    refused: u32,
    accepted: u32,
    /// Jobs that were accepted and not done in time.
    late: u32,
}

impl Served {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.owed.max(1))
    }
}

/// Usual jobs per second: a few accounts are large.
fn usual_rate(account: usize) -> f64 {
    60.0 * (1.0 / (account + 1) as f64) / 3.6
}

/// Weights that usual load does not exceed.
const USUAL_WEIGHTS: f64 = 1.9;

/// Weights that add up to ten times what the pool can do.
const HIGH_WEIGHTS: f64 = 17.0;

fn weight(account: usize, factor: f64) -> Weight {
    Weight::per_second((usual_rate(account) * factor).max(1.0)).unwrap()
}

fn name(account: usize) -> AccountId {
    format!("a{account}").parse().unwrap()
}

fn wall(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn urgency(sent: u64, now: u64) -> Urgency {
    let slack = OBJECTIVE_MS as i64 - (now - sent) as i64 - TASK_MS as i64;
    let lateness = match () {
        () if 0 <= slack => 0,
        () if -(2 * OBJECTIVE_MS as i64) <= slack => 1,
        () => 2,
    };
    Urgency::new(1, lateness, slack)
}

struct Play {
    order: Order,
    /// The weights, as multiples of the usual rates.
    factor: f64,
    refuses: bool,
    weights: AccountWeights,
    senders: Vec<Sender>,
    waiting: Vec<Waiting>,
    running: Vec<(u64, Waiting)>,
    served: Vec<Served>,
    /// The delay and the loads of accounts, as they were reported.
    reports: BTreeMap<u64, (u64, BTreeMap<AccountId, AccountLoad>)>,
    virtual_time: f64,
    finish: Vec<f64>,
    jobs: u64,
    /// Of each account: what it has sent within its weight, in parts of a job.
    allowance: Vec<f64>,
}

impl Play {
    fn run(order: Order, refuses: bool, flooding: Option<usize>) -> Vec<Served> {
        Play::run_with(USUAL_WEIGHTS, order, refuses, flooding)
    }

    fn run_with(factor: f64, order: Order, refuses: bool, flooding: Option<usize>) -> Vec<Served> {
        let mut accounts = Accounts::default();
        for account in 0..ACCOUNTS {
            let (id, limit) = (name(account), TaskResources::default());
            let weight = Some(weight(account, factor));
            accounts.add(Account { id, weight, limit }, &[]);
        }
        let mut weights = AccountWeights::default();
        weights.configure(Some(&accounts));
        let mut play = Play {
            order,
            factor,
            refuses,
            weights,
            senders: (0..ACCOUNTS).map(|_| Sender::new(wall(0))).collect(),
            waiting: Vec::new(),
            running: Vec::new(),
            served: vec![Served::default(); ACCOUNTS],
            reports: BTreeMap::new(),
            virtual_time: 0.0,
            finish: vec![0.0; ACCOUNTS],
            jobs: 0,
            allowance: vec![0.0; ACCOUNTS],
        };
        let mut due = [0.0; ACCOUNTS];
        for now in (0..PLAY_MS + 10_000).step_by(TICK_MS as usize) {
            for (account, due) in due.iter_mut().enumerate() {
                let is_flood = flooding == Some(account) && FLOOD_MS.contains(&now);
                let load = if is_flood { 12.0 } else { 1.0 };
                let load = if PLAY_MS <= now { 0.0 } else { load };
                *due += usual_rate(account) * load * TICK_MS as f64 / 1_000.0;
                let rate = weight(account, factor).rate();
                let allowance = &mut play.allowance[account];
                *allowance = (*allowance + rate * TICK_MS as f64 / 1_000.0).min(rate.max(1.0));
                while 1.0 <= *due {
                    *due -= 1.0;
                    play.send(account, now);
                }
            }
            play.finish(now);
            play.start(now);
            if now % 1_000 == 0 {
                play.report(now);
            }
        }
        play.served
    }

    fn send(&mut self, account: usize, now: u64) {
        let is_owed = 1.0 <= self.allowance[account];
        if is_owed {
            self.allowance[account] -= 1.0;
            self.served[account].owed += 1;
        }
        if self.refuses {
            let known = now.saturating_sub(REPORT_AGE_MS);
            let report = self.reports.range(..=known).next_back().map(|(_, report)| report);
            let sent = report.and_then(|(_, loads)| loads.get(&name(account)).copied());
            let pressure = Pressure {
                delay_ms: report.map(|(delay_ms, _)| *delay_ms),
                sent: sent.unwrap_or_default(),
                nodes: 1,
            };
            let spare = OBJECTIVE_MS - TASK_MS;
            let verdict = self.senders[account].decide(
                weight(account, self.factor),
                pressure,
                spare,
                wall(now),
            );
            if matches!(verdict, Verdict::Refused { .. }) {
                self.served[account].refused += 1;
                return;
            }
        }
        self.served[account].accepted += 1;
        self.jobs += 1;
        let steady = Steady::from_millis(now);
        let is_beyond = self.weights.is_beyond(&name(account), wall(now), steady);
        let virtual_start = self.virtual_time.max(self.finish[account]);
        self.finish[account] = virtual_start + 1.0 / weight(account, self.factor).rate();
        self.waiting.push(Waiting { id: self.jobs, account, sent: now, is_beyond, virtual_start });
    }

    fn finish(&mut self, now: u64) {
        let (ended, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(u64, Waiting)> = ended;
        for (end, job) in ended {
            let served = &mut self.served[job.account];
            match end - job.sent <= OBJECTIVE_MS {
                true => served.in_time += 1,
                false => served.late += 1,
            }
        }
    }

    fn start(&mut self, now: u64) {
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let free = SLOTS - self.running.len();
            let order = self.sorted(now);
            // One at a time where the order depends on what runs.
            let count = if self.order == Order::DominantResource { 1 } else { free };
            for id in order.into_iter().take(count) {
                let at = self.waiting.iter().position(|job| job.id == id).unwrap();
                let job = self.waiting.remove(at);
                self.virtual_time = self.virtual_time.max(job.virtual_start);
                self.running.push((now + TASK_MS, job));
            }
        }
    }

    fn sorted(&self, now: u64) -> Vec<u64> {
        let mut jobs: Vec<&Waiting> = self.waiting.iter().collect();
        match self.order {
            Order::Urgency => jobs.sort_by_key(|job| (urgency(job.sent, now), job.id)),
            Order::FairQueueing => {
                jobs.sort_by(|a, b| a.virtual_start.total_cmp(&b.virtual_start));
            }
            Order::DominantResource => {
                let mut used = [0.0; ACCOUNTS];
                for (_, job) in &self.running {
                    used[job.account] += 1.0 / weight(job.account, self.factor).rate();
                }
                jobs.sort_by(|a, b| {
                    let by_share = used[a.account].total_cmp(&used[b.account]);
                    let urgency = |job: &Waiting| (urgency(job.sent, now), job.id);
                    by_share.then_with(|| urgency(a).cmp(&urgency(b)))
                });
            }
            Order::Turn => {
                let candidates = self.candidates(now);
                let order = turn::order(candidates, CAPACITY);
                let is_waiting = |id: &u64| self.waiting.iter().any(|job| job.id == *id);
                return order.into_iter().map(JobId::number).filter(is_waiting).collect();
            }
        }
        jobs.into_iter().map(|job| job.id).collect()
    }

    /// The jobs that wait or run, as the owner of the pool sees them.
    fn candidates(&self, now: u64) -> Vec<Candidate> {
        let candidate = |job: &Waiting, runs: u64| {
            let (account, weight) = (name(job.account), weight(job.account, self.factor));
            let urgency = urgency(job.sent, now);
            let amount = |slots: u64| Amount { cpu: slots, memory: 0 };
            Candidate {
                job: JobId::from_number(job.id),
                urgency,
                beyond: job.is_beyond.then(|| Beyond { account: account.clone(), weight }),
                claim: Some(Claim {
                    account,
                    weight,
                    running: amount(runs),
                    waiting: amount(1 - runs),
                    counts: urgency.is_in_time() && !job.is_beyond,
                }),
            }
        };
        let waiting = self.waiting.iter().map(|job| candidate(job, 0));
        waiting.chain(self.running.iter().map(|(_, job)| candidate(job, 1))).collect()
    }

    /// What an owner reports once a second.
    fn report(&mut self, now: u64) {
        let wanted = self.waiting.iter().filter(|job| !urgency(job.sent, now).is_too_late());
        let delay_ms = wanted.count() as u64 * TASK_MS / (SLOTS as u64 / 3);
        let loads = self.weights.loads(wall(now), Steady::from_millis(now));
        self.reports.insert(now, (delay_ms, loads.into_iter().collect()));
    }
}

/// What the neighbours of an account get together, and what the worst-served tenth of them gets.
fn neighbours(served: &[Served], flooding: usize) -> (f64, f64) {
    let others = served.iter().enumerate().filter(|(account, _)| *account != flooding);
    let mut shares: Vec<f64> = others.clone().map(|(_, served)| served.share()).collect();
    shares.sort_by(f64::total_cmp);
    let worst = shares[..ACCOUNTS / 10].iter().sum::<f64>() / (ACCOUNTS / 10) as f64;
    let in_time: u32 = others.clone().map(|(_, served)| served.in_time).sum();
    let owed: u32 = others.map(|(_, served)| served.owed).sum();
    (f64::from(in_time) / f64::from(owed), worst)
}

const FLOODING: usize = 1;

#[test]
fn neighbours_of_a_flood_are_served_as_without_it() {
    let calm = Play::run(Order::Turn, true, None);
    let flood = Play::run(Order::Turn, true, Some(FLOODING));
    let ((whole, worst), (calm_whole, calm_worst)) =
        (neighbours(&flood, FLOODING), neighbours(&calm, FLOODING));
    assert!(calm_whole - 0.02 <= whole, "{whole} beside {calm_whole}");
    assert!(calm_worst - 0.05 <= worst, "{worst} beside {calm_worst}");
    for (account, served) in flood.iter().enumerate().filter(|(one, _)| *one != FLOODING) {
        assert_eq!(served.refused, 0, "account {account} is within its weight");
    }
    let own = flood[FLOODING];
    assert!(0.95 <= own.share(), "the account gets its weight: {own:?}");
    assert!(own.owed < own.refused, "{own:?}");
}

/// Where hardly a job is beyond a weight, the shares of a full pool protect the neighbours.
#[test]
fn neighbours_of_a_flood_within_its_weight_are_served_as_without_it() {
    let play = |flooding| Play::run_with(HIGH_WEIGHTS, Order::Turn, true, flooding);
    let (calm, flood) = (play(None), play(Some(FLOODING)));
    let ((whole, worst), (calm_whole, calm_worst)) =
        (neighbours(&flood, FLOODING), neighbours(&calm, FLOODING));
    assert!(calm_whole - 0.02 <= whole, "{whole} beside {calm_whole}");
    assert!(calm_worst - 0.05 <= worst, "{worst} beside {calm_worst}");
    for (account, served) in flood.iter().enumerate().filter(|(one, _)| *one != FLOODING) {
        assert_eq!(served.refused, 0, "account {account} is below its share");
    }
    let own = flood[FLOODING];
    assert!(calm[FLOODING].in_time * 2 < own.in_time, "it uses what its neighbours leave: {own:?}");
}

/// Refusals spare the account itself what would not be done in time.
#[test]
fn early_refusal_leaves_less_accepted_work_undone() {
    let late = |refuses| Play::run(Order::Turn, refuses, Some(FLOODING))[FLOODING].late;
    let (with, without) = (late(true), late(false));
    assert!(with * 3 < without, "{with} of what was accepted is late, without refusals {without}");
}

/// Urgency alone lets the neighbours down, which is what the other orders are for.
#[test]
fn by_urgency_alone_a_flood_takes_from_its_neighbours() {
    let (whole, _) = neighbours(&Play::run(Order::Urgency, false, Some(FLOODING)), FLOODING);
    let (turn, _) = neighbours(&Play::run(Order::Turn, false, Some(FLOODING)), FLOODING);
    assert!(whole + 0.2 < turn, "{whole} by urgency, {turn} by turns");
}

/// What each order gives: by `--nocapture`, the figures.
#[test]
fn no_other_order_serves_the_neighbours_better() {
    let play = |order, refuses| {
        let served = Play::run(order, refuses, Some(FLOODING));
        let ((whole, worst), own) = (neighbours(&served, FLOODING), served[FLOODING]);
        println!(
            "{order:?}, refusals {refuses}: neighbours {whole:.3}, worst tenth {worst:.3}, \
             flooding {:.3}, refused {}, accepted and late {}",
            own.share(),
            own.refused,
            own.late
        );
        (whole, worst, own)
    };
    for refuses in [false, true] {
        let turn = play(Order::Turn, refuses);
        for order in [Order::Urgency, Order::FairQueueing, Order::DominantResource] {
            let other = play(order, refuses);
            assert!(other.0 <= turn.0 && other.1 <= turn.1, "{order:?}, refusals {refuses}");
        }
        let queueing = play(Order::FairQueueing, refuses).2;
        assert!(queueing.share() <= turn.2.share(), "the flooding account itself");
    }
}
