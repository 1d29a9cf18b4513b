//! Tests of the conclusions that an owner draws from missing information.

use super::{Bench, done, id, one_worker, report, step, stored};
use crate::{
    jobs::{
        event::{Effect, Event},
        roster::Away,
    },
    model::job::TaskId,
};

/// The highest end that the owner's next poll acknowledges.
fn acknowledged(bench: &mut Bench) -> u64 {
    bench.effects.clear();
    bench.now += 1_100;
    bench.work();
    let looks = bench.effects.iter().filter_map(|effect| match effect {
        Effect::Look { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    looks.max().expect("a look is due")
}

/// Guards against a second run of a task whose end was acknowledged. Another writer overwrote a
/// job's progress, and the pool passed to another owner, which receives the job only once its
/// progress can be read (`KnownJob::stored`). Meanwhile a worker listed the end of a task of the
/// job. The owner treated the unknown job as one whose ends need not be persisted, and acknowledged
/// the end, so that the worker discarded it. Once the progress could be read again the task was
/// started anew.
#[test]
fn an_end_of_a_job_that_waits_to_be_read_is_not_acknowledged() {
    let mut bench = Bench::inheriting(&[("w1", "h1")], Away::default());
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let mut ended = vec![done(1, task, 1)];
    bench.work();
    bench.look("w1", vec![], ended.clone());
    bench.keep_roster();
    for _ in 0..3 {
        let highest = acknowledged(&mut bench);
        ended.retain(|end| highest < end.number);
        bench.look("w1", vec![], ended.clone());
    }
    let forgotten = ended.is_empty();
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.look("w1", vec![], ended);
    bench.effects.clear();
    bench.work();
    assert_eq!(bench.starts(), vec![], "it is done; forgotten by the worker: {forgotten}");
}

/// Guards against a second run of a task whose end was acknowledged (fuzzing seed 7002368). A
/// worker fell silent, its run expired, and the task was started at another worker. Both ends were
/// listed before the store had accepted either. The second end changed nothing in the job, so that
/// it counted as one that need not be persisted, and was acknowledged at once. A later owner that
/// cannot reach the first worker would then find no end.
#[test]
fn a_second_end_of_a_task_is_acknowledged_only_once_the_first_is_durable() {
    let mut bench = one_worker();
    bench.tell(Event::Worker(report("w2", "h2")));
    bench.touch("w2", vec![]);
    bench.tell(Event::Job(stored(1, vec![step(1)], 110)));
    bench.work();
    let (task, run, first) = bench.starts()[0].clone();
    bench.started(task, run, &first);
    let second = if first.worker.as_str() == "w1" { "w2" } else { "w1" };
    bench.miss(first.worker.as_str());
    bench.now += 10_000;
    bench.look(second, vec![], vec![]);
    bench.work();
    let (_, again, at) = bench.starts()[0].clone();
    assert_eq!(at.worker.as_str(), second, "what ran at the silent worker has lapsed");
    bench.started(task, again, &at);
    bench.now += 500;
    bench.look(first.worker.as_str(), vec![], vec![done(1, task, run)]);
    bench.look(second, vec![], vec![done(1, task, again)]);
    assert_eq!(acknowledged(&mut bench), 0, "neither end is durable");
    bench.save();
    bench.look(first.worker.as_str(), vec![], vec![done(1, task, run)]);
    bench.look(second, vec![], vec![done(1, task, again)]);
    assert_eq!(acknowledged(&mut bench), 1);
}
