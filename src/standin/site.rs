//! A stand-in for the platform that scheduler nodes run on: its store, its list of hosts, and
//! workers that run tasks, each at an address of its own. It speaks the platform's protocols, and
//! counts starts, ends and double runs of tasks.

mod hosts;
mod incarnation;
mod log;
mod place;
mod reach;
mod store;
#[cfg(test)]
mod tests;
mod worker;
mod worker_faults;

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use poem::{Endpoint, Request, Response, http::StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{sync::watch, time::sleep};

use crate::{
    http,
    standin::site::{log::Log, reach::CutLink, store::Store, worker::Worker},
};

/// Maximum size of a body that the stand-in reads.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of connections of each address.
const MAX_CONNECTIONS: usize = 1_024;
/// How long a lost answer is delayed: longer than any caller waits.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(20);
/// Interval at which leases and runs are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between two reports of a worker.
const TICKS_PER_REPORT: u32 = 25;

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Address of the store, the list of hosts and the faults; port 0 takes a free one.
    pub(crate) listen: String,
    pub(crate) workers: u32,
    /// Number of pools over which the workers are spread: `work`, `work-1` and so on.
    pub(crate) pools: u32,
    /// Number of availability zones over which each pool is spread: `hall-a`, `hall-b` and so on.
    pub(crate) zones: u32,
    /// Workers of a rack; 0 for one rack in each zone.
    pub(crate) rack_size: u32,
    /// Run time of a task whose payload does not set one.
    pub(crate) work: Duration,
    /// Whether workers report their start time, and every other one keeps its identifier when it
    /// restarts.
    pub(crate) keep_ids: bool,
    /// How long a worker is cold after it was down: its tasks take longer, and it reports that.
    pub(crate) cold: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            listen: "127.0.0.1:0".to_owned(),
            workers: 4,
            pools: 1,
            zones: 1,
            rack_size: 0,
            work: Duration::from_millis(300),
            keep_ids: false,
            cold: Duration::ZERO,
        }
    }
}

/// Faults of the store, set over HTTP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Every call gets a 503.
    store_down: bool,
    /// Writes are executed but not answered.
    store_lost: bool,
    /// Watches that have missed many changes get no answer, as if it were too long for the link.
    store_long_history: bool,
    /// Watches receive nothing while all other calls are answered; their connections are cut once
    /// this is switched off.
    store_watches_silent: bool,
    /// The history for watches is compacted, once.
    store_compact: bool,
    /// Delay added to every call.
    store_slow_ms: u64,
    /// Delay after which writes are executed, without an answer; off if 0.
    store_late_ms: u64,
    /// If not 0, only one write in this many is delayed; the others are executed at once.
    store_late_every: u64,
    /// Leases that end, once: all, or a single one.
    leases_over: Option<EndedLeases>,
}

/// Which leases end even though they were renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndedLeases {
    All,
    /// The lease with this index in the order of grants, modulo the number of leases.
    Nth(usize),
}

/// A range of tokens whose orders a worker does not receive: they get no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct DroppedOrders {
    worker: usize,
    from: u64,
    /// The last token, inclusive.
    to: u64,
}

/// Number of orders that a worker has received with a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ReceivedOrders {
    worker: usize,
    token: u64,
    orders: u32,
}

/// Counts of runs, for checks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
struct Counted {
    /// Runs that started while another run of their task was running.
    twice: u32,
    /// Runs that started.
    starts: u32,
    /// Runs that ended as done.
    done: u32,
}

/// The whole state, behind one lock that is only held briefly.
struct State {
    started_at: Instant,
    store: Store,
    workers: Vec<Worker>,
    faults: Faults,
    dropped: Vec<DroppedOrders>,
    cut_links: Vec<CutLink>,
    counted: Counted,
    /// Number of orders received, by worker and token.
    received: BTreeMap<(usize, u64), u32>,
    log: Log,
}

/// The stand-in, shared by its addresses.
#[derive(Clone)]
struct Site {
    state: Arc<Mutex<State>>,
    /// Counts the changes that watches and polls wait for.
    changed: watch::Sender<u64>,
}

/// A running stand-in.
pub(crate) struct Running {
    pub(crate) address: String,
}

impl Site {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

impl State {
    fn new() -> State {
        State {
            started_at: Instant::now(),
            store: Store::default(),
            workers: Vec::new(),
            faults: Faults::default(),
            dropped: Vec::new(),
            cut_links: Vec::new(),
            counted: Counted::default(),
            received: BTreeMap::new(),
            log: Log::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Records an order, and returns whether the worker receives it.
    fn receive_order(&mut self, worker: usize, token: u64) -> bool {
        let drops = |fault: &&DroppedOrders| fault.worker == worker && fault.from <= token;
        if self.dropped.iter().filter(drops).any(|fault| token <= fault.to) {
            return false;
        }
        *self.received.entry((worker, token)).or_default() += 1;
        true
    }

    fn received(&self) -> Vec<ReceivedOrders> {
        let received = self.received.iter();
        received
            .map(|((worker, token), orders)| ReceivedOrders {
                worker: *worker,
                token: *token,
                orders: *orders,
            })
            .collect()
    }
}

pub(crate) async fn start(options: Options) -> io::Result<Running> {
    let site = Site { state: Arc::new(Mutex::new(State::new())), changed: watch::channel(0).0 };
    for number in 0..options.workers {
        let (listener, address) = http::listen("127.0.0.1:0").await?;
        let worker = Worker::new(number, address, &options);
        site.state().workers.push(worker);
        let endpoint = worker::WorkerApi { site: site.clone(), number: number as usize };
        tokio::spawn(http::serve(listener, MAX_CONNECTIONS, endpoint, http::Stop::default()));
    }
    let (listener, address) = http::listen(&options.listen).await?;
    let endpoint = SiteApi { site: site.clone() };
    tokio::spawn(http::serve(listener, MAX_CONNECTIONS, endpoint, http::Stop::default()));
    tokio::spawn(tick(site));
    Ok(Running { address: address.to_string() })
}

async fn tick(site: Site) {
    let mut ticks = 0;
    loop {
        let changed = {
            let mut state = site.state();
            let state = &mut *state;
            let now = state.now_ms();
            let mut changed = state.store.expire(now);
            for worker in &mut state.workers {
                worker.restart_if_due(now);
                changed |= worker.advance(now, &mut state.counted, &mut state.log);
                for key in worker.take_stale_reports(now) {
                    state.store.delete(&key);
                    changed = true;
                }
                if ticks % TICKS_PER_REPORT == 0 && worker.is_up() {
                    state.store.put(&worker.report_key(), worker.report(now), 0);
                    changed = true;
                }
            }
            changed
        };
        ticks += 1;
        if changed {
            site.note_change();
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Serves the address of the store, the list of hosts and the faults.
struct SiteApi {
    site: Site,
}

impl Endpoint for SiteApi {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let response = match path.as_str() {
            "/faults" => self.set_faults(&mut request).await,
            "/unheard" => self.set_dropped(&mut request).await,
            "/heard" => http::json(StatusCode::OK, &self.site.state().received()),
            "/reach" => reach::set(&self.site, &mut request).await,
            "/trouble" => worker_faults::set(&self.site, &mut request).await,
            "/log" => self.log(&request),
            "/put" => self.put(&mut request).await,
            "/remove" => self.remove(&request),
            "/counted" => http::json(StatusCode::OK, &self.site.state().counted),
            "/-/machines" => hosts::list(&self.site),
            "/-/machine-move" => hosts::move_host(&self.site, &mut request).await,
            "/-/machine-upkeep" => hosts::maintain(&self.site, &mut request).await,
            _ => store::answer(&self.site, &path, &mut request).await,
        };
        Ok(response)
    }
}

impl SiteApi {
    async fn set_faults(&self, request: &mut Request) -> Response {
        match http::read_json::<Faults>(request, MAX_BODY_BYTES).await {
            Ok(faults) => {
                let mut state = self.site.state();
                if faults.store_compact {
                    state.store.compact();
                }
                match faults.leases_over {
                    Some(EndedLeases::All) => state.store.end_leases(None),
                    Some(EndedLeases::Nth(number)) => state.store.end_leases(Some(number)),
                    None => {}
                }
                state.faults = faults;
                drop(state);
                self.site.note_change();
                http::json(StatusCode::OK, &faults)
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    async fn set_dropped(&self, request: &mut Request) -> Response {
        match http::read_json::<Vec<DroppedOrders>>(request, MAX_BODY_BYTES).await {
            Ok(dropped) => {
                self.site.state().dropped = dropped;
                http::text(StatusCode::OK, "")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// The log of the workers' events, from the index in the path's query on.
    fn log(&self, request: &Request) -> Response {
        let first = request.uri().query().and_then(|query| query.parse().ok());
        http::json(StatusCode::OK, &self.site.state().log.since(first.unwrap_or_default()))
    }

    /// Writes a record as an operator would. The path's query is the key.
    async fn put(&self, request: &mut Request) -> Response {
        let key = request.uri().query().unwrap_or_default().to_owned();
        match http::read_body(request, MAX_BODY_BYTES).await {
            Ok(body) => {
                let revision = self.site.state().store.put(&key, body.to_vec(), 0);
                self.site.note_change();
                http::json(StatusCode::OK, &json!({ "revision": revision }))
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// Takes a record back as an operator would. The path's query is the key.
    fn remove(&self, request: &Request) -> Response {
        self.site.state().store.delete(request.uri().query().unwrap_or_default());
        self.site.note_change();
        http::text(StatusCode::OK, "")
    }
}
