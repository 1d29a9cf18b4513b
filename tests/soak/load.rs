//! Callers: they hand jobs in, send them again, cancel some, and ask how they stand.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reqwest::Method;
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    check::{Count, Story},
    rig::{HOST, Rig, now_ms},
};

/// The mean of jobs that come to a pool, in a second.
const MEAN_JOBS: u64 = 3;

/// How long one pool has its turn, in milliseconds: five times the mean comes to it then, and a
/// twentieth of the mean to the others.
const TURN_MS: u64 = 3_000;

/// Time between two draws of whether a job comes.
const DRAW_MS: u64 = 10;

/// How often some node is asked how many jobs of some pool wait.
const COUNT_EVERY: Duration = Duration::from_millis(150);

/// Where some do, every so many jobs crash the workers that start their tasks.
const CRASHING_EVERY: u32 = 60;

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Taken,
    Refused,
    /// No such job.
    Gone,
    Unknown,
}

pub type Stories = Arc<Mutex<BTreeMap<String, Story>>>;

/// All callers.
pub struct Load {
    rig: Arc<Rig>,
    pub stories: Stories,
    pub counts: Mutex<Vec<Count>>,
    /// No more jobs come, and those that last are cancelled.
    over: AtomicBool,
}

impl Load {
    pub fn new(rig: &Arc<Rig>) -> Arc<Load> {
        let (stories, counts) = (Stories::default(), Mutex::default());
        Arc::new(Load { rig: rig.clone(), stories, counts, over: false.into() })
    }

    /// Hands jobs in for so long, and waits until all callers know how theirs ended.
    pub async fn run(self: Arc<Load>, seed: u64, patience: Duration) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x10ad);
        let (began, size) = (Instant::now(), self.rig.size);
        let mut callers = JoinSet::new();
        let mut number = 0;
        let mut counting = JoinSet::new();
        counting.spawn(self.clone().count(Pcg64Mcg::seed_from_u64(seed ^ 0xc0)));
        for at in (0..size.millis).step_by(DRAW_MS as usize) {
            sleep_until(began + Duration::from_millis(at)).await;
            for pool in 0..size.pools {
                let has_turn = at / TURN_MS % u64::from(size.pools) == u64::from(pool);
                let rate = if has_turn { MEAN_JOBS * 100 } else { MEAN_JOBS };
                // In jobs in 20 seconds.
                if rng.random_range(0..20_000 / DRAW_MS) < rate {
                    number += 1;
                    let id = format!("{:08x}{number:08x}", seed as u32);
                    let mut story = draw(&mut rng, pool);
                    story.crashes = size.crashes && number % CRASHING_EVERY == 0;
                    let rng = Pcg64Mcg::seed_from_u64(rng.random());
                    callers.spawn(self.clone().call(id, story, rng));
                }
            }
        }
        self.over.store(true, Ordering::Relaxed);
        self.rig.heal().await;
        let all = async { while callers.join_next().await.is_some() {} };
        // Whoever has not been told by then finds its job lost.
        let _ = tokio::time::timeout(patience, all).await;
    }

    /// Asks now and then how many jobs wait.
    async fn count(self: Arc<Load>, mut rng: Pcg64Mcg) {
        loop {
            sleep(COUNT_EVERY).await;
            let node = &self.rig.nodes[rng.random_range(0..self.rig.nodes.len())];
            let pool = rng.random_range(0..self.rig.size.pools);
            let request = self.rig.client.get(format!("http://{}/q{pool}/", node.callers));
            let request = request.header("Host", HOST).header("Deadline-Ms", "2500");
            let asked = now_ms();
            let Ok(answer) = request.send().await else {
                continue;
            };
            let Ok(body) = answer.json::<Value>().await else {
                continue;
            };
            if let Some(waiting) = body["pending"].as_u64() {
                let node = node.name.clone();
                let (answered, waiting) = (now_ms(), waiting as usize);
                self.counts.lock().unwrap().push(Count { node, pool, asked, answered, waiting });
            }
        }
    }

    async fn call(self: Arc<Load>, id: String, story: Story, mut rng: Pcg64Mcg) {
        let (body, lasts) = (story.body(), story.lasts);
        let cancel = story.cancel_after;
        self.stories.lock().unwrap().insert(id.clone(), story);
        if !self.hand_in(&id, &body, &mut rng).await {
            return;
        }
        let accepted = Instant::now();
        let mut resend = rng.random_ratio(1, 4).then(|| rng.random_range(0..5_000));
        let mut wants_cancel = cancel.is_some();
        loop {
            let age = accepted.elapsed().as_millis() as u64;
            if resend.is_some_and(|at| at <= age) {
                resend = None;
                self.post(&id, &body, &mut rng).await;
            }
            let is_over = self.over.load(Ordering::Relaxed);
            if wants_cancel && (cancel.is_some_and(|at| at <= age) || lasts && is_over) {
                wants_cancel = !self.cancel(&id, &mut rng).await;
            }
            let state = self.ask(&id, &mut rng).await;
            if matches!(state.as_deref(), Some("succeeded" | "failed" | "cancelled")) {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(100..700))).await;
        }
        // Now and then a caller sends its job again long after it has ended.
        if rng.random_ratio(1, 4) {
            sleep(Duration::from_millis(rng.random_range(0..2_500))).await;
            self.post(&id, &body, &mut rng).await;
            self.ask(&id, &mut rng).await;
        }
    }

    /// Hands a job in until that is answered; tells whether it was taken.
    async fn hand_in(&self, id: &str, body: &Value, rng: &mut Pcg64Mcg) -> bool {
        let mut unsure = false;
        loop {
            match self.post(id, body, rng).await {
                Told::Taken => return true,
                Told::Unknown => unsure = true,
                // It was not taken by this try; an earlier one may have been.
                Told::Refused | Told::Gone if !unsure && rng.random_ratio(1, 2) => return false,
                Told::Refused | Told::Gone => {}
            }
            if self.over.load(Ordering::Relaxed) && !unsure {
                return false;
            }
            sleep(Duration::from_millis(rng.random_range(50..600))).await;
        }
    }

    async fn post(&self, id: &str, body: &Value, rng: &mut Pcg64Mcg) -> Told {
        self.send(Method::POST, id, Some(body), rng).await.0
    }

    async fn cancel(&self, id: &str, rng: &mut Pcg64Mcg) -> bool {
        let sent = now_ms();
        self.stories.lock().unwrap().get_mut(id).unwrap().cancelled.get_or_insert(sent);
        matches!(self.send(Method::DELETE, id, None, rng).await.0, Told::Taken | Told::Gone)
    }

    async fn ask(&self, id: &str, rng: &mut Pcg64Mcg) -> Option<String> {
        let (_, body) = self.send(Method::GET, id, None, rng).await;
        body?["state"].as_str().map(str::to_owned)
    }

    async fn send(
        &self,
        method: Method,
        id: &str,
        body: Option<&Value>,
        rng: &mut Pcg64Mcg,
    ) -> (Told, Option<Value>) {
        let node = &self.rig.nodes[rng.random_range(0..self.rig.nodes.len())];
        let pool = self.stories.lock().unwrap()[id].pool;
        let url = format!("http://{}/q{pool}/{id}", node.callers);
        let request = self.rig.client.request(method.clone(), url).header("Host", HOST);
        let request = request.header("Deadline-Ms", "2500");
        let request = match body {
            Some(body) => request.json(body),
            None => request,
        };
        let sent = now_ms();
        let (status, answer) = match request.send().await {
            Ok(answer) => (answer.status().as_u16(), answer.json().await.ok()),
            Err(error) if error.is_connect() => (503, None),
            Err(_) => (0, None),
        };
        let told = match status {
            200..300 => Told::Taken,
            429 | 503 | 400 | 404 => Told::Refused,
            410 => Told::Gone,
            _ => Told::Unknown,
        };
        let state = answer.as_ref().and_then(|body: &Value| body["state"].as_str());
        let line =
            format!("{method} at {} sent {sent}: {status} {}", node.name, state.unwrap_or(""));
        let mut stories = self.stories.lock().unwrap();
        let story = stories.get_mut(id).unwrap();
        story.told.push((now_ms(), line));
        match (&method, told) {
            (&Method::POST, Told::Taken) => story.accepted.get_or_insert(now_ms()),
            (&Method::POST, Told::Unknown) => story.unsure.get_or_insert(now_ms()),
            (&Method::GET, Told::Gone) if story.accepted.is_some_and(|at| at + 1_000 < sent) => {
                story.lost.get_or_insert(now_ms())
            }
            _ => &mut 0,
        };
        if let Some(state) = state {
            story.shown.push((now_ms(), state.to_owned()));
        }
        (told, answer)
    }
}

/// Draws a job.
fn draw(rng: &mut Pcg64Mcg, pool: u32) -> Story {
    let lasts = rng.random_ratio(1, 25);
    // Half of the jobs are short: they end while some node has not heard of them yet.
    let is_short = rng.random_bool(0.5);
    let steps = if lasts || is_short { 1 } else { rng.random_range(1..4) };
    let cancel_after = match lasts {
        true => Some(rng.random_range(1_500..12_000)),
        false => rng.random_ratio(1, 12).then(|| rng.random_range(0..2_500)),
    };
    Story {
        pool,
        steps: (0..steps).map(|_| rng.random_range(1..5)).collect(),
        cpu: rng.random_range(300..1_500),
        work: if is_short { rng.random_range(300..500) } else { rng.random_range(300..1_700) },
        fails: !lasts && rng.random_ratio(1, 30),
        lasts,
        cancel_after,
        ..Story::default()
    }
}

impl Story {
    fn body(&self) -> Value {
        let work = if self.lasts { 600_000 } else { self.work };
        let how = match self {
            Story { crashes: true, .. } => "crash ",
            Story { fails: true, .. } => "fail ",
            _ => "",
        };
        let spec = format!("{how}{work}");
        let step = |(number, count): (usize, &u32)| {
            let mut step = json!({ "count": count, "cpu": self.cpu, "mem_mb": 100 });
            step["estimated_ms"] = json!(self.work);
            if number != 0 {
                step["since_revision"] = json!([number - 1]);
            }
            if self.lasts {
                step["long_running"] = json!(true);
            }
            step
        };
        let steps: Vec<Value> = self.steps.iter().enumerate().map(step).collect();
        json!({ "spec": spec, "steps": steps })
    }
}
