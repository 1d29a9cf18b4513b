//! The stand-in's hosts: they are listed, and change their pool when they are told to.

use poem::{Request, Response, http::StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{MAX_BODY, Site};
use crate::http;

#[derive(Deserialize)]
struct Change {
    machine: String,
    #[serde(default)]
    pool: String,
}

/// All hosts.
pub(super) fn list(site: &Site) -> Response {
    let state = site.state();
    let hosts: Vec<Value> = state
        .workers
        .iter()
        .map(|worker| {
            json!({
                "machine": worker.host, "pool": worker.pool, "state": "up", "zone": "hall-a",
                "labels": ["a", "r1"], "id": worker.id,
                "capacity": { "cpu": 8_000, "mem_mb": 16_000, "gpu": 0 },
            })
        })
        .collect();
    http::json(StatusCode::OK, &json!({ "machines": hosts, "next_page_token": null }))
}

/// Moves a host to another pool, at once.
pub(super) async fn move_host(site: &Site, request: &mut Request) -> Response {
    change(site, request, |worker_pool, change| *worker_pool = change.pool.clone()).await
}

/// Maintains a host, at once.
pub(super) async fn maintain(site: &Site, request: &mut Request) -> Response {
    change(site, request, |_, _| {}).await
}

async fn change(
    site: &Site,
    request: &mut Request,
    apply: impl FnOnce(&mut String, &Change),
) -> Response {
    let change = match http::read_json::<Change>(request, MAX_BODY).await {
        Ok(change) => change,
        Err(error) => return http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let mut state = site.state();
    match state.workers.iter_mut().find(|worker| worker.host == change.machine) {
        Some(worker) => {
            apply(&mut worker.pool, &change);
            http::text(StatusCode::OK, "")
        }
        None => http::text(StatusCode::BAD_REQUEST, "no such host\n"),
    }
}
