//! How late timers fire in a process beside busy ones. Run by hand, since its figures are of the
//! machine: `cargo test --locked --test lateness -- --ignored --nocapture`. Nothing is judged.
//!
//! A worker ends what has lapsed when a timer of its own fires; an owner that does not reach it
//! reckons with a margin for that.

use std::{
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// Busy processes beside the one that is measured.
const BUSY: usize = 24;

/// How long is measured.
const SPAN: Duration = Duration::from_secs(60);

/// How often a worker looks at its time.
const TICK: Duration = Duration::from_millis(20);

/// A process that only takes processor time, and ends with this value.
struct Busy(Child);

impl Busy {
    fn new() -> Busy {
        let mut command = Command::new("sh");
        command.args(["-c", "while :; do :; done"]).stdin(Stdio::null());
        Busy(command.spawn().expect("a shell can be started"))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let id = self.0.id();
        if let Err(error) = self.0.kill().and_then(|()| self.0.wait()) {
            eprintln!("busy process {id}: not ended: {error}");
        }
    }
}

/// Lateness in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(SPAN.as_micros() as u64, 3).expect("three digits are allowed")
}

fn note(lateness: &mut Histogram<u64>, due: Instant) {
    lateness.saturating_record(due.elapsed().as_micros() as u64);
}

fn tell(name: &str, lateness: &Histogram<u64>) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    println!(
        "{name}: {} ticks, median {:.2} ms, 99 % {:.2} ms, 99.9 % {:.2} ms, most {:.2} ms",
        lateness.len(),
        millis(lateness.value_at_quantile(0.5)),
        millis(lateness.value_at_quantile(0.99)),
        millis(lateness.value_at_quantile(0.999)),
        millis(lateness.max()),
    );
}

fn sleep_late() -> Histogram<u64> {
    let (mut lateness, began) = (histogram(), Instant::now());
    while began.elapsed() < SPAN {
        let due = Instant::now() + TICK;
        thread::sleep(TICK);
        note(&mut lateness, due);
    }
    lateness
}

fn timer_late(runtime: tokio::runtime::Runtime) -> Histogram<u64> {
    runtime.block_on(async {
        let (mut lateness, began) = (histogram(), Instant::now());
        while began.elapsed() < SPAN {
            let due = Instant::now() + TICK;
            tokio::time::sleep(TICK).await;
            note(&mut lateness, due);
        }
        lateness
    })
}

#[test]
#[ignore = "a measurement of the machine that takes a minute"]
fn lateness_of_timers_beside_busy_processes() {
    let one = tokio::runtime::Builder::new_current_thread().enable_time().build();
    let many = tokio::runtime::Builder::new_multi_thread().enable_time().build();
    let (one, many) = (one.expect("a runtime"), many.expect("a runtime"));
    let _busy: Vec<Busy> = (0..BUSY).map(|_| Busy::new()).collect();
    let sleeping = thread::spawn(sleep_late);
    let alone = thread::spawn(|| timer_late(one));
    let shared = thread::spawn(|| timer_late(many));
    tell("thread's sleep", &sleeping.join().expect("the thread ends"));
    tell("timer of a runtime with one thread", &alone.join().expect("the thread ends"));
    tell("timer of a runtime with many threads", &shared.join().expect("the thread ends"));
}
