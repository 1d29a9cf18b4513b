//! Common parts of the program's HTTP servers: connections within limits, JSON answers, and graceful
//! shutdown.

pub(crate) mod connections;
#[cfg(test)]
mod tests;

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hyper::{
    body::{Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, Request, Response,
    http::{self, StatusCode, header, uri::Scheme},
    web::{LocalAddr, RemoteAddr},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream, lookup_host},
    time::{Instant, interval, sleep, timeout},
};
use tokio_util::{
    sync::{CancellationToken, WaitForCancellationFutureOwned},
    task::TaskTracker,
};

use connections::{
    Connection, ConnectionLimits, Connections, ListenerId, Overload, Share, TurnedAway,
};

/// How long a server that shuts down waits for requests in flight.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks for connections whose clients are late.
const LATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a listener waits after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of the segments in which a body is received, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024;

/// What may have arrived on a connection and not been read yet, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// Maximum number of connections that have been opened and not been accepted yet.
const MAX_PENDING_CONNECTIONS: u32 = 1_024;

/// `Retry-After` of refusals for lack of room, in seconds.
pub(crate) const RETRY_AFTER_S: u32 = 1;

/// A counted connection, which is reset when its server is stopped immediately and when it has to
/// make room.
pub(crate) struct CountedStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
}

/// Tokens that stop a server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Stop {
    /// Accepts no new connections and stops once the requests in flight have finished.
    pub(crate) gently: CancellationToken,
    /// Resets every connection.
    pub(crate) at_once: CancellationToken,
}

impl CountedStream {
    /// Counts a connection; `None` if there is no room for it.
    pub(crate) fn open(
        stream: TcpStream,
        connections: &Connections,
        listener: ListenerId,
        close: CancellationToken,
    ) -> Option<CountedStream> {
        let connection = Arc::new(connections.open(listener, close, Instant::now())?);
        let closed = Box::pin(connection.close_token().clone().cancelled_owned());
        Some(CountedStream { stream, connection, closed })
    }

    pub(crate) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received != 0
            && let Err(overload) = self.connection.note_received(received, Instant::now())
        {
            return Poll::Ready(Err(io::Error::other(overload)));
        }
        polled
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

/// Accepts the connections of a listener that have room.
pub(crate) struct BoundedListener {
    listener: TcpListener,
    connections: Connections,
    id: ListenerId,
}

impl BoundedListener {
    pub(crate) fn new(
        listener: TcpListener,
        connections: &Connections,
        share: Share,
    ) -> BoundedListener {
        let id = connections.add_listener(share);
        BoundedListener { listener, connections: connections.clone(), id }
    }

    /// The next connection for which there is room. Others are closed.
    pub(crate) async fn accept(
        &self,
        reset: &CancellationToken,
    ) -> (CountedStream, SocketAddr, SocketAddr) {
        loop {
            match self.try_accept(reset).await {
                Ok(Some(accepted)) => return accepted,
                Ok(None) => {}
                Err(error) => {
                    log::warn!("connection not accepted: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn try_accept(
        &self,
        reset: &CancellationToken,
    ) -> io::Result<Option<(CountedStream, SocketAddr, SocketAddr)>> {
        let (stream, remote) = self.listener.accept().await?;
        // Answers are written whole, so that Nagle's algorithm would only delay them.
        stream.set_nodelay(true)?;
        let local = stream.local_addr()?;
        let close = reset.child_token();
        let counted = CountedStream::open(stream, &self.connections, self.id, close);
        Ok(counted.map(|stream| (stream, local, remote)))
    }
}

/// Serves an endpoint, with at most `max_connections` connections, until it is stopped.
pub(crate) async fn serve<E>(listener: TcpListener, max_connections: usize, endpoint: E, stop: Stop)
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let connections = Connections::new(ConnectionLimits::default());
    let share = Share::of_connections(max_connections);
    serve_within(listener, connections, share, endpoint, stop).await;
}

/// Serves an endpoint with a share of the connections of the process, until it is stopped.
pub(crate) async fn serve_within<E>(
    listener: TcpListener,
    connections: Connections,
    share: Share,
    endpoint: E,
    stop: Stop,
) where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let Stop { gently, at_once } = stop;
    let listener = BoundedListener::new(listener, &connections, share);
    let endpoint = Arc::new(endpoint.into_endpoint().map_to_response());
    let (tasks, head_bytes) = (TaskTracker::new(), connections.limits().clients.head_bytes);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept(&at_once) => accepted,
            () = gently.cancelled() => break,
            () = at_once.cancelled() => return,
        };
        let served = serve_connection(accepted, endpoint.clone(), head_bytes, gently.clone());
        tasks.spawn(served);
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
    let connection = stream.connection().clone();
    let served = connection.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let (endpoint, connection) = (endpoint.clone(), served.clone());
        async move {
            let addresses = (LocalAddr(local.into()), RemoteAddr(remote.into()));
            let request = Request::from((request, addresses.0, addresses.1, Scheme::HTTP));
            let response = answer(&*endpoint, request, &connection).await;
            connection.note_answered(Instant::now());
            let response = http::Response::from(response);
            Ok::<_, Infallible>(response.map(|body| AnswerBody { body, connection }))
        }
    });
    // A buffer holds a head as a whole, and a part of a body.
    let mut served = pin!(
        http1::Builder::new()
            .max_buf_size(head_bytes)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades()
    );
    let closed = connection.close_token().cancelled();
    let result = tokio::select! {
        biased;
        () = closed => return,
        result = served.as_mut() => result,
        () = gently.cancelled() => {
            served.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = connection.close_token().cancelled() => return,
                result = served => result,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("connection of {remote}: {error}");
    }
}

/// The body of an answer. The request has ended once the body is dropped.
struct AnswerBody<B> {
    body: B,
    connection: Arc<Connection>,
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.connection.finish(Instant::now());
    }
}

/// Has an endpoint answer a request, which counts as whole at once if it has no body.
async fn answer<E>(endpoint: &E, mut request: Request, connection: &Arc<Connection>) -> Response
where
    E: Endpoint<Output = Response>,
{
    if !has_body(&request)
        && let Err(overload) = connection.begin(Instant::now())
    {
        return refuse(&overload);
    }
    request.extensions_mut().insert(connection.clone());
    endpoint.get_response(request).await
}

/// The answer to a request that is not carried out for lack of room.
pub(crate) fn refuse(overload: &Overload) -> Response {
    let mut response =
        text(StatusCode::SERVICE_UNAVAILABLE, format!("request not accepted: {overload}\n"));
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    response
}

/// Closes connections whose clients are late, for as long as the process runs.
pub(crate) async fn close_late(connections: Connections) {
    let mut ticks = interval(LATE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let TurnedAway { late, evicted, refused } = connections.close_late(Instant::now());
        if late != 0 {
            log::info!("connections: {late} closed: no whole request in time");
        }
        if evicted != 0 || refused != 0 {
            log::warn!("connections: {evicted} closed to make room, {refused} refused");
        }
    }
}

/// Listens at an address; port 0 selects a free port.
pub(crate) async fn listen(address: &str) -> io::Result<(TcpListener, SocketAddr)> {
    let mut resolved = lookup_host(address).await?;
    let address = resolved.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("listen: {address}: the receive buffer keeps its default size: {error}");
    }
    socket.bind(address)?;
    let listener = socket.listen(MAX_PENDING_CONNECTIONS)?;
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
    #[error(transparent)]
    Overload(#[from] Overload),
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

/// The connection on which a request came; `None` for a request that came on none.
pub(crate) fn connection_of(request: &Request) -> Option<Arc<Connection>> {
    request.extensions().get::<Arc<Connection>>().cloned()
}

/// The length of a request's body, if its head tells.
fn body_length(request: &Request) -> Option<usize> {
    request.header(header::CONTENT_LENGTH)?.parse().ok()
}

/// Reads the whole body of a request, of at most `max_bytes` bytes. Its memory is reserved as it
/// arrives.
pub(crate) async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let length = body_length(request);
    if length.is_some_and(|length| max_bytes < length) {
        return Err(BodyError::TooLarge(max_bytes));
    }
    let connection = connection_of(request);
    let reserve = |bytes| match &connection {
        Some(connection) => connection.reserve(bytes, Instant::now()),
        None => Ok(()),
    };
    let mut stream = Box::pin(request.take_body().into_bytes_stream());
    let mut body = SegmentedBody::default();
    while let Some(chunk) = stream.next().await {
        let mut chunk = chunk.map_err(|error| BodyError::Broken(error.to_string()))?;
        let expected = length.unwrap_or(max_bytes) - body.length;
        if expected < chunk.len() {
            return Err(BodyError::TooLarge(max_bytes));
        }
        while !chunk.is_empty() {
            if body.room() == 0 {
                let bytes = expected.min(SEGMENT_BYTES);
                reserve(bytes)?;
                body.segments.push(BytesMut::with_capacity(bytes));
            }
            let part = chunk.split_to(chunk.len().min(body.room()));
            body.extend(&part);
        }
    }
    if let Some(connection) = &connection {
        connection.begin(Instant::now())?;
    }
    if 1 < body.segments.len() {
        reserve(body.length)?;
    }
    Ok(body.join())
}

/// A body that is being received, in segments of equal size, which the allocator can use again for
/// others. One buffer that grows would leave free memory of ever other sizes behind.
#[derive(Default)]
struct SegmentedBody {
    segments: Vec<BytesMut>,
    length: usize,
}

impl SegmentedBody {
    /// Free capacity of the last segment.
    fn room(&self) -> usize {
        self.segments.last().map_or(0, |last| last.capacity() - last.len())
    }

    fn extend(&mut self, part: &[u8]) {
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(part);
            self.length += part.len();
        }
    }

    fn join(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        self.segments.iter().for_each(|segment| whole.extend_from_slice(segment));
        whole.freeze()
    }
}

/// Reads a JSON body of at most `max_bytes` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
) -> Result<T, BodyError> {
    let body = read_body(request, max_bytes).await?;
    Ok(serde_json::from_slice(&body)?)
}
