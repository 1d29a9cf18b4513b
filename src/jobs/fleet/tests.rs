//! Tests of how hosts are distributed over pools.

use std::cell::Cell;

use bolero::TypeGenerator;

use super::size::{HostRequest, distribute};
use crate::tests::fuzz;

/// A generated request. Each number is the increase over the one before.
#[derive(Debug, Clone, TypeGenerator)]
struct GeneratedRequest {
    spread: u8,
    needed: u8,
    timely: u8,
    wanted: u8,
}

impl GeneratedRequest {
    fn request(&self) -> HostRequest {
        // Few distinct values, so that many pools have equal ranks.
        let part = |value: u8| usize::from(value % 8);
        let spread = part(self.spread);
        let needed = spread.max(part(self.needed) * 2);
        let timely = needed + part(self.timely);
        HostRequest { spread, needed, timely, wanted: timely + part(self.wanted) }
    }
}

/// Distributes hosts one by one, searching all pools for the lowest rank each time.
fn distribute_naively(requests: &[HostRequest], total: usize) -> Vec<usize> {
    let mut shares = vec![0; requests.len()];
    for _ in 0..total {
        let unserved = (0..requests.len()).filter(|n| shares[*n] < requests[*n].wanted);
        if let Some(n) = unserved.min_by_key(|n| requests[*n].rank(shares[*n])) {
            shares[n] += 1;
        }
    }
    shares
}

#[test]
fn distribute_matches_a_naive_distribution() {
    fuzz(300, 24, |generated: &[GeneratedRequest]| {
        let requests: Vec<HostRequest> = generated.iter().map(GeneratedRequest::request).collect();
        let all: usize = requests.iter().map(|request| request.wanted).sum();
        for total in [0, 1, all / 4, all / 2, all, all + 7] {
            assert_eq!(
                distribute(&requests, total, || ()),
                distribute_naively(&requests, total),
                "{total} hosts"
            );
        }
    });
}

/// Guards against searching all pools for each host: 2.7 million visits in a plan for 6,800 hosts
/// in 390 pools.
#[test]
fn the_cost_of_distributing_a_host_does_not_grow_with_the_number_of_pools() {
    let visits = |pools: usize| {
        let request = HostRequest { spread: 1, needed: 4, timely: 6, wanted: 1_000 };
        let visits = Cell::new(0);
        distribute(&vec![request; pools], 2_000, || visits.set(visits.get() + 1));
        visits.get()
    };
    let (few, many) = (visits(4), visits(400));
    // Each pool is visited once more at the start.
    assert!(many <= few + 2 * 400, "{few} visits for 4 pools, {many} for 400");
}
