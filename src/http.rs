//! What every HTTP server of the program shares: listening with a bound on connections, answers
//! in JSON, and an end that cuts no request off.

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

/// How long a server that ends waits for requests that run.
pub(crate) const END_LIMIT: Duration = Duration::from_secs(60);

/// Accepts connections up to a bound; those above it are closed at once.
struct Bounded {
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    most: usize,
    kill: CancellationToken,
}

/// A connection that counts itself, and breaks when its server is killed.
pub(crate) struct Counted {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
    killed: Pin<Box<WaitForCancellationFutureOwned>>,
}

/// How a server ends.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stop {
    /// Accepts nothing new, and ends when the requests that run have ended.
    pub(crate) gently: CancellationToken,
    /// Breaks every connection.
    pub(crate) at_once: CancellationToken,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
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

impl Acceptor for Bounded {
    type Io = Counted;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr();
        address.into_iter().map(|address| LocalAddr(address.into())).collect()
    }

    async fn accept(&mut self) -> io::Result<(Counted, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = self.listener.accept().await?;
            if self.most <= self.open.load(Ordering::Acquire) {
                continue;
            }
            // Answers are whole writes: waiting to fill a packet only delays them.
            stream.set_nodelay(true)?;
            let local = LocalAddr(stream.local_addr()?.into());
            self.open.fetch_add(1, Ordering::AcqRel);
            let killed = Box::pin(self.kill.clone().cancelled_owned());
            let counted = Counted { stream, open: self.open.clone(), killed };
            return Ok((counted, local, RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}

/// Serves an endpoint, with at most so many connections, until it is stopped.
pub(crate) async fn serve<E>(listener: TcpListener, most: usize, endpoint: E, stop: Stop)
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let Stop { gently, at_once } = stop;
    let bounded = Bounded { listener, open: Arc::default(), most, kill: at_once.clone() };
    let server = Server::new_with_acceptor(bounded);
    let served = server.run_with_graceful_shutdown(endpoint, gently.cancelled(), Some(END_LIMIT));
    let ended = tokio::select! {
        ended = served => ended,
        () = at_once.cancelled() => Ok(()),
    };
    if let Err(error) = ended {
        log::error!("server: {error}");
    }
}

/// Listens at an address; port 0 takes a free port.
pub(crate) async fn listen(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// An answer in JSON.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder()
            .status(status)
            .header(header::CONTENT_TYPE, "application/json")
            .body(body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer in plain text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(text.into())
}

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    #[error("the body broke off: {0}")]
    Broken(String),
    #[error("the body is not understood: {0}")]
    Garbled(#[from] serde_json::Error),
}

/// Whether a request bears a body.
pub(crate) fn has_body(request: &Request) -> bool {
    let length = request.header(header::CONTENT_LENGTH);
    length.is_some_and(|length| length != "0")
        || request.header(header::TRANSFER_ENCODING).is_some()
}

/// Tells the caller that its connection ends with this answer. It does if the request's body was not
/// read to its end, and a caller that is not told may have sent its next request there.
pub(crate) fn close_after(response: &mut Response) {
    response.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));
}

/// Reads a whole body of at most `most` bytes.
pub(crate) async fn read_body(body: Body, most: usize) -> Result<Bytes, BodyError> {
    let mut stream = Box::pin(body.into_bytes_stream());
    let mut whole = bytes::BytesMut::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|error| BodyError::Broken(error.to_string()))?;
        if most < whole.len() + chunk.len() {
            return Err(BodyError::TooLarge(most));
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// Reads a body of JSON of at most `most` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    most: usize,
) -> Result<T, BodyError> {
    let body = read_body(request.take_body(), most).await?;
    Ok(serde_json::from_slice(&body)?)
}
