//! The control loop of a node: delivers events to the owners of pools and executes their effects.

mod acquire;
mod input;
mod limit_shares;
pub(crate) mod loop_load;
mod order_counts;
mod orders;
mod owner_load;
mod persist;
mod publish;
mod reach;
mod stale_view;
#[cfg(test)]
mod tests;
mod updates;
mod waiting_report;
mod zones;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    sync::{Semaphore, mpsc},
    time::{MissedTickBehavior, interval, sleep_until},
};

use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    jobs::{
        accounts::PoolAccounts,
        delegates::Delegates,
        event::Event,
        fleet::FleetOwner,
        owner::{Breakdown, DrainedHost, HostUsage, Owner},
        reach::Reach,
    },
    model::{
        id::{HostId, PoolId, ZoneId},
        unit::{Now, Revision, Steady},
        worker::WorkerReport,
    },
    platform::{
        advice::AdviceClient,
        machines::HostClient,
        records::{OPERATOR_PREFIX, WORKER_PREFIX},
        worker_client::WorkerClient,
    },
    scheduler::{
        Node,
        clock::process_cpu,
        demand::Demands,
        dispatch::link::{Links, Outgoing},
        keys,
        lease::{Lease, Tenure},
        mirror,
        view::{Versioned, View, WaveRecord},
    },
};

#[cfg(test)]
pub(crate) use persist::{
    MAX_PENDING_WRITES, PROGRESS_BATCH, PROGRESS_PAUSE_MS, ROSTER_BATCH, ROSTER_PAUSE_MS,
};

pub(crate) use input::{Input, OverwriteResult, Ownership, ProgressResult};
use loop_load::{LoopLoad, LoopSummary};
use owner_load::OwnerLoad;
use stale_view::StaleView;
use waiting_report::ReportState;
use zones::ZoneLog;

/// Interval between iterations when there is no input.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum pause between two iterations; inputs that arrive in between share an iteration. An
/// iteration checks all open jobs: with hundreds of events a second, one for each event would cost
/// more than the orders.
const MIN_TICK_PAUSE: Duration = Duration::from_millis(4);

/// The pause after an iteration is at least this many times as long as the iteration, up to
/// `MAX_TICK_PAUSE`. Decisions thus take at most a quarter of the node's time, and the rest is left
/// for calls, messages and callers. An owner of 900 workers takes about 3 ms per iteration on half
/// a core.
const TICK_PAUSE_FACTOR: u32 = 3;

/// Maximum pause between two iterations while inputs wait. When a task ends, the next one waits up
/// to this long, and most tasks take only 0.8 s. A maximum of 250 ms limits decisions to a quarter
/// of the time even at 80 ms per iteration, but a day of 1,100 hosts then scored 0.259, against
/// 0.575 with 60 ms (one run each). Plans of the fleet can take longest and have a limit of their
/// own.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(60);

/// Interval between log summaries of the owned pools, in milliseconds.
pub(super) const SUMMARY_MS: u64 = 1_000;

/// A pool that this node owns.
struct OwnedPool {
    pool: PoolId,
    owner: Owner,
    tenure: Tenure,
    /// Nodes that make the calls to its workers.
    delegates: Delegates,
    /// Counts of its orders to workers.
    order_counts: Arc<order_counts::OrderCounts>,
    /// Ends the owner's own watch when dropped.
    _watch_guard: DropGuard,
    /// Number of progress writes in flight.
    pending_writes: usize,
    /// Earliest time of the next progress write.
    next_progress: Steady,
    /// Hosts published as drained.
    published_drained: BTreeMap<HostId, (DrainedHost, Steady)>,
    /// Whether a roster write is in flight.
    roster_pending: bool,
    /// Earliest time of the next roster write.
    next_roster: Steady,
    /// Revision of the record of silent workers.
    silent_revision: Revision,
    /// Whether a removal of ended jobs is in flight.
    removing: bool,
    /// Earliest time of the next removal.
    next_removal: Steady,
    /// The host usage that was last written.
    published_usage: Option<HostUsage>,
    /// Earliest time of the next usage check.
    next_usage: Steady,
    /// State of its reports on waiting jobs.
    waiting_report: ReportState,
    /// Earliest time of the next request to the store to confirm that there is no later owner.
    next_confirmation: Steady,
}

/// The fleet's work (all pools together), if this node owns it.
pub(super) struct OwnedFleet {
    pub(super) fleet: FleetOwner,
    pub(super) tenure: Tenure,
    /// Wave records as last written by this owner.
    pub(super) waves: BTreeMap<u64, Versioned<WaveRecord>>,
    /// Demand of each pool, as last computed.
    pub(super) demands: Demands,
}

/// A unit of work (a pool or the fleet) that has no owner.
struct Vacancy {
    since: Steady,
    acquiring: bool,
    not_before: Steady,
}

/// State of the control loop.
pub(crate) struct ControlLoop {
    pub(super) node: Arc<Node>,
    pub(super) lease: Arc<Lease>,
    instance_id: u64,
    worker_client: WorkerClient,
    advice_client: Option<AdviceClient>,
    advice_slot: Arc<Semaphore>,
    links: Links,
    /// Orders of the current iteration, by the node that is to make the calls.
    outbox: BTreeMap<SocketAddr, Vec<Outgoing>>,
    /// What is known of the paths to workers.
    reach: Arc<Mutex<Reach>>,
    /// The number of known nodes of each zone.
    node_counts: BTreeMap<String, usize>,
    /// Earliest time of the next choice of delegates.
    next_delegates: Steady,
    owned: BTreeMap<String, OwnedPool>,
    pub(super) fleet: Option<OwnedFleet>,
    pub(super) next_fleet: Steady,
    pub(super) next_fleet_summary: Steady,
    /// Earliest time of the next request to the store to confirm that the fleet has no later owner.
    next_fleet_confirmation: Steady,
    next_summary: Steady,
    pub(super) host_client: HostClient,
    /// Ownerships that were won but are not in the view yet, by name.
    won: BTreeMap<String, Ownership>,
    vacant: BTreeMap<String, Vacancy>,
    /// The zone in which the last known owner of each unit of work stands.
    last_zones: BTreeMap<String, ZoneId>,
    /// Earliest time at which a pool may be released for balance.
    next_rebalance: Steady,
    stale_view: StaleView,
    zone_log: ZoneLog,
    pub(super) loop_load: LoopLoad,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    shutting_down: bool,
}

impl ControlLoop {
    /// Creates the control loop of a node.
    pub(crate) fn new(
        node: Arc<Node>,
        lease: Arc<Lease>,
        worker_client: WorkerClient,
        sender: mpsc::UnboundedSender<Input>,
    ) -> ControlLoop {
        let hosts = node.settings.platform.hosts.to_string();
        let host_client = HostClient::new(&hosts, node.settings.node.clone());
        let advice_client = node.settings.platform.advice;
        let advice_client = advice_client.map(|address| AdviceClient::new(&address.to_string()));
        let reach = Arc::new(Mutex::new(Reach::new(node.settings.zone.clone())));
        ControlLoop {
            node,
            lease,
            instance_id: rand::random(),
            worker_client,
            advice_client,
            // The service answers one request of a node at a time.
            advice_slot: Arc::new(Semaphore::new(1)),
            links: Links::default(),
            outbox: BTreeMap::new(),
            reach,
            node_counts: BTreeMap::new(),
            next_delegates: Steady::default(),
            owned: BTreeMap::new(),
            fleet: None,
            next_fleet: Steady::default(),
            next_fleet_summary: Steady::default(),
            next_fleet_confirmation: Steady::default(),
            next_summary: Steady::default(),
            host_client,
            won: BTreeMap::new(),
            vacant: BTreeMap::new(),
            last_zones: BTreeMap::new(),
            next_rebalance: Steady::default(),
            stale_view: StaleView::default(),
            zone_log: ZoneLog::default(),
            loop_load: LoopLoad::new(Instant::now(), process_cpu()),
            inputs: sender,
            shutting_down: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Input>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut last_tick, mut pause) = (Instant::now(), MIN_TICK_PAUSE);
        loop {
            tokio::select! {
                input = receiver.recv() => {
                    let Some(input) = input else { return };
                    self.handle_ready(Some(input), &mut receiver);
                }
                _ = tick.tick() => {}
            }
            // Inputs are handled during the pause, too: a late node would be idle meanwhile.
            let (paused, mut handling) = (Instant::now(), Duration::ZERO);
            let remaining = pause.saturating_sub(last_tick.elapsed());
            let mut pause_end = pin!(sleep_until((last_tick + pause).into()));
            while let Some(input) = tokio::select! {
                biased;
                () = &mut pause_end => None,
                input = receiver.recv() => input,
            } {
                handling += self.handle_ready(Some(input), &mut receiver);
            }
            let took = paused.elapsed().saturating_sub(handling);
            self.loop_load.note_pause(remaining.saturating_sub(handling), took);
            self.handle_ready(None, &mut receiver);
            let began = Instant::now();
            self.tick();
            self.flush_outbox();
            last_tick = Instant::now();
            self.loop_load.note_iteration(last_tick - began);
            pause = pause_after(last_tick - began);
        }
    }

    /// Handles an input and all that wait. Returns how long that took.
    fn handle_ready(
        &mut self,
        first: Option<Input>,
        receiver: &mut mpsc::UnboundedReceiver<Input>,
    ) -> Duration {
        let (began, mut inputs) = (Instant::now(), 0);
        let waiting = std::iter::from_fn(|| receiver.try_recv().ok());
        for input in first.into_iter().chain(waiting) {
            self.handle(input);
            inputs += 1;
        }
        let took = began.elapsed();
        self.loop_load.note_inputs(inputs, took);
        took
    }

    /// Handles an input.
    pub(crate) fn handle(&mut self, input: Input) {
        let now = self.node.now();
        self.drop_expired(now.steady);
        match input {
            Input::Deltas(deltas) => {
                for delta in deltas {
                    self.handle_delta(delta, now);
                }
            }
            Input::OwnerEvent { name, token, queued, event } => {
                let wait = queued.elapsed();
                self.loop_load.note_wait(wait);
                self.node.metrics.record_input_wait(wait);
                let Some(owned) = self.owned.get_mut(&name) else {
                    return;
                };
                if owned.owner.token == token {
                    let mut out = Vec::new();
                    owned.owner.handle(*event, now, &mut out);
                    self.execute(&name, token, out, now.steady);
                }
            }
            Input::Acquired { name, won } => self.note_acquire_result(name, won, now),
            Input::ProgressWritten { name, token, writes, result } => {
                self.note_progress_written(&name, token, &writes, result, now)
            }
            Input::RosterWritten { name, token, write, result } => {
                self.note_roster_written(&name, token, &write, result, now);
            }
            Input::SharesWritten { name, token, writes, result } => {
                self.note_shares_written(&name, token, writes, result);
            }
            Input::ReportWritten { name, token, counts, sent, result } => {
                self.note_report_written(&name, token, (counts, sent), &result, now);
            }
            Input::WatchAnswered { name, token, sent, revision } => {
                if let Some(owned) = self.owned_under(&name, token) {
                    owned.waiting_report.note_jobs(sent, revision);
                }
            }
            Input::JobsRemoved { name, token, jobs, done } => {
                self.note_jobs_removed(&name, token, jobs, done, now);
            }
            Input::HostList { token, sent, hosts } => {
                if let Some(fleet) = self.fleet_under(token) {
                    fleet.update_hosts(sent, hosts);
                }
            }
            Input::HostCalled { token, host, action, result } => {
                if let Some(fleet) = self.fleet_under(token) {
                    fleet.note_call_result(&host, action, result, now.steady);
                }
            }
            Input::FleetWritten { token, results, wave } => {
                self.note_fleet_write(token, &results, wave, now);
            }
            Input::Shutdown => self.release_all(),
        }
    }

    /// Drops all ownerships whose lease has ended. Runs before anything else: another node may have
    /// acquired them, and relies on a limit for how long this node still acts as the owner.
    fn drop_expired(&mut self, now: Steady) {
        let is_valid = |name: &str, token: u64, tenure: &Tenure| {
            let is_valid = tenure.allows_orders(now);
            if !is_valid {
                log::warn!("owner {name}: given up: token {token}, {}", tenure.describe(now));
            }
            is_valid
        };
        self.won.retain(|name, won| is_valid(name, won.token, &won.tenure));
        self.owned.retain(|name, owned| is_valid(name, owned.owner.token, &owned.tenure));
        self.fleet.take_if(|owned| !is_valid(keys::FLEET, owned.fleet.token, &owned.tenure));
    }

    /// Runs one iteration.
    pub(crate) fn tick(&mut self) {
        let now = self.node.now();
        self.drop_expired(now.steady);
        let view = self.node.view();
        let config = view.config.clone();
        self.node.metrics.set_refused_records(view.refused_records);
        drop(view);
        let owned = self.owned.len() + usize::from(self.fleet.is_some());
        let version = config.as_ref().map_or(0, |config| config.version);
        self.node.metrics.set_ownership(owned, version);
        self.node.set_owns_work(owned != 0);
        self.take_over(now);
        self.acquire(now);
        self.rebalance(now);
        self.release_if_stale(now);
        self.choose_delegates(now.steady);
        let zones = self.start_zones(now.steady);
        let names: Vec<String> = self.owned.keys().cloned().collect();
        for name in names {
            // New jobs and new owners arrive over two watches: a job may be delivered before an
            // earlier change of owners, although the view has both.
            self.check_owner(&name);
            let Some(owned) = self.owned.get_mut(&name) else {
                continue;
            };
            let token = owned.owner.token;
            let mut out = Vec::new();
            owned.owner.set_confirmed(owned.tenure.confirmed());
            owned.owner.set_zones(&zones);
            if let (Some(accounts), Some(config)) = (owned.owner.accounts_mut(), &config) {
                accounts.configure(config.version, config.accounts.as_ref());
                if !accounts.weights.is_empty() {
                    let elsewhere = self.node.view().sent_elsewhere(&name, now.steady);
                    accounts.weights.set_elsewhere(elsewhere);
                }
            }
            owned.owner.tick(now, &mut out);
            if owned.owner.is_deposed() {
                log::warn!("owner {name}: a worker reports a later owner than token {token}");
                self.owned.remove(&name);
                continue;
            }
            let counts = owned.owner.take_counts();
            self.node.metrics.add_counts(&counts);
            owned.order_counts.note_resent(counts.resent_orders);
            self.execute(&name, token, out, now.steady);
            self.persist_progress(&name, now);
            self.persist_roster(&name, now);
            self.persist_limit_shares(&name, now);
            self.remove_ended_jobs(&name, now);
            self.publish_drained_hosts(&name, now);
            self.publish_usage(&name, now);
            self.publish_report(&name, now);
            self.request_confirmation(&name, now);
            self.resolve_unknown_jobs(&name, now);
        }
        self.request_fleet_confirmation(now);
        self.fleet_tick(now);
        self.report_zones(&zones, now);
        self.summarize(now);
    }

    /// Logs what the owned pools do, at intervals.
    fn summarize(&mut self, now: Now) {
        if now.steady < self.next_summary {
            return;
        }
        self.next_summary = now.steady.after(SUMMARY_MS);
        self.count_nodes();
        let mut breakdown = Breakdown::default();
        self.owned.values().for_each(|owned| breakdown.add(&owned.owner));
        *self.node.breakdown() = breakdown;
        if let Some(load) = self.take_loop_summary(Instant::now(), process_cpu()) {
            self.node.metrics.add_loop_time(&load);
            let (share, age) = (self.node.settings.cpu, self.view_age_ms(now.steady));
            log::info!("{}", load.describe(share, age));
        }
        self.node.metrics.set_backing_off(self.links.backing_off());
        for (name, owned) in &mut self.owned {
            let summary = owned.owner.summary();
            let (used, capacity) = (summary.used / 1000, summary.capacity / 1000);
            let (held_back, orders) =
                (owned.owner.held_back(now), owned.order_counts.take_summary());
            let starts = owned.owner.take_starts();
            self.node.metrics.add_starts(starts);
            let (delegates, backing_off) = count_delegates(owned, &self.links, &self.node.view());
            let lateness = owned.owner.lateness(now);
            let load = OwnerLoad { orders, starts, lateness, delegates, backing_off };
            log::info!(
                "owner {name}: {} jobs, {} tasks waiting, {used} of {capacity} cores used, \
                 {} of {} workers respond; {} workers available, {} not polled yet, \
                 {} tasks held back; {} orders pending, {} of them direct calls, {} resent, \
                 {} refused, {} unanswered; {load}",
                summary.jobs,
                summary.waiting,
                summary.responding,
                summary.workers,
                held_back.available,
                held_back.unpolled,
                held_back.tasks,
                orders.pending,
                orders.own,
                orders.resent,
                orders.refused,
                orders.unanswered
            );
        }
    }

    /// The load since the last call; `None` if the node owns nothing.
    fn take_loop_summary(&mut self, now: Instant, cpu: Duration) -> Option<LoopSummary> {
        let summary = self.loop_load.take(now, cpu);
        (!self.owned.is_empty() || self.fleet.is_some()).then_some(summary)
    }

    /// The age of the oldest part of the view, in milliseconds.
    fn view_age_ms(&self, now: Steady) -> u64 {
        let view = self.node.view();
        let prefixes = [keys::ROOT, OPERATOR_PREFIX, WORKER_PREFIX];
        let ages = prefixes.iter().filter_map(|prefix| view.ages.age_ms(prefix, now));
        ages.max().unwrap_or_default()
    }

    /// Takes over each ownership that was won, once the view has reached the revision of the write
    /// that won it.
    fn take_over(&mut self, now: Now) {
        let view = self.node.view();
        let visible: Vec<String> = self
            .won
            .iter()
            .filter(|(_, won)| won.token <= view.known_revision.0)
            .map(|(name, _)| name.clone())
            .collect();
        drop(view);
        for name in visible {
            let Some(Ownership { token, earlier_owners, tenure }) = self.won.remove(&name) else {
                continue;
            };
            if !self.node.view().owns(&name, token) || self.shutting_down {
                continue;
            }
            if name == keys::FLEET {
                self.log_takeover(&name, token, earlier_owners, now);
                let fleet = FleetOwner::new(token, self.node.settings.sizing, now.steady);
                let (waves, demands) = (BTreeMap::new(), Demands::default());
                self.fleet = Some(OwnedFleet { fleet, tenure, waves, demands });
            } else if let Some(pool) = name.strip_prefix("pool-").and_then(|pool| pool.parse().ok())
            {
                self.take_over_pool(&name, pool, Ownership { token, earlier_owners, tenure }, now);
            }
        }
    }

    fn log_takeover(&self, name: &str, token: u64, earlier_owners: u32, now: Now) {
        let age = self.node.view().ages.age_ms(keys::ROOT, now.steady).unwrap_or_default();
        log::info!(
            "owner {name}: taken up: token {token}, {earlier_owners} earlier owners, \
             records {age} ms old"
        );
    }

    fn take_over_pool(&mut self, name: &str, pool: PoolId, won: Ownership, now: Now) {
        let Ownership { token, earlier_owners, tenure } = won;
        let view = self.node.view();
        let mut accounts = PoolAccounts::new(pool.clone(), token);
        let shares = view.limit_shares.iter();
        let shares = shares.map(|(account, at)| (account, at.revision, &at.value));
        accounts.inherit(shares, earlier_owners != 0);
        let mut owner = Owner::new(token, earlier_owners, now.steady);
        owner.set_accounts(accounts);
        owner.set_tolerated_losses(self.node.settings.zones.tolerated_losses);
        let mut out = Vec::new();
        let other_pools = view.on_other_rosters(name);
        let mut workers: Vec<(Revision, WorkerReport)> = view
            .workers
            .values()
            .filter(|at| at.value.pool == pool && !other_pools.contains(&at.value.id))
            .map(|at| (at.revision, at.value.clone()))
            .collect();
        workers.sort_by_key(|(revision, _)| *revision);
        // Workers may run tasks of earlier owners, whether they are listed or not.
        let roster = view.roster(name);
        let silent = view.silent_workers.get(name).cloned();
        let silent_revision = silent.as_ref().map(|at| at.revision).unwrap_or_default();
        let silent = silent.map(|at| at.value).unwrap_or_default();
        owner.inherit(roster, &silent, now, &mut out);
        let in_other_pools = view.workers.values().filter(|at| at.value.pool != pool);
        for at in in_other_pools {
            owner.handle(Event::OtherPool(at.value.clone()), now, &mut out);
        }
        for (_, report) in workers {
            owner.handle(Event::Worker(report), now, &mut out);
        }
        for id in view.invalid_entries.keys() {
            owner.handle(Event::InvalidEntry(id.clone()), now, &mut out);
        }
        for (id, known) in &view.jobs {
            if let Some(stored) = known.stored(*id).filter(|stored| stored.record.pool == pool) {
                owner.handle(Event::Job(stored), now, &mut out);
            }
        }
        owner.set_draining(updates::drain_marks(&view, &pool));
        // The owner has received all jobs up to its token, and the write that won the token was
        // sent at the time returned by `confirmed`.
        let report_revision =
            view.waiting_reports.get(name).map(|at| at.revision).unwrap_or_default();
        let waiting_report = ReportState::new(report_revision, tenure.confirmed(), Revision(token));
        drop(view);
        self.log_takeover(name, token, earlier_owners, now);
        let stop_watch = CancellationToken::new();
        mirror::watch_work(&self.node, name, token, stop_watch.clone(), &self.inputs);
        let owned = OwnedPool {
            pool,
            owner,
            tenure,
            delegates: Delegates::default(),
            order_counts: Arc::default(),
            _watch_guard: stop_watch.drop_guard(),
            pending_writes: 0,
            next_progress: now.steady,
            published_drained: BTreeMap::new(),
            roster_pending: false,
            next_roster: now.steady,
            silent_revision,
            removing: false,
            next_removal: now.steady,
            published_usage: None,
            next_usage: now.steady,
            waiting_report,
            next_confirmation: now.steady,
        };
        self.owned.insert(name.to_owned(), owned);
        // Chooses delegates before the first polls are sent in this iteration: the node that owns a
        // large pool has time for a fifth of these calls, and late polls make live workers look
        // silent.
        self.next_delegates = now.steady;
        self.execute(name, token, out, now.steady);
    }
}

/// The number of an owner's delegates, and of those that get no orders for now.
fn count_delegates(owned: &OwnedPool, links: &Links, view: &View) -> (usize, usize) {
    let address = |node: &String| view.nodes.get(node)?.value.peers;
    let addresses = owned.delegates.nodes().filter_map(address);
    let backing_off = addresses.filter(|address| !links.is_open(*address)).count();
    (owned.delegates.nodes().count(), backing_off)
}

/// Pause after an iteration of this duration.
pub(crate) fn pause_after(took: Duration) -> Duration {
    (TICK_PAUSE_FACTOR * took).clamp(MIN_TICK_PAUSE, MAX_TICK_PAUSE)
}

pub(crate) fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // The records contain nothing that cannot be written as JSON.
    serde_json::to_vec(value).unwrap_or_default()
}
