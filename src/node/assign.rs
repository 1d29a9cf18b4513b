//! Tells workers what their hosts should do: at once when it changes, and again before the lease
//! of their tasks runs out.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};

use crate::{
    model::{
        fleet::Fleet,
        host::{HostRecord, HostReport, HostState},
        id::{HostId, NodeId, PoolId},
        record::Key,
        unit::{Revision, Time},
    },
    node::{Node, view::View},
    platform::worker::{self, Assignment, CommandError, TaskOrder},
};

/// Commands that are under way at one time.
const AT_ONCE: usize = 16;
/// How long a command may take.
const LIMIT: Duration = Duration::from_secs(1);
/// The least time between two equal commands to a host that does not follow.
const AGAIN: Duration = Duration::from_secs(1);

/// How long further changes are waited for, so that many cause one look.
const GATHER: Duration = Duration::from_millis(20);
/// Between two looks when nothing has changed: time alone makes commands due again.
const IDLE: Duration = Duration::from_millis(500);

/// The hosts that this node commands, worked out anew only when nodes or hosts have changed.
#[derive(Default)]
struct Owned {
    hosts: Vec<HostId>,
    nodes: Vec<NodeId>,
    count: usize,
}

impl Owned {
    fn refresh(&mut self, node: &Node, view: &View) {
        let fleet = &view.fleet;
        if self.count == fleet.hosts.len() && fleet.nodes.keys().eq(&self.nodes) {
            return;
        }
        let is_own = |host: &&HostId| node.owns(view, &format!("host/{host}"));
        self.hosts = fleet.hosts.keys().filter(is_own).cloned().collect();
        self.nodes = fleet.nodes.keys().cloned().collect();
        self.count = fleet.hosts.len();
    }
}

struct Told {
    assignment: Assignment,
    at: Time,
    taken: bool,
}

/// Commands the hosts that this node owns for as long as it runs.
pub(crate) async fn command(node: Arc<Node>) {
    let mut told: HashMap<HostId, Told> = HashMap::new();
    let mut owned = Owned::default();
    let mut changed = node.changed.subscribe();
    loop {
        let wait = tokio::time::sleep(IDLE);
        tokio::select! {
            () = wait => {}
            _ = changed.changed() => tokio::time::sleep(GATHER).await,
        }
        changed.borrow_and_update();
        let now = Time::now();
        let due = {
            let view = node.view();
            told.retain(|host, _| view.fleet.hosts.contains_key(host));
            owned.refresh(&node, &view);
            due(&node, &view, &owned, &told, now)
        };
        let sent = stream::iter(due).map(|(address, assignment)| {
            let node = node.clone();
            async move {
                let size = serde_json::to_vec(&assignment).map_or(0, |body| body.len());
                node.traffic.note(size);
                let sent = worker::command(&node.client, &address, &assignment, LIMIT).await;
                (assignment, sent)
            }
        });
        let sent: Vec<_> = sent.buffer_unordered(AT_ONCE).collect().await;
        for (assignment, result) in sent {
            let taken = match result {
                Ok(()) => true,
                Err(error @ CommandError::Older { .. }) => {
                    log::debug!("{error}");
                    false
                }
                Err(error) => {
                    log::info!("{error}");
                    false
                }
            };
            let host = assignment.host.clone();
            told.insert(host, Told { assignment, at: now, taken });
        }
    }
}

fn due(
    node: &Node,
    view: &View,
    owned: &Owned,
    told: &HashMap<HostId, Told>,
    now: Time,
) -> Vec<(String, Assignment)> {
    let mut due = Vec::new();
    let renew = node.settings.timing.task_lease / 3;
    let revisions = revisions(&view.fleet);
    for host in &owned.hosts {
        let Some(record) = view.fleet.hosts.get(host) else { continue };
        let Some(report) = view.fleet.reports.get(host).filter(|report| report.live) else {
            continue;
        };
        let mut assignment = assignment(&view.fleet, host, record, node.settings.timing.task_lease);
        // A pool that no record names yet is as old as can be.
        let placed = revisions.get(&record.pool).copied().unwrap_or_default();
        assignment.revision = assignment.revision.max(placed);
        if is_due(told.get(host), &assignment, report, renew, now) {
            due.push((report.address.clone(), assignment));
        }
    }
    due
}

/// The newest placement of each pool: one that took a task away from a host is newer than the one
/// that put it there, so that an older command never brings the task back.
fn revisions(fleet: &Fleet) -> HashMap<PoolId, Revision> {
    let mut newest: HashMap<PoolId, Revision> = HashMap::new();
    for (id, service) in &fleet.config.services {
        let revision = fleet.revision(&Key::Placement(id.clone()));
        let held = newest.entry(service.pool.clone()).or_default();
        *held = revision.max(*held);
    }
    newest
}

fn is_due(
    last: Option<&Told>,
    assignment: &Assignment,
    report: &HostReport,
    renew: Duration,
    now: Time,
) -> bool {
    let Some(last) = last else { return true };
    let since = now.since(last.at);
    if renew <= since || !is_same(&last.assignment, assignment) {
        return true;
    }
    AGAIN <= since && !(last.taken && follows(report, assignment))
}

/// Whether two commands ask for the same, whatever they were made from.
fn is_same(one: &Assignment, two: &Assignment) -> bool {
    let asks = |a: &Assignment| (a.epoch, a.accept, a.reboot, a.tasks.clone());
    asks(one) == asks(two)
}

/// Whether a report shows what a command asked for.
fn follows(report: &HostReport, assignment: &Assignment) -> bool {
    let runs = |order: &TaskOrder| {
        report.tasks.iter().any(|task| {
            task.index == order.index
                && task.generation == order.generation
                && task.service == order.service
        })
    };
    assignment.epoch <= report.epoch && assignment.tasks.iter().all(runs)
}

/// All that a host should do.
pub(crate) fn assignment(
    fleet: &Fleet,
    host: &HostId,
    record: &HostRecord,
    lease: Duration,
) -> Assignment {
    let may_run = record.state.serves() || record.state == HostState::Leaving;
    let mut tasks = Vec::new();
    let own = fleet.tasks_on(host).iter().map(|task| (task, fleet.assigned(task)));
    let coming = fleet.coming_to(host).iter();
    let coming = coming.map(|task| (task, fleet.successor(task).map(|successor| &successor.to)));
    for (task, assigned) in own.chain(coming).filter(|_| may_run) {
        let (Some(service), Some(assigned)) = (fleet.service(&task.service), assigned) else {
            continue;
        };
        tasks.push(TaskOrder {
            service: task.service.clone(),
            index: task.index,
            generation: assigned.generation,
            need: service.need,
            slots: service.slots,
            connections: service.connections,
        });
    }
    Assignment {
        host: host.clone(),
        epoch: record.epoch,
        revision: fleet.revision(&Key::Host(host.clone())),
        accept: record.state.serves(),
        reboot: record.state == HostState::Away,
        lease,
        tasks,
    }
}
