//! Parses the command line's matches into options and runs the command.

use std::{fmt, path::PathBuf, str::FromStr, time::Duration};

use clap::ArgMatches;

use crate::{
    cli::{self, required_value},
    demo,
    error::Error,
    logging::{self, LogFormat},
    measure,
    model::plan::Action,
    node::run::{self, Sockets},
    operator::{
        commands::{self, Command, Verb},
        message::{IntentRequest, Selection},
        show::Format,
    },
    preset, scheduler, settings,
    standin::{endpoint, platform, site, worker},
};

/// The parsed command line.
pub(crate) struct Options {
    level: log::LevelFilter,
    format: LogFormat,
    mode: Mode,
}

/// The command to run.
enum Mode {
    Serve { settings: PathBuf },
    Schedule { settings: PathBuf },
    Check { file: PathBuf, fleet: bool },
    Demo(demo::Options),
    Operate(Box<Command>),
    Measure(measure::Options),
    Platform(platform::Options),
    Worker(Box<worker::Options>),
    Site(site::Options),
    Endpoint(endpoint::Options),
    Completions(clap_complete::Shell),
}

fn usage<T: FromStr<Err: fmt::Display>>(name: &str, text: &str) -> Result<T, Error> {
    text.parse().map_err(|error| Error::Usage(format!("--{name}: {error}")))
}

fn text(matches: &ArgMatches, name: &str) -> String {
    required_value::<String>(matches, name).clone()
}

/// Parses the command line's matches.
pub(crate) fn read(matches: &ArgMatches) -> Result<Options, Error> {
    let level = usage("log-level", required_value::<String>(matches, "log-level"))?;
    let format = usage("log-format", required_value::<String>(matches, "log-format"))?;
    let Some((verb, inner)) = matches.subcommand() else {
        return Err(Error::Usage("a command is missing".to_owned()));
    };
    let mode = match verb {
        "serve" => Mode::Serve { settings: required_value::<PathBuf>(inner, "settings").clone() },
        "schedule" => {
            Mode::Schedule { settings: required_value::<PathBuf>(inner, "settings").clone() }
        }
        "check" => Mode::Check {
            file: required_value::<PathBuf>(inner, "file").clone(),
            fleet: inner.get_flag("fleet"),
        },
        "demo" => Mode::Demo(demo_options(inner)?),
        "measure" => Mode::Measure(measure_options(inner)?),
        "standin" => standin(inner)?,
        "completions" => Mode::Completions(*required_value::<clap_complete::Shell>(inner, "shell")),
        _ => Mode::Operate(Box::new(operate(verb, inner)?)),
    };
    Ok(Options { level, format, mode })
}

fn demo_options(matches: &ArgMatches) -> Result<demo::Options, Error> {
    Ok(demo::Options {
        preset: preset_of(matches)?,
        seed: *required_value::<u64>(matches, "seed"),
        export: matches.get_one::<PathBuf>("export-json").cloned(),
    })
}

fn preset_of(matches: &ArgMatches) -> Result<preset::Preset, Error> {
    let name = text(matches, "preset");
    preset::by_name(&name)
        .ok_or_else(|| Error::Usage(format!("--preset: there is no preset `{name}`")))
}

fn measure_options(matches: &ArgMatches) -> Result<measure::Options, Error> {
    let Some((verb, inner)) = matches.subcommand() else {
        return Err(Error::Usage("the name of an experiment is missing".to_owned()));
    };
    let export = measure::Export {
        json: inner.get_one::<PathBuf>("export-json").cloned(),
        markdown: inner.get_one::<PathBuf>("export-markdown").cloned(),
    };
    let many = |name: &str| -> Vec<String> {
        inner.get_many::<String>(name).into_iter().flatten().cloned().collect()
    };
    let experiment = match verb {
        "waves" => measure::Experiment::Waves {
            preset: text(inner, "preset"),
            policies: many("policy"),
            seeds: inner.get_many::<u64>("seed").into_iter().flatten().copied().collect(),
        },
        "path" => measure::Experiment::Path {
            callers: *required_value::<u32>(inner, "callers"),
            requests: *required_value::<u32>(inner, "requests"),
        },
        "mirror" => measure::Experiment::Mirror,
        "owner" => measure::Experiment::Owner,
        "fleet" => measure::Experiment::Fleet,
        "route" => measure::Experiment::Route,
        _ => measure::Experiment::Node,
    };
    Ok(measure::Options { experiment, export })
}

fn standin(matches: &ArgMatches) -> Result<Mode, Error> {
    let Some((kind, inner)) = matches.subcommand() else {
        return Err(Error::Usage("the name of a stand-in is missing".to_owned()));
    };
    let listen = text(inner, "listen");
    Ok(match kind {
        "platform" => Mode::Platform(platform::Options {
            listen,
            writes: *required_value::<u32>(inner, "writes"),
            reads: *required_value::<u32>(inner, "reads"),
            ..platform::Options::default()
        }),
        "site" => Mode::Site(site::Options {
            listen,
            workers: *required_value::<u32>(inner, "workers"),
            pools: *required_value::<u32>(inner, "pools"),
            zones: *required_value::<u32>(inner, "zones"),
            rack_size: *required_value::<u32>(inner, "rack-size"),
            work: Duration::from_millis(*required_value::<u64>(inner, "work-ms")),
            keep_ids: inner.get_flag("keep-ids"),
            cold: Duration::from_millis(*required_value::<u64>(inner, "cold-ms")),
        }),
        "worker" => Mode::Worker(Box::new(worker::Options {
            listen,
            platform: text(inner, "platform"),
            hosts: *required_value::<u32>(inner, "hosts"),
            zones: *required_value::<u32>(inner, "zones"),
            reboot: Duration::from_millis(*required_value::<u64>(inner, "reboot-ms")),
            ..worker::Options::default()
        })),
        _ => Mode::Endpoint(endpoint::Options {
            listen,
            slots: 8,
            connections: 64,
            work: Duration::from_millis(*required_value::<u64>(inner, "work-ms")),
        }),
    })
}

fn operate(verb: &str, matches: &ArgMatches) -> Result<Command, Error> {
    // If a command has subcommands, its options belong to them.
    let (inner_verb, inner) = matches.subcommand().unwrap_or((verb, matches));
    let by = || text(inner, "by");
    let plan = || usage("plan", required_value::<String>(inner, "plan"));
    let host = || usage("host", required_value::<String>(inner, "host"));
    let verb = match (verb, inner_verb) {
        ("status", _) => Verb::Status { list: text(inner, "list") },
        ("apply", _) => Verb::Apply {
            file: required_value::<PathBuf>(inner, "file").clone(),
            yes: inner.get_flag("yes"),
            by: by(),
        },
        ("intent", action) => Verb::Intent(Box::new(intent(action, inner)?)),
        ("plan", "show") => Verb::ShowPlan(plan()?),
        ("plan", "watch") => Verb::WatchPlan(plan()?),
        ("plan", "cancel") => Verb::Cancel { plan: plan()?, by: by() },
        ("plan", _) => Verb::Confirm { plan: plan()?, digest: text(inner, "digest"), by: by() },
        ("host", "quarantine") => {
            Verb::Quarantine { host: host()?, reason: text(inner, "reason"), by: by() }
        }
        _ => Verb::Release { host: host()?, by: by() },
    };
    let format = usage::<Format>("format", required_value::<String>(inner, "format"))?;
    Ok(Command { node: text(inner, "node"), format, verb })
}

fn intent(action: &str, matches: &ArgMatches) -> Result<IntentRequest, Error> {
    fn names<T: FromStr<Err: fmt::Display>>(
        matches: &ArgMatches,
        name: &str,
    ) -> Result<Vec<T>, Error> {
        let texts = matches.get_many::<String>(name).into_iter().flatten();
        texts.map(|text| usage(name, text)).collect()
    }
    let selection = Selection {
        hosts: names(matches, "host")?,
        racks: names(matches, "rack")?,
        zones: names(matches, "zone")?,
        pools: names(matches, "pool")?,
    };
    if selection == Selection::default() {
        let text = "select the hosts of the intent with --host, --rack, --zone or --pool";
        return Err(Error::Usage(text.to_owned()));
    }
    let deadline = matches.get_one::<String>("deadline");
    let deadline = deadline.map(|text| usage("deadline", text)).transpose()?;
    let action = match action {
        "move" => Action::Move(usage("to", required_value::<String>(matches, "to"))?),
        _ => Action::Drain,
    };
    let (reason, by) = (text(matches, "reason"), text(matches, "by"));
    Ok(IntentRequest { action, selection, deadline, reason, by })
}

impl Options {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Error> {
        match self.mode {
            Mode::Schedule { .. } => logging::start_nonblocking(self.level)?,
            _ => logging::start(self.level, self.format)?,
        }
        match self.mode {
            Mode::Check { file, fleet } => check(&file, fleet),
            Mode::Completions(shell) => {
                cli::write_completions(shell, &mut std::io::stdout());
                Ok(())
            }
            Mode::Demo(options) => demo::run(options),
            Mode::Measure(options) => measure::run(options),
            Mode::Serve { settings } => {
                let settings = settings::node::load(&settings)?;
                block_on(serve(settings))
            }
            Mode::Schedule { settings: path } => {
                let settings = settings::scheduler::load(&path)?;
                block_on_current_thread(scheduler::run::run(settings, path, wait_for_stop_signal()))
            }
            Mode::Operate(command) => block_on(commands::run(*command)),
            Mode::Platform(options) => block_on(async {
                let platform = platform::start(options).await;
                let platform = platform.map_err(|error| Error::system("listen", error))?;
                println!("platform at {}", platform.url);
                wait_for_stop_signal().await
            }),
            Mode::Worker(options) => block_on(async {
                let workers = worker::start(*options).await;
                let workers = workers.map_err(|error| Error::system("listen", error))?;
                println!("workers at {}", workers.address);
                wait_for_stop_signal().await
            }),
            Mode::Site(options) => block_on(async {
                let site = site::start(options).await;
                let site = site.map_err(|error| Error::system("listen", error))?;
                println!("site at {}", site.address);
                wait_for_stop_signal().await
            }),
            Mode::Endpoint(options) => block_on(async {
                let endpoint = endpoint::start(&options, Default::default()).await;
                let endpoint = endpoint.map_err(|error| Error::system("listen", error))?;
                println!("endpoint at {}", endpoint.address);
                wait_for_stop_signal().await
            }),
        }
    }
}

fn block_on(future: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|error| Error::system("start threads", error))?.block_on(future)
}

/// Runs on one thread: nodes have a share of a core, and waking further threads costs processor time.
fn block_on_current_thread(future: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| Error::system("start the runtime", error))?.block_on(future)
}

fn check(file: &std::path::Path, fleet: bool) -> Result<(), Error> {
    if fleet {
        let config = settings::fleet::load(file)?;
        println!(
            "{}: valid: {} pools, {} services, {} teams",
            file.display(),
            config.pools.len(),
            config.services.len(),
            config.teams.len()
        );
    } else {
        let settings = settings::node::load(file)?;
        println!("{}: valid: node {}", file.display(), settings.node);
    }
    Ok(())
}

async fn serve(settings: settings::node::NodeSettings) -> Result<(), Error> {
    let sockets = Sockets::open(&settings).await;
    let sockets = sockets.map_err(|error| Error::system("listen", error))?;
    let running = run::start(settings, sockets);
    wait_for_stop_signal().await?;
    running.shut_down().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop_signal() -> Result<(), Error> {
    use tokio::signal::unix::{SignalKind, signal};
    let failed = |error| Error::system("wait for signals", error);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
