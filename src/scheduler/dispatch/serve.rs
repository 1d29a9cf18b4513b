//! The side that carries out orders: each call to a worker is made from here, and what became of
//! them goes back in batches.

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
    MOST_BYTES,
    call::call,
    wire::{self, Answer, Answers, Batch, Names},
};
use crate::{http, platform::runner::Runners};

/// How long the first answer waits for others, so that they share a message: with ends of some
/// twelve workers, each message and each wake-up at its reader serves several.
const GATHER: Duration = Duration::from_millis(5);

/// How long a link may be silent before it is closed: an owner with workers here looks at each of
/// them once a second at the least.
const SILENCE: Duration = Duration::from_secs(5);

/// How long a message may take to be written.
const WRITE_LIMIT: Duration = Duration::from_secs(1);

/// How messages are read on both sides.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(MOST_BYTES)).max_frame_size(Some(MOST_BYTES))
}

/// Takes a request for a link, and serves the link until it ends.
pub(crate) fn upgrade(request: &Request, runners: Runners) -> Response {
    let key =
        request.header(header::SEC_WEBSOCKET_KEY).map(|key| derive_accept_key(key.as_bytes()));
    let (Some(key), Ok(upgrade)) = (key, request.take_upgrade()) else {
        return http::text(StatusCode::BAD_REQUEST, "orders come over a WebSocket\n");
    };
    tokio::spawn(async move {
        match upgrade.await {
            Ok(stream) => {
                log::info!("orders: link opened by another node");
                let config = Some(config());
                let link = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
                if let Err(error) = serve(link, runners).await {
                    log::info!("orders: link: {error}");
                }
            }
            Err(error) => log::info!("orders: link: not opened: {error}"),
        }
    });
    Response::builder()
        .status(StatusCode::SWITCHING_PROTOCOLS)
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, "websocket")
        .header(header::SEC_WEBSOCKET_ACCEPT, key)
        .finish()
}

async fn serve<S>(link: WebSocketStream<S>, runners: Runners) -> eyre::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sink, mut stream) = link.split();
    let (done, answers) = mpsc::unbounded_channel();
    let telling = tokio::spawn(tell(sink, answers));
    let mut names = Names::default();
    while let Ok(Some(message)) = timeout(SILENCE, stream.next()).await {
        let Message::Binary(bytes) = message? else {
            continue;
        };
        let batch: Batch = ciborium::from_reader(&bytes[..])?;
        for order in wire::orders(&mut names, batch) {
            let (runners, done) = (runners.clone(), done.clone());
            tokio::spawn(async move {
                let answer = call(&runners, &order.effect).await;
                // The owner has gone: whoever follows it asks the workers.
                let _ = done.send((order.number, answer));
            });
        }
    }
    telling.abort();
    Ok(())
}

/// Tells what became of orders until the link ends.
async fn tell<S>(mut sink: S, mut answers: mpsc::UnboundedReceiver<(u32, Answer)>)
where
    S: futures_util::Sink<Message> + Unpin,
    S::Error: std::fmt::Display,
{
    while let Some((number, answer)) = answers.recv().await {
        let mut told = Answers::default();
        wire::add_answer(&mut told, number, answer);
        sleep(GATHER).await;
        while let Ok((number, answer)) = answers.try_recv() {
            wire::add_answer(&mut told, number, answer);
        }
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(&told, &mut bytes) {
            log::error!("orders: answers not written as CBOR: {error}");
            continue;
        }
        match timeout(WRITE_LIMIT, sink.send(Message::binary(bytes))).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return log::info!("orders: answers not sent: {error}"),
            Err(_) => return log::info!("orders: answers not sent in time"),
        }
    }
}
