//! Stateful fuzzing of the view: a node hears the store's changes by its watch, by whole reads and
//! by peers whose views are older, late, twice, out of order and with parts lost.

use std::collections::BTreeMap;

use bolero::TypeGenerator;

use crate::{
    model::{
        config::{Change, ChangeRecord, ConfigBase, Team},
        host::{HostRecord, HostState},
        id::{HostId, TeamId},
        record::{Key, Record},
        unit::{Epoch, PerSecond, Revision, Time},
    },
    node::view::View,
    platform::store::Entry,
    tests::fuzz,
};

const VIEWS: usize = 3;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// An operator's change of the configuration is accepted.
    Accept { rate: u8 },
    /// A host's record is written again.
    Touch,
    /// Old changes are folded into the base, and deleted.
    Fold,
    /// A node's watch delivers so many changes.
    Watch { view: u8, count: u8 },
    /// A node reads everything.
    Load { view: u8 },
    /// A node's message to another, with all that it holds since some revision, is on its way.
    Push { from: u8, to: u8, since: u8 },
    /// One of the messages under way arrives, and may come again.
    Arrive { message: u8, again: bool },
    /// A node is replaced by one that knows nothing.
    Replace { view: u8 },
}

struct Message {
    to: usize,
    from: Revision,
    until: Revision,
    entries: Vec<Entry>,
}

#[derive(Default)]
struct World {
    revision: u64,
    store: BTreeMap<String, Entry>,
    log: Vec<Entry>,
    /// The truth: the rate after each change.
    rates: Vec<u32>,
    base: u64,
    views: Vec<View>,
    /// The newest change that each view ever had in force.
    through: Vec<u64>,
    epoch: u64,
    /// The newest epoch of the host that each view ever held.
    epochs: Vec<u64>,
    messages: Vec<Message>,
}

/// Changes take turns, so that one that is left out shows.
fn team(number: u64) -> TeamId {
    format!("team-{}", number % 2).parse().unwrap()
}

fn host() -> HostId {
    "host".parse().unwrap()
}

impl World {
    fn write(&mut self, key: &Key, record: Option<Record>) {
        self.revision += 1;
        let (path, revision) = (key.path(), Revision(self.revision));
        let value = record.map(|record| record.to_json().into());
        let entry = Entry { key: path.clone(), revision, value };
        self.log.push(entry.clone());
        match entry.value {
            Some(_) => self.store.insert(path, entry),
            None => self.store.remove(&path),
        };
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Accept { rate } => {
                let number = self.rates.len() as u64 + 1;
                let rate = u32::from(rate) + 1;
                self.rates.push(rate);
                let mut change = Change::default();
                change.teams.insert(team(number), Some(Team { rate: PerSecond(rate) }));
                let op = "op".parse().unwrap();
                let at = Time::default();
                let record = ChangeRecord { op, by: String::new(), at, change };
                self.write(&Key::Change(number), Some(Record::Change(number, record)));
            }
            Op::Touch => {
                self.epoch += 1;
                let record = HostRecord {
                    pool: "pool".parse().unwrap(),
                    state: HostState::Serving,
                    epoch: Epoch(self.epoch),
                    since: Time::default(),
                    op: "op".parse().unwrap(),
                    plan: None,
                    ended: Vec::new(),
                };
                self.write(&Key::Host(host()), Some(Record::Host(host(), record)));
            }
            Op::Fold => self.fold(),
            Op::Watch { view, count } => self.watch(usize::from(view) % VIEWS, count),
            Op::Load { view } => {
                let entries = self.store.values().cloned().collect();
                self.views[usize::from(view) % VIEWS].replace(entries, Revision(self.revision));
            }
            Op::Push { from, to, since } => {
                let view = &self.views[usize::from(from) % VIEWS];
                let since = Revision(u64::from(since).min(view.complete.0));
                let (from, entries) = view.since(since);
                let (to, until) = (usize::from(to) % VIEWS, view.complete);
                self.messages.push(Message { to, from, until, entries });
            }
            Op::Arrive { message, again } => {
                if self.messages.is_empty() {
                    return;
                }
                let at = usize::from(message) % self.messages.len();
                let Message { to, from, until, entries } = &self.messages[at];
                self.views[*to].extend(*from, *until, entries.clone());
                if !again {
                    self.messages.remove(at);
                }
            }
            Op::Replace { view } => {
                self.views[usize::from(view) % VIEWS] = View::default();
                self.through[usize::from(view) % VIEWS] = 0;
                self.epochs[usize::from(view) % VIEWS] = 0;
            }
        }
    }

    fn fold(&mut self) {
        let through = self.rates.len() as u64;
        if through == self.base {
            return;
        }
        let mut base = ConfigBase { through, ..ConfigBase::default() };
        base.config.teams = self.truth(through);
        self.write(&Key::Base, Some(Record::Base(base)));
        for number in self.base + 1..=through {
            self.write(&Key::Change(number), None);
        }
        self.base = through;
    }

    /// The teams after so many changes.
    fn truth(&self, through: u64) -> BTreeMap<TeamId, Team> {
        let changes = (1..=through).zip(&self.rates);
        changes.map(|(number, rate)| (team(number), Team { rate: PerSecond(*rate) })).collect()
    }

    fn watch(&mut self, view: usize, count: u8) {
        let view = &mut self.views[view];
        let from = view.complete;
        let next = self.log.iter().filter(|entry| from < entry.revision);
        let entries: Vec<Entry> = next.take(usize::from(count % 8)).cloned().collect();
        if let Some(to) = entries.last().map(|entry| entry.revision) {
            view.extend(from, to, entries);
        }
    }

    /// The oracle: no view goes back, and each has the rate of the change that it says is in force.
    fn check(&mut self) {
        let known = self.views.iter().map(|view| view.fleet.through);
        let truths: BTreeMap<u64, _> = known.map(|at| (at, self.truth(at))).collect();
        let kept = self.through.iter_mut().zip(&mut self.epochs);
        for (view, (through, held)) in self.views.iter().zip(kept) {
            let fleet = &view.fleet;
            assert!(*through <= fleet.through, "went back from {through} to {}", fleet.through);
            *through = fleet.through;
            assert_eq!(fleet.config.teams, truths[&fleet.through], "at {}", fleet.through);
            let epoch = fleet.hosts.get(&host()).map_or(0, |record| record.epoch.0);
            assert!(*held <= epoch, "host went back from epoch {held} to {epoch}");
            *held = epoch;
            if view.complete.0 == self.revision {
                assert_eq!(fleet.through, self.rates.len() as u64, "complete, but behind");
            }
        }
    }
}

#[test]
fn no_view_goes_back_whatever_arrives() {
    fuzz(2000, 120, |ops: &[Op]| {
        let views = (0..VIEWS).map(|_| View::default()).collect();
        let mut world =
            World { views, through: vec![0; VIEWS], epochs: vec![0; VIEWS], ..World::default() };
        for op in ops {
            world.apply(*op);
            world.check();
        }
        // Whatever was lost, a whole read brings everything.
        for view in 0..VIEWS as u8 {
            world.apply(Op::Load { view });
        }
        world.check();
    });
}
