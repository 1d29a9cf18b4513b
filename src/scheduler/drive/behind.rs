//! What a node does while its view is behind: it makes no plan for the fleet, writes no word of jobs
//! that it may not have heard of, reaches for work last, and gives back what it owns to a node that
//! is not behind.

use std::collections::BTreeSet;

use super::{Drive, SUMMARY_MS};
use crate::{
    model::unit::{Now, Steady},
    platform::records::OPERATOR_PREFIX,
    scheduler::{
        keys::{self, ROOT},
        view::age::RECORDS_MS,
    },
};

/// How old the view of the records may become before a node gives its work back, in milliseconds: twice
/// what it may plan by. A silent connection is noticed and replaced by then, and each change of owners
/// costs a pause.
const GIVE_BACK_MS: u64 = 4_000;

/// The least time between two pieces of work that are given back, in milliseconds: with the first gone
/// the node may catch up.
const NEXT_BACK_MS: u64 = 2_000;

/// How much later than others a node reaches for work whose view is behind, in milliseconds: if all
/// are, the work is better owned by one of these than by nobody.
pub(super) const REACH_LATE_MS: u64 = 2_000;

/// What the node remembers of its view's age.
#[derive(Default)]
pub(super) struct Behind {
    /// What it owns, and has owned while its view was kept up. What it has won while behind it keeps:
    /// when all nodes are behind, work must not go round.
    kept_up: BTreeSet<String>,
    next_line: Steady,
    next_back: Steady,
}

impl Drive {
    /// Whether the records are older than a node may count or plan by.
    pub(super) fn is_behind(&self, now: Now) -> bool {
        !self.node.view().ages.is_within(ROOT, RECORDS_MS, now.steady)
    }

    /// Whether the view is new enough to plan by. What is under way goes on; nothing is begun.
    pub(in crate::scheduler) fn may_plan(&mut self, now: Now) -> bool {
        let view = self.node.view();
        let check = |prefix| view.ages.check(prefix, RECORDS_MS, now.steady);
        let Err(why) = check(ROOT).and_then(|()| check(OPERATOR_PREFIX)) else {
            return true;
        };
        drop(view);
        if self.behind.next_line <= now.steady {
            self.behind.next_line = now.steady.after(SUMMARY_MS);
            log::warn!("fleet: no plan: {why}");
        }
        false
    }

    /// Tells how many jobs wait, if the pool's owner has lately heard which came: a word that was
    /// written counts as new.
    pub(super) fn tell_waiting(&mut self, name: &str, now: Now) {
        if self.hears_of_jobs(name, now) {
            self.tell_queued(name, now);
        }
    }

    /// Whether a pool's owner has lately heard which jobs came.
    pub(super) fn hears_of_jobs(&self, name: &str, now: Now) -> bool {
        self.node.view().ages.is_within(&keys::work(name), RECORDS_MS, now.steady)
    }

    /// Gives back a piece of work, once the view has long been behind while the lease holds: the store
    /// is reached, and another node may keep up. The fleet's work comes first, which rests on the
    /// view most and costs the least to move.
    pub(super) fn give_if_behind(&mut self, now: Now) {
        let age = self.node.view().ages.of(ROOT, now.steady);
        let fleet = self.fleet.iter().map(|_| keys::FLEET);
        let owned = fleet.chain(self.owned.keys().map(String::as_str));
        if age.is_some_and(|age| age <= RECORDS_MS) {
            self.behind.kept_up = owned.map(str::to_owned).collect();
            return;
        }
        let owned: Vec<&str> = owned.collect();
        self.behind.kept_up.retain(|name| owned.contains(&name.as_str()));
        let Some(age) = age.filter(|age| GIVE_BACK_MS < *age) else {
            return;
        };
        if self.leaving
            || now.steady < self.behind.next_back
            || self.lease.held(now.steady).is_none()
            || !self.has_successor()
        {
            return;
        }
        let Some(name) = owned.into_iter().find(|name| self.behind.kept_up.contains(*name)) else {
            return;
        };
        let name = name.to_owned();
        log::warn!("owner {name}: to be given to a node that is not behind: {age} ms here");
        self.behind.next_back = now.steady.after(NEXT_BACK_MS);
        self.behind.kept_up.remove(&name);
        self.hand_over(name, now);
    }

    /// Whether there is another node that may own work.
    fn has_successor(&self) -> bool {
        let view = self.node.view();
        let me = self.node.settings.node.as_str();
        let replicas = view.replicas(self.node.settings.replicas);
        replicas.iter().any(|name| *name != me && view.nodes.contains_key(*name))
    }
}
