//! Simulation of a pool whose owners follow each other in quick succession, while links to workers
//! fail and writes of the roster are lost or late. The tasks run until their worker's lease ends.
//! No task may run twice, and a calm owner starts all of them.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

use bolero::TypeGenerator;

use super::{Harness, TOKEN, id, report, step, stored};
use crate::{
    jobs::{
        event::{Effect, Event},
        owner::{GRACE_PERIOD_MS, LEASE_MS, Owner},
        roster::{RosterWrite, SilentWorkers},
    },
    model::{
        id::Incarnation,
        job::TaskId,
        order::Start,
        unit::{Revision, Steady},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, Refusal, RunOutcome},
    },
    tests::fuzz,
};

const WORKERS: [(&str, &str); 3] = [("w1", "h1"), ("w2", "h2"), ("w3", "h3")];
/// As many as one worker has room for.
const TASKS: u32 = 4;
const TICK_MS: u64 = 100;
/// How long an owner may go on giving orders after the next one has taken over, in milliseconds.
const OVERLAP_MS: u64 = LEASE_MS + GRACE_PERIOD_MS;
/// How long a calm owner may take until all tasks run, in milliseconds: the longest wait of 9 s, a
/// second for polls and writes, and half a second for each task that is retried in isolation, since
/// its worker seems to be lost.
const CALM_MS: u64 = 10_000 + TASKS as u64 * 500;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Change {
    None,
    /// The owner releases the pool, and the next one acquires it.
    HandOver,
    /// The owner ends without notice.
    End,
    /// Another owner, of which nothing is known, has the pool for a moment.
    Skip,
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Write {
    Done,
    /// Done and not answered.
    Lost,
    /// Not answered, and done with the next change if its condition still holds.
    Late,
    Failed,
}

/// A change of owners, and what happens until the next.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Phase {
    change: Change,
    write: Write,
    /// The workers that are reached.
    reached: [bool; WORKERS.len()],
    #[generator(1..=60)]
    ticks: u8,
}

#[derive(Default)]
struct SimWorker {
    token: u64,
    lease_end: u64,
    runs: BTreeMap<TaskId, u32>,
    ended: VecDeque<EndedRun>,
    last_end: u64,
}

impl SimWorker {
    /// Ends all runs once the lease has expired.
    fn advance(&mut self, clock: u64) {
        if clock < self.lease_end {
            return;
        }
        for (task, run) in std::mem::take(&mut self.runs) {
            self.end(task, run, RunOutcome::Lapsed);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, how: RunOutcome) {
        self.last_end += 1;
        let (number, checkpoint) = (self.last_end, String::new());
        self.ended.push_back(EndedRun { number, task, run, how, checkpoint });
    }

    fn start(&mut self, start: &Start) {
        self.lease_end = self.lease_end.max(start.until_ms);
        self.runs.entry(start.task).or_insert(start.run);
    }

    fn poll(&mut self, acknowledged: u64, until: Option<u64>, clock_ms: u64) -> PollResponse {
        self.lease_end = self.lease_end.max(until.unwrap_or(0));
        self.ended.retain(|end| acknowledged < end.number);
        let run = |(task, run): (&TaskId, &u32)| PresentRun {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 10,
            gauge: 0,
        };
        let (present, ended) =
            (self.runs.iter().map(run).collect(), self.ended.iter().cloned().collect());
        PollResponse { born: None, clock_ms, present, ended }
    }
}

struct Chain {
    harness: Harness,
    workers: BTreeMap<Incarnation, SimWorker>,
    earlier_owners: u32,
    /// What the store has, and the revision of its last write.
    persisted: (SilentWorkers, u64),
    /// The revision that the owner knows.
    known_revision: u64,
    late: Option<(u32, u64, RosterWrite)>,
    progress: Option<Vec<u8>>,
    /// The previous owner, if it does not know yet that it has been replaced, and until when.
    previous: Option<(Harness, u64)>,
    /// How often the wait was recorded.
    waits: u64,
}

impl Chain {
    fn new() -> Chain {
        let mut chain = Chain {
            harness: Harness::new(0),
            workers: WORKERS
                .iter()
                .map(|(id, _)| (id.parse().unwrap(), SimWorker::default()))
                .collect(),
            earlier_owners: 0,
            persisted: (SilentWorkers::default(), 0),
            known_revision: 0,
            late: None,
            progress: None,
            previous: None,
            waits: 0,
        };
        chain.take_over();
        (0..20).for_each(|_| chain.tick([true; WORKERS.len()], Write::Done));
        assert_eq!(chain.running(&chain.names([true; WORKERS.len()])).len(), TASKS as usize);
        chain
    }

    fn names(&self, reached: [bool; WORKERS.len()]) -> BTreeSet<Incarnation> {
        let reached = WORKERS.iter().zip(reached).filter(|(_, reached)| *reached);
        reached.map(|((id, _), _)| id.parse().unwrap()).collect()
    }

    fn running(&self, at: &BTreeSet<Incarnation>) -> BTreeSet<TaskId> {
        let workers = self.workers.iter().filter(|(id, _)| at.contains(*id));
        workers.flat_map(|(_, worker)| worker.runs.keys().copied()).collect()
    }

    fn clock(&self) -> u64 {
        1_000 + self.harness.now
    }

    fn take_over(&mut self) {
        let (now, owners) = (self.harness.now, self.earlier_owners);
        let token = TOKEN + u64::from(owners);
        let owner = Owner::new(token, owners, Steady::from_millis(now));
        self.harness = Harness { owner, now, ..Harness::new(0) };
        self.earlier_owners += 1;
        self.known_revision = self.persisted.1;
        let listed = || WORKERS.iter().map(|(id, host)| report(id, host));
        if owners != 0 {
            let at = self.harness.at();
            let (effects, owner) = (&mut self.harness.effects, &mut self.harness.owner);
            owner.inherit(listed().collect(), &self.persisted.0, at, effects);
        }
        listed().for_each(|report| self.harness.deliver(Event::Worker(report)));
        let mut job = stored(1, vec![step(TASKS)], 50);
        if let Some(value) = &self.progress {
            job.progress = Some(std::sync::Arc::new(serde_json::from_slice(value).unwrap()));
            job.progress_revision = Revision(60);
        }
        assert_eq!(job.id, id(1));
        self.harness.deliver(Event::Job(job));
    }

    fn change(&mut self, change: Change) {
        if let Some((owner, expected, write)) = self.late.take()
            && owner == self.earlier_owners
            && expected == self.persisted.1
        {
            self.persisted = (write.silent_workers, expected + 1);
        }
        let mut overlaps = false;
        match change {
            Change::None => return,
            Change::HandOver => {
                let Some(record) = self.harness.owner.handover_record(self.harness.at()) else {
                    return;
                };
                self.waits += u64::from(record.partial.is_some());
                self.persisted = (record, self.persisted.1 + 1);
            }
            Change::End => overlaps = true,
            Change::Skip => self.earlier_owners += 1,
        }
        let now = self.harness.now;
        let ended = std::mem::replace(&mut self.harness, Harness::new(0));
        self.previous = overlaps.then_some((ended, now + OVERLAP_MS));
        self.harness.now = now + TICK_MS;
        self.take_over();
    }

    fn persist_roster(&mut self, write: Write) {
        let Some(roster) = self.harness.owner.roster_note(9) else {
            return;
        };
        if self.known_revision != self.persisted.1 {
            self.known_revision = self.persisted.1;
            return;
        }
        self.waits += u64::from(roster.silent_workers.expiring.is_some());
        match write {
            Write::Late => {
                self.late = Some((self.earlier_owners, self.known_revision, roster));
                return;
            }
            Write::Failed => return,
            Write::Done | Write::Lost => {
                self.persisted = (roster.silent_workers.clone(), self.persisted.1 + 1);
            }
        }
        if matches!(write, Write::Done) {
            self.known_revision = self.persisted.1;
            self.harness.roster_persisted(&roster);
        }
    }

    fn tick(&mut self, reached: [bool; WORKERS.len()], write: Write) {
        self.harness.now += TICK_MS;
        let clock = self.clock();
        self.workers.values_mut().for_each(|worker| worker.advance(clock));
        self.tick_previous();
        self.harness.work();
        self.persist_roster(write);
        self.harness.work();
        let reached = self.names(reached);
        for effect in std::mem::take(&mut self.harness.effects) {
            self.carry_out(effect, &reached);
        }
        for write in self.harness.owner.take_saves(9) {
            self.progress = Some(write.value.to_vec());
            self.harness.owner.note_saved(&[write], Revision(60));
        }
        let mut seen = BTreeSet::new();
        for worker in self.workers.values() {
            for task in worker.runs.keys() {
                assert!(seen.insert(*task), "{task} runs twice at {} ms", self.harness.now);
            }
        }
    }

    /// The previous owner reaches all workers, and not the store.
    fn tick_previous(&mut self) {
        let Some((mut previous, until)) = self.previous.take() else {
            return;
        };
        if until <= self.harness.now || previous.owner.is_deposed() {
            return;
        }
        previous.now = self.harness.now;
        let at = previous.at();
        previous.owner.tick(at, &mut previous.effects);
        std::mem::swap(&mut self.harness, &mut previous);
        let all = self.names([true; WORKERS.len()]);
        for effect in std::mem::take(&mut self.harness.effects) {
            self.carry_out(effect, &all);
        }
        std::mem::swap(&mut self.harness, &mut previous);
        self.previous = Some((previous, until));
    }

    fn carry_out(&mut self, effect: Effect, reached: &BTreeSet<Incarnation>) {
        let (now, clock_ms) = (self.harness.at().steady, self.clock());
        let to = match &effect {
            Effect::Start { to, .. } | Effect::Stop { to, .. } | Effect::Poll { to, .. } => to,
            Effect::Throttle { .. } | Effect::Advise { .. } => return,
        };
        let (name, token) = (to.worker.clone(), to.token);
        let worker = self.workers.get_mut(&name).filter(|_| reached.contains(&name));
        let is_fenced = worker.as_ref().is_some_and(|worker| token < worker.token);
        let mut worker = worker.filter(|_| !is_fenced);
        if let Some(worker) = &mut worker {
            worker.token = token;
        }
        let failure = match is_fenced {
            true => OrderResult::Refused { clock_ms: Some(clock_ms), why: Refusal::Fenced },
            false => OrderResult::Unknown,
        };
        let event = match effect {
            Effect::Start { start, .. } => {
                let (task, run) = (start.task, start.run);
                let end = worker.map_or(failure, |worker| {
                    worker.start(&start);
                    OrderResult::Done(clock_ms)
                });
                Event::Started { worker: name, task, run, end }
            }
            Effect::Stop { task, run, .. } => {
                let end = worker.map_or(failure, |worker| {
                    if worker.runs.remove(&task).is_some() {
                        worker.end(task, run, RunOutcome::Stopped);
                    }
                    OrderResult::Done(clock_ms)
                });
                Event::Stopped { worker: name, task, run, end }
            }
            Effect::Poll { acknowledged, until_ms, .. } => {
                let end = match worker {
                    Some(worker) => {
                        OrderResult::Done(worker.poll(acknowledged, until_ms, clock_ms))
                    }
                    None => OrderResult::Unknown,
                };
                Event::Polled { worker: name, sent: now, end }
            }
            Effect::Throttle { .. } | Effect::Advise { .. } => return,
        };
        self.harness.deliver(event);
    }
}

/// The record of a wait says that nothing runs at a worker any more, and something does.
#[test]
fn no_task_runs_twice_and_all_run_soon_however_owners_follow_each_other() {
    let waits = Cell::new(0);
    fuzz(300, 12, |phases: &[Phase]| {
        let mut chain = Chain::new();
        for Phase { change, write, reached, ticks } in phases {
            chain.change(*change);
            (0..*ticks).for_each(|_| chain.tick(*reached, *write));
        }
        chain.change(Change::None);
        let calm = [true, false, false];
        (0..CALM_MS / TICK_MS).for_each(|_| chain.tick(calm, Write::Done));
        let running = chain.running(&chain.names(calm));
        assert_eq!(running.len(), TASKS as usize, "in calm, with room for all");
        waits.set(waits.get() + chain.waits);
    });
    assert!(300 < waits.get(), "too few records of waits for a valid test: {}", waits.get());
}
