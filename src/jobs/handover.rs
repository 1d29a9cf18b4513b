//! What an owner that gives its pool back leaves to the next one: all that may run at its workers.
//!
//! It orders nothing any more, so that this is exact, while the roster only tells that anything may
//! run. It counts for the very next owner: every other one was preceded by one that may have given
//! orders since.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::job::{JobIdError, TaskId};

/// The most tasks that are left in one record. By its format each takes some 5 bytes, and each step 28:
/// 60 KB for 700 steps, a twentieth of a second of a link with 10 Mbit/s.
const MOST_TASKS: usize = 8_000;

/// The tasks that may run at some worker when a pool is given back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireHandover", into = "WireHandover")]
pub(crate) struct Handover {
    /// How many owners came before the one that gave it back.
    earlier: u32,
    tasks: BTreeSet<TaskId>,
}

/// The record: numbers of tasks, by step.
#[derive(Serialize, Deserialize)]
struct WireHandover {
    #[serde(rename = "o")]
    earlier: u32,
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
        WireHandover { earlier: handover.earlier, tasks }
    }
}

impl TryFrom<WireHandover> for Handover {
    type Error = JobIdError;

    fn try_from(wire: WireHandover) -> Result<Handover, JobIdError> {
        let of_step = |(step, numbers): (String, Vec<u32>)| {
            numbers.into_iter().map(move |index| format!("{step}.{index}").parse())
        };
        let tasks = wire.tasks.into_iter().flat_map(of_step).collect::<Result<_, _>>()?;
        Ok(Handover { earlier: wire.earlier, tasks })
    }
}

impl Handover {
    /// What the owner that came after so many others leaves; nothing if it is too much.
    pub(crate) fn new(earlier: u32, tasks: BTreeSet<TaskId>) -> Option<Handover> {
        (tasks.len() <= MOST_TASKS).then_some(Handover { earlier, tasks })
    }

    /// What may run, for an owner that comes after so many others.
    pub(crate) fn for_owner(&self, earlier: u32) -> Option<&BTreeSet<TaskId>> {
        (self.earlier.checked_add(1) == Some(earlier)).then_some(&self.tasks)
    }

    /// How many tasks may run.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }
}
