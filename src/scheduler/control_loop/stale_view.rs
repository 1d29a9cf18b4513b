//! Behavior of a node whose view is stale: it makes no plan for the fleet, publishes no count of
//! jobs that it may not have received, acquires work last, and releases its work to a node with a
//! fresh view.

use std::collections::BTreeSet;

use super::{ControlLoop, SUMMARY_MS};
use crate::{
    model::unit::{Now, Steady},
    platform::records::OPERATOR_PREFIX,
    scheduler::{
        keys::{self, ROOT},
        view::age::MAX_RECORDS_AGE_MS,
    },
};

/// Age of the view of the records at which a node releases its work, in milliseconds: twice the age
/// at which it may still plan. A silent connection is detected and replaced by then, and each
/// change of owners costs a pause.
const RELEASE_AGE_MS: u64 = 4_000;

/// Minimum time between two releases, in milliseconds: after the first release the node may catch
/// up.
const RELEASE_PAUSE_MS: u64 = 2_000;

/// Additional delay before a node with a stale view acquires work, in milliseconds. If the views of
/// all nodes are stale, such an owner is better than none.
pub(super) const STALE_ACQUIRE_DELAY_MS: u64 = 2_000;

/// What the node remembers about the age of its view.
#[derive(Default)]
pub(super) struct StaleView {
    /// Work that the node owns and has owned while its view was fresh. Work acquired with a stale
    /// view is not released: when the views of all nodes are stale, it would move around between
    /// them.
    fresh_owned: BTreeSet<String>,
    next_warning: Steady,
    next_release: Steady,
}

impl ControlLoop {
    /// Whether the records are older than a node may use for counts and plans.
    pub(super) fn has_stale_view(&self, now: Now) -> bool {
        !self.node.view().ages.is_within(ROOT, MAX_RECORDS_AGE_MS, now.steady)
    }

    /// Whether the view is fresh enough to plan. If not, running actions continue but no new ones
    /// start.
    pub(in crate::scheduler) fn may_plan(&mut self, now: Now) -> bool {
        let view = self.node.view();
        let check = |prefix| view.ages.check(prefix, MAX_RECORDS_AGE_MS, now.steady);
        let Err(too_old) = check(ROOT).and_then(|()| check(OPERATOR_PREFIX)) else {
            return true;
        };
        drop(view);
        if self.stale_view.next_warning <= now.steady {
            self.stale_view.next_warning = now.steady.after(SUMMARY_MS);
            log::warn!("fleet: no plan made: {too_old}");
        }
        false
    }

    /// Releases one unit of work if the view has been stale for long while the lease holds: the
    /// store is reachable, so another node may have a fresh view. The fleet's work goes first: it
    /// depends on the view most and costs the least to move.
    pub(super) fn release_if_stale(&mut self, now: Now) {
        let age = self.node.view().ages.age_ms(ROOT, now.steady);
        let fleet = self.fleet.iter().map(|_| keys::FLEET);
        let owned = fleet.chain(self.owned.keys().map(String::as_str));
        if age.is_some_and(|age| age <= MAX_RECORDS_AGE_MS) {
            self.stale_view.fresh_owned = owned.map(str::to_owned).collect();
            return;
        }
        let owned: Vec<&str> = owned.collect();
        self.stale_view.fresh_owned.retain(|name| owned.contains(&name.as_str()));
        let Some(age) = age.filter(|age| RELEASE_AGE_MS < *age) else {
            return;
        };
        if self.shutting_down
            || now.steady < self.stale_view.next_release
            || self.lease.held(now.steady).is_none()
            || !self.has_successor()
        {
            return;
        }
        let Some(name) = owned.into_iter().find(|name| self.stale_view.fresh_owned.contains(*name))
        else {
            return;
        };
        let name = name.to_owned();
        log::warn!("owner {name}: to be released: the view of this node is {age} ms old");
        self.stale_view.next_release = now.steady.after(RELEASE_PAUSE_MS);
        self.stale_view.fresh_owned.remove(&name);
        self.release_ownership(name, now);
    }

    /// Whether another node may own work.
    fn has_successor(&self) -> bool {
        let view = self.node.view();
        let own_name = self.node.settings.node.as_str();
        let replicas = view.replicas(&self.node.settings);
        replicas.iter().any(|name| *name != own_name && view.nodes.contains_key(*name))
    }
}
