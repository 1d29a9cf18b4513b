//! Tests of which node owns which pool.

use std::collections::BTreeMap;

use crate::{
    jobs::balance::{Capacity, pool_cost, rank, to_release},
    model::unit::Millicores,
};

fn nodes(rows: &[(&str, u32, u32)]) -> BTreeMap<String, Capacity> {
    let node = |(name, cpu, used): &(&str, u32, u32)| {
        let capacity = Capacity { cpu: Millicores(*cpu), used: Millicores(*used) };
        ((*name).to_owned(), capacity)
    };
    rows.iter().map(node).collect()
}

/// Guards against a node with 0.12 of a core acquiring three pools of 80 workers and being
/// overloaded.
#[test]
fn a_node_with_little_processor_time_ranks_after_those_with_more() {
    let nodes = nodes(&[("a", 120, 0), ("b", 500, 0), ("c", 500, 200)]);
    let cost = pool_cost(80);
    assert_eq!(rank(&nodes, "b", cost), 0);
    assert_eq!(rank(&nodes, "c", cost), 1);
    assert_eq!(rank(&nodes, "a", cost), 2);
}

#[test]
fn all_nodes_have_different_ranks() {
    let nodes = nodes(&[("a", 250, 0), ("b", 250, 0), ("c", 250, 0)]);
    let mut ranks: Vec<usize> = ["a", "b", "c"].map(|me| rank(&nodes, me, pool_cost(9))).to_vec();
    ranks.sort();
    assert_eq!(ranks, vec![0, 1, 2]);
    // A node that is not listed comes last.
    assert_eq!(rank(&nodes, "d", pool_cost(9)), 3);
}

#[test]
fn an_overloaded_node_releases_its_most_expensive_ownership() {
    let (large, small) = (pool_cost(80), pool_cost(10));
    let nodes = nodes(&[("a", 120, large.0 + small.0), ("b", 500, 0)]);
    let owned = BTreeMap::from([("pool-large", large), ("pool-small", small)]);
    assert_eq!(to_release(&nodes, "a", &owned), Some("pool-large"));
}

#[test]
fn a_node_keeps_its_ownerships_if_it_is_not_overloaded_or_no_other_node_is_less_utilized() {
    let cost = pool_cost(80);
    let owned = BTreeMap::from([("pool", cost)]);
    let not_overloaded = nodes(&[("a", 500, cost.0), ("b", 500, 0)]);
    assert_eq!(to_release(&not_overloaded, "a", &owned), None);
    let equally_loaded = nodes(&[("a", 120, cost.0), ("b", 120, 0)]);
    assert_eq!(to_release(&equally_loaded, "a", &owned), None);
}
