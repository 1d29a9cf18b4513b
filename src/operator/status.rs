//! Status lists for operators, made from a node's view and its peers' heartbeats.

use std::collections::BTreeMap;

use crate::{
    decide::budget,
    model::{
        fleet::Fleet,
        host::{HostOutcome, HostRecord, HostState},
        id::{HostId, NodeId, PlanId},
        plan::{Plan, PlanState},
        unit::Time,
    },
    node::{Node, control},
    operator::message::{
        ChangeRow, HostRow, NodeRow, PlanRow, PlanView, PoolRow, Rows, ServiceRow,
    },
};

/// The rows of a list by name, or `None` if there is no such list.
pub(crate) fn rows(node: &Node, list: &str, now: Time) -> Option<Rows> {
    Some(match list {
        "hosts" => Rows::Hosts(hosts(&node.view().fleet)),
        "pools" => Rows::Pools(pools(&node.view().fleet)),
        "services" => Rows::Services(services(node, now)),
        "plans" => Rows::Plans(plans(&node.view().fleet)),
        "nodes" => Rows::Nodes(nodes(node, now)),
        "changes" => Rows::Changes(changes(node)),
        _ => return None,
    })
}

fn state_of(record: &HostRecord) -> String {
    format!("{:?}", record.state).to_lowercase()
}

fn outcome_of(record: &HostRecord) -> String {
    let last = record.ended.last();
    last.map(|(plan, outcome)| format!("{plan}: {}", outcome_text(outcome))).unwrap_or_default()
}

fn outcome_text(outcome: &HostOutcome) -> String {
    match outcome {
        HostOutcome::Done => "done".to_owned(),
        HostOutcome::Skipped(reason) => format!("skipped: {reason}"),
    }
}

fn hosts(fleet: &Fleet) -> Vec<HostRow> {
    let ids = fleet.reports.keys().chain(fleet.hosts.keys());
    let ids: std::collections::BTreeSet<&HostId> = ids.collect();
    ids.into_iter().map(|host| host_row(fleet, host)).collect()
}

fn host_row(fleet: &Fleet, host: &HostId) -> HostRow {
    let (record, report) = (fleet.hosts.get(host), fleet.reports.get(host));
    HostRow {
        host: host.clone(),
        rack: report.map(|report| report.rack.to_string()).unwrap_or_default(),
        zone: report.map(|report| report.zone.to_string()).unwrap_or_default(),
        pool: record.map(|record| record.pool.to_string()).unwrap_or_default(),
        state: record.map_or("unassigned".to_owned(), state_of),
        epoch: record.map(|record| record.epoch).unwrap_or_default(),
        live: report.is_some_and(|report| report.live),
        tasks: fleet.tasks_on(host).len(),
        plan: record.and_then(|record| record.plan.clone()),
        last: record.map(outcome_of).unwrap_or_default(),
    }
}

fn pools(fleet: &Fleet) -> Vec<PoolRow> {
    let row = |(id, pool): (&crate::model::id::PoolId, &crate::model::config::Pool)| {
        let hosts: Vec<&HostId> = fleet.hosts_of(id).collect();
        let serving = hosts.iter().filter(|h| fleet.hosts[**h].state == HostState::Serving);
        let live = hosts.iter().filter(|h| fleet.reports.get(**h).is_some_and(|r| r.live));
        let capacity: u64 = hosts
            .iter()
            .filter_map(|host| fleet.reports.get(*host))
            .map(|report| u64::from(report.capacity.cores.0))
            .sum();
        let used: u64 = hosts.iter().map(|host| u64::from(fleet.used(host).cores.0)).sum();
        PoolRow {
            pool: id.clone(),
            wanted: pool.hosts,
            hosts: hosts.len(),
            serving: serving.count(),
            live: live.count(),
            services: fleet.config.services.values().filter(|s| s.pool == *id).count(),
            used_percent: (used * 100 / capacity.max(1)) as u32,
        }
    };
    fleet.config.pools.iter().map(row).collect()
}

fn services(node: &Node, now: Time) -> Vec<ServiceRow> {
    let view = node.view();
    let fleet = &view.fleet;
    let rows = fleet.config.services.iter().map(|(id, service)| {
        let status = budget::status(fleet, id, service, now, &node.settings.rules);
        let placement = fleet.placements.get(id);
        ServiceRow {
            service: id.clone(),
            pool: service.pool.clone(),
            team: service.team.to_string(),
            tasks: service.tasks,
            available: service.tasks - status.down.len() as u32,
            max_down: service.max_down,
            reserve: status.reserve(),
            permits: placement.map_or(0, |placement| placement.permits.len()),
            moves: placement.map_or(0, |placement| placement.moves),
            holds: status.is_within_budget(),
        }
    });
    rows.collect()
}

fn count_ended(fleet: &Fleet, plan: &Plan) -> (usize, usize) {
    let ended = plan.hosts().filter_map(|host| fleet.hosts.get(host)?.outcome(&plan.id));
    let ended: Vec<&HostOutcome> = ended.collect();
    let done = ended.iter().filter(|outcome| ***outcome == HostOutcome::Done).count();
    (done, ended.len() - done)
}

fn plans(fleet: &Fleet) -> Vec<PlanRow> {
    let row = |plan: &Plan| {
        let (done, skipped) = count_ended(fleet, plan);
        PlanRow {
            plan: plan.id.clone(),
            state: plan.state.as_str().to_owned(),
            action: plan.intent.action.to_string(),
            hosts: plan.hosts().count(),
            done,
            skipped,
            by: plan.by.clone(),
            reason: plan.intent.reason.clone(),
        }
    };
    fleet.plans.values().map(row).collect()
}

/// A plan and its progress, or `None` if there is no such plan.
pub(crate) fn plan_view(node: &Node, id: &PlanId, now: Time) -> Option<PlanView> {
    let wait_reasons = control::wait_reasons(node, id, now);
    let view = node.view();
    let plan = view.fleet.plans.get(id)?;
    let (done, skipped) = count_ended(&view.fleet, plan);
    let hosts = plan.hosts().map(|host| {
        let text = match view.fleet.hosts.get(host) {
            None => "gone".to_owned(),
            Some(record) if record.plan.as_ref() == Some(id) => state_of(record),
            Some(record) => match (record.outcome(id), plan.state, wait_reasons.get(host)) {
                (Some(outcome), ..) => outcome_text(outcome),
                (None, PlanState::Running, Some(reason)) => format!("waits: {reason}"),
                (None, PlanState::Running, None) => "starts".to_owned(),
                _ => "untouched".to_owned(),
            },
        };
        (host.clone(), text)
    });
    Some(PlanView { plan: plan.clone(), hosts: hosts.collect(), done, skipped })
}

fn nodes(node: &Node, now: Time) -> Vec<NodeRow> {
    let peers = node.peers.all();
    let view = node.view();
    let own = NodeRow {
        node: node.id().clone(),
        zone: node.settings.zone.clone(),
        registered: view.fleet.nodes.contains_key(node.id()),
        config: view.fleet.through,
        view_age: Some(now.since(view.verified)),
        heard: None,
    };
    let mut rows = BTreeMap::from([(node.id().clone(), own)]);
    for (id, record) in &view.fleet.nodes {
        rows.entry(id.clone()).or_insert_with(|| NodeRow {
            node: id.clone(),
            zone: record.zone.clone(),
            registered: true,
            config: 0,
            view_age: None,
            heard: None,
        });
    }
    for (id, peer) in peers {
        let registered = view.fleet.nodes.contains_key(&id);
        let row = NodeRow {
            node: id.clone(),
            zone: peer.heartbeat.zone.clone(),
            registered,
            config: peer.heartbeat.through,
            view_age: Some(peer.heartbeat.age + now.since(peer.received_at)),
            heard: Some(now.since(peer.received_at)),
        };
        rows.insert(id, row);
    }
    rows.into_values().collect()
}

fn changes(node: &Node) -> Vec<ChangeRow> {
    let in_force = node.peers.in_force();
    let view = node.view();
    let registered: Vec<&NodeId> = view.fleet.nodes.keys().collect();
    let rows = in_force.into_iter().map(|(number, nodes)| {
        let record = view.fleet.changes.get(&number);
        ChangeRow {
            number,
            by: record.map(|record| record.by.clone()).unwrap_or_default(),
            accepted: record.map(|record| record.at),
            everywhere: registered.iter().all(|id| nodes.contains_key(*id)),
            nodes,
        }
    });
    rows.collect()
}
