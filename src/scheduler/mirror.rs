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
    },
};

/// The prefixes that are mirrored. The order is that of [`View::ready`].
///
/// [`View::ready`]: crate::scheduler::view::View
const PREFIXES: [&str; 3] = [ROOT, OPERATOR_PREFIX, WORKER_PREFIX];

/// How long a watch waits for a change. A watch that hangs because its connection is cut is
/// noticed soon after, within what a change of the configuration may take.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The least time between two answers of each watch, in the order of the prefixes, so that many
/// small changes come in few answers: each answer is paid for, by every node. Owners hear of new
/// jobs by a watch of their own; configurations come at once. Workers matter to owners only, so that
/// other nodes hear of them late: of 690 watches a minute for each node these were 200.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(120), Duration::ZERO, Duration::from_millis(2_000)];

/// The same at a node that owns work: of each host that changes pools its owners hear four times,
/// one after the other, and work that can be in time waits for it meanwhile.
const OWNER_PAUSES: [Duration; 3] =
    [Duration::from_millis(40), Duration::ZERO, Duration::from_millis(60)];

/// The least time between two answers of an owner's own watch.
const FOLLOW_PAUSE: Duration = Duration::from_millis(8);

/// Whether a prefix whose watch was lost is read anew, in the order of the prefixes. What was
/// written meanwhile may be many versions of one large configuration, too much for a slow link
/// within the time of a watch, and only the newest counts.
const READ_ANEW: [bool; 3] = [false, true, false];

/// How long to wait after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// Mirrors every prefix until the node ends.
pub(crate) fn start(node: &Arc<Node>, to: &mpsc::UnboundedSender<Input>) {
    for (place, prefix) in PREFIXES.into_iter().enumerate() {
        let (node, to) = (node.clone(), to.clone());
        tokio::spawn(async move { mirror(&node, place, prefix, &to).await });
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
    let (node, prefix, to) = (node.clone(), keys::work(name), to.clone());
    tokio::spawn(async move {
        let following = follow_until_over(&node, &prefix, Revision(token), &to);
        over.run_until_cancelled(following).await;
    });
}

async fn follow_until_over(
    node: &Arc<Node>,
    prefix: &str,
    token: Revision,
    to: &mpsc::UnboundedSender<Input>,
) {
    let mut since = token;
    loop {
        match node.kv.watch(prefix, since, WATCH_WAIT).await {
            Ok(heard) => {
                since = heard.at.max(since);
                tell(node, heard.changes, to);
                sleep(FOLLOW_PAUSE).await;
            }
            Err(error) => {
                log::debug!("store: watch of {prefix} lost at {since}: {error}");
                sleep(FAILED_PAUSE).await;
                // What the mirror has told needs no history.
                since = since.max(node.view().known);
            }
        }
    }
}

/// Takes in changes and tells the loop what they mean.
fn tell(node: &Arc<Node>, changes: Vec<Change>, to: &mpsc::UnboundedSender<Input>) {
    let mut view = node.view();
    let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
    drop(view);
    if !deltas.is_empty() {
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
    }
}

async fn mirror(
    node: &Arc<Node>,
    place: usize,
    prefix: &'static str,
    to: &mpsc::UnboundedSender<Input>,
) {
    let mut since: Option<Revision> = None;
    let mut keys: BTreeSet<String> = BTreeSet::new();
    let mut lost = false;
    loop {
        let outcome = match since {
            None => read_all(node, place, prefix, &mut keys, to).await.map(Some),
            Some(from) => watch(node, place, prefix, from, &mut keys, to).await,
        };
        match outcome {
            Ok(at) => {
                if lost {
                    log::info!("store: watch of {prefix} goes on at {at:?}");
                }
                lost = false;
                since = at;
            }
            Err(error) => {
                if !lost {
                    log::warn!("store: watch of {prefix} lost at {since:?}: {error}");
                }
                lost = true;
                if READ_ANEW[place] {
                    since = None;
                }
                sleep(FAILED_PAUSE).await;
            }
        }
        if !lost {
            rest(node, place).await;
        }
    }
}

/// Reads a whole prefix; what is known and not there any more is gone.
/// Waits until the next answer may come: a node that has just come to own work is told at once.
async fn rest(node: &Node, place: usize) {
    if node.owns_work() {
        return sleep(OWNER_PAUSES[place]).await;
    }
    tokio::select! {
        () = sleep(PAUSES[place]) => {}
        () = node.until_owning() => {}
    }
}

async fn read_all(
    node: &Arc<Node>,
    place: usize,
    prefix: &str,
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
    take_in(node, place, changes, at, to);
    Ok(at)
}

/// Waits for changes. With the history gone, all is read again.
async fn watch(
    node: &Arc<Node>,
    place: usize,
    prefix: &str,
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
    take_in(node, place, heard.changes, heard.at, to);
    Ok(Some(heard.at.max(since)))
}

fn take_in(
    node: &Arc<Node>,
    place: usize,
    changes: Vec<Change>,
    at: Revision,
    to: &mpsc::UnboundedSender<Input>,
) {
    let mut view = node.view();
    let deltas: Vec<_> = changes.into_iter().filter_map(|change| view.apply(change)).collect();
    let first = !view.ready[place];
    view.ready[place] = true;
    if place == 0 {
        view.known = view.known.max(at);
    }
    drop(view);
    if !deltas.is_empty() || first || place == 0 {
        // The receiver ends with the process only.
        let _ = to.send(Input::Deltas(deltas));
    }
}
