//! Measures how late timers fire while other processes keep the processors busy. Run by hand,
//! because the figures depend on the machine:
//! `cargo test --locked --test lateness -- --ignored --nocapture`. It asserts nothing.
//!
//! A worker ends lapsed runs when one of its own timers fires; an owner that cannot reach the
//! worker adds a margin for this delay.

use std::{
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// Number of busy processes beside the measured one.
const BUSY_PROCESSES: usize = 24;

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(60);

/// Interval at which a worker checks for lapsed runs.
const TICK: Duration = Duration::from_millis(20);

/// A process that only consumes processor time; killed when dropped.
struct BusyProcess(Child);

impl BusyProcess {
    fn new() -> BusyProcess {
        let mut command = Command::new("sh");
        command.args(["-c", "while :; do :; done"]).stdin(Stdio::null());
        BusyProcess(command.spawn().expect("a shell can be started"))
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        let id = self.0.id();
        if let Err(error) = self.0.kill().and_then(|()| self.0.wait()) {
            eprintln!("busy process {id}: cannot be ended: {error}");
        }
    }
}

/// An empty histogram of lateness in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MEASUREMENT_TIME.as_micros() as u64, 3)
        .expect("three digits are allowed")
}

fn record(lateness: &mut Histogram<u64>, due: Instant) {
    lateness.saturating_record(due.elapsed().as_micros() as u64);
}

fn print_summary(name: &str, lateness: &Histogram<u64>) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    println!(
        "{name}: {} ticks, median {:.2} ms, 99 % {:.2} ms, 99.9 % {:.2} ms, max {:.2} ms",
        lateness.len(),
        millis(lateness.value_at_quantile(0.5)),
        millis(lateness.value_at_quantile(0.99)),
        millis(lateness.value_at_quantile(0.999)),
        millis(lateness.max()),
    );
}

fn measure_sleep() -> Histogram<u64> {
    let (mut lateness, started_at) = (histogram(), Instant::now());
    while started_at.elapsed() < MEASUREMENT_TIME {
        let due = Instant::now() + TICK;
        thread::sleep(TICK);
        record(&mut lateness, due);
    }
    lateness
}

fn measure_timer(runtime: tokio::runtime::Runtime) -> Histogram<u64> {
    runtime.block_on(async {
        let (mut lateness, started_at) = (histogram(), Instant::now());
        while started_at.elapsed() < MEASUREMENT_TIME {
            let due = Instant::now() + TICK;
            tokio::time::sleep(TICK).await;
            record(&mut lateness, due);
        }
        lateness
    })
}

#[test]
#[ignore = "a measurement of the machine that takes a minute"]
fn lateness_of_timers_beside_busy_processes() {
    let single_threaded = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let multi_threaded = tokio::runtime::Builder::new_multi_thread().enable_time().build();
    let (single_threaded, multi_threaded) =
        (single_threaded.expect("a runtime"), multi_threaded.expect("a runtime"));
    let _busy: Vec<BusyProcess> = (0..BUSY_PROCESSES).map(|_| BusyProcess::new()).collect();
    let sleeping = thread::spawn(measure_sleep);
    let alone = thread::spawn(|| measure_timer(single_threaded));
    let shared = thread::spawn(|| measure_timer(multi_threaded));
    print_summary("sleep of a thread", &sleeping.join().expect("the thread ends"));
    print_summary("timer of a runtime with one thread", &alone.join().expect("the thread ends"));
    print_summary("timer of a runtime with many threads", &shared.join().expect("the thread ends"));
}
