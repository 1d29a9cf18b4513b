//! The stand-in's hosts: their list, and the calls that move a host to another pool or maintain it.

use poem::{Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{MAX_BODY_BYTES, Site};
use crate::http;

/// How long a host is unavailable for a move or for maintenance, in milliseconds.
const DOWNTIME_MS: u64 = 1_000;

#[derive(Deserialize)]
struct ChangeRequest {
    machine: String,
    #[serde(default)]
    pool: String,
}

/// Lists all hosts.
pub(super) fn list(site: &Site) -> Response {
    let state = site.state();
    let hosts: Vec<Value> = state
        .workers
        .iter()
        .map(|worker| {
            json!({
                "machine": worker.host, "pool": worker.place.pool, "state": worker.state_name(),
                "zone": worker.place.zone, "labels": ["a", worker.place.rack],
                "id": worker.is_up().then_some(&worker.id),
                "capacity": { "cpu": 8_000, "mem_mb": 16_000, "gpu": 0 },
            })
        })
        .collect();
    http::json(StatusCode::OK, &json!({ "machines": hosts, "next_page_token": null }))
}

/// Moves a host to another pool: its runs crash, and a new worker joins that pool.
pub(super) async fn move_host(site: &Site, request: &mut Request) -> Response {
    change(site, request, "moving").await
}

/// Maintains a host: its runs crash.
pub(super) async fn maintain(site: &Site, request: &mut Request) -> Response {
    change(site, request, "upkeep").await
}

async fn change(site: &Site, request: &mut Request, phase: &'static str) -> Response {
    let token = request.header("Fencing-Token").and_then(|token| token.parse::<u64>().ok());
    let change = match http::read_json::<ChangeRequest>(request, MAX_BODY_BYTES).await {
        Ok(change) => change,
        Err(error) => return http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let mut state = site.state();
    let now = state.now_ms();
    let state = &mut *state;
    let Some(worker) = state.workers.iter_mut().find(|worker| worker.host == change.machine) else {
        return http::text(StatusCode::BAD_REQUEST, "no such host\n");
    };
    if token.unwrap_or_default() < worker.host_token {
        return http::json(StatusCode::CONFLICT, &json!({ "reason": "fence" }));
    }
    worker.host_token = token.unwrap_or_default();
    if phase == "moving" && worker.place.pool == change.pool {
        return http::text(StatusCode::OK, "");
    }
    if !worker.is_up() {
        return http::json(StatusCode::CONFLICT, &json!({ "reason": "busy" }));
    }
    if phase == "moving" {
        worker.place.pool = change.pool;
    }
    worker.end_incarnation(phase, now, DOWNTIME_MS, &mut state.log);
    http::text(StatusCode::OK, "")
}
