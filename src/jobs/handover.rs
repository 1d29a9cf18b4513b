//! The record that an owner leaves to the next one when it hands over its pool: all tasks that may
//! run at its workers.
//!
//! The owner sends no orders any more, so the record is exact, whereas the roster alone does not
//! show which tasks may run. It is valid only for the very next owner: another owner in between may
//! have sent orders.
//!
//! Beside it, for workers that do not answer the owner, in how long all that may run there will
//! have expired. This record is also written while the owner waits for them, so that the wait does
//! not begin anew with each change of owners.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::Incarnation,
    job::{JobIdError, StepId, TaskId},
};

/// The most bytes of the tasks in one record: half of the largest value that the platform's store
/// takes, by its contract. The rest is for the silent workers. 700 steps and 70,000 tasks fit.
const MAX_TASK_BYTES: usize = 512 * 1024;

/// The length of a task in the record: an index of up to six digits, and a comma.
const TASK_BYTES: usize = 7;

/// The length of a step in the record: `"0123456789abcdef.1000000000.10":[],`.
const STEP_BYTES: usize = 36;

/// The tasks that may run at some worker when a pool is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireHandover", into = "WireHandover")]
pub(crate) struct Handover {
    /// The number of owners before the one that handed it over.
    earlier: u32,
    tasks: Arc<BTreeSet<TaskId>>,
}

/// The stored form: indices of tasks, by step.
#[derive(Serialize, Deserialize)]
struct WireHandover {
    #[serde(rename = "o")]
    earlier_owners: u32,
    #[serde(rename = "t", default)]
    tasks: BTreeMap<String, Vec<u32>>,
}

impl From<Handover> for WireHandover {
    fn from(handover: Handover) -> WireHandover {
        let by_step = by_step(&handover.tasks).into_iter();
        let tasks = by_step.map(|(step, indices)| (step.to_string(), indices)).collect();
        WireHandover { earlier_owners: handover.earlier, tasks }
    }
}

impl TryFrom<WireHandover> for Handover {
    type Error = JobIdError;

    fn try_from(wire: WireHandover) -> Result<Handover, JobIdError> {
        let mut tasks = BTreeSet::new();
        for (step, indices) in wire.tasks {
            let first: TaskId = format!("{step}.0").parse()?;
            tasks.extend(indices.into_iter().map(|index| TaskId { index, ..first }));
        }
        Ok(Handover { earlier: wire.earlier_owners, tasks: Arc::new(tasks) })
    }
}

/// The indices of tasks, by step.
fn by_step(tasks: &BTreeSet<TaskId>) -> BTreeMap<StepId, Vec<u32>> {
    let mut steps = BTreeMap::<StepId, Vec<u32>>::new();
    for task in tasks {
        steps.entry(task.of).or_default().push(task.index);
    }
    steps
}

/// Workers to which an owner sends nothing that prolongs what runs there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpiringWorkers {
    /// The number of owners before the one that has written this.
    #[serde(rename = "o")]
    earlier: u32,
    /// In how long everything at each worker will have expired, in milliseconds from the write on.
    #[serde(rename = "w")]
    remaining_ms: BTreeMap<Incarnation, u64>,
}

impl ExpiringWorkers {
    /// The record of an owner that follows `earlier` others; `None` if there is no such worker.
    pub(crate) fn new(
        earlier: u32,
        remaining_ms: BTreeMap<Incarnation, u64>,
    ) -> Option<ExpiringWorkers> {
        (!remaining_ms.is_empty()).then_some(ExpiringWorkers { earlier, remaining_ms })
    }

    /// The workers, if the record is valid for an owner that follows `earlier` others: one in
    /// between may have prolonged what runs there.
    pub(crate) fn for_owner(&self, earlier: u32) -> Option<&BTreeMap<Incarnation, u64>> {
        (self.earlier.checked_add(1) == Some(earlier)).then_some(&self.remaining_ms)
    }

    /// The number of workers.
    pub(crate) fn len(&self) -> usize {
        self.remaining_ms.len()
    }
}

impl Handover {
    /// The record of an owner that follows `earlier` others; `None` if it would be too long for the
    /// store.
    pub(crate) fn new(earlier: u32, tasks: BTreeSet<TaskId>) -> Option<Handover> {
        let bytes = by_step(&tasks).len() * STEP_BYTES + tasks.len() * TASK_BYTES;
        (bytes <= MAX_TASK_BYTES).then(|| Handover { earlier, tasks: Arc::new(tasks) })
    }

    /// The tasks that may run, if the record is valid for an owner that follows `earlier` others.
    pub(crate) fn for_owner(&self, earlier: u32) -> Option<&Arc<BTreeSet<TaskId>>> {
        (self.earlier.checked_add(1) == Some(earlier)).then_some(&self.tasks)
    }

    /// The number of tasks that may run.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }
}
