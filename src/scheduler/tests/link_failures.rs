//! Tests of links between nodes over real sockets: an order that is reported as unsent was read by
//! no node, and one that another node may have read is reported as unknown.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

use crate::{
    jobs::event::{Effect, Event},
    model::{
        order::{Addressee, Start},
        unit::Steady,
        worker::OrderResult,
    },
    scheduler::dispatch::{
        link::{Links, Outgoing},
        wire::{self, Answer, Answers, Batch, WorkerTable},
    },
};

/// Results of orders as the owner gets them: of a start with its run, of a poll with 0.
type Results = mpsc::UnboundedReceiver<(u32, &'static str)>;

/// How often a race between two events is repeated. The test must pass in whichever order they
/// happen.
const TRIES: u32 = 30;

/// How many links have answers that wait while their owners are paused: each of them checks for
/// overdue orders or reads its answer first, by chance.
const PAUSED_LINKS: u32 = 24;

/// Longer than a start may take by way of a delegate.
const PAUSE: Duration = Duration::from_millis(700);

fn to() -> Addressee {
    Addressee { worker: "w1".parse().unwrap(), address: "127.0.0.1:9".to_owned(), token: 7 }
}

pub(super) fn start(run: u32) -> Effect {
    let start = Start {
        task: "00e0f5a2b4c6d801.0.0.0".parse().unwrap(),
        run,
        payload: "payload".into(),
        until_ms: 9_000,
        checkpoint: String::new(),
        ticket: String::new(),
    };
    Effect::Start { to: to(), start }
}

fn poll() -> Effect {
    Effect::Poll { to: to(), acknowledged: 0, until_ms: None, wait: Duration::ZERO }
}

fn name_of<T>(result: &OrderResult<T>) -> &'static str {
    match result {
        OrderResult::Done(_) => "done",
        OrderResult::Refused { .. } => "refused",
        OrderResult::Unknown => "unknown",
        OrderResult::Unsent => "unsent",
    }
}

/// The links of an owner's node to its delegate, and the results that the owner gets.
pub(super) struct Owner {
    pub(super) links: Links,
    pub(super) delegate: std::net::SocketAddr,
    report: mpsc::UnboundedSender<(u32, &'static str)>,
    results: Results,
}

impl Owner {
    fn new(delegate: std::net::SocketAddr) -> Owner {
        let (report, results) = mpsc::unbounded_channel();
        Owner { links: Links::default(), delegate, report, results }
    }

    pub(super) fn send(&mut self, effect: Effect) {
        let report = self.report.clone();
        let on_result = move |event: Event, _| {
            let result = match event {
                Event::Started { run, end, .. } => (run, name_of(&end)),
                Event::Polled { end, .. } => (0, name_of(&end)),
                other => panic!("{other:?}"),
            };
            // The test may have ended.
            let _ = report.send(result);
        };
        let (sent, may_send) = (Steady::from_millis(0), Box::new(|| true));
        let order = Outgoing { effect, sent, may_send, on_result: Box::new(on_result) };
        self.links.send(self.delegate, vec![order]);
    }

    pub(super) async fn next_result(&mut self) -> (u32, &'static str) {
        self.results.recv().await.expect("the channel is open")
    }
}

pub(super) async fn delegate() -> (TcpListener, Owner) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let owner = Owner::new(listener.local_addr().unwrap());
    (listener, owner)
}

pub(super) async fn accept(listener: &TcpListener) -> WebSocketStream<TcpStream> {
    accept_async(listener.accept().await.unwrap().0).await.unwrap()
}

/// The runs whose starts are in the next message; `None` once the link has ended.
async fn read(link: &mut WebSocketStream<TcpStream>, table: &mut WorkerTable) -> Option<Vec<u32>> {
    let Some(Ok(Message::Binary(bytes))) = link.next().await else {
        return None;
    };
    let batch: Batch = ciborium::from_reader(&bytes[..]).unwrap();
    let runs = wire::orders(table, batch).into_iter().filter_map(|order| match order.effect {
        Effect::Start { start, .. } => Some(start.run),
        _ => None,
    });
    Some(runs.collect())
}

/// The delegate reads the orders and closes the link without an answer.
#[tokio::test]
async fn a_start_that_the_delegate_has_read_is_unknown_once_the_link_ends() {
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    owner.send(poll());
    let mut link = accept(&listener).await;
    let mut table = WorkerTable::default();
    let mut read_runs = read(&mut link, &mut table).await.unwrap();
    if read_runs.is_empty() {
        read_runs = read(&mut link, &mut table).await.unwrap();
    }
    assert_eq!(read_runs, vec![1]);
    drop(link);
    let mut results = vec![owner.next_result().await, owner.next_result().await];
    results.sort();
    assert_eq!(
        results,
        vec![(0, "unsent"), (1, "unknown")],
        "a poll without an answer counts as unsent"
    );
}

/// No order that was reported as unsent reaches the delegate, neither while its link is backing off
/// nor afterwards.
#[tokio::test]
async fn a_start_over_a_link_that_is_backing_off_is_never_read() {
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    drop(accept(&listener).await);
    assert_eq!(owner.next_result().await, (1, "unknown"));
    owner.send(start(2));
    assert_eq!(owner.next_result().await, (2, "unsent"));
    assert!(!owner.links.is_open(owner.delegate));
    while !owner.links.is_open(owner.delegate) {
        tokio::task::yield_now().await;
    }
    owner.send(start(3));
    let mut link = accept(&listener).await;
    assert_eq!(read(&mut link, &mut WorkerTable::default()).await, Some(vec![3]));
}

/// The delegate is paused after the link was opened. Its owner gives up waiting for it, and then it
/// resumes.
#[tokio::test]
async fn a_start_that_a_paused_delegate_reads_later_is_unknown() {
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    let mut link = accept(&listener).await;
    let mut table = WorkerTable::default();
    assert_eq!(read(&mut link, &mut table).await, Some(vec![1]));
    owner.send(start(2));
    owner.send(start(3));
    let mut results = Vec::new();
    for _ in 0..3 {
        results.push(owner.next_result().await);
    }
    results.sort();
    assert_eq!(results, vec![(1, "unknown"), (2, "unknown"), (3, "unknown")]);
    let mut runs = Vec::new();
    while runs.len() < 2 {
        runs.extend(read(&mut link, &mut table).await.expect("the link is open"));
    }
    assert_eq!(runs, vec![2, 3], "they were in the socket's buffer");
}

/// The delegate closes the link, or its process ends, while orders are written.
#[tokio::test]
async fn an_order_reported_unsent_while_a_link_ends_was_never_read() {
    for attempt in 0..TRIES {
        let (listener, mut owner) = delegate().await;
        owner.send(start(1));
        let mut link = accept(&listener).await;
        let mut table = WorkerTable::default();
        let mut runs = read(&mut link, &mut table).await.unwrap();
        let closing = tokio::spawn(async move {
            for _ in 0..attempt % 3 {
                tokio::task::yield_now().await;
            }
            if attempt % 2 == 0 {
                link.get_ref().set_zero_linger().unwrap();
                drop(link);
                return Vec::new();
            }
            drop(listener);
            let more = read(&mut link, &mut table).await;
            more.unwrap_or_default()
        });
        owner.send(start(2));
        tokio::task::yield_now().await;
        owner.send(start(3));
        runs.extend(closing.await.unwrap());
        for _ in 0..3 {
            let (run, result) = owner.next_result().await;
            let read = runs.contains(&run);
            assert!(
                result == "unknown" || result == "unsent" && !read,
                "{run}: {result}, read: {read}"
            );
        }
    }
}

/// No process listens, or none answers the request for a link.
#[tokio::test]
async fn a_start_for_which_no_link_opens_is_unsent() {
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    assert_eq!(owner.next_result().await, (1, "unsent"), "the request for a link got no answer");
    drop(listener);
    let (listener, mut owner) = delegate().await;
    drop(listener);
    owner.send(start(2));
    assert_eq!(owner.next_result().await, (2, "unsent"));
}

/// Guards against answers that arrived in time and count as missing, since the owner's process was
/// paused for longer than an order may take and checks for overdue orders first.
#[tokio::test]
async fn an_answer_that_arrived_while_the_owner_was_paused_counts() {
    let mut owners = Vec::new();
    for _ in 0..PAUSED_LINKS {
        let (listener, mut owner) = delegate().await;
        owner.send(start(1));
        let mut link = accept(&listener).await;
        let Some(Ok(Message::Binary(bytes))) = link.next().await else {
            panic!("no order");
        };
        let batch: Batch = ciborium::from_reader(&bytes[..]).unwrap();
        let number = wire::orders(&mut WorkerTable::default(), batch)[0].number;
        owners.push((owner, link, number));
    }
    for (_, link, number) in &mut owners {
        let mut answers = Answers::default();
        wire::add_answer(&mut answers, *number, Answer::Order(OrderResult::Done(1)));
        let mut bytes = Vec::new();
        ciborium::into_writer(&answers, &mut bytes).unwrap();
        link.send(Message::binary(bytes)).await.unwrap();
    }
    // The owners run on this thread.
    std::thread::sleep(PAUSE);
    for (owner, ..) in &mut owners {
        assert_eq!(owner.next_result().await, (1, "done"));
    }
}
