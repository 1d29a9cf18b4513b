//! Tests of what a node does while its view is behind, with all times given.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::runtime::{Builder, Runtime};

use super::{Op, World};
use crate::{
    jobs::owner::LEASE_MS,
    model::{
        queue::{PoolRules, QueueConfig},
        unit::{Now, Revision},
    },
    platform::records::{OPERATOR_PREFIX, WORKER_PREFIX},
    scheduler::{
        drive::{Input, OverwriteEnd, json as bytes},
        keys,
        view::age::{RECORDS_MS, WORD_MS},
    },
};

const POOL: &str = "pool-work";

/// A node whose lease is renewed all the while, and the time.
struct Play {
    world: World,
    now: Now,
}

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

impl Play {
    /// A node that owns nothing.
    fn start() -> Play {
        let mut world = World::new();
        world.apply(Op::Renew);
        let now = world.node.now();
        let mut play = Play { world, now };
        play.list("one");
        play
    }

    /// Lists a node that may own work.
    fn list(&mut self, node: &str) {
        self.world.write(keys::node(node), bytes(&json!({ "cpu": 500 })));
    }

    fn configure(&self, config: QueueConfig) {
        self.world.node.view().config = Some(Arc::new(config));
    }

    /// The node wins the fleet's work, or a pool.
    fn win(&mut self, fleet: bool) {
        for op in [Op::Reach { fleet }, Op::Reached, Op::Show, Op::Step] {
            self.world.apply(op);
        }
        assert!(self.owns(fleet));
    }

    fn owns(&self, fleet: bool) -> bool {
        let drive = &self.world.drive;
        if fleet { drive.fleet.is_some() } else { drive.owned.contains_key(POOL) }
    }

    /// The watches are answered: nothing has changed until now.
    fn hear(&self) {
        self.world.hear(self.now.steady);
    }

    fn pass(&mut self, millis: u64) {
        let now = self.now.steady.after(millis);
        self.now.steady = now;
        let lease = self.world.lease.last().unwrap();
        self.world.lease.renewed(lease, now, Duration::from_millis(LEASE_MS), now);
    }
}

/// What users saw: hosts were moved by what had been asked for nine seconds before, while queues that
/// waited got none. Evidence: the owner's plans beside the pools' own summaries of the same moments.
#[test]
fn no_plan_is_made_for_the_fleet_from_a_view_that_is_old() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.configure(QueueConfig::default());
    play.win(true);
    // Each plan is told of in the log, at most once a second.
    let mut plans = |millis: u64, heard: bool| {
        play.pass(millis);
        if heard {
            play.hear();
        }
        let before = play.world.drive.next_fleet_summary;
        play.world.drive.fleet_step(play.now);
        play.world.drive.next_fleet_summary != before
    };
    assert!(!plans(1_500, false), "nothing was heard of yet");
    assert!(plans(1_500, true));
    assert!(plans(RECORDS_MS, false));
    assert!(!plans(1_500, false));
    assert!(plans(1_500, true));
}

#[test]
fn work_is_given_back_by_a_node_that_stays_behind_while_its_lease_holds() {
    for fleet in [true, false] {
        let runtime = runtime();
        let _entered = runtime.enter();
        let mut play = Play::start();
        play.win(fleet);
        play.hear();
        play.world.drive.give_if_behind(play.now);
        let mut owns_after = |millis, successor| {
            play.pass(millis);
            if successor {
                play.list("two");
            }
            play.world.drive.give_if_behind(play.now);
            play.owns(fleet)
        };
        assert!(owns_after(4_000, true), "it may catch up yet");
        assert!(!owns_after(1, true));
    }
}

#[test]
fn work_is_kept_by_a_node_that_is_behind_if_there_is_no_other() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.win(true);
    play.hear();
    play.world.drive.give_if_behind(play.now);
    for _ in 0..5 {
        play.pass(1_500);
        play.world.drive.give_if_behind(play.now);
    }
    assert!(play.owns(true));
}

/// When all nodes are behind, work must not go round between them.
#[test]
fn work_that_a_node_has_won_while_it_was_behind_is_kept() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.list("two");
    let early = play.now.steady;
    play.world.node.clock.stand_still(RECORDS_MS + 1);
    play.world.apply(Op::Renew);
    play.now = play.world.node.now();
    play.world.hear(early);
    play.win(true);
    for _ in 0..5 {
        play.pass(1_500);
        play.world.drive.give_if_behind(play.now);
    }
    assert!(play.owns(true), "it was never kept up");
    play.hear();
    play.world.drive.give_if_behind(play.now);
    for _ in 0..5 {
        play.pass(1_500);
        play.world.drive.give_if_behind(play.now);
    }
    assert!(!play.owns(true));
}

#[test]
fn a_node_that_is_behind_reaches_for_work_after_the_others() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    let mut config = QueueConfig::default();
    config.pools.insert("work".parse().unwrap(), PoolRules { off: false, guards: true });
    play.configure(config);
    for prefix in [OPERATOR_PREFIX, keys::ALL, keys::ROOT, WORKER_PREFIX] {
        play.world.node.view().note_answer(prefix, play.now.steady);
    }
    let reaches = |play: &mut Play| {
        play.world.drive.reach(play.now);
        play.world.drive.vacant.values().any(|vacancy| vacancy.reaching)
    };
    assert!(!reaches(&mut play));
    play.pass(1_500);
    assert!(!reaches(&mut play), "others come first");
    play.pass(1_500);
    assert!(reaches(&mut play), "nobody came");
    play.world.drive.vacant.clear();
    play.hear();
    reaches(&mut play);
    play.pass(600);
    assert!(reaches(&mut play), "it is not behind any more");
}

/// A write that asks for a confirmation carried the word with it, and made one that was old count as
/// new at the nodes that add words up.
#[test]
fn a_confirmation_is_asked_for_without_a_word_by_an_owner_that_does_not_hear_of_jobs() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.hear();
    play.win(false);
    // The lease is renewed too late, and the owner's own watch stays silent.
    play.pass(2 * RECORDS_MS);
    let before = play.world.drive.owned[POOL].word.on_way;
    play.world.drive.ask_confirmation(POOL, play.now);
    let owned = &play.world.drive.owned[POOL];
    assert!(play.now.steady < owned.next_confirmation, "it was asked for");
    assert_eq!(owned.word.on_way, before);
}

/// Calls to hosts and orders that wait to be sent outlived the ownership that was given back: the next
/// owner had won the work before they were made.
#[test]
fn what_was_decided_on_before_work_was_given_back_is_not_sent_after_it() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.win(true);
    play.win(false);
    let drive = &mut play.world.drive;
    let calls = drive.fleet.as_ref().unwrap().tenure.clone();
    let orders = drive.owned[POOL].tenure.clone();
    assert!(calls.holds(play.now.steady) && orders.allows_orders(play.now.steady));
    drive.hand_over(keys::FLEET.to_owned(), play.now);
    drive.hand_over(POOL.to_owned(), play.now);
    assert!(!calls.holds(play.now.steady), "a call to a host");
    assert!(!orders.allows_orders(play.now.steady), "an order to a worker");
}

/// A pool whose count did not change was told of so seldom that its word was too old, for half a second
/// of each pause, at nodes that add words up: a watch of these waits for half a second, and the next
/// one is sent as long after it.
#[test]
fn a_word_is_renewed_before_it_is_too_old_elsewhere() {
    const WATCH_MS: u64 = 500;
    const PAUSE_MS: u64 = 500;
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut play = Play::start();
    play.hear();
    play.win(false);
    let (mut told, mut longest) = (play.now.steady, 0);
    for _ in 0..100 {
        play.pass(100);
        let (now, drive) = (play.now, &mut play.world.drive);
        let (name, token) = (POOL.to_owned(), drive.owned[POOL].owner.token);
        let (asked, at) = (now.steady, Revision(token));
        drive.take(Input::Followed { name: name.clone(), token, asked, at });
        drive.tell_queued(POOL, now);
        if drive.owned[POOL].word.on_way == 0 {
            continue;
        }
        let (counts, sent) = (drive.owned[POOL].owner.queued(), now.steady);
        let end = OverwriteEnd::Kept(Revision(1));
        drive.take(Input::Worded { name, token, counts, sent, end });
        longest = longest.max(sent.since(told));
        told = sent;
    }
    assert!(longest + WATCH_MS + PAUSE_MS <= WORD_MS, "renewed after {longest} ms");
}
