//! A stand-in for the platform that scheduler nodes run on: its store, its list of hosts, and
//! workers that run tasks, each at an address of its own. It speaks what the platform speaks, and
//! counts what must never happen.

mod hosts;
mod life;
mod log;
mod store;
#[cfg(test)]
mod tests;
mod trouble;
mod worker;

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
    standin::site::{log::Log, store::Store, worker::Worker},
};

/// Largest body that the stand-in reads.
const MAX_BODY: usize = 4 << 20;
/// Connections that each address takes.
const MAX_CONNECTIONS: usize = 1_024;
/// How long an answer that is to be lost is held: longer than any caller waits.
const LOST_FOR: Duration = Duration::from_secs(20);
/// How often leases and runs are looked at.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two reports of a worker.
const TICKS_PER_REPORT: u32 = 25;

/// How the stand-in is set up.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Where store, hosts and faults are; port 0 takes a free one.
    pub(crate) listen: String,
    pub(crate) workers: u32,
    /// Pools that the workers are spread over: `work`, `work-1` and so on.
    pub(crate) pools: u32,
    /// How long a worker takes for a task whose payload names no time.
    pub(crate) work: Duration,
    /// Whether workers tell when they started, and every other one starts again under the
    /// identifier that it had.
    pub(crate) keep_ids: bool,
}

/// What is wrong with the store, as switched over HTTP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Every call gets a 503.
    store_down: bool,
    /// Writes are done and not answered.
    store_lost: bool,
    /// Watches that are far behind get no answer, as if it were too long for the link.
    store_long_history: bool,
    /// Watches hear nothing while all other calls are answered, and are cut once that is over.
    store_watches_silent: bool,
    /// The watches' history is gone, once.
    store_compact: bool,
    /// Every call takes that much longer.
    store_slow_ms: u64,
    /// Writes are done that much later, and not answered.
    store_late_ms: u64,
    /// Only every so many writes, if not 0; the others are done at once.
    store_late_every: u64,
    /// The leases that are held end, once: all, or the one of a number.
    leases_over: Option<LeasesOver>,
}

/// Which leases end though they were renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum LeasesOver {
    All,
    /// Counted from the oldest, and from it again after the newest.
    Nth(usize),
}

/// Orders that a worker does not hear, by their tokens: they get no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Unheard {
    worker: usize,
    from: u64,
    /// The last of the tokens.
    to: u64,
}

/// The orders that a worker has heard under a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Heard {
    worker: usize,
    token: u64,
    orders: u32,
}

/// What must never happen, as counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
struct Counted {
    /// Runs that began while another of their task ran.
    twice: u32,
    /// Runs that began.
    starts: u32,
    /// Ends of runs as done.
    done: u32,
}

/// Everything, behind one lock that is held for short looks only.
struct State {
    began: Instant,
    store: Store,
    workers: Vec<Worker>,
    faults: Faults,
    unheard: Vec<Unheard>,
    counted: Counted,
    /// Orders that were heard, by worker and token.
    heard: BTreeMap<(usize, u64), u32>,
    log: Log,
}

/// The stand-in, as its addresses share it.
#[derive(Clone)]
struct Site {
    state: Arc<Mutex<State>>,
    /// Counts what watches and looks wait for.
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
    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Takes note of an order; whether the worker hears it.
    fn hears(&mut self, worker: usize, token: u64) -> bool {
        let deaf = |fault: &&Unheard| fault.worker == worker && fault.from <= token;
        if self.unheard.iter().filter(deaf).any(|fault| token <= fault.to) {
            return false;
        }
        *self.heard.entry((worker, token)).or_default() += 1;
        true
    }

    fn heard(&self) -> Vec<Heard> {
        let heard = self.heard.iter();
        heard
            .map(|((worker, token), orders)| Heard {
                worker: *worker,
                token: *token,
                orders: *orders,
            })
            .collect()
    }
}

/// Starts the stand-in.
pub(crate) async fn start(options: Options) -> io::Result<Running> {
    let state = State {
        began: Instant::now(),
        store: Store::default(),
        workers: Vec::new(),
        faults: Faults::default(),
        unheard: Vec::new(),
        counted: Counted::default(),
        heard: BTreeMap::new(),
        log: Log::default(),
    };
    let site = Site { state: Arc::new(Mutex::new(state)), changed: watch::channel(0).0 };
    for number in 0..options.workers {
        let (listener, address) = http::listen("127.0.0.1:0").await?;
        let pool = worker::pool(number % options.pools.max(1));
        let born = options.keep_ids.then(life::today);
        let worker = Worker::new(number, pool, &address.to_string(), options.work, born);
        site.state().workers.push(worker);
        let endpoint = worker::Face { site: site.clone(), number: number as usize };
        tokio::spawn(http::serve(listener, MAX_CONNECTIONS, endpoint, http::Stop::default()));
    }
    let (listener, address) = http::listen(&options.listen).await?;
    let endpoint = Face { site: site.clone() };
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
                worker.come_back(now);
                changed |= worker.run(now, &mut state.counted, &mut state.log);
                for key in worker.take_stale(now) {
                    state.store.take_away(&key);
                    changed = true;
                }
                if ticks % TICKS_PER_REPORT == 0 && worker.is_up() {
                    state.store.put(&worker.report_key(), worker.report(), 0);
                    changed = true;
                }
            }
            changed
        };
        ticks += 1;
        if changed {
            site.note_change();
        }
        sleep(TICK).await;
    }
}

/// The address of store, hosts and faults.
struct Face {
    site: Site,
}

impl Endpoint for Face {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let path = request.uri().path().to_owned();
        let response = match path.as_str() {
            "/faults" => self.set_faults(&mut request).await,
            "/unheard" => self.set_unheard(&mut request).await,
            "/heard" => http::json(StatusCode::OK, &self.site.state().heard()),
            "/trouble" => trouble::set(&self.site, &mut request).await,
            "/log" => self.log(&request),
            "/put" => self.put(&mut request).await,
            "/counted" => http::json(StatusCode::OK, &self.site.state().counted),
            "/-/machines" => hosts::list(&self.site),
            "/-/machine-move" => hosts::move_host(&self.site, &mut request).await,
            "/-/machine-upkeep" => hosts::maintain(&self.site, &mut request).await,
            _ => store::answer(&self.site, &path, &mut request).await,
        };
        Ok(response)
    }
}

impl Face {
    async fn set_faults(&self, request: &mut Request) -> Response {
        match http::read_json::<Faults>(request, MAX_BODY).await {
            Ok(faults) => {
                let mut state = self.site.state();
                if faults.store_compact {
                    state.store.compact();
                }
                match faults.leases_over {
                    Some(LeasesOver::All) => state.store.end_leases(None),
                    Some(LeasesOver::Nth(number)) => state.store.end_leases(Some(number)),
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

    async fn set_unheard(&self, request: &mut Request) -> Response {
        match http::read_json::<Vec<Unheard>>(request, MAX_BODY).await {
            Ok(unheard) => {
                self.site.state().unheard = unheard;
                http::text(StatusCode::OK, "")
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// What workers did, from the event on whose number the path's query is.
    fn log(&self, request: &Request) -> Response {
        let first = request.uri().query().and_then(|query| query.parse().ok());
        http::json(StatusCode::OK, &self.site.state().log.since(first.unwrap_or_default()))
    }

    /// Writes a record in the operator's name: the path's query is the key.
    async fn put(&self, request: &mut Request) -> Response {
        let key = request.uri().query().unwrap_or_default().to_owned();
        match http::read_body(request.take_body(), MAX_BODY).await {
            Ok(body) => {
                let revision = self.site.state().store.put(&key, body.to_vec(), 0);
                self.site.note_change();
                http::json(StatusCode::OK, &json!({ "revision": revision }))
            }
            Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}
