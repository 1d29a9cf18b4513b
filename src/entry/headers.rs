//! The headers that callers and endpoints exchange with nodes. Standard names are used where they
//! exist.

use std::time::Duration;

use poem::http::HeaderMap;

use crate::model::{
    id::{OpId, TeamId},
    request::Class,
};

/// The caller's team.
pub(crate) const TEAM: &str = "caperhollow-team";
/// The request's class: urgent, normal or batch.
pub(crate) const CLASS: &str = "caperhollow-class";
/// How long the caller waits, in milliseconds.
pub(crate) const DEADLINE: &str = "caperhollow-deadline-ms";
/// `no` marks a request as not repeatable.
pub(crate) const REPEATABLE: &str = "caperhollow-repeatable";
/// Outcome of the request: ran, not-run or unknown.
pub(crate) const OUTCOME: &str = "caperhollow-outcome";
/// The node that answered.
pub(crate) const NODE: &str = "caperhollow-node";
/// Requests that run at the endpoint.
pub(crate) const BUSY: &str = "caperhollow-busy";
/// The request's identifier, echoed by endpoints and nodes.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// The caller's key of a request that is not repeatable, as in the IETF draft for this header.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of a key or request identifier.
const MAX_KEY_BYTES: usize = 200;
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Options of a request, from its headers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestOptions {
    pub(crate) team: TeamId,
    pub(crate) class: Option<Class>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) request: String,
    pub(crate) key: Option<String>,
    /// Whether the caller marks the request as not repeatable.
    pub(crate) once: bool,
}

/// Reads the headers. The error names the invalid one and the allowed values.
pub(crate) fn read(headers: &HeaderMap) -> Result<RequestOptions, String> {
    let text = |name: &str| match headers.get(name) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(_) => Err(format!("header {name}: visible ASCII characters are allowed")),
        },
    };
    let team = text(TEAM)?.ok_or_else(|| format!("header {TEAM}: it must be given"))?;
    let team = team.parse().map_err(|error| format!("header {TEAM}: {error}"))?;
    let class = text(CLASS)?.map(str::parse).transpose();
    let class = class.map_err(|error| format!("header {CLASS}: {error}"))?;
    let deadline = text(DEADLINE)?.map(deadline).transpose()?;
    let once = match text(REPEATABLE)? {
        None | Some("yes") => false,
        Some("no") => true,
        Some(other) => {
            return Err(format!("header {REPEATABLE}: `{other}`: yes or no are allowed"));
        }
    };
    let key = text(IDEMPOTENCY_KEY)?.map(|key| check_length(IDEMPOTENCY_KEY, key)).transpose()?;
    let request = match text(REQUEST_ID)? {
        Some(id) => check_length(REQUEST_ID, id)?,
        None => OpId::fresh().to_string(),
    };
    Ok(RequestOptions { team, class, deadline, request, key, once })
}

fn deadline(text: &str) -> Result<Duration, String> {
    let millis = text.parse().ok().filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
    let millis = millis.ok_or_else(|| {
        format!(
            "header {DEADLINE}: `{text}`: a whole number from 1 to {MAX_DEADLINE_MS} is allowed"
        )
    })?;
    Ok(Duration::from_millis(millis))
}

fn check_length(name: &str, text: &str) -> Result<String, String> {
    if text.is_empty() || MAX_KEY_BYTES < text.len() {
        return Err(format!("header {name}: 1 to {MAX_KEY_BYTES} characters are allowed"));
    }
    Ok(text.to_owned())
}
