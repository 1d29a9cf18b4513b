//! Crowds of clients that a node must survive: requests without an end, connections without a
//! request, answers that nobody reads. Whatever the crowd does, the process lives, it stays within
//! the memory and the descriptors that its settings name, and ordinary callers are answered.

#[path = "common/mod.rs"]
mod common;
#[path = "unruly/crowd.rs"]
mod crowd;
#[path = "unruly/scheduler.rs"]
mod scheduler;
#[path = "unruly/usage.rs"]
mod usage;

use common::Fleet;
use crowd::{Crowd, Script};
use scheduler::SchedulerNode;
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};
use usage::Usage;

/// Memory that the settings of each node give it, in megabytes.
const MEMORY_MB: u64 = 64;
/// Descriptors that the settings of each node give it.
const MAX_DESCRIPTORS: usize = 512;
/// Clients of a crowd that sends.
const CLIENTS: usize = 400;
/// Clients of a crowd that only takes places.
const SILENT_CLIENTS: usize = 1_000;
/// Length of a body of legal size.
const BODY_BYTES: usize = 250_000;
/// Bytes without an end that one client sends.
const ENDLESS_BYTES: usize = 380_000;

/// Only one crowd at a time: each needs the machine for itself.
async fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

/// Has a crowd visit one of a scheduler node's addresses, and checks what must hold.
async fn survives(name: &str, address: fn(&SchedulerNode) -> &str, clients: usize, script: Script) {
    let _turn = alone().await;
    let mut node = SchedulerNode::start(name, MEMORY_MB, MAX_DESCRIPTORS).await;
    let usage = Usage::watch(node.id(), node.ports());
    let crowd = Crowd::visit(address(&node), clients, script).await;
    node.answers_ordinary_callers().await;
    drop(crowd);
    node.answers_ordinary_callers().await;
    node.lives();
    usage.check(MEMORY_MB, MAX_DESCRIPTORS).await;
}

/// The same for a node that forwards requests to endpoints.
async fn forwarder_survives(address: fn(&Fleet) -> &str, clients: usize, script: Script) {
    let _turn = alone().await;
    let limits = json!({ "request_bytes": 262_144, "held_bytes": 16 << 20, "connections": 400 });
    let mut fleet = Fleet::start_with(1, limits).await;
    let node = &fleet.nodes[0];
    let ports = [&node.callers, &node.operators, &node.peers].map(|address| usage::port(address));
    let usage = Usage::watch(node.process.id(), ports.to_vec());
    let crowd = Crowd::visit(address(&fleet), clients, script).await;
    fleet.answers_ordinary_callers().await;
    drop(crowd);
    fleet.answers_ordinary_callers().await;
    assert_eq!(fleet.nodes[0].process.exit_success(), None, "the node has ended");
    usage.check(MEMORY_MB, MAX_DESCRIPTORS).await;
}

fn callers(node: &SchedulerNode) -> &str {
    &node.callers
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_do_not_fill_the_memory() {
    survives("heads", callers, CLIENTS, crowd::endless_head(ENDLESS_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_an_end_do_not_fill_the_memory() {
    survives("lines", callers, CLIENTS, crowd::empty_lines(ENDLESS_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end_do_not_fill_the_memory() {
    survives("bodies", callers, CLIENTS, crowd::body(BODY_BYTES, BODY_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_end_do_not_fill_the_memory() {
    survives("pieces", callers, CLIENTS, crowd::body(BODY_BYTES, 8_192)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_of_their_end_do_not_fill_the_memory() {
    survives("chunk", callers, CLIENTS, crowd::chunks(BODY_BYTES, BODY_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_without_a_last_one_do_not_fill_the_memory() {
    survives("chunks", callers, CLIENTS, crowd::chunks(BODY_BYTES, 8)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_of_many_steps_do_not_fill_the_memory() {
    survives("steps", callers, CLIENTS, crowd::many_steps(BODY_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_shut_callers_out() {
    survives("silent", callers, SILENT_CLIENTS, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_shut_the_readiness_probe_out() {
    survives("probe", |node| &node.readiness, SILENT_CLIENTS, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_shut_the_metrics_out() {
    survives("metrics", |node| &node.metrics, SILENT_CLIENTS, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_without_reading_answers_do_not_use_up_the_descriptors() {
    let requests = crowd::requests_ahead(scheduler::HOST, 400);
    survives("ahead", callers, CLIENTS, requests).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_at_the_address_of_other_nodes_do_not_fill_the_memory() {
    survives("peers", |node| &node.peers, CLIENTS, crowd::endless_head(ENDLESS_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn order_links_with_messages_without_an_end_do_not_fill_the_memory() {
    survives("links", |node| &node.peers, CLIENTS, crowd::endless_message("/-/orders")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_do_not_fill_the_memory_of_a_forwarding_node() {
    let bodies = crowd::service_body(BODY_BYTES);
    forwarder_survives(|fleet| &fleet.nodes[0].callers, CLIENTS, bodies).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_do_not_fill_the_memory_of_a_forwarding_node() {
    let heads = crowd::endless_head(ENDLESS_BYTES);
    forwarder_survives(|fleet| &fleet.nodes[0].callers, CLIENTS, heads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_shut_the_callers_of_a_forwarding_node_out() {
    forwarder_survives(|fleet| &fleet.nodes[0].callers, SILENT_CLIENTS, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_operators_do_not_fill_the_memory() {
    let bodies = crowd::operator_body(4_000_000);
    forwarder_survives(|fleet| &fleet.nodes[0].operators, CLIENTS, bodies).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn links_of_strangers_do_not_fill_the_memory_of_a_forwarding_node() {
    let message = crowd::endless_message("/");
    forwarder_survives(|fleet| &fleet.nodes[0].peers, CLIENTS, message).await;
}
