//! Clients leave early and cancel their jobs while answers of the platform's store are lost.

#[path = "../common2.rs"]
mod common2;

use std::{
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use common2::*;

/// How long the store loses answers: `platform_lost`, `for_s` = 4.5 at the most.
const LOST_MS: u64 = 4_300;
/// Every third write is done late and not answered: `x` = 0.35 at the most.
const LATE_EVERY: u32 = 3;
/// How late: 1 to 6 s.
const LATE_MS: u64 = 2_000;
/// When a client leaves: half the objective of 600 ms (`give_up`).
const PATIENCE: Duration = Duration::from_millis(300);
/// One client in three leaves (`give_up`, `share` = 0.35 at the most), whether or not it has its
/// answer, and cancels its job.
const LEAVES_EVERY: u64 = 3;
/// What the others hand in.
const SHORT_JOB: &str =
    r#"{"spec":"500","steps":[{"count":2,"cpu":500,"mem_mb":100,"estimated_ms":500}]}"#;
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;

/// Six steps, one after the other, of 2 s each.
const JOB: &str = r#"{"spec":"2000","steps":[{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000},{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000,"since_revision":[0]},{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000,"since_revision":[1]},{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000,"since_revision":[2]},{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000,"since_revision":[3]},{"count":1,"cpu":500,"mem_mb":100,"estimated_ms":2000,"since_revision":[4]}]}"#;

struct Cancelled {
    id: String,
    /// When the cancel was acknowledged, and how.
    at: u64,
    status: u16,
    submitted: String,
}

fn main() {
    let rig = Arc::new(Rig::start(&["--workers", "9", "--zones", "3", "--rack-size", "4"]));
    rig.configure(3);
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c"];
    let start = |(n, zone): (usize, &&str)| rig.node(&format!("front-{n}"), zone, &rig.site, &rig.site);
    let nodes: Vec<Node> = zones.iter().enumerate().map(start).collect();
    rig.wait_ready(&nodes);
    let callers: Vec<String> = nodes.iter().map(|node| node.callers.clone()).collect();

    let first = "00000000000000aa";
    let path = format!("{QUEUE}{first}");
    let second = Duration::from_secs(3);
    let answer = call(&callers[0], "POST", &path, r#"{"spec":"200","steps":[{"count":3,"cpu":500}]}"#, second);
    rig.note(&format!("client: POST {path} -> {}", answer.text()));
    rig.wait_for("a first job succeeds", 20, || {
        call(&callers[1], "GET", &path, "", second).body().contains("succeeded")
    });
    rig.note(&format!("client: GET {path} -> succeeded"));

    if trouble() {
        let faults = format!(r#"{{"store_late_ms":{LATE_MS},"store_late_every":{LATE_EVERY}}}"#);
        let answer = rig.to_site("/faults", &faults);
        rig.note(&format!("store: 1 write in {LATE_EVERY} is done after {LATE_MS} ms and not answered -> {}", answer.status()));
    }
    let began = Instant::now();
    // Ends on time, whatever the clients still wait for.
    let end_of_loss = {
        let rig = rig.clone();
        thread::spawn(move || {
            sleep(Duration::from_millis(LOST_MS).saturating_sub(began.elapsed()));
            if trouble() {
                let answer = rig.to_site("/faults", "{}");
                rig.note(&format!("store: all writes are answered again -> {}", answer.status()));
            }
            unix_ms()
        })
    };
    let cancelled = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut number = 0u64;
    while began.elapsed() < Duration::from_millis(LOST_MS - 700) {
        number += 1;
        let id = format!("{:016x}", 0xb000 + number);
        let (one, two) = (number as usize % 6, (number as usize + 2) % 6);
        let (rig, cancelled) = (rig.clone(), cancelled.clone());
        let (one, two) = (callers[one].clone(), callers[two].clone());
        let leaves = number % LEAVES_EVERY == 0;
        clients.push(thread::spawn(move || {
            let path = format!("{QUEUE}{id}");
            if !leaves {
                let submitted = call(&one, "POST", &path, SHORT_JOB, Duration::from_secs(3)).text();
                rig.note(&format!("client that stays: POST {path} -> {submitted}"));
                return;
            }
            let submitted = call(&one, "POST", &path, JOB, PATIENCE).text();
            rig.note(&format!("client that leaves: POST {path} -> {submitted}"));
            for _ in 0..8 {
                let answer = call(&two, "DELETE", &path, "", Duration::from_secs(3));
                rig.note(&format!("client that leaves: DELETE {path} -> {}", answer.text()));
                let status = answer.status();
                if (200..300).contains(&status) || status == 410 {
                    let entry = Cancelled { id, at: unix_ms(), status, submitted };
                    cancelled.lock().unwrap().push(entry);
                    return;
                }
                sleep(Duration::from_millis(200));
            }
        }));
        sleep(Duration::from_millis(60));
    }
    for client in clients {
        let _ = client.join();
    }
    let Ok(over) = end_of_loss.join() else { give_up("the end of the loss is not known") };
    // From then on the core has been stable for `contact_ms`, the late writes included.
    let settled = over + if trouble() { LATE_MS } else { 0 } + CONTACT_MS;
    while unix_ms() < settled + 4_000 {
        sleep(Duration::from_millis(100));
    }

    let events = rig.events();
    let cancelled = cancelled.lock().unwrap();
    let mut broken = 0;
    for Cancelled { id, at, status, submitted } in cancelled.iter() {
        let path = format!("{QUEUE}{id}");
        let state = call(&callers[0], "GET", &path, "", Duration::from_secs(3));
        let started = events.iter().filter(|event| event.kind == "started" && event.task.starts_with(id));
        let after: Vec<u64> = started.clone().filter(|event| at + CANCEL_MS < event.at).map(|event| event.at - at).collect();
        let late = started.filter(|event| at + CANCEL_MS < event.at && settled <= event.at).count();
        if !after.is_empty() {
            rig.note(&format!(
                "job {id}: POST -> {submitted}; DELETE -> {status}; tasks started {after:?} ms after that answer, \
                 {late} of them with the core stable for contact_ms; state now: {}",
                state.text()
            ));
        }
        broken += usize::from(late != 0);
    }
    let gone = cancelled.iter().filter(|one| one.status == 410).count();
    rig.note(&format!(
        "{} jobs cancelled, {gone} of them answered with 410; {broken} jobs whose tasks started later than \
         cancel_ms after the acknowledgement of the cancelling, by machines in touch",
        cancelled.len()
    ));
    if cancelled.len() < 10 {
        give_up("fewer than 10 cancels were acknowledged");
    }
    let result = if broken == 0 { HELD } else { BROKEN };
    rig.note(&format!("UNASKED: {}", if broken == 0 { "held" } else { "broken" }));
    finish(result);
}
