//! Tests of how hosts are dealt out to pools.

use std::cell::Cell;

use bolero::TypeGenerator;

use super::size::{Wish, deal};
use crate::tests::fuzz;

/// A pool's wish, drawn: each part as so many hosts more than the one before.
#[derive(Debug, Clone, TypeGenerator)]
struct Drawn {
    spread: u8,
    needed: u8,
    timely: u8,
    most: u8,
}

impl Drawn {
    fn wish(&self) -> Wish {
        // Few sizes, so that many pools have the same.
        let part = |drawn: u8| usize::from(drawn % 8);
        let spread = part(self.spread);
        let needed = spread.max(part(self.needed) * 2);
        let timely = needed + part(self.timely);
        Wish { spread, needed, timely, most: timely + part(self.most) }
    }
}

/// Hosts dealt out one by one, each time to the first pool of all that comes first.
fn one_by_one(wishes: &[Wish], total: usize) -> Vec<usize> {
    let mut shares = vec![0; wishes.len()];
    for _ in 0..total {
        let open = (0..wishes.len()).filter(|n| shares[*n] < wishes[*n].most);
        if let Some(n) = open.min_by_key(|n| wishes[*n].order(shares[*n])) {
            shares[n] += 1;
        }
    }
    shares
}

#[test]
fn hosts_are_dealt_out_as_they_are_one_by_one() {
    fuzz(300, 24, |drawn: &[Drawn]| {
        let wishes: Vec<Wish> = drawn.iter().map(Drawn::wish).collect();
        let all: usize = wishes.iter().map(|wish| wish.most).sum();
        for total in [0, 1, all / 4, all / 2, all, all + 7] {
            assert_eq!(deal(&wishes, total, || ()), one_by_one(&wishes, total), "{total} hosts");
        }
    });
}

/// For each host of the fleet all pools were gone through: 2.7 million of them in a plan for 6,800
/// hosts in 390 pools.
#[test]
fn a_host_is_dealt_out_at_the_same_cost_however_many_pools_there_are() {
    let looks = |pools: usize| {
        let wish = Wish { spread: 1, needed: 4, timely: 6, most: 1_000 };
        let looks = Cell::new(0);
        deal(&vec![wish; pools], 2_000, || looks.set(looks.get() + 1));
        looks.get()
    };
    let (few, many) = (looks(4), looks(400));
    // Each pool is looked at once besides.
    assert!(many <= few + 2 * 400, "{few} looks for 4 pools, {many} for 400");
}
