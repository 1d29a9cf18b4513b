//! Faults of single workers, set over HTTP.

use poem::{Request, Response, http::StatusCode};
use serde::{Deserialize, Serialize};

use super::{MAX_BODY_BYTES, Site, incarnation::DOWN, worker::Worker};
use crate::http;

/// Which orders are lost, together with the answers to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Cut {
    #[default]
    None,
    All,
    /// Those with a token above the highest that the worker had seen when the faults were set.
    Newer,
    /// Those with at most the highest token that the worker had seen when the faults were set.
    Older,
}

/// Faults of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct WorkerFaults {
    /// Maximum delay of an order. It is executed whether or not the caller still waits.
    late_ms: u64,
    /// Orders are executed but not answered.
    mute: bool,
    cut: Cut,
    /// Every run fails soon after its start.
    pub(super) fails: bool,
    /// The worker crashes, once, and restarts after this time; no crash if 0.
    crash_ms: u64,
    /// The highest token that the worker had seen when the faults were set.
    #[serde(skip)]
    fence: u64,
}

impl WorkerFaults {
    /// Whether an order with this token is lost, together with the answer to it.
    pub(super) fn loses(&self, token: u64) -> bool {
        match self.cut {
            Cut::None => false,
            Cut::All => true,
            Cut::Newer => self.fence < token,
            Cut::Older => token <= self.fence,
        }
    }

    /// Whether answers are lost.
    pub(super) fn is_mute(&self) -> bool {
        self.mute
    }

    /// The delay of the order with this number. It differs between successive orders, so that some
    /// overtake others.
    pub(super) fn delay_ms(&self, number: u64) -> u64 {
        number.wrapping_mul(7_919) % self.late_ms.max(1)
    }
}

/// Sets the faults of the worker whose number is the path's query, or of all workers of the zone
/// that is named there.
pub(super) async fn set(site: &Site, request: &mut Request) -> Response {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let faults = match http::read_json::<WorkerFaults>(request, MAX_BODY_BYTES).await {
        Ok(faults) => faults,
        Err(error) => return http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let mut state = site.state();
    let now = state.now_ms();
    let state = &mut *state;
    let is_named =
        |worker: &&mut Worker| worker.place.zone == query || query.parse() == Ok(worker.number);
    let mut named = state.workers.iter_mut().filter(is_named).peekable();
    if named.peek().is_none() {
        return http::text(StatusCode::BAD_REQUEST, "no such worker or zone\n");
    }
    for worker in named {
        worker.faults = WorkerFaults { fence: worker.fencing_token(), ..faults };
        if faults.crash_ms != 0 && worker.is_up() {
            worker.end_incarnation(DOWN, now, faults.crash_ms, &mut state.log);
        }
    }
    http::json(StatusCode::OK, &faults)
}
