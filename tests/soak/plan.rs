//! What is injected when, as a seed draws it.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// What is done to a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Freeze,
    /// Its process stands still again and again, as one that has too little processor time.
    Slow,
    Term,
    Kill,
    Hup,
}

/// What is done to a node's way to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    Delay(u64),
    CutOut,
    CutIn,
    CutBoth,
    Refuse,
    Reset,
    /// Of the connections that are open one in so many falls silent for good.
    Silent(u64),
    /// The same, also of those that are opened while this lasts.
    Flaky(u64),
    /// Of the connections one in so many, counted from one of them, is held up again and again for
    /// so many milliseconds.
    Lag(u64, u64, u64),
    /// Watches hang, and all other calls are answered.
    NoWatch,
}

/// One injection.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    Node(usize, Signal),
    Way(usize, Harm),
    Store(Value),
    Worker(usize, Value),
    /// The owner of a pool, as it is then, is cut off or frozen or loses its lease, and single
    /// workers are cut off from whoever comes after.
    Owner(u32, Vec<What>, Vec<usize>),
}

/// When an injection begins, and how long it holds, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Injection {
    pub at: u64,
    pub lasts: u64,
    pub what: What,
}

/// The size of what is played.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub nodes: usize,
    pub workers: usize,
    pub pools: u32,
    pub millis: u64,
    /// The kind of fault that comes often; drawn if it is not given.
    pub often: Option<u32>,
    /// Whether some jobs crash the workers that start their tasks.
    pub crashes: bool,
    /// Whether every other worker starts again under the identifier that it had.
    pub keep_ids: bool,
}

/// Draws the injections of a seed.
pub fn draw(seed: u64, size: Size) -> Vec<Injection> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 2_500.min(size.millis / 4);
    // What comes often in this run: what takes several of one kind is seldom drawn otherwise.
    let drawn = rng.random_range(0..FAVOURITES);
    let often = size.often.unwrap_or(drawn);
    // Some seeds are calmer than others; between two series there is some calm.
    let pause = rng.random_range(150..900);
    while at < size.millis {
        let series = rng.random_range(1..5);
        for _ in 0..series {
            plan.push(one(&mut rng, at, size, often));
            at += rng.random_range(0..pause);
        }
        at += rng.random_range(0..3 * pause);
    }
    plan
}

/// How many kinds there are of what may come often.
pub const FAVOURITES: u32 = 10;

/// Kinds that come often only where they are asked for.
const SLOW_OWNERS: u32 = FAVOURITES;
const SILENT_WATCHES: u32 = FAVOURITES + 1;

fn favourite(rng: &mut Pcg64Mcg, often: u32, size: Size) -> What {
    let whats = match often {
        0 => vec![What::Way(0, lag(rng))],
        1 => vec![What::Store(json!({ "leases_over": "all" })), What::Way(0, lag(rng))],
        2 => vec![What::Store(json!({ "leases_over": "all" }))],
        3 => vec![What::Node(0, Signal::Freeze)],
        4 => vec![What::Way(0, Harm::CutIn)],
        5 => vec![What::Way(0, Harm::Flaky(rng.random_range(2..4)))],
        6 => return What::Store(late(rng)),
        7 => vec![What::Store(json!({ "leases_over": "all" })), What::Way(0, Harm::NoWatch)],
        8 => vec![What::Way(0, Harm::NoWatch)],
        SLOW_OWNERS => vec![What::Node(0, Signal::Slow)],
        SILENT_WATCHES => return What::Store(json!({ "store_watches_silent": true })),
        _ => return What::Worker(rng.random_range(0..size.workers), trouble(rng)),
    };
    What::Owner(rng.random_range(0..size.pools), whats, cut_off(rng, size))
}

/// Workers that are cut off from later owners.
fn cut_off(rng: &mut Pcg64Mcg, size: Size) -> Vec<usize> {
    if rng.random_ratio(1, 4) {
        return (0..size.workers).collect();
    }
    let count = rng.random_range(0..4);
    (0..count).map(|_| rng.random_range(0..size.workers)).collect()
}

fn lag(rng: &mut Pcg64Mcg) -> Harm {
    let every = rng.random_range(2..6);
    Harm::Lag(every, rng.random_range(0..every), rng.random_range(200..1_450))
}

fn late(rng: &mut Pcg64Mcg) -> Value {
    json!({
        "store_late_ms": rng.random_range(300..4_000),
        "store_late_every": rng.random_range(1..6),
    })
}

fn one(rng: &mut Pcg64Mcg, at: u64, size: Size, often: u32) -> Injection {
    let node = rng.random_range(0..size.nodes);
    let worker = rng.random_range(0..size.workers);
    let lasts = match rng.random_range(0..3) {
        0 => rng.random_range(300..1_500),
        1 => rng.random_range(1_500..5_000),
        _ => rng.random_range(5_000..12_000),
    };
    let what = match rng.random_range(0..20) {
        10.. => favourite(rng, often, size),
        0..2 => What::Node(node, signal(rng)),
        2..5 => What::Way(node, harm(rng)),
        5 => What::Store(store(rng)),
        6..8 => What::Worker(worker, trouble(rng)),
        _ => {
            let most = rng.random_range(1..3);
            let whats = (0..most).map(|_| owners(rng)).collect();
            What::Owner(rng.random_range(0..size.pools), whats, cut_off(rng, size))
        }
    };
    // What harms all at once is short.
    let lasts = if matches!(what, What::Store(_)) { lasts.min(2_500) } else { lasts };
    Injection { at, lasts, what }
}

fn owners(rng: &mut Pcg64Mcg) -> What {
    match rng.random_range(0..8) {
        0..2 => What::Node(0, signal(rng)),
        2..4 => What::Store(json!({ "leases_over": "all" })),
        _ => What::Way(0, harm(rng)),
    }
}

fn signal(rng: &mut Pcg64Mcg) -> Signal {
    match rng.random_range(0..10) {
        0..6 => Signal::Freeze,
        6..8 => Signal::Kill,
        8 => Signal::Term,
        _ => Signal::Hup,
    }
}

fn harm(rng: &mut Pcg64Mcg) -> Harm {
    match rng.random_range(0..11) {
        10 => Harm::NoWatch,
        0 => Harm::Delay(rng.random_range(20..600)),
        1 => Harm::CutOut,
        2 => lag(rng),
        3 => Harm::CutIn,
        4 => Harm::CutBoth,
        5 => Harm::Refuse,
        6 => Harm::Reset,
        7 => Harm::Flaky(rng.random_range(2..5)),
        _ => Harm::Silent(rng.random_range(1..4)),
    }
}

fn store(rng: &mut Pcg64Mcg) -> Value {
    match rng.random_range(0..7) {
        0 => json!({ "store_down": true }),
        1 => json!({ "store_lost": true }),
        2 => json!({ "store_compact": true }),
        3 => json!({ "store_slow_ms": rng.random_range(100..900) }),
        4 => json!({ "leases_over": { "nth": rng.random_range(0..8) } }),
        _ => late(rng),
    }
}

fn trouble(rng: &mut Pcg64Mcg) -> Value {
    match rng.random_range(0..7) {
        0 => json!({ "late_ms": rng.random_range(100..3_000) }),
        1 => json!({ "mute": true }),
        2 => json!({ "cut": "all" }),
        3 => json!({ "cut": "newer" }),
        4 => json!({ "cut": "older" }),
        5 => json!({ "crash_ms": rng.random_range(100..4_000) }),
        _ => json!({ "fails": true }),
    }
}
