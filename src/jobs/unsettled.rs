//! Starts that an incarnation which the owner does not know yet may carry out.
//!
//! An order names a worker and not its incarnation, and an order without an answer may be carried
//! out seconds later. An incarnation that has just started obeys each order, whatever the one
//! before it was told. So a start is unsettled from the time it is sent until an answer or a list
//! of runs shows that it was carried out or refused, or until it is too old to be carried out.
//!
//! Meanwhile its task starts only at the same worker: the incarnation that answers there refuses
//! the earlier start, and if it ends, so does what runs there. No ends are acknowledged there
//! either, since the worker may list the end of the earlier start. The starts of an owner are
//! persisted before they are sent, so that the next owner knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::model::{id::WorkerId, job::TaskId, unit::Steady};

/// Starts by worker, as persisted for the next owner: tasks and run numbers.
pub(crate) type StartsByWorker = BTreeMap<WorkerId, BTreeSet<(TaskId, u32)>>;

/// An unsettled start of a task.
#[derive(Debug)]
struct UnsettledStart {
    worker: WorkerId,
    run: u32,
    /// When it is too old to be carried out; `None` while its result is not known.
    until: Option<Steady>,
}

/// All unsettled starts at the workers of a pool.
#[derive(Debug, Default)]
pub(crate) struct UnsettledStarts {
    by_task: BTreeMap<TaskId, Vec<UnsettledStart>>,
    /// The number of unsettled starts at each worker that has any.
    counts: HashMap<WorkerId, usize>,
}

impl UnsettledStarts {
    /// Records that a start is sent.
    pub(crate) fn note_sent(&mut self, worker: &WorkerId, task: TaskId, run: u32) {
        self.insert(worker, task, run, None);
    }

    /// Records that the result of a start will not be known. It is not carried out after `until`.
    pub(crate) fn note_unanswered(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: u32,
        until: Steady,
    ) {
        let starts = self.by_task.get_mut(&task).into_iter().flatten();
        let mut sent = starts.filter(|start| start.run == run && start.worker == *worker);
        if let Some(start) = sent.next() {
            start.until = Some(until);
        }
    }

    /// Adds a start of an earlier owner, which is not carried out after `until`.
    pub(crate) fn inherit(&mut self, worker: &WorkerId, task: TaskId, run: u32, until: Steady) {
        self.insert(worker, task, run, Some(until));
    }

    fn insert(&mut self, worker: &WorkerId, task: TaskId, run: u32, until: Option<Steady>) {
        let start = UnsettledStart { worker: worker.clone(), run, until };
        self.by_task.entry(task).or_default().push(start);
        *self.counts.entry(worker.clone()).or_default() += 1;
    }

    /// Records that a start was carried out or refused, or was never sent.
    pub(crate) fn settle(&mut self, worker: &WorkerId, task: TaskId, run: u32) {
        let Some(starts) = self.by_task.get_mut(&task) else {
            return;
        };
        let is_settled = |start: &UnsettledStart| start.run == run && start.worker == *worker;
        remove_if(starts, &mut self.counts, is_settled);
        if starts.is_empty() {
            self.by_task.remove(&task);
        }
    }

    /// Removes the starts that are too old to be carried out.
    pub(crate) fn expire(&mut self, now: Steady) {
        let is_expired = |start: &UnsettledStart| start.until.is_some_and(|until| until <= now);
        let counts = &mut self.counts;
        self.by_task.retain(|_, starts| {
            remove_if(starts, counts, is_expired);
            !starts.is_empty()
        });
    }

    /// The workers with an unsettled start of a task.
    pub(crate) fn workers_of(&self, task: TaskId) -> impl Iterator<Item = &WorkerId> {
        self.by_task.get(&task).into_iter().flatten().map(|start| &start.worker)
    }

    /// Whether a start at a worker is unsettled.
    pub(crate) fn is_any_at(&self, worker: &WorkerId) -> bool {
        self.counts.contains_key(worker)
    }

    /// All unsettled starts, to be persisted.
    pub(crate) fn by_worker(&self) -> StartsByWorker {
        let mut by_worker = StartsByWorker::new();
        for (task, starts) in &self.by_task {
            for start in starts {
                by_worker.entry(start.worker.clone()).or_default().insert((*task, start.run));
            }
        }
        by_worker
    }
}

/// Removes some of the starts of a task.
fn remove_if(
    starts: &mut Vec<UnsettledStart>,
    counts: &mut HashMap<WorkerId, usize>,
    is_over: impl Fn(&UnsettledStart) -> bool,
) {
    starts.retain(|start| {
        let is_over = is_over(start);
        if is_over && let Some(count) = counts.get_mut(&start.worker) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&start.worker);
            }
        }
        !is_over
    });
}
