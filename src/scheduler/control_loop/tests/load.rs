//! Cost of inputs and decisions on a node, by counts of work.

use std::time::Duration;

use crate::{
    jobs::fleet::HostAction,
    model::unit::Revision,
    platform::kv::Change,
    scheduler::{
        control_loop::{Input, json, pause_after, tests::Simulation, updates::MARKS_CHECKED},
        keys,
    },
};

use super::Op;

/// Number of hosts marked at the same time.
const MARKED: usize = 600;

/// At a demand peak some 600 hosts are marked to change pools. For each mark all of them were
/// copied for each pool of the node: 360,000 entries checked for 600 marks. A mark took 49 us with
/// 600 marked hosts (`measure mirror`), any other record less than 5.
#[test]
fn the_cost_of_a_drain_mark_does_not_depend_on_the_number_of_marks() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut simulation = Simulation::new();
    for op in
        [Op::RenewLease, Op::Acquire { fleet: false }, Op::ConfirmAcquired, Op::ShowOwner, Op::Tick]
    {
        simulation.apply(op);
    }
    assert_eq!(simulation.control_loop.owned.len(), 1);
    let mark = json(&HostAction::Move("other".parse().unwrap()));
    let changes = (0..MARKED).map(|number| Change {
        key: keys::drain_mark(&format!("m-{number}").parse().unwrap()),
        revision: Revision(1_000 + number as u64),
        value: Some(mark.clone().into()),
    });
    let mut view = simulation.node.view();
    let deltas: Vec<_> = changes.filter_map(|change| view.apply(change)).collect();
    drop(view);
    assert_eq!(deltas.len(), MARKED);
    MARKS_CHECKED.set(0);
    simulation.control_loop.handle(Input::Deltas(deltas));
    let checked = MARKS_CHECKED.get();
    assert!((MARKED..=2 * MARKED).contains(&checked), "{checked} marks checked");
}

/// Decisions take at most a quarter of a node's time as long as they are short. After a long one
/// the pause is limited: otherwise, as tasks of 0.8 s ended, a quarter of their pool's capacity
/// stayed free until the next decision, and callers were answered late.
#[test]
fn decisions_take_at_most_a_quarter_of_the_time_and_pauses_at_most_60_ms() {
    for took in [1, 5, 20].map(Duration::from_millis) {
        let pause = pause_after(took);
        assert!(3 * took <= pause, "{pause:?} after a decision of {took:?}");
    }
    for took in [1, 5, 20, 40, 80, 160].map(Duration::from_millis) {
        let pause = pause_after(took);
        assert!(pause <= Duration::from_millis(60), "{pause:?} after a decision of {took:?}");
    }
}
