//! Tests of the links over which delegates make an owner's calls.

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
        worker::OrderResult,
    },
    platform::worker_client::WorkerClient,
    scheduler::{
        dispatch::{
            link::{Links, Outgoing},
            serve,
        },
        lease::{Lease, Tenure},
    },
};

/// Largest request body that the worker reads, in bytes.
const MAX_BODY: usize = 4_096;

/// A worker that accepts every order, and reports the fencing tokens that it receives.
struct Worker(mpsc::UnboundedSender<u64>);

impl Endpoint for Worker {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let order: Value = http::read_json(&mut request, MAX_BODY).await.unwrap();
        self.0.send(order["fencing_token"].as_u64().unwrap()).unwrap();
        Ok(http::json(StatusCode::OK, &json!({ "clock_ms": 1 })))
    }
}

/// A node that carries out other nodes' orders.
struct Peer(WorkerClient);

impl Endpoint for Peer {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        Ok(serve::upgrade(&request, self.0.clone()))
    }
}

/// Orders that waited for a link to open were sent even if their ownership had ended meanwhile: the
/// ownership was checked before sending only for calls that a node makes itself.
#[tokio::test]
async fn an_order_that_waits_for_its_link_is_not_sent_once_its_ownership_has_ended() {
    let (tokens, mut received) = mpsc::unbounded_channel();
    let (listener, worker) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 16, Worker(tokens), http::Stop::default()));
    let (listener, peer) = http::listen("127.0.0.1:0").await.unwrap();
    tokio::spawn(http::serve(listener, 16, Peer(WorkerClient::new()), http::Stop::default()));
    let (results, mut reported) = mpsc::unbounded_channel();
    let (mut links, now) = (Links::default(), Steady::default());
    let mut send = |token: u64, lease: &Arc<Lease>| {
        lease.note_renewed(1, now, Duration::from_millis(LEASE_MS), now);
        let tenure = Tenure::new(lease, 1, now);
        let to = Addressee { worker: "w1".parse().unwrap(), address: worker.to_string(), token };
        let of = StepId { job: JobId::from_number(token), occurrence: 0, step: 0 };
        let effect = Effect::Stop { to, task: TaskId { of, index: 0 }, run: 1 };
        let results = results.clone();
        let order = Outgoing {
            effect,
            sent: now,
            may_send: Box::new(move || tenure.allows_orders(now)),
            on_result: Box::new(move |event, _| results.send((token, event)).unwrap()),
        };
        links.send(peer, vec![order]);
    };
    let (ended_lease, current_lease) = (Arc::new(Lease::default()), Arc::new(Lease::default()));
    send(1, &ended_lease);
    send(2, &current_lease);
    // The link is opened by a separate task, which has not run yet.
    ended_lease.note_ended();
    let result = |event| match event {
        Event::Stopped { end, .. } => end,
        other => panic!("{other:?}"),
    };
    let (first, first_result) = reported.recv().await.unwrap();
    assert_eq!((first, result(first_result)), (1, OrderResult::Unsent));
    let (second, second_result) = reported.recv().await.unwrap();
    assert_eq!((second, result(second_result)), (2, OrderResult::Done(1)));
    assert_eq!(
        received.try_recv(),
        Ok(2),
        "the worker receives only the order under the current lease"
    );
    assert!(received.try_recv().is_err());
}
