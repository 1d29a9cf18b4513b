use crate::{
    jobs::{
        start::{
            fair_share::Amount,
            turn::{Beyond, Candidate, order},
        },
        urgency::Urgency,
    },
    model::{account::Weight, job::JobId},
};

fn candidate(number: u64, lateness: u32, slack: i64) -> Candidate {
    let urgency = Urgency::new(1, lateness, slack);
    Candidate { job: JobId::from_number(number), urgency, beyond: None, claim: None }
}

fn beyond(number: u64, slack: i64, account: &str, weight: f64) -> Candidate {
    let weight = Weight::per_second(weight).unwrap();
    let beyond = Some(Beyond { account: account.parse().unwrap(), weight });
    Candidate { beyond, ..candidate(number, 0, slack) }
}

fn numbers(candidates: Vec<Candidate>) -> Vec<u64> {
    order(candidates, Amount::default()).into_iter().map(JobId::number).collect()
}

#[test]
fn jobs_in_time_come_first_then_those_with_the_least_slack() {
    let order = order(
        vec![
            candidate(1, 1, -900),
            candidate(2, 0, 700),
            candidate(4, 0, 200),
            candidate(3, 0, 200),
        ],
        Amount::default(),
    );
    let numbers: Vec<u64> = order.into_iter().map(JobId::number).collect();
    assert_eq!(numbers, [3, 4, 2, 1]);
}

#[test]
fn jobs_beyond_a_weight_wait_behind_all_that_are_within() {
    let candidates = vec![
        beyond(1, -500, "a", 1.0),
        candidate(2, 2, -9_000),
        candidate(3, 0, 5_000),
        beyond(4, -900, "a", 1.0),
    ];
    assert_eq!(numbers(candidates), [3, 2, 4, 1]);
}

#[test]
fn accounts_beyond_their_weights_take_turns_in_proportion_to_them() {
    let heavy = (0..6).map(|number| beyond(number, 0, "heavy", 3.0));
    let light = (10..14).map(|number| beyond(number, -100, "light", 1.0));
    let order = numbers(heavy.chain(light).collect());
    let of_first_eight = order.iter().take(8).filter(|number| **number < 10).count();
    assert_eq!(of_first_eight, 6, "three of four turns: {order:?}");
    let light: Vec<u64> = order.into_iter().filter(|number| 10 <= *number).collect();
    assert_eq!(light, [10, 11, 12, 13]);
}
