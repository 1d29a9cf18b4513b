//! The call of one order, made by the owner's node or by a delegate, and the event with its result.

use std::time::Duration;

use super::wire::Answer;
use crate::{
    jobs::event::{Effect, Event},
    model::{unit::Steady, worker::OrderResult},
    platform::worker_client::{ORDER_TIMEOUT, POLL_ALLOWANCE, WorkerClient},
};

/// Makes the call of one order and returns its result. Requests for advice are not orders to
/// workers.
pub(crate) async fn call(worker_client: &WorkerClient, effect: &Effect) -> Answer {
    match effect {
        Effect::Start { to, start } => Answer::Order(worker_client.start(to, start).await),
        Effect::Stop { to, task, run } => Answer::Order(worker_client.stop(to, *task, *run).await),
        Effect::Throttle { to, task, run, percent } => {
            Answer::Order(worker_client.throttle(to, *task, *run, *percent).await)
        }
        Effect::Poll { to, acknowledged, until_ms, wait } => {
            Answer::Poll(worker_client.poll(to, *acknowledged, *until_ms, *wait).await)
        }
        Effect::Advise { .. } => Answer::Order(OrderResult::Unsent),
    }
}

/// How long the worker itself may wait before it answers a call.
pub(crate) fn own_wait(effect: &Effect) -> Duration {
    match effect {
        Effect::Poll { wait, .. } => *wait,
        _ => Duration::ZERO,
    }
}

/// How long a call takes at most.
pub(crate) fn time_limit(effect: &Effect) -> Duration {
    match effect {
        Effect::Poll { wait, .. } => *wait + POLL_ALLOWANCE,
        _ => ORDER_TIMEOUT,
    }
}

/// The event that reports the result of an order to its owner; `sent` is when it was decided.
pub(crate) fn result_event(effect: Effect, sent: Steady, answer: Answer) -> Option<Event> {
    let result = |answer| match answer {
        Answer::Order(end) => end,
        Answer::Poll(_) => OrderResult::Unknown,
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
        Effect::Throttle { to, task, percent, .. } => {
            Event::Throttled { worker: to.worker, task, percent, end: result(answer) }
        }
        Effect::Poll { to, .. } => {
            let end = match answer {
                Answer::Poll(end) => end,
                Answer::Order(OrderResult::Refused { why, clock_ms }) => {
                    OrderResult::Refused { why, clock_ms }
                }
                Answer::Order(OrderResult::Unsent) => OrderResult::Unsent,
                Answer::Order(OrderResult::Done(_) | OrderResult::Unknown) => OrderResult::Unknown,
            };
            Event::Polled { worker: to.worker, sent, end }
        }
        Effect::Advise { .. } => return None,
    })
}
