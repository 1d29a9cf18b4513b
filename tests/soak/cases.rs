//! Schedules that longer runs were narrowed down to.

use std::{collections::BTreeMap, time::Duration};

use reqwest::StatusCode;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{
    check::{Kind, Story, check},
    plan::{Harm, Injection, Signal, Size, What},
    report,
    rig::{HOST, Rig},
};

/// How long anything may take before a case gives up.
const PATIENCE: Duration = Duration::from_secs(60);

/// A task that still runs when an owner that was cut off gives no order any more, in milliseconds.
const LONG_MS: u64 = 8_000;

async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < end, "{what}: not seen in time");
        sleep(Duration::from_millis(30)).await;
    }
}

/// Users saw a task that crashes each worker that starts it started on and on, under one owner after
/// another. Here its owner is killed while the second worker is down.
#[tokio::test]
async fn a_task_that_crashes_its_workers_is_given_up_though_its_owner_is_killed() {
    let size = Size {
        nodes: 2,
        workers: 6,
        pools: 1,
        millis: 0,
        often: None,
        crashes: true,
        keep_ids: false,
    };
    let rig = Rig::start("crashes", 1, size).await;
    let job = "00000000000000c1";
    let step = json!({ "count": 1, "cpu": 1_000, "estimated_ms": 300 });
    hand_in(&rig, job, &json!({ "spec": "crash 300", "steps": [step] })).await;
    let crashes = async |count: usize| {
        until("a crash", async || {
            let log = rig.log(0).await;
            let crashed = log.iter().filter(|entry| entry.kind == Kind::Crashed);
            (count <= crashed.count()).then_some(())
        })
        .await;
    };
    crashes(2).await;
    let owner = until("the owner", async || rig.owner(0).await).await;
    let kill = What::Node(owner, Signal::Kill);
    rig.play(vec![Injection { at: 0, lasts: 0, what: kill }]).await;
    until_state(&rig, 1 - owner, job, "failed").await;
    let log = rig.log(0).await;
    let story = Story { steps: vec![1], accepted: Some(0), crashes: true, ..Story::default() };
    let broken = check(&log, &BTreeMap::from([(job.to_owned(), story)]), false);
    assert!(broken.is_empty(), "{broken:?}");
}

async fn hand_in(rig: &Rig, id: &str, job: &Value) {
    until("a job that is taken", async || {
        let url = format!("http://{}/q0/{id}", rig.nodes[0].callers);
        let request = rig.client.post(url).header("Host", HOST).json(job);
        (request.send().await.ok()?.status() == StatusCode::OK).then_some(())
    })
    .await;
}

async fn until_state(rig: &Rig, node: usize, id: &str, wanted: &str) {
    until(wanted, async || {
        let url = format!("http://{}/q0/{id}", rig.nodes[node].callers);
        let answer = rig.client.get(url).header("Host", HOST).send().await.ok()?;
        let state: Value = answer.json().await.ok()?;
        (state["state"] == wanted).then_some(())
    })
    .await;
}

/// Users saw a task run on two workers at one time, in runs with cuts and pauses that overlapped.
/// Order of events, from a run of the soak (seed 1, narrowed down): an owner no longer reaches the
/// store, nor the worker that runs its task. Its lease ends; a later owner finds the task at that
/// worker, takes it over and goes on renewing it. The owner before still gives orders, as it may for
/// a while after its lease. When what it had itself given to the silent worker is over, it takes the
/// run for lapsed, and starts the task anew at a worker that the later owner does not reach.
/// Cause: that a silent worker's runs have lapsed by what this owner gave is concluded also after the
/// end of its lease, when another may have given more. Evidence: the log lines `lapsed unseen` and
/// `started` of the owner before, after `taken over` of the later one; tokens 53 and 1376.
#[tokio::test]
async fn an_owner_without_a_lease_takes_no_run_for_lapsed() {
    let size = Size {
        nodes: 2,
        workers: 2,
        pools: 1,
        millis: 0,
        often: None,
        crashes: false,
        keep_ids: false,
    };
    let rig = Rig::start("lapsed", 1, size).await;
    // One task fills a worker: both have heard of the owner.
    let (first, second) = ("00000000000000a1", "00000000000000a2");
    let step = json!({ "count": 2, "cpu": 8_000, "estimated_ms": 300 });
    hand_in(&rig, first, &json!({ "spec": "300", "steps": [step] })).await;
    until_state(&rig, 1, first, "succeeded").await;
    let step = json!({ "count": 1, "cpu": 1_000, "estimated_ms": LONG_MS });
    hand_in(&rig, second, &json!({ "spec": LONG_MS.to_string(), "steps": [step] })).await;
    until_state(&rig, 1, second, "running").await;
    let log = rig.log(0).await;
    let started = log.iter().find(|entry| entry.task.starts_with(second)).unwrap();
    assert_eq!(started.kind, Kind::Started);
    let worker = usize::from(started.worker == "w1");
    let owner = until("the owner", async || rig.owner(0).await).await;
    rig.trouble(worker, &json!({ "cut": "older" })).await;
    rig.trouble(1 - worker, &json!({ "cut": "newer" })).await;
    rig.harm(owner, Harm::CutBoth).await;
    // The owner before gives no orders any more by then.
    until_state(&rig, 1 - owner, second, "succeeded").await;
    let log = rig.log(0).await;
    let story = |steps| Story { steps, accepted: Some(0), ..Story::default() };
    let stories =
        BTreeMap::from([(first.to_owned(), story(vec![2])), (second.to_owned(), story(vec![1]))]);
    let broken = check(&log, &stories, false);
    if let Some(first) = broken.first() {
        let timeline = report::timeline(&rig, first, &log, None).await;
        panic!("{timeline}");
    }
}
