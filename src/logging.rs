//! Logging: lines for people, or one JSON object a line for programs.

use std::{io::IsTerminal, str::FromStr};

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
const NAMED: [&str; 6] = ["plan", "host", "request", "peer", "node", "service"];

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
