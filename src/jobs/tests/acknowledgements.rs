//! Tests of the conclusions that an owner draws from missing information.

use super::{Harness, done, id, one_worker, report, step, stored};
use crate::{
    jobs::{
        event::{Effect, Event},
        roster::SilentWorkers,
    },
    model::job::TaskId,
};

/// The highest end that the owner's next poll acknowledges.
fn acknowledged(harness: &mut Harness) -> u64 {
    harness.effects.clear();
    harness.now += 1_100;
    harness.work();
    let polls = harness.effects.iter().filter_map(|effect| match effect {
        Effect::Poll { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    polls.max().expect("a poll is due")
}

/// Guards against a second run of a task whose end was acknowledged. Another writer overwrote a
/// job's progress, and the pool passed to another owner, which receives the job only once its
/// progress can be read (`KnownJob::stored`). Meanwhile a worker listed the end of a task of the
/// job. The owner treated the unknown job as one whose ends need not be persisted, and acknowledged
/// the end, so that the worker discarded it. Once the progress could be read again the task was
/// started anew.
#[test]
fn an_end_of_a_job_that_cannot_be_read_yet_is_not_acknowledged() {
    let mut harness = Harness::inheriting(&[("w1", "h1")], SilentWorkers::default());
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let mut ended = vec![done(1, task, 1)];
    harness.work();
    harness.poll("w1", vec![], ended.clone());
    harness.persist_roster();
    for _ in 0..3 {
        let highest = acknowledged(&mut harness);
        ended.retain(|end| highest < end.number);
        harness.poll("w1", vec![], ended.clone());
    }
    let discarded = ended.is_empty();
    harness.deliver(Event::Job(stored(1, vec![step(1)], 50)));
    harness.poll("w1", vec![], ended);
    harness.effects.clear();
    harness.work();
    assert_eq!(harness.take_starts(), vec![], "it is done; discarded by the worker: {discarded}");
}

/// Guards against a second run of a task whose end was acknowledged (fuzzing seed 7002368). A
/// worker fell silent, its run expired, and the task was started at another worker. Both ends were
/// listed before the store had accepted either. The second end changed nothing in the job, so that
/// it counted as one that need not be persisted, and was acknowledged at once. A later owner that
/// cannot reach the first worker would then find no end.
#[test]
fn a_second_end_of_a_task_is_acknowledged_only_once_the_first_is_durable() {
    let mut harness = one_worker();
    harness.deliver(Event::Worker(report("w2", "h2")));
    harness.connect("w2", vec![]);
    harness.deliver(Event::Job(stored(1, vec![step(1)], 110)));
    harness.work();
    let (task, run, first) = harness.take_starts()[0].clone();
    harness.confirm_start(task, run, &first);
    let second = if first.worker.as_str() == "w1" { "w2" } else { "w1" };
    harness.poll_unanswered(first.worker.as_str());
    harness.now += 10_000;
    harness.poll(second, vec![], vec![]);
    harness.work();
    let (_, again, at) = harness.take_starts()[0].clone();
    assert_eq!(at.worker.as_str(), second, "the run at the silent worker has expired");
    harness.confirm_start(task, again, &at);
    harness.now += 500;
    harness.poll(first.worker.as_str(), vec![], vec![done(1, task, run)]);
    harness.poll(second, vec![], vec![done(1, task, again)]);
    assert_eq!(acknowledged(&mut harness), 0, "neither end is durable");
    harness.persist_progress();
    harness.poll(first.worker.as_str(), vec![], vec![done(1, task, run)]);
    harness.poll(second, vec![], vec![done(1, task, again)]);
    assert_eq!(acknowledged(&mut harness), 1);
}
