//! Feeds the owners of pools with what happens, and carries out what they want done.

use std::{
    collections::{BTreeMap, BTreeSet},
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
        balance::{self, Capacity},
        event::{Effect, Event, Save},
        fleet::{Fleet, Leave},
        owner::{Emptied, Owner},
    },
    model::{
        id::{HostId, PoolId},
        unit::{Millicores, Now, Revision, Steady},
        worker::{ListedHost, OrderEnd, WorkerReport},
    },
    platform::{
        advice::{Advised, Adviser},
        kv::{Committed, TXN_ENTRIES, Txn},
        machines::Machines,
        runner::Runners,
        store::LeaseId,
    },
    scheduler::{
        Node, keys,
        lease::Lease,
        mirror,
        view::{Delta, EmptyRecord, OwnerRecord, RosterRecord, TermRecord, View},
    },
};

/// How often owners look at the time when nothing else happens.
const TICK: Duration = Duration::from_millis(100);

/// The least time between two decisions: what happens meanwhile is decided on together. A decision
/// looks at all open jobs, and at hundreds of events a second each would cost more than the orders.
const STEP_PAUSE: Duration = Duration::from_millis(4);

/// Jobs in one transaction: each needs a condition and a write, beside the one of the owner.
const SAVE_BATCH: usize = (TXN_ENTRIES - 1) / 2;

/// Writes of one owner's progress that may be on their way at one time: with one, an owner kept a
/// thousand jobs a second at the most, and a peak changes more.
const MOST_SAVES: usize = 4;

/// The least time between two writes of one owner's progress, in milliseconds: ends that come
/// close together share one.
const SAVE_PAUSE_MS: u64 = 5;

/// How long after a write that failed the next is made, in milliseconds.
const SAVE_AGAIN_MS: u64 = 100;

/// How long a node waits, for each node that should own a piece of work before it, before it
/// reaches for it, in milliseconds: two nodes' views differ by up to that much.
const REACH_STEP_MS: u64 = 60;

/// The most nodes that are waited for: some may be away, and work must not wait for long.
const REACH_MOST_STEPS: usize = 8;

/// How long a node keeps its work before it may give some of it away, in milliseconds: the view
/// of the nodes is to be whole, and each change of owners costs a pause.
const GIVE_AFTER_MS: u64 = 2_500;

/// How long after a failed try the next is made, in milliseconds.
const REACH_AGAIN_MS: u64 = 300;

/// The least time between two words on which hosts are idle, in milliseconds: a hint only.
const IDLE_PAUSE_MS: u64 = 300;

/// How long after an empty host was told of it is told again if the view does not show it, in
/// milliseconds.
const EMPTY_AGAIN_MS: u64 = 700;

/// How often the owned pools are told of in the log, in milliseconds.
const SUMMARY_MS: u64 = 1_000;

/// What the loop is told.
pub(crate) enum Input {
    Deltas(Vec<Delta>),
    /// What became of an owner's order.
    Owner {
        name: String,
        token: u64,
        event: Box<Event>,
    },
    /// What became of a try to own a piece of work.
    Reached {
        name: String,
        won: Option<(u64, u32)>,
    },
    /// What became of a write of progress.
    Saved {
        name: String,
        token: u64,
        saves: Vec<Save>,
        end: SaveEnd,
    },
    /// Whether a roster was written.
    Rostered {
        name: String,
        token: u64,
        workers: Vec<WorkerReport>,
        kept: bool,
    },
    /// What became of a read of the list of hosts.
    HostList {
        token: u64,
        sent: Steady,
        hosts: Option<Vec<ListedHost>>,
    },
    /// What became of a call that changes a host: whether it was begun for certain.
    HostCalled {
        token: u64,
        host: HostId,
        leave: Leave,
        begun: Option<bool>,
    },
    /// The node is to give back all that it owns.
    Leave,
}

/// How a write of progress ended.
pub(crate) enum SaveEnd {
    Done(Revision),
    /// There is a later owner.
    Deposed,
    /// These were written by an earlier try; the others were not.
    Rebase(Vec<(usize, Revision)>),
    Failed,
}

/// A piece of work that this node owns.
struct Owned {
    pool: PoolId,
    owner: Owner,
    /// Ends the owner's own watch with it.
    _following: DropGuard,
    /// Writes of progress on their way.
    saving: usize,
    /// When the next write may be made.
    next_save: Steady,
    /// Hosts that were told to be empty.
    told_empty: BTreeMap<HostId, (Emptied, Steady)>,
    /// Whether a roster is being written.
    rostering: bool,
    /// The idle hosts that were last written.
    told_idle: Option<BTreeSet<HostId>>,
    /// When they are next looked for.
    next_idle: Steady,
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
    owned: BTreeMap<String, Owned>,
    pub(super) fleet: Option<Fleet>,
    pub(super) next_fleet: Steady,
    next_summary: Steady,
    pub(super) machines: Machines,
    /// Won, but not yet seen in the view: name, token, owners before.
    won: BTreeMap<String, (u64, u32)>,
    vacant: BTreeMap<String, Vacancy>,
    /// Work may be given away from then on.
    next_give: Steady,
    pub(super) to: mpsc::UnboundedSender<Input>,
    leaving: bool,
}

impl Drive {
    /// The loop of a node.
    pub(crate) fn new(
        node: Arc<Node>,
        lease: Arc<Lease>,
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
            runners: Runners::new(),
            adviser,
            // The service answers one question of a node at a time.
            advising: Arc::new(Semaphore::new(1)),
            owned: BTreeMap::new(),
            fleet: None,
            next_fleet: Steady::default(),
            next_summary: Steady::default(),
            machines,
            won: BTreeMap::new(),
            vacant: BTreeMap::new(),
            next_give: Steady::default(),
            to,
            leaving: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self, mut from: mpsc::UnboundedReceiver<Input>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stepped = Instant::now();
        loop {
            tokio::select! {
                input = from.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                    let early = STEP_PAUSE.saturating_sub(stepped.elapsed());
                    if !early.is_zero() {
                        sleep(early).await;
                    }
                    while let Ok(more) = from.try_recv() {
                        self.take(more);
                    }
                }
                _ = tick.tick() => {}
            }
            self.step();
            stepped = Instant::now();
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.node.now();
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
            Input::Reached { name, won } => {
                if let Some(vacancy) = self.vacant.get_mut(&name) {
                    vacancy.reaching = false;
                    vacancy.not_before = now.steady.after(REACH_AGAIN_MS);
                }
                if let Some(won) = won {
                    self.next_give = now.steady.after(GIVE_AFTER_MS);
                    self.won.insert(name, won);
                }
            }
            Input::Saved { name, token, saves, end } => self.saved(&name, token, &saves, end, now),
            Input::Rostered { name, token, workers, kept } => {
                let owned = self.owned.get_mut(&name);
                if let Some(owned) = owned.filter(|owned| owned.owner.token == token) {
                    owned.rostering = false;
                    if kept {
                        owned.owner.rostered(&workers);
                    }
                }
            }
            Input::HostList { token, sent, hosts } => {
                if let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.token == token) {
                    fleet.heard_list(sent, hosts);
                }
            }
            Input::HostCalled { token, host, leave, begun } => {
                if let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.token == token) {
                    fleet.called(&host, leave, begun, now.steady);
                }
            }
            Input::Leave => self.leave(),
        }
    }

    fn heard(&mut self, delta: Delta, now: Now) {
        match delta {
            Delta::Job(id) => {
                let stored = self.node.view().jobs.get(&id).and_then(|known| known.stored(id));
                if let Some(stored) = stored {
                    let name = keys::pool(&stored.record.pool);
                    self.tell(&name, Event::Job(stored), now);
                }
            }
            Delta::Removed(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.tell(&name, Event::Removed(id), now);
                }
            }
            Delta::Cancelled(id) => {
                let known = self.node.view().jobs.get(&id).cloned();
                let record = known.as_ref().filter(|known| known.cancelled);
                let record = record.and_then(|known| known.record.as_ref());
                if let Some(record) = record {
                    let name = keys::pool(&record.value.pool);
                    self.tell(&name, Event::Cancelled(id), now);
                }
            }
            Delta::Worker(report) => {
                let own = keys::pool(&report.pool);
                let others: Vec<String> =
                    self.owned.keys().filter(|name| **name != own).cloned().collect();
                for name in others {
                    self.tell(&name, Event::Elsewhere(report.clone()), now);
                }
                self.tell(&own, Event::Worker(report), now);
            }
            Delta::Unlisted(id) => {
                let names: Vec<String> = self.owned.keys().cloned().collect();
                for name in names {
                    self.tell(&name, Event::Unlisted(id.clone()), now);
                }
            }
            Delta::Owner(name) => self.check_owner(&name),
            Delta::Leave => self.set_emptying(),
            Delta::Config => {}
        }
    }

    fn tell(&mut self, name: &str, event: Event, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let (mut out, token) = (Vec::new(), owned.owner.token);
        owned.owner.handle(event, now, &mut out);
        self.carry_out(name, token, out);
    }

    /// Gives up what the store says is owned by another, or by nobody.
    fn check_owner(&mut self, name: &str) {
        if name == keys::FLEET
            && let Some(fleet) = &self.fleet
            && !self.node.view().owns(name, fleet.token)
        {
            log::warn!("owner {name}: token {} is over", fleet.token);
            self.fleet = None;
        }
        let Some(owned) = self.owned.get(name) else {
            return;
        };
        if !self.node.view().owns(name, owned.owner.token) {
            log::warn!("owner {name}: token {} is over", owned.owner.token);
            self.owned.remove(name);
        }
    }

    fn set_emptying(&mut self) {
        let view = self.node.view();
        for owned in self.owned.values_mut() {
            let hosts = marks(&view, &owned.pool);
            owned.owner.set_emptying(hosts.clone());
            owned.told_empty.retain(|host, _| hosts.contains_key(host));
        }
    }

    /// Does what is due now.
    fn step(&mut self) {
        let now = self.node.now();
        let config = self.node.view().config.as_ref().map_or(0, |config| config.version);
        let owned = self.owned.len() + usize::from(self.fleet.is_some());
        self.node.metrics.holds(owned, config);
        self.take_up(now);
        self.reach(now);
        self.give(now);
        if !self.lease.allows_orders(now.steady) {
            // Another node owns it by now: no order is given until the lease is known to hold.
            return;
        }
        let names: Vec<String> = self.owned.keys().cloned().collect();
        for name in names {
            let Some(owned) = self.owned.get_mut(&name) else {
                continue;
            };
            let token = owned.owner.token;
            let mut out = Vec::new();
            owned.owner.work(now, &mut out);
            if owned.owner.is_deposed() {
                log::warn!("owner {name}: a worker knows a later owner than token {token}");
                self.owned.remove(&name);
                continue;
            }
            self.carry_out(&name, token, out);
            self.save(&name, now);
            self.write_roster(&name);
            self.tell_empty(&name, now);
            self.tell_idle(&name, now);
        }
        if self.lease.held(now.steady).is_some() {
            self.fleet_step(now);
        }
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
            log::info!(
                "owner {name}: {} jobs, {} tasks wait, {used} of {room} cores, {} of {} workers",
                s.jobs,
                s.waiting,
                s.touched,
                s.workers
            );
        }
    }

    /// Starts to act on what was won, once the view has come so far.
    fn take_up(&mut self, now: Now) {
        let view = self.node.view();
        let known: Vec<String> = self
            .won
            .iter()
            .filter(|(_, (token, _))| *token <= view.known.0)
            .map(|(name, _)| name.clone())
            .collect();
        drop(view);
        for name in known {
            let Some((token, earlier)) = self.won.remove(&name) else {
                continue;
            };
            if !self.node.view().owns(&name, token) || self.leaving {
                continue;
            }
            if name == keys::FLEET {
                log::info!("owner {name}: taken up: token {token}, {earlier} owners before");
                self.fleet = Some(Fleet::new(token, self.node.settings.sizing, now.steady));
            }
            if let Some(pool) = name.strip_prefix("pool-").and_then(|pool| pool.parse().ok()) {
                self.take_up_pool(&name, pool, token, earlier, now);
            }
        }
    }

    fn take_up_pool(&mut self, name: &str, pool: PoolId, token: u64, earlier: u32, now: Now) {
        let mut owner = Owner::new(token, earlier, now.steady);
        let view = self.node.view();
        let mut out = Vec::new();
        let mut workers: Vec<(Revision, WorkerReport)> = view
            .workers
            .values()
            .filter(|at| at.value.pool == pool)
            .map(|at| (at.revision, at.value.clone()))
            .collect();
        workers.sort_by_key(|(revision, _)| *revision);
        // Workers may run what earlier owners gave them, listed or not.
        let roster = view.rosters.get(name).map(|at| at.value.workers.clone()).unwrap_or_default();
        for report in roster {
            let id = report.id.clone();
            owner.handle(Event::Worker(report), now, &mut out);
            owner.handle(Event::Unlisted(id), now, &mut out);
        }
        let elsewhere = view.workers.values().filter(|at| at.value.pool != pool);
        for at in elsewhere {
            owner.handle(Event::Elsewhere(at.value.clone()), now, &mut out);
        }
        for (_, report) in workers {
            owner.handle(Event::Worker(report), now, &mut out);
        }
        for (id, known) in &view.jobs {
            if let Some(stored) = known.stored(*id).filter(|stored| stored.record.pool == pool) {
                owner.handle(Event::Job(stored), now, &mut out);
            }
        }
        owner.set_emptying(marks(&view, &pool));
        drop(view);
        log::info!("owner {name}: taken up: token {token}, {earlier} owners before");
        let over = CancellationToken::new();
        mirror::follow(&self.node, name, token, over.clone(), &self.to);
        let owned = Owned {
            pool,
            owner,
            _following: over.drop_guard(),
            saving: 0,
            next_save: now.steady,
            told_empty: BTreeMap::new(),
            rostering: false,
            told_idle: None,
            next_idle: now.steady,
        };
        self.owned.insert(name.to_owned(), owned);
        self.carry_out(name, token, out);
    }

    /// Tries to own what nobody does.
    fn reach(&mut self, now: Now) {
        let Some(lease) = self.lease.held(now.steady) else {
            return;
        };
        if self.leaving {
            return;
        }
        let names = self.vacancies();
        self.vacant.retain(|name, vacancy| vacancy.reaching || names.contains(name));
        if names.is_empty() {
            return;
        }
        let nodes = self.nodes();
        for name in names {
            let vacancy = self.vacant.entry(name.clone()).or_insert(Vacancy {
                since: now.steady,
                reaching: false,
                not_before: now.steady,
            });
            let cost = costs(&self.node.view(), &name);
            let rank = balance::rank(&nodes, self.node.settings.node.as_str(), cost);
            let turn = vacancy.since.after(rank.min(REACH_MOST_STEPS) as u64 * REACH_STEP_MS);
            if vacancy.reaching || now.steady < turn || now.steady < vacancy.not_before {
                continue;
            }
            vacancy.reaching = true;
            self.reach_for(name, lease);
            // One at a time: the next waits until this one counts.
            return;
        }
    }

    /// The nodes that may own work, with what they own by the view; of this one, with all that it
    /// has won or reaches for.
    fn nodes(&self) -> BTreeMap<String, Capacity> {
        let view = self.node.view();
        let none = Millicores(0);
        let mut nodes: BTreeMap<String, Capacity> = view
            .nodes
            .iter()
            .map(|(name, at)| (name.clone(), Capacity { cpu: at.value.cpu, used: none }))
            .collect();
        for (name, owner) in &view.owners {
            if let Some(node) = nodes.get_mut(&owner.value.node) {
                node.used.0 += costs(&view, name).0;
            }
        }
        let fleet = self.fleet.iter().map(|_| keys::FLEET);
        let reaching = self.vacant.iter().filter(|(_, vacancy)| vacancy.reaching);
        let own: BTreeSet<&str> = (self.owned.keys().chain(self.won.keys()))
            .chain(reaching.map(|(name, _)| name))
            .map(String::as_str)
            .chain(fleet)
            .collect();
        let used = own.iter().map(|name| costs(&view, name).0).sum();
        let mine = Capacity { cpu: self.node.settings.cpu, used: Millicores(used) };
        nodes.insert(self.node.settings.node.to_string(), mine);
        nodes
    }

    /// Gives a pool away if this node is busy and another would be clearly less so.
    fn give(&mut self, now: Now) {
        if now.steady < self.next_give || self.leaving || self.lease.held(now.steady).is_none() {
            return;
        }
        self.next_give = now.steady.after(GIVE_AFTER_MS);
        let nodes = self.nodes();
        let view = self.node.view();
        let owned = self.owned.keys().map(|name| (name.as_str(), costs(&view, name))).collect();
        let me = self.node.settings.node.as_str();
        let name = balance::to_give(&nodes, me, &owned).map(str::to_owned);
        drop(view);
        let Some(name) = name else {
            return;
        };
        if let Some(owned) = self.owned.remove(&name) {
            log::info!("owner {name}: to be given to a node with more processor time");
            // Others come first, also if this one is told of it first.
            let not_before = now.steady.after(REACH_AGAIN_MS);
            let since = now.steady;
            self.vacant.insert(name.clone(), Vacancy { since, reaching: false, not_before });
            self.give_back(name, owned.owner.token);
        }
    }

    /// The pieces of work that nobody owns, or this node without acting on it.
    fn vacancies(&self) -> BTreeSet<String> {
        let view = self.node.view();
        let Some(config) = view.is_ready().then_some(view.config.as_ref()).flatten() else {
            return BTreeSet::new();
        };
        let pools = config.pools.keys().map(keys::pool);
        let names = pools.chain([keys::FLEET.to_owned()]);
        names
            .filter(|name| !self.owned.contains_key(name) && !self.won.contains_key(name))
            .filter(|name| name != keys::FLEET || self.fleet.is_none())
            .filter(|name| match view.owners.get(name) {
                None => true,
                // An earlier life of this node won it, or this one did and was not told.
                Some(owner) => owner.value.node == self.node.settings.node.as_str(),
            })
            .collect()
    }

    fn reach_for(&self, name: String, lease: LeaseId) {
        let view = self.node.view();
        let term = view.terms.get(&name).cloned();
        let held = view.owners.get(&name).map(|owner| owner.revision).unwrap_or_default();
        drop(view);
        let count = term.as_ref().map(|term| term.value.count).unwrap_or_default();
        let record = OwnerRecord { node: self.node.settings.node.to_string(), life: self.life };
        let (owner_key, term_key) = (keys::owner(&name), keys::term(&name));
        let txn = Txn::default()
            .expect(owner_key.clone(), held)
            .expect(term_key.clone(), term.map(|term| term.revision).unwrap_or_default())
            .put_leased(&owner_key, json(&record), lease)
            .put(term_key, json(&TermRecord { count: count + 1 }));
        let (node, to) = (self.node.clone(), self.to.clone());
        tokio::spawn(async move {
            let won = match node.kv.commit(&txn).await {
                Ok(Committed::Done(revision)) => Some((revision.0, count)),
                Ok(Committed::Conflict(_) | Committed::LeaseOver) => None,
                Err(error) => {
                    log::warn!("owner {name}: not reached: {error}");
                    None
                }
            };
            let _ = to.send(Input::Reached { name, won });
        });
    }

    fn save(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_save {
            return;
        }
        let token = owned.owner.token;
        // Beside the first, only full ones: what comes close together shares one.
        while owned.saving == 0 || owned.saving < MOST_SAVES && SAVE_BATCH <= owned.owner.unsaved()
        {
            let saves = owned.owner.saves(SAVE_BATCH);
            if saves.is_empty() {
                return;
            }
            owned.saving += 1;
            let (node, to, name) = (self.node.clone(), self.to.clone(), name.to_owned());
            tokio::spawn(async move {
                let end = write_progress(&node, &name, token, &saves).await;
                let _ = to.send(Input::Saved { name, token, saves, end });
            });
        }
    }

    fn saved(&mut self, name: &str, token: u64, saves: &[Save], end: SaveEnd, now: Now) {
        let Some(owned) = self.owned.get_mut(name).filter(|owned| owned.owner.token == token)
        else {
            return;
        };
        owned.saving = owned.saving.saturating_sub(1);
        owned.next_save = now.steady.after(SAVE_PAUSE_MS);
        match end {
            SaveEnd::Done(revision) => {
                for ended in owned.owner.saved(saves, revision) {
                    self.node.metrics.job_ended(&ended.queue, ended.state, ended.took);
                }
            }
            SaveEnd::Rebase(places) => {
                for (place, revision) in places {
                    owned.owner.rebase(saves[place].job, revision);
                }
                owned.owner.not_saved(saves);
            }
            SaveEnd::Deposed => {
                log::warn!("owner {name}: token {token} is over");
                self.owned.remove(name);
            }
            SaveEnd::Failed => {
                owned.owner.not_saved(saves);
                owned.next_save = now.steady.after(SAVE_AGAIN_MS);
            }
        }
    }

    /// Keeps which workers this owner gives work to.
    fn write_roster(&mut self, name: &str) {
        let Some(owned) = self.owned.get_mut(name).filter(|owned| !owned.rostering) else {
            return;
        };
        let Some(workers) = owned.owner.roster() else {
            return;
        };
        owned.rostering = true;
        let token = owned.owner.token;
        let record = RosterRecord { workers: workers.clone() };
        let txn = Txn::default()
            .expect(keys::owner(name), Revision(token))
            .put(keys::roster(name), json(&record));
        let (node, to, name) = (self.node.clone(), self.to.clone(), name.to_owned());
        tokio::spawn(async move {
            let kept = match node.kv.commit(&txn).await {
                Ok(committed) => matches!(committed, Committed::Done(_)),
                Err(error) => {
                    log::warn!("owner {name}: roster not written: {error}");
                    false
                }
            };
            let _ = to.send(Input::Rostered { name, token, workers, kept });
        });
    }

    /// Tells the fleet's owner which hosts are empty.
    fn tell_empty(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        let token = owned.owner.token;
        for emptied in owned.owner.emptied() {
            let host = emptied.host.clone();
            let told = owned.told_empty.get(&host);
            let lately = |(was, at): &(Emptied, Steady)| {
                *was == emptied && now.steady.since(*at) < EMPTY_AGAIN_MS
            };
            let shown = self.node.view().empties.get(&host).is_some_and(|at| {
                at.value.mark == emptied.mark && at.value.worker == emptied.worker
            });
            if shown || told.is_some_and(lately) {
                continue;
            }
            let record = EmptyRecord { worker: emptied.worker.clone(), mark: emptied.mark };
            let txn = Txn::default()
                .expect(keys::owner(name), Revision(token))
                .expect(keys::leave(&host), emptied.mark)
                .put(keys::empty(&host), json(&record));
            owned.told_empty.insert(host.clone(), (emptied, now.steady));
            let node = self.node.clone();
            tokio::spawn(async move {
                if let Err(error) = node.kv.commit(&txn).await {
                    log::warn!("host {host}: not told to be empty: {error}");
                }
            });
        }
    }

    /// Tells the fleet's owner which hosts are idle, now and then.
    fn tell_idle(&mut self, name: &str, now: Now) {
        let Some(owned) = self.owned.get_mut(name) else {
            return;
        };
        if now.steady < owned.next_idle {
            return;
        }
        owned.next_idle = now.steady.after(IDLE_PAUSE_MS);
        let idle = owned.owner.idle();
        if owned.told_idle.as_ref() == Some(&idle) {
            return;
        }
        let txn = Txn::default()
            .expect(keys::owner(name), Revision(owned.owner.token))
            .put(keys::idle(name), json(&idle));
        owned.told_idle = Some(idle);
        let (node, name) = (self.node.clone(), name.to_owned());
        tokio::spawn(async move {
            if let Err(error) = node.kv.commit(&txn).await {
                log::debug!("owner {name}: idle hosts not written: {error}");
            }
        });
    }

    fn carry_out(&self, name: &str, token: u64, effects: Vec<Effect>) {
        for effect in effects {
            let (to, name) = (self.to.clone(), name.to_owned());
            let tell = move |event: Event| {
                let _ = to.send(Input::Owner { name, token, event: Box::new(event) });
            };
            self.carry_out_one(effect, tell);
        }
    }

    fn carry_out_one(&self, effect: Effect, tell: impl FnOnce(Event) + Send + 'static) {
        let (node, lease, runners) = (self.node.clone(), self.lease.clone(), self.runners.clone());
        // Between the decision and this moment the process may have been paused.
        let holds = move || lease.allows_orders(node.now().steady);
        let metrics = self.node.metrics.clone();
        let began = Instant::now();
        match effect {
            Effect::Start { to, start } => {
                let (task, run, worker) = (start.task, start.run, to.worker.clone());
                tokio::spawn(async move {
                    let end = match holds() {
                        true => runners.start(&to, &start).await,
                        false => OrderEnd::Refused {
                            why: crate::model::worker::Refusal::Late,
                            clock_ms: None,
                        },
                    };
                    metrics.ordered("start", outcome(&end), began.elapsed());
                    tell(Event::Started { worker, task, run, end });
                });
            }
            Effect::Stop { to, task, run } => {
                tokio::spawn(async move {
                    let end = match holds() {
                        true => runners.stop(&to, task, run).await,
                        false => OrderEnd::Unknown,
                    };
                    metrics.ordered("stop", outcome(&end), began.elapsed());
                    tell(Event::Stopped { worker: to.worker, task, run, end });
                });
            }
            Effect::Look { to, acknowledged, until_ms, wait } => {
                let sent = self.node.now().steady;
                tokio::spawn(async move {
                    let end = match holds() {
                        true => runners.look(&to, acknowledged, until_ms, wait).await,
                        false => OrderEnd::Unknown,
                    };
                    metrics.ordered("look", outcome(&end), began.elapsed());
                    tell(Event::Looked { worker: to.worker, sent, end });
                });
            }
            Effect::Pace { to, task, run, percent } => {
                tokio::spawn(async move {
                    let end = match holds() {
                        true => runners.pace(&to, task, run, percent).await,
                        false => OrderEnd::Unknown,
                    };
                    metrics.ordered("pace", outcome(&end), began.elapsed());
                    tell(Event::Paced { worker: to.worker, task, percent, end });
                });
            }
            Effect::Advise { step, workers, needs } => {
                let (adviser, advising) = (self.adviser.clone(), self.advising.clone());
                let node = self.node.clone();
                tokio::spawn(async move {
                    let turn = advising.acquire().await;
                    let sent = node.now().steady;
                    let end = match &adviser {
                        Some(adviser) => adviser.ask(step, &workers, needs).await,
                        None => Advised::Failed,
                    };
                    drop(turn);
                    tell(Event::Advised { step, asked: workers, sent, end });
                });
            }
        }
    }

    /// Gives back all that the node owns, so that others need not wait for its lease to end.
    fn leave(&mut self) {
        self.leaving = true;
        self.won.clear();
        for (name, owned) in std::mem::take(&mut self.owned) {
            self.give_back(name, owned.owner.token);
        }
        let node = self.node.clone();
        let key = keys::node(node.settings.node.as_str());
        tokio::spawn(async move {
            // Work goes to nodes that stay.
            if let Err(error) = node.kv.commit(&Txn::default().remove(key)).await {
                log::warn!("node {}: still listed: {error}", node.settings.node);
            }
        });
    }

    /// Gives up an ownership in the store.
    fn give_back(&self, name: String, token: u64) {
        log::info!("owner {name}: given back: token {token}");
        let key = keys::owner(&name);
        let txn = Txn::default().expect(key.clone(), Revision(token)).remove(key);
        let node = self.node.clone();
        tokio::spawn(async move {
            if let Err(error) = node.kv.commit(&txn).await {
                log::warn!("owner {name}: not given back: {error}");
            }
        });
    }
}

/// What owning a piece of work costs.
fn costs(view: &View, name: &str) -> Millicores {
    match name.strip_prefix("pool-") {
        Some(pool) => {
            let workers = view.workers.values().filter(|at| at.value.pool.as_str() == pool);
            balance::pool_cost(workers.count())
        }
        None => balance::fleet_cost(),
    }
}

/// Writes progress under the condition that there is no later owner.
async fn write_progress(node: &Node, name: &str, token: u64, saves: &[Save]) -> SaveEnd {
    let owner_key = keys::owner(name);
    let mut txn = Txn::default().expect(owner_key.clone(), Revision(token));
    for save in saves {
        let key = keys::progress(save.job);
        txn = txn.expect(key.clone(), save.expects).put(key, save.value.clone());
    }
    let items = match node.kv.commit(&txn).await {
        Ok(Committed::Done(revision)) => return SaveEnd::Done(revision),
        Ok(Committed::Conflict(items)) => items,
        Ok(Committed::LeaseOver) => return SaveEnd::Failed,
        Err(error) => {
            log::warn!("owner {name}: progress of {} jobs not written: {error}", saves.len());
            return SaveEnd::Failed;
        }
    };
    let owner = items.iter().find(|item| item.key == owner_key);
    if owner.is_none_or(|item| item.revision != Revision(token)) {
        return SaveEnd::Deposed;
    }
    // Only this owner writes there: another revision is that of a write without an answer.
    let moved = saves.iter().enumerate().filter_map(|(place, save)| {
        let key = keys::progress(save.job);
        let item = items.iter().find(|item| item.key == key)?;
        (item.revision != save.expects).then_some((place, item.revision))
    });
    SaveEnd::Rebase(moved.collect())
}

fn outcome<T>(end: &OrderEnd<T>) -> &'static str {
    match end {
        OrderEnd::Done(_) => "done",
        OrderEnd::Refused { .. } => "refused",
        OrderEnd::Unknown => "unanswered",
    }
}

/// The hosts that a pool's owner is to empty, by the revisions of their marks. A host that was
/// marked to come to this pool has come.
fn marks(view: &View, pool: &PoolId) -> BTreeMap<HostId, Revision> {
    let leaves = view.leaves.iter().filter(|(_, at)| at.value != Leave::Move(pool.clone()));
    leaves.map(|(host, at)| (host.clone(), at.revision)).collect()
}

pub(super) fn json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Records of ours hold nothing that JSON cannot.
    serde_json::to_vec(value).unwrap_or_default()
}
