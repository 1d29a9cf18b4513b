//! The headers that callers and endpoints exchange with nodes. Published names are used where
//! there are any.

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
/// What became of the request.
pub(crate) const OUTCOME: &str = "caperhollow-outcome";
/// The node that answered.
pub(crate) const NODE: &str = "caperhollow-node";
/// Requests that run at the endpoint.
pub(crate) const BUSY: &str = "caperhollow-busy";
/// The request's identifier, echoed by endpoints and nodes.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// The caller's key of a request that is not repeatable, as in the IETF draft of that name.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Longest key or request identifier that is accepted, in bytes.
const MOST_KEY: usize = 200;
/// The longest deadline.
const LONGEST: u64 = 3_600_000;

/// What a caller asks of a node besides its request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Wishes {
    pub(crate) team: TeamId,
    pub(crate) class: Option<Class>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) request: String,
    pub(crate) key: Option<String>,
    /// Whether the caller marks the request as not repeatable.
    pub(crate) once: bool,
}

/// Reads the headers; or tells which one is wrong, and what is allowed.
pub(crate) fn read(headers: &HeaderMap) -> Result<Wishes, String> {
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
    let key = text(IDEMPOTENCY_KEY)?.map(|key| bounded(IDEMPOTENCY_KEY, key)).transpose()?;
    let request = match text(REQUEST_ID)? {
        Some(id) => bounded(REQUEST_ID, id)?,
        None => OpId::fresh().to_string(),
    };
    Ok(Wishes { team, class, deadline, request, key, once })
}

fn deadline(text: &str) -> Result<Duration, String> {
    let millis = text.parse().ok().filter(|millis| (1..=LONGEST).contains(millis));
    let millis = millis.ok_or_else(|| {
        format!("header {DEADLINE}: `{text}`: a whole number from 1 to {LONGEST} is allowed")
    })?;
    Ok(Duration::from_millis(millis))
}

fn bounded(name: &str, text: &str) -> Result<String, String> {
    if text.is_empty() || MOST_KEY < text.len() {
        return Err(format!("header {name}: 1 to {MOST_KEY} characters are allowed"));
    }
    Ok(text.to_owned())
}
