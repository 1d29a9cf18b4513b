//! Tests of the wire format of orders and answers between nodes.

use std::time::Duration;

use bolero::TypeGenerator;

use crate::{
    jobs::event::Effect,
    model::{
        id::StartTime,
        job::{JobId, StepId, TaskId},
        order::{Addressee, Start},
        worker::{EndedRun, OrderResult, PollResponse, PresentRun, Refusal, RunOutcome},
    },
    scheduler::dispatch::wire::{
        self, Answer, Answers, Batch, WorkerNumbering, WorkerTable, add_answer, read_answers,
    },
    tests::fuzz,
};

/// Random input from which an order or an answer is made.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Sample {
    kind: u8,
    worker: u8,
    token: u8,
    task: u8,
    number: u16,
}

fn addressee(sample: &Sample) -> Addressee {
    let worker = sample.worker % 5;
    Addressee {
        worker: format!("w{worker}").parse().unwrap(),
        address: format!("10.0.0.{worker}:80"),
        token: u64::from(sample.token % 3),
    }
}

fn task(sample: &Sample) -> TaskId {
    let job = JobId::from_number(u64::MAX - u64::from(sample.task));
    let of = StepId { job, occurrence: u32::from(sample.kind), step: u32::from(sample.worker) };
    TaskId { of, index: u32::from(sample.number) }
}

fn effect(sample: &Sample) -> Effect {
    let (to, task, run) = (addressee(sample), task(sample), u32::from(sample.number));
    match sample.kind % 4 {
        0 => Effect::Start {
            to,
            start: Start {
                task,
                run,
                payload: format!("payload {}", sample.task % 3).into(),
                until_ms: u64::from(sample.number) << 20,
                checkpoint: if sample.token.is_multiple_of(2) {
                    String::new()
                } else {
                    "checkpoint".into()
                },
                ticket: if sample.worker.is_multiple_of(2) {
                    String::new()
                } else {
                    "ticket".into()
                },
            },
        },
        1 => Effect::Stop { to, task, run },
        2 => Effect::Throttle { to, task, run, percent: u32::from(sample.worker) % 101 },
        _ => Effect::Poll {
            to,
            acknowledged: u64::from(sample.number),
            until_ms: (sample.token.is_multiple_of(2)).then_some(u64::from(sample.number)),
            wait: Duration::from_millis(u64::from(sample.number)),
        },
    }
}

fn answer(sample: &Sample) -> Answer {
    let clock = u64::from(sample.number);
    let refusals = [Refusal::Fenced, Refusal::Old, Refusal::Late, Refusal::Room, Refusal::Ticket];
    let why = refusals[sample.task as usize % refusals.len()];
    match sample.kind % 5 {
        0 => Answer::Order(OrderResult::Done(clock)),
        1 => Answer::Order(OrderResult::Unknown),
        2 => Answer::Order(OrderResult::Unsent),
        3 => Answer::Order(OrderResult::Refused {
            why,
            clock_ms: (clock.is_multiple_of(2)).then_some(clock),
        }),
        _ => Answer::Poll(OrderResult::Done(poll_response(sample, clock))),
    }
}

fn poll_response(sample: &Sample, clock_ms: u64) -> PollResponse {
    let (task, run) = (task(sample), u32::from(sample.number));
    let data = "checkpoint".to_owned();
    let present = PresentRun { task, run, checkpoint: data.clone(), percent: 7, gauge: clock_ms };
    let outcomes =
        [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::GangIncomplete];
    let how = outcomes[sample.token as usize % outcomes.len()];
    let ended = EndedRun { number: clock_ms, task, run, how, checkpoint: data };
    PollResponse {
        born: sample.number.is_multiple_of(2).then_some(StartTime(clock_ms)),
        clock_ms,
        present: vec![present; sample.task as usize % 3],
        ended: vec![ended; sample.token as usize % 3],
    }
}

fn cbor<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// All orders arrive as they were sent, however they are batched.
#[test]
fn orders_survive_the_wire_format() {
    fuzz(200, 40, |all: &[Sample]| {
        let (mut namer, mut names) = (WorkerNumbering::default(), WorkerTable::default());
        for part in all.chunks(7) {
            let sent: Vec<Effect> = part.iter().map(effect).collect();
            let numbered = sent.iter().enumerate().map(|(number, one)| (number as u32, one));
            let batch: Batch = cbor(&wire::batch(&mut namer, numbered));
            let mut received = wire::orders(&mut names, batch);
            received.sort_by_key(|order| order.number);
            let received: Vec<String> =
                received.iter().map(|o| format!("{:?}", o.effect)).collect();
            let sent: Vec<String> = sent.iter().map(|one| format!("{one:?}")).collect();
            assert_eq!(received, sent);
        }
    });
}

#[test]
fn answers_survive_the_wire_format() {
    fuzz(200, 20, |all: &[Sample]| {
        let mut answers = Answers::default();
        for (number, sample) in all.iter().enumerate() {
            add_answer(&mut answers, number as u32, answer(sample));
        }
        let mut received = read_answers(cbor(&answers));
        received.sort_by_key(|(number, _)| *number);
        let received: Vec<Answer> = received.into_iter().map(|(_, answer)| answer).collect();
        let sent: Vec<Answer> = all.iter().map(answer).collect();
        assert_eq!(received, sent);
    });
}

/// A row that names a worker which was not announced is dropped, and the others count.
#[test]
fn an_order_that_names_an_unannounced_worker_is_dropped() {
    let sample = Sample { kind: 1, worker: 1, token: 1, task: 1, number: 1 };
    let mut batch =
        wire::batch(&mut WorkerNumbering::default(), [(7, &effect(&sample))].into_iter());
    batch.workers.clear();
    assert!(wire::orders(&mut WorkerTable::default(), batch).is_empty());
}

/// A newer node may report outcomes that this one does not support. Without such an end the run
/// would be on no list and presumed ended; so the whole response is discarded.
#[test]
fn a_poll_response_with_an_unsupported_outcome_counts_as_unknown() {
    let sample = Sample { kind: 4, worker: 1, token: 1, task: 1, number: 1 };
    let mut answers = Answers::default();
    add_answer(&mut answers, 7, Answer::Poll(OrderResult::Done(poll_response(&sample, 5))));
    let mut bytes = Vec::new();
    ciborium::into_writer(&answers, &mut bytes).unwrap();
    let mut value: ciborium::Value = ciborium::from_reader(&bytes[..]).unwrap();
    let found = &mut value.as_map_mut().unwrap()[1].1.as_array_mut().unwrap()[0];
    let ended = &mut found.as_array_mut().unwrap()[3].as_array_mut().unwrap()[0];
    ended.as_array_mut().unwrap()[3] = 99.into();
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    let received = read_answers(ciborium::from_reader(&bytes[..]).unwrap());
    assert_eq!(received, vec![(7, Answer::Poll(OrderResult::Unknown))]);
}
