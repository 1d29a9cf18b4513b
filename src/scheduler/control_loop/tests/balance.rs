//! Tests of the release of a pool to a node with more free processor time.

use std::time::Duration;

use serde_json::json;
use tokio::runtime::Builder;

use super::{Op, Simulation, UNREACHABLE};
use crate::{
    jobs::owner::{LEASE_MS, RECORDS_BUILT},
    model::unit::{Millicores, Now},
    scheduler::{control_loop::json as bytes, keys, view::NodeRecord},
};

/// At a demand peak the record names thousands of tasks, and a node that releases a pool is busy.
#[test]
fn a_release_for_balance_builds_one_handover_record() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    let record = NodeRecord { cpu: Millicores(8_000), peers: None, secret: None, zone: None };
    simulation.apply_write(keys::node("large"), bytes(&record));
    for number in 0..600 {
        let entry = json!({ "service": "work", "address": UNREACHABLE, "zone": "z",
            "state": "ready", "machine": format!("h{number}"),
            "capacity": { "cpu": 32_000, "mem_mb": 64_000 }, "labels": ["a", "r"] });
        simulation.apply_write(format!("servers/w{number}"), bytes(&entry));
    }
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    assert!(simulation.control_loop.owned.contains_key("pool-work"));
    let now = simulation.node.now();
    let later = Now { steady: now.steady.after(3_000), ..now };
    let lease = simulation.lease.last().unwrap();
    let validity = Duration::from_millis(LEASE_MS);
    simulation.lease.note_renewed(lease, later.steady, validity, later.steady);
    RECORDS_BUILT.set(0);
    simulation.control_loop.rebalance(later);
    assert!(!simulation.control_loop.owned.contains_key("pool-work"), "the node is too busy");
    assert_eq!(RECORDS_BUILT.get(), 1);
}
