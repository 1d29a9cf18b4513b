//! The command line: all commands and options, with their help texts.

use std::{io::Write, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

/// Environment variable that selects a node instead of `--node`.
pub(crate) const NODE_VARIABLE: &str = "CAPERHOLLOW_NODE";

/// The lists that `status` can show.
pub(crate) const LISTS: [&str; 8] =
    ["hosts", "pools", "services", "plans", "nodes", "changes", "zones", "accounts"];
/// The presets of the demo and the experiments.
pub(crate) const PRESETS: [&str; 2] = ["tyrehub", "partsbook"];

/// Builds the command line.
pub(crate) fn build() -> Command {
    Command::new("caperhollow")
        .version(clap::crate_version!())
        .about("Plans and executes the maintenance of pools of hosts, and routes callers' requests to their services.")
        .after_help("Exit codes: 0 success; 1 a check failed; 2 invalid command line; 3 invalid file; 4 a node refused; 5 no node reached; 6 system error.")
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
                .help("Write log lines as text for people, or as one JSON object per line for programs."),
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

/// Prints a command line error, or the requested help, and returns the exit code.
pub(crate) fn report_error(error: &clap::Error) -> ExitCode {
    // If the output is closed, the error cannot be reported.
    let _ = error.print();
    if error.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS }
}

/// Writes the completion script of a shell.
pub(crate) fn write_completions(shell: clap_complete::Shell, to: &mut dyn Write) {
    clap_complete::generate(shell, &mut build(), "caperhollow", to);
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run a node: serve callers, operators and other nodes until it receives a signal to stop.")
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
        .about("Run a scheduler node: accept jobs from callers and run them on the platform's workers until it receives a signal to stop.")
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
        .about("Demonstrate a maintenance wave on embedded stand-ins: a plan, its confirmation, and its execution while a rack fails and a node is killed.")
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
        .help("Use the fleet and the policy of this user.")
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help("Seed of the random number generator.")
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
        .help("Record this name as the author of the change.")
}

/// The options of commands that query a node.
fn query_options() -> [Arg; 2] {
    [node(), format()]
}

/// The options of commands that change something through a node.
fn change_options() -> [Arg; 3] {
    [by(), node(), format()]
}

fn reason() -> Arg {
    Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .required(true)
        .help("Record this reason in the plan.")
}

fn yes(help: &'static str) -> Arg {
    Arg::new("yes").long("yes").action(ArgAction::SetTrue).help(help)
}

fn status() -> Command {
    Command::new("status")
        .about("Show the state known to a node.")
        .arg(
            Arg::new("list")
                .value_name("LIST")
                .value_parser(PossibleValuesParser::new(LISTS))
                .default_value("services")
                .help("The list to show. Scheduler nodes have zones and accounts, at their address for metrics; the other nodes have the rest."),
        )
        .args(query_options())
}

fn apply() -> Command {
    Command::new("apply")
        .about(
            "Show the changes that a fleet's configuration would make, and apply them with --yes.",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The configuration: pools, services with their budgets, and teams."),
        )
        .arg(yes("Apply the changes; without this option they are only shown."))
        .args(change_options())
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
            .arg(names("host", "Select hosts; may be repeated or separated by commas."))
            .arg(names("rack", "Select all hosts of these racks."))
            .arg(names("zone", "Select all hosts of these availability zones."))
            .arg(names("pool", "Select all hosts of these pools."))
            .arg(Arg::new("deadline").long("deadline").value_name("TIME").help(
                "Warn if the work would not be finished by this time, such as 2026-01-31T12:00:00Z.",
            ))
            .arg(reason())
            .args(change_options())
    };
    Command::new("intent")
        .about("Submit an intent for hosts, and get the plan and its cost. Nothing moves until the plan is confirmed.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(selection(
            Command::new("drain").about("Drain and reboot hosts, then return them to service."),
        ))
        .subcommand(selection(
            Command::new("move").about("Move hosts to another pool.").arg(
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
        .about("Show, confirm or cancel a plan.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("show")
                .about("Show a plan, its cost and the steps of each of its hosts.")
                .arg(id())
                .args(query_options()),
        )
        .subcommand(
            Command::new("confirm")
                .about("Execute a plan, if it is still valid as shown.")
                .arg(id())
                .arg(
                    Arg::new("digest")
                        .long("digest")
                        .value_name("DIGEST")
                        .required(true)
                        .help("The digest that was shown with the plan."),
                )
                .args(change_options()),
        )
        .subcommand(
            Command::new("cancel")
                .about("Cancel a plan and release what it holds.")
                .arg(id())
                .args(change_options()),
        )
        .subcommand(
            Command::new("watch")
                .about("Follow a plan until it has ended.")
                .arg(id())
                .args(query_options()),
        )
}

fn host() -> Command {
    let id = || Arg::new("host").value_name("HOST").required(true).help("The host's name.");
    Command::new("host")
        .about("Quarantine a host, or return it to service.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("quarantine")
                .about("Get the plan for taking a host out of service until it is released.")
                .arg(id())
                .arg(reason())
                .args(change_options()),
        )
        .subcommand(
            Command::new("release")
                .about("Return a quarantined host to service.")
                .arg(id())
                .args(change_options()),
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
        .help("Run with this seed; may be repeated. By default, ten seeds are run.");
    Command::new("measure")
        .about("Measure decisions, or the path of a request.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(exports(
            Command::new("waves")
                .about("Run maintenance waves with random failures under the built-in policy and under simple ones.")
                .arg(
                    Arg::new("preset")
                        .long("preset")
                        .value_name("NAME")
                        .value_parser(["tyrehub", "partsbook", "target"])
                        .default_value("tyrehub")
                        .help("Use the fleet and the policy of this user, or the fleet size expected in two years."),
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
                .about("Compare the latency of calls through one node with that of direct calls to the endpoint.")
                .arg(
                    Arg::new("callers")
                        .long("callers")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..=1024))
                        .default_value("64")
                        .help("Number of concurrent callers in the second part."),
                )
                .arg(
                    Arg::new("requests")
                        .long("requests")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(100..=10_000_000))
                        .default_value("20000")
                        .help("Number of requests in each part."),
                ),
        ))
        .subcommand(exports(
            Command::new("route")
                .about("Compare endpoint selection with simple policies, while some endpoints are slow, refuse requests or are down."),
        ))
        .subcommand(exports(
            Command::new("mirror")
                .about("Measure the processor time that a node spends on processing the store's watches."),
        ))
        .subcommand(exports(
            Command::new("owner")
                .about("Measure the processor time that an owner spends on each task at peak load, as its pool grows."),
        ))
        .subcommand(exports(
            Command::new("fleet").about(
                "Measure the cost of a decision on hosts and waves, as the fleet grows.",
            ),
        ))
        .subcommand(exports(
            Command::new("node")
                .about("Measure the cost of a node's control loop, as the fleet grows."),
        ))
}

fn standin() -> Command {
    let listen = |default: &'static str| {
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .default_value(default)
            .help("Listen at this IP address and port; port 0 selects a free one.")
    };
    Command::new("standin")
        .about("Run a small stand-in for a system that nodes depend on, for trials.")
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
                        .help("Refuse writes above this number per second."),
                )
                .arg(
                    Arg::new("reads")
                        .long("reads")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("2000")
                        .help("Refuse reads above this number per second."),
                ),
        )
        .subcommand(
            Command::new("site")
                .about(
                    "Run the systems that scheduler nodes depend on: store, hosts, and workers that run tasks.",
                )
                .arg(listen("127.0.0.1:7920"))
                .arg(
                    Arg::new("workers")
                        .long("workers")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("4")
                        .help("Number of workers, of 8 cores each."),
                )
                .arg(
                    Arg::new("pools")
                        .long("pools")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("1")
                        .help("Number of pools over which the workers are spread."),
                )
                .arg(
                    Arg::new("zones")
                        .long("zones")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..))
                        .default_value("1")
                        .help("Number of availability zones over which each pool is spread."),
                )
                .arg(
                    Arg::new("rack-size")
                        .long("rack-size")
                        .value_name("N")
                        .value_parser(value_parser!(u32))
                        .default_value("0")
                        .help("Number of workers in a rack; 0 for one rack in each zone."),
                )
                .arg(
                    Arg::new("cold-ms")
                        .long("cold-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64))
                        .default_value("0")
                        .help("How long workers are cold, and their tasks slower, after they were down, in milliseconds."),
                )
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64))
                        .default_value("300")
                        .help("Duration of tasks whose payload names none, in milliseconds."),
                )
                .arg(
                    Arg::new("keep-ids")
                        .long("keep-ids")
                        .action(ArgAction::SetTrue)
                        .help("Let workers report their start time, and let every other one restart under its old identifier."),
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
                        .help("Number of hosts, four to a rack."),
                )
                .arg(
                    Arg::new("zones")
                        .long("zones")
                        .value_name("N")
                        .value_parser(value_parser!(u32).range(1..=64))
                        .default_value("4")
                        .help("Number of availability zones over which the racks are spread."),
                )
                .arg(
                    Arg::new("reboot-ms")
                        .long("reboot-ms")
                        .value_name("N")
                        .value_parser(value_parser!(u64))
                        .default_value("3000")
                        .help("Duration of a reboot, in milliseconds."),
                ),
        )
        .subcommand(
            Command::new("endpoint")
                .about("Run a single endpoint.")
                .arg(listen("127.0.0.1:7920"))
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("N")
                        .value_parser(value_parser!(u64))
                        .default_value("5")
                        .help("Duration of a request, in milliseconds."),
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

/// Returns the value of an option that is required or has a default.
pub(crate) fn required_value<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a ArgMatches,
    name: &str,
) -> &'a T {
    matches.get_one(name).expect("the option has a default or is required")
}
