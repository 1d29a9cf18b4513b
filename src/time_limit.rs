//! Time limits that a node does not use up by being late itself.

use std::{pin::pin, time::Duration};

use tokio::time::timeout;

/// The last part of a time limit, in so many steps, each of which takes at least one turn of the
/// runtime. In the first, the node does what it is behind with, such as sending the request; in the
/// second, it reads what was answered.
const LAST_STEPS: u32 = 2;

/// The longest duration of such a step.
const MAX_STEP: Duration = Duration::from_millis(50);

/// Waits for an answer until a time limit; `None` if there is none. What has arrived counts, however
/// late this node handles it: a timer that fires late may fire before the answer was read, or even
/// before the request was sent.
pub(crate) async fn within<T>(limit: Duration, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = pin!(answer);
    let step = MAX_STEP.min(limit / (2 * LAST_STEPS));
    let mut part = limit - LAST_STEPS * step;
    for _ in 0..=LAST_STEPS {
        if let Ok(answer) = timeout(part, &mut answer).await {
            return Some(answer);
        }
        part = step;
    }
    None
}
