//! What a process uses of its machine, as the kernel reports it.

use std::{fs, time::Duration};

use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{interval, sleep},
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The state of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

#[derive(Debug, Clone, Copy, Default)]
struct Peak {
    /// Resident memory, and bytes that have arrived and are not read yet.
    memory_bytes: u64,
    descriptors: usize,
}

/// Samples a process until it is checked.
pub(crate) struct Usage {
    process: u32,
    stop: watch::Sender<bool>,
    sampler: JoinHandle<Peak>,
}

/// The port of an address.
pub(crate) fn port(address: &str) -> u16 {
    address.rsplit(':').next().unwrap().parse().unwrap()
}

impl Usage {
    /// Watches a process that listens at ports.
    pub(crate) fn watch(process: u32, ports: Vec<u16>) -> Usage {
        let (stop, stopped) = watch::channel(false);
        let sampler = tokio::spawn(async move {
            let mut peak = Peak::default();
            let mut ticks = interval(SAMPLE_INTERVAL);
            while !*stopped.borrow() {
                ticks.tick().await;
                let memory = status_bytes(process, "VmRSS:") + unread_bytes(&ports);
                peak.memory_bytes = peak.memory_bytes.max(memory);
                peak.descriptors = peak.descriptors.max(descriptors(process));
            }
            peak
        });
        Usage { process, stop, sampler }
    }

    /// Checks the peaks against what the process may use.
    pub(crate) async fn check(self, memory_mb: u64, max_descriptors: usize) {
        sleep(SAMPLE_INTERVAL).await;
        let resident = status_bytes(self.process, "VmHWM:");
        self.stop.send(true).unwrap();
        let mut peak = self.sampler.await.unwrap();
        peak.memory_bytes = peak.memory_bytes.max(resident);
        println!("peak of {} MB, {} descriptors", peak.memory_bytes >> 20, peak.descriptors);
        assert!(peak.memory_bytes < memory_mb << 20, "over {memory_mb} MB: {peak:?}");
        assert!(peak.descriptors <= max_descriptors, "over {max_descriptors}: {peak:?}");
    }
}

/// A size in `/proc/PID/status`; 0 if the process has ended.
fn status_bytes(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) << 10
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Bytes in the receive queues of connections to local ports.
fn unread_bytes(ports: &[u16]) -> u64 {
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = sockets.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let (state, queues) = (fields.nth(1)?, fields.next()?);
        let port = u16::from_str_radix(port, 16).ok()?;
        let (_, received) = queues.split_once(':')?;
        let received = u64::from_str_radix(received, 16).ok()?;
        (ports.contains(&port) && state != LISTENING).then_some(received)
    });
    unread.sum()
}
