//! The receiving side of delegated orders: makes the call of each order to its worker, and sends
//! the results back in batches.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use poem::{
    Request, Response,
    http::{StatusCode, header},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{
        Message,
        handshake::derive_accept_key,
        protocol::{Role, WebSocketConfig},
    },
};

use super::{
    MAX_MESSAGE_BYTES,
    call::call,
    wire::{self, Answer, Answers, Batch, WorkerTable},
};
use crate::{http, platform::worker_client::WorkerClient};

/// How long the first answer waits for others, so that they share a message: with ends of some
/// twelve workers, each message and each wake-up of its reader serves several.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// How long a link may receive nothing before it is closed: an owner polls each worker that it has
/// delegated here at least once a second.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a message may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The WebSocket configuration of both sides.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Accepts a request for a link, and serves the link until it ends.
pub(crate) fn upgrade(request: &Request, worker_client: WorkerClient) -> Response {
    let key =
        request.header(header::SEC_WEBSOCKET_KEY).map(|key| derive_accept_key(key.as_bytes()));
    let (Some(key), Ok(upgrade)) = (key, request.take_upgrade()) else {
        return http::text(StatusCode::BAD_REQUEST, "a WebSocket upgrade is required for orders\n");
    };
    tokio::spawn(async move {
        match upgrade.await {
            Ok(stream) => {
                log::info!("orders: link opened by another node");
                let config = Some(config());
                let link = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
                if let Err(error) = serve(link, worker_client).await {
                    log::info!("orders: link failed: {error}");
                }
            }
            Err(error) => log::info!("orders: link could not be opened: {error}"),
        }
    });
    Response::builder()
        .status(StatusCode::SWITCHING_PROTOCOLS)
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, "websocket")
        .header(header::SEC_WEBSOCKET_ACCEPT, key)
        .finish()
}

async fn serve<S>(link: WebSocketStream<S>, worker_client: WorkerClient) -> eyre::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sink, mut stream) = link.split();
    let (done, answers) = mpsc::unbounded_channel();
    let sender = tokio::spawn(send_answers(sink, answers));
    let mut table = WorkerTable::default();
    while let Ok(Some(message)) = timeout(RECEIVE_TIMEOUT, stream.next()).await {
        let Message::Binary(bytes) = message? else {
            continue;
        };
        let batch: Batch = ciborium::from_reader(&bytes[..])?;
        for order in wire::orders(&mut table, batch) {
            let (worker_client, done) = (worker_client.clone(), done.clone());
            tokio::spawn(async move {
                let answer = call(&worker_client, &order.effect).await;
                // Fails if the link has ended: the next owner polls the workers.
                let _ = done.send((order.number, answer));
            });
        }
    }
    sender.abort();
    Ok(())
}

/// Sends the results of orders until the link ends.
async fn send_answers<S>(mut sink: S, mut answers: mpsc::UnboundedReceiver<(u32, Answer)>)
where
    S: futures_util::Sink<Message> + Unpin,
    S::Error: std::fmt::Display,
{
    while let Some((number, answer)) = answers.recv().await {
        let mut message = Answers::default();
        wire::add_answer(&mut message, number, answer);
        sleep(BATCH_DELAY).await;
        while let Ok((number, answer)) = answers.try_recv() {
            wire::add_answer(&mut message, number, answer);
        }
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(&message, &mut bytes) {
            log::error!("orders: encoding answers as CBOR failed: {error}");
            continue;
        }
        match timeout(WRITE_TIMEOUT, sink.send(Message::binary(bytes))).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return log::info!("orders: sending answers failed: {error}"),
            Err(_) => return log::info!("orders: sending answers timed out"),
        }
    }
}
