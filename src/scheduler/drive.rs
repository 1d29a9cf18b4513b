//! Feeds the owners of pools with what happens, and carries out what they want done.

mod behind;
mod input;
mod keep;
mod news;
mod orders;
mod reach;
mod tally;
mod tell;
#[cfg(test)]
mod tests;
mod word;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    sync::{Semaphore, mpsc},
    time::{MissedTickBehavior, interval, sleep},
};

use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    jobs::{
        event::Event,
        fleet::Fleet,
        helpers::Helpers,
        owner::{Emptied, HostUsage, Owner},
    },
    model::{
        id::{HostId, Incarnation, PoolId},
        unit::{Now, Revision, Steady},
        worker::WorkerReport,
    },
    platform::{advice::Adviser, machines::Machines, runner::Runners},
    scheduler::{
        Node,
        demand::Demands,
        dispatch::link::{Links, Outgoing},
        keys,
        lease::{Lease, Tenure},
        mirror,
        view::{At, WaveRecord},
    },
};

use behind::Behind;
pub(crate) use input::{Input, OverwriteEnd, SaveEnd, Won};
use word::Word;

/// How often owners look at the time when nothing else happens.
const TICK: Duration = Duration::from_millis(100);

/// The least time between two decisions: what happens meanwhile is decided on together. A decision
/// looks at all open jobs, and at hundreds of events a second each would cost more than the orders.
const STEP_PAUSE: Duration = Duration::from_millis(4);

/// How much longer than a decision took the pause after it is, at the least: deciding takes a
/// quarter of the node's time at the most, and calls, messages and callers have the rest. An owner of
/// 900 workers takes some 3 ms a decision on half a core.
const STEP_REST: u32 = 3;

/// The longest pause between two decisions while events wait: a task that ends waits so long for the
/// next one in its place, and most take 0.8 s. With 250 ms, which kept deciding to a quarter of the time
/// also where a decision takes 80, a day of 1,100 hosts came to 0.259 where 60 ms came to 0.575 (one play
/// each, beside one another). A plan of the fleet, which can take longest, has a bound of its own.
const STEP_MOST_PAUSE: Duration = Duration::from_millis(60);

/// How often the owned pools are told of in the log, in milliseconds.
pub(super) const SUMMARY_MS: u64 = 1_000;

/// A piece of work that this node owns.
struct Owned {
    pool: PoolId,
    owner: Owner,
    tenure: Tenure,
    /// Who makes the calls to its workers.
    helpers: Helpers,
    /// Its orders to workers.
    tally: Arc<tally::Tally>,
    /// Ends the owner's own watch with it.
    _following: DropGuard,
    /// Writes of progress on their way.
    saving: usize,
    /// When the next write may be made.
    next_save: Steady,
    /// Hosts that were told to be empty.
    told_empty: BTreeMap<HostId, (Emptied, Steady)>,
    /// Whether it is being written what workers may hold.
    rostering: bool,
    /// When that may be written next.
    next_roster: Steady,
    /// The revision of the record of workers that are away.
    away_at: Revision,
    /// Whether jobs that ended are being removed.
    removing: bool,
    /// When that may be done next.
    next_removal: Steady,
    /// The use of the hosts that was last written.
    told_usage: Option<HostUsage>,
    /// When it is next looked at.
    next_usage: Steady,
    /// What it tells of how many jobs wait.
    word: Word,
    /// When the store may next be asked to confirm that there is no later owner.
    next_confirmation: Steady,
}

/// The work of all pools together, owned by this node.
pub(super) struct OwnedFleet {
    pub(super) fleet: Fleet,
    pub(super) tenure: Tenure,
    /// Records of waves as this owner last wrote them.
    pub(super) waves: BTreeMap<u64, At<WaveRecord>>,
    /// What pools ask for, as last counted.
    pub(super) demands: Demands,
}

/// A piece of work that nobody owns.
struct Vacancy {
    since: Steady,
    reaching: bool,
    not_before: Steady,
}

/// The loop's state.
pub(crate) struct Drive {
    pub(super) node: Arc<Node>,
    pub(super) lease: Arc<Lease>,
    life: u64,
    runners: Runners,
    adviser: Option<Adviser>,
    advising: Arc<Semaphore>,
    links: Links,
    /// Orders of the present step, by the node that is to carry them out.
    outbox: BTreeMap<SocketAddr, Vec<Outgoing>>,
    /// Workers that gave no answer by way of another node, and until when this one calls them.
    detours: HashMap<Incarnation, Steady>,
    /// When it is next decided who makes whose calls.
    next_helpers: Steady,
    owned: BTreeMap<String, Owned>,
    pub(super) fleet: Option<OwnedFleet>,
    pub(super) next_fleet: Steady,
    pub(super) next_fleet_summary: Steady,
    /// When the store may next be asked to confirm that the fleet's work has no later owner.
    next_fleet_confirmation: Steady,
    next_summary: Steady,
    pub(super) machines: Machines,
    /// Won, but not yet seen in the view, by name.
    won: BTreeMap<String, Won>,
    vacant: BTreeMap<String, Vacancy>,
    /// Work may be given away from then on.
    next_give: Steady,
    behind: Behind,
    pub(super) to: mpsc::UnboundedSender<Input>,
    leaving: bool,
}

impl Drive {
    /// The loop of a node.
    pub(crate) fn new(
        node: Arc<Node>,
        lease: Arc<Lease>,
        runners: Runners,
        to: mpsc::UnboundedSender<Input>,
    ) -> Drive {
        let hosts = node.settings.platform.hosts.to_string();
        let machines = Machines::new(&hosts, node.settings.node.clone());
        let adviser = node.settings.platform.advice;
        let adviser = adviser.map(|address| Adviser::new(&address.to_string()));
        Drive {
            node,
            lease,
            life: rand::random(),
            runners,
            adviser,
            // The service answers one question of a node at a time.
            advising: Arc::new(Semaphore::new(1)),
            links: Links::default(),
            outbox: BTreeMap::new(),
            detours: HashMap::new(),
            next_helpers: Steady::default(),
            owned: BTreeMap::new(),
            fleet: None,
            next_fleet: Steady::default(),
            next_fleet_summary: Steady::default(),
            next_fleet_confirmation: Steady::default(),
            next_summary: Steady::default(),
            machines,
            won: BTreeMap::new(),
            vacant: BTreeMap::new(),
            next_give: Steady::default(),
            behind: Behind::default(),
            to,
            leaving: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self, mut from: mpsc::UnboundedReceiver<Input>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut stepped, mut pause) = (Instant::now(), STEP_PAUSE);
        loop {
            tokio::select! {
                input = from.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                }
                _ = tick.tick() => {}
            }
            let early = pause.saturating_sub(stepped.elapsed());
            if !early.is_zero() {
                sleep(early).await;
            }
            while let Ok(more) = from.try_recv() {
                self.take(more);
            }
            let began = Instant::now();
            self.step();
            self.flush();
            stepped = Instant::now();
            pause = pause_after(stepped - began);
        }
    }

    /// Takes in what has happened.
    pub(crate) fn take(&mut self, input: Input) {
        let now = self.node.now();
        self.give_up(now.steady);
        match input {
            Input::Deltas(deltas) => {
                for delta in deltas {
                    self.heard(delta, now);
                }
            }
            Input::Owner { name, token, event } => {
                let Some(owned) = self.owned.get_mut(&name) else {
                    return;
                };
                if owned.owner.token == token {
                    let mut out = Vec::new();
                    owned.owner.handle(*event, now, &mut out);
                    self.carry_out(&name, token, out);
                }
            }
            Input::Reached { name, won } => self.reached(name, won, now),
            Input::Saved { name, token, saves, end } => self.saved(&name, token, &saves, end, now),
            Input::Rostered { name, token, note, end } => {
                self.rostered(&name, token, &note, end, now);
            }
            Input::Worded { name, token, counts, sent, end } => {
                self.worded(&name, token, (counts, sent), &end, now);
            }
            Input::Followed { name, token, asked, at } => {
                if let Some(owned) = self.owned_under(&name, token) {
                    owned.word.heard(asked, at);
                }
            }
            Input::Removed { name, token, jobs, done } => {
                self.removed(&name, token, jobs, done, now);
            }
            Input::HostList { token, sent, hosts } => {
                if let Some(fleet) = self.fleet_under(token) {
                    fleet.heard_list(sent, hosts);
                }
            }
            Input::HostCalled { token, host, leave, end } => {
                if let Some(fleet) = self.fleet_under(token) {
                    fleet.called(&host, leave, end, now.steady);
                }
            }
            Input::FleetWritten { token, ends, wave } => {
                self.fleet_written(token, &ends, wave, now);
            }
            Input::Detour(worker) => self.detour(worker, now.steady),
            Input::Leave => self.leave(),
        }
    }

    /// Gives up what was won under a lease that is over, before anything else is done: another node
    /// may have won it, and relies on how long this one goes on.
    fn give_up(&mut self, now: Steady) {
        let lasts = |name: &str, token: u64, tenure: &Tenure| {
            let lasts = tenure.allows_orders(now);
            if !lasts {
                log::warn!("owner {name}: given up: token {token}, {}", tenure.describe(now));
            }
            lasts
        };
        self.won.retain(|name, won| lasts(name, won.token, &won.tenure));
        self.owned.retain(|name, owned| lasts(name, owned.owner.token, &owned.tenure));
        self.fleet.take_if(|owned| !lasts(keys::FLEET, owned.fleet.token, &owned.tenure));
    }

    /// Does what is due now.
    pub(crate) fn step(&mut self) {
        let now = self.node.now();
        self.give_up(now.steady);
        let view = self.node.view();
        let config = view.config.as_ref().map_or(0, |config| config.version);
        self.node.metrics.refused(view.refused);
        drop(view);
        let owned = self.owned.len() + usize::from(self.fleet.is_some());
        self.node.metrics.holds(owned, config);
        self.node.note_owning(owned != 0);
        self.take_up(now);
        self.reach(now);
        self.give(now);
        self.give_if_behind(now);
        self.choose_helpers(now.steady);
        let names: Vec<String> = self.owned.keys().cloned().collect();
        for name in names {
            // Two watches tell of new jobs and new owners: a job may be told of before the owner
            // that came first, though the view knows of both.
            self.check_owner(&name);
            let Some(owned) = self.owned.get_mut(&name) else {
                continue;
            };
            let token = owned.owner.token;
            let mut out = Vec::new();
            owned.owner.set_confirmed(owned.tenure.confirmed());
            owned.owner.work(now, &mut out);
            if owned.owner.is_deposed() {
                log::warn!("owner {name}: a worker knows a later owner than token {token}");
                self.owned.remove(&name);
                continue;
            }
            let counts = owned.owner.take_counts();
            self.node.metrics.counted(&counts);
            owned.tally.again(counts.again);
            self.carry_out(&name, token, out);
            self.save(&name, now);
            self.write_roster(&name, now);
            self.remove_finished(&name, now);
            self.tell_empty(&name, now);
            self.tell_usage(&name, now);
            self.tell_queued(&name, now);
            self.ask_confirmation(&name, now);
            self.tell_of_unknown(&name, now);
        }
        self.ask_fleet_confirmation(now);
        self.fleet_step(now);
        self.summarize(now);
    }

    /// Tells now and then what the owned pools do.
    fn summarize(&mut self, now: Now) {
        if now.steady < self.next_summary {
            return;
        }
        self.next_summary = now.steady.after(SUMMARY_MS);
        for (name, owned) in &self.owned {
            let s = owned.owner.summary();
            let (used, room) = (s.used / 1000, s.room / 1000);
            let (held, told) = (owned.owner.held(now), owned.tally.tell());
            log::info!(
                "owner {name}: {} jobs, {} tasks wait, {used} of {room} cores, {} of {} workers; \
                 {} take work, {} not asked yet, {} tasks held back; \
                 {} orders on their way, {} of them own calls, {} again, {} refused, {} unanswered",
                s.jobs,
                s.waiting,
                s.touched,
                s.workers,
                held.takers,
                held.unasked,
                held.tasks,
                told.under_way,
                told.own,
                told.again,
                told.refused,
                told.unanswered
            );
        }
    }

    /// Starts to act on what was won, once the view has come so far.
    fn take_up(&mut self, now: Now) {
        let view = self.node.view();
        let known: Vec<String> = self
            .won
            .iter()
            .filter(|(_, won)| won.token <= view.known.0)
            .map(|(name, _)| name.clone())
            .collect();
        drop(view);
        for name in known {
            let Some(Won { token, earlier, tenure }) = self.won.remove(&name) else {
                continue;
            };
            if !self.node.view().owns(&name, token) || self.leaving {
                continue;
            }
            if name == keys::FLEET {
                self.log_taken_up(&name, token, earlier, now);
                let fleet = Fleet::new(token, self.node.settings.sizing, now.steady);
                let (waves, demands) = (BTreeMap::new(), Demands::default());
                self.fleet = Some(OwnedFleet { fleet, tenure, waves, demands });
            } else if let Some(pool) = name.strip_prefix("pool-").and_then(|pool| pool.parse().ok())
            {
                self.take_up_pool(&name, pool, Won { token, earlier, tenure }, now);
            }
        }
    }

    fn log_taken_up(&self, name: &str, token: u64, earlier: u32, now: Now) {
        let age = self.node.view().ages.of(keys::ROOT, now.steady).unwrap_or_default();
        log::info!(
            "owner {name}: taken up: token {token}, {earlier} owners before, records {age} ms old"
        );
    }

    fn take_up_pool(&mut self, name: &str, pool: PoolId, won: Won, now: Now) {
        let Won { token, earlier, tenure } = won;
        let mut owner = Owner::new(token, earlier, now.steady);
        let view = self.node.view();
        let mut out = Vec::new();
        let others = view.rostered_by_others(name);
        let mut workers: Vec<(Revision, WorkerReport)> = view
            .workers
            .values()
            .filter(|at| at.value.pool == pool && !others.contains(&at.value.id))
            .map(|at| (at.revision, at.value.clone()))
            .collect();
        workers.sort_by_key(|(revision, _)| *revision);
        // Workers may run what earlier owners gave them, listed or not.
        let roster = view.roster(name);
        let away = view.away.get(name).cloned();
        let away_at = away.as_ref().map(|at| at.revision).unwrap_or_default();
        let away = away.map(|at| at.value).unwrap_or_default();
        owner.inherit(roster, &away, now, &mut out);
        let elsewhere = view.workers.values().filter(|at| at.value.pool != pool);
        for at in elsewhere {
            owner.handle(Event::Elsewhere(at.value.clone()), now, &mut out);
        }
        for (_, report) in workers {
            owner.handle(Event::Worker(report), now, &mut out);
        }
        for id in view.barred.keys() {
            owner.handle(Event::Barred(id.clone()), now, &mut out);
        }
        for (id, known) in &view.jobs {
            if let Some(stored) = known.stored(*id).filter(|stored| stored.record.pool == pool) {
                owner.handle(Event::Job(stored), now, &mut out);
            }
        }
        owner.set_emptying(news::marks(&view, &pool));
        // All jobs up to the token were told, and it was won after that was sent.
        let word_at = view.queued.get(name).map(|at| at.revision).unwrap_or_default();
        let word = Word::new(word_at, tenure.confirmed(), Revision(token));
        drop(view);
        self.log_taken_up(name, token, earlier, now);
        let over = CancellationToken::new();
        mirror::follow(&self.node, name, token, over.clone(), &self.to);
        let owned = Owned {
            pool,
            owner,
            tenure,
            helpers: Helpers::default(),
            tally: Arc::default(),
            _following: over.drop_guard(),
            saving: 0,
            next_save: now.steady,
            told_empty: BTreeMap::new(),
            rostering: false,
            next_roster: now.steady,
            away_at,
            removing: false,
            next_removal: now.steady,
            told_usage: None,
            next_usage: now.steady,
            word,
            next_confirmation: now.steady,
        };
        self.owned.insert(name.to_owned(), owned);
        // The first look at each worker goes out with this step: a node that owns a large pool has the
        // time for a fifth of these calls, and late ones show living workers as silent.
        self.next_helpers = now.steady;
        self.carry_out(name, token, out);
    }
}

/// How long after a decision that took so long the next one may be made.
fn pause_after(took: Duration) -> Duration {
    (STEP_REST * took).clamp(STEP_PAUSE, STEP_MOST_PAUSE)
}

pub(crate) fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Records of ours hold nothing that JSON cannot.
    serde_json::to_vec(value).unwrap_or_default()
}
