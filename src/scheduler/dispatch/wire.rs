//! What two nodes say to each other: orders one way, what became of them the other way. Rows are
//! tuples and workers are named once a link, since an owner of a thousand workers gives thousands of
//! orders a second.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    jobs::event::Effect,
    model::{
        id::{Born, Incarnation},
        job::{JobId, StepId, TaskId},
        order::{Addressee, Start},
        worker::{Ended, HowEnded, Look, OrderEnd, Present, Refusal},
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
    pub(crate) paces: Vec<PaceRow>,
    #[serde(rename = "l")]
    pub(crate) looks: Vec<LookRow>,
}

/// A worker that later rows name by its number: number, identifier, address, token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerRow(u32, Incarnation, String, u64);

/// A task: job, time, step, index.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct TaskRow(u64, u32, u32, u32);

/// Order, worker, task, run, payload, until when, checkpoint, ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StartRow(u32, u32, TaskRow, u32, u32, u64, String, String);

/// Order, worker, task, run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StopRow(u32, u32, TaskRow, u32);

/// Order, worker, task, run, percent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PaceRow(u32, u32, TaskRow, u32, u32);

/// Order, worker, ends acknowledged, until when, milliseconds to wait for an end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LookRow(u32, u32, u64, Option<u64>, u64);

/// What became of orders.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Answers {
    #[serde(rename = "e")]
    pub(crate) ends: Vec<EndRow>,
    #[serde(rename = "f")]
    pub(crate) found: Vec<FoundRow>,
    /// Looks that tell when the incarnation started that answered: order, start.
    #[serde(rename = "b", default)]
    pub(crate) born: Vec<(u32, Born)>,
}

/// Order, how it went (see [`code`]), the worker's clock if it told it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndRow(u32, u8, Option<u64>);

/// Order, clock, what is present, what has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct FoundRow(u32, u64, Vec<PresentRow>, Vec<EndedRow>);

/// Task, run, checkpoint, percent, gauge.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PresentRow(TaskRow, u32, String, u32, u64);

/// Number, task, run, how, checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedRow(u64, TaskRow, u32, u8, String);

/// An order, as the node that carries it out sees it.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    /// The number by which its answer is told.
    pub(crate) number: u32,
    pub(crate) effect: Effect,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Answer {
    /// Of a start, a stop or a pace.
    End(OrderEnd<u64>),
    /// Of a look.
    Look(OrderEnd<Look>),
}

/// Names workers by numbers, on the side that gives orders.
#[derive(Default)]
pub(crate) struct Namer {
    numbers: HashMap<Incarnation, (u32, String, u64)>,
    next: u32,
}

/// Knows workers by their numbers, on the side that carries orders out.
#[derive(Default)]
pub(crate) struct Names {
    workers: HashMap<u32, Addressee>,
}

impl Namer {
    /// The number of a worker; told in the batch if the other side does not know it yet.
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

/// Orders as they are sent. Those that no other node carries out are left out, with a log line.
pub(crate) fn batch<'a>(
    namer: &mut Namer,
    orders: impl Iterator<Item = (u32, &'a Effect)>,
) -> Batch {
    let mut batch = Batch::default();
    let mut payloads: HashMap<*const u8, u32> = HashMap::new();
    for (number, effect) in orders {
        match effect {
            Effect::Start { to, start } => {
                let worker = namer.number(to, &mut batch);
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
                let worker = namer.number(to, &mut batch);
                batch.stops.push(StopRow(number, worker, (*task).into(), *run));
            }
            Effect::Pace { to, task, run, percent } => {
                let worker = namer.number(to, &mut batch);
                batch.paces.push(PaceRow(number, worker, (*task).into(), *run, *percent));
            }
            Effect::Look { to, acknowledged, until_ms, wait } => {
                let worker = namer.number(to, &mut batch);
                let wait = wait.as_millis() as u64;
                batch.looks.push(LookRow(number, worker, *acknowledged, *until_ms, wait));
            }
            Effect::Advise { step, .. } => {
                log::error!("step {step}: a question for advice is no order to a worker");
            }
        }
    }
    batch
}

/// Orders as they came. One that names a worker or payload that was not told is left out, with a
/// log line: its owner takes it for unanswered.
pub(crate) fn orders(names: &mut Names, batch: Batch) -> Vec<Order> {
    for WorkerRow(number, worker, address, token) in batch.workers {
        names.workers.insert(number, Addressee { worker, address, token });
    }
    let payloads: Vec<Arc<str>> = batch.payloads.into_iter().map(Into::into).collect();
    let known = |number: u32| {
        let to = names.workers.get(&number).cloned();
        if to.is_none() {
            log::error!("orders: worker {number} was not told");
        }
        to
    };
    let mut orders = Vec::new();
    for StartRow(number, worker, task, run, payload, until_ms, checkpoint, ticket) in batch.starts {
        let (Some(to), Some(payload)) = (known(worker), payloads.get(payload as usize)) else {
            continue;
        };
        let (task, payload) = (task.into(), payload.clone());
        let start = Start { task, run, payload, until_ms, checkpoint, ticket };
        orders.push(Order { number, effect: Effect::Start { to, start } });
    }
    for StopRow(number, worker, task, run) in batch.stops {
        let stop = known(worker).map(|to| Effect::Stop { to, task: task.into(), run });
        orders.extend(stop.map(|effect| Order { number, effect }));
    }
    for PaceRow(number, worker, task, run, percent) in batch.paces {
        let pace = known(worker).map(|to| Effect::Pace { to, task: task.into(), run, percent });
        orders.extend(pace.map(|effect| Order { number, effect }));
    }
    for LookRow(number, worker, acknowledged, until_ms, wait) in batch.looks {
        let wait = Duration::from_millis(wait);
        let look = known(worker).map(|to| Effect::Look { to, acknowledged, until_ms, wait });
        orders.extend(look.map(|effect| Order { number, effect }));
    }
    orders
}

/// Adds what became of an order to what is told next.
pub(crate) fn add_answer(answers: &mut Answers, number: u32, answer: Answer) {
    match answer {
        Answer::Look(OrderEnd::Done(look)) => {
            let present = look.present.into_iter().map(|present| {
                let Present { task, run, saved, percent, gauge } = present;
                PresentRow(task.into(), run, saved, percent, gauge)
            });
            let ended = look.ended.into_iter().map(|ended| {
                let Ended { number, task, run, how, saved } = ended;
                EndedRow(number, task.into(), run, how_code(how), saved)
            });
            let (present, ended) = (present.collect(), ended.collect());
            answers.born.extend(look.born.map(|born| (number, born)));
            answers.found.push(FoundRow(number, look.clock_ms, present, ended));
        }
        Answer::Look(OrderEnd::Refused { why, clock_ms }) => {
            answers.ends.push(EndRow(number, code(why), clock_ms));
        }
        Answer::Look(OrderEnd::Unknown) | Answer::End(OrderEnd::Unknown) => {
            answers.ends.push(EndRow(number, UNKNOWN, None));
        }
        Answer::Look(OrderEnd::Unsent) | Answer::End(OrderEnd::Unsent) => {
            answers.ends.push(EndRow(number, UNSENT, None));
        }
        Answer::End(OrderEnd::Done(clock_ms)) => {
            answers.ends.push(EndRow(number, DONE, Some(clock_ms)));
        }
        Answer::End(OrderEnd::Refused { why, clock_ms }) => {
            answers.ends.push(EndRow(number, code(why), clock_ms));
        }
    }
}

/// What became of orders, by their numbers.
pub(crate) fn read_answers(answers: Answers) -> Vec<(u32, Answer)> {
    let ends = answers.ends.into_iter().map(|EndRow(number, code, clock_ms)| {
        let end = match code {
            DONE => OrderEnd::Done(clock_ms.unwrap_or(0)),
            UNSENT => OrderEnd::Unsent,
            _ => match refusal(code) {
                Some(why) => OrderEnd::Refused { why, clock_ms },
                None => OrderEnd::Unknown,
            },
        };
        (number, Answer::End(end))
    });
    let born: HashMap<u32, Born> = answers.born.into_iter().collect();
    let found = answers.found.into_iter().map(move |FoundRow(number, clock_ms, present, ended)| {
        let born = born.get(&number).copied();
        let present = present.into_iter().map(|PresentRow(task, run, saved, percent, gauge)| {
            Present { task: task.into(), run, saved, percent, gauge }
        });
        let ended = ended.into_iter().map(|EndedRow(number, task, run, how, saved)| {
            Some(Ended { number, task: task.into(), run, how: how_of(how)?, saved })
        });
        // A run whose end is left out would count as gone.
        let end = match ended.collect::<Option<Vec<Ended>>>() {
            Some(ended) => {
                OrderEnd::Done(Look { born, clock_ms, present: present.collect(), ended })
            }
            None => OrderEnd::Unknown,
        };
        (number, Answer::Look(end))
    });
    ends.chain(found).collect()
}

impl From<TaskId> for TaskRow {
    fn from(task: TaskId) -> TaskRow {
        let StepId { job, time, step } = task.of;
        TaskRow(job.number(), time, step, task.index)
    }
}

impl From<TaskRow> for TaskId {
    fn from(TaskRow(job, time, step, index): TaskRow) -> TaskId {
        TaskId { of: StepId { job: JobId::from_number(job), time, step }, index }
    }
}

const DONE: u8 = 0;
const UNKNOWN: u8 = 1;
const UNSENT: u8 = 2;

/// Refusals by their codes, which are their places here, after the three above.
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

/// How runs end, by their codes, which are their places here.
const HOWS: [HowEnded; 6] = [
    HowEnded::Done,
    HowEnded::Failed,
    HowEnded::Stopped,
    HowEnded::Lapsed,
    HowEnded::Broken,
    HowEnded::Alone,
];

fn code(why: Refusal) -> u8 {
    let place = REFUSALS.iter().position(|known| *known == why);
    place.map_or(UNKNOWN, |place| UNSENT + 1 + place as u8)
}

fn refusal(code: u8) -> Option<Refusal> {
    REFUSALS.get(usize::from(code.checked_sub(UNSENT + 1)?)).copied()
}

fn how_code(how: HowEnded) -> u8 {
    HOWS.iter().position(|known| *known == how).map_or(u8::MAX, |place| place as u8)
}

fn how_of(code: u8) -> Option<HowEnded> {
    let how = HOWS.get(usize::from(code)).copied();
    if how.is_none() {
        log::error!("orders: {code} does not tell how a run ends");
    }
    how
}
