//! Stateful fuzzing of the view: a node receives the store's changes by its watch, by full reads
//! and by messages of peers that are outdated, late, duplicated, reordered or lost.

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
    /// A change of the configuration is accepted.
    Accept { rate: u8 },
    /// A host's record is written with the next epoch.
    WriteHost,
    /// All changes are folded into the base, and deleted.
    Fold,
    /// A node's watch delivers up to `count % 8` changes.
    Watch { view: u8, count: u8 },
    /// A node reads the whole store.
    Load { view: u8 },
    /// A node sends another one all that it holds after some revision.
    Push { from: u8, to: u8, since: u8 },
    /// A message in flight is delivered; with `again`, it stays in flight to be delivered again.
    Deliver { message: u8, again: bool },
    /// A node is replaced by one with an empty view.
    Replace { view: u8 },
}

struct Message {
    to: usize,
    from: Revision,
    until: Revision,
    entries: Vec<Entry>,
}

#[derive(Default)]
struct Harness {
    revision: u64,
    store: BTreeMap<String, Entry>,
    log: Vec<Entry>,
    /// Oracle: the rate set by each change.
    rates: Vec<u32>,
    base: u64,
    views: Vec<View>,
    /// The newest change that was ever in force in each view.
    through: Vec<u64>,
    epoch: u64,
    /// The newest epoch of the host that was ever in each view.
    epochs: Vec<u64>,
    messages: Vec<Message>,
}

/// Changes alternate between two teams, so that a missing one is detected.
fn team(number: u64) -> TeamId {
    format!("team-{}", number % 2).parse().unwrap()
}

fn host() -> HostId {
    "host".parse().unwrap()
}

impl Harness {
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
            Op::WriteHost => {
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
            Op::Deliver { message, again } => {
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
        base.config.teams = self.expected_teams(through);
        self.write(&Key::Base, Some(Record::Base(base)));
        for number in self.base + 1..=through {
            self.write(&Key::Change(number), None);
        }
        self.base = through;
    }

    /// The expected teams after the given number of changes.
    fn expected_teams(&self, through: u64) -> BTreeMap<TeamId, Team> {
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

    /// Checks that no view goes back, and that each has the teams of the change that it reports in
    /// force.
    fn check(&mut self) {
        let known = self.views.iter().map(|view| view.fleet.through);
        let expected: BTreeMap<u64, _> = known.map(|at| (at, self.expected_teams(at))).collect();
        let newest = self.through.iter_mut().zip(&mut self.epochs);
        for (view, (through, last_epoch)) in self.views.iter().zip(newest) {
            let fleet = &view.fleet;
            assert!(*through <= fleet.through, "went back from {through} to {}", fleet.through);
            *through = fleet.through;
            assert_eq!(fleet.config.teams, expected[&fleet.through], "at {}", fleet.through);
            let epoch = fleet.hosts.get(&host()).map_or(0, |record| record.epoch.0);
            assert!(*last_epoch <= epoch, "host went back from epoch {last_epoch} to {epoch}");
            *last_epoch = epoch;
            if view.complete.0 == self.revision {
                assert_eq!(
                    fleet.through,
                    self.rates.len() as u64,
                    "the view is complete, but lacks changes"
                );
            }
        }
    }
}

#[test]
fn views_never_go_back_on_late_reordered_or_lost_updates() {
    fuzz(2000, 120, |ops: &[Op]| {
        let views = (0..VIEWS).map(|_| View::default()).collect();
        let mut harness = Harness {
            views,
            through: vec![0; VIEWS],
            epochs: vec![0; VIEWS],
            ..Harness::default()
        };
        for op in ops {
            harness.apply(*op);
            harness.check();
        }
        // After any loss, a full read restores everything.
        for view in 0..VIEWS as u8 {
            harness.apply(Op::Load { view });
        }
        harness.check();
    });
}
