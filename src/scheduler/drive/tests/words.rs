//! Tests of the word of a pool's owner on how many jobs wait. Most nodes answer callers from these
//! words, and take one that was written lately for true.

use std::collections::BTreeMap;

use tokio::runtime::{self, Runtime};

use super::{Op, World, bytes};
use crate::{
    model::{
        job::{JobId, JobRecord},
        unit::{Now, Revision, Steady},
    },
    platform::kv::Change,
    scheduler::{
        drive::{Input, OverwriteEnd, Owned},
        keys,
        view::{OwnerRecord, age::RECORDS_MS},
    },
    tests::sample,
};

const POOL: &str = "pool-work";

/// Longer than an owner may know nothing of its jobs, in milliseconds.
const LONG_MS: u64 = 10_000;

fn runtime() -> Runtime {
    runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

/// A node that has won a pool, and has not heard so.
fn won() -> World {
    let mut world = World::new();
    // Something else was written before.
    world.tokens.insert(1, 0);
    for op in [Op::Renew, Op::Reach { fleet: false }, Op::Reached] {
        world.apply(op);
    }
    world
}

/// A node that owns a pool, with its first word on its way.
fn owning() -> World {
    let mut world = won();
    world.apply(Op::Show);
    world.apply(Op::Step);
    assert_eq!(world.on_way(), 1);
    world
}

impl World {
    fn owned(&self) -> &Owned {
        &self.drive.owned[POOL]
    }

    fn on_way(&self) -> usize {
        self.owned().word.on_way
    }

    /// The view hears of a record, and is not known to be as far.
    fn hear_of(&mut self, key: String, revision: u64, value: Vec<u8>) {
        let (revision, value) = (Revision(revision), Some(value.into()));
        self.node.view().apply(Change { key, revision, value });
    }

    /// What becomes of the word on its way, which was sent at a moment.
    fn end_word(&mut self, sent: Steady, end: OverwriteEnd) {
        let (token, counts) = (self.owned().owner.token, self.owned().owner.queued());
        self.drive.take(Input::Worded { name: POOL.to_owned(), token, counts, sent, end });
    }

    /// Whether a word is sent at a moment.
    fn tells(&mut self, now: Now) -> bool {
        let before = self.on_way();
        self.drive.tell_queued(POOL, now);
        before < self.on_way()
    }

    /// The owner hears that it knows of all jobs that were there at a moment.
    fn follow(&mut self, asked: Steady) {
        let token = self.owned().owner.token;
        self.drive.take(Input::Followed {
            name: POOL.to_owned(),
            token,
            asked,
            at: Revision(token),
        });
    }
}

fn after(now: Now, millis: u64) -> Now {
    Now { steady: now.steady.after(millis), ..now }
}

/// A node that was told of no word adds up the one before, for as long as that was told to be so.
#[test]
fn a_word_that_was_not_taken_is_told_again_soon() {
    let runtime = runtime();
    let _entered = runtime.enter();
    for end in [OverwriteEnd::Failed, OverwriteEnd::Rebase(Revision(77))] {
        let mut world = owning();
        let now = world.node.now();
        world.end_word(now.steady, end);
        assert!(world.tells(after(now, 300)));
    }
}

/// One that is held up on its way could undo a later one.
#[test]
fn a_word_is_written_over_the_one_before_and_alone_on_its_way() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut world = owning();
    let now = world.node.now();
    assert!(!world.tells(after(now, 900)));
    world.end_word(now.steady, OverwriteEnd::Rebase(Revision(77)));
    assert_eq!(world.owned().word.at, Revision(77));
    assert!(world.tells(after(now, 300)));
    world.end_word(now.steady, OverwriteEnd::Kept(Revision(78)));
    assert_eq!(world.owned().word.at, Revision(78));
}

/// Nodes answer from a word for two seconds after it was written.
#[test]
fn a_word_that_was_taken_is_told_again_every_second() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut world = owning();
    let now = world.node.now();
    world.end_word(now.steady, OverwriteEnd::Kept(Revision(78)));
    world.follow(after(now, 1_100).steady);
    assert!(!world.tells(after(now, 510)), "nothing has changed");
    assert!(world.tells(after(now, 1_100)));
}

#[test]
fn the_first_word_of_an_owner_counts_all_jobs_that_came_before_it() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut world = won();
    let token = world.last.clone().unwrap().1;
    let owner = bytes(&OwnerRecord { node: "one".to_owned(), life: 1 });
    world.hear_of(keys::owner(POOL), token, owner);
    world.apply(Op::Step);
    assert!(world.drive.owned.is_empty(), "it may not know of all jobs before token {token}");
    let pool = "work".parse().unwrap();
    let record = JobRecord { pool, ..sample::record(Vec::new()) };
    let key = keys::job(&record.pool, JobId::from_number(1));
    world.hear_of(key, token - 1, bytes(&record));
    world.apply(Op::Show);
    world.apply(Op::Step);
    assert_eq!(world.on_way(), 1);
    assert_eq!(world.owned().owner.queued(), BTreeMap::from([("q".to_owned(), 1)]));
}

/// Its own watch hangs, or its node is far behind: what it would tell is as old as what it knows, and
/// looks new.
#[test]
fn an_owner_that_has_not_heard_of_its_jobs_lately_tells_nothing() {
    let runtime = runtime();
    let _entered = runtime.enter();
    let mut world = owning();
    let now = world.node.now();
    world.end_word(now.steady, OverwriteEnd::Kept(Revision(78)));
    assert!(!world.tells(after(now, RECORDS_MS)));
    let later = after(now, LONG_MS);
    assert!(!world.tells(later));
    world.drive.ask_confirmation(POOL, later);
    assert_eq!(world.on_way(), 0, "nor does it for the sake of a confirmation");
    world.follow(later.steady);
    assert!(world.tells(later));
}
