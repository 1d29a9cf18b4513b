//! Orders to an incarnation of a worker that the next one carries out.

use super::{Delivery, HOSTS, Naming, Simulation, worker_of};
use crate::jobs::event::Effect;

/// Longer than any worker lease, in milliseconds.
const LONG_RUN_MS: u64 = 20_000;

fn is_poll(effect: &Effect) -> bool {
    matches!(effect, Effect::Poll { .. })
}

impl Simulation {
    /// Workers that start again under their names, all polled.
    fn reused_names() -> Simulation {
        let mut simulation = Simulation::with(0, Naming::Reused);
        simulation.run_rounds(4);
        simulation
    }

    /// The index of an owner's pending order, and its host.
    fn pending(&self, owner: usize, is_wanted: impl Fn(&Effect) -> bool) -> Option<(usize, usize)> {
        let orders = &self.owners[owner].orders;
        let index = orders.iter().position(|(effect, _)| is_wanted(effect))?;
        Some((index, self.host_of(worker_of(&orders[index].0)?)?))
    }

    fn start_again(&mut self, host: usize) {
        self.crash_or_restart(host);
        self.crash_or_restart(host);
    }

    fn prolong_runs(&mut self, host: usize) {
        for run in self.workers[host].runs.values_mut() {
            run.remaining_ms = LONG_RUN_MS;
        }
    }

    /// A host takes work, and is cut off until the owner takes its run for lapsed.
    fn lose_after_start(&mut self, host: usize) {
        self.run_rounds(20);
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.toggle_drain(other);
        }
        self.submit(0);
        self.run_rounds(4);
        assert!(!self.workers[host].runs.is_empty(), "the next incarnation takes work");
        self.prolong_runs(host);
        self.workers[host].disconnected.insert(0);
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.toggle_drain(other);
        }
        self.run_rounds(250);
    }
}

#[test]
fn a_late_poll_on_the_clock_of_the_earlier_incarnation_does_not_prolong_later_runs() {
    let mut simulation = Simulation::reused_names();
    simulation.run_rounds(200);
    simulation.run_rounds(200);
    simulation.work(0);
    for _ in 0..HOSTS {
        if let Some((index, host)) = simulation.pending(0, is_poll) {
            let how = if host == 0 { Delivery::Late } else { Delivery::Delivered };
            simulation.deliver_order(0, index, how);
        }
    }
    assert_eq!(simulation.late_orders.len(), 1, "the poll of the first worker is late");
    simulation.crash_or_restart(0);
    simulation.run_rounds(34);
    simulation.crash_or_restart(0);
    simulation.deliver_late(0);
    simulation.lose_after_start(0);
    simulation.heal_and_check();
}

#[test]
fn a_poll_that_meets_the_next_incarnation_does_not_prolong_its_later_runs() {
    let mut simulation = Simulation::reused_names();
    simulation.run_rounds(200);
    simulation.start_again(0);
    simulation.lose_after_start(0);
    simulation.heal_and_check();
}
