//! Tests of calls made by a node that is late: it handles what arrives, and sends what it has
//! decided, later than the time limit of a call allows.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use tokio::time::advance;

use crate::{
    model::{
        order::{Addressee, Start},
        worker::OrderResult,
    },
    platform::worker_client::{ORDER_TIMEOUT, WorkerClient},
    tests::stopped_clock::StoppedClock,
};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"clock_ms\":5}";

/// Longer than the time limit of an order.
const DELAY: Duration = Duration::from_millis(500);

/// Step of the clock.
const STEP: Duration = Duration::from_millis(1);

/// How much longer than its time limit a call may take: timers have a resolution of 1 ms.
const TIMER_SLACK: Duration = Duration::from_millis(10);

/// A worker on a thread of its own, which answers when it is told to.
struct Worker {
    address: String,
    /// A message for each call that was read.
    read: Receiver<()>,
    answer: Sender<()>,
    /// A message for each answer that was written.
    answered: Receiver<()>,
}

impl Worker {
    fn new() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let ((note_read, read), (answer, answers)) = (channel(), channel());
        let (note_answered, answered) = channel();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4_096];
            while stream.read(&mut bytes).is_ok_and(|count| count != 0) {
                note_read.send(()).unwrap();
                if answers.recv().is_err() {
                    return;
                }
                stream.write_all(ANSWER.as_bytes()).unwrap();
                note_answered.send(()).unwrap();
            }
        });
        Worker { address, read, answer, answered }
    }

    fn addressee(&self) -> Addressee {
        Addressee { worker: "w1".parse().unwrap(), address: self.address.clone(), token: 7 }
    }
}

fn start() -> Start {
    Start {
        task: "00e0f5a2b4c6d801.0.0.0".parse().unwrap(),
        run: 1,
        payload: "payload".into(),
        until_ms: 9_000,
        checkpoint: String::new(),
        ticket: String::new(),
    }
}

/// Guards against starts that count as unanswered although the answer has arrived, since the node
/// was busy until their time limit had passed.
#[tokio::test]
async fn an_answer_that_arrived_while_the_node_was_busy_counts() {
    let (_clock, worker) = (StoppedClock::new(), Worker::new());
    let to = worker.addressee();
    let call = tokio::spawn(async move { WorkerClient::new().start(&to, &start()).await });
    while worker.read.try_recv().is_err() {
        tokio::task::yield_now().await;
    }
    // The runtime runs on this thread.
    worker.answer.send(()).unwrap();
    worker.answered.recv().unwrap();
    advance(DELAY).await;
    assert_eq!(call.await.unwrap(), OrderResult::Done(5));
}

/// Guards against calls that a busy node gives up before it has sent them.
#[tokio::test]
async fn a_call_that_a_busy_node_has_not_sent_by_its_time_limit_is_made() {
    let (_clock, worker) = (StoppedClock::new(), Worker::new());
    let to = worker.addressee();
    let call = tokio::spawn(async move { WorkerClient::new().start(&to, &start()).await });
    worker.answer.send(()).unwrap();
    tokio::task::yield_now().await;
    advance(DELAY).await;
    assert_eq!(call.await.unwrap(), OrderResult::Done(5));
}

/// Guards against a longer wait for a worker that does not answer a node that is on time.
#[tokio::test]
async fn a_node_that_is_on_time_gives_up_a_call_at_its_time_limit() {
    let (_clock, worker) = (StoppedClock::new(), Worker::new());
    let to = worker.addressee();
    let call = tokio::spawn(async move { WorkerClient::new().start(&to, &start()).await });
    while worker.read.try_recv().is_err() {
        tokio::task::yield_now().await;
    }
    let mut waited = Duration::ZERO;
    while !call.is_finished() {
        assert!(waited <= ORDER_TIMEOUT + TIMER_SLACK, "not given up after {waited:?}");
        advance(STEP).await;
        waited += STEP;
        // The timer, the call and the task that awaits it.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
    }
    assert_eq!(call.await.unwrap(), OrderResult::Unknown);
    assert!(ORDER_TIMEOUT <= waited, "given up after {waited:?}");
}
