//! Tests of the log lines and metrics that show whether an owner is late.

use std::time::{Duration, Instant};

use tokio::{runtime, sync::mpsc};

use super::{Op, Simulation, UNREACHABLE};
use crate::{
    jobs::{
        event::{Effect, Event},
        owner::Lateness,
        urgency::ByLateness,
    },
    model::{
        order::Addressee,
        unit::{Millicores, Steady},
        worker::{OrderResult, WorkerReport},
    },
    scheduler::{
        control_loop::{
            Input,
            loop_load::LoopLoad,
            order_counts::{CallingNode, OrderCounts, OrderSummary, PendingOrder},
            owner_load::OwnerLoad,
        },
        dispatch::link::{Links, Outgoing},
        metrics::Metrics,
    },
};

const POOL: &str = "pool-work";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owning_simulation() -> Simulation {
    let mut simulation = Simulation::new();
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    simulation
}

#[test]
fn the_line_of_the_control_loop_counts_each_part_once() {
    let start = Instant::now();
    let mut load = LoopLoad::new(start, millis(500));
    load.note_inputs(3, millis(60));
    load.note_inputs(1, millis(40));
    for wait in [180, 20, 40] {
        load.note_wait(millis(wait));
    }
    load.note_pause(millis(60), millis(150));
    load.note_pause(millis(12), millis(13));
    load.note_iteration(millis(20));
    load.note_plan(millis(50));
    load.note_iteration(millis(80));
    let summary = load.take(start + millis(1_250), millis(750));
    assert_eq!(
        summary.describe(Millicores(500), 120),
        "control loop: 2 iterations of up to 80 ms, 200 ms of the last 1250 ms: 100 ms events \
         (4 inputs), 50 ms decisions, 50 ms fleet (1 plans); answers waited up to 180 ms, \
         mean 80 ms; paused 163 ms, timers up to 90 ms late; view 120 ms old; \
         cpu 200 of 500 millicores"
    );
    let parts = [("events", 100), ("decisions", 50), ("fleet", 50), ("paused", 163)];
    assert_eq!(summary.parts(), parts.map(|(part, time)| (part, millis(time))));
}

/// The summary is taken within an iteration, after the fleet's plan.
#[test]
fn a_plan_of_the_current_iteration_counts_with_the_iteration() {
    let start = Instant::now();
    let mut load = LoopLoad::new(start, Duration::ZERO);
    load.note_plan(millis(50));
    let before = load.take(start + millis(1_000), Duration::ZERO);
    assert!(before.parts().iter().all(|(_, time)| time.is_zero()));
    load.note_iteration(millis(70));
    let after = load.take(start + millis(2_000), Duration::ZERO);
    assert_eq!(after.parts()[1..3], [("decisions", millis(20)), ("fleet", millis(50))]);
}

#[test]
fn a_node_that_owns_nothing_logs_no_load() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    simulation.apply(Op::Tick);
    let summary = |simulation: &mut Simulation| {
        simulation.control_loop.take_loop_summary(Instant::now(), Duration::ZERO)
    };
    assert!(summary(&mut simulation).is_none());
    assert!(!simulation.node.metrics.text().contains("caperhollow_loop_seconds_total{"));
    let mut simulation = owning_simulation();
    assert!(summary(&mut simulation).is_some());
    assert!(simulation.node.metrics.text().contains("caperhollow_loop_seconds_total{"));
}

#[test]
fn the_wait_of_each_answer_of_a_worker_is_counted() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = owning_simulation();
    let token = simulation.control_loop.owned[POOL].owner.token;
    for _ in 0..3 {
        let polled = Event::Polled {
            worker: "w1".parse().unwrap(),
            sent: Steady::default(),
            end: OrderResult::Unsent,
        };
        let (name, event) = (POOL.to_owned(), Box::new(polled));
        let queued = Instant::now();
        simulation.control_loop.handle(Input::OwnerEvent { name, token, queued, event });
        simulation.control_loop.handle(Input::Deltas(Vec::new()));
    }
    let metrics = simulation.node.metrics.text();
    assert!(metrics.contains("caperhollow_input_wait_seconds_count 3"), "{metrics}");
}

#[test]
fn the_orders_of_an_owner_are_counted_by_the_node_that_calls() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = owning_simulation();
    let (now, mut out) = (simulation.node.now(), Vec::new());
    let report = WorkerReport::placeholder(&"w1".parse().unwrap(), "work").unwrap();
    let owned = simulation.control_loop.owned.get_mut(POOL).unwrap();
    owned.owner.handle(Event::Worker(report), now, &mut out);
    simulation.apply(Op::Tick);
    let orders = simulation.control_loop.owned[POOL].order_counts.take_summary();
    assert_eq!((orders.sent, orders.sent_directly), (1, 1));
    let orders = simulation.control_loop.owned[POOL].order_counts.take_summary();
    assert_eq!((orders.sent, orders.pending), (0, 1), "only what was sent since the last summary");
}

#[test]
fn the_longest_delay_of_a_delegate_is_kept_until_the_summary() {
    let (counts, metrics) = (OrderCounts::default().into(), Metrics::new().into());
    for delay in [20, 410, 90] {
        let order = PendingOrder::new(&counts, &metrics, CallingNode::Other);
        order.note_delay(millis(delay));
    }
    let summary = OrderSummary { sent: 3, delegate_delay_ms: 410, ..OrderSummary::default() };
    assert_eq!(counts.take_summary(), summary);
    assert_eq!(counts.take_summary(), OrderSummary::default());
}

#[test]
fn the_line_of_an_owner_says_what_starts_and_waits_in_time() {
    let load = OwnerLoad {
        orders: OrderSummary {
            sent: 412,
            sent_directly: 31,
            delegate_delay_ms: 220,
            ..OrderSummary::default()
        },
        starts: ByLateness { in_time: 60, late: 15, too_late: 2 },
        lateness: Lateness {
            due: ByLateness { in_time: 30, late: 200, too_late: 70 },
            overdue_polls: 12,
        },
        delegates: 40,
        backing_off: 3,
    };
    assert_eq!(
        load.to_string(),
        "412 orders sent, 31 of them directly, delegates answered up to 220 ms late; \
         starts: 60 in time, 15 late, 2 too late; tasks due: 30 in time, 200 late, 70 too late; \
         12 polls overdue; 40 delegates, 3 backing off"
    );
}

#[tokio::test]
async fn a_link_that_cannot_be_opened_counts_as_backing_off() {
    let (report, mut results) = mpsc::unbounded_channel();
    let mut links = Links::default();
    assert_eq!(links.backing_off(), 0);
    let address = UNREACHABLE.to_owned();
    let to = Addressee { worker: "w1".parse().unwrap(), address, token: 1 };
    let order = Outgoing {
        effect: Effect::Poll { to, acknowledged: 0, until_ms: None, wait: Duration::ZERO },
        sent: Steady::default(),
        may_send: Box::new(|| true),
        on_result: Box::new(move |event, _| report.send(event).unwrap()),
    };
    links.send(UNREACHABLE.parse().unwrap(), vec![order]);
    assert!(results.recv().await.is_some());
    assert_eq!(links.backing_off(), 1);
}
