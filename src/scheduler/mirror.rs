//! Mirrors the store into the view: one read of each prefix, then a watch from its revision. An
//! answer counts as of the time when its call was sent, not of when it arrived.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    sync::mpsc,
    task::yield_now,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    model::unit::Revision,
    platform::{
        kv::{Change, WatchBatch},
        records::{OPERATOR_PREFIX, WORKER_PREFIX},
        store::StoreError,
    },
    scheduler::{
        Node,
        control_loop::Input,
        keys::{self, ROOT},
        lease::Lease,
        replicas,
        view::{
            age::{CallStart, Extent},
            key_revisions::SourceId,
        },
    },
    settings::scheduler::SchedulerSettings,
};

/// A prefix that is mirrored.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prefix {
    path: &'static str,
    /// The minimum time between two answers of its watch, so that many small changes come in few
    /// answers: each has a cost.
    pause: Duration,
    /// The same at a node that owns work: each host that changes pools takes four updates of the
    /// owners, one after the other, and work that could still end in time waits meanwhile.
    owner_pause: Duration,
    /// How long a watch waits for a change: while nothing changes, the view of the prefix gets as
    /// old as this plus a pause.
    wait: fn(&Node) -> Duration,
    /// Whether the prefix is read again when its watch is lost. The changes since then may be many
    /// versions of one large configuration, too much for a slow link within the time of a watch,
    /// and only the newest version is needed.
    rereads_on_loss: bool,
}

/// Configurations and waves, mirrored without a pause.
const OPERATOR: Prefix = Prefix {
    path: OPERATOR_PREFIX,
    pause: Duration::ZERO,
    owner_pause: Duration::ZERO,
    wait: operator_wait,
    rereads_on_loss: true,
};

/// The published list of replicas, which every node mirrors.
const COMMON: Prefix = Prefix {
    path: keys::ALL,
    pause: Duration::from_millis(500),
    owner_pause: Duration::from_millis(500),
    wait: |_| LIST_WATCH_WAIT,
    rereads_on_loss: false,
};

/// The reports of waiting jobs, which nodes mirror for the admission by the weights of client
/// accounts. Counts for callers may be two seconds old.
const REPORTS: Prefix = Prefix {
    path: keys::QUEUED,
    pause: Duration::from_millis(500),
    owner_pause: Duration::from_millis(500),
    wait: |_| COUNTS_WATCH_WAIT,
    rereads_on_loss: false,
};

/// All records of the scheduler. Owners receive new jobs earlier through watches of their own.
pub(super) const RECORDS: Prefix = Prefix {
    path: ROOT,
    pause: Duration::from_millis(120),
    owner_pause: Duration::from_millis(40),
    wait: |_| COUNTS_WATCH_WAIT,
    rereads_on_loss: false,
};

/// The reports of workers.
pub(super) const WORKERS: Prefix = Prefix {
    path: WORKER_PREFIX,
    pause: Duration::from_millis(250),
    owner_pause: Duration::from_millis(60),
    wait: |_| WATCH_WAIT,
    rereads_on_loss: false,
};

/// How long the watch of the list of replicas waits: nothing is answered by its age. Requests that
/// are relayed by an old list find another replica.
const LIST_WATCH_WAIT: Duration = Duration::from_secs(10);

/// How often a node checks whether it needs the reports of waiting jobs.
const REPORTS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The part of the time in which a change of the configuration must be in force that a watch of it
/// waits, in percent: the rest is for a watch that hangs, and for reading the records again twice.
const CONFIG_WAIT_PERCENT: u32 = 40;

/// The longest wait of a watch of the operator's records: a node is not ready once it has received
/// no answer for 3.5 s, and a watch that hangs is detected one second after its wait.
const MAX_OPERATOR_WAIT: Duration = Duration::from_secs(2);

/// How long a watch waits for a change. A watch that hangs because its connection is cut is
/// detected soon after, within the time that a change of the configuration may take.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The same for records from which callers are answered: an answered watch covers what was written
/// before it was sent, and two watches with their pauses stay well within the allowed age of an
/// answer. Where there is work, a change ends the wait much earlier.
const COUNTS_WATCH_WAIT: Duration = Duration::from_millis(500);

/// How long an owner's own watch waits for a change.
const OWNER_WATCH_WAIT: Duration = Duration::from_millis(200);

/// How long after its wait an owner's own watch is taken to be silent, unless the store answers
/// slowly: new jobs are then received within 300 ms by reading them.
const OWNER_WATCH_SLACK: Duration = Duration::from_millis(60);

/// The minimum time between two answers of an owner's own watch.
const OWNER_WATCH_PAUSE: Duration = Duration::from_millis(8);

/// The minimum number of changes to apply at once, about as many as the store sends in one answer.
/// A read of a large deployment has 10,000 and more, which lock the view for 25 ms on a whole core
/// when they are applied in one step.
pub(super) const MIN_SLICE: usize = 512;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Starts to mirror the store until the node ends: immediately the prefixes that all nodes
/// mirror, and the others when the node becomes a replica. It then stays one.
pub(crate) fn start(node: &Arc<Node>, lease: &Arc<Lease>, inputs: &mpsc::UnboundedSender<Input>) {
    for prefix in [OPERATOR, COMMON] {
        spawn(node, prefix, inputs);
    }
    {
        let (node, inputs) = (node.clone(), inputs.clone());
        tokio::spawn(async move { mirror_reports(&node, &inputs).await });
    }
    let (node, lease, inputs) = (node.clone(), lease.clone(), inputs.clone());
    tokio::spawn(async move {
        replicas::wait_until_chosen(&node, &lease).await;
        log::info!("node {}: hears of everything from now on", node.settings.node);
        for prefix in [RECORDS, WORKERS] {
            spawn(&node, prefix, &inputs);
        }
        replicas::maintain(node, lease).await;
    });
}

/// How long a watch of the operator's records waits. Nodes that may own work, check keys or know
/// evacuated zones decide by the age of these records. Elsewhere a change must be in force in time,
/// even if the connection of a watch has hung and the records are read again.
pub(super) fn operator_wait(node: &Node) -> Duration {
    let SchedulerSettings { max_key_age, zones, config_bound, .. } = &node.settings;
    let view = node.view();
    let has_accounts = view.config.as_ref().is_some_and(|config| config.accounts.is_some());
    let needs_age = view.mirrors_records()
        || has_accounts
        || max_key_age.is_some()
        || zones.evacuation.is_some();
    match needs_age {
        true => WATCH_WAIT,
        false => (*config_bound * CONFIG_WAIT_PERCENT / 100).clamp(WATCH_WAIT, MAX_OPERATOR_WAIT),
    }
}

/// Mirrors the reports of waiting jobs while accounts have weights. Replicas receive them with the
/// other records, and other nodes read them when a caller asks.
async fn mirror_reports(node: &Arc<Node>, inputs: &mpsc::UnboundedSender<Input>) {
    loop {
        let (needs_reports, is_replica) = {
            let view = node.view();
            let accounts = view.config.as_ref().and_then(|config| config.accounts.as_ref());
            let has_weights = accounts
                .is_some_and(|accounts| accounts.iter().any(|account| account.weight.is_some()));
            (has_weights, view.mirrors_records())
        };
        if is_replica {
            return;
        }
        if needs_reports {
            tokio::select! {
                () = mirror(node, REPORTS, inputs) => {}
                () = replicas::wait_until_mirroring(node) => {}
            }
        }
        sleep(REPORTS_CHECK_INTERVAL).await;
    }
}

fn spawn(node: &Arc<Node>, prefix: Prefix, inputs: &mpsc::UnboundedSender<Input>) {
    let (node, inputs) = (node.clone(), inputs.clone());
    tokio::spawn(async move { mirror(&node, prefix, &inputs).await });
}

/// Watches the records of one piece of work that this node owns, so that its new jobs are received
/// at once. The mirror receives the same changes later.
pub(crate) fn watch_work(
    node: &Arc<Node>,
    name: &str,
    token: u64,
    ended: CancellationToken,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let (prefix, inputs) = (keys::work(name), inputs.clone());
    // The owner already got the changes that the mirror had applied when the node took over the
    // work.
    let mut view = node.view();
    let since = view.known_revision.max(Revision(token));
    let source = view.key_revisions.add_source(&prefix, since);
    view.ages.add_prefix(&prefix, ROOT);
    drop(view);
    let owner_watch =
        OwnerWatch { node: node.clone(), prefix, source, name: name.to_owned(), token };
    tokio::spawn(async move {
        let watching = owner_watch.run(since, &inputs);
        ended.run_until_cancelled(watching).await;
    });
}

/// An owner's own watch: a source of changes until it is dropped.
struct OwnerWatch {
    node: Arc<Node>,
    prefix: String,
    source: SourceId,
    name: String,
    token: u64,
}

impl OwnerWatch {
    async fn run(&self, mut since: Revision, inputs: &mpsc::UnboundedSender<Input>) {
        let prefix = self.prefix.as_str();
        let mut slack = OWNER_WATCH_SLACK;
        loop {
            let call = start_call(&self.node);
            let watched = self.node.kv.watch(prefix, since, OWNER_WATCH_WAIT);
            match timeout(OWNER_WATCH_WAIT + slack, watched).await {
                Ok(Ok(answer)) => {
                    let answered = self.node.now().steady;
                    let extent = Extent::of_watch(call, OWNER_WATCH_WAIT, &answer, answered);
                    since = answer.at.max(since);
                    let may_be_truncated = answer.may_be_truncated();
                    self.receive(call, answer.changes, extent, inputs);
                    if !may_be_truncated {
                        self.note_current(call, since, inputs);
                        sleep(OWNER_WATCH_PAUSE).await;
                    }
                    continue;
                }
                Ok(Err(error)) => {
                    log::debug!("store: watch of {prefix} lost at {since}: {error}");
                }
                Err(_) => log::debug!("store: watch of {prefix} is silent at {since}"),
            }
            // Watches may be silent or cut while reads are answered, and the history may be gone.
            let began = Instant::now();
            match self.read(inputs).await {
                Ok(at) => {
                    since = at.max(since);
                    // A store that answers slowly is not silent.
                    slack = OWNER_WATCH_SLACK.max(began.elapsed() * 2);
                }
                Err(error) => {
                    log::debug!("store: {prefix} not read: {error}");
                    slack = OWNER_WATCH_SLACK.max(began.elapsed() * 2);
                    sleep(RETRY_DELAY).await;
                    // Changes that the mirror has applied are not needed again.
                    since = since.max(self.node.view().known_revision);
                }
            }
        }
    }

    /// Reads all records of the work. Removals are received by the mirror.
    async fn read(&self, inputs: &mpsc::UnboundedSender<Input>) -> Result<Revision, StoreError> {
        let call = start_call(&self.node);
        let (mut items, at) = self.node.kv.range(&self.prefix).await?;
        items.sort_by_key(|item| item.revision);
        let written = items.into_iter().map(|item| Change {
            key: item.key,
            revision: item.revision,
            value: Some(item.value),
        });
        self.receive(call, written.collect(), Extent::Changes(at), inputs);
        self.note_current(call, at, inputs);
        Ok(at)
    }

    /// Tells the owner that it knows all of its jobs up to a revision.
    fn note_current(
        &self,
        call: CallStart,
        revision: Revision,
        inputs: &mpsc::UnboundedSender<Input>,
    ) {
        let (name, token, sent) = (self.name.clone(), self.token, call.sent);
        // Cannot fail: the receiver lives as long as the process.
        let _ = inputs.send(Input::WatchAnswered { name, token, sent, revision });
    }
}

impl OwnerWatch {
    fn receive(
        &self,
        call: CallStart,
        changes: Vec<Change>,
        extent: Extent,
        inputs: &mpsc::UnboundedSender<Input>,
    ) {
        let source = (self.prefix.as_str(), self.source);
        let deltas = self.node.view().apply_answer(source, call, changes, extent);
        if !deltas.is_empty() {
            // Cannot fail: the receiver lives as long as the process.
            let _ = inputs.send(Input::Deltas(deltas));
        }
    }
}

impl Drop for OwnerWatch {
    fn drop(&mut self) {
        let mut view = self.node.view();
        view.key_revisions.remove_source(self.source);
        view.ages.remove_prefix(&self.prefix);
    }
}

/// Describes a call that is sent now.
fn start_call(node: &Node) -> CallStart {
    let now = node.now().steady;
    node.view().ages.start_call(now)
}

/// A source of the view's changes, as long as a prefix is mirrored.
struct MirrorSource<'a> {
    node: &'a Node,
    id: SourceId,
}

impl MirrorSource<'_> {
    fn new<'a>(node: &'a Node, prefix: &str) -> MirrorSource<'a> {
        let id = node.view().key_revisions.add_source(prefix, Revision::default());
        MirrorSource { node, id }
    }
}

impl Drop for MirrorSource<'_> {
    fn drop(&mut self) {
        self.node.view().key_revisions.remove_source(self.id);
    }
}

async fn mirror(node: &Arc<Node>, prefix: Prefix, inputs: &mpsc::UnboundedSender<Input>) {
    let mirrored = MirrorSource::new(node, prefix.path);
    let source = mirrored.id;
    let mut since: Option<Revision> = None;
    let mut keys: BTreeSet<String> = BTreeSet::new();
    let mut lost = false;
    loop {
        let outcome = match since {
            // Without a pause: more was written during the read.
            None => {
                let read = read_all(node, (prefix.path, source), &mut keys, inputs).await;
                read.map(|at| (Some(at), Duration::ZERO))
            }
            Some(from) => watch(node, (&prefix, source), from, &mut keys, inputs).await,
        };
        match outcome {
            Ok((at, pause)) => {
                if lost {
                    log::info!("store: watch of {} resumed at {at:?}", prefix.path);
                }
                lost = false;
                since = at;
                wait_pause(node, pause).await;
            }
            Err(error) => {
                if !lost {
                    log::warn!("store: watch of {} lost at {since:?}: {error}", prefix.path);
                }
                lost = true;
                if prefix.rereads_on_loss {
                    since = None;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits before the next call of a watch, unless the node acquires work in between.
async fn wait_pause(node: &Node, pause: Duration) {
    if pause.is_zero() {
        return;
    }
    if node.owns_work() {
        return sleep(pause).await;
    }
    tokio::select! {
        () = sleep(pause) => {}
        () = node.wait_until_owning() => {}
    }
}

/// The pause after an answer of a prefix's watch. After an answer that may be truncated there is
/// none: with a pause of 120 ms, a node applied at most 3,125 changes a second, and a stale view
/// never caught up with the store.
pub(super) fn pause_after(answer: &WatchBatch, prefix: &Prefix, owns: bool) -> Duration {
    match (answer.may_be_truncated(), owns) {
        (true, _) => Duration::ZERO,
        (false, true) => prefix.owner_pause,
        (false, false) => prefix.pause,
    }
}

/// Reads a whole prefix. Known keys that are absent from it count as removed.
async fn read_all(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    keys: &mut BTreeSet<String>,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<Revision, StoreError> {
    let call = start_call(node);
    let (mut items, at) = node.kv.range(prefix).await?;
    node.view().ages.note_revision(call.sent, at);
    let present: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
    let removed = keys.iter().filter(|key| !present.contains(*key));
    let removed = removed.map(|key| Change { key: key.clone(), revision: at, value: None });
    let removed: Vec<Change> = removed.collect();
    items.sort_by_key(|item| item.revision);
    let items = items.into_iter();
    let written = items.map(|item| Change {
        key: item.key,
        revision: item.revision,
        value: Some(item.value),
    });
    let changes = removed.into_iter().chain(written).collect();
    *keys = present;
    apply(node, (prefix, source), call, changes, Extent::Changes(at), inputs).await;
    Ok(at)
}

/// Waits for changes. Returns the revision that they reach and the pause after them; `None` for the
/// revision if the history was compacted and the prefix has to be read again.
async fn watch(
    node: &Arc<Node>,
    (prefix, source): (&Prefix, SourceId),
    since: Revision,
    keys: &mut BTreeSet<String>,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<(Option<Revision>, Duration), StoreError> {
    let (path, wait) = (prefix.path, (prefix.wait)(node));
    let call = start_call(node);
    let answer = match node.kv.watch(path, since, wait).await {
        Ok(answer) => answer,
        Err(StoreError::Compacted { .. }) => {
            log::info!(
                "store: the history of {path} after {since} was compacted: reading the prefix again"
            );
            let empty = WatchBatch { changes: Vec::new(), at: since };
            return Ok((None, pause_after(&empty, prefix, node.owns_work())));
        }
        Err(error) => return Err(error),
    };
    let (at, extent) = (answer.at, Extent::of_watch(call, wait, &answer, node.now().steady));
    if let Extent::Unchanged(at, until) = extent
        && since < at
    {
        node.view().ages.note_revision(until, at);
    }
    for change in &answer.changes {
        match change.value {
            Some(_) => keys.insert(change.key.clone()),
            None => keys.remove(&change.key),
        };
    }
    let pause = pause_after(&answer, prefix, node.owns_work());
    apply(node, (path, source), call, answer.changes, extent, inputs).await;
    Ok((Some(at.max(since)), pause))
}

/// Applies changes to the view, a slice at a time, so that callers are answered in between.
async fn apply(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    call: CallStart,
    mut changes: Vec<Change>,
    extent: Extent,
    inputs: &mpsc::UnboundedSender<Input>,
) {
    let now = node.now().steady;
    while let Some(end) = slice_end(&changes) {
        let remaining = changes.split_off(end);
        let slice = std::mem::replace(&mut changes, remaining);
        let deltas = node.view().apply_part(call, slice);
        // Cannot fail: the receiver lives as long as the process.
        let _ = inputs.send(Input::Deltas(deltas));
        yield_now().await;
    }
    let mut view = node.view();
    let deltas = view.apply_answer((prefix, source), call, changes, extent);
    let first = view.note_answer(prefix, now);
    if prefix == ROOT {
        view.known_revision = view.known_revision.max(extent.at());
    }
    drop(view);
    if !deltas.is_empty() || first || prefix == ROOT {
        // Cannot fail: the receiver lives as long as the process.
        let _ = inputs.send(Input::Deltas(deltas));
    }
}

/// The end of the first of several slices, such that no transaction is split; `None` if the changes
/// fit into one slice.
pub(super) fn slice_end(changes: &[Change]) -> Option<usize> {
    (MIN_SLICE..changes.len()).find(|at| changes[*at].revision != changes[*at - 1].revision)
}
