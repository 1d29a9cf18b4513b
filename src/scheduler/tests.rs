//! Tests of what a node knows of the store.

mod age;
mod behind;
mod clock;
mod cold;
mod demand;
mod foreign;
mod incarnations;
mod lease;
mod links;
mod moments;
mod news;
mod orders;
mod ownership;
mod plans;
mod readiness;
mod takeovers;
mod terms;
mod unsent;
mod watches;

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{
    model::{
        job::{JobId, JobState, Progress},
        unit::Revision,
    },
    platform::kv::Change,
    scheduler::{drive::json, keys, view::View},
};

/// How long anything may take before a test gives up. No test passes or fails by time otherwise.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Looks until something is there.
async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < end, "{what}: not seen in time");
        sleep(LOOK_EVERY).await;
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

/// A prefix that is read in pages is watched from the first page on: changes that a later page has
/// shown are told once more, older ones first.
#[test]
fn progress_does_not_go_back_while_older_changes_are_told_again() {
    let mut view = View::default();
    view.apply(progress(JobState::Succeeded, 120));
    view.apply(progress(JobState::Running, 110));
    assert_eq!(view.jobs[&job()].state(), JobState::Succeeded);
}

#[test]
fn a_record_that_is_removed_stays_so_and_one_that_is_written_later_counts() {
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

/// What was handed in of a job goes once its end is durable; callers are told of the end all the
/// same, also by a node that reads it all anew.
#[test]
fn a_job_of_which_only_the_end_is_kept_is_known_as_ended() {
    let mut view = View::default();
    view.apply(progress(JobState::Succeeded, 120));
    let known = &view.jobs[&job()];
    assert!(known.is_accepted());
    assert_eq!(known.state(), JobState::Succeeded);
    assert!(known.stored(job()).is_none(), "no owner is told of it");
}

/// Progress that is read before what was handed in tells of a job that was not accepted for all
/// that this node knows.
#[test]
fn progress_alone_does_not_tell_that_a_job_was_accepted() {
    let mut view = View::default();
    view.apply(progress(JobState::Running, 120));
    assert!(!view.jobs[&job()].is_accepted());
}
