//! Tests of which node owns which piece of work.

use std::collections::BTreeMap;

use crate::{
    jobs::balance::{Capacity, pool_cost, rank, to_give},
    model::unit::Millicores,
};

fn nodes(rows: &[(&str, u32, u32)]) -> BTreeMap<String, Capacity> {
    let node = |(name, cpu, used): &(&str, u32, u32)| {
        let capacity = Capacity { cpu: Millicores(*cpu), used: Millicores(*used) };
        ((*name).to_owned(), capacity)
    };
    rows.iter().map(node).collect()
}

/// A node with 0.12 of a core won three pools of 80 workers and was choked.
#[test]
fn a_node_with_little_processor_time_waits_for_those_with_more() {
    let nodes = nodes(&[("a", 120, 0), ("b", 500, 0), ("c", 500, 200)]);
    let cost = pool_cost(80);
    assert_eq!(rank(&nodes, "b", cost), 0);
    assert_eq!(rank(&nodes, "c", cost), 1);
    assert_eq!(rank(&nodes, "a", cost), 2);
}

#[test]
fn every_node_has_a_rank_of_its_own() {
    let nodes = nodes(&[("a", 250, 0), ("b", 250, 0), ("c", 250, 0)]);
    let mut ranks: Vec<usize> = ["a", "b", "c"].map(|me| rank(&nodes, me, pool_cost(9))).to_vec();
    ranks.sort();
    assert_eq!(ranks, vec![0, 1, 2]);
    // One that is not listed comes last.
    assert_eq!(rank(&nodes, "d", pool_cost(9)), 3);
}

#[test]
fn a_node_that_owns_too_much_gives_the_dearest_piece_that_helps() {
    let (large, small) = (pool_cost(80), pool_cost(10));
    let nodes = nodes(&[("a", 120, large.0 + small.0), ("b", 500, 0)]);
    let owned = BTreeMap::from([("pool-large", large), ("pool-small", small)]);
    assert_eq!(to_give(&nodes, "a", &owned), Some("pool-large"));
}

#[test]
fn a_node_keeps_its_work_when_it_copes_or_nobody_is_better_off() {
    let cost = pool_cost(80);
    let owned = BTreeMap::from([("pool", cost)]);
    let copes = nodes(&[("a", 500, cost.0), ("b", 500, 0)]);
    assert_eq!(to_give(&copes, "a", &owned), None);
    let alike = nodes(&[("a", 120, cost.0), ("b", 120, 0)]);
    assert_eq!(to_give(&alike, "a", &owned), None);
}
