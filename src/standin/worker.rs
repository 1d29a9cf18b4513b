//! Stand-in workers, many in one process. Each takes commands for its host, runs tasks as
//! endpoints, reboots on command, and reports to the platform. Faults of hosts are switched over
//! HTTP.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use poem::{Request, Response, endpoint::make, http::StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    http,
    model::{
        config::Resources,
        host::{HostReport, TaskReport},
        id::{HostId, RackId, ServiceId, ZoneId},
        unit::{Epoch, Megabytes, Millicores, Revision, Time},
    },
    platform::worker::{Assignment, TaskOrder},
    standin::endpoint::{self, Endpoint, RunLog},
};

/// Maximum size of a body that a worker reads.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long an endpoint that has ended keeps refusing new requests, so that each is answered as not
/// run.
const REFUSAL_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of connections for commands.
const MAX_CONNECTIONS: usize = 4096;

/// Settings of stand-in workers.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// IP address and port for commands; port 0 takes a free one.
    pub(crate) listen: String,
    /// URL of the platform.
    pub(crate) platform: String,
    pub(crate) hosts: u32,
    pub(crate) rack_size: u32,
    pub(crate) zones: u32,
    pub(crate) capacity: Resources,
    /// Interval between reports.
    pub(crate) report_interval: Duration,
    /// Time that a task takes to start.
    pub(crate) start: Duration,
    /// Time that a reboot takes.
    pub(crate) reboot: Duration,
    /// Run time of a request that names none.
    pub(crate) work: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            listen: "127.0.0.1:0".to_owned(),
            platform: String::new(),
            hosts: 50,
            rack_size: 4,
            zones: 4,
            capacity: Resources {
                cores: Millicores(32_000),
                memory: Megabytes(128 * 1024),
                accelerators: 0,
            },
            report_interval: Duration::from_millis(500),
            start: Duration::from_millis(300),
            reboot: Duration::from_secs(3),
            work: Duration::from_millis(5),
        }
    }
}

/// How a host misbehaves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct HostFaults {
    /// The host is dead: its requests are interrupted and it reports nothing.
    pub(crate) dead: bool,
    /// Its endpoints never become ready.
    pub(crate) never_ready: bool,
    /// The host does not come back from a reboot.
    pub(crate) stuck: bool,
    pub(crate) endpoint: endpoint::Faults,
}

/// New faults of some hosts, as sent over HTTP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultOrder {
    /// Hosts or racks, by name.
    pub(crate) at: Vec<String>,
    pub(crate) faults: HostFaults,
}

struct RunningTask {
    order: TaskOrder,
    endpoint: Option<Endpoint>,
    opening: bool,
    /// When the endpoint answers.
    ready_at: Time,
}

struct Host {
    id: HostId,
    rack: RackId,
    zone: ZoneId,
    epoch: Epoch,
    revision: Revision,
    booted: Epoch,
    /// When its reboot ends, while it reboots.
    reboot_until: Option<Time>,
    accept: bool,
    lease_until: Time,
    tasks: BTreeMap<(ServiceId, u32), RunningTask>,
    /// Endpoints that refuse new requests, and since when; each is dropped after its last request.
    ending: Vec<(Endpoint, Time)>,
    faults: HostFaults,
}

/// Running stand-in workers.
#[derive(Clone)]
pub(crate) struct Workers {
    hosts: Arc<Mutex<BTreeMap<HostId, Host>>>,
    options: Arc<Options>,
    /// Address for commands.
    pub(crate) address: String,
    /// Log of the requests that the endpoints ran.
    pub(crate) log: Arc<RunLog>,
}

/// Ground truth: what runs now.
#[derive(Debug, Clone, Default)]
pub(crate) struct Truth {
    /// Tasks that answer requests, by service.
    pub(crate) ready: BTreeMap<ServiceId, BTreeSet<u32>>,
    /// Services that have a task on a host.
    pub(crate) services: BTreeMap<HostId, BTreeSet<ServiceId>>,
}

/// Starts stand-in workers; they end with the runtime.
pub(crate) async fn start(options: Options) -> std::io::Result<Workers> {
    let (listener, address) = http::listen(&options.listen).await?;
    let hosts = (0..options.hosts).map(|number| new_host(number, &options));
    let workers = Workers {
        hosts: Arc::new(Mutex::new(hosts.map(|host| (host.id.clone(), host)).collect())),
        options: Arc::new(options),
        address: address.to_string(),
        log: Arc::default(),
    };
    let served = workers.clone();
    let endpoint = make(move |request| {
        let workers = served.clone();
        async move { Ok::<_, poem::Error>(workers.answer(request).await) }
    });
    tokio::spawn(http::serve(listener, MAX_CONNECTIONS, endpoint, http::Stop::default()));
    tokio::spawn(report(workers.clone()));
    let ticking = workers.clone();
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(Duration::from_millis(50));
        loop {
            tick.tick().await;
            ticking.tick(Time::now()).await;
        }
    });
    Ok(workers)
}

/// The name of the host with a number.
pub(crate) fn host_id(number: u32) -> HostId {
    format!("w{number:04}").parse().expect("the text is an identifier")
}

/// The name of the rack of the host with a number.
pub(crate) fn rack_id(number: u32, rack_size: u32) -> RackId {
    format!("r{:03}", number / rack_size.max(1)).parse().expect("the text is an identifier")
}

/// The name of the zone of the host with a number. Racks are assigned to the zones in turn.
pub(crate) fn zone_id(number: u32, rack_size: u32, zones: u32) -> ZoneId {
    let zone = number / rack_size.max(1) % zones.max(1);
    format!("z{zone}").parse().expect("the text is an identifier")
}

fn new_host(number: u32, options: &Options) -> Host {
    Host {
        id: host_id(number),
        rack: rack_id(number, options.rack_size),
        zone: zone_id(number, options.rack_size, options.zones),
        epoch: Epoch(0),
        revision: Revision(0),
        booted: Epoch(0),
        reboot_until: None,
        accept: true,
        lease_until: Time::default(),
        tasks: BTreeMap::new(),
        ending: Vec::new(),
        faults: HostFaults::default(),
    }
}

async fn report(workers: Workers) {
    let client = reqwest::Client::new();
    let mut tick = tokio::time::interval(workers.options.report_interval);
    loop {
        tick.tick().await;
        let reports = workers.reports(Time::now());
        let url = format!("{}/hosts/report", workers.options.platform);
        let sent = client.post(url).timeout(Duration::from_secs(2)).json(&reports).send().await;
        if let Err(error) = sent {
            log::debug!("worker report: not sent: {error}");
        }
    }
}

impl Workers {
    /// Sets the faults of hosts, by host or by rack.
    pub(crate) fn set_faults(&self, at: &[String], faults: &HostFaults) {
        let mut hosts = self.lock();
        let named = |host: &&mut Host| {
            at.iter().any(|name| host.id.as_str() == name || host.rack.as_str() == name)
        };
        for host in hosts.values_mut().filter(named) {
            host.set_faults(faults.clone());
        }
    }

    /// The tasks that answer requests now, and the services that each host runs, without any lag.
    pub(crate) fn truth(&self, now: Time) -> Truth {
        let hosts = self.lock();
        let mut truth = Truth::default();
        for host in hosts.values().filter(|host| !host.faults.dead) {
            for ((service, index), task) in &host.tasks {
                let ready = task.endpoint.is_some() && task.ready_at <= now && host.accept;
                if ready && !host.faults.never_ready {
                    truth.ready.entry(service.clone()).or_default().insert(*index);
                }
                truth.services.entry(host.id.clone()).or_default().insert(service.clone());
            }
        }
        truth
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, Host>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self, now: Time) -> Vec<HostReport> {
        let hosts = self.lock();
        let reporting =
            hosts.values().filter(|host| !host.faults.dead && host.reboot_until.is_none());
        reporting.map(|host| host.report(&self.options, &self.address, now)).collect()
    }

    async fn tick(&self, now: Time) {
        let starts = {
            let mut hosts = self.lock();
            hosts.values_mut().flat_map(|host| host.tick(now)).collect::<Vec<_>>()
        };
        for (host, order) in starts {
            self.open_endpoint(host, order).await;
        }
    }

    /// Opens the endpoint of a task that has started.
    async fn open_endpoint(&self, host: HostId, order: TaskOrder) {
        let options = endpoint::Options {
            listen: "127.0.0.1:0".to_owned(),
            slots: order.slots,
            connections: order.connections,
            work: self.options.work,
        };
        let endpoint = match endpoint::start(&options, self.log.clone()).await {
            Ok(endpoint) => endpoint,
            Err(error) => return log::error!("host {host}: endpoint not opened: {error}"),
        };
        let mut hosts = self.lock();
        let Some(host) = hosts.get_mut(&host) else {
            return;
        };
        endpoint.set_accept(host.accept);
        endpoint.set_faults(host.faults.endpoint.clone());
        let key = (order.service.clone(), order.index);
        if let Some(task) = host.tasks.get_mut(&key).filter(|task| task.order == order) {
            task.endpoint = Some(endpoint);
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if path.ends_with("/assignment") {
            return match http::read_json::<Assignment>(&mut request, MAX_BODY_BYTES).await {
                Ok(assignment) => self.assign(assignment),
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            };
        }
        match path.as_str() {
            "/faults" => match http::read_json::<FaultOrder>(&mut request, MAX_BODY_BYTES).await {
                Ok(order) => {
                    self.set_faults(&order.at, &order.faults);
                    http::text(StatusCode::OK, "")
                }
                Err(error) => http::text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            "/runs" => http::json(StatusCode::OK, &self.log.snapshot()),
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn assign(&self, assignment: Assignment) -> Response {
        let mut hosts = self.lock();
        let Some(host) = hosts.get_mut(&assignment.host) else {
            return http::text(StatusCode::NOT_FOUND, "no such host");
        };
        if host.faults.dead || host.reboot_until.is_some() {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "the host is unavailable");
        }
        let version = (assignment.epoch, assignment.revision);
        if version < (host.epoch, host.revision) {
            return http::text(
                StatusCode::CONFLICT,
                "the command is older than the host's last one",
            );
        }
        let cut = host.assign(assignment, &self.options, Time::now());
        self.log.record_cut(cut);
        http::text(StatusCode::OK, "")
    }
}

impl Host {
    fn report(&self, options: &Options, address: &str, now: Time) -> HostReport {
        let ready = |task: &RunningTask| {
            task.endpoint.is_some() && task.ready_at <= now && !self.faults.never_ready
        };
        let tasks = self.tasks.iter().map(|((service, index), task)| TaskReport {
            service: service.clone(),
            index: *index,
            generation: task.order.generation,
            ready: ready(task),
            address: task.endpoint.as_ref().map(|e| e.address.to_string()).unwrap_or_default(),
            // Reported only while the host does not accept, so that the list of serving hosts does
            // not change with their load.
            in_flight: if self.accept { 0 } else { task.in_flight() },
        });
        HostReport {
            host: self.id.clone(),
            rack: self.rack.clone(),
            zone: self.zone.clone(),
            address: address.to_owned(),
            capacity: options.capacity,
            live: true,
            booted: self.booted,
            epoch: self.epoch,
            tasks: tasks.collect(),
            ending: self.ending_in_flight(),
        }
    }

    fn in_flight(&self) -> u32 {
        self.tasks.values().map(RunningTask::in_flight).sum()
    }

    fn ending_in_flight(&self) -> u32 {
        self.ending.iter().map(|(endpoint, _)| endpoint.in_flight()).sum()
    }

    /// Executes a command, and returns how many requests in flight it interrupted.
    fn assign(&mut self, assignment: Assignment, options: &Options, now: Time) -> u32 {
        self.epoch = assignment.epoch;
        self.revision = assignment.revision;
        self.accept = assignment.accept;
        self.lease_until = now + assignment.lease;
        let wanted: BTreeMap<_, _> =
            assignment.tasks.into_iter().map(|t| ((t.service.clone(), t.index), t)).collect();
        let stale: Vec<_> = self
            .tasks
            .iter()
            .filter(|(key, task)| {
                wanted.get(*key).is_none_or(|order| order.generation != task.order.generation)
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in stale {
            self.end_task(&key, now);
        }
        for (key, order) in wanted {
            let ready_at = now + options.start;
            let starting = || RunningTask { order, endpoint: None, opening: false, ready_at };
            self.tasks.entry(key).or_insert_with(starting);
        }
        for task in self.tasks.values() {
            if let Some(endpoint) = &task.endpoint {
                endpoint.set_accept(self.accept);
            }
        }
        if !assignment.reboot || self.epoch <= self.booted || self.reboot_until.is_some() {
            return 0;
        }
        let cut = self.in_flight() + self.ending_in_flight();
        self.tasks.clear();
        self.ending.clear();
        self.reboot_until = Some(now + options.reboot);
        cut
    }

    /// Advances to a time, and returns the tasks whose endpoints are to be opened now.
    fn tick(&mut self, now: Time) -> Vec<(HostId, TaskOrder)> {
        if self.faults.dead {
            return Vec::new();
        }
        if self.reboot_until.is_some_and(|until| until <= now) && !self.faults.stuck {
            self.reboot_until = None;
            self.booted = self.epoch;
        }
        self.ending
            .retain(|(endpoint, at)| endpoint.in_flight() != 0 || now.since(*at) < REFUSAL_PERIOD);
        if self.lease_until < now && !self.tasks.is_empty() {
            let keys: Vec<_> = self.tasks.keys().cloned().collect();
            keys.iter().for_each(|key| self.end_task(key, now));
        }
        let mut due = Vec::new();
        for task in self.tasks.values_mut() {
            if !task.opening && task.ready_at <= now {
                task.opening = true;
                due.push((self.id.clone(), task.order.clone()));
            }
        }
        due
    }

    fn end_task(&mut self, key: &(ServiceId, u32), now: Time) {
        if let Some(endpoint) = self.tasks.remove(key).and_then(|task| task.endpoint) {
            endpoint.set_accept(false);
            self.ending.push((endpoint, now));
        }
    }

    fn set_faults(&mut self, faults: HostFaults) {
        if faults.dead {
            self.tasks.clear();
            self.ending.clear();
            self.reboot_until = None;
        }
        if self.faults.dead && !faults.dead {
            // A host that comes back has been restarted and runs nothing.
            self.booted = self.epoch;
        }
        for task in self.tasks.values() {
            if let Some(endpoint) = &task.endpoint {
                endpoint.set_faults(faults.endpoint.clone());
            }
        }
        self.faults = faults;
    }
}

impl RunningTask {
    fn in_flight(&self) -> u32 {
        self.endpoint.as_ref().map_or(0, Endpoint::in_flight)
    }
}
