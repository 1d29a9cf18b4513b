//! Tickets: for some queues, an external service decides which workers may run a step.

use std::{collections::HashMap, time::Duration};

use super::Owner;
use crate::{
    jobs::event::Effect,
    model::{
        id::{Incarnation, WorkerId},
        job::StepId,
        order::{AdviceResult, MAX_NAMED_WORKERS},
        unit::Steady,
    },
};

/// Delay after a refusal or failure until the service is asked again, in milliseconds.
const TICKET_RETRY_MS: u64 = 300;

/// The most workers named in one request for tickets: each costs time. Workers with a valid ticket
/// are not named.
const WORKERS_PER_REQUEST: usize = 30;

impl Owner {
    /// Requests tickets for a step whose tasks wait, unless a request is pending.
    pub(super) fn request_tickets(&mut self, of: StepId, now: Steady, out: &mut Vec<Effect>) {
        let Some(job) = self.jobs.get(&of.job) else {
            return;
        };
        let Some(advice) = job.record.advice else {
            return;
        };
        let Some(tasks) = job.steps.get(&(of.occurrence, of.step)) else {
            return;
        };
        if tasks.advice_pending || now < tasks.next_advice {
            return;
        }
        let placer = self.task_placer(now);
        let step = job.step(of.step);
        let charge = step.charge();
        let holds = |id: &Incarnation| {
            tasks
                .tickets
                .get(id)
                .is_some_and(|(_, expires)| now.after(advice.valid_ms / 4) < *expires)
        };
        let useful = self.workers.values().filter(|worker| {
            let id = &worker.report.id;
            let is_rejected = tasks.advised.contains(id) && !tasks.tickets.contains_key(id);
            let has_resources = worker.report.capacity.fits(&worker.used, &charge);
            placer.is_eligible(worker, step) && has_resources && !is_rejected && !holds(id)
        });
        let workers: Vec<Incarnation> = useful
            .map(|worker| worker.report.id.clone())
            .take(WORKERS_PER_REQUEST.min(MAX_NAMED_WORKERS))
            .collect();
        if workers.is_empty() {
            return;
        }
        let needs = advice.decide_ms + advice.each_ms * workers.len() as u64;
        let needs = Duration::from_millis(needs);
        out.push(Effect::Advise { step: of, workers, needs });
        if let Some(tasks) =
            self.jobs.get_mut(&of.job).and_then(|job| job.steps.get_mut(&(of.occurrence, of.step)))
        {
            tasks.advice_pending = true;
        }
    }

    /// Records the service's answer.
    pub(super) fn note_tickets(
        &mut self,
        of: StepId,
        asked: Vec<Incarnation>,
        sent: Steady,
        end: AdviceResult,
        now: Steady,
    ) {
        let Some(job) = self.jobs.get_mut(&of.job) else {
            return;
        };
        let valid_ms = job.record.advice.map(|advice| advice.valid_ms).unwrap_or_default();
        let Some(tasks) = job.steps.get_mut(&(of.occurrence, of.step)) else {
            return;
        };
        tasks.advice_pending = false;
        match end {
            AdviceResult::Granted(rows) => {
                log::debug!(
                    "job {}: step {of}: tickets for {} of {} workers",
                    of.job,
                    rows.len(),
                    asked.len()
                );
                let tickets: HashMap<WorkerId, String> = rows.into_iter().collect();
                for id in asked {
                    if let Some(ticket) = tickets.get(&id.worker) {
                        let ticket = (ticket.clone(), sent.after(valid_ms));
                        tasks.tickets.insert(id.clone(), ticket);
                    }
                    tasks.advised.insert(id);
                }
            }
            AdviceResult::Busy | AdviceResult::Failed => {
                tasks.next_advice = now.after(TICKET_RETRY_MS)
            }
        }
    }
}
