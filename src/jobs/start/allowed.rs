//! Step 1: which waiting tasks of a step may start within the limit of their client account.

/// The waiting tasks of a step, divided by the limit of their account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Allowed {
    /// The tasks that may start, by their index.
    pub(crate) tasks: Vec<u32>,
    /// How many tasks wait for a larger share of the limit.
    pub(crate) denied: usize,
}

/// Divides waiting tasks by the number of tasks for which their account has room. A gang starts as
/// a whole.
pub(crate) fn within(mut waiting: Vec<u32>, room: usize, is_gang: bool) -> Allowed {
    if waiting.len() <= room {
        return Allowed { tasks: waiting, denied: 0 };
    }
    let denied = waiting.split_off(if is_gang { 0 } else { room }).len();
    Allowed { tasks: waiting, denied }
}
