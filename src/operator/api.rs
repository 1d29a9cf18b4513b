//! The operators' API of a node: HTTP with JSON.

use std::{collections::BTreeSet, sync::Arc};

use poem::{
    Request, Response,
    http::{Method, StatusCode},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    decide::{
        apply,
        plan::{self, PlanError},
        wave,
    },
    http,
    model::{
        config::{Change, ChangeRecord},
        host::HostState,
        id::{HostId, OpId, PlanId},
        plan::{Intent, Plan},
        record::{Key, Record},
        unit::{Revision, Time},
    },
    node::{
        Node,
        write::{self, WriteResult},
    },
    operator::{
        message::{
            ApplyAnswer, ApplyRequest, Decision, IntentRequest, PlanView, Refusal, Selection,
        },
        status,
    },
    platform::store::StoreError,
};

const MAX_BODY_BYTES: usize = 4 << 20;

/// An error answer: its HTTP status and body.
#[derive(Debug)]
struct ApiError {
    status: StatusCode,
    refusal: Refusal,
}

impl ApiError {
    fn new(status: StatusCode, error: impl Into<String>) -> ApiError {
        ApiError { status, refusal: Refusal { error: error.into(), fresh: None } }
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> ApiError {
        let text = if error.is_unknown() {
            format!("{error}; check the status before trying again")
        } else {
            format!("{error}; nothing was changed")
        };
        ApiError::new(StatusCode::SERVICE_UNAVAILABLE, text)
    }
}

impl From<http::BodyError> for ApiError {
    fn from(error: http::BodyError) -> ApiError {
        let status = match error {
            http::BodyError::Overload(_) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        };
        ApiError::new(status, error.to_string())
    }
}

/// Request to release a host from quarantine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReleaseRequest {
    pub(crate) by: String,
}

/// Answers one API call.
pub(crate) async fn answer(node: Arc<Node>, mut request: Request) -> Response {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let is_post = request.method() == Method::POST;
    let now = Time::now();
    let answered = match parts.as_slice() {
        ["metrics"] => return metrics(&node, now),
        ["v1", "status", list] => reply(status::rows(&node, list, now).ok_or_else(|| {
            let text = format!(
                "unknown list {list}: hosts, pools, services, plans, nodes or changes are allowed"
            );
            ApiError::new(StatusCode::NOT_FOUND, text)
        })),
        ["v1", "plans", id] => reply(show(&node, id, now)),
        ["v1", "apply"] if is_post => reply(apply(&node, &mut request, now).await),
        ["v1", "intents"] if is_post => reply(intent(&node, &mut request, now).await),
        ["v1", "plans", id, "confirm"] if is_post => {
            reply(confirm(&node, id, &mut request, now).await)
        }
        ["v1", "plans", id, "cancel"] if is_post => {
            reply(cancel(&node, id, &mut request, now).await)
        }
        ["v1", "hosts", id, "release"] if is_post => {
            reply(release(&node, id, &mut request, now).await)
        }
        _ => Err(ApiError::new(StatusCode::NOT_FOUND, format!("there is no API call {path}"))),
    };
    answered.unwrap_or_else(|refused| http::json(refused.status, &refused.refusal))
}

fn reply<T: Serialize>(result: Result<T, ApiError>) -> Result<Response, ApiError> {
    result.map(|value| http::json(StatusCode::OK, &value))
}

async fn read<T: DeserializeOwned>(request: &mut Request) -> Result<T, ApiError> {
    Ok(http::read_json(request, MAX_BODY_BYTES).await?)
}

fn metrics(node: &Node, now: Time) -> Response {
    {
        let view = node.view();
        let age = now.since(view.verified);
        node.metrics.set_view(age, view.size(), view.fleet.through);
        for (id, placement) in &view.fleet.placements {
            node.metrics.set_permits(id.as_str(), placement.permits.len());
        }
    }
    let mut response = http::text(StatusCode::OK, node.metrics.text());
    if let Ok(kind) = "application/openmetrics-text; version=1.0.0; charset=utf-8".parse() {
        response.headers_mut().insert("content-type", kind);
    }
    response
}

/// Accepts a configuration with a single write, under the next number in the sequence of changes.
async fn apply(node: &Node, request: &mut Request, now: Time) -> Result<ApplyAnswer, ApiError> {
    let body: ApplyRequest = read(request).await?;
    let (change, next) = {
        let view = node.view();
        let change = apply::check(&view.fleet, &body.config, now, &node.settings.rules)
            .map_err(|reasons| ApiError::new(StatusCode::CONFLICT, reasons.join("\n")))?;
        (change, view.fleet.through + 1)
    };
    let changes = change_lines(&change);
    if body.dry || change.is_empty() {
        return Ok(ApplyAnswer { changes, number: None });
    }
    let record = ChangeRecord { op: OpId::fresh(), by: body.by, at: now, change };
    let written = write::write(node, Record::Change(next, record), Revision(0)).await?;
    if written == WriteResult::Conflict {
        let view = node.view();
        let by = view.fleet.changes.get(&next).map(|other| other.by.clone()).unwrap_or_default();
        let text = format!(
            "{by} made change {next} at the same time; nothing was applied: check the differences \
             and apply again"
        );
        return Err(ApiError::new(StatusCode::CONFLICT, text));
    }
    log::info!("configuration: change {next} accepted");
    Ok(ApplyAnswer { changes, number: Some(next) })
}

fn change_lines(change: &Change) -> Vec<String> {
    let pools = change.pools.iter().map(|(id, pool)| match pool {
        Some(pool) => format!("set pool {id}: {} hosts", pool.hosts),
        None => format!("remove pool {id}"),
    });
    let teams = change.teams.iter().map(|(id, team)| match team {
        Some(team) => format!("set team {id}: {}", team.rate),
        None => format!("remove team {id}"),
    });
    let services = change.services.iter().map(|(id, service)| match service {
        Some(s) => format!(
            "set service {id}: {} tasks in pool {}, at most {} unavailable",
            s.tasks, s.pool, s.max_down
        ),
        None => format!("remove service {id}"),
    });
    pools.chain(teams).chain(services).collect()
}

/// Computes a plan and stores it as proposed. Nothing else happens until it is confirmed.
async fn intent(node: &Node, request: &mut Request, now: Time) -> Result<Plan, ApiError> {
    let body: IntentRequest = read(request).await?;
    let plan = {
        let view = node.view();
        let hosts = select(&view.fleet, &body.selection)?;
        let intent = Intent {
            action: body.action,
            hosts,
            deadline: body.deadline,
            reason: body.reason,
            by: body.by,
        };
        let (id, op) = (PlanId::fresh(), OpId::fresh());
        plan::propose(&view.fleet, id, op, intent, now, &node.settings.rules)
    };
    let record = Record::Plan(plan.id.clone(), Box::new(plan.clone()));
    match write::write(node, record, Revision(0)).await? {
        WriteResult::Done(_) => Ok(plan),
        WriteResult::Conflict => Err(ApiError::new(
            StatusCode::CONFLICT,
            "the plan identifier is already in use: try again",
        )),
    }
}

/// The hosts that a selection names. An unknown name is an error.
fn select(
    fleet: &crate::model::fleet::Fleet,
    selection: &Selection,
) -> Result<Vec<HostId>, ApiError> {
    let mut hosts: BTreeSet<HostId> = BTreeSet::new();
    let mut unknown = Vec::new();
    for host in &selection.hosts {
        if fleet.hosts.contains_key(host) {
            hosts.insert(host.clone());
        } else {
            unknown.push(format!("host {host}"));
        }
    }
    let mut add = |kind: &str, name: &str, found: Vec<HostId>| {
        if found.is_empty() {
            unknown.push(format!("{kind} {name}"));
        }
        hosts.extend(found);
    };
    let matching = |is_in: &dyn Fn(&HostId) -> bool| -> Vec<HostId> {
        fleet.hosts.keys().filter(|host| is_in(host)).cloned().collect()
    };
    for rack in &selection.racks {
        let found = matching(&|host| fleet.reports.get(host).is_some_and(|r| r.rack == *rack));
        add("rack", rack.as_str(), found);
    }
    for zone in &selection.zones {
        let found = matching(&|host| fleet.reports.get(host).is_some_and(|r| r.zone == *zone));
        add("availability zone", zone.as_str(), found);
    }
    for pool in &selection.pools {
        add("pool", pool.as_str(), fleet.hosts_of(pool).cloned().collect());
    }
    if !unknown.is_empty() {
        let text = format!("no host is known for: {}; nothing was planned", unknown.join(", "));
        return Err(ApiError::new(StatusCode::NOT_FOUND, text));
    }
    if hosts.is_empty() {
        return Err(ApiError::new(StatusCode::BAD_REQUEST, "the intent names no hosts"));
    }
    Ok(hosts.into_iter().collect())
}

fn show(node: &Node, id: &str, now: Time) -> Result<PlanView, ApiError> {
    let id = plan_id(id)?;
    status::plan_view(node, &id, now).ok_or_else(|| unknown_plan(&id))
}

fn plan_id(id: &str) -> Result<PlanId, ApiError> {
    id.parse().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("{error}")))
}

fn unknown_plan(id: &PlanId) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, format!("there is no plan {id}"))
}

async fn confirm(
    node: &Node,
    id: &str,
    request: &mut Request,
    now: Time,
) -> Result<Plan, ApiError> {
    let id = plan_id(id)?;
    let body: Decision = read(request).await?;
    let Some(digest) = body.digest else {
        return Err(ApiError::new(
            StatusCode::BAD_REQUEST,
            "the digest is missing from the confirmation",
        ));
    };
    load_plan(node, &id).await?;
    let rules = &node.settings.rules;
    let (decided, expect) = {
        let view = node.view();
        let op = OpId::fresh();
        let decided = plan::confirm(&view.fleet, &id, &digest, &body.by, op, now, rules);
        (decided, view.fleet.revision(&Key::Plan(id.clone())))
    };
    match decided {
        Ok(plan) => store_plan(node, plan, expect).await,
        Err(error @ PlanError::Stale { .. }) => {
            Err(propose_replacement(node, &id, error, now).await?)
        }
        Err(error) => Err(plan_error(error)),
    }
}

/// Stores a new plan to replace a stale one, and returns the refusal with the new plan.
async fn propose_replacement(
    node: &Node,
    id: &PlanId,
    error: PlanError,
    now: Time,
) -> Result<ApiError, ApiError> {
    let fresh = {
        let view = node.view();
        let Some(old) = view.fleet.plans.get(id) else {
            return Err(unknown_plan(id));
        };
        let (new, op) = (PlanId::fresh(), OpId::fresh());
        plan::propose(&view.fleet, new, op, old.intent.clone(), now, &node.settings.rules)
    };
    let record = Record::Plan(fresh.id.clone(), Box::new(fresh.clone()));
    write::write(node, record, Revision(0)).await?;
    let refusal = Refusal { error: error.to_string(), fresh: Some(Box::new(fresh)) };
    Ok(ApiError { status: StatusCode::CONFLICT, refusal })
}

async fn cancel(node: &Node, id: &str, request: &mut Request, now: Time) -> Result<Plan, ApiError> {
    let id = plan_id(id)?;
    let body: Decision = read(request).await?;
    load_plan(node, &id).await?;
    loop {
        let (decided, expect) = {
            let view = node.view();
            let decided = plan::cancel(&view.fleet, &id, &body.by, OpId::fresh(), now);
            (decided, view.fleet.revision(&Key::Plan(id.clone())))
        };
        let stored = store_plan(node, decided.map_err(plan_error)?, expect).await;
        let is_conflict =
            stored.as_ref().is_err_and(|refused| refused.status == StatusCode::CONFLICT);
        // If the plan was confirmed at another node in the meantime, it can be cancelled all the
        // same. The view holds the confirmation by now, so that each iteration handles a later
        // state of the plan.
        let newer = expect < node.view().fleet.revision(&Key::Plan(id.clone()));
        if !(is_conflict && newer) {
            return stored;
        }
    }
}

/// Loads a plan that was created at another node and is not in the view yet.
async fn load_plan(node: &Node, id: &PlanId) -> Result<(), StoreError> {
    if node.view().fleet.plans.contains_key(id) {
        return Ok(());
    }
    write::refresh(node, &Key::Plan(id.clone())).await
}

async fn store_plan(node: &Node, plan: Plan, expect: Revision) -> Result<Plan, ApiError> {
    let record = Record::Plan(plan.id.clone(), Box::new(plan.clone()));
    match write::write(node, record, expect).await? {
        WriteResult::Done(_) => {
            log::info!("plan {}: {} by {}", plan.id, plan.state.as_str(), plan.by);
            Ok(plan)
        }
        WriteResult::Conflict => {
            let view = node.view();
            let now = view.fleet.plans.get(&plan.id);
            if now.is_some_and(|now| plan.is_same_decision(now)) {
                // The first write took effect, but its answer was lost, and it was sent again.
                return Ok(plan);
            }
            let text = match now {
                Some(now) => {
                    format!(
                        "changed by {} at the same time: plan {} is {} now",
                        now.by,
                        plan.id,
                        now.state.as_str()
                    )
                }
                None => format!("plan {} no longer exists", plan.id),
            };
            Err(ApiError::new(StatusCode::CONFLICT, text))
        }
    }
}

fn plan_error(error: PlanError) -> ApiError {
    let status = match error {
        PlanError::Unknown(_) => StatusCode::NOT_FOUND,
        _ => StatusCode::CONFLICT,
    };
    ApiError::new(status, error.to_string())
}

/// Returns a quarantined host to service.
async fn release(
    node: &Node,
    id: &str,
    request: &mut Request,
    now: Time,
) -> Result<String, ApiError> {
    let host: HostId =
        id.parse().map_err(|error| ApiError::new(StatusCode::BAD_REQUEST, format!("{error}")))?;
    let body: ReleaseRequest = read(request).await?;
    let (record, expect) = {
        let view = node.view();
        let state = view.fleet.hosts.get(&host).map(|record| record.state);
        match state {
            None => {
                let text = format!("there is no host {host}");
                return Err(ApiError::new(StatusCode::NOT_FOUND, text));
            }
            Some(HostState::Quarantined) => {}
            Some(state) => {
                let text = format!("host {host} is {state:?}, not quarantined").to_lowercase();
                return Err(ApiError::new(StatusCode::CONFLICT, text));
            }
        }
        let record = wave::change_host(&view.fleet, &host, &OpId::fresh(), now, |record| {
            record.state = HostState::Serving;
        });
        (record, view.fleet.revision(&Key::Host(host.clone())))
    };
    let Some(record) = record else {
        return Err(ApiError::new(StatusCode::NOT_FOUND, "the host no longer exists"));
    };
    match write::write(node, record, expect).await? {
        WriteResult::Done(_) => {
            log::info!("host {host}: released by {}", body.by);
            Ok(format!("host {host} serves again"))
        }
        WriteResult::Conflict => {
            let text =
                format!("host {host} was changed at the same time: check its state and try again");
            Err(ApiError::new(StatusCode::CONFLICT, text))
        }
    }
}
