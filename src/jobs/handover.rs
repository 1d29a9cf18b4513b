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

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{
    id::Incarnation,
    job::{JobIdError, TaskId},
};

/// The most tasks in one record. Each task takes about 5 bytes and each step 28: 60 KB for 700
/// steps, which takes 50 ms on a link of 10 Mbit/s.
const MAX_TASKS: usize = 8_000;

/// The tasks that may run at some worker when a pool is handed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireHandover", into = "WireHandover")]
pub(crate) struct Handover {
    /// The number of owners before the one that handed it over.
    earlier: u32,
    tasks: BTreeSet<TaskId>,
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
        let mut tasks = BTreeMap::<String, Vec<u32>>::new();
        for task in &handover.tasks {
            let text = task.to_string();
            let step = text.rsplit_once('.').map_or("", |(step, _)| step);
            tasks.entry(step.to_owned()).or_default().push(task.index);
        }
        WireHandover { earlier_owners: handover.earlier, tasks }
    }
}

impl TryFrom<WireHandover> for Handover {
    type Error = JobIdError;

    fn try_from(wire: WireHandover) -> Result<Handover, JobIdError> {
        let of_step = |(step, indices): (String, Vec<u32>)| {
            indices.into_iter().map(move |index| format!("{step}.{index}").parse())
        };
        let tasks = wire.tasks.into_iter().flat_map(of_step).collect::<Result<_, _>>()?;
        Ok(Handover { earlier: wire.earlier_owners, tasks })
    }
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
    /// The record of an owner that follows `earlier` others; `None` if there are too many tasks.
    pub(crate) fn new(earlier: u32, tasks: BTreeSet<TaskId>) -> Option<Handover> {
        (tasks.len() <= MAX_TASKS).then_some(Handover { earlier, tasks })
    }

    /// The tasks that may run, if the record is valid for an owner that follows `earlier` others.
    pub(crate) fn for_owner(&self, earlier: u32) -> Option<&BTreeSet<TaskId>> {
        (self.earlier.checked_add(1) == Some(earlier)).then_some(&self.tasks)
    }

    /// The number of tasks that may run.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }
}
