//! Fuzzing of what an owner hears through two watches that lag apart, repeat what was told, and are
//! read anew in pages. The oracle knows which tasks ended, and that their ends are durable: none of
//! them may be started again, by this owner or a later one.

use std::collections::{BTreeMap, BTreeSet};

use bolero::TypeGenerator;

use crate::{
    jobs::{
        event::{Effect, Event},
        owner::Owner,
        roster::Away,
    },
    model::{
        id::{Incarnation, PoolId},
        job::{JobId, JobState, Room, Step, TaskId},
        unit::{Megabytes, Millicores, Now, Revision, Steady, Time},
        worker::{Ended, HowEnded, Look, OrderEnd, Present, WorkerReport},
    },
    platform::kv::Change,
    scheduler::{
        drive::json,
        keys,
        view::{Delta, View},
    },
    tests::{fuzz, sample},
};

/// Jobs of one run at the most.
const MOST_JOBS: u64 = 6;

/// Owners of one run at the most.
const MOST_OWNERS: u32 = 4;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    HandIn,
    /// The owner works, its orders are carried out, and what it wants written is written.
    Work {
        rounds: u8,
    },
    /// The owner's own watch tells of some changes.
    Quick {
        changes: u8,
    },
    /// The mirror's watch tells of some changes.
    General {
        changes: u8,
    },
    /// The mirror reads all anew, and watches on from the first page, which is older than the last.
    Reread {
        older: u8,
    },
    Replace,
}

/// The truth, and the view of one node.
struct World {
    now: u64,
    /// All changes, in their order. The first one's revision is 1.
    history: Vec<Change>,
    view: View,
    quick_at: usize,
    general_at: usize,
    owner: Owner,
    owners: u32,
    jobs: BTreeMap<JobId, Step>,
    runs: BTreeMap<TaskId, u32>,
    ends: Vec<Ended>,
    next_end: u64,
    /// Tasks whose end was acknowledged.
    noted: BTreeSet<TaskId>,
    progress_at: BTreeMap<JobId, Revision>,
}

fn pool() -> PoolId {
    "pool".parse().unwrap()
}

fn report() -> WorkerReport {
    WorkerReport {
        id: "w1".parse().unwrap(),
        host: "h1".parse().unwrap(),
        pool: pool(),
        address: "h1:80".to_owned(),
        zone: "hall-a".parse().unwrap(),
        room: Room { cpu: Millicores(4_000), memory: Megabytes(8_000), gpus: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        leaves_ms: None,
    }
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: 1_000,
            history: Vec::new(),
            view: View::default(),
            quick_at: 0,
            general_at: 0,
            owner: Owner::new(0, 0, Steady::from_millis(0)),
            owners: 0,
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            noted: BTreeSet::new(),
            progress_at: BTreeMap::new(),
        };
        world.replace();
        world
    }

    fn at(&self) -> Now {
        let wall = Time::from_millis(1_000_000 + self.now);
        Now { steady: Steady::from_millis(self.now), wall }
    }

    fn write(&mut self, key: String, value: Option<Vec<u8>>) -> Revision {
        let revision = Revision(self.history.len() as u64 + 1);
        self.history.push(Change { key, revision, value: value.map(Into::into) });
        revision
    }

    /// A node takes the pool up once its mirror has come as far as the ownership.
    fn replace(&mut self) {
        if MOST_OWNERS <= self.owners {
            return;
        }
        let token = self.write(keys::owner(&keys::pool(&pool())), Some(Vec::new()));
        self.general(self.history.len());
        self.owner = Owner::new(token.0, self.owners, Steady::from_millis(self.now));
        self.owners += 1;
        self.quick_at = token.0 as usize;
        let (now, mut out) = (self.at(), Vec::new());
        self.owner.inherit(vec![report()], &Away::default(), now, &mut out);
        self.owner.handle(Event::Worker(report()), now, &mut out);
        for (id, known) in &self.view.jobs {
            if let Some(stored) = known.stored(*id) {
                self.owner.handle(Event::Job(stored), now, &mut out);
            }
        }
        self.carry_out(out);
    }

    fn hand_in(&mut self) {
        let number = self.jobs.len() as u64 + 1;
        if MOST_JOBS < number {
            return;
        }
        let id: JobId = format!("{number:016x}").parse().unwrap();
        let need = Room { cpu: Millicores(1_000), memory: Megabytes(100), gpus: 0 };
        let step = Step { count: 2, need, estimate_ms: 100, ..Step::default() };
        self.jobs.insert(id, step.clone());
        self.write(keys::job(&pool(), id), Some(json(&sample::record(vec![step]))));
    }

    /// Takes in a change, as a node does.
    fn take_in(&mut self, change: Change) {
        let now = self.at();
        let event = match self.view.apply(change) {
            Some(Delta::Job(id)) => {
                self.view.jobs.get(&id).and_then(|known| known.stored(id)).map(Event::Job)
            }
            Some(Delta::Removed(id)) => Some(Event::Removed(id)),
            _ => None,
        };
        let mut out = Vec::new();
        if let Some(event) = event {
            self.owner.handle(event, now, &mut out);
        }
        self.carry_out(out);
    }

    fn quick(&mut self, changes: usize) {
        let until = (self.quick_at + changes).min(self.history.len());
        let prefix = keys::work(&keys::pool(&pool()));
        for place in self.quick_at..until {
            let change = self.history[place].clone();
            if change.key.starts_with(&prefix) {
                self.take_in(change);
            }
        }
        self.quick_at = until;
    }

    fn general(&mut self, changes: usize) {
        let until = (self.general_at + changes).min(self.history.len());
        for place in self.general_at..until {
            self.take_in(self.history[place].clone());
        }
        self.general_at = until;
    }

    /// All is read as it is now, and the watch goes on from an earlier revision, but from none
    /// before the one that it had reached.
    fn reread(&mut self, older: usize) {
        let mut state: BTreeMap<String, Change> = BTreeMap::new();
        for change in &self.history {
            state.insert(change.key.clone(), change.clone());
        }
        let mut there: Vec<Change> =
            state.into_values().filter(|change| change.value.is_some()).collect();
        there.sort_by_key(|change| change.revision);
        for change in there {
            self.take_in(change);
        }
        self.general_at = self.history.len().saturating_sub(older).max(self.general_at);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut effects = effects;
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                if let Some(event) = self.apply(effect) {
                    let now = self.at();
                    self.owner.handle(event, now, &mut next);
                }
            }
            effects = next;
        }
    }

    /// What the worker does with an order, and answers.
    fn apply(&mut self, effect: Effect) -> Option<Event> {
        let clock_ms = 500 + self.now;
        match effect {
            Effect::Start { to, start } => {
                let (task, run) = (start.task, start.run);
                assert!(!self.noted.contains(&task), "{task} is started after its end was noted");
                self.runs.insert(task, run);
                Some(Event::Started { worker: to.worker, task, run, end: OrderEnd::Done(clock_ms) })
            }
            Effect::Stop { to, task, run } => {
                self.runs.remove(&task);
                Some(Event::Stopped { worker: to.worker, task, run, end: OrderEnd::Done(clock_ms) })
            }
            Effect::Look { to, acknowledged, .. } => {
                Some(self.look(to.worker, acknowledged, clock_ms))
            }
            Effect::Pace { .. } | Effect::Advise { .. } => None,
        }
    }

    fn look(&mut self, worker: Incarnation, acknowledged: u64, clock_ms: u64) -> Event {
        for end in &self.ends {
            if end.number <= acknowledged {
                self.noted.insert(end.task);
            }
        }
        self.ends.retain(|end| acknowledged < end.number);
        let present = self.runs.iter().map(|(task, run)| Present {
            task: *task,
            run: *run,
            saved: String::new(),
            percent: 50,
            gauge: 0,
        });
        let look =
            Look { born: None, clock_ms, present: present.collect(), ended: self.ends.clone() };
        let sent = Steady::from_millis(self.now);
        Event::Looked { worker, sent, end: OrderEnd::Done(look) }
    }

    fn work(&mut self) {
        self.now += 200;
        let (now, mut out) = (self.at(), Vec::new());
        self.owner.set_confirmed(now.steady);
        self.owner.work(now, &mut out);
        self.carry_out(out);
        for (task, run) in std::mem::take(&mut self.runs) {
            let (number, saved) = (self.next_end, String::new());
            self.next_end += 1;
            self.ends.push(Ended { number, task, run, how: HowEnded::Done, saved });
        }
        self.save();
        if let Some(note) = self.owner.roster_note(29) {
            self.owner.rostered(&note, Revision(self.history.len() as u64));
        }
        for id in self.owner.take_finished(32) {
            self.write(keys::job(&pool(), id), None);
        }
    }

    fn save(&mut self) {
        let saves = self.owner.saves(15);
        for save in saves {
            let at = self.progress_at.get(&save.job).copied().unwrap_or_default();
            if at != save.expects {
                self.owner.rebase(save.job, at);
                self.owner.not_saved(&[save]);
                continue;
            }
            let revision = self.write(keys::progress(save.job), Some(save.value.to_vec()));
            self.progress_at.insert(save.job, revision);
            self.owner.saved(&[save], revision);
        }
    }

    fn apply_op(&mut self, op: Op) {
        match op {
            Op::HandIn => self.hand_in(),
            Op::Work { rounds } => (0..rounds % 8).for_each(|_| self.work()),
            Op::Quick { changes } => self.quick(changes as usize % 12),
            Op::General { changes } => self.general(changes as usize % 12),
            Op::Reread { older } => self.reread(older as usize % 16),
            Op::Replace => self.replace(),
        }
    }

    /// Once all is told, every job has ended as it should.
    fn settle(&mut self) {
        for _ in 0..60 {
            self.quick(usize::MAX / 2);
            self.general(usize::MAX / 2);
            self.work();
        }
        for id in self.jobs.keys() {
            let known = &self.view.jobs[id];
            assert_eq!(known.state(), JobState::Succeeded, "{id} in the end");
        }
        assert_eq!(self.owner.summary().jobs, 0);
    }
}

#[test]
fn what_ended_stays_so_however_far_two_watches_lag_apart() {
    fuzz(400, 60, |ops: &[Op]| {
        let mut world = World::new();
        world.hand_in();
        for op in ops {
            world.apply_op(*op);
        }
        world.settle();
    });
}

/// The owner's own watch is ahead of the mirror: it tells of a job's removal before the mirror has
/// told of the job.
#[test]
fn a_removed_job_is_not_taken_for_new_when_the_other_watch_tells_of_it() {
    let mut world = World::new();
    world.hand_in();
    world.quick(9);
    (0..8).for_each(|_| world.work());
    world.quick(9);
    world.general(1);
    (0..3).for_each(|_| world.work());
    assert_eq!(world.owner.summary().jobs, 0, "the job has ended");
}
