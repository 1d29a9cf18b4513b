//! Which calls are made where more are due than may be on their way.

use super::{Known, UPKEEP, asked, at, fleet, host, listed, pool};
use crate::{
    jobs::fleet::{FleetEffect, Leave},
    model::{
        queue::PoolRules,
        worker::{ListedHost, Upkeep},
    },
};

/// At a change of turns the hosts of the pool whose turn was over came first, by their names, and those
/// for the pool with work that could be in time waited for the calls that a second allows.
#[test]
fn calls_go_first_to_pools_that_lack_hosts_then_to_waves_then_to_hosts_that_go_off() {
    let mut known = Known::new();
    known.config.pools.insert(pool("short"), PoolRules { off: false, guards: true });
    known.demands.insert(pool("short"), asked(800_000, 0));
    let hosts: Vec<ListedHost> = (100..320).map(|number| listed(number, "busy")).collect();
    let purposes = [
        (100..200, Leave::Move(pool("off"))),
        (200..210, UPKEEP),
        (300..320, Leave::Move(pool("short"))),
    ];
    let due = (200..210).map(host).collect();
    known.upkeeps = vec![Upkeep { wave: 1, hosts: due, period_ms: 20_000, at_once: 10 }];
    for (numbers, leave) in purposes {
        for number in numbers {
            known.show(host(number), leave.clone());
            known.empties.insert(host(number), format!("w{number}").parse().unwrap());
        }
    }
    let mut fleet = fleet(hosts);
    let effects = fleet.plan(&known.scene(), at(100));
    let count = |is: fn(&&FleetEffect) -> bool| effects.iter().filter(is).count();
    let called = [
        count(|effect| matches!(effect, FleetEffect::Move(_, to) if *to == pool("short"))),
        count(|effect| matches!(effect, FleetEffect::Maintain(..))),
        count(|effect| matches!(effect, FleetEffect::Move(_, to) if *to == pool("off"))),
    ];
    assert_eq!(called, [20, 10, 34]);
}
