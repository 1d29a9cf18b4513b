//! Tests of what nodes say to each other of orders.

use std::time::Duration;

use bolero::TypeGenerator;

use crate::{
    jobs::event::Effect,
    model::{
        id::Born,
        job::{JobId, StepId, TaskId},
        order::{Addressee, Start},
        worker::{Ended, HowEnded, Look, OrderEnd, Present, Refusal},
    },
    scheduler::dispatch::wire::{
        self, Answer, Answers, Batch, Namer, Names, add_answer, read_answers,
    },
    tests::fuzz,
};

/// An order or an answer, as it is drawn.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Drawn {
    kind: u8,
    worker: u8,
    token: u8,
    task: u8,
    number: u16,
}

fn addressee(drawn: &Drawn) -> Addressee {
    let worker = drawn.worker % 5;
    Addressee {
        worker: format!("w{worker}").parse().unwrap(),
        address: format!("10.0.0.{worker}:80"),
        token: u64::from(drawn.token % 3),
    }
}

fn task(drawn: &Drawn) -> TaskId {
    let job = JobId::from_number(u64::MAX - u64::from(drawn.task));
    let of = StepId { job, time: u32::from(drawn.kind), step: u32::from(drawn.worker) };
    TaskId { of, index: u32::from(drawn.number) }
}

fn effect(drawn: &Drawn) -> Effect {
    let (to, task, run) = (addressee(drawn), task(drawn), u32::from(drawn.number));
    match drawn.kind % 4 {
        0 => Effect::Start {
            to,
            start: Start {
                task,
                run,
                payload: format!("payload {}", drawn.task % 3).into(),
                until_ms: u64::from(drawn.number) << 20,
                checkpoint: if drawn.token.is_multiple_of(2) {
                    String::new()
                } else {
                    "saved".into()
                },
                ticket: if drawn.worker.is_multiple_of(2) {
                    String::new()
                } else {
                    "ticket".into()
                },
            },
        },
        1 => Effect::Stop { to, task, run },
        2 => Effect::Pace { to, task, run, percent: u32::from(drawn.worker) % 101 },
        _ => Effect::Look {
            to,
            acknowledged: u64::from(drawn.number),
            until_ms: (drawn.token.is_multiple_of(2)).then_some(u64::from(drawn.number)),
            wait: Duration::from_millis(u64::from(drawn.number)),
        },
    }
}

fn answer(drawn: &Drawn) -> Answer {
    let clock = u64::from(drawn.number);
    let whys = [Refusal::Fenced, Refusal::Old, Refusal::Late, Refusal::Room, Refusal::Ticket];
    let why = whys[drawn.task as usize % whys.len()];
    match drawn.kind % 5 {
        0 => Answer::End(OrderEnd::Done(clock)),
        1 => Answer::End(OrderEnd::Unknown),
        2 => Answer::End(OrderEnd::Unsent),
        3 => Answer::End(OrderEnd::Refused {
            why,
            clock_ms: (clock.is_multiple_of(2)).then_some(clock),
        }),
        _ => Answer::Look(OrderEnd::Done(look(drawn, clock))),
    }
}

fn look(drawn: &Drawn, clock_ms: u64) -> Look {
    let (task, run) = (task(drawn), u32::from(drawn.number));
    let saved = "saved".to_owned();
    let present = Present { task, run, saved: saved.clone(), percent: 7, gauge: clock_ms };
    let hows = [HowEnded::Done, HowEnded::Failed, HowEnded::Stopped, HowEnded::Alone];
    let how = hows[drawn.token as usize % hows.len()];
    let ended = Ended { number: clock_ms, task, run, how, saved };
    Look {
        born: drawn.number.is_multiple_of(2).then_some(Born(clock_ms)),
        clock_ms,
        present: vec![present; drawn.task as usize % 3],
        ended: vec![ended; drawn.token as usize % 3],
    }
}

fn cbor<T: serde::Serialize + serde::de::DeserializeOwned>(value: &T) -> T {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).unwrap();
    ciborium::from_reader(&bytes[..]).unwrap()
}

/// Whatever orders go out, in whichever batches, the same ones come in.
#[test]
fn orders_come_as_they_were_given() {
    fuzz(200, 40, |all: &[Drawn]| {
        let (mut namer, mut names) = (Namer::default(), Names::default());
        for part in all.chunks(7) {
            let given: Vec<Effect> = part.iter().map(effect).collect();
            let numbered = given.iter().enumerate().map(|(number, one)| (number as u32, one));
            let batch: Batch = cbor(&wire::batch(&mut namer, numbered));
            let mut come = wire::orders(&mut names, batch);
            come.sort_by_key(|order| order.number);
            let come: Vec<String> = come.iter().map(|o| format!("{:?}", o.effect)).collect();
            let given: Vec<String> = given.iter().map(|one| format!("{one:?}")).collect();
            assert_eq!(come, given);
        }
    });
}

#[test]
fn answers_come_as_they_were_given() {
    fuzz(200, 20, |all: &[Drawn]| {
        let mut answers = Answers::default();
        for (number, drawn) in all.iter().enumerate() {
            add_answer(&mut answers, number as u32, answer(drawn));
        }
        let mut come = read_answers(cbor(&answers));
        come.sort_by_key(|(number, _)| *number);
        let come: Vec<Answer> = come.into_iter().map(|(_, answer)| answer).collect();
        let given: Vec<Answer> = all.iter().map(answer).collect();
        assert_eq!(come, given);
    });
}

/// A row that names a worker which was not told is left out, and the others count.
#[test]
fn an_order_for_a_worker_that_was_not_told_is_left_out() {
    let drawn = Drawn { kind: 1, worker: 1, token: 1, task: 1, number: 1 };
    let mut batch = wire::batch(&mut Namer::default(), [(7, &effect(&drawn))].into_iter());
    batch.workers.clear();
    assert!(wire::orders(&mut Names::default(), batch).is_empty());
}

/// A newer node may know ends that this one does not. Without such an end the run would be on no
/// list, and would be taken for gone: the look tells nothing instead.
#[test]
fn a_look_with_an_end_that_is_not_understood_tells_nothing() {
    let drawn = Drawn { kind: 4, worker: 1, token: 1, task: 1, number: 1 };
    let mut answers = Answers::default();
    add_answer(&mut answers, 7, Answer::Look(OrderEnd::Done(look(&drawn, 5))));
    let mut bytes = Vec::new();
    ciborium::into_writer(&answers, &mut bytes).unwrap();
    let mut value: ciborium::Value = ciborium::from_reader(&bytes[..]).unwrap();
    let found = &mut value.as_map_mut().unwrap()[1].1.as_array_mut().unwrap()[0];
    let ended = &mut found.as_array_mut().unwrap()[3].as_array_mut().unwrap()[0];
    ended.as_array_mut().unwrap()[3] = 99.into();
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    let come = read_answers(ciborium::from_reader(&bytes[..]).unwrap());
    assert_eq!(come, vec![(7, Answer::Look(OrderEnd::Unknown))]);
}
