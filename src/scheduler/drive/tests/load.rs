//! What it takes of a node to hear and to decide, by counts of work.

use std::time::Duration;

use crate::{
    jobs::fleet::Leave,
    model::unit::Revision,
    platform::kv::Change,
    scheduler::{
        drive::{Input, json, news::LOOKED_AT, pause_after, tests::World},
        keys,
    },
};

use super::Op;

/// Hosts that are marked at one time.
const MARKED: usize = 600;

/// At a turn some 600 hosts are marked to change pools, and each mark was followed by a copy of all of
/// them, for each pool of the node: 360,000 entries looked at for 600 marks. Evidence: `measure mirror`, 49 us for
/// a mark with 600 marked hosts, where any other record takes less than 5.
#[test]
fn a_mark_costs_the_same_however_many_hosts_are_marked() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut world = World::new();
    for op in [Op::Renew, Op::Reach { fleet: false }, Op::Reached, Op::Show, Op::Step] {
        world.apply(op);
    }
    assert_eq!(world.drive.owned.len(), 1);
    let mark = json(&Leave::Move("other".parse().unwrap()));
    let changes = (0..MARKED).map(|number| Change {
        key: keys::leave(&format!("m-{number}").parse().unwrap()),
        revision: Revision(1_000 + number as u64),
        value: Some(mark.clone().into()),
    });
    let mut view = world.node.view();
    let deltas: Vec<_> = changes.filter_map(|change| view.apply(change)).collect();
    drop(view);
    assert_eq!(deltas.len(), MARKED);
    LOOKED_AT.set(0);
    world.drive.take(Input::Deltas(deltas));
    let looked_at = LOOKED_AT.get();
    assert!((MARKED..=2 * MARKED).contains(&looked_at), "{looked_at} marks looked at");
}

/// Deciding takes a quarter of a node's time at the most as long as decisions are short. Where one takes
/// long, the next is not put off by as much: tasks of 0.8 s that ended were waiting for it, with a
/// quarter of their pool's room free, and their callers were answered late.
#[test]
fn deciding_takes_a_quarter_of_the_time_and_is_never_put_off_for_longer_than_60_ms() {
    for took in [1, 5, 20].map(Duration::from_millis) {
        let pause = pause_after(took);
        assert!(3 * took <= pause, "{pause:?} after a decision of {took:?}");
    }
    for took in [1, 5, 20, 40, 80, 160].map(Duration::from_millis) {
        let pause = pause_after(took);
        assert!(pause <= Duration::from_millis(60), "{pause:?} after a decision of {took:?}");
    }
}
