//! Logging, as text for people or as one JSON object per line for programs.

mod budget;
#[cfg(test)]
mod tests;

use std::{
    io::{IsTerminal, Write},
    str::FromStr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

use budget::{Budget, Decision, DropSummary, Kind};

use fern::colors::{Color, ColoredLevelConfig};
use serde::Serialize;

use crate::{error::Error, model::unit::Time};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    Human,
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("`{text}` is not a log format: human or json are allowed")),
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    target: &'a str,
    /// The identifiers in the message, by kind.
    #[serde(flatten)]
    ids: std::collections::BTreeMap<&'static str, &'a str>,
    message: &'a str,
}

/// Words before an identifier and a colon or comma in a message; the identifier becomes a field.
const ID_KINDS: [&str; 10] =
    ["plan", "host", "request", "peer", "node", "service", "job", "worker", "owner", "wave"];

/// Maximum number of lines that wait to be written. A line takes some 250 bytes.
const MAX_QUEUED_LINES: usize = 2_048;

/// Interval at which the writer checks for dropped lines to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Number of lines dropped because the queue was full or the budget of a second was spent.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped so far.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts logging to standard error, at the given level and above.
pub(crate) fn start(level: log::LevelFilter, format: LogFormat) -> Result<(), Error> {
    let colored = std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let colors = ColoredLevelConfig::new().info(Color::Green).debug(Color::Blue);
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("caperhollow", level)
        .format(move |out, message, record| {
            let time = Time::now();
            match format {
                LogFormat::Human if colored => {
                    out.finish(format_args!("{time} {:5} {message}", colors.color(record.level())))
                }
                LogFormat::Human => {
                    out.finish(format_args!("{time} {:5} {message}", record.level()));
                }
                LogFormat::Json => {
                    let message = message.to_string();
                    let line = Line {
                        time: time.to_string(),
                        level: record.level().as_str(),
                        target: record.target(),
                        ids: ids(&message),
                        message: &message,
                    };
                    let line = serde_json::to_string(&line).unwrap_or_default();
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr());
    dispatch.apply().map_err(|error| Error::system("start logging", error))
}

/// Starts logging to standard output, at the given level and above, as one JSON object per line.
/// Never blocks on a slow reader: excess lines are dropped and counted.
pub(crate) fn start_nonblocking(level: log::LevelFilter) -> Result<(), Error> {
    let (to, from) = sync_channel::<String>(MAX_QUEUED_LINES);
    let budget = Arc::new(Mutex::new(Budget::new(Instant::now())));
    let counted = budget.clone();
    let writer = std::thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_lines(&from, &counted))
        .map_err(|error| Error::system("start the log", error))?;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("caperhollow", level)
        .chain(fern::Output::call(move |record| send_line(&to, &budget, record)));
    dispatch.apply().map_err(|error| Error::system("start logging", error))
}

/// Sends a line to the writer thread without blocking. The budget is checked first, so that a
/// dropped line is neither formatted nor queued.
fn send_line(to: &SyncSender<String>, budget: &Mutex<Budget>, record: &log::Record<'_>) {
    let kind: Kind = (record.module_path_static(), record.line());
    let decision = lock(budget).admit(kind, record.level());
    match decision {
        Decision::Write => {
            let message = record.args().to_string();
            let line = line(record.level(), record.target(), &message);
            if to.try_send(line).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Decision::DropFirst => {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            let (level, target) = (record.level(), record.target().to_owned());
            let summary =
                DropSummary { level, target, lines: 1, example: record.args().to_string() };
            lock(budget).record_dropped(kind, summary);
        }
        Decision::Drop => _ = DROPPED_LINES.fetch_add(1, Ordering::Relaxed),
    }
}

fn line(level: log::Level, target: &str, message: &str) -> String {
    let line = Line {
        time: Time::now().to_string(),
        level: level.as_str(),
        target,
        ids: ids(message),
        message,
    };
    // A line consists of texts, which can always be encoded as JSON.
    serde_json::to_string(&line).unwrap_or_default()
}

/// Message on the dropped lines of one kind.
fn summary_message(summary: &DropSummary) -> String {
    format!(
        "log: {} more lines like this dropped in one second: {}",
        summary.lines, summary.example
    )
}

/// Writes queued lines, several at a time, and a summary of the dropped lines once a second.
fn write_lines(from: &Receiver<String>, budget: &Mutex<Budget>) {
    let mut output = std::io::stdout().lock();
    let (mut reported, mut reported_at) = (0, Instant::now());
    loop {
        let mut lines = String::new();
        match from.recv_timeout(REPORT_INTERVAL) {
            Ok(first) => {
                for line in std::iter::once(first).chain(from.try_iter()) {
                    lines.push_str(&line);
                    lines.push('\n');
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let summaries = lock(budget).roll_over(Instant::now());
        for summary in &summaries {
            lines.push_str(&line(summary.level, &summary.target, &summary_message(summary)));
            lines.push('\n');
        }
        let dropped = dropped_lines();
        if dropped != reported && Duration::from_secs(1) <= reported_at.elapsed() {
            (reported, reported_at) = (dropped, Instant::now());
            let message = format!("log: {dropped} lines dropped so far");
            lines.push_str(&line(log::Level::Warn, module_path!(), &message));
            lines.push('\n');
        }
        if lines.is_empty() {
            continue;
        }
        // The reader of the log may have closed it: the node continues without a log.
        if output.write_all(lines.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Extracts the identifiers at the start of a message, such as `plan p-1: host w1: leaves`.
fn ids(message: &str) -> std::collections::BTreeMap<&'static str, &str> {
    let mut ids = std::collections::BTreeMap::new();
    for part in message.split(": ") {
        let Some((kind, id)) = part.split_once(' ') else {
            break;
        };
        let Some(kind) = ID_KINDS.iter().find(|named| **named == kind) else {
            break;
        };
        if id.contains(' ') {
            break;
        }
        ids.insert(*kind, id);
    }
    ids
}
