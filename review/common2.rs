//! What the drivers of the cases 4 and 5 share: processes, plain HTTP/1.1 calls, a record of what was
//! sent and answered. Standard library only.
#![allow(dead_code)]

use std::{
    fs::{self, File},
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "shop.example";
pub const QUEUE: &str = "/quotes/";

/// Exit codes: the rule held, it was broken, the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a call ended with.
#[derive(Debug, Clone)]
pub enum Answer {
    Status(u16, String),
    /// No complete answer in time, or none at all.
    None(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Status(status, _) => *status,
            Answer::None(_) => 0,
        }
    }

    pub fn body(&self) -> &str {
        match self {
            Answer::Status(_, body) => body,
            Answer::None(_) => "",
        }
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Status(status, body) => format!("{status} {}", body.trim()),
            Answer::None(reason) => format!("no answer ({reason})"),
        }
    }
}

/// One call on a connection of its own, which is closed when `wait` is over.
pub fn call(address: &str, method: &str, path: &str, body: &str, wait: Duration) -> Answer {
    match try_call(address, method, path, body, wait) {
        Ok(answer) => answer,
        Err(error) => Answer::None(error.to_string()),
    }
}

fn try_call(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> std::io::Result<Answer> {
    let until = Instant::now() + wait;
    let target = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&target, wait)?;
    stream.set_nodelay(true)?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
        if let Some(answer) = complete(&bytes) {
            return Ok(answer);
        }
    }
    complete(&bytes).ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// The answer, once all of it has been read.
fn complete(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
    let body = &bytes[end + 4..];
    (length <= body.len())
        .then(|| Answer::Status(status, String::from_utf8_lossy(&body[..length]).into_owned()))
}

/// All processes that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Starts a process and returns its id.
fn spawn(command: &mut Command) -> u32 {
    match command.spawn() {
        Ok(child) => {
            let pid = child.id();
            // For the script, which ends what is left if this process is killed.
            if let Some(dir) = std::env::args().nth(2) {
                let file = File::options().create(true).append(true).open(Path::new(&dir).join("pids"));
                if let Ok(mut file) = file {
                    let _ = writeln!(file, "{pid}");
                }
            }
            CHILDREN.lock().unwrap_or_else(|error| error.into_inner()).push(child);
            pid
        }
        Err(error) => give_up(&error.to_string()),
    }
}

/// Ends one of the processes that were started, with SIGKILL.
pub fn end_process(pid: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    if let Some(position) = children.iter().position(|child| child.id() == pid) {
        let mut child = children.remove(position);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(dir) = std::env::args().nth(2) {
        let _ = fs::remove_file(Path::new(&dir).join("pids"));
    }
    std::process::exit(code);
}

pub struct Node {
    pub name: String,
    pub pid: u32,
    settings: PathBuf,
    pub callers: String,
    pub readiness: String,
    pub metrics: String,
}

/// One line of the stand-in's log of its workers.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub worker: String,
    pub kind: String,
    pub task: String,
    pub run: u64,
}

/// The processes of one run, and its record.
pub struct Rig {
    pub program: PathBuf,
    pub dir: PathBuf,
    pub site: String,
    record: Mutex<File>,
    pub started: Instant,
}

/// A free address, below the ports that the system gives to outgoing connections.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97) ^ SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.subsec_micros());
    let _ = NEXT.compare_exchange(0, 1 + start % 10_000, Ordering::Relaxed, Ordering::Relaxed);
    loop {
        let port = 20_000 + NEXT.fetch_add(1, Ordering::Relaxed) % 12_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().map_or_else(|_| give_up("no free port"), |address| address.to_string());
        }
    }
}

/// Ends the case as one that could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    finish(NOT_RUN);
}

impl Rig {
    /// Starts the project's own stand-in of the platform and its workers. Arguments of the program:
    /// the project's program, a temporary folder, the record.
    pub fn start(site_args: &[&str]) -> Rig {
        let mut args = std::env::args().skip(1);
        let mut next = || args.next().unwrap_or_else(|| give_up("arguments are missing"));
        let (program, dir, record) = (next(), next(), next());
        let record = File::create(&record).unwrap_or_else(|error| give_up(&error.to_string()));
        let site = free_address();
        std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
        let log = File::create(Path::new(&dir).join("site.log"));
        spawn(
            Command::new(&program)
                .args(["standin", "site", "--listen", &site])
                .args(site_args)
                .stdout(Stdio::null())
                .stderr(log.map_or(Stdio::null(), Stdio::from)),
        );
        let rig = Rig {
            program: program.into(),
            dir: dir.into(),
            site,
            record: Mutex::new(record),
            started: Instant::now(),
        };
        rig.note(&format!("stand-in of the platform: standin site {}", site_args.join(" ")));
        let second = Duration::from_secs(1);
        rig.wait_for("the stand-in", 10, || {
            call(&rig.site, "GET", "/counted", "", second).status() == 200
        });
        rig
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(record, "{:8.3}  {line}", self.started.elapsed().as_secs_f64());
        let _ = record.flush();
    }

    pub fn wait_for(&self, what: &str, seconds: u64, mut check: impl FnMut() -> bool) {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !check() {
            if until <= Instant::now() {
                self.note(&format!("not in time: {what}"));
                give_up(&format!("not in time: {what}"));
            }
            sleep(Duration::from_millis(30));
        }
    }

    /// Writes the operator's configuration: one queue and its pool.
    pub fn configure(&self, attempts: u32) {
        let config = format!(
            r#"{{"version":1,"routes":[{{"name":"quotes","host":"{HOST}","path_prefix":"{QUEUE}",
            "kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,"priority":0,
            "service":"work","max_attempts":{attempts},"stretch":1.6}}],
            "services":[{{"name":"work","admission_check":true}}]}}"#
        );
        let answer = self.to_site("/put?op/config", &config);
        self.note(&format!("operator: op/config version 1 -> {}", answer.text()));
    }

    pub fn to_site(&self, path: &str, body: &str) -> Answer {
        call(&self.site, "POST", path, body, Duration::from_secs(2))
    }

    /// Starts a node with settings like those that the platform fills from the template.
    pub fn node(&self, name: &str, zone: &str, store: &str, hosts: &str) -> Node {
        for _ in 0..5 {
            let node = self.try_node(name, zone, store, hosts);
            sleep(Duration::from_millis(150));
            let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
            // Another process may have taken one of its ports in between.
            if children.last_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None))) {
                return node;
            }
            children.pop();
        }
        give_up("a node does not start")
    }

    fn try_node(&self, name: &str, zone: &str, store: &str, hosts: &str) -> Node {
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let settings = format!(
            r#"{{
  "node": "{name}", "zone": "{zone}", "cpu_cores": 0.25,
  "listen": {{ "callers": "{callers}", "readiness": "{readiness}", "metrics": "{metrics}",
    "peers": "{peers}" }},
  "platform": {{ "store": "{store}", "hosts": "{hosts}", "advice": "", "handover_ms": 3000 }},
  "pools": {{ "calls_per_s": 64.0, "full_percent": 50, "growth_percent": 300, "margin_hosts": 3,
    "shrink_after_ms": 2500 }},
  "configuration": {{ "apply_ms": 2000 }},
  "zones": {{ "tolerated_losses": 0 }},
  "stop": {{ "grace_ms": 6000 }}
}}
"#
        );
        let path = self.dir.join(format!("{name}.json"));
        if fs::write(&path, settings).is_err() {
            give_up("the temporary folder cannot be written");
        }
        let pid = self.start_program(name, &path);
        Node { name: name.to_owned(), pid, settings: path, callers, readiness, metrics }
    }

    /// Runs the command of the deploy file.
    fn start_program(&self, name: &str, settings: &Path) -> u32 {
        let log = File::options().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let Ok(log) = log else { give_up("the temporary folder cannot be written") };
        let Ok(second_log) = log.try_clone() else { give_up("no log") };
        spawn(
            Command::new(&self.program)
                .arg("schedule")
                .env("CAPERHOLLOW_SETTINGS", settings)
                .stdout(log)
                .stderr(second_log),
        )
    }

    /// Starts a node again that was ended, as the platform does.
    pub fn restart(&self, node: &mut Node) {
        node.pid = self.start_program(&node.name, &node.settings);
    }

    pub fn wait_ready(&self, nodes: &[Node]) {
        for node in nodes {
            self.wait_for(&format!("node {} is ready", node.name), 20, || {
                let wait = Duration::from_millis(500);
                call(&node.readiness, "GET", "/-/ready", "", wait).status() == 200
            });
        }
        self.note(&format!("{} nodes are ready", nodes.len()));
    }

    /// What happened at the workers so far.
    pub fn events(&self) -> Vec<Event> {
        let answer = call(&self.site, "GET", "/log?0", "", Duration::from_secs(5));
        if answer.status() != 200 {
            give_up("the log of the workers cannot be read");
        }
        answer.body().split("{").filter_map(event).collect()
    }
}

/// The value of a field of a flat JSON object, as text.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = object.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

fn event(object: &str) -> Option<Event> {
    Some(Event {
        at: field(object, "at")?.parse().ok()?,
        worker: field(object, "worker")?.to_owned(),
        kind: field(object, "kind")?.to_owned(),
        task: field(object, "task")?.to_owned(),
        run: field(object, "run")?.parse().ok()?,
    })
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
