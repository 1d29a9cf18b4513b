//! Tests of what a node does while its view is behind.

use std::sync::Arc;

use serde_json::json;
use tokio::runtime;

use super::{Op, World};
use crate::{
    model::queue::{PoolRules, QueueConfig},
    platform::records::{OPERATOR_PREFIX, WORKER_PREFIX},
    scheduler::{drive::json as bytes, keys, view::age::RECORDS_MS},
};

/// Less than what counts as standing still, in milliseconds.
const STEP_MS: u64 = 400;

/// Time passes, and the lease is renewed and the ownership confirmed all the while.
fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis / STEP_MS {
        world.node.clock.stand_still(STEP_MS);
        world.apply(Op::Renew);
        world.apply(Op::Step);
    }
}

fn list(world: &mut World, node: &str) {
    world.write(keys::node(node), bytes(&json!({ "cpu": 500 })));
}

/// A node that is known as ready for work in one pool, and owns some.
fn owning(fleet: bool) -> World {
    let mut world = World::new();
    world.node.view().config = Some(Arc::new(QueueConfig::default()));
    list(&mut world, "one");
    for op in [Op::Renew, Op::Reach { fleet }, Op::Reached, Op::Show, Op::Step] {
        world.apply(op);
    }
    world
}

fn owns(world: &World, fleet: bool) -> bool {
    if fleet { world.drive.fleet.is_some() } else { !world.drive.owned.is_empty() }
}

/// What users saw: hosts were moved by what had been asked for nine seconds before, while queues that
/// waited got none. Evidence: the owner's plans beside the pools' own summaries of the same moments.
#[test]
fn no_plan_is_made_for_the_fleet_from_a_view_that_is_old() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut world = owning(true);
    let first = world.drive.next_fleet_summary;
    pass(&mut world, 800);
    assert_eq!(world.drive.next_fleet_summary, first, "nothing was heard of yet");
    world.hear(world.node.now().steady);
    pass(&mut world, STEP_MS);
    let planned = world.drive.next_fleet_summary;
    assert_ne!(planned, first, "a plan was made");
    pass(&mut world, RECORDS_MS + 800);
    let last = world.drive.next_fleet_summary;
    pass(&mut world, RECORDS_MS);
    assert_eq!(world.drive.next_fleet_summary, last, "no more");
    world.hear(world.node.now().steady);
    pass(&mut world, STEP_MS);
    assert_ne!(world.drive.next_fleet_summary, last);
}

#[test]
fn work_is_given_back_by_a_node_that_stays_behind_while_its_lease_holds() {
    for fleet in [true, false] {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let _entered = runtime.enter();
        let mut world = owning(fleet);
        world.hear(world.node.now().steady);
        world.apply(Op::Step);
        pass(&mut world, 8_000);
        assert!(owns(&world, fleet), "there is no other node");
        list(&mut world, "two");
        pass(&mut world, STEP_MS);
        assert!(!owns(&world, fleet));
    }
}

#[test]
fn work_is_kept_by_a_node_that_is_behind_for_a_short_while() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut world = owning(true);
    list(&mut world, "two");
    for _ in 0..5 {
        world.hear(world.node.now().steady);
        pass(&mut world, 3_200);
    }
    assert!(owns(&world, true));
}

/// When all nodes are behind, work must not go round between them.
#[test]
fn work_that_a_node_has_won_while_it_was_behind_is_kept() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut world = World::new();
    world.hear(world.node.now().steady);
    pass(&mut world, 4_800);
    list(&mut world, "one");
    list(&mut world, "two");
    for op in [Op::Reach { fleet: true }, Op::Reached, Op::Show, Op::Step] {
        world.apply(op);
    }
    pass(&mut world, 8_000);
    assert!(owns(&world, true));
}

#[test]
fn a_node_that_is_behind_reaches_for_work_after_the_others() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let _entered = runtime.enter();
    let mut world = World::new();
    let mut config = QueueConfig::default();
    config.pools.insert("work".parse().unwrap(), PoolRules { off: false, guards: true });
    world.node.view().config = Some(Arc::new(config));
    let now = world.node.now().steady;
    for prefix in [OPERATOR_PREFIX, keys::ALL, keys::ROOT, WORKER_PREFIX] {
        world.node.view().note_answer(prefix, now);
    }
    list(&mut world, "one");
    world.hear(now);
    pass(&mut world, RECORDS_MS + 2 * STEP_MS);
    let name = "pool-work";
    world.drive.vacant.clear();
    let reaches = |world: &World| world.drive.vacant.get(name).is_some_and(|v| v.reaching);
    world.apply(Op::Step);
    pass(&mut world, 1_200);
    assert!(!reaches(&world), "others come first");
    pass(&mut world, 1_200);
    assert!(reaches(&world), "nobody came");
    world.drive.vacant.clear();
    world.hear(world.node.now().steady);
    pass(&mut world, 2 * STEP_MS);
    assert!(reaches(&world), "it is not behind any more");
}
