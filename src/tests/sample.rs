//! Sample records.

use crate::model::{
    job::{JobRecord, Step},
    unit::Time,
};

/// A job of `pool`, accepted at one million milliseconds, to run once, in time if it ends within
/// twice its work plus 600 ms.
pub(crate) fn job_record(steps: Vec<Step>) -> JobRecord {
    JobRecord {
        queue: "q".to_owned(),
        pool: "pool".parse().unwrap(),
        payload: "payload".into(),
        steps,
        repeats: 0,
        first: Time::default(),
        every_ms: 0,
        account: None,
        priority: 0,
        max_attempts: 3,
        stretch_percent: 200,
        target_ms: 600,
        advice: None,
        accepted: Time::from_millis(1_000_000),
    }
}
