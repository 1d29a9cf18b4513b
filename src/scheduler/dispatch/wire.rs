//! Messages between an owner's node and a delegate: orders one way, their results the other way.
//! Rows are tuples, and a worker is named once per link and numbered from then on, since an owner
//! of a thousand workers gives thousands of orders a second.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::event::Effect,
    model::{
        id::{Incarnation, StartTime},
        job::{JobId, StepId, TaskId},
        order::{Addressee, Start},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, Refusal, RunOutcome},
    },
};

/// Orders of one owner.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Batch {
    #[serde(rename = "w")]
    pub(crate) workers: Vec<WorkerRow>,
    #[serde(rename = "p")]
    pub(crate) payloads: Vec<String>,
    #[serde(rename = "s")]
    pub(crate) starts: Vec<StartRow>,
    #[serde(rename = "x")]
    pub(crate) stops: Vec<StopRow>,
    #[serde(rename = "c")]
    pub(crate) throttles: Vec<ThrottleRow>,
    #[serde(rename = "l")]
    pub(crate) polls: Vec<PollRow>,
}

/// A worker, to which later rows refer by its number: number, identifier, address, token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerRow(u32, Incarnation, String, u64);

/// A task: job, occurrence, step, index.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct TaskRow(u64, u32, u32, u32);

/// Order, worker, task, run, payload, runs may last until, checkpoint, ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StartRow(u32, u32, TaskRow, u32, u32, u64, String, String);

/// Order, worker, task, run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StopRow(u32, u32, TaskRow, u32);

/// Order, worker, task, run, percent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ThrottleRow(u32, u32, TaskRow, u32, u32);

/// Order, worker, ends acknowledged, runs may last until, milliseconds to wait for an end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PollRow(u32, u32, u64, Option<u64>, u64);

/// The results of orders.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Answers {
    #[serde(rename = "e")]
    pub(crate) ends: Vec<OrderResultRow>,
    #[serde(rename = "f")]
    pub(crate) polls: Vec<PollResultRow>,
    /// For polls whose answer has it, the start time of the incarnation that answered: order,
    /// start.
    #[serde(rename = "b", default)]
    pub(crate) start_times: Vec<(u32, StartTime)>,
}

/// Order, result (see [`refusal_code`]), the worker's clock if the answer had it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderResultRow(u32, u8, Option<u64>);

/// Order, the worker's clock, present runs, ended runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PollResultRow(u32, u64, Vec<PresentRow>, Vec<EndedRow>);

/// Task, run, checkpoint, percent, gauge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PresentRow(TaskRow, u32, String, u32, u64);

/// Number, task, run, outcome, checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedRow(u64, TaskRow, u32, u8, String);

/// An order, as the node that carries it out sees it.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    /// The number to which its answer refers.
    pub(crate) number: u32,
    pub(crate) effect: Effect,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Answer {
    /// Of a start, a stop or a throttle.
    Order(OrderResult<u64>),
    /// Of a poll.
    Poll(OrderResult<PollResponse>),
}

/// Assigns numbers to workers, on the sending side.
#[derive(Default)]
pub(crate) struct WorkerNumbering {
    numbers: HashMap<Incarnation, (u32, String, u64)>,
    next: u32,
}

/// Looks workers up by their numbers, on the receiving side.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: HashMap<u32, Addressee>,
}

impl WorkerNumbering {
    /// The number of a worker; added to the batch if the other side does not know it yet.
    fn number(&mut self, to: &Addressee, batch: &mut Batch) -> u32 {
        if let Some((number, address, token)) = self.numbers.get(&to.worker)
            && *address == to.address
            && *token == to.token
        {
            return *number;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(to.worker.clone(), (number, to.address.clone(), to.token));
        batch.workers.push(WorkerRow(number, to.worker.clone(), to.address.clone(), to.token));
        number
    }
}

/// Encodes orders. Effects that a delegate cannot carry out are logged and left out.
pub(crate) fn batch<'a>(
    numbering: &mut WorkerNumbering,
    orders: impl Iterator<Item = (u32, &'a Effect)>,
) -> Batch {
    let mut batch = Batch::default();
    let mut payloads: HashMap<*const u8, u32> = HashMap::new();
    for (number, effect) in orders {
        match effect {
            Effect::Start { to, start } => {
                let worker = numbering.number(to, &mut batch);
                let payload = *payloads.entry(start.payload.as_ptr()).or_insert_with(|| {
                    batch.payloads.push(start.payload.to_string());
                    batch.payloads.len() as u32 - 1
                });
                batch.starts.push(StartRow(
                    number,
                    worker,
                    start.task.into(),
                    start.run,
                    payload,
                    start.until_ms,
                    start.checkpoint.clone(),
                    start.ticket.clone(),
                ));
            }
            Effect::Stop { to, task, run } => {
                let worker = numbering.number(to, &mut batch);
                batch.stops.push(StopRow(number, worker, (*task).into(), *run));
            }
            Effect::Throttle { to, task, run, percent } => {
                let worker = numbering.number(to, &mut batch);
                batch.throttles.push(ThrottleRow(number, worker, (*task).into(), *run, *percent));
            }
            Effect::Poll { to, acknowledged, until_ms, wait } => {
                let worker = numbering.number(to, &mut batch);
                let wait = wait.as_millis() as u64;
                batch.polls.push(PollRow(number, worker, *acknowledged, *until_ms, wait));
            }
            Effect::Advise { step, .. } => {
                log::error!("step {step}: a request for advice is not an order to a worker");
            }
        }
    }
    batch
}

/// Decodes orders. An order with an unknown worker or payload is logged and left out: its owner
/// treats it as unanswered.
pub(crate) fn orders(table: &mut WorkerTable, batch: Batch) -> Vec<Order> {
    for WorkerRow(number, worker, address, token) in batch.workers {
        table.workers.insert(number, Addressee { worker, address, token });
    }
    let payloads: Vec<Arc<str>> = batch.payloads.into_iter().map(Into::into).collect();
    let addressee = |number: u32| {
        let to = table.workers.get(&number).cloned();
        if to.is_none() {
            log::error!("orders: unknown worker number {number}");
        }
        to
    };
    let mut orders = Vec::new();
    for StartRow(number, worker, task, run, payload, until_ms, checkpoint, ticket) in batch.starts {
        let (Some(to), Some(payload)) = (addressee(worker), payloads.get(payload as usize)) else {
            continue;
        };
        let (task, payload) = (task.into(), payload.clone());
        let start = Start { task, run, payload, until_ms, checkpoint, ticket };
        orders.push(Order { number, effect: Effect::Start { to, start } });
    }
    for StopRow(number, worker, task, run) in batch.stops {
        let stop = addressee(worker).map(|to| Effect::Stop { to, task: task.into(), run });
        orders.extend(stop.map(|effect| Order { number, effect }));
    }
    for ThrottleRow(number, worker, task, run, percent) in batch.throttles {
        let throttle =
            addressee(worker).map(|to| Effect::Throttle { to, task: task.into(), run, percent });
        orders.extend(throttle.map(|effect| Order { number, effect }));
    }
    for PollRow(number, worker, acknowledged, until_ms, wait) in batch.polls {
        let wait = Duration::from_millis(wait);
        let poll = addressee(worker).map(|to| Effect::Poll { to, acknowledged, until_ms, wait });
        orders.extend(poll.map(|effect| Order { number, effect }));
    }
    orders
}

/// Adds the result of an order to the next message.
pub(crate) fn add_answer(answers: &mut Answers, number: u32, answer: Answer) {
    match answer {
        Answer::Poll(OrderResult::Done(poll)) => {
            let present = poll.present.into_iter().map(|present| {
                let PresentRun { task, run, checkpoint, percent, gauge } = present;
                PresentRow(task.into(), run, checkpoint, percent, gauge)
            });
            let ended = poll.ended.into_iter().map(|ended| {
                let EndedRun { number, task, run, how, checkpoint } = ended;
                EndedRow(number, task.into(), run, outcome_code(how), checkpoint)
            });
            let (present, ended) = (present.collect(), ended.collect());
            answers.start_times.extend(poll.born.map(|born| (number, born)));
            answers.polls.push(PollResultRow(number, poll.clock_ms, present, ended));
        }
        Answer::Poll(OrderResult::Refused { why, clock_ms }) => {
            answers.ends.push(OrderResultRow(number, refusal_code(why), clock_ms));
        }
        Answer::Poll(OrderResult::Unknown) | Answer::Order(OrderResult::Unknown) => {
            answers.ends.push(OrderResultRow(number, UNKNOWN, None));
        }
        Answer::Poll(OrderResult::Unsent) | Answer::Order(OrderResult::Unsent) => {
            answers.ends.push(OrderResultRow(number, UNSENT, None));
        }
        Answer::Order(OrderResult::Done(clock_ms)) => {
            answers.ends.push(OrderResultRow(number, DONE, Some(clock_ms)));
        }
        Answer::Order(OrderResult::Refused { why, clock_ms }) => {
            answers.ends.push(OrderResultRow(number, refusal_code(why), clock_ms));
        }
    }
}

/// Decodes the results of orders, by their numbers.
pub(crate) fn read_answers(answers: Answers) -> Vec<(u32, Answer)> {
    let ends = answers.ends.into_iter().map(|OrderResultRow(number, code, clock_ms)| {
        let end = match code {
            DONE => OrderResult::Done(clock_ms.unwrap_or(0)),
            UNSENT => OrderResult::Unsent,
            _ => match refusal(code) {
                Some(why) => OrderResult::Refused { why, clock_ms },
                None => OrderResult::Unknown,
            },
        };
        (number, Answer::Order(end))
    });
    let start_times: HashMap<u32, StartTime> = answers.start_times.into_iter().collect();
    let found =
        answers.polls.into_iter().map(move |PollResultRow(number, clock_ms, present, ended)| {
            let born = start_times.get(&number).copied();
            let present =
                present.into_iter().map(|PresentRow(task, run, checkpoint, percent, gauge)| {
                    PresentRun { task: task.into(), run, checkpoint, percent, gauge }
                });
            let ended =
                ended.into_iter().map(|EndedRow(number, task, run, outcome, checkpoint)| {
                    Some(EndedRun {
                        number,
                        task: task.into(),
                        run,
                        how: outcome_of(outcome)?,
                        checkpoint,
                    })
                });
            // A run whose end is missing would count as lost.
            let end = match ended.collect::<Option<Vec<EndedRun>>>() {
                Some(ended) => OrderResult::Done(PollResponse {
                    born,
                    clock_ms,
                    present: present.collect(),
                    ended,
                }),
                None => OrderResult::Unknown,
            };
            (number, Answer::Poll(end))
        });
    ends.chain(found).collect()
}

impl From<TaskId> for TaskRow {
    fn from(task: TaskId) -> TaskRow {
        let StepId { job, occurrence, step } = task.of;
        TaskRow(job.number(), occurrence, step, task.index)
    }
}

impl From<TaskRow> for TaskId {
    fn from(TaskRow(job, occurrence, step, index): TaskRow) -> TaskId {
        TaskId { of: StepId { job: JobId::from_number(job), occurrence, step }, index }
    }
}

const DONE: u8 = 0;
const UNKNOWN: u8 = 1;
const UNSENT: u8 = 2;

/// Refusals: the code of each is its index here plus 3, after the three codes above.
const REFUSALS: [Refusal; 8] = [
    Refusal::Fenced,
    Refusal::Old,
    Refusal::Late,
    Refusal::Room,
    Refusal::Ticket,
    Refusal::OtherLife,
    Refusal::Unwell,
    Refusal::Invalid,
];

/// Outcomes of runs: the code of each is its index here.
const OUTCOMES: [RunOutcome; 6] = [
    RunOutcome::Done,
    RunOutcome::Failed,
    RunOutcome::Stopped,
    RunOutcome::Lapsed,
    RunOutcome::GangBroken,
    RunOutcome::GangIncomplete,
];

fn refusal_code(reason: Refusal) -> u8 {
    let index = REFUSALS.iter().position(|known| *known == reason);
    index.map_or(UNKNOWN, |index| UNSENT + 1 + index as u8)
}

fn refusal(code: u8) -> Option<Refusal> {
    REFUSALS.get(usize::from(code.checked_sub(UNSENT + 1)?)).copied()
}

fn outcome_code(outcome: RunOutcome) -> u8 {
    OUTCOMES.iter().position(|known| *known == outcome).map_or(u8::MAX, |index| index as u8)
}

fn outcome_of(code: u8) -> Option<RunOutcome> {
    let outcome = OUTCOMES.get(usize::from(code)).copied();
    if outcome.is_none() {
        log::error!("orders: unknown code {code} for the outcome of a run");
    }
    outcome
}
