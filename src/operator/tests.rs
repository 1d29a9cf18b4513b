//! Tests of the operators' API at nodes without running loops: their views are not updated in the
//! background.

use std::sync::Arc;

use poem::{
    Body, Request,
    http::{Method, StatusCode},
};
use serde_json::json;

use super::api;
use crate::{
    decide::{plan, rules::Rules},
    measure::shape::{self, BEGIN},
    model::{
        id::PlanId,
        plan::{Action, Intent, Plan, PlanState},
        record::{Key, Record},
        unit::Revision,
    },
    node::{
        Node, run,
        write::{self, WriteResult},
    },
    preset, settings,
    standin::platform::{self, Platform},
};

fn node(name: &str, platform: &Platform) -> Arc<Node> {
    let url = &platform.url;
    let unused = "127.0.0.1:1";
    let text = format!(
        r#"{{
            "node": "{name}", "zone": "hall-a",
            "listen": {{ "callers": "{unused}", "operators": "{unused}", "peers": "{unused}" }},
            "platform": {{ "store": "{url}", "hosts": "{url}" }},
            "timing": {{ "store_ms": 30000 }},
        }}"#
    );
    run::create(settings::node::parse("test", &text).unwrap())
}

/// A proposed plan to drain one host.
fn proposed() -> Plan {
    let rules = Rules::default();
    let fleet = shape::build(&preset::tyrehub(), &rules);
    let hosts = fleet.hosts.keys().take(1).cloned().collect();
    let (reason, by) = ("test".to_owned(), "test".to_owned());
    let intent = Intent { action: Action::Drain, hosts, deadline: None, reason, by };
    plan::propose(&fleet, "p-1".parse().unwrap(), "op".parse().unwrap(), intent, BEGIN, &rules)
}

/// Writes a plan in the given state through a node.
async fn write(node: &Node, plan: &Plan, state: PlanState, expect: Revision) -> Revision {
    let op = format!("op-{state:?}").to_lowercase().parse().unwrap();
    let plan = Plan { state, op, ..plan.clone() };
    let record = Record::Plan(plan.id.clone(), Box::new(plan));
    match write::write(node, record, expect).await.unwrap() {
        WriteResult::Done(revision) => revision,
        WriteResult::Conflict => panic!("unexpected conflict: there is no other writer"),
    }
}

async fn cancel(node: &Arc<Node>, id: &PlanId) -> StatusCode {
    let body = Body::from(json!({ "digest": null, "by": "test" }).to_string());
    let uri = format!("/v1/plans/{id}/cancel").parse().unwrap();
    let request = Request::builder().method(Method::POST).uri(uri);
    api::answer(node.clone(), request.body(body)).await.status()
}

async fn state(node: &Node, id: &PlanId) -> Option<PlanState> {
    write::refresh(node, &Key::Plan(id.clone())).await.unwrap();
    node.view().fleet.plans.get(id).map(|plan| plan.state)
}

#[tokio::test]
async fn cancel_succeeds_at_a_node_that_missed_the_confirmation() {
    let platform = platform::start(platform::Options::default()).await.unwrap();
    let (first, second) = (node("entry-0", &platform), node("entry-1", &platform));
    let plan = proposed();
    let at = write(&first, &plan, PlanState::Proposed, Revision(0)).await;
    assert_eq!(state(&second, &plan.id).await, Some(PlanState::Proposed));
    write(&first, &plan, PlanState::Running, at).await;
    assert_eq!(cancel(&second, &plan.id).await, StatusCode::OK);
    assert_eq!(state(&first, &plan.id).await, Some(PlanState::Cancelled));
}

#[tokio::test]
async fn cancel_succeeds_at_a_node_that_does_not_know_the_plan() {
    let platform = platform::start(platform::Options::default()).await.unwrap();
    let (first, second) = (node("entry-0", &platform), node("entry-1", &platform));
    let plan = proposed();
    write(&first, &plan, PlanState::Proposed, Revision(0)).await;
    assert_eq!(cancel(&second, &plan.id).await, StatusCode::OK);
    assert_eq!(state(&first, &plan.id).await, Some(PlanState::Cancelled));
}

#[tokio::test]
async fn guarded_write_conflicts_after_a_dependency_has_changed() {
    let platform = platform::start(platform::Options::default()).await.unwrap();
    let node = node("entry-0", &platform);
    let (first, second) = (proposed(), Plan { id: "p-2".parse().unwrap(), ..proposed() });
    let at = write(&node, &first, PlanState::Proposed, Revision(0)).await;
    let key = Key::Plan(first.id.clone());
    write(&node, &first, PlanState::Running, at).await;
    let current = node.view().fleet.revision(&key);
    for (expected, is_written) in [(at, false), (current, true)] {
        let record = Record::Plan(second.id.clone(), Box::new(second.clone()));
        let dependencies = [(key.clone(), expected)];
        let result = write::write_guarded(&node, record, Revision(0), &dependencies).await.unwrap();
        assert_eq!(matches!(result, WriteResult::Done(_)), is_written);
    }
}

#[tokio::test]
async fn cancel_conflicts_at_a_node_that_missed_the_end_of_the_plan() {
    let platform = platform::start(platform::Options::default()).await.unwrap();
    let (first, second) = (node("entry-0", &platform), node("entry-1", &platform));
    let plan = proposed();
    let at = write(&first, &plan, PlanState::Running, Revision(0)).await;
    assert_eq!(state(&second, &plan.id).await, Some(PlanState::Running));
    write(&first, &plan, PlanState::Done, at).await;
    assert_eq!(cancel(&second, &plan.id).await, StatusCode::CONFLICT);
    assert_eq!(state(&first, &plan.id).await, Some(PlanState::Done));
}
