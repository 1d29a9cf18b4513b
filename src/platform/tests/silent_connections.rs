//! Tests with open connections that stop responding for good, without a reset, while new ones work.
//! Only a timeout shows this, and by then the other open connections do not respond either.

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
    model::{order::Addressee, unit::Revision, worker::OrderResult},
    platform::{kv::Kv, machines::HostClient, worker_client::WorkerClient},
};

/// Timeout of the calls, longer than any answered call takes on a busy machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of open connections when all of them stop responding, as after a burst of calls.
const OPEN_CONNECTIONS: usize = 6;

/// A server that gives the same answer on all connections until its open ones stop responding.
#[derive(Clone, Default)]
struct Server {
    opened: Arc<AtomicUsize>,
    /// Connections with a number below this one do not respond.
    unresponsive: Arc<AtomicUsize>,
    /// Number of requests read. The first `OPEN_CONNECTIONS` requests wait for each other, so that
    /// each has a connection of its own.
    requests: Arc<AtomicUsize>,
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
            self.requests.fetch_add(1, Ordering::AcqRel);
            while self.requests.load(Ordering::Acquire) < OPEN_CONNECTIONS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            if number < self.unresponsive.load(Ordering::Acquire) {
                continue;
            }
            let length = body.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Lets a call time out that the server has read and does not answer.
    async fn run_until_timeout<T>(&self, call: impl Future<Output = T>) -> T {
        let before = self.requests.load(Ordering::Acquire);
        let expire = async {
            while self.requests.load(Ordering::Acquire) == before {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            tokio::time::pause();
            tokio::time::advance(CALL_TIMEOUT).await;
            tokio::time::resume();
        };
        tokio::join!(call, expire).0
    }

    /// Stops responding on all open connections.
    fn stop_responding(&self) {
        let opened = self.opened.load(Ordering::Acquire);
        assert!(OPEN_CONNECTIONS <= opened, "{opened} connections are open");
        self.unresponsive.store(opened, Ordering::Release);
    }
}

#[tokio::test]
async fn a_store_call_after_a_timeout_uses_a_new_connection() {
    let (server, address) = Server::start(r#"{"ttl_ms":2000}"#).await;
    let kv = Kv::new(&address, CALL_TIMEOUT, |_, _, _| {});
    let calls = (0..OPEN_CONNECTIONS).map(|_| kv.renew(1));
    for end in futures_util::future::join_all(calls).await {
        assert!(end.is_ok(), "{end:?}");
    }
    server.stop_responding();
    assert!(
        server.run_until_timeout(kv.renew(1)).await.is_err(),
        "the call on the old connection times out"
    );
    assert!(kv.renew(1).await.is_ok());
}

#[tokio::test]
async fn a_watch_after_a_timeout_uses_a_new_connection() {
    let (server, address) = Server::start(r#"{"events":[],"at":7}"#).await;
    let kv = Kv::new(&address, CALL_TIMEOUT, |_, _, _| {});
    let wait = Duration::from_millis(10);
    let calls = (0..OPEN_CONNECTIONS).map(|_| kv.watch("ch/", Revision(1), wait));
    for end in futures_util::future::join_all(calls).await {
        assert!(end.is_ok(), "{end:?}");
    }
    server.stop_responding();
    let timed_out = server.run_until_timeout(kv.watch("ch/", Revision(1), wait)).await;
    assert!(timed_out.is_err(), "the call on the old connection times out");
    assert!(kv.watch("ch/", Revision(1), wait).await.is_ok());
}

#[tokio::test]
async fn an_order_after_a_timeout_uses_a_new_connection() {
    let (server, address) = Server::start(r#"{"clock_ms":5}"#).await;
    let worker_client = WorkerClient::with_timeout(CALL_TIMEOUT);
    let to = Addressee { worker: "w1".parse().unwrap(), address, token: 7 };
    let task = "00e0f5a2b4c6d801.0.0.0".parse().unwrap();
    let calls = (0..OPEN_CONNECTIONS).map(|_| worker_client.stop(&to, task, 1));
    for end in futures_util::future::join_all(calls).await {
        assert_eq!(end, OrderResult::Done(5));
    }
    server.stop_responding();
    let timed_out = server.run_until_timeout(worker_client.stop(&to, task, 1)).await;
    assert_eq!(timed_out, OrderResult::Unknown, "the call on the old connection times out");
    assert_eq!(worker_client.stop(&to, task, 1).await, OrderResult::Done(5));
}

#[tokio::test]
async fn a_host_list_after_a_timeout_uses_a_new_connection() {
    let (server, address) = Server::start(r#"{"machines":[]}"#).await;
    let hosts = HostClient::with_timeout(&address, "n1".parse().unwrap(), CALL_TIMEOUT);
    let calls = (0..OPEN_CONNECTIONS).map(|_| hosts.list());
    for list in futures_util::future::join_all(calls).await {
        assert_eq!(list, Some(Vec::new()));
    }
    server.stop_responding();
    assert_eq!(
        server.run_until_timeout(hosts.list()).await,
        None,
        "the call on the old connection times out"
    );
    assert_eq!(hosts.list().await, Some(Vec::new()));
}
