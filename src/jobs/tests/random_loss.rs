//! Which node calls the workers of a large pool while some calls get no answer at random.

use super::worker_id;
use crate::{
    jobs::{
        reach::{PathEnd, Reach, Target},
        start::route::Caller,
    },
    model::unit::Steady,
};

const WORKERS: usize = 600;

/// Interval between the calls of a worker, in milliseconds.
const CALL_MS: u64 = 100;

/// Of so many calls one gets no answer.
const CALLS_PER_LOSS: usize = 20;

/// Workers that the owner's node has time to call itself.
const MAX_DIRECT: usize = 25;

/// Guards against an owner that calls most of the workers of a large pool itself, since each has
/// once given its delegate no answer within the last two seconds.
#[test]
fn an_owner_makes_few_calls_itself_while_some_get_no_answer_at_random() {
    let mut reach = Reach::new("hall-a".parse().unwrap());
    reach.set_max_direct(MAX_DIRECT);
    let targets: Vec<Target> = (0..WORKERS)
        .map(|number| Target { worker: worker_id(&format!("w{number}")), zone: None })
        .collect();
    let usual = |number: usize| Caller::Node(format!("node-{}", number / 12));
    let (mut calls, mut direct) = (0, 0);
    for round in 0..100 {
        let now = Steady::from_millis(1_000 + round * CALL_MS);
        for (number, target) in targets.iter().enumerate() {
            let caller = reach.choose(target, &usual(number), |_| true, now);
            calls += 1;
            direct += usize::from(caller == Caller::Own);
            // Spreads the losses over workers and time.
            let draw = (number * 7_919 + round as usize * 104_729) % 65_537;
            let end = match draw % CALLS_PER_LOSS {
                0 => PathEnd::Unanswered,
                _ => PathEnd::Answered,
            };
            reach.note(&caller, target, end, now);
        }
    }
    let most = MAX_DIRECT * 100;
    assert!(direct <= most, "{direct} of {calls} calls are direct, more than {most}");
}
