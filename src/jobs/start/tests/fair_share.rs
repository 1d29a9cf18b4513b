use crate::{
    jobs::start::fair_share::{Amount, Claim, FairShares},
    model::account::Weight,
};

const CAPACITY: Amount = Amount { cpu: 1_000, memory: 1_000 };

fn claim(account: &str, weight: f64, running: u64, waiting: u64) -> Claim {
    let amount = |cpu| Amount { cpu, memory: 0 };
    Claim {
        account: account.parse().unwrap(),
        weight: Weight::per_second(weight).unwrap(),
        running: amount(running),
        waiting: amount(waiting),
        counts: true,
    }
}

fn divide(claims: &[Claim]) -> Option<FairShares> {
    FairShares::divide(claims.iter(), CAPACITY)
}

#[test]
fn a_pool_that_holds_all_claims_is_not_divided() {
    assert!(divide(&[claim("a", 1.0, 0, 900), claim("b", 9.0, 100, 0)]).is_none());
}

#[test]
fn an_account_that_asks_for_less_than_its_share_gets_all_of_it() {
    let (small, large) = (claim("small", 1.0, 0, 300), claim("large", 1.0, 0, 5_000));
    let mut shares = divide(&[small.clone(), large.clone()]).unwrap();
    assert!(shares.take(&large), "the first job of a share may exceed it");
    assert!(!shares.take(&large));
    assert!(shares.take(&small));
}

#[test]
fn what_runs_already_counts_towards_a_share() {
    let claims = [claim("busy", 1.0, 600, 100), claim("idle", 1.0, 0, 500)];
    let mut shares = divide(&claims).unwrap();
    assert!(!shares.take(&claims[0]), "its runs use its half already");
    assert!(shares.take(&claims[1]));
}

#[test]
fn shares_are_in_proportion_to_weights() {
    let heavy: Vec<Claim> = (0..100).map(|_| claim("heavy", 3.0, 0, 50)).collect();
    let light: Vec<Claim> = (0..100).map(|_| claim("light", 1.0, 0, 50)).collect();
    let mut shares = divide(&[heavy.clone(), light.clone()].concat()).unwrap();
    let mut within = |claims: &[Claim]| claims.iter().filter(|one| shares.take(one)).count();
    assert_eq!((within(&heavy), within(&light)), (15, 5), "750 and 250 of 1,000");
}

#[test]
fn memory_is_divided_where_it_is_what_is_short() {
    let of = |account: &str, memory| {
        let waiting = Amount { cpu: 1, memory };
        Claim { waiting, ..claim(account, 1.0, 0, 0) }
    };
    let claims = [of("a", 400), of("b", 4_000)];
    let mut shares = divide(&claims).unwrap();
    assert!(shares.take(&claims[1]), "the first job of a share may exceed it");
    assert!(!shares.take(&claims[1]));
    assert!(shares.take(&claims[0]));
}
