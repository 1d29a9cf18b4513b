//! The receiving side of delegated orders: makes the call of each order to its worker, and sends
//! the results back in batches.

use std::time::{Duration, Instant};

use futures_util::{SinkExt, Stream, StreamExt, future::pending};
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
        self, Message,
        handshake::derive_accept_key,
        protocol::{Role, WebSocketConfig},
    },
};

use super::{
    MAX_MESSAGE_BYTES,
    answer_delays::AnswerDelays,
    call::{self, call},
    link::path_end,
    wire::{self, Answer, Answers, Batch, WorkerTable},
};
use crate::{
    http::{self, connections::Connection},
    jobs::reach::PathEnd,
    platform::worker_client::WorkerClient,
    scheduler::clock::process_cpu,
};

/// How long the first answer waits for others, so that they share a message: with ends of some
/// twelve workers, each message and each wake-up of its reader serves several.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// How long a link may receive nothing before it is closed: an owner polls each worker that it has
/// delegated here at least once a second.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a message may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the buffer from which messages are read, in bytes.
const LINK_BUFFER_BYTES: usize = 16 * 1024;

/// The result of an order that is to be sent back.
struct Finished {
    number: u32,
    answer: Answer,
    /// When it is sent if nothing delays it: at the end of the call's own wait, or of its time limit
    /// if the worker has not answered.
    due: Instant,
}

/// The WebSocket configuration of both sides.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(LINK_BUFFER_BYTES)
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
    let connection = http::connection_of(request);
    tokio::spawn(async move {
        match upgrade.await {
            Ok(stream) => {
                log::info!("orders: link opened by another node");
                if let Some(connection) = &connection {
                    connection.become_link();
                }
                let config = Some(config());
                let link = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
                if let Err(error) = serve(link, connection.as_deref(), worker_client).await {
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

async fn serve<S>(
    link: WebSocketStream<S>,
    connection: Option<&Connection>,
    worker_client: WorkerClient,
) -> eyre::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sink, stream) = link.split();
    let (done, answers) = mpsc::unbounded_channel();
    // In one task, so that nothing of the link remains once it has ended.
    tokio::select! {
        result = receive_orders(stream, done, connection, worker_client) => result,
        () = async { send_answers(sink, answers).await; pending().await } => Ok(()),
    }
}

/// Carries out the orders of a link until it ends or falls silent.
async fn receive_orders<S>(
    mut stream: S,
    done: mpsc::UnboundedSender<Finished>,
    connection: Option<&Connection>,
    worker_client: WorkerClient,
) -> eyre::Result<()>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    let mut table = WorkerTable::default();
    while let Ok(Some(message)) = timeout(RECEIVE_TIMEOUT, stream.next()).await {
        let Message::Binary(bytes) = message? else {
            continue;
        };
        let received = Instant::now();
        let batch: Batch = ciborium::from_reader(&bytes[..])?;
        if let Some(connection) = connection {
            connection.finish(received.into());
        }
        for order in wire::orders(&mut table, batch) {
            let (worker_client, done) = (worker_client.clone(), done.clone());
            tokio::spawn(async move {
                let answer = call(&worker_client, &order.effect).await;
                let duration = match path_end(&answer) {
                    PathEnd::Unanswered => call::time_limit(&order.effect),
                    _ => call::own_wait(&order.effect),
                };
                let due = received + duration;
                // Fails if the link has ended: the next owner polls the workers.
                let _ = done.send(Finished { number: order.number, answer, due });
            });
        }
    }
    Ok(())
}

/// Sends the results of orders until the link ends.
async fn send_answers<S>(mut sink: S, mut answers: mpsc::UnboundedReceiver<Finished>)
where
    S: futures_util::Sink<Message> + Unpin,
    S::Error: std::fmt::Display,
{
    let mut delays = AnswerDelays::new(Instant::now(), process_cpu());
    let mut due_times = Vec::new();
    while let Some(Finished { number, answer, due }) = answers.recv().await {
        let mut message = Answers::default();
        wire::add_answer(&mut message, number, answer);
        due_times.push(due);
        sleep(BATCH_DELAY).await;
        while let Ok(Finished { number, answer, due }) = answers.try_recv() {
            wire::add_answer(&mut message, number, answer);
            due_times.push(due);
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
        let now = Instant::now();
        due_times.drain(..).for_each(|due| delays.note_sent(due, now));
        if let Some(report) = delays.take_report(now, process_cpu) {
            log::info!("orders: {report}");
        }
    }
}
