//! A node's settings.

use std::{net::SocketAddr, path::Path, str::FromStr, time::Duration};

use crate::{
    decide::{
        claim::BucketLimits,
        rules::{Expected, Rules, Weights},
    },
    model::{
        id::{NodeId, ZoneId},
        unit::PerSecond,
    },
    settings::{
        Problem, Problems,
        clients::{self, ClientLimits},
        reader::{self, Section},
    },
};

/// The settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct NodeSettings {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) listen: Listen,
    pub(crate) platform: PlatformSettings,
    /// Peer addresses of other nodes, for use while the store is down.
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) limits: Limits,
    pub(crate) timing: Timing,
    pub(crate) claims: Claims,
    pub(crate) rules: Rules,
}

/// The addresses at which a node listens.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Listen {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// The addresses of the platform's services, and the write budget of its store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlatformSettings {
    pub(crate) store: Url,
    pub(crate) hosts: Url,
    /// Maximum number of store writes per second of all nodes together.
    pub(crate) writes: PerSecond,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub(crate) request: usize,
    /// Maximum size of an answer, in bytes.
    pub(crate) answer: usize,
    /// Maximum size of all bodies and answers in memory, in bytes.
    pub(crate) held: usize,
    /// Maximum number of requests of a service that wait for an endpoint.
    pub(crate) queue: usize,
    /// Maximum number of callers' connections.
    pub(crate) connections: usize,
    /// Deadline of requests without one.
    pub(crate) deadline: Duration,
    pub(crate) clients: ClientLimits,
}

/// Intervals, timeouts and leases.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Timing {
    /// Interval of the control loop over plans, pools and tasks.
    pub(crate) control: Duration,
    /// Interval of heartbeats to peers.
    pub(crate) heartbeat: Duration,
    /// Interval of reads of the host list.
    pub(crate) hosts: Duration,
    /// Interval of checks of the view against the store.
    pub(crate) verify: Duration,
    /// Timeout of a store call.
    pub(crate) store: Duration,
    /// How long a registration is valid without renewal.
    pub(crate) lease: Duration,
    /// How long tasks run without a new command.
    pub(crate) task_lease: Duration,
}

/// Storage of claims of non-repeatable requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Claims {
    /// Number of store keys over which claims are distributed.
    pub(crate) buckets: u32,
    pub(crate) keep: BucketLimits,
}

/// The address of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Url(String);

impl Url {
    /// The address as text, without a trailing slash.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Url {
    type Err = String;

    fn from_str(text: &str) -> Result<Url, String> {
        let rest = text.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        match rest.map(str::parse::<SocketAddr>) {
            Some(Ok(address)) => Ok(Url(format!("http://{address}"))),
            _ => Err(format!("`{text}` is not an address such as http://10.0.0.1:2379")),
        }
    }
}

/// An IP address and port, with an error that says what is allowed.
struct Address(SocketAddr);

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Address, String> {
        let parsed = text.parse().map(Address);
        parsed.map_err(|_| format!("`{text}` is not an IP address and port, such as 10.0.0.1:7001"))
    }
}

/// Policies with predefined weights, selected by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    BufferFirst,
    TimeFirst,
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Policy, String> {
        match text {
            "buffer-first" => Ok(Policy::BufferFirst),
            "time-first" => Ok(Policy::TimeFirst),
            _ => Err(format!("`{text}` is not a policy: buffer-first or time-first are allowed")),
        }
    }
}

impl Policy {
    pub(crate) fn weights(self) -> Weights {
        match self {
            Policy::BufferFirst => Weights::BUFFER_FIRST,
            Policy::TimeFirst => Weights::TIME_FIRST,
        }
    }
}

/// Loads the settings from a file.
pub(crate) fn load(path: &Path) -> Result<NodeSettings, Problems> {
    let file = path.display().to_string();
    let text = read_file(path, &file)?;
    parse(&file, &text)
}

/// Reads the text of a file.
pub(super) fn read_file(path: &Path, file: &str) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|error| {
        let message = format!("it cannot be read: {error}");
        let problem = Problem { line: 1, column: 1, field: String::new(), message };
        Problems { file: file.to_owned(), list: vec![problem] }
    })
}

/// Parses settings.
pub(crate) fn parse(file: &str, text: &str) -> Result<NodeSettings, Problems> {
    reader::read(file, text, node)
}

fn node(section: &Section<'_>) -> Option<NodeSettings> {
    // All fields are read before the first `?`, so that all problems are reported together.
    let node = section.text("node");
    let zone = section.text("zone");
    let listen = section.section("listen", listen);
    let platform = section.section("platform", platform);
    let peers = section.text_list::<Address>("peers");
    let limits = section.section_or_default("limits", limits);
    let timing = section.section_or_default("timing", timing);
    let claims = section.section_or_default("claims", claims);
    let rules = section.section_or_default("rules", rules);
    Some(NodeSettings {
        node: node?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        peers: peers?.into_iter().map(|address| address.0).collect(),
        limits: limits?,
        timing: timing?,
        claims: claims?,
        rules: rules?,
    })
}

fn listen(section: &Section<'_>) -> Option<Listen> {
    let callers = section.text::<Address>("callers");
    let operators = section.text::<Address>("operators");
    let peers = section.text::<Address>("peers");
    Some(Listen { callers: callers?.0, operators: operators?.0, peers: peers?.0 })
}

fn platform(section: &Section<'_>) -> Option<PlatformSettings> {
    let store = section.text("store");
    let hosts = section.text("hosts");
    let writes = section.number_or("writes", 10..=100_000, 75);
    let writes = PerSecond(writes? as u32);
    Some(PlatformSettings { store: store?, hosts: hosts?, writes })
}

fn limits(section: &Section<'_>) -> Option<Limits> {
    const MB: u64 = 1 << 20;
    let request = section.number_or("request_bytes", 1024..=64 * MB, MB);
    let answer = section.number_or("answer_bytes", 1024..=64 * MB, 8 * MB);
    let held = section.number_or("held_bytes", MB..=1024 * MB, 64 * MB);
    let queue = section.number_or("queue", 1..=100_000, 256);
    let connections = section.number_or("connections", 1..=100_000, 4096);
    let deadline = section.millis_or("deadline_ms", 10..=3_600_000, Duration::from_secs(30));
    let clients = clients::limits(section);
    Some(Limits {
        request: request? as usize,
        answer: answer? as usize,
        held: held? as usize,
        queue: queue? as usize,
        connections: connections? as usize,
        deadline: deadline?,
        clients: clients?,
    })
}

fn timing(section: &Section<'_>) -> Option<Timing> {
    let control = section.millis_or("control_ms", 20..=10_000, Duration::from_millis(200));
    let heartbeat = section.millis_or("heartbeat_ms", 50..=5_000, Duration::from_millis(500));
    let hosts = section.millis_or("hosts_ms", 100..=10_000, Duration::from_millis(500));
    let verify = section.millis_or("verify_ms", 100..=10_000, Duration::from_millis(1500));
    let store = section.millis_or("store_ms", 50..=30_000, Duration::from_secs(1));
    let lease = section.millis_or("lease_ms", 2_000..=120_000, Duration::from_secs(6));
    let task_lease = section.millis_or("task_lease_ms", 5_000..=600_000, Duration::from_secs(60));
    Some(Timing {
        control: control?,
        heartbeat: heartbeat?,
        hosts: hosts?,
        verify: verify?,
        store: store?,
        lease: lease?,
        task_lease: task_lease?,
    })
}

fn claims(section: &Section<'_>) -> Option<Claims> {
    let buckets = section.number_or("buckets", 1..=1024, 8);
    let max_age =
        section.millis_or("keep_ms", 60_000..=30 * 86_400_000, Duration::from_secs(24 * 3600));
    let max_claims = section.number_or("most", 100..=5_000, 5_000);
    Some(Claims {
        buckets: buckets? as u32,
        keep: BucketLimits { max_age: max_age?, max_claims: max_claims? as usize },
    })
}

fn rules(section: &Section<'_>) -> Option<Rules> {
    let default = Rules::default();
    let list_limit = section.millis_or("list_limit_ms", 1_000..=60_000, default.list_limit);
    let start_limit = section.millis_or("start_limit_ms", 1_000..=3_600_000, default.start_limit);
    let leave_limit = section.millis_or("leave_limit_ms", 1_000..=3_600_000, default.leave_limit);
    let away_limit = section.millis_or("away_limit_ms", 1_000..=86_400_000, default.away_limit);
    let policy = section.text_or("policy", Policy::BufferFirst);
    let weights = section.section_or_default("weights", |inner| {
        let base = policy.unwrap_or(Policy::BufferFirst).weights();
        let buffer = inner.weight_or("buffer", 1000.0, base.buffer);
        let time = inner.weight_or("time", 1000.0, base.time);
        let moves = inner.weight_or("moves", 1000.0, base.moves);
        Some(Weights { buffer: buffer?, time: time?, moves: moves? })
    });
    let expected = section.section_or_default("expected", |inner| {
        let base = default.expected;
        let quiet = inner.millis_or("quiet_ms", 100..=3_600_000, base.quiet);
        let start = inner.millis_or("start_ms", 100..=3_600_000, base.start);
        let reboot = inner.millis_or("reboot_ms", 100..=86_400_000, base.reboot);
        Some(Expected { quiet: quiet?, start: start?, reboot: reboot? })
    });
    let share_spare = section.flag_or("share_spare", default.share_spare);
    policy?;
    Some(Rules {
        list_limit: list_limit?,
        start_limit: start_limit?,
        leave_limit: leave_limit?,
        away_limit: away_limit?,
        weights: weights?,
        share_spare: share_spare?,
        expected: expected?,
    })
}
