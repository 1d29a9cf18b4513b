//! A short timeline of a violation: the events of the task at all workers, the replies to its
//! caller, the injected faults, and the log lines of the nodes about it.

use std::{fs, time::Duration};

use serde_json::Value;

use super::{
    check::{Entry, JobHistory, Violation},
    rig::Rig,
};

/// How much of the time before the first event of the task is shown, in milliseconds.
const LEAD_TIME_MS: u64 = 4_000;

pub async fn timeline(
    rig: &Rig,
    violation: &Violation,
    log: &[Entry],
    history: Option<&JobHistory>,
) -> String {
    let is_relevant = |entry: &&Entry| match violation.task.as_str() {
        "" => entry.task.starts_with(&violation.job),
        task => entry.task == task,
    };
    let mut lines: Vec<(u64, String)> = Vec::new();
    let mut workers = Vec::new();
    for entry in log.iter().filter(is_relevant) {
        let Entry { at, worker, kind, task, run, token } = entry;
        lines.push((*at, format!("worker {worker}: {task} run {run} token {token}: {kind:?}")));
        workers.push(worker.split('-').next().unwrap_or_default().replace('w', "Worker("));
    }
    lines.extend(
        history
            .iter()
            .flat_map(|history| history.replies.clone())
            .map(|(at, line)| (at, format!("caller: {line}"))),
    );
    let first = lines.iter().map(|(at, _)| *at).min().unwrap_or(violation.at);
    let window = first.saturating_sub(LEAD_TIME_MS)..=violation.at + 1_000;
    for (at, line) in &*rig.injected.lock().await {
        let is_near =
            !line.starts_with("Worker") || workers.iter().any(|worker| line.starts_with(worker));
        if is_near && window.contains(at) {
            lines.push((*at, format!("injected: {line}")));
        }
    }
    let pool = super::rig::pool_name(history.map_or(0, |history| history.pool));
    for node in &rig.nodes {
        let text = fs::read_to_string(&node.log).unwrap_or_default();
        for line in text.lines() {
            let Some((at, message)) = parse_line(line) else {
                continue;
            };
            let is_ownership_change = is_about_ownership(&message, &pool);
            if window.contains(&at) && (message.contains(&violation.job) || is_ownership_change) {
                lines.push((at, format!("node {}: {message}", node.name)));
            }
        }
    }
    lines.sort();
    lines.retain(|(at, _)| window.contains(at));
    let lines =
        lines.into_iter().map(|(at, line)| format!("  {:>8} {line}\n", at as i64 - first as i64));
    format!(
        "{} {} {}\n{}",
        violation.job,
        violation.task,
        violation.rule,
        lines.collect::<String>()
    )
}

/// Whether a log message is about a change of a pool's owner, a lease, or the start of a node.
fn is_about_ownership(message: &str, pool: &str) -> bool {
    let lease = message.starts_with("store: lease") && !message.contains("not renewed");
    lease
        || message.starts_with(&format!("owner pool-{pool}: t"))
        || message.contains(": started in")
}

/// Parses the time and the message of a log line.
fn parse_line(line: &str) -> Option<(u64, String)> {
    let line: Value = serde_json::from_str(line).ok()?;
    let time = humantime::parse_rfc3339(line["time"].as_str()?).ok()?;
    let at: Duration = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some((at.as_millis() as u64, line["message"].as_str()?.to_owned()))
}
