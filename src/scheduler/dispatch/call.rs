//! The call of one order, made by the owner's node or by a delegate, and the event with its result.

use super::wire::Answer;
use crate::{
    jobs::event::{Effect, Event},
    model::{unit::Steady, worker::OrderEnd},
    platform::runner::Runners,
};

/// Makes the call of one order and returns its result. Requests for advice are not orders to
/// workers.
pub(crate) async fn call(runners: &Runners, effect: &Effect) -> Answer {
    match effect {
        Effect::Start { to, start } => Answer::End(runners.start(to, start).await),
        Effect::Stop { to, task, run } => Answer::End(runners.stop(to, *task, *run).await),
        Effect::Pace { to, task, run, percent } => {
            Answer::End(runners.pace(to, *task, *run, *percent).await)
        }
        Effect::Look { to, acknowledged, until_ms, wait } => {
            Answer::Look(runners.look(to, *acknowledged, *until_ms, *wait).await)
        }
        Effect::Advise { .. } => Answer::End(OrderEnd::Unsent),
    }
}

/// The event that reports the result of an order to its owner; `sent` is when it was decided.
pub(crate) fn event(effect: Effect, sent: Steady, answer: Answer) -> Option<Event> {
    let result = |answer| match answer {
        Answer::End(end) => end,
        Answer::Look(_) => OrderEnd::Unknown,
    };
    Some(match effect {
        Effect::Start { to, start } => Event::Started {
            worker: to.worker,
            task: start.task,
            run: start.run,
            end: result(answer),
        },
        Effect::Stop { to, task, run } => {
            Event::Stopped { worker: to.worker, task, run, end: result(answer) }
        }
        Effect::Pace { to, task, percent, .. } => {
            Event::Paced { worker: to.worker, task, percent, end: result(answer) }
        }
        Effect::Look { to, .. } => {
            let end = match answer {
                Answer::Look(end) => end,
                Answer::End(OrderEnd::Refused { why, clock_ms }) => {
                    OrderEnd::Refused { why, clock_ms }
                }
                Answer::End(OrderEnd::Unsent) => OrderEnd::Unsent,
                Answer::End(OrderEnd::Done(_) | OrderEnd::Unknown) => OrderEnd::Unknown,
            };
            Event::Looked { worker: to.worker, sent, end }
        }
        Effect::Advise { .. } => return None,
    })
}
