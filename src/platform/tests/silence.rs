//! Open connections that go silent for good, without a reset, while new ones work. Only a time limit
//! shows it, and by then the other connections that are open are as silent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{
    model::{order::Addressee, unit::Revision, worker::OrderEnd},
    platform::{kv::Kv, machines::Machines, runner::Runners},
};

/// No call that is answered takes so long, whatever else the machine does.
const LIMIT: Duration = Duration::from_secs(60);

/// Connections that are open when all fall silent: as many as a burst of calls has opened.
const OPEN: usize = 6;

/// A server that gives one answer on all its connections, and falls silent on those that are open.
#[derive(Clone, Default)]
struct Server {
    opened: Arc<AtomicUsize>,
    /// Connections below this number are silent.
    silent: Arc<AtomicUsize>,
    /// Requests that wait until there are enough of them, so that each has a connection of its own.
    together: Arc<AtomicUsize>,
}

impl Server {
    async fn start(body: &'static str) -> (Server, String) {
        let (server, listener) =
            (Server::default(), TcpListener::bind("127.0.0.1:0").await.unwrap());
        let address = listener.local_addr().unwrap().to_string();
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepting.opened.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(accepting.clone().answer(number, stream, body));
            }
        });
        (server, address)
    }

    async fn answer(self, number: usize, mut stream: TcpStream, body: &'static str) {
        let mut bytes = vec![0; 4_096];
        while stream.read(&mut bytes).await.is_ok_and(|count| count != 0) {
            self.together.fetch_add(1, Ordering::AcqRel);
            while self.together.load(Ordering::Acquire) < OPEN {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            if number < self.silent.load(Ordering::Acquire) {
                continue;
            }
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Lets the time run out of a call that the server has read and leaves unanswered.
    async fn outlast<T>(&self, call: impl Future<Output = T>) -> T {
        let read = self.together.load(Ordering::Acquire);
        let run_out = async {
            while self.together.load(Ordering::Acquire) == read {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            tokio::time::pause();
            tokio::time::advance(LIMIT).await;
            tokio::time::resume();
        };
        tokio::join!(call, run_out).0
    }

    /// All connections that are open fall silent.
    fn fall_silent(&self) {
        let opened = self.opened.load(Ordering::Acquire);
        assert!(OPEN <= opened, "{opened} are open");
        self.silent.store(opened, Ordering::Release);
    }
}

#[tokio::test]
async fn a_call_of_the_store_after_one_without_an_answer_has_a_new_connection() {
    let (server, address) = Server::start(r#"{"ttl_ms":2000}"#).await;
    let kv = Kv::new(&address, LIMIT, |_, _, _| {});
    let calls = (0..OPEN).map(|_| kv.keep(1));
    for end in futures_util::future::join_all(calls).await {
        assert!(end.is_ok(), "{end:?}");
    }
    server.fall_silent();
    assert!(server.outlast(kv.keep(1)).await.is_err(), "nobody can know yet");
    assert!(kv.keep(1).await.is_ok());
}

#[tokio::test]
async fn a_watch_after_one_that_fell_silent_has_a_new_connection() {
    let (server, address) = Server::start(r#"{"events":[],"at":7}"#).await;
    let kv = Kv::new(&address, LIMIT, |_, _, _| {});
    let wait = Duration::from_millis(10);
    let calls = (0..OPEN).map(|_| kv.watch("ch/", Revision(1), wait));
    for end in futures_util::future::join_all(calls).await {
        assert!(end.is_ok(), "{end:?}");
    }
    server.fall_silent();
    let unanswered = server.outlast(kv.watch("ch/", Revision(1), wait)).await;
    assert!(unanswered.is_err(), "nobody can know yet");
    assert!(kv.watch("ch/", Revision(1), wait).await.is_ok());
}

#[tokio::test]
async fn an_order_after_one_without_an_answer_has_a_new_connection() {
    let (server, address) = Server::start(r#"{"clock_ms":5}"#).await;
    let runners = Runners::with_timeout(LIMIT);
    let to = Addressee { worker: "w1".parse().unwrap(), address, token: 7 };
    let task = "00e0f5a2b4c6d801.0.0.0".parse().unwrap();
    let calls = (0..OPEN).map(|_| runners.stop(&to, task, 1));
    for end in futures_util::future::join_all(calls).await {
        assert_eq!(end, OrderEnd::Done(5));
    }
    server.fall_silent();
    let unanswered = server.outlast(runners.stop(&to, task, 1)).await;
    assert_eq!(unanswered, OrderEnd::Unknown, "nobody can know yet");
    assert_eq!(runners.stop(&to, task, 1).await, OrderEnd::Done(5));
}

#[tokio::test]
async fn a_list_of_hosts_after_one_without_an_answer_comes_over_a_new_connection() {
    let (server, address) = Server::start(r#"{"machines":[]}"#).await;
    let hosts = Machines::with_timeout(&address, "n1".parse().unwrap(), LIMIT);
    let calls = (0..OPEN).map(|_| hosts.list());
    for list in futures_util::future::join_all(calls).await {
        assert_eq!(list, Some(Vec::new()));
    }
    server.fall_silent();
    assert_eq!(server.outlast(hosts.list()).await, None, "nobody can know yet");
    assert_eq!(hosts.list().await, Some(Vec::new()));
}
