//! Tests of what an owner concludes from what it does not know.

use super::{Bench, done, id, step, stored};
use crate::{
    jobs::{
        event::{Effect, Event},
        roster::Away,
    },
    model::job::TaskId,
};

/// The highest end that the owner's next look acknowledges.
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

/// What users would see: a task that must run once runs again after its end was acknowledged. Another
/// writer overwrote a job's progress, and the pool passed to another owner, which is not told of the
/// job until its progress can be read (`KnownJob::stored`). Meanwhile a worker listed the end of a
/// task of it. The owner took a job that it does not know for one of which nothing need be kept, and
/// acknowledged the end: the worker forgot it. Once the progress could be read again the task was
/// started anew. Evidence: this test.
#[test]
fn an_end_of_a_job_that_waits_to_be_read_is_not_acknowledged() {
    let mut bench = Bench::inheriting(&[("w1", "h1")], Away::default());
    let task: TaskId = format!("{}.0.0.0", id(1)).parse().unwrap();
    let mut ended = vec![done(1, task, 1)];
    bench.work();
    bench.look("w1", vec![], ended.clone());
    bench.keep_roster();
    for _ in 0..3 {
        let last_seen = acknowledged(&mut bench);
        ended.retain(|end| last_seen < end.number);
        bench.look("w1", vec![], ended.clone());
    }
    let forgotten = ended.is_empty();
    bench.tell(Event::Job(stored(1, vec![step(1)], 50)));
    bench.look("w1", vec![], ended);
    bench.effects.clear();
    bench.work();
    assert_eq!(bench.starts(), vec![], "it is done; forgotten by the worker: {forgotten}");
}
