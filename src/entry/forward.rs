//! Sends one request to one endpoint, and reports whether it ran.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use poem::http::{HeaderMap, HeaderName, Method, StatusCode, header};
use tokio::time::{Instant, sleep};

use crate::{
    entry::{headers, routes::Endpoint},
    http::connections::{Connection, Overload},
    platform::store::chain,
};

/// A request as it is sent to an endpoint, possibly several times.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    /// Path and query, with a leading slash.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request: String,
    /// Reserves the memory of the request and of its answer; `None` if it came on no connection.
    pub(crate) connection: Option<Arc<Connection>>,
}

/// A complete answer, whose memory the caller's connection has reserved.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) busy: Option<u32>,
}

/// Result of sending a request once.
pub(crate) enum Attempt {
    /// The endpoint ran it and answered completely.
    Answered(Answer),
    /// The endpoint refused it before running it.
    Refused(Option<u32>),
    /// No byte of it was written to the endpoint.
    Unsent(String),
    /// It ran, but its answer exceeds the size limit.
    TooLarge(usize),
    /// It may have run: its answer was missing, incomplete, or belonged to another request.
    Unknown(String),
}

/// How long an answer waits before it tries again to reserve its memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Headers that apply to one connection only and are not forwarded.
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

/// Headers without those that apply to one connection only.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    forwarded
}

/// Sends a request within a time limit. Dropping the future closes the connection, so that a
/// connection with an incomplete exchange is never reused.
pub(crate) async fn send(
    client: &reqwest::Client,
    endpoint: &Endpoint,
    outgoing: &Outgoing,
    max_answer_bytes: usize,
    timeout: Duration,
) -> Attempt {
    let exchange = exchange(client, endpoint, outgoing, max_answer_bytes);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(attempt) => attempt,
        Err(_) => Attempt::Unknown(format!(
            "endpoint {}: no complete answer within {}",
            endpoint.address,
            humantime::format_duration(timeout)
        )),
    }
}

async fn exchange(
    client: &reqwest::Client,
    endpoint: &Endpoint,
    outgoing: &Outgoing,
    max_answer_bytes: usize,
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
        Err(error) => return Attempt::Unknown(format!("endpoint {peer}, send: {}", chain(&error))),
    };
    let (status, headers) = (response.status(), response.headers().clone());
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let busy = text(headers::BUSY).and_then(|text| text.parse().ok());
    if text(headers::OUTCOME) == Some("not-run") {
        return Attempt::Refused(busy);
    }
    // An endpoint need not echo the identifier, but a different one is an error.
    if text(headers::REQUEST_ID).is_some_and(|echoed| echoed != outgoing.request) {
        return Attempt::Unknown(format!("endpoint {peer}: answered another request"));
    }
    let length = response.content_length().map_or(max_answer_bytes, |length| length as usize);
    if max_answer_bytes < length {
        return Attempt::TooLarge(length);
    }
    // All memory of an answer is reserved at once, so that no two answers deadlock.
    if let Some(connection) = &outgoing.connection
        && let Err(overload) = reserve(connection, length).await
    {
        return Attempt::Unknown(format!("endpoint {peer}, answer: {overload}"));
    }
    match read_body(response, length, max_answer_bytes).await {
        Ok(body) => Attempt::Answered(Answer { status, headers, body, busy }),
        Err(ReadError::TooLarge) => Attempt::TooLarge(max_answer_bytes),
        Err(ReadError::Interrupted(cause)) => {
            Attempt::Unknown(format!("endpoint {peer}, answer: {cause}"))
        }
    }
}

/// Reserves memory, and waits for it if there is none.
async fn reserve(connection: &Connection, bytes: usize) -> Result<(), Overload> {
    loop {
        match connection.reserve(bytes, Instant::now()) {
            Err(Overload::Memory) => sleep(MEMORY_RETRY_DELAY).await,
            result => return result,
        }
    }
}

enum ReadError {
    TooLarge,
    Interrupted(String),
}

async fn read_body(
    response: reqwest::Response,
    length: usize,
    max_bytes: usize,
) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::with_capacity(if length < max_bytes { length } else { 0 });
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| ReadError::Interrupted(chain(&error)))?;
        if max_bytes < body.len() + chunk.len() {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
