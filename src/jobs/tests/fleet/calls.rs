//! Which calls are made when more are due than may be in flight.

use super::{Fixture, UPKEEP, at, demand, fleet, host, listed_host, pool};
use crate::{
    jobs::fleet::{FleetEffect, HostAction},
    model::{
        queue::PoolRules,
        worker::{ListedHost, Upkeep},
    },
};

/// Guards against calls in the order of host names: after a peak shift, the hosts of the pool whose
/// peak was over came first, and those for the pool with work that could still end in time had to
/// wait for the call limit per second.
#[test]
fn calls_are_made_for_shortages_then_for_upkeep_then_for_switching_off() {
    let mut fixture = Fixture::new();
    fixture
        .config
        .pools
        .insert(pool("short"), PoolRules { headroom: false, admission_check: true });
    fixture.demands.insert(pool("short"), demand(800_000, 0));
    let hosts: Vec<ListedHost> = (100..320).map(|number| listed_host(number, "busy")).collect();
    let actions = [
        (100..200, HostAction::Move(pool("off"))),
        (200..210, UPKEEP),
        (300..320, HostAction::Move(pool("short"))),
    ];
    let due = (200..210).map(host).collect();
    fixture.upkeeps = vec![Upkeep { wave: 1, hosts: due, period_ms: 20_000, max_concurrent: 10 }];
    for (numbers, action) in actions {
        for number in numbers {
            fixture.show_mark(host(number), action.clone());
            fixture.drained.insert(host(number), format!("w{number}").parse().unwrap());
        }
    }
    let mut fleet = fleet(hosts);
    let effects = fleet.plan(&fixture.snapshot(), at(100));
    let count = |is: fn(&&FleetEffect) -> bool| effects.iter().filter(is).count();
    let called = [
        count(|effect| matches!(effect, FleetEffect::Move(_, to) if *to == pool("short"))),
        count(|effect| matches!(effect, FleetEffect::Maintain(..))),
        count(|effect| matches!(effect, FleetEffect::Move(_, to) if *to == pool("off"))),
    ];
    assert_eq!(called, [20, 10, 34]);
}
