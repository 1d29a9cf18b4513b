//! A scripted server: answers requests, closes or resets connections, and records what it has read.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What the server does after it has read a whole request.
#[derive(Debug, Clone)]
pub(super) enum Action {
    /// Answers and keeps the connection open.
    Answer(&'static str),
    /// Answers and closes the connection, without announcing that in the answer.
    AnswerAndClose(&'static str),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Stops listening, then resets the connection.
    StopListening,
}

/// A scripted server.
pub(super) struct ScriptedServer {
    pub(super) address: String,
    /// The bodies of the requests that were read completely.
    received: Arc<Mutex<Vec<String>>>,
    /// Number of accepted connections.
    opened: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts a server. `script` gives the action for each request, numbered from 0.
    pub(super) async fn new(
        script: impl Fn(usize) -> Action + Send + Sync + 'static,
    ) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        ScriptedServer::on(listener, script)
    }

    /// Starts a server on a socket that may already have pending connections.
    pub(super) fn on(
        listener: TcpListener,
        script: impl Fn(usize) -> Action + Send + Sync + 'static,
    ) -> ScriptedServer {
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let opened = Arc::new(AtomicUsize::new(0));
        let server = ScriptedServer { address, received: received.clone(), opened: opened.clone() };
        tokio::spawn(accept_loop(listener, received, opened, Arc::new(script)));
        server
    }

    /// Number of accepted connections.
    pub(super) fn opened(&self) -> usize {
        self.opened.load(Ordering::Acquire)
    }

    /// Number of completely read requests whose body contains a text.
    pub(super) fn count_containing(&self, text: &str) -> usize {
        self.received.lock().unwrap().iter().filter(|body| body.contains(text)).count()
    }
}

type Script = Arc<dyn Fn(usize) -> Action + Send + Sync>;

async fn accept_loop(
    listener: TcpListener,
    received: Arc<Mutex<Vec<String>>>,
    opened: Arc<AtomicUsize>,
    script: Script,
) {
    let (stop, mut last_streams) = tokio::sync::mpsc::channel::<TcpStream>(1);
    loop {
        tokio::select! {
            taken = listener.accept() => {
                let (stream, _) = taken.unwrap();
                opened.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(serve(stream, received.clone(), script.clone(), stop.clone()));
            }
            Some(last) = last_streams.recv() => {
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
    script: Script,
    stop: tokio::sync::mpsc::Sender<TcpStream>,
) {
    while let Some(body) = read(&mut stream).await {
        let number = {
            let mut received = received.lock().unwrap();
            received.push(body);
            received.len() - 1
        };
        match script(number) {
            Action::Answer(body) => answer(&mut stream, body).await,
            Action::AnswerAndClose(body) => return answer(&mut stream, body).await,
            Action::Close => return,
            Action::Reset => return stream.set_zero_linger().unwrap(),
            Action::StopListening => {
                // The receiver exists as long as the server listens.
                let _ = stop.send(stream).await;
                return;
            }
        }
    }
}

async fn answer(stream: &mut TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    // The client may have closed the connection.
    let _ = stream.write_all(head.as_bytes()).await;
}

/// Reads the body of the next request; `None` once the connection is closed.
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
