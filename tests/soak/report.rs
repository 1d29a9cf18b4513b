//! The shortest timeline that shows a broken promise: the task at all workers, what its caller saw,
//! what was injected, and what nodes wrote of it.

use std::{fs, time::Duration};

use serde_json::Value;

use super::{
    check::{Broken, Entry, Story},
    rig::Rig,
};

/// What is shown of the time before the first event of the task, in milliseconds.
const BEFORE_MS: u64 = 4_000;

pub async fn timeline(rig: &Rig, broken: &Broken, log: &[Entry], story: Option<&Story>) -> String {
    let names = |entry: &&Entry| match broken.task.as_str() {
        "" => entry.task.starts_with(&broken.job),
        task => entry.task == task,
    };
    let mut lines: Vec<(u64, String)> = Vec::new();
    let mut workers = Vec::new();
    for entry in log.iter().filter(names) {
        let Entry { at, worker, kind, task, run, token } = entry;
        lines.push((*at, format!("worker {worker}: {task} run {run} token {token}: {kind:?}")));
        workers.push(worker.split('-').next().unwrap_or_default().replace('w', "Worker("));
    }
    lines.extend(
        story
            .iter()
            .flat_map(|story| story.told.clone())
            .map(|(at, line)| (at, format!("caller: {line}"))),
    );
    let first = lines.iter().map(|(at, _)| *at).min().unwrap_or(broken.at);
    let window = first.saturating_sub(BEFORE_MS)..=broken.at + 1_000;
    for (at, line) in &*rig.injected.lock().await {
        let is_near =
            !line.starts_with("Worker") || workers.iter().any(|worker| line.starts_with(worker));
        if is_near && window.contains(at) {
            lines.push((*at, format!("injected: {line}")));
        }
    }
    let pool = super::rig::pool(story.map_or(0, |story| story.pool));
    for node in &rig.nodes {
        let text = fs::read_to_string(&node.log).unwrap_or_default();
        for line in text.lines() {
            let Some((at, message)) = read(line) else {
                continue;
            };
            let owning = tells_owning(&message, &pool);
            if window.contains(&at) && (message.contains(&broken.job) || owning) {
                lines.push((at, format!("node {}: {message}", node.name)));
            }
        }
    }
    lines.sort();
    lines.retain(|(at, _)| window.contains(at));
    let lines =
        lines.into_iter().map(|(at, line)| format!("  {:>8} {line}\n", at as i64 - first as i64));
    format!("{} {} {}\n{}", broken.job, broken.task, broken.rule, lines.collect::<String>())
}

/// Whether a line tells of a change of owners of a pool, of a lease, or of a start of a node.
fn tells_owning(message: &str, pool: &str) -> bool {
    let lease = message.starts_with("store: lease") && !message.contains("not renewed");
    lease
        || message.starts_with(&format!("owner pool-{pool}: t"))
        || message.contains(": started in")
}

/// The time and the message of a line.
fn read(line: &str) -> Option<(u64, String)> {
    let line: Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(line["time"].as_str()?).ok()?;
    let at: Duration = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some((at.as_millis() as u64, line["message"].as_str()?.to_owned()))
}
