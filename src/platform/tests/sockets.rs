//! The reported result of an order or a write must be true on real sockets: the HTTP client must
//! not send one twice by itself, and a write that is reported as failed must not have been read.

use std::time::Duration;

use tokio::net::TcpListener;

use super::scripted_server::{Action, ScriptedServer};
use crate::{
    model::{
        order::{Addressee, Start},
        unit::Revision,
        worker::OrderResult,
    },
    platform::{
        kv::{CommitResult, Kv, Txn},
        store::StoreError,
        worker_client::WorkerClient,
    },
};

const CLOCK: &str = r#"{"clock_ms":5}"#;
const REVISION: &str = r#"{"revision":7}"#;

/// Repetitions of a test that contains a race. Its checks hold for either order of events.
const REPETITIONS: u32 = 60;

/// Timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn to(address: &str) -> Addressee {
    Addressee { worker: "w1".parse().unwrap(), address: address.to_owned(), token: 7 }
}

fn start(run: u32) -> Start {
    Start {
        task: "00e0f5a2b4c6d801.0.0.0".parse().unwrap(),
        run,
        payload: "payload".into(),
        until_ms: 9_000,
        checkpoint: String::new(),
        ticket: String::new(),
    }
}

fn run(run: u32) -> String {
    format!(r#""run":{run},"#)
}

/// The worker closes an idle connection just as the next start is written to it.
#[tokio::test]
async fn a_start_on_a_closing_connection_is_sent_at_most_once() {
    for _ in 0..REPETITIONS {
        let server = ScriptedServer::new(|_| Action::AnswerAndClose(CLOCK)).await;
        let worker_client = WorkerClient::new();
        assert_eq!(
            worker_client.start(&to(&server.address), &start(1)).await,
            OrderResult::Done(5)
        );
        let end = worker_client.start(&to(&server.address), &start(2)).await;
        match server.count_containing(&run(2)) {
            0 => assert_eq!(end, OrderResult::Unknown),
            1 => assert!(matches!(end, OrderResult::Done(5) | OrderResult::Unknown), "{end:?}"),
            count => panic!("sent {count} times"),
        }
    }
}

/// The worker reads a whole start, on a new connection or on an idle one, and closes or resets the
/// connection without an answer.
#[tokio::test]
async fn a_start_without_an_answer_is_unknown_and_not_repeated() {
    for action in [Action::Reset, Action::Close, Action::StopListening] {
        for before in 0..2 {
            let last = action.clone();
            let script = move |number| match number < before {
                true => Action::Answer(CLOCK),
                false => last.clone(),
            };
            let server = ScriptedServer::new(script).await;
            let worker_client = WorkerClient::new();
            for number in 0..before {
                let first = start(10 + number as u32);
                assert_eq!(
                    worker_client.start(&to(&server.address), &first).await,
                    OrderResult::Done(5)
                );
            }
            let end = worker_client.start(&to(&server.address), &start(2)).await;
            assert_eq!(end, OrderResult::Unknown, "{action:?} after {before}");
            assert_eq!(server.count_containing(&run(2)), 1, "{action:?} after {before}");
        }
    }
}

/// A worker's process is paused: its kernel accepts the connection and the start, the call times
/// out, and then the worker resumes and reads the start.
#[tokio::test]
async fn a_start_that_a_paused_worker_reads_later_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let end = WorkerClient::new().start(&to(&address), &start(2)).await;
    assert_eq!(end, OrderResult::Unknown);
    let server = ScriptedServer::on(listener, |_| Action::Answer(CLOCK));
    while server.count_containing(&run(2)) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(server.count_containing(&run(2)), 1);
}

/// No one listens. The run has certainly not started, but the client is not required to
/// report that.
#[tokio::test]
async fn a_start_at_a_closed_port_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert_eq!(WorkerClient::new().start(&to(&address), &start(2)).await, OrderResult::Unknown);
}

fn connect(address: &str) -> Kv {
    Kv::new(address, CALL_TIMEOUT, |_, _, _| {})
}

async fn commit(kv: &Kv, key: &str) -> Result<CommitResult, StoreError> {
    kv.commit(&Txn::default().expect(key, Revision(0)).put(key, "value")).await
}

/// An idle connection is closed while a write is sent, and the store may be down afterwards. A
/// write that is reported as failed must not have been read.
#[tokio::test]
async fn a_write_that_is_reported_as_failed_was_not_read() {
    let ends =
        [Action::AnswerAndClose(REVISION), Action::StopListening, Action::Reset, Action::Close];
    for action in ends {
        for _ in 0..REPETITIONS {
            let last = action.clone();
            let server = ScriptedServer::new(move |number| match number {
                0 => Action::AnswerAndClose(REVISION),
                1 => Action::Answer(REVISION),
                _ => last.clone(),
            });
            let server = server.await;
            let kv = connect(&server.address);
            for number in 0..4 {
                let key = format!("key-{number}");
                let end = commit(&kv, &key).await;
                let count = server.count_containing(&format!(r#""put":[{{"private_key":"{key}""#));
                match end {
                    Ok(_) => assert_eq!(count, 1, "{action:?}"),
                    Err(error) if error.is_unknown() => assert!(count <= 1, "{action:?}: {error}"),
                    Err(error) => assert_eq!(count, 0, "{action:?}: {error}"),
                }
            }
        }
    }
}

/// The store no longer listens: the write has certainly failed.
#[tokio::test]
async fn a_write_to_a_closed_port_has_failed_for_certain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let error = commit(&connect(&address), "key").await.unwrap_err();
    assert!(!error.is_unknown(), "{error}");
}

/// Guards against a fault: an empty page that claims more items was taken for the last page, so
/// that all keys after it counted as removed.
#[tokio::test]
async fn a_list_with_an_empty_page_before_its_end_is_an_error() {
    let pages = |number| match number {
        0 => r#"{"items":[{"private_key":"a","value":"","revision":3}],"more":true,"at":5}"#,
        _ => r#"{"items":[],"more":true,"at":5}"#,
    };
    let server = ScriptedServer::new(move |number| Action::Answer(pages(number))).await;
    let list = connect(&server.address).range("").await;
    assert!(matches!(list, Err(StoreError::InvalidAnswer { .. })), "{list:?}");
}

/// Guards against tasks that never run after all nodes lose power at once. A worker accepts a
/// bounded number of connections and keeps those of departed nodes. If an owner opens one for each
/// start of a burst, none is left for the next owner: its polls succeed on its one connection, but
/// its starts are reset.
#[tokio::test]
async fn a_burst_of_starts_opens_few_connections_to_a_worker() {
    const BURST: u32 = 40;
    let server = ScriptedServer::new(|_| Action::Answer(CLOCK)).await;
    let worker_client = WorkerClient::new();
    let starts = (1..=BURST).map(|number| {
        let (worker_client, to) = (worker_client.clone(), to(&server.address));
        tokio::spawn(async move { worker_client.start(&to, &start(number)).await })
    });
    for started in starts.collect::<Vec<_>>() {
        assert_eq!(started.await.unwrap(), OrderResult::Done(5));
    }
    assert!(server.opened() <= 6, "{} connections for {BURST} starts", server.opened());
    assert_eq!(server.count_containing(r#""run":"#), BURST as usize);
}
