//! Tests of the readiness endpoint.

use std::{sync::Arc, time::Duration};

use poem::{Endpoint, Request, http::StatusCode};
use serde_json::json;

use crate::{
    jobs::owner::LEASE_MS,
    model::queue::QueueConfig,
    platform::{kv::Kv, records::OPERATOR_PREFIX},
    scheduler::{
        Node, accept, api::Readiness, keys, lease::Lease, metrics::Metrics, node, tombstone,
    },
    settings::scheduler::parse,
};

const TTL: Duration = Duration::from_millis(LEASE_MS);

/// An address at which nothing listens.
const UNUSED: &str = "127.0.0.1:1";

async fn is_ready(node: &Arc<Node>, lease: &Arc<Lease>) -> bool {
    let probe = Readiness { node: node.clone(), lease: lease.clone() };
    probe.call(Request::default()).await.unwrap().status() == StatusCode::OK
}

/// Callers were refused although their queues existed, and got old states. A node's open
/// connections had fallen silent, while its calls for the lease were sent over new connections and
/// answered: it was ready however long its watches had received nothing.
#[tokio::test]
async fn a_node_whose_watches_hang_is_not_ready() {
    let settings = json!({
        "node": "one", "zone": "hall-a",
        "listen": { "callers": UNUSED, "readiness": UNUSED, "metrics": UNUSED },
        "platform": { "store": UNUSED, "hosts": UNUSED },
    });
    let settings = parse("settings", &settings.to_string()).unwrap();
    let kv = Kv::new(UNUSED, TTL, |_, _, _| {});
    let node =
        node(settings, kv, Arc::new(Metrics::new()), accept::queue().0, tombstone::queue().0);
    let lease = Arc::new(Lease::default());
    let renew = || {
        let now = node.now().steady;
        lease.note_renewed(1, now, TTL, now);
    };
    let now = node.now().steady;
    node.view().note_answer(OPERATOR_PREFIX, now);
    node.view().note_answer(keys::ALL, now);
    node.view().config = Some(Arc::new(QueueConfig::default()));
    renew();
    assert!(is_ready(&node, &lease).await);
    node.clock.simulate_pause(3_600);
    renew();
    assert!(
        !is_ready(&node, &lease).await,
        "the watch of the operator's records was last answered 3.6 s ago"
    );
    let now = node.now().steady;
    node.view().note_answer(OPERATOR_PREFIX, now);
    assert!(is_ready(&node, &lease).await);
}
