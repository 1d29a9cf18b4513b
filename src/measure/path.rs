//! The path of a request: calls through one node against the same calls straight to an endpoint.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

use crate::{
    demo::{self, nodes::Fleet},
    entry::headers,
    error::Error,
    measure::{Figures, target::resident},
    model::{
        config::{Config, FailureDomain, Pool, Resources, Service, Team},
        request::Class,
        unit::{Megabytes, Millicores, PerSecond},
    },
    preset::{HOST, Preset},
    settings::node::Policy,
    standin::endpoint,
};

/// Bytes of an answer in the second part.
const LARGE: u32 = 64 * 1024;

/// What one part came to.
struct Part {
    name: &'static str,
    latency: Histogram<u64>,
    took: Duration,
    failed: u32,
    /// Processor time of the node's threads.
    cpu: Duration,
}

/// Times the calls.
pub(crate) fn measure(callers: u32, requests: u32) -> Result<Figures, Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::system("start threads", error))?;
    let figures = runtime.block_on(run(callers, requests));
    runtime.shutdown_background();
    figures
}

async fn run(callers: u32, requests: u32) -> Result<Figures, Error> {
    let preset = preset();
    let fleet = Fleet::start(&preset, 1).await?;
    let client = fleet.client(0);
    demo::apply_config(&client, &preset.config).await?;
    demo::wait_until_ready(&client, &preset.config).await?;
    let options = endpoint::Options {
        listen: "127.0.0.1:0".to_owned(),
        slots: 1024,
        connections: 4096,
        work: Duration::ZERO,
    };
    let straight = endpoint::start(&options, Arc::default()).await;
    let straight = straight.map_err(|error| Error::system("listen on loopback", error))?;
    let direct = format!("http://{}/work", straight.address);
    let through = format!("http://{}/echo/work", fleet.nodes[0].callers);
    let before = resident();
    // One after the other, so that neither disturbs the other; the first round warms both up.
    call("", &direct, 1, requests / 10, 0).await;
    call("", &through, 1, requests / 10, 0).await;
    let parts = [
        call("straight, 1 caller", &direct, 1, requests, 0).await,
        call("through a node, 1 caller", &through, 1, requests, 0).await,
        call("straight, many callers, 64 KB", &direct, callers, requests, LARGE).await,
        call("through a node, many callers, 64 KB", &through, callers, requests, LARGE).await,
    ];
    let grown = resident().saturating_sub(before);
    Ok(figures(&parts, callers, requests, grown))
}

fn figures(parts: &[Part], callers: u32, requests: u32, grown: u64) -> Figures {
    let rows = parts.iter().map(|part| {
        let millis = |quantile| part.latency.value_at_quantile(quantile) as f64 / 1000.0;
        vec![
            part.name.to_owned(),
            format!("{:.3}", millis(0.5)),
            format!("{:.3}", millis(0.99)),
            format!("{:.0}", f64::from(requests) / part.took.as_secs_f64()),
            format!("{:.1}", part.cpu.as_secs_f64() * 1000.0 / (f64::from(requests) / 1000.0)),
            part.failed.to_string(),
        ]
    });
    let median = |part: &Part| part.latency.value_at_quantile(0.5) as f64 / 1000.0;
    Figures {
        title: format!("{requests} calls in each part; {callers} callers in the last two"),
        heading: vec!["part", "p50 ms", "p99 ms", "requests/s", "node CPU ms per 1000", "failed"],
        rows: rows.collect(),
        notes: vec![
            format!(
                "Added at the median by the node, one caller: {:.3} ms.",
                median(&parts[1]) - median(&parts[0])
            ),
            format!(
                "Memory of the whole process, with callers, endpoints and stand-ins: {:.0} MB, \
                 grown by {:.0} MB during the calls. The node's own is less.",
                resident() as f64 / f64::from(1 << 20),
                grown as f64 / f64::from(1 << 20)
            ),
        ],
    }
}

fn preset() -> Preset {
    let id = "only";
    let mut config = Config::default();
    config.pools.insert(id.parse().expect("an identifier"), Pool { hosts: 4 });
    config.teams.insert(id.parse().expect("an identifier"), Team { rate: PerSecond(1_000_000) });
    let service = Service {
        pool: id.parse().expect("an identifier"),
        team: id.parse().expect("an identifier"),
        class: Class::Normal,
        tasks: 4,
        need: Resources { cores: Millicores(1000), memory: Megabytes(1024), accelerators: 0 },
        max_down: 1,
        survive: FailureDomain::Rack,
        slots: 1024,
        connections: 4096,
        once: false,
        surge: true,
    };
    config.services.insert("echo".parse().expect("an identifier"), service);
    Preset {
        name: "path",
        config,
        hosts: 4,
        rack_size: 1,
        zones: 1,
        capacity: HOST,
        policy: Policy::BufferFirst,
    }
}

async fn call(name: &'static str, url: &str, callers: u32, requests: u32, bytes: u32) -> Part {
    let left = Arc::new(AtomicU32::new(requests));
    let client = reqwest::Client::builder().tcp_nodelay(true).build();
    let client = client.expect("a client without TLS needs nothing of the system");
    let (began, cpu) = (Instant::now(), node_cpu());
    let tasks: Vec<_> = (0..callers.max(1))
        .map(|caller| {
            let (client, url, left) = (client.clone(), url.to_owned(), left.clone());
            tokio::spawn(async move { one(&client, &url, caller, bytes, &left).await })
        })
        .collect();
    let mut latency = Histogram::new(3).expect("three digits are allowed");
    let mut failed = 0;
    for task in tasks {
        let Ok((own, own_failed)) = task.await else { continue };
        let _ = latency.add(&own);
        failed += own_failed;
    }
    Part { name, latency, took: began.elapsed(), failed, cpu: node_cpu().saturating_sub(cpu) }
}

async fn one(
    client: &reqwest::Client,
    url: &str,
    caller: u32,
    bytes: u32,
    left: &AtomicU32,
) -> (Histogram<u64>, u32) {
    let mut latency = Histogram::new(3).expect("three digits are allowed");
    let mut failed = 0;
    while left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1)).is_ok() {
        let id = format!("{caller}-{}", latency.len());
        let began = Instant::now();
        let sent = client
            .get(url)
            .header(headers::TEAM, "only")
            .header(headers::REQUEST_ID, &id)
            .header("x-work-ms", "0")
            .header("x-answer-bytes", bytes.to_string())
            .send()
            .await;
        let whole = match sent {
            Ok(answer) => {
                let body = answer.bytes().await;
                body.is_ok_and(|body| endpoint::is_answer_to(&body, &id))
            }
            Err(_) => false,
        };
        failed += u32::from(!whole);
        let _ = latency.record(began.elapsed().as_micros() as u64);
    }
    (latency, failed)
}

/// Processor time of all threads that nodes run on.
pub(crate) fn node_cpu() -> Duration {
    /// Clock ticks a second, as the kernel reports processor time.
    const TICKS: u64 = 100;
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let mut ticks = 0;
    for thread in threads.flatten() {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        let Some((head, rest)) = stat.rsplit_once(')') else { continue };
        if !head.contains("(node-") {
            continue;
        }
        let fields: Vec<&str> = rest.split_whitespace().collect();
        // After the name: the 12th and 13th fields are time in user and system mode.
        let count = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        ticks += count(11) + count(12);
    }
    Duration::from_millis(ticks * 1000 / TICKS)
}
