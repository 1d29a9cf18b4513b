//! Tests of who makes an owner's calls.

use std::collections::BTreeMap;

use super::worker_id;
use crate::{
    jobs::helpers::{Helpers, is_small},
    model::{id::Incarnation, unit::Millicores},
};

fn workers(count: usize) -> Vec<Incarnation> {
    (0..count).map(|n| worker_id(&format!("w{n}"))).collect()
}

fn nodes(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("node-{n}")).collect()
}

fn shares(helpers: &Helpers, workers: &[Incarnation]) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for worker in workers {
        *shares.entry(helpers.of(worker).unwrap().to_owned()).or_default() += 1;
    }
    shares
}

#[test]
fn a_node_calls_the_workers_itself_that_it_has_time_for() {
    assert!(is_small(24, Millicores(120)));
    assert!(!is_small(25, Millicores(120)));
    assert!(is_small(49, Millicores(250)));
    assert!(!is_small(900, Millicores(500)));
}

#[test]
fn workers_are_shared_out_evenly_and_keep_their_node() {
    let mut helpers = Helpers::default();
    let (few, many) = (workers(100), workers(300));
    helpers.choose("pool", &nodes(40), &few);
    let before: Vec<String> = few.iter().map(|w| helpers.of(w).unwrap().to_owned()).collect();
    assert!(shares(&helpers, &few).values().all(|share| *share <= 12));
    helpers.choose("pool", &nodes(40), &many);
    assert!(shares(&helpers, &many).values().all(|share| *share <= 12));
    let kept = few.iter().zip(&before).filter(|(w, node)| helpers.of(w) == Some(node)).count();
    assert_eq!(kept, few.len(), "more nodes help, and those that did go on");
}

#[test]
fn the_workers_of_a_node_that_is_gone_go_to_others() {
    let mut helpers = Helpers::default();
    let workers = workers(60);
    helpers.choose("pool", &nodes(5), &workers);
    helpers.choose("pool", &nodes(4), &workers);
    let shares = shares(&helpers, &workers);
    assert_eq!(shares.values().sum::<usize>(), 60);
    assert!(!shares.contains_key("node-4"));
    assert!(shares.values().all(|share| *share == 15), "{shares:?}");
}

#[test]
fn without_other_nodes_the_owner_makes_all_calls() {
    let mut helpers = Helpers::default();
    helpers.choose("pool", &[], &workers(60));
    assert_eq!(helpers.of(&worker_id("w1")), None);
}
