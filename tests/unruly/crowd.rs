//! Clients that send bytes, and keep their connections open without reading.

use std::{io, sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::scheduler::HOST;

/// How long a write may make no progress before the client gives up and holds on.
const STALL_TIME: Duration = Duration::from_secs(2);

/// How long a client waits for its connection, which may take several attempts of the system.
const CONNECT_TIME: Duration = Duration::from_secs(20);

/// How long a crowd holds on once it has sent what it could.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// What a client does with its connection.
pub(crate) enum Step {
    /// Writes bytes.
    Send(Vec<u8>),
    /// Waits until an answer begins to arrive.
    AwaitAnswer,
}

/// What each client does, one step after the other, before it holds on without a word.
pub(crate) type Script = Vec<Step>;

/// Open connections of a crowd.
pub(crate) struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Has clients connect and follow a script, all at once. Returns when each has come to its end,
    /// was refused, or cannot go on.
    pub(crate) async fn visit(address: &str, clients: usize, script: Script) -> Crowd {
        let script = Arc::new(script);
        let visits = (0..clients).map(|_| {
            let (address, script) = (address.to_owned(), script.clone());
            tokio::spawn(async move {
                let connect = timeout(CONNECT_TIME, TcpStream::connect(address));
                let mut stream = connect.await.ok()?.ok()?;
                for step in script.iter() {
                    if !matches!(timeout(STALL_TIME, follow(&mut stream, step)).await, Ok(Ok(()))) {
                        break;
                    }
                }
                Some(stream)
            })
        });
        let visits = join_all(visits).await;
        let connections = visits.into_iter().filter_map(|stream| stream.unwrap()).collect();
        sleep(HOLD_TIME).await;
        Crowd { _connections: connections }
    }
}

async fn follow(stream: &mut TcpStream, step: &Step) -> io::Result<()> {
    match step {
        Step::Send(bytes) => stream.write_all(bytes).await,
        Step::AwaitAnswer => stream.read(&mut [0; 1_024]).await.map(drop),
    }
}

fn send_all(pieces: impl IntoIterator<Item = Vec<u8>>) -> Script {
    pieces.into_iter().map(Step::Send).collect()
}

/// A head of one header whose value never ends.
pub(crate) fn endless_head(bytes: usize) -> Script {
    let head = format!("GET /quotes/00000000000000a1 HTTP/1.1\r\nHost: {HOST}\r\nX-Long: ");
    send_all([head.into_bytes(), vec![b'a'; bytes]])
}

/// Empty lines before a request that never begins.
pub(crate) fn empty_lines(bytes: usize) -> Script {
    send_all([b"\r\n".repeat(bytes / 2)])
}

fn post(path: &str, headers: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n\r\n").into_bytes()
}

/// A head with the length of its body, and a body without its last two bytes.
fn short_body(path: &str, headers: &str, bytes: usize, piece: usize) -> Script {
    let head = post(path, &format!("{headers}Content-Length: {bytes}"));
    let body = vec![b' '; bytes - 2];
    send_all(std::iter::once(head).chain(body.chunks(piece).map(<[u8]>::to_vec)))
}

/// A job whose body stops short of its end, written in pieces of a size.
pub(crate) fn body(bytes: usize, piece: usize) -> Script {
    short_body("/quotes/00000000000000a2", "", bytes, piece)
}

/// A whole body of legal size that is no job, with so many steps that parsing it takes far more
/// memory than the body itself.
pub(crate) fn many_steps(bytes: usize) -> Script {
    let head = post("/quotes/00000000000000a5", &format!("Content-Length: {bytes}"));
    let mut body = br#"{"steps":["#.to_vec();
    while body.len() + 3 <= bytes {
        body.extend_from_slice(b"{},");
    }
    body.resize(bytes, b' ');
    send_all([head, body])
}

/// A request to a service whose body stops short of its end.
pub(crate) fn service_body(bytes: usize) -> Script {
    short_body("/echo/", "caperhollow-team: test\r\n", bytes, bytes)
}

/// An operator's intent whose body stops short of its end.
pub(crate) fn operator_body(bytes: usize) -> Script {
    short_body("/v1/intents", "", bytes, bytes)
}

/// A job in chunks of a size that stops short of the end of its last chunk.
pub(crate) fn chunks(bytes: usize, chunk: usize) -> Script {
    const WRITE_BYTES: usize = 64 * 1024;
    let head = post("/quotes/00000000000000a3", "Transfer-Encoding: chunked");
    let mut encoded = Vec::new();
    for _ in 0..bytes / chunk {
        encoded.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        encoded.resize(encoded.len() + chunk, b' ');
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.truncate(encoded.len() - 4);
    send_all(std::iter::once(head).chain(encoded.chunks(WRITE_BYTES).map(<[u8]>::to_vec)))
}

/// Many requests for the state of a job, none of whose answers is read.
pub(crate) fn requests_ahead(host: &str, count: usize) -> Script {
    let request = format!("GET /quotes/00000000000000a4 HTTP/1.1\r\nHost: {host}\r\n\r\n");
    send_all([request.repeat(count).into_bytes()])
}

/// A WebSocket handshake and a message of 4 MB, of which 1 MB is sent.
pub(crate) fn endless_message(path: &str) -> Script {
    const MESSAGE_BYTES: u64 = 4 << 20;
    const SENT_BYTES: usize = 1 << 20;
    let handshake = format!(
        "GET {path} HTTP/1.1\r\nHost: node\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
    );
    // A final binary frame with a length of 64 bits and an empty mask.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&MESSAGE_BYTES.to_be_bytes());
    frame.extend_from_slice(&[0; 4]);
    frame.resize(frame.len() + SENT_BYTES, 0);
    vec![Step::Send(handshake.into_bytes()), Step::AwaitAnswer, Step::Send(frame)]
}
