//! Which calls are made when more are due than may be in flight, and what their results say.

use super::{
    Fixture, UPKEEP, at, confirm_writes, count_moves, demand, fleet, host, listed_host, pool,
};
use crate::{
    jobs::fleet::{CallResult, FleetEffect, HostAction},
    model::{
        id::HostId,
        queue::PoolRules,
        unit::Revision,
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

/// Guards against more hosts out of service than a wave allows: a repeated call was not made, and
/// the one before it, which had got no answer, no longer counted.
#[test]
fn a_repeated_call_that_was_not_made_says_nothing_of_the_call_before() {
    let mut fixture = Fixture::new();
    let all = (1..3).map(host).collect();
    fixture.upkeeps = vec![Upkeep { wave: 1, hosts: all, period_ms: 20_000, max_concurrent: 1 }];
    for number in 1..3 {
        fixture.show_mark(host(number), UPKEEP);
        fixture.drained.insert(host(number), format!("w{number}").parse().unwrap());
    }
    let mut fleet = fleet((1..3).map(|n| listed_host(n, "busy")).collect());
    let called = |effects: Vec<FleetEffect>| {
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                FleetEffect::Maintain(host, _) => Some(host),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(called(fleet.plan(&fixture.snapshot(), at(100))), [host(1)]);
    fleet.note_call_result(&host(1), UPKEEP, CallResult::Unknown, at(1_600));
    assert_eq!(called(fleet.plan(&fixture.snapshot(), at(1_900))), [host(1)]);
    fleet.note_call_result(&host(1), UPKEEP, CallResult::NotBegun, at(1_950));
    assert_eq!(called(fleet.plan(&fixture.snapshot(), at(2_000))), Vec::<HostId>::new());
}

/// Guards against more hosts out of service than a wave allows: the late result of a move that the
/// host list had shown as done replaced the state of the upkeep call that followed.
#[test]
fn the_late_result_of_a_finished_move_does_not_replace_a_later_call() {
    let mut fixture = Fixture::new();
    fixture.show_mark(host(1), HostAction::Move(pool("off")));
    fixture.drained.insert(host(1), "w1".parse().unwrap());
    let mut fleet = fleet((1..3).map(|n| listed_host(n, "busy")).collect());
    assert_eq!(count_moves(&fleet.plan(&fixture.snapshot(), at(100))), 1);
    fleet.update_hosts(at(1_200), Some(vec![listed_host(1, "off"), listed_host(2, "busy")]));
    let effects = fleet.plan(&fixture.snapshot(), at(1_250));
    assert!(effects.iter().any(|effect| matches!(effect, FleetEffect::Unmark(..))));
    confirm_writes(&mut fleet, &effects, at(1_260));
    fixture.view_revision = Revision(101);
    for number in 1..3 {
        fixture.show_mark(host(number), UPKEEP);
        fixture.drained.insert(host(number), format!("w{number}").parse().unwrap());
    }
    let all = (1..3).map(host).collect();
    fixture.upkeeps = vec![Upkeep { wave: 1, hosts: all, period_ms: 20_000, max_concurrent: 1 }];
    let maintained = |effects: Vec<FleetEffect>| {
        effects.iter().filter(|effect| matches!(effect, FleetEffect::Maintain(..))).count()
    };
    assert_eq!(maintained(fleet.plan(&fixture.snapshot(), at(1_350))), 1);
    let moved = HostAction::Move(pool("off"));
    fleet.note_call_result(&host(1), moved, CallResult::Unknown, at(1_600));
    assert_eq!(maintained(fleet.plan(&fixture.snapshot(), at(1_650))), 0);
}
