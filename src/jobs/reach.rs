//! By way of which node each worker is called, learned from answers. A path leads from the node
//! that makes the calls to the workers of an availability zone. Only the owner decides, and may
//! choose another path at any time: workers check the owner's token, whichever node sends an order.
//!
//! A path that failed is a guess until the worker answers by another one: the worker itself may be
//! down. Until then the failure is forgotten after [`FAULT_MS`]; from then on the path is probed,
//! and used again once a worker answers by it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::{
    jobs::start::route::{self, Caller, Paths},
    model::{
        id::{Incarnation, ZoneId},
        unit::Steady,
    },
};

/// How long a path that failed is not used, in milliseconds, unless it is known that the path was
/// at fault.
const FAULT_MS: u64 = 2_000;

/// After how many workers without an answer in between a path counts as down for its whole zone.
const SILENT_WORKERS: usize = 3;

/// How many paths are tried for a worker that answers by none, within [`FAULT_MS`].
const MAX_FAILURES: usize = 4;

/// How many nodes share the calls to the workers of a zone that the usual paths do not reach: each
/// delegate has about twelve workers, so that they suffice for a hundred.
const DETOUR_NODES: usize = 8;

/// Time until the first probe of a path that was at fault, in milliseconds; doubled with each that
/// fails.
const MIN_PROBE_MS: u64 = 1_000;

/// Longest time between two probes of a path, in milliseconds.
const MAX_PROBE_MS: u64 = 8_000;

/// Time until another worker is probed after one has answered again, in milliseconds.
const HEALED_PROBE_MS: u64 = 250;

/// How long after a path was found to work again another fault continues the earlier one, in
/// milliseconds: it is probed as rarely as before.
const RELAPSE_MS: u64 = 10_000;

/// A node that may make calls for an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Helper {
    pub(crate) name: String,
    pub(crate) zone: Option<ZoneId>,
    /// Whether it owns work, and so has less time.
    pub(crate) owns: bool,
}

/// How a call by way of a path ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathEnd {
    /// The worker has answered.
    Answered,
    /// The worker gave the calling node no answer.
    Unanswered,
    /// The other node cannot be reached, or did not answer.
    LinkFailed,
    /// Nothing was sent.
    Unsent,
}

/// A worker to be called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) worker: Incarnation,
    /// Its availability zone; `None` if paths to it are not learned.
    pub(crate) zone: Option<ZoneId>,
}

/// A call that shows whether a path works again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) caller: Caller,
    /// The worker to call; any if none.
    pub(crate) worker: Option<Incarnation>,
}

/// A change of the paths to a zone, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PathChange {
    /// The zone's workers do not answer by the first path, but by the second.
    Left { zone: ZoneId, failed: Caller, by: Caller },
    /// They answer by this path again.
    Back { zone: ZoneId, by: Caller },
}

/// When a path is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProbeTimes {
    next: Steady,
    interval_ms: u64,
}

impl ProbeTimes {
    fn first(now: Steady, interval_ms: u64) -> ProbeTimes {
        ProbeTimes { next: now.after(interval_ms), interval_ms }
    }

    /// Whether a probe is due. If so, the next one is due after twice the time.
    fn take_due(&mut self, now: Steady) -> bool {
        let is_due = self.next <= now;
        if is_due {
            *self = ProbeTimes::first(now, (2 * self.interval_ms).min(MAX_PROBE_MS));
        }
        is_due
    }
}

/// A path that failed, for one worker or for all of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Fault {
    until: Steady,
    /// Whether an answer by another path has shown that this one is at fault.
    is_proven: bool,
}

impl Fault {
    fn is_active(&self, now: Steady) -> bool {
        self.is_proven || now < self.until
    }
}

/// The faults of a path from one node to the workers of a zone.
#[derive(Debug)]
struct PathState {
    workers: BTreeMap<Incarnation, Fault>,
    /// Workers without an answer since the last answer by this path.
    silent: BTreeSet<Incarnation>,
    /// The fault of the path to the whole zone.
    zone: Option<Fault>,
    probes: ProbeTimes,
    /// When the path was last found to work again.
    healed: Option<Steady>,
}

impl PathState {
    fn new(now: Steady) -> PathState {
        PathState {
            workers: BTreeMap::new(),
            silent: BTreeSet::new(),
            zone: None,
            probes: ProbeTimes::first(now, MIN_PROBE_MS),
            healed: None,
        }
    }

    fn is_usable(&self, worker: &Incarnation, now: Steady) -> bool {
        let faults = [self.workers.get(worker), self.zone.as_ref()];
        !faults.into_iter().flatten().any(|fault| fault.is_active(now))
    }

    fn note_failure(&mut self, target: &Target, now: Steady) {
        let worker = &target.worker;
        let fault = |before: Option<Fault>| Fault {
            until: now.after(FAULT_MS),
            is_proven: before.is_some_and(|before| before.is_proven),
        };
        let before = self.workers.get(worker).copied();
        self.workers.insert(worker.clone(), fault(before));
        if target.zone.is_none() {
            return;
        }
        self.silent.insert(worker.clone());
        if SILENT_WORKERS <= self.silent.len() {
            self.zone = Some(fault(self.zone));
        }
    }

    /// Records that a worker has answered by another path. Returns whether this shows that the path
    /// to the whole zone is at fault, which was not known.
    fn prove(&mut self, worker: &Incarnation, now: Steady) -> bool {
        let mut was_proven = self.workers.values().chain(&self.zone).any(|fault| fault.is_proven);
        let mut prove = |fault: &mut Fault| {
            if !was_proven {
                let relapsed = self.healed.is_some_and(|at| now.since(at) < RELAPSE_MS);
                let interval_ms = if relapsed { self.probes.interval_ms } else { MIN_PROBE_MS };
                self.probes = ProbeTimes::first(now, interval_ms);
                was_proven = true;
            }
            !std::mem::replace(&mut fault.is_proven, true)
        };
        let Some(fault) = self.workers.get_mut(worker).filter(|fault| fault.is_active(now)) else {
            return false;
        };
        prove(fault);
        self.zone.as_mut().filter(|fault| fault.is_active(now)).is_some_and(prove)
    }

    /// Records an answer by this path. Returns whether the path to the whole zone was at fault.
    fn note_answer(&mut self, worker: &Incarnation, now: Steady) -> bool {
        self.silent.clear();
        let was_proven = self.workers.remove(worker).is_some_and(|fault| fault.is_proven);
        let was_down = self.zone.take().is_some_and(|fault| fault.is_proven);
        if was_down {
            self.workers.clear();
        }
        if was_proven || was_down {
            self.healed = Some(now);
            self.probes.next = now.after(HEALED_PROBE_MS);
        }
        was_down
    }

    /// Whether there is nothing to remember.
    fn is_clear(&self, now: Steady) -> bool {
        self.workers.is_empty()
            && self.silent.is_empty()
            && self.zone.is_none()
            && self.healed.is_none_or(|at| RELAPSE_MS <= now.since(at))
    }
}

/// What is known of the paths from an owner's node to workers.
#[derive(Debug)]
pub(crate) struct Reach {
    /// The zone of the owner's node.
    zone: ZoneId,
    helpers: Vec<Helper>,
    /// How many workers the owner's node has time to call in place of their delegates.
    max_direct: usize,
    /// Paths that failed.
    paths: BTreeMap<Caller, BTreeMap<Option<ZoneId>, PathState>>,
    /// The path by which a worker answered while another one failed.
    kept: HashMap<Incarnation, Caller>,
    /// Nodes that cannot be reached, and when each is probed.
    cut: BTreeMap<String, ProbeTimes>,
    changes: Vec<PathChange>,
}

impl Reach {
    pub(crate) fn new(zone: ZoneId) -> Reach {
        Reach {
            zone,
            helpers: Vec::new(),
            max_direct: usize::MAX,
            paths: BTreeMap::new(),
            kept: HashMap::new(),
            cut: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Sets how many workers the owner's node has time to call in place of their delegates.
    pub(crate) fn set_max_direct(&mut self, workers: usize) {
        self.max_direct = workers;
    }

    /// The node that calls a worker. `is_open` tells whether orders can be sent to a node now.
    pub(crate) fn choose(
        &self,
        target: &Target,
        usual: &Caller,
        is_open: impl Fn(&str) -> bool,
        now: Steady,
    ) -> Caller {
        let is_reached = |caller: &Caller| match caller {
            Caller::Own => true,
            Caller::Node(name) => !self.cut.contains_key(name) && is_open(name),
        };
        let works = |caller: &Caller| {
            let path = self.path(caller, target.zone.as_ref());
            path.is_none_or(|path| path.is_usable(&target.worker, now))
        };
        let is_usable = |caller: &Caller| is_reached(caller) && works(caller);
        if is_usable(usual) {
            return usual.clone();
        }
        let detours = self.detours(target, is_usable, now);
        let paths = Paths {
            usual,
            kept: self.kept.get(&target.worker),
            detours: &detours,
            own_first: target.zone.as_ref().is_none_or(|zone| *zone == self.zone),
        };
        match route::via(paths, is_usable) {
            Some(caller) => caller.clone(),
            // The worker is probably down. Its delegate calls it until it answers again.
            None if is_reached(usual) && self.fault(usual, target, now).is_none() => usual.clone(),
            None => Caller::Own,
        }
    }

    /// Other nodes that may reach a worker, the preferred first; none once it has not answered by
    /// [`MAX_FAILURES`] paths.
    fn detours(
        &self,
        target: &Target,
        is_usable: impl Fn(&Caller) -> bool,
        now: Steady,
    ) -> Vec<Caller> {
        let Some(zone) = &target.zone else {
            return Vec::new();
        };
        // Proven faults last until their path works again, and would use up the attempts for good.
        let is_recent = |caller: &&Caller| {
            self.fault(caller, target, now).is_some_and(|fault| !fault.is_proven)
        };
        let failures = self.paths.keys().filter(is_recent).count();
        if MAX_FAILURES <= failures {
            return Vec::new();
        }
        let distance = |helper: &Helper| match &helper.zone {
            Some(of_helper) if of_helper != zone && *of_helper != self.zone => 0,
            Some(of_helper) if *of_helper == self.zone => 2,
            _ => 1,
        };
        let preference = |helper: &Helper| (distance(helper), helper.owns);
        let caller = |helper: &Helper| Caller::Node(helper.name.clone());
        let mut helpers: Vec<&Helper> =
            self.helpers.iter().filter(|helper| is_usable(&caller(helper))).collect();
        helpers.sort_by_cached_key(|helper| (preference(helper), hash(&(zone, &helper.name))));
        helpers.truncate(DETOUR_NODES);
        // Each worker has its own order, so that the nodes share the calls.
        helpers.sort_by_cached_key(|helper| {
            (preference(helper), hash(&(&target.worker, &helper.name)))
        });
        helpers.into_iter().map(caller).collect()
    }

    fn path(&self, caller: &Caller, zone: Option<&ZoneId>) -> Option<&PathState> {
        self.paths.get(caller)?.get(&zone.cloned())
    }

    /// The active fault of the path from a caller to a worker.
    fn fault(&self, caller: &Caller, target: &Target, now: Steady) -> Option<&Fault> {
        let path = self.path(caller, target.zone.as_ref())?;
        path.workers.get(&target.worker).filter(|fault| fault.is_active(now))
    }

    /// Whether the owner's node has time to call a worker itself that gave another node no answer.
    /// Single answers get lost everywhere, and would each take a worker off its delegate.
    fn may_call_directly(&self, caller: &Caller, target: &Target, now: Steady) -> bool {
        if *caller == Caller::Own || target.zone.is_some() {
            return true;
        }
        let others = self.paths.iter().filter(|(caller, _)| **caller != Caller::Own);
        let faults =
            others.filter_map(|(_, zones)| zones.get(&None)).flat_map(|path| &path.workers);
        faults.filter(|(_, fault)| fault.is_active(now)).count() < self.max_direct
    }

    /// Records how a call ended.
    pub(crate) fn note(&mut self, caller: &Caller, target: &Target, end: PathEnd, now: Steady) {
        match end {
            PathEnd::Answered => self.note_answer(caller, target, now),
            PathEnd::Unanswered => {
                self.note_link_works(caller);
                if self.kept.get(&target.worker) == Some(caller) {
                    self.kept.remove(&target.worker);
                }
                if !self.may_call_directly(caller, target, now) {
                    return;
                }
                let zones = self.paths.entry(caller.clone()).or_default();
                let path = zones.entry(target.zone.clone()).or_insert_with(|| PathState::new(now));
                path.note_failure(target, now);
            }
            PathEnd::LinkFailed => {
                if let (Caller::Node(name), Some(_)) = (caller, &target.zone) {
                    let first = || ProbeTimes::first(now, MIN_PROBE_MS);
                    self.cut.entry(name.clone()).or_insert_with(first);
                }
            }
            PathEnd::Unsent => {}
        }
    }

    fn note_link_works(&mut self, caller: &Caller) {
        if let Caller::Node(name) = caller {
            self.cut.remove(name);
        }
    }

    fn note_answer(&mut self, caller: &Caller, target: &Target, now: Steady) {
        self.note_link_works(caller);
        let Some(zone) = &target.zone else {
            return;
        };
        if let Some(path) = self.paths.get_mut(caller).and_then(|zones| zones.get_mut(&target.zone))
            && path.note_answer(&target.worker, now)
        {
            self.changes.push(PathChange::Back { zone: zone.clone(), by: caller.clone() });
        }
        for (failed, zones) in self.paths.iter_mut().filter(|(other, _)| *other != caller) {
            let Some(path) = zones.get_mut(&target.zone) else {
                continue;
            };
            if path.prove(&target.worker, now) {
                let (zone, failed, by) = (zone.clone(), failed.clone(), caller.clone());
                self.changes.push(PathChange::Left { zone, failed, by });
            }
            let is_faulty = !path.is_usable(&target.worker, now);
            if is_faulty {
                self.kept.insert(target.worker.clone(), caller.clone());
            }
        }
    }

    /// Sets the nodes that may make calls, and forgets what is over: faults that time has ended, and
    /// workers that are not present any more.
    pub(crate) fn refresh(
        &mut self,
        helpers: Vec<Helper>,
        is_present: impl Fn(&Incarnation) -> bool,
        now: Steady,
    ) {
        let is_known = |name: &String| helpers.iter().any(|helper| helper.name == *name);
        self.cut.retain(|name, _| is_known(name));
        self.paths.retain(|caller, zones| {
            zones.retain(|_, path| {
                path.workers.retain(|worker, fault| fault.is_active(now) && is_present(worker));
                path.silent.retain(&is_present);
                // A proven fault ends by a probe, which needs a worker that proved it.
                let is_probed = path.workers.values().any(|fault| fault.is_proven);
                path.zone.take_if(|fault| !fault.is_active(now) || fault.is_proven && !is_probed);
                !path.is_clear(now)
            });
            let is_helper = match caller {
                Caller::Own => true,
                Caller::Node(name) => is_known(name),
            };
            is_helper && !zones.is_empty()
        });
        let paths = &self.paths;
        self.kept.retain(|worker, _| {
            let mut all = paths.values().flat_map(BTreeMap::values);
            is_present(worker) && all.any(|path| !path.is_usable(worker, now))
        });
        self.helpers = helpers;
    }

    /// The probes that are due: one for each path that was at fault and for each node that could
    /// not be reached.
    pub(crate) fn take_probes(&mut self, now: Steady) -> Vec<Probe> {
        let mut probes = Vec::new();
        for (name, times) in &mut self.cut {
            if times.take_due(now) {
                probes.push(Probe { caller: Caller::Node(name.clone()), worker: None });
            }
        }
        for (caller, zones) in &mut self.paths {
            if matches!(caller, Caller::Node(name) if self.cut.contains_key(name)) {
                continue;
            }
            for path in zones.values_mut() {
                let proven = path.workers.iter().filter(|(_, fault)| fault.is_proven);
                // Another worker each time: one may be down by now.
                let worker = proven.map(|(worker, _)| worker).min_by_key(|w| hash(&(w, now)));
                let Some(worker) = worker.cloned() else {
                    continue;
                };
                if path.probes.take_due(now) {
                    probes.push(Probe { caller: caller.clone(), worker: Some(worker) });
                }
            }
        }
        probes
    }

    /// Whether a node is known not to be reached.
    pub(crate) fn is_cut(&self, name: &str) -> bool {
        self.cut.contains_key(name)
    }

    /// Other nodes that are in use, or probed.
    pub(crate) fn nodes(&self) -> BTreeSet<&str> {
        let callers = self.kept.values().chain(self.paths.keys());
        let names = callers.filter_map(|caller| match caller {
            Caller::Own => None,
            Caller::Node(name) => Some(name),
        });
        names.chain(self.cut.keys()).map(String::as_str).collect()
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
