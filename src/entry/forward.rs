//! Sends one request to one endpoint, and tells truly what became of it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use poem::http::{HeaderMap, HeaderName, Method, StatusCode, header};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{
    entry::{headers, routes::Endpoint},
    platform::store::chain,
};

/// A request as it is sent to an endpoint, as often as needed.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, with a slash in front.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request: String,
}

/// A whole answer, with the memory that it is counted against.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) held: OwnedSemaphorePermit,
    pub(crate) busy: Option<u32>,
}

/// What became of one sending.
pub(crate) enum Attempt {
    /// The endpoint ran it and answered whole.
    Answered(Answer),
    /// The endpoint refused it before running it.
    Refused(Option<u32>),
    /// No byte of it was written to the endpoint.
    Unsent(String),
    /// It ran, but its answer is larger than may be held.
    TooLarge(usize),
    /// It may have run: its answer did not come, broke off, or was another request's.
    Broken(String),
}

/// Bounds on answers.
#[derive(Clone)]
pub(crate) struct Hold {
    /// Bytes of one answer.
    pub(crate) most: usize,
    /// Bytes of all that is held.
    pub(crate) memory: Arc<Semaphore>,
}

/// Headers that concern one connection only, and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Headers without those that concern one connection only.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in &HOP_BY_HOP {
        passed.remove(name);
    }
    passed.remove("keep-alive");
    passed
}

/// Sends a request. Whatever time it is given, dropping the future closes its connection: one on
/// which anything was cut short is never used again.
pub(crate) async fn send(
    client: &reqwest::Client,
    endpoint: &Endpoint,
    outgoing: &Outgoing,
    hold: &Hold,
    limit: Duration,
) -> Attempt {
    match tokio::time::timeout(limit, exchange(client, endpoint, outgoing, hold)).await {
        Ok(attempt) => attempt,
        Err(_) => Attempt::Broken(format!(
            "endpoint {}: no whole answer within {}",
            endpoint.address,
            humantime::format_duration(limit)
        )),
    }
}

async fn exchange(
    client: &reqwest::Client,
    endpoint: &Endpoint,
    outgoing: &Outgoing,
    hold: &Hold,
) -> Attempt {
    let peer = &endpoint.address;
    let url = format!("http://{peer}{}", outgoing.path);
    let request = client
        .request(outgoing.method.clone(), url)
        .headers(outgoing.headers.clone())
        .header(headers::REQUEST_ID, &outgoing.request)
        .body(outgoing.body.clone());
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => {
            return Attempt::Unsent(format!("endpoint {peer}, connect: {}", chain(&error)));
        }
        Err(error) => return Attempt::Broken(format!("endpoint {peer}, send: {}", chain(&error))),
    };
    let (status, headers) = (response.status(), response.headers().clone());
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let busy = text(headers::BUSY).and_then(|text| text.parse().ok());
    if text(headers::OUTCOME) == Some("not-run") {
        return Attempt::Refused(busy);
    }
    // Endpoints that echo the identifier are held to it; others need not.
    if text(headers::REQUEST_ID).is_some_and(|echoed| echoed != outgoing.request) {
        return Attempt::Broken(format!("endpoint {peer}: answered another request"));
    }
    let length = response.content_length().map_or(hold.most, |length| length as usize);
    if hold.most < length {
        return Attempt::TooLarge(length);
    }
    // All of an answer's memory is taken at once, so that no two wait for each other's.
    let count = u32::try_from(length).unwrap_or(u32::MAX);
    let Ok(held) = hold.memory.clone().acquire_many_owned(count).await else {
        return Attempt::Broken("the node is ending".to_owned());
    };
    match read(response, length, hold.most).await {
        Ok(body) => Attempt::Answered(Answer { status, headers, body, held, busy }),
        Err(ReadError::TooLarge) => Attempt::TooLarge(hold.most),
        Err(ReadError::Broken(cause)) => {
            Attempt::Broken(format!("endpoint {peer}, answer: {cause}"))
        }
    }
}

enum ReadError {
    TooLarge,
    Broken(String),
}

async fn read(response: reqwest::Response, length: usize, most: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::with_capacity(if length < most { length } else { 0 });
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| ReadError::Broken(chain(&error)))?;
        if most < body.len() + chunk.len() {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
