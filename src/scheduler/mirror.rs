//! Keeps the view like the store: one read of each prefix, then a watch from there. What is taken in
//! counts as known as of when it was asked for, not as of when it came.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{sync::mpsc, task::yield_now, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    model::unit::Revision,
    platform::{
        kv::{Change, Heard},
        records::{OPERATOR_PREFIX, WORKER_PREFIX},
        store::StoreError,
    },
    scheduler::{
        Node,
        drive::Input,
        keys::{self, ROOT},
        view::{
            Delta,
            age::{Asked, Extent},
            heard::SourceId,
        },
    },
};

/// A prefix that is mirrored.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prefix {
    path: &'static str,
    /// The least time between two answers of its watch, so that many small changes come in few
    /// answers: each is paid for.
    pause: Duration,
    /// The same at a node that owns work: of each host that changes pools its owners hear four
    /// times, one after the other, and work that can be in time waits for it meanwhile.
    owner_pause: Duration,
    /// How long a watch waits for a change: while nothing changes, so old it gets and a pause more.
    wait: Duration,
    /// Whether it is read anew when its watch was lost. What was written meanwhile may be many
    /// versions of one large configuration, too much for a slow link within the time of a watch,
    /// and only the newest counts.
    reads_anew: bool,
}

/// Configurations and waves, which come at once.
const OPERATOR: Prefix = Prefix {
    path: OPERATOR_PREFIX,
    pause: Duration::ZERO,
    owner_pause: Duration::ZERO,
    wait: WATCH_WAIT,
    reads_anew: true,
};

/// What every node hears of: the nodes, and how many jobs wait, which may be two seconds old.
const COMMON: Prefix = Prefix {
    path: keys::ALL,
    pause: Duration::from_millis(500),
    owner_pause: Duration::from_millis(500),
    wait: COUNTED_WAIT,
    reads_anew: false,
};

/// All records of ours. Owners hear of new jobs by a watch of their own.
pub(super) const RECORDS: Prefix = Prefix {
    path: ROOT,
    pause: Duration::from_millis(120),
    owner_pause: Duration::from_millis(40),
    wait: COUNTED_WAIT,
    reads_anew: false,
};

/// What workers say of themselves.
pub(super) const WORKERS: Prefix = Prefix {
    path: WORKER_PREFIX,
    pause: Duration::from_millis(250),
    owner_pause: Duration::from_millis(60),
    wait: WATCH_WAIT,
    reads_anew: false,
};

/// How long after it has read which nodes there are a node decides whether it is to hear of
/// everything: nodes that start together are listed within that.
const SETTLE: Duration = Duration::from_millis(250);

/// How often it looks whether that has changed.
const REPLICA_CHECK: Duration = Duration::from_millis(200);

/// How long a watch waits for a change. A watch that hangs because its connection is cut is
/// noticed soon after, within what a change of the configuration may take.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The same for what callers are answered from: a watch that is answered tells of what was written
/// before it was sent, and two of them with their pauses stay well within what an answer may show. On
/// a site with work it is answered long before.
const COUNTED_WAIT: Duration = Duration::from_millis(500);

/// The least time between two answers of an owner's own watch.
const FOLLOW_PAUSE: Duration = Duration::from_millis(8);

/// Changes that are taken in at one time, at the least: as many as the store tells in one answer. All
/// of a large deployment are 10,000 and more, which held the view for 25 ms on a whole core.
pub(super) const SLICE: usize = 512;

/// How long to wait after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Mirrors what the node is to hear of until it ends: what all nodes hear of from the start, and the
/// rest once the node is one of those that may own work. Such a node goes on as one.
pub(crate) fn start(node: &Arc<Node>, to: &mpsc::UnboundedSender<Input>) {
    for prefix in [OPERATOR, COMMON] {
        spawn(node, prefix, to);
    }
    let (node, to) = (node.clone(), to.clone());
    tokio::spawn(async move {
        until_replica(&node).await;
        log::info!("node {}: hears of everything from now on", node.settings.node);
        for prefix in [RECORDS, WORKERS] {
            spawn(&node, prefix, &to);
        }
    });
}

fn spawn(node: &Arc<Node>, prefix: Prefix, to: &mpsc::UnboundedSender<Input>) {
    let (node, to) = (node.clone(), to.clone());
    tokio::spawn(async move { mirror(&node, prefix, &to).await });
}

async fn until_replica(node: &Node) {
    while !node.view().is_ready() {
        sleep(REPLICA_CHECK / 10).await;
    }
    sleep(SETTLE).await;
    while !node.view().replicas(node.settings.replicas).contains(node.settings.node.as_str()) {
        sleep(REPLICA_CHECK).await;
    }
}

/// Watches what belongs to one piece of work that this node owns, so that its new jobs are heard
/// of at once. The mirror tells of the same, later.
pub(crate) fn follow(
    node: &Arc<Node>,
    name: &str,
    token: u64,
    over: CancellationToken,
    to: &mpsc::UnboundedSender<Input>,
) {
    let (prefix, to) = (keys::work(name), to.clone());
    // What the mirror has told, the owner was given when it took the work up.
    let mut view = node.view();
    let since = view.known.max(Revision(token));
    let source = view.heard.open(&prefix, since);
    view.ages.begin(&prefix, ROOT);
    drop(view);
    let follower = Follower { node: node.clone(), prefix, source, name: name.to_owned(), token };
    tokio::spawn(async move {
        let following = follower.run(since, &to);
        over.run_until_cancelled(following).await;
    });
}

/// An owner's own watch: a source of changes until it is dropped.
struct Follower {
    node: Arc<Node>,
    prefix: String,
    source: SourceId,
    name: String,
    token: u64,
}

impl Follower {
    async fn run(&self, mut since: Revision, to: &mpsc::UnboundedSender<Input>) {
        let prefix = self.prefix.as_str();
        loop {
            let asked = ask(&self.node);
            match self.node.kv.watch(prefix, since, WATCH_WAIT).await {
                Ok(heard) => {
                    let answered = self.node.now().steady;
                    let extent = Extent::of_watch(asked, WATCH_WAIT, &heard, answered);
                    since = heard.at.max(since);
                    let cut = heard.may_be_cut();
                    let deltas = self.hear(asked, heard.changes, extent);
                    // The receiver ends with the process only.
                    if !deltas.is_empty() {
                        let _ = to.send(Input::Deltas(deltas));
                    }
                    if !cut {
                        let (name, token) = (self.name.clone(), self.token);
                        let asked = asked.sent;
                        let _ = to.send(Input::Followed { name, token, asked, at: since });
                        sleep(FOLLOW_PAUSE).await;
                    }
                }
                Err(error) => {
                    log::debug!("store: watch of {prefix} lost at {since}: {error}");
                    sleep(FAILED_PAUSE).await;
                    // What the mirror has told needs no history.
                    since = since.max(self.node.view().known);
                }
            }
        }
    }
}

impl Follower {
    fn hear(&self, asked: Asked, changes: Vec<Change>, extent: Extent) -> Vec<Delta> {
        self.node.view().hear((&self.prefix, self.source), asked, changes, extent)
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        let mut view = self.node.view();
        view.heard.close(self.source);
        view.ages.end(&self.prefix);
    }
}

/// A call that is sent now.
fn ask(node: &Node) -> Asked {
    let now = node.now().steady;
    node.view().ages.ask(now)
}

async fn mirror(node: &Arc<Node>, prefix: Prefix, to: &mpsc::UnboundedSender<Input>) {
    let source = node.view().heard.open(prefix.path, Revision::default());
    let mut since: Option<Revision> = None;
    let mut keys: BTreeSet<String> = BTreeSet::new();
    let mut lost = false;
    loop {
        let outcome = match since {
            // While it was read, more was written.
            None => {
                let read = read_all(node, (prefix.path, source), &mut keys, to).await;
                read.map(|at| (Some(at), Duration::ZERO))
            }
            Some(from) => watch(node, (&prefix, source), from, &mut keys, to).await,
        };
        match outcome {
            Ok((at, pause)) => {
                if lost {
                    log::info!("store: watch of {} goes on at {at:?}", prefix.path);
                }
                lost = false;
                since = at;
                rest(node, pause).await;
            }
            Err(error) => {
                if !lost {
                    log::warn!("store: watch of {} lost at {since:?}: {error}", prefix.path);
                }
                lost = true;
                if prefix.reads_anew {
                    since = None;
                }
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Waits until the next answer may come: a node that has just come to own work is told at once.
async fn rest(node: &Node, pause: Duration) {
    if pause.is_zero() {
        return;
    }
    if node.owns_work() {
        return sleep(pause).await;
    }
    tokio::select! {
        () = sleep(pause) => {}
        () = node.until_owning() => {}
    }
}

/// How long after an answer of its watch the next one of a prefix may come. After one that may be
/// cut there is no pause: with one of 120 ms a view took in 3,125 changes a second at the most, and
/// one that had fallen behind never came as far as the store again.
pub(super) fn pause_after(answer: &Heard, prefix: &Prefix, owns: bool) -> Duration {
    match (answer.may_be_cut(), owns) {
        (true, _) => Duration::ZERO,
        (false, true) => prefix.owner_pause,
        (false, false) => prefix.pause,
    }
}

/// Reads a whole prefix; what is known and not there any more is gone.
async fn read_all(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    keys: &mut BTreeSet<String>,
    to: &mpsc::UnboundedSender<Input>,
) -> Result<Revision, StoreError> {
    let asked = ask(node);
    let (mut items, at) = node.kv.range(prefix).await?;
    node.view().ages.told(asked.sent, at);
    let there: BTreeSet<String> = items.iter().map(|item| item.key.clone()).collect();
    let gone = keys.iter().filter(|key| !there.contains(*key));
    let gone = gone.map(|key| Change { key: key.clone(), revision: at, value: None });
    let gone: Vec<Change> = gone.collect();
    items.sort_by_key(|item| item.revision);
    let items = items.into_iter();
    let written = items.map(|item| Change {
        key: item.key,
        revision: item.revision,
        value: Some(item.value),
    });
    let changes = gone.into_iter().chain(written).collect();
    *keys = there;
    take_in(node, (prefix, source), asked, changes, Extent::Changes(at), to).await;
    Ok(at)
}

/// Waits for changes; how far they go, and the pause after them. With the history gone, all is read
/// again.
async fn watch(
    node: &Arc<Node>,
    (prefix, source): (&Prefix, SourceId),
    since: Revision,
    keys: &mut BTreeSet<String>,
    to: &mpsc::UnboundedSender<Input>,
) -> Result<(Option<Revision>, Duration), StoreError> {
    let Prefix { path, wait, .. } = *prefix;
    let asked = ask(node);
    let heard = match node.kv.watch(path, since, wait).await {
        Ok(heard) => heard,
        Err(StoreError::Compacted { .. }) => {
            log::info!("store: the history of {path} after {since} is gone: it is read anew");
            let nothing = Heard { changes: Vec::new(), at: since };
            return Ok((None, pause_after(&nothing, prefix, node.owns_work())));
        }
        Err(error) => return Err(error),
    };
    let (at, extent) = (heard.at, Extent::of_watch(asked, wait, &heard, node.now().steady));
    if let Extent::Quiet(at, until) = extent
        && since < at
    {
        node.view().ages.told(until, at);
    }
    for change in &heard.changes {
        match change.value {
            Some(_) => keys.insert(change.key.clone()),
            None => keys.remove(&change.key),
        };
    }
    let pause = pause_after(&heard, prefix, node.owns_work());
    take_in(node, (path, source), asked, heard.changes, extent, to).await;
    Ok((Some(at.max(since)), pause))
}

/// Takes in what was told, a slice at a time, so that callers are answered in between.
async fn take_in(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    asked: Asked,
    mut changes: Vec<Change>,
    extent: Extent,
    to: &mpsc::UnboundedSender<Input>,
) {
    let now = node.now().steady;
    while let Some(end) = end_of_slice(&changes) {
        let rest = changes.split_off(end);
        let slice = std::mem::replace(&mut changes, rest);
        let deltas = node.view().hear_part(asked, slice);
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
        yield_now().await;
    }
    let mut view = node.view();
    let deltas = view.hear((prefix, source), asked, changes, extent);
    let first = view.note_answer(prefix, now);
    if prefix == ROOT {
        view.known = view.known.max(extent.at());
    }
    drop(view);
    if !deltas.is_empty() || first || prefix == ROOT {
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
    }
}

/// Where the first of several slices ends: no transaction is torn apart.
pub(super) fn end_of_slice(changes: &[Change]) -> Option<usize> {
    (SLICE..changes.len()).find(|at| changes[*at].revision != changes[*at - 1].revision)
}
