//! Orders to an incarnation of a worker that the next one carries out.

use super::{Delivery, HOSTS, Naming, Simulation, worker_of};
use crate::jobs::event::Effect;

/// Longer than any worker lease, in milliseconds.
const LONG_RUN_MS: u64 = 20_000;

fn is_start(effect: &Effect) -> bool {
    matches!(effect, Effect::Start { .. })
}

fn is_poll(effect: &Effect) -> bool {
    matches!(effect, Effect::Poll { .. })
}

fn acknowledges(effect: &Effect) -> bool {
    matches!(effect, Effect::Poll { acknowledged, .. } if *acknowledged != 0)
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

    /// The owner works until it requests a start, which is left pending.
    fn request_start(&mut self, owner: usize) -> (usize, usize) {
        self.work(owner);
        self.persist_roster(owner, Delivery::Delivered);
        self.work(owner);
        self.pending(owner, is_start).expect("a worker takes work")
    }

    /// The owner works for some time, or until it requests a poll that acknowledges ends, which is
    /// left pending.
    fn request_acknowledgement(&mut self, owner: usize) -> Option<(usize, usize)> {
        let limit = self.now + 10_000;
        while self.pending(owner, acknowledges).is_none() && self.now < limit {
            self.round(owner);
            self.advance(60);
            self.work(owner);
        }
        self.pending(owner, acknowledges)
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

    fn run_elsewhere(&self, host: usize) -> bool {
        (0..HOSTS).any(|other| other != host && !self.workers[other].runs.is_empty())
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
fn a_start_of_an_earlier_owner_at_a_restarted_worker_does_not_run_beside_another() {
    let mut simulation = Simulation::reused_names();
    simulation.submit(0);
    let (_, host) = simulation.request_start(0);
    simulation.toggle_drain(host);
    simulation.replace_owner(true);
    simulation.run_rounds(3);
    simulation.start_again(host);
    let (index, _) = simulation.pending(0, is_start).expect("it is in flight");
    assert!(simulation.now < simulation.owners[0].active_until);
    simulation.deliver_order(0, index, Delivery::Delivered);
    simulation.heal_and_check();
}

#[test]
fn a_late_start_of_an_earlier_owner_at_a_restarted_worker_does_not_run_beside_another() {
    let mut simulation = Simulation::reused_names();
    simulation.submit(0);
    let (index, host) = simulation.request_start(0);
    simulation.deliver_order(0, index, Delivery::Late);
    simulation.toggle_drain(host);
    simulation.advance(2_000);
    simulation.replace_owner(true);
    simulation.run_rounds(3);
    simulation.start_again(host);
    simulation.deliver_late(0);
    simulation.heal_and_check();
}

#[test]
fn a_late_start_that_the_earlier_incarnation_agreed_to_stop_does_not_run_beside_another() {
    let mut simulation = Simulation::reused_names();
    simulation.submit(0);
    let (index, host) = simulation.request_start(0);
    let sent = simulation.now;
    simulation.deliver_order(0, index, Delivery::Late);
    simulation.toggle_drain(host);
    while !simulation.run_elsewhere(host) && simulation.now < sent + 2_000 {
        simulation.run_rounds(1);
    }
    for other in 0..HOSTS {
        simulation.prolong_runs(other);
    }
    while simulation.now < sent + 2_000 {
        simulation.run_rounds(1);
    }
    assert!(simulation.now < sent + 12_000, "the start may still be carried out");
    simulation.start_again(host);
    simulation.deliver_late(0);
    simulation.heal_and_check();
}

#[test]
fn a_start_that_is_answered_after_its_run_was_given_up_does_not_run_beside_another() {
    let mut simulation = Simulation::reused_names();
    simulation.submit(0);
    let (_, host) = simulation.request_start(0);
    simulation.crash_or_restart(host);
    for _ in 0..300 {
        simulation.work(0);
        while let Some((index, _)) = simulation.pending(0, is_poll) {
            simulation.deliver_order(0, index, Delivery::Delivered);
        }
        simulation.persist_roster(0, Delivery::Delivered);
        simulation.advance(20);
    }
    simulation.crash_or_restart(host);
    let (index, _) = simulation.pending(0, is_start).expect("it is in flight");
    simulation.deliver_order(0, index, Delivery::Delivered);
    assert!(!simulation.workers[host].runs.is_empty(), "the next incarnation carries it out");
    simulation.work(0);
    simulation.persist_roster(0, Delivery::Delivered);
    simulation.work(0);
    while let Some((index, _)) = simulation.pending(0, is_start) {
        simulation.deliver_order(0, index, Delivery::Delivered);
    }
    simulation.heal_and_check();
}

#[test]
fn a_late_acknowledgement_does_not_discard_an_end_of_the_next_incarnation() {
    let mut simulation = Simulation::reused_names();
    for other in 1..HOSTS {
        simulation.toggle_drain(other);
    }
    simulation.submit(0);
    simulation.run_rounds(4);
    assert!(!simulation.workers[0].runs.is_empty());
    simulation.submit(0);
    let (index, host) = simulation.request_start(0);
    assert_eq!(host, 0);
    simulation.deliver_order(0, index, Delivery::Late);
    if let Some((index, _)) = simulation.request_acknowledgement(0) {
        simulation.deliver_order(0, index, Delivery::Late);
    }
    simulation.crash_or_restart(0);
    simulation.run_rounds(34);
    simulation.crash_or_restart(0);
    simulation.deliver_late(0);
    assert!(!simulation.workers[0].runs.is_empty(), "the late start is carried out");
    simulation.advance(800);
    simulation.deliver_late(0);
    simulation.heal_and_check();
}

#[test]
fn a_late_acknowledgement_before_a_late_start_does_not_discard_the_end_of_that_start() {
    let mut simulation = Simulation::reused_names();
    for other in 1..HOSTS {
        simulation.toggle_drain(other);
    }
    simulation.submit(0);
    simulation.run_rounds(4);
    let (index, _) = simulation.request_acknowledgement(0).expect("an end is counted");
    simulation.deliver_order(0, index, Delivery::Late);
    simulation.run_rounds(10);
    simulation.submit(0);
    simulation.work(0);
    simulation.persist_roster(0, Delivery::Delivered);
    simulation.work(0);
    if let Some((index, _)) = simulation.pending(0, is_start) {
        simulation.deliver_order(0, index, Delivery::Late);
    }
    simulation.crash_or_restart(0);
    simulation.run_rounds(34);
    simulation.crash_or_restart(0);
    simulation.deliver_late(1);
    simulation.advance(800);
    simulation.deliver_late(0);
    simulation.heal_and_check();
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
