//! Logging: lines for people, or one JSON object a line for programs.

use std::{
    io::{IsTerminal, Write},
    str::FromStr,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Duration, Instant},
};

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

/// Lines a second that are written; of a burst beyond it, the rest is counted.
const LINES_PER_SECOND: u64 = 400;

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
    let writer = std::thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || write_lines(&from))
        .map_err(|error| Error::system("start the log", error))?;
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("caperhollow", level)
        .chain(fern::Output::call(move |record| send_line(&to, record)));
    dispatch.apply().map_err(|error| Error::system("start logging", error))
}

fn send_line(to: &SyncSender<String>, record: &log::Record<'_>) {
    let message = record.args().to_string();
    let line = Line {
        time: Time::now().to_string(),
        level: record.level().as_str(),
        target: record.target(),
        ids: ids(&message),
        message: &message,
    };
    // A line holds texts only, which JSON can always hold.
    let line = serde_json::to_string(&line).unwrap_or_default();
    if to.try_send(line).is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes what waits, several lines at a time.
fn write_lines(from: &Receiver<String>) {
    let mut output = std::io::stdout().lock();
    let (mut second, mut written, mut told) = (Instant::now(), 0, 0);
    while let Ok(first) = from.recv() {
        let mut lines = String::new();
        for line in std::iter::once(first).chain(from.try_iter()) {
            if Duration::from_secs(1) <= second.elapsed() {
                (second, written) = (Instant::now(), 0);
            }
            written += 1;
            if LINES_PER_SECOND < written {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            lines.push_str(&line);
            lines.push('\n');
        }
        let out = left_out();
        if out != told {
            told = out;
            lines.push_str(&format!(
                "{{\"level\":\"WARN\",\"message\":\"log: {out} lines left out\"}}\n"
            ));
        }
        // Whoever reads the log may be gone: the node goes on without.
        if output.write_all(lines.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
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
