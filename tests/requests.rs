//! Callers' requests through real nodes while endpoints, nodes and the store fail.

mod common;

use common::{Fleet, eventually, ran, send};
use serde_json::json;

#[tokio::test]
async fn a_request_gets_its_own_complete_answer() {
    let fleet = Fleet::start(2).await;
    for node in 0..2 {
        let id = format!("whole-{node}");
        let request = fleet.request(node, "GET", "echo/some/path?x=1");
        let answer = send(request.header("x-request-id", &id)).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
        assert_eq!(answer.request, id);
        assert!(answer.body.starts_with(&format!("begin {id} ")), "{answer:?}");
        assert!(answer.body.ends_with(&format!(" end {id}")), "{answer:?}");
        assert_eq!(ran(&fleet.runs().await, &id), 1);
    }
}

#[tokio::test]
async fn an_invalid_request_is_rejected_with_a_reason_and_does_not_run() {
    let fleet = Fleet::start(1).await;
    let url = format!("http://{}/echo/x", fleet.nodes[0].callers);
    let cases = [
        (fleet.client.get(&url), 400, "caperhollow-team: it must be given"),
        (fleet.request(0, "GET", "nothing/x"), 404, "there is no service nothing"),
        (fleet.request(0, "GET", ""), 404, "is not a service name"),
        (fleet.client.get(&url).header("caperhollow-team", "other"), 403, "no team other"),
        (
            fleet.request(0, "GET", "echo/x").header("caperhollow-class", "slow"),
            400,
            "urgent, normal or batch are allowed",
        ),
        (
            fleet.request(0, "GET", "echo/x").header("caperhollow-deadline-ms", "0"),
            400,
            "a whole number from 1 to 3600000 is allowed",
        ),
        (
            fleet.request(0, "POST", "echo/x").body(vec![b'x'; 70_000]),
            413,
            "larger than 65536 bytes",
        ),
        (fleet.request(0, "POST", "orders/x"), 400, "idempotency-key: it must be given"),
        (
            fleet.request(0, "GET", "echo/x").header("caperhollow-repeatable", "no"),
            400,
            "idempotency-key: it must be given",
        ),
    ];
    for (number, (request, status, text)) in cases.into_iter().enumerate() {
        let id = format!("wrong-{number}");
        let answer = send(request.header("x-request-id", &id)).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (status, "not-run"), "{answer:?}");
        assert!(answer.body.contains(text), "{answer:?}");
        assert_eq!(ran(&fleet.runs().await, &id), 0);
    }
}

/// A node closes a connection on which it has not read the whole body. Without a `connection:
/// close` header the caller sends its next request on that connection and gets no answer.
#[tokio::test]
async fn an_answer_to_an_unread_body_announces_the_close_of_the_connection() {
    let fleet = Fleet::start(1).await;
    let large = fleet.request(0, "POST", "echo/x").body(vec![b'x'; 70_000]);
    let answer = large.send().await.unwrap();
    assert_eq!(answer.status(), 413);
    assert_eq!(answer.headers().get("connection").unwrap(), "close");
    let answer = fleet.request(0, "GET", "nothing/x").send().await.unwrap();
    assert_eq!(answer.status(), 404);
    assert!(answer.headers().get("connection").is_none(), "no body was left unread");
}

#[tokio::test]
async fn a_truncated_answer_is_never_passed_on() {
    let fleet = Fleet::start(1).await;
    // Each endpoint truncates its next answer; a repeatable request may be retried at another one.
    fleet.all_worker_faults(json!({ "endpoint": { "die_mid_answer": 1 } })).await;
    let answer = send(fleet.request(0, "GET", "echo/x").header("x-request-id", "b-1")).await;
    assert!(matches!(answer.outcome.as_str(), "ran" | "unknown"), "{answer:?}");
    if answer.outcome == "ran" {
        assert!(answer.body.ends_with(" end b-1"), "{answer:?}");
    }
    // A request that may not run twice is not retried: its outcome is unknown.
    fleet.all_worker_faults(json!({ "endpoint": { "die_mid_answer": 1000 } })).await;
    let answer = send(fleet.request(0, "POST", "echo/x").header("x-request-id", "b-2")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{answer:?}");
    assert_eq!(ran(&fleet.runs().await, "b-2"), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_passed_on() {
    let fleet = Fleet::start(1).await;
    fleet.all_worker_faults(json!({ "endpoint": { "wrong_id": 1000 } })).await;
    let answer = send(fleet.request(0, "POST", "echo/x").header("x-request-id", "o-1")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{answer:?}");
    assert!(!answer.body.contains("begin"), "{answer:?}");
}

#[tokio::test]
async fn an_answer_after_the_deadline_is_dropped() {
    let fleet = Fleet::start(1).await;
    let late = fleet
        .request(0, "POST", "echo/x")
        .header("x-work-ms", "5000")
        .header("caperhollow-deadline-ms", "300")
        .header("x-request-id", "late-1");
    let answer = send(late).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"), "{answer:?}");
    // The late answer is dropped: later requests get their own answers.
    for number in 0..20 {
        let id = format!("after-{number}");
        let answer = send(fleet.request(0, "GET", "echo/x").header("x-request-id", &id)).await;
        assert!(answer.body.ends_with(&format!(" end {id}")), "{answer:?}");
    }
}

#[tokio::test]
async fn an_oversized_answer_is_refused_and_its_request_is_reported_as_run() {
    let fleet = Fleet::start(1).await;
    let large = fleet.request(0, "GET", "echo/x").header("x-answer-bytes", "1000000");
    let answer = send(large.header("x-request-id", "large-1")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (502, "ran"), "{answer:?}");
    assert!(answer.body.contains("over the limit of 262144"), "{answer:?}");
}

#[tokio::test]
async fn a_refusal_by_all_endpoints_is_answered_with_retry_after() {
    let fleet = Fleet::start(1).await;
    fleet.all_worker_faults(json!({ "endpoint": { "refuse": true } })).await;
    let answer = send(fleet.request(0, "POST", "echo/x").header("x-request-id", "r-1")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert_eq!(ran(&fleet.runs().await, "r-1"), 0);
    // Refusals do not exclude an endpoint for good.
    fleet.all_worker_faults(json!({})).await;
    let answer = send(fleet.request(0, "GET", "echo/x")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
}

#[tokio::test]
async fn an_idempotency_key_sent_to_two_nodes_at_once_runs_once() {
    let fleet = Fleet::start(2).await;
    for number in 0..10 {
        let key = format!("key-{number}");
        let submit = |node: usize| {
            let request = fleet.request(node, "POST", "orders/x");
            send(request.header("idempotency-key", &key))
        };
        let answers = tokio::join!(submit(0), submit(1), submit(0), submit(1));
        let answers = [answers.0, answers.1, answers.2, answers.3];
        let ran = answers.iter().filter(|answer| answer.status == 200).count();
        assert_eq!(ran, 1, "{answers:?}");
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(answer.status, 409, "{answer:?}");
            assert_ne!(answer.outcome, "not-run", "{answer:?}");
        }
        let runs = fleet.runs().await;
        assert_eq!(runs["by_key"][&key], 1);
    }
}

#[tokio::test]
async fn a_key_does_not_run_twice_when_the_answer_to_its_claim_is_lost() {
    let fleet = Fleet::start(2).await;
    fleet.platform_faults(json!({ "lose_answers": 3 })).await;
    let mut outcomes = Vec::new();
    for attempt in 0..6 {
        let request = fleet.request(attempt % 2, "POST", "orders/x");
        let answer = send(request.header("idempotency-key", "lost-1")).await;
        outcomes.push(answer.outcome);
    }
    let runs = fleet.runs().await;
    let run_count = runs["by_key"]["lost-1"].as_u64().unwrap_or(0);
    assert!(run_count <= 1, "{outcomes:?}, ran {run_count} times");
}

#[tokio::test]
async fn a_key_claimed_by_a_killed_node_does_not_run_again() {
    let mut fleet = Fleet::start(2).await;
    let slow = fleet
        .request(0, "POST", "orders/x")
        .header("idempotency-key", "killed-1")
        .header("x-work-ms", "60000");
    let response = tokio::spawn(slow.send());
    eventually("the request to run", || async {
        (fleet.runs().await["by_key"]["killed-1"] == 1).then_some(())
    })
    .await;
    fleet.nodes[0].process.kill();
    assert!(response.await.unwrap().is_err());
    let retry = fleet.request(1, "POST", "orders/x").header("idempotency-key", "killed-1");
    let answer = send(retry).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (409, "unknown"), "{answer:?}");
    assert_eq!(fleet.runs().await["by_key"]["killed-1"], 1);
}

#[tokio::test]
async fn repeatable_requests_continue_during_a_store_outage() {
    let fleet = Fleet::start(2).await;
    fleet.platform_faults(json!({ "outage": true })).await;
    let answer = send(fleet.request(0, "GET", "echo/x")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    let once = fleet.request(0, "POST", "orders/x").header("idempotency-key", "down-1");
    let answer = send(once).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (503, "not-run"), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    fleet.platform_faults(json!({})).await;
    eventually("the key to run after the outage", || async {
        let once = fleet.request(1, "POST", "orders/x").header("idempotency-key", "down-1");
        (send(once).await.status == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.runs().await["by_key"]["down-1"], 1);
}

#[tokio::test]
async fn repeatable_requests_survive_dead_hosts() {
    let fleet = Fleet::start(1).await;
    fleet.worker_faults(&["r000"], json!({ "dead": true })).await;
    for number in 0..40 {
        let id = format!("dead-{number}");
        let answer = send(fleet.request(0, "GET", "echo/x").header("x-request-id", &id)).await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    }
}
