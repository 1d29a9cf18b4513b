//! Keeps the view like the store: one read of each prefix, then a watch from there.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    model::unit::Revision,
    platform::{
        kv::Change,
        records::{OPERATOR_PREFIX, WORKER_PREFIX},
        store::StoreError,
    },
    scheduler::{
        Node,
        drive::Input,
        keys::{self, ROOT},
        view::heard::SourceId,
    },
};

/// A prefix that is mirrored.
#[derive(Debug, Clone, Copy)]
struct Prefix {
    path: &'static str,
    /// The least time between two answers of its watch, so that many small changes come in few
    /// answers: each is paid for.
    pause: Duration,
    /// The same at a node that owns work: of each host that changes pools its owners hear four
    /// times, one after the other, and work that can be in time waits for it meanwhile.
    owner_pause: Duration,
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
    reads_anew: true,
};

/// What every node hears of: the nodes, and how many jobs wait, which may be two seconds old.
const COMMON: Prefix = Prefix {
    path: keys::ALL,
    pause: Duration::from_millis(500),
    owner_pause: Duration::from_millis(500),
    reads_anew: false,
};

/// All records of ours. Owners hear of new jobs by a watch of their own.
const RECORDS: Prefix = Prefix {
    path: ROOT,
    pause: Duration::from_millis(120),
    owner_pause: Duration::from_millis(40),
    reads_anew: false,
};

/// What workers say of themselves.
const WORKERS: Prefix = Prefix {
    path: WORKER_PREFIX,
    pause: Duration::from_millis(250),
    owner_pause: Duration::from_millis(60),
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

/// The least time between two answers of an owner's own watch.
const FOLLOW_PAUSE: Duration = Duration::from_millis(8);

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
    drop(view);
    let follower = Follower { node: node.clone(), source, name: name.to_owned(), token };
    tokio::spawn(async move {
        let following = follower.run(&prefix, since, &to);
        over.run_until_cancelled(following).await;
    });
}

/// An owner's own watch: a source of changes until it is dropped.
struct Follower {
    node: Arc<Node>,
    source: SourceId,
    name: String,
    token: u64,
}

impl Follower {
    async fn run(&self, prefix: &str, mut since: Revision, to: &mpsc::UnboundedSender<Input>) {
        loop {
            let asked = self.node.now().steady;
            match self.node.kv.watch(prefix, since, WATCH_WAIT).await {
                Ok(heard) => {
                    since = heard.at.max(since);
                    tell(&self.node, self.source, heard.changes, since, to);
                    let (name, token) = (self.name.clone(), self.token);
                    // The receiver ends with the process only.
                    let _ = to.send(Input::Followed { name, token, asked });
                    sleep(FOLLOW_PAUSE).await;
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

impl Drop for Follower {
    fn drop(&mut self) {
        self.node.view().heard.close(self.source);
    }
}

/// Takes in changes of a source up to a revision, and tells the loop what they mean.
fn tell(
    node: &Arc<Node>,
    source: SourceId,
    changes: Vec<Change>,
    at: Revision,
    to: &mpsc::UnboundedSender<Input>,
) {
    let mut view = node.view();
    let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
    view.heard.passed(source, at);
    drop(view);
    if !deltas.is_empty() {
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
    }
}

async fn mirror(node: &Arc<Node>, prefix: Prefix, to: &mpsc::UnboundedSender<Input>) {
    let source = node.view().heard.open(prefix.path, Revision::default());
    let mut since: Option<Revision> = None;
    let mut keys: BTreeSet<String> = BTreeSet::new();
    let mut lost = false;
    loop {
        let outcome = match since {
            None => read_all(node, (prefix.path, source), &mut keys, to).await.map(Some),
            Some(from) => watch(node, (prefix.path, source), from, &mut keys, to).await,
        };
        match outcome {
            Ok(at) => {
                if lost {
                    log::info!("store: watch of {} goes on at {at:?}", prefix.path);
                }
                lost = false;
                since = at;
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
        if !lost {
            rest(node, prefix).await;
        }
    }
}

/// Waits until the next answer may come: a node that has just come to own work is told at once.
async fn rest(node: &Node, prefix: Prefix) {
    if node.owns_work() {
        return sleep(prefix.owner_pause).await;
    }
    tokio::select! {
        () = sleep(prefix.pause) => {}
        () = node.until_owning() => {}
    }
}

/// Reads a whole prefix; what is known and not there any more is gone.
async fn read_all(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    keys: &mut BTreeSet<String>,
    to: &mpsc::UnboundedSender<Input>,
) -> Result<Revision, StoreError> {
    let (mut items, at) = node.kv.range(prefix).await?;
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
    take_in(node, (prefix, source), changes, at, to);
    Ok(at)
}

/// Waits for changes. With the history gone, all is read again.
async fn watch(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    since: Revision,
    keys: &mut BTreeSet<String>,
    to: &mpsc::UnboundedSender<Input>,
) -> Result<Option<Revision>, StoreError> {
    let heard = match node.kv.watch(prefix, since, WATCH_WAIT).await {
        Ok(heard) => heard,
        Err(StoreError::Compacted { .. }) => {
            log::info!("store: the history of {prefix} after {since} is gone: it is read anew");
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    for change in &heard.changes {
        match change.value {
            Some(_) => keys.insert(change.key.clone()),
            None => keys.remove(&change.key),
        };
    }
    take_in(node, (prefix, source), heard.changes, heard.at, to);
    Ok(Some(heard.at.max(since)))
}

fn take_in(
    node: &Arc<Node>,
    (prefix, source): (&'static str, SourceId),
    changes: Vec<Change>,
    at: Revision,
    to: &mpsc::UnboundedSender<Input>,
) {
    let now = node.now().steady;
    let mut view = node.view();
    let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
    view.heard.passed(source, at);
    let first = view.note_answer(prefix, now);
    if prefix == ROOT {
        view.known = view.known.max(at);
    }
    drop(view);
    if !deltas.is_empty() || first || prefix == ROOT {
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
    }
}
