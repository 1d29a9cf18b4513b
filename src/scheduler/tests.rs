//! Tests of a node's view of the store, its lease and ownerships, and the orders it sends.

mod admission;
mod answer_delays;
mod catch_up;
mod client_accounts;
mod clock;
mod cold_workers;
mod demand;
mod early_cancels;
mod evacuations;
mod incarnations;
mod lagging_watches;
mod late_delegates;
mod lease_fuzz;
mod link_failures;
mod links;
mod node_list;
mod order_wire;
mod out_of_order;
mod overwritten;
mod ownership;
mod ownership_gaps;
mod plan_interval;
mod readiness;
mod renewal_gaps;
mod stale_view;
mod status;
mod stopping;
mod takeovers;
mod view_age;

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    model::{
        job::{JobId, JobState, Progress},
        unit::Revision,
    },
    platform::kv::Change,
    scheduler::{control_loop::json, keys, view::View},
};

/// How long a test waits for a condition. Tests depend on elapsed time only through this limit.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `check` until it returns a value.
async fn wait_for<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        sleep(POLL_INTERVAL).await;
    }
}

fn job() -> JobId {
    "00e0f5a2b4c6d801".parse().unwrap()
}

fn progress(state: JobState, revision: u64) -> Change {
    let value = json(&Progress { state, ..Progress::default() });
    let key = keys::progress(job());
    Change { key, revision: Revision(revision), value: Some(value.into()) }
}

/// A prefix that is read in pages is watched from the revision of its first page: the watch repeats
/// changes that a later page has already shown, older ones first.
#[test]
fn repeated_older_changes_do_not_revert_progress() {
    let mut view = View::default();
    view.apply(progress(JobState::Succeeded, 120));
    view.apply(progress(JobState::Running, 110));
    assert_eq!(view.jobs[&job()].state(), JobState::Succeeded);
}

#[test]
fn removals_and_writes_count_in_the_order_of_their_revisions() {
    let mut view = View::default();
    let key = keys::usage("pool-a");
    let write = |revision, value: Option<&str>| {
        let value = value.map(|text| text.as_bytes().to_vec().into());
        Change { key: key.clone(), revision: Revision(revision), value }
    };
    view.apply(write(10, Some(r#"{"i":["h1"]}"#)));
    view.apply(write(9, None));
    assert!(view.usages.contains_key("pool-a"), "an older removal changes nothing");
    view.apply(write(11, None));
    assert!(!view.usages.contains_key("pool-a"));
    view.apply(write(12, Some(r#"{"i":["h2"]}"#)));
    assert!(view.usages.contains_key("pool-a"));
}

/// The submitted record of a job is removed once its end is durable. Callers still get the end,
/// also from a node that has read all records again.
#[test]
fn a_job_with_only_a_final_progress_record_is_known_as_ended() {
    let mut view = View::default();
    view.apply(progress(JobState::Succeeded, 120));
    let known = &view.jobs[&job()];
    assert!(known.is_accepted());
    assert_eq!(known.state(), JobState::Succeeded);
    assert!(known.stored(job()).is_none(), "owners do not get the job");
}

/// Progress may be read before the job's record: until then the node cannot presume that the job
/// was accepted.
#[test]
fn progress_of_a_running_job_does_not_prove_that_it_was_accepted() {
    let mut view = View::default();
    view.apply(progress(JobState::Running, 120));
    assert!(!view.jobs[&job()].is_accepted());
}
