//! Tests of what a node owns once it shuts down.

use tokio::runtime::Builder;

use super::{Op, Simulation};
use crate::scheduler::control_loop::Input;

/// A node that was stopped kept the fleet's work until its lease expired: no host was moved.
#[test]
fn a_node_that_shuts_down_releases_the_work_of_the_fleet() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    let acquire = Op::Acquire { fleet: true };
    for op in [Op::RenewLease, acquire, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick] {
        simulation.apply(op);
    }
    assert!(simulation.control_loop.fleet.is_some());
    simulation.control_loop.handle(Input::Shutdown);
    assert!(simulation.control_loop.fleet.is_none());
}
