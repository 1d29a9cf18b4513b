//! Logging: lines for people, or one JSON object a line for programs.

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

use budget::{Budget, Fate, Kind, Sum};

use fern::colors::{Color, ColoredLevelConfig};
use serde::Serialize;

use crate::{error::Error, model::unit::Time};

/// How log lines are written.
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
    /// The identifiers that the message names, by kind.
    #[serde(flatten)]
    ids: std::collections::BTreeMap<&'static str, &'a str>,
    message: &'a str,
}

/// Kinds of things that messages name in front of an identifier and a colon or comma.
const NAMED: [&str; 10] =
    ["plan", "host", "request", "peer", "node", "service", "job", "worker", "owner", "wave"];

/// Lines that may wait to be written. A line takes some 250 bytes.
const WAITING_LINES: usize = 2_048;

/// How often it is looked whether something is to be told of what was left out.
const TELL: Duration = Duration::from_millis(250);

/// Lines that were left out because too many waited, or came in one second.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// How many lines were left out so far.
pub(crate) fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Writes log lines of a level and above to standard error.
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

/// Writes log lines of a level and above to standard output, one JSON object a line, without ever
/// waiting for whoever reads it. What is too much is left out and counted.
pub(crate) fn start_bounded(level: log::LevelFilter) -> Result<(), Error> {
    let (to, from) = sync_channel::<String>(WAITING_LINES);
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

/// Hands a line to the writer. Whether it is written is decided first: one that is left out costs
/// neither its text nor a place in the queue. Nothing here waits for the writer.
fn send_line(to: &SyncSender<String>, budget: &Mutex<Budget>, record: &log::Record<'_>) {
    let kind: Kind = (record.module_path_static(), record.line());
    let fate = lock(budget).take(kind, record.level());
    match fate {
        Fate::Written => {
            let message = record.args().to_string();
            let line = line(record.level(), record.target(), &message);
            if to.try_send(line).is_err() {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            }
        }
        Fate::Example => {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            let (level, target) = (record.level(), record.target().to_owned());
            let sum = Sum { level, target, lines: 1, example: record.args().to_string() };
            lock(budget).leave_out(kind, sum);
        }
        Fate::Counted => _ = LEFT_OUT.fetch_add(1, Ordering::Relaxed),
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
    // A line holds texts only, which JSON can always hold.
    serde_json::to_string(&line).unwrap_or_default()
}

/// What is told of the lines of one kind that were left out.
fn told(sum: &Sum) -> String {
    format!("log: {} more like this in a second: {}", sum.lines, sum.example)
}

/// Writes what waits, several lines at a time, and once a second what was left out.
fn write_lines(from: &Receiver<String>, budget: &Mutex<Budget>) {
    let mut output = std::io::stdout().lock();
    let (mut told_out, mut told_at) = (0, Instant::now());
    loop {
        let mut lines = String::new();
        match from.recv_timeout(TELL) {
            Ok(first) => {
                for line in std::iter::once(first).chain(from.try_iter()) {
                    lines.push_str(&line);
                    lines.push('\n');
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let sums = lock(budget).turn(Instant::now());
        for sum in &sums {
            lines.push_str(&line(sum.level, &sum.target, &told(sum)));
            lines.push('\n');
        }
        let out = left_out();
        if out != told_out && Duration::from_secs(1) <= told_at.elapsed() {
            (told_out, told_at) = (out, Instant::now());
            let message = format!("log: {out} lines left out so far");
            lines.push_str(&line(log::Level::Warn, module_path!(), &message));
            lines.push('\n');
        }
        if lines.is_empty() {
            continue;
        }
        // Whoever reads the log may be gone: the node goes on without.
        if output.write_all(lines.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The identifiers at the head of a message, such as `plan p-1: host w1: leaves`.
fn ids(message: &str) -> std::collections::BTreeMap<&'static str, &str> {
    let mut ids = std::collections::BTreeMap::new();
    for part in message.split(": ") {
        let Some((kind, id)) = part.split_once(' ') else {
            break;
        };
        let Some(kind) = NAMED.iter().find(|named| **named == kind) else {
            break;
        };
        if id.contains(' ') {
            break;
        }
        ids.insert(*kind, id);
    }
    ids
}
