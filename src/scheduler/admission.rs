//! Admission of jobs, before anything is written. Only what accounts with a weight send beyond it is
//! refused, and only if the job was certainly not accepted by an earlier attempt.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Semaphore, time::timeout};

use crate::{
    jobs::admission::{Pressure, Sender, Verdict, spare_ms},
    model::{
        account::Weight,
        id::AccountId,
        job::{JobId, JobRecord},
        queue::QueueConfig,
        unit::{Now, Steady},
    },
    scheduler::{Node, keys},
};

/// How long an earlier attempt to write a job is remembered, in milliseconds: longer than callers
/// retry, and than the store may take for a write that it has not answered.
const TRIED_MS: u64 = 20_000;

/// Time between two log lines about refusals of one account, and between two removals of what is
/// out of date, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Most reads of the store in flight that look for earlier attempts.
const MAX_READS: usize = 32;

/// How long such a read may take. A job is accepted if it is not known whether it was before.
const READ_TIMEOUT: Duration = Duration::from_millis(40);

/// A job that is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) retry_after: Duration,
}

#[derive(Debug)]
struct Account {
    sender: Sender,
    last_sent: Steady,
    /// Jobs refused since the last log line.
    refused: u32,
    next_log: Steady,
}

#[derive(Debug, Default)]
struct State {
    accounts: HashMap<AccountId, Account>,
    /// Jobs that this node has tried to write, and may have written.
    tried: HashMap<JobId, Steady>,
    next_cleanup: Steady,
}

impl State {
    fn remove_outdated(&mut self, now: Steady) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now.after(INTERVAL_MS);
        self.tried.retain(|_, tried| now.since(*tried) < TRIED_MS);
        self.accounts.retain(|_, account| now.since(account.last_sent) < TRIED_MS);
    }
}

/// What a node knows of the jobs that accounts with a weight send.
#[derive(Debug)]
pub(crate) struct Admission {
    state: Mutex<State>,
    reads: Semaphore,
}

impl Admission {
    pub(crate) fn new() -> Admission {
        Admission { state: Mutex::default(), reads: Semaphore::new(MAX_READS) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decide(
        &self,
        (account, weight): (&AccountId, Weight),
        pressure: Pressure,
        spare_ms: u64,
        now: Now,
    ) -> Verdict {
        let mut state = self.state();
        state.remove_outdated(now.steady);
        let entry = state.accounts.entry(account.clone()).or_insert_with(|| Account {
            sender: Sender::new(now.wall),
            last_sent: now.steady,
            refused: 0,
            next_log: now.steady,
        });
        entry.last_sent = now.steady;
        entry.sender.decide(weight, pressure, spare_ms, now.wall)
    }

    /// The number of jobs of an account that were refused since the last log line, if the next one
    /// is due.
    fn note_refused(&self, account: &AccountId, now: Steady) -> Option<u32> {
        let mut state = self.state();
        let entry = state.accounts.get_mut(account)?;
        entry.refused += 1;
        if now < entry.next_log {
            return None;
        }
        entry.next_log = now.after(INTERVAL_MS);
        Some(std::mem::take(&mut entry.refused))
    }

    /// Records that a job may be written from now on.
    pub(crate) fn note_tried(&self, id: JobId, now: Steady) {
        self.state().tried.insert(id, now);
    }

    fn was_tried(&self, id: JobId) -> bool {
        self.state().tried.contains_key(&id)
    }
}

/// Decides whether a job is accepted.
pub(crate) async fn check(
    node: &Node,
    id: JobId,
    record: &JobRecord,
    config: &QueueConfig,
    now: Now,
) -> Result<(), Refused> {
    let Some(account) = &record.account else {
        return Ok(());
    };
    let configured = config.accounts.as_ref().and_then(|accounts| accounts.get(account));
    let Some(weight) = configured.and_then(|account| account.weight) else {
        return Ok(());
    };
    // The same job sent again uses up nothing of the weight.
    if node.admission.was_tried(id) {
        return Ok(());
    }
    let pressure = node.view().pressure(&record.pool, account, now.steady);
    let verdict = node.admission.decide((account, weight), pressure, spare_ms(record, now), now);
    let retry_after = match verdict {
        Verdict::Refused { retry_after } if !may_be_written(node, id).await => retry_after,
        verdict => {
            let outcome = if verdict == Verdict::Within { "within" } else { "beyond" };
            node.metrics.record_admission(account, weight, outcome);
            node.admission.note_tried(id, now.steady);
            return Ok(());
        }
    };
    node.metrics.record_admission(account, weight, "refused");
    if let Some(refused) = node.admission.note_refused(account, now.steady) {
        let Pressure { delay_ms, sent, .. } = pressure;
        log::info!(
            "account {account}: {refused} jobs refused, the last {id} for pool {}: beyond its \
             weight of {weight}: {}/s accepted, {} jobs waiting beyond it, new work would wait \
             {} ms, to be sent again after {} ms",
            record.pool,
            sent.rate,
            sent.waiting,
            delay_ms.unwrap_or_default(),
            retry_after.as_millis()
        );
    }
    Err(Refused { retry_after })
}

/// Whether an earlier attempt at another node may have written a job, by what the store has.
async fn may_be_written(node: &Node, id: JobId) -> bool {
    let prefix = keys::job_state(id);
    let read = async {
        // Cannot fail: the semaphore is never closed.
        let _permit = node.admission.reads.acquire().await;
        node.kv.range(&prefix).await
    };
    match timeout(READ_TIMEOUT, read).await {
        Ok(Ok((items, _))) => !items.is_empty(),
        Ok(Err(error)) => {
            log::debug!("job {id}: accepted beyond a weight: not known if it was before: {error}");
            true
        }
        Err(elapsed) => {
            log::debug!(
                "job {id}: accepted beyond a weight: not known if it was before: {elapsed}"
            );
            true
        }
    }
}
