//! The path of a request: calls through one node, compared with the same calls made directly to an
//! endpoint.

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
    measure::{Figures, target::resident_bytes},
    model::{
        config::{Config, FailureDomain, Pool, Resources, Service, Team},
        request::Class,
        unit::{Megabytes, Millicores, PerSecond},
    },
    preset::{HOST, Preset},
    settings::node::Policy,
    standin::endpoint,
};

/// Size of an answer in the last two parts, in bytes.
const LARGE_ANSWER_BYTES: u32 = 64 * 1024;

/// Measurements of one part.
struct Part {
    name: &'static str,
    latency: Histogram<u64>,
    took: Duration,
    failed: u32,
    /// Processor time of the node's threads during the calls.
    cpu: Duration,
}

/// Measures the latency of the calls.
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
    let direct_endpoint = endpoint::start(&options, Arc::default()).await;
    let direct_endpoint =
        direct_endpoint.map_err(|error| Error::system("listen on loopback", error))?;
    let direct_url = format!("http://{}/work", direct_endpoint.address);
    let node_url = format!("http://{}/echo/work", fleet.nodes[0].callers);
    let before = resident_bytes();
    // In sequence, so that the parts do not disturb each other; the first calls warm up both paths.
    run_calls("", &direct_url, 1, requests / 10, 0).await;
    run_calls("", &node_url, 1, requests / 10, 0).await;
    let parts = [
        run_calls("straight, 1 caller", &direct_url, 1, requests, 0).await,
        run_calls("through a node, 1 caller", &node_url, 1, requests, 0).await,
        run_calls(
            "straight, many callers, 64 KB",
            &direct_url,
            callers,
            requests,
            LARGE_ANSWER_BYTES,
        )
        .await,
        run_calls(
            "through a node, many callers, 64 KB",
            &node_url,
            callers,
            requests,
            LARGE_ANSWER_BYTES,
        )
        .await,
    ];
    let grown = resident_bytes().saturating_sub(before);
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
                "Increase of the median latency by the node, one caller: {:.3} ms.",
                median(&parts[1]) - median(&parts[0])
            ),
            format!(
                "Memory of the whole process, with callers, endpoints and stand-ins: {:.0} MB, \
                 {:.0} MB of which were added during the calls. The node itself uses less.",
                resident_bytes() as f64 / f64::from(1 << 20),
                grown as f64 / f64::from(1 << 20)
            ),
        ],
    }
}

fn preset() -> Preset {
    let id = "only";
    let mut config = Config::default();
    config.pools.insert(id.parse().expect("identifier is valid"), Pool { hosts: 4 });
    config
        .teams
        .insert(id.parse().expect("identifier is valid"), Team { rate: PerSecond(1_000_000) });
    let service = Service {
        pool: id.parse().expect("identifier is valid"),
        team: id.parse().expect("identifier is valid"),
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
    config.services.insert("echo".parse().expect("identifier is valid"), service);
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

async fn run_calls(name: &'static str, url: &str, callers: u32, requests: u32, bytes: u32) -> Part {
    let remaining = Arc::new(AtomicU32::new(requests));
    let client = reqwest::Client::builder().tcp_nodelay(true).build();
    let client = client.expect("HTTP client without TLS can be built");
    let (began, cpu) = (Instant::now(), node_cpu());
    let tasks: Vec<_> = (0..callers.max(1))
        .map(|caller| {
            let (client, url, remaining) = (client.clone(), url.to_owned(), remaining.clone());
            tokio::spawn(async move { run_caller(&client, &url, caller, bytes, &remaining).await })
        })
        .collect();
    let mut latency = Histogram::new(3).expect("three significant digits are valid");
    let mut failed = 0;
    for task in tasks {
        let Ok((own, own_failed)) = task.await else { continue };
        let _ = latency.add(&own);
        failed += own_failed;
    }
    Part { name, latency, took: began.elapsed(), failed, cpu: node_cpu().saturating_sub(cpu) }
}

async fn run_caller(
    client: &reqwest::Client,
    url: &str,
    caller: u32,
    bytes: u32,
    remaining: &AtomicU32,
) -> (Histogram<u64>, u32) {
    let mut latency = Histogram::new(3).expect("three significant digits are valid");
    let mut failed = 0;
    while remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1)).is_ok()
    {
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
        let is_complete = match sent {
            Ok(answer) => {
                let body = answer.bytes().await;
                body.is_ok_and(|body| endpoint::is_answer_to(&body, &id))
            }
            Err(_) => false,
        };
        failed += u32::from(!is_complete);
        let _ = latency.record(began.elapsed().as_micros() as u64);
    }
    (latency, failed)
}

/// Processor time of all threads of nodes.
pub(crate) fn node_cpu() -> Duration {
    /// Clock ticks per second, the unit in which the kernel reports processor time.
    const TICKS_PER_SECOND: u64 = 100;
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let mut ticks = 0;
    for thread in threads.flatten() {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        let Some((head, rest)) = stat.rsplit_once(')') else { continue };
        if !head.contains("(node-") {
            continue;
        }
        let fields: Vec<&str> = rest.split_whitespace().collect();
        // After the name, the 12th and 13th fields are the time in user and system mode.
        let count = |at: usize| fields.get(at).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        ticks += count(11) + count(12);
    }
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}
