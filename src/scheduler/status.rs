//! What operators ask a node: its availability zones and client accounts, by its view and by the
//! pools that it owns.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use poem::{Endpoint, Request, Response, http::StatusCode};

use crate::{
    http,
    jobs::owner::Breakdown,
    model::{
        account::Account,
        id::{AccountId, HostId, ZoneId},
        job::TaskResources,
        unit::Steady,
    },
    operator::message::{AccountRow, Refusal, Rows, ZoneRow},
    platform::records::WORKER_PREFIX,
    scheduler::{Node, metrics::Page, view::View},
};

/// The path of the lists, which `caperhollow status` asks for.
const LISTS: &str = "/v1/status/";

/// Serves the lists of zones and accounts, beside the metrics.
pub(crate) struct Pages {
    pub(crate) node: Arc<Node>,
    pub(crate) metrics: Page,
}

impl Endpoint for Pages {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let Some(list) = request.uri().path().strip_prefix(LISTS) else {
            return self.metrics.call(request).await;
        };
        Ok(match rows(&self.node, list) {
            Some(rows) => http::json(StatusCode::OK, &rows),
            None => {
                let error = format!("scheduler nodes have no list `{list}`: zones or accounts");
                http::json(StatusCode::NOT_FOUND, &Refusal { error, fresh: None })
            }
        })
    }
}

fn rows(node: &Node, list: &str) -> Option<Rows> {
    let own = node.breakdown();
    let view = node.view();
    let refused = |account: &AccountId| node.metrics.refused_jobs(account);
    match list {
        "zones" => Some(Rows::Zones(zones(&view, &own))),
        "accounts" => Some(Rows::Accounts(accounts(&view, &own, refused, node.now().steady))),
        _ => None,
    }
}

/// The zones of the listed workers and of those that are known to the owners of pools.
fn zones(view: &View, own: &Breakdown) -> Vec<ZoneRow> {
    let mut hosts: BTreeMap<&ZoneId, BTreeSet<&HostId>> = BTreeMap::new();
    let mut workers: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    for report in view.workers.values().map(|at| &at.value) {
        hosts.entry(&report.zone).or_default().insert(&report.host);
        *workers.entry(&report.zone).or_default() += 1;
    }
    let zones: BTreeSet<&ZoneId> = hosts.keys().copied().chain(own.zones.keys()).collect();
    let row = |zone: &ZoneId| {
        let used = own.zones.get(zone).copied().unwrap_or_default();
        ZoneRow {
            zone: zone.clone(),
            hosts: hosts.get(zone).map_or(0, BTreeSet::len),
            workers: workers.get(zone).copied().unwrap_or_default(),
            owned: used.workers,
            responding: used.responding,
            running: used.running,
        }
    };
    zones.into_iter().map(row).collect()
}

/// The accounts of the configuration. `refused` tells how many of an account's jobs were refused.
fn accounts(
    view: &View,
    own: &Breakdown,
    refused: impl Fn(&AccountId) -> u64,
    now: Steady,
) -> Vec<AccountRow> {
    let accounts = view.config.as_ref().and_then(|config| config.accounts.as_ref());
    let row = |account: &Account| {
        let used = own.accounts.get(&account.id).copied().unwrap_or_default();
        let loads =
            || view.recent_loads(now).filter_map(|(_, load)| load.accounts.get(&account.id));
        AccountRow {
            account: account.id.clone(),
            weight: account.weight.map(|weight| weight.to_string()).unwrap_or_default(),
            limit: limit(&account.limit),
            sent: loads().map(|load| load.rate).sum(),
            beyond: loads().map(|load| load.waiting).sum(),
            refused: refused(&account.id),
            running: used.running,
            waiting: used.waiting,
        }
    };
    accounts.into_iter().flat_map(|accounts| accounts.iter()).map(row).collect()
}

/// A limit as text; empty if there is none.
fn limit(limit: &TaskResources) -> String {
    let parts = [
        (limit.cpu.0 != 0).then(|| format!("{} cores", f64::from(limit.cpu.0) / 1000.0)),
        (limit.memory.0 != 0).then(|| format!("{} MB", limit.memory.0)),
        (limit.gpus != 0).then(|| format!("{} accelerators", limit.gpus)),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join(", ")
}

/// Why as many zones as the settings say cannot be lost, by the zones of the listed workers. `None`
/// before those are known.
pub(crate) fn check_tolerated_losses(view: &View, tolerated: u32) -> Option<Result<(), String>> {
    if !view.ready.contains(WORKER_PREFIX) || view.workers.is_empty() {
        return None;
    }
    let zones: BTreeSet<&ZoneId> = view.workers.values().map(|at| &at.value.zone).collect();
    if tolerated == 0 || (tolerated as usize) < zones.len() {
        return Some(Ok(()));
    }
    let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
    Some(Err(format!(
        "{tolerated} lost zones are to be tolerated, but workers are in {} only: {}",
        names.len(),
        names.join(", ")
    )))
}
