//! Tests of links to delegates that are late, and of an owner's node that is late itself. A delegate
//! that shows signs of life keeps its orders; one that is silent is noticed as soon as ever.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    task::yield_now,
    time::{Instant, advance},
};
use tokio_tungstenite::{WebSocketStream, tungstenite::Message};

use super::link_failures::{accept, delegate, start};
use crate::{
    model::worker::OrderResult,
    scheduler::dispatch::wire::{self, Answer, Answers, Batch, WorkerTable},
    tests::stopped_clock::StoppedClock,
};

type Socket = WebSocketStream<TcpStream>;

/// Step of the clock.
const STEP: Duration = Duration::from_millis(50);

/// How long after its last sign of life a delegate is given up: the limit of a start by way of a
/// delegate, and two checks.
const SILENCE_BOUND: Duration = Duration::from_millis(600 + 2 * 100);

/// Longer than a link may take to open.
const OPENING_DELAY: Duration = Duration::from_millis(700);

/// Moves the clock, and lets all tasks handle what is due.
async fn pass(time: Duration) {
    advance(time).await;
    for _ in 0..100 {
        yield_now().await;
    }
}

/// The number of the next order.
async fn next_number(link: &mut Socket, table: &mut WorkerTable) -> u32 {
    loop {
        if let Message::Binary(bytes) = link.next().await.unwrap().unwrap() {
            let batch: Batch = ciborium::from_reader(&bytes[..]).unwrap();
            return wire::orders(table, batch)[0].number;
        }
    }
}

async fn answer(link: &mut Socket, number: u32) {
    let mut answers = Answers::default();
    wire::add_answer(&mut answers, number, Answer::Order(OrderResult::Done(1)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&answers, &mut bytes).unwrap();
    link.send(Message::binary(bytes)).await.unwrap();
}

/// Guards against starts of a delegate that is late: they were given up, made again, and nothing
/// was sent to its workers by way of it for a second.
#[tokio::test]
async fn a_late_order_of_a_delegate_that_answers_others_is_not_given_up() {
    let _clock = StoppedClock::new();
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    let (mut link, mut table) = (accept(&listener).await, WorkerTable::default());
    let late = next_number(&mut link, &mut table).await;
    for run in 2..12 {
        pass(2 * STEP).await;
        owner.send(start(run));
        let number = next_number(&mut link, &mut table).await;
        answer(&mut link, number).await;
        assert_eq!(owner.next_result().await, (run, "done"));
    }
    assert!(owner.links.is_open(owner.delegate));
    answer(&mut link, late).await;
    assert_eq!(owner.next_result().await, (1, "done"));
}

/// Guards against the same for a delegate that has answered nothing yet, since it got all orders at
/// once.
#[tokio::test]
async fn a_late_delegate_that_reads_its_orders_is_not_given_up() {
    let _clock = StoppedClock::new();
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    let (mut link, mut table) = (accept(&listener).await, WorkerTable::default());
    let late = next_number(&mut link, &mut table).await;
    let (mut sink, mut stream) = link.split();
    tokio::spawn(async move { while let Some(Ok(_)) = stream.next().await {} });
    for _ in 0..20 {
        pass(STEP).await;
    }
    assert!(owner.links.is_open(owner.delegate));
    let mut answers = Answers::default();
    wire::add_answer(&mut answers, late, Answer::Order(OrderResult::Done(1)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&answers, &mut bytes).unwrap();
    sink.send(Message::binary(bytes)).await.unwrap();
    assert_eq!(owner.next_result().await, (1, "done"));
}

/// Guards against a later notice of the loss of a delegate.
#[tokio::test]
async fn a_delegate_that_falls_silent_is_given_up_within_the_limit_of_an_order() {
    let _clock = StoppedClock::new();
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    let (mut link, mut table) = (accept(&listener).await, WorkerTable::default());
    next_number(&mut link, &mut table).await;
    pass(6 * STEP).await;
    owner.send(start(2));
    let number = next_number(&mut link, &mut table).await;
    answer(&mut link, number).await;
    assert_eq!(owner.next_result().await, (2, "done"));
    let last_sign = Instant::now();
    while owner.links.is_open(owner.delegate) {
        assert!(last_sign.elapsed() <= SILENCE_BOUND, "not noticed for {SILENCE_BOUND:?}");
        pass(STEP).await;
    }
    assert_eq!(owner.next_result().await, (1, "unknown"));
}

/// Guards against an order that a delegate has lost and that stays pending for ever.
#[tokio::test]
async fn an_order_that_a_live_delegate_never_answers_is_given_up() {
    let _clock = StoppedClock::new();
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    let (mut link, mut table) = (accept(&listener).await, WorkerTable::default());
    next_number(&mut link, &mut table).await;
    tokio::spawn(async move { while let Some(Ok(_)) = link.next().await {} });
    let sent = Instant::now();
    while owner.links.is_open(owner.delegate) {
        assert!(sent.elapsed() <= Duration::from_millis(2_400), "{:?}", sent.elapsed());
        pass(STEP).await;
    }
    assert_eq!(owner.next_result().await, (1, "unknown"));
}

/// Guards against links that never open while the owner's node is late: it handles each step of the
/// opening only after some hundred milliseconds.
#[tokio::test]
async fn a_link_opens_though_the_owner_is_late() {
    let _clock = StoppedClock::new();
    let (listener, mut owner) = delegate().await;
    owner.send(start(1));
    yield_now().await;
    advance(OPENING_DELAY).await;
    let (mut link, mut table) = (accept(&listener).await, WorkerTable::default());
    let number = next_number(&mut link, &mut table).await;
    answer(&mut link, number).await;
    assert_eq!(owner.next_result().await, (1, "done"));
}
