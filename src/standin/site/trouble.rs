//! What is wrong with single workers, as switched over HTTP.

use poem::{Request, Response, http::StatusCode};
use serde::{Deserialize, Serialize};

use super::{MAX_BODY, Site};
use crate::http;

/// Whose orders do not arrive, nor the answers to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Cut {
    #[default]
    None,
    All,
    /// Those under a token above the highest that was seen when this was switched on.
    Newer,
    /// Those under that token and below.
    Older,
}

/// What is wrong with a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Trouble {
    /// Orders are carried out up to that much late, whether or not the caller still waits.
    late_ms: u64,
    /// Orders are carried out and not answered.
    mute: bool,
    cut: Cut,
    /// Every run fails soon after its start.
    pub(super) fails: bool,
    /// Its life ends, once, and the next begins after so long.
    crash_ms: u64,
    #[serde(skip)]
    fence: u64,
}

impl Trouble {
    /// Whether an order under a token does not arrive.
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

    /// How late the order of a number is carried out: each differently, so that some overtake others.
    pub(super) fn delay_ms(&self, number: u64) -> u64 {
        number.wrapping_mul(7_919) % self.late_ms.max(1)
    }
}

/// Switches what is wrong with the worker whose number the path's query is.
pub(super) async fn set(site: &Site, request: &mut Request) -> Response {
    let number = request.uri().query().and_then(|query| query.parse::<usize>().ok());
    let trouble = match http::read_json::<Trouble>(request, MAX_BODY).await {
        Ok(trouble) => trouble,
        Err(error) => return http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let mut state = site.state();
    let now = state.now_ms();
    let state = &mut *state;
    let Some(worker) = number.and_then(|number| state.workers.get_mut(number)) else {
        return http::text(StatusCode::BAD_REQUEST, "no such worker\n");
    };
    worker.trouble = Trouble { fence: worker.fence(), ..trouble };
    if trouble.crash_ms != 0 && worker.is_up() {
        worker.end_life("down", now, trouble.crash_ms, &mut state.log);
    }
    http::json(StatusCode::OK, &trouble)
}
