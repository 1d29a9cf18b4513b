//! Tests of links between nodes over real sockets: an order that is told as unsent was read by
//! nobody, and one that another node may have read is in doubt.

use std::time::Duration;

use futures_util::StreamExt;
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
        worker::OrderEnd,
    },
    scheduler::dispatch::{
        link::{Links, Outgoing},
        wire::{self, Batch, Names},
    },
};

/// What an owner was told of its orders: of a start by its run, of a look by 0.
type Told = mpsc::UnboundedReceiver<(u32, &'static str)>;

/// Tries of what depends on which of two things comes first. What must hold does so either way.
const TRIES: u32 = 30;

fn to() -> Addressee {
    Addressee { worker: "w1".parse().unwrap(), address: "127.0.0.1:9".to_owned(), token: 7 }
}

fn start(run: u32) -> Effect {
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

fn look() -> Effect {
    Effect::Look { to: to(), acknowledged: 0, until_ms: None, wait: Duration::ZERO }
}

fn word<T>(end: &OrderEnd<T>) -> &'static str {
    match end {
        OrderEnd::Done(_) => "done",
        OrderEnd::Refused { .. } => "refused",
        OrderEnd::Unknown => "unknown",
        OrderEnd::Unsent => "unsent",
    }
}

/// The links of an owner's node to one other, and what the owner is told.
struct Owner {
    links: Links,
    helper: std::net::SocketAddr,
    tell: mpsc::UnboundedSender<(u32, &'static str)>,
    told: Told,
}

impl Owner {
    fn new(helper: std::net::SocketAddr) -> Owner {
        let (tell, told) = mpsc::unbounded_channel();
        Owner { links: Links::default(), helper, tell, told }
    }

    fn send(&mut self, effect: Effect) {
        let tell = self.tell.clone();
        let tell = move |event: Event, _| {
            let told = match event {
                Event::Started { run, end, .. } => (run, word(&end)),
                Event::Looked { end, .. } => (0, word(&end)),
                other => panic!("{other:?}"),
            };
            // The test may have ended.
            let _ = tell.send(told);
        };
        let (sent, may_go) = (Steady::from_millis(0), Box::new(|| true));
        let order = Outgoing { effect, sent, may_go, tell: Box::new(tell) };
        self.links.send(self.helper, vec![order]);
    }

    async fn hear(&mut self) -> (u32, &'static str) {
        self.told.recv().await.expect("the owner keeps its side")
    }
}

async fn helper() -> (TcpListener, Owner) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let owner = Owner::new(listener.local_addr().unwrap());
    (listener, owner)
}

async fn accept(listener: &TcpListener) -> WebSocketStream<TcpStream> {
    accept_async(listener.accept().await.unwrap().0).await.unwrap()
}

/// The runs whose starts come with the next message; none once the link has ended.
async fn read(link: &mut WebSocketStream<TcpStream>, names: &mut Names) -> Option<Vec<u32>> {
    let Some(Ok(Message::Binary(bytes))) = link.next().await else {
        return None;
    };
    let batch: Batch = ciborium::from_reader(&bytes[..]).unwrap();
    let runs = wire::orders(names, batch).into_iter().filter_map(|order| match order.effect {
        Effect::Start { start, .. } => Some(start.run),
        _ => None,
    });
    Some(runs.collect())
}

/// The other node has read the orders and ends without a word.
#[tokio::test]
async fn a_start_that_another_node_has_read_is_in_doubt_once_the_link_ends() {
    let (listener, mut owner) = helper().await;
    owner.send(start(1));
    owner.send(look());
    let mut link = accept(&listener).await;
    let mut names = Names::default();
    let mut read_runs = read(&mut link, &mut names).await.unwrap();
    if read_runs.is_empty() {
        read_runs = read(&mut link, &mut names).await.unwrap();
    }
    assert_eq!(read_runs, vec![1]);
    drop(link);
    let mut told = vec![owner.hear().await, owner.hear().await];
    told.sort();
    assert_eq!(told, vec![(0, "unsent"), (1, "unknown")], "of a look nothing was heard");
}

/// While a link rests, and after, no order that was told as unsent comes to the other node.
#[tokio::test]
async fn a_start_over_a_link_that_rests_is_read_by_nobody() {
    let (listener, mut owner) = helper().await;
    owner.send(start(1));
    drop(accept(&listener).await);
    assert_eq!(owner.hear().await, (1, "unknown"));
    owner.send(start(2));
    assert_eq!(owner.hear().await, (2, "unsent"));
    assert!(!owner.links.is_open(owner.helper));
    while !owner.links.is_open(owner.helper) {
        tokio::task::yield_now().await;
    }
    owner.send(start(3));
    let mut link = accept(&listener).await;
    assert_eq!(read(&mut link, &mut Names::default()).await, Some(vec![3]));
}

/// The other node is paused after the link was opened, is given up, and goes on.
#[tokio::test]
async fn a_start_that_a_paused_node_reads_later_is_in_doubt() {
    let (listener, mut owner) = helper().await;
    owner.send(start(1));
    let mut link = accept(&listener).await;
    let mut names = Names::default();
    assert_eq!(read(&mut link, &mut names).await, Some(vec![1]));
    owner.send(start(2));
    owner.send(start(3));
    let mut told = Vec::new();
    for _ in 0..3 {
        told.push(owner.hear().await);
    }
    told.sort();
    assert_eq!(told, vec![(1, "unknown"), (2, "unknown"), (3, "unknown")]);
    let mut runs = Vec::new();
    while runs.len() < 2 {
        runs.extend(read(&mut link, &mut names).await.expect("the link is still there"));
    }
    assert_eq!(runs, vec![2, 3], "they lay in the socket");
}

/// The other node ends the link, or its process, just as orders are written.
#[tokio::test]
async fn what_is_told_as_unsent_while_a_link_ends_was_read_by_nobody() {
    for tries in 0..TRIES {
        let (listener, mut owner) = helper().await;
        owner.send(start(1));
        let mut link = accept(&listener).await;
        let mut names = Names::default();
        let mut runs = read(&mut link, &mut names).await.unwrap();
        let ends = tokio::spawn(async move {
            for _ in 0..tries % 3 {
                tokio::task::yield_now().await;
            }
            if tries % 2 == 0 {
                link.get_ref().set_zero_linger().unwrap();
                drop(link);
                return Vec::new();
            }
            drop(listener);
            let more = read(&mut link, &mut names).await;
            more.unwrap_or_default()
        });
        owner.send(start(2));
        tokio::task::yield_now().await;
        owner.send(start(3));
        runs.extend(ends.await.unwrap());
        for _ in 0..3 {
            let (run, end) = owner.hear().await;
            let read = runs.contains(&run);
            assert!(end == "unknown" || end == "unsent" && !read, "{run}: {end}, read: {read}");
        }
    }
}

/// Nobody listens, or nobody answers the request for a link.
#[tokio::test]
async fn a_start_for_which_no_link_opens_is_unsent() {
    let (listener, mut owner) = helper().await;
    owner.send(start(1));
    assert_eq!(owner.hear().await, (1, "unsent"), "the request for a link got no answer");
    drop(listener);
    let (listener, mut owner) = helper().await;
    drop(listener);
    owner.send(start(2));
    assert_eq!(owner.hear().await, (2, "unsent"));
}
