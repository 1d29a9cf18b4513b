//! A server that answers, ends or resets connections as a test says, and keeps what it has read.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What becomes of a request that was read whole.
#[derive(Debug, Clone)]
pub(super) enum Then {
    /// It is answered, and the connection stays open.
    Answer(&'static str),
    /// It is answered, and the connection is closed without a word of that.
    AnswerAndClose(&'static str),
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// No more connections are taken, then this one is reset.
    Vanish,
}

/// The server.
pub(super) struct Peer {
    pub(super) address: String,
    /// The bodies of the requests that were read whole.
    received: Arc<Mutex<Vec<String>>>,
    /// Connections that were taken.
    opened: Arc<AtomicUsize>,
}

impl Peer {
    /// A server that does with its requests, counted from 0, as it is told.
    pub(super) async fn new(then: impl Fn(usize) -> Then + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Peer::on(listener, then)
    }

    /// As above, on a socket that may have taken connections already.
    pub(super) fn on(
        listener: TcpListener,
        then: impl Fn(usize) -> Then + Send + Sync + 'static,
    ) -> Peer {
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let opened = Arc::new(AtomicUsize::new(0));
        let peer = Peer { address, received: received.clone(), opened: opened.clone() };
        tokio::spawn(take(listener, received, opened, Arc::new(then)));
        peer
    }

    /// How many connections were taken.
    pub(super) fn opened(&self) -> usize {
        self.opened.load(Ordering::Acquire)
    }

    /// How many requests were read whole whose body has a text.
    pub(super) fn count(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|body| body.contains(text)).count()
    }
}

type Script = Arc<dyn Fn(usize) -> Then + Send + Sync>;

async fn take(
    listener: TcpListener,
    received: Arc<Mutex<Vec<String>>>,
    opened: Arc<AtomicUsize>,
    then: Script,
) {
    let (vanish, mut vanished) = tokio::sync::mpsc::channel::<TcpStream>(1);
    loop {
        tokio::select! {
            taken = listener.accept() => {
                let (stream, _) = taken.unwrap();
                opened.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(serve(stream, received.clone(), then.clone(), vanish.clone()));
            }
            Some(last) = vanished.recv() => {
                drop(listener);
                last.set_zero_linger().unwrap();
                return;
            }
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    received: Arc<Mutex<Vec<String>>>,
    then: Script,
    vanish: tokio::sync::mpsc::Sender<TcpStream>,
) {
    while let Some(body) = read(&mut stream).await {
        let number = {
            let mut received = received.lock().unwrap();
            received.push(body);
            received.len() - 1
        };
        match then(number) {
            Then::Answer(body) => answer(&mut stream, body).await,
            Then::AnswerAndClose(body) => return answer(&mut stream, body).await,
            Then::Close => return,
            Then::Reset => return stream.set_zero_linger().unwrap(),
            Then::Vanish => {
                // The listener is there until it is told.
                let _ = vanish.send(stream).await;
                return;
            }
        }
    }
}

async fn answer(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    // The caller may have gone.
    let _ = stream.write_all(head.as_bytes()).await;
}

/// The body of the next request; none once the connection has ended.
async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
            if length <= body.len() {
                return Some(body.to_owned());
            }
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}
