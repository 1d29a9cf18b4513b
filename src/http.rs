//! Common parts of the program's HTTP servers: a listener with a bound on connections, JSON
//! answers, and graceful shutdown.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use poem::{
    Body, Endpoint, EndpointExt, IntoEndpoint, Request, Response,
    http::{self, StatusCode, header, uri::Scheme},
    web::{LocalAddr, RemoteAddr},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{
    sync::{CancellationToken, WaitForCancellationFutureOwned},
    task::TaskTracker,
};

use crate::settings::clients::ClientLimits;

/// How long a server that shuts down waits for requests in flight.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a listener waits after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections up to a bound and closes further ones immediately.
struct BoundedListener {
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    max_connections: usize,
    kill: CancellationToken,
}

/// A connection that is counted while open and is reset when its server is stopped immediately.
pub(crate) struct CountedStream {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
    killed: Pin<Box<WaitForCancellationFutureOwned>>,
}

/// Tokens that stop a server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stop {
    /// Accepts no new connections and stops once the requests in flight have finished.
    pub(crate) gently: CancellationToken,
    /// Resets every connection.
    pub(crate) at_once: CancellationToken,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.killed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl BoundedListener {
    /// The next connection within the bound, and the addresses of both its ends.
    async fn accept(&self) -> (CountedStream, SocketAddr, SocketAddr) {
        loop {
            match self.try_accept().await {
                Ok(Some(accepted)) => return accepted,
                Ok(None) => {}
                Err(error) => {
                    log::warn!("connection not accepted: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn try_accept(&self) -> io::Result<Option<(CountedStream, SocketAddr, SocketAddr)>> {
        let (stream, remote) = self.listener.accept().await?;
        if self.max_connections <= self.open.load(Ordering::Acquire) {
            return Ok(None);
        }
        // Answers are written whole, so that Nagle's algorithm would only delay them.
        stream.set_nodelay(true)?;
        let local = stream.local_addr()?;
        self.open.fetch_add(1, Ordering::AcqRel);
        let killed = Box::pin(self.kill.clone().cancelled_owned());
        let counted = CountedStream { stream, open: self.open.clone(), killed };
        Ok(Some((counted, local, remote)))
    }
}

/// Serves an endpoint, with at most `max_connections` connections, until it is stopped.
pub(crate) async fn serve<E>(listener: TcpListener, max_connections: usize, endpoint: E, stop: Stop)
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let head_bytes = ClientLimits::default().head_bytes;
    serve_within(listener, max_connections, head_bytes, endpoint, stop).await;
}

/// Serves an endpoint like [`serve`], with heads of requests of at most `head_bytes` bytes.
pub(crate) async fn serve_within<E>(
    listener: TcpListener,
    max_connections: usize,
    head_bytes: usize,
    endpoint: E,
    stop: Stop,
) where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let Stop { gently, at_once } = stop;
    let listener =
        BoundedListener { listener, open: Arc::default(), max_connections, kill: at_once.clone() };
    let endpoint = Arc::new(endpoint.into_endpoint().map_to_response());
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gently.cancelled() => break,
            () = at_once.cancelled() => return,
        };
        tasks.spawn(serve_connection(accepted, endpoint.clone(), head_bytes, gently.clone()));
    }
    drop(listener);
    tasks.close();
    tokio::select! {
        waited = timeout(SHUTDOWN_TIMEOUT, tasks.wait()) => {
            if waited.is_err() {
                at_once.cancel();
            }
        }
        () = at_once.cancelled() => {}
    }
}

async fn serve_connection<E>(
    (stream, local, remote): (CountedStream, SocketAddr, SocketAddr),
    endpoint: Arc<E>,
    head_bytes: usize,
    gently: CancellationToken,
) where
    E: Endpoint<Output = Response> + 'static,
{
    let service = service_fn(move |request: http::Request<Incoming>| {
        let endpoint = endpoint.clone();
        async move {
            let (local, remote) = (LocalAddr(local.into()), RemoteAddr(remote.into()));
            let request = Request::from((request, local, remote, Scheme::HTTP));
            let response = endpoint.get_response(request).await;
            Ok::<http::Response<_>, Infallible>(response.into())
        }
    });
    // The buffer holds a head as a whole, and parts of a body.
    let mut served = pin!(
        http1::Builder::new()
            .max_buf_size(head_bytes)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades()
    );
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = gently.cancelled() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of {remote}: {error}");
    }
}

/// Listens at an address; port 0 selects a free port.
pub(crate) async fn listen(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Creates a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .status(status)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Creates a plain text response.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(text.into())
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    #[error("the body was cut off: {0}")]
    Broken(String),
    #[error("the body is invalid: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// Whether a request has a body.
pub(crate) fn has_body(request: &Request) -> bool {
    let length = request.header(header::CONTENT_LENGTH);
    length.is_some_and(|length| length != "0")
        || request.header(header::TRANSFER_ENCODING).is_some()
}

/// Adds `Connection: close` to a response. Required if the request's body was not read completely:
/// the connection is closed then, and the caller might otherwise send its next request on it.
pub(crate) fn close_after(response: &mut Response) {
    response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

/// Reads a whole body of at most `max_bytes` bytes.
pub(crate) async fn read_body(body: Body, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut stream = Box::pin(body.into_bytes_stream());
    let mut whole = bytes::BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|error| BodyError::Broken(error.to_string()))?;
        if max_bytes < whole.len() + chunk.len() {
            return Err(BodyError::TooLarge(max_bytes));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Reads a JSON body of at most `max_bytes` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
) -> Result<T, BodyError> {
    let body = read_body(request.take_body(), max_bytes).await?;
    Ok(serde_json::from_slice(&body)?)
}
