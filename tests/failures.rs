//! Waves, configuration and membership of real nodes while nodes, hosts and the store fail.

mod common;

use common::{CONFIG, Fleet, eventually, send};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// The number of the last configuration change in force on each node, as one node reports it.
async fn config_versions(fleet: &Fleet, node: usize) -> Vec<(String, u64)> {
    let Some(rows) = fleet.status(node, "nodes").await else { return Vec::new() };
    let row =
        |row: &Value| (row["node"].as_str().unwrap().to_owned(), row["config"].as_u64().unwrap());
    rows["nodes"].as_array().unwrap().iter().map(row).collect()
}

async fn own_config_version(fleet: &Fleet, node: usize) -> u64 {
    let name = format!("entry-{node}");
    let all = config_versions(fleet, node).await;
    all.into_iter().find(|(id, _)| *id == name).map_or(0, |(_, number)| number)
}

fn config_with_rate(rate: u32) -> String {
    CONFIG.replace("100000", &rate.to_string())
}

#[tokio::test]
async fn no_host_moves_before_a_plan_is_confirmed() {
    let fleet = Fleet::start(2).await;
    let plan = fleet.propose(0, &["w0000", "w0001"]).await;
    let id = plan["id"].as_str().unwrap();
    let states = |rows: Value| -> Vec<Value> {
        rows["hosts"].as_array().unwrap().iter().map(|row| row["state"].clone()).collect()
    };
    // Several iterations of the control loop pass in this time.
    for _ in 0..3 {
        let rows = fleet.status(1, "hosts").await.unwrap();
        assert!(states(rows).iter().all(|state| state == "serving"));
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    }
    let wrong = json!({ "digest": "0", "by": "test" });
    let (status, answer) = fleet.post(1, &format!("plans/{id}/confirm"), &wrong).await;
    assert_eq!(status, 409, "{answer}");
    let right = json!({ "digest": plan["digest"], "by": "test" });
    let (status, answer) = fleet.post(1, &format!("plans/{id}/confirm"), &right).await;
    assert_eq!(status, 200, "{answer}");
    let view = fleet.wait_until_done(0, id).await;
    assert_eq!((view["done"].clone(), view["skipped"].clone()), (json!(2), json!(0)), "{view}");
    let (status, answer) = fleet.post(0, &format!("plans/{id}/confirm"), &right).await;
    assert_eq!(status, 409, "{answer}");
}

#[tokio::test]
async fn concurrent_confirm_and_cancel_have_a_winner() {
    let fleet = Fleet::start(2).await;
    let plan = fleet.propose(0, &["w0000"]).await;
    let id = plan["id"].as_str().unwrap().to_owned();
    eventually("the plan to be known to both nodes", || async {
        fleet.plan(1, &id).await.filter(|view| view["plan"]["id"] == plan["id"]).map(|_| ())
    })
    .await;
    let confirm = json!({ "digest": plan["digest"], "by": "ama" });
    let cancel = json!({ "digest": null, "by": "kofi" });
    let (confirm_path, cancel_path) = (format!("plans/{id}/confirm"), format!("plans/{id}/cancel"));
    let (one, two) =
        tokio::join!(fleet.post(0, &confirm_path, &confirm), fleet.post(1, &cancel_path, &cancel));
    // A cancellation may follow the confirmation, but not the other way round.
    assert!(one.0 == 200 || two.0 == 200, "{one:?} {two:?}");
    if one.0 != 200 {
        assert!(one.1["error"].as_str().unwrap().contains("kofi"), "{one:?}");
    }
    let intent = json!({
        "action": "drain",
        "selection": { "hosts": ["w0099"], "racks": ["r099"], "zones": [], "pools": [] },
        "deadline": null, "reason": "test", "by": "test"
    });
    let (status, answer) = fleet.post(0, "intents", &intent).await;
    assert_eq!(status, 404, "{answer}");
    assert!(answer["error"].as_str().unwrap().contains("host w0099, rack r099"), "{answer}");
}

#[tokio::test]
async fn an_outdated_plan_is_refused_with_a_fresh_one() {
    let fleet = Fleet::start(1).await;
    let stale = fleet.propose(0, &["w0000", "w0001"]).await;
    let other = fleet.drain(0, &["w0000"]).await;
    let right = json!({ "digest": stale["digest"], "by": "test" });
    let path = format!("plans/{}/confirm", stale["id"].as_str().unwrap());
    let (status, answer) = fleet.post(0, &path, &right).await;
    assert_eq!(status, 409, "{answer}");
    let message = answer["error"].as_str().unwrap();
    assert!(message.contains("has changed"), "{message}");
    let impossible = &answer["fresh"]["cost"]["impossible"]["w0000"];
    assert!(impossible.as_str().unwrap().contains(&other), "{answer}");
    fleet.wait_until_done(0, &other).await;
}

#[tokio::test]
async fn a_wave_continues_after_two_of_three_nodes_are_killed() {
    let mut fleet = Fleet::start(3).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002"]).await;
    eventually("the wave to begin", || async {
        let rows = fleet.status(0, "hosts").await?;
        let hosts = rows["hosts"].as_array()?.clone();
        hosts.iter().any(|row| row["state"] != "serving").then_some(())
    })
    .await;
    // Node 0 must finish the wave, whichever node owns the plan.
    fleet.nodes[2].process.kill();
    fleet.nodes[1].process.kill();
    let view = fleet.wait_until_done(0, &id).await;
    assert_eq!(view["done"], 3, "{view}");
    fleet.wait_until_node_ready(0).await;
}

#[tokio::test]
async fn a_drain_interrupts_no_running_request() {
    let fleet = Fleet::start(2).await;
    // More long requests than two nodes may have running at one endpoint.
    let mut running = Vec::new();
    for number in 0..16 {
        let request = fleet
            .request(number % 2, "GET", "echo/x")
            .header("x-work-ms", "6000")
            .header("x-request-id", format!("long-{number}"));
        running.push(tokio::spawn(async move { send(request).await }));
    }
    eventually("all long requests to run", || async {
        let runs = fleet.runs().await;
        (0..16).all(|n| common::ran(&runs, &format!("long-{n}")) == 1).then_some(())
    })
    .await;
    let hosts: Vec<String> = (0..4).map(|number| format!("w{number:04}")).collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let id = fleet.drain(0, &hosts).await;
    for request in running {
        let answer = request.await.unwrap();
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    }
    let view = fleet.wait_until_done(0, &id).await;
    assert_eq!(view["done"], 4, "{view}");
    assert_eq!(fleet.runs().await["cut"], 0);
}

#[tokio::test]
async fn a_node_answers_running_requests_before_it_exits() {
    let mut fleet = Fleet::start(2).await;
    let long = fleet.request(0, "GET", "echo/x").header("x-work-ms", "3000");
    let long = tokio::spawn(async move { send(long.header("x-request-id", "end-1")).await });
    eventually("the long request to run", || async {
        (common::ran(&fleet.runs().await, "end-1") == 1).then_some(())
    })
    .await;
    fleet.nodes[0].process.signal(Signal::SIGTERM);
    let answer = long.await.unwrap();
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    let mut success = None;
    while success.is_none() {
        success = fleet.nodes[0].process.exit_success();
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(success, Some(true));
    let rows = fleet.status(1, "nodes").await.unwrap();
    let departed = rows["nodes"].as_array().unwrap().iter().find(|row| row["node"] == "entry-0");
    assert!(departed.is_none_or(|row| row["registered"] == false), "{rows}");
}

#[tokio::test]
async fn a_config_change_reaches_all_nodes_after_watches_are_cut() {
    let fleet = Fleet::start(3).await;
    for rate in [50_001, 50_002, 50_003] {
        fleet.platform_once("cut-watches").await;
        fleet.apply(&config_with_rate(rate)).await;
        let number = own_config_version(&fleet, 0).await;
        eventually("the change to be in force everywhere", || async {
            let mut all = true;
            for node in 0..3 {
                all &= number <= own_config_version(&fleet, node).await;
            }
            all.then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn a_node_started_during_a_store_outage_serves_with_the_newest_configuration() {
    let mut fleet = Fleet::start(3).await;
    fleet.apply(&config_with_rate(60_001)).await;
    let number = own_config_version(&fleet, 0).await;
    fleet.nodes[2].process.kill();
    fleet.platform_faults(json!({ "outage": true })).await;
    fleet.restart(2);
    eventually("the configuration to come from peers", || async {
        (own_config_version(&fleet, 2).await == number).then_some(())
    })
    .await;
    eventually("the restarted node to serve", || async {
        let request = fleet.request(2, "GET", "echo/x").send().await.ok()?;
        (request.status() == 200).then_some(())
    })
    .await;
    // When the store is back, the node keeps its configuration and takes the next change.
    fleet.platform_faults(json!({})).await;
    fleet.apply(&config_with_rate(60_002)).await;
    eventually("the next change to arrive", || async {
        let now = own_config_version(&fleet, 2).await;
        assert!(number <= now, "change {number} in force was replaced by {now}");
        (number < now).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_node_paused_past_its_lease_registers_again() {
    let fleet = Fleet::start(3).await;
    fleet.nodes[1].process.signal(Signal::SIGSTOP);
    eventually("the registration to expire", || async {
        let rows = fleet.status(0, "nodes").await?;
        let row = rows["nodes"].as_array()?.iter().find(|row| row["node"] == "entry-1").cloned();
        row.is_none_or(|row| row["registered"] == false).then_some(())
    })
    .await;
    // A wave completes without the paused node.
    let id = fleet.drain(0, &["w0000"]).await;
    fleet.wait_until_done(0, &id).await;
    fleet.nodes[1].process.signal(Signal::SIGCONT);
    eventually("the node to be registered again", || async {
        let rows = fleet.status(0, "nodes").await?;
        let row = rows["nodes"].as_array()?.iter().find(|row| row["node"] == "entry-1").cloned()?;
        (row["registered"] == true).then_some(())
    })
    .await;
    let answer = send(fleet.request(1, "GET", "echo/x")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
}

#[tokio::test]
async fn a_stuck_host_does_not_block_a_wave() {
    let fleet = Fleet::start(1).await;
    fleet.worker_faults(&["w0001"], json!({ "stuck": true })).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002"]).await;
    let view = fleet.wait_until_done(0, &id).await;
    assert_eq!((view["done"].clone(), view["skipped"].clone()), (json!(2), json!(1)), "{view}");
    let message = view["hosts"]["w0001"].as_str().unwrap();
    assert!(message.contains("did not come back"), "{view}");
}

#[tokio::test]
async fn a_cancelled_plan_releases_all_hosts_and_permits() {
    let fleet = Fleet::start(2).await;
    // A request that runs for long keeps the first host from leaving.
    fleet.worker_faults(&["w0000"], json!({ "never_ready": false })).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002", "w0003"]).await;
    let cancel = json!({ "digest": null, "by": "test" });
    let (status, answer) = fleet.post(1, &format!("plans/{id}/cancel"), &cancel).await;
    assert_eq!(status, 200, "{answer}");
    eventually("every host to serve again", || async {
        let rows = fleet.status(0, "hosts").await?;
        let hosts = rows["hosts"].as_array()?.clone();
        let services = fleet.status(0, "services").await?;
        let permits = services["services"].as_array()?.iter().map(|r| r["permits"].clone());
        let free = permits.into_iter().all(|count| count == 0);
        (free && hosts.iter().all(|row| row["state"] == "serving")).then_some(())
    })
    .await;
}

/// Hosts with their states and epochs, as a node reports them.
async fn hosts(fleet: &Fleet, node: usize) -> Option<Vec<(String, String, u64)>> {
    let rows = fleet.status(node, "hosts").await?;
    let row = |row: &Value| {
        let text = |name: &str| row[name].as_str().unwrap().to_owned();
        (text("host"), text("state"), row["epoch"].as_u64().unwrap())
    };
    Some(rows["hosts"].as_array()?.iter().map(row).collect())
}

/// The number of moves of each service so far.
async fn moves(fleet: &Fleet) -> Vec<Value> {
    let rows = fleet.status(0, "services").await.unwrap();
    rows["services"].as_array().unwrap().iter().map(|row| row["moves"].clone()).collect()
}

/// Waits until the first node reports that its view is older than `seconds`.
async fn wait_until_view_is_older(fleet: &Fleet, seconds: u64) {
    eventually("the view to be reported as old", || async {
        let rows = fleet.status(0, "nodes").await?;
        let own = rows["nodes"].as_array()?.iter().find(|row| row["node"] == "entry-0")?.clone();
        (seconds < own["view_age"]["secs"].as_u64()?).then_some(())
    })
    .await;
}

/// Waits until some host is no longer serving.
async fn wait_until_wave_begins(fleet: &Fleet) {
    eventually("the wave to begin", || async {
        let hosts = hosts(fleet, 0).await?;
        hosts.iter().any(|(_, state, _)| state != "serving").then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_wave_pauses_during_a_store_outage_and_completes_after_it() {
    let fleet = Fleet::start(2).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002", "w0003"]).await;
    wait_until_wave_begins(&fleet).await;
    fleet.platform_faults(json!({ "outage": true })).await;
    // The node's view ages while the store does not answer.
    wait_until_view_is_older(&fleet, 2).await;
    let before = hosts(&fleet, 0).await.unwrap();
    wait_until_view_is_older(&fleet, 5).await;
    assert_eq!(hosts(&fleet, 0).await.unwrap(), before);
    let answer = send(fleet.request(0, "GET", "echo/x")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    fleet.platform_faults(json!({})).await;
    let view = fleet.wait_until_done(1, &id).await;
    assert_eq!(view["done"], 4, "{view}");
}

#[tokio::test]
async fn without_the_list_of_hosts_requests_continue_and_waves_wait() {
    let fleet = Fleet::start(1).await;
    let before = moves(&fleet).await;
    fleet.platform_faults(json!({ "list_outage": true })).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002", "w0003"]).await;
    eventually("the wave to wait for the list", || async {
        let view = fleet.plan(0, &id).await?;
        let waits = view["hosts"].as_object()?.values().any(|text| {
            text.as_str().is_some_and(|text| text.contains("list of hosts cannot be read"))
        });
        waits.then_some(())
    })
    .await;
    // An unreadable list does not mean that hosts are dead: nothing is repaired, requests continue.
    assert_eq!(moves(&fleet).await, before);
    let answer = send(fleet.request(0, "GET", "echo/x")).await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"), "{answer:?}");
    fleet.platform_faults(json!({})).await;
    let view = fleet.wait_until_done(0, &id).await;
    assert_eq!(view["done"], 4, "{view}");
}

#[tokio::test]
async fn a_wave_continues_after_all_nodes_restart_at_once() {
    let mut fleet = Fleet::start(3).await;
    let id = fleet.drain(0, &["w0000", "w0001", "w0002"]).await;
    wait_until_wave_begins(&fleet).await;
    for node in 0..3 {
        fleet.nodes[node].process.kill();
    }
    for node in 0..3 {
        fleet.restart(node);
    }
    let view = fleet.wait_until_done(2, &id).await;
    assert_eq!(view["done"], 3, "{view}");
    fleet.wait_until_ready().await;
    for node in 0..3 {
        eventually("the node to serve", || async {
            let answer = fleet.request(node, "GET", "echo/x").send().await.ok()?;
            (answer.status() == 200).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn nodes_register_again_after_their_leases_expire_and_the_wave_completes() {
    let fleet = Fleet::start(2).await;
    let id = fleet.drain(0, &["w0000", "w0001"]).await;
    wait_until_wave_begins(&fleet).await;
    fleet.platform_once("lapse-leases").await;
    let view = fleet.wait_until_done(0, &id).await;
    assert_eq!(view["done"], 2, "{view}");
    eventually("both nodes to be registered", || async {
        let rows = fleet.status(0, "nodes").await?;
        let rows = rows["nodes"].as_array()?.clone();
        let registered = rows.iter().filter(|row| row["registered"] == true).count();
        (registered == 2).then_some(())
    })
    .await;
}

#[tokio::test]
async fn no_config_change_is_lost_to_a_compaction_of_the_store() {
    let fleet = Fleet::start(2).await;
    let before = own_config_version(&fleet, 1).await;
    fleet.nodes[1].process.signal(Signal::SIGSTOP);
    for rate in [70_001, 70_002] {
        fleet.apply(&config_with_rate(rate)).await;
    }
    fleet.platform_once("compact").await;
    fleet.platform_once("cut-watches").await;
    fleet.nodes[1].process.signal(Signal::SIGCONT);
    eventually("the paused node to have every change", || async {
        let now = own_config_version(&fleet, 1).await;
        assert!(before <= now, "change {before} in force was replaced by {now}");
        (before + 2 <= now).then_some(())
    })
    .await;
}
