//! Common parts of the program's HTTP servers: a listener with a bound on connections, JSON
//! answers, and graceful shutdown.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::StreamExt;
use poem::{
    Body, IntoEndpoint, Request, Response, Server,
    http::{StatusCode, header, uri::Scheme},
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// How long a server that shuts down waits for requests in flight.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

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

impl Acceptor for BoundedListener {
    type Io = CountedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr();
        address.into_iter().map(|address| LocalAddr(address.into())).collect()
    }

    async fn accept(&mut self) -> io::Result<(CountedStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = self.listener.accept().await?;
            if self.max_connections <= self.open.load(Ordering::Acquire) {
                continue;
            }
            // Answers are written whole, so that Nagle's algorithm would only delay them.
            stream.set_nodelay(true)?;
            let local = LocalAddr(stream.local_addr()?.into());
            self.open.fetch_add(1, Ordering::AcqRel);
            let killed = Box::pin(self.kill.clone().cancelled_owned());
            let counted = CountedStream { stream, open: self.open.clone(), killed };
            return Ok((counted, local, RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}

/// Serves an endpoint, with at most `max_connections` connections, until it is stopped.
pub(crate) async fn serve<E>(listener: TcpListener, max_connections: usize, endpoint: E, stop: Stop)
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let Stop { gently, at_once } = stop;
    let bounded =
        BoundedListener { listener, open: Arc::default(), max_connections, kill: at_once.clone() };
    let server = Server::new_with_acceptor(bounded);
    let served =
        server.run_with_graceful_shutdown(endpoint, gently.cancelled(), Some(SHUTDOWN_TIMEOUT));
    let result = tokio::select! {
        result = served => result,
        () = at_once.cancelled() => Ok(()),
    };
    if let Err(error) = result {
        log::error!("server: {error}");
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
