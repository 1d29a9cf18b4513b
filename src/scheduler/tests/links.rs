//! Tests of the links over which other nodes make an owner's calls.

use std::{sync::Arc, time::Duration};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    http,
    jobs::{
        event::{Effect, Event},
        owner::LEASE_MS,
    },
    model::{
        job::{JobId, StepId, TaskId},
        order::Addressee,
        unit::Steady,
        worker::OrderEnd,
    },
    platform::runner::Runners,
    scheduler::{
        dispatch::{
            link::{Links, Outgoing},
            serve,
        },
        lease::{Lease, Tenure},
    },
};

/// Largest body that the worker reads.
const MAX_BODY: usize = 4_096;

/// A worker that obeys, and tells the tokens that it hears.
struct Worker(mpsc::UnboundedSender<u64>);

impl Endpoint for Worker {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let order: Value = http::read_json(&mut request, MAX_BODY).await.unwrap();
        self.0.send(order["fencing_token"].as_u64().unwrap()).unwrap();
        Ok(http::json(StatusCode::OK, &json!({ "clock_ms": 1 })))
    }
}

/// A node that carries out orders of others.
struct Peer(Runners);

impl Endpoint for Peer {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        Ok(serve::upgrade(&request, self.0.clone()))
    }
}

/// Orders that wait for a link to open were sent whatever had become of their ownership meanwhile:
/// only calls that a node makes itself asked before they were sent.
#[tokio::test]
async fn an_order_that_waits_for_its_link_is_not_sent_once_its_ownership_is_over() {
    let (tokens, mut heard) = mpsc::unbounded_channel();
    let (listener, worker) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 16, Worker(tokens), http::Stop::default()));
    let (listener, peer) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 16, Peer(Runners::new()), http::Stop::default()));
    let (ends, mut ended) = mpsc::unbounded_channel();
    let (mut links, now) = (Links::default(), Steady::default());
    let mut send = |token: u64, lease: &Arc<Lease>| {
        lease.renewed(1, now, Duration::from_millis(LEASE_MS), now);
        let tenure = Tenure::new(lease, 1, now);
        let to = Addressee { worker: "w1".parse().unwrap(), address: worker.to_string(), token };
        let of = StepId { job: JobId::from_number(token), time: 0, step: 0 };
        let effect = Effect::Stop { to, task: TaskId { of, index: 0 }, run: 1 };
        let ends = ends.clone();
        let order = Outgoing {
            effect,
            sent: now,
            may_go: Box::new(move || tenure.allows_orders(now)),
            tell: Box::new(move |event, _| ends.send((token, event)).unwrap()),
        };
        links.send(peer, vec![order]);
    };
    let (over, lasting) = (Arc::new(Lease::default()), Arc::new(Lease::default()));
    send(1, &over);
    send(2, &lasting);
    // The link is opened by a task of its own, which has not begun.
    over.ended();
    let end = |event| match event {
        Event::Stopped { end, .. } => end,
        other => panic!("{other:?}"),
    };
    let (first, first_end) = ended.recv().await.unwrap();
    assert_eq!((first, end(first_end)), (1, OrderEnd::Unsent));
    let (second, second_end) = ended.recv().await.unwrap();
    assert_eq!((second, end(second_end)), (2, OrderEnd::Done(1)));
    assert_eq!(heard.try_recv(), Ok(2), "the worker hears only the order that may go");
    assert!(heard.try_recv().is_err());
}
