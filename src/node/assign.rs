//! Sends workers the assignments of their hosts: at once after a change, and again before the lease
//! of their tasks expires.

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

/// Maximum number of commands in flight.
const MAX_CONCURRENT: usize = 16;
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two equal commands to a host that does not comply.
const RESEND_DELAY: Duration = Duration::from_secs(1);

/// How long to wait for further changes, so that they are handled together.
const DEBOUNCE: Duration = Duration::from_millis(20);
/// Interval of checks without a change: commands also become due by time.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// The hosts that this node commands, recomputed only when nodes or hosts have changed.
#[derive(Default)]
struct Owned {
    hosts: Vec<HostId>,
    nodes: Vec<NodeId>,
    host_count: usize,
}

impl Owned {
    fn refresh(&mut self, node: &Node, view: &View) {
        let fleet = &view.fleet;
        if self.host_count == fleet.hosts.len() && fleet.nodes.keys().eq(&self.nodes) {
            return;
        }
        let is_own = |host: &&HostId| node.owns(view, &format!("host/{host}"));
        self.hosts = fleet.hosts.keys().filter(is_own).cloned().collect();
        self.nodes = fleet.nodes.keys().cloned().collect();
        self.host_count = fleet.hosts.len();
    }
}

struct SentCommand {
    assignment: Assignment,
    sent_at: Time,
    accepted: bool,
}

/// Commands the hosts that this node owns, for as long as the node runs.
pub(crate) async fn command(node: Arc<Node>) {
    let mut sent_commands: HashMap<HostId, SentCommand> = HashMap::new();
    let mut owned = Owned::default();
    let mut changed = node.changed.subscribe();
    loop {
        let wait = tokio::time::sleep(IDLE_INTERVAL);
        tokio::select! {
            () = wait => {}
            _ = changed.changed() => tokio::time::sleep(DEBOUNCE).await,
        }
        changed.borrow_and_update();
        let now = Time::now();
        let due = {
            let view = node.view();
            sent_commands.retain(|host, _| view.fleet.hosts.contains_key(host));
            owned.refresh(&node, &view);
            due(&node, &view, &owned, &sent_commands, now)
        };
        let sent = stream::iter(due).map(|(address, assignment)| {
            let node = node.clone();
            async move {
                let size = serde_json::to_vec(&assignment).map_or(0, |body| body.len());
                node.traffic.record(size);
                let sent =
                    worker::command(&node.client, &address, &assignment, COMMAND_TIMEOUT).await;
                (assignment, sent)
            }
        });
        let sent: Vec<_> = sent.buffer_unordered(MAX_CONCURRENT).collect().await;
        for (assignment, result) in sent {
            let accepted = match result {
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
            sent_commands.insert(host, SentCommand { assignment, sent_at: now, accepted });
        }
    }
}

fn due(
    node: &Node,
    view: &View,
    owned: &Owned,
    sent_commands: &HashMap<HostId, SentCommand>,
    now: Time,
) -> Vec<(String, Assignment)> {
    let mut due = Vec::new();
    let renew = node.settings.timing.task_lease / 3;
    let pool_revisions = pool_revisions(&view.fleet);
    for host in &owned.hosts {
        let Some(record) = view.fleet.hosts.get(host) else { continue };
        let Some(report) = view.fleet.reports.get(host).filter(|report| report.live) else {
            continue;
        };
        let mut assignment = assignment(&view.fleet, host, record, node.settings.timing.task_lease);
        // A pool without placements has revision 0.
        let placement_revision = pool_revisions.get(&record.pool).copied().unwrap_or_default();
        assignment.revision = assignment.revision.max(placement_revision);
        if is_due(sent_commands.get(host), &assignment, report, renew, now) {
            due.push((report.address.clone(), assignment));
        }
    }
    due
}

/// The revision of the newest placement of each pool. The placement that removed a task from a host
/// is newer than the one that assigned it, so that an older command never brings the task back.
fn pool_revisions(fleet: &Fleet) -> HashMap<PoolId, Revision> {
    let mut newest: HashMap<PoolId, Revision> = HashMap::new();
    for (id, service) in &fleet.config.services {
        let revision = fleet.revision(&Key::Placement(id.clone()));
        let newest_of_pool = newest.entry(service.pool.clone()).or_default();
        *newest_of_pool = revision.max(*newest_of_pool);
    }
    newest
}

fn is_due(
    last: Option<&SentCommand>,
    assignment: &Assignment,
    report: &HostReport,
    renew: Duration,
    now: Time,
) -> bool {
    let Some(last) = last else { return true };
    let since = now.since(last.sent_at);
    if renew <= since || !is_equivalent(&last.assignment, assignment) {
        return true;
    }
    RESEND_DELAY <= since && !(last.accepted && complies(report, assignment))
}

/// Whether two commands have the same content, regardless of their revisions.
fn is_equivalent(one: &Assignment, two: &Assignment) -> bool {
    let content = |a: &Assignment| (a.epoch, a.accept, a.reboot, a.tasks.clone());
    content(one) == content(two)
}

/// Whether a report shows that a command was carried out.
fn complies(report: &HostReport, assignment: &Assignment) -> bool {
    let runs = |order: &TaskOrder| {
        report.tasks.iter().any(|task| {
            task.index == order.index
                && task.generation == order.generation
                && task.service == order.service
        })
    };
    assignment.epoch <= report.epoch && assignment.tasks.iter().all(runs)
}

/// The complete assignment of a host.
pub(crate) fn assignment(
    fleet: &Fleet,
    host: &HostId,
    record: &HostRecord,
    lease: Duration,
) -> Assignment {
    let may_run = record.state.serves() || record.state == HostState::Leaving;
    let mut tasks = Vec::new();
    let own = fleet.tasks_on(host).iter().map(|task| (task, fleet.assigned(task)));
    let incoming = fleet.successors_on(host).iter();
    let incoming =
        incoming.map(|task| (task, fleet.successor(task).map(|successor| &successor.to)));
    for (task, assigned) in own.chain(incoming).filter(|_| may_run) {
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
