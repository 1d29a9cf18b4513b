//! Stateful fuzzing of plans: two nodes with delayed views run waves over a store that goes down
//! and loses answers, while hosts and racks fail and operators act concurrently. The oracle tracks
//! the actual state itself, and shares no code with the decisions.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use bolero::TypeGenerator;

use crate::{
    decide::{
        plan, repair,
        rules::Rules,
        wave::{self, Step, WaveContext},
    },
    measure::shape::{self, BEGIN},
    model::{
        fleet::Fleet,
        host::{HostState, TaskReport},
        id::{HostId, OpId, PlanId, ServiceId},
        plan::{Action, Intent, PlanState},
        record::{Key, Record},
        unit::{Revision, Time},
    },
    preset,
    tests::{fuzz, replay},
};

const NODES: usize = 2;

/// One operation of a sequence.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Op {
    /// Time passes, and started tasks and reboots make progress.
    AdvanceTime(u8),
    /// A node takes the next steps of its plans.
    TakeSteps {
        node: u8,
        steps: u8,
    },
    /// A node repairs its services.
    Repair {
        node: u8,
    },
    /// A node receives some or all of the records that it lacks.
    Receive {
        node: u8,
        count: u8,
    },
    /// A node reads the list of hosts.
    List {
        node: u8,
    },
    Fail {
        host: u8,
    },
    FailRack {
        host: u8,
    },
    Recover {
        host: u8,
    },
    Propose {
        node: u8,
        host: u8,
        count: u8,
        action: u8,
    },
    Confirm {
        node: u8,
        plan: u8,
    },
    Cancel {
        node: u8,
        plan: u8,
    },
    /// A node loses or regains access to the list of hosts.
    ListOutage {
        node: u8,
        list_down: bool,
    },
    /// A node is paused, or continues.
    Pause {
        node: u8,
        paused: bool,
    },
    /// The store goes down or comes back.
    StoreOutage(bool),
    /// The answers of this many writes are lost.
    LoseAnswers(u8),
}

/// Actual state of a host.
#[derive(Debug, Clone, Default)]
struct ActualHost {
    dead: bool,
    /// Running tasks, by service, index and generation, with the time at which they become ready.
    tasks: BTreeMap<(ServiceId, u32, u64), Time>,
    booted: u64,
    reboot: Option<(u64, Time)>,
}

#[derive(Debug, Clone)]
struct Node {
    fleet: Fleet,
    /// Number of records of the log that it has received.
    received: usize,
    list_down: bool,
    paused: bool,
    /// Steps that it has computed but not taken yet, because it was paused in between.
    pending: VecDeque<Pending>,
    /// The revisions that they were computed from.
    expected: BTreeMap<String, Revision>,
}

#[derive(Debug, Clone)]
struct Pending {
    plan: PlanId,
    step: Step,
    at: Time,
}

struct Simulation {
    now: Time,
    rules: Rules,
    /// The store: newest record and revision by key, and the log of all writes.
    store: BTreeMap<String, (Revision, Record)>,
    log: Vec<(Revision, Record)>,
    store_down: bool,
    answers_to_lose: u32,
    nodes: Vec<Node>,
    hosts: BTreeMap<HostId, ActualHost>,
    plans: Vec<PlanId>,
    /// Since when a task has actually been unavailable.
    down_since: BTreeMap<(ServiceId, u32), Time>,
}

impl Simulation {
    fn new(surge: bool) -> Simulation {
        let rules = Rules::default();
        let mut preset = preset::tyrehub();
        for service in preset.config.services.values_mut() {
            service.surge = surge;
        }
        let fleet = shape::build(&preset, &rules);
        let pending = VecDeque::new();
        let node = Node {
            fleet: fleet.clone(),
            received: 0,
            list_down: false,
            paused: false,
            pending,
            expected: BTreeMap::new(),
        };
        let mut sim = Simulation {
            now: BEGIN,
            rules,
            store: BTreeMap::new(),
            log: Vec::new(),
            store_down: false,
            answers_to_lose: 0,
            nodes: vec![node; NODES],
            hosts: BTreeMap::new(),
            plans: Vec::new(),
            down_since: BTreeMap::new(),
        };
        for (id, host) in &fleet.hosts {
            let record = Record::Host(id.clone(), host.clone());
            sim.store.insert(record.key().path(), (Revision(1), record));
            sim.hosts.insert(id.clone(), ActualHost::default());
        }
        for (id, placement) in &fleet.placements {
            let record = Record::Placement(id.clone(), placement.clone());
            sim.store.insert(record.key().path(), (Revision(1), record));
            for (index, assigned) in placement.tasks.iter().enumerate() {
                let Some(assigned) = assigned else { continue };
                let host = sim.hosts.get_mut(&assigned.host).unwrap();
                host.tasks.insert((id.clone(), index as u32, assigned.generation), BEGIN);
            }
        }
        sim
    }

    fn host_at(&self, at: u8) -> HostId {
        self.hosts.keys().nth(usize::from(at) % self.hosts.len()).unwrap().clone()
    }

    /// A conditional write. Returns whether the node gets the answer that it succeeded.
    fn write(&mut self, record: Record, expect: Revision, plan_step: Option<&Step>) -> bool {
        if self.store_down {
            return false;
        }
        let path = record.key().path();
        let current = self.store.get(&path).map_or(Revision(0), |(revision, _)| *revision);
        if current != expect {
            return false;
        }
        self.check_write(&record, plan_step);
        let revision = Revision(self.log.len() as u64 + 2);
        self.store.insert(path, (revision, record.clone()));
        self.log.push((revision, record));
        self.update_workers();
        if self.answers_to_lose != 0 {
            self.answers_to_lose -= 1;
            return false;
        }
        true
    }

    /// Workers follow the assignments in the store, as sent by the nodes that own them.
    fn update_workers(&mut self) {
        let mut wanted: BTreeMap<HostId, BTreeSet<(ServiceId, u32, u64)>> = BTreeMap::new();
        for (_, record) in self.store.values() {
            let Record::Placement(id, placement) = record else { continue };
            let starts = placement.tasks.iter().enumerate().filter_map(|(index, assigned)| {
                assigned.as_ref().map(|assigned| (index as u32, assigned))
            });
            let next = placement.successors.iter().map(|(index, s)| (*index, &s.to));
            for (index, assigned) in starts.chain(next) {
                let tasks = wanted.entry(assigned.host.clone()).or_default();
                tasks.insert((id.clone(), index, assigned.generation));
            }
        }
        let ready = self.now + self.rules.expected.start;
        for (id, host) in &mut self.hosts {
            let Some((_, Record::Host(_, record))) = self.store.get(&Key::Host(id.clone()).path())
            else {
                continue;
            };
            if host.dead || host.reboot.is_some() {
                continue;
            }
            let wanted = wanted.remove(id).unwrap_or_default();
            host.tasks.retain(|task, _| wanted.contains(task));
            for task in wanted {
                host.tasks.entry(task).or_insert(ready);
            }
            let epoch = record.epoch.0;
            if record.state == HostState::Away && host.booted < epoch {
                host.tasks.clear();
                host.reboot = Some((epoch, self.now + self.rules.expected.reboot));
            }
        }
    }

    /// The host of a task according to the store, if the task actually answers requests there.
    fn is_up(&self, service: &ServiceId, index: u32) -> Option<HostId> {
        let path = Key::Placement(service.clone()).path();
        let (_, Record::Placement(_, placement)) = self.store.get(&path)? else { return None };
        let assigned = placement.tasks.get(index as usize)?.as_ref()?;
        let host = self.hosts.get(&assigned.host)?;
        let (_, Record::Host(_, record)) =
            self.store.get(&Key::Host(assigned.host.clone()).path())?
        else {
            return None;
        };
        let serves = matches!(record.state, HostState::Serving | HostState::Closing);
        let ready = host.tasks.get(&(service.clone(), index, assigned.generation))?;
        (serves && !host.dead && *ready <= self.now).then(|| assigned.host.clone())
    }

    fn record_down(&mut self) {
        let services = self.nodes[0].fleet.config.services.clone();
        for (id, service) in &services {
            for index in 0..service.tasks {
                let key = (id.clone(), index);
                if self.is_up(id, index).is_some() {
                    self.down_since.remove(&key);
                } else {
                    self.down_since.entry(key).or_insert(self.now);
                }
            }
        }
    }

    /// The oracle: invariants of every write.
    fn check_write(&self, record: &Record, plan_step: Option<&Step>) {
        if let Record::Host(id, next) = record {
            let path = Key::Host(id.clone()).path();
            if let Some((_, Record::Host(_, current))) = self.store.get(&path) {
                assert!(current.epoch < next.epoch, "host {id}: epoch did not increase");
                if current.pool != next.pool {
                    assert!(
                        self.placed_on(id).is_empty(),
                        "host {id}: changed pool while tasks were placed on it"
                    );
                }
            }
        }
        let Some(step) = plan_step else { return };
        if let Step::Close { host } = step {
            let Record::Host(_, next) = record else { panic!("a close must write a host record") };
            let plan = next.plan.clone().expect("a closing host must name its plan");
            let path = Key::Plan(plan.clone()).path();
            let state = match self.store.get(&path) {
                Some((_, Record::Plan(_, plan))) => plan.state,
                _ => panic!("host {host}: plan {plan} is not in the store"),
            };
            assert_ne!(
                state,
                PlanState::Proposed,
                "host {host}: closed before its plan was confirmed"
            );
        }
        if let Step::Leave { host } = step {
            self.check_leave(host);
        }
    }

    fn placed_on(&self, host: &HostId) -> Vec<(ServiceId, u32)> {
        let mut placed = Vec::new();
        for (_, record) in self.store.values() {
            let Record::Placement(id, placement) = record else { continue };
            for (index, assigned) in placement.tasks.iter().enumerate() {
                if assigned.as_ref().is_some_and(|assigned| assigned.host == *host) {
                    placed.push((id.clone(), index as u32));
                }
            }
        }
        placed
    }

    /// After a host has left, each service with tasks on it must be within its budget even if its
    /// largest rack were lost. Tasks that went down too recently for a host list to show it do not
    /// count.
    fn check_leave(&self, host: &HostId) {
        let services: BTreeSet<ServiceId> =
            self.placed_on(host).into_iter().map(|(service, _)| service).collect();
        for id in services {
            let service = &self.nodes[0].fleet.config.services[&id];
            let mut out = 0;
            let mut racks: BTreeMap<String, u32> = BTreeMap::new();
            for index in 0..service.tasks {
                let recently = self.down_since.get(&(id.clone(), index)).is_none_or(|since| {
                    self.now.since(*since) <= self.rules.list_limit + Duration::from_secs(1)
                });
                match self.is_up(&id, index) {
                    Some(on) if on != *host => {
                        let rack = self.nodes[0].fleet.reports[&on].rack.to_string();
                        *racks.entry(rack).or_default() += 1;
                    }
                    None if recently => {}
                    _ => out += 1,
                }
            }
            let worst = racks.values().copied().max().unwrap_or(0);
            let was_up = self
                .placed_on(host)
                .iter()
                .any(|(s, index)| *s == id && self.is_up(s, *index).is_some());
            assert!(
                !was_up || out + worst <= service.max_down,
                "host {host} left: service {id} has {out} unavailable, {worst} in its largest rack"
            );
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::AdvanceTime(seconds) => self.advance_time(Duration::from_secs(u64::from(seconds))),
            Op::TakeSteps { node, steps } => self.take_steps(usize::from(node) % NODES, steps),
            Op::Repair { node } => self.repair(usize::from(node) % NODES),
            Op::Receive { node, count } => self.receive(usize::from(node) % NODES, count),
            Op::List { node } => self.list(usize::from(node) % NODES),
            Op::Fail { host } => self.fail(&self.host_at(host)),
            Op::FailRack { host } => {
                let host = self.host_at(host);
                let reports = &self.nodes[0].fleet.reports;
                let rack = reports[&host].rack.clone();
                let hosts: Vec<HostId> =
                    reports.values().filter(|r| r.rack == rack).map(|r| r.host.clone()).collect();
                hosts.iter().for_each(|host| self.fail(host));
            }
            Op::Recover { host } => {
                let id = self.host_at(host);
                let host = self.hosts.get_mut(&id).unwrap();
                if host.dead {
                    *host = ActualHost { booted: u64::MAX / 2, ..ActualHost::default() };
                }
            }
            Op::Propose { node, host, count, action } => {
                self.propose(usize::from(node) % NODES, host, count, action);
            }
            Op::Confirm { node, plan } => self.decide(usize::from(node) % NODES, plan, true),
            Op::Cancel { node, plan } => self.decide(usize::from(node) % NODES, plan, false),
            Op::ListOutage { node, list_down } => {
                self.nodes[usize::from(node) % NODES].list_down = list_down
            }
            Op::Pause { node, paused } => {
                self.nodes[usize::from(node) % NODES].paused = paused;
            }
            Op::StoreOutage(down) => self.store_down = down,
            Op::LoseAnswers(count) => self.answers_to_lose = u32::from(count % 4),
        }
        self.record_down();
    }

    fn advance_time(&mut self, span: Duration) {
        self.now = self.now + span;
        for host in self.hosts.values_mut() {
            if let Some((epoch, until)) = host.reboot
                && until <= self.now
            {
                (host.booted, host.reboot) = (host.booted.max(epoch), None);
            }
        }
        self.update_workers();
    }

    fn fail(&mut self, id: &HostId) {
        let host = self.hosts.get_mut(id).unwrap();
        *host = ActualHost { dead: true, booted: host.booted, ..ActualHost::default() };
    }

    fn receive(&mut self, node: usize, count: u8) {
        let node = &mut self.nodes[node];
        let count = if count < 128 { usize::MAX } else { usize::from(count - 127) };
        for (revision, record) in self.log.iter().skip(node.received).take(count) {
            // A node already holds the results of its own writes.
            if node.fleet.revision(&record.key()) < *revision {
                node.fleet.put(record.clone(), *revision);
            }
            node.received += 1;
        }
    }

    /// Reads the current list of hosts, which ages until the next read.
    fn list(&mut self, node: usize) {
        if self.nodes[node].list_down {
            return;
        }
        let now = self.now;
        let fleet = &mut self.nodes[node].fleet;
        fleet.last_received = now;
        for (id, host) in &self.hosts {
            let Some(report) = fleet.reports.get_mut(id) else { continue };
            report.live = !host.dead && host.reboot.is_none();
            report.booted.0 = host.booted;
            let current = self.store.get(&Key::Host(id.clone()).path());
            if let Some((_, Record::Host(_, record))) = current.filter(|_| report.live) {
                report.epoch = record.epoch;
            }
            report.tasks = host
                .tasks
                .iter()
                .map(|((service, index, generation), ready)| TaskReport {
                    service: service.clone(),
                    index: *index,
                    generation: *generation,
                    ready: *ready <= now,
                    address: String::new(),
                    in_flight: 0,
                })
                .collect();
        }
    }

    /// Takes some steps, first those left from before a pause.
    fn take_steps(&mut self, node: usize, most: u8) {
        if self.nodes[node].pending.is_empty() {
            self.compute_steps(node);
        }
        let mut refused: BTreeSet<HostId> = BTreeSet::new();
        for _ in 0..usize::from(most % 16) + 1 {
            let Some(Pending { plan, step, at }) = self.nodes[node].pending.pop_front() else {
                return;
            };
            let host = wave::host_of(&step).clone();
            if refused.contains(&host) || !wave::is_timely(at, self.now) {
                continue;
            }
            let path = wave::key_of(&step);
            let expect = self.nodes[node].expected.get(&path.path()).copied().unwrap_or_default();
            let fleet = &self.nodes[node].fleet;
            let same = fleet.revision(&path) == expect;
            let op: OpId = "op".parse().unwrap();
            let record = wave::effect(fleet, &plan, &step, &op, self.now).filter(|_| same);
            let Some(record) = record else {
                refused.insert(host);
                continue;
            };
            if self.write(record.clone(), expect, Some(&step)) {
                let revision = self.log.last().unwrap().0;
                self.nodes[node].fleet.put(record, revision);
                self.nodes[node].expected.insert(path.path(), revision);
            } else {
                refused.insert(host);
            }
        }
    }

    fn compute_steps(&mut self, node: usize) {
        let fleet = &self.nodes[node].fleet;
        let quiet = |_: &HostId, _| true;
        let context = WaveContext { fleet, is_quiet: &quiet, now: self.now, rules: &self.rules };
        let mut pending = VecDeque::new();
        let mut expected = BTreeMap::new();
        // Each node runs its own plans, and those of a paused node.
        let other_paused = self.nodes.iter().any(|node| node.paused);
        let plans = fleet.plans.values().enumerate();
        for (_, plan) in plans.filter(|(at, _)| other_paused || at % NODES == node) {
            for step in plan.pools.keys().flat_map(|pool| wave::advance(&context, plan, pool).0) {
                let key = wave::key_of(&step);
                expected.insert(key.path(), fleet.revision(&key));
                pending.push_back(Pending { plan: plan.id.clone(), step, at: self.now });
            }
        }
        (self.nodes[node].pending, self.nodes[node].expected) = (pending, expected);
    }

    fn repair(&mut self, node: usize) {
        let services: Vec<ServiceId> =
            self.nodes[node].fleet.config.services.keys().cloned().collect();
        for id in services {
            let fleet = &self.nodes[node].fleet;
            let repair = repair::repair(fleet, &id, self.now, &self.rules);
            if repair.is_empty() {
                continue;
            }
            let expect = fleet.revision(&Key::Placement(id.clone()));
            let op = "op".parse().unwrap();
            let record = wave::change_placement(fleet, &id, &op, |placement| {
                wave::apply_repair(placement, &repair, self.now);
            });
            let record = record.unwrap();
            if self.write(record.clone(), expect, None) {
                let revision = self.log.last().unwrap().0;
                self.nodes[node].fleet.put(record, revision);
            }
        }
    }

    fn propose(&mut self, node: usize, host: u8, count: u8, action: u8) {
        let first = usize::from(host) % self.hosts.len();
        let hosts: Vec<HostId> =
            self.hosts.keys().skip(first).take(usize::from(count % 8) + 1).cloned().collect();
        let action = match action % 4 {
            0 => Action::Move("back".parse().unwrap()),
            1 => Action::Quarantine,
            _ => Action::Drain,
        };
        let intent = Intent {
            action,
            hosts,
            deadline: None,
            reason: "fuzz".to_owned(),
            by: "fuzz".to_owned(),
        };
        let id: PlanId = format!("p-{}", self.plans.len()).parse().unwrap();
        let op = "op".parse().unwrap();
        let fleet = &self.nodes[node].fleet;
        let mut plan = plan::propose(fleet, id.clone(), op, intent, self.now, &self.rules);
        // The limit on hosts out only affects cost: budgets must hold without it.
        for part in plan.pools.values_mut() {
            (part.max_out, part.frugal) = (u32::MAX, false);
        }
        self.write(Record::Plan(id.clone(), Box::new(plan)), Revision(0), None);
        self.plans.push(id);
    }

    fn decide(&mut self, node: usize, plan: u8, confirm: bool) {
        let Some(id) = self.plans.get(usize::from(plan) % self.plans.len().max(1)).cloned() else {
            return;
        };
        let fleet = &self.nodes[node].fleet;
        let digest = fleet.plans.get(&id).map(|plan| plan.digest.clone()).unwrap_or_default();
        let op = "op".parse().unwrap();
        let decided = if confirm {
            plan::confirm(fleet, &id, &digest, "fuzz", op, self.now, &self.rules)
        } else {
            plan::cancel(fleet, &id, "fuzz", op, self.now)
        };
        let expect = fleet.revision(&Key::Plan(id.clone()));
        if let Ok(mut plan) = decided {
            for part in plan.pools.values_mut() {
                (part.max_out, part.frugal) = (u32::MAX, false);
            }
            self.write(Record::Plan(id, Box::new(plan)), expect, None);
        }
    }
}

fn run(ops: &[Op], surge: bool) {
    let mut sim = Simulation::new(surge);
    for op in ops {
        sim.apply(*op);
    }
}

/// Runs a sequence so that waves make progress: two plans run from the start, and between random
/// operations time passes and the control loops of the nodes run.
fn run_with_progress(ops: &[Op], surge: bool) {
    const LOOP_INTERVAL: usize = 3;
    let mut sim = Simulation::new(surge);
    for (plan, host, action) in [(0, 0, 3), (1, 8, 0)] {
        sim.apply(Op::Propose { node: 0, host, count: 7, action });
        sim.apply(Op::Receive { node: 0, count: 0 });
        sim.apply(Op::Confirm { node: 0, plan });
    }
    for (at, op) in ops.iter().enumerate() {
        sim.apply(*op);
        if at % LOOP_INTERVAL == 0 {
            // Derived from the number of writes, so that it varies within and between sequences.
            let steps = (sim.log.len() * 5 % 16) as u8;
            run_control_loops(&mut sim, steps);
        }
    }
}

/// Runs the control loop of each node once. Each node is interrupted in the middle of its steps,
/// and continues after the others have taken theirs.
fn run_control_loops(sim: &mut Simulation, steps: u8) {
    let active = (0..NODES as u8).filter(|node| !sim.nodes[usize::from(*node)].paused);
    let active: Vec<u8> = active.collect();
    for node in active.iter().copied() {
        for op in [
            Op::Receive { node, count: 0 },
            Op::List { node },
            Op::Repair { node },
            Op::TakeSteps { node, steps },
        ] {
            sim.apply(op);
        }
    }
    for node in active {
        sim.apply(Op::TakeSteps { node, steps: 15 });
    }
    sim.apply(Op::AdvanceTime(4));
}

#[test]
fn plans_respect_budgets_under_random_operations() {
    fuzz(300, 200, |ops| run(ops, false));
}

#[test]
fn waves_without_successors_respect_budgets() {
    fuzz(250, 100, |ops| run_with_progress(ops, false));
}

#[test]
fn waves_with_successors_respect_budgets() {
    fuzz(100, 100, |ops| run_with_progress(ops, true));
}

/// A successor replaced its task on a closing host, and the node that then let the host leave had
/// not received that write.
#[test]
fn host_with_promoted_successor_does_not_leave_over_budget() {
    replay(7004313, 100, |ops| run_with_progress(ops, true));
}

/// The store had rejected a permit, and the node still let the host leave.
#[test]
fn host_does_not_leave_after_rejected_permit() {
    replay(7005259, 100, |ops| run_with_progress(ops, false));
}
