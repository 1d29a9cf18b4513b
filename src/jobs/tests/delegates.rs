//! Tests of the delegates that send an owner's calls.

use std::collections::BTreeMap;

use super::worker_id;
use crate::{
    jobs::delegates::{Delegates, can_call_directly},
    model::{id::Incarnation, unit::Millicores},
};

fn workers(count: usize) -> Vec<Incarnation> {
    (0..count).map(|n| worker_id(&format!("w{n}"))).collect()
}

fn nodes(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("node-{n}")).collect()
}

fn shares(delegates: &Delegates, workers: &[Incarnation]) -> BTreeMap<String, usize> {
    let mut shares = BTreeMap::new();
    for worker in workers {
        *shares.entry(delegates.of(worker).unwrap().to_owned()).or_default() += 1;
    }
    shares
}

#[test]
fn a_node_calls_as_many_workers_itself_as_its_processor_allows() {
    assert!(can_call_directly(24, Millicores(120)));
    assert!(!can_call_directly(25, Millicores(120)));
    assert!(can_call_directly(49, Millicores(250)));
    assert!(!can_call_directly(900, Millicores(500)));
}

#[test]
fn workers_are_distributed_evenly_and_keep_their_delegate() {
    let mut delegates = Delegates::default();
    let (few, many) = (workers(100), workers(300));
    delegates.choose("pool", &nodes(40), &few);
    let before: Vec<String> = few.iter().map(|w| delegates.of(w).unwrap().to_owned()).collect();
    assert!(shares(&delegates, &few).values().all(|share| *share <= 12));
    delegates.choose("pool", &nodes(40), &many);
    assert!(shares(&delegates, &many).values().all(|share| *share <= 12));
    let unchanged =
        few.iter().zip(&before).filter(|(w, node)| delegates.of(w) == Some(node)).count();
    assert_eq!(unchanged, few.len(), "with more delegates, workers keep the ones that they have");
}

#[test]
fn the_workers_of_a_removed_delegate_go_to_the_others() {
    let mut delegates = Delegates::default();
    let workers = workers(60);
    delegates.choose("pool", &nodes(5), &workers);
    delegates.choose("pool", &nodes(4), &workers);
    let shares = shares(&delegates, &workers);
    assert_eq!(shares.values().sum::<usize>(), 60);
    assert!(!shares.contains_key("node-4"));
    assert!(shares.values().all(|share| *share == 15), "{shares:?}");
}

#[test]
fn without_other_nodes_the_owner_makes_all_calls() {
    let mut delegates = Delegates::default();
    delegates.choose("pool", &[], &workers(60));
    assert_eq!(delegates.of(&worker_id("w1")), None);
}

/// Guards against workers that change their delegate, and open connections that are closed, whenever
/// a node has nothing more to own or can be reached again.
#[test]
fn workers_keep_their_delegate_when_another_node_becomes_a_candidate() {
    let (all, workers) = (nodes(30), workers(120));
    for added in &all {
        let others: Vec<String> = all.iter().filter(|node| *node != added).cloned().collect();
        let mut delegates = Delegates::default();
        delegates.choose("pool", &others, &workers);
        let before: Vec<String> =
            workers.iter().map(|w| delegates.of(w).unwrap().to_owned()).collect();
        delegates.choose("pool", &all, &workers);
        let moved =
            workers.iter().zip(&before).filter(|(w, node)| delegates.of(w) != Some(node)).count();
        assert_eq!(moved, 0, "{added} was added");
    }
}
