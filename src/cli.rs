//! The command line: every command and option, with its help.

use std::{io::Write, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

/// The environment variable that names a node in place of `--node`.
pub(crate) const NODE_VARIABLE: &str = "CAPERHOLLOW_NODE";

/// Lists that `status` shows.
pub(crate) const LISTS: [&str; 6] = ["hosts", "pools", "services", "plans", "nodes", "changes"];
/// Shapes that the demo and the experiments know.
pub(crate) const PRESETS: [&str; 2] = ["tyrehub", "partsbook"];

/// The whole command line.
pub(crate) fn build() -> Command {
    Command::new("caperhollow")
        .version(clap::crate_version!())
        .about("Plans and carries out the maintenance of pools of hosts, and carries callers' requests to their services.")
        .after_help("Exit codes: 0 done; 1 a check did not hold; 2 wrong command line; 3 wrong file; 4 a node refused; 5 no node reached; 6 the system failed.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .value_parser(["off", "error", "warn", "info", "debug", "trace"])
                .default_value("info")
                .help("Write log lines of this level and above to standard error."),
        )
        .arg(
            Arg::new("log-format")
                .long("log-format")
                .global(true)
                .value_parser(["human", "json"])
                .default_value("human")
                .help("Write log lines for people, or one JSON object a line for programs."),
        )
        .subcommand(serve())
        .subcommand(schedule())
        .subcommand(check())
        .subcommand(demo())
        .subcommand(status())
        .subcommand(apply())
        .subcommand(intent())
        .subcommand(plan())
        .subcommand(host())
        .subcommand(measure())
        .subcommand(standin())
        .subcommand(completions())
}

/// Prints what is wrong with a command line, or the help that was asked for.
pub(crate) fn report_error(error: &clap::Error) -> ExitCode {
    // Nothing can be told if the output is closed.
    let _ = error.print();
    if error.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS }
}

/// Writes the completions of a shell.
pub(crate) fn complete(shell: clap_complete::Shell, to: &mut dyn Write) {
    clap_complete::generate(shell, &mut build(), "caperhollow", to);
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run a node: serve callers, operators and other nodes until it is told to end.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Read the node's settings from this file, which is JSON with comments."),
        )
}

fn schedule() -> Command {
    Command::new("schedule")
        .about("Run a scheduler node: take jobs from callers and run them on the platform's workers until it is told to end.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .env("CAPERHOLLOW_SETTINGS")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Read the node's settings from this file, which is JSON with comments."),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check a file without starting anything.")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The file to check."),
        )
        .arg(Arg::new("fleet").long("fleet").action(ArgAction::SetTrue).help(
            "The file is a fleet's configuration, as `apply` takes it, not a node's settings.",
        ))
}

fn demo() -> Command {
    Command::new("demo")
        .about("Show the main job on embedded stand-ins: a plan, its confirmation, and a wave during which a rack fails and a node is killed.")
        .arg(preset())
        .arg(seed().default_value("1"))
        .arg(export("json", "Write the summary to this file as JSON."))
}

fn preset() -> Arg {
    Arg::new("preset")
        .long("preset")
        .value_name("NAME")
        .value_parser(PossibleValuesParser::new(PRESETS))
        .default_value("tyrehub")
        .help("Use the shape and the policy of this user.")
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help("Draw everything that is drawn from this seed.")
}

fn export(kind: &'static str, help: &'static str) -> Arg {
    let name = if kind == "json" { "export-json" } else { "export-markdown" };
    Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
}

fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .env(NODE_VARIABLE)
        .default_value("127.0.0.1:7002")
        .help("Call the operators' API of the node at this IP address and port.")
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_parser(["table", "json"])
        .default_value("table")
        .help("Print tables for people, or JSON for programs.")
}

fn by() -> Arg {
    Arg::new("by")
        .long("by")
        .value_name("NAME")
        .env("USER")
        .default_value("operator")
        .help("Sign what is done with this name.")
}

/// The options of every command that asks a node.
fn asking() -> [Arg; 2] {
    [node(), format()]
}

/// The options of every command that has a node do something.
fn signed() -> [Arg; 3] {
    [by(), node(), format()]
}

fn reason() -> Arg {
    Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .required(true)
        .help("Say why, for those who read the plan later.")
}

fn yes(help: &'static str) -> Arg {
    Arg::new("yes").long("yes").action(ArgAction::SetTrue).help(help)
}

fn status() -> Command {
    Command::new("status")
        .about("Show what a node knows.")
        .arg(
            Arg::new("list")
                .value_name("LIST")
                .value_parser(PossibleValuesParser::new(LISTS))
                .default_value("services")
                .help("What to show."),
        )
        .args(asking())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Show what a fleet's configuration would change, and with --yes have it accepted.")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The configuration: pools, services with their budgets, and teams."),
        )
        .arg(yes("Have the changes accepted; without it they are only shown."))
        .args(signed())
}

fn intent() -> Command {
    let names = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NAME")
            .action(ArgAction::Append)
            .value_delimiter(',')
            .help(help)
    };
    let selection = |command: Command| {
        command
            .arg(names("host", "Name hosts; may be repeated or separated by commas."))
            .arg(names("rack", "Name racks: all of their hosts."))
            .arg(names("zone", "Name availability zones: all of their hosts."))
            .arg(names("pool", "Name pools: all of their hosts."))
            .arg(Arg::new("deadline").long("deadline").value_name("TIME").help(
                "Tell if the work would not be done by this time, such as 2026-01-31T12:00:00Z.",
            ))
            .arg(reason())
            .args(signed())
    };
    Command::new("intent")
        .about("State what is to be done with hosts, and get the plan and its cost. Nothing moves until the plan is confirmed.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(selection(
            Command::new("drain").about("Have hosts leave, reboot and serve again."),
        ))
        .subcommand(selection(
            Command::new("move").about("Have hosts leave their pool and join another.").arg(
                Arg::new("to")
                    .long("to")
                    .value_name("POOL")
                    .required(true)
                    .help("The pool that the hosts join."),
            ),
        ))
}

fn plan() -> Command {
    let id = || Arg::new("plan").value_name("PLAN").required(true).help("The plan's identifier.");
    Command::new("plan")
        .about("Look at, confirm or cancel a plan.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("show")
                .about("Show a plan, its cost and what each of its hosts does.")
                .arg(id())
                .args(asking()),
        )
        .subcommand(
            Command::new("confirm")
                .about("Have a plan carried out, if it still holds as it was shown.")
                .arg(id())
                .arg(
                    Arg::new("digest")
                        .long("digest")
                        .value_name("DIGEST")
                        .required(true)
                        .help("The digest that was shown with the plan."),
                )
                .args(signed()),
        )
        .subcommand(
            Command::new("cancel")
                .about("End a plan, and give back what it holds.")
                .arg(id())
                .args(signed()),
        )
        .subcommand(
            Command::new("watch")
                .about("Follow a plan until it has ended.")
                .arg(id())
                .args(asking()),
        )
}

fn host() -> Command {
    let id = || Arg::new("host").value_name("HOST").required(true).help("The host's name.");
    Command::new("host")
        .about("Take a host out for good, or have it serve again.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("quarantine")
                .about("Get the plan for taking a host out until it is released.")
                .arg(id())
                .arg(reason())
                .args(signed()),
        )
        .subcommand(
            Command::new("release")
                .about("Have a quarantined host serve again.")
                .arg(id())
                .args(signed()),
        )
}

fn measure() -> Command {
    let exports = |command: Command| {
        command
            .arg(export("json", "Write the figures to this file as JSON."))
            .arg(export("markdown", "Write the figures to this file as Markdown."))
    };
    let seeds = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .action(ArgAction::Append)
        .value_parser(value_parser!(u64))
        .help("Run with this seed; may be repeated. Without it, ten seeds are run.");
    Command::new("measure")
        .about("Measure the decisions, or the path of a request.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(exports(
            Command::new("waves")
                .about("Run maintenance waves with drawn failures under our policy and simple ones.")
                .arg(
                    Arg::new("preset")
                        .long("preset")
                        .value_name("NAME")
                        .value_parser(["tyrehub", "partsbook", "target"])
                        .default_value("tyrehub")
                        .help("Use the shape and the policy of this user, or the size of two years from now."),
                )
                .arg(
                    Arg::new("policy")
                        .long("policy")
                        .value_name("NAME")
                        .action(ArgAction::Append)
                        .value_parser(PossibleValuesParser::new(crate::measure::POLICIES))
                        .help("Run only this policy; may be repeated."),
                )
                .arg(seeds),
        ))
        .subcommand(exports(
            Command::new("path")
                .about("Time calls through one node against the same calls straight to the endpoint.")
                .arg(
                    Arg::new("callers")
                        .long("callers")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..=1024))
                        .default_value("64")
                        .help("So many callers at once in the second part."),
                )
                .arg(
                    Arg::new("requests")
                        .long("requests")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(100..=10_000_000))
                        .default_value("20000")
                        .help("So many requests in each part."),
                ),
        ))
        .subcommand(exports(
            Command::new("route")
                .about("Compare the choice of endpoints with simple ones, while some are slow, refuse or are dead."),
        ))
        .subcommand(exports(
            Command::new("mirror")
                .about("Measure what a node spends to take in what watches of the store tell of."),
        ))
        .subcommand(exports(
            Command::new("owner")
                .about("Measure what an owner spends for each task at a peak, as its pool grows."),
        ))
        .subcommand(exports(
            Command::new("fleet").about(
                "Measure what a decision on hosts and waves costs, as the fleet grows.",
            ),
        ))
        .subcommand(exports(
            Command::new("node")
                .about("Measure what control costs a node as the fleet grows."),
        ))
}

fn standin() -> Command {
    let listen = |default: &'static str| {
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .default_value(default)
            .help("Listen at this IP address and port; port 0 takes a free one.")
    };
    Command::new("standin")
        .about("Run a small stand-in for a system that nodes work with, for trials.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Run a store in etcd's JSON mapping, and a lagging list of hosts.")
                .arg(listen("127.0.0.1:7900"))
                .arg(
                    Arg::new("writes")
                        .long("writes")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("100")
                        .help("Refuse writes above so many a second."),
                )
                .arg(
                    Arg::new("reads")
                        .long("reads")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("2000")
                        .help("Refuse reads above so many a second."),
                ),
        )
        .subcommand(
            Command::new("site")
                .about(
                    "Run what scheduler nodes work with: store, hosts, and workers that run tasks.",
                )
                .arg(listen("127.0.0.1:7920"))
                .arg(
                    Arg::new("workers")
                        .long("workers")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("4")
                        .help("Run so many workers, of 8 cores each."),
                )
                .arg(
                    Arg::new("pools")
                        .long("pools")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("1")
                        .help("Spread them over so many pools."),
                )
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64))
                        .default_value("300")
                        .help("Take so long for a task whose payload names no time."),
                )
                .arg(
                    Arg::new("keep-ids")
                        .long("keep-ids")
                        .action(ArgAction::SetTrue)
                        .help("Have workers tell when they started, and every other one start again under its identifier."),
                ),
        )
        .subcommand(
            Command::new("worker")
                .about("Run many workers, whose tasks answer as endpoints.")
                .arg(listen("127.0.0.1:7910"))
                .arg(
                    Arg::new("platform")
                        .long("platform")
                        .value_name("URL")
                        .default_value("http://127.0.0.1:7900")
                        .help("Report to the platform at this address."),
                )
                .arg(
                    Arg::new("hosts")
                        .long("hosts")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..=10_000))
                        .default_value("50")
                        .help("Run so many hosts, four to a rack."),
                )
                .arg(
                    Arg::new("zones")
                        .long("zones")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..=64))
                        .default_value("4")
                        .help("Spread the racks over so many availability zones."),
                )
                .arg(
                    Arg::new("reboot-ms")
                        .long("reboot-ms")
                        .value_name("N")
                        .value_parser(value_parser!(u64))
                        .default_value("3000")
                        .help("A reboot takes so many milliseconds."),
                ),
        )
        .subcommand(
            Command::new("endpoint")
                .about("Run one endpoint by itself.")
                .arg(listen("127.0.0.1:7920"))
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("N")
                        .value_parser(value_parser!(u64))
                        .default_value("5")
                        .help("A request runs so many milliseconds."),
                ),
        )
}

fn completions() -> Command {
    Command::new("completions").about("Print the completions for a shell.").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .required(true)
            .value_parser(value_parser!(clap_complete::Shell))
            .help("The shell."),
    )
}

/// An option that has a default or is required: it is there.
pub(crate) fn given<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a ArgMatches,
    name: &str,
) -> &'a T {
    matches.get_one(name).expect("the option has a default or is required")
}
